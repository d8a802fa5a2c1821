"""A virtual fleet of lease controllers, with clocks and links that fail.

Control is modelled by its guarantees: at most one replica has a lease at a
time, and it has every change that was accepted. The controllers are the real
ones.
"""

from __future__ import annotations

import collections
import collections.abc as cabc
import functools
import heapq
import itertools
import random

import msgspec

from papayastall.freshness import _controller
from papayastall.freshness import _messages
from papayastall.freshness import _sources

__all__ = ["LeaseFleet", "Network", "REVOCATION_S"]

REVOCATION_S = 5.0
TICK_S = 0.1
REPLY_TIMEOUT_S = 2.0
LEADER_LEASE_S = 0.9
"""Time for which a leader that lost its group still relies on its lease."""
LEADER_HEARD_S = 0.3
"""Time in which the replicas learn of a new leader."""
CHECK_S = 0.05
"""Interval at which the invariant is checked on all nodes."""
FETCH_RETRY_S = 0.4


class Network(msgspec.Struct):
    """Conditions of the network.

    :param max_delay_s: usual delay of a message.
    :param slow: share of the messages that take up to ``slow_s``.
    :param loss: share of the messages that are lost.
    :param spread_s: least and greatest time from the acceptance of a change
        until a node has it in force.
    :param keeps_late: whether replies count that arrive after their time-out.
    """

    max_delay_s: float = 0.02
    slow: float = 0.0
    slow_s: float = 3.0
    loss: float = 0.0
    spread_s: tuple[float, float] = (0.05, 0.6)
    keeps_late: bool = False


class _Node:
    """A node with a clock of its own.

    :ivar generation: number of the process; ticks and messages of an earlier
        one don't reach a later one.
    :ivar inbox: what a suspended process does once it goes on.
    """

    def __init__(self, fleet: LeaseFleet, number: int) -> None:
        self._fleet = fleet
        self.number = number
        self.address = f"10.0.{number >> 8}.{number & 255}:7000"
        self.drift = fleet.rng.uniform(-1e-3, 1e-3)
        self.offset_s = fleet.rng.uniform(0.0, 1e5)
        self.generation = 0
        self.index = 0
        self.is_suspended = False
        self.inbox: list[cabc.Callable[[], None]] = []
        self.leader: str | None = None
        self.topology = _sources.Topology()
        self.start()

    def start(self) -> None:
        """Start a process, which knows nothing."""
        self.generation += 1
        self.inbox.clear()
        self.controller = self._fleet.controller_type(
            self.address, REVOCATION_S, random.Random(self.number)
        )

    def now_s(self) -> float:
        """Return this node's clock, which goes on while it is suspended."""
        return self.offset_s + self._fleet.now_s * (1 + self.drift)

    def accepts_keys(self) -> bool:
        return self.controller.is_valid(self.now_s(), self.index)


