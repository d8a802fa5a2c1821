"""Deflate compression of the frames of a connection as one stream.

Successive frames share headers, names and the layout of their structs. A
window over the earlier frames halves their size. Frames with body data are
not compressed: they are long, seldom shrink, and would displace everything
else from the window.
"""

from __future__ import annotations

import zlib

from papayastall import _frames
from papayastall import exceptions

__all__ = ["Deflater", "Inflater", "MAX_DEFLATED_LINKS"]

MAX_DEFLATED_LINKS = 64
"""Limit of deflating links per node.

The window of a link takes 48 KB here and 15 KB at the receiving node.
"""
COMPRESSION_LEVEL = 1
"""The fastest level; higher levels save less than a tenth more on frames."""
WINDOW_BITS = 13
MEMORY_LEVEL = 5
SYNC_FLUSH_SUFFIX = b"\x00\x00\xff\xff"
"""End of every zlib sync flush; always the same, so it is not sent."""


class Deflater:
    """Compressor for the frames that one connection sends."""

    def __init__(self) -> None:
        self._stream = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )

    def deflate(self, body: bytes) -> bytes:
        """Return the encoded struct of the next frame, deflated."""
        deflated = self._stream.compress(body)
        deflated += self._stream.flush(zlib.Z_SYNC_FLUSH)
        return deflated.removesuffix(SYNC_FLUSH_SUFFIX)


class Inflater:
    """Decompressor for the frames that one connection receives."""

    def __init__(self) -> None:
        self._stream = zlib.decompressobj(-WINDOW_BITS)

    def inflate(self, body: bytes) -> bytes:
        """Return the encoded struct of the next frame, inflated.

        :param body: the deflated struct.
        :raises papayastall.exceptions.ProtocolError: the data does not
            continue the stream of the earlier frames, or the struct is
            larger than ``MAX_FRAME_BYTES``.
        """
        try:
            plain = self._stream.decompress(
                body + SYNC_FLUSH_SUFFIX, _frames.MAX_FRAME_BYTES
            )
        except zlib.error as error:
            raise _bad_frame(
                f"the deflate stream is corrupt: {error}"
            ) from error
        if self._stream.unconsumed_tail:
            raise _bad_frame("the inflated struct is over the limit")
        return plain


def _bad_frame(text: str) -> exceptions.ProtocolError:
    return exceptions.ProtocolError(
        exceptions.ErrorCode.BAD_FRAME, text, step="inflate"
    )
