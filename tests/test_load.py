"""Tests of the load tool against a fake node."""

from __future__ import annotations

import dataclasses
import json
import typing as t

import anyio
import anyio.abc
import pytest

from papayastall import load

SETTINGS = load.LoadSettings(
    nodes=("127.0.0.1:1",),
    lookup_path="/visits/status",
    booking_path="/visits/bookings",
    booking_share=0.5,
    rate_per_s=200,
    duration_s=0.2,
    seed=3,
    timeout_ms=1000,
    team_count=2,
    keys=True,
)


class FakeNode:
    """Answers lookups with a path and bookings with a problem.

    :param echo: path to answer with, ``None`` for the request's own.
    """

    def __init__(self, echo: str | None) -> None:
        self._echo = echo
        self.heads: list[str] = []

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Answer the requests of one connection, each received in one read."""
        async with stream:
            while True:
                try:
                    head = (await stream.receive()).decode()
                except anyio.EndOfStream:
                    return
                self.heads.append(head)
                await stream.send(self._answer(head))

    def _answer(self, head: str) -> bytes:
        body: dict[str, t.Any] = {"path": self._echo or head.split()[1]}
        status = 200
        if head.startswith("POST"):
            status, body = 503, {"code": "overloaded", "ran": "no"}
        content = json.dumps(body).encode()
        start = f"HTTP/1.1 {status} x\r\ncontent-length: {len(content)}\r\n"
        return start.encode() + b"\r\n" + content


async def run_against(
    node: FakeNode,
) -> tuple[list[load.Summary], list[load.Record]]:
    records: list[load.Record] = []
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, node.serve)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        settings = dataclasses.replace(SETTINGS, nodes=(f"127.0.0.1:{port}",))
        summaries = await load.run_load(settings, records.append)
        tasks.cancel_scope.cancel()
    await listener.aclose()
    return summaries, records


@pytest.mark.anyio
async def test_every_request_is_counted_by_its_outcome() -> None:
    node = FakeNode(None)
    (lookups, bookings), records = await run_against(node)
    arrivals = list(load.draw_arrivals(SETTINGS))
    assert lookups.sent + bookings.sent == len(records) == len(arrivals)
    assert lookups.answered == lookups.sent > 0
    assert bookings.endings == {"overloaded": bookings.sent}
    assert "overloaded" in load.format_summaries([lookups, bookings])
    refused = [record for record in records if record.kind == load.BOOKING]
    assert {record.ran for record in refused} == {"no"}
    posts = [head for head in node.heads if head.startswith("POST")]
    assert all("Idempotency-Key: 3-" in head for head in posts)


@pytest.mark.anyio
async def test_an_answer_to_another_request_is_reported() -> None:
    (lookups, _), _ = await run_against(FakeNode("/visits/status/other"))
    assert lookups.endings == {load.NOT_OWN: lookups.sent}


@pytest.mark.anyio
async def test_no_answer_leaves_the_outcome_unknown() -> None:
    records: list[load.Record] = []
    await load.run_load(SETTINGS, records.append)
    assert {record.ran for record in records} == {"unknown"}
    assert {record.ended for record in records} == {"no-answer: ConnectError"}


def test_the_same_seed_draws_the_same_arrivals() -> None:
    first = list(load.draw_arrivals(SETTINGS))
    assert first == list(load.draw_arrivals(SETTINGS))
    other = dataclasses.replace(SETTINGS, seed=4)
    assert first != list(load.draw_arrivals(other))


def test_main_parses_its_usage(
    capsys: pytest.CaptureFixture[str],
) -> None:
    argv = ["--nodes=127.0.0.1:1", "--seconds=0.1", "--rate=50"]
    assert load.main(argv) == 0
    assert "no-answer: ConnectError" in capsys.readouterr().out
