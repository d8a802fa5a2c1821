"""Cost of replicas while nothing is proposed, by the number of groups.

Measured after the leaders of the groups have spread over the replicas.
"""

from __future__ import annotations

import pathlib
import tempfile
import time

from bench import replica_fleet

IDLE_S = 10.0
SETTLE_S = 13.0
"""Longer than the time after which leaders move to the preferred voter."""
GROUP_COUNTS = (1, 4, 8, 16)
TARGET_CORE_SHARE = 0.016
TARGET_BYTES_PER_S = 7_000


def measure(group_count: int) -> None:
    """Print the largest costs among three replicas."""
    with tempfile.TemporaryDirectory(dir=".") as name:
        fleet = replica_fleet.Fleet(pathlib.Path(name), group_count)
        for group in range(group_count):
            fleet.leader(group)
        time.sleep(SETTLE_S)
        replicas = fleet.replicas.values()
        before = [replica.ask(op="costs") for replica in replicas]
        time.sleep(IDLE_S)
        after = [replica.ask(op="costs") for replica in replicas]
        fleet.close()
    rates = [
        [
            (late[key] - early[key]) / IDLE_S
            for early, late in zip(before, after)
        ]
        for key in ("cpu_s", "casts", "cast_bytes")
    ]
    cpu, casts, cast_bytes = (max(rate) for rate in rates)
    is_met = cpu <= TARGET_CORE_SHARE and cast_bytes <= TARGET_BYTES_PER_S
    print(
        f"{group_count} groups, busiest replica: {cpu * 100:.2f}% of a core, "
        f"{casts:.1f} messages/s, {cast_bytes:.0f} B/s sent; "
        f"target {TARGET_CORE_SHARE * 100:.1f}% and {TARGET_BYTES_PER_S} B/s: "
        f"{'met' if is_met else 'missed'}"
    )


def main() -> None:
    """Measure with several numbers of groups."""
    for group_count in GROUP_COUNTS:
        measure(group_count)


if __name__ == "__main__":
    main()
