"""Creation, file names and identity of a data folder."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import errno
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
    "is_out_of_space",
    "read_identity",
    "translate_os_errors",
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
_OUT_OF_SPACE = (errno.ENOSPC, errno.EDQUOT)
_CHECKSUM = struct.Struct("<I")


class GroupCheckpoint(msgspec.Struct):
    """State of one group that a new log generation starts with.

    :param base: snapshot that the log starts after.
    :param entries: all entries after the snapshot.
    """

    base: types.SnapshotMeta
    hard_state: types.HardState
    entries: list[types.Entry]


def failed(step: str, path: str, error: OSError) -> exceptions.StorageError:
    """Return the error for a failed operation of the operating system."""
    return exceptions.StorageError(
        exceptions.ErrorCode.STORAGE_FAILED,
        f"{path}: {error.strerror or error}; this replica stops: repair the "
        "disk or free up space on it, then start the replica again",
        step=step,
    )


def is_out_of_space(error: BaseException) -> bool:
    """Return whether an operation failed because the disk was full."""
    cause = error.__cause__
    return isinstance(cause, OSError) and cause.errno in _OUT_OF_SPACE


@contextlib.contextmanager
def translate_os_errors(step: str, path: str) -> cabc.Iterator[None]:
    """Raise ``StorageError`` in place of an ``OSError`` of the body."""
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
    """Create a new data folder without any log entries.

    :param group_count: number of replication groups, 1 to 1024.
    :param folder_id: identity of the folder; drawn at random by default.
    :raises papayastall.exceptions.StorageError: the folder is not empty or
        can't be written.
    :raises papayastall.exceptions.BadInputError: ``group_count`` is out of
        range.
    """
    files = files or _files.RealFileSystem()
    if not 1 <= group_count <= MAX_GROUPS:
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_SETTINGS,
            f"a data folder holds 1 to {MAX_GROUPS} groups",
            step="create-data-folder",
        )
    with translate_os_errors("create-data-folder", path):
        files.make_folder(path)
        if files.list_names(path):
            raise exceptions.StorageError(
                exceptions.ErrorCode.FOLDER_IN_USE,
                f"{path} is not empty; name another folder, or move its "
                "files away if the replica that wrote them is retired",
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
    """Return whether a data folder has been created completely here.

    The identity file is the last one that is written.
    """
    return os.path.exists(os.path.join(path, _IDENTITY_NAME))


def write_identity(
    files: _files.FileSystem, folder: str, folder_id: int, group_count: int
) -> None:
    """Write the identity file of a data folder."""
    identity = _IDENTITY.pack(
        _IDENTITY_MAGIC, FORMAT_VERSION, folder_id, group_count
    )
    checksum = _CHECKSUM.pack(google_crc32c.value(identity))
    _write_atomically(files, folder, _IDENTITY_NAME, [identity + checksum])


def _write_atomically(
    files: _files.FileSystem,
    folder: str,
    name: str,
    chunks: cabc.Iterable[bytes],
) -> int:
    """Write a file atomically; return its size in bytes.

    It is renamed to ``name`` only once it is complete and synced.
    """
    temporary = os.path.join(folder, name + TEMPORARY_SUFFIX)
    size_bytes = 0
    file = files.open_append(temporary)
    try:
        for chunk in chunks:
            file.write(chunk)
            size_bytes += len(chunk)
        file.sync()
    finally:
        file.close()
    files.rename(temporary, os.path.join(folder, name))
    files.sync_folder(folder)
    return size_bytes


def wal_name(generation: int) -> str:
    """Return the file name of a generation of the write-ahead log."""
    return f"{WAL_PREFIX}{generation:016x}"


def write_generation(
    files: _files.FileSystem,
    folder: str,
    generation: int,
    sequence: int,
    boot: wal.Boot,
    groups: cabc.Sequence[GroupCheckpoint],
) -> tuple[int, int]:
    """Write a new write-ahead log that starts with a checkpoint.

    The file is renamed to its final name only once it is complete and
    synced.

    :param sequence: sequence number of its first frame.
    :param groups: state of each group, by its number.
    :returns: the sequence number of the next frame, and the size of the
        file in bytes.
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
        wal.encode_frame(sequence + number, body)
        for number, body in enumerate(bodies)
    ]
    name = wal_name(generation)
    size_bytes = _write_atomically(files, folder, name, frames)
    return sequence + len(frames), size_bytes


def read_identity(files: _files.FileSystem, folder: str) -> tuple[int, int]:
    """Return the identity of a folder and its number of groups.

    :raises papayastall.exceptions.StorageError: it is not a data folder, or
        its identity file is damaged or has an unknown format.
    """
    path = os.path.join(folder, _IDENTITY_NAME)
    try:
        data = files.read(path)
    except FileNotFoundError as error:
        raise exceptions.StorageError(
            exceptions.ErrorCode.STORAGE_DAMAGED,
            f"{folder} is not a data folder; create one with "
            "`papayastall init`",
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
