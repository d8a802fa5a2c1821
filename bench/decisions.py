"""Measure routing and health decisions under partial faults.

Usage:
  decisions detection [--seeds=N] [--load=SHARE]
  decisions compare [--seeds=N] [--load=SHARE]
  decisions ablations [--seeds=N] [--load=SHARE]
  decisions healthy [--hours=H]

All rows of a table are run with the same seeds.
"""

from __future__ import annotations

import dataclasses
import math
import multiprocessing
import typing as t

import docopt

from bench import _decision_driver as driver
from bench import _decision_model as model
from bench import _decision_policies as policies
from papayastall import _owner_state

FAULT_START_S = 30.0
RUN_S = 60.0
DETECTION_GAP_S = 5.0
"""A fault counts as detected once no ordinary request is sent for so long."""
WORKER_PROCESSES = 2
NOT_DETECTED_S = math.inf
UPSTREAM_COUNT = 6
COMPARED_FAULTS = (
    model.FaultKind.STALL,
    model.FaultKind.SLOW,
    model.FaultKind.ERRORS,
    model.FaultKind.FAST_ERRORS,
    model.FaultKind.ROUTE_STALL,
    model.FaultKind.FLAP,
    model.FaultKind.OWNER_PAUSED,
)
DEPLOYMENTS = (model.SAFE_STEPS, model.PERROS_ATENTOS)


@dataclasses.dataclass(slots=True, frozen=True)
class Job:
    """One run: a policy, a fault and a seed.

    :param load: offered load as a share of the capacity.
    """

    deployment: model.Deployment
    policy: policies.Policy
    fault: model.FaultKind | None
    seed: int
    load: float = 0.1
    upstreams: int = UPSTREAM_COUNT


@dataclasses.dataclass(slots=True)
class Result:
    """Summary of one run.

    :param detection_s: time from the fault to the last request before 5 s
        without any; trial lookups do not count. Infinite if there is no such
        gap.
    :param sent: requests sent to the failing upstream in the 30 s from the
        fault to the end of the run.
    :param steered: times that a healthy upstream was steered away from.
    :param ejected: times that a healthy upstream was ejected.
    """

    detection_s: float
    sent: int
    lookups: int
    lookups_answered: int
    bookings: int
    bookings_answered: int
    bookings_unknown: int
    bookings_failed: int
    steered: int
    ejected: int


def run_job(job: Job) -> Result:
    """Run one job in a worker process."""
    faults = []
    if job.fault is not None:
        faults.append(model.Fault(job.fault, 0, FAULT_START_S))
    scenario = driver.Scenario(
        job.deployment,
        job.upstreams,
        policies.make_policy(job.policy, job.deployment, job.upstreams),
        RUN_S,
        lambda now_s: job.load,
        job.load,
        faults,
        make_ingress=job.policy.make_ingress,
    )
    return summarize(driver.Driver(scenario, job.seed).run(), RUN_S)


def summarize(stats: driver.Stats, end_s: float) -> Result:
    """Summarize a run.

    Lookups and bookings whose deadline may not have passed by the end of the
    run are not counted.
    """
    settled = [
        caller
        for caller in stats.callers
        if caller.begun_s < end_s - driver.BOOKING_DEADLINE_S
    ]
    lookups = [c for c in settled if c.request.route != model.BOOKING_ROUTE]
    bookings = [c for c in settled if c.request.route == model.BOOKING_ROUTE]
    others = [
        standing
        for at_s, index, standing in stats.standings
        if index != 0 or at_s < FAULT_START_S
    ]
    return Result(
        detection_s=_detection_s(stats, end_s),
        sent=sum(
            1 for at_s, i, _ in stats.sent if i == 0 and at_s >= FAULT_START_S
        ),
        lookups=len(lookups),
        lookups_answered=sum(c.received == "answered" for c in lookups),
        bookings=len(bookings),
        bookings_answered=sum(c.received == "answered" for c in bookings),
        bookings_unknown=sum(c.received == "unknown" for c in bookings),
        bookings_failed=sum(c.received == "failed" for c in bookings),
        steered=others.count(_owner_state.Standing.STEERED),
        ejected=others.count(_owner_state.Standing.EJECTED),
    )


def _detection_s(stats: driver.Stats, end_s: float) -> float:
    last_s = FAULT_START_S
    for at_s, index, ordinary in stats.sent:
        if index != 0 or at_s < FAULT_START_S or not ordinary:
            continue
        if at_s - last_s > DETECTION_GAP_S:
            break
        last_s = at_s
    if last_s > end_s - DETECTION_GAP_S:
        return NOT_DETECTED_S
    return last_s - FAULT_START_S


def percentile(values: list[float], share: float) -> float:
    """Return a percentile by the nearest-rank method.

    :param share: rank as a share, 0 to 1.
    """
    ranked = sorted(values)
    rank = max(1, math.ceil(share * len(ranked)))
    return ranked[rank - 1]


