"""The message that tells other nodes of a request that crashes upstreams."""

from __future__ import annotations

from papayastall import _decision_types
from papayastall import _thrift

__all__ = ["decode_suspect", "encode_suspect"]

wire = _thrift.load_module("wire")


def encode_suspect(news: _decision_types.SuspectNotice) -> bytes:
    """Return the message that tells other nodes."""
    return _thrift.encode(
        wire.Suspect(
            fingerprint=news.fingerprint,
            upstream=news.upstream,
            cleared=news.cleared,
        )
    )


def decode_suspect(body: bytes) -> _decision_types.SuspectNotice:
    """Return what another node tells.

    :raises papayastall.exceptions.ProtocolError: malformed.
    """
    value = _thrift.decode(wire.Suspect, body)
    return _decision_types.SuspectNotice(
        value.fingerprint or 0, value.upstream or "", bool(value.cleared)
    )
