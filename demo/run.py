"""Starts three nodes and six stand-in upstreams, and sends two requests.

A lookup and a booking go in at a node that owns no upstream of the service;
the answers say where they ran. Everything is stopped cleanly at the end.
"""

from __future__ import annotations

import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import httpcore

HOST = "127.0.0.1"
BASE_PORT = 17100
DOMAINS = ("atlanta-1", "atlanta-2", "atlanta-3")
UPSTREAM_COUNT = 6
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0

SETTINGS = """\
version = 1
caller_address = "{host}:{base}0"
control_address = "{host}:{base}1"
link_address = "{host}:{base}2"
gossip_address = "{host}:{base}3"
failure_domain = "{domain}"
region = "georgia"
seeds = ["{host}:{first}3"]
control_replicas = [{replicas}]
data_folder = "data-{number}"
insecure = true
log_file = "node-{number}.log"
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


class Demo:
    """The processes of the demo; :meth:`close` ends them all."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        """Start the nodes, then the upstreams at the last two nodes."""
        for number in range(len(DOMAINS)):
            self._start_node(number)
        for number in range(UPSTREAM_COUNT):
            self._start_upstream(number)

    def close(self) -> None:
        """Stop upstreams first, then nodes, and wait for each."""
        for process in reversed(self.processes):
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            code = process.wait(STOP_TIMEOUT_S)
            if code != 0:
                print(f"process {process.args!r} ended with {code}")

    def _start_node(self, number: int) -> None:
        settings = self.folder / f"node-{number}.toml"
        text = SETTINGS.format(
            host=HOST,
            base=BASE_PORT // 10 + number,
            first=BASE_PORT // 10,
            domain=DOMAINS[number],
            number=number,
            replicas=", ".join(
                f'"{HOST}:{BASE_PORT // 10 + replica}2"'
                for replica in range(len(DOMAINS))
            ),
        )
        settings.write_text(text)
        self._run("papayastall", "node", "--settings", str(settings))

    def _start_upstream(self, number: int) -> None:
        owners = [control_address(1 + number % 2), control_address(2)]
        self._run(
            "papayastall.emulator",
            f"--address={HOST}:{BASE_PORT + 50 + number}",
            "--service=visits",
            f"--announce={','.join(owners)}",
        )

    def _run(self, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", module, *arguments]
        self.processes.append(subprocess.Popen(command))


def control_address(number: int) -> str:
    """Return the control address of a node."""
    return f"{HOST}:{BASE_PORT // 10 + number}1"


def wait_for_control(number: int) -> None:
    """Wait until a node answers its operators."""
    deadline_s = time.monotonic() + START_TIMEOUT_S
    url = f"http://{control_address(number)}/v1/status"
    while True:
        try:
            httpcore.request("GET", url)
            return
        except httpcore.ConnectError:
            if time.monotonic() > deadline_s:
                raise
            time.sleep(0.1)


def apply_document(folder: pathlib.Path) -> None:
    """Declare the service through the command line."""
    path = folder / "visits.toml"
    path.write_text(DOCUMENT)
    subprocess.run(
        [
            sys.executable,
            "-m",
            "papayastall",
            "apply",
            "--wait",
            "--node",
            control_address(0),
            str(path),
        ],
        check=True,
    )


def send(method: str, path: str, body: bytes | None) -> bool:
    """Send a request in at the first node; return whether it was run."""
    url = f"http://{HOST}:{BASE_PORT // 10}0{path}"
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while True:
        response = httpcore.request(method, url, content=body)
        if response.status == 200 or time.monotonic() > deadline_s:
            break
        time.sleep(0.2)
    owner = dict(response.headers).get(b"Papayastall-Owner") or dict(
        response.headers
    ).get(b"papayastall-owner", b"?")
    print(f"{method} {path}: {response.status}, owner {owner.decode()}")
    print(f"  {response.content.decode()}")
    return response.status == 200


def main() -> int:
    """Run the demo; zero when both requests came back."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        demo = Demo(folder)
        try:
            demo.start()
            for number in range(len(DOMAINS)):
                wait_for_control(number)
            apply_document(folder)
            answered = send("GET", "/visits/status/17", None)
            booked = send("POST", "/visits/bookings", b'{"visit": 17}')
        finally:
            demo.close()
    print("stopped cleanly")
    return 0 if answered and booked else 1


if __name__ == "__main__":
    sys.exit(main())
