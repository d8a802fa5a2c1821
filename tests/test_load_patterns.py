"""Load patterns, each with the decision that it asks for; no network.

The pattern is the name of the test; its docstring says who would suffer.
"""

from __future__ import annotations

import msgspec.structs
import pytest

from papayastall import _decision_types as types
from papayastall import _retry
from papayastall import _service_policy
from papayastall import exceptions
from tests import decision_helpers as helpers

_Code = exceptions.ErrorCode
REPEAT_LIMITS = _retry.BudgetLimits(ratio=0.2, burst=5.0, refill_per_s=0.0)
GRAY = _service_policy.for_table("domain-1", REPEAT_LIMITS)


def _refusals(
    actions: list[types.OwnerAction],
) -> dict[int, exceptions.ErrorCode]:
    return {
        action.request_id: action.code
        for action in actions
        if isinstance(action, types.RefuseRequest)
    }


def _refuse_attempt(
    attempt: types.ForwardAttempt, code: exceptions.ErrorCode
) -> types.AttemptOutcome:
    return types.AttemptOutcome(
        attempt.request_id,
        attempt.attempt,
        types.AttemptResult.NOT_RUN,
        None,
        code,
        2.0,
        None,
    )


def _forwards(
    actions: list[types.IngressAction],
) -> list[types.ForwardAttempt]:
    return [
        action
        for action in actions
        if isinstance(action, types.ForwardAttempt)
    ]


def _two_attempts(number: int) -> types.IngressRequest:
    """Return a lookup that two upstreams may run, due within 0.6 s."""
    return msgspec.structs.replace(
        helpers.ingress_request(number), max_attempts=2, objective_s=0.6
    )


def _timed_request(
    number: int, reference_ms: float, now_s: float
) -> types.OwnerRequest:
    """Return a lookup with 4 s to its deadline and 0.6 s to its objective."""
    request = helpers.owner_request(
        number,
        deadline_s=now_s + 4.0,
        reference_ms=reference_ms,
        route=str(reference_ms),
    )
    return msgspec.structs.replace(request, objective_s=0.6)


def _with_objective(
    number: int, run_ms: float, objective_s: float
) -> types.OwnerRequest:
    """Return a lookup that has long beyond its objective."""
    request = helpers.owner_request(
        number, deadline_s=12.0, reference_ms=run_ms, route=str(run_ms)
    )
    return msgspec.structs.replace(request, objective_s=objective_s)


def test_long_work_with_time_to_spare_before_work_without() -> None:
    """Orders due within 1.5 s don't wait behind searches due within 5 s.

    The searches still make it.
    """
    owner = helpers.owner(slots=1, policy=GRAY)
    owner.submit(0.0, _with_objective(1, 900.0, 5.0))
    assert owner.submit(0.0, _with_objective(2, 900.0, 5.0)) == []
    assert owner.submit(0.1, _with_objective(3, 540.0, 1.5)) == []
    actions = owner.finished(0.5, 1, types.Outcome.ANSWERED)
    assert actions == [types.Dispatch(3, helpers.UPSTREAM)]
    actions = owner.finished(1.0, 3, types.Outcome.ANSWERED)
    assert actions == [types.Dispatch(2, helpers.UPSTREAM)]


@pytest.mark.parametrize(
    ("deadline_s", "code"),
    [(1.4, _Code.OVERLOADED), (0.5, _Code.DEADLINE_EXCEEDED)],
)
def test_queue_behind_an_upstream_that_suddenly_hangs(
    deadline_s: float, code: exceptions.ErrorCode
) -> None:
    """What no longer fits here goes on to an owner with a free slot.

    ``overloaded`` is followed by ingresses, ``deadline-exceeded`` is not.
    """
    owner = helpers.owner(slots=1)
    owner.submit(0.0, helpers.owner_request(1, reference_ms=300.0))
    owner.submit(
        0.0,
        helpers.owner_request(
            2, deadline_s=deadline_s, reference_ms=300.0 * deadline_s / 1.4
        ),
    )
    actions = owner.finished(1.0, 1, types.Outcome.ANSWERED)
    assert _refusals(actions) == {2: code}


