"""Randomised runs of the replicated log under all kinds of faults."""

from __future__ import annotations

import errno

import hypothesis
from hypothesis import strategies

from papayastall import _raft_types as types
from tests import raft_cluster

FAULTS = (
    *("propose",) * 8,
    *("heal",) * 3,
    *("start",) * 4,
    "crash",
    "restart",
    "lose-disk",
    "cut",
    "one-way",
    "pause",
    "disk-error",
    "disk-full",
    "bad-network",
    "transfer",
)


class Run:
    """Simulated cluster with faults applied to it.

    A disk is lost only once all nodes are voters, including those whose
    disks were lost before: no replicated log survives the loss of a majority
    of its disks.
    """

    def __init__(
        self,
        seed: int,
        size: int,
        cluster_class: type[raft_cluster.Cluster] = raft_cluster.Cluster,
    ) -> None:
        self.cluster = cluster_class(seed, size)
        self.cluster.timings = types.Timings(
            transfer_delay_s=2.0, transfer_delay_max_s=8.0
        )
        for node in self.cluster.running():
            self.cluster.restart(node)
        self.proposals = 0
        self.cluster.run_until(self.cluster.has_leader)

    def apply(self, fault: str, pick: int) -> None:
        """Apply one fault and advance the simulated time.

        :param fault: one of ``FAULTS``.
        :param pick: selects the node, the strength of the fault and the
            time.
        """
        cluster = self.cluster
        nodes = list(cluster.nodes.values())
        node = nodes[pick % len(nodes)]
        other = nodes[(pick // 7 + 1) % len(nodes)]
        match fault:
            case "propose":
                self.propose(pick)
            case "crash" if node.replicas is not None:
                cluster.crash(node)
            case "restart" if node.replicas is not None:
                cluster.restart(node)
            case "start" if node.replicas is None:
                cluster.start(node)
            case "lose-disk" if self.may_lose_disk():
                cluster.lose_disk(node)
            case "cut":
                cluster.cuts |= {
                    pair
                    for each in nodes
                    for pair in (
                        (each.address, node.address),
                        (node.address, each.address),
                    )
                }
            case "one-way":
                cluster.cuts.add((node.address, other.address))
            case "heal":
                cluster.cuts.clear()
            case "pause":
                node.paused_until_s = cluster.now_s + pick % 5
            case "disk-error" | "disk-full":
                node.files.errno = (
                    errno.EIO if fault == "disk-error" else errno.ENOSPC
                )
                node.files.fail_at = node.files.operations + 1 + pick % 9
            case "bad-network":
                cluster.loss_probability = (pick % 4) * 0.1
                cluster.duplicate_probability = (pick % 3) * 0.2
                cluster.max_delay_s = 0.05 + (pick % 5) * 0.2
            case "transfer" if node.replicas is not None:
                node.group.output.extend(
                    node.group.replica.transfer(cluster.clock_s(node))
                )
            case _:
                pass
        cluster.run((pick % 11) * 0.2)

    def propose(self, pick: int) -> None:
        for node in list(self.cluster.running()):
            for _ in range(1 + pick % 4):
                self.proposals += 1
                self.cluster.propose(node, f"c{self.proposals}")

    def may_lose_disk(self) -> bool:
        leader = self.cluster.leader()
        if leader is None:
            return False
        log = leader.group.replica.log
        present = {node.folder_id for node in self.cluster.nodes.values()}
        return (
            log.members.voter_ids() == present
            and log.members_index <= leader.group.replica.commit_index
        )


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(FAULTS), strategies.integers(0, 1000)
    ),
    min_size=5,
    max_size=40,
)


@hypothesis.settings(max_examples=30)
@hypothesis.given(
    seed=strategies.integers(0, 1 << 30),
    size=strategies.sampled_from((3, 5)),
    steps=STEPS,
)
def test_nothing_acknowledged_is_lost(
    seed: int, size: int, steps: list[tuple[str, int]]
) -> None:
    run = Run(seed, size)
    for fault, pick in steps:
        run.apply(fault, pick)
    run.cluster.settle()
