"""Tests of an owner's answers about requests it has dropped or never had.

An ingress may send a request again if the owner answers that it did not run.
The owner must not answer this for a request that ran or can still run.
"""

from __future__ import annotations

import random
import typing as t

import pytest

from papayastall import _frames
from papayastall import _owner_controller
from papayastall import _owner_runs
from papayastall import metrics
from papayastall import owner

KEY = ("127.0.0.1:1", 5, 7)
INGRESS, BOOT_ID, REQUEST_ID = KEY


class FakeLinks:
    """Records the frames that the owner sends."""

    def __init__(self) -> None:
        self.sent: list[t.Any] = []

    def send(self, address: str, frame: t.Any) -> None:
        """Record a frame."""
        self.sent.append(frame)


def make_owner() -> tuple[t.Any, FakeLinks]:
    links = FakeLinks()
    controller = _owner_controller.OwnerController(
        "127.0.0.1:2", "a", random.Random(1)
    )
    made = owner.Owner(
        t.cast(t.Any, links),
        controller,
        t.cast(t.Any, None),
        metrics.Metrics(None, "127.0.0.1:2"),
    )
    return made, links


def make_open(body: bytes, body_follows: bool) -> _frames.Open:
    return _frames.Open(
        request_id=REQUEST_ID,
        service_name="visits",
        route="book",
        idempotent=False,
        remaining_ms=1000,
        fingerprint=1,
        method=b"POST",
        target=b"/",
        headers=[],
        body=body,
        body_follows=body_follows,
    )


def query(made: t.Any, links: FakeLinks) -> _frames.Refuse:
    made._receive_query(INGRESS, BOOT_ID, _frames.Query(REQUEST_ID, False, 0))
    refusal = links.sent[-1]
    assert isinstance(refusal, _frames.Refuse)
    return refusal


def test_a_request_never_seen_is_fenced_before_it_is_called_not_run() -> None:
    """Its frame may be delayed and arrive after the answer to the query."""
    made, links = make_owner()
    assert not query(made, links).ran_unknown
    made._receive_open(INGRESS, BOOT_ID, make_open(b"x", False))
    assert made._runs.find(KEY) is None


def test_a_forgotten_request_is_not_called_not_run() -> None:
    made, links = make_owner()
    run = made._runs.add(KEY, make_open(b"x", False), 10.0)
    run.submitted = True
    run.ended_s = 1.0
    made._runs.forget(run, 1.0)
    assert query(made, links).ran_unknown


def test_an_ended_run_is_kept_until_its_deadline_has_passed() -> None:
    table = _owner_runs.RunTable()
    run = table.add(KEY, make_open(b"x", False), 500.0)
    assert run is not None
    run.ended_s = 1.0
    table.expire(499.0)
    assert table.find(KEY) is run
    table.expire(500.0 + _owner_runs.RUN_RETENTION_S + 1.0)
    assert table.find(KEY) is None


@pytest.mark.parametrize("ending", ["query", "deadline"])
def test_a_request_with_half_a_body_ends_and_never_runs(ending: str) -> None:
    made, links = make_owner()
    made._receive_open(INGRESS, BOOT_ID, make_open(b"x", True))
    if ending == "query":
        assert not query(made, links).ran_unknown
    else:
        made._end_unfinished_bodies(made._runs.find(KEY).deadline_s + 1.0)
    made._receive_body(
        INGRESS, BOOT_ID, _frames.BodyChunk(REQUEST_ID, b"y", True)
    )
    assert not made._runs.find(KEY).submitted
    assert made.running() == 0
