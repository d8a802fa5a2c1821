"""Memory and CPU time of histograms and counters at the two-year size.

At the size planned for two years ahead, one node records requests of 61,000
teams, whose activity is heavy-tailed, to 740 services with two kinds of
requests each, for two windows at 67 requests a second.
"""

from __future__ import annotations

import pathlib
import random
import resource
import time

from papayastall import _decision_types
from papayastall import histograms
from papayastall import metrics

SEED = 1
TEAM_COUNT = 61_000
SERVICE_COUNT = 740
RATE_PER_S = 67
DURATION_S = 2 * histograms.WINDOW_S - 1
TEAM_POWER_LAW_EXPONENT = 1.1

MAX_MEMORY_BYTES = 32 << 20
MAX_SAMPLE_US = 50.0


def read_resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def make_samples(count: int) -> list[histograms.Sample]:
    """Return samples whose teams follow a heavy-tailed distribution."""
    rng = random.Random(SEED)
    kinds = list(_decision_types.RequestKind)
    samples = []
    for _ in range(count):
        team = min(
            int(rng.paretovariate(TEAM_POWER_LAW_EXPONENT - 1)), TEAM_COUNT
        )
        samples.append(
            histograms.Sample(
                service=f"service-{rng.randrange(SERVICE_COUNT)}",
                kind=rng.choice(kinds),
                team=f"team-{team}",
                added_ms=rng.lognormvariate(1, 1),
                waiting_ms=rng.expovariate(1),
                upstream_ms=rng.lognormvariate(3, 1),
            )
        )
    return samples


def measure_histograms() -> None:
    """Print the memory of histograms and the time to record and read them."""
    samples = make_samples(int(RATE_PER_S * DURATION_S))
    team_count = len({sample.team for sample in samples})
    table = histograms.HistogramTable()
    before_bytes = read_resident_bytes()
    started_s = time.process_time()
    for number, sample in enumerate(samples):
        table.record(number / RATE_PER_S, sample)
    spent_us = (time.process_time() - started_s) / len(samples) * 1e6
    held_bytes = read_resident_bytes() - before_bytes
    met = "met" if held_bytes <= MAX_MEMORY_BYTES else "not met"
    print(
        f"{len(samples)} samples of {team_count} teams: "
        f"{table.series_count} series, {held_bytes / 2**20:.1f} MiB; "
        f"bound {MAX_MEMORY_BYTES / 2**20:.0f} MiB: {met}"
    )
    met = "met" if spent_us <= MAX_SAMPLE_US else "not met"
    print(
        f"recording: {spent_us:.1f} us CPU a sample, the making of series "
        f"included; bound {MAX_SAMPLE_US:.0f} us: {met}"
    )
    started_s = time.process_time()
    keys = table.keys(DURATION_S)
    readings = [reading for key in keys for reading in table.read(key)]
    spent_ms = (time.process_time() - started_s) * 1e3
    size_bytes = sum(len(reading.encoded) for reading in readings)
    print(
        f"reading all: {len(readings)} histograms, {size_bytes / 1024:.0f} "
        f"KiB, {spent_ms:.0f} ms CPU"
    )


def measure_counters() -> None:
    """Print the time of counting an event and of flushing to StatsD."""
    local_metrics = metrics.Metrics(None, "node")
    names = [f"service-{number}" for number in range(SERVICE_COUNT)]
    started_s = time.process_time()
    for name in names * 100:
        local_metrics.count(metrics.Counter.REQUESTS, service=name)
    spent_us = (time.process_time() - started_s) / (100 * len(names)) * 1e6
    print(f"counting: {spent_us:.2f} us CPU")
    statsd_metrics = metrics.Metrics("127.0.0.1:9", "node")
    statsd_metrics.start()
    for number in range(RATE_PER_S):
        for counter in list(metrics.Counter)[:4]:
            statsd_metrics.count(counter, service=names[number])
    started_s = time.process_time()
    statsd_metrics.flush()
    spent_ms = (time.process_time() - started_s) * 1e3
    print(f"flushing {4 * RATE_PER_S} series: {spent_ms:.2f} ms CPU a second")
    statsd_metrics.close()


if __name__ == "__main__":
    measure_histograms()
    measure_counters()
