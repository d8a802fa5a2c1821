"""Demo with three nodes, six emulated upstreams and two requests.

Usage:
  run [--program=FILE]

Options:
  --program=FILE  single-file program that runs the nodes and commands,
                  instead of the package of this checkout

A lookup and a booking are sent to a node that owns no upstream of the
service; the answers name the upstreams that ran them. At the end all
processes are stopped gracefully.
"""

from __future__ import annotations

import contextlib
import dataclasses
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import docopt
import httpcore

HOST = "127.0.0.1"
FAILURE_DOMAINS = ("atlanta-1", "atlanta-2", "atlanta-3")
UPSTREAM_COUNT = 6
PORTS_PER_NODE = 4
PORT_RANGE = range(20_000, 32_000)
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.2

LOOKUP_PATH = "/visits/status/17"
BOOKING_PATH = "/visits/bookings"

SETTINGS = """\
version = 1
caller_address = "{node.caller}"
control_address = "{node.control}"
link_address = "{node.link}"
gossip_address = "{node.gossip}"
failure_domain = "{node.domain}"
region = "georgia"
seeds = ["{seed}"]
control_replicas = [{replicas}]
data_folder = "data-{node.domain}"
insecure = true
log_file = "{node.domain}.log"
"""

DOCUMENT = """\
version = 1
name = "visits"
revision = 1
floor_slots = 14
timeout_ms = 2000
health_priority = "detection"

[[routes]]
name = "status"
methods = ["GET"]
path = "/visits/status"
kind = "lookup"

[[routes]]
name = "book"
methods = ["POST"]
path = "/visits/bookings"
kind = "non-idempotent"
"""


@dataclasses.dataclass(slots=True, frozen=True)
class NodeAddresses:
    """Listen addresses and failure domain of one node."""

    domain: str
    caller: str
    control: str
    link: str
    gossip: str


class Demo:
    """Processes of the demo; :meth:`close` stops them all.

    :param folder: folder for settings, documents and logs.
    :param program: command that runs papayastall.
    """

    def __init__(self, folder: pathlib.Path, program: list[str]) -> None:
        self._folder = folder
        self._program = program
        self._processes: list[subprocess.Popen[bytes]] = []
        addresses = iter(
            find_free_addresses(
                len(FAILURE_DOMAINS) * PORTS_PER_NODE + UPSTREAM_COUNT
            )
        )
        self.nodes = [
            NodeAddresses(domain, *[next(addresses) for _ in range(4)])
            for domain in FAILURE_DOMAINS
        ]
        self._upstreams = list(addresses)

    def start(self) -> None:
        """Start the nodes, then the upstreams owned by the last two nodes."""
        replicas = ", ".join(f'"{node.link}"' for node in self.nodes)
        for node in self.nodes:
            path = self._folder / f"{node.domain}.toml"
            text = SETTINGS.format(
                node=node, seed=self.nodes[0].gossip, replicas=replicas
            )
            path.write_text(text)
            self.run_command("init", "--settings", str(path))
            command = [*self._program, "node", "--settings", str(path)]
            self._processes.append(subprocess.Popen(command))
        for node in self.nodes:
            wait_for_status(node.control, "/v1/status")
        for number, address in enumerate(self._upstreams):
            self._start_upstream(number, address)

    def close(self) -> None:
        """Send SIGTERM to the upstreams, then the nodes, and wait for all."""
        for process in reversed(self._processes):
            process.send_signal(signal.SIGTERM)
        for process in self._processes:
            code = process.wait(STOP_TIMEOUT_S)
            if code != 0:
                print(f"process {process.args!r} exited with code {code}")

    def apply_document(self) -> None:
        """Apply the document of the service with ``papayastall apply``."""
        path = self._folder / "visits.toml"
        path.write_text(DOCUMENT)
        control = self.nodes[0].control
        self.run_command("apply", "--wait", f"--node={control}", str(path))

    def run_command(self, *argv: str) -> None:
        """Run a papayastall command, with its output on the terminal.

        :raises subprocess.CalledProcessError: the exit code isn't 0.
        """
        print(f"$ papayastall {' '.join(argv)}", flush=True)
        subprocess.run([*self._program, *argv], check=True)

    def _start_upstream(self, number: int, address: str) -> None:
        owners = self.nodes[1:]
        first = owners[number % len(owners)]
        others = [node for node in owners if node is not first]
        controls = [node.control for node in (first, *others)]
        command = [
            *(sys.executable, "-m", "papayastall.emulator"),
            f"--address={address}",
            "--service=visits",
            f"--announce={','.join(controls)}",
        ]
        self._processes.append(subprocess.Popen(command))


def find_free_addresses(count: int) -> list[str]:
    """Return addresses whose ports are free for TCP and UDP.

    The ports lie below the range from which Linux by default assigns ports
    to outgoing connections, so that no connection takes one before its use.

    :raises OSError: too few ports are free.
    """
    addresses: list[str] = []
    with contextlib.ExitStack() as sockets:
        for port in random.SystemRandom().sample(PORT_RANGE, len(PORT_RANGE)):
            stream = sockets.enter_context(socket.socket())
            datagram = sockets.enter_context(
                socket.socket(type=socket.SOCK_DGRAM)
            )
            try:
                stream.bind((HOST, port))
                datagram.bind((HOST, port))
            except OSError:
                continue
            addresses.append(f"{HOST}:{port}")
            if len(addresses) == count:
                return addresses
    raise OSError(f"found {len(addresses)} free ports, {count} are needed")


def wait_for_status(address: str, path: str) -> None:
    """Poll a path with GET until it answers with status 200.

    :raises TimeoutError: it did not within ``START_TIMEOUT_S``.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            response = httpcore.request("GET", f"http://{address}{path}")
        except httpcore.ConnectError:
            response = None
        if response is not None and response.status == 200:
            return
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"no answer with status 200 from {address}{path}")


def main() -> int:
    """Run the demo.

    :return: 0 if both requests were answered and all commands succeeded.
    :raises subprocess.CalledProcessError: a command failed.
    """
    assert __doc__ is not None
    arguments = docopt.docopt(__doc__)
    program = [sys.executable, "-m", "papayastall"]
    if arguments["--program"]:
        program = [sys.executable, arguments["--program"]]
    with tempfile.TemporaryDirectory() as name:
        demo = Demo(pathlib.Path(name), program)
        try:
            demo.start()
            demo.apply_document()
            caller = demo.nodes[0].caller
            wait_for_status(caller, LOOKUP_PATH)
            demo.run_command("demo", caller, LOOKUP_PATH, BOOKING_PATH)
        finally:
            demo.close()
    print("stopped cleanly")
    return 0


if __name__ == "__main__":
    sys.exit(main())
