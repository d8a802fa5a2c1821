"""Measure routing and health decisions under load, outages and restarts.

Usage:
  decisions_load overload
  decisions_load outage
  decisions_load fairness
  decisions_load restart
  decisions_load domain
"""

from __future__ import annotations

import collections.abc as cabc
import multiprocessing
import random
import typing as t

import docopt

from bench import _decision_driver as driver
from bench import _decision_model as model
from bench import _decision_policies as policies
from bench import decisions

DEPLOYMENTS = (model.SAFE_STEPS, model.PERROS_ATENTOS)
WORKER_PROCESSES = 2
UPSTREAM_COUNT = 6
SEED = 1
LOAD_FACTORS = (0.7, 1.0, 2.0, 4.0, 10.0)
OUTAGE_START_S = 30.0
OUTAGE_END_S = 90.0
OUTAGE_RUN_S = 130.0
MAX_RESENDS = 30
FLOOD_START_S = 20.0
POLICIES = [policies.CURRENT, *policies.BASELINES]


def _constant_load(share: float) -> cabc.Callable[[float], float]:
    return lambda now_s: share


def _scenario(
    deployment: model.Deployment,
    policy: policies.Policy,
    seconds: float,
    load: float,
    upstreams: int = UPSTREAM_COUNT,
) -> driver.Scenario:
    return driver.Scenario(
        deployment,
        upstreams,
        policies.make_policy(policy, deployment, upstreams),
        seconds,
        _constant_load(load),
        load,
        make_ingress=policy.make_ingress,
    )


def _lookups(stats: driver.Stats) -> list[driver.Caller]:
    return [
        caller
        for caller in stats.callers
        if caller.request.route != model.BOOKING_ROUTE
    ]


def run_overload(
    job: tuple[model.Deployment, policies.Policy],
) -> list[float]:
    """Return the goodput in answers per second at each load factor."""
    deployment, policy = job
    found = []
    for factor in LOAD_FACTORS:
        seconds = 30.0
        scenario = _scenario(deployment, policy, seconds, factor)
        stats = driver.Driver(scenario, SEED).run()
        answered = sum(
            1
            for caller in stats.callers
            if caller.answered_s is not None and caller.answered_s >= 10.0
        )
        found.append(answered / (seconds - 10.0))
    return found


def print_overload() -> None:
    """Print the goodput of each policy at each load factor."""
    jobs = [(d, p) for d in DEPLOYMENTS for p in POLICIES]
    names = " | ".join(f"{factor}x" for factor in LOAD_FACTORS)
    print(f"| deployment | policy | {names} | lowest of peak from 1x |")
    print("|---|---|" + "---|" * (len(LOAD_FACTORS) + 1))
    with multiprocessing.Pool(WORKER_PROCESSES) as pool:
        for (deployment, policy), found in zip(
            jobs, pool.imap(run_overload, jobs), strict=True
        ):
            cells = " | ".join(f"{value:.0f}/s" for value in found)
            share = min(found[1:]) / max(found)
            met = "met" if share >= 0.9 else "not met"
            print(
                f"| {deployment.name} | {policy.name} | {cells} "
                f"| {100 * share:.1f}% ({met}) |",
                flush=True,
            )


def run_outage(
    job: tuple[model.Deployment, policies.Policy],
) -> list[tuple[float, float, float]]:
    """Return rates per second in four spans around an outage.

    The rates are those of callers' requests, requests sent to upstreams and
    answers. The spans are before and during the outage, the first 10 s after
    it, and the time until 10 s before the end of the run.
    """
    deployment, policy = job
    scenario = _scenario(deployment, policy, OUTAGE_RUN_S, 0.5)
    scenario.resends = MAX_RESENDS
    scenario.faults = [
        model.Fault(model.FaultKind.STALL, index, OUTAGE_START_S, OUTAGE_END_S)
        for index in range(UPSTREAM_COUNT)
    ]
    stats = driver.Driver(scenario, SEED).run()
    spans = [
        (10.0, OUTAGE_START_S),
        (OUTAGE_START_S, OUTAGE_END_S),
        (OUTAGE_END_S, OUTAGE_END_S + 10.0),
        (OUTAGE_END_S + 10.0, OUTAGE_RUN_S - 10.0),
    ]
    found = []
    for start_s, end_s in spans:
        length_s = end_s - start_s
        arrived = sum(start_s <= c.begun_s < end_s for c in stats.callers)
        sent = sum(start_s <= at_s < end_s for at_s, _, _ in stats.sent)
        answered = sum(
            c.answered_s is not None and start_s <= c.answered_s < end_s
            for c in stats.callers
        )
        found.append(
            (arrived / length_s, sent / length_s, answered / length_s)
        )
    return found


