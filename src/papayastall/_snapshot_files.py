"""Snapshots of groups, one file each.

A file holds the data, the encoded meta data and a footer with the sizes
and a checksum over both. It gets its name only when it is synced.
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
_TEMPORARY = ".incoming"


class _Incoming:
    """A snapshot file that is being written."""

    def __init__(self, file: _files.AppendFile) -> None:
        self.file = file
        self.size_bytes = 0
        self.checksum = 0


class SnapshotFiles:
    """The snapshot files in one data folder; all methods block.

    :param folder: path of the data folder.
    """

    def __init__(self, files: _files.FileSystem, folder: str) -> None:
        self._files = files
        self._folder = folder
        self._incoming: dict[int, _Incoming] = {}

    def _path(self, group: int, index: int) -> str:
        return os.path.join(self._folder, f"{_PREFIX}{group}-{index:016x}")

    def _incoming_path(self, group: int) -> str:
        return os.path.join(self._folder, f"{_PREFIX}{group}{_TEMPORARY}")

    def indexes(self, names: list[str], group: int) -> list[int]:
        """Return the indexes of a group's snapshots, latest last."""
        prefix = f"{_PREFIX}{group}-"
        return sorted(
            int(name[len(prefix) :], 16)
            for name in names
            if name.startswith(prefix)
        )

    def remove_incoming(self, names: list[str]) -> None:
        """Remove what a former process left unfinished."""
        for name in names:
            if name.startswith(_PREFIX) and name.endswith(_TEMPORARY):
                self._files.remove(os.path.join(self._folder, name))

    def write(self, group: int, chunk: types.ChunkWrite) -> None:
        """Write a piece; the last one makes the snapshot durable."""
        incoming = self._incoming.get(group)
        if chunk.offset == 0:
            incoming = self._begin(group)
        if incoming is None or incoming.size_bytes != chunk.offset:
            types.require(False, "pieces of a snapshot arrive in order")
            return
        incoming.file.write(chunk.data)
        incoming.size_bytes += len(chunk.data)
        incoming.checksum = google_crc32c.extend(incoming.checksum, chunk.data)
        if chunk.last:
            del self._incoming[group]
            self._finish(group, incoming, chunk.meta)

    def _begin(self, group: int) -> _Incoming:
        self.close_incoming(group)
        path = self._incoming_path(group)
        if os.path.basename(path) in self._files.list_names(self._folder):
            self._files.remove(path)
        incoming = _Incoming(self._files.open_append(path))
        self._incoming[group] = incoming
        return incoming

    def close_incoming(self, group: int) -> None:
        """Close a file that won't be finished."""
        incoming = self._incoming.pop(group, None)
        if incoming is not None:
            incoming.file.close()

    def close(self) -> None:
        """Close all files that are being written."""
        for group in list(self._incoming):
            self.close_incoming(group)

    def _finish(
        self, group: int, incoming: _Incoming, meta: types.SnapshotMeta
    ) -> None:
        encoded = codec.encode_meta(meta)
        checksum = google_crc32c.extend(incoming.checksum, encoded)
        sizes = _FOOTER.pack(
            incoming.size_bytes, len(encoded), group, checksum, MAGIC
        )
        incoming.file.write(encoded + sizes)
        incoming.file.sync()
        incoming.file.close()
        path = self._path(group, meta.index)
        self._files.rename(self._incoming_path(group), path)
        self._files.sync_folder(self._folder)
        names = self._files.list_names(self._folder)
        for index in self.indexes(names, group):
            if index < meta.index:
                self._files.remove(self._path(group, index))

    def read(self, group: int, index: int) -> tuple[types.SnapshotMeta, bytes]:
        """Read a whole snapshot and check it.

        :raises papayastall.exceptions.StorageError: it is damaged.
        """
        path = self._path(group, index)
        data = self._files.read(path)
        footer_at = len(data) - _FOOTER.size
        if footer_at < 0:
            raise wal.damaged(path, 0, "the snapshot has no footer")
        size, meta_size, found_group, checksum, magic = _FOOTER.unpack_from(
            data, footer_at
        )
        if magic != MAGIC or size + meta_size != footer_at:
            raise wal.damaged(path, footer_at, "the footer is wrong")
        found = google_crc32c.value(data[:footer_at])
        if found != checksum or found_group != group:
            raise wal.damaged(path, 0, "the snapshot fails its checksum")
        try:
            meta = codec.decode_meta(data[size:footer_at])
        except exceptions.ProtocolError as error:
            raise wal.damaged(path, size, str(error)) from error
        if meta.index != index:
            raise wal.damaged(path, size, "the snapshot has another index")
        return meta, data[:size]

    def read_chunk(
        self, group: int, index: int, offset: int, limit: int
    ) -> tuple[bytes, int] | None:
        """Return a piece and the size of the whole snapshot in bytes.

        ``None`` when the snapshot has been replaced. The whole file is
        checked when its first piece is read.
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
