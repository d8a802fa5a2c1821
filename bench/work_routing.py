"""Compare routing by expected cost with routing by load.

Usage:
  work_routing compare [--seeds=N] [--seconds=S] [--large]
  work_routing features [--samples=N]

Options:
  --seeds=N    number of seeds of each row [default: 4]
  --seconds=S  simulated time of each run [default: 60]
  --large      50 nodes in 3 failure domains, in place of 10 and 7
  --samples=N  number of requests [default: 20000]

``compare`` prints the mean time, the 99th percentile and the share of
refused requests at several loads, with the same requests for every policy.
``features`` prints how much of the spread of the run times each feature of
a request explains.
"""

from __future__ import annotations

import collections.abc as cabc
import math
import multiprocessing
import random
import statistics
import typing as t

import docopt
import msgspec

from bench.experiment import _fleet
from bench.experiment import _settings

WORKER_PROCESSES = 2
LOADS = (0.5, 0.8, 1.2)
SERVICE = "service"
SETTLE_S = 10.0
WARM_S = 15.0
TAIL_SHARE = 0.02
TAIL_FACTOR = 4.0
SIGMA = 0.5
"""Nine in ten run times of one route differ by a factor of up to 5."""


def make_kind(
    name: str,
    share: float,
    mean_ms: float,
    *,
    is_lookup: bool = True,
    rank: int = 1,
    timeout_ms: int = 4000,
) -> _settings.Kind:
    """Return one kind of request with a mean run time."""
    tail = 1.0 + TAIL_SHARE * (TAIL_FACTOR - 1.0)
    return _settings.Kind(
        name,
        SERVICE,
        is_lookup,
        rank,
        share,
        mean_ms / math.exp(SIGMA**2 / 2) / tail,
        timeout_ms,
        timeout_ms // 2,
        sigma=SIGMA,
        tail_share=TAIL_SHARE,
        tail_factor=TAIL_FACTOR,
    )


KINDS = [
    make_kind("call", 0.35, 150.0, timeout_ms=2000),
    make_kind("lookup", 0.3, 300.0, rank=0),
    make_kind("book", 0.15, 450.0, is_lookup=False),
    make_kind("upload", 0.1, 600.0, is_lookup=False),
    make_kind("download", 0.1, 760.0),
]
"""Kinds with the mean run times of docs/design/hard-load.md."""

POLICIES = [
    _settings.Policy("by load"),
    _settings.Policy("by cost", is_varied=True),
]


class Row(msgspec.Struct):
    """Results of one run.

    :param mean_ms: mean time of the served requests.
    :param served: share of all requests.
    :param refused: share of all requests at their last try.
    :param far: share of the attempts that went to another failure domain.
    """

    mean_ms: float
    p99_ms: float
    served: float
    refused: float
    urgent_served: float
    far: float
    attempts: float


def make_experiment(
    seconds: float, *, is_large: bool = False
) -> _settings.Experiment:
    """Return 17 or 50 nodes with upstreams of speeds 0.5 to 1.5."""
    nodes = [17, 17, 16] if is_large else [10, 7]
    site = _settings.Site(
        len(nodes),
        0.5 if is_large else 5.4,
        5 if is_large else 4,
        full_factor=1.0,
        retry_ratio=0.2,
        retry_slack=166.0,
        domain_nodes=nodes,
        min_speed=0.5,
        max_speed=1.5,
    )
    return _settings.Experiment(
        site,
        [_settings.Service(SERVICE, sum(nodes))],
        KINDS,
        POLICIES,
        [],
        list(LOADS),
        seconds,
    )


def run_job(
    job: tuple[_settings.Experiment, _settings.Policy, float, int],
) -> Row:
    """Run one policy at one load with one seed."""
    experiment, policy, load, seed = job
    fleet = _fleet.Fleet(experiment, policy, load, seed)
    asked = [
        each
        for each in fleet.run()
        if WARM_S <= each.begun_s < experiment.seconds - SETTLE_S
    ]
    served = [each for each in asked if each.reply and each.reply.served]
    urgent = [each for each in asked if each.kind.rank == 0]
    times_ms = sorted(
        (each.ended_s - each.begun_s) * 1000.0 for each in served
    )
    return Row(
        statistics.fmean(times_ms),
        times_ms[int(0.99 * len(times_ms))],
        len(served) / len(asked),
        sum(
            each.reply is not None and each.reply.status == 503
            for each in asked
        )
        / len(asked),
        sum(each.reply is not None and each.reply.served for each in urgent)
        / len(urgent),
        fleet.sent_to_other_domains / fleet.sent,
        fleet.sent / len(fleet.asked),
    )


