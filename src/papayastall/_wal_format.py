"""Frames and records of the write-ahead log.

A frame is one batch of records with one checksum, and becomes durable by
one fsync. Its sequence number follows that of the frame before it. Only
the last frame of a file can have been torn by a crash, because the next
one is not written before it is synced.
"""

from __future__ import annotations

import collections.abc as cabc
import struct

import google_crc32c
import msgspec

from papayastall import _raft_codec as codec
from papayastall import _raft_types as types
from papayastall import exceptions

__all__ = [
    "Base",
    "Boot",
    "CheckpointEnd",
    "Frame",
    "GroupRecord",
    "Record",
    "damaged",
    "encode_frame",
    "encode_record",
    "read_frames",
]

MAGIC = b"PpW1"
_FRAME_HEAD = struct.Struct("<4sIIQ")
_KIND = struct.Struct("<BI")
_HARD = struct.Struct("<QQQQ")
_ENTRY = struct.Struct("<QQBII")
_BOOT = struct.Struct("<QQ")
_LENGTH = struct.Struct("<I")

_KIND_HARD = 1
_KIND_ENTRY = 2
_KIND_BASE = 3
_KIND_BOOT = 4
_KIND_CHECKPOINT_END = 5


class Base(msgspec.Struct, frozen=True):
    """The log of a group starts after this place."""

    meta: types.SnapshotMeta


class Boot(msgspec.Struct, frozen=True):
    """The data folder was opened for the ``boot``-th time."""

    boot: int
    boot_nonce: int


class CheckpointEnd(msgspec.Struct, frozen=True):
    """All that older files held has been written to this one."""


Record = types.HardState | types.Entry | Base | Boot | CheckpointEnd


class GroupRecord(msgspec.Struct, frozen=True):
    """A record of one group; group 0 for records of the folder."""

    group: int
    record: Record


class Frame(msgspec.Struct, frozen=True):
    """A frame found in a file.

    :param end: offset after it.
    """

    sequence: int
    end: int
    records: list[GroupRecord]


def damaged(path: str, offset: int, what: str) -> exceptions.StorageError:
    """Return the error for a file that can't be trusted."""
    return exceptions.StorageError(
        exceptions.ErrorCode.STORAGE_DAMAGED,
        f"{path} is damaged at offset {offset}: {what}; move the whole "
        "data folder away, run `papayastall init` and start again: the "
        "replica recovers from the others",
        step="open-data-folder",
    )


def encode_record(group: int, record: Record) -> bytes:
    """Return the bytes of one record."""
    match record:
        case types.HardState():
            return _KIND.pack(_KIND_HARD, group) + _HARD.pack(
                record.term,
                record.vote,
                record.cluster_id,
                record.commit_index,
            )
        case types.Entry():
            head = _ENTRY.pack(
                record.index,
                record.term,
                record.kind,
                record.chain,
                len(record.payload),
            )
            return _KIND.pack(_KIND_ENTRY, group) + head + record.payload
        case Base():
            meta = codec.encode_meta(record.meta)
            head = _KIND.pack(_KIND_BASE, group) + _LENGTH.pack(len(meta))
            return head + meta
        case Boot():
            return _KIND.pack(_KIND_BOOT, group) + _BOOT.pack(
                record.boot, record.boot_nonce
            )
        case CheckpointEnd():
            return _KIND.pack(_KIND_CHECKPOINT_END, group)


def _decode_record(data: bytes, at: int) -> tuple[GroupRecord, int]:
    kind, group = _KIND.unpack_from(data, at)
    at += _KIND.size
    record: Record
    match kind:
        case 1:
            record = types.HardState(*_HARD.unpack_from(data, at))
            at += _HARD.size
        case 2:
            index, term, entry_kind, chain, size = _ENTRY.unpack_from(data, at)
            at += _ENTRY.size
            record = types.Entry(
                index,
                term,
                types.EntryKind(entry_kind),
                chain,
                data[at : at + size],
            )
            at += size
        case 3:
            (size,) = _LENGTH.unpack_from(data, at)
            at += _LENGTH.size
            record = Base(codec.decode_meta(data[at : at + size]))
            at += size
        case 4:
            record = Boot(*_BOOT.unpack_from(data, at))
            at += _BOOT.size
        case 5:
            record = CheckpointEnd()
        case _:
            raise ValueError(f"unknown record kind {kind}")
    return GroupRecord(group, record), at


def encode_frame(sequence: int, body: bytes) -> bytes:
    """Return a frame around the bytes of its records."""
    checksum = google_crc32c.extend(
        google_crc32c.value(sequence.to_bytes(8, "little")), body
    )
    return _FRAME_HEAD.pack(MAGIC, len(body), checksum, sequence) + body


def _read_frame(data: bytes, at: int) -> tuple[int, bytes] | None:
    """Return sequence and body of the frame at ``at``, if it is whole."""
    if len(data) - at < _FRAME_HEAD.size:
        return None
    magic, size, checksum, sequence = _FRAME_HEAD.unpack_from(data, at)
    start = at + _FRAME_HEAD.size
    if magic != MAGIC or len(data) - start < size:
        return None
    body = data[start : start + size]
    found = google_crc32c.extend(
        google_crc32c.value(sequence.to_bytes(8, "little")), body
    )
    return (sequence, body) if found == checksum else None


def _has_frame_after(data: bytes, at: int) -> bool:
    at = data.find(MAGIC, at + 1)
    while at >= 0:
        if _read_frame(data, at) is not None:
            return True
        at = data.find(MAGIC, at + 1)
    return False


def read_frames(path: str, data: bytes) -> cabc.Iterator[Frame]:
    """Read all frames of a file; stop before a torn last one.

    :raises papayastall.exceptions.StorageError: a frame is damaged that
        is not the last one, or frames are missing.
    """
    at = 0
    previous: int | None = None
    while at < len(data):
        found = _read_frame(data, at)
        if found is None:
            if _has_frame_after(data, at):
                raise damaged(path, at, "a batch fails its checksum")
            return
        sequence, body = found
        if previous is not None and sequence != previous + 1:
            raise damaged(path, at, "batches are missing")
        previous = sequence
        records = []
        offset = 0
        try:
            while offset < len(body):
                record, offset = _decode_record(body, offset)
                records.append(record)
        except (ValueError, struct.error, exceptions.ProtocolError) as error:
            raise damaged(path, at, f"unknown record ({error})") from error
        at += _FRAME_HEAD.size + len(body)
        yield Frame(sequence, at, records)
