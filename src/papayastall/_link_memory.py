"""Booking of what connections between nodes keep."""

from __future__ import annotations

import collections.abc as cabc

from papayastall import _connection
from papayastall import memory

__all__ = ["LinkMemory"]

FREE_UNSENT_BYTES = 256 << 10
"""Unsent bytes that a member's connection may always keep."""

_Class = memory.MemoryClass


class LinkMemory:
    """Books parts of frames that arrived, and frames that were not sent.

    Those of strangers, peers that are not known as members, have a share of
    their own. A connection whose memory is refused must be closed.

    :param account: ``None`` to book nothing.
    :param is_strange: returns whether a connection's peer is a stranger.
    """

    def __init__(
        self,
        account: memory.MemoryAccount | None,
        is_strange: cabc.Callable[[_connection.Connection], bool],
    ) -> None:
        self._account = account
        self._is_strange = is_strange
        self._kept: dict[
            tuple[_connection.Connection, _connection.Direction],
            tuple[_Class, int],
        ] = {}

    def keep(
        self,
        connection: _connection.Connection,
        direction: _connection.Direction,
        size_bytes: int,
    ) -> bool:
        """Book what a connection keeps, in place of what it kept before.

        :returns: whether it may keep as much; if not, nothing is booked.
        """
        account = self._account
        if account is None:
            return True
        key = (connection, direction)
        known = self._kept.pop(key, None)
        if known is not None:
            account.release(*known)
        if not size_bytes:
            return True
        kind = _Class.LINKS
        if known is not None:
            kind = known[0]
        elif self._is_strange(connection):
            kind = _Class.STRANGERS
        is_free = (
            kind is _Class.LINKS
            and direction is _connection.Direction.OUTPUT
            and size_bytes <= FREE_UNSENT_BYTES
        )
        if is_free:
            account.charge(kind, size_bytes)
        elif not account.book(kind, size_bytes):
            return False
        self._kept[key] = (kind, size_bytes)
        return True
