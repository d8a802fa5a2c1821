"""The replicas of all groups on one node, without tasks or threads.

Work is done in iterations: :meth:`ReplicaSet.prepare` collects the pending
output of all groups, :meth:`Iteration.run` does the blocking I/O with one
fsync of the log for all of them, and :meth:`ReplicaSet.finish` applies
committed entries.
"""

from __future__ import annotations

import collections.abc as cabc
import random
import typing as t

import msgspec
import msgspec.structs

from papayastall import _data_folder
from papayastall import _formation
from papayastall import _raft
from papayastall import _raft_types as types
from papayastall import _storage

__all__ = [
    "Applied",
    "Group",
    "ReplicaSet",
    "Resolved",
    "ReplicaSetOptions",
    "StateMachine",
    "Superseded",
    "Iteration",
    "OutcomeUnknown",
]

GroupMessage = tuple[int, types.Message]

ENTRY_OVERHEAD_BYTES = 64


class StateMachine(t.Protocol):
    """A deterministic state machine, replicated by one group."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the serialized state.

        Runs in a worker thread. No command is applied meanwhile, but the
        event loop may read the state.
        """

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""


class ReplicaSetOptions(msgspec.Struct, frozen=True):
    """When snapshots are taken and how much log is kept.

    A snapshot is taken after ``snapshot_entries`` or ``snapshot_bytes``,
    but not before as many bytes have been applied as the last snapshot has.

    :param snapshot_entries: number of applied entries.
    :param snapshot_bytes: size of applied entries, in bytes.
    :param kept_entries: entries kept behind a snapshot for slow replicas.
    :param generation_bytes: size at which the write-ahead log is replaced
        by a new generation, provided that it is at least four times as large
        as the entries that the groups keep.
    :param chunk_bytes: size of the chunks in which snapshots are sent.
    """

    snapshot_entries: int = 5000
    snapshot_bytes: int = 4 * 1024 * 1024
    kept_entries: int = 256
    generation_bytes: int = 16 * 1024 * 1024
    chunk_bytes: int = 256 * 1024


class Applied(msgspec.Struct, frozen=True):
    """The command was committed and applied.

    :param result: what the state machine returned.
    """

    result: bytes


class Superseded(msgspec.Struct, frozen=True):
    """Another entry was committed at the command's index.

    The command will never be committed.
    """


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """A snapshot covers the command's index.

    This replica can't tell whether the command was committed.
    """


Resolution = Applied | Superseded | OutcomeUnknown


class Resolved(msgspec.Struct, frozen=True):
    """Outcome of a proposal.

    :param token: identifies the proposal; passed to :meth:`Group.propose`.
    """

    token: object
    resolution: Resolution


class _Snapshot(msgspec.Struct):
    """A snapshot to be taken.

    :param size_bytes: size of its data, known once it has been saved.
    """

    group: int
    meta: types.SnapshotMeta
    machine: StateMachine
    size_bytes: int = 0


class Iteration(msgspec.Struct):
    """Disk operations and messages of one iteration.

    :param early: messages to send before the writes.
    :param writes: must be durable before ``messages`` are sent.
    :param chunks: snapshot chunks to read; they are added to ``messages``.
    :param restores: snapshots to read for restoring, by group.
    :param snapshots: snapshots to take and save.
    :param checkpoint: start of a new log generation; ``None`` if none is
        due.
    :param chunk_bytes: maximum size of a snapshot chunk.
    :param restored_data: data of the snapshots in ``restores``, once read.
    """

    early: list[GroupMessage]
    writes: list[_storage.GroupWrite]
    messages: list[GroupMessage]
    chunks: list[tuple[int, types.ChunkRequest]]
    restores: dict[int, types.SnapshotMeta]
    snapshots: list[_Snapshot]
    checkpoint: list[_data_folder.GroupCheckpoint] | None
    chunk_bytes: int
    restored_data: dict[int, bytes] = msgspec.field(default_factory=dict)

    @property
    def needs_io(self) -> bool:
        """Whether :meth:`run` does any I/O."""
        return bool(
            self.writes
            or self.chunks
            or self.restores
            or self.snapshots
            or self.checkpoint
        )

    def run(self, storage: _storage.Storage) -> None:
        """Do all blocking I/O; messages are sent afterwards."""
        storage.write(self.writes)
        if self.checkpoint is not None:
            storage.start_generation(self.checkpoint)
        for group, meta in self.restores.items():
            self.restored_data[group] = storage.read_snapshot(
                group, meta.index
            )
        for snapshot in self.snapshots:
            data = snapshot.machine.snapshot()
            snapshot.size_bytes = len(data)
            storage.save_snapshot(snapshot.group, snapshot.meta, data)
        for group, request in self.chunks:
            self._read_chunk(storage, group, request)

    def _read_chunk(
        self,
        storage: _storage.Storage,
        group: int,
        request: types.ChunkRequest,
    ) -> None:
        chunk = request.chunk
        found = storage.read_chunk(
            group, chunk.meta.index, chunk.offset, self.chunk_bytes
        )
        if found is None:
            return
        body = msgspec.structs.replace(
            chunk, data=found[0], size_bytes=found[1]
        )
        message = msgspec.structs.replace(request.message, body=body)
        self.messages.append((group, message))


