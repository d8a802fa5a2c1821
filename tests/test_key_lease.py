"""Tests of the lease on the keys over a virtual fleet.

They guard against a node that accepts a key more than five seconds after the
acknowledgement of its removal, whatever fails, and against nodes that refuse
keys while control works.
"""

from __future__ import annotations

import collections.abc as cabc
import random

import pytest

from papayastall.freshness import _controller
from papayastall.freshness import _facts
from papayastall.freshness import _messages
from papayastall.freshness import _sources
from tests import lease_fleet

NODES = 14
REPLICAS = 5
START_S = 4.0
FAULT_INTERVAL_S = 0.4
FAULTS = 120
LEADER_CHANGE_S = 2.5
LONG_S = 12.0
MAX_REGAIN_S = 1.5
"""Time until all nodes have leases again once control has a leader."""


class RandomFaults:
    """Inflicts one random fault after another on a fleet."""

    def __init__(self, fleet: lease_fleet.LeaseFleet) -> None:
        self._fleet = fleet
        self._rng = fleet.rng
        self._faults: list[cabc.Callable[[], None]] = [
            self._change,
            self._change,
            self._change,
            self._suspend,
            self._restore,
            self._cut_node,
            self._cut_pairs,
            self._heal,
            self._lose_leader,
        ]

    def run(self) -> None:
        self._fleet.run(START_S)
        for _ in range(FAULTS):
            self._rng.choice(self._faults)()
            self._fleet.run(self._rng.uniform(0.0, 2 * FAULT_INTERVAL_S))

    def _change(self) -> None:
        self._fleet.change(self._rng.choice((0.0, 0.0, 0.5)))

    def _suspend(self) -> None:
        node = self._rng.choice(self._fleet.nodes)
        self._fleet.suspend(node, self._rng.uniform(0.3, LONG_S))

    def _restore(self) -> None:
        node = self._rng.choice(self._fleet.nodes)
        self._fleet.restore(node, self._rng.randrange(NODES))

    def _cut_node(self) -> None:
        """Cut a node off in one direction or in both."""
        number = self._rng.randrange(NODES)
        out = {(number, other) for other in range(NODES)}
        back = {(other, number) for other in range(NODES)}
        self._fleet.cuts |= self._rng.choice((out, back, out | back))
        self._fleet.without_config.add(number)

    def _cut_pairs(self) -> None:
        for _ in range(NODES):
            pair = self._rng.sample(range(NODES), 2)
            self._fleet.cuts.add((pair[0], pair[1]))

    def _heal(self) -> None:
        self._fleet.cuts.clear()
        self._fleet.without_config.clear()

    def _lose_leader(self) -> None:
        duration_s = self._rng.choice((1.2, LEADER_CHANGE_S, LONG_S))
        self._fleet.lose_leader(duration_s)


def run_faults(
    seed: int,
    controller_type: type[
        _controller.LeaseController
    ] = _controller.LeaseController,
) -> lease_fleet.LeaseFleet:
    network = lease_fleet.Network(
        slow=0.1, loss=0.05, keeps_late=seed % 2 == 0
    )
    fleet = lease_fleet.LeaseFleet(
        NODES, REPLICAS, seed, network, controller_type=controller_type
    )
    RandomFaults(fleet).run()
    return fleet


@pytest.mark.parametrize("seed", range(40))
def test_no_node_accepts_a_key_long_after_its_removal(seed: int) -> None:
    fleet = run_faults(seed)
    assert fleet.violations == []
    assert fleet.latest > 0
    fleet.cuts.clear()
    fleet.without_config.clear()
    fleet.run(2 * LONG_S)
    fleet.refused.clear()
    fleet.run(START_S)
    assert not fleet.refused, "a node did not regain its lease"


class CountsFromArrival(_controller.LeaseController):
    """Counts the lease from the arrival of the reply."""

    def answered(
        self, now_s: float, query: _messages.Query, reply: _messages.Reply
    ) -> None:
        late = _messages.Query(query.peer, query.number, now_s)
        super().answered(now_s, late, reply)


