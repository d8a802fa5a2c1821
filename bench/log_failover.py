"""Time without a leader after the process of a leader is killed.

Measured from SIGKILL to the first command that another replica commits.
"""

from __future__ import annotations

import pathlib
import tempfile
import time

from bench import replica_fleet

KILL_COUNT = 10
TARGET_LEADERLESS_S = 5.0


def kill_and_wait(fleet: replica_fleet.Fleet) -> float:
    """Kill the leader; return the seconds until a command is committed.

    The killed replica is then started again.
    """
    leader = fleet.leader(0)
    del fleet.replicas[leader.address]
    leader.kill()
    killed_at_s = time.time()
    others = fleet.replicas.values()
    for other in others:
        other.send(op="first", group=0)
    committed_at_s = [other.read() for other in others]
    fleet.start(leader.address)
    return float(min(each for each in committed_at_s if each) - killed_at_s)


def main() -> None:
    """Print the median and the maximum over several kills."""
    with tempfile.TemporaryDirectory(dir=".") as name:
        fleet = replica_fleet.Fleet(pathlib.Path(name), group_count=1)
        times_s = sorted(kill_and_wait(fleet) for _ in range(KILL_COUNT))
        fleet.close()
    print(
        f"{KILL_COUNT} kills: median {times_s[KILL_COUNT // 2]:.2f} s, "
        f"worst {times_s[-1]:.2f} s"
    )
    met = "met" if times_s[-1] <= TARGET_LEADERLESS_S else "missed"
    print(f"target {TARGET_LEADERLESS_S:.0f} s without a leader: {met}")


if __name__ == "__main__":
    main()
