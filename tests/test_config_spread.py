"""Tests that a change comes into force on every node in time."""

from __future__ import annotations

import anyio
import pytest

from tests import config_spread

NODES = 100
CONTROL = 11
IN_FORCE_LIMIT_S = 2.0
"""The users' bound from the acknowledgement of a change."""
CHANGES = 3


async def check_changes(
    seed: int, conditions: config_spread.Conditions
) -> None:
    async with anyio.create_task_group() as tasks:
        fleet = config_spread.SpreadFleet(
            tasks, NODES, CONTROL, seed, conditions
        )
        await fleet.start()
        for _ in range(CHANGES):
            for node in fleet.nodes.values():
                node.linked.clear()
            await fleet.change_routes()
            await anyio.sleep(IN_FORCE_LIMIT_S)
            assert fleet.find_missing() == []
        tasks.cancel_scope.cancel()


# Guards against a change that a node learns of late, or fetches late because
# members that it asks do not answer.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "conditions",
    [
        config_spread.Conditions(),
        config_spread.Conditions(loss=0.2),
        config_spread.Conditions(transfer_s=0.3),
        config_spread.Conditions(silent=0.2),
        config_spread.Conditions(loss=0.1, transfer_s=0.1, silent=0.1),
    ],
    ids=["calm", "lost datagrams", "slow links", "silent members", "all"],
)
def test_a_change_is_in_force_on_every_node_in_time(
    conditions: config_spread.Conditions,
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    config_spread.run_virtually(check_changes(seed, conditions), monkeypatch)
