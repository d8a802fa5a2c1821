"""Tests of evidence, steering away and return, one upstream at a time."""

from __future__ import annotations

import msgspec.structs

from papayastall import _decision_types as types
from papayastall import _owner_controller
from papayastall import _owner_state
from papayastall import _service_policy
from papayastall import documents
from tests import decision_helpers as helpers

CAPACITY = _service_policy.ServicePolicy(
    floor_slots=4, health_priority=documents.HealthPriority.CAPACITY
)
ANSWERED = types.Outcome.ANSWERED
FAILED = types.Outcome.FAILED


class Load:
    """Sends requests to an owner, one after another, and ends each."""

    def __init__(self, owner: _owner_controller.OwnerController) -> None:
        self.owner = owner
        self.now_s = 0.0
        self.next_id = 1

    def send(
        self,
        kind: types.RequestKind = helpers.LOOKUP,
        run_s: float = 0.05,
        outcome: types.Outcome = ANSWERED,
        reference_ms: float = 50.0,
        hints: types.RequestHints | None = None,
    ) -> bool:
        """Send one request and return whether it was dispatched.

        A dispatched one ends after ``run_s`` with ``outcome``.
        """
        request = helpers.owner_request(
            self.next_id,
            kind,
            self.now_s + 60.0,
            reference_ms,
            hints=hints,
        )
        self.next_id += 1
        actions = self.owner.submit(self.now_s, request)
        if not any(isinstance(a, types.Dispatch) for a in actions):
            self.wait(0.1)
            return False
        self.now_s += run_s
        self.owner.finished(self.now_s, request.request_id, outcome)
        self.wait(0.01)
        return True

    def wait(self, seconds: float) -> list[types.OwnerAction]:
        """Advance the time and tick."""
        self.now_s += seconds
        return self.owner.tick(self.now_s)

    def standing(self) -> _owner_state.Standing | None:
        """Return the upstream's standing."""
        return self.owner.standing(helpers.UPSTREAM)


def _fail_until_steered(load: Load) -> None:
    for _ in range(40):
        load.send(outcome=FAILED)
        if load.standing() is _owner_state.Standing.STEERED:
            return
    raise AssertionError("40 failures in a row steered nothing away")


def test_a_service_that_is_slow_as_a_whole_steers_nothing_away() -> None:
    load = Load(helpers.owner())
    for _ in range(100):
        assert load.send(run_s=0.5, reference_ms=500.0)
    assert load.standing() is _owner_state.Standing.HEALTHY


def test_an_upstream_five_times_slower_than_its_service_is_steered() -> None:
    load = Load(helpers.owner())
    for _ in range(40):
        load.send(run_s=0.25)
    assert load.standing() is _owner_state.Standing.STEERED


def test_errors_of_the_whole_service_steer_nothing_away() -> None:
    load = Load(helpers.owner())
    hints = types.RequestHints(reference_error_ratio=0.5)
    for number in range(100):
        outcome = FAILED if number % 2 else ANSWERED
        load.send(outcome=outcome, hints=hints)
    assert load.standing() is _owner_state.Standing.HEALTHY


def test_errors_of_one_route_count_though_others_are_answered() -> None:
    load = Load(helpers.owner())
    sent = 0
    for _ in range(20):
        sent += load.send(helpers.BOOKING, outcome=FAILED)
        load.send()
        load.send()
    assert sent <= 3


def test_a_cold_start_is_not_a_failure() -> None:
    owner = helpers.owner()
    cold = helpers.announcement(state=types.UpstreamState.COLD)
    owner.announce(0.0, cold)
    load = Load(owner)
    for _ in range(20):
        assert load.send(run_s=0.3)


def test_old_requests_beside_answered_ones_are_no_stall() -> None:
    owner = helpers.owner(slots=7)
    load = Load(owner)
    for number in (1001, 1002):
        request = helpers.owner_request(number, helpers.BOOKING)
        owner.submit(0.0, request)
    for _ in range(100):
        assert load.send()


