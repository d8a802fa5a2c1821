"""Inflates what a peer sent in one piece, up to a limit."""

from __future__ import annotations

import zlib

__all__ = ["inflate_whole"]


def inflate_whole(
    data: bytes, limit_bytes: int, window_bits: int = zlib.MAX_WBITS
) -> bytes:
    """Return what was deflated as a whole.

    :param limit_bytes: of what is returned.
    :param window_bits: as in :func:`zlib.compress`.
    :raises ValueError: it is damaged, cut short, or over the limit.
    """
    stream = zlib.decompressobj(window_bits)
    try:
        plain = stream.decompress(data, limit_bytes)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not stream.eof:
        raise ValueError("it is cut short or over the limit")
    return plain
