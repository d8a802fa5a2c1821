"""Tests of the experiment tool: settings, simulation and printed tables."""

from __future__ import annotations

import dataclasses
import pathlib
import random
import typing as t

from bench.experiment import __main__ as command
from bench.experiment import _fleet
from bench.experiment import _results
from bench.experiment import _settings
from bench.experiment import _upstreams
import pytest

from papayastall import exceptions

EXAMPLE = pathlib.Path(command.__file__).with_name("visits.toml")


def load_short(**changes: object) -> _settings.Experiment:
    """Return the example, shortened to a few seconds of one load and seed."""
    experiment = _settings.load(EXAMPLE)
    short = {
        "seeds": [1],
        "loads": [0.5],
        "seconds": 8.0,
        "warm_s": 0.5,
        "clients": _settings.Clients(patience_ms=2_500),
        "troubles": [],
        "policies": experiment.policies[:1],
    }
    changed: t.Any = {**short, **changes}
    return dataclasses.replace(experiment, **changed)


def simulate(experiment: _settings.Experiment, load: float) -> _results.Result:
    return _results.simulate(experiment, experiment.policies[0], load, seed=1)


def test_at_a_low_load_all_requests_are_served() -> None:
    result = simulate(load_short(), 0.3)
    for kind in result.kinds.values():
        assert kind.asked > 0
        assert kind.served == 1.0
    assert result.credit > 0.95


def test_the_same_seed_gives_the_same_run() -> None:
    experiment = load_short()
    assert simulate(experiment, 0.5) == simulate(experiment, 0.5)


def test_all_policies_get_the_same_requests() -> None:
    experiment = load_short(policies=_settings.load(EXAMPLE).policies)
    asked = [
        [
            (each.begun_s, each.kind.name)
            for each in _fleet.Fleet(experiment, policy, 0.5, 1).run()
        ]
        for policy in experiment.policies[:3]
    ]
    assert asked[0] == asked[1] == asked[2]


@pytest.mark.parametrize("load", [1.5, 3.0])
def test_callers_above_capacity_are_refused_and_not_kept_waiting(
    load: float,
) -> None:
    experiment = load_short(loads=[load])
    fleet = _fleet.Fleet(experiment, experiment.policies[0], load, 1)
    settled = [each for each in fleet.run() if each.begun_s < 5.0]
    assert any(e.reply and e.reply.status == 503 for e in settled)
    for each in settled:
        assert each.reply is not None
        assert each.tries <= 1 + experiment.clients.max_returns
        took_s = each.ended_s - each.begun_s
        assert took_s <= experiment.clients.patience_ms / 1000 + 0.1


def test_above_capacity_the_most_urgent_kinds_are_served_first() -> None:
    experiment = load_short()
    assert set(_results.find_max_served(experiment, 0.9).values()) == {1.0}
    best = _results.find_max_served(experiment, 1.2)
    assert best["booking"] == best["order"] == 1.0
    assert 0.0 < best["schedule"] < 1.0


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('service = "intake"', 'service = "none"', "'none' is not defined"),
        ("choices = 1", "choises = 1", "choises: is not a field"),
        ('kind = "stock"', 'kind = "booking"', "sends a call itself"),
        ("loads = [", "loads = [] # [", "loads: is empty"),
        ("seconds = 60.0", "seconds = 'x'", "seconds"),
        ("seconds = 60.0", "seconds = ", "TOML file"),
    ],
)
def test_a_bad_file_is_refused_with_place_and_remedy(
    old: str,
    new: str,
    expected: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(EXAMPLE.read_text().replace(old, new, 1))
    with pytest.raises(exceptions.BadInputError, match=expected):
        _settings.load(path)
    assert command.main([str(path)]) == command.EXIT_BAD_INPUT
    assert str(path) in capsys.readouterr().err


def test_tables_and_plot_name_every_policy(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text = EXAMPLE.read_text()
    for old, new in (
        ("seeds = [1, 2, 3, 4]", "seeds = [1]"),
        ("loads = [0.4, 0.8, 1.5, 2.0, 4.0]", "loads = [0.5]"),
        ("seconds = 60.0", "seconds = 9.0"),
    ):
        assert old in text
        text = text.replace(old, new)
    path, plot = tmp_path / "short.toml", tmp_path / "short.png"
    path.write_text(text)
    assert command.main([str(path), f"--plot={plot}", "--jobs=1"]) == 0
    printed = capsys.readouterr().out
    for policy in _settings.load(path).policies:
        assert f"| {policy.name} |" in printed
    assert plot.read_bytes().startswith(b"\x89PNG")


def load_gray(seconds: float = 20.0) -> _settings.Experiment:
    """Return the example whose upstreams hang by turns, with a short run."""
    path = EXAMPLE.with_name("gray.toml")
    experiment = _settings.load(path)
    return dataclasses.replace(experiment, seconds=seconds)


def test_upstreams_hang_by_turns_for_their_share_of_the_time() -> None:
    """Compares policies under the faults that the settings ask for."""
    experiment = load_gray()
    [turns, *_] = experiment.gray_turns
    rng = random.Random(1)
    runs, seconds = 400, 60.0
    gray_s = sum(
        min(period.end_s, seconds) - period.start_s
        for _ in range(runs)
        for period in _upstreams.draw_turns(turns, seconds, rng)
    )
    assert abs(gray_s / (runs * seconds) - turns.share) < 0.05


def test_extra_arrivals_stay_within_the_budget_of_the_fleet() -> None:
    """Counts the calls of repeated runs, which the owners can't tell."""
    experiment = load_gray()
    for policy in experiment.policies:
        for seed in (1, 2):
            result = _results.simulate(experiment, policy, 0.3, seed)
            assert 0.0 < result.extra_peak <= experiment.site.retry_slack
