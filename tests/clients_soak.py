"""Soak of real processes with untrusted clients, signals and changes.

Crowds, stops, restarts, suspensions and changes of the configuration come in
series and overlap. The crowds keep their connections until their process is
gone. Beside them ordinary callers book and look up at all nodes.

Usage: python -m tests.clients_soak --seed N [--seconds S] [--nodes N]
Runs with different ``--net`` may run beside each other.
"""

from __future__ import annotations

import argparse
import contextlib
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
import typing as t

from tests import platform_fleet
from tests import untrusted_clients
from tests.untrusted_clients import Target

__all__ = ["Soak", "main"]

MEMORY_LIMIT_MB = 100
DESCRIPTOR_LIMIT = 400
LOOPBACK_NET = 64
TIMEOUT_MS = 4000
MAX_BODY_BYTES = 4 << 20
CROWD = 60
KEPT_CROWDS = 6
"""Crowds that are connected at a time; the oldest is closed for the next."""
WATCH_INTERVAL_S = 0.2
CALLER_INTERVAL_S = 0.3
INTERPRETER_START_S = 0.5
"""Time for Python to start; no program could handle a signal before."""
SERVED_TIMEOUT_S = 40.0
PROMISES = (408, 421, 429, 503)
"""Statuses that say that a request did not run."""

