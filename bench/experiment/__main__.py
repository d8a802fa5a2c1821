"""Compare policies on a model of a deployment, with the same seeds.

Usage:
  experiment SETTINGS [--plot=FILE] [--jobs=N]

Options:
  --plot=FILE  write a plot of credit against load, as PNG or SVG
  --jobs=N     number of worker processes [default: 2]

Prints tables of the results for each policy in the settings file. The first
policy is the baseline for the others.
"""

from __future__ import annotations

import functools
import multiprocessing
import pathlib
import sys

import docopt

from bench.experiment import _report
from bench.experiment import _results
from bench.experiment import _settings
from papayastall import exceptions

EXIT_BAD_INPUT = 2


def _simulate(
    experiment: _settings.Experiment, job: tuple[int, float, int]
) -> _results.Result:
    number, load, seed = job
    policy = experiment.policies[number]
    return _results.simulate(experiment, policy, load, seed)


def main(arguments: list[str]) -> int:
    """Run the experiment of a settings file; return the exit code."""
    assert __doc__ is not None
    options = docopt.docopt(__doc__, arguments)
    try:
        experiment = _settings.load(pathlib.Path(options["SETTINGS"]))
    except exceptions.BadInputError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_INPUT
    jobs = [
        (number, load, seed)
        for number in range(len(experiment.policies))
        for load in experiment.loads
        for seed in experiment.seeds
    ]
    with multiprocessing.Pool(int(options["--jobs"])) as pool:
        runs = pool.map(functools.partial(_simulate, experiment), jobs, 1)
    _report.print_tables(experiment, runs)
    if options["--plot"]:
        path = pathlib.Path(options["--plot"])
        _report.write_plot(experiment, runs, path)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
