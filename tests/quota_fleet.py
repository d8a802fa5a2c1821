"""A fleet of quota controllers in virtual time, without a network."""

from __future__ import annotations

import collections
import collections.abc as cabc
import functools
import heapq
import itertools
import random

import msgspec

from papayastall import exceptions
from papayastall.quotas import _bounds
from papayastall.quotas import _client
from papayastall.quotas import _controller
from papayastall.quotas import _leases
from papayastall.quotas import _messages
from papayastall.quotas import _seats

TICK_S = 0.1
IDLE_TICK_S = 0.3
BOUNDS = _bounds.Bounds()


class Request(msgspec.Struct):
    """A request and what became of it; ``code`` is ``None`` if it ran."""

    team: str
    node: str
    sent_s: float
    decided_s: float | None = None
    code: exceptions.ErrorCode | None = None
    retry_after_s: float = 0.0
    is_own: bool = False


class Node(msgspec.Struct):
    """One process: its controller and its faults.

    :param is_ready: whether it has joined; before, it has no configuration
        and takes no requests.
    """

    address: str
    domain: str
    controller: _controller.Controller
    life: int
    is_ready: bool = False
    paused_until_s: float = 0.0
    limits: dict[str, _messages.Limits] = msgspec.field(default_factory=dict)


class Fleet:
    """Nodes, the network between them, and virtual time.

    :ivar cuts: pairs of sender and receiver whose messages are lost.
    :ivar sent: counts of messages by kind, and their bytes.
    """

    def __init__(self, count: int, seed: int, domains: int = 3) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.cuts: set[tuple[str, str]] = set()
        self.requests: list[Request] = []
        self.sent: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.node_bytes: collections.Counter[str] = collections.Counter()
        self._numbers = itertools.count()
        self._lives = itertools.count(1)
        self._events: list[tuple[float, int, cabc.Callable[[], None]]] = []
        self._open: dict[tuple[int, int], Request] = {}
        self.limits: dict[str, _messages.Limits] = {}
        self.members = {
            f"10.0.{number // 250}.{number % 250}:7400": f"d{number % domains}"
            for number in range(count)
        }
        self.nodes: dict[str, Node] = {}
        for address in self.members:
            self.start(address)

    # Faults and changes

    def start(self, address: str) -> None:
        """Start the process of a node; it knows its members after 1 s."""
        life = next(self._lives)
        controller = _controller.Controller(
            address,
            BOUNDS,
            self.now_s,
            lambda team: random.Random(f"{life} {team}").random(),
            is_founder=len(self.members) == 1,
        )
        node = Node(address, self.members[address], controller, life)
        node.limits = dict(self.limits)
        self.nodes[address] = node
        controller.set_members(self.now_s, {address: node.domain})
        delay_s = self.rng.uniform(0.3, 1.0)
        self.after(delay_s, lambda: self.learn(node, self.members))
        self.after(self.rng.uniform(0.0, TICK_S), lambda: self._tick(node))

    def kill(self, address: str) -> None:
        """End the process of a node."""
        self.nodes[address].life = 0

    def pause(self, address: str, time_s: float) -> None:
        """Suspend the process of a node."""
        self.nodes[address].paused_until_s = self.now_s + time_s

    def isolate(self, *parts: cabc.Collection[str]) -> None:
        """Cut all messages between the parts."""
        self.cuts = {
            (first, second)
            for part, other in itertools.permutations(parts, 2)
            for first in part
            for second in other
        }

    def learn(self, node: Node, members: dict[str, str]) -> None:
        """Let a node know other members from now on."""

        def set_members() -> None:
            node.is_ready = True
            node.controller.set_members(self.now_s, dict(members))

        self._at(node, set_members)

    def set_limits(
        self, team: str, rate_per_s: float, burst: float, version: int
    ) -> None:
        """Bring limits into force within half a second."""
        limits = _messages.Limits(rate_per_s, burst, version)
        self.limits[team] = limits
        for node in self.nodes.values():
            self.after(
                self.rng.uniform(0.0, 0.5),
                functools.partial(self._limit, node, {team: limits}),
            )

    def _limit(self, node: Node, limits: dict[str, _messages.Limits]) -> None:
        node.limits.update(limits)
        node.controller.set_limits(self.now_s, limits)

    def stop(self, address: str) -> None:
        """Begin the planned stop of a node."""
        node = self.nodes[address]
        self._perform(node, node.controller.stop(self.now_s))

    def holder(self, team: str) -> str:
        """Return the node that holds a team; "" if there is none."""
        slot = _seats.slot_of(team)
        holders = [
            node.address
            for node in self.nodes.values()
            if node.life
            and node.controller.leases.holds_since(self.now_s, slot)
            is not None
        ]
        assert len(holders) <= 1, (self.now_s, team, holders)
        return "".join(holders)

    # Requests

    def send(self, team: str, address: str, at_s: float) -> None:
        """Send a request to a node at a time."""
        self.after(at_s - self.now_s, lambda: self._send(team, address))

    def send_evenly(
        self, team: str, per_s: float, begin_s: float, end_s: float
    ) -> None:
        """Send requests at equal intervals to random nodes."""
        addresses = list(self.members)
        for number in range(int((end_s - begin_s) * per_s)):
            address = self.rng.choice(addresses)
            self.send(team, address, begin_s + number / per_s)

    def _send(self, team: str, address: str) -> None:
        node = self.nodes[address]
        if not node.life or not node.is_ready:
            return
        request = Request(team, address, self.now_s)
        self.requests.append(request)
        number = next(self._numbers)
        self._open[node.life, number] = request
        self._at(node, lambda: self._admit(node, team, number))

    def _admit(self, node: Node, team: str, number: int) -> None:
        self._perform(
            node,
            node.controller.admit(self.now_s, team, node.limits[team], number),
        )

    # Time and messages

    def after(self, delay_s: float, event: cabc.Callable[[], None]) -> None:
        """Run an event after a delay."""
        due_s = self.now_s + max(0.0, delay_s)
        heapq.heappush(self._events, (due_s, next(self._numbers), event))

    def run(self, until_s: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
        self.now_s = until_s

    def _at(self, node: Node, event: cabc.Callable[[], None]) -> None:
        """Run an event at a node: later if it is paused, never if killed."""
        if self.now_s < node.paused_until_s:
            self.after(
                node.paused_until_s - self.now_s,
                lambda: self._at(node, event),
            )
        elif node.life:
            event()

    def _tick(self, node: Node) -> None:
        if not node.life:
            return

        def tick() -> None:
            if node.limits:
                self._perform(node, node.controller.tick(self.now_s))
            is_seat = node.controller.leases.is_seat()
            tick_s = TICK_S if is_seat else IDLE_TICK_S
            self.after(tick_s, lambda: self._tick(node))

        self._at(node, tick)

    def _transmit(
        self, sender: str, peer: str, kind: str, size: int, event: object
    ) -> None:
        assert callable(event)
        if sender != peer:
            self.sent[kind] += 1
            self.sent_bytes[kind] += size
            self.node_bytes[sender] += size
            self.node_bytes[peer] += size
        if (sender, peer) in self.cuts or peer not in self.nodes:
            return
        delay_s = 0.0 if sender == peer else self.rng.uniform(3e-4, 1e-3)
        node = self.nodes[peer]
        self.after(delay_s, lambda: self._at(node, event))

    def _perform(
        self, node: Node, actions: cabc.Sequence[_controller.Action]
    ) -> None:
        for action in actions:
            match action:
                case _client.Admit() | _client.Refuse():
                    self._decide(node, action)
                case _client.SendAsk():
                    self.after(
                        action.delay_s,
                        functools.partial(self._ask, node, action),
                    )
                case _leases.SendTo(peer, message):
                    self._cast(node, peer, message)
                case _client.SendReturn(peer, message):
                    self._cast(node, peer, message)
                case _leases.LeaseChange(gained=gained):
                    self.sent["takeovers"] += len(gained)

    def _decide(
        self, node: Node, decision: _client.Admit | _client.Refuse
    ) -> None:
        request = self._open.pop((node.life, decision.request_id))
        request.decided_s = self.now_s
        match decision:
            case _client.Admit():
                request.is_own = decision.is_own
            case _client.Refuse():
                request.code = decision.code
                request.retry_after_s = decision.retry_after_s

    def _cast(self, node: Node, peer: str, message: _messages.Message) -> None:
        body = _messages.encode(message)
        sender = node.address

        def receive() -> None:
            target = self.nodes[peer]
            self._perform(
                target,
                target.controller.receive(
                    self.now_s, sender, _messages.decode(body)
                ),
            )

        self._transmit(
            sender, peer, type(message).__name__, len(body), receive
        )

    def _ask(self, node: Node, action: _client.SendAsk) -> None:
        def answered(answer: _messages.Answer | None) -> None:
            if not node.life:
                return
            self._perform(
                node,
                node.controller.answered(self.now_s, action.ask_id, answer),
            )

        self.after(
            action.timeout_s, lambda: self._at(node, lambda: answered(None))
        )
        self._call(node.address, action.peer, action.ask, answered)

    def _call(
        self,
        sender: str,
        peer: str,
        ask: _messages.Ask,
        answered: cabc.Callable[[_messages.Answer], None],
    ) -> None:
        def receive() -> None:
            node = self.nodes[peer]
            answer, holder = node.controller.ask(self.now_s, ask)
            if holder:
                passed = msgspec.structs.replace(ask, forwards=False)
                self._call(
                    peer,
                    holder,
                    passed,
                    lambda known: reply(
                        msgspec.structs.replace(known, holder="")
                    ),
                )
                return
            reply(answer)

        def reply(answer: _messages.Answer) -> None:
            size = len(_messages.encode(answer))
            self._transmit(
                peer, sender, "Answer", size, lambda: answered(answer)
            )

        size = len(_messages.encode(ask))
        self._transmit(sender, peer, "Ask", size, receive)

    # Results

    def ran(self, team: str) -> list[float]:
        """Return the times at which requests of a team were let run."""
        return sorted(
            request.decided_s
            for request in self.requests
            if request.team == team
            and request.code is None
            and request.decided_s is not None
        )

    def count_codes(self, team: str, begin_s: float = 0.0) -> dict[str, int]:
        """Return how many requests ran or were refused, by code."""
        return dict(
            collections.Counter(
                "ran" if request.code is None else request.code.value
                for request in self.requests
                if request.team == team and request.sent_s >= begin_s
            )
        )

    def check_bound(
        self, team: str, limits: _messages.Limits, begin_s: float = 0.0
    ) -> int:
        """Check each window; return the most that ran in one."""
        quota = limits.rate_per_s * BOUNDS.window_s + limits.burst
        most = 0
        times = collections.deque[float]()
        for time_s in self.ran(team):
            if time_s < begin_s:
                continue
            times.append(time_s)
            while time_s - times[0] > BOUNDS.window_s:
                times.popleft()
            most = max(most, len(times))
        assert most <= quota + BOUNDS.margin(limits), (most, quota)
        return most
