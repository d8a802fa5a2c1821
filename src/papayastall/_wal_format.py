"""Binary format of the write-ahead log: frames of records.

A frame is a batch of records with one checksum, made durable by one fsync.
Frames of a file have consecutive sequence numbers. A crash can tear only
the last frame of a file, because a frame is synced before the next one is
written.
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
_RECORD_HEAD = struct.Struct("<BI")
_HARD_STATE = struct.Struct("<QQQQ")
_ENTRY_HEAD = struct.Struct("<QQBII")
_BOOT = struct.Struct("<QQ")
_LENGTH = struct.Struct("<I")

_KIND_HARD_STATE = 1
_KIND_ENTRY = 2
_KIND_BASE = 3
_KIND_BOOT = 4
_KIND_CHECKPOINT_END = 5


class Base(msgspec.Struct, frozen=True):
    """Snapshot that the log of a group starts after.

    It replaces the entries that were logged before it.
    """

    meta: types.SnapshotMeta


class Boot(msgspec.Struct, frozen=True):
    """Record of the data folder being opened for the ``boot``-th time.

    :param boot_nonce: random number drawn at that time.
    """

    boot: int
    boot_nonce: int


class CheckpointEnd(msgspec.Struct, frozen=True):
    """End of the checkpoint that a file starts with.

    The checkpoint holds everything still needed from older files.
    """


Record = types.HardState | types.Entry | Base | Boot | CheckpointEnd


class GroupRecord(msgspec.Struct, frozen=True):
    """A record and the group it belongs to.

    Records about the data folder as a whole carry group 0.
    """

    group: int
    record: Record


class Frame(msgspec.Struct, frozen=True):
    """A decoded frame.

    :param end: offset in the file of the first byte after the frame.
    """

    sequence: int
    end: int
    records: list[GroupRecord]


def damaged(path: str, offset: int, reason: str) -> exceptions.StorageError:
    """Return the error for a file whose content is invalid.

    :param offset: where the damage was found, in bytes.
    """
    return exceptions.StorageError(
        exceptions.ErrorCode.STORAGE_DAMAGED,
        f"{path} is damaged at offset {offset}: {reason}; move the whole "
        "data folder away, run `papayastall init` and start again: the "
        "replica recovers its data from the other replicas",
        step="open-data-folder",
    )


def encode_record(group: int, record: Record) -> bytes:
    """Encode one record."""
    match record:
        case types.HardState():
            return _RECORD_HEAD.pack(
                _KIND_HARD_STATE, group
            ) + _HARD_STATE.pack(
                record.term,
                record.vote,
                record.cluster_id,
                record.commit_index,
            )
        case types.Entry():
            head = _ENTRY_HEAD.pack(
                record.index,
                record.term,
                record.kind,
                record.chain,
                len(record.payload),
            )
            return (
                _RECORD_HEAD.pack(_KIND_ENTRY, group) + head + record.payload
            )
        case Base():
            meta = codec.encode_meta(record.meta)
            head = _RECORD_HEAD.pack(_KIND_BASE, group) + _LENGTH.pack(
                len(meta)
            )
            return head + meta
        case Boot():
            return _RECORD_HEAD.pack(_KIND_BOOT, group) + _BOOT.pack(
                record.boot, record.boot_nonce
            )
        case CheckpointEnd():
            return _RECORD_HEAD.pack(_KIND_CHECKPOINT_END, group)


def _decode_record(data: bytes, at: int) -> tuple[GroupRecord, int]:
    """Decode the record at offset ``at``; also return the offset after it.

    :raises ValueError: its kind is unknown.
    :raises struct.error: it is cut short.
    :raises papayastall.exceptions.ProtocolError: its snapshot metadata is
        invalid.
    """
    kind, group = _RECORD_HEAD.unpack_from(data, at)
    at += _RECORD_HEAD.size
    record: Record
    match kind:
        case 1:
            record = types.HardState(*_HARD_STATE.unpack_from(data, at))
            at += _HARD_STATE.size
        case 2:
            index, term, entry_kind, chain, size = _ENTRY_HEAD.unpack_from(
                data, at
            )
            at += _ENTRY_HEAD.size
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
    """Return a frame whose body is the given encoded records."""
    checksum = google_crc32c.extend(
        google_crc32c.value(sequence.to_bytes(8, "little")), body
    )
    return _FRAME_HEAD.pack(MAGIC, len(body), checksum, sequence) + body


def _read_frame(data: bytes, at: int) -> tuple[int, bytes] | None:
    """Return sequence number and body of the frame at offset ``at``.

    ``None`` if the frame is incomplete or its checksum does not match.
    """
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
    """Return whether a valid frame starts at any offset after ``at``."""
    at = data.find(MAGIC, at + 1)
    while at >= 0:
        if _read_frame(data, at) is not None:
            return True
        at = data.find(MAGIC, at + 1)
    return False


def read_frames(path: str, data: bytes) -> cabc.Iterator[Frame]:
    """Yield the frames of a file; stop before a torn last frame.

    :param path: of the file, for error messages.
    :param data: the whole content of the file.
    :raises papayastall.exceptions.StorageError: a frame other than the last
        one is damaged, a frame is missing, or a record can't be decoded.
    """
    at = 0
    previous: int | None = None
    while at < len(data):
        found = _read_frame(data, at)
        if found is None:
            if _has_frame_after(data, at):
                raise damaged(path, at, "a frame fails its checksum")
            return
        sequence, body = found
        if previous is not None and sequence != previous + 1:
            raise damaged(path, at, "frames are missing before this one")
        previous = sequence
        records = []
        offset = 0
        try:
            while offset < len(body):
                record, offset = _decode_record(body, offset)
                records.append(record)
        except (ValueError, struct.error, exceptions.ProtocolError) as error:
            raise damaged(
                path, at, f"a record can't be decoded ({error})"
            ) from error
        at += _FRAME_HEAD.size + len(body)
        yield Frame(sequence, at, records)
