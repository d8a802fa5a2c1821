"""A short run of :mod:`tests.config_soak`."""

from __future__ import annotations

import pathlib

from tests import config_soak


def test_changes_through_stops_kills_and_suspensions(
    tmp_path: pathlib.Path,
) -> None:
    """Calm nodes have a change in force 2 s after its acknowledgement."""
    plan = config_soak.Plan(
        seed=1, nodes=12, control=5, play_s=40.0, fault_gap_s=1.0
    )
    soak = config_soak.Soak(tmp_path, plan, net=91)
    soak.run()
    assert soak.broken == []
    assert soak.counts["added 200"] > 0
    assert soak.counts["removed 404"] > 0
    assert soak.counts["read 200"] > 0
