"""Time to open a data folder, by the size of its write-ahead log."""

from __future__ import annotations

import pathlib
import random
import tempfile
import time

from papayastall import _data_folder
from papayastall import _raft
from papayastall import _raft_log
from papayastall import _raft_types as types
from papayastall import _storage

ENTRY_COUNTS = (1_000, 4_000, 16_000, 64_000)
COMMAND_SIZE_BYTES = 200
ENTRIES_PER_WRITE = 100
TARGET_OPEN_S = 5.0


def fill(path: str, count: int) -> int:
    """Create a data folder whose log has ``count`` entries.

    :returns: the size of its write-ahead log in bytes.
    """
    _data_folder.create_data_folder(path, 1)
    storage = _storage.Storage(path)
    storage.open()
    log = _raft_log.RaftLog()
    for index in range(1, count + 1):
        log.append(
            types.make_entry(
                index,
                1,
                types.EntryKind.COMMAND,
                b"x" * COMMAND_SIZE_BYTES,
                log.last_chain,
            )
        )
    for first in range(1, count + 1, ENTRIES_PER_WRITE):
        entries = log.range(first, min(first + ENTRIES_PER_WRITE - 1, count))
        storage.write([_storage.GroupWrite(0, entry) for entry in entries])
    size_bytes = storage.wal_bytes
    storage.close()
    return size_bytes


def recover(path: str) -> float:
    """Open a data folder and start a replica on it; return the seconds."""
    start_s = time.monotonic()
    storage = _storage.Storage(path)
    folder = storage.open()
    identity = types.Sender("a:1", 1, folder.boot, folder.boot_nonce)
    _raft.Replica(
        identity,
        ("a:1",),
        folder.groups[0],
        types.Timings(),
        random.Random(1),
        0.0,
    ).start()
    elapsed_s = time.monotonic() - start_s
    storage.close()
    return elapsed_s


def main() -> None:
    """Print the time for several sizes of the log."""
    worst_s = 0.0
    for count in ENTRY_COUNTS:
        with tempfile.TemporaryDirectory(dir=".") as name:
            path = str(pathlib.Path(name) / "data")
            size_bytes = fill(path, count)
            elapsed_s = min(recover(path) for _ in range(3))
        worst_s = max(worst_s, elapsed_s)
        print(
            f"{count} entries, {size_bytes / 1e6:.1f} MB: "
            f"{elapsed_s * 1e3:.0f} ms"
        )
    met = "met" if worst_s <= TARGET_OPEN_S else "missed"
    print(f"target {TARGET_OPEN_S:.0f} s: {met}")


if __name__ == "__main__":
    main()
