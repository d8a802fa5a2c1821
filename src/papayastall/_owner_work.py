"""Remaining run time of what runs and waits at an owner."""

from __future__ import annotations

import collections.abc as cabc

from papayastall import _decision_types as types
from papayastall import _owner_state as state
from papayastall import work

__all__ = [
    "expected_run_s",
    "mean_slowness",
    "next_free_s",
    "note_run",
    "work_s",
]

_MIN_LEFT_S = 0.001


def note_run(
    now_s: float,
    service: state.ServiceState,
    upstream: state.Upstream,
    run: state.RunningRequest,
) -> None:
    """Record the run time of an answered request."""
    expected_s = _expected_s(run.request)
    if (
        not service.policy.is_varied
        or expected_s is None
        or now_s <= run.started_s
    ):
        return
    if upstream.run_ratios is None:
        upstream.run_ratios = work.make_ratios(now_s)
    ratio = (now_s - run.started_s) / expected_s
    upstream.run_ratios.add(now_s, ratio)


def expected_run_s(
    request: types.OwnerRequest, slowness: float
) -> float | None:
    """Return the mean run time of a request, in seconds.

    :param slowness: see :func:`mean_slowness`.
    :returns: ``None`` while it is unknown.
    """
    expected_s = _expected_s(request)
    return None if expected_s is None else expected_s * slowness


def next_free_s(
    now_s: float,
    service: state.ServiceState,
    upstreams: cabc.Iterable[state.Upstream],
) -> float:
    """Return the expected time until a busy slot becomes free, in seconds."""
    ends_per_s = sum(
        1.0 / max(_MIN_LEFT_S, _left_s(now_s, service, up, run))
        for up in upstreams
        for run in up.running.values()
    )
    return 1.0 / ends_per_s if ends_per_s else 0.0


def mean_slowness(upstreams: cabc.Iterable[state.Upstream]) -> float:
    """Return the mean of run time over expected one, weighted by slots."""
    ratios = [
        (up.slots, up.run_ratios.mean())
        for up in upstreams
        if up.run_ratios is not None
    ]
    slots = sum(count for count, _ in ratios)
    if not slots:
        return 1.0
    return sum(count * ratio for count, ratio in ratios) / slots


def work_s(
    now_s: float,
    service: state.ServiceState,
    upstreams: cabc.Sequence[state.Upstream],
) -> float:
    """Return the remaining run time of all that runs and waits.

    Runs whose answer has begun are left out: the load is sent with the head
    of an answer, whose run would count until the next report.
    """
    running_s = sum(
        _left_s(now_s, service, up, run)
        for up in upstreams
        for run in up.running.values()
        if run.first_byte_s is None
    )
    return running_s + service.queue.total_work_s()


def _left_s(
    now_s: float,
    service: state.ServiceState,
    upstream: state.Upstream,
    run: state.RunningRequest,
) -> float:
    """Return the expected remaining time of a run; it ends at its deadline."""
    deadline_left_s = max(0.0, run.request.deadline_s - now_s)
    expected_s = _expected_s(run.request) or service.mean_busy_s
    age_s = now_s - run.started_s
    ratios = upstream.run_ratios
    if ratios is None:
        return min(deadline_left_s, max(expected_s, age_s))
    left_s = expected_s * ratios.mean_left(age_s / expected_s)
    return min(deadline_left_s, left_s)


def _expected_s(request: types.OwnerRequest) -> float | None:
    """Return the run time that the ingress expects on average."""
    known_ms = request.expected_ms or request.reference_ms
    return known_ms / 1000.0 if known_ms else None
