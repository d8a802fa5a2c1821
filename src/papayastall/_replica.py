"""Host of the replicas of several groups in one process.

One task steps all groups, in iterations. The blocking I/O of an iteration,
with one fsync of the log for all groups, runs in a worker thread. Messages
and commands that arrive meanwhile wait for the next iteration, so batches
grow with the load.
"""

from __future__ import annotations

import collections.abc as cabc
import random
import typing as t

import anyio
import anyio.abc
import anyio.to_thread
import msgspec

from papayastall import _files
from papayastall import _formation
from papayastall import _peering
from papayastall import _proposals
from papayastall import _raft_types as types
from papayastall import _replica_links
from papayastall import _replica_set
from papayastall import _storage
from papayastall import clock
from papayastall import exceptions
from papayastall import logs
from papayastall import metrics

__all__ = ["ReplicaHost", "ReplicaSettings", "StateMachine"]

StateMachine = _replica_set.StateMachine

_T = t.TypeVar("_T")

MIN_WAIT_S = 0.001
"""Shortest wait for messages, also when a timer has already expired."""
MAX_COMMAND_BYTES = 512 * 1024
MAX_INBOX_BYTES = 8 * 1024 * 1024


class ReplicaSettings(msgspec.Struct, frozen=True):
    """Settings of a control replica.

    :param addresses: link addresses of all replicas, in the same order in
        the settings of each replica.
    :param own_address: link address of this replica; one of ``addresses``
        unless it joins a group that admits replicas.
    :param data_folder: folder created by ``papayastall init``.
    """

    addresses: tuple[str, ...]
    own_address: str
    data_folder: str
    timings: types.Timings = types.Timings()
    options: _replica_set.ReplicaSetOptions = _replica_set.ReplicaSetOptions()
    formation: _formation.Formation = _formation.Formation()


def _internal_error(error: Exception) -> exceptions.PapayastallError:
    return exceptions.PapayastallError(
        exceptions.ErrorCode.INTERNAL,
        f"the replica stops after {error!r}; report this and start it again",
        step="run-replicas",
    )


