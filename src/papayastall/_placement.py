"""Which of an owner's upstreams a request goes to, and how long it waits."""

from __future__ import annotations

import collections.abc as cabc
import random

import msgspec

from papayastall import _admission
from papayastall import _decision_types as types
from papayastall import _ejection
from papayastall import _leaving
from papayastall import _owner_state as state
from papayastall import exceptions

__all__ = [
    "NoUpstream",
    "Place",
    "Wait",
    "backlog_s",
    "can_wait",
    "choose",
    "expected_run_s",
    "expected_wait_s",
    "has_time",
    "is_short",
    "max_wait_s",
    "precedence",
]

_TRIAL_SHARE = 0.05
_RUN_MARGIN = 2.0
"""A request waits only where so many times its median run still fits: nine
in ten healthy runs of log-normal times with a spread of 0.5 take less."""
_MAX_WAIT_S = 1.0
_PATIENT_SPARE_S = 2.0 * _MAX_WAIT_S
"""After the longest wait, as much is left again."""
_SHORT_SHARE = 0.4
"""Work below this share of the mean time of a slot counts as short."""


class Place(msgspec.Struct, frozen=True):
    """Run the request on this upstream now."""

    upstream: state.Upstream
    is_trial: bool


class Wait(msgspec.Struct, frozen=True):
    """All upstreams that may run it are busy; they have so many slots."""

    slots: int


class NoUpstream(msgspec.Struct, frozen=True):
    """No upstream here may run it."""

    code: exceptions.ErrorCode


def choose(
    now_s: float,
    service: state.ServiceState,
    upstreams: cabc.Sequence[state.Upstream],
    request: types.OwnerRequest,
    rng: random.Random,
) -> Place | Wait | NoUpstream:
    """Choose the upstream for a request."""
    usable = [
        up
        for up in upstreams
        if not _leaving.is_leaving(up) and up.is_present(now_s)
    ]
    trusted = [
        up for up in usable if not _ejection.is_out(up) and not up.is_doubted
    ]
    if request.hints.wants_proof and trusted:
        tuning = service.policy.thresholds()
        trusted = [
            up for up in trusted if _ejection.is_proved(up, now_s, tuning)
        ]
        if not trusted:
            return NoUpstream(exceptions.ErrorCode.UNPROVEN)
        return _least_busy(now_s, service, trusted)
    trial = _trial(now_s, usable, request)
    if trial and (not trusted or rng.random() < _TRIAL_SHARE):
        return Place(trial, is_trial=True)
    if not trusted and request.hints.last_resort:
        trusted = [
            up for up in usable if up.standing is not state.Standing.EJECTED
        ]
    if not trusted:
        return NoUpstream(_why_none(upstreams, usable))
    return _least_busy(now_s, service, trusted)


def precedence(
    service: state.ServiceState, request: types.OwnerRequest
) -> _admission.Precedence:
    """Return how urgent a request is among those that wait.

    Where some will come too late, those go first that lose most by it, and
    of which more can be served.
    """
    turn = _admission.Turn
    if is_short(service, request):
        return request.rank, turn.SHORT
    if request.objective_s is None:
        return request.rank, turn.USUAL
    spare_s = request.objective_s - expected_run_s(service, request)
    is_patient = spare_s > _PATIENT_SPARE_S
    return request.rank, turn.PATIENT if is_patient else turn.USUAL


def is_short(service: state.ServiceState, request: types.OwnerRequest) -> bool:
    """Return whether the request takes much less time than the usual one."""
    run_s = expected_run_s(service, request)
    return run_s <= _SHORT_SHARE * service.busy_s


def expected_wait_s(
    service: state.ServiceState, request: types.OwnerRequest, slots: int
) -> float:
    """Return how long a new request would wait, seconds.

    It waits for the next slot, and for the work that goes before it.
    """
    ahead_s = service.queue.ahead_of_s(
        request.team, precedence(service, request)
    )
    return (service.busy_s + ahead_s) / max(1, slots)


def expected_run_s(
    service: state.ServiceState, request: types.OwnerRequest
) -> float:
    """Return how long the request will run at least as likely as not."""
    if request.reference_ms is not None:
        return request.reference_ms / 1000.0
    median = service.medians.get(request.route)
    if median is None or median.value is None:
        return 0.0
    return median.value


def max_wait_s(
    now_s: float, service: state.ServiceState, request: types.OwnerRequest
) -> float:
    """Return how long a request may be expected to wait, seconds.

    Short work may wait beyond its objective: it is mostly a call of another
    upstream, whose own run is lost with it.
    """
    left_s = request.deadline_s - now_s
    if request.objective_s is not None and not is_short(service, request):
        left_s = min(left_s, request.objective_s)
    return min(_MAX_WAIT_S, left_s / 2.0)


def can_wait(
    now_s: float,
    service: state.ServiceState,
    request: types.OwnerRequest,
    slots: int,
) -> bool:
    """Return whether a request that queues now will end in time.

    Half its time is kept for running it: what is cut at its deadline has
    cost the slot and answers nobody. Nobody waits longer than the others
    for having a later deadline, or bookings would push lookups out.
    """
    wait_s = expected_wait_s(service, request, slots)
    if wait_s > max_wait_s(now_s, service, request):
        return False
    start_s = now_s + wait_s
    return has_time(start_s, service, request, request.deadline_s)


def has_time(
    now_s: float,
    service: state.ServiceState,
    request: types.OwnerRequest,
    end_s: float,
) -> bool:
    """Return whether a request that starts now will likely end by then."""
    run_s = expected_run_s(service, request)
    return now_s + _RUN_MARGIN * run_s < end_s


def backlog_s(service: state.ServiceState, slots: int) -> float:
    """Return how long the work already accepted takes, seconds."""
    return (len(service.queue) + slots) * service.busy_s / max(1, slots)


def _trial(
    now_s: float,
    usable: cabc.Sequence[state.Upstream],
    request: types.OwnerRequest,
) -> state.Upstream | None:
    if request.kind is not types.RequestKind.LOOKUP:
        return None
    for up in usable:
        if _ejection.is_trial_due(up, now_s) and up.free_slots(now_s) > 0:
            return up
    return None


def _least_busy(
    now_s: float,
    service: state.ServiceState,
    upstreams: cabc.Sequence[state.Upstream],
) -> Place | Wait:
    tuning = service.policy.thresholds()
    best: state.Upstream | None = None
    best_share = 0.0
    for up in upstreams:
        free = up.free_slots(now_s)
        if free <= 0:
            continue
        weight = max(0.01, _ejection.weight(up, now_s, tuning))
        share = free / up.slots * weight
        if share > best_share:
            best, best_share = up, share
    if best is None:
        return Wait(sum(up.slots for up in upstreams))
    return Place(best, is_trial=False)


def _why_none(
    upstreams: cabc.Sequence[state.Upstream],
    usable: cabc.Sequence[state.Upstream],
) -> exceptions.ErrorCode:
    if usable:
        return exceptions.ErrorCode.STEERED_AWAY
    if any(_leaving.is_leaving(up) for up in upstreams):
        return exceptions.ErrorCode.LEAVING
    return exceptions.ErrorCode.NO_UPSTREAM
