"""Commands a second of one group with fsync, and the time each takes.

Three replica processes on one machine and its one disk; the clients are
inside the leader's process.
"""

from __future__ import annotations

import os
import pathlib
import tempfile
import time

from bench import replica_fleet

SECONDS = 4.0
SIZE_BYTES = 200
CLIENT_COUNTS = (1, 16, 128)
TARGET_RATE = 1000
SYNC_COUNT = 200


def measure_sync_ms(folder: pathlib.Path) -> float:
    """Return the mean time of writing and syncing 200 B."""
    with open(folder / "probe", "ab") as file:
        start_s = time.monotonic()
        for _ in range(SYNC_COUNT):
            file.write(b"x" * SIZE_BYTES)
            file.flush()
            os.fsync(file.fileno())
        return (time.monotonic() - start_s) / SYNC_COUNT * 1e3


def main() -> None:
    """Print the rates for several numbers of clients."""
    with tempfile.TemporaryDirectory(dir=".") as name:
        folder = pathlib.Path(name)
        print(f"one fsync of {SIZE_BYTES} B: {measure_sync_ms(folder):.2f} ms")
        fleet = replica_fleet.Fleet(folder, group_count=1)
        leader = fleet.leader(0)
        rate = 0.0
        for clients in CLIENT_COUNTS:
            load = {
                "group": 0,
                "clients": clients,
                "seconds": SECONDS,
                "size_bytes": SIZE_BYTES,
            }
            found = leader.ask(op="load", load=load)
            rate = found["rate"]
            print(
                f"{clients} clients: {rate:.0f} commands/s, "
                f"p50 {found['p50_ms']:.1f} ms, p99 {found['p99_ms']:.1f} ms"
            )
        fleet.close()
    met = "met" if rate >= TARGET_RATE else "missed"
    print(f"target {TARGET_RATE} commands/s of one group: {met}")


if __name__ == "__main__":
    main()
