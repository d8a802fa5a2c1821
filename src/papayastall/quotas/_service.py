"""Quotas of teams at one node: holder, voter and ingress."""

from __future__ import annotations

import collections.abc as cabc
import math

import anyio
import anyio.abc
import msgspec
import xxhash

from papayastall import _peering
from papayastall import clock
from papayastall import exceptions
from papayastall import logs
from papayastall import metrics
from papayastall.quotas import _bounds
from papayastall.quotas import _client
from papayastall.quotas import _controller
from papayastall.quotas import _leases
from papayastall.quotas import _messages

__all__ = ["Quotas"]

TICK_INTERVAL_S = 0.1
IDLE_TICK_INTERVAL_S = 0.3
"""The same at nodes without a seat, which only return tokens."""
MEMBERS_INTERVAL_S = 0.5
FIRST_TABLE_S = 10.0
"""Time in which a node that starts may still get older tables than those in
force; quotas that come then are not new."""
MAX_COUNTED_TEAMS = 64
OTHER_TEAMS = "other"
"""Counts all teams beyond the first ``MAX_COUNTED_TEAMS``."""
FORWARD_TIMEOUT_S = 0.1
_Code = exceptions.ErrorCode
Limits = _messages.Limits


class _Waiter(msgspec.Struct):
    """A request that waits; ``decision`` is there once it is decided."""

    decided: anyio.Event
    decision: _client.Admit | _client.Refuse | None = None


