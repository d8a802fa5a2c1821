"""Carries the datagrams of the membership protocol over UDP."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses

from papayastall import _membership
from papayastall import _membership_types as types

__all__ = ["Gossiper", "GossipCounters"]


@dataclasses.dataclass(slots=True)
class GossipCounters:
    """What went through the socket of a gossiper."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    bad_key: int = 0
    bad_format: int = 0


class Gossiper:
    """Runs a :class:`Membership` on a UDP socket.

    :param keys: secrets of the fleet; the first one signs, all verify.
    :param on_event: runs for each event of the membership, in order.
    """

    def __init__(
        self,
        membership: _membership.Membership,
        datagram_address: str,
        keys: cabc.Sequence[bytes],
        on_event: cabc.Callable[[types.MembershipEvent], None],
    ) -> None:
        raise NotImplementedError

    async def start(self) -> None:
        """Bind the socket and start the tasks that send and receive.

        :raises OSError: the address can't be bound.
        """
        raise NotImplementedError

    async def close(self) -> None:
        """Say goodbye to some members and close the socket."""
        raise NotImplementedError

    def send(self, actions: cabc.Iterable[types.MembershipAction]) -> None:
        """Carry out actions of a direct call to the membership."""
        raise NotImplementedError
