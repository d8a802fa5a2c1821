"""CPU time of a platform process until it listens, and its memory after.

Usage: node_start [--runs=N]

Targets: at most 0.25 s of CPU time from exec to listening, at most 40 MB
resident in an idle process.
"""

from __future__ import annotations

import pathlib
import statistics
import sys
import tempfile
import time

import docopt
from tests import platform_fleet

from bench import node_process

START_TARGET_S = 0.25
MEMORY_TARGET_MB = 40.0
IDLE_S = 5.0
POLL_INTERVAL_S = 0.005
START_TIMEOUT_S = 30.0
LOOPBACK_NET = 90
"""Second part of the loopback addresses; differs from the tests' fleets."""


def read_peak_mb(pid: int) -> float:
    """Return the peak resident memory of a process, in megabytes."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (line,) = [x for x in status.splitlines() if x.startswith("VmHWM")]
    return int(line.split()[1]) / 1024


def measure_start_s(
    fleet: platform_fleet.PlatformFleet, machine: platform_fleet.Machine
) -> float:
    """Start a process; return its CPU time once it listens.

    :raises TimeoutError: if it doesn't listen on its control address in
        time.
    """
    fleet.start_machine(machine, bootstrap=True)
    assert machine.process is not None
    address = fleet.address(machine, "control")
    end_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end_s:
        try:
            fleet.call(address, "GET", "/")
        except OSError:
            time.sleep(POLL_INTERVAL_S)
            continue
        return node_process.read_cpu_s(machine.process.pid)
    raise TimeoutError(
        f"{machine.name} does not listen on its control address"
    )


def main() -> None:
    """Print CPU time and memory of node and control processes."""
    assert __doc__ is not None
    arguments = docopt.docopt(__doc__, sys.argv[1:])
    runs = int(arguments["--runs"] or 5)
    with tempfile.TemporaryDirectory() as folder:
        fleet = platform_fleet.PlatformFleet(
            pathlib.Path(folder), ["one"] * runs, LOOPBACK_NET
        )
        try:
            nodes = [measure_start_s(fleet, m) for m in fleet.nodes]
            control = [measure_start_s(fleet, m) for m in fleet.control]
            time.sleep(IDLE_S)
            for role, starts_s, machines in (
                ("node", nodes, fleet.nodes),
                ("control", control, fleet.control),
            ):
                peaks_mb = [
                    read_peak_mb(m.process.pid)
                    for m in machines
                    if m.process is not None
                ]
                print(
                    f"{role}: start {statistics.median(starts_s):.2f} s of "
                    f"CPU time (target {START_TARGET_S}), peak "
                    f"{max(peaks_mb):.1f} MB (target {MEMORY_TARGET_MB:g})"
                )
        finally:
            fleet.close()


if __name__ == "__main__":
    main()
