"""File operations used by the data folder.

All operations block, so callers run them in a worker thread. They raise
``OSError`` on failure.
"""

from __future__ import annotations

import fcntl
import os
import typing as t

__all__ = ["AppendFile", "FileSystem", "Lock", "RealFileSystem"]


class AppendFile(t.Protocol):
    """A file opened for appending."""

    def write(self, data: bytes) -> None:
        """Append all of ``data``; it is durable only after :meth:`sync`."""

    def sync(self) -> None:
        """Flush everything written so far to the disk."""

    def close(self) -> None:
        """Close the file without syncing it."""


class Lock(t.Protocol):
    """A lock held until it is closed or its process ends."""

    def close(self) -> None:
        """Release the lock."""


class FileSystem(t.Protocol):
    """File operations that a data folder needs."""

    def make_folder(self, path: str) -> None:
        """Create a folder if it does not exist, and sync its parent."""

    def list_names(self, path: str) -> list[str]:
        """Return the sorted names of the files in a folder."""

    def lock(self, path: str) -> Lock:
        """Lock a file exclusively; create it if it does not exist.

        :raises BlockingIOError: another process holds the lock.
        """

    def open_append(self, path: str) -> AppendFile:
        """Open a file for appending; create it if it does not exist."""

    def read(self, path: str, offset: int = 0, size: int = -1) -> bytes:
        """Read up to ``size`` bytes at ``offset``; all if negative."""

    def size_bytes(self, path: str) -> int:
        """Return the size of a file."""

    def truncate(self, path: str, size: int) -> None:
        """Truncate a file to ``size`` bytes and sync it."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file; an existing file ``new`` is replaced."""

    def remove(self, path: str) -> None:
        """Remove a file."""

    def sync_folder(self, path: str) -> None:
        """Make creations, renames and removals in a folder durable."""


class _RealAppendFile:
    """A file descriptor opened for appending."""

    def __init__(self, path: str) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, flags, 0o600)

    def write(self, data: bytes) -> None:
        """Write all of ``data``."""
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
    """An exclusive advisory lock (``flock``) on a file descriptor."""

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
    """File operations of the operating system."""

    def make_folder(self, path: str) -> None:
        """Create a folder if it does not exist, and sync its parent."""
        os.makedirs(path, mode=0o700, exist_ok=True)
        self.sync_folder(os.path.dirname(os.path.abspath(path)))

    def list_names(self, path: str) -> list[str]:
        """Return the sorted names of the files in a folder."""
        return sorted(os.listdir(path))

    def lock(self, path: str) -> Lock:
        """Lock a file exclusively; create it if it does not exist."""
        return _RealLock(path)

    def open_append(self, path: str) -> AppendFile:
        """Open a file for appending; create it if it does not exist."""
        return _RealAppendFile(path)

    def read(self, path: str, offset: int = 0, size: int = -1) -> bytes:
        """Read up to ``size`` bytes at ``offset``; all if negative."""
        with open(path, "rb") as file:
            file.seek(offset)
            return file.read(size)

    def size_bytes(self, path: str) -> int:
        """Return the size of a file."""
        return os.stat(path).st_size

    def truncate(self, path: str, size: int) -> None:
        """Truncate a file to ``size`` bytes and sync it."""
        descriptor = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, size)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        """Rename a file; an existing file ``new`` is replaced."""
        os.replace(old, new)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.remove(path)

    def sync_folder(self, path: str) -> None:
        """Make creations, renames and removals in a folder durable."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
