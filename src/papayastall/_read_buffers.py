"""Size of the buffer that asyncio allocates for each read of a socket."""

from __future__ import annotations

from asyncio import selector_events
import typing as t

__all__ = ["MAX_READ_BYTES", "limit_reads"]

MAX_READ_BYTES = 64 << 10
"""Below the size from which the C library maps memory for an allocation; a
larger buffer costs three system calls and a page fault for each message."""


def limit_reads() -> None:
    """Limit the buffers of all transports of this process.

    The interpreter has no setting for it; the default is 256 KiB.
    """
    transports = t.cast(t.Any, selector_events)
    transports._SelectorTransport.max_size = MAX_READ_BYTES
