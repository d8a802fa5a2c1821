"""Renews the lease on the keys of one node and answers other nodes."""

from __future__ import annotations

import collections.abc as cabc
import random
import typing as t

import anyio
import anyio.abc
import msgspec

from papayastall import _peering
from papayastall import clock
from papayastall import exceptions
from papayastall import logs
from papayastall import metrics

# isort: split

from papayastall.freshness import _controller
from papayastall.freshness import _messages
from papayastall.freshness import _sources

__all__ = ["ConfigSource", "KeyLease", "LeaseHooks"]

TICK_INTERVAL_S = 0.1
TOPOLOGY_INTERVAL_S = 2.0
"""A view of 2,100 members takes 2 ms."""
REPLY_TIMEOUT_S = 2.0
"""Long, as a late reply counts as well."""
REFRESH_TIMEOUT_S = 0.3
"""Several round trips; a caller with an unknown key waits for this long."""
REFRESH_PAUSE_S = 0.25
"""Time after a refresh that brought nothing newer in which callers don't wait
for another one, so that a flood of unknown keys holds few requests."""


class ConfigSource(t.Protocol):
    """Interface to the configuration of a node."""

    @property
    def index(self) -> int:
        """Index of the configuration in force."""

    async def find_index_as_leader(self) -> int | None:
        """Return the latest index if the local replica leads control."""

    def note_latest(self, asked_s: float, index: int) -> None:
        """Record that no change above an index was known at a time."""

    def use_refresh(
        self, refresh: cabc.Callable[[float], cabc.Awaitable[None]]
    ) -> None:
        """Ask for the latest index by a function from now on."""


class LeaseHooks(msgspec.Struct, frozen=True):
    """Callbacks from the lease to the rest of the node.

    :param find_leader: returns control's leader, if a local replica knows
        it.
    :param describe_fleet: returns the fleet as membership sees it.
    """

    find_leader: cabc.Callable[[], str | None]
    describe_fleet: cabc.Callable[[], _sources.Topology]