def _format_seconds(value: float) -> str:
    return "never" if math.isinf(value) else f"{value:.2f}"


def print_rows(
    rows: list[policies.Policy],
    faults: list[model.FaultKind],
    seeds: int,
    load: float,
) -> None:
    """Print one table per deployment, with a row per policy and fault."""
    jobs = [
        Job(deployment, policy, fault, seed, load)
        for deployment in DEPLOYMENTS
        for policy in rows
        for fault in faults
        for seed in range(seeds)
    ]
    with multiprocessing.Pool(WORKER_PROCESSES) as pool:
        results = pool.map(run_job, jobs, chunksize=seeds)
    for deployment in DEPLOYMENTS:
        print(f"\n### {deployment.name}, load {load}, seeds 0..{seeds - 1}\n")
        print(
            "| policy | fault | detection p50 s | p99 s | given in 30 s | "
            "lookups answered % | bookings unknown | failed | "
            "others steered | others ejected |"
        )
        print("|---|---|---|---|---|---|---|---|---|---|")
        for policy in rows:
            for fault in faults:
                found = [
                    result
                    for job, result in zip(jobs, results, strict=True)
                    if job.deployment is deployment
                    and job.policy is policy
                    and job.fault is fault
                ]
                print(_format_row(policy.name, fault.value, found))


def _format_row(policy: str, fault: str, found: list[Result]) -> str:
    times = [result.detection_s for result in found]
    lookups = sum(result.lookups for result in found)
    answered = sum(result.lookups_answered for result in found)
    bookings = sum(result.bookings for result in found)
    unknown = sum(result.bookings_unknown for result in found)
    failed = sum(result.bookings_failed for result in found)
    sent = sum(result.sent for result in found) / len(found)
    steered = sum(result.steered for result in found)
    ejected = sum(result.ejected for result in found)
    return (
        f"| {policy} | {fault} | {_format_seconds(percentile(times, 0.5))} "
        f"| {_format_seconds(percentile(times, 0.99))} | {sent:.1f} "
        f"| {100 * answered / lookups:.3f} ({lookups}) "
        f"| {unknown} of {bookings} | {failed} | {steered} | {ejected} |"
    )


def print_healthy(hours: float) -> None:
    """Print how often healthy upstreams are ejected under varying load.

    :param hours: simulated upstream-hours of each run.
    """
    jobs = [
        (deployment, share, hours)
        for deployment in DEPLOYMENTS
        for share in (0.1, 0.35)
    ]
    print("| deployment | load | upstream-hours | steered | ejected | "
          "lookups answered % |")  # fmt: skip
    print("|---|---|---|---|---|---|")
    with multiprocessing.Pool(WORKER_PROCESSES) as pool:
        for line in pool.imap(_run_healthy_job, jobs):
            print(line, flush=True)


def _run_healthy_job(job: tuple[model.Deployment, float, float]) -> str:
    deployment, share, hours = job
    if share > 0.2:
        hours /= 3
    seconds = hours * 3600 / UPSTREAM_COUNT
    scenario = driver.Scenario(
        deployment,
        UPSTREAM_COUNT,
        policies.make_policy(policies.CURRENT, deployment, UPSTREAM_COUNT),
        seconds,
        lambda now_s: share * (1 + math.sin(now_s / 60)),
        2 * share,
        restarts={
            index: 300.0 + 600.0 * turn + 100.0 * index
            for index in range(UPSTREAM_COUNT)
            for turn in range(1)
        },
    )
    stats = driver.Driver(scenario, 1).run()
    lookups = [
        c
        for c in stats.callers
        if c.request.route != model.BOOKING_ROUTE and c.begun_s < seconds - 6
    ]
    answered = sum(c.received == "answered" for c in lookups)
    standings = [standing for _, _, standing in stats.standings]
    steered = standings.count(_owner_state.Standing.STEERED)
    ejected = standings.count(_owner_state.Standing.EJECTED)
    return (
        f"| {deployment.name} | {share} +/- {share} | {hours:.1f} "
        f"| {steered} | {ejected} "
        f"| {100 * answered / len(lookups):.4f} ({len(lookups)}) |"
    )


def main() -> None:
    """Run the command that the command line names."""
    arguments: dict[str, t.Any] = docopt.docopt(__doc__ or "")
    seeds = int(arguments["--seeds"] or 16)
    load = float(arguments["--load"] or 0.1)
    if arguments["detection"]:
        print_rows([policies.CURRENT], list(model.FaultKind), seeds, load)
    elif arguments["compare"]:
        rows = [policies.CURRENT, *policies.BASELINES, *policies.VERSIONS]
        print_rows(rows, list(COMPARED_FAULTS), seeds, load)
    elif arguments["ablations"]:
        rows = [policies.CURRENT, *policies.ABLATIONS]
        print_rows(rows, list(COMPARED_FAULTS), seeds, load)
    else:
        print_healthy(float(arguments["--hours"] or 10))


if __name__ == "__main__":
    main()
