"""Tests of the controllers' decisions under load patterns, without a network.

The name of a test is the load pattern; its docstring states the expected
decision and why it matters.
"""

from __future__ import annotations

import msgspec.structs
import pytest

from papayastall import _decision_types as types
from papayastall import _owner_controller
from papayastall import _retry
from papayastall import _service_policy
from papayastall import exceptions
from tests import decision_helpers as helpers

_Code = exceptions.ErrorCode
OWNER_RETRY_LIMITS = _retry.BudgetLimits(
    ratio=0.2, burst=5.0, refill_per_s=0.0
)
TABLE_POLICY = _service_policy.for_table("domain-1", OWNER_RETRY_LIMITS)


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


def _two_attempt_request(number: int) -> types.IngressRequest:
    """Return a lookup with an objective of 0.6 s and up to two attempts."""
    return msgspec.structs.replace(
        helpers.ingress_request(number), max_attempts=2, objective_s=0.6
    )


def _urgent_request(
    number: int, reference_ms: float, now_s: float
) -> types.OwnerRequest:
    """Return a lookup with a deadline in 4 s and an objective of 0.6 s.

    Each reference time has its own route.
    """
    request = helpers.owner_request(
        number,
        deadline_s=now_s + 4.0,
        reference_ms=reference_ms,
        route=str(reference_ms),
    )
    return msgspec.structs.replace(request, objective_s=0.6)


def _request_with_objective(
    number: int, run_ms: float, objective_s: float
) -> types.OwnerRequest:
    """Return a lookup whose deadline is much later than its objective."""
    request = helpers.owner_request(
        number, deadline_s=12.0, reference_ms=run_ms, route=str(run_ms)
    )
    return msgspec.structs.replace(request, objective_s=objective_s)


