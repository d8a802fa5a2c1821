"""Tests of an owner's admission, fairness, steering away and drain."""

from __future__ import annotations

import random

import msgspec.structs
import pytest

from papayastall import _decision_types as types
from papayastall import _owner_controller
from papayastall import _owner_state
from papayastall import exceptions
from tests import decision_helpers as helpers


def test_a_free_slot_dispatches_and_a_full_upstream_queues() -> None:
    owner = helpers.owner(slots=1)
    assert owner.submit(0.0, helpers.owner_request(1)) == [
        types.Dispatch(1, helpers.UPSTREAM)
    ]
    assert owner.submit(0.0, helpers.owner_request(2)) == []
    assert owner.finished(0.1, 1, types.Outcome.ANSWERED) == [
        types.Dispatch(2, helpers.UPSTREAM)
    ]


def test_a_request_that_can_not_make_its_deadline_is_refused_at_once() -> None:
    owner = helpers.owner(slots=1)
    owner.submit(0.0, helpers.owner_request(1))
    [refusal] = owner.submit(0.0, helpers.owner_request(2, deadline_s=0.05))
    assert isinstance(refusal, types.RefuseRequest)
    assert refusal.code is exceptions.ErrorCode.OVERLOADED
    assert refusal.ran is exceptions.RanState.NO
    assert refusal.retry_after_s is not None


def test_a_stalled_upstream_is_steered_away_from() -> None:
    owner = helpers.owner(slots=7)
    for number in range(4):
        owner.submit(0.0, helpers.owner_request(number))
    owner.tick(1.0)
    assert owner.load(1.0, helpers.SERVICE).weight == 0.0
    [refusal] = owner.submit(1.0, helpers.owner_request(9))
    assert isinstance(refusal, types.RefuseRequest)
    assert refusal.code is exceptions.ErrorCode.STEERED_AWAY


def test_an_ejection_waits_for_its_permit() -> None:
    owner = helpers.owner(slots=7)
    for number in range(4):
        owner.submit(0.0, helpers.owner_request(number))
    owner.tick(1.0)
    asked = [action for at in range(2, 9) for action in owner.tick(at)]
    assert asked[0] == types.AskPermit(helpers.UPSTREAM, helpers.SERVICE, 7)
    [view] = owner.upstreams(9.0)
    assert view.standing is _owner_state.Standing.STEERED
    owner.permit_answered(9.0, helpers.UPSTREAM, True)
    [view] = owner.upstreams(9.0)
    assert view.standing is _owner_state.Standing.EJECTED


def test_a_leaving_upstream_gets_nothing_new_and_drains() -> None:
    owner = helpers.owner()
    owner.submit(0.0, helpers.owner_request(1))
    owner.start_drain(0.0, helpers.UPSTREAM)
    [refusal] = owner.submit(0.0, helpers.owner_request(2))
    assert isinstance(refusal, types.RefuseRequest)
    assert refusal.code is exceptions.ErrorCode.LEAVING
    assert not owner.drained(helpers.UPSTREAM)
    owner.finished(0.1, 1, types.Outcome.ANSWERED)
    assert owner.drained(helpers.UPSTREAM)


def _count_admitted(kind: types.RequestKind, request_deadline_s: float) -> int:
    owner = helpers.owner(slots=1)
    owner.submit(0.0, helpers.owner_request(0))
    for number in range(1, 200):
        request = helpers.owner_request(
            number, kind, deadline_s=request_deadline_s
        )
        if owner.submit(0.0, request):
            return number
    raise AssertionError("none of 199 requests was refused")


def test_a_later_deadline_allows_no_longer_queue() -> None:
    lookups = _count_admitted(helpers.LOOKUP, 2.5)
    bookings = _count_admitted(helpers.BOOKING, 60.0)
    assert lookups == bookings