class LeaseFleet:
    """Nodes that start together; the first ones are control replicas.

    :param controller_type: of the nodes; a test may plant a fault.
    :ivar cuts: pairs of sender and receiver whose messages are lost.
    :ivar without_config: nodes that get no configuration.
    :ivar latest: index of the last change.
    :ivar refused: number of checks at which each node refused keys.
    :ivar violations: nodes that accepted a key too late, and when.
    :ivar queries: number of queries to each node so far.
    :ivar sent: number of queries of each node so far.
    """

    def __init__(
        self,
        nodes: int,
        replicas: int,
        seed: int,
        network: Network | None = None,
        domains: int = 3,
        controller_type: type[
            _controller.LeaseController
        ] = _controller.LeaseController,
    ) -> None:
        self.rng = random.Random(seed)
        self.controller_type = controller_type
        self.now_s = 0.0
        self.network = network or Network()
        self.cuts: set[tuple[int, int]] = set()
        self.without_config: set[int] = set()
        self.latest = 0
        self.refused: collections.Counter[int] = collections.Counter()
        self.violations: list[tuple[float, int]] = []
        self.queries: collections.Counter[int] = collections.Counter()
        self.sent: collections.Counter[int] = collections.Counter()
        self._acknowledged: list[tuple[float, int]] = []
        self._overdue_index = 0
        self._events: list[tuple[float, int, cabc.Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.nodes = [_Node(self, number) for number in range(nodes)]
        self.replicas = self.nodes[:replicas]
        self._by_address = {node.address: node for node in self.nodes}
        self._set_topologies(domains)
        self.leader: _Node | None = None
        self._lease_ends: dict[int, float] = {}
        self._elect()
        for node in self.nodes:
            self._start(node)
        self._after(CHECK_S, self._check)

    def _set_topologies(self, domains: int) -> None:
        control = tuple(node.address for node in self.replicas)
        for node in self.nodes:
            domain = self.nodes[node.number % domains :: domains]
            node.topology = _sources.Topology(
                control,
                tuple(other.address for other in domain),
                len(self.nodes),
                node in self.replicas,
            )

    def _after(self, delay_s: float, act: cabc.Callable[[], None]) -> None:
        number = next(self._numbers)
        heapq.heappush(self._events, (self.now_s + delay_s, number, act))

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, act = heapq.heappop(self._events)
            act()
        self.now_s = end_s

    def _deliver(
        self, node: _Node, generation: int, act: cabc.Callable[[], None]
    ) -> None:
        """Do something on a node, once it runs."""
        if node.is_suspended:
            node.inbox.append(act)
        elif generation == node.generation:
            act()

    def _start(self, node: _Node) -> None:
        generation = node.generation
        first_s = self.rng.uniform(0.0, TICK_S)
        self._after(first_s, lambda: self._tick(node, generation))

    def _tick(self, node: _Node, generation: int) -> None:
        if generation != node.generation:
            return
        if node.is_suspended:
            node.inbox.append(lambda: self._tick(node, generation))
            return
        now_s = node.now_s()
        if self._has_lease(node):
            node.controller.note_leading(now_s, node.index)
        node.controller.update(node.topology, node.leader)
        for query in node.controller.tick(now_s, node.index):
            self._send(node, query)
        self._after(TICK_S, lambda: self._tick(node, generation))

    def _draw_delay_s(self, source: int, target: int) -> float | None:
        network = self.network
        if (source, target) in self.cuts or self.rng.random() < network.loss:
            return None
        if self.rng.random() < network.slow:
            return self.rng.uniform(0.0, network.slow_s)
        return self.rng.uniform(0.001, network.max_delay_s)

    def _send(self, node: _Node, query: _messages.Query) -> None:
        peer = self._by_address[query.peer]
        generation = node.generation
        self.queries[peer.number] += 1
        self.sent[node.number] += 1
        open_queries = {query.number}

        def give_up() -> None:
            if open_queries:
                open_queries.clear()
                node.controller.failed(node.now_s(), query)

        def receive(reply: _messages.Reply) -> None:
            if open_queries or self.network.keeps_late:
                open_queries.clear()
                node.controller.answered(node.now_s(), query, reply)

        def answer() -> None:
            reply = self._reply(peer)
            back_s = self._draw_delay_s(peer.number, node.number)
            if back_s is not None:
                self._after(
                    back_s,
                    lambda: self._deliver(
                        node, generation, lambda: receive(reply)
                    ),
                )

        self._after(
            REPLY_TIMEOUT_S, lambda: self._deliver(node, generation, give_up)
        )
        delay_s = self._draw_delay_s(node.number, peer.number)
        if delay_s is not None:
            started = peer.generation
            self._after(delay_s, lambda: self._deliver(peer, started, answer))

    def _reply(self, peer: _Node) -> _messages.Reply:
        if self._has_lease(peer):
            peer.controller.note_leading(peer.now_s(), peer.index)
            reply = _messages.Reply(peer.index, 0.0)
        else:
            reply = peer.controller.reply(peer.now_s())
        return _messages.decode_reply(_messages.encode_reply(reply))

    def _has_lease(self, node: _Node) -> bool:
        return self.now_s < self._lease_ends.get(node.number, 0.0)

    def lose_leader(
        self, duration_s: float, lease_s: float = LEADER_LEASE_S
    ) -> None:
        """Separate the leader from its group; elect another one later.

        :param lease_s: time for which it still relies on its lease.
        """
        if self.leader is None:
            return
        self._lease_ends[self.leader.number] = self.now_s + lease_s
        self.leader = None
        self._after(duration_s, self._elect)

    def _elect(self) -> None:
        """Elect a replica that has all changes, or try again later."""
        candidates = [
            node
            for node in self.replicas
            if not node.is_suspended and node.index == self.latest
        ]
        if not candidates:
            self._after(FETCH_RETRY_S, self._elect)
            return
        self.leader = self.rng.choice(candidates)
        self._lease_ends = {self.leader.number: float("inf")}
        address = self.leader.address
        for node in self.replicas:
            delay_s = self.rng.uniform(0.0, LEADER_HEARD_S)
            self._after(delay_s, functools.partial(_hear, node, address))

    def change(self, acknowledge_s: float = 0.0) -> None:
        """Accept a change that removes a key, if control has a leader."""
        if self.leader is None:
            return
        self.latest += 1
        self.leader.index = self.latest
        self._acknowledged.append((self.now_s + acknowledge_s, self.latest))
        for node in self.nodes:
            self._fetch(node)

    def _fetch(self, node: _Node) -> None:
        delay_s = self.rng.uniform(*self.network.spread_s)
        index = self.latest
        self._after(delay_s, lambda: self._put_in_force(node, index))

    def _put_in_force(self, node: _Node, index: int) -> None:
        if node.is_suspended or node.number in self.without_config:
            self._after(FETCH_RETRY_S, lambda: self._put_in_force(node, index))
        else:
            node.index = max(node.index, index)

    def suspend(self, node: _Node, duration_s: float) -> None:
        """Suspend a process; its clock goes on."""
        if not node.is_suspended:
            if node is self.leader:
                self.lose_leader(self.rng.uniform(1.2, 2.5))
            node.is_suspended = True
            self._after(duration_s, lambda: self._resume(node))

    def _resume(self, node: _Node) -> None:
        node.is_suspended = False
        self._check_node(node)
        inbox, node.inbox = node.inbox, []
        for act in inbox:
            act()

    def restore(self, node: _Node, index: int) -> None:
        """Restart a node with an older configuration."""
        if node is not self.leader and not node.is_suspended:
            node.start()
            self._lease_ends.pop(node.number, None)
            node.index = min(node.index, index)
            self._fetch(node)
            self._start(node)

    def _check(self) -> None:
        while self._acknowledged:
            acknowledged_s, index = self._acknowledged[0]
            if acknowledged_s + REVOCATION_S >= self.now_s:
                break
            self._acknowledged.pop(0)
            self._overdue_index = max(self._overdue_index, index)
        for node in self.nodes:
            if not node.is_suspended:
                self._check_node(node)
        self._after(CHECK_S, self._check)

    def _check_node(self, node: _Node) -> None:
        if not node.accepts_keys():
            self.refused[node.number] += 1
        elif node.index < self._overdue_index:
            self.violations.append((self.now_s, node.number))


def _hear(node: _Node, leader: str) -> None:
    node.leader = leader
