"""Tables and the plot of an experiment."""

from __future__ import annotations

import collections.abc as cabc
import pathlib
import statistics

from bench.experiment import _results as results
from bench.experiment import _settings as settings

__all__ = ["print_tables", "write_plot"]

Runs = list[results.Result]


def _select(runs: Runs, policy: str, load: float) -> Runs:
    return [run for run in runs if run.policy == policy and run.load == load]


def _mean(values: cabc.Iterable[float]) -> float:
    return statistics.fmean(values)


def print_tables(experiment: settings.Experiment, runs: Runs) -> None:
    """Print a table of policies, then one of kinds at each load."""
    first = experiment.policies[0].name
    print(f"Against {first!r}, on {len(experiment.seeds)} seeds:\n")
    print("| load | policy | credit | change | better on | attempts | far |")
    print("|---|---|---|---|---|---|---|")
    for load in experiment.loads:
        base = _select(runs, first, load)
        for policy in experiment.policies:
            own = _select(runs, policy.name, load)
            credit = _mean(run.credit for run in own)
            changes = [
                run.credit - former.credit
                for run, former in zip(own, base, strict=True)
            ]
            better = sum(change > 0.0 for change in changes)
            print(
                f"| {load:g} | {policy.name} | {credit:.3f} "
                f"| {_mean(changes):+.3f} | {better} of {len(own)} "
                f"| {_mean(run.attempts for run in own):.2f} "
                f"| {100 * _mean(run.far for run in own):.0f}% |"
            )
    print("\nShares of what was asked, and the best that can be served:\n")
    print("| load | kind | best | policy | served | in time | refused | p50 |")
    print("|---|---|---|---|---|---|---|---|")
    for load in experiment.loads:
        best = results.find_best(experiment, load)
        for kind in best:
            for policy in experiment.policies:
                found = [
                    run.kinds[kind]
                    for run in _select(runs, policy.name, load)
                    if kind in run.kinds
                ]
                if found:
                    _print_kind(load, kind, best[kind], policy.name, found)


def _print_kind(
    load: float,
    kind: str,
    best: float,
    policy: str,
    own: list[results.KindResult],
) -> None:
    print(
        f"| {load:g} | {kind} | {best:.2f} | {policy} "
        f"| {_mean(each.served for each in own):.3f} "
        f"| {_mean(each.in_objective for each in own):.3f} "
        f"| {_mean(each.refused for each in own):.3f} "
        f"| {_mean(each.median_ms for each in own):.0f} ms |"
    )


def write_plot(
    experiment: settings.Experiment, runs: Runs, path: pathlib.Path
) -> None:
    """Draw the credit of each policy against the load, with all seeds."""
    # Slow to import, and not wanted for tables.
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8.0, 5.0))
    for policy in experiment.policies:
        means = [
            _mean(run.credit for run in _select(runs, policy.name, load))
            for load in experiment.loads
        ]
        [line] = axes.plot(
            experiment.loads, means, marker="o", label=policy.name
        )
        own = [run for run in runs if run.policy == policy.name]
        axes.scatter(
            [run.load for run in own],
            [run.credit for run in own],
            s=8,
            alpha=0.4,
            color=line.get_color(),
        )
    axes.set_xlabel("load, share of the site's capacity")
    axes.set_ylabel("credit, share of what is owed")
    axes.set_ylim(0.0, 1.0)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
