"""Ends a listening socket without a reset of what has connected to it.

The kernel completes connections before a process accepts them, and resets
those that wait as the listening socket closes.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import select
import socket
import sys
import typing as t

import anyio

__all__ = ["close_listener"]

HANDSHAKE_S = 0.02
"""Time for connections that are half made: many round trips of one site."""
TURNS_TO_CONNECT = 2
"""Turns of asyncio's loop from accept to the protocol's first call."""
SO_ATTACH_FILTER = 26
"""From Linux's asm-generic/socket.h; the socket module does not name it."""
DROP_SYN = (
    (0x30, 0, 0, 13),  # load the byte of the TCP flags
    (0x54, 0, 0, 0x12),  # keep SYN and ACK
    (0x15, 0, 1, 0x02),  # only SYN: go on, otherwise skip one
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFF),  # take
)
"""Instructions of a classic BPF program: code, jump if true, if false, k."""


class _Listening(t.Protocol):
    """What asyncio shows of a listening socket."""

    def setsockopt(self, level: int, option: int, value: bytes, /) -> None:
        """Set an option of the socket."""


async def close_listener(
    server: asyncio.Server, note_failure: cabc.Callable[[Exception], None]
) -> None:
    """Accept what has connected, then close.

    New connections find no answer from here on, and a refusal once the
    socket is closed.

    :param note_failure: told where the kernel can't be kept from completing
        connections; those of the last moment may then be reset.
    """
    sockets = server.sockets
    if sys.platform == "linux":
        for each in sockets:
            try:
                _attach_filter(each)
            except OSError as error:
                note_failure(error)
    await anyio.sleep(HANDSHAKE_S)
    poll = select.poll()
    for each in sockets:
        poll.register(each.fileno(), select.POLLIN)
    while poll.poll(0):
        await anyio.sleep(0)
    for _ in range(TURNS_TO_CONNECT):
        await anyio.sleep(0)
    server.close()


def _attach_filter(listening: _Listening) -> None:
    # Needed at a stop only.
    import ctypes
    import struct

    code = b"".join(struct.pack("HBBI", *each) for each in DROP_SYN)
    buffer = ctypes.create_string_buffer(code, len(code))
    program = struct.pack("HL", len(DROP_SYN), ctypes.addressof(buffer))
    listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
