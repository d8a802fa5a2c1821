"""Tests of requests that crash upstreams, with several owners and ingresses.

They guard against a request that callers send again through every node and
that crashes one upstream after another.
"""

from __future__ import annotations

import random

import msgspec.structs
import pytest

from papayastall import _decision_types as types
from papayastall import _ingress_controller
from papayastall import _owner_controller
from papayastall import _suspects
from papayastall import exceptions
from tests import decision_helpers as helpers

POISON_FINGERPRINT = 666
NODES = 6


class Fleet:
    """Nodes that are ingress and owner; messages arrive immediately.

    :ivar lost: for each crash of an upstream, its owner.
    :ivar received: by request id, what the caller received: a refusal, or
        ``None`` for an answer.
    :ivar attempts: ingress, attempt number, fingerprint and owner, by the
        id of the attempt at its owner.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self.names = [f"10.0.0.{number}:7000" for number in range(NODES)]
        self.owners: dict[str, _owner_controller.OwnerController] = {}
        self.ingresses: list[_ingress_controller.IngressController] = []
        self.lost: list[str] = []
        self.received: dict[int, types.RefuseRequest | None] = {}
        self.attempts: dict[int, tuple[int, int, int, str]] = {}
        self.fingerprints: dict[int, int] = {}
        self.kinds: dict[int, types.RequestKind] = {}
        self.next_id = 1
        for number, name in enumerate(self.names):
            owner = _owner_controller.OwnerController(
                name, "domain-1", random.Random(number)
            )
            owner.configure(helpers.SERVICE, helpers.DETECTION)
            owner.announce(-100.0, helpers.announcement(f"up-{number}"))
            self.owners[name] = owner
            self.ingresses.append(helpers.ingress(0))
        for ingress in self.ingresses:
            for name in self.names:
                advert = types.OwnerAdvert(
                    name, helpers.SERVICE, "domain-1", 3
                )
                ingress.set_owner(0.0, advert)

    def send(
        self, ingress: int, fingerprint: int, kind: types.RequestKind
    ) -> int:
        """Send a caller's request through one node."""
        self.now_s += 0.01
        request_id = self.next_id
        self.next_id += 1
        self.fingerprints[request_id] = fingerprint
        self.kinds[request_id] = kind
        request = helpers.ingress_request(
            request_id, kind, self.now_s + 5.0, fingerprint
        )
        self._perform_ingress(
            ingress, self.ingresses[ingress].begin(self.now_s, request)
        )
        return request_id

    def fail_upstreams(self, names: list[str]) -> None:
        """End all running requests; those at these owners' upstreams fail.

        The notices of the losses arrive first.
        """
        running = sorted(
            self.running,
            key=lambda local_id: self.running[local_id] not in names,
        )
        self._end_running(running, set(names))

    def finish_all(self) -> None:
        """End all running requests.

        A poison request crashes its upstream; the others on that upstream are
        lost with it, and the rest are answered.
        """
        while running := sorted(self.running):
            crashed = {
                self.running[local_id]
                for local_id in running
                if self.attempts[local_id][2] == POISON_FINGERPRINT
            }
            self._end_running(running, crashed)

    def _end_running(self, running: list[int], crashed: set[str]) -> None:
        for local_id in running:
            name = self.running.pop(local_id)
            outcome = types.Outcome.ANSWERED
            if name in crashed:
                outcome = types.Outcome.BROKEN
            ingress, number, _, _ = self.attempts[local_id]
            actions = self.owners[name].finished(self.now_s, local_id, outcome)
            if outcome is types.Outcome.ANSWERED:
                self._answer(local_id)
            self._perform_owner(name, actions)
        self.lost += sorted(crashed)

    running: dict[int, str]

    def _perform_ingress(
        self, index: int, actions: list[types.IngressAction]
    ) -> None:
        for action in actions:
            match action:
                case types.ForwardAttempt(request_id, number, owner):
                    local_id = 1000 * request_id + number
                    fingerprint = self.fingerprints[request_id]
                    self.attempts[local_id] = (
                        index,
                        number,
                        fingerprint,
                        owner,
                    )
                    request = helpers.owner_request(
                        local_id,
                        self.kinds[request_id],
                        self.now_s + 5.0,
                        fingerprint=fingerprint,
                        hints=action.hints,
                    )
                    self._perform_owner(
                        owner,
                        self.owners[owner].submit(self.now_s, request),
                    )
                case types.RefuseRequest():
                    self.received[action.request_id] = action
                case types.AnswerChosen(request_id, _):
                    self.received[request_id] = None

    def _perform_owner(
        self, name: str, actions: list[types.OwnerAction]
    ) -> None:
        for action in actions:
            match action:
                case types.Dispatch(local_id, _):
                    self.running[local_id] = name
                case types.RefuseRequest():
                    self._refuse(action)
                case types.SuspectNotice():
                    for other, owner in self.owners.items():
                        if other != name:
                            self._perform_owner(
                                other, owner.suspect(self.now_s, action)
                            )
                    for ingress in self.ingresses:
                        ingress.suspect(self.now_s, action)

    def _refuse(self, action: types.RefuseRequest) -> None:
        ingress, number, _, _ = self.attempts[action.request_id]
        result = types.AttemptResult.UNKNOWN
        if action.ran is exceptions.RanState.NO:
            result = types.AttemptResult.NOT_RUN
        self._end(action.request_id, result, action.code, None)

    def _answer(self, local_id: int) -> None:
        self._end(local_id, types.AttemptResult.ANSWERED, None, 200)

    def _end(
        self,
        local_id: int,
        result: types.AttemptResult,
        code: exceptions.ErrorCode | None,
        status: int | None,
    ) -> None:
        ingress, number, _, _ = self.attempts[local_id]
        outcome = types.AttemptOutcome(
            local_id // 1000, number, result, status, code, None, None
        )
        actions = self.ingresses[ingress].attempt_ended(self.now_s, outcome)
        self._perform_ingress(ingress, actions)


