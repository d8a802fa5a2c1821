"""Steering away, ejection and return of one upstream.

Steering sets the routing weight to zero at once and is local. Ejection
follows only on a granted permit. Either ends after a few real lookups in a
row were answered in time, and a slow start.
"""

from __future__ import annotations

from papayastall import _decision_types as types
from papayastall import _gray_filter
from papayastall import _owner_state as state
from papayastall import _service_policy

__all__ = [
    "apply_permit_decision",
    "evaluate",
    "forget_permit",
    "is_out",
    "is_proved",
    "is_trial_due",
    "is_trusted",
    "note_trial",
    "note_trial_sent",
    "trial_limit_s",
    "weight",
]

_MIN_WEIGHT = 0.1
_PERMIT_RETRY_S = 5.0
_DOUBT_TRIAL_S = 0.3
_FIRST_TRIAL_S = 0.5
_TRIAL_RETRY_S = 5.0
_FAILED_TRIALS = 2
_NO_LOOKUPS_S = 30.0
_TRIAL_LIMIT_FACTOR = 2.7
_MIN_TRIAL_LIMIT_S = 0.02

_Tuning = _service_policy.HealthTuning


def is_out(upstream: state.Upstream) -> bool:
    """Return whether ordinary work goes elsewhere."""
    return upstream.standing in (
        state.Standing.STEERED,
        state.Standing.EJECTED,
    )


def is_trusted(upstream: state.Upstream) -> bool:
    """Return whether the upstream takes ordinary work."""
    return not upstream.is_doubted and not is_out(upstream)


def is_proved(upstream: state.Upstream, now_s: float, tuning: _Tuning) -> bool:
    """Return whether recent work has shown that the upstream is healthy."""
    return upstream.evidence.score(now_s, 0.0) < tuning.proof_score


def note_trial_sent(upstream: state.Upstream, now_s: float) -> None:
    """Leave some time before the next lookup on a doubted upstream."""
    if not is_out(upstream):
        upstream.trial_due_s = now_s + _DOUBT_TRIAL_S


def weight(upstream: state.Upstream, now_s: float, tuning: _Tuning) -> float:
    """Return the routing weight, 0 to 1."""
    if is_out(upstream) or upstream.leaving_since_s is not None:
        return 0.0
    if isinstance(upstream.evidence, _gray_filter.GrayFilter):
        if upstream.is_doubted:
            return 0.0
    if upstream.standing is state.Standing.HEALTHY:
        return 1.0
    if tuning.slow_start_s <= 0.0:
        return 1.0
    share = (now_s - upstream.standing_since_s) / tuning.slow_start_s
    return min(1.0, max(_MIN_WEIGHT, share))


def evaluate(
    upstream: state.Upstream,
    now_s: float,
    score: float,
    healthy_share: float,
    tuning: _Tuning,
) -> list[types.OwnerAction]:
    """Move the upstream's standing to where its evidence puts it.

    :param score: evidence of failure, in nats.
    :param healthy_share: share of the service's slots not steered away.
    """
    match upstream.standing:
        case state.Standing.HEALTHY | state.Standing.RETURNING:
            if score >= tuning.steer_score:
                _steer(upstream, now_s, tuning)
            else:
                _settle(upstream, now_s, tuning)
        case state.Standing.STEERED:
            if _has_no_lookups(upstream, now_s):
                return _return(upstream, now_s)
            if _wants_permit(upstream, now_s, score, healthy_share, tuning):
                upstream.permit_asked_s = now_s
                return [
                    types.AskPermit(
                        upstream.name, upstream.service, upstream.slots
                    )
                ]
        case state.Standing.EJECTED:
            assert upstream.permit_held, "ejected without a permit"
            if _has_no_lookups(upstream, now_s):
                return _return(upstream, now_s)
    return []


