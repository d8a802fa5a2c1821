"""The ingress's decisions: routing, retries, hedges, final answers."""

from __future__ import annotations

from papayastall import _decision_types as types
from papayastall import exceptions
from tests import decision_helpers as helpers


def _ended(
    attempt: types.ForwardAttempt,
    result: types.AttemptResult,
    code: exceptions.ErrorCode | None = None,
) -> types.AttemptOutcome:
    return types.AttemptOutcome(
        attempt.request_id, attempt.attempt, result, None, code, None, None
    )


def _forward(actions: list[types.IngressAction]) -> types.ForwardAttempt:
    [forward] = [a for a in actions if isinstance(a, types.ForwardAttempt)]
    return forward


def test_a_booking_goes_on_after_not_run_and_stops_after_unknown() -> None:
    ingress = helpers.ingress()
    request = helpers.ingress_request(1, helpers.BOOKING)
    first = _forward(ingress.begin(0.0, request))
    refused = _ended(
        first, types.AttemptResult.NOT_RUN, exceptions.ErrorCode.LEAVING
    )
    second = _forward(ingress.attempt_ended(0.1, refused))
    assert second.owner != first.owner
    broken = _ended(
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
    first = _forward(ingress.begin(0.0, helpers.ingress_request(1)))
    second = _forward(ingress.tick(1.0))
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
