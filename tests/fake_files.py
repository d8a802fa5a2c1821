"""An in-memory file system that loses unsynced data and injects errors."""

from __future__ import annotations

import dataclasses
import errno
import os
import random


@dataclasses.dataclass(slots=True)
class _Inode:
    """Contents of a file: the synced part and the part after it."""

    durable: bytes = b""
    pending: bytes = b""

    @property
    def data(self) -> bytes:
        return self.durable + self.pending


class _FakeFile:
    def __init__(self, files: FakeFileSystem, inode: _Inode) -> None:
        self._files = files
        self._inode = inode

    def write(self, data: bytes) -> None:
        if self._files.next_operation_fails():
            self._inode.pending += data[: len(data) // 2]
            raise self._files.error()
        self._inode.pending += data

    def sync(self) -> None:
        if self._files.next_operation_fails():
            # After a failed fsync the kernel may mark the dirty pages as
            # clean: a second fsync succeeds although the data is lost.
            self._inode.durable += b"\0" * len(self._inode.pending)
            self._inode.pending = b""
            raise self._files.error()
        if self._files.ignores_sync:
            return
        self._inode.durable += self._inode.pending
        self._inode.pending = b""

    def close(self) -> None:
        pass


class _FakeLock:
    def __init__(self, files: FakeFileSystem) -> None:
        self._files = files

    def close(self) -> None:
        self._files.is_locked = False


class FakeFileSystem:
    """Files in memory, in place of :class:`papayastall._files.FileSystem`.

    :param seed: determines which unsynced data survives a crash.
    """

    def __init__(self, seed: int = 0) -> None:
        self._rng = random.Random(seed)
        self._names: dict[str, _Inode] = {}
        self._durable_names: dict[str, _Inode] = {}
        self.is_locked = False
        self.ignores_sync = False
        self.operations = 0
        self.fail_at: int | None = None
        self.errno = errno.EIO

    def next_operation_fails(self) -> bool:
        """Count an operation and return whether it must fail.

        From operation number ``fail_at`` on, all operations fail.
        """
        self.operations += 1
        return self.fail_at is not None and self.operations >= self.fail_at

    def error(self) -> OSError:
        return OSError(self.errno, os.strerror(self.errno))

    def crash(self) -> None:
        """Drop unsynced data, except for a possibly corrupt prefix of it.

        Unsynced changes of names are either all kept or all undone. Locks
        are released and injected errors end.
        """
        if self._rng.random() < 0.5:
            self._names = dict(self._durable_names)
        self._durable_names = dict(self._names)
        for inode in self._names.values():
            surviving_bytes = self._rng.randint(0, len(inode.pending))
            torn = bytearray(inode.pending[:surviving_bytes])
            if torn and self._rng.random() < 0.5:
                torn[self._rng.randrange(len(torn))] ^= 0xFF
            inode.durable += bytes(torn)
            inode.pending = b""
        self.is_locked = False
        self.fail_at = None

    def copy(self) -> FakeFileSystem:
        """Return a fully synced copy, e.g. to put an old disk back later."""
        copied = FakeFileSystem(self._rng.randrange(1 << 30))
        copied._names = {
            name: _Inode(inode.data) for name, inode in self._names.items()
        }
        copied._durable_names = dict(copied._names)
        return copied

    def damage(self, path: str, offset: int) -> None:
        """Invert all bits of the byte at ``offset``."""
        inode = self._names[path]
        data = bytearray(inode.data)
        data[offset] ^= 0xFF
        inode.durable, inode.pending = bytes(data), b""

    def make_folder(self, path: str) -> None:
        pass

    def list_names(self, path: str) -> list[str]:
        return sorted(
            os.path.basename(name)
            for name in self._names
            if os.path.dirname(name) == path
        )

    def lock(self, path: str) -> _FakeLock:
        if self.is_locked:
            raise BlockingIOError
        self.is_locked = True
        return _FakeLock(self)

    def open_append(self, path: str) -> _FakeFile:
        return _FakeFile(self, self._names.setdefault(path, _Inode()))

    def read(self, path: str, offset: int = 0, size: int = -1) -> bytes:
        if path not in self._names:
            raise FileNotFoundError(errno.ENOENT, "no such file", path)
        data = self._names[path].data
        return data[offset:] if size < 0 else data[offset : offset + size]

    def size_bytes(self, path: str) -> int:
        return len(self._names[path].data)

    def truncate(self, path: str, size: int) -> None:
        inode = self._names[path]
        inode.durable, inode.pending = inode.data[:size], b""

    def rename(self, old: str, new: str) -> None:
        if self.next_operation_fails():
            raise self.error()
        self._names[new] = self._names.pop(old)

    def remove(self, path: str) -> None:
        del self._names[path]

    def sync_folder(self, path: str) -> None:
        if self.next_operation_fails():
            raise self.error()
        if not self.ignores_sync:
            self._durable_names = dict(self._names)
