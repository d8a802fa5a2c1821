"""Claims a second, and the time that a claim adds to a booking.

Three replicas on real files (fsync on) and three nodes share one process
and speak over a fake network, so this is a lower bound: all replicas and
callers share one core. ``python -m bench.control_claims``.
"""

from __future__ import annotations

import pathlib
import sys
import tempfile
import time

import anyio
from tests import control_fleet

NODES = 3
CLAIMS_A_CALLER = 50
CALLER_COUNTS = (1, 8, 32, 64)
DEADLINE_S = 30.0


async def measure(
    fleet: control_fleet.Fleet, callers: int, run_name: str
) -> None:
    """Let callers claim new keys as fast as they can and print it."""
    times_s: list[float] = []

    async def call(number: int) -> None:
        node = fleet.nodes[f"10.0.1.{number % NODES}:1"]
        for count in range(CLAIMS_A_CALLER):
            started_s = time.monotonic()
            key = f"{run_name}/{callers}/{number}/{count}"
            token = await node.claims.claim(key, 1, started_s + DEADLINE_S)
            assert isinstance(token, str)
            times_s.append(time.monotonic() - started_s)

    started_s = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for number in range(callers):
            tasks.start_soon(call, number)
    took_s = time.monotonic() - started_s
    times_s.sort()
    p50_ms = times_s[len(times_s) // 2] * 1e3
    p99_ms = times_s[int(len(times_s) * 0.99)] * 1e3
    rate = len(times_s) / took_s
    print(
        f"{callers:3} callers: {rate:7.0f} claims/s over "
        f"{control_fleet.CLAIM_GROUPS} groups "
        f"({rate / control_fleet.CLAIM_GROUPS:.0f} a group), "
        f"p50 {p50_ms:.1f} ms, p99 {p99_ms:.1f} ms",
        flush=True,
    )


async def run(fleet: control_fleet.Fleet) -> None:
    """Measure each number of callers."""
    await measure(fleet, 1, "warm")
    print("(the first line warms the leaders up)")
    for callers in CALLER_COUNTS:
        await measure(fleet, callers, "run")


async def _main(folder: str) -> None:
    await control_fleet.run_fleet(pathlib.Path(folder), NODES, run)


def main() -> None:
    """Run on the folder given as the argument, or a temporary one."""
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    with tempfile.TemporaryDirectory(dir=parent) as folder:
        anyio.run(_main, folder)


if __name__ == "__main__":
    main()