def print_comparison(seeds: int, experiment: _settings.Experiment) -> None:
    """Print one row per load and policy, as means over the seeds."""
    jobs = [
        (experiment, policy, load, seed)
        for load in LOADS
        for policy in experiment.policies
        for seed in range(seeds)
    ]
    with multiprocessing.Pool(WORKER_PROCESSES) as pool:
        rows = pool.map(run_job, jobs, 1)
    print(
        "| load | policy | mean ms | p99 ms | served % | refused % "
        "| rank 0 served % | far % | attempts |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for start in range(0, len(jobs), seeds):
        _, policy, load, _ = jobs[start]
        found = rows[start : start + seeds]

        def mean(
            pick: cabc.Callable[[Row], float],
            found: list[Row] = found,
        ) -> float:
            return statistics.fmean(map(pick, found))

        print(
            f"| {load} | {policy.name} | {mean(lambda r: r.mean_ms):.0f} "
            f"| {mean(lambda r: r.p99_ms):.0f} "
            f"| {100 * mean(lambda r: r.served):.2f} "
            f"| {100 * mean(lambda r: r.refused):.2f} "
            f"| {100 * mean(lambda r: r.urgent_served):.2f} "
            f"| {100 * mean(lambda r: r.far):.0f} "
            f"| {mean(lambda r: r.attempts):.2f} |",
            flush=True,
        )


def print_features(samples: int) -> None:
    """Print the share of the variance that each feature explains.

    The variance is that of the logarithm of the run time. Features other
    than the route are judged by what they add to it.
    """
    rng = random.Random(1)
    drawn: list[tuple[str, dict[str, t.Hashable], float]] = []
    for _ in range(samples):
        [kind] = rng.choices(KINDS, [each.share for each in KINDS])
        body_bytes = 0.0
        if kind.name == "upload":
            body_bytes = min(360e3, 60e3 / 1.13 * rng.lognormvariate(0, 0.5))
        run_ms = kind.work_ms * rng.lognormvariate(0.0, kind.sigma)
        if rng.random() < kind.tail_share:
            run_ms *= kind.tail_factor
        features: dict[str, t.Hashable] = {
            "team": rng.randrange(87),
            "body size, by powers of 2": int(math.log2(body_bytes + 1)),
            "path prefix": rng.randrange(20),
        }
        drawn.append((kind.name, features, math.log(run_ms)))
    half = samples // 2
    total = statistics.pvariance([log for _, _, log in drawn[half:]])
    keys = ["route", "team", "body size, by powers of 2", "path prefix"]
    print("| feature | variance explained % on requests not learned from |")
    print("|---|---|")
    for key in keys:
        left = _unexplained(drawn[:half], drawn[half:], key)
        name = key if key == "route" else f"route and {key}"
        print(f"| {name} | {100 * (1 - left / total):.1f} |")


def _unexplained(
    learned: list[tuple[str, dict[str, t.Hashable], float]],
    tested: list[tuple[str, dict[str, t.Hashable], float]],
    key: str,
) -> float:
    groups: dict[tuple[str, t.Hashable], list[float]] = {}
    for route, features, log in learned:
        groups.setdefault((route, features.get(key)), []).append(log)
    means = {group: statistics.fmean(logs) for group, logs in groups.items()}
    overall = statistics.fmean(log for _, _, log in learned)
    return statistics.fmean(
        (log - means.get((route, features.get(key)), overall)) ** 2
        for route, features, log in tested
    )


def main() -> None:
    """Run the command that the command line names."""
    options: dict[str, t.Any] = docopt.docopt(__doc__ or "")
    if options["features"]:
        print_features(int(options["--samples"]))
        return
    print_comparison(
        int(options["--seeds"]),
        make_experiment(
            float(options["--seconds"]), is_large=options["--large"]
        ),
    )


if __name__ == "__main__":
    main()
