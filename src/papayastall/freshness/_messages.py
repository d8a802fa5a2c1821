"""Queries for the latest configuration, their replies and their encoding.

Both have a fixed size, as each node sends one or two a second.
"""

from __future__ import annotations

import struct

import msgspec

from papayastall import exceptions

__all__ = [
    "Query",
    "Reply",
    "decode_query",
    "decode_reply",
    "encode_query",
    "encode_reply",
]

VERSION = 1
_QUERY = struct.Struct(">B")
_REPLY = struct.Struct(">BqQ")
_UNKNOWN_AGE_US = 2**64 - 1


class Query(msgspec.Struct, frozen=True):
    """A query to send to a peer.

    :param number: tells queries to the same peer apart.
    :param sent_s: when it was made, before anything of it was sent.
    """

    peer: str
    number: int
    sent_s: float


class Reply(msgspec.Struct, frozen=True):
    """What the peer knew when it replied.

    :param index: no change above it was acknowledged until ``age_s`` before
        the reply.
    :param age_s: 0 if the peer led control; ``None`` if it knows nothing.
    """

    index: int
    age_s: float | None


def encode_query() -> bytes:
    """Return the encoding of a query."""
    return _QUERY.pack(VERSION)


def decode_query(body: bytes) -> None:
    """Check a query of another node.

    :raises papayastall.exceptions.ProtocolError: it is malformed.
    """
    if len(body) != _QUERY.size or body[0] != VERSION:
        raise _bad_message("query")


def encode_reply(reply: Reply) -> bytes:
    """Return the encoding of a reply; the age is rounded up."""
    age_us = _UNKNOWN_AGE_US
    if reply.age_s is not None:
        age_us = min(_UNKNOWN_AGE_US - 1, int(reply.age_s * 1e6) + 1)
    return _REPLY.pack(VERSION, reply.index, age_us)


def decode_reply(body: bytes) -> Reply:
    """Return the reply that ``body`` encodes.

    :raises papayastall.exceptions.ProtocolError: it is malformed.
    """
    if len(body) != _REPLY.size or body[0] != VERSION:
        raise _bad_message("reply")
    _, index, age_us = _REPLY.unpack(body)
    age_s = None if age_us == _UNKNOWN_AGE_US else age_us / 1e6
    return Reply(index, age_s)


def _bad_message(kind: str) -> exceptions.ProtocolError:
    return exceptions.ProtocolError(
        exceptions.ErrorCode.BAD_FRAME,
        f"can't read the {kind} for the lease on the keys; run compatible "
        "versions on both sides",
        step="renew-key-lease",
    )
