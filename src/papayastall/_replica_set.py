"""The replicas of all groups on one node, without tasks or threads.

Work is done in turns. :meth:`ReplicaSet.prepare` gathers what all groups
want, :meth:`Iteration.run` does the blocking part with one fsync for all of
them, and :meth:`ReplicaSet.finish` applies what was committed.
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
    """Deterministic state that one group of replicas agrees on."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state.

        Runs in a worker thread, while nothing is applied; the state may
        be read at the same time.
        """

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot."""


class ReplicaSetOptions(msgspec.Struct, frozen=True):
    """How much log is kept.

    A snapshot is taken after so many entries or bytes, but not before as
    many bytes were applied as the last snapshot had.

    :param snapshot_entries: applied entries after which one is taken.
    :param snapshot_bytes: applied bytes after which one is taken.
    :param kept_entries: entries that stay for slow replicas.
    :param generation_bytes: write-ahead log that is rewritten.
    """

    snapshot_entries: int = 5000
    snapshot_bytes: int = 4 * 1024 * 1024
    kept_entries: int = 256
    generation_bytes: int = 16 * 1024 * 1024
    chunk_bytes: int = 256 * 1024


class Applied(msgspec.Struct, frozen=True):
    """The command was committed and applied."""

    result: bytes


class Superseded(msgspec.Struct, frozen=True):
    """Another entry was committed in its place; it never will be."""


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """A snapshot covers its place; nobody can tell here."""


Resolution = Applied | Superseded | OutcomeUnknown


class Resolved(msgspec.Struct, frozen=True):
    """What became of a proposal.

    :param token: what the proposer gave with it.
    """

    token: object
    resolution: Resolution


class _Snapshot(msgspec.Struct):
    group: int
    meta: types.SnapshotMeta
    machine: StateMachine
    size_bytes: int = 0


class Iteration(msgspec.Struct):
    """What one turn must do on the disk and then send."""

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
    def blocks(self) -> bool:
        """Whether :meth:`run` does any I/O."""
        return bool(
            self.writes
            or self.chunks
            or self.restores
            or self.snapshots
            or self.checkpoint
        )

    def run(self, storage: _storage.Storage) -> None:
        """Do the blocking part; ends before any message is sent."""
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
    """One group's replica and its state machine."""

    def __init__(
        self, number: int, replica: _raft.Replica, machine: StateMachine
    ) -> None:
        self.number = number
        self.replica = replica
        self.machine = machine
        self.applied_index = 0
        self.output = replica.start()
        self._waiting: dict[int, tuple[int, object]] = {}
        self._unsaved_bytes = 0
        self._snapshot_size_bytes = 0

    def propose(
        self, now_s: float, commands: list[tuple[bytes, object]]
    ) -> None:
        """Append commands; each comes with the token of its proposer.

        :raises papayastall.exceptions.PapayastallError: not the leader.
        """
        payloads = [command for command, _ in commands]
        position, output = self.replica.propose(now_s, payloads)
        self.output.extend(output)
        for offset, (_, token) in enumerate(commands):
            index = position.index + offset
            self._waiting[index] = (position.term, token)

    def forget(self, token: object) -> None:
        """Drop a proposal whose proposer no longer waits."""
        for index, (_, waiting) in list(self._waiting.items()):
            if waiting is token:
                del self._waiting[index]

    def apply(self, restored: bytes | None) -> list[Resolved]:
        """Apply what was handed out as committed."""
        resolved: list[Resolved] = []
        meta = self.output.restored
        if meta is not None and restored is not None:
            self._restore(meta, restored, resolved)
        for entry in self.output.committed:
            types.require(
                entry.index == self.applied_index + 1,
                "the applied index grows one by one",
            )
            result = b""
            if entry.kind is types.EntryKind.COMMAND:
                result = self.machine.apply(entry.index, entry.payload)
            size_bytes = len(entry.payload) + ENTRY_OVERHEAD_BYTES
            self._unsaved_bytes += size_bytes
            self.applied_index = entry.index
            waiting = self._waiting.pop(entry.index, None)
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
            "the applied index never goes back",
        )
        self.machine.restore(data)
        self.applied_index = meta.index
        self._snapshot_size_bytes = len(data)
        self._unsaved_bytes = 0
        for index in [i for i in self._waiting if i <= meta.index]:
            _, token = self._waiting.pop(index)
            resolved.append(Resolved(token, OutcomeUnknown()))

    def due_snapshot(self, options: ReplicaSetOptions) -> _Snapshot | None:
        """Return what to snapshot when it is time to."""
        log = self.replica.log
        saved_index = self.replica.snapshot_index
        has_enough = (
            self.applied_index - saved_index >= options.snapshot_entries
            or self._unsaved_bytes >= options.snapshot_bytes
        )
        # A snapshot costs its size; it waits until as much was applied.
        is_worth_it = self._unsaved_bytes >= self._snapshot_size_bytes
        if not has_enough or not is_worth_it:
            return None
        meta = log.meta_at(self.applied_index)
        return _Snapshot(self.number, meta, self.machine)

    def note_saved(self, snapshot: _Snapshot, kept_entries: int) -> None:
        """Forget entries that a snapshot on the disk covers."""
        self._snapshot_size_bytes = snapshot.size_bytes
        self._unsaved_bytes = 0
        self.replica.compact(snapshot.meta.index, kept_entries)


