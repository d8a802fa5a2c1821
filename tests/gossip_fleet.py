"""Membership nodes on an in-memory network with faults and fake time."""

from __future__ import annotations

import collections
import collections.abc as cabc
import dataclasses
import heapq
import random

from papayastall import _gossip_codec
from papayastall import _membership
from papayastall import _membership_types as types

__all__ = ["DOMAINS", "GossipFleet", "address_of"]

KEY = b"test key"
START_BOOT_MS = 1_700_000_000_000
DATAGRAMS_BEFORE_TICK = 2
DOMAINS = ("a", "b", "c")


def address_of(number: int) -> str:
    """Return the link and datagram address of a numbered node."""
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000"


def domain_of(address: str) -> str:
    """Return the failure domain of the node with an address."""
    _, high, middle, low = address.partition(":")[0].split(".")
    number = int(high) << 16 | int(middle) << 8 | int(low)
    return DOMAINS[number % len(DOMAINS)]


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that the network injects.

    :param loss: probability that a datagram is lost.
    :param duplicate: probability that a datagram is sent twice.
    :param cuts: pairs of source and target without any delivery.
    """

    loss: float = 0.0
    duplicate: float = 0.0
    min_delay_s: float = 0.001
    max_delay_s: float = 0.005
    cuts: set[tuple[str, str]] = dataclasses.field(default_factory=set)


class GossipFleet:
    """Numbered nodes that start, pause, stop and exchange datagrams.

    :param with_codec: encode and decode every datagram.
    :ivar far_bytes: sent to nodes of other failure domains.
    """

    def __init__(self, seed: int, with_codec: bool = True) -> None:
        self.now_s = 100.0
        self.rng = random.Random(seed)
        self.faults = Faults()
        self.nodes: dict[str, _membership.Membership] = {}
        self.paused: set[str] = set()
        self.events: dict[str, list[types.MembershipEvent]] = (
            collections.defaultdict(list)
        )
        self.sent: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.received_bytes: collections.Counter[str] = collections.Counter()
        self.far_bytes = 0
        self._with_codec = with_codec
        self._queue: list[tuple[float, int, str, str, bytes]] = []
        self._unencoded: dict[int, types.Datagram] = {}
        self._undelivered: dict[str, list[tuple[str, types.Datagram]]] = (
            collections.defaultdict(list)
        )
        self._count = 0
        self._ticks: list[tuple[float, int, str, _membership.Membership]] = []

    def start(
        self,
        number: int,
        seeds: cabc.Iterable[int] = (0, 1, 2),
        boot_shift_ms: int = 0,
    ) -> _membership.Membership:
        """Start a node, or restart it as a new process."""
        address = address_of(number)
        settings = _membership.MembershipSettings(
            address,
            address,
            DOMAINS[number % len(DOMAINS)],
            START_BOOT_MS + int(self.now_s * 1000) + boot_shift_ms,
            tuple(address_of(seed) for seed in seeds),
        )
        rng = random.Random(self.rng.random())
        node = _membership.Membership(settings, rng, self.now_s)
        self.nodes[address] = node
        self.paused.discard(address)
        self._undelivered.pop(address, None)
        offset_s = self.rng.uniform(0, _membership.TICK_INTERVAL_S)
        self._push_tick(self.now_s + offset_s, address, node)
        return node

    def kill(self, number: int) -> None:
        """End a node without any notice to the others."""
        self.nodes.pop(address_of(number), None)

    def pause(self, number: int) -> None:
        """Pause a process; its socket still buffers datagrams."""
        self.paused.add(address_of(number))

    def resume(self, number: int) -> None:
        """Resume a paused process.

        It receives some of the buffered datagrams, runs its timers, and then
        receives the rest.
        """
        address = address_of(number)
        if address not in self.paused:
            return
        self.paused.discard(address)
        undelivered = self._undelivered.pop(address, [])
        for source, datagram in undelivered[:DATAGRAMS_BEFORE_TICK]:
            self._receive(source, address, datagram)
        self._act(address, self.nodes[address].tick(self.now_s))
        for source, datagram in undelivered[DATAGRAMS_BEFORE_TICK:]:
            self._receive(source, address, datagram)

    def act(
        self, number: int, actions: cabc.Iterable[types.MembershipAction]
    ) -> None:
        """Carry out the actions that a call to a node returned."""
        self._act(address_of(number), actions)

    def run(self, duration_s: float) -> None:
        """Advance the time and run what is due until then."""
        end_s = self.now_s + duration_s
        while True:
            tick_s = self._ticks[0][0] if self._ticks else end_s
            datagram_s = self._queue[0][0] if self._queue else end_s
            if min(tick_s, datagram_s) >= end_s:
                break
            if tick_s <= datagram_s:
                self._tick()
            else:
                self._deliver()
        self.now_s = end_s

    def run_until(
        self, condition: cabc.Callable[[], bool], limit_s: float
    ) -> float:
        """Run until the condition holds; return the seconds it took."""
        start_s = self.now_s
        while not condition():
            if self.now_s - start_s > limit_s:
                raise AssertionError(f"not within {limit_s} s")
            self.run(0.1)
        return self.now_s - start_s

    def view(self, address: str) -> dict[str, types.MemberState]:
        """Return the live members and their states as a node sees them."""
        return {
            member.address: member.state
            for member in self.nodes[address].members()
        }

    def _push_tick(
        self, time_s: float, address: str, node: _membership.Membership
    ) -> None:
        self._count += 1
        heapq.heappush(self._ticks, (time_s, self._count, address, node))

    def _tick(self) -> None:
        self.now_s, _, address, node = heapq.heappop(self._ticks)
        if self.nodes.get(address) is not node:
            return
        self._push_tick(
            self.now_s + _membership.TICK_INTERVAL_S, address, node
        )
        if address not in self.paused:
            self._act(address, node.tick(self.now_s))

    def _act(
        self, address: str, actions: cabc.Iterable[types.MembershipAction]
    ) -> None:
        for action in actions:
            if isinstance(action, types.SendDatagram):
                self._send(address, action)
            else:
                self.events[address].append(action)

    def _send(self, address: str, action: types.SendDatagram) -> None:
        target = action.datagram_address
        data = b""
        self.sent[address] += 1
        if self._with_codec:
            data = _gossip_codec.encode(action.datagram, KEY)
            self.sent_bytes[address] += len(data)
            if domain_of(address) != domain_of(target):
                self.far_bytes += len(data)
        faults = self.faults
        if (address, target) in faults.cuts:
            return
        copies = 2 if self.rng.random() < faults.duplicate else 1
        for _ in range(copies):
            if self.rng.random() < faults.loss:
                continue
            delay_s = self.rng.uniform(faults.min_delay_s, faults.max_delay_s)
            self._count += 1
            if not self._with_codec:
                self._unencoded[self._count] = action.datagram
            heapq.heappush(
                self._queue,
                (self.now_s + delay_s, self._count, address, target, data),
            )

    def _deliver(self) -> None:
        self.now_s, count, source, target, data = heapq.heappop(self._queue)
        if target not in self.nodes:
            self._unencoded.pop(count, None)
            return
        self.received_bytes[target] += len(data)
        if self._with_codec:
            datagram = _gossip_codec.decode(data, [KEY])
        else:
            datagram = self._unencoded.pop(count)
        if target in self.paused:
            self._undelivered[target].append((source, datagram))
        else:
            self._receive(source, target, datagram)

    def _receive(
        self, source: str, target: str, datagram: types.Datagram
    ) -> None:
        node = self.nodes[target]
        self._act(target, node.receive(self.now_s, datagram, source))