LIMITS = {
    "maxHeaderBytes": 16 << 10,
    "maxBodyBytes": MAX_BODY_BYTES,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def make_payload(rng: random.Random, target: Target) -> bytes:
    """Return what each connection of a crowd sends."""
    size = rng.choice([1000, 100_000, 1 << 20, MAX_BODY_BYTES])
    with_length = target.head(f"Content-Length: {size}")
    chunked = target.head("Transfer-Encoding: chunked")
    match rng.randrange(7):
        case 0:
            return with_length + bytes(size - 1)
        case 1:
            return with_length + bytes(size)
        case 2:
            return chunked + untrusted_clients.make_chunks(size, 1000)
        case 3:
            chunk_bytes = rng.choice([1, 2, 16])
            return chunked + untrusted_clients.make_chunks(
                min(size, 100_000), chunk_bytes
            )
        case 4:
            return target.head()[: rng.randrange(1, 40)]
        case 5:
            lookup = f"GET /visits/x HTTP/1.1\r\nHost: {platform_fleet.HOST}"
            head = f"{lookup}\r\nX-Large: {'h' * 4000}\r\n\r\n"
            return head.encode() * rng.randrange(2, 100)
        case _:
            line = b"X-T: " + bytes(b"t" * 1000) + b"\r\n"
            return chunked + b"1\r\nx\r\n0\r\n" + line * 1000


class Soak:
    """One run of the soak.

    :param folder: for the settings, logs and data of the processes.
    :param nodes: number of nodes.
    :param net: see :class:`platform_fleet.PlatformFleet`.
    :ivar violations: rules that were broken, in words.
    :ivar counts: number of answers to ordinary callers by status; 0 counts
        those without an answer.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        seconds: float,
        nodes: int,
        net: int = LOOPBACK_NET,
    ) -> None:
        services = ["orders", "visits"] * (nodes // 2 + 1)
        self._fleet = untrusted_clients.Fleet(
            folder,
            services[:nodes],
            net,
            MEMORY_LIMIT_MB,
            DESCRIPTOR_LIMIT,
        )
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._stopped = threading.Event()
        self._watched: dict[str, untrusted_clients.Process] = {}
        self._lock = threading.Lock()
        # Machines whose process is being replaced, and their crowds.
        self._replaced: set[str] = set()
        self._crowds: list[untrusted_clients.Crowd] = []
        self._bookings: dict[str, int] = {}
        self._version = 1
        self.violations: list[str] = []
        self.counts: dict[int, int] = {}

    def run(self) -> None:
        """Run the soak; afterwards :attr:`violations` tells the result."""
        with contextlib.ExitStack() as stack:
            fleet = stack.enter_context(
                untrusted_clients.run_fleet(self._fleet, LIMITS, TIMEOUT_MS)
            )
            fleet.wait_until_served(untrusted_clients.CALLERS, "before")
            stack.enter_context(fleet.beating())
            machines = [*fleet.nodes, *fleet.control]
            for machine in machines:
                self._watched[machine.name] = fleet.watch(machine)
            threads = [
                threading.Thread(target=self._call, args=(node,))
                for node in fleet.nodes
            ]
            threads.append(threading.Thread(target=self._watch))
            for thread in threads:
                thread.start()
            try:
                self._play()
                self._check_served("with the crowds connected")
            finally:
                self._stopped.set()
                for thread in threads:
                    thread.join()
                for crowd in self._crowds:
                    crowd.close()
            self._check_served("after")
            self._check_bookings()

    def _play(self) -> None:
        """Play the steps of this seed."""
        end_s = time.monotonic() + self._seconds
        disruptions: list[threading.Thread] = []
        while time.monotonic() < end_s:
            if self._rng.random() < 0.5:
                self._start_crowd()
            else:
                target, args = self._choose_disruption()
                thread = threading.Thread(
                    target=self._disrupt, args=(target, args)
                )
                thread.start()
                disruptions.append(thread)
            time.sleep(self._rng.choice([0.0, 0.2, 1.0]))
        for thread in disruptions:
            thread.join()

    def _disrupt(
        self, target: t.Callable[..., None], args: tuple[t.Any, ...]
    ) -> None:
        try:
            target(*args)
        except subprocess.TimeoutExpired as error:
            self.violations.append(f"a process does not stop: {error}")

    def _start_crowd(self) -> None:
        target = self._rng.choice(untrusted_clients.TARGETS)
        machine = self._rng.choice(self._fleet.nodes)
        port = target.port
        if target is untrusted_clients.OPERATORS:
            machine = self._rng.choice(self._fleet.control)
            port = "control"
        payload = make_payload(self._rng, target)
        piece_bytes = self._rng.choice([None, 1000, 16 << 10])
        crowd = untrusted_clients.Crowd(
            self._fleet.address(machine, port), self._rng.randrange(1, CROWD)
        )
        self._crowds.append(crowd)
        if len(self._crowds) > KEPT_CROWDS:
            self._crowds.pop(0).close()
        crowd.send(payload, piece_bytes, limit_s=2.0)

    def _choose_disruption(
        self,
    ) -> tuple[t.Callable[..., None], tuple[t.Any, ...]]:
        fleet = self._fleet
        machine = self._rng.choice(
            [*fleet.nodes, *fleet.nodes, *fleet.control]
        )
        match self._rng.randrange(5):
            case 0:
                return self._signal, (machine, [signal.SIGHUP] * 3)
            case 1:
                return self._replace, (machine, signal.SIGTERM)
            case 2:
                return self._replace, (machine, signal.SIGKILL)
            case 3:
                pause_s = self._rng.uniform(0.2, 1.5)
                return self._suspend, (machine, pause_s)
            case _:
                return self._configure, ()

    def _signal(
        self, machine: platform_fleet.Machine, numbers: list[int]
    ) -> None:
        for number in numbers:
            with self._lock:
                if machine.name not in self._replaced:
                    assert machine.process is not None
                    machine.process.send_signal(number)
            time.sleep(0.05)

    def _suspend(
        self, machine: platform_fleet.Machine, pause_s: float
    ) -> None:
        self._signal(machine, [signal.SIGSTOP])
        time.sleep(pause_s)
        self._signal(machine, [signal.SIGCONT])

    def _replace(self, machine: platform_fleet.Machine, number: int) -> None:
        with self._lock:
            # Of the control replicas, one at a time.
            is_control = machine in self._fleet.control
            if machine.name in self._replaced or (
                is_control and any("core" in each for each in self._replaced)
            ):
                return
            self._replaced.add(machine.name)
        assert machine.process is not None
        # A stopped process gets no SIGTERM before it goes on.
        machine.process.send_signal(signal.SIGCONT)
        self._fleet.stop_machine(machine, number)
        self._fleet.start_machine(machine)
        time.sleep(INTERPRETER_START_S)
        with self._lock:
            self._watched[machine.name] = self._fleet.watch(machine)
            self._replaced.discard(machine.name)

    def _configure(self) -> None:
        with self._lock:
            base = self._version
            self._version += 1
        config = platform_fleet.make_config(
            base + 1, base, visits=TIMEOUT_MS, orders=TIMEOUT_MS
        )
        config["resources"].append(
            {"type": "limits", "metadata": {"name": "limits"}, "spec": LIMITS}
        )
        for machine in self._fleet.control * 4:
            with contextlib.suppress(OSError):
                answer = self._fleet.configure(machine, "PUT", config)
                if answer.status in (200, 412):
                    return
            time.sleep(0.2)

    def _call(self, node: platform_fleet.Machine) -> None:
        number = 0
        while not self._stopped.wait(CALLER_INTERVAL_S):
            number += 1
            path = "/orders/x" if number % 2 else "/visits/x"
            name = f"{node.name}-{number}"
            status = 0
            with contextlib.suppress(OSError):
                headers = {"Request-Id": name, "Deadline-Ms": str(TIMEOUT_MS)}
                status = self._fleet.send_request(node, path, **headers).status
            with self._lock:
                self.counts[status] = self.counts.get(status, 0) + 1
                if path.startswith("/orders/"):
                    self._bookings[name] = status

    def _watch(self) -> None:
        while not self._stopped.wait(WATCH_INTERVAL_S):
            with self._lock:
                watched = {
                    name: process
                    for name, process in self._watched.items()
                    if name not in self._replaced
                }
                for name, process in watched.items():
                    if problem := process.find_problem():
                        self.violations.append(f"{name}: {problem}")
                        del self._watched[name]

    def _check_served(self, when: str) -> None:
        try:
            self._fleet.wait(
                lambda: self._fleet.serve(untrusted_clients.CALLERS),
                f"ordinary requests are answered {when}",
                SERVED_TIMEOUT_S,
            )
        except AssertionError as error:
            self.violations.append(str(error))

    def _check_bookings(self) -> None:
        runs: dict[str, int] = {}
        for upstream in self._fleet.upstreams:
            for name, count in upstream.runs.items():
                runs[name] = runs.get(name, 0) + count
        for name, status in self._bookings.items():
            count = runs.get(name, 0)
            if count > 1:
                self.violations.append(f"{name} ran {count} times")
            if count and status in PROMISES:
                self.violations.append(f"{name} ran and got {status}")
            if not count and status == 200:
                self.violations.append(f"{name} got 200 and did not run")


def main() -> int:
    """Run the soak of one seed; return 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--net", type=int, default=LOOPBACK_NET)
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp())
    soak = Soak(
        folder, options.seed, options.seconds, options.nodes, options.net
    )
    soak.run()
    print(
        f"seed {options.seed}: {len(soak.violations)} violations, answers "
        f"{dict(sorted(soak.counts.items()))}, logs in {folder}"
    )
    for violation in soak.violations[:10]:
        print(f"  {violation}")
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())
