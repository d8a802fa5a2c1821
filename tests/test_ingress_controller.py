"""Tests of an ingress's decisions: routing, retries, hedges and answers."""

from __future__ import annotations

import msgspec.structs
import pytest

from papayastall import _decision_types as types
from papayastall import _ingress_controller
from papayastall import exceptions
from tests import decision_helpers as helpers


def _make_outcome(
    attempt: types.ForwardAttempt,
    result: types.AttemptResult,
    code: exceptions.ErrorCode | None = None,
) -> types.AttemptOutcome:
    return types.AttemptOutcome(
        attempt.request_id, attempt.attempt, result, None, code, None, None
    )


def _only_forward(actions: list[types.IngressAction]) -> types.ForwardAttempt:
    [forward] = [a for a in actions if isinstance(a, types.ForwardAttempt)]
    return forward


def test_a_booking_moves_on_after_not_run_but_not_after_unknown() -> None:
    ingress = helpers.ingress()
    request = helpers.ingress_request(1, helpers.BOOKING)
    first = _only_forward(ingress.begin(0.0, request))
    refused = _make_outcome(
        first, types.AttemptResult.NOT_RUN, exceptions.ErrorCode.LEAVING
    )
    second = _only_forward(ingress.attempt_ended(0.1, refused))
    assert second.owner != first.owner
    broken = _make_outcome(
        second,
        types.AttemptResult.UNKNOWN,
        exceptions.ErrorCode.UPSTREAM_FAILED,
    )
    [refusal] = ingress.attempt_ended(0.2, broken)
    assert isinstance(refusal, types.RefuseRequest)
    assert refusal.ran is exceptions.RanState.UNKNOWN
    assert refusal.retry_after_s is None


def test_a_late_lookup_is_hedged_and_the_loser_cancelled() -> None:
    ingress = helpers.ingress()
    first = _only_forward(ingress.begin(0.0, helpers.ingress_request(1)))
    second = _only_forward(ingress.tick(1.0))
    assert second.owner != first.owner
    assert ingress.answer_started(
        1.1, 1, second.attempt, helpers.load(second.owner), 200
    ) == [
        types.AnswerChosen(1, second.attempt),
        types.CancelAttempt(1, first.attempt),
    ]
    assert ingress.tick(2.0) == []


def test_a_booking_is_never_hedged() -> None:
    ingress = helpers.ingress()
    ingress.begin(0.0, helpers.ingress_request(1, helpers.BOOKING))
    for tenth in range(100):
        assert ingress.tick(tenth / 10) == []


def test_an_owner_that_was_silent_gets_no_booking_until_it_is_heard() -> None:
    ingress = helpers.ingress(owners=2)
    first = _only_forward(ingress.begin(0.0, helpers.ingress_request(1)))
    second = _only_forward(ingress.tick(1.0))
    ingress.answer_started(
        1.1, 1, second.attempt, helpers.load(second.owner), 200
    )
    assert ingress.peers_to_ping(1.1) == {first.owner}
    for number in range(10, 30):
        request = helpers.ingress_request(number, helpers.BOOKING)
        assert _only_forward(ingress.begin(1.2, request)).owner == second.owner
    ingress.peer_heard(1.3, first.owner)
    request = helpers.ingress_request(30, helpers.BOOKING)
    assert _only_forward(ingress.begin(1.4, request)).owner == first.owner


def test_a_request_moves_on_after_two_overload_refusals_at_any_load() -> None:
    ingress = helpers.ingress(owners=4)
    actions = ingress.begin(0.0, helpers.ingress_request(1))
    tried = set()
    for _ in range(3):
        forward = _only_forward(actions)
        tried.add(forward.owner)
        full = helpers.load(forward.owner, in_flight=30)
        outcome = types.AttemptOutcome(
            1,
            forward.attempt,
            types.AttemptResult.NOT_RUN,
            None,
            exceptions.ErrorCode.OVERLOADED,
            1.5,
            full,
        )
        actions = ingress.attempt_ended(0.0, outcome)
    assert len(tried) == 3


def test_retries_of_lookups_stay_within_their_budget() -> None:
    ingress = helpers.ingress()
    attempts = 0
    for number in range(1, 501):
        now_s = number * 0.001
        actions = ingress.begin(now_s, helpers.ingress_request(number))
        while forwards := [
            a for a in actions if isinstance(a, types.ForwardAttempt)
        ]:
            attempts += 1
            failed = _make_outcome(
                forwards[0],
                types.AttemptResult.UNKNOWN,
                exceptions.ErrorCode.LINK_FAILED,
            )
            actions = ingress.attempt_ended(now_s, failed)
        assert any(isinstance(a, types.RefuseRequest) for a in actions)
    assert attempts <= 500 * 1.1 + 10