class ReplicaHost:
    """The replicas of all groups on this node.

    :param state_machines: state machine of each group, by its number; at
        least as many as the data folder holds. An additional group is
        bootstrapped once all replicas have been started with it.
    :param counters: metrics to update.
    :param on_failure: called once, when the replicas stop because of an
        error.
    :param seed: seed of the random election timeouts; drawn at random by
        default.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        peering: _peering.Peering,
        state_machines: cabc.Sequence[StateMachine],
        *,
        files: _files.FileSystem | None = None,
        counters: metrics.Metrics | None = None,
        on_failure: t.Callable[[exceptions.PapayastallError], None]
        | None = None,
        seed: int | None = None,
    ) -> None:
        self.settings = settings
        self._links = _replica_links.ReplicaLinks(peering, self._on_batch)
        self._state_machines = state_machines
        self._storage = _storage.Storage(settings.data_folder, files)
        self._on_failure = on_failure
        self._counters = counters or metrics.Metrics(
            None, settings.own_address
        )
        self._counted_elections = 0
        self._counted_syncs = 0
        self._rng = random.Random(seed)
        self._limiter = anyio.CapacityLimiter(1)
        self._replicas: _replica_set.ReplicaSet | None = None
        self._inbox: list[tuple[int, types.Message]] = []
        self._inbox_bytes = 0
        self._proposals = _proposals.Proposals()
        self._wake = anyio.Event()
        self._iteration_done = anyio.Event()
        self._closed = anyio.Event()
        self._is_closing = False
        self._leaders: dict[int, str | None] = {}
        self._may_hand_over_s = float("-inf")
        self._hand_over_delay_s = settings.timings.transfer_delay_s
        self.failure: exceptions.PapayastallError | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Open the data folder and start the replicas of all groups.

        If the folder has not been created, is damaged or can't be written,
        the replicas stop at once, and the rest of the node runs without
        them: see :attr:`failure`.

        :param tasks: runs the replicas until :meth:`close`.
        :raises papayastall.exceptions.StorageError: another process uses
            the folder.
        :raises papayastall.exceptions.BadInputError: the folder holds more
            groups than there are state machines.
        """
        try:
            folder = await self._run_in_thread(
                lambda: self._storage.open(
                    group_count=len(self._state_machines)
                )
            )
        except exceptions.StorageError as error:
            if error.code is exceptions.ErrorCode.FOLDER_IN_USE:
                raise
            self._fail(error)
            return
        self._replicas = _replica_set.ReplicaSet(
            folder,
            self.settings.own_address,
            self.settings.addresses,
            self._state_machines,
            self.settings.timings,
            self.settings.options,
            self._rng,
            clock.now_s(),
            self.settings.formation,
        )
        self._links.start(tasks, self._replicas.identity)
        tasks.start_soon(self._run)

    async def close(self) -> None:
        """Transfer leadership, stop, and close the data folder."""
        if self._replicas is None:
            return
        self._is_closing = True
        self._wake.set()
        await self._closed.wait()

    async def propose(
        self, group: int, command: bytes, timeout_s: float
    ) -> bytes:
        """Commit a command and return the result of applying it.

        :param command: ``MAX_COMMAND_BYTES`` at most.
        :raises papayastall.exceptions.PapayastallError: ``NOT_LEADER``
            with the leader's address as ``peer``, or ``NO_LEADER``; the
            command was not and will not be committed.
        :raises papayastall.exceptions.OutcomeUnknownError: the command may
            or may not be committed.
        :raises papayastall.exceptions.BadInputError: the command is too
            large.
        :raises papayastall.exceptions.StorageError: the replicas stopped
            earlier because of the data folder.
        """
        self._require_running()
        if len(command) > MAX_COMMAND_BYTES:
            raise exceptions.BadInputError(
                exceptions.ErrorCode.BODY_TOO_LARGE,
                f"a command holds {MAX_COMMAND_BYTES} bytes at most, this "
                f"one has {len(command)}; split it",
                step="propose",
            )
        replica_group = self._group(group)
        proposal = self._proposals.add(group, command)
        self._wake.set()
        try:
            with anyio.move_on_after(timeout_s):
                await proposal.done.wait()
        finally:
            self._proposals.forget(proposal, replica_group)
        return proposal.outcome()

    async def read_barrier(self, group: int, timeout_s: float) -> None:
        """Wait until the local state includes everything committed so far.

        Relies on the leader's lease: works on the leader only, and writes
        nothing.

        :raises papayastall.exceptions.PapayastallError: ``NOT_LEADER``
            with the leader's address as ``peer``, or ``NO_LEADER`` after
            ``timeout_s``.
        """
        self._require_running()
        replica_group = self._group(group)
        error = _proposals.not_committed("no lease in time; try again")
        with anyio.move_on_after(timeout_s):
            while True:
                try:
                    index = replica_group.replica.read_index(clock.now_s())
                    break
                except exceptions.PapayastallError as found:
                    if found.code is not exceptions.ErrorCode.NO_LEADER:
                        raise
                    error = found
                await self._wait_for_iteration()
            while replica_group.applied_index < index:
                await self._wait_for_iteration()
            return
        raise error

    async def _wait_for_iteration(self) -> None:
        await self._iteration_done.wait()
        self._require_running()

    def set_join_targets(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses that a replica without a group asks to join.

        Without addresses, the earlier ones stay.
        """
        if self._replicas is not None and addresses:
            self._replicas.set_join_targets(addresses)

    def leader(self, group: int) -> str | None:
        """Return the address of the leader, if this replica knows it.

        Once the replicas have stopped, none is known.
        """
        if self._replicas is None or self.failure is not None:
            return None
        return self._group(group).replica.leader

    def applied_index(self, group: int) -> int:
        """Return the index of the last entry that was applied here."""
        if self._replicas is None:
            return 0
        return self._group(group).applied_index

    def members(self, group: int) -> types.Members:
        """Return the latest members of a group, even if uncommitted."""
        return self._group(group).replica.log.members

    def add_member(self, group: int, address: str) -> None:
        """Add a replica to a group. Works on the group's leader only.

        The replica joins once it is started with a new data folder. The
        change is complete when :meth:`members` shows it as a voter.

        :raises papayastall.exceptions.PapayastallError: ``NOT_LEADER``,
            ``NO_LEADER``, or ``NOT_READY`` during another change.
        """
        self._change_members(group, address, is_added=True)

    def remove_member(self, group: int, address: str) -> None:
        """Remove a replica from a group permanently.

        Works on the group's leader only and raises the same errors as
        :meth:`add_member`.
        """
        self._change_members(group, address, is_added=False)

    def _change_members(
        self, group: int, address: str, is_added: bool
    ) -> None:
        self._require_running()
        replica_group = self._group(group)
        replica = replica_group.replica
        change = replica.add_member if is_added else replica.remove_member
        replica_group.output.extend(change(clock.now_s(), address))
        self._wake.set()

    def _require_running(self) -> None:
        if self.failure is not None:
            raise self.failure
        if self._replicas is None or self._is_closing:
            raise _proposals.not_committed(
                "this replica is stopped; ask another one"
            )

    def _group(self, group: int) -> _replica_set.Group:
        if self._replicas is None:
            raise _proposals.not_committed("this replica is not started")
        return self._replicas.groups[group]

    async def _run_in_thread(self, call: t.Callable[[], _T]) -> _T:
        return await anyio.to_thread.run_sync(call, limiter=self._limiter)

    def _on_batch(
        self, batch: list[tuple[int, types.Message]], size_bytes: int
    ) -> None:
        """Queue a batch for the next iteration.

        While the queue holds ``MAX_INBOX_BYTES``, because the disk is slow,
        batches are dropped.
        """
        if self._inbox_bytes < MAX_INBOX_BYTES:
            self._inbox += batch
            self._inbox_bytes += size_bytes
            self._wake.set()

    async def _run(self) -> None:
        """Run iterations until closed, or until something fails."""
        try:
            while not self._is_closing:
                await self._run_iteration()
                await self._wait_for_work()
            await self._transfer_leadership()
        except exceptions.PapayastallError as error:
            self._fail(error)
        except Exception as error:
            self._fail(_internal_error(error))
        finally:
            with anyio.CancelScope(shield=True):
                await self._run_in_thread(self._storage.close)
            self._closed.set()

    async def _wait_for_work(self) -> None:
        if self._replicas is None or self._replicas.has_work():
            return
        if self._inbox or self._proposals:
            return
        wait_s = self._replicas.due_s - clock.now_s()
        self._wake = anyio.Event()
        if self._is_closing:
            return
        with anyio.move_on_after(max(wait_s, MIN_WAIT_S)):
            await self._wake.wait()

    async def _run_iteration(self) -> None:
        """Handle what has arrived, make it durable, send, and apply."""
        replicas = self._replicas
        if replicas is None:
            return
        now_s = clock.now_s()
        inbox, self._inbox, self._inbox_bytes = self._inbox, [], 0
        for number, message in inbox:
            replicas.step(now_s, number, message)
        self._proposals.append(now_s, replicas)
        replicas.tick(now_s)
        await self._finish_iteration(replicas)

    async def _finish_iteration(
        self, replicas: _replica_set.ReplicaSet
    ) -> None:
        exclusion_reason = replicas.exclusion_reason
        iteration = replicas.prepare(self._storage.wal_bytes)
        self._links.send(iteration.early)
        if exclusion_reason is not None:
            raise exceptions.StorageError(
                exceptions.ErrorCode.FOLDER_EXCLUDED,
                f"{exclusion_reason}; move the data folder away, run "
                "`papayastall init` and start again: the replica recovers "
                "its data from the other replicas",
                step="raft",
            )
        started_s = clock.now_s()
        if iteration.needs_io:
            await self._run_in_thread(lambda: iteration.run(self._storage))
        now_s = clock.now_s()
        for resolved in replicas.finish(now_s, iteration):
            self._proposals.resolve(resolved)
        if now_s - started_s > self.settings.timings.heartbeat_s:
            self._hand_over_leadership(now_s, replicas)
        self._links.send(iteration.messages)
        self._update_counters(replicas)
        self._log_leader_changes(replicas)
        self._iteration_done.set()
        self._iteration_done = anyio.Event()

    def _hand_over_leadership(
        self, now_s: float, replicas: _replica_set.ReplicaSet
    ) -> None:
        """Transfer leadership to other voters, as the own disk is slow.

        A leader commits nothing while it writes, but sends enough heartbeats
        between its writes to prevent an election. The delay until the next
        transfer grows, so that several slow disks do not pass it around.
        """
        if now_s < self._may_hand_over_s:
            return
        own = self.settings.own_address
        led = [g for g in replicas.groups if g.replica.leader == own]
        for group in led:
            group.output.extend(group.replica.transfer_if_eligible(now_s))
        if led:
            self._may_hand_over_s = now_s + self._hand_over_delay_s
            self._hand_over_delay_s = min(
                2 * self._hand_over_delay_s,
                self.settings.timings.transfer_delay_max_s,
            )

    def _update_counters(self, replicas: _replica_set.ReplicaSet) -> None:
        elections = sum(
            group.replica.election_count for group in replicas.groups
        )
        syncs = self._storage.sync_count
        for counter, total, counted in (
            (metrics.Counter.ELECTIONS, elections, self._counted_elections),
            (metrics.Counter.FSYNCS, syncs, self._counted_syncs),
        ):
            if total > counted:
                self._counters.count(counter, total - counted)
        self._counted_elections, self._counted_syncs = elections, syncs

    def _log_leader_changes(self, replicas: _replica_set.ReplicaSet) -> None:
        for group in replicas.groups:
            leader = group.replica.leader
            before = self._leaders.get(group.number)
            if before == leader:
                continue
            self._leaders[group.number] = leader
            logs.log_change(
                logs.StateChange(
                    logs.ChangeKind.CONTROL,
                    f"group {group.number}",
                    before or "no leader",
                    leader or "no leader",
                    f"term {group.replica.term}",
                )
            )

    async def _transfer_leadership(self) -> None:
        """Transfer all leadership and send the remaining messages."""
        replicas = self._replicas
        if replicas is None:
            return
        now_s = clock.now_s()
        for group in replicas.groups:
            group.output.extend(group.replica.transfer(now_s))
        await self._finish_iteration(replicas)
        self._proposals.fail_all()

    def _fail(self, error: exceptions.PapayastallError) -> None:
        """Stop because of an error; waiting proposals and reads fail.

        The replicas can't go on in this process, because the content of the
        disk may be unknown.
        """
        self.failure = error
        self._proposals.fail_all()
        self._iteration_done.set()
        if self._on_failure is not None:
            self._on_failure(error)
