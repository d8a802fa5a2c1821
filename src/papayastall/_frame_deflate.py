"""Deflates the frames of one connection as one stream.

Frames repeat each other: headers, names and the layout of their structs. A
window over the former frames halves them. Parts of bodies are left out;
they are long, seldom shrink, and would push all else out of the window.
"""

from __future__ import annotations

import zlib

from papayastall import _frames
from papayastall import exceptions

__all__ = ["Deflater", "Inflater", "MAX_DEFLATED_LINKS"]

MAX_DEFLATED_LINKS = 64
"""Links of a node that keep a window, 48 KB each and 15 KB at the reader."""
LEVEL = 1
"""The fastest; higher ones gain less than a tenth on frames."""
WINDOW_BITS = 13
MEMORY_LEVEL = 5
FLUSH_END = b"\x00\x00\xff\xff"
"""Ends each flush of zlib; it is not sent."""


class Deflater:
    """The sending side of a connection."""

    def __init__(self) -> None:
        self._stream = zlib.compressobj(
            LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )

    def deflate(self, body: bytes) -> bytes:
        """Return the deflated struct of the next frame."""
        deflated = self._stream.compress(body)
        deflated += self._stream.flush(zlib.Z_SYNC_FLUSH)
        return deflated.removesuffix(FLUSH_END)


class Inflater:
    """The receiving side of a connection."""

    def __init__(self) -> None:
        self._stream = zlib.decompressobj(-WINDOW_BITS)

    def inflate(self, body: bytes) -> bytes:
        """Return the struct of a deflated frame.

        :raises papayastall.exceptions.ProtocolError: it does not go on from
            the former frames, or its struct is over the limit.
        """
        try:
            plain = self._stream.decompress(
                body + FLUSH_END, _frames.MAX_FRAME_SIZE_BYTES
            )
        except zlib.error as error:
            raise _bad_frame(f"the stream is damaged: {error}") from error
        if self._stream.unconsumed_tail:
            raise _bad_frame("an inflated struct is over the limit")
        return plain


def _bad_frame(text: str) -> exceptions.ProtocolError:
    return exceptions.ProtocolError(
        exceptions.ErrorCode.BAD_FRAME, text, step="inflate"
    )
