"""The data folder of a control replica.

It holds an identity file, one write-ahead log for all groups and the latest
snapshot of each group. The log is a single file, called a *generation*.
When it has grown large, it is replaced by a new generation that starts with
a checkpoint of everything still needed. After a failed write or sync, the
storage refuses all further writes, because the content of the disk is
unknown until a new process has opened the folder and read it again.
"""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import os
import secrets

import msgspec

from papayastall import _data_folder
from papayastall import _files
from papayastall import _raft_log
from papayastall import _raft_state
from papayastall import _raft_types as types
from papayastall import _snapshot_files
from papayastall import _wal_format as wal
from papayastall import exceptions

__all__ = [
    "FolderState",
    "GroupWrite",
    "Storage",
]

_LOCK_NAME = "lock"


class GroupWrite(msgspec.Struct, frozen=True):
    """A write of one group."""

    group: int
    write: types.Write


class FolderState(msgspec.Struct):
    """Content of a data folder at the time it was opened.

    :param folder_id: identity of the folder.
    :param boot: how often the folder has been opened, including this time.
    :param boot_nonce: random number drawn when it was opened this time.
    :param groups: state of each group, by its number.
    """

    folder_id: int
    boot: int
    boot_nonce: int
    groups: list[_raft_state.StoredState]


class _Replay:
    """Rebuilds the state of all groups from the write-ahead log."""

    def __init__(self, path: str, group_count: int) -> None:
        self._path = path
        self.groups = [_raft_state.StoredState() for _ in range(group_count)]
        self.boot = 0
        self.is_checkpointed = False

    def add(self, at: int, record: wal.GroupRecord) -> None:
        """Apply one record.

        :param at: offset of the frame that holds it, for error messages.
        """
        if record.group >= len(self.groups):
            raise wal.damaged(
                self._path, at, "a record names an unknown group"
            )
        stored = self.groups[record.group]
        match record.record:
            case wal.Boot(boot, _):
                self.boot = boot
            case wal.CheckpointEnd():
                self.is_checkpointed = True
            case wal.Base(meta):
                stored.base = meta
                stored.entries.clear()
            case types.HardState() as hard_state:
                stored.hard_state = hard_state
            case types.Entry() as entry:
                self._add_entry(at, stored, entry)

    def _add_entry(
        self, at: int, stored: _raft_state.StoredState, entry: types.Entry
    ) -> None:
        position = entry.index - stored.base.index - 1
        if not 0 <= position <= len(stored.entries):
            raise wal.damaged(
                self._path, at, "an entry's index is out of order"
            )
        del stored.entries[position:]
        stored.entries.append(entry)