def test_long_work_with_time_to_spare_before_work_without() -> None:
    """Orders due within 1.5 s don't wait behind searches due within 5 s.

    In arrival order the orders would miss their objective, although the
    searches have time to spare and still meet theirs.
    """
    owner = helpers.owner(slots=1, policy=TABLE_POLICY)
    owner.submit(0.0, _request_with_objective(1, 900.0, 5.0))
    assert owner.submit(0.0, _request_with_objective(2, 900.0, 5.0)) == []
    assert owner.submit(0.1, _request_with_objective(3, 540.0, 1.5)) == []
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
    """A queued request with too little time left is refused as overloaded.

    The upstream was expected to be free earlier. Ingresses try another owner
    after ``overloaded``, but not after ``deadline-exceeded``, which is only
    for a request whose deadline has passed.
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


def test_upstreams_that_turn_gray_one_after_the_other() -> None:
    """A booking is refused by an upstream without proof of health.

    On a gray upstream it would be lost. Lookups still go there, and their
    answers prove the upstream healthy within a second or two.
    """
    owner = helpers.owner(policy=TABLE_POLICY, slots=7)
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
    # Lookups that stay unanswered are evidence against it again.
    for number in range(6, 9):
        owner.submit(0.5, helpers.owner_request(number, reference_ms=160.0))
    booking = helpers.owner_request(
        9, helpers.BOOKING, reference_ms=600.0, hints=wants_proof
    )
    assert _refusals(owner.submit(1.5, booking)) == {9: _Code.UNPROVEN}


def test_no_upstream_is_proved_after_a_common_start() -> None:
    """A booking asks for proof twice, then goes to any owner left.

    After a common start no upstream has answered anything yet, so requests
    that insisted on proof would find no owner.
    """
    ingress = helpers.ingress(owners=4, policy=TABLE_POLICY)
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
    """The second of two attempts asks for proof, the first one does not.

    If the last attempt hung as well, the lookup would fail.
    """
    ingress = helpers.ingress(owners=4, policy=TABLE_POLICY)
    request = _two_attempt_request(1)
    [first] = ingress.begin(0.0, request)
    [second] = ingress.tick(1.0)
    assert isinstance(first, types.ForwardAttempt)
    assert isinstance(second, types.ForwardAttempt)
    assert not first.hints.wants_proof
    assert second.hints.wants_proof


def test_calls_of_other_upstreams_beside_long_work() -> None:
    """Short work may wait past half of its objective; long work may not.

    A call that is refused fails the whole request that sent it.
    """
    owner = helpers.owner(policy=TABLE_POLICY, slots=2)
    now_s = 0.0
    for number in range(100):
        owner.submit(now_s, _urgent_request(number, 1600.0, now_s))
        now_s += 1.6
        owner.finished(now_s, number, types.Outcome.ANSWERED)
    for number in (101, 102):
        owner.submit(now_s, _urgent_request(number, 1600.0, now_s))
    call = _urgent_request(103, 160.0, now_s)
    long = _urgent_request(104, 1600.0, now_s)
    assert owner.submit(now_s, call) == []
    assert _refusals(owner.submit(now_s, long)) == {104: _Code.OVERLOADED}


@pytest.mark.parametrize(("running", "takes_more"), [(0, True), (2, False)])
def test_upstreams_that_refuse_part_of_their_work_unrun(
    running: int, takes_more: bool
) -> None:
    """An upstream that sheds while it has free slots stays in use.

    Such a refusal says nothing about the next request. A full upstream that
    sheds gets no request for a short time.
    """
    owner = helpers.owner(policy=TABLE_POLICY, slots=3)
    for number in range(running + 1):
        owner.submit(0.0, helpers.owner_request(number))
    owner.finished(0.1, 0, types.Outcome.SHED)
    actions = owner.submit(0.1, helpers.owner_request(9))
    assert (types.Dispatch(9, helpers.UPSTREAM) in actions) is takes_more


@pytest.mark.parametrize(("sequence", "weight"), [(2, 0.1), (9, 1.0)])
def test_nodes_restarted_one_after_the_other(
    sequence: int, weight: float
) -> None:
    """An upstream that kept running gets its full share at once.

    A restarted node learns of it by a later announcement of the same start;
    slow start is only for upstreams that have just started themselves.
    """
    owner = helpers.owner(policy=TABLE_POLICY, upstreams=0)
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
    """It runs requests that end before its node stops; none are queued.

    Longer or queued requests would be lost when the node stops.
    """
    owner = helpers.owner(slots=1)
    owner.finish_by(2.5)
    request = helpers.owner_request(1, reference_ms=reference_ms)
    refused = _refusals(owner.submit(0.0, request))
    assert refused == ({} if code is None else {1: code})
    owner.submit(0.0, helpers.owner_request(2))
    waiting = owner.submit(0.0, helpers.owner_request(3))
    assert _refusals(waiting) == {3: _Code.LEAVING}


def test_hedges_needed_for_minutes_by_few_nodes() -> None:
    """A node with few requests gets its part of the slack in every window.

    Few first attempts add little to its budget, so without the refill its
    hedges would stop after the first burst.
    """
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
def test_hedge_to_an_owner_whose_upstream_is_in_doubt(
    code: exceptions.ErrorCode, moves: bool
) -> None:
    """A hedge refused because of doubt is moved to another owner.

    Otherwise the lookup would wait for its first attempt, which hangs.
    """
    ingress = helpers.ingress(owners=4, policy=TABLE_POLICY)
    request = _two_attempt_request(1)
    ingress.begin(0.0, request)
    [hedge] = _forwards(ingress.tick(1.0))
    moved = _forwards(ingress.attempt_ended(1.0, _refuse_attempt(hedge, code)))
    assert bool(moved) is moves
    if moves:
        assert moved[0].owner != hedge.owner


def test_hedges_of_many_lookups_that_hang_at_once() -> None:
    """Hedges that the budget does not allow yet are sent after its refill.

    Without a retry the lookups would hang until their deadlines.
    """
    policy = msgspec.structs.replace(
        TABLE_POLICY,
        retry_budget=_retry.BudgetLimits(0.0, burst=1.0, refill_per_s=1.0),
    )
    ingress = helpers.ingress(owners=6, policy=policy)
    for number in (1, 2, 3):
        ingress.begin(0.0, _two_attempt_request(number))
    hedged = {
        forward.request_id
        for step in range(1, 50)
        for forward in _forwards(ingress.tick(step * 0.1))
    }
    assert hedged == {1, 2, 3}


def _repeat_request(number: int) -> types.OwnerRequest:
    return msgspec.structs.replace(
        helpers.owner_request(number), is_repeat=True
    )


def test_calls_that_begin_on_few_nodes_and_hang() -> None:
    """An owner accepts repeats from any node within its retry budget.

    First attempts from any node add to the budget. With a budget at each
    ingress, a node with few requests could not send the repeats it needs.
    """
    owner = helpers.owner(policy=TABLE_POLICY, slots=50)
    accepted = [
        number
        for number in range(10)
        if not _refusals(owner.submit(0.0, _repeat_request(number)))
    ]
    assert len(accepted) == int(OWNER_RETRY_LIMITS.burst)
    for number in range(10, 15):
        owner.submit(0.0, helpers.owner_request(number))
    assert _refusals(owner.submit(0.0, _repeat_request(20))) == {}
    spent = _refusals(owner.submit(0.0, _repeat_request(21)))
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
    """Only a request that may have reached an upstream is a repeat.

    Refusals by owners must not use up the retry budget.
    """
    ingress = helpers.ingress(owners=4, policy=TABLE_POLICY)
    [first] = _forwards(ingress.begin(0.0, helpers.ingress_request(1)))
    [second] = _forwards(
        ingress.attempt_ended(0.0, _refuse_attempt(first, code))
    )
    assert not first.is_repeat
    assert second.is_repeat is is_repeat


def test_hedges_at_an_owner_with_a_spent_retry_budget() -> None:
    """A hedge refused for an owner's spent budget moves to another owner.

    Each owner has its own part of the budget, so another one may have some
    left.
    """
    ingress = helpers.ingress(owners=4, policy=TABLE_POLICY)
    request = _two_attempt_request(1)
    ingress.begin(0.0, request)
    [hedge] = _forwards(ingress.tick(1.0))
    assert hedge.is_repeat
    spent = _refuse_attempt(hedge, _Code.REPEATS_SPENT)
    [moved] = _forwards(ingress.attempt_ended(1.0, spent))
    assert moved.is_repeat
    assert moved.owner != hedge.owner


def test_many_urgent_very_short_requests_at_a_full_owner() -> None:
    """Very short requests are queued; a long one is refused as overloaded.

    All of the short ones fit into the next slot that becomes free, so
    refusing them would waste it.
    """
    owner = helpers.owner(policy=TABLE_POLICY, slots=2)
    now_s = 0.0
    for number in range(100):
        owner.submit(now_s, _urgent_request(number, 1000.0, now_s))
        now_s += 1.0
        owner.finished(now_s, number, types.Outcome.ANSWERED)
    for number in (101, 102):
        owner.submit(now_s, _urgent_request(number, 1000.0, now_s))
    for number in range(200, 220):
        assert owner.submit(now_s, _urgent_request(number, 2.0, now_s)) == []
    long = _urgent_request(300, 1000.0, now_s)
    assert _refusals(owner.submit(now_s, long)) == {300: _Code.OVERLOADED}


@pytest.mark.parametrize(("weight", "hedged"), [(3.0, False), (0.0, True)])
def test_lookups_that_wait_in_full_queues(weight: float, hedged: bool) -> None:
    """They are not hedged, as hedges would only lengthen the queues.

    A lookup is hedged if its owner reports that it doubts its upstream.
    """
    ingress = helpers.ingress(owners=3, policy=TABLE_POLICY)
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
    """A lookup on a route without a known median is hedged early.

    If its upstream hangs, the hedge still has most of the time left.
    """
    ingress = helpers.ingress(owners=3, policy=TABLE_POLICY)
    request = msgspec.structs.replace(
        helpers.ingress_request(1, deadline_s=1.0),
        max_attempts=2,
        objective_s=1.0,
    )
    ingress.begin(0.0, request)
    assert not _forwards(ingress.tick(0.2))
    assert len(_forwards(ingress.tick(0.3))) == 1


def _doubted_owner() -> _owner_controller.OwnerController:
    """Return an owner that doubts its upstream from 2 s on."""
    owner = helpers.owner(policy=TABLE_POLICY, slots=15)
    for number in (1, 2, 3):
        owner.submit(0.0, helpers.owner_request(number, reference_ms=160.0))
    owner.tick(2.0)
    assert not owner.is_trusted(helpers.UPSTREAM)
    return owner


def test_trial_lookup_that_hangs_until_a_late_deadline() -> None:
    """The next trial is sent a second later, not after the one that hangs.

    The upstream may have recovered meanwhile, and would get nothing.
    """
    owner = _doubted_owner()
    long = helpers.owner_request(4, reference_ms=3200.0)
    assert owner.submit(3.0, long) == [types.Dispatch(4, helpers.UPSTREAM)]
    early = helpers.owner_request(5, reference_ms=160.0)
    assert _refusals(owner.submit(3.5, early)) == {5: _Code.STEERED_AWAY}
    late = helpers.owner_request(6, reference_ms=160.0)
    assert owner.submit(4.0, late) == [types.Dispatch(6, helpers.UPSTREAM)]


@pytest.mark.parametrize(
    ("reference_ms", "is_sent"), [(160.0, True), (3200.0, False)]
)
def test_short_and_long_lookups_while_an_upstream_is_in_doubt(
    reference_ms: float, is_sent: bool
) -> None:
    """A short lookup is a trial at once; a long one only if no other comes.

    The result of a long one is known late, and a hang costs its caller more.
    """
    owner = _doubted_owner()
    request = helpers.owner_request(4, reference_ms=reference_ms)
    actions = owner.submit(2.1, request)
    assert (types.Dispatch(4, helpers.UPSTREAM) in actions) is is_sent
    request = helpers.owner_request(5, reference_ms=reference_ms)
    actions = owner.submit(3.2, request)
    assert types.Dispatch(5, helpers.UPSTREAM) in actions