def test_a_flooding_team_waits_behind_the_others() -> None:
    owner = helpers.owner(slots=1)
    owner.submit(0.0, helpers.owner_request(0))
    for number in range(1, 8):
        owner.submit(0.0, helpers.owner_request(number, team="flood"))
    assert owner.submit(0.0, helpers.owner_request(50, team="desk")) == []
    order = []
    running = 0
    for step in range(1, 4):
        actions = owner.finished(step / 20, running, types.Outcome.ANSWERED)
        [dispatch] = [a for a in actions if isinstance(a, types.Dispatch)]
        running = dispatch.request_id
        order.append(running)
    assert 50 in order[:2]


@pytest.mark.parametrize("max_queued", [0, 1])
def test_a_full_upstream_refuses_what_may_not_wait(max_queued: int) -> None:
    policy = msgspec.structs.replace(helpers.DETECTION, max_queued=max_queued)
    owner = helpers.owner(policy, slots=1)
    owner.submit(0.0, helpers.owner_request(1))
    for number in range(2, 2 + max_queued):
        assert owner.submit(0.0, helpers.owner_request(number)) == []
    [refusal] = owner.submit(0.0, helpers.owner_request(9))
    assert isinstance(refusal, types.RefuseRequest)
    assert refusal.code is exceptions.ErrorCode.OVERLOADED
    assert refusal.ran is exceptions.RanState.NO


BOOT_MS = 1_000_000
LEASE_S = 6.0


def heartbeat(
    sequence: int,
    started_ms: int = BOOT_MS - 1,
    state: types.UpstreamState = types.UpstreamState.READY,
) -> types.UpstreamAnnouncement:
    return msgspec.structs.replace(
        helpers.announcement(state=state, lease_s=LEASE_S),
        instance="i-1",
        started_ms=started_ms,
        sequence=sequence,
    )


def restarted_owner() -> _owner_controller.OwnerController:
    """Return the owner of a process that has just started."""
    return _owner_controller.OwnerController(
        helpers.OWNER, "domain-1", random.Random(1), BOOT_MS
    )


# Guards against the use of an upstream that deregistered before a restart of
# its node, on the word of a heartbeat that arrives late.
@pytest.mark.parametrize(
    ("arrivals", "is_used"),
    [
        ([(0.0, 9)], False),
        ([(0.0, 9), (1.5, 9)], False),
        ([(0.0, 9), (1.5, 8)], False),
        ([(0.0, 9), (0.1, 10)], False),
        ([(0.0, 9), (1.5, 10)], True),
        ([(0.0, 9), (0.1, 10), (1.5, 11)], True),
    ],
)
def test_an_older_upstream_is_used_from_its_second_heartbeat(
    arrivals: list[tuple[float, int]], is_used: bool
) -> None:
    owner = restarted_owner()
    now_s = 0.0
    for now_s, sequence in arrivals:
        owner.announce(now_s, heartbeat(sequence))
    assert bool(owner.adverts(now_s)) is is_used
    [action] = owner.submit(now_s, helpers.owner_request(1))
    assert isinstance(action, types.Dispatch) is is_used


def test_an_upstream_younger_than_the_process_is_used_at_once() -> None:
    owner = restarted_owner()
    owner.announce(0.0, heartbeat(1, BOOT_MS))
    assert owner.adverts(0.0)


def test_an_unconfirmed_upstream_that_deregisters_is_not_used() -> None:
    owner = restarted_owner()
    owner.announce(0.0, heartbeat(9))
    owner.withdraw(1.0, "i-1", BOOT_MS - 1)
    owner.announce(2.0, heartbeat(10))
    owner.announce(4.0, heartbeat(11))
    assert not owner.adverts(4.0)


def test_a_confirmed_upstream_needs_no_second_heartbeat_again() -> None:
    """Its lease ended while its heartbeats were lost."""
    owner = restarted_owner()
    for now_s, sequence in ((0.0, 9), (1.5, 10)):
        owner.announce(now_s, heartbeat(sequence))
    owner.tick(1.5 + LEASE_S + 10.0)
    assert not owner.adverts(20.0)
    owner.announce(20.0, heartbeat(24))
    assert owner.adverts(20.0)
