"""Choice of an upstream for a request, and limits on its wait."""

from __future__ import annotations

import collections.abc as cabc
import math
import random

import msgspec

from papayastall import _admission
from papayastall import _decision_types as types
from papayastall import _ejection
from papayastall import _leaving
from papayastall import _owner_state as state
from papayastall import _owner_work
from papayastall import exceptions
from papayastall import work

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

_TRIAL_PROBABILITY = 0.05
_RUN_MARGIN_FACTOR = 2.0
"""A request waits only if this many median run times still fit before its
deadline. Of healthy log-normal run times with a standard deviation of the
logarithm of 0.5, nine in ten are shorter."""
_MAX_WAIT_S = 1.0
_DEFERRABLE_SPARE_S = 2.0 * _MAX_WAIT_S
"""A request with more time to spare than this can wait for ``_MAX_WAIT_S``
and then has as much time to spare again."""
_MAX_SHORT_RUN_SHARE = 0.4
"""A run up to this share of the mean slot time counts as short."""


class Place(msgspec.Struct, frozen=True):
    """Run the request on this upstream now.

    :param is_trial: whether the request is a trial of the upstream.
    """

    upstream: state.Upstream
    is_trial: bool


class Wait(msgspec.Struct, frozen=True):
    """All upstreams that may run the request are busy, or at their limit.

    :param slots: total slots of these upstreams.
    :param rate_per_s: requests a second that they take, if all have a limit.
    :param next_s: time until the first of these limits allows a request.
    :param has_open_slot: one of them has a free slot and waits for its limit
        only.
    :param free_s: expected time until the first slot becomes free.
    :param slowness: mean of their run times over the expected ones.
    """

    slots: int
    rate_per_s: float = math.inf
    next_s: float = 0.0
    has_open_slot: bool = False
    free_s: float = 0.0
    slowness: float = 1.0


class NoUpstream(msgspec.Struct, frozen=True):
    """No upstream of this owner may run the request.

    :param code: the reason.
    """

    code: exceptions.ErrorCode


def choose(
    now_s: float,
    service: state.ServiceState,
    upstreams: cabc.Sequence[state.Upstream],
    request: types.OwnerRequest,
    rng: random.Random,
) -> Place | Wait | NoUpstream:
    """Choose the upstream for a request.

    A lookup may go to an upstream that needs a trial: always if no other
    takes requests, otherwise with a probability of ``_TRIAL_PROBABILITY``.
    """
    usable = [
        up
        for up in upstreams
        if not _leaving.is_leaving(up) and up.is_present(now_s)
    ]
    trusted = [
        up
        for up in usable
        if not _ejection.is_excluded(up) and not up.is_doubted
    ]
    if request.hints.wants_proof and trusted:
        tuning = service.policy.thresholds()
        trusted = [
            up for up in trusted if _ejection.is_proved(up, now_s, tuning)
        ]
        if not trusted:
            return NoUpstream(exceptions.ErrorCode.UNPROVEN)
        return _choose_least_busy(now_s, service, trusted)
    trial = _find_due_trial(now_s, service, usable, request)
    if trial and (not trusted or rng.random() < _TRIAL_PROBABILITY):
        return Place(trial, is_trial=True)
    if not trusted and request.hints.last_resort:
        trusted = [
            up for up in usable if up.standing is not state.Standing.EJECTED
        ]
    if not trusted:
        return NoUpstream(_no_upstream_code(upstreams, usable))
    return _choose_least_busy(now_s, service, trusted)


def precedence(
    service: state.ServiceState, request: types.OwnerRequest
) -> _admission.Precedence:
    """Return the position of a request among the queued ones.

    If not all can meet their objectives, requests that lose most by a delay
    go first, and short ones, of which more can be served.
    """
    queue_class = _admission.QueueClass
    if is_short(service, request):
        return request.rank, queue_class.SHORT
    if request.objective_s is None:
        return request.rank, queue_class.NORMAL
    spare_s = request.objective_s - expected_run_s(service, request)
    is_deferrable = spare_s > _DEFERRABLE_SPARE_S
    return (
        request.rank,
        queue_class.DEFERRABLE if is_deferrable else queue_class.NORMAL,
    )


def is_short(service: state.ServiceState, request: types.OwnerRequest) -> bool:
    """Return whether the expected run is well below the mean slot time."""
    run_s = expected_run_s(service, request)
    return run_s <= _MAX_SHORT_RUN_SHARE * service.mean_busy_s


def expected_wait_s(
    service: state.ServiceState, request: types.OwnerRequest, wait: Wait
) -> float:
    """Return the expected wait of a new request, in seconds.

    It waits for the next free slot, or until a limit allows a request, and
    for the requests queued ahead of it.

    :param wait: for the upstreams that may run it.
    """
    queue = service.queue
    assert isinstance(queue, _admission.RankedQueue), "ordered by run time"
    rank = precedence(service, request)
    limit_s = 0.0
    if not math.isinf(wait.rate_per_s):
        ahead = queue.count_ahead(request.team, rank)
        limit_s = wait.next_s + ahead / wait.rate_per_s
        if wait.has_open_slot:
            return limit_s
    ahead_s = queue.work_ahead_s(request.team, rank)
    slot_s = (service.mean_busy_s + ahead_s) / max(1, wait.slots)
    return max(slot_s, limit_s)


