"""Calls from any node to the leader of a replicated group."""

from __future__ import annotations

import collections.abc as cabc
import random
import typing as t

import anyio

from papayastall import _control_commands as commands
from papayastall import _control_state
from papayastall import _peering
from papayastall import clock
from papayastall import exceptions

__all__ = [
    "GroupClient",
    "GroupHost",
    "GroupServer",
    "GroupState",
    "ObserveSlots",
]

ATTEMPT_TIMEOUT_S = 0.5
PROPOSE_TIMEOUT_S = 2.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4

_Code = exceptions.ErrorCode
_State = commands.GroupCallState

GroupState = _control_state.ControlState | _control_state.ClaimGroupState
ObserveSlots = cabc.Callable[[str], dict[str, int]]
"""Returns the healthy slots of a service by live owner."""


class GroupHost(t.Protocol):
    """Interface of the local replicas; see `_replica.ReplicaHost`."""

    async def propose(
        self, group: int, command: bytes, timeout_s: float
    ) -> bytes:
        """Commit a command and return its result."""

    async def read_barrier(self, group: int, timeout_s: float) -> None:
        """Wait until the local state holds everything committed so far."""

    def leader(self, group: int) -> str | None:
        """Return the address of the leader, if known.

        Once the replicas have stopped, none is known.
        """


class GroupServer:
    """Commits commands on a control replica for other nodes.

    :param states: state machines, indexed by group number.
    :param observe_slots: healthy slots of a service's owners according to
        membership.
    :param clock_s: monotonic clock in seconds.
    """

    def __init__(
        self,
        peering: _peering.Peering,
        host: GroupHost,
        states: cabc.Sequence[GroupState],
        observe_slots: ObserveSlots | None = None,
        clock_s: cabc.Callable[[], float] = clock.now_s,
    ) -> None:
        self._host = host
        self._states = states
        self._observe_slots = observe_slots
        self._clock_s = clock_s
        self._clocks = [_control_state.ReplicatedClock() for _ in states]
        for channel in (
            _peering.Channel.CONTROL,
            _peering.Channel.CLAIM,
            _peering.Channel.PERMIT,
        ):
            peering.handle_calls(channel, self._receive)

    async def _receive(self, _peer: str, body: bytes) -> bytes:
        call = commands.codec.decode(commands.GroupCall, body)
        return commands.codec.encode(await self.call(call))

    async def call(self, call: commands.GroupCall) -> commands.GroupAnswer:
        """Commit a command, or return the state and leader if that fails."""
        if not self._is_valid(call):
            return _make_answer(_State.REFUSED)
        entry = commands.codec.encode(self._make_entry(call))
        try:
            data = await self._host.propose(
                call.group, entry, PROPOSE_TIMEOUT_S
            )
        except exceptions.OutcomeUnknownError:
            return _make_answer(_State.OUTCOME_UNKNOWN)
        except exceptions.BadInputError:
            return _make_answer(_State.REFUSED)
        except exceptions.PapayastallError as error:
            leader = error.peer if error.code is _Code.NOT_LEADER else None
            return _make_answer(_State.NOT_LEADER, leader=leader)
        result = commands.codec.decode(commands.Result, data)
        return _make_answer(_State.APPLIED, result)

    def leader(self, group: int) -> str | None:
        """Return the leader that the local replica follows, if any."""
        return self._host.leader(group)

    def _is_valid(self, call: commands.GroupCall) -> bool:
        if call.command.version > commands.DEFLATED_COMMAND_VERSION:
            return False
        if not 0 <= call.group < len(self._states):
            return False
        command = call.command
        control_parts = (
            command.apply_documents,
            command.report_upstreams,
            command.ask_permit,
            command.change_routes,
        )
        claim_parts = (
            command.claim,
            command.record_outcome,
            command.release_claim,
        )
        parts = control_parts if call.group == 0 else claim_parts
        others = claim_parts if call.group == 0 else control_parts
        if any(part is not None for part in others):
            return False
        return sum(part is not None for part in parts) == 1

    def _make_entry(self, call: commands.GroupCall) -> commands.LogEntry:
        state = self._states[call.group]
        time_ms = self._clocks[call.group].read(self._clock_s(), state.time_ms)
        return commands.LogEntry(
            commands.COMMAND_VERSION,
            time_ms,
            call.command,
            self._list_reduced_owners(state, call.command),
        )

    def _list_reduced_owners(
        self, state: GroupState, command: commands.Command
    ) -> tuple[commands.ObservedSlots, ...]:
        """Return owners with fewer healthy slots than in the permit table."""
        ask = command.ask_permit
        if ask is None or self._observe_slots is None:
            return ()
        assert isinstance(state, _control_state.ControlState)
        held = state.permits.count_slots_by_owner(ask.service_name)
        seen = self._observe_slots(ask.service_name)
        return tuple(
            commands.ObservedSlots(owner, seen.get(owner, 0))
            for owner, slots in held.items()
            if seen.get(owner, 0) < slots
        )


