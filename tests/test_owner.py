"""Tests of the owner with fake links."""

from __future__ import annotations

import random
import typing as t

import pytest

from papayastall import _decision_types
from papayastall import _frames
from papayastall import _owner_controller
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
