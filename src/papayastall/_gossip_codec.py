"""Encodes, signs, verifies and decodes datagrams of the membership protocol.

The message authentication code shows that a datagram comes from a node of
this fleet. Replaying a recorded datagram does no harm: records are
versioned, and answers match outstanding sequences only.
"""

from __future__ import annotations

import collections.abc as cabc
import hashlib
import hmac
import ipaddress
import struct
import typing as t
import zlib

from papayastall import _inflating
from papayastall import _member_table
from papayastall import _membership_types as types
from papayastall import _thrift
from papayastall import exceptions

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "decode",
    "encode",
    "encode_struct",
    "sign",
]

VERSION = 1
DEFLATED_VERSION = 2
"""Version of a datagram whose struct is deflated because that is smaller."""
DEFLATE_LEVEL = 1
VERSIONS = (VERSION, DEFLATED_VERSION)
DEFLATE_WINDOW_BITS = 11
"""The smallest window that holds a datagram."""
MAC_SIZE_BYTES = 16
MAX_DATAGRAM_BYTES = 1400
MAX_KEY_BYTES = 64
"""Limit of BLAKE2b; further bytes of a key are not used."""
HEADER_SIZE_BYTES = 1 + MAC_SIZE_BYTES
MAX_STRUCT_BYTES = MAX_DATAGRAM_BYTES - HEADER_SIZE_BYTES
PORT_SIZE_BYTES = 2

_gossip = _thrift.load_module("gossip")

_KINDS: dict[type[t.Any], int] = {
    types.Gossip: 0,
    types.Ping: 1,
    types.Ack: 2,
    types.PingRequest: 3,
    types.Nack: 4,
    types.BranchDigests: 5,
    types.LeafDigests: 6,
    types.LeafRecords: 7,
    types.PageRequest: 8,
    types.Page: 9,
}


def encode(datagram: types.Datagram, key: bytes) -> bytes:
    """Return the datagram's bytes, signed with the key."""
    version, content = VERSION, encode_struct(datagram)
    assert len(content) <= MAX_STRUCT_BYTES, len(content)
    deflated = zlib.compress(content, DEFLATE_LEVEL, -DEFLATE_WINDOW_BITS)
    if len(deflated) < len(content):
        version, content = DEFLATED_VERSION, deflated
    return bytes([version]) + sign(content, key) + content


def encode_struct(datagram: types.Datagram) -> bytes:
    """Return the datagram's thrift struct, neither deflated nor signed."""
    members = [
        _encode_member(record)
        for record in datagram.records
        if isinstance(record, types.MemberRecord)
    ]
    adverts = [
        _encode_advert(record)
        for record in datagram.records
        if isinstance(record, types.AdvertRecord)
    ]
    content = _gossip.Datagram(
        sender=_pack_address(datagram.sender),
        incarnation=datagram.incarnation,
        config_index=datagram.config_index,
        digest=datagram.digest,
        kind=_KINDS[type(datagram.body)],
        members=members or None,
        adverts=adverts or None,
        **_encode_known_index(datagram),
        **_encode_body(datagram.body),
    )
    return _thrift.encode(content)


def decode(data: bytes, keys: cabc.Sequence[bytes]) -> types.Datagram:
    """Return the datagram that the bytes hold.

    :param keys: secrets of the fleet; any of them may have signed it.
    :raises papayastall.exceptions.RefusedError: no key verifies it.
    :raises papayastall.exceptions.ProtocolError: unknown version, or
        damaged content.
    """
    if len(data) <= HEADER_SIZE_BYTES or data[0] not in VERSIONS:
        raise _bad_datagram("it is truncated or of an unknown version")
    mac = data[1:HEADER_SIZE_BYTES]
    encoded = data[HEADER_SIZE_BYTES:]
    if not any(hmac.compare_digest(mac, sign(encoded, key)) for key in keys):
        raise exceptions.RefusedError(
            exceptions.ErrorCode.UNAUTHORIZED,
            "datagram is not signed with a key of this fleet; give all "
            "nodes the same key file",
            step="gossip",
        )
    if data[0] == DEFLATED_VERSION:
        try:
            encoded = _inflating.inflate_whole(
                encoded, MAX_STRUCT_BYTES, -DEFLATE_WINDOW_BITS
            )
        except ValueError as error:
            raise _bad_datagram(str(error)) from error
    content = _thrift.decode(_gossip.Datagram, encoded)
    try:
        return _decode_content(content)
    except (TypeError, ValueError, AttributeError, struct.error) as error:
        raise _bad_datagram(str(error)) from error


def _decode_content(content: t.Any) -> types.Datagram:
    records: list[types.Record] = []
    states = set(types.MemberState)
    for member in content.members or []:
        if member.state in states:
            records.append(_decode_member(member))
    records.extend(_decode_advert(advert) for advert in content.adverts or [])
    return types.Datagram(
        sender=_unpack_address(content.sender),
        incarnation=_integer(content.incarnation),
        config_index=_integer(content.config_index),
        digest=_integer(content.digest),
        records=tuple(records),
        body=_decode_body(content),
        **_decode_known_index(content),
    )


def _encode_known_index(datagram: types.Datagram) -> dict[str, t.Any]:
    if not datagram.known_index:
        return {}
    return {
        "known_index": datagram.known_index,
        "known_holder": _pack_address(datagram.known_holder),
    }