class IgnoresAge(_controller.LeaseController):
    """Takes knowledge of any peer for that of control's leader."""

    def answered(
        self, now_s: float, query: _messages.Query, reply: _messages.Reply
    ) -> None:
        if reply.age_s is not None:
            reply = _messages.Reply(reply.index, 0.0)
        super().answered(now_s, query, reply)


class IgnoresIndex(_controller.LeaseController):
    """Renews the lease although a later configuration is not in force."""

    def answered(
        self, now_s: float, query: _messages.Query, reply: _messages.Reply
    ) -> None:
        super().answered(now_s, query, _messages.Reply(0, reply.age_s))


# Guards against a simulation that would not notice an unsafe lease.
@pytest.mark.parametrize(
    "controller_type", [CountsFromArrival, IgnoresAge, IgnoresIndex]
)
def test_planted_faults_are_found(
    controller_type: type[_controller.LeaseController],
) -> None:
    assert any(
        run_faults(seed, controller_type).violations for seed in range(10)
    )


def make_fleet(
    seed: int,
    nodes: int = 112,
    network: lease_fleet.Network | None = None,
) -> lease_fleet.LeaseFleet:
    """Return a fleet that has had the time to get its leases."""
    fleet = lease_fleet.LeaseFleet(nodes, 12, seed, network)
    fleet.run(START_S)
    fleet.refused.clear()
    return fleet


@pytest.mark.parametrize("seed", range(3))
def test_no_node_refuses_keys_while_leaders_change(seed: int) -> None:
    fleet = make_fleet(seed, network=lease_fleet.Network(max_delay_s=0.05))
    for duration_s in (1.2, LEADER_CHANGE_S, LEADER_CHANGE_S):
        fleet.lose_leader(duration_s, lease_s=0.0)
        fleet.run(2 * LEADER_CHANGE_S)
    assert not fleet.refused


def test_no_node_of_a_large_fleet_refuses_keys_while_leaders_change() -> None:
    fleet = make_fleet(1, nodes=1000)
    fleet.lose_leader(LEADER_CHANGE_S, lease_s=0.0)
    fleet.run(2 * LEADER_CHANGE_S)
    assert not fleet.refused


# Guards against a lease that ends as the node is always behind the newest
# index, by most of a second.
@pytest.mark.parametrize("seed", range(3))
def test_no_node_refuses_keys_in_a_storm_of_changes(seed: int) -> None:
    network = lease_fleet.Network(spread_s=(0.3, 0.9))
    fleet = make_fleet(seed, network=network)
    for number in range(150):
        if number % 50 == 20:
            fleet.lose_leader(LEADER_CHANGE_S)
        fleet.change()
        fleet.run(0.1)
    assert not fleet.refused
    assert fleet.violations == []


# Guards against a source that passes on old knowledge, as it hears nothing
# from control's leader while others do.
def test_a_replica_that_hears_nothing_ends_no_lease() -> None:
    fleet = make_fleet(1)
    deaf = {fleet.replicas[2].number, fleet.replicas[5].number} - {
        fleet.leader.number if fleet.leader is not None else -1
    }
    everyone = range(len(fleet.nodes))
    fleet.cuts = {(other, number) for other in everyone for number in deaf}
    fleet.run(LONG_S)
    fleet.lose_leader(LEADER_CHANGE_S)
    fleet.run(2 * LEADER_CHANGE_S)
    assert set(fleet.refused) <= deaf


# Guards against refusals at nodes whose ways to control, not those to other
# nodes, are cut.
def test_nodes_without_a_way_to_control_ask_their_neighbors() -> None:
    fleet = make_fleet(1)
    control = [replica.number for replica in fleet.replicas]
    apart = range(50, 54)
    fleet.cuts = {(replica, node) for replica in control for node in apart}
    fleet.run(LONG_S)
    assert not fleet.refused


