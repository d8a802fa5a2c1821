"""Config services and membership of a fleet, on virtual time.

The services are the real ones. Datagrams pass the network of
:mod:`tests.gossip_fleet`; calls pass links that open on demand.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import itertools
import random
import selectors
import typing as t

import anyio
import anyio.abc
import msgspec
import pytest

from papayastall import _config
from papayastall import _config_service
from papayastall import _control_calls
from papayastall import _control_commands as commands
from papayastall import _membership_types as types
from papayastall import _peering
from papayastall import _route_state
from papayastall import clock
from papayastall import exceptions
from papayastall import route_table
from tests import fake_peering
from tests import gossip_fleet
from tests import route_helpers

__all__ = ["Conditions", "ConfigFleet", "Order", "run_virtually"]

STEP_S = 0.01
"""Interval at which datagrams are delivered."""
LINK_DELAY_S = 0.002
OPERATOR_PAUSE_S = 0.2
"""Pause after a first failed call; each further one is longer."""
OPERATOR_PAUSE_GROWTH = 2.0
OPERATOR_CALL_S = 1.0
"""Time after which an operator gives a call up."""
MAX_ANSWERS_LOST = 2
"""Answers to one change that are lost in a row; with three, more than 3 s
pass without any answer."""
RESTART_INTERVAL_S = 0.3
"""Time between the ends of two processes that are restarted."""
DOWN_S = 0.8
"""Time from the end of a process to its next start."""
START_S = 15.0
"""Time after which the members know each other and have their config."""


class _VirtualSelector(selectors.DefaultSelector):
    """Advances the loop's time instead of waiting."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[t.Any]:
        assert timeout is not None, "all tasks wait for nothing"
        self.now_s += max(0.0, timeout)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now_s


