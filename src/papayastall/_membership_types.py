"""Records, datagrams, events and actions of the membership protocol."""

from __future__ import annotations

import dataclasses
import enum

from papayastall import _decision_types

__all__ = [
    "BOOT_SHIFT",
    "Ack",
    "AdvertChanged",
    "AdvertRecord",
    "Body",
    "BranchDigests",
    "Datagram",
    "Gossip",
    "LeafDigests",
    "Leaves",
    "Member",
    "MemberJoined",
    "MemberLeft",
    "MemberRecord",
    "MemberRefuted",
    "MemberState",
    "MemberSuspect",
    "MembershipAction",
    "MembershipEvent",
    "Nack",
    "Page",
    "PageRequest",
    "PeerConfigIndex",
    "Ping",
    "PingRequest",
    "Record",
    "SendDatagram",
    "boot_of",
]

BOOT_SHIFT = 16
"""Bits of an incarnation below the boot time in milliseconds."""


class MemberState(enum.IntEnum):
    """State of a member; the higher wins within one incarnation."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


def boot_of(incarnation: int) -> int:
    """Return the boot time, in Unix milliseconds, of an incarnation."""
    return incarnation >> BOOT_SHIFT


@dataclasses.dataclass(slots=True, frozen=True)
class MemberRecord:
    """One statement about a member, as it travels.

    :param address: link address of the member, ``ip:port``.
    :param datagram_address: where it receives datagrams, ``ip:port``.
    :param incarnation: boot time in milliseconds shifted by
        :data:`BOOT_SHIFT`, plus the number of refutations since.
    :param suspecters: up to two nodes whose probes it did not answer.
    """

    address: str
    datagram_address: str
    incarnation: int
    failure_domain: str
    state: MemberState
    suspecters: tuple[str, ...] = ()

    @property
    def size_bytes(self) -> int:
        """Upper bound of the encoded size."""
        size_bytes = 48 + len(self.address) + len(self.datagram_address)
        size_bytes += len(self.failure_domain.encode())
        return size_bytes + sum(len(peer) for peer in self.suspecters)


@dataclasses.dataclass(slots=True, frozen=True)
class AdvertRecord:
    """What an owner offers of one service, as it travels.

    :param slots: of its upstreams of the service; 0 withdraws the advert.
    :param version: grows with each change of the owner's adverts; its
        upper bits are the owner's boot time, as in an incarnation.
    """

    owner: str
    service: str
    slots: int
    version: int

    @property
    def size_bytes(self) -> int:
        """Upper bound of the encoded size."""
        return 36 + len(self.owner) + len(self.service.encode())


Record = MemberRecord | AdvertRecord


@dataclasses.dataclass(slots=True, frozen=True)
class Ping:
    """Asks the receiver for an :class:`Ack` of the same sequence."""

    sequence: int


@dataclasses.dataclass(slots=True, frozen=True)
class Ack:
    """Answers a ping, directly or through a helper."""

    sequence: int


@dataclasses.dataclass(slots=True, frozen=True)
class PingRequest:
    """Asks a helper to ping the target, given by its datagram address."""

    sequence: int
    target: str


@dataclasses.dataclass(slots=True, frozen=True)
class Nack:
    """A helper's word that the target did not answer it either."""

    sequence: int


@dataclasses.dataclass(slots=True, frozen=True)
class Gossip:
    """Carries records only."""


@dataclasses.dataclass(slots=True, frozen=True)
class BranchDigests:
    """Opens an exchange: the digest of every branch of the table."""

    digests: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class LeafDigests:
    """The digest of every leaf of one branch that differs."""

    branch: int
    digests: tuple[int, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Leaves:
    """The sender's records of leaves that differ.

    :param wants_reply: whether the receiver sends its own in return.
    """

    leaves: tuple[int, ...]
    wants_reply: bool


@dataclasses.dataclass(slots=True, frozen=True)
class PageRequest:
    """Asks for the records from the cursor on."""

    cursor: int


@dataclasses.dataclass(slots=True, frozen=True)
class Page:
    """Records from the cursor on; ``next_cursor`` is -1 at the end."""

    cursor: int
    next_cursor: int


Body = (
    Ping
    | Ack
    | PingRequest
    | Nack
    | Gossip
    | BranchDigests
    | LeafDigests
    | Leaves
    | PageRequest
    | Page
)


@dataclasses.dataclass(slots=True, frozen=True)
class Datagram:
    """One message between two nodes.

    :param sender: link address of the sender.
    :param config_index: highest config index that the sender has seen.
    :param digest: digest of the sender's whole table.
    """

    sender: str
    incarnation: int
    config_index: int
    digest: int
    records: tuple[Record, ...]
    body: Body


@dataclasses.dataclass(slots=True)
class Member:
    """What this node knows of one member.

    :param config_index: highest config index heard from it directly.
    :param answers: whether it answered this node's latest probe.
    """

    address: str
    datagram_address: str
    incarnation: int
    failure_domain: str
    state: MemberState
    suspecters: tuple[str, ...] = ()
    config_index: int = 0
    answers: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class MemberJoined:
    """A member is new, back, or restarted under its old address."""

    address: str
    failure_domain: str
    restarted: bool


@dataclasses.dataclass(slots=True, frozen=True)
class MemberLeft:
    """A member is leaving, has left or is dead, as ``state`` tells."""

    address: str
    state: MemberState


@dataclasses.dataclass(slots=True, frozen=True)
class MemberSuspect:
    """Probes of this member failed; it may still refute that."""

    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class MemberRefuted:
    """A suspected member has shown that it is alive."""

    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class AdvertChanged:
    """An owner's offer changed; no slots mean that it is withdrawn."""

    advert: _decision_types.OwnerAdvert


@dataclasses.dataclass(slots=True, frozen=True)
class PeerConfigIndex:
    """A peer has seen a higher config index than this node."""

    address: str
    config_index: int


@dataclasses.dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send this datagram to this datagram address."""

    datagram_address: str
    datagram: Datagram


MembershipEvent = (
    MemberJoined
    | MemberLeft
    | MemberSuspect
    | MemberRefuted
    | AdvertChanged
    | PeerConfigIndex
)
MembershipAction = SendDatagram | MembershipEvent