def test_a_lost_or_slow_message_ends_no_lease() -> None:
    network = lease_fleet.Network(loss=0.05, slow=0.05, slow_s=1.0)
    fleet = make_fleet(2, network=network)
    fleet.run(3 * LONG_S)
    assert not fleet.refused


# Guards against nodes whose processors are busy, so that replies wait to be
# read, and that take their sources for silent.
def test_busy_processes_end_no_lease_and_keep_their_sources() -> None:
    fleet = make_fleet(1)
    fleet.queries.clear()
    for _ in range(60):
        for node in fleet.rng.sample(fleet.nodes, 56):
            if node is not fleet.leader:
                fleet.suspend(node, fleet.rng.uniform(0.1, 0.45))
        fleet.run(0.5)
    assert not fleet.refused
    control = sum(fleet.queries[node.number] for node in fleet.replicas)
    assert control > 0.9 * sum(fleet.queries.values())


# Guards against a whole fleet whose queries keep control from an election.
def test_without_a_leader_nodes_ask_seldom() -> None:
    fleet = make_fleet(1)
    fleet.lose_leader(1000.0)
    fleet.run(2 * LONG_S)
    fleet.queries.clear()
    fleet.run(LONG_S)
    per_replica = max(fleet.queries[node.number] for node in fleet.replicas)
    assert per_replica / LONG_S < 60


# Guards against nodes that avoid all control replicas for many seconds, since
# these knew nothing before the first leader after a restart of the fleet.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("without_leader_s", [5.0, LONG_S])
def test_after_a_common_restart_leases_begin_soon_after_the_election(
    without_leader_s: float, seed: int
) -> None:
    fleet = make_fleet(seed)
    fleet.lose_leader(without_leader_s, lease_s=0.0)
    for node in fleet.nodes:
        fleet.restore(node, node.index)
    fleet.run(without_leader_s + MAX_REGAIN_S)
    fleet.refused.clear()
    fleet.run(1.0)
    assert not fleet.refused


# Guards against control replicas that lost their disks and founded a group
# anew, whose indexes begin again: they know nothing of the keys in force here.
@pytest.mark.parametrize("age_s", [0.0, 1.0])
def test_a_group_with_lower_indexes_than_the_one_in_force_renews_no_lease(
    age_s: float,
) -> None:
    controller = _controller.LeaseController(
        "10.0.0.1:1", lease_fleet.REVOCATION_S, random.Random(1)
    )
    controller.update(_sources.Topology(("10.0.0.2:1",)), None)
    for tenth in range(100):
        now_s = 10.0 + tenth / 10
        in_force = 500 if tenth < 15 else 501
        index = in_force if tenth < 20 else 3
        for query in controller.tick(now_s, in_force):
            reply = _messages.Reply(index, age_s)
            controller.answered(now_s + 0.01, query, reply)
        if 5 <= tenth < 45:
            assert controller.is_valid(now_s, in_force)
    assert not controller.is_valid(20.0, 501)


def test_a_later_fact_counts_once_its_index_is_in_force() -> None:
    facts = _facts.FactTable()
    facts.note(_facts.Fact(5, 1.0))
    facts.note(_facts.Fact(7, 2.0))
    facts.note(_facts.Fact(8, 1.5))
    assert facts.find_known_s(4) == float("-inf")
    assert facts.find_known_s(6) == 1.0
    assert facts.find_known_s(7) == 2.0
    assert facts.newest == _facts.Fact(7, 2.0)


def test_facts_of_a_node_without_config_are_bounded() -> None:
    facts = _facts.FactTable()
    facts.note(_facts.Fact(5, 1.0))
    for number in range(1000):
        facts.note(_facts.Fact(6 + number, 2.0 + number))
    assert facts.find_known_s(5) == 1.0
    assert facts.newest == _facts.Fact(1005, 1001.0)
    assert len(facts._facts) <= _facts.MAX_FACTS
