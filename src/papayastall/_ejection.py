"""Steering away, ejection and return of one upstream.

Steering away is local to the owner and sets the routing weight to zero at
once. Ejection needs a permit; an ejected upstream gets no requests but trial
lookups even if no other is left. Both end when several trial lookups in a row
were answered in time; a slow start follows.
"""

from __future__ import annotations

from papayastall import _decision_types as types
from papayastall import _gray_filter
from papayastall import _owner_state as state
from papayastall import _service_policy

__all__ = [
    "apply_permit_decision",
    "evaluate",
    "is_excluded",
    "is_proved",
    "is_trial_due",
    "is_trusted",
    "note_trial",
    "note_trial_sent",
    "release_permit",
    "trial_limit_s",
    "weight",
]

_SLOW_START_MIN_WEIGHT = 0.1
_PERMIT_RETRY_INTERVAL_S = 5.0
_DOUBT_TRIAL_INTERVAL_S = 0.3
_MAX_TRIAL_WAIT_S = 1.0
"""Age from which a trial without an answer no longer delays the next one."""
_LONG_TRIAL_DELAY_S = 0.7
"""Time for which a long lookup waits for a short one to come as a trial."""
_FIRST_TRIAL_DELAY_S = 0.5
_MAX_TRIAL_RETRY_DELAY_S = 5.0
_MIN_FAILED_TRIALS_TO_EJECT = 2
_NO_LOOKUP_TIMEOUT_S = 30.0
"""Without any lookup an excluded upstream returns this long after its
shortest exclusion: nothing can test it."""
_TRIAL_LIMIT_FACTOR = 2.7
_MIN_TRIAL_LIMIT_S = 0.02

_Tuning = _service_policy.HealthTuning


def is_excluded(upstream: state.Upstream) -> bool:
    """Return whether the upstream is steered away or ejected."""
    return upstream.standing in (
        state.Standing.STEERED,
        state.Standing.EJECTED,
    )


def is_trusted(upstream: state.Upstream) -> bool:
    """Return whether the upstream takes requests other than trials."""
    return not upstream.is_doubted and not is_excluded(upstream)


def is_proved(upstream: state.Upstream, now_s: float, tuning: _Tuning) -> bool:
    """Return whether recent requests show that the upstream is healthy."""
    return upstream.evidence.score(now_s, 0.0) < tuning.proof_score


def note_trial_sent(upstream: state.Upstream, now_s: float) -> None:
    """Set when a doubted upstream may get its next trial lookup."""
    if not is_excluded(upstream):
        upstream.trial_due_s = now_s + _DOUBT_TRIAL_INTERVAL_S


def weight(upstream: state.Upstream, now_s: float, tuning: _Tuning) -> float:
    """Return the routing weight, 0 to 1."""
    if is_excluded(upstream) or upstream.leaving_since_s is not None:
        return 0.0
    if isinstance(upstream.evidence, _gray_filter.GrayFilter):
        if upstream.is_doubted:
            return 0.0
    if upstream.standing is state.Standing.HEALTHY:
        return 1.0
    if tuning.slow_start_s <= 0.0:
        return 1.0
    share = (now_s - upstream.standing_since_s) / tuning.slow_start_s
    return min(1.0, max(_SLOW_START_MIN_WEIGHT, share))


def evaluate(
    upstream: state.Upstream,
    now_s: float,
    score: float,
    healthy_share: float,
    tuning: _Tuning,
) -> list[types.OwnerAction]:
    """Change the upstream's standing as its evidence requires.

    :param score: evidence of failure, in nats.
    :param healthy_share: see :class:`RequestHints`.
    :returns: a request for a permit, or the release of one.
    """
    match upstream.standing:
        case state.Standing.HEALTHY | state.Standing.RETURNING:
            if score >= tuning.steer_score:
                _steer_away(upstream, now_s, tuning)
            else:
                _advance_recovery(upstream, now_s, tuning)
        case state.Standing.STEERED:
            if _has_no_lookups(upstream, now_s):
                return _readmit(upstream, now_s)
            if _wants_permit(upstream, now_s, score, healthy_share, tuning):
                upstream.permit_asked_s = now_s
                return [
                    types.AskPermit(
                        upstream.name, upstream.service, upstream.slots
                    )
                ]
        case state.Standing.EJECTED:
            assert upstream.permit_held, "upstream is ejected without a permit"
            if _has_no_lookups(upstream, now_s):
                return _readmit(upstream, now_s)
    return []


