"""Membership of the fleet by gossip, without I/O."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import random

from papayastall import _decision_types
from papayastall import _membership_types as types

__all__ = ["Membership", "MembershipSettings"]


@dataclasses.dataclass(slots=True, frozen=True)
class MembershipSettings:
    """Who this node is and whom it asks first.

    :param address: own link address, ``ip:port``.
    :param datagram_address: own address for datagrams, ``ip:port``.
    :param boot_ms: Unix time of this process's start, in milliseconds.
    :param seeds: datagram addresses of nodes to join through.
    """

    address: str
    datagram_address: str
    failure_domain: str
    boot_ms: int
    seeds: tuple[str, ...]


class Membership:
    """One node's part in the membership protocol.

    :param rng: own generator, seeded by the caller.
    """

    def __init__(
        self, settings: MembershipSettings, rng: random.Random, now_s: float
    ) -> None:
        raise NotImplementedError

    def tick(self, now_s: float) -> list[types.MembershipAction]:
        """Run what is due; call it every :data:`TICK_INTERVAL_S`."""
        raise NotImplementedError

    def receive(
        self, now_s: float, datagram: types.Datagram, source: str
    ) -> list[types.MembershipAction]:
        """Take a datagram that came from this datagram address."""
        raise NotImplementedError

    def set_adverts(
        self, now_s: float, adverts: cabc.Sequence[_decision_types.OwnerAdvert]
    ) -> list[types.MembershipAction]:
        """Replace all that this node offers."""
        raise NotImplementedError

    def set_config_index(self, config_index: int) -> None:
        """Tell peers from now on that this config index was seen."""
        raise NotImplementedError

    def leave(self, now_s: float) -> list[types.MembershipAction]:
        """Say that this node is leaving and withdraw its adverts."""
        raise NotImplementedError

    def depart(self, now_s: float) -> list[types.MembershipAction]:
        """Say goodbye; the node sends nothing more after this."""
        raise NotImplementedError

    def members(self) -> list[types.Member]:
        """Return the live members, this node among them."""
        raise NotImplementedError

    def adverts(self, service: str) -> list[_decision_types.OwnerAdvert]:
        """Return the offers of a service by live members."""
        raise NotImplementedError
