"""Tests of how an ingress handles the frames that answer its attempts."""

from __future__ import annotations

import random
import typing as t

import pytest

from papayastall import _attempts
from papayastall import _decision_types
from papayastall import _exchange
from papayastall import _frames
from papayastall import _ingress_controller
from papayastall import _route_lookup
from papayastall import _route_resolution
from papayastall import blackboard as blackboards
from papayastall import clock
from papayastall import exceptions
from papayastall import metrics
from tests import route_helpers

OWNERS = ["127.0.0.1:1", "127.0.0.1:2"]


class FakeLinks:
    """Records the frames sent; every peer counts as connected."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, t.Any]] = []
        self.congested = ""

    def send(self, address: str, frame: t.Any) -> None:
        self.sent.append((address, frame))

    def is_connected(self, address: str) -> bool:
        return True

    def is_congested(self, address: str) -> bool:
        return self.congested == address

    def boot_id(self, address: str) -> int:
        return 1

    def watch(self, address: str) -> None:
        """Do nothing."""

    def unwatch(self, address: str) -> None:
        """Do nothing."""

    def opens(self) -> list[tuple[str, int]]:
        """Return the owner and wire id of each request sent."""
        return [
            (address, frame.request_id)
            for address, frame in self.sent
            if isinstance(frame, _frames.Open)
        ]


def start_lookup(
    max_attempts: int = 1_000,
    timeout_ms: int = 10_000,
    rank: int = 0,
    objective_ms: int | None = None,
    congested: str = "",
) -> tuple[t.Any, FakeLinks, _exchange.Exchange]:
    links = FakeLinks()
    links.congested = congested
    controller = _ingress_controller.IngressController(
        "127.0.0.1:9", random.Random(1)
    )
    now_s = clock.now_s()
    for owner in OWNERS:
        advert = _decision_types.OwnerAdvert(owner, "visits", "a", 7)
        controller.set_owner(now_s, advert)
    sender = _attempts.AttemptSender(
        t.cast(t.Any, links),
        controller,
        random.Random(1),
        metrics.Metrics(None, "127.0.0.1:9"),
    )
    request = _decision_types.IngressRequest(
        1,
        "visits",
        "status",
        "",
        _decision_types.RequestKind.LOOKUP,
        now_s + timeout_ms / 1000,
        1,
        max_attempts,
        rank,
        None if objective_ms is None else objective_ms / 1000,
    )
    exchange = _exchange.Exchange(request, b"GET", b"/", [], b"")
    sender.open(exchange)
    return sender, links, exchange


# Guards against requests that pile up for an owner that takes none.
@pytest.mark.parametrize("congested", OWNERS)
def test_a_request_is_not_sent_on_a_congested_link(congested: str) -> None:
    _, links, exchange = start_lookup(congested=congested)
    [(owner, _)] = links.opens()
    assert owner != congested
    assert exchange.refusal is None


def test_a_lookup_whose_answer_breaks_after_its_head_is_retried() -> None:
    sender, links, exchange = start_lookup()
    [(owner, number)] = links.opens()
    sender._receive_head(owner, 1, _frames.AnswerHead(number, 200, [], None))
    assert exchange.chosen is None
    refusal = _frames.Refuse(
        number,
        exceptions.ErrorCode.UPSTREAM_FAILED.value,
        True,
        -1,
        False,
        None,
        "",
    )
    sender._receive_refuse(owner, 1, refusal)
    assert exchange.refusal is None
    assert {address for address, _ in links.opens()} == set(OWNERS)


def test_an_answer_without_a_body_is_complete() -> None:
    sender, links, exchange = start_lookup()
    [(owner, number)] = links.opens()
    sender._receive_head(owner, 1, _frames.AnswerHead(number, 204, [], None))
    last = _frames.AnswerChunk(number, 0, b"", True, 0.0, 0.0)
    sender._receive_chunk(owner, 1, last)
    assert exchange.chosen is not None
    assert exchange.chosen.complete


@pytest.mark.parametrize("field", ["rank", "objective_ms", "timeout_ms"])
@pytest.mark.parametrize("bits", [31, 32, 53, 63, 64])
@pytest.mark.parametrize("change", [-1, 0])
def test_a_request_on_a_route_with_a_large_number_is_sent(
    field: str, bits: int, change: int
) -> None:
    """A rank of 32 bits or more ended the process that sent the request."""
    value = (1 << bits) + change
    route = route_helpers.make_route("r", **{field: value})
    table = route_helpers.make_table(1, route)
    board = blackboards.Blackboard("127.0.0.1:9", "a")
    lookup = _route_lookup.RouteLookup(table)
    board.routing = blackboards.TableRouting(lookup)
    found = _route_resolution.resolve(
        board, "GET", route.host, route.path_prefix
    )
    _, links, _ = start_lookup(
        timeout_ms=found.timeout_ms,
        rank=found.rank,
        objective_ms=found.objective_ms,
    )
    [(_, frame)] = links.sent
    data = _frames.encode(frame, 1)
    size = _frames.HEADER.size
    header = _frames.decode_header(data[:size])
    assert _frames.decode_body(header, data[size:]) == frame
    assert getattr(found, field) == min(value, 2**31 - 1)
