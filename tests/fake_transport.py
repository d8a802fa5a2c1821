"""A transport that records what is written, for tests of the HTTP server."""

from __future__ import annotations

import asyncio
import re

__all__ = ["FakeTransport"]

STATUS = re.compile(rb"HTTP/1\.1 (\d{3}) ")


class FakeTransport(asyncio.Transport):
    """A transport without a socket.

    :param extra: what ``get_extra_info`` returns.
    :ivar written: all that was written.
    :ivar is_reading_paused: whether the protocol paused reading.
    :ivar is_eof_written: whether the protocol will write no more.
    """

    def __init__(self, extra: dict[str, object] | None = None) -> None:
        super().__init__(extra)
        self.written = b""
        self.is_reading_paused = False
        self.is_eof_written = False
        self._is_closing = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Record the data."""
        self.written += bytes(data)

    def statuses(self) -> list[int]:
        """Return the statuses of the answers."""
        return [int(status) for status in STATUS.findall(self.written)]

    def get_write_buffer_size(self) -> int:
        """Return 0: all is written at once."""
        return 0

    def pause_reading(self) -> None:
        """Note that the protocol wants no input."""
        self.is_reading_paused = True

    def resume_reading(self) -> None:
        """Note that the protocol wants input."""
        self.is_reading_paused = False

    def can_write_eof(self) -> bool:
        """Return true, as for a connection without TLS."""
        return True

    def write_eof(self) -> None:
        """Note that no more is written."""
        self.is_eof_written = True

    def is_closing(self) -> bool:
        """Return whether the transport was closed."""
        return self._is_closing

    def close(self) -> None:
        """Note that the transport was closed."""
        self._is_closing = True

    def abort(self) -> None:
        """Note that the transport was closed."""
        self._is_closing = True