def test_upstreams_that_turn_gray_in_turns() -> None:
    """A booking is kept from an upstream that no recent work has proved.

    Lookups still go there and prove it within a second or two.
    """
    owner = helpers.owner(policy=GRAY, slots=7)
    wants_proof = types.RequestHints(wants_proof=True)
    booking = helpers.owner_request(
        1, helpers.BOOKING, reference_ms=600.0, hints=wants_proof
    )
    assert _refusals(owner.submit(0.0, booking)) == {1: _Code.UNPROVEN}
    for number in range(2, 5):
        owner.submit(0.1, helpers.owner_request(number, reference_ms=160.0))
        owner.finished(0.3, number, types.Outcome.ANSWERED)
    booking = helpers.owner_request(
        5, helpers.BOOKING, reference_ms=600.0, hints=wants_proof
    )
    assert owner.submit(0.4, booking) == [types.Dispatch(5, helpers.UPSTREAM)]
    # Lookups that have gone unanswered for long speak against it again.
    for number in range(6, 9):
        owner.submit(0.5, helpers.owner_request(number, reference_ms=160.0))
    booking = helpers.owner_request(
        9, helpers.BOOKING, reference_ms=600.0, hints=wants_proof
    )
    assert _refusals(owner.submit(1.5, booking)) == {9: _Code.UNPROVEN}


def test_no_upstream_is_proved_after_a_common_start() -> None:
    """A booking asks for proof twice and then goes to whoever is left."""
    ingress = helpers.ingress(owners=4, policy=GRAY)
    actions = ingress.begin(0.0, helpers.ingress_request(1, helpers.BOOKING))
    wanted = []
    for _ in range(3):
        [forward] = actions
        assert isinstance(forward, types.ForwardAttempt)
        wanted.append(forward.hints.wants_proof)
        refused = _refuse_attempt(forward, _Code.UNPROVEN)
        actions = ingress.attempt_ended(0.0, refused)
    assert wanted == [True, True, False]


def test_last_attempt_of_a_lookup_that_hung_once() -> None:
    """The second of two attempts asks for proof, the first one does not."""
    ingress = helpers.ingress(owners=4, policy=GRAY)
    request = _two_attempts(1)
    [first] = ingress.begin(0.0, request)
    [second] = ingress.tick(1.0)
    assert isinstance(first, types.ForwardAttempt)
    assert isinstance(second, types.ForwardAttempt)
    assert not first.hints.wants_proof
    assert second.hints.wants_proof


def test_calls_of_other_upstreams_beside_long_work() -> None:
    """Short work waits past half of its objective; long work does not.

    A call that is turned away costs the whole run that made it.
    """
    owner = helpers.owner(policy=GRAY, slots=2)
    now_s = 0.0
    for number in range(100):
        owner.submit(now_s, _timed_request(number, 1600.0, now_s))
        now_s += 1.6
        owner.finished(now_s, number, types.Outcome.ANSWERED)
    for number in (101, 102):
        owner.submit(now_s, _timed_request(number, 1600.0, now_s))
    call = _timed_request(103, 160.0, now_s)
    long = _timed_request(104, 1600.0, now_s)
    assert owner.submit(now_s, call) == []
    assert _refusals(owner.submit(now_s, long)) == {104: _Code.OVERLOADED}


@pytest.mark.parametrize(("running", "takes_more"), [(0, True), (2, False)])
def test_upstreams_that_refuse_part_of_their_work_unrun(
    running: int, takes_more: bool
) -> None:
    """One that refuses with free slots gets the next request at once."""
    owner = helpers.owner(policy=GRAY, slots=3)
    for number in range(running + 1):
        owner.submit(0.0, helpers.owner_request(number))
    owner.finished(0.1, 0, types.Outcome.SHED)
    actions = owner.submit(0.1, helpers.owner_request(9))
    assert (types.Dispatch(9, helpers.UPSTREAM) in actions) is takes_more


