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
    """Print a table of policies and one of request kinds, for each load."""
    baseline_policy = experiment.policies[0].name
    print(f"Against {baseline_policy!r}, on {len(experiment.seeds)} seeds:\n")
    print(
        "| load | policy | credit | change | better on | attempts | far "
        "| hung | extra | starved |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    for load in experiment.loads:
        baseline_runs = _select(runs, baseline_policy, load)
        for policy in experiment.policies:
            selected = _select(runs, policy.name, load)
            credit = _mean(run.credit for run in selected)
            changes = [
                run.credit - baseline.credit
                for run, baseline in zip(selected, baseline_runs, strict=True)
            ]
            better_count = sum(change > 0.0 for change in changes)
            print(
                f"| {load:g} | {policy.name} | {credit:.3f} "
                f"| {_mean(changes):+.3f} | {better_count} of {len(selected)} "
                f"| {_mean(run.attempts for run in selected):.2f} "
                f"| {100 * _mean(run.far_share for run in selected):.0f}% "
                f"| {_mean(run.hang_share for run in selected):.3f} "
                f"| {max(run.extra_peak for run in selected):.0f} "
                f"| {_mean(run.starved for run in selected):.3f} |"
            )
    _print_causes(experiment, runs)
    print("\nShares of what was asked, and the best that can be served:\n")
    print(
        "| load | kind | best | policy | served | in time | refused "
        "| unknown | failed | p50 |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    for load in experiment.loads:
        best = results.find_max_served(experiment, load)
        for kind in best:
            for policy in experiment.policies:
                found = [
                    run.kinds[kind]
                    for run in _select(runs, policy.name, load)
                    if kind in run.kinds
                ]
                if found:
                    _print_kind(load, kind, best[kind], policy.name, found)


def _print_causes(experiment: settings.Experiment, runs: Runs) -> None:
    """Print how many attempts were made for a reason, for each request."""
    causes = sorted({cause for run in runs for cause in run.causes})
    print("\nFurther attempts by reason, for each request of a caller:\n")
    print(f"| load | policy | {' | '.join(causes)} |")
    print("|---" * (2 + len(causes)) + "|")
    for load in experiment.loads:
        for policy in experiment.policies:
            selected = _select(runs, policy.name, load)
            shares = [
                f"{_mean(run.causes.get(cause, 0.0) for run in selected):.3f}"
                for cause in causes
            ]
            print(f"| {load:g} | {policy.name} | {' | '.join(shares)} |")


def _print_kind(
    load: float,
    kind: str,
    best: float,
    policy: str,
    selected: list[results.KindResult],
) -> None:
    print(
        f"| {load:g} | {kind} | {best:.2f} | {policy} "
        f"| {_mean(each.served for each in selected):.3f} "
        f"| {_mean(each.in_objective for each in selected):.3f} "
        f"| {_mean(each.refused for each in selected):.3f} "
        f"| {_mean(each.unknown for each in selected):.3f} "
        f"| {_mean(each.failed for each in selected):.3f} "
        f"| {_mean(each.median_ms for each in selected):.0f} ms |"
    )


def write_plot(
    experiment: settings.Experiment, runs: Runs, path: pathlib.Path
) -> None:
    """Write a plot of credit against load: means as lines, runs as dots."""
    # Slow to import, and not needed for tables.
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
        selected = [run for run in runs if run.policy == policy.name]
        axes.scatter(
            [run.load for run in selected],
            [run.credit for run in selected],
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
