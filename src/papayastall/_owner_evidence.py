"""Evidence from the requests that an owner handed to its upstreams."""

from __future__ import annotations

from papayastall import _decision_types as types
from papayastall import _ejection
from papayastall import _health
from papayastall import _owner_state as state
from papayastall import _owner_work

__all__ = [
    "median_ms",
    "note_end",
    "note_first_byte",
    "note_slow_trials",
    "note_start",
    "reference_s",
    "update_doubt",
]

_DEFAULT_REFERENCE_S = 1.0
_MIN_REFERENCE_S = 0.001
_MIN_MEDIAN_SAMPLES = 8
_MEAN_BUSY_SMOOTHING = 0.05
_DECAY_INTERVAL_S = 1.0
_MAX_ROUTE_MEDIANS = 64


def median_ms(median: _health.MedianEstimate | None) -> float | None:
    """Return a median in milliseconds, or ``None`` with too few answers."""
    if median is None or median.value is None:
        return None
    if median.count < _MIN_MEDIAN_SAMPLES:
        return None
    return median.value * 1000.0


def reference_s(
    now_s: float,
    service: state.ServiceState,
    upstream: state.Upstream,
    request: types.OwnerRequest,
) -> float:
    """Return the time that a request may take at a healthy upstream.

    It is the route's median over the service times the permitted slack, and
    longer while the upstream is cold.

    :returns: seconds.
    """
    tuning = service.policy.thresholds()
    base_s = _warm_reference_s(service, request) or _DEFAULT_REFERENCE_S
    if now_s < upstream.warm_s:
        return base_s * tuning.slack * tuning.cold_factor
    return base_s * tuning.slack


def note_start(
    now_s: float,
    service: state.ServiceState,
    upstream: state.Upstream,
    run: state.RunningRequest,
) -> None:
    """Record that a request was handed to its upstream."""
    if service.policy.thresholds().latency_evidence:
        base_s = reference_s(now_s, service, upstream, run.request)
        request_id = run.request.request_id
        upstream.evidence.start(now_s, request_id, run.request.route, base_s)


def update_doubt(
    now_s: float, service: state.ServiceState, upstream: state.Upstream
) -> None:
    """Decay an upstream's evidence and set whether it is doubted."""
    elapsed_s = now_s - upstream.decayed_s
    if elapsed_s >= _DECAY_INTERVAL_S:
        upstream.decayed_s = now_s
        upstream.evidence.decay(elapsed_s)
    limit = service.policy.thresholds().doubt_score
    was_doubted = upstream.is_doubted
    upstream.is_doubted = upstream.evidence.score(now_s, 0.0) >= limit
    if upstream.is_doubted and not was_doubted:
        upstream.trial_due_s = now_s


def note_first_byte(
    now_s: float,
    service: state.ServiceState,
    upstream: state.Upstream,
    run: state.RunningRequest,
) -> None:
    """Record the time to the first byte of an answer."""
    run.first_byte_s = now_s
    _add_answer_time(now_s, service, upstream, run)


def note_end(
    now_s: float,
    service: state.ServiceState,
    upstream: state.Upstream,
    run: state.RunningRequest,
    outcome: types.Outcome,
) -> list[types.OwnerAction]:
    """Record how a request ended.

    :returns: the actions that follow if it counts as a trial lookup.
    """
    match outcome:
        case types.Outcome.ANSWERED | types.Outcome.FAILED:
            upstream.last_answer_s = now_s
            if run.first_byte_s is None:
                _add_answer_time(now_s, service, upstream, run)
            _add_answer(service, upstream, run, outcome)
            if outcome is types.Outcome.ANSWERED:
                _owner_work.note_run(now_s, service, upstream, run)
        case types.Outcome.BROKEN:
            _add_broken(now_s, service, upstream, run)
        case types.Outcome.CONNECT_FAILED:
            upstream.evidence.add_connect_failure()
        case types.Outcome.TIMED_OUT | types.Outcome.CANCELLED:
            upstream.evidence.end(
                now_s, run.request.request_id, answered=False
            )
        case types.Outcome.SHED | types.Outcome.EXPIRED:
            pass
    upstream.evidence.drop(run.request.request_id)
    _hold_slot(now_s, service, upstream, run, outcome)
    return _note_trial(now_s, service, upstream, run, outcome)