class ReplicaSet:
    """All groups of one node.

    :param folder: what the data folder held when it was opened.
    :param own_address: link address of this node.
    :param addresses: link addresses of all replicas, from the settings.
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
        """Set whom replicas without a group ask to let them in."""
        for group in self.groups:
            group.replica.set_join_targets(addresses)

    @property
    def stale(self) -> str | None:
        """Why this data folder may not take part any more."""
        for group in self.groups:
            if group.output.stale:
                return group.output.stale
        return None

    @property
    def due_s(self) -> float:
        """When :meth:`tick` has something to do, if nothing arrives."""
        return min(group.replica.due_s for group in self.groups)

    def step(self, now_s: float, number: int, message: types.Message) -> None:
        """Take a message of one group."""
        if 0 <= number < len(self.groups):
            group = self.groups[number]
            group.output.extend(group.replica.step(now_s, message))

    def tick(self, now_s: float) -> None:
        """Let every group do what is due."""
        for group in self.groups:
            group.output.extend(group.replica.tick(now_s))

    def prepare(self, wal_bytes: int) -> Iteration:
        """Gather what all groups want done.

        :param wal_bytes: present size of the write-ahead log.
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
            iteration.writes += _group_writes(number, output.writes)
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
        if wal_bytes >= self._generation_limit_bytes():
            iteration.checkpoint = [
                _checkpoint(group) for group in self.groups
            ]
        return iteration

    def _generation_limit_bytes(self) -> int:
        kept = sum(group.replica.log.size_bytes for group in self.groups)
        return max(self._options.generation_bytes, 4 * kept)

    def finish(self, now_s: float, iteration: Iteration) -> list[Resolved]:
        """Apply what is committed once the turn's writes are durable."""
        resolved: list[Resolved] = []
        for snapshot in iteration.snapshots:
            self.groups[snapshot.group].note_saved(
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
        """Whether another turn is due at once."""
        return any(
            group.output.early
            or group.output.writes
            or group.output.messages
            or group.output.chunks
            for group in self.groups
        )


def _group_writes(
    group: int, writes: list[types.Write]
) -> list[_storage.GroupWrite]:
    """Drop hard states that a later one of the same turn replaces."""
    chosen: list[_storage.GroupWrite] = []
    is_last = True
    for write in reversed(writes):
        if isinstance(write, types.HardState):
            if not is_last:
                continue
            is_last = False
        chosen.append(_storage.GroupWrite(group, write))
    chosen.reverse()
    return chosen


def _checkpoint(group: Group) -> _data_folder.GroupCheckpoint:
    log = group.replica.log
    return _data_folder.GroupCheckpoint(
        log.base,
        group.replica.hard_state,
        log.range(log.base.index + 1, log.last_index),
    )
