"""How a subsystem of one node speaks to its twin on another node.

The links implement :class:`Peering`; tests use fakes.
"""

from __future__ import annotations

import collections.abc as cabc
import enum
import typing as t

__all__ = ["CallHandler", "CastHandler", "Channel", "Peering"]


class Channel(enum.IntEnum):
    """The subsystem that a message belongs to; the number is on the wire."""

    RAFT = 1
    CONTROL = 2
    CONFIG = 3
    SUSPECT = 4
    CLAIM = 5
    PERMIT = 6
    HISTOGRAM = 7
    OPERATOR = 8


CastHandler = cabc.Callable[[str, bytes], cabc.Coroutine[t.Any, t.Any, None]]
CallHandler = cabc.Callable[[str, bytes], cabc.Coroutine[t.Any, t.Any, bytes]]


class Peering(t.Protocol):
    """Messages to other nodes, named by their link address ``ip:port``."""

    def handle_casts(self, channel: Channel, handler: CastHandler) -> None:
        """Register what runs for each one-way message of a channel."""

    def handle_calls(self, channel: Channel, handler: CallHandler) -> None:
        """Register what answers each call of a channel."""

    def cast(self, peer: str, channel: Channel, body: bytes) -> None:
        """Send without waiting; dropped where the link is down or full."""

    async def call(
        self, peer: str, channel: Channel, body: bytes, timeout_s: float
    ) -> bytes:
        """Send and wait for the answer.

        :raises papayastall.exceptions.UnreachableError: no answer in time.
        """
