"""What the links of a node know of one peer."""

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
MAX_DIAL_TIMEOUT_S = 4.0
REDIAL_INTERVAL_S = 0.5


class LinkPeer(msgspec.Struct):
    """One peer, its connections and the work outstanding there.

    :param boot_id: of the peer's last hello; 0 before one.
    :param outstanding: pieces of work that wait for the peer.
    :param watched_since_s: since when its silence counts.
    :param used_s: when work last passed.
    :param former: replaced connections that the peer may still send on.
    :param ready: set when a dial has ended, in a link or not.
    """

    address: str
    connection: _connection.Connection | None = None
    boot_id: int = 0
    outstanding: int = 0
    watched_since_s: float = 0.0
    used_s: float = 0.0
    is_dialling: bool = False
    dialled_s: float = -REDIAL_INTERVAL_S
    dial_timeout_s: float = DIAL_TIMEOUT_S
    lost_connection: bool = False
    former: list[_connection.Connection] = msgspec.field(default_factory=list)
    ready: anyio.Event = msgspec.field(default_factory=anyio.Event)

    @property
    def is_connected(self) -> bool:
        """Whether a frame would be sent now."""
        return self.connection is not None and not self.connection.is_closed

    def note_dial_failed(self) -> None:
        """Give the next dial more time.

        A peer on a busy machine greets late, but it does greet.
        """
        self.is_dialling = False
        self.dial_timeout_s = min(MAX_DIAL_TIMEOUT_S, 2 * self.dial_timeout_s)

    def adopt(self, connection: _connection.Connection) -> None:
        """Use a new connection from now on."""
        if self.connection is not None:
            # The peer may still send on it, or it has gone silent.
            self.former.append(self.connection)
        self.connection = connection
        self.dial_timeout_s = DIAL_TIMEOUT_S
        self.lost_connection = False
        self.ready.set()

    def close_former(self, now_s: float, idle_s: float) -> None:
        """Close replaced connections that were silent for ``idle_s``."""
        for connection in self.former:
            if now_s - connection.last_received_s > idle_s:
                connection.close()
        if self.former:
            self.former = [
                connection
                for connection in self.former
                if not connection.is_closed
            ]
