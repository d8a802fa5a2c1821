"""Simulated cluster of replicas with a fake clock, network and disks.

The nodes run the production code, except for the task and the worker thread
of :mod:`papayastall._replica`, which this module replaces by a loop of single
steps. After each step it checks invariants across all nodes.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import heapq
import json
import math
import random

from papayastall import _data_folder
from papayastall import _formation
from papayastall import _raft_codec as codec
from papayastall import _raft_types as types
from papayastall import _replica_set
from papayastall import _storage
from papayastall import exceptions
from tests import fake_files

FOLDER = "/data"
STEP_S = 0.05
# Small limits, so that short runs take snapshots of several chunks.
OPTIONS = _replica_set.ReplicaSetOptions(
    snapshot_entries=12,
    kept_entries=3,
    generation_bytes=6000,
    chunk_bytes=40,
)


class RecordingStateMachine:
    """State machine that records the commands applied to it."""

    def __init__(self) -> None:
        self.commands: list[str] = []

    def apply(self, index: int, command: bytes) -> bytes:
        self.commands.append(command.decode())
        return b"%d" % len(self.commands)

    def snapshot(self) -> bytes:
        return json.dumps(self.commands).encode()

    def restore(self, data: bytes) -> None:
        self.commands = json.loads(data)


@dataclasses.dataclass(slots=True)
class Node:
    """One simulated node.

    :param clock_rate: seconds of its clock per second of simulated time.
    :param replicas: ``None`` while its process is stopped.
    :param inbox: received batches that are not processed yet.
    :param senders: for each batch in ``inbox`` the address of its sender.
    :param waiting_iteration: iteration whose writes wait for a hanging disk.
    :param failure: error that stopped its process.
    """

    address: str
    files: fake_files.FakeFileSystem
    machine: RecordingStateMachine
    clock_rate: float
    storage: _storage.Storage | None = None
    replicas: _replica_set.ReplicaSet | None = None
    inbox: list[bytes] = dataclasses.field(default_factory=list)
    senders: list[str] = dataclasses.field(default_factory=list)
    folder_id: int = 0
    paused_until_s: float = 0.0
    disk_hangs_until_s: float = 0.0
    waiting_iteration: _replica_set.Iteration | None = None
    failure: exceptions.PapayastallError | None = None

    @property
    def group(self) -> _replica_set.Group:
        assert self.replicas is not None
        return self.replicas.groups[0]


def create_folder(node: Node, folder_id: int) -> None:
    """Create a data folder on a node's empty disk."""
    _data_folder.create_data_folder(
        FOLDER, 1, files=node.files, folder_id=folder_id
    )


