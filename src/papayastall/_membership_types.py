"""Records, datagrams, events and actions of the membership protocol."""

from __future__ import annotations

import enum

import msgspec

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
    "LeafRecords",
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
    "boot_ms_of",
]

BOOT_SHIFT = 16
"""Bits of an incarnation below its boot time in milliseconds."""


class MemberState(enum.IntEnum):
    """State of a member; the higher value wins within one incarnation."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


def boot_ms_of(incarnation: int) -> int:
    """Return the boot time, in Unix milliseconds, of an incarnation."""
    return incarnation >> BOOT_SHIFT


class MemberRecord(msgspec.Struct, frozen=True):
    """An update about one member, as datagrams carry it.

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


class AdvertRecord(msgspec.Struct, frozen=True):
    """An owner's advert of one service, as datagrams carry it.

    :param slots: slots of all its upstreams of the service; 0 withdraws the
        advert.
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


class Ping(msgspec.Struct, frozen=True):
    """Asks the receiver for an :class:`Ack` of the same sequence."""

    sequence: int


class Ack(msgspec.Struct, frozen=True):
    """Answers a ping, directly or relayed by a helper."""

    sequence: int


class PingRequest(msgspec.Struct, frozen=True):
    """Asks a helper to ping the target, given by its datagram address."""

    sequence: int
    target: str


class Nack(msgspec.Struct, frozen=True):
    """A helper's report that the target did not answer it either."""

    sequence: int


class Gossip(msgspec.Struct, frozen=True):
    """Carries records only."""


class BranchDigests(msgspec.Struct, frozen=True):
    """Starts an anti-entropy exchange with the digest of every branch."""

    digests: tuple[int, ...]


class LeafDigests(msgspec.Struct, frozen=True):
    """The digests of all leaves of a branch whose digest differs."""

    branch: int
    digests: tuple[int, ...]


class LeafRecords(msgspec.Struct, frozen=True):
    """Carries the sender's records of leaves whose digests differ.

    :param leaves: numbers of the leaves.
    :param wants_reply: whether the receiver is to send its own records of
        these leaves in return.
    """

    leaves: tuple[int, ...]
    wants_reply: bool


class PageRequest(msgspec.Struct, frozen=True):
    """Asks for the records from the cursor on."""

    cursor: int


class Page(msgspec.Struct, frozen=True):
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
    | LeafRecords
    | PageRequest
    | Page
)


class Datagram(msgspec.Struct, frozen=True):
    """One message between two nodes.

    :param sender: link address of the sender.
    :param config_index: index of the config in force on the sender.
    :param digest: digest of the sender's whole member table.
    :param known_index: highest config index that the sender has received, if
        it is above its own; else 0.
    :param known_holder: link address of a member with that index.
    """

    sender: str
    incarnation: int
    config_index: int
    digest: int
    records: tuple[Record, ...]
    body: Body
    known_index: int = 0
    known_holder: str = ""


class Member(msgspec.Struct):
    """What this node knows about one member.

    :param config_index: index of the config in force there, according to
        its latest datagram to this node.
    :param answers: whether it answered this node's latest probe directly,
        not through a helper.
    """

    address: str
    datagram_address: str
    incarnation: int
    failure_domain: str
    state: MemberState
    suspecters: tuple[str, ...] = ()
    config_index: int = 0
    answers: bool = True


class MemberJoined(msgspec.Struct, frozen=True):
    """A member is new, back, or restarted under its old address."""

    address: str
    failure_domain: str
    restarted: bool


class MemberLeft(msgspec.Struct, frozen=True):
    """A member is leaving, has left or is dead, according to ``state``."""

    address: str
    state: MemberState


class MemberSuspect(msgspec.Struct, frozen=True):
    """A member is suspected; it may still refute that."""

    address: str


class MemberRefuted(msgspec.Struct, frozen=True):
    """A suspected member has refuted the suspicion."""

    address: str


class AdvertChanged(msgspec.Struct, frozen=True):
    """An owner's advert changed; 0 slots mean that it is withdrawn."""

    advert: _decision_types.OwnerAdvert


class PeerConfigIndex(msgspec.Struct, frozen=True):
    """A peer has a config in force with a higher index than this node."""

    address: str
    config_index: int


class SendDatagram(msgspec.Struct, frozen=True):
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
