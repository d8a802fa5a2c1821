"""Claims per second, and the time that a claim adds to a booking.

Three control replicas, on real files with fsync, and three nodes run in one
process and communicate over a fake network. The rates are a lower bound, as
all replicas and callers share one core.

Usage: python -m bench.control_claims [FOLDER]
"""

from __future__ import annotations

import pathlib
import sys
import tempfile
import time

import anyio
from tests import control_fleet

NODE_COUNT = 3
CLAIMS_PER_CALLER = 50
CALLER_COUNTS = (1, 8, 32, 64)
CLAIM_TIMEOUT_S = 30.0


async def measure(
    fleet: control_fleet.Fleet, caller_count: int, run_name: str
) -> None:
    """Claim new keys from concurrent callers; print rate and latency.

    Each caller makes its claims one after another.

    :param run_name: part of the keys that tells runs on the same fleet
        apart.
    """
    times_s: list[float] = []

    async def call(number: int) -> None:
        node = fleet.nodes[f"10.0.1.{number % NODE_COUNT}:1"]
        for count in range(CLAIMS_PER_CALLER):
            started_s = time.monotonic()
            key = f"{run_name}/{caller_count}/{number}/{count}"
            token = await node.claims.claim(
                key, 1, started_s + CLAIM_TIMEOUT_S
            )
            assert isinstance(token, str)
            times_s.append(time.monotonic() - started_s)

    started_s = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for number in range(caller_count):
            tasks.start_soon(call, number)
    took_s = time.monotonic() - started_s
    times_s.sort()
    p50_ms = times_s[len(times_s) // 2] * 1e3
    p99_ms = times_s[int(len(times_s) * 0.99)] * 1e3
    rate = len(times_s) / took_s
    print(
        f"{caller_count:3} callers: {rate:7.0f} claims/s over "
        f"{control_fleet.CLAIM_GROUPS} groups "
        f"({rate / control_fleet.CLAIM_GROUPS:.0f} a group), "
        f"p50 {p50_ms:.1f} ms, p99 {p99_ms:.1f} ms",
        flush=True,
    )


async def run(fleet: control_fleet.Fleet) -> None:
    """Measure with each number of callers, after a warm-up run."""
    await measure(fleet, 1, "warm")
    print("(the first line warms the leaders up)")
    for caller_count in CALLER_COUNTS:
        await measure(fleet, caller_count, "run")


async def _main(folder: str) -> None:
    await control_fleet.run_fleet(pathlib.Path(folder), NODE_COUNT, run)


def main() -> None:
    """Run in a new folder within FOLDER.

    FOLDER is the system's folder for temporary files by default.
    """
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    with tempfile.TemporaryDirectory(dir=parent) as folder:
        anyio.run(_main, folder)


if __name__ == "__main__":
    main()
