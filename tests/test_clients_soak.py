"""A short soak with untrusted clients; see :mod:`tests.clients_soak`."""

from __future__ import annotations

import pathlib

from tests import clients_soak


# Guards against what only the overlap of crowds, signals and changes shows.
def test_crowds_signals_and_changes_that_overlap(
    tmp_path: pathlib.Path,
) -> None:
    soak = clients_soak.Soak(tmp_path, seed=1, seconds=30.0, nodes=3)
    soak.run()
    assert soak.violations == []
    assert soak.counts.get(200, 0) > 0