class Quotas:
    """Counts requests against quotas; implements ``ingress.TeamQuotas``.

    :param address: link address of this node.
    :param list_members: returns the failure domains of all members by
        address, also of dead ones, but not of those that left.
    :param boot_ms: differs after each start of this node.
    :param is_founder: whether this node may be the only one.
    """

    def __init__(
        self,
        address: str,
        peering: _peering.Peering,
        bounds: _bounds.Bounds,
        list_members: cabc.Callable[[], dict[str, str]],
        counters: metrics.Metrics,
        boot_ms: int = 0,
        is_founder: bool = True,
    ) -> None:
        self._address = address
        self._peering = peering
        self._bounds = bounds
        self._list_members = list_members
        self._counters = counters
        self._boot_ms = boot_ms
        self._controller = _controller.Controller(
            address, bounds, clock.now_s(), self._find_phase, is_founder
        )
        self._limits: cabc.Mapping[str, Limits] = {}
        self._table_s = math.inf
        self._free_until_s = -math.inf
        self._waiters: dict[int, _Waiter] = {}
        self._next_id = 1
        self._counted: set[str] = set()
        self._is_undecided = False
        self._started = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None
        peering.handle_calls(_peering.Channel.QUOTA, self._receive_ask)
        peering.handle_casts(_peering.Channel.QUOTA, self._receive_cast)

    def set_limits(self, limits: cabc.Mapping[str, Limits]) -> None:
        """Use the quotas by team of the table that has come into force."""
        now_s = clock.now_s()
        had_table = now_s >= self._table_s + FIRST_TABLE_S
        if limits and not self._limits and had_table:
            # No team had a quota, so no node holds any yet. A new quota is
            # binding one window after all nodes have it.
            self._free_until_s = now_s + self._bounds.window_s
        self._table_s = min(self._table_s, now_s)
        self._limits = limits
        self._controller.set_limits(now_s, limits)
        if limits:
            self._started.set()

    def count_held(self) -> int:
        """Return the number of slots that this node holds."""
        return len(self._controller.leases.held(clock.now_s()))

    async def admit(self, team: str, deadline_s: float) -> None:
        """Count a request, which is about to be forwarded.

        :raises papayastall.exceptions.RefusedError: the quota is used up,
            or this node can't tell.
        """
        limits = self._limits.get(team)
        now_s = clock.now_s()
        if limits is None or now_s < self._free_until_s:
            return
        request_id = self._next_id
        self._next_id += 1
        waiter = self._waiters[request_id] = _Waiter(anyio.Event())
        try:
            self._perform(
                self._controller.admit(now_s, team, limits, request_id)
            )
            if waiter.decision is None:
                left_s = min(deadline_s - now_s, _bounds.ASK_LIMIT_S * 2.0)
                with anyio.move_on_after(max(0.0, left_s)):
                    await waiter.decided.wait()
        finally:
            del self._waiters[request_id]
            if waiter.decision is None:
                self._controller.cancel(team, request_id)
        if waiter.decision is None:
            self._count(metrics.Counter.QUOTA_UNDECIDED, team)
        self._raise_refusal(team, waiter.decision)

    async def run(self) -> None:
        """Hold, vote, and return tokens until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            members_due_s = -math.inf
            while True:
                now_s = clock.now_s()
                if now_s >= members_due_s:
                    members_due_s = now_s + MEMBERS_INTERVAL_S
                    self._controller.set_members(now_s, self._list_members())
                if self._limits:
                    self._perform(self._controller.tick(now_s))
                    is_seat = self._controller.leases.is_seat()
                    await anyio.sleep(
                        TICK_INTERVAL_S if is_seat else IDLE_TICK_INTERVAL_S
                    )
                else:
                    await self._wait_for_quotas()

    def stop(self) -> None:
        """Hand over what this node holds; it is about to stop."""
        self._perform(self._controller.stop(clock.now_s()))

    async def _wait_for_quotas(self) -> None:
        """Wait, as a voter only, until a table has quotas."""
        self._started = anyio.Event()
        with anyio.move_on_after(MEMBERS_INTERVAL_S):
            await self._started.wait()

    async def _receive_ask(self, _peer: str, body: bytes) -> bytes:
        message = _messages.decode(body)
        if not isinstance(message, _messages.Ask):
            raise exceptions.ProtocolError(
                _Code.BAD_FRAME, "not a question about a quota", step="quota"
            )
        answer, holder = self._controller.ask(clock.now_s(), message)
        if holder:
            answer = await self._forward(message, holder)
        return _messages.encode(answer)

    async def _forward(
        self, ask: _messages.Ask, holder: str
    ) -> _messages.Answer:
        """Ask a holder for a node that can't reach it."""
        ask = msgspec.structs.replace(ask, forwards=False)
        try:
            body = await self._peering.call(
                holder,
                _peering.Channel.QUOTA,
                _messages.encode(ask),
                FORWARD_TIMEOUT_S,
            )
        except exceptions.PapayastallError:
            # It may just have been lost; the sender asks again.
            return _messages.Answer(False)
        answer = _messages.decode_answer(body)
        return msgspec.structs.replace(answer, holder="")

    async def _receive_cast(self, peer: str, body: bytes) -> None:
        message = _messages.decode(body)
        self._perform(self._controller.receive(clock.now_s(), peer, message))

    def _note_change(self, change: _leases.LeaseChange) -> None:
        if change.gained:
            self._counters.count(
                metrics.Counter.QUOTA_TAKEOVERS, len(change.gained)
            )
        slots = change.gained or change.lost
        text = "slots " + ", ".join(map(str, slots))
        before, after = ("", text) if change.gained else (text, "")
        logs.log_change(
            logs.StateChange(
                logs.ChangeKind.QUOTA,
                self._address,
                before,
                after,
                change.cause,
            )
        )

    def _perform(self, actions: cabc.Iterable[_controller.Action]) -> None:
        for action in actions:
            match action:
                case _leases.LeaseChange():
                    self._note_change(action)
                case _leases.SendTo(peer, message):
                    self._cast(peer, message)
                case _client.Admit() | _client.Refuse():
                    self._decide(action)
                case _client.SendAsk():
                    assert self._tasks is not None, "not started"
                    self._tasks.start_soon(self._ask, action)
                case _client.SendReturn(peer, message):
                    self._cast(peer, message)

    def _decide(self, decision: _client.Admit | _client.Refuse) -> None:
        match decision:
            case _client.Admit(is_own=True):
                self._count(metrics.Counter.QUOTA_OWN, decision.team)
            case _client.Refuse(code=_Code.QUOTA_EXCEEDED):
                self._count(metrics.Counter.QUOTA_REFUSALS, decision.team)
            case _client.Refuse():
                self._count(metrics.Counter.QUOTA_UNDECIDED, decision.team)
        waiter = self._waiters.get(decision.request_id)
        if waiter is not None:
            waiter.decision = decision
            waiter.decided.set()

    async def _ask(self, action: _client.SendAsk) -> None:
        if action.delay_s:
            await anyio.sleep(action.delay_s)
        self._counters.count(metrics.Counter.QUOTA_ASKS)
        answer: _messages.Answer | None = None
        try:
            body = await self._peering.call(
                action.peer,
                _peering.Channel.QUOTA,
                _messages.encode(action.ask),
                action.timeout_s,
            )
            answer = _messages.decode_answer(body)
        except exceptions.PapayastallError:
            # The client asks another seat.
            answer = None
        self._perform(
            self._controller.answered(clock.now_s(), action.ask_id, answer)
        )

    def _raise_refusal(
        self, team: str, decision: _client.Admit | _client.Refuse | None
    ) -> None:
        """Raise unless a request was admitted.

        :raises papayastall.exceptions.RefusedError: it was not.
        """
        match decision:
            case _client.Admit(is_own=False):
                self._note_undecided(False)
                return
            case _client.Admit():
                self._note_undecided(True)
                return
            case _client.Refuse(code=_Code.QUOTA_EXCEEDED):
                self._note_undecided(False)
                raise exceptions.RefusedError(
                    decision.code,
                    f"team {team!r} has used its quota, summed over all "
                    "nodes; send less, or come back later",
                    step="quota",
                    retry_after_s=_round_up(decision.retry_after_s),
                )
        self._note_undecided(True)
        raise exceptions.RefusedError(
            _Code.QUOTA_UNDECIDED,
            f"the node that counts the requests of team {team!r} can't be "
            "reached from here; come back later, or ask another node",
            step="quota",
            retry_after_s=_client.UNDECIDED_RETRY_AFTER_S,
        )

    def _note_undecided(self, is_undecided: bool) -> None:
        if is_undecided == self._is_undecided:
            return
        self._is_undecided = is_undecided
        names = ["decided", "undecided"]
        cause = "a holder answered"
        if is_undecided:
            cause = "no holder of a team answered in time"
        logs.log_change(
            logs.StateChange(
                logs.ChangeKind.QUOTA,
                self._address,
                names[not is_undecided],
                names[is_undecided],
                cause,
            )
        )

    def _count(self, counter: metrics.Counter, team: str) -> None:
        if team not in self._counted:
            if len(self._counted) >= MAX_COUNTED_TEAMS:
                team = OTHER_TEAMS
            else:
                self._counted.add(team)
        self._counters.count(counter, service=team)

    def _cast(self, peer: str, message: _messages.Message) -> None:
        body = _messages.encode(message)
        if peer == self._address:
            assert self._tasks is not None, "not started"
            self._tasks.start_soon(self._receive_cast, peer, body)
        else:
            self._peering.cast(peer, _peering.Channel.QUOTA, body)

    def _find_phase(self, team: str) -> float:
        text = f"{self._address} {self._boot_ms} {team}"
        digest: int = xxhash.xxh3_64_intdigest(text.encode())
        return digest / 2.0**64


def _round_up(time_s: float) -> float:
    """Return a time that answers, which have hundredths, don't shorten."""
    return math.ceil(time_s * 100.0 - 1e-6) / 100.0
