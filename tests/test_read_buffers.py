"""Tests of the buffers that the reads of a node's sockets take."""

from __future__ import annotations

import asyncio
import socket
import tracemalloc

import pytest

from papayastall import node
from papayastall import settings

MAPPED_SIZE_BYTES = 128 << 10
"""The C library maps memory for an allocation of this size."""
MESSAGE_COUNT = 20


class Counter(asyncio.Protocol):
    """Counts the bytes that arrive."""

    def __init__(self) -> None:
        self.received_bytes = 0

    def data_received(self, data: bytes) -> None:
        self.received_bytes += len(data)


async def read_small_messages() -> int:
    """Return the most memory that was allocated while messages arrived."""
    here, there = socket.socketpair()
    loop = asyncio.get_running_loop()
    transport, counter = await loop.create_connection(Counter, sock=here)
    there.setblocking(False)
    tracemalloc.start()
    try:
        for number in range(MESSAGE_COUNT):
            await loop.sock_sendall(there, b"x")
            while counter.received_bytes <= number:
                await asyncio.sleep(0)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        transport.close()
        there.close()
    return peak_bytes


def test_a_read_of_a_small_message_maps_no_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Three system calls for the buffer of each message a node received."""
    peaks_bytes: list[int] = []

    async def read_instead(*_: object) -> None:
        peaks_bytes.append(await read_small_messages())

    monkeypatch.setattr(node, "_run", read_instead)
    node.run(object.__new__(settings.NodeSettings))
    assert peaks_bytes[0] < MAPPED_SIZE_BYTES