def test_an_only_owner_that_steers_away_gets_a_last_resort_attempt() -> None:
    ingress = helpers.ingress(owners=1)
    first = _only_forward(ingress.begin(0.0, helpers.ingress_request(1)))
    outcome = types.AttemptOutcome(
        1,
        first.attempt,
        types.AttemptResult.NOT_RUN,
        None,
        exceptions.ErrorCode.STEERED_AWAY,
        0.0,
        helpers.load(first.owner, weight=0.0),
    )
    second = _only_forward(ingress.attempt_ended(0.0, outcome))
    assert second.owner == first.owner
    assert second.hints.last_resort


LATE_S = 3.0
STOP_S = 5.0
RUN_S = 1.0


@pytest.mark.parametrize(
    ("kind", "now_s", "deadline_s", "accepted"),
    [
        (helpers.LOOKUP, 2.9, 99.0, True),
        (helpers.LOOKUP, 3.1, 99.0, False),
        (helpers.LOOKUP, 3.1, 4.9, True),
        (helpers.BOOKING, 2.9, 99.0, True),
        (helpers.BOOKING, 3.1, 99.0, False),
        (helpers.BOOKING, 3.1, 4.9, True),
        (helpers.BOOKING, 3.1, 5.1, False),
    ],
)
def test_a_stopping_ingress_refuses_late_requests_that_may_outlast_it(
    kind: types.RequestKind, now_s: float, deadline_s: float, accepted: bool
) -> None:
    """Requests that came late in a stop were sent on, and then broken off."""
    ingress = helpers.ingress()
    ingress.finish_by(LATE_S, STOP_S)
    request = helpers.ingress_request(1, kind, deadline_s)
    [action] = ingress.begin(now_s, request)
    if accepted:
        assert isinstance(action, types.ForwardAttempt)
        return
    assert isinstance(action, types.RefuseRequest)
    assert action.code is exceptions.ErrorCode.LEAVING
    assert action.ran is exceptions.RanState.NO
    assert action.retry_after_s == STOP_S - now_s
    assert not ingress.has_work()


def _learn_run_time(ingress: _ingress_controller.IngressController) -> None:
    """Let lookups and bookings be answered in ``RUN_S`` each."""
    for number, kind in enumerate([helpers.LOOKUP, helpers.BOOKING] * 20):
        request_id = 1000 + number
        request = helpers.ingress_request(request_id, kind)
        first = _only_forward(ingress.begin(0.0, request))
        load = msgspec.structs.replace(
            helpers.load(first.owner), latency_ms=RUN_S * 1000
        )
        ingress.answer_started(0.1, request_id, first.attempt, load, 200)
        ingress.attempt_ended(
            0.1,
            types.AttemptOutcome(
                request_id,
                first.attempt,
                types.AttemptResult.ANSWERED,
                200,
                None,
                None,
                load,
            ),
        )


@pytest.mark.parametrize(
    ("kind", "refused_s", "moves_on"),
    [
        (helpers.LOOKUP, 3.9, True),
        (helpers.LOOKUP, 4.1, False),
        (helpers.BOOKING, 2.9, True),
        (helpers.BOOKING, 3.1, False),
    ],
)
def test_a_stopping_ingress_sends_no_request_on_that_will_outlast_it(
    kind: types.RequestKind, refused_s: float, moves_on: bool
) -> None:
    ingress = helpers.ingress()
    _learn_run_time(ingress)
    request = helpers.ingress_request(1, kind)
    first = _only_forward(ingress.begin(1.0, request))
    ingress.finish_by(LATE_S, STOP_S)
    refused = _make_outcome(
        first, types.AttemptResult.NOT_RUN, exceptions.ErrorCode.OVERLOADED
    )
    [action] = ingress.attempt_ended(refused_s, refused)
    assert isinstance(action, types.ForwardAttempt) is moves_on
    if isinstance(action, types.RefuseRequest):
        assert action.code is exceptions.ErrorCode.LEAVING
        assert action.ran is exceptions.RanState.NO


def test_an_attempt_after_a_loss_is_marked_for_other_owners_only() -> None:
    """An upstream that broke off a lookup twice counted as two losses."""
    ingress = helpers.ingress(owners=2)
    first = _only_forward(ingress.begin(0.0, helpers.ingress_request(1)))
    assert not first.is_suspect
    lost = _make_outcome(
        first,
        types.AttemptResult.UNKNOWN,
        exceptions.ErrorCode.UPSTREAM_FAILED,
    )
    second = _only_forward(ingress.attempt_ended(0.1, lost))
    assert second.owner != first.owner
    assert second.is_suspect
    refused = _make_outcome(
        second, types.AttemptResult.NOT_RUN, exceptions.ErrorCode.LEAVING
    )
    third = _only_forward(ingress.attempt_ended(0.2, refused))
    assert third.owner == first.owner
    assert not third.is_suspect
