"""Measures the decisions under partial faults.

Usage:
  decisions detection [--seeds=N] [--load=SHARE]
  decisions compare [--seeds=N] [--load=SHARE]
  decisions ablations [--seeds=N] [--load=SHARE]
  decisions healthy [--hours=H]

Each row is one policy; all rows of a table run over the same seeds.
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

FAULT_S = 30.0
END_S = 60.0
QUIET_S = 5.0
PROCESSES = 2
NEVER = math.inf
UPSTREAMS = 6
COMPARED = (
    model.FaultKind.STALL,
    model.FaultKind.SLOW,
    model.FaultKind.ERRORS,
    model.FaultKind.FAST_ERRORS,
    model.FaultKind.KIND_STALL,
    model.FaultKind.FLAP,
    model.FaultKind.OWNER_FROZEN,
)
DEPLOYMENTS = (model.SAFE_STEPS, model.PERROS_ATENTOS)


@dataclasses.dataclass(slots=True, frozen=True)
class Job:
    """One run of one row."""

    deployment: model.Deployment
    policy: policies.Policy
    fault: model.FaultKind | None
    seed: int
    load: float = 0.1
    upstreams: int = UPSTREAMS


@dataclasses.dataclass(slots=True)
class Result:
    """What one run showed.

    :param detection_s: from the fault to the last new request before 5 s
        without any; lookups sent to test health do not count.
    :param given: requests given to the failing upstream in 30 s.
    """

    detection_s: float
    given: int
    lookups: int
    lookups_answered: int
    bookings: int
    bookings_answered: int
    bookings_unknown: int
    bookings_failed: int
    steered: int
    ejected: int


def run_job(job: Job) -> Result:
    """Run one job; called in a worker process."""
    faults = []
    if job.fault is not None:
        faults.append(model.Fault(job.fault, 0, FAULT_S))
    scenario = driver.Scenario(
        job.deployment,
        job.upstreams,
        policies.make_policy(job.policy, job.deployment, job.upstreams),
        END_S,
        lambda now_s: job.load,
        job.load,
        faults,
        make_ingress=job.policy.make_ingress,
    )
    return summarize(driver.Driver(scenario, job.seed).run(), END_S)


def summarize(stats: driver.Stats, end_s: float) -> Result:
    """Count what a run's callers and upstreams saw."""
    settled = [
        caller
        for caller in stats.callers
        if caller.begun_s < end_s - driver.BOOKING_DEADLINE_S
    ]
    lookups = [c for c in settled if c.request.route != model.BOOKING_ROUTE]
    bookings = [c for c in settled if c.request.route == model.BOOKING_ROUTE]
    out = [
        standing
        for at_s, index, standing in stats.standings
        if index != 0 or at_s < FAULT_S
    ]
    return Result(
        detection_s=_detection_s(stats, end_s),
        given=sum(
            1 for at_s, i, _ in stats.given if i == 0 and at_s >= FAULT_S
        ),
        lookups=len(lookups),
        lookups_answered=sum(c.told == "answered" for c in lookups),
        bookings=len(bookings),
        bookings_answered=sum(c.told == "answered" for c in bookings),
        bookings_unknown=sum(c.told == "unknown" for c in bookings),
        bookings_failed=sum(c.told == "failed" for c in bookings),
        steered=out.count(_owner_state.Standing.STEERED),
        ejected=out.count(_owner_state.Standing.EJECTED),
    )


def _detection_s(stats: driver.Stats, end_s: float) -> float:
    last_s = FAULT_S
    for at_s, index, ordinary in stats.given:
        if index != 0 or at_s < FAULT_S or not ordinary:
            continue
        if at_s - last_s > QUIET_S:
            break
        last_s = at_s
    if last_s > end_s - QUIET_S:
        return NEVER
    return last_s - FAULT_S


def percentile(values: list[float], share: float) -> float:
    """Return a percentile by nearest rank."""
    ranked = sorted(values)
    rank = max(1, math.ceil(share * len(ranked)))
    return ranked[rank - 1]


def _seconds(value: float) -> str:
    return "never" if math.isinf(value) else f"{value:.2f}"


def print_rows(
    rows: list[policies.Policy],
    faults: list[model.FaultKind],
    seeds: int,
    load: float,
) -> None:
    """Print one table per deployment: each row a policy and a fault."""
    jobs = [
        Job(deployment, policy, fault, seed, load)
        for deployment in DEPLOYMENTS
        for policy in rows
        for fault in faults
        for seed in range(seeds)
    ]
    with multiprocessing.Pool(PROCESSES) as pool:
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
    given = sum(result.given for result in found) / len(found)
    steered = sum(result.steered for result in found)
    ejected = sum(result.ejected for result in found)
    return (
        f"| {policy} | {fault} | {_seconds(percentile(times, 0.5))} "
        f"| {_seconds(percentile(times, 0.99))} | {given:.1f} "
        f"| {100 * answered / lookups:.3f} ({lookups}) "
        f"| {unknown} of {bookings} | {failed} | {steered} | {ejected} |"
    )


def run_healthy(hours: float) -> None:
    """Print ejections of healthy upstreams under swinging load."""
    jobs = [
        (deployment, share, hours)
        for deployment in DEPLOYMENTS
        for share in (0.1, 0.35)
    ]
    print("| deployment | load | upstream-hours | steered | ejected | "
          "lookups answered % |")  # fmt: skip
    print("|---|---|---|---|---|---|")
    with multiprocessing.Pool(PROCESSES) as pool:
        for line in pool.imap(_run_healthy, jobs):
            print(line, flush=True)


def _run_healthy(job: tuple[model.Deployment, float, float]) -> str:
    deployment, share, hours = job
    if share > 0.2:
        hours /= 3
    seconds = hours * 3600 / UPSTREAMS
    scenario = driver.Scenario(
        deployment,
        UPSTREAMS,
        policies.make_policy(policies.CURRENT, deployment, UPSTREAMS),
        seconds,
        lambda now_s: share * (1 + math.sin(now_s / 60)),
        2 * share,
        restarts={
            index: 300.0 + 600.0 * turn + 100.0 * index
            for index in range(UPSTREAMS)
            for turn in range(1)
        },
    )
    stats = driver.Driver(scenario, 1).run()
    lookups = [
        c
        for c in stats.callers
        if c.request.route != model.BOOKING_ROUTE and c.begun_s < seconds - 6
    ]
    answered = sum(c.told == "answered" for c in lookups)
    standings = [standing for _, _, standing in stats.standings]
    steered = standings.count(_owner_state.Standing.STEERED)
    ejected = standings.count(_owner_state.Standing.EJECTED)
    return (
        f"| {deployment.name} | {share} +/- {share} | {hours:.1f} "
        f"| {steered} | {ejected} "
        f"| {100 * answered / len(lookups):.4f} ({len(lookups)}) |"
    )


def main() -> None:
    """Run the part that the command line names."""
    arguments: dict[str, t.Any] = docopt.docopt(__doc__ or "")
    seeds = int(arguments["--seeds"] or 16)
    load = float(arguments["--load"] or 0.1)
    if arguments["detection"]:
        print_rows([policies.CURRENT], list(model.FaultKind), seeds, load)
    elif arguments["compare"]:
        rows = [policies.CURRENT, *policies.BASELINES, *policies.VERSIONS]
        print_rows(rows, list(COMPARED), seeds, load)
    elif arguments["ablations"]:
        rows = [policies.CURRENT, *policies.ABLATIONS]
        print_rows(rows, list(COMPARED), seeds, load)
    else:
        run_healthy(float(arguments["--hours"] or 10))


if __name__ == "__main__":
    main()
