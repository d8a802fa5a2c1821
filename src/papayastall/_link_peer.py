"""State of the link to one peer."""

from __future__ import annotations

import anyio
import msgspec

from papayastall import _connection

__all__ = [
    "DIAL_TIMEOUT_S",
    "MAX_DIAL_TIMEOUT_S",
    "REDIAL_INTERVAL_S",
    "LinkPeer",
]

DIAL_TIMEOUT_S = 0.5
"""Time for the first dial to connect, and then for the peer's hello."""
MAX_DIAL_TIMEOUT_S = 4.0
REDIAL_INTERVAL_S = 0.5
"""Shortest time from the start of one dial to the next."""


class LinkPeer(msgspec.Struct):
    """A peer, its connections and the work outstanding there.

    :param connection: the current connection, ``None`` without one.
    :param boot_id: boot id in the peer's last hello; 0 before the first.
    :param outstanding: number of attempts and calls that wait for the peer.
    :param watched_since_s: time from which the peer's silence is measured.
    :param last_used_s: time of the last message sent, or of the start of
        the connection.
    :param last_dial_s: time at which the last dial began.
    :param dial_timeout_s: timeout of the next dial.
    :param lost_connection: whether answers may have been lost with an
        earlier connection; the next one then counts as a replacement.
    :param replaced: earlier connections that the peer may still send on.
    :param ready: set when a dial has succeeded or failed.
    """

    address: str
    connection: _connection.Connection | None = None
    boot_id: int = 0
    outstanding: int = 0
    watched_since_s: float = 0.0
    last_used_s: float = 0.0
    is_dialling: bool = False
    last_dial_s: float = -REDIAL_INTERVAL_S
    dial_timeout_s: float = DIAL_TIMEOUT_S
    lost_connection: bool = False
    replaced: list[_connection.Connection] = msgspec.field(
        default_factory=list
    )
    ready: anyio.Event = msgspec.field(default_factory=anyio.Event)

    @property
    def is_connected(self) -> bool:
        """Whether a connection is open."""
        return self.connection is not None and not self.connection.is_closed

    def note_dial_failed(self) -> None:
        """Double the timeout of the next dial, up to the maximum.

        A peer on a busy machine may send its hello late.
        """
        self.is_dialling = False
        self.dial_timeout_s = min(MAX_DIAL_TIMEOUT_S, 2 * self.dial_timeout_s)

    def use_connection(self, connection: _connection.Connection) -> None:
        """Make a connection the current one."""
        if self.connection is not None:
            # The peer may still send on it; :meth:`close_replaced` closes
            # it once it is silent.
            self.replaced.append(self.connection)
        self.connection = connection
        self.dial_timeout_s = DIAL_TIMEOUT_S
        self.lost_connection = False
        self.ready.set()

    def close_replaced(self, now_s: float, idle_s: float) -> None:
        """Close replaced connections that were silent for ``idle_s``."""
        for connection in self.replaced:
            if now_s - connection.last_received_s > idle_s:
                connection.close()
        if self.replaced:
            self.replaced = [
                connection
                for connection in self.replaced
                if not connection.is_closed
            ]
