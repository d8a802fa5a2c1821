"""Throughput and latency of the commands of one group, with fsync.

Three replica processes share one machine and its one disk. The clients run
in the process of the leader.
"""

from __future__ import annotations

import os
import pathlib
import tempfile
import time

from bench import replica_fleet

DURATION_S = 4.0
COMMAND_SIZE_BYTES = 200
CLIENT_COUNTS = (1, 16, 128)
TARGET_COMMANDS_PER_S = 1000
FSYNC_COUNT = 200


def measure_fsync_ms(folder: pathlib.Path) -> float:
    """Return the mean time of writing 200 B with fsync, in milliseconds."""
    with open(folder / "probe", "ab") as file:
        start_s = time.monotonic()
        for _ in range(FSYNC_COUNT):
            file.write(b"x" * COMMAND_SIZE_BYTES)
            file.flush()
            os.fsync(file.fileno())
        return (time.monotonic() - start_s) / FSYNC_COUNT * 1e3


def main() -> None:
    """Print rate and latency for several numbers of clients."""
    with tempfile.TemporaryDirectory(dir=".") as name:
        folder = pathlib.Path(name)
        print(
            f"one fsync of {COMMAND_SIZE_BYTES} B: "
            f"{measure_fsync_ms(folder):.2f} ms"
        )
        fleet = replica_fleet.Fleet(folder, group_count=1)
        leader = fleet.leader(0)
        rate = 0.0
        for clients in CLIENT_COUNTS:
            load = {
                "group": 0,
                "clients": clients,
                "seconds": DURATION_S,
                "size_bytes": COMMAND_SIZE_BYTES,
            }
            result = leader.ask(op="load", load=load)
            rate = result["rate"]
            print(
                f"{clients} clients: {rate:.0f} commands/s, "
                f"p50 {result['p50_ms']:.1f} ms, p99 {result['p99_ms']:.1f} ms"
            )
        fleet.close()
    met = "met" if rate >= TARGET_COMMANDS_PER_S else "missed"
    print(f"target {TARGET_COMMANDS_PER_S} commands/s of one group: {met}")


if __name__ == "__main__":
    main()
