"""How a data folder is made, named and laid out."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import os
import secrets
import struct

import google_crc32c
import msgspec

from papayastall import _files
from papayastall import _raft_log
from papayastall import _raft_types as types
from papayastall import _wal_format as wal
from papayastall import exceptions

__all__ = [
    "GroupCheckpoint",
    "TEMPORARY_SUFFIX",
    "WAL_PREFIX",
    "create_data_folder",
    "failed",
    "has_identity",
    "read_identity",
    "translated",
    "wal_name",
    "write_identity",
    "write_generation",
]

FORMAT_VERSION = 1
MAX_GROUPS = 1024
_IDENTITY_NAME = "identity"
WAL_PREFIX = "wal-"
TEMPORARY_SUFFIX = ".new"
_IDENTITY = struct.Struct("<4sIQI")
_IDENTITY_MAGIC = b"PpI1"
_CHECKSUM = struct.Struct("<I")


class GroupCheckpoint(msgspec.Struct):
    """All that a new generation must hold of one group."""

    base: types.SnapshotMeta
    hard_state: types.HardState
    entries: list[types.Entry]


def failed(step: str, path: str, error: OSError) -> exceptions.StorageError:
    """Return the error for an operation that the system refused."""
    return exceptions.StorageError(
        exceptions.ErrorCode.STORAGE_FAILED,
        f"{path}: {error.strerror or error}; this replica stops: mend the "
        "disk or its free space, then start it again",
        step=step,
    )


@contextlib.contextmanager
def translated(step: str, path: str) -> cabc.Iterator[None]:
    """Turn ``OSError`` into ``StorageError``."""
    try:
        yield
    except OSError as error:
        raise failed(step, path, error) from error


def create_data_folder(
    path: str,
    group_count: int,
    *,
    files: _files.FileSystem | None = None,
    folder_id: int | None = None,
) -> None:
    """Make a new, empty data folder.

    :param group_count: groups that it is made for, 1 to 1024.
    :param folder_id: identity of the folder; drawn at random by default.
    :raises papayastall.exceptions.StorageError: the folder is in use, or
        can't be written.
    """
    files = files or _files.RealFileSystem()
    if not 1 <= group_count <= MAX_GROUPS:
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_SETTINGS,
            f"a data folder holds 1 to {MAX_GROUPS} groups",
            step="create-data-folder",
        )
    with translated("create-data-folder", path):
        files.make_folder(path)
        if files.list_names(path):
            raise exceptions.StorageError(
                exceptions.ErrorCode.FOLDER_IN_USE,
                f"{path} is not empty; name another folder, or move its "
                "files away if the replica that it served is given up",
                step="create-data-folder",
            )
        empty = [
            GroupCheckpoint(_raft_log.EMPTY_META, types.HardState(), [])
            for _ in range(group_count)
        ]
        write_generation(files, path, 0, 0, wal.Boot(0, 0), empty)
        folder_id = folder_id or secrets.randbits(62) + 1
        write_identity(files, path, folder_id, group_count)


def has_identity(path: str) -> bool:
    """Return whether a data folder was made here."""
    return os.path.exists(os.path.join(path, _IDENTITY_NAME))


def write_identity(
    files: _files.FileSystem, folder: str, folder_id: int, group_count: int
) -> None:
    """Write the file that names a data folder."""
    identity = _IDENTITY.pack(
        _IDENTITY_MAGIC, FORMAT_VERSION, folder_id, group_count
    )
    checksum = _CHECKSUM.pack(google_crc32c.value(identity))
    _write_named(files, folder, _IDENTITY_NAME, [identity + checksum])


def _write_named(
    files: _files.FileSystem,
    folder: str,
    name: str,
    pieces: cabc.Iterable[bytes],
) -> int:
    """Write a file that gets its name once it is whole and synced."""
    temporary = os.path.join(folder, name + TEMPORARY_SUFFIX)
    size_bytes = 0
    file = files.open_append(temporary)
    try:
        for piece in pieces:
            file.write(piece)
            size_bytes += len(piece)
        file.sync()
    finally:
        file.close()
    files.rename(temporary, os.path.join(folder, name))
    files.sync_folder(folder)
    return size_bytes


def wal_name(generation: int) -> str:
    """Return the name of a generation of the write-ahead log."""
    return f"{WAL_PREFIX}{generation:016x}"


def write_generation(
    files: _files.FileSystem,
    folder: str,
    generation: int,
    sequence: int,
    boot: wal.Boot,
    groups: cabc.Sequence[GroupCheckpoint],
) -> tuple[int, int]:
    """Write a new write-ahead log; return its next sequence and size.

    It gets its name once it is whole and synced.
    """
    bodies = [wal.encode_record(0, boot)]
    for group, checkpoint in enumerate(groups):
        records: list[wal.Record] = [
            wal.Base(checkpoint.base),
            checkpoint.hard_state,
            *checkpoint.entries,
        ]
        bodies.append(
            b"".join(wal.encode_record(group, each) for each in records)
        )
    bodies.append(wal.encode_record(0, wal.CheckpointEnd()))
    frames = [
        wal.encode_frame(sequence + place, body)
        for place, body in enumerate(bodies)
    ]
    name = wal_name(generation)
    size_bytes = _write_named(files, folder, name, frames)
    return sequence + len(frames), size_bytes


def read_identity(files: _files.FileSystem, folder: str) -> tuple[int, int]:
    """Return the identity of a folder and its number of groups.

    :raises papayastall.exceptions.StorageError: it is no data folder.
    """
    path = os.path.join(folder, _IDENTITY_NAME)
    try:
        data = files.read(path)
    except FileNotFoundError as error:
        raise exceptions.StorageError(
            exceptions.ErrorCode.STORAGE_DAMAGED,
            f"{folder} is no data folder; make one with `papayastall init`",
            step="open-data-folder",
        ) from error
    body = data[: _IDENTITY.size]
    checksum = _CHECKSUM.pack(google_crc32c.value(body))
    if data != body + checksum or len(body) != _IDENTITY.size:
        raise wal.damaged(path, 0, "the identity fails its checksum")
    magic, version, folder_id, group_count = _IDENTITY.unpack(body)
    if magic != _IDENTITY_MAGIC or version != FORMAT_VERSION:
        raise wal.damaged(path, 0, f"unknown format {version}")
    return folder_id, group_count
