"""The file operations that the data folder is built on.

All of them block; callers run them in a thread. They raise ``OSError``.
"""

from __future__ import annotations

import fcntl
import os
import typing as t

__all__ = ["AppendFile", "FileSystem", "Lock", "RealFileSystem"]


class AppendFile(t.Protocol):
    """A file that is written at its end."""

    def write(self, data: bytes) -> None:
        """Write all of the data; it lasts only after :meth:`sync`."""

    def sync(self) -> None:
        """Return when all that was written is on the disk."""

    def close(self) -> None:
        """Close the file without syncing it."""


class Lock(t.Protocol):
    """A lock that is held until it is closed or its process ends."""

    def close(self) -> None:
        """Release the lock."""


class FileSystem(t.Protocol):
    """Files of one data folder."""

    def make_folder(self, path: str) -> None:
        """Make a folder where there is none, and sync its parent."""

    def list_names(self, path: str) -> list[str]:
        """Return the names in a folder."""

    def lock(self, path: str) -> Lock:
        """Lock a file, made if need be.

        :raises BlockingIOError: another process holds it.
        """

    def open_append(self, path: str) -> AppendFile:
        """Open a file to write at its end; make it if need be."""

    def read(self, path: str, offset: int = 0, size: int = -1) -> bytes:
        """Read ``size`` bytes from an offset, or all that follows."""

    def size_bytes(self, path: str) -> int:
        """Return the size of a file."""

    def truncate(self, path: str, size: int) -> None:
        """Cut a file to ``size`` bytes and sync it."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing one of the new name."""

    def remove(self, path: str) -> None:
        """Remove a file."""

    def sync_folder(self, path: str) -> None:
        """Make the names in a folder last."""


class _RealAppendFile:
    """An open file descriptor."""

    def __init__(self, path: str) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, flags, 0o600)

    def write(self, data: bytes) -> None:
        """Write all of the data."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._descriptor, view) :]

    def sync(self) -> None:
        """Sync the file."""
        os.fsync(self._descriptor)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self._descriptor)


class _RealLock:
    """A file descriptor with an advisory lock."""

    def __init__(self, path: str) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._descriptor)
            raise

    def close(self) -> None:
        """Release the lock."""
        os.close(self._descriptor)


class RealFileSystem:
    """Files of the operating system."""

    def make_folder(self, path: str) -> None:
        """Make a folder where there is none, and sync its parent."""
        os.makedirs(path, mode=0o700, exist_ok=True)
        self.sync_folder(os.path.dirname(os.path.abspath(path)))

    def list_names(self, path: str) -> list[str]:
        """Return the names in a folder."""
        return sorted(os.listdir(path))

    def lock(self, path: str) -> Lock:
        """Lock a file, made if need be."""
        return _RealLock(path)

    def open_append(self, path: str) -> AppendFile:
        """Open a file to write at its end."""
        return _RealAppendFile(path)

    def read(self, path: str, offset: int = 0, size: int = -1) -> bytes:
        """Read a part of a file."""
        with open(path, "rb") as file:
            file.seek(offset)
            return file.read(size)

    def size_bytes(self, path: str) -> int:
        """Return the size of a file."""
        return os.stat(path).st_size

    def truncate(self, path: str, size: int) -> None:
        """Cut a file and sync it."""
        descriptor = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, size)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        os.replace(old, new)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.remove(path)

    def sync_folder(self, path: str) -> None:
        """Sync a folder."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
