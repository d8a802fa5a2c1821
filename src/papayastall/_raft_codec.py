"""Thrift encoding of the types of the replicated log."""

from __future__ import annotations

import collections.abc as cabc
import typing as t

import msgspec

from papayastall import _raft_types as types
from papayastall import _thrift
from papayastall import exceptions

__all__ = [
    "decode_batch",
    "decode_members",
    "decode_meta",
    "encode_batch",
    "encode_members",
    "encode_meta",
]

_IDL = _thrift.load_module("raft")

_BODY_FIELDS: dict[type[msgspec.Struct], str] = {
    types.VoteRequest: "vote_request",
    types.VoteReply: "vote_reply",
    types.Append: "append",
    types.AppendReply: "append_reply",
    types.SnapshotChunk: "snapshot_chunk",
    types.SnapshotReply: "snapshot_reply",
    types.Join: "join",
    types.StaleNotice: "stale_notice",
    types.TimeoutNow: "timeout_now",
}
_STRUCTS: tuple[type[msgspec.Struct], ...] = (
    *_BODY_FIELDS,
    types.Entry,
    types.Member,
    types.Members,
    types.SnapshotMeta,
)
_FIELD_NAMES: dict[type, tuple[str, ...]] = {
    cls: cls.__struct_fields__ for cls in _STRUCTS
}


def _pack(value: t.Any) -> t.Any:
    """Convert a value to its thrift form.

    Structs become thrift structs of the same name, tuples become lists.
    """
    if isinstance(value, types.Append) and not value.entries:
        return _pack_heartbeat(value)
    if isinstance(value, tuple):
        return [_pack(item) for item in value]
    cls = type(value)
    if cls not in _FIELD_NAMES:
        return value
    struct = getattr(_IDL, cls.__name__)()
    for name in _FIELD_NAMES[cls]:
        setattr(struct, name, _pack(getattr(value, name)))
    return struct


def _pack_heartbeat(body: types.Append) -> t.Any:
    return _IDL.Append(
        prev_index=body.prev_index,
        prev_term=body.prev_term,
        prev_chain=body.prev_chain,
        commit_index=body.commit_index,
        sent_s=body.sent_s,
    )


def _require_all(struct: t.Any, cls: type) -> list[t.Any]:
    values = [getattr(struct, name) for name in _FIELD_NAMES[cls]]
    if any(value is None for value in values):
        raise ValueError(f"{cls.__name__} lacks a field")
    return values


def _unpack_entry(struct: t.Any) -> types.Entry:
    index, term, kind, chain, payload = _require_all(struct, types.Entry)
    return types.Entry(index, term, types.EntryKind(kind), chain, payload)


def _unpack_members(struct: t.Any) -> types.Members:
    members, retired = _require_all(struct, types.Members)
    return types.Members(
        tuple(
            types.Member(*_require_all(member, types.Member))
            for member in members
        ),
        tuple(retired),
    )


def _unpack_meta(struct: t.Any) -> types.SnapshotMeta:
    index, term, chain, members = _require_all(struct, types.SnapshotMeta)
    return types.SnapshotMeta(index, term, chain, _unpack_members(members))


def _unpack_body(struct: t.Any) -> types.Body:
    for cls, name in _BODY_FIELDS.items():
        body = getattr(struct, name)
        if body is None:
            continue
        if cls is types.Append and body.entries is None:
            body.entries = []
        values = _require_all(body, cls)
        if cls is types.Append:
            values[4] = tuple(_unpack_entry(entry) for entry in values[4])
        elif cls is types.SnapshotChunk:
            values[0] = _unpack_meta(values[0])
        return t.cast(types.Body, cls(*values))
    raise ValueError("message without a body")


def _bad_frame(error: Exception) -> exceptions.ProtocolError:
    return exceptions.ProtocolError(
        exceptions.ErrorCode.BAD_FRAME,
        f"bytes are no message of the replicated log ({error}); run the "
        "same version on all nodes",
        step="raft-decode",
    )


def encode_members(members: types.Members) -> bytes:
    """Encode the payload of a ``MEMBERS`` entry."""
    return _thrift.encode(_pack(members))


def decode_members(data: bytes) -> types.Members:
    """Decode the payload of a ``MEMBERS`` entry.

    :raises papayastall.exceptions.ProtocolError: the data is malformed.
    """
    try:
        return _unpack_members(_thrift.decode(_IDL.Members, data))
    except (TypeError, ValueError) as error:
        raise _bad_frame(error) from error


def encode_meta(meta: types.SnapshotMeta) -> bytes:
    """Encode the metadata of a snapshot file."""
    return _thrift.encode(_pack(meta))


def decode_meta(data: bytes) -> types.SnapshotMeta:
    """Decode the metadata of a snapshot file.

    :raises papayastall.exceptions.ProtocolError: the data is malformed.
    """
    try:
        return _unpack_meta(_thrift.decode(_IDL.SnapshotMeta, data))
    except (TypeError, ValueError) as error:
        raise _bad_frame(error) from error


def encode_batch(
    sender: types.Sender,
    messages: cabc.Iterable[tuple[int, types.Message]],
) -> bytes:
    """Encode all messages to one process.

    The receiver and the cluster id of the first message are written once
    for the batch, and for a message only where they differ.

    :param messages: pairs of group number and message, at least one.
    """
    pairs = list(messages)
    batch = _IDL.Batch(
        folder_id=sender.folder_id,
        boot=sender.boot,
        boot_nonce=sender.boot_nonce,
        to_id=pairs[0][1].to_id,
        cluster_id=pairs[0][1].cluster_id,
        messages=[],
    )
    for group, message in pairs:
        struct = _IDL.Message(group=group, term=message.term)
        if message.to_id != batch.to_id:
            struct.to_id = message.to_id
        if message.cluster_id != batch.cluster_id:
            struct.cluster_id = message.cluster_id
        name = _BODY_FIELDS[type(message.body)]
        setattr(struct, name, _pack(message.body))
        batch.messages.append(struct)
    return _thrift.encode(batch)


def decode_batch(
    data: bytes, peer: str, own_address: str
) -> list[tuple[int, types.Message]]:
    """Decode the messages of one process.

    :param peer: address of the sender.
    :param own_address: address of the receiver.
    :returns: pairs of group number and message.
    :raises papayastall.exceptions.ProtocolError: the data is malformed.
    """
    batch = _thrift.decode(_IDL.Batch, data)
    sender = types.Sender(peer, batch.folder_id, batch.boot, batch.boot_nonce)
    try:
        _require_set(batch.folder_id, batch.boot, batch.boot_nonce)
        return [
            (struct.group, _unpack_message(batch, struct, sender, own_address))
            for struct in batch.messages
        ]
    except (TypeError, ValueError) as error:
        raise _bad_frame(error) from error


def _unpack_message(
    batch: t.Any, struct: t.Any, sender: types.Sender, to: str
) -> types.Message:
    to_id = batch.to_id if struct.to_id is None else struct.to_id
    cluster_id = struct.cluster_id
    if cluster_id is None:
        cluster_id = batch.cluster_id
    _require_set(struct.group, to_id, cluster_id, struct.term)
    body = _unpack_body(struct)
    return types.Message(to, to_id, sender, cluster_id, struct.term, body)


def _require_set(*values: object) -> None:
    if any(value is None for value in values):
        raise ValueError("a message lacks a field")
