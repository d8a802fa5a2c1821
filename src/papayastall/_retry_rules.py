"""Rules that decide whether a caller's request gets another attempt."""

from __future__ import annotations

from papayastall import _decision_types as types
from papayastall import _ingress_state as state
from papayastall import _service_view
from papayastall import exceptions

__all__ = [
    "has_attempts_left",
    "is_hedge_due",
    "is_past_half_time",
    "is_repeat",
    "may_move_hedge",
    "may_try_again",
]

_Code = exceptions.ErrorCode
_MAX_UNCONDITIONAL_REFUSALS = 2
"""Up to this many refusals, a request that was refused as overloaded is tried
at another owner even if all seem full."""

_FINAL_CODES = frozenset(
    {
        _Code.CRASHING_REQUEST,
        _Code.DEADLINE_EXCEEDED,
        _Code.KEY_REUSED,
        _Code.STILL_RUNNING,
        _Code.CLAIM_UNAVAILABLE,
        _Code.BAD_REQUEST,
        _Code.BODY_TOO_LARGE,
        _Code.CANCELLED,
    }
)
"""Refusals that any other owner would give as well."""
_FULL_CODES = (_Code.OVERLOADED, _Code.UPSTREAM_FULL)
"""Refusals for lack of capacity. A hedge refused for this is not moved, as it
would take capacity from another owner too."""
_MAX_UPSTREAMS_LOST = 2


def is_hedge_due(now_s: float, pending: state.PendingRequest) -> bool:
    """Return whether a lookup has waited long enough for a second attempt."""
    if pending.hedge_due_s is None or now_s < pending.hedge_due_s:
        return False
    if pending.request.kind is not types.RequestKind.LOOKUP:
        return False
    if not has_attempts_left(pending):
        return False
    return len(pending.open) == 1 and not pending.losses


def is_past_half_time(now_s: float, pending: state.PendingRequest) -> bool:
    """Return whether the oldest open attempt has used half of its time."""
    sent_s = min(attempt.sent_s for attempt in pending.open.values())
    return now_s >= (sent_s + pending.request.deadline_s) / 2.0


def is_repeat(pending: state.PendingRequest) -> bool:
    """Return whether an earlier attempt may have reached an upstream."""
    return pending.sent > 0 or pending.was_shed


def has_attempts_left(pending: state.PendingRequest) -> bool:
    """Return whether another upstream may run the request."""
    return pending.sent < pending.request.max_attempts


def may_move_hedge(
    service: state.ServiceView,
    pending: state.PendingRequest,
    outcome: types.AttemptOutcome,
) -> bool:
    """Return whether a refused hedge may be sent to another owner.

    The attempt that it hedges is still open.
    """
    if pending.request.kind is not types.RequestKind.LOOKUP:
        return False
    if pending.chosen is not None or len(pending.open) != 1:
        return False
    if outcome.result is not types.AttemptResult.NOT_RUN:
        return False
    if outcome.code in _FULL_CODES or outcome.code in _FINAL_CODES:
        return False
    return pending.refusals <= service.policy.routing.max_refusals


def may_try_again(
    now_s: float,
    service: state.ServiceView,
    pending: state.PendingRequest,
    outcome: types.AttemptOutcome,
) -> bool:
    """Return whether another owner may get the request after a failure.

    Takes a token from the retry budget where the attempt needs one.
    """
    code = outcome.code or _Code.UPSTREAM_FAILED
    if code in _FINAL_CODES or pending.request.deadline_s <= now_s:
        return False
    if pending.has_unknown_outcome:
        if pending.request.kind is types.RequestKind.NON_IDEMPOTENT:
            return False
    if outcome.result is types.AttemptResult.NOT_RUN:
        return _may_follow_refusal(now_s, service, pending, code)
    if pending.losses >= _MAX_UPSTREAMS_LOST or not has_attempts_left(pending):
        return False
    return service.budget.take(now_s)


def _may_follow_refusal(
    now_s: float,
    service: state.ServiceView,
    pending: state.PendingRequest,
    code: exceptions.ErrorCode,
) -> bool:
    if pending.refusals > service.policy.routing.max_refusals:
        return False
    if code is _Code.UPSTREAM_FULL and not service.budget.take(now_s):
        return False
    if (
        code not in _FULL_CODES
        or pending.refusals <= _MAX_UNCONDITIONAL_REFUSALS
    ):
        return True
    return _service_view.has_room(now_s, service, pending)