def note_slow_trials(
    now_s: float, service: state.ServiceState, upstream: state.Upstream
) -> None:
    """Count trials past their time limit as failed while they still run."""
    tuning = service.policy.thresholds()
    for run in upstream.running.values():
        if not run.is_trial or run.trial_failed:
            continue
        base_s = reference_s(now_s, service, upstream, run.request)
        limit_s = _ejection.trial_limit_s(base_s)
        if now_s - run.started_s > limit_s:
            run.trial_failed = True
            _ejection.note_trial(upstream, now_s, False, tuning)


def _warm_reference_s(
    service: state.ServiceState, request: types.OwnerRequest
) -> float | None:
    known_ms = request.reference_ms
    if known_ms is None:
        known_ms = median_ms(service.medians.get(request.route))
    if known_ms is None:
        return None
    return max(_MIN_REFERENCE_S, known_ms / 1000.0)


def _add_answer_time(
    now_s: float,
    service: state.ServiceState,
    upstream: state.Upstream,
    run: state.RunningRequest,
) -> None:
    upstream.evidence.end(now_s, run.request.request_id, answered=True)
    route = run.request.route
    if (
        route not in service.medians
        and len(service.medians) >= _MAX_ROUTE_MEDIANS
    ):
        return
    median = service.medians.setdefault(route, _health.MedianEstimate())
    median.add(now_s - run.started_s)


def _add_answer(
    service: state.ServiceState,
    upstream: state.Upstream,
    run: state.RunningRequest,
    outcome: types.Outcome,
) -> None:
    if not service.policy.thresholds().error_evidence:
        return
    upstream.evidence.add_answer(
        run.request.route,
        outcome is types.Outcome.FAILED,
        run.request.hints.reference_error_ratio,
    )


def _add_broken(
    now_s: float,
    service: state.ServiceState,
    upstream: state.Upstream,
    run: state.RunningRequest,
) -> None:
    if not service.policy.thresholds().error_evidence:
        return
    upstream.evidence.add_broken(
        now_s, run.request.route, run.request.hints.reference_error_ratio
    )


def _hold_slot(
    now_s: float,
    service: state.ServiceState,
    upstream: state.Upstream,
    run: state.RunningRequest,
    outcome: types.Outcome,
) -> None:
    age_s = now_s - run.started_s
    base_s = _warm_reference_s(service, run.request) or service.mean_busy_s
    has_failed = outcome in (
        types.Outcome.FAILED,
        types.Outcome.BROKEN,
        types.Outcome.CONNECT_FAILED,
    )
    holds = service.policy.thresholds().hold_failed_slots
    if has_failed and holds and age_s < base_s:
        upstream.held_until_s.append(run.started_s + base_s)
        age_s = base_s
    service.mean_busy_s += _MEAN_BUSY_SMOOTHING * (age_s - service.mean_busy_s)


def _note_trial(
    now_s: float,
    service: state.ServiceState,
    upstream: state.Upstream,
    run: state.RunningRequest,
    outcome: types.Outcome,
) -> list[types.OwnerAction]:
    is_lookup = run.request.kind is types.RequestKind.LOOKUP
    if not is_lookup or run.trial_failed:
        return []
    if run.started_s < upstream.standing_since_s:
        return []
    tuning = service.policy.thresholds()
    base_s = reference_s(now_s, service, upstream, run.request)
    limit_s = _ejection.trial_limit_s(base_s)
    match outcome:
        case types.Outcome.ANSWERED:
            passed = now_s - run.started_s <= limit_s
        case (
            types.Outcome.CANCELLED
            | types.Outcome.SHED
            | types.Outcome.EXPIRED
        ):
            return []
        case _:
            passed = False
    return _ejection.note_trial(upstream, now_s, passed, tuning)