def test_a_fast_failure_keeps_its_slot_for_the_usual_time() -> None:
    """Otherwise an upstream that fails at once would get most requests."""
    owner = helpers.owner(slots=1)
    owner.submit(0.0, helpers.owner_request(1))
    owner.finished(0.001, 1, FAILED)
    assert owner.submit(0.002, helpers.owner_request(2)) == []
    assert owner.load(0.002, helpers.SERVICE).in_flight == 1
    assert owner.tick(0.051) == [types.Dispatch(2, helpers.UPSTREAM)]


def test_return_takes_lookups_only_and_starts_slowly() -> None:
    load = Load(helpers.owner())
    _fail_until_steered(load)
    for _ in range(100):
        assert not load.send(helpers.BOOKING)
    assert load.standing() is _owner_state.Standing.STEERED
    passed = sum(load.send() for _ in range(3))
    assert passed == 3
    assert load.standing() is _owner_state.Standing.RETURNING
    assert 0.0 < load.owner.load(load.now_s, helpers.SERVICE).weight < 1.0
    load.wait(10.0)
    assert load.owner.load(load.now_s, helpers.SERVICE).weight == 3.0


def test_exclusions_grow_for_an_upstream_that_is_steered_again() -> None:
    load = Load(helpers.owner())
    durations_s = []
    for _ in range(4):
        _fail_until_steered(load)
        start_s = load.now_s
        while load.standing() is _owner_state.Standing.STEERED:
            load.send()
        durations_s.append(load.now_s - start_s)
    assert durations_s == sorted(durations_s)
    assert durations_s[-1] >= 4 * durations_s[0]


def test_no_upstream_is_ejected_while_most_of_a_service_is_steered() -> None:
    owner = helpers.owner(slots=7)
    hints = types.RequestHints(healthy_share=0.4)
    for number in range(5):
        owner.submit(0.0, helpers.owner_request(number, hints=hints))
    for second in range(1, 60):
        actions = owner.tick(float(second))
        assert not any(isinstance(a, types.AskPermit) for a in actions)
    assert owner.standing(helpers.UPSTREAM) is _owner_state.Standing.STEERED


def test_the_capacity_setting_waits_for_more_evidence() -> None:
    counts = []
    for policy in (helpers.DETECTION, CAPACITY):
        load = Load(helpers.owner(policy))
        count = 0
        while load.standing() is not _owner_state.Standing.STEERED:
            count += load.send(outcome=FAILED)
        counts.append(count)
    assert counts[0] < counts[1]


def test_last_resort_uses_a_steered_upstream_but_no_ejected_one() -> None:
    load = Load(helpers.owner())
    _fail_until_steered(load)
    last = types.RequestHints(last_resort=True)
    assert load.send(helpers.BOOKING, hints=last)
    load.owner.permit_answered(load.now_s, helpers.UPSTREAM, True)
    assert load.standing() is _owner_state.Standing.EJECTED
    assert not load.send(helpers.BOOKING, hints=last)


def test_a_late_permit_is_released() -> None:
    load = Load(helpers.owner())
    released = load.owner.permit_answered(0.0, helpers.UPSTREAM, True)
    assert released == [types.ReleasePermit(helpers.UPSTREAM, helpers.SERVICE)]


def test_without_lookups_an_upstream_still_returns_in_time() -> None:
    load = Load(helpers.owner())
    _fail_until_steered(load)
    load.wait(60.0)
    assert load.standing() is _owner_state.Standing.RETURNING


def test_a_policy_can_replace_the_health_thresholds() -> None:
    tuning = msgspec.structs.replace(
        helpers.DETECTION.thresholds(), steer_score=1e9, doubt_score=1e9
    )
    policy = msgspec.structs.replace(helpers.DETECTION, health=tuning)
    load = Load(helpers.owner(policy))
    for _ in range(40):
        assert load.send(run_s=0.25)
