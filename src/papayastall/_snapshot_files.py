"""Snapshot files, one for each snapshot of a group.

A file holds the data, the encoded metadata and a footer with the sizes and
a checksum of both, and the number of the group. It is renamed to its final
name only once it is complete and synced.
"""

from __future__ import annotations

import os
import struct

import google_crc32c

from papayastall import _files
from papayastall import _raft_codec as codec
from papayastall import _raft_types as types
from papayastall import _wal_format as wal
from papayastall import exceptions

__all__ = ["SnapshotFiles"]

MAGIC = b"PpS1"
_FOOTER = struct.Struct("<QIII4s")
_PREFIX = "snapshot-"
_UNFINISHED_SUFFIX = ".incoming"


class _UnfinishedSnapshot:
    """A snapshot file that is being written.

    :param file: holds the data written so far.
    """

    def __init__(self, file: _files.AppendFile) -> None:
        self.file = file
        self.size_bytes = 0
        self.checksum = 0


class SnapshotFiles:
    """The snapshot files of one data folder; all methods block.

    :param folder: path of the data folder.
    """

    def __init__(self, files: _files.FileSystem, folder: str) -> None:
        self._files = files
        self._folder = folder
        self._unfinished: dict[int, _UnfinishedSnapshot] = {}

    def _path(self, group: int, index: int) -> str:
        return os.path.join(self._folder, f"{_PREFIX}{group}-{index:016x}")

    def _unfinished_path(self, group: int) -> str:
        return os.path.join(
            self._folder, f"{_PREFIX}{group}{_UNFINISHED_SUFFIX}"
        )

    def indexes(self, names: list[str], group: int) -> list[int]:
        """Return the indexes of a group's snapshots in ascending order.

        :param names: names of the files in the data folder.
        """
        prefix = f"{_PREFIX}{group}-"
        return sorted(
            int(name[len(prefix) :], 16)
            for name in names
            if name.startswith(prefix)
        )

    def remove_unfinished(self, names: list[str]) -> None:
        """Remove files that an earlier process left unfinished.

        :param names: names of the files in the data folder.
        """
        for name in names:
            if name.startswith(_PREFIX) and name.endswith(_UNFINISHED_SUFFIX):
                self._files.remove(os.path.join(self._folder, name))

    def write(self, group: int, chunk: types.ChunkWrite) -> None:
        """Write a chunk; the last one makes the snapshot durable.

        A chunk at offset 0 starts a new snapshot and discards an unfinished
        one of the same group.
        """
        unfinished = self._unfinished.get(group)
        if chunk.offset == 0:
            unfinished = self._start(group)
        if unfinished is None or unfinished.size_bytes != chunk.offset:
            types.require(False, "chunks of a snapshot arrive in order")
            return
        unfinished.file.write(chunk.data)
        unfinished.size_bytes += len(chunk.data)
        unfinished.checksum = google_crc32c.extend(
            unfinished.checksum, chunk.data
        )
        if chunk.last:
            del self._unfinished[group]
            self._finish(group, unfinished, chunk.meta)

    def _start(self, group: int) -> _UnfinishedSnapshot:
        self.close_unfinished(group)
        path = self._unfinished_path(group)
        if os.path.basename(path) in self._files.list_names(self._folder):
            self._files.remove(path)
        unfinished = _UnfinishedSnapshot(self._files.open_append(path))
        self._unfinished[group] = unfinished
        return unfinished

    def close_unfinished(self, group: int) -> None:
        """Close the unfinished file of a group, if there is one."""
        unfinished = self._unfinished.pop(group, None)
        if unfinished is not None:
            unfinished.file.close()

    def close(self) -> None:
        """Close all unfinished files."""
        for group in list(self._unfinished):
            self.close_unfinished(group)

    def _finish(
        self,
        group: int,
        unfinished: _UnfinishedSnapshot,
        meta: types.SnapshotMeta,
    ) -> None:
        """Make a snapshot durable, then remove older ones of its group."""
        encoded = codec.encode_meta(meta)
        checksum = google_crc32c.extend(unfinished.checksum, encoded)
        sizes = _FOOTER.pack(
            unfinished.size_bytes, len(encoded), group, checksum, MAGIC
        )
        unfinished.file.write(encoded + sizes)
        unfinished.file.sync()
        unfinished.file.close()
        path = self._path(group, meta.index)
        self._files.rename(self._unfinished_path(group), path)
        self._files.sync_folder(self._folder)
        names = self._files.list_names(self._folder)
        for index in self.indexes(names, group):
            if index < meta.index:
                self._files.remove(self._path(group, index))

    def read(self, group: int, index: int) -> tuple[types.SnapshotMeta, bytes]:
        """Read a whole snapshot and verify it.

        :param index: index of the last entry that the snapshot covers.
        :returns: its metadata and its data.
        :raises papayastall.exceptions.StorageError: the file is damaged.
        """
        path = self._path(group, index)
        data = self._files.read(path)
        footer_at = len(data) - _FOOTER.size
        if footer_at < 0:
            raise wal.damaged(path, 0, "the snapshot has no footer")
        size, meta_size, stored_group, checksum, magic = _FOOTER.unpack_from(
            data, footer_at
        )
        if magic != MAGIC or size + meta_size != footer_at:
            raise wal.damaged(path, footer_at, "the footer is invalid")
        actual_checksum = google_crc32c.value(data[:footer_at])
        if actual_checksum != checksum or stored_group != group:
            raise wal.damaged(path, 0, "checksum or group do not match")
        try:
            meta = codec.decode_meta(data[size:footer_at])
        except exceptions.ProtocolError as error:
            raise wal.damaged(path, size, str(error)) from error
        if meta.index != index:
            raise wal.damaged(path, size, "index and file name do not match")
        return meta, data[:size]

    def read_chunk(
        self, group: int, index: int, offset: int, limit: int
    ) -> tuple[bytes, int] | None:
        """Return a chunk of a snapshot, and the size of its data in bytes.

        ``None`` if a later snapshot has replaced it. The whole file is
        verified when the chunk at offset 0 is read.

        :param offset: position of the chunk in the snapshot, in bytes.
        :param limit: maximum size of the chunk, in bytes.
        """
        path = self._path(group, index)
        if os.path.basename(path) not in self._files.list_names(self._folder):
            return None
        if offset == 0:
            data = self.read(group, index)[1]
            return data[:limit], len(data)
        footer_at = self._files.size_bytes(path) - _FOOTER.size
        footer = self._files.read(path, footer_at, _FOOTER.size)
        size = _FOOTER.unpack(footer)[0]
        limit = min(limit, size - offset)
        return self._files.read(path, offset, limit), size