def _expected_wait_s(
    now_s: float,
    service: state.ServiceState,
    queue: work.CostQueue,
    request: types.OwnerRequest,
    wait: Wait,
) -> float:
    """Return the wait of a new request by the expected run times."""
    run_s = _owner_work.expected_run_s(request, wait.slowness)
    ahead = queue.list_ahead(
        now_s,
        request.team,
        request.rank,
        run_s or expected_run_s(service, request),
    )
    limit_s = 0.0
    if not math.isinf(wait.rate_per_s):
        limit_s = wait.next_s + len(ahead) / wait.rate_per_s
        if wait.has_open_slot:
            return limit_s
    ahead_s = sum(item.run_s for item in ahead)
    return max(wait.free_s + ahead_s / max(1, wait.slots), limit_s)


def expected_run_s(
    service: state.ServiceState, request: types.OwnerRequest
) -> float:
    """Return the median run time of the request's route, in seconds.

    :returns: 0 while the median is unknown.
    """
    if request.reference_ms is not None:
        return request.reference_ms / 1000.0
    median = service.medians.get(request.route)
    if median is None or median.value is None:
        return 0.0
    return median.value


def max_wait_s(
    now_s: float, service: state.ServiceState, request: types.OwnerRequest
) -> float:
    """Return the longest expected wait with which to queue a request.

    Short requests may wait beyond their objective: most are calls of another
    upstream, whose own run is lost if they are refused.

    :returns: seconds.
    """
    left_s = request.deadline_s - now_s
    if request.objective_s is not None and not is_short(service, request):
        left_s = min(left_s, request.objective_s)
    return min(_MAX_WAIT_S, left_s / 2.0)


def can_wait(
    now_s: float,
    service: state.ServiceState,
    request: types.OwnerRequest,
    wait: Wait,
) -> bool:
    """Return whether a request that is queued now will end in time.

    Half of its remaining time is reserved for the run: a run that is cut off
    at the deadline occupies a slot without giving an answer. The wait has a
    common limit, so that non-idempotent requests with later deadlines don't
    displace lookups.

    :param wait: for the upstreams that may run it.
    """
    if isinstance(service.queue, work.CostQueue):
        wait_s = _expected_wait_s(now_s, service, service.queue, request, wait)
    else:
        wait_s = expected_wait_s(service, request, wait)
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
    """Return whether a request that starts now will likely end in time.

    :param end_s: when it must have ended.
    """
    run_s = expected_run_s(service, request)
    return now_s + _RUN_MARGIN_FACTOR * run_s < end_s


def backlog_s(service: state.ServiceState, wait: Wait) -> float:
    """Return the time to work off all accepted requests, in seconds.

    :param wait: for the upstreams that run them; all their slots are assumed
        to be in use.
    """
    queued = len(service.queue)
    slot_s = (queued + wait.slots) * service.mean_busy_s / max(1, wait.slots)
    if math.isinf(wait.rate_per_s):
        return slot_s
    return max(slot_s, wait.next_s + queued / wait.rate_per_s)


def _find_due_trial(
    now_s: float,
    service: state.ServiceState,
    usable: cabc.Sequence[state.Upstream],
    request: types.OwnerRequest,
) -> state.Upstream | None:
    if request.kind is not types.RequestKind.LOOKUP:
        return None
    run_s = expected_run_s(service, request)
    for up in usable:
        if _ejection.is_trial_due(up, now_s, run_s) and (
            up.free_slots(now_s) > 0
        ):
            return up
    return None


def _choose_least_busy(
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
        return _make_wait(now_s, service, upstreams)
    return Place(best, is_trial=False)


def _make_wait(
    now_s: float,
    service: state.ServiceState,
    upstreams: cabc.Sequence[state.Upstream],
) -> Wait:
    slots = sum(up.slots for up in upstreams)
    free_s, slowness = 0.0, 1.0
    if service.policy.is_varied:
        free_s = _owner_work.next_free_s(now_s, service, upstreams)
        slowness = _owner_work.mean_slowness(upstreams)
    limits = [up.rate_limit for up in upstreams if up.rate_limit is not None]
    if len(limits) < len(upstreams):
        return Wait(slots, free_s=free_s, slowness=slowness)
    return Wait(
        slots,
        sum(limit.rate_per_s for limit in limits),
        min(limit.wait_s(now_s) for limit in limits),
        any(up.open_slots(now_s) > 0 for up in upstreams),
        free_s,
        slowness,
    )


def _no_upstream_code(
    upstreams: cabc.Sequence[state.Upstream],
    usable: cabc.Sequence[state.Upstream],
) -> exceptions.ErrorCode:
    if usable:
        return exceptions.ErrorCode.STEERED_AWAY
    if any(_leaving.is_leaving(up) for up in upstreams):
        return exceptions.ErrorCode.LEAVING
    return exceptions.ErrorCode.NO_UPSTREAM