def _decode_known_index(content: t.Any) -> dict[str, t.Any]:
    if not content.known_index:
        return {}
    return {
        "known_index": _integer(content.known_index),
        "known_holder": _unpack_address(content.known_holder),
    }


def _encode_body(body: types.Body) -> dict[str, t.Any]:
    match body:
        case types.Ping() | types.Ack() | types.Nack():
            return {"sequence": body.sequence}
        case types.PingRequest(sequence, target):
            return {"sequence": sequence, "target": _pack_address(target)}
        case types.BranchDigests(digests):
            return {"digests": _pack_digests(digests)}
        case types.LeafDigests(branch, digests):
            return {"number": branch, "digests": _pack_digests(digests)}
        case types.LeafRecords(leaves, wants_reply):
            return {
                "digests": _pack_digests(leaves),
                "wants_reply": wants_reply,
            }
        case types.PageRequest(cursor):
            return {"number": cursor}
        case types.Page(cursor, next_cursor):
            return {"number": cursor, "next_cursor": next_cursor}
        case types.Gossip():
            return {}


def _decode_body(content: t.Any) -> types.Body:
    match content.kind:
        case 1:
            return types.Ping(_integer(content.sequence))
        case 2:
            return types.Ack(_integer(content.sequence))
        case 3:
            return types.PingRequest(
                _integer(content.sequence), _unpack_address(content.target)
            )
        case 4:
            return types.Nack(_integer(content.sequence))
        case 5:
            return types.BranchDigests(_unpack_digests(content.digests))
        case 6:
            return types.LeafDigests(
                _integer(content.number, _member_table.BRANCH_COUNT),
                _unpack_digests(content.digests),
            )
        case 7:
            return types.LeafRecords(
                _unpack_leaves(content.digests), bool(content.wants_reply)
            )
        case 8:
            return types.PageRequest(_integer(content.number))
        case 9:
            return types.Page(
                _integer(content.number), int(content.next_cursor)
            )
        case _:
            return types.Gossip()


def _encode_member(record: types.MemberRecord) -> t.Any:
    return _gossip.Member(
        address=_pack_address(record.address),
        datagram_address=_pack_address(record.datagram_address),
        incarnation=record.incarnation,
        failure_domain=record.failure_domain,
        state=record.state,
        suspecters=[_pack_address(peer) for peer in record.suspecters] or None,
    )


def _decode_member(member: t.Any) -> types.MemberRecord:
    return types.MemberRecord(
        _unpack_address(member.address),
        _unpack_address(member.datagram_address),
        _integer(member.incarnation),
        _text(member.failure_domain),
        types.MemberState(member.state),
        tuple(_unpack_address(peer) for peer in member.suspecters or []),
    )


def _encode_advert(record: types.AdvertRecord) -> t.Any:
    return _gossip.Advert(
        owner=_pack_address(record.owner),
        service_name=record.service,
        slots=record.slots,
        version=record.version,
    )


def _decode_advert(advert: t.Any) -> types.AdvertRecord:
    return types.AdvertRecord(
        _unpack_address(advert.owner),
        _text(advert.service_name),
        _integer(advert.slots),
        _integer(advert.version),
    )


def _integer(value: t.Any, end: int | None = None) -> int:
    """Return an integer that was checked: 0 or more, and below ``end``."""
    if type(value) is not int or value < 0:
        raise ValueError("a number is missing or negative")
    if end is not None and value >= end:
        raise ValueError(f"{value} is out of range")
    return value


def _text(value: t.Any) -> str:
    if not isinstance(value, str):
        raise ValueError("a string is missing")
    return value


def _pack_address(address: str) -> bytes:
    host, _, port = address.rpartition(":")
    number = ipaddress.ip_address(host.strip("[]")).packed
    return number + struct.pack(">H", int(port))


def _unpack_address(data: t.Any) -> str:
    if isinstance(data, str):
        raise ValueError("an address is text instead of bytes")
    number = ipaddress.ip_address(bytes(data[:-PORT_SIZE_BYTES]))
    (port,) = struct.unpack(">H", data[-PORT_SIZE_BYTES:])
    host = f"[{number}]" if number.version == 6 else str(number)
    return f"{host}:{port}"


def _pack_digests(digests: tuple[int, ...]) -> bytes:
    return struct.pack(f">{len(digests)}I", *digests)


def _unpack_digests(data: bytes) -> tuple[int, ...]:
    return struct.unpack(f">{len(data) // 4}I", data)


def _unpack_leaves(data: bytes) -> tuple[int, ...]:
    return tuple(
        _integer(leaf, _member_table.LEAF_COUNT)
        for leaf in _unpack_digests(data)
    )


def sign(encoded: bytes, key: bytes) -> bytes:
    """Return the message authentication code of a datagram's struct."""
    digest = hashlib.blake2b(
        encoded, key=key[:MAX_KEY_BYTES], digest_size=MAC_SIZE_BYTES
    )
    return digest.digest()


def _bad_datagram(problem: str) -> exceptions.ProtocolError:
    return exceptions.ProtocolError(
        exceptions.ErrorCode.BAD_FRAME,
        f"datagram dropped: {problem}; run compatible versions",
        step="gossip",
    )