class Cluster:
    """Simulated cluster with one replicated group.

    :param seed: seed of delays, message losses, clock rates and torn
        writes.
    :ivar cuts: pairs of sender and receiver whose messages are dropped.
    :ivar held_messages: messages held back, with their senders, by receiver;
        messages to other receivers are delivered.
    :ivar expects_stale: whether a node may stop because its data folder is
        stale; otherwise the check fails.
    :ivar acknowledged_index: highest index of an acknowledged command, which
        all later reads have to include.
    """

    replica_set_class = _replica_set.ReplicaSet
    timings = types.Timings(transfer_delay_s=math.inf)
    storage_class = _storage.Storage
    formation = _formation.Formation()

    def __init__(self, seed: int, size: int = 3) -> None:
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.addresses = tuple(f"10.0.0.{i + 1}:1" for i in range(size))
        self.nodes: dict[str, Node] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.held_messages: dict[str, list[tuple[str, bytes]]] = {}
        self.loss_probability = 0.0
        self.duplicate_probability = 0.0
        self.max_delay_s = 0.05
        self._in_flight: list[tuple[float, int, str, str, bytes]] = []
        self._message_count = 0
        self._committed: dict[int, int] = {}
        self._leaders: dict[int, int] = {}
        self.acknowledged: list[str] = []
        self.expects_stale = False
        self.acknowledged_index = 0
        for address in self.addresses:
            self.add_node(address)

    def add_node(self, address: str) -> Node:
        """Add a node with an empty disk, create its folder and start it."""
        node = Node(
            address,
            fake_files.FakeFileSystem(self.rng.randrange(1 << 30)),
            RecordingStateMachine(),
            self.rng.uniform(0.98, 1.02),
        )
        self.nodes[address] = node
        self.init_folder(node)
        self.start(node)
        return node

    def init_folder(self, node: Node) -> None:
        create_folder(node, self.rng.getrandbits(60) + 1)

    def start(self, node: Node) -> None:
        """Start a node's process on the data on its disk."""
        node.storage = self.storage_class(FOLDER, node.files)
        try:
            folder = node.storage.open(self.rng.getrandbits(60))
        except exceptions.StorageError as error:
            if error.code is not exceptions.ErrorCode.STORAGE_FAILED:
                raise
            node.failure = error
            self.crash(node)
            return
        node.folder_id = folder.folder_id
        node.machine = RecordingStateMachine()
        node.failure = None
        node.inbox.clear()
        node.senders.clear()
        node.replicas = self.replica_set_class(
            folder,
            node.address,
            self.addresses,
            [node.machine],
            self.timings,
            OPTIONS,
            random.Random(self.rng.getrandbits(30)),
            self.clock_s(node),
            self.formation,
        )
        if self.formation.admits:
            # In production, membership provides the control addresses.
            targets = {*self.addresses, *self.nodes}
            node.replicas.set_join_targets(tuple(targets))

    def clock_s(self, node: Node) -> float:
        return self.now_s * node.clock_rate

    def crash(self, node: Node) -> None:
        """Kill a node's process and drop writes that were not synced."""
        node.replicas = None
        node.storage = None
        node.waiting_iteration = None
        node.files.crash()

    def restart(self, node: Node) -> None:
        """Kill a node's process and start it again."""
        self.crash(node)
        self.start(node)

    def lose_disk(self, node: Node) -> None:
        """Restart a node with an empty disk and a new data folder."""
        self.crash(node)
        node.files = fake_files.FakeFileSystem(self.rng.randrange(1 << 30))
        self.init_folder(node)
        self.start(node)

    def running(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.replicas]

    def leader(self) -> Node | None:
        """Return the leader of the highest term, if there is one."""
        leaders = [
            node
            for node in self.running()
            if node.group.replica.role is types.Role.LEADER
        ]
        if not leaders:
            return None
        return max(leaders, key=lambda node: node.group.replica.term)

    def propose(self, node: Node, command: str) -> bool:
        """Propose a command at a node; return whether it was accepted."""
        if node.replicas is None:
            return False
        try:
            node.group.propose(
                self.clock_s(node), [(command.encode(), command)]
            )
        except exceptions.PapayastallError:
            return False
        return True

    def run(self, seconds: float) -> None:
        """Advance the simulated time, in steps of ``STEP_S``."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._deliver()
            for node in self.running():
                if node.paused_until_s <= self.now_s:
                    self._run_iteration(node)
            self._check()

    def run_until(
        self, condition: cabc.Callable[[], bool], limit_s: float = 30.0
    ) -> None:
        """Advance the simulated time until a condition holds."""
        end_s = self.now_s + limit_s
        while not condition():
            assert self.now_s < end_s, "the condition never held"
            self.run(STEP_S)

    def has_leader(self) -> bool:
        leader = self.leader()
        return leader is not None and leader.group.applied_index > 1

    def _run_iteration(self, node: Node) -> None:
        replicas, storage = node.replicas, node.storage
        assert replicas is not None and storage is not None
        now_s = self.clock_s(node)
        if node.waiting_iteration is not None:
            self._end_iteration(node, now_s, node.waiting_iteration)
            if node.waiting_iteration is not None or node.replicas is None:
                return
        pairs = list(zip(node.senders, node.inbox, strict=True))
        node.inbox.clear()
        node.senders.clear()
        for sender, body in pairs:
            for group, message in codec.decode_batch(
                body, sender, node.address
            ):
                replicas.step(now_s, group, message)
        replicas.tick(now_s)
        while True:
            iteration = replicas.prepare(storage.wal_bytes)
            self._send(node, iteration.early)
            if replicas.exclusion_reason is not None:
                assert self.expects_stale, replicas.exclusion_reason
                node.failure = exceptions.StorageError(
                    exceptions.ErrorCode.FOLDER_EXCLUDED,
                    replicas.exclusion_reason,
                    step="test",
                )
                self.crash(node)
                return
            self._end_iteration(node, now_s, iteration)
            if node.waiting_iteration is not None or node.replicas is None:
                return
            if not replicas.has_work():
                return

    def _end_iteration(
        self, node: Node, now_s: float, iteration: _replica_set.Iteration
    ) -> None:
        """Perform an iteration's writes and send its messages.

        While the disk hangs, the iteration is kept for later.
        """
        replicas, storage = node.replicas, node.storage
        assert replicas is not None and storage is not None
        node.waiting_iteration = iteration
        if node.disk_hangs_until_s > self.now_s:
            return
        node.waiting_iteration = None
        try:
            iteration.run(storage)
        except exceptions.StorageError as error:
            node.failure = error
            self.crash(node)
            return
        for resolved in replicas.finish(now_s, iteration):
            if isinstance(resolved.resolution, _replica_set.Applied):
                self.acknowledged.append(str(resolved.token))
                self.acknowledged_index = max(
                    self.acknowledged_index, node.group.applied_index
                )
        self._send(node, iteration.messages)

    def _send(
        self, node: Node, messages: list[tuple[int, types.Message]]
    ) -> None:
        assert node.replicas is not None
        for pair in messages:
            to = pair[1].to
            if (node.address, to) in self.cuts:
                continue
            body = codec.encode_batch(node.replicas.identity, [pair])
            if to in self.held_messages:
                self.held_messages[to].append((node.address, body))
                continue
            copies = 2 if self.rng.random() < self.duplicate_probability else 1
            for _ in range(copies):
                if self.rng.random() < self.loss_probability:
                    continue
                at_s = self.now_s + self.rng.uniform(0, self.max_delay_s)
                self._message_count += 1
                heapq.heappush(
                    self._in_flight,
                    (at_s, self._message_count, node.address, to, body),
                )

    def release_held_messages(self, address: str) -> None:
        """Deliver the messages held back for a node at once."""
        node = self.nodes[address]
        for sender, body in self.held_messages.pop(address):
            node.senders.append(sender)
            node.inbox.append(body)

    def _deliver(self) -> None:
        while self._in_flight and self._in_flight[0][0] <= self.now_s:
            _, _, sender, to, body = heapq.heappop(self._in_flight)
            node = self.nodes.get(to)
            if node is not None and node.replicas is not None:
                node.senders.append(sender)
                node.inbox.append(body)

    def _check(self) -> None:
        """Check the invariants that involve several nodes.

        Each term has one leader, committed entries never change, and a read
        under a lease sees all acknowledged commands.
        """
        for node in self.running():
            replica = node.group.replica
            own_member = replica.log.members.find(node.address)
            if replica.role is types.Role.LEADER and own_member is not None:
                known = self._leaders.setdefault(
                    replica.term, own_member.folder_id
                )
                assert known == own_member.folder_id, "two leaders in one term"
            self._check_committed(node)
            self._check_lease(node)

    def _check_committed(self, node: Node) -> None:
        log = node.group.replica.log
        first = max(log.base.index, 1)
        for index in range(first, node.group.applied_index + 1):
            chain = log.chain_at(index)
            if chain is not None:
                known = self._committed.setdefault(index, chain)
                assert known == chain, "a committed entry changed"

    def _check_lease(self, node: Node) -> None:
        if node.paused_until_s > self.now_s:
            return
        try:
            index = node.group.replica.read_index(self.clock_s(node))
        except exceptions.PapayastallError:
            return
        assert index >= self.acknowledged_index, "stale read under a lease"

    def settle(self) -> None:
        """End all faults and check that the cluster recovers.

        All nodes must become voters with the same applied index, and no
        acknowledged command may be lost.
        """
        self.cuts.clear()
        self.loss_probability = self.duplicate_probability = 0.0
        self.max_delay_s = 0.05
        for node in self.nodes.values():
            node.paused_until_s = 0.0
            node.files.fail_at = None
            if node.replicas is None:
                self.start(node)
        self.run_until(self._is_settled, 60.0)
        self.run_until(lambda: self.leader() is not None)
        self.check_acknowledged()

    def _is_settled(self) -> bool:
        leader = self.leader()
        if leader is None or not self.propose(leader, "settle"):
            return False
        self.run(1.0)
        indexes = {node.group.applied_index for node in self.running()}
        voters = leader.group.replica.log.members.voter_ids()
        return (
            len(indexes) == 1
            and len(self.running()) == len(self.nodes)
            and len(voters) == len(self.nodes)
            and "settle" in self.acknowledged
        )

    def check_acknowledged(self) -> None:
        """Check that no acknowledged command is lost.

        The commands of all nodes must also be a common sequence.
        """
        leader = self.leader()
        assert leader is not None
        commands = leader.machine.commands
        missing = set(self.acknowledged) - set(commands)
        assert not missing, f"acknowledged commands are lost: {missing}"
        for node in self.running():
            shared = min(len(node.machine.commands), len(commands))
            assert node.machine.commands[:shared] == commands[:shared]
