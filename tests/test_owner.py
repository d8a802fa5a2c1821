"""Tests of the owner with fake links."""

from __future__ import annotations

import itertools
import random
import typing as t

import pytest

from papayastall import _decision_types
from papayastall import _frames
from papayastall import _owner_controller
from papayastall import clock
from papayastall import exceptions
from papayastall import metrics
from papayastall import owner

pytestmark = pytest.mark.anyio

INGRESS = "10.0.0.1:1"


class FakeLinks:
    """Records the frames that the owner sends."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, _frames.Frame]] = []

    def send(self, address: str, frame: _frames.Frame) -> None:
        self.sent.append((address, frame))


class NoPermits:
    """Permit client that fails if it is used."""

    def ask(self, action: _decision_types.AskPermit) -> None:
        raise AssertionError(action)

    def release(self, action: _decision_types.ReleasePermit) -> None:
        raise AssertionError(action)


def make_owner() -> tuple[owner.Owner, FakeLinks]:
    links = FakeLinks()
    controller = _owner_controller.OwnerController(
        "10.0.0.2:1", "a", random.Random(1)
    )
    made = owner.Owner(
        t.cast(t.Any, links),
        controller,
        NoPermits(),
        metrics.Metrics(None, "10.0.0.2:1"),
    )
    return made, links


def make_open(request_id: int) -> _frames.Open:
    return _frames.Open(
        request_id=request_id,
        service_name="one",
        route="r",
        idempotent=True,
        remaining_ms=1000,
        fingerprint=request_id,
        method=b"GET",
        target=b"/",
        headers=[],
    )


async def test_a_stopping_owner_refuses_new_requests() -> None:
    """A request that still runs when the process ends would be aborted."""
    made, links = make_owner()
    made.stop_accepting()
    made._receive_open(INGRESS, 1, make_open(7))
    ((address, refusal),) = links.sent
    assert address == INGRESS
    assert isinstance(refusal, _frames.Refuse)
    assert refusal.code == exceptions.ErrorCode.LEAVING.value
    assert not refusal.ran_unknown
    assert made.running() == 0


class StubController:
    """Queues all requests, and reports the availability that a test sets."""

    def __init__(self) -> None:
        self.present = make_load(weight=7.0)
        self.changes: list[_decision_types.OwnerLoad] = []

    def submit(self, now_s: float, request: t.Any) -> list[t.Any]:
        return []

    def load(self, *args: t.Any) -> _decision_types.OwnerLoad:
        return self.present

    def take_availability_changes(
        self, now_s: float
    ) -> list[_decision_types.OwnerLoad]:
        changes, self.changes = self.changes, []
        return changes


def make_load(weight: float, slots: int = 7) -> _decision_types.OwnerLoad:
    return _decision_types.OwnerLoad(
        "10.0.0.2:1",
        "one",
        slots,
        weight,
        in_flight=0,
        queued=0,
        latency_ms=None,
    )


class NoticeFleet:
    """An owner and the ingresses that send requests to it."""

    def __init__(self) -> None:
        self._owner, self._links = make_owner()
        self._controller = StubController()
        self._owner.controller = t.cast(t.Any, self._controller)
        self._request_ids = itertools.count(1)

    def send_request(self, ingress: str) -> None:
        self._owner._receive_open(
            ingress, 1, make_open(next(self._request_ids))
        )

    def refuse(self, ingress: str) -> None:
        """Refuse a request of an ingress; the refusal carries the load."""
        self._owner.stop_accepting()
        self.send_request(ingress)

    def change(self, load: _decision_types.OwnerLoad) -> list[str]:
        """Change the availability; return the ingresses that get a notice."""
        self._controller.present = load
        self._controller.changes = [load]
        self._links.sent.clear()
        self._owner._notify_availability_changes(clock.now_s())
        assert all(
            isinstance(frame, _frames.LoadNotice)
            for _, frame in self._links.sent
        )
        return [address for address, _ in self._links.sent]


DOUBTED = make_load(weight=0.0)
AVAILABLE = make_load(weight=7.0)


async def test_a_passing_doubt_is_not_sent_to_all_ingresses() -> None:
    """In a large fleet, these notices were half of all frames."""
    notices = NoticeFleet()
    for number in range(60):
        notices.send_request(f"10.0.1.{number}:1")
    assert notices.change(DOUBTED) == []
    assert notices.change(AVAILABLE) == []


# Guards against an ingress that sends often and finds out from refusals only,
# and against one without use for the notice that gets it.
async def test_a_frequent_ingress_is_notified_of_a_doubt_and_of_its_end() -> (
    None
):
    notices = NoticeFleet()
    notices.send_request("10.0.1.1:1")
    for _ in range(2):
        notices.send_request("10.0.1.2:1")
    assert notices.change(DOUBTED) == ["10.0.1.2:1"]
    assert notices.change(AVAILABLE) == ["10.0.1.2:1"]
    assert notices.change(AVAILABLE) == []


async def test_a_refused_ingress_is_notified_when_the_doubt_ends() -> None:
    """It would avoid an owner that has recovered for seconds."""
    notices = NoticeFleet()
    assert notices.change(DOUBTED) == []
    notices.refuse("10.0.1.1:1")
    assert notices.change(AVAILABLE) == ["10.0.1.1:1"]


# Guards against a leaving upstream that is treated like a passing doubt.
async def test_all_recent_ingresses_are_notified_of_a_leaving_upstream() -> (
    None
):
    notices = NoticeFleet()
    ingresses = [f"10.0.1.{number}:1" for number in range(60)]
    for ingress in ingresses:
        notices.send_request(ingress)
    assert notices.change(make_load(weight=0.0, slots=0)) == ingresses
