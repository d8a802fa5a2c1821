"""Decompression of data from a peer, up to a size limit."""

from __future__ import annotations

import zlib

__all__ = ["inflate_whole"]


def inflate_whole(
    data: bytes, limit_bytes: int, window_bits: int = zlib.MAX_WBITS
) -> bytes:
    """Return the decompressed data of one complete stream.

    :param limit_bytes: maximum size of the decompressed data.
    :param window_bits: as in :func:`zlib.decompressobj`.
    :raises ValueError: the stream is corrupt or cut short, or its data is
        over the limit.
    """
    stream = zlib.decompressobj(window_bits)
    try:
        plain = stream.decompress(data, limit_bytes)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not stream.eof:
        raise ValueError("it is cut short or over the limit")
    return plain
