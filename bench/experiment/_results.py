"""What the callers of a run got, and what the best policy could give."""

from __future__ import annotations

import statistics

import msgspec

from bench.experiment import _fleet
from bench.experiment import _settings as settings

__all__ = ["KindResult", "Result", "find_best", "play"]

LATE_CREDIT = 0.5
"""Of an answer after its objective."""
SETTLE_S = 1.0
"""Beyond the callers' patience, what they asked for has ended."""


class KindResult(msgspec.Struct):
    """One kind of request in one run, all shares of what was asked."""

    asked: int
    served: float
    in_objective: float
    refused: float
    credit: float
    median_ms: float


class Result(msgspec.Struct):
    """One run.

    :param credit: of all kinds, by their worth; 1 is everything in time.
    :param attempts: sent to owners, for each request of a caller.
    :param far: share of these that left their failure domain.
    """

    policy: str
    load: float
    seed: int
    credit: float
    attempts: float
    far: float
    kinds: dict[str, KindResult]


def play(
    experiment: settings.Experiment,
    policy: settings.Policy,
    load: float,
    seed: int,
) -> Result:
    """Play one run and summarise it."""
    fleet = _fleet.Fleet(experiment, policy, load, seed)
    patience_s = experiment.clients.patience_ms / 1000 + SETTLE_S
    end_s = experiment.seconds - patience_s
    asked = [
        each
        for each in fleet.run()
        if experiment.warm_s <= each.begun_s < end_s
    ]
    kinds = {}
    owed = earned = 0.0
    for kind in experiment.kinds:
        own = [each for each in asked if each.kind is kind]
        if not own:
            continue
        kinds[kind.name] = _summarise(own)
        owed += kind.worth * len(own)
        earned += kind.worth * len(own) * kinds[kind.name].credit
    return Result(
        policy.name,
        load,
        seed,
        earned / owed if owed else 0.0,
        fleet.sent / max(1, len(fleet.asked)),
        fleet.sent_far / max(1, fleet.sent),
        kinds,
    )


def _summarise(asked: list[_fleet.Asked]) -> KindResult:
    times_ms = [
        (each.ended_s - each.begun_s) * 1000
        for each in asked
        if each.told is not None and each.told.served
    ]
    objective_ms = asked[0].kind.objective_ms
    early = sum(time_ms <= objective_ms for time_ms in times_ms)
    late = len(times_ms) - early
    refused = sum(
        each.told is not None and each.told.status == 503 for each in asked
    )
    count = len(asked)
    return KindResult(
        count,
        len(times_ms) / count,
        early / count,
        refused / count,
        (early + LATE_CREDIT * late) / count,
        statistics.median(times_ms) if times_ms else 0.0,
    )


def find_best(
    experiment: settings.Experiment, load: float
) -> dict[str, float]:
    """Return the share of each kind that a fleet without faults can serve.

    The most urgent kinds come first, and no slot is ever idle or wasted.
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
        work_s = _fleet.find_work_s(experiment, kind)
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