class Group:
    """The replica and the state machine of one group.

    :param number: number of the group.
    """

    def __init__(
        self, number: int, replica: _raft.Replica, machine: StateMachine
    ) -> None:
        self.number = number
        self.replica = replica
        self.machine = machine
        self.applied_index = 0
        self.output = replica.start()
        self._pending: dict[int, tuple[int, object]] = {}
        self._bytes_since_snapshot = 0
        self._snapshot_size_bytes = 0

    def propose(
        self, now_s: float, commands: list[tuple[bytes, object]]
    ) -> None:
        """Append commands to the log.

        :param commands: pairs of command and token.
        :raises papayastall.exceptions.PapayastallError: this replica is not
            the leader.
        """
        payloads = [command for command, _ in commands]
        position, output = self.replica.propose(now_s, payloads)
        self.output.extend(output)
        for offset, (_, token) in enumerate(commands):
            index = position.index + offset
            self._pending[index] = (position.term, token)

    def forget(self, token: object) -> None:
        """Forget a proposal; its outcome is not reported."""
        for index, (_, waiting) in list(self._pending.items()):
            if waiting is token:
                del self._pending[index]

    def apply(self, restored: bytes | None) -> list[Resolved]:
        """Apply committed entries; return the outcomes of proposals.

        :param restored: data of the snapshot to restore first, if any.
        """
        resolved: list[Resolved] = []
        meta = self.output.restored
        if meta is not None and restored is not None:
            self._restore(meta, restored, resolved)
        for entry in self.output.committed:
            types.require(
                entry.index == self.applied_index + 1,
                "the applied index grows by one",
            )
            result = b""
            if entry.kind is types.EntryKind.COMMAND:
                result = self.machine.apply(entry.index, entry.payload)
            size_bytes = len(entry.payload) + ENTRY_OVERHEAD_BYTES
            self._bytes_since_snapshot += size_bytes
            self.applied_index = entry.index
            waiting = self._pending.pop(entry.index, None)
            if waiting is not None:
                term, token = waiting
                done: Resolution = Superseded()
                if term == entry.term:
                    done = Applied(result)
                resolved.append(Resolved(token, done))
        return resolved

    def _restore(
        self,
        meta: types.SnapshotMeta,
        data: bytes,
        resolved: list[Resolved],
    ) -> None:
        types.require(
            meta.index >= self.applied_index,
            "the applied index never decreases",
        )
        self.machine.restore(data)
        self.applied_index = meta.index
        self._snapshot_size_bytes = len(data)
        self._bytes_since_snapshot = 0
        for index in [i for i in self._pending if i <= meta.index]:
            _, token = self._pending.pop(index)
            resolved.append(Resolved(token, OutcomeUnknown()))

    def due_snapshot(self, options: ReplicaSetOptions) -> _Snapshot | None:
        """Return the snapshot to take now, if one is due."""
        log = self.replica.log
        saved_index = self.replica.snapshot_index
        is_due = (
            self.applied_index - saved_index >= options.snapshot_entries
            or self._bytes_since_snapshot >= options.snapshot_bytes
        )
        # Writing a snapshot costs its size, so it waits until as many bytes
        # have been applied since the last one.
        is_amortized = self._bytes_since_snapshot >= self._snapshot_size_bytes
        if not is_due or not is_amortized:
            return None
        meta = log.meta_at(self.applied_index)
        return _Snapshot(self.number, meta, self.machine)

    def on_snapshot_saved(
        self, snapshot: _Snapshot, kept_entries: int
    ) -> None:
        """Drop log entries that a saved snapshot covers.

        :param kept_entries: how many of them stay for slow replicas.
        """
        self._snapshot_size_bytes = snapshot.size_bytes
        self._bytes_since_snapshot = 0
        self.replica.compact(snapshot.meta.index, kept_entries)


