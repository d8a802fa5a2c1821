"""Which peers a node asks for the latest configuration."""

from __future__ import annotations

import collections.abc as cabc
import enum

import msgspec
import xxhash

__all__ = ["Role", "Sources", "Topology"]

MAX_NODES_PER_REPLICA = 32
"""Nodes for each control replica above which not all nodes ask control."""
MAX_NODES_PER_RELAY = 16
"""With 32, a relay sends 8 KB/s; a node may spend 7 KB/s on control."""
MIN_RELAYS_PER_DOMAIN = 2
AVOID_S = 2.0
"""Time for which a peer is not asked that did not answer, or that knew less
than this node; doubled each time that it happens again."""
MAX_AVOID_S = 16.0
AVOID_OLD_S = 0.3
"""The same for a peer whose knowledge was old, as that of all peers is during
a change of control's leader."""


class _Avoided(msgspec.Struct):
    """Peers that are asked only if there is no better one.

    :ivar until_s: until when, by peer.
    """

    until_s: dict[str, float] = msgspec.field(default_factory=dict)

    def has(self, now_s: float, peer: str) -> bool:
        return now_s < self.until_s.get(peer, now_s)


class Role(enum.Enum):
    """Position of a node on the way from control's leader."""

    REPLICA = "replica"
    """Asks the leader."""
    RELAY = "relay"
    """Asks a control replica, for other nodes of its failure domain too."""
    NODE = "node"
    """Asks a control replica, or in a large fleet a relay."""


class Topology(msgspec.Struct, frozen=True):
    """The fleet as membership sees it.

    :param control: addresses of the other control replicas.
    :param domain: addresses of the other live members in the node's own
        failure domain.
    :param members: number of live members, with this node.
    :param is_replica: whether this node hosts a control replica.
    """

    control: tuple[str, ...] = ()
    domain: tuple[str, ...] = ()
    members: int = 1
    is_replica: bool = False


class Sources:
    """Chooses the peer for each query.

    Each node has its own order of peers, so that their load is even. It
    asks the first one that is not avoided. If all are, it asks in turn those
    that answer, and then all peers that it knows.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self.role = Role.NODE
        self._topology: Topology | None = None
        self._control: list[str] = []
        self._preferred: list[str] = []
        self._known: list[str] = []
        self._leader: str | None = None
        self._useless = _Avoided()
        self._old = _Avoided()
        self._avoid_s: dict[str, float] = {}
        self._turn = 0

    def update(self, topology: Topology, leader: str | None) -> None:
        """Use a changed view of the fleet.

        :param leader: leader of control, if a replica on this node knows it.
        """
        leader = None if leader == self._node else leader
        if leader is not None and leader != self._leader:
            self.use(leader)
        self._leader = leader
        if topology == self._topology:
            return
        self._topology = topology
        control = [peer for peer in topology.control if peer != self._node]
        self._control = _order(self._node, control)
        domain = [peer for peer in topology.domain if peer != self._node]
        self._known = list(dict.fromkeys((*self._control, *domain)))
        self._set_role(topology, control, domain)
        for peer in [*self._useless.until_s, *self._old.until_s]:
            if peer not in self._known:
                self.use(peer)

    def _set_role(
        self, topology: Topology, control: list[str], domain: list[str]
    ) -> None:
        self._preferred = self._control
        self.role = Role.NODE
        if topology.is_replica:
            self.role = Role.REPLICA
        elif topology.members > MAX_NODES_PER_REPLICA * max(1, len(control)):
            relays = _choose_relays([*domain, self._node], control)
            if self._node in relays:
                self.role = Role.RELAY
            else:
                self._preferred = _order(self._node, relays)

    def choose(
        self, now_s: float, asked: cabc.Collection[str], alternative: bool
    ) -> str | None:
        """Return the peer to ask, or ``None`` if there is none.

        :param asked: peers that have not answered yet.
        :param alternative: ask the known peers in turn.
        """
        preferred = [] if alternative else self._preferred
        if self._leader is not None and not alternative:
            preferred = [self._leader, *preferred]
        usable = [
            peer
            for peer in preferred
            if peer not in asked and not self._useless.has(now_s, peer)
        ]
        for peer in usable:
            if not self._old.has(now_s, peer):
                return peer
        if usable:
            return self._take_turn(usable)
        others = [peer for peer in self._known if peer not in asked]
        answering = [
            peer for peer in others if not self._useless.has(now_s, peer)
        ]
        return self._take_turn(answering or others)

    def _take_turn(self, peers: cabc.Sequence[str]) -> str | None:
        self._turn += 1
        return peers[self._turn % len(peers)] if peers else None

    def avoid(self, now_s: float, peer: str) -> None:
        """Prefer other peers, as this one did not answer or knew little."""
        avoid_s = self._avoid_s.get(peer, AVOID_S)
        self._avoid_s[peer] = min(2 * avoid_s, MAX_AVOID_S)
        self._useless.until_s[peer] = now_s + avoid_s

    def avoid_old(self, now_s: float, peer: str) -> None:
        """Prefer other peers for a moment, as the knowledge here was old."""
        self._old.until_s[peer] = now_s + AVOID_OLD_S

    def use(self, peer: str) -> None:
        """Stop avoiding a peer."""
        self._avoid_s.pop(peer, None)
        self._useless.until_s.pop(peer, None)
        self._old.until_s.pop(peer, None)


def _choose_relays(domain: list[str], control: list[str]) -> list[str]:
    """Return the relays of a failure domain, the same ones on each node."""
    candidates = sorted(set(domain) - set(control), key=_hash)
    count = -(-len(candidates) // MAX_NODES_PER_RELAY)
    return candidates[: max(MIN_RELAYS_PER_DOMAIN, count)]


def _order(node: str, peers: cabc.Iterable[str]) -> list[str]:
    return sorted(peers, key=lambda peer: _hash(f"{node} {peer}"))


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
