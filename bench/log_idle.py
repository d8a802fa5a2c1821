"""What replicas cost while nothing is proposed, by number of groups.

Measured once the leaders are spread over the replicas.
"""

from __future__ import annotations

import pathlib
import tempfile
import time

from bench import replica_fleet

SECONDS = 10.0
SETTLE_S = 13.0
GROUP_COUNTS = (1, 4, 8, 16)
TARGET_CPU = 0.016
TARGET_BYTES_PER_S = 7_000


def measure(groups: int) -> None:
    """Print the costs of each of three replicas."""
    with tempfile.TemporaryDirectory(dir=".") as name:
        fleet = replica_fleet.Fleet(pathlib.Path(name), groups)
        for group in range(groups):
            fleet.leader(group)
        time.sleep(SETTLE_S)
        replicas = fleet.replicas.values()
        before = [each.ask(op="costs") for each in replicas]
        time.sleep(SECONDS)
        after = [each.ask(op="costs") for each in replicas]
        fleet.close()
    rates = [
        [(b[key] - a[key]) / SECONDS for a, b in zip(before, after)]
        for key in ("cpu_s", "casts", "cast_bytes")
    ]
    cpu, casts, cast_bytes = (max(rate) for rate in rates)
    is_met = cpu <= TARGET_CPU and cast_bytes <= TARGET_BYTES_PER_S
    print(
        f"{groups} groups, busiest replica: {cpu * 100:.2f}% of a core, "
        f"{casts:.1f} messages/s, {cast_bytes:.0f} B/s sent; "
        f"target {TARGET_CPU * 100:.1f}% and {TARGET_BYTES_PER_S} B/s: "
        f"{'met' if is_met else 'missed'}"
    )


def main() -> None:
    """Measure several numbers of groups."""
    for groups in GROUP_COUNTS:
        measure(groups)


if __name__ == "__main__":
    main()
