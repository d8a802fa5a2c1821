"""Tests of decisions for work that may run once beside hanging upstreams."""

from __future__ import annotations

import math
import random

import msgspec.structs
import pytest

from papayastall import _decision_types as types
from papayastall import _gray_filter
from papayastall import _ingress_controller
from papayastall import _retry
from papayastall import _service_policy
from papayastall import proof
from tests import decision_helpers as helpers

MODEL = _gray_filter.GrayModel()
TUNING = proof.ProofTuning()
LIMITS = _retry.BudgetLimits(ratio=0.12, burst=2.0, refill_per_s=0.1)
VARIED = _service_policy.for_table("domain-1", LIMITS, is_varied=True)
OWNERS = 6


def _ingress(
    policy: _service_policy.ServicePolicy = VARIED, run_ms: float = 160.0
) -> _ingress_controller.IngressController:
    """Return an ingress that knows the median of the lookups' route."""
    ingress = helpers.ingress(OWNERS, policy)
    for number in range(1000, 1010):
        [forward] = ingress.begin(-60.0, helpers.ingress_request(number))
        assert isinstance(forward, types.ForwardAttempt)
        load = msgspec.structs.replace(
            helpers.load(forward.owner), latency_ms=run_ms
        )
        ingress.attempt_ended(-59.0, _answer(forward, load))
    return ingress


def _answer(
    forward: types.ForwardAttempt, load: types.OwnerLoad | None
) -> types.AttemptOutcome:
    return types.AttemptOutcome(
        forward.request_id,
        forward.attempt,
        types.AttemptResult.ANSWERED,
        200,
        None,
        None,
        load,
    )


def _report(
    ingress: _ingress_controller.IngressController,
    number: int,
    now_s: float = 0.0,
    gray_odds: float | None = None,
    repeats_left: float | None = None,
) -> str:
    owner = f"10.0.0.{number}:7000"
    load = msgspec.structs.replace(
        helpers.load(owner), gray_odds=gray_odds, repeats_left=repeats_left
    )
    ingress.note_load(now_s, load)
    return owner


def _first_owners(
    ingress: _ingress_controller.IngressController,
    kind: types.RequestKind,
    now_s: float = 0.0,
) -> set[str]:
    owners = set()
    for number in range(1, 30):
        [forward] = ingress.begin(now_s, helpers.ingress_request(number, kind))
        assert isinstance(forward, types.ForwardAttempt)
        owners.add(forward.owner)
        ingress.caller_gone(now_s, number)
    return owners


def _hedged_after_s(
    ingress: _ingress_controller.IngressController,
) -> tuple[float, types.ForwardAttempt]:
    request = msgspec.structs.replace(
        helpers.ingress_request(1, deadline_s=2.0), max_attempts=2
    )
    ingress.begin(0.0, request)
    for step in range(1, 200):
        for action in ingress.tick(step * 0.01):
            if isinstance(action, types.ForwardAttempt):
                return step * 0.01, action
    raise AssertionError("not hedged")


@pytest.mark.parametrize("kind", [helpers.BOOKING, helpers.LOOKUP])
def test_bookings_and_calls_go_to_upstreams_that_just_answered(
    kind: types.RequestKind,
) -> None:
    """Any other upstream may have begun to hang since its last answer."""
    ingress = _ingress()
    for number in range(1, OWNERS + 1):
        _report(ingress, number, gray_odds=-1.5)
    proved = {_report(ingress, 2, gray_odds=-5.0)}
    assert _first_owners(ingress, kind) == proved
    assert ingress.explain(0.0, helpers.SERVICE)["owners_proved"] == 1


def test_an_old_report_counts_no_more_than_none() -> None:
    """Gray periods begin within seconds, so old proof has no value."""
    ingress = _ingress()
    _report(ingress, 2, gray_odds=-5.0)
    assert len(_first_owners(ingress, helpers.BOOKING, 60.0)) > 1


def test_all_upstreams_in_doubt_still_take_bookings() -> None:
    """An estimate must not cost a service its capacity."""
    ingress = _ingress()
    for number in range(1, OWNERS + 1):
        _report(ingress, number, gray_odds=5.0)
    assert _first_owners(ingress, helpers.BOOKING)


def test_longer_lookups_go_to_upstreams_without_recent_proof() -> None:
    """Healthy upstreams would get nothing if all requests followed proof."""
    ingress = _ingress(run_ms=400.0)
    proved = {_report(ingress, number, gray_odds=-5.0) for number in (1, 2)}
    owners = _first_owners(ingress, helpers.LOOKUP)
    assert not owners & proved


def test_a_full_proved_upstream_leaves_bookings_to_the_others() -> None:
    """Proof at one upstream must not queue all bookings there."""
    ingress = _ingress()
    proved = _report(ingress, 2, gray_odds=-5.0)
    load = msgspec.structs.replace(
        helpers.load(proved, in_flight=3), gray_odds=-5.0
    )
    ingress.note_load(0.0, load)
    assert proved not in _first_owners(ingress, helpers.BOOKING)