@pytest.mark.parametrize(("sequence", "weight"), [(2, 0.1), (9, 1.0)])
def test_nodes_restarted_one_after_the_other(
    sequence: int, weight: float
) -> None:
    """An upstream that ran all the while gets its whole share at once."""
    owner = helpers.owner(policy=GRAY, upstreams=0)
    announcement = msgspec.structs.replace(
        helpers.announcement(slots=1),
        instance="i-1",
        started_ms=1,
        sequence=sequence,
    )
    owner.announce(0.0, announcement)
    assert owner.load(0.0, helpers.SERVICE).weight == pytest.approx(weight)


@pytest.mark.parametrize(
    ("reference_ms", "code"), [(600.0, None), (2000.0, _Code.LEAVING)]
)
def test_upstream_beside_a_node_that_stops(
    reference_ms: float, code: exceptions.ErrorCode | None
) -> None:
    """It still runs what ends before its node does, and nothing waits."""
    owner = helpers.owner(slots=1)
    owner.finish_by(2.5)
    request = helpers.owner_request(1, reference_ms=reference_ms)
    refused = _refusals(owner.submit(0.0, request))
    assert refused == ({} if code is None else {1: code})
    owner.submit(0.0, helpers.owner_request(2))
    waiting = owner.submit(0.0, helpers.owner_request(3))
    assert _refusals(waiting) == {3: _Code.LEAVING}


def test_hedges_needed_for_minutes_by_few_nodes() -> None:
    """A node with few requests of its own gets its part of the slack anew."""
    limits = _retry.share_budget(0.17, 51.0, 10.0, 21)
    budget = _retry.RetryBudget(limits)
    taken = [now_s for now_s in range(60) if budget.take(float(now_s))]
    assert len([at_s for at_s in taken if at_s >= 50]) >= 0.3 * 51 / 21
    for start in range(50):
        window = [at_s for at_s in taken if start <= at_s < start + 10]
        assert len(window) <= 51 / 21 + 1


@pytest.mark.parametrize(
    ("code", "moves"),
    [
        (_Code.UNPROVEN, True),
        (_Code.STEERED_AWAY, True),
        (_Code.OVERLOADED, False),
        (_Code.UPSTREAM_FULL, False),
    ],
)
def test_hedge_meets_an_owner_in_doubt(
    code: exceptions.ErrorCode, moves: bool
) -> None:
    """The lookup that hangs gets its second attempt at another owner."""
    ingress = helpers.ingress(owners=4, policy=GRAY)
    request = _two_attempts(1)
    ingress.begin(0.0, request)
    [hedge] = _forwards(ingress.tick(1.0))
    moved = _forwards(ingress.attempt_ended(1.0, _refuse_attempt(hedge, code)))
    assert bool(moved) is moves
    if moves:
        assert moved[0].owner != hedge.owner


def test_hedges_of_many_lookups_that_hang_at_once() -> None:
    """Those that the budget can't pay at first are sent as it fills again."""
    policy = msgspec.structs.replace(
        GRAY,
        retry_budget=_retry.BudgetLimits(0.0, burst=1.0, refill_per_s=1.0),
    )
    ingress = helpers.ingress(owners=6, policy=policy)
    for number in (1, 2, 3):
        ingress.begin(0.0, _two_attempts(number))
    hedged = {
        forward.request_id
        for step in range(1, 50)
        for forward in _forwards(ingress.tick(step * 0.1))
    }
    assert hedged == {1, 2, 3}


def _repeat(number: int) -> types.OwnerRequest:
    return msgspec.structs.replace(
        helpers.owner_request(number), is_repeat=True
    )


