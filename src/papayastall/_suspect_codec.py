"""Encoding of notices about requests that may crash upstreams."""

from __future__ import annotations

from papayastall import _decision_types
from papayastall import _thrift

__all__ = ["decode_suspect", "encode_suspect"]

wire = _thrift.load_module("wire")


def encode_suspect(notice: _decision_types.SuspectNotice) -> bytes:
    """Encode a notice for other nodes."""
    return _thrift.encode(
        wire.Suspect(
            fingerprint=notice.fingerprint,
            upstream=notice.upstream,
            cleared=notice.cleared,
            is_trial=notice.is_trial,
        )
    )


def decode_suspect(body: bytes) -> _decision_types.SuspectNotice:
    """Decode a notice of another node.

    :raises papayastall.exceptions.ProtocolError: if it is malformed.
    """
    value = _thrift.decode(wire.Suspect, body)
    return _decision_types.SuspectNotice(
        value.fingerprint or 0,
        value.upstream or "",
        bool(value.cleared),
        bool(value.is_trial),
    )