class Storage:
    """An open data folder; all methods block.

    :param path: folder created by :func:`_data_folder.create_data_folder`.
    """

    def __init__(
        self, path: str, files: _files.FileSystem | None = None
    ) -> None:
        self._path = path
        self._files = files or _files.RealFileSystem()
        self._snapshots = _snapshot_files.SnapshotFiles(self._files, path)
        self._lock: _files.Lock | None = None
        self._file: _files.AppendFile | None = None
        self._boot = wal.Boot(0, 0)
        self._generation = 0
        self._sequence = 0
        self._wal_bytes = 0
        self.sync_count = 0
        self._has_failed = False

    @property
    def wal_bytes(self) -> int:
        """Size of the write-ahead log, in bytes."""
        return self._wal_bytes

    def open(
        self, boot_nonce: int | None = None, group_count: int | None = None
    ) -> FolderState:
        """Lock the folder, read it, and record that it was opened.

        :param boot_nonce: drawn at random by default.
        :param group_count: number of groups from now on, at least as many
            as the folder holds; ``None`` leaves the number as it is.
        :raises papayastall.exceptions.StorageError: the folder is in use,
            has not been created, is damaged, or can't be read or written.
        :raises papayastall.exceptions.BadInputError: the folder holds more
            than ``group_count`` groups.
        """
        with _data_folder.translate_os_errors("open-data-folder", self._path):
            folder_id, stored_count = _data_folder.read_identity(
                self._files, self._path
            )
            self._acquire_lock()
            try:
                count = self._add_groups(folder_id, stored_count, group_count)
                return self._open(folder_id, count, boot_nonce)
            except BaseException:
                self.close()
                raise

    def _add_groups(
        self, folder_id: int, stored_count: int, group_count: int | None
    ) -> int:
        """Record a larger number of groups; new groups have empty logs.

        :returns: the number of groups that the folder now holds.
        """
        if group_count is None or group_count == stored_count:
            return stored_count
        if group_count < stored_count:
            raise exceptions.BadInputError(
                exceptions.ErrorCode.BAD_SETTINGS,
                f"{self._path} holds {stored_count} groups, but the settings "
                f"ask for {group_count}; the number can only grow",
                step="open-data-folder",
            )
        _data_folder.write_identity(
            self._files, self._path, folder_id, group_count
        )
        return group_count

    def _open(
        self, folder_id: int, group_count: int, boot_nonce: int | None
    ) -> FolderState:
        """Read the folder and log that it was opened."""
        names = self._files.list_names(self._path)
        self._snapshots.remove_unfinished(names)
        replay = self._replay(names, group_count)
        body = bytearray()
        for group, stored in enumerate(replay.groups):
            if self._apply_snapshot(names, group, stored):
                body += wal.encode_record(group, wal.Base(stored.base))
        self._file = self._files.open_append(self._wal_path())
        if boot_nonce is None:
            boot_nonce = secrets.randbits(62)
        self._boot = wal.Boot(replay.boot + 1, boot_nonce)
        body += wal.encode_record(0, self._boot)
        self._append(bytes(body))
        return FolderState(
            folder_id, self._boot.boot, boot_nonce, replay.groups
        )

    def _wal_path(self) -> str:
        return os.path.join(
            self._path, _data_folder.wal_name(self._generation)
        )

    def _acquire_lock(self) -> None:
        path = os.path.join(self._path, _LOCK_NAME)
        try:
            self._lock = self._files.lock(path)
        except BlockingIOError as error:
            raise exceptions.StorageError(
                exceptions.ErrorCode.FOLDER_IN_USE,
                f"another process uses {self._path}; stop it first",
                step="open-data-folder",
            ) from error

    def _replay(self, names: list[str], group_count: int) -> _Replay:
        """Replay the latest generation of the log.

        Temporary files, older generations and a torn last frame are removed.
        """
        generations = []
        for name in names:
            if name.endswith(_data_folder.TEMPORARY_SUFFIX):
                self._files.remove(os.path.join(self._path, name))
            elif name.startswith(_data_folder.WAL_PREFIX):
                generations.append(
                    int(name[len(_data_folder.WAL_PREFIX) :], 16)
                )
        if not generations:
            raise wal.damaged(self._path, 0, "the write-ahead log is missing")
        self._generation = max(generations)
        for generation in generations:
            if generation != self._generation:
                self._remove_generation(generation)
        path = self._wal_path()
        data = self._files.read(path)
        replay = _Replay(path, group_count)
        end = 0
        for frame in wal.read_frames(path, data):
            for record in frame.records:
                replay.add(end, record)
            end = frame.end
            self._sequence = frame.sequence + 1
        if not replay.is_checkpointed:
            raise wal.damaged(path, end, "the checkpoint is incomplete")
        if end < len(data):
            self._files.truncate(path, end)
        self._wal_bytes = end
        return replay

    def _remove_generation(self, generation: int) -> None:
        self._files.remove(
            os.path.join(self._path, _data_folder.wal_name(generation))
        )

    def _apply_snapshot(
        self, names: list[str], group: int, stored: _raft_state.StoredState
    ) -> bool:
        """Drop the log entries that the latest snapshot covers.

        If the log does not contain the snapshot's last entry, all entries
        are dropped.

        :returns: whether the snapshot replaced the whole log.
        """
        indexes = self._snapshots.indexes(names, group)
        latest = indexes[-1] if indexes else 0
        if latest < stored.base.index:
            raise wal.damaged(
                self._path,
                0,
                f"the snapshot of group {group} that the write-ahead log "
                f"starts after (index {stored.base.index}) is missing",
            )
        if latest == 0:
            return False
        meta, _ = self._snapshots.read(group, latest)
        log = _raft_log.RaftLog(stored.base, stored.entries)
        is_log_kept = log.chain_at(latest) == meta.chain
        stored.entries = (
            log.range(latest + 1, log.last_index) if is_log_kept else []
        )
        stored.base = meta
        return not is_log_kept

    def write(self, writes: cabc.Iterable[GroupWrite]) -> None:
        """Make the writes of all groups durable with one fsync of the log.

        :raises papayastall.exceptions.StorageError: the write failed; all
            further writes fail too.
        """
        body = bytearray()
        with self._fail_stop("write"):
            for write in writes:
                self._stage(body, write)
            if body:
                self._append(bytes(body))

    def _stage(self, body: bytearray, item: GroupWrite) -> None:
        """Add a write to the next frame; a snapshot chunk goes to a file."""
        match item.write:
            case types.ChunkWrite() as chunk:
                self._snapshots.write(item.group, chunk)
                if chunk.last:
                    base = wal.Base(chunk.meta)
                    body += wal.encode_record(item.group, base)
            case record:
                body += wal.encode_record(item.group, record)

    def _append(self, body: bytes) -> None:
        """Append a frame to the log and sync it."""
        if self._file is None:
            raise OSError("the data folder is closed")
        frame = wal.encode_frame(self._sequence, body)
        self._file.write(frame)
        self._file.sync()
        self._sequence += 1
        self._wal_bytes += len(frame)
        self.sync_count += 1

    @contextlib.contextmanager
    def _fail_stop(self, step: str) -> cabc.Iterator[None]:
        """Refuse all further writes once an operation has failed."""
        if self._has_failed:
            raise _data_folder.failed(
                step, self._path, OSError("an earlier write failed")
            )
        try:
            with _data_folder.translate_os_errors(step, self._path):
                yield
        except BaseException:
            self._has_failed = True
            raise

    def save_snapshot(
        self, group: int, meta: types.SnapshotMeta, data: bytes
    ) -> None:
        """Make a snapshot of the state machine durable.

        :param meta: last entry that the snapshot covers.
        :param data: the serialized state.
        """
        with self._fail_stop("save-snapshot"):
            self._snapshots.write(group, types.ChunkWrite(meta, 0, data, True))

    def read_snapshot(self, group: int, index: int) -> bytes:
        """Return the data of a snapshot.

        :param index: index of the last entry that it covers.
        """
        with _data_folder.translate_os_errors("read-snapshot", self._path):
            return self._snapshots.read(group, index)[1]

    def read_chunk(
        self, group: int, index: int, offset: int, limit: int
    ) -> tuple[bytes, int] | None:
        """Return a chunk of a snapshot, and the size of its data in bytes.

        ``None`` if a later snapshot has replaced it.

        :param offset: position of the chunk in the snapshot, in bytes.
        :param limit: maximum size of the chunk, in bytes.
        """
        with _data_folder.translate_os_errors("read-snapshot", self._path):
            return self._snapshots.read_chunk(group, index, offset, limit)

    def start_generation(
        self, groups: cabc.Sequence[_data_folder.GroupCheckpoint]
    ) -> None:
        """Replace the write-ahead log by one that starts with a checkpoint.

        :param groups: state of each group, by its number.
        """
        with self._fail_stop("start-generation"):
            old = self._generation
            self._sequence, self._wal_bytes = _data_folder.write_generation(
                self._files,
                self._path,
                old + 1,
                self._sequence,
                self._boot,
                groups,
            )
            self._close_file()
            self._generation = old + 1
            self._file = self._files.open_append(self._wal_path())
            self._remove_generation(old)

    def _close_file(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None

    def close(self) -> None:
        """Close all files and release the lock on the folder."""
        self._close_file()
        self._snapshots.close()
        if self._lock is not None:
            self._lock.close()
            self._lock = None