def _make_fleet() -> Fleet:
    fleet = Fleet()
    fleet.running = {}
    return fleet


def test_a_lookup_resent_through_every_node_costs_two_upstreams() -> None:
    fleet = _make_fleet()
    for index in list(range(NODES)) * 3:
        last = fleet.send(index, POISON_FINGERPRINT, helpers.LOOKUP)
        fleet.finish_all()
    assert len(fleet.lost) == _suspects.MAX_UPSTREAMS_LOST
    received = fleet.received[last]
    assert received is not None
    assert received.code is exceptions.ErrorCode.CRASHING_REQUEST
    assert received.final


def test_a_booking_resent_through_every_node_costs_two_upstreams() -> None:
    fleet = _make_fleet()
    for index in list(range(NODES)) * 3:
        fleet.send(index, POISON_FINGERPRINT, helpers.BOOKING)
        fleet.finish_all()
    assert len(fleet.lost) == _suspects.MAX_UPSTREAMS_LOST


def test_requests_beside_the_crashing_one_are_still_answered() -> None:
    fleet = _make_fleet()
    for index in range(NODES):
        for harmless in range(1, 3):
            fleet.send(index, harmless, helpers.LOOKUP)
        fleet.send(index, POISON_FINGERPRINT, helpers.BOOKING)
        fleet.finish_all()
    for harmless in range(1, 3):
        for index in range(NODES):
            request_id = fleet.send(index, harmless, helpers.LOOKUP)
            fleet.finish_all()
            assert fleet.received[request_id] is None


def test_a_suspect_waits_while_the_same_request_runs() -> None:
    owner = helpers.owner(upstreams=2)
    notice = types.SuspectNotice(7, "10.0.0.9:8000", cleared=False)
    owner.suspect(0.0, notice)
    [first] = owner.submit(0.0, helpers.owner_request(1, fingerprint=7))
    assert isinstance(first, types.Dispatch)
    assert owner.submit(0.0, helpers.owner_request(2, fingerprint=7)) == []
    actions = owner.finished(0.1, 1, types.Outcome.ANSWERED)
    dispatched = [a for a in actions if isinstance(a, types.Dispatch)]
    assert [action.request_id for action in dispatched] == [2]


def note_loss(
    registry: _suspects.SuspectRegistry,
    now_s: float,
    upstream: str,
    is_trial: bool,
) -> None:
    notice = types.SuspectNotice(7, upstream, False, is_trial)
    registry.note(now_s, notice)


def test_entries_expire() -> None:
    registry = _suspects.SuspectRegistry()
    note_loss(registry, 0.0, "a", False)
    note_loss(registry, 0.0, "b", True)
    assert registry.is_blocked(1.0, 7)
    assert not registry.is_blocked(_suspects.SUSPECT_TTL_S + 1.0, 7)
    assert not registry.losses(_suspects.SUSPECT_TTL_S + 1.0, 7)


def test_a_blocked_request_is_tried_again_more_and_more_rarely() -> None:
    registry = _suspects.SuspectRegistry()
    note_loss(registry, 0.0, "a", False)
    now_s = 0.0
    blocks_s = []
    for upstream in "bcdef":
        note_loss(registry, now_s, upstream, True)
        note_loss(registry, now_s + 1.0, upstream, True)
        start_s = now_s
        while registry.is_blocked(now_s, 7):
            now_s += 10.0
        blocks_s.append(now_s - start_s)
    assert blocks_s == [60.0, 240.0, 960.0, 3600.0, 3600.0]


