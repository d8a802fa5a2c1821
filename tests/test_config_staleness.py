"""Tests that no node serves with a config that was replaced long ago."""

from __future__ import annotations

import anyio
import pytest

from tests import config_fleet

NODES = 40
CONTROL = 5
IN_FORCE_LIMIT_S = 2.0
"""The users' bound from the acknowledgement of a change."""
CHANGE_INTERVAL_S = 0.7
CHANGES = 6
SAMPLE_INTERVAL_S = 0.05
CONTROL_AWAY_SERVED_S = 1.0
"""Time until the links to the failed replicas count as closed."""
CATCH_UP_LIMIT_S = 6.0
ORDER_LIMIT_S = 10.0


def check_served(
    fleet: config_fleet.ConfigFleet, changed_s: list[tuple[float, int]]
) -> None:
    """Check that each node that serves has all changes of a while ago.

    It is stricter than the bound, which counts from the acknowledgement.

    :param changed_s: time of acceptance and index of each change.
    """
    now_s = anyio.current_time()
    due = [
        index
        for time_s, index in changed_s
        if now_s - time_s > (IN_FORCE_LIMIT_S)
    ]
    if not due:
        return
    serving_old = [
        address
        for address, node in fleet.nodes.items()
        if node.config.is_ready() and node.config.index < due[-1]
    ]
    assert serving_old == [], f"{len(serving_old)} nodes at {now_s:.2f} s"


async def sample_served(
    fleet: config_fleet.ConfigFleet,
    changed_s: list[tuple[float, int]],
    duration_s: float,
) -> None:
    end_s = anyio.current_time() + duration_s
    while anyio.current_time() < end_s:
        await anyio.sleep(SAMPLE_INTERVAL_S)
        check_served(fleet, changed_s)


async def check_changes(
    seed: int, conditions: config_fleet.Conditions
) -> None:
    async with anyio.create_task_group() as tasks:
        fleet = config_fleet.ConfigFleet(
            tasks, NODES, CONTROL, seed, conditions
        )
        await fleet.start()
        changed_s: list[tuple[float, int]] = []
        for _ in range(CHANGES):
            tasks.start_soon(fleet.order_change, ORDER_LIMIT_S)
            await anyio.sleep(SAMPLE_INTERVAL_S)
            changed_s.append((anyio.current_time(), fleet.version))
            await sample_served(fleet, changed_s, CHANGE_INTERVAL_S)
        await sample_served(fleet, changed_s, CATCH_UP_LIMIT_S)
        assert fleet.find_missing() == []
        assert all(node.config.is_ready() for node in fleet.nodes.values())
        tasks.cancel_scope.cancel()


# Guards against a node that has received a later index, does not get the
# config in time and goes on serving routes that were moved or dropped.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "conditions",
    [
        config_fleet.Conditions(transfer_s=1.2),
        config_fleet.Conditions(transfer_s=2.5),
        config_fleet.Conditions(loss=0.1, transfer_s=1.6, silent=0.2),
    ],
    ids=["slow-links", "very-slow-links", "slow-and-silent"],
)
def test_no_node_serves_with_a_config_that_was_replaced_long_ago(
    conditions: config_fleet.Conditions,
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    config_fleet.run_virtually(check_changes(seed, conditions), monkeypatch)


async def check_unpolled_change(
    seed: int, conditions: config_fleet.Conditions
) -> None:
    async with anyio.create_task_group() as tasks:
        fleet = config_fleet.ConfigFleet(
            tasks, NODES, CONTROL, seed, conditions
        )
        await fleet.start()
        index = await fleet.change_routes()
        changed_s = [(anyio.current_time(), index)]
        await sample_served(fleet, changed_s, CATCH_UP_LIMIT_S)
        assert fleet.find_missing() == []
        tasks.cancel_scope.cancel()


# Guards against an index that reaches nodes late because others pass it on
# only once they have the change in force. The replica that accepted the change
# has failed, so none polls the nodes.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "conditions",
    [
        config_fleet.Conditions(transfer_s=2.5),
        config_fleet.Conditions(loss=0.2, transfer_s=2.5),
    ],
    ids=["very-slow-links", "lost-datagrams"],
)
def test_the_index_of_a_change_spreads_while_its_table_is_under_way(
    conditions: config_fleet.Conditions,
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    config_fleet.run_virtually(
        check_unpolled_change(seed, conditions), monkeypatch
    )


async def check_control_away(seed: int) -> None:
    async with anyio.create_task_group() as tasks:
        fleet = config_fleet.ConfigFleet(
            tasks, NODES, CONTROL, seed, config_fleet.Conditions()
        )
        await fleet.start()
        # Only the leader applies the change, and sends datagrams about it.
        await fleet.change_routes(replicas=1)
        for address in fleet.control:
            fleet.suspend(address)
        others = sorted(set(fleet.nodes) - set(fleet.control))
        await anyio.sleep(CONTROL_AWAY_SERVED_S)
        for _ in range(20):
            unready = [
                address
                for address in others
                if not fleet.nodes[address].config.is_ready()
            ]
            assert unready == []
            await anyio.sleep(1.0)
        tasks.cancel_scope.cancel()


# Guards against a fleet that refuses all requests while control is away, as
# the only replica with the latest change has failed right after it.
@pytest.mark.parametrize("seed", [1, 2])
def test_the_fleet_serves_on_while_control_is_away(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    config_fleet.run_virtually(check_control_away(seed), monkeypatch)