def apply_permit_decision(
    upstream: state.Upstream, now_s: float, granted: bool
) -> list[types.OwnerAction]:
    """Eject on a granted permit; give it back if it came too late."""
    if not granted:
        return []
    upstream.permit_held = True
    if upstream.standing is state.Standing.EJECTED:
        return []
    if upstream.standing is not state.Standing.STEERED:
        return forget_permit(upstream)
    upstream.standing = state.Standing.EJECTED
    upstream.standing_since_s = now_s
    return []


def forget_permit(upstream: state.Upstream) -> list[types.OwnerAction]:
    """Give the permit back, if there is one."""
    if not upstream.permit_held:
        return []
    upstream.permit_held = False
    return [types.ReleasePermit(upstream.name, upstream.service)]


def is_trial_due(upstream: state.Upstream, now_s: float) -> bool:
    """Return whether the upstream may run one lookup to show its health."""
    if is_trusted(upstream) or now_s < upstream.trial_due_s:
        return False
    return not any(run.is_trial for run in upstream.running.values())


def trial_limit_s(reference_s: float) -> float:
    """Return the time within which a lookup shows good health, seconds."""
    return max(_MIN_TRIAL_LIMIT_S, _TRIAL_LIMIT_FACTOR * reference_s)


def note_trial(
    upstream: state.Upstream, now_s: float, passed: bool, tuning: _Tuning
) -> list[types.OwnerAction]:
    """Take in how a lookup on an upstream that is out has ended."""
    if not is_out(upstream):
        return []
    if not passed:
        upstream.trials_passed = 0
        upstream.trials_failed += 1
        pause_s = min(_TRIAL_RETRY_S, upstream.stay_s)
        upstream.trial_due_s = now_s + pause_s
        return []
    upstream.trials_passed += 1
    if upstream.trials_passed < tuning.return_lookups:
        return []
    if now_s < upstream.excluded_until_s:
        return []
    return _return(upstream, now_s)


def _steer(upstream: state.Upstream, now_s: float, tuning: _Tuning) -> None:
    upstream.relapses += 1
    growth = 2.0 ** min(upstream.relapses - 1, 16)
    upstream.stay_s = min(tuning.max_stay_s, tuning.stay_s * growth)
    upstream.excluded_until_s = now_s + upstream.stay_s
    upstream.standing = state.Standing.STEERED
    upstream.standing_since_s = now_s
    upstream.trial_due_s = now_s + _FIRST_TRIAL_S
    upstream.trials_passed = 0
    upstream.trials_failed = 0


def _settle(upstream: state.Upstream, now_s: float, tuning: _Tuning) -> None:
    age_s = now_s - upstream.standing_since_s
    if upstream.standing is state.Standing.RETURNING:
        if age_s >= tuning.slow_start_s:
            upstream.standing = state.Standing.HEALTHY
            upstream.standing_since_s = now_s
    elif age_s >= tuning.forget_stays_s:
        upstream.relapses = 0


def _return(upstream: state.Upstream, now_s: float) -> list[types.OwnerAction]:
    upstream.standing = state.Standing.RETURNING
    upstream.standing_since_s = now_s
    upstream.evidence.reset()
    return forget_permit(upstream)


def _has_no_lookups(upstream: state.Upstream, now_s: float) -> bool:
    """Return whether nobody sends lookups that could show its health."""
    if upstream.trials_failed or upstream.trials_passed or upstream.running:
        return False
    return now_s >= upstream.excluded_until_s + _NO_LOOKUPS_S


def _wants_permit(
    upstream: state.Upstream,
    now_s: float,
    score: float,
    healthy_share: float,
    tuning: _Tuning,
) -> bool:
    if score < tuning.eject_score:
        return False
    if healthy_share < tuning.min_healthy_share:
        return False
    if now_s - upstream.permit_asked_s < _PERMIT_RETRY_S:
        return False
    steered_s = upstream.standing_since_s
    if now_s - steered_s < tuning.eject_confirm_s:
        return False
    if upstream.trials_failed >= _FAILED_TRIALS:
        return True
    return upstream.last_answer_s <= steered_s and bool(upstream.running)
