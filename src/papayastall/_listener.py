"""Closes a listening socket without resetting connections in its backlog.

The kernel completes the handshake of a connection before a process accepts
it. When the listening socket closes, the kernel resets connections that
were not accepted.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import select
import socket
import sys
import typing as t

import anyio

__all__ = [
    "RECEIVE_BUFFER_BYTES",
    "close_listener",
    "limit_receive_buffer",
    "open_listener",
]

RECEIVE_BUFFER_BYTES = 64 << 10
"""Bytes that the kernel may hold for a connection that is not read. They
count as memory of the process; by default it would hold megabytes."""

HANDSHAKE_WAIT_S = 0.02
"""Time for handshakes in progress to end: many round trips within a site."""
LOOP_TURNS_TO_CONNECT = 2
"""Iterations of asyncio's loop from accept to ``connection_made``."""
SO_ATTACH_FILTER = 26
"""From Linux's asm-generic/socket.h; missing in the socket module."""
DROP_SYN_PROGRAM = (
    (0x30, 0, 0, 13),  # load the byte of the TCP flags
    (0x54, 0, 0, 0x12),  # keep the bits SYN and ACK
    (0x15, 0, 1, 0x02),  # SYN alone: go on, otherwise skip one
    (0x06, 0, 0, 0),  # drop the packet
    (0x06, 0, 0, 0xFFFF),  # accept the packet
)
"""Classic BPF instructions: code, jump if true, jump if false, operand."""


class _ListeningSocket(t.Protocol):
    """The part of asyncio's ``TransportSocket`` that is used here."""

    def setsockopt(self, level: int, option: int, value: bytes, /) -> None:
        """Set an option of the socket."""


class _Socket(t.Protocol):
    """The part of a socket that is used here."""

    def setsockopt(self, level: int, option: int, value: int, /) -> None:
        """Set an option of the socket."""


def limit_receive_buffer(each: _Socket) -> None:
    """Limit what the kernel holds for a socket, or those it accepts."""
    each.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def open_listener(host: str, port: int) -> socket.socket:
    """Return a bound, non-blocking TCP socket; it does not listen yet.

    The receive buffers of the connections that it accepts are limited.

    :raises OSError: the address can't be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        limit_receive_buffer(bound)
        bound.setblocking(False)
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound


async def close_listener(
    server: asyncio.Server, note_failure: cabc.Callable[[Exception], None]
) -> None:
    """Accept all connections of the backlog, then close the listener.

    Meanwhile the kernel (on Linux) drops new connection attempts; once the
    socket is closed, it refuses them.

    :param note_failure: called with the error if the kernel can't be made
        to drop new attempts; connections completed just before the close
        may then be reset.
    """
    sockets = server.sockets
    if sys.platform == "linux":
        for each in sockets:
            try:
                _attach_filter(each)
            except OSError as error:
                note_failure(error)
    await anyio.sleep(HANDSHAKE_WAIT_S)
    poll = select.poll()
    for each in sockets:
        poll.register(each.fileno(), select.POLLIN)
    while poll.poll(0):
        await anyio.sleep(0)
    for _ in range(LOOP_TURNS_TO_CONNECT):
        await anyio.sleep(0)
    server.close()


def _attach_filter(listening: _ListeningSocket) -> None:
    # Imported here because they are needed only at shutdown.
    import ctypes
    import struct

    code = b"".join(struct.pack("HBBI", *each) for each in DROP_SYN_PROGRAM)
    buffer = ctypes.create_string_buffer(code, len(code))
    program = struct.pack(
        "HL", len(DROP_SYN_PROGRAM), ctypes.addressof(buffer)
    )
    listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
