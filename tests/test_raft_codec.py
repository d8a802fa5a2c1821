"""Tests of the encoding of the replicated log's messages."""

from __future__ import annotations

import msgspec.structs
import pytest

from papayastall import _raft_codec as codec
from papayastall import _raft_types as types
from papayastall import _thrift
from papayastall import exceptions

SENDER = types.Sender("a:1", 5, 2, 9)
MEMBER = types.Member("a:1", 5, True, 2, 9)
META = types.SnapshotMeta(7, 2, 99, types.Members((MEMBER,), (3,)))
ENTRY = types.make_entry(1, 1, types.EntryKind.COMMAND, b"\xff\0", 0)
BODIES: tuple[types.Body, ...] = (
    types.VoteRequest(True, False, 4, 2),
    types.VoteReply(False, True),
    types.Append(0, 0, 0, 0, (ENTRY,), 1.5),
    types.Append(4, 2, 8, 3, (), 1.5),
    types.AppendReply(True, 4, 5, 1.5),
    types.SnapshotChunk(META, 3, 9, b"abc", 1.5),
    types.SnapshotReply(7, 3, False, 1.5),
    types.Join(True, 17),
    types.StaleNotice(2, 9, "why"),
    types.TimeoutNow(),
)


def make_batch() -> list[tuple[int, types.Message]]:
    messages = [
        types.Message("b:1", 6, SENDER, 11, 2, body) for body in BODIES
    ]
    messages[3] = msgspec.structs.replace(messages[3], to_id=0, cluster_id=0)
    return list(enumerate(messages))


def test_messages_survive_encoding() -> None:
    data = codec.encode_batch(SENDER, make_batch())
    assert codec.decode_batch(data, "a:1", "b:1") == make_batch()


def test_bytes_that_are_cut_short_are_refused() -> None:
    data = codec.encode_batch(SENDER, make_batch())
    for size in range(len(data)):
        with pytest.raises(exceptions.ProtocolError):
            codec.decode_batch(data[:size], "a:1", "b:1")


def test_a_message_without_a_field_is_refused() -> None:
    struct = codec._IDL.Batch(
        folder_id=1, boot=1, boot_nonce=1, messages=[codec._IDL.Message()]
    )
    with pytest.raises(exceptions.ProtocolError):
        codec.decode_batch(_thrift.encode(struct), "a:1", "b:1")