class ReplicaSet:
    """The replicas of all groups on one node.

    :param folder: content of the data folder when it was opened.
    :param own_address: link address of this node.
    :param addresses: link addresses of all replicas, from the settings.
    :param machines: state machine of each group, by its number.
    """

    def __init__(
        self,
        folder: _storage.FolderState,
        own_address: str,
        addresses: tuple[str, ...],
        machines: cabc.Sequence[StateMachine],
        timings: types.Timings,
        options: ReplicaSetOptions,
        rng: random.Random,
        now_s: float,
        formation: _formation.Formation = _formation.Formation(),
    ) -> None:
        self.identity = types.Sender(
            own_address, folder.folder_id, folder.boot, folder.boot_nonce
        )
        self._options = options
        self.groups = [
            Group(
                number,
                _raft.Replica(
                    self.identity,
                    addresses,
                    stored,
                    timings,
                    rng,
                    now_s,
                    preferred_voter_index=number
                    if formation.spreads_leaders
                    else None,
                    formation=formation,
                ),
                machine,
            )
            for number, (stored, machine) in enumerate(
                zip(folder.groups, machines, strict=True)
            )
        ]

    def set_join_targets(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses that replicas without a group ask to join."""
        for group in self.groups:
            group.replica.set_join_targets(addresses)

    @property
    def exclusion_reason(self) -> str | None:
        """Why this data folder is excluded from a group, if it is."""
        for group in self.groups:
            if group.output.exclusion_reason:
                return group.output.exclusion_reason
        return None

    @property
    def due_s(self) -> float:
        """Time of the next call of :meth:`tick` if no message arrives."""
        return min(group.replica.due_s for group in self.groups)

    def step(self, now_s: float, number: int, message: types.Message) -> None:
        """Handle a message; that of an unknown group is ignored."""
        if 0 <= number < len(self.groups):
            group = self.groups[number]
            group.output.extend(group.replica.step(now_s, message))

    def tick(self, now_s: float) -> None:
        """Run the timers of all groups."""
        for group in self.groups:
            group.output.extend(group.replica.tick(now_s))

    def prepare(self, wal_bytes: int) -> Iteration:
        """Collect the pending output of all groups.

        :param wal_bytes: size of the write-ahead log.
        """
        iteration = Iteration(
            [], [], [], [], {}, [], None, self._options.chunk_bytes
        )
        for group in self.groups:
            output = group.output
            number = group.number
            iteration.early += [(number, each) for each in output.early]
            iteration.messages += [(number, each) for each in output.messages]
            iteration.chunks += [(number, each) for each in output.chunks]
            iteration.writes += _compact_writes(number, output.writes)
            if output.restored is not None:
                iteration.restores[number] = output.restored
            else:
                snapshot = group.due_snapshot(self._options)
                if snapshot is not None:
                    iteration.snapshots.append(snapshot)
            output.early = []
            output.messages = []
            output.chunks = []
            output.writes = []
        if wal_bytes >= self._max_wal_bytes():
            iteration.checkpoint = [
                _checkpoint(group) for group in self.groups
            ]
        return iteration

    def _max_wal_bytes(self) -> int:
        kept = sum(group.replica.log.size_bytes for group in self.groups)
        return max(self._options.generation_bytes, 4 * kept)

    def finish(self, now_s: float, iteration: Iteration) -> list[Resolved]:
        """Apply committed entries once the writes are durable.

        :returns: outcomes of proposals.
        """
        resolved: list[Resolved] = []
        for snapshot in iteration.snapshots:
            self.groups[snapshot.group].on_snapshot_saved(
                snapshot, self._options.kept_entries
            )
        for group in self.groups:
            data = iteration.restored_data.get(group.number)
            group.output.extend(group.replica.on_persisted(now_s))
            resolved += group.apply(data)
            group.output.restored = None
            group.output.committed = []
        return resolved

    def has_work(self) -> bool:
        """Return whether another iteration is due at once."""
        return any(
            group.output.early
            or group.output.writes
            or group.output.messages
            or group.output.chunks
            for group in self.groups
        )


def _compact_writes(
    group: int, writes: list[types.Write]
) -> list[_storage.GroupWrite]:
    """Drop hard states that a later one of the same iteration replaces."""
    compacted: list[_storage.GroupWrite] = []
    is_latest = True
    for write in reversed(writes):
        if isinstance(write, types.HardState):
            if not is_latest:
                continue
            is_latest = False
        compacted.append(_storage.GroupWrite(group, write))
    compacted.reverse()
    return compacted


def _checkpoint(group: Group) -> _data_folder.GroupCheckpoint:
    log = group.replica.log
    return _data_folder.GroupCheckpoint(
        log.base,
        group.replica.hard_state,
        log.range(log.base.index + 1, log.last_index),
    )
