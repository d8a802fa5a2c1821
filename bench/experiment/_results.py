"""Results of runs, and the upper bound of what any policy can serve."""

from __future__ import annotations

import collections
import collections.abc as cabc
import statistics

import msgspec

from bench.experiment import _fleet
from bench.experiment import _settings as settings

__all__ = ["KindResult", "Result", "find_max_served", "simulate"]

LATE_CREDIT = 0.5
"""Credit for an answer after its latency objective; 1 for one in time."""
SETTLE_MARGIN_S = 1.0
"""Requests that begin within the callers' patience and this margin of the end
of a run may not end in it and are not counted."""
STARVED_WINDOW_S = 2.0


class KindResult(msgspec.Struct):
    """Results of one kind of request in one run.

    :param asked: number of callers' requests.
    :param served: share of them with a successful answer.
    :param in_objective: share answered within the latency objective.
    :param refused: share that were refused at their last try.
    :param unknown: share whose last try ended with an unknown outcome.
    :param failed: share whose last try was answered with an error.
    :param credit: share of the full worth of all requests that was earned.
    :param median_ms: median time of the successful answers.
    """

    asked: int
    served: float
    in_objective: float
    refused: float
    unknown: float
    failed: float
    credit: float
    median_ms: float


class Result(msgspec.Struct):
    """Results of one run.

    :param credit: credit over all kinds, weighted by their worth; 1 if every
        request is answered within its objective.
    :param attempts: attempts sent to owners per request of a caller.
    :param far_share: share of the attempts that went to another failure
        domain.
    :param extra_peak: most extra arrivals at upstreams of a service in any
        window, beyond the retry ratio; the fleet's slack is the limit.
    :param hang_share: share of the arrivals that hung.
    :param starved: windows of 2 s in which an upstream that was healthy got
        no request, as a share of all windows and healthy upstreams.
    :param causes: further attempts by their reason, for each request.
    """

    policy: str
    load: float
    seed: int
    credit: float
    attempts: float
    far_share: float
    extra_peak: float
    hang_share: float
    starved: float
    causes: dict[str, float]
    kinds: dict[str, KindResult]


def simulate(
    experiment: settings.Experiment,
    policy: settings.Policy,
    load: float,
    seed: int,
) -> Result:
    """Simulate one run and summarise it."""
    fleet = _fleet.Fleet(experiment, policy, load, seed)
    patience_s = experiment.clients.patience_ms / 1000 + SETTLE_MARGIN_S
    end_s = experiment.seconds - patience_s
    asked = [
        each
        for each in fleet.run()
        if experiment.warm_s <= each.begun_s < end_s
    ]
    kinds = {}
    owed = earned = 0.0
    for kind in experiment.kinds:
        selected = [each for each in asked if each.kind is kind]
        if not selected:
            continue
        kinds[kind.name] = _summarise(selected)
        owed += kind.worth * len(selected)
        earned += kind.worth * len(selected) * kinds[kind.name].credit
    return Result(
        policy.name,
        load,
        seed,
        earned / owed if owed else 0.0,
        fleet.sent / max(1, len(fleet.asked)),
        fleet.sent_to_other_domains / max(1, fleet.sent),
        _find_extra_peak(experiment, fleet.arrivals),
        sum(each.hangs for each in fleet.arrivals)
        / max(1, len(fleet.arrivals)),
        fleet.starved_share(STARVED_WINDOW_S),
        {
            cause: count / max(1, len(fleet.asked))
            for cause, count in fleet.causes.items()
        },
        kinds,
    )


def _find_extra_peak(
    experiment: settings.Experiment,
    arrivals: cabc.Sequence[_fleet.Arrival],
) -> float:
    """Return the largest number of extra arrivals beyond the retry ratio."""
    site = experiment.site
    peak = 0.0
    for service in experiment.services:
        selected = [each for each in arrivals if each.service == service.name]
        # The windows with most extra arrivals begin and end with one. The
        # excess is a sum, so a deque of the window's arrivals suffices.
        window: collections.deque[_fleet.Arrival] = collections.deque()
        excess = 0.0
        for arrival in selected:
            window.append(arrival)
            excess += 1.0 if arrival.is_extra else -site.retry_ratio
            while window[0].at_s < arrival.at_s - site.retry_window_s:
                first = window.popleft()
                excess -= 1.0 if first.is_extra else -site.retry_ratio
            peak = max(peak, excess)
    return peak


def _summarise(asked: list[_fleet.CallerRequest]) -> KindResult:
    times_ms = [
        (each.ended_s - each.begun_s) * 1000
        for each in asked
        if each.reply is not None and each.reply.served
    ]
    objective_ms = asked[0].kind.objective_ms
    early = sum(time_ms <= objective_ms for time_ms in times_ms)
    late = len(times_ms) - early
    ended = [0 if each.reply is None else each.reply.status for each in asked]
    count = len(asked)
    return KindResult(
        count,
        len(times_ms) / count,
        early / count,
        ended.count(503) / count,
        ended.count(504) / count,
        ended.count(500) / count,
        (early + LATE_CREDIT * late) / count,
        statistics.median(times_ms) if times_ms else 0.0,
    )


def find_max_served(
    experiment: settings.Experiment, load: float
) -> dict[str, float]:
    """Return the largest share of each kind that can be served.

    This assumes that there are no faults, that the most urgent kinds come
    first, and that no slot is idle or runs a request in vain.
    """
    rate_per_s = load * _fleet.find_capacity_per_s(experiment)
    total = sum(kind.share for kind in experiment.kinds)
    left = {
        service.name: service.upstreams * float(experiment.site.slots)
        for service in experiment.services
    }
    best = {}
    for kind in sorted(experiment.kinds, key=lambda each: each.rank):
        asked_per_s = rate_per_s * kind.share / total
        if asked_per_s <= 0.0:
            continue
        work_s = _fleet.find_slot_time_s(experiment, kind)
        share = min(
            1.0,
            *(
                left[service] / (asked_per_s * seconds)
                for service, seconds in work_s.items()
                if seconds > 0.0
            ),
        )
        best[kind.name] = share
        for service, seconds in work_s.items():
            left[service] -= share * asked_per_s * seconds
    return best
