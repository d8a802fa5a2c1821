"""Long run of the replicated log under random faults, over many seeds.

``python -m tests.raft_soak FIRST COUNT`` prints the seeds that fail.
"""

from __future__ import annotations

import random
import sys
import traceback

from tests import raft_cluster
from tests import test_raft_random


def run_seed(
    seed: int,
    cluster_class: type[raft_cluster.Cluster] = raft_cluster.Cluster,
) -> test_raft_random.Run:
    """Run one seed; raises the error of a failed check."""
    rng = random.Random(seed)
    run = test_raft_random.Run(seed, rng.choice((3, 5)), cluster_class)
    for _ in range(rng.randint(10, 60)):
        fault = rng.choice(test_raft_random.FAULTS)
        run.apply(fault, rng.randint(0, 1000))
    run.cluster.settle()
    return run


def main() -> int:
    """Run the seeds; return 1 if any failed, otherwise 0."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    acknowledged = 0
    simulated_s = 0.0
    for seed in range(first, first + count):
        try:
            run = run_seed(seed)
        except Exception:
            failed += 1
            print(f"seed {seed} failed:")
            traceback.print_exc(limit=-4, file=sys.stdout)
            continue
        acknowledged += len(run.cluster.acknowledged)
        simulated_s += run.cluster.now_s - 100.0
    print(
        f"{count} seeds from {first}: {failed} failed, {acknowledged} "
        f"commands acknowledged in {simulated_s:.0f} s of simulated time"
    )
    return min(failed, 1)


if __name__ == "__main__":
    sys.exit(main())
