"""Runs the replicas of several groups in one process.

One task steps all groups. The blocking part of a turn, with one fsync for
all groups, runs in a worker thread; what arrives meanwhile waits for the
next turn, so that load makes the batches larger.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import random
import typing as t

import anyio
import anyio.abc
import anyio.to_thread
import eliot

from papayastall import _files
from papayastall import _peering
from papayastall import _raft_types as types
from papayastall import _replica_links
from papayastall import _replica_set
from papayastall import _storage
from papayastall import exceptions

__all__ = ["ReplicaHost", "ReplicaSettings", "StateMachine"]

StateMachine = _replica_set.StateMachine

_T = t.TypeVar("_T")

MIN_IDLE_S = 0.001
MAX_COMMAND_BYTES = 256 * 1024
MAX_INBOX_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(slots=True, frozen=True)
class ReplicaSettings:
    """What a control replica is told at its start.

    :param addresses: link addresses of all replicas, in the same order in
        the settings of each of them.
    :param own_address: its own link address, one of ``addresses``.
    :param data_folder: folder made by ``papayastall init``.
    """

    addresses: tuple[str, ...]
    own_address: str
    data_folder: str
    timings: types.Timings = types.Timings()
    options: _replica_set.SetOptions = _replica_set.SetOptions()


@dataclasses.dataclass(slots=True, eq=False)
class _Proposal:
    """A command whose proposer waits."""

    group: int
    command: bytes
    done: anyio.Event
    is_appended: bool = False
    result: bytes | None = None
    error: exceptions.PapayastallError | None = None

    def fail(self, error: exceptions.PapayastallError) -> None:
        """Wake the proposer with an error."""
        self.error = error
        self.done.set()


def _unknown(step: str) -> exceptions.OutcomeUnknownError:
    return exceptions.OutcomeUnknownError(
        exceptions.ErrorCode.DEADLINE_EXCEEDED,
        "the command may or may not be committed; ask for its outcome "
        "before sending it again",
        step=step,
    )


def _not_taken(message: str) -> exceptions.PapayastallError:
    return exceptions.PapayastallError(
        exceptions.ErrorCode.NO_LEADER, message, step="propose"
    )


def _bug(error: Exception) -> exceptions.PapayastallError:
    return exceptions.PapayastallError(
        exceptions.ErrorCode.INTERNAL,
        f"the replica stops after {error!r}; report this and start it again",
        step="run-replicas",
    )


class ReplicaHost:
    """The replicas of all groups on this node.

    :param state_machines: one for each group, by its number; no fewer
        than the data folder holds. More groups are founded once all
        replicas were started with them.
    :param on_failure: called once when the replicas stop for good.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        peering: _peering.Peering,
        state_machines: cabc.Sequence[StateMachine],
        *,
        files: _files.FileLayer | None = None,
        on_failure: t.Callable[[exceptions.PapayastallError], None]
        | None = None,
        seed: int | None = None,
    ) -> None:
        self.settings = settings
        self._links = _replica_links.ReplicaLinks(peering, self._on_batch)
        self._machines = state_machines
        self._storage = _storage.Storage(settings.data_folder, files)
        self._on_failure = on_failure
        self._rng = random.Random(seed)
        self._limiter = anyio.CapacityLimiter(1)
        self._set: _replica_set.ReplicaSet | None = None
        self._inbox: list[tuple[int, types.Message]] = []
        self._inbox_bytes = 0
        self._proposals: list[_Proposal] = []
        self._appended: set[_Proposal] = set()
        self._wake = anyio.Event()
        self._turn_done = anyio.Event()
        self._closed = anyio.Event()
        self._is_closing = False
        self._leaders: dict[int, str | None] = {}
        self.failure: exceptions.PapayastallError | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Open the data folder and take part in every group.

        :param tasks: the replicas run in it until :meth:`close`.
        :raises papayastall.exceptions.StorageError: the folder can't be
            used.
        """
        folder = await self._in_thread(
            lambda: self._storage.open(group_count=len(self._machines))
        )
        self._set = _replica_set.ReplicaSet(
            folder,
            self.settings.own_address,
            self.settings.addresses,
            self._machines,
            self.settings.timings,
            self.settings.options,
            self._rng,
            _replica_links.clock_s(),
        )
        self._links.start(tasks, self._set.identity)
        tasks.start_soon(self._run)

    async def close(self) -> None:
        """Hand leadership over, stop, and close the data folder."""
        if self._set is None:
            return
        self._is_closing = True
        self._wake.set()
        await self._closed.wait()

    async def propose(
        self, group: int, command: bytes, timeout_s: float
    ) -> bytes:
        """Commit a command and return the result of applying it.

        :raises papayastall.exceptions.PapayastallError: ``NOT_LEADER``
            with the leader's address as ``peer``, or ``NO_LEADER``; the
            command was not and will not be committed.
        :raises papayastall.exceptions.OutcomeUnknownError: it may or may
            not be committed.
        """
        self._require_running()
        if len(command) > MAX_COMMAND_BYTES:
            raise exceptions.BadInputError(
                exceptions.ErrorCode.BODY_TOO_LARGE,
                f"a command holds {MAX_COMMAND_BYTES} bytes at most, this "
                f"one has {len(command)}; split it",
                step="propose",
            )
        proposal = _Proposal(group, command, anyio.Event())
        self._proposals.append(proposal)
        self._wake.set()
        try:
            with anyio.move_on_after(timeout_s):
                await proposal.done.wait()
        finally:
            self._forget(proposal)
        if proposal.error is not None:
            raise proposal.error
        if proposal.result is not None:
            return proposal.result
        if proposal.is_appended:
            raise _unknown("propose")
        raise _not_taken("the command was not taken up in time; try again")

    def _forget(self, proposal: _Proposal) -> None:
        if proposal in self._appended:
            self._appended.discard(proposal)
            self._group(proposal.group).forget(proposal)
        elif proposal in self._proposals:
            self._proposals.remove(proposal)

    async def read_barrier(self, group: int, timeout_s: float) -> None:
        """Return when the local state holds all that was committed.

        Works on the leader only, under its lease; nothing is written.

        :raises papayastall.exceptions.PapayastallError: ``NOT_LEADER``
            with the leader's address as ``peer``, or ``NO_LEADER`` when
            ``timeout_s`` passed first.
        """
        self._require_running()
        chosen = self._group(group)
        error = _not_taken("no lease in time; try again")
        with anyio.move_on_after(timeout_s):
            while True:
                try:
                    index = chosen.replica.read_index(_replica_links.clock_s())
                    break
                except exceptions.PapayastallError as found:
                    if found.code is not exceptions.ErrorCode.NO_LEADER:
                        raise
                    error = found
                await self._next_turn()
            while chosen.applied_index < index:
                await self._next_turn()
            return
        raise error

    async def _next_turn(self) -> None:
        await self._turn_done.wait()
        self._require_running()

    def leader(self, group: int) -> str | None:
        """Return the address of the leader as far as it is known."""
        return self._group(group).replica.leader

    def applied_index(self, group: int) -> int:
        """Return the index of the last entry applied here."""
        return self._group(group).applied_index

    def members(self, group: int) -> types.Members:
        """Return the latest members of a group, committed or not."""
        return self._group(group).replica.log.members

    def add_member(self, group: int, address: str) -> None:
        """Admit a replica to a group; call it on the group's leader.

        It takes part once it is started with a fresh data folder. The
        change is done when :meth:`members` shows it as a voter.

        :raises papayastall.exceptions.PapayastallError: ``NOT_LEADER``,
            ``NO_LEADER``, or ``NOT_READY`` during another change.
        """
        self._change(group, address, is_added=True)

    def remove_member(self, group: int, address: str) -> None:
        """Remove a replica from a group for good; see `add_member`."""
        self._change(group, address, is_added=False)

    def _change(self, group: int, address: str, is_added: bool) -> None:
        self._require_running()
        chosen = self._group(group)
        replica = chosen.replica
        change = replica.add_member if is_added else replica.remove_member
        chosen.output.extend(change(_replica_links.clock_s(), address))
        self._wake.set()

    def _require_running(self) -> None:
        if self.failure is not None:
            raise self.failure
        if self._set is None or self._is_closing:
            raise _not_taken("this replica is stopped; ask another one")

    def _group(self, group: int) -> _replica_set.Group:
        if self._set is None:
            raise _not_taken("this replica is not started")
        return self._set.groups[group]

    async def _in_thread(self, call: t.Callable[[], _T]) -> _T:
        return await anyio.to_thread.run_sync(call, limiter=self._limiter)

    def _on_batch(
        self, batch: list[tuple[int, types.Message]], size_bytes: int
    ) -> None:
        """Keep what arrives for the next turn; a slow disk loses some."""
        if self._inbox_bytes < MAX_INBOX_BYTES:
            self._inbox += batch
            self._inbox_bytes += size_bytes
            self._wake.set()

    async def _run(self) -> None:
        """Step all groups until closed, or until something fails."""
        try:
            while not self._is_closing:
                await self._turn()
                await self._wait()
            await self._hand_over()
        except exceptions.PapayastallError as error:
            self._fail(error)
        except Exception as error:
            self._fail(_bug(error))
        finally:
            with anyio.CancelScope(shield=True):
                await self._in_thread(self._storage.close)
            self._closed.set()

    async def _wait(self) -> None:
        if self._set is None or self._set.has_work():
            return
        if self._inbox or self._proposals:
            return
        idle_s = self._set.due_s - _replica_links.clock_s()
        self._wake = anyio.Event()
        if self._is_closing:
            return
        with anyio.move_on_after(max(idle_s, MIN_IDLE_S)):
            await self._wake.wait()

    async def _turn(self) -> None:
        """Take what has arrived, make it durable, send, and apply."""
        replicas = self._set
        if replicas is None:
            return
        now_s = _replica_links.clock_s()
        inbox, self._inbox, self._inbox_bytes = self._inbox, [], 0
        for number, message in inbox:
            replicas.step(now_s, number, message)
        self._append_proposals(now_s)
        replicas.tick(now_s)
        await self._finish_turn(replicas)

    async def _finish_turn(self, replicas: _replica_set.ReplicaSet) -> None:
        stale = replicas.stale
        turn = replicas.prepare(self._storage.wal_bytes)
        self._links.send(turn.early)
        if stale is not None:
            raise exceptions.StorageError(
                exceptions.ErrorCode.STORAGE_DAMAGED,
                f"{stale}; move the data folder away, run `papayastall "
                "init` and start again: the replica recovers from the "
                "others",
                step="raft",
            )
        if turn.blocks:
            await self._in_thread(lambda: turn.run(self._storage))
        for resolved in replicas.finish(_replica_links.clock_s(), turn):
            self._resolve(resolved)
        self._links.send(turn.messages)
        self._note_leaders(replicas)
        self._turn_done.set()
        self._turn_done = anyio.Event()

    def _append_proposals(self, now_s: float) -> None:
        proposals, self._proposals = self._proposals, []
        by_group: dict[int, list[_Proposal]] = {}
        for proposal in proposals:
            by_group.setdefault(proposal.group, []).append(proposal)
        for number, chosen in by_group.items():
            pairs: list[tuple[bytes, object]] = [
                (each.command, each) for each in chosen
            ]
            try:
                self._group(number).propose(now_s, pairs)
            except exceptions.PapayastallError as error:
                for each in chosen:
                    each.fail(error)
                continue
            for each in chosen:
                each.is_appended = True
                self._appended.add(each)

    def _resolve(self, resolved: _replica_set.Resolved) -> None:
        proposal = t.cast(_Proposal, resolved.token)
        self._appended.discard(proposal)
        match resolved.resolution:
            case _replica_set.Applied(result):
                proposal.result = result
                proposal.done.set()
            case _replica_set.Superseded():
                proposal.fail(
                    _not_taken("another leader took over; try again")
                )
            case _replica_set.Unresolved():
                proposal.fail(_unknown("propose"))

    def _note_leaders(self, replicas: _replica_set.ReplicaSet) -> None:
        for group in replicas.groups:
            leader = group.replica.leader
            if self._leaders.get(group.number) != leader:
                self._leaders[group.number] = leader
                eliot.log_message(
                    message_type="papayastall:leader",
                    group=group.number,
                    leader=leader,
                    term=group.replica.term,
                )

    async def _hand_over(self) -> None:
        """Give up all leadership and send the last messages."""
        replicas = self._set
        if replicas is None:
            return
        now_s = _replica_links.clock_s()
        for group in replicas.groups:
            group.output.extend(group.replica.transfer(now_s))
        await self._finish_turn(replicas)
        self._fail_waiting()

    def _fail(self, error: exceptions.PapayastallError) -> None:
        """Stop for good; what is on the disk may be unknown."""
        self.failure = error
        eliot.log_message(
            message_type="papayastall:replica-failed", error=str(error)
        )
        self._fail_waiting()
        self._turn_done.set()
        if self._on_failure is not None:
            self._on_failure(error)

    def _fail_waiting(self) -> None:
        for proposal in self._proposals:
            proposal.fail(_not_taken("this replica stops; ask another one"))
        for proposal in self._appended:
            proposal.fail(_unknown("propose"))
        self._proposals = []
        self._appended.clear()
