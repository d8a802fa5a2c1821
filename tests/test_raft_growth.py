"""Tests of groups that are bootstrapped, grow and replace members.

How many disks may be lost at once: with 5 voters a committed entry is on 3
disks; after 1 is wiped, every majority of the 5 that can still vote includes
one of the other 2. With 7 voters it is on 4 disks; after 2 are wiped it is on
2 of the 5 that can still vote, and an election needs 4 of these.
"""

from __future__ import annotations

import random

import pytest

from papayastall import _formation
from tests import raft_cluster

FOUNDER_COUNT = 3
SETTLE_LIMIT_S = 60.0


class GrowingCluster(raft_cluster.Cluster):
    """Cluster bootstrapped by three nodes; all others join it."""

    def __init__(self, seed: int, size: int, target_voters: int) -> None:
        self.formation = _formation.Formation(
            may_found=True,
            admits=True,
            target_voters=target_voters,
            spreads_leaders=False,
        )
        super().__init__(seed, FOUNDER_COUNT)
        for number in range(FOUNDER_COUNT, size):
            self.add_node(f"10.0.0.{number + 1}:1")
        self.formation = _formation.Formation(
            may_found=False,
            admits=True,
            target_voters=target_voters,
            spreads_leaders=False,
        )
        self.run_until(lambda: self.voter_count() == size, SETTLE_LIMIT_S)

    def voter_count(self) -> int:
        leader = self.leader()
        if leader is None:
            return 0
        return len(leader.group.replica.log.members.voter_ids())

    def acknowledge(self, command: str) -> None:
        """Commit a command, retrying at the current leader."""

        def is_acknowledged() -> bool:
            leader = self.leader()
            if command in self.acknowledged:
                return True
            if leader is not None:
                self.propose(leader, command)
            return command in self.acknowledged

        self.run_until(is_acknowledged, SETTLE_LIMIT_S)

    def voters(self) -> set[str]:
        leader = self.leader()
        assert leader is not None
        members = leader.group.replica.log.members.members
        return {member.address for member in members if member.voter}


@pytest.mark.parametrize(
    ("size", "target_voters", "disks"), [(5, 5, 1), (7, 7, 2)]
)
@pytest.mark.parametrize("seed", range(6))
def test_lost_disks_lose_nothing_that_was_acknowledged(
    seed: int, size: int, target_voters: int, disks: int
) -> None:
    cluster = GrowingCluster(seed, size, target_voters)
    rng = random.Random(seed)
    for number in range(2):
        cluster.acknowledge(f"command {number}")
        lost = rng.sample(list(cluster.nodes.values()), disks)
        for node in cluster.nodes.values():
            if node not in lost and rng.random() < 0.5:
                cluster.restart(node)
        for node in lost:
            cluster.lose_disk(node)
        cluster.settle()
        assert cluster.voter_count() == size


@pytest.mark.parametrize("seed", range(6))
def test_members_are_replaced_at_other_addresses(seed: int) -> None:
    cluster = GrowingCluster(seed, 5, 5)
    rng = random.Random(seed)
    for number in range(6):
        cluster.acknowledge(f"command {number}")
        gone = rng.choice(sorted(cluster.nodes))
        cluster.crash(cluster.nodes.pop(gone))
        added = f"10.0.1.{number + 1}:1"
        cluster.add_node(added)
        cluster.run_until(
            lambda: (
                cluster.leader() is not None
                and cluster.voters() == set(cluster.nodes)
            ),
            SETTLE_LIMIT_S,
        )
    cluster.settle()


def test_an_empty_disk_founds_no_second_group() -> None:
    """The founder loses its disk while it is cut off from all others."""
    cluster = GrowingCluster(1, 5, 5)
    cluster.acknowledge("before")
    founder = cluster.nodes[cluster.addresses[0]]
    for node in cluster.nodes.values():
        if node is not founder:
            cluster.cuts.add((node.address, founder.address))
            cluster.cuts.add((founder.address, node.address))
    cluster.lose_disk(founder)
    cluster.run(20.0)
    assert founder.group.replica.log.last_index == 0
    cluster.settle()


def test_a_removed_replica_is_told_that_its_folder_is_stale() -> None:
    """It returns after another node has taken its place as a voter."""
    cluster = GrowingCluster(1, 5, 5)
    cluster.acknowledge("before")
    leader = cluster.leader()
    gone = next(n for n in cluster.nodes.values() if n is not leader)
    cluster.crash(gone)
    cluster.add_node("10.0.1.1:1")
    cluster.run_until(
        lambda: (
            cluster.leader() is not None
            and gone.address not in cluster.voters()
            and cluster.voter_count() == 5
        ),
        SETTLE_LIMIT_S,
    )
    cluster.expects_stale = True
    cluster.start(gone)
    cluster.run_until(lambda: gone.failure is not None, SETTLE_LIMIT_S)
    cluster.lose_disk(gone)
    cluster.run_until(lambda: cluster.voter_count() == 6, SETTLE_LIMIT_S)
    cluster.settle()