def apply_permit_decision(
    upstream: state.Upstream, now_s: float, granted: bool
) -> list[types.OwnerAction]:
    """Eject the upstream if the permit was granted.

    The permit is released if the upstream is no longer steered away.
    """
    if not granted:
        return []
    upstream.permit_held = True
    if upstream.standing is state.Standing.EJECTED:
        return []
    if upstream.standing is not state.Standing.STEERED:
        return release_permit(upstream)
    upstream.standing = state.Standing.EJECTED
    upstream.standing_since_s = now_s
    return []


def release_permit(upstream: state.Upstream) -> list[types.OwnerAction]:
    """Release the upstream's permit, if it holds one."""
    if not upstream.permit_held:
        return []
    upstream.permit_held = False
    return [types.ReleasePermit(upstream.name, upstream.service)]


def is_trial_due(upstream: state.Upstream, now_s: float, run_s: float) -> bool:
    """Return whether a lookup may be sent to the upstream as a trial.

    Short lookups come before long ones, as their result is known sooner. A
    trial that stays unanswered delays the next one only briefly: the upstream
    may recover long before that trial ends.

    :param run_s: expected run time of the lookup, in seconds.
    """
    due_s = upstream.trial_due_s
    if run_s > _MAX_TRIAL_WAIT_S:
        due_s += _LONG_TRIAL_DELAY_S
    if is_trusted(upstream) or now_s < due_s:
        return False
    return not any(
        run.is_trial
        and not run.trial_failed
        and now_s - run.started_s < _MAX_TRIAL_WAIT_S
        for run in upstream.running.values()
    )


def trial_limit_s(reference_s: float) -> float:
    """Return the run time up to which a trial lookup passes, in seconds."""
    return max(_MIN_TRIAL_LIMIT_S, _TRIAL_LIMIT_FACTOR * reference_s)


def note_trial(
    upstream: state.Upstream, now_s: float, passed: bool, tuning: _Tuning
) -> list[types.OwnerAction]:
    """Record the result of a lookup on an excluded upstream.

    Enough passed trials in a row end the exclusion, but not before its
    shortest duration is over.
    """
    if not is_excluded(upstream):
        return []
    if not passed:
        upstream.trials_passed = 0
        upstream.trials_failed += 1
        delay_s = min(_MAX_TRIAL_RETRY_DELAY_S, upstream.stay_s)
        upstream.trial_due_s = now_s + delay_s
        return []
    upstream.trials_passed += 1
    if upstream.trials_passed < tuning.return_lookups:
        return []
    if now_s < upstream.excluded_until_s:
        return []
    return _readmit(upstream, now_s)


def _steer_away(
    upstream: state.Upstream, now_s: float, tuning: _Tuning
) -> None:
    upstream.steer_count += 1
    growth = 2.0 ** min(upstream.steer_count - 1, 16)
    upstream.stay_s = min(tuning.max_stay_s, tuning.stay_s * growth)
    upstream.excluded_until_s = now_s + upstream.stay_s
    upstream.standing = state.Standing.STEERED
    upstream.standing_since_s = now_s
    upstream.trial_due_s = now_s + _FIRST_TRIAL_DELAY_S
    upstream.trials_passed = 0
    upstream.trials_failed = 0


def _advance_recovery(
    upstream: state.Upstream, now_s: float, tuning: _Tuning
) -> None:
    age_s = now_s - upstream.standing_since_s
    if upstream.standing is state.Standing.RETURNING:
        if age_s >= tuning.slow_start_s:
            upstream.standing = state.Standing.HEALTHY
            upstream.standing_since_s = now_s
    elif age_s >= tuning.forget_stays_s:
        upstream.steer_count = 0


def _readmit(
    upstream: state.Upstream, now_s: float
) -> list[types.OwnerAction]:
    upstream.standing = state.Standing.RETURNING
    upstream.standing_since_s = now_s
    upstream.evidence.reset()
    return release_permit(upstream)


def _has_no_lookups(upstream: state.Upstream, now_s: float) -> bool:
    """Return whether it got no trial lookup, long after it could return."""
    if upstream.trials_failed or upstream.trials_passed or upstream.running:
        return False
    return now_s >= upstream.excluded_until_s + _NO_LOOKUP_TIMEOUT_S


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
    if now_s - upstream.permit_asked_s < _PERMIT_RETRY_INTERVAL_S:
        return False
    steered_since_s = upstream.standing_since_s
    if now_s - steered_since_s < tuning.eject_confirm_s:
        return False
    if upstream.trials_failed >= _MIN_FAILED_TRIALS_TO_EJECT:
        return True
    return upstream.last_answer_s <= steered_since_s and bool(upstream.running)
