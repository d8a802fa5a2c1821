"""Time without a leader after the leader's process is killed.

From SIGKILL to the first command that another replica committed.
"""

from __future__ import annotations

import pathlib
import tempfile
import time

from bench import replica_fleet

ROUNDS = 10
TARGET_S = 5.0


def kill_and_wait(fleet: replica_fleet.Fleet) -> float:
    """Kill the leader; return the seconds until a command went through."""
    leader = fleet.leader(0)
    del fleet.replicas[leader.address]
    leader.kill()
    killed_s = time.time()
    others = fleet.replicas.values()
    for other in others:
        other.send(op="first", group=0)
    found_s = [other.read() for other in others]
    fleet.start(leader.address)
    return float(min(each for each in found_s if each) - killed_s)


def main() -> None:
    """Print the times of several kills."""
    with tempfile.TemporaryDirectory(dir=".") as name:
        fleet = replica_fleet.Fleet(pathlib.Path(name), group_count=1)
        times_s = sorted(kill_and_wait(fleet) for _ in range(ROUNDS))
        fleet.close()
    print(
        f"{ROUNDS} kills: median {times_s[ROUNDS // 2]:.2f} s, "
        f"worst {times_s[-1]:.2f} s"
    )
    met = "met" if times_s[-1] <= TARGET_S else "missed"
    print(f"target {TARGET_S:.0f} s without a leader: {met}")


if __name__ == "__main__":
    main()