def test_calls_that_begin_on_few_nodes_and_hang() -> None:
    """The owner's part of the budget serves whoever needs it.

    First attempts fill it, wherever they come from.
    """
    owner = helpers.owner(policy=GRAY, slots=50)
    paid = [
        number
        for number in range(10)
        if not _refusals(owner.submit(0.0, _repeat(number)))
    ]
    assert len(paid) == int(REPEAT_LIMITS.burst)
    for number in range(10, 15):
        owner.submit(0.0, helpers.owner_request(number))
    assert _refusals(owner.submit(0.0, _repeat(20))) == {}
    spent = _refusals(owner.submit(0.0, _repeat(21)))
    assert spent == {21: _Code.REPEATS_SPENT}


@pytest.mark.parametrize(
    ("code", "is_repeat"),
    [
        (_Code.STEERED_AWAY, False),
        (_Code.OVERLOADED, False),
        (_Code.UPSTREAM_FULL, True),
    ],
)
def test_refused_requests_that_are_sent_on(
    code: exceptions.ErrorCode, is_repeat: bool
) -> None:
    """Only what has reached an upstream before counts as a repeat."""
    ingress = helpers.ingress(owners=4, policy=GRAY)
    [first] = _forwards(ingress.begin(0.0, helpers.ingress_request(1)))
    [second] = _forwards(
        ingress.attempt_ended(0.0, _refuse_attempt(first, code))
    )
    assert not first.is_repeat
    assert second.is_repeat is is_repeat


def test_hedges_are_repeats_and_find_an_owner_that_can_pay() -> None:
    """Where one owner's part is spent, another one's may not be."""
    ingress = helpers.ingress(owners=4, policy=GRAY)
    request = _two_attempts(1)
    ingress.begin(0.0, request)
    [hedge] = _forwards(ingress.tick(1.0))
    assert hedge.is_repeat
    spent = _refuse_attempt(hedge, _Code.REPEATS_SPENT)
    [moved] = _forwards(ingress.attempt_ended(1.0, spent))
    assert moved.is_repeat
    assert moved.owner != hedge.owner


def test_many_urgent_requests_of_no_length_at_a_full_owner() -> None:
    """All of them fit behind the next slot that comes free."""
    owner = helpers.owner(policy=GRAY, slots=2)
    now_s = 0.0
    for number in range(100):
        owner.submit(now_s, _timed_request(number, 1000.0, now_s))
        now_s += 1.0
        owner.finished(now_s, number, types.Outcome.ANSWERED)
    for number in (101, 102):
        owner.submit(now_s, _timed_request(number, 1000.0, now_s))
    for number in range(200, 220):
        assert owner.submit(now_s, _timed_request(number, 2.0, now_s)) == []
    long = _timed_request(300, 1000.0, now_s)
    assert _refusals(owner.submit(now_s, long)) == {300: _Code.OVERLOADED}


@pytest.mark.parametrize(("weight", "hedged"), [(3.0, False), (0.0, True)])
def test_lookups_that_wait_in_full_queues(weight: float, hedged: bool) -> None:
    """They get no second attempt, which would only lengthen the queues.

    One whose owner has come to doubt its upstream does.
    """
    ingress = helpers.ingress(owners=3, policy=GRAY)
    request = msgspec.structs.replace(
        helpers.ingress_request(1, deadline_s=2.0), max_attempts=2
    )
    [first] = _forwards(ingress.begin(0.0, request))
    for number in (1, 2, 3):
        owner = f"10.0.0.{number}:7000"
        is_own = owner == first.owner
        ingress.note_load(
            1.4, helpers.load(owner, weight if is_own else 3.0, in_flight=9)
        )
    assert bool(_forwards(ingress.tick(1.5))) is hedged


def test_first_requests_on_a_route_that_was_just_added() -> None:
    """One that meets a hanging upstream has most of its time left."""
    ingress = helpers.ingress(owners=3, policy=GRAY)
    request = msgspec.structs.replace(
        helpers.ingress_request(1, deadline_s=1.0),
        max_attempts=2,
        objective_s=1.0,
    )
    ingress.begin(0.0, request)
    assert not _forwards(ingress.tick(0.2))
    assert len(_forwards(ingress.tick(0.3))) == 1