class GroupClient:
    """Sends commands to the leader of their group, from any node.

    Every command may be sent again, since the state machines recognize a
    repeated one.

    :param control: addresses of the control replicas.
    """

    def __init__(
        self,
        node: str,
        peering: _peering.Peering,
        control: cabc.Sequence[str],
        rng: random.Random,
    ) -> None:
        self._node = node
        self._peering = peering
        self._control = list(control)
        self._rng = rng
        self._local: GroupServer | None = None
        self._leaders: dict[int, str] = {}

    async def call(
        self,
        channel: _peering.Channel,
        group: int,
        command: commands.Command,
        timeout_s: float,
    ) -> commands.Result:
        """Return the result of a committed command.

        :raises papayastall.exceptions.BadInputError: control refused the
            command.
        :raises papayastall.exceptions.UnreachableError: no result arrived
            in time; the command may be committed, and may be sent again.
        """
        call = commands.GroupCall(commands.COMMAND_VERSION, group, command)
        with anyio.move_on_after(timeout_s):
            return await self._call_until_answered(channel, call)
        raise exceptions.UnreachableError(
            _Code.NO_LEADER,
            "control gave no answer in time; sending it again is safe",
            step=channel.name.lower(),
        )

    async def _call_until_answered(
        self, channel: _peering.Channel, call: commands.GroupCall
    ) -> commands.Result:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            peer = self._choose_replica(call.group)
            answer = await self._call_once(channel, peer, call)
            match answer:
                case commands.GroupAnswer(result=result) if result:
                    self._leaders[call.group] = peer
                    return result
                case commands.GroupAnswer(state=_State.REFUSED):
                    raise exceptions.BadInputError(
                        _Code.BAD_REQUEST,
                        "control refuses the command: too large, or of "
                        "another version; upgrade control first",
                        step=channel.name.lower(),
                        peer=peer,
                    )
                case commands.GroupAnswer(leader=leader) if leader:
                    if leader != peer:
                        self._leaders[call.group] = leader
                        backoff_s = min(backoff_s, INITIAL_BACKOFF_S)
                case _:
                    self._leaders.pop(call.group, None)
            await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    def use_local(self, server: GroupServer) -> None:
        """Use the server of this node, which is a control replica."""
        self._local = server

    def set_control(self, addresses: cabc.Sequence[str]) -> None:
        """Set the control replicas to call."""
        self._control = list(addresses)

    def _choose_replica(self, group: int) -> str:
        """Return the leader, or a replica that may name it.

        A replica on this node follows a new leader before any answer names
        it.
        """
        leader = None
        if self._local is not None:
            leader = self._local.leader(group)
        leader = leader or self._leaders.get(group)
        return leader or self._rng.choice(self._control)

    async def _call_once(
        self, channel: _peering.Channel, peer: str, call: commands.GroupCall
    ) -> commands.GroupAnswer | None:
        if peer == self._node and self._local is not None:
            return await self._local.call(call)
        body = commands.codec.encode(call)
        try:
            data = await self._peering.call(
                peer, channel, body, ATTEMPT_TIMEOUT_S
            )
            return commands.codec.decode(commands.GroupAnswer, data)
        except exceptions.PapayastallError:
            return None


def _make_answer(
    state: commands.GroupCallState,
    result: commands.Result | None = None,
    leader: str | None = None,
) -> commands.GroupAnswer:
    return commands.GroupAnswer(
        commands.COMMAND_VERSION, state, result, leader
    )