class KeyLease:
    """The lease on the keys; implements :class:`ingress.KeyLease`.

    :param node: link address of this node.
    :param revocation_s: time after the acknowledgement of a change within
        which removed keys must be refused.
    """

    def __init__(
        self,
        node: str,
        revocation_s: float,
        peering: _peering.Peering,
        config: ConfigSource,
        hooks: LeaseHooks,
        rng: random.Random,
        counters: metrics.Metrics,
    ) -> None:
        self._node = node
        self._peering = peering
        self._config = config
        self._hooks = hooks
        self._counters = counters
        self._controller = _controller.LeaseController(node, revocation_s, rng)
        self._tasks: anyio.abc.TaskGroup | None = None
        self._renewed = anyio.Event()
        self._refresh_failed_s = float("-inf")
        self._topology_s = float("-inf")
        self._topology = _sources.Topology()
        peering.handle_calls(_peering.Channel.FRESHNESS, self._receive_query)
        config.use_refresh(self.refresh)

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the task that renews the lease."""
        self._tasks = tasks
        tasks.start_soon(self._run)

    def check(self) -> None:
        """Return if the keys in force here may be accepted at this moment.

        :raises papayastall.exceptions.RefusedError: a change that removed a
            key may have been acknowledged too long ago.
        """
        if self._controller.is_valid(clock.now_s(), self._config.index):
            return
        self._counters.count(metrics.Counter.KEYS_UNCONFIRMED)
        raise exceptions.RefusedError(
            exceptions.ErrorCode.KEYS_UNCONFIRMED,
            "this node has not heard from control recently, so a key may "
            "have been removed; come back or use another node",
            step="authenticate",
            retry_after_s=_controller.RETRY_AFTER_S,
        )

    def age_ms(self) -> float:
        """Return the age of the lease for the gauge; -1 without any."""
        age_s = self._controller.age_s(clock.now_s(), self._config.index)
        return -1.0 if age_s == float("inf") else round(age_s * 1000, 1)

    async def refresh(self, known_s: float) -> None:
        """Wait for knowledge that is as new as ``known_s``, for a while.

        Callers that wait at the same time share one query. A refresh that
        failed is not repeated at once.
        """
        if clock.now_s() - self._refresh_failed_s < REFRESH_PAUSE_S:
            return
        before = self._controller.newest
        with anyio.move_on_after(REFRESH_TIMEOUT_S):
            while not self._knows_since(known_s):
                if self._leads():
                    await self._note_leading()
                    if self._knows_since(known_s):
                        return
                self._send(self._controller.demand(clock.now_s()))
                await self._renewed.wait()
            return
        if self._controller.newest == before:
            self._refresh_failed_s = clock.now_s()

    def _knows_since(self, known_s: float) -> bool:
        newest = self._controller.newest
        return newest is not None and newest.known_s >= known_s

    def _leads(self) -> bool:
        return self._hooks.find_leader() == self._node

    async def _run(self) -> None:
        while True:
            now_s = clock.now_s()
            if now_s - self._topology_s >= TOPOLOGY_INTERVAL_S:
                self._topology_s = now_s
                self._topology = self._hooks.describe_fleet()
            self._controller.update(self._topology, self._hooks.find_leader())
            if self._leads():
                await self._note_leading()
            self._log_change()
            self._send(
                self._controller.tick(clock.now_s(), self._config.index)
            )
            await anyio.sleep(TICK_INTERVAL_S)

    async def _note_leading(self) -> bool:
        """Record the latest index if the local replica leads control."""
        asked_s = clock.now_s()
        index = await self._config.find_index_as_leader()
        if index is None:
            return False
        self._controller.note_leading(asked_s, index)
        self._note_renewed()
        return True

    def _send(self, queries: list[_messages.Query]) -> None:
        for query in queries:
            if self._tasks is None:
                self._controller.failed(clock.now_s(), query)
                continue
            self._tasks.start_soon(self._ask, query)

    async def _ask(self, query: _messages.Query) -> None:
        try:
            body = await self._peering.call(
                query.peer,
                _peering.Channel.FRESHNESS,
                _messages.encode_query(),
                REPLY_TIMEOUT_S,
            )
            reply = _messages.decode_reply(body)
        except exceptions.PapayastallError:
            # The controller asks another peer; a lease that ends is logged.
            self._controller.failed(clock.now_s(), query)
            return
        self._controller.answered(clock.now_s(), query, reply)
        self._note_renewed()

    def _note_renewed(self) -> None:
        newest = self._controller.newest
        if newest is not None:
            self._config.note_latest(newest.known_s, newest.index)
        self._log_change()
        self._renewed.set()
        self._renewed = anyio.Event()

    async def _receive_query(self, _peer: str, body: bytes) -> bytes:
        _messages.decode_query(body)
        if self._leads():
            asked_s = clock.now_s()
            index = await self._config.find_index_as_leader()
            if index is not None:
                # The lease was checked after the query had arrived, so the
                # knowledge is younger than the query.
                self._controller.note_leading(asked_s, index)
                return _messages.encode_reply(_messages.Reply(index, 0.0))
        return _messages.encode_reply(self._controller.reply(clock.now_s()))

    def _log_change(self) -> None:
        index = self._config.index
        change = self._controller.detect_change(clock.now_s(), index)
        if change is None:
            return
        newest = self._controller.newest
        known = "none" if newest is None else str(newest.index)
        cause = (
            f"index {index} in force was the latest {change.age_s:.1f} s "
            f"ago, highest known index {known}"
        )
        if change.is_valid and change.lapsed_s:
            cause += f"; no lease for {change.lapsed_s:.1f} s"
        elif not change.is_valid:
            cause += "; requests with a key are refused"
        state_names = {False: "unconfirmed", True: "confirmed"}
        logs.log_change(
            logs.StateChange(
                logs.ChangeKind.KEYS,
                self._node,
                state_names[not change.is_valid],
                state_names[change.is_valid],
                cause,
            )
        )
