"""Tests of the replicated log while a disk hangs for several seconds.

The node's process goes on: it receives messages and serves reads while its
lease is valid. Writes under way are completed once the disk responds again.
"""

from __future__ import annotations

import pytest

from tests import raft_cluster

DISK_HANG_S = 6.0
FAILOVER_LIMIT_S = 5.0


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("size", [3, 5])
def test_another_replica_leads_while_the_disk_of_one_hangs(
    size: int, seed: int
) -> None:
    """A leader whose disk hangs must not keep the leadership.

    Nor may it serve stale reads, or acknowledge commands that it has not
    written; the cluster checks both.
    """
    cluster = raft_cluster.Cluster(seed, size)
    cluster.run_until(cluster.has_leader)
    first = cluster.leader()
    assert first is not None
    for number in range(3):
        assert cluster.propose(first, f"before-{number}")
    cluster.run(1.0)
    first.disk_hangs_until_s = cluster.now_s + DISK_HANG_S
    cluster.propose(first, "under way")

    def is_taken_over() -> bool:
        leader = cluster.leader()
        return leader is not None and leader is not first

    cluster.run_until(is_taken_over, limit_s=FAILOVER_LIMIT_S)
    cluster.run_until(lambda: cluster.has_leader() and is_taken_over())
    second = cluster.leader()
    assert second is not None
    assert cluster.propose(second, "during")
    cluster.run(1.0)
    assert "during" in cluster.acknowledged
    cluster.run(DISK_HANG_S)
    cluster.settle()
    cluster.check_acknowledged()


@pytest.mark.parametrize("seed", range(4))
def test_a_follower_whose_disk_hangs_delays_no_commit(seed: int) -> None:
    cluster = raft_cluster.Cluster(seed)
    cluster.run_until(cluster.has_leader)
    leader = cluster.leader()
    assert leader is not None
    [follower, _] = [n for n in cluster.running() if n is not leader]
    follower.disk_hangs_until_s = cluster.now_s + DISK_HANG_S
    cluster.run(0.5)
    for number in range(3):
        assert cluster.propose(leader, f"during-{number}")
        cluster.run(0.5)
    assert cluster.leader() is leader
    assert "during-2" in cluster.acknowledged
    cluster.run(DISK_HANG_S)
    cluster.settle()
    cluster.check_acknowledged()