def test_copies_lost_with_several_upstreams_at_once_are_not_refused() -> None:
    """A lookup that many callers share was refused after two losses.

    Its copies were in flight on two upstreams that failed at the same time.
    """
    fleet = _make_fleet()
    shared = 7
    for _ in range(NODES):
        fleet.send(0, shared, helpers.LOOKUP)
    owners = sorted(set(fleet.running.values()))
    assert len(owners) > 2
    fleet.fail_upstreams(owners[:2])
    for index in list(range(NODES)) * 2:
        request_id = fleet.send(index, shared, helpers.LOOKUP)
        fleet.finish_all()
        assert fleet.received[request_id] is None


def test_an_answered_copy_lifts_the_block() -> None:
    fleet = _make_fleet()
    shared = 7
    first = fleet.send(0, shared, helpers.LOOKUP)
    notices = [
        types.SuspectNotice(shared, "up-a", False),
        types.SuspectNotice(shared, "up-b", False, is_trial=True),
    ]
    for notice in notices:
        for owner in fleet.owners.values():
            owner.suspect(fleet.now_s, notice)
        for ingress in fleet.ingresses:
            ingress.suspect(fleet.now_s, notice)
    refused = fleet.send(1, shared, helpers.LOOKUP)
    refusal = fleet.received[refused]
    assert refusal is not None
    assert refusal.code is exceptions.ErrorCode.CRASHING_REQUEST
    fleet.finish_all()
    assert fleet.received[first] is None
    for index in range(NODES):
        request_id = fleet.send(index, shared, helpers.LOOKUP)
        fleet.finish_all()
        assert fleet.received[request_id] is None


def test_a_retry_that_overtakes_the_notice_counts_as_a_trial() -> None:
    """The retry of a lost request arrives before the notice of its loss."""
    owner = helpers.owner(upstreams=2)
    request = msgspec.structs.replace(
        helpers.owner_request(1, fingerprint=7), is_suspect=True
    )
    owner.submit(0.0, request)
    actions = owner.finished(0.1, 1, types.Outcome.BROKEN)
    [notice] = [a for a in actions if isinstance(a, types.SuspectNotice)]
    assert notice.is_trial
    [refusal] = owner.submit(0.2, helpers.owner_request(2, fingerprint=7))
    assert isinstance(refusal, types.RefuseRequest)
    assert refusal.code is exceptions.ErrorCode.CRASHING_REQUEST


@pytest.mark.parametrize(
    ("instances", "is_refused"),
    [("aaaa", False), ("ab", True), ("aab", True)],
)
def test_an_upstream_that_breaks_off_again_was_not_crashed(
    instances: str, is_refused: bool
) -> None:
    """A sound upstream broke off answers, and the lookup was refused."""
    registry = _suspects.SuspectRegistry()
    for number, upstream in enumerate(instances):
        note_loss(registry, float(number), upstream, number > 0)
    assert registry.is_blocked(5.0, 7) is is_refused


def test_an_upstream_that_starts_again_under_its_name_was_crashed() -> None:
    owner = helpers.owner(upstreams=0)
    for started_ms in (1, 2):
        announcement = msgspec.structs.replace(
            helpers.announcement(), instance="i-1", started_ms=started_ms
        )
        owner.announce(0.0, announcement)
        request = helpers.owner_request(started_ms, fingerprint=7)
        owner.submit(1.0, request)
        owner.finished(2.0, started_ms, types.Outcome.BROKEN)
    [refusal] = owner.submit(3.0, helpers.owner_request(3, fingerprint=7))
    assert isinstance(refusal, types.RefuseRequest)
    assert refusal.code is exceptions.ErrorCode.CRASHING_REQUEST


# Guards against a shared lookup that is refused for a minute because gray
# upstreams reset its connections: such upstreams have not crashed.
@pytest.mark.parametrize("is_alive", [True, False])
def test_only_upstreams_that_are_gone_make_a_suspect(is_alive: bool) -> None:
    owner = helpers.owner(upstreams=0)
    for started_ms in (1, 2):
        announcement = msgspec.structs.replace(
            helpers.announcement(), instance="i-1", started_ms=started_ms
        )
        owner.announce(0.0, announcement)
        owner.submit(1.0, helpers.owner_request(started_ms, fingerprint=7))
        owner.finished(
            2.0, started_ms, types.Outcome.BROKEN, is_alive=is_alive
        )
    [action] = owner.submit(3.0, helpers.owner_request(3, fingerprint=7))
    assert isinstance(action, types.Dispatch) is is_alive
