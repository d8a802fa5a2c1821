"""Memory and CPU time of idle node processes, at present fleet sizes.

Starts the nodes of a fleet as processes and reads their memory and CPU time
from /proc.
"""

from __future__ import annotations

import pathlib
import resource
import subprocess
import sys
import tempfile
import time

from demo import run as demo

NODE_COUNTS = (3, 9, 21)
REPLICA_COUNT = 3
SETTLE_S = 20.0
IDLE_S = 10.0
CLOCK_TICKS_PER_S = 100
UTIME_FIELD = 11
"""Index of utime, which stime follows, among the fields of /proc/PID/stat
after the name in parentheses."""

MAX_CORE_SHARE = 0.016
MAX_MEMORY_BYTES = 128 << 20

SETTINGS = """\
version = 1
caller_address = "{caller}"
control_address = "{control}"
link_address = "{link}"
gossip_address = "{gossip}"
failure_domain = "domain-{domain}"
region = "r"
seeds = [{seeds}]
control_replicas = [{replicas}]
{data_folder}
insecure = true
log_file = "node-{number}.log"
"""


def read_cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])
    return ticks / CLOCK_TICKS_PER_S


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * resource.getpagesize()


def write_settings(
    folder: pathlib.Path, count: int, replica_count: int
) -> list[pathlib.Path]:
    """Write the settings files of a fleet; return their paths.

    :param replica_count: number of nodes, from the first on, with a control
        replica; their data folders are created.
    """
    addresses = demo.find_free_addresses(count * demo.PORTS_PER_NODE)
    nodes = [addresses[number * 4 : number * 4 + 4] for number in range(count)]
    replicas = ", ".join(f'"{node[2]}"' for node in nodes[:replica_count])
    paths = []
    for number, (caller, control, link, gossip) in enumerate(nodes):
        is_replica = number < replica_count
        text = SETTINGS.format(
            caller=caller,
            control=control,
            link=link,
            gossip=gossip,
            domain=number % 3,
            seeds=f'"{nodes[0][3]}"' if number else "",
            replicas=replicas,
            data_folder=f'data_folder = "data-{number}"' if is_replica else "",
            number=number,
        )
        path = folder / f"node-{number}.toml"
        path.write_text(text)
        if is_replica:
            command = [sys.executable, "-m", "papayastall", "init"]
            subprocess.run(
                [*command, "--settings", str(path)],
                check=True,
                stdout=subprocess.DEVNULL,
            )
        paths.append(path)
    return paths


def measure(count: int) -> tuple[float, float]:
    """Return the median core share and memory of the nodes of an idle fleet.

    :param count: number of nodes in the fleet.
    """
    with tempfile.TemporaryDirectory() as name:
        command = [sys.executable, "-m", "papayastall", "node", "--settings"]
        processes = [
            subprocess.Popen([*command, str(path)])
            for path in write_settings(
                pathlib.Path(name), count, REPLICA_COUNT
            )
        ]
        try:
            time.sleep(SETTLE_S)
            before = [read_cpu_s(process.pid) for process in processes]
            time.sleep(IDLE_S)
            after = [read_cpu_s(process.pid) for process in processes]
            resident_bytes = [
                read_resident_bytes(process.pid) for process in processes
            ]
        finally:
            for process in processes:
                process.terminate()
            for process in processes:
                process.wait()
    shares = sorted(
        (late - early) / IDLE_S
        for early, late in zip(before, after, strict=True)
    )
    resident_bytes.sort()
    print(
        f"{count} nodes, idle: {resident_bytes[0] / 2**20:.0f} to "
        f"{resident_bytes[-1] / 2**20:.0f} MiB, {shares[0]:.2%} to "
        f"{shares[-1]:.2%} of a core each"
    )
    return shares[len(shares) // 2], resident_bytes[len(resident_bytes) // 2]


def main() -> None:
    """Print core share and memory of idle nodes, and whether in bounds."""
    for count in NODE_COUNTS:
        share, held_bytes = measure(count)
    share_met = "met" if share <= MAX_CORE_SHARE else "not met"
    memory_met = "met" if held_bytes <= MAX_MEMORY_BYTES else "not met"
    print(
        f"median of the largest fleet: {share:.2%} of a core, bound "
        f"{MAX_CORE_SHARE:.1%}: {share_met}; {held_bytes / 2**20:.0f} MiB, "
        f"bound {MAX_MEMORY_BYTES / 2**20:.0f} MiB: {memory_met}"
    )


if __name__ == "__main__":
    main()
