"""Calls to the replicated groups from any node, and their answering.

Every command may be sent again without harm: it names its claim's token,
its owner's sequence or its document's revision. A call therefore goes on
from replica to replica until its time is over.
"""

from __future__ import annotations

import collections.abc as cabc
import itertools
import random
import time
import typing as t

import anyio

from papayastall import _control_commands as commands
from papayastall import _peering
from papayastall import _replica
from papayastall import exceptions

__all__ = ["GroupClient", "GroupServer", "TimedMachine"]

ATTEMPT_TIMEOUT_S = 1.5
PAUSE_S = 0.05
MAX_PAUSE_S = 0.5

_State = commands.GroupCallState
_Code = exceptions.ErrorCode


class TimedMachine(_replica.StateMachine, t.Protocol):
    """A state machine that keeps the replicated clock."""

    @property
    def time_ms(self) -> int:
        """The clock's time in the last applied entry."""


class GroupClient:
    """Commits commands in the groups, wherever their leaders are.

    :param replicas: link addresses of the control replicas.
    """

    def __init__(
        self,
        peering: _peering.Peering,
        replicas: cabc.Sequence[str],
        rng: random.Random,
    ) -> None:
        self._peering = peering
        self._replicas = list(replicas)
        self._rng = rng
        self._leaders: dict[int, str] = {}

    async def call(
        self, group: int, command: commands.Command, timeout_s: float
    ) -> commands.Result:
        """Commit a command and return its result.

        :raises papayastall.exceptions.UnreachableError: no leader could be
            reached; the command is not committed.
        :raises papayastall.exceptions.OutcomeUnknownError: it may be.
        """
        call = commands.GroupCall(commands.COMMAND_VERSION, group, command)
        body = commands.codec.encode(call)
        deadline_s = time.monotonic() + timeout_s
        may_be_committed = False
        for number in itertools.count():
            answer = await self._ask(group, body, number, deadline_s)
            if answer is None or answer.state is _State.OUTCOME_UNKNOWN:
                may_be_committed = True
            elif answer.state is _State.APPLIED and answer.result:
                return answer.result
            pause_s = min(MAX_PAUSE_S, PAUSE_S * 2 ** min(number, 5))
            pause_s *= self._rng.uniform(0.5, 1.0)
            if time.monotonic() + pause_s >= deadline_s:
                break
            if answer is None or answer.leader is None:
                await anyio.sleep(pause_s)
        raise _no_leader(may_be_committed)

    async def _ask(
        self, group: int, body: bytes, number: int, deadline_s: float
    ) -> commands.GroupAnswer | None:
        """Ask one replica; ``None`` where it gave no answer."""
        replica = self._leaders.get(group)
        if replica is None:
            replica = self._rng.choice(self._replicas)
        timeout_s = min(ATTEMPT_TIMEOUT_S, deadline_s - time.monotonic())
        try:
            data = await self._peering.call(
                replica, _peering.Channel.CONTROL, body, timeout_s
            )
            answer = commands.codec.decode(commands.GroupAnswer, data)
        except exceptions.PapayastallError:
            self._leaders.pop(group, None)
            return None
        if answer.state is _State.NOT_LEADER and answer.leader != replica:
            self._note_leader(group, answer.leader)
        elif answer.state is not _State.APPLIED:
            self._leaders.pop(group, None)
        else:
            self._leaders[group] = replica
        return answer

    def _note_leader(self, group: int, leader: str | None) -> None:
        if leader in self._replicas:
            self._leaders[group] = leader
        else:
            self._leaders.pop(group, None)


def _no_leader(may_be_committed: bool) -> exceptions.PapayastallError:
    if may_be_committed:
        return exceptions.OutcomeUnknownError(
            _Code.NO_LEADER,
            "no answer from the control replicas; it may or may not be done; "
            "sending the same again is safe",
            step="control call",
        )
    return exceptions.UnreachableError(
        _Code.NO_LEADER,
        "no control replica leads at present; nothing was done; try again",
        step="control call",
    )


class GroupServer:
    """Answers calls on a control replica by proposing their commands."""

    def __init__(
        self,
        host: _replica.ReplicaHost,
        machines: cabc.Sequence[TimedMachine],
    ) -> None:
        self._host = host
        self._clocks = [_ReplicatedClock(machine) for machine in machines]

    def start(self, peering: _peering.Peering) -> None:
        """Take calls from now on."""
        peering.handle_calls(_peering.Channel.CONTROL, self._answer)

    async def _answer(self, _peer: str, body: bytes) -> bytes:
        call = commands.codec.decode(commands.GroupCall, body)
        answer = await self._propose(call)
        return commands.codec.encode(answer)

    async def _propose(self, call: commands.GroupCall) -> commands.GroupAnswer:
        version = commands.COMMAND_VERSION
        if not 0 <= call.group < len(self._clocks) or call.version > version:
            return commands.GroupAnswer(version, _State.REFUSED)
        entry = commands.LogEntry(
            version, self._clocks[call.group].read_ms(), call.command
        )
        try:
            data = await self._host.propose(
                call.group, commands.codec.encode(entry), ATTEMPT_TIMEOUT_S
            )
        except exceptions.OutcomeUnknownError:
            return commands.GroupAnswer(version, _State.OUTCOME_UNKNOWN)
        except exceptions.PapayastallError as error:
            return commands.GroupAnswer(
                version, _State.NOT_LEADER, leader=error.peer
            )
        result = commands.codec.decode(commands.Result, data)
        return commands.GroupAnswer(version, _State.APPLIED, result)


class _ReplicatedClock:
    """Time that goes on from the last applied entry, never faster."""

    def __init__(self, machine: TimedMachine) -> None:
        self._machine = machine
        self._base_ms = machine.time_ms
        self._seen_s = time.monotonic()

    def read_ms(self) -> int:
        """Return the time for the next entry."""
        now_s = time.monotonic()
        elapsed_ms = int((now_s - self._seen_s) * 1000)
        applied_ms = self._machine.time_ms
        if applied_ms > self._base_ms + elapsed_ms:
            # Another leader's entries moved the clock meanwhile.
            self._base_ms = applied_ms
            self._seen_s = now_s
            return applied_ms
        return self._base_ms + elapsed_ms