def test_hedges_at_doubtful_and_at_proved_upstreams() -> None:
    """A doubtful upstream's lookup is hedged first, and to a proved one.

    One delay for all hedges long runs of healthy upstreams, which spends the
    retry budget, and leaves too little time for calls that hang.
    """
    delays = []
    for odds in (1.0, -5.0):
        ingress = _ingress()
        for number in range(1, OWNERS + 1):
            _report(ingress, number, gray_odds=odds)
        delays.append(_hedged_after_s(ingress)[0])
    doubtful_s, proved_s = delays
    assert 0.15 <= doubtful_s < 0.3
    assert 0.4 <= proved_s < 0.7


def test_a_hedge_goes_to_an_owner_with_budget_left() -> None:
    """Owners have equal parts of the budget; others refuse the hedge."""
    ingress = _ingress()
    for number in range(1, OWNERS + 1):
        _report(ingress, number, gray_odds=-1.5, repeats_left=0.2)
    # The first attempt may go to one of them.
    rich = {
        _report(ingress, number, gray_odds=-1.5, repeats_left=2.0)
        for number in (4, 5)
    }
    _, hedge = _hedged_after_s(ingress)
    assert hedge.owner in rich


def test_a_lookup_close_to_its_deadline_leaves_time_for_a_second_run() -> None:
    """A call must end before its caller's time is over."""
    for left_s, is_hedged in ((2.0, False), (0.5, True)):
        stuck = proof.is_likely_stuck(0.3, 0.16, left_s, 0.02, MODEL, TUNING)
        assert stuck is is_hedged


@pytest.mark.parametrize(
    "odds", [math.nan, math.inf, -math.inf, 1e300, -1e300]
)
def test_reports_with_values_out_of_range(odds: float) -> None:
    """A faulty owner's report must not raise an exception at an ingress."""
    report = proof.OwnerReport()
    report.note(0.0, odds, odds)
    assert 0.0 <= report.gray_share(1.0, MODEL) <= 1.0
    assert report.may_repeat(1.0, LIMITS) in (True, False)


def test_routes_whose_owners_have_answered_little() -> None:
    """The ingress takes the median from its own answers until then.

    Without a median, lookups that take 0.6 s were hedged after a quarter of
    their objective, although nothing hung.
    """
    ingress = helpers.ingress(OWNERS, VARIED)
    for number in range(10):
        [forward] = ingress.begin(
            number, helpers.ingress_request(number, deadline_s=1e6)
        )
        assert isinstance(forward, types.ForwardAttempt)
        load = msgspec.structs.replace(
            helpers.load(forward.owner), latency_ms=None
        )
        ingress.attempt_ended(number + 0.6, _answer(forward, load))
    request = msgspec.structs.replace(
        helpers.ingress_request(100), max_attempts=2, objective_s=2.0
    )
    ingress.begin(20.0, request)
    assert ingress.tick(20.6) == []


def test_the_owner_reports_odds_and_budget_only_where_enabled() -> None:
    """Deployments without varied requests see the same frames as before."""
    owner = helpers.owner(VARIED)
    load = owner.load(0.0, helpers.SERVICE)
    assert load.gray_odds is not None
    assert load.repeats_left == LIMITS.burst
    plain = _service_policy.for_table("domain-1", LIMITS)
    load = helpers.owner(plain).load(0.0, helpers.SERVICE)
    assert load.gray_odds is None
    assert load.repeats_left is None


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_budget_of_the_fleet_holds_in_every_window(seed: int) -> None:
    """Reads of the budget for reports must not add tokens to it."""
    rng = random.Random(seed)
    owners, ratio, slack, window_s = 34, 0.12, 99.6, 10.0
    limits = _retry.share_budget(ratio, slack, window_s, owners)
    budgets = [_retry.RetryBudget(limits) for _ in range(owners)]
    events: list[tuple[float, bool]] = []
    now_s = 0.0
    while now_s < 60.0:
        # Busy and idle spans, so that tokens are saved up between.
        is_busy = int(now_s / 7.0) % 2 == 0
        now_s += rng.expovariate(200.0 if is_busy else 20.0)
        budget = rng.choice(budgets)
        if rng.random() < 0.5:
            budget.deposit(now_s)
            events.append((now_s, False))
        else:
            best = max(budgets, key=lambda each: each.left(now_s))
            if best.take(now_s):
                events.append((now_s, True))
    for start_s, _ in events[::20]:
        inside = [
            is_repeat
            for at_s, is_repeat in events
            if start_s <= at_s < start_s + window_s
        ]
        repeats = sum(inside)
        assert repeats <= 0.2 * (len(inside) - repeats) + 166
