"""Tests that a change comes into force on every node in time."""

from __future__ import annotations

import anyio
import pytest

from tests import config_fleet

NODES = 100
CONTROL = 11
IN_FORCE_LIMIT_S = 2.0
"""The users' bound from the acknowledgement of a change."""
CHANGES = 3
ACKNOWLEDGED_LIMIT_S = 4.0
"""The users' bound for the acknowledgement itself."""


async def check_changes(
    seed: int, conditions: config_fleet.Conditions
) -> None:
    async with anyio.create_task_group() as tasks:
        fleet = config_fleet.ConfigFleet(
            tasks, NODES, CONTROL, seed, conditions
        )
        await fleet.start()
        for _ in range(CHANGES):
            fleet.drop_links()
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
        config_fleet.Conditions(),
        config_fleet.Conditions(loss=0.2),
        config_fleet.Conditions(transfer_s=0.3),
        config_fleet.Conditions(silent=0.2),
        config_fleet.Conditions(loss=0.1, transfer_s=0.1, silent=0.1),
    ],
    ids=["calm", "lost datagrams", "slow links", "silent members", "all"],
)
def test_a_change_is_in_force_on_every_node_in_time(
    conditions: config_fleet.Conditions,
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    config_fleet.run_virtually(check_changes(seed, conditions), monkeypatch)


async def check_acknowledged(
    seed: int, conditions: config_fleet.Conditions
) -> None:
    async with anyio.create_task_group() as tasks:
        fleet = config_fleet.ConfigFleet(
            tasks, NODES, CONTROL, seed, conditions
        )
        await fleet.start()
        for _ in range(CHANGES):
            fleet.drop_links()
            await fleet.order_change(ACKNOWLEDGED_LIMIT_S)
            await anyio.sleep(IN_FORCE_LIMIT_S)
            assert fleet.find_missing() == []
        tasks.cancel_scope.cancel()


# Guards against an acknowledgement that leaves slow nodes less time than the
# bound: it has to wait for them.
@pytest.mark.parametrize(
    ("seed", "conditions"),
    [
        (1, config_fleet.Conditions()),
        (1, config_fleet.Conditions(transfer_s=1.1)),
        (1, config_fleet.Conditions(transfer_s=2.0)),
        (2, config_fleet.Conditions(loss=0.1, transfer_s=0.5, silent=0.3)),
    ],
    ids=["calm", "slow-links", "very-slow-links", "slow-and-silent"],
)
def test_an_acknowledged_change_is_in_force_on_every_node_in_time(
    seed: int,
    conditions: config_fleet.Conditions,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    config_fleet.run_virtually(
        check_acknowledged(seed, conditions), monkeypatch
    )


async def check_in_trouble(
    seed: int, conditions: config_fleet.Conditions
) -> None:
    async with anyio.create_task_group() as tasks:
        fleet = config_fleet.ConfigFleet(
            tasks, NODES, CONTROL, seed, conditions
        )
        await fleet.start()
        for _ in range(CHANGES):
            fleet.drop_links()
            fleet.suspend_some()
            order = await fleet.order_as_operator()
            assert order.acknowledged_s <= ACKNOWLEDGED_LIMIT_S, order
            await anyio.sleep(IN_FORCE_LIMIT_S)
            assert fleet.find_stale(IN_FORCE_LIMIT_S) == []
        tasks.cancel_scope.cancel()


# Guards against an acknowledgement that waits for nodes that can't answer,
# longer than the operator's own retries and lost answers leave time for.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "conditions",
    [
        config_fleet.Conditions(suspended=0.1),
        config_fleet.Conditions(restarts=True),
        config_fleet.Conditions(suspended=0.1, lost_answers=0.6),
        config_fleet.Conditions(restarts=True, lost_answers=0.6),
    ],
    ids=["suspended", "restarts", "suspended-lost", "restarts-lost"],
)
def test_a_change_is_acknowledged_in_time_while_nodes_are_in_trouble(
    conditions: config_fleet.Conditions,
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    config_fleet.run_virtually(check_in_trouble(seed, conditions), monkeypatch)


async def check_first_call(
    seed: int, conditions: config_fleet.Conditions
) -> None:
    async with anyio.create_task_group() as tasks:
        fleet = config_fleet.ConfigFleet(
            tasks, NODES, CONTROL, seed, conditions
        )
        await fleet.start()
        for _ in range(CHANGES):
            fleet.suspend_some()
            order = await fleet.order_as_operator()
            assert len(order.answers) == 1, order
        tasks.cancel_scope.cancel()


# Guards against a call that commits a change but ends without its
# acknowledgement: each further call costs the operator's pause before it.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "conditions",
    [
        config_fleet.Conditions(suspended=0.1),
        config_fleet.Conditions(suspended=0.1, commit_s=0.6),
    ],
    ids=["suspended", "slow-commit"],
)
def test_a_change_is_acknowledged_by_the_call_that_commits_it(
    conditions: config_fleet.Conditions,
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    config_fleet.run_virtually(check_first_call(seed, conditions), monkeypatch)


async def check_without_news(seed: int) -> None:
    async with anyio.create_task_group() as tasks:
        fleet = config_fleet.ConfigFleet(
            tasks, NODES, CONTROL, seed, config_fleet.Conditions()
        )
        await fleet.start()
        node = fleet.nodes[fleet.cut_datagrams(NODES - 1)]
        await fleet.change_routes()
        assert not node.config.index == fleet.version
        assert await node.config.is_latest()
        assert node.config.index == fleet.version
        await anyio.sleep(IN_FORCE_LIMIT_S)
        fleet.silent.update(fleet.control)
        await fleet.change_routes()
        assert not await node.config.is_latest()
        tasks.cancel_scope.cancel()


# Guards against a node that takes its config for the latest one only because
# nobody has told it of another, as after a pause or a cut.
@pytest.mark.parametrize("seed", [1, 2])
def test_a_node_that_hears_nothing_asks_for_the_latest_config(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    config_fleet.run_virtually(check_without_news(seed), monkeypatch)