def run_virtually(
    body: cabc.Coroutine[t.Any, t.Any, None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Run a coroutine on virtual time, which the product's clock shows."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        monkeypatch.setattr(clock, "now_s", runner.get_loop().time)
        runner.run(body)


class Conditions(msgspec.Struct, frozen=True):
    """Conditions of the network.

    :param loss: share of the datagrams that are lost.
    :param transfer_s: time in which a table passes a link.
    :param silent: share of the nodes to which calls are lost, although
        their own messages arrive.
    :param suspended: share of the nodes, none of them control replicas,
        that are suspended when a change is ordered.
    :param restarts: whether nodes other than control replicas end without
        notice and start again all the time.
    :param lost_answers: share of the answers to the operator that are lost.
    :param commit_s: time that control needs to accept a change.
    """

    loss: float = 0.0
    transfer_s: float = 0.02
    silent: float = 0.0
    suspended: float = 0.0
    restarts: bool = False
    lost_answers: float = 0.0
    commit_s: float = 0.0


class Order(msgspec.Struct):
    """What became of a change that an operator ordered.

    :ivar acknowledged_s: time from the order to its acknowledgement.
    :ivar answers: time of the end of each call, and what ended it.
    """

    acknowledged_s: float = 0.0
    answers: list[tuple[float, str]] = msgspec.field(default_factory=list)


class _Leader:
    """Control leader that always has a lease."""

    async def propose(
        self, group: int, command: bytes, timeout_s: float
    ) -> bytes:
        raise NotImplementedError

    async def read_barrier(self, group: int, timeout_s: float) -> None:
        return

    def leader(self, group: int) -> str | None:
        return None


class _GroupClient(_control_calls.GroupClient):
    """Commits a change of routes at once on all replicas of the fleet."""

    fleet: ConfigFleet

    async def call(
        self,
        channel: _peering.Channel,
        group: int,
        command: commands.Command,
        timeout_s: float,
    ) -> commands.Result:
        change = command.change_routes
        assert change is not None
        index = self.fleet.accepted.get(change.digest)
        state = commands.RoutesState.ALREADY_APPLIED
        if index is None:
            await anyio.sleep(self.fleet.conditions.commit_s)
            index = await self.fleet.change_routes()
            self.fleet.accepted[change.digest] = index
            state = commands.RoutesState.APPLIED
        return commands.Result(routes=commands.RoutesResult(state, index))


class _Node(fake_peering.FakePeering):
    """One node: its config service and its end of the links."""

    def __init__(self, fleet: ConfigFleet, number: int) -> None:
        self.address = gossip_fleet.address_of(number)
        super().__init__(fleet.network, self.address)
        self.linked: set[str] = set()
        self._fleet = fleet
        self._number = number
        rng = random.Random(number)
        group_client = _GroupClient(self.address, self, fleet.control, rng)
        group_client.fleet = fleet
        self.config = _config_service.ConfigService(
            self.address,
            self,
            group_client,
            fleet.control,
            self._list_others,
            self._put_in_force,
            rng,
            member_poll=self,
        )
        if number == 0:
            self.config.use_host(_Leader())
        self.started_s = clock.now_s()
        self._scope: anyio.CancelScope | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process runs, neither ended nor suspended."""
        return self._scope is not None

    async def start(self) -> None:
        """Run the process, from its start or from where it was suspended."""
        scope = self._scope = anyio.CancelScope()
        self.started_s = clock.now_s()
        with scope:
            async with anyio.create_task_group() as tasks:
                await self.config.start(tasks)
                await anyio.sleep_forever()

    def stop(self) -> None:
        """Suspend the process, or end it."""
        if self._scope is not None:
            self._scope.cancel()
        self._scope = None

    def list_behind(self, index: int) -> list[str]:
        return self._fleet.gossip.nodes[self.address].list_behind(index)

    def poll_behind(self, index: int) -> None:
        membership = self._fleet.gossip.nodes[self.address]
        self._fleet.gossip.act(self._number, membership.poll_behind(index))

    def _list_others(self) -> list[str]:
        members = self._fleet.gossip.nodes[self.address].members()
        return [m.address for m in members if m.address != self.address]

    def _put_in_force(
        self, index: int, changed: list[_config_service.ConfigItem]
    ) -> None:
        self._fleet.in_force_s[self.address] = clock.now_s()
        membership = self._fleet.gossip.nodes[self.address]
        actions = membership.set_config_index(index)
        self._fleet.gossip.act(self._number, actions)

    def is_connected(self, peer: str) -> bool:
        is_silent = peer in self._fleet.silent
        is_running = self._fleet.nodes[peer].is_running
        return peer in self.linked and is_running and not is_silent

    async def _connect(self, node: _Node) -> None:
        await anyio.sleep(2 * LINK_DELAY_S)
        if node.is_running and node.address not in self._fleet.silent:
            self.linked.add(node.address)
            node.linked.add(self.address)

    async def call(
        self,
        peer: str,
        channel: _peering.Channel,
        body: bytes,
        timeout_s: float,
    ) -> bytes:
        with anyio.move_on_after(timeout_s):
            return await self._call(peer, channel, body)
        raise exceptions.UnreachableError(
            exceptions.ErrorCode.LINK_FAILED, "no answer", step="call"
        )

    async def _call(
        self, peer: str, channel: _peering.Channel, body: bytes
    ) -> bytes:
        node = self._fleet.nodes[peer]
        if peer in self._fleet.silent or not node.is_running:
            await anyio.sleep_forever()
        if peer not in self.linked:
            await self._connect(node)
        await anyio.sleep(LINK_DELAY_S)
        node.config.observe(self.address, self.config.index)
        answer = await node._calls[channel](self.address, body)
        if not node.is_running:
            await anyio.sleep_forever()
        await anyio.sleep(LINK_DELAY_S)
        if not commands.codec.decode(_config.FetchDocuments, body).confirm:
            await anyio.sleep(self._fleet.transfer_s)
        self.config.observe(peer, node.config.index)
        return answer


class ConfigFleet:
    """Nodes that start together; the first ones are control replicas.

    :ivar in_force_s: when each node last put a change in force.
    :ivar silent: addresses to which calls are lost.
    :ivar transfer_s: time in which a table passes a link at present.
    :ivar accepted: index of each accepted change, by its digest.
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        nodes: int,
        control: int,
        seed: int,
        conditions: Conditions,
    ) -> None:
        self.network = fake_peering.Network(tasks)
        self.tasks = tasks
        self.conditions = conditions
        self.rng = random.Random(seed)
        self.gossip = gossip_fleet.GossipFleet(seed, with_codec=False)
        self.control = tuple(
            gossip_fleet.address_of(number) for number in range(control)
        )
        self.in_force_s: dict[str, float] = {}
        self.silent: set[str] = set()
        self.transfer_s = 0.0
        self.accepted: dict[str, int] = {}
        for number in range(nodes):
            self.gossip.start(number)
        self.nodes: dict[str, _Node] = {}
        for number in range(nodes):
            node = _Node(self, number)
            self.nodes[node.address] = node
        self._numbers = {
            gossip_fleet.address_of(number): number for number in range(nodes)
        }
        self._suspended: set[str] = set()
        self._handled = dict.fromkeys(self.nodes, 0)
        self._version = 0

    async def start(self) -> None:
        """Start all nodes and wait until they know each other."""
        self.tasks.start_soon(self._run_gossip)
        for node in self.nodes.values():
            self.tasks.start_soon(node.start)
        await anyio.sleep(START_S)
        await self.change_routes()
        await anyio.sleep(START_S)
        assert all(node.config.is_ready() for node in self.nodes.values())
        self.gossip.faults.loss = self.conditions.loss
        self.transfer_s = self.conditions.transfer_s
        others = sorted(set(self.nodes) - {self.control[0]})
        count = int(self.conditions.silent * len(self.nodes))
        self.silent.update(self.rng.sample(others, count))
        self.drop_links()
        if self.conditions.restarts:
            self.tasks.start_soon(self._run_restarts)

    @property
    def version(self) -> int:
        """Version of the last change."""
        return self._version

    def cut_datagrams(self, number: int) -> str:
        """Lose all datagrams to a node from now on; return its address."""
        address = gossip_fleet.address_of(number)
        cuts = {(other, address) for other in self.nodes}
        self.gossip.faults.cuts |= cuts
        return address

    def drop_links(self) -> None:
        """Close all links, as between nodes without common work."""
        for node in self.nodes.values():
            node.linked.clear()

    async def change_routes(self, replicas: int | None = None) -> int:
        """Put a change in force on the control replicas, as the log does.

        :param replicas: how many of them apply it; by default all.
        :returns: its index.
        """
        self._version += 1
        table = route_helpers.make_table(
            self._version, route_helpers.make_route()
        )
        document = commands.DocumentText(
            name=_route_state.ROUTES_NAME,
            revision=self._version,
            digest=str(self._version),
            floor_slots=0,
            text=route_table.encode_table(table),
        )
        stored = [_config.IndexedDocument(self._version, document)]
        self.in_force_s.clear()
        for address in self.control[:replicas]:
            self.nodes[address].config.note_applied(self._version, stored)
            await anyio.sleep(LINK_DELAY_S)
        return self._version

    async def order_change(self, limit_s: float) -> None:
        """Send a change as an operator does, until it is acknowledged.

        The operator sends it again to another replica after an error.

        :param limit_s: time within which it must be acknowledged.
        """
        change = route_table.PatchTable(self._version, self._version + 1)
        with anyio.fail_after(limit_s):
            for address in itertools.cycle(self.control):
                try:
                    await self.nodes[address].config.change_routes(change)
                except exceptions.UnreachableError:
                    await anyio.sleep(OPERATOR_PAUSE_S)
                else:
                    return

    async def order_as_operator(self) -> Order:
        """Send a change until its acknowledgement arrives.

        The operator gives a call up after a second, and goes on to another
        control replica after a pause, which is longer each time.
        """
        order = Order()
        started_s = clock.now_s()
        change = route_table.PatchTable(self._version, self._version + 1)
        pause_s = OPERATOR_PAUSE_S
        lost = 0
        replicas = self.rng.sample(self.control, len(self.control))
        for address in itertools.cycle(replicas):
            call_s = clock.now_s()
            kind = "no answer"
            with anyio.move_on_after(OPERATOR_CALL_S):
                try:
                    await self.nodes[address].config.change_routes(change)
                    kind = "acknowledged"
                except exceptions.UnreachableError:
                    kind = "error"
            is_lost = (
                lost < MAX_ANSWERS_LOST
                and self.rng.random() < self.conditions.lost_answers
            )
            if is_lost:
                lost += 1
                kind += ", lost"
                await anyio.sleep(call_s + OPERATOR_CALL_S - clock.now_s())
            order.answers.append((clock.now_s() - started_s, kind))
            if kind == "acknowledged":
                break
            await anyio.sleep(pause_s)
            pause_s *= OPERATOR_PAUSE_GROWTH
        order.acknowledged_s = clock.now_s() - started_s
        return order

    def suspend_some(self) -> None:
        """Resume the nodes that are suspended, and suspend others."""
        for address in sorted(self._suspended):
            self.gossip.resume(self._numbers[address])
            self.tasks.start_soon(self.nodes[address].start)
        others = sorted(set(self.nodes) - {*self.control, *self._suspended})
        count = int(self.conditions.suspended * len(self.nodes))
        self._suspended = set(self.rng.sample(others, count))
        for address in self._suspended:
            self.suspend(address)

    def suspend(self, address: str) -> None:
        """Suspend a node."""
        self.gossip.pause(self._numbers[address])
        self.nodes[address].stop()

    async def _run_restarts(self) -> None:
        others = sorted(set(self.nodes) - set(self.control))
        while True:
            running = [a for a in others if self.nodes[a].is_running]
            self.tasks.start_soon(self._restart, self.rng.choice(running))
            await anyio.sleep(RESTART_INTERVAL_S)

    async def _restart(self, address: str) -> None:
        number = self._numbers[address]
        self.nodes[address].stop()
        self.gossip.kill(number)
        for node in self.nodes.values():
            node.linked.discard(address)
        await anyio.sleep(DOWN_S)
        self.gossip.start(number)
        node = self.nodes[address] = _Node(self, number)
        await node.start()

    def find_stale(self, running_s: float) -> list[str]:
        """Return the nodes that would serve without the last change.

        :param running_s: only nodes that have run for so long.
        """
        start_s = clock.now_s() - running_s
        return [
            address
            for address in self.find_missing()
            if self.nodes[address].is_running
            and self.nodes[address].started_s <= start_s
        ]

    def find_missing(self) -> list[str]:
        """Return the nodes on which the last change is not in force."""
        return [
            address
            for address, node in self.nodes.items()
            if node.config.index < self._version
        ]

    async def _run_gossip(self) -> None:
        while True:
            await anyio.sleep(STEP_S)
            self.gossip.run(STEP_S)
            for address, node in self.nodes.items():
                events = self.gossip.events[address]
                for event in events[self._handled[address] :]:
                    if not node.is_running:
                        break
                    if isinstance(event, types.PeerConfigIndex):
                        node.config.observe(event.address, event.config_index)
                self._handled[address] = len(events)
