"""Interface for messages between the subsystems of different nodes.

:class:`papayastall._links.Links` implements it; tests use a fake.
"""

from __future__ import annotations

import collections.abc as cabc
import enum
import typing as t

__all__ = ["CallHandler", "CastHandler", "Channel", "Peering"]


class Channel(enum.IntEnum):
    """The subsystem that a message is for; its number on the wire."""

    RAFT = 1
    CONTROL = 2
    CONFIG = 3
    SUSPECT = 4
    CLAIM = 5
    PERMIT = 6
    HISTOGRAM = 7
    OPERATOR = 8
    QUOTA = 9
    FRESHNESS = 10


CastHandler = cabc.Callable[[str, bytes], cabc.Coroutine[t.Any, t.Any, None]]
"""Takes the sender's link address and the body of a one-way message."""
CallHandler = cabc.Callable[[str, bytes], cabc.Coroutine[t.Any, t.Any, bytes]]
"""Takes the sender's link address and the call's body; returns the answer."""


class Peering(t.Protocol):
    """Messages to other nodes, addressed by their link address ``ip:port``."""

    def handle_casts(self, channel: Channel, handler: CastHandler) -> None:
        """Register the handler of a channel's one-way messages."""

    def handle_calls(self, channel: Channel, handler: CallHandler) -> None:
        """Register the handler that answers a channel's calls."""

    def is_connected(self, peer: str) -> bool:
        """Return whether a link to the peer is open."""

    def cast(self, peer: str, channel: Channel, body: bytes) -> None:
        """Send a one-way message; dropped if the link is down or full."""

    async def call(
        self, peer: str, channel: Channel, body: bytes, timeout_s: float
    ) -> bytes:
        """Send a call and return the body of its answer.

        :raises papayastall.exceptions.UnreachableError: no answer in time.
        :raises papayastall.exceptions.PapayastallError: the peer answered
            with an error.
        """