def print_outage() -> None:
    """Print the load from callers and on upstreams around a 60 s outage."""
    jobs = [
        (d, p)
        for d in DEPLOYMENTS
        for p in [*POLICIES, policies.Policy("no budget", {}, {}, 10.0)]
    ]
    print(
        "| deployment | policy | before: asked, given, answered /s "
        "| outage of 60 s | first 10 s after | then |"
    )
    print("|---|---|---|---|---|---|")
    with multiprocessing.Pool(WORKER_PROCESSES) as pool:
        for (deployment, policy), found in zip(
            jobs, pool.imap(run_outage, jobs), strict=True
        ):
            cells = " | ".join(
                f"{arrived:.0f}, {sent:.0f}, {answered:.0f}"
                for arrived, sent, answered in found
            )
            print(f"| {deployment.name} | {policy.name} | {cells} |")


def _flood_team(now_s: float, rng: random.Random) -> str:
    if now_s >= FLOOD_START_S and rng.random() < 6.0 / 7.0:
        return "flood"
    return f"team-{rng.randrange(4)}"


def print_fairness() -> None:
    """Print each team's results while one sends three times the capacity."""
    print("| deployment | team | asked /s | answered % | p99 s |")
    print("|---|---|---|---|---|")
    for deployment in DEPLOYMENTS:
        scenario = _scenario(deployment, policies.CURRENT, 60.0, 3.5)
        scenario.load = lambda now_s: 0.5 if now_s < FLOOD_START_S else 3.5
        scenario.team_of = _flood_team
        stats = driver.Driver(scenario, SEED).run()
        for team in ("flood", "team-0", "team-1", "team-2", "team-3"):
            callers = [
                c
                for c in stats.callers
                if c.team == team and FLOOD_START_S + 2.0 <= c.begun_s < 54.0
            ]
            times = [
                c.answered_s - c.begun_s
                for c in callers
                if c.answered_s is not None
            ]
            print(
                f"| {deployment.name} | {team} | {len(callers) / 32:.0f} "
                f"| {100 * len(times) / len(callers):.2f} "
                f"| {decisions.percentile(times, 0.99):.2f} |"
            )


def print_restart() -> None:
    """Print lookups lost while the upstreams restart one by one."""
    print(
        "| deployment | load | lookups | not answered | bookings | unknown "
        "| not run | given to a leaving one |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for deployment in DEPLOYMENTS:
        for load in (0.3, 0.6):
            scenario = _scenario(deployment, policies.CURRENT, 170.0, load)
            scenario.restarts = {
                index: 20.0 + 20.0 * index for index in range(UPSTREAM_COUNT)
            }
            stats = driver.Driver(scenario, SEED).run()
            settled = [c for c in stats.callers if c.begun_s < 160.0]
            received = [
                c.received for c in settled if c.request.route != "book"
            ]
            booked = [c.received for c in settled if c.request.route == "book"]
            print(
                f"| {deployment.name} | {load} | {len(received)} "
                f"| {len(received) - received.count('answered')} "
                f"| {len(booked)} "
                f"| {booked.count('unknown')} | {booked.count('not run')} "
                "| 0 (asserted) |"
            )


def print_domain() -> None:
    """Print the lookups answered when a failure domain crashes or stalls."""
    print(
        "| deployment | fault | load of what is left | lookups answered % "
        "in the first 10 s | then | after recovery |"
    )
    print("|---|---|---|---|---|---|")
    for deployment in DEPLOYMENTS:
        for kind in (model.FaultKind.CRASH, model.FaultKind.STALL):
            scenario = _scenario(deployment, policies.CURRENT, 130.0, 0.4)
            scenario.faults = [
                model.Fault(kind, index, 30.0, 80.0) for index in (0, 3)
            ]
            stats = driver.Driver(scenario, SEED).run()
            shares = [
                _answered_share(stats, start_s, end_s)
                for start_s, end_s in ((30, 40), (40, 80), (80, 120))
            ]
            cells = " | ".join(f"{100 * share:.2f}" for share in shares)
            print(f"| {deployment.name} | {kind.value} | 0.6 | {cells} |")


def _answered_share(
    stats: driver.Stats, start_s: float, end_s: float
) -> float:
    received = [
        c.received for c in _lookups(stats) if start_s <= c.begun_s < end_s
    ]
    return received.count("answered") / len(received)


def main() -> None:
    """Run the command that the command line names."""
    arguments: dict[str, t.Any] = docopt.docopt(__doc__ or "")
    commands = {
        "overload": print_overload,
        "outage": print_outage,
        "fairness": print_fairness,
        "restart": print_restart,
        "domain": print_domain,
    }
    for name, command in commands.items():
        if arguments[name]:
            command()


if __name__ == "__main__":
    main()
