"""Clients that nobody controls, and a fleet of real processes for them."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import itertools
import os
import pathlib
import signal
import socket
import threading
import time
import typing as t

from tests import platform_fleet
from tests import platform_upstream

__all__ = [
    "CALLERS",
    "HEARTBEATS",
    "OPERATORS",
    "READINESS",
    "TARGETS",
    "WAIT_TIMEOUT_S",
    "Crowd",
    "Fleet",
    "Process",
    "Target",
    "check_processes",
    "crowd",
    "make_chunks",
    "run_fleet",
]

WAIT_TIMEOUT_S = 30.0
SEND_LIMIT_S = 30.0
"""Time for sending all that a process reads at all."""
STALL_S = 1.5
"""Time without progress after which a crowd stops sending."""
QUIET_S = 1.5
"""Time without more memory after which a process has read what it reads."""
BEAT_INTERVAL_S = 1.0
SEQUENCES = itertools.count(1)


class Target:
    """A port of a process that untrusted clients connect to.

    :param path: path of requests with a body.
    """

    def __init__(self, port: str, method: str, path: str) -> None:
        self.port = port
        self.method = method
        self.path = path

    def __repr__(self) -> str:
        return self.port

    def head(self, *headers: str) -> bytes:
        """Return the head of a request with a body."""
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            f"Host: {platform_fleet.HOST}",
            *headers,
        ]
        return "\r\n".join([*lines, "", ""]).encode()


CALLERS = Target("outbound", "POST", "/orders/x")
HEARTBEATS = Target("control", "PUT", "/papayastall/instances/i-9")
OPERATORS = Target("operator", "PUT", "/papayastall/config")
READINESS = Target("ready", "GET", "/papayastall/readyz")
TARGETS = [CALLERS, HEARTBEATS, OPERATORS, READINESS]


class Crowd:
    """Connections that each send a payload and then stay open."""

    def __init__(self, address: str, count: int) -> None:
        host, _, port = address.rpartition(":")
        self._sockets: list[socket.socket] = []
        for _ in range(count):
            each = socket.socket()
            # They read nothing, and the kernel reads little for them.
            each.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            each.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                each.connect((host, int(port)))
            self._sockets.append(each)
        time.sleep(0.2)

    def close(self) -> None:
        for each in self._sockets:
            each.close()

    def send(
        self,
        payload: bytes,
        piece_bytes: int | None = None,
        limit_s: float = SEND_LIMIT_S,
    ) -> int:
        """Send the payload on every connection; return the bytes taken.

        :param piece_bytes: length of the pieces that are sent in turn;
            ``None`` to send as much as each connection takes.
        :param limit_s: time after which no more is sent.
        """
        view = memoryview(payload)
        open_sockets = dict.fromkeys(self._sockets, 0)
        end_s = time.monotonic() + limit_s
        progress_s = time.monotonic()
        total = 0
        while open_sockets and time.monotonic() < end_s:
            before = total
            for each, sent in list(open_sockets.items()):
                end = len(view)
                if piece_bytes is not None:
                    end = min(end, sent + piece_bytes)
                try:
                    count = each.send(view[sent:end])
                except BlockingIOError:
                    continue
                except OSError:
                    del open_sockets[each]
                    continue
                total += count
                open_sockets[each] = sent + count
                if sent + count == len(view):
                    del open_sockets[each]
            if total > before:
                progress_s = time.monotonic()
            elif time.monotonic() - progress_s > STALL_S:
                break
            else:
                time.sleep(0.01)
        return total


class Process:
    """What the kernel says of one process of the fleet.

    :param memory_limit_mb: memory that it may use, including bytes that its
        sockets have received and it has not read.
    :param descriptor_limit: descriptors that it may open.
    """

    def __init__(
        self,
        machine: platform_fleet.Machine,
        memory_limit_mb: int,
        descriptor_limit: int,
    ) -> None:
        assert machine.process is not None
        self._machine = machine
        self._process = machine.process
        self._memory_limit_mb = memory_limit_mb
        self._descriptor_limit = descriptor_limit
        self._unread_mb = 0.0
        self._descriptors = 0
        self._path = pathlib.Path(f"/proc/{self._process.pid}")
        # Resets the peak of the resident memory.
        (self._path / "clear_refs").write_text("5")

    def _read_peak_mb(self) -> float:
        for line in (self._path / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise AssertionError("the process has ended")

    def _read_unread_mb(self) -> float:
        inodes = set()
        for path in (self._path / "fd").iterdir():
            with contextlib.suppress(OSError):
                inodes.add(os.readlink(path))
        total = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if f"socket:[{fields[9]}]" in inodes and fields[3] != "0A":
                total += int(fields[4].partition(":")[2], 16)
        return total / (1 << 20)

    def used_mb(self) -> float:
        """Return the most memory that counts as its own, so far."""
        self._unread_mb = max(self._unread_mb, self._read_unread_mb())
        self._descriptors = max(
            self._descriptors, len(os.listdir(self._path / "fd"))
        )
        return self._read_peak_mb() + self._unread_mb

    def find_problem(self) -> str:
        """Return why it has not kept its limits; "" if it has."""
        if self._machine.process is not self._process:
            return "the process was replaced"
        if self._process.poll() is not None:
            return f"the process has ended with {self._process.returncode}"
        used_mb = self.used_mb()
        if used_mb > self._memory_limit_mb:
            return f"{used_mb:.0f} MB, {self._unread_mb:.0f} MB unread"
        if self._descriptors > self._descriptor_limit:
            return f"{self._descriptors} descriptors"
        return ""

    def check(self) -> None:
        """Check that it lives and has kept its limits."""
        problem = self.find_problem()
        print(
            f"{self._machine.name}: {self.used_mb():.0f} MB, unread "
            f"{self._unread_mb:.0f} MB, {self._descriptors} descriptors"
        )
        assert not problem, f"{self._machine.name}: {problem}"


def check_processes(processes: cabc.Sequence[Process]) -> None:
    """Check that processes live and keep their limits, once all are quiet."""
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    known_mb, since_s = 0.0, time.monotonic()
    while time.monotonic() < min(end_s, since_s + QUIET_S):
        used_mb = sum(process.used_mb() for process in processes)
        if used_mb > known_mb:
            known_mb, since_s = used_mb, time.monotonic()
        time.sleep(0.1)
    for process in processes:
        process.check()


class Fleet(platform_fleet.PlatformFleet):
    """Nodes with an upstream each, and control replicas.

    :param memory_limit_mb: memory that each process may use.
    :param descriptor_limit: descriptors that each process may open.
    :ivar slots: requests that each upstream runs at a time.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        services: t.Sequence[str],
        net: int,
        memory_limit_mb: int,
        descriptor_limit: int,
    ) -> None:
        limits = {"memoryMb": memory_limit_mb, "maxFds": descriptor_limit}
        super().__init__(folder, services, net, limits=limits)
        self.memory_limit_mb = memory_limit_mb
        self.descriptor_limit = descriptor_limit
        self.slots = 4
        self.upstreams: list[platform_upstream.Upstream] = []

    def machine(self, target: Target) -> platform_fleet.Machine:
        return self.control[0] if target is OPERATORS else self.nodes[0]

    def target_address(self, target: Target) -> str:
        port = "control" if target is OPERATORS else target.port
        return self.address(self.machine(target), port)

    def watch(self, machine: platform_fleet.Machine) -> Process:
        return Process(machine, self.memory_limit_mb, self.descriptor_limit)

    def beat(self) -> int:
        """Send a heartbeat of each upstream; return the worst status."""
        statuses = [
            self.send_heartbeat(
                machine,
                f"i-{n}",
                sequence=next(SEQUENCES),
                maxConcurrency=self.slots,
            ).status
            for n, machine in enumerate(self.nodes)
        ]
        return max(statuses)

    @contextlib.contextmanager
    def beating(self) -> cabc.Iterator[None]:
        """Send heartbeats of all upstreams meanwhile, as they would."""
        stopped = threading.Event()

        def run() -> None:
            while not stopped.wait(BEAT_INTERVAL_S):
                with contextlib.suppress(OSError):
                    self.beat()

        thread = threading.Thread(target=run)
        thread.start()
        try:
            yield
        finally:
            stopped.set()
            thread.join()

    def serve(self, target: Target) -> bool:
        """Return whether an ordinary request at a port is answered."""
        if target is OPERATORS:
            return self.configure(self.control[0], "GET").status == 200
        if target is READINESS:
            return self.is_ready(self.nodes[0])
        beaten = self.beat() == 200
        if target is HEARTBEATS:
            return beaten
        return self.serve_callers()

    def serve_callers(self) -> bool:
        """Return whether each node answers a booking and a lookup."""
        return all(
            self.send_request(node, path).status == 200
            for node in self.nodes
            for path in ("/orders/x", "/visits/x")
        )

    def wait_until_served(self, target: Target, when: str) -> None:
        self.wait(
            lambda: self.serve(target),
            f"an ordinary request is answered {when}",
            WAIT_TIMEOUT_S,
        )

    def restart(self, machine: platform_fleet.Machine) -> None:
        """Replace the process, so that memory of earlier tests is freed."""
        self.stop_machine(machine, signal.SIGKILL)
        self.start_machine(machine)


@contextlib.contextmanager
def run_fleet(
    running: Fleet, limits: dict[str, int], timeout_ms: int
) -> cabc.Iterator[Fleet]:
    """Run a fleet, its configuration and its upstreams.

    :param limits: limits of the configuration.
    :param timeout_ms: timeout of all routes.
    """
    with contextlib.ExitStack() as stack:
        stack.callback(running.close)
        running.start()
        config = platform_fleet.make_config(
            1, 0, visits=timeout_ms, orders=timeout_ms
        )
        config["resources"].append(
            {"type": "limits", "metadata": {"name": "limits"}, "spec": limits}
        )
        running.wait(
            lambda: (
                running.configure(running.control[0], "PUT", config).status
                == 200
            ),
            "the configuration is accepted",
            WAIT_TIMEOUT_S,
        )
        for n, machine in enumerate(running.nodes):
            address = running.address(machine, "app")
            upstream = platform_upstream.Upstream(address, f"i-{n}")
            running.upstreams.append(upstream)
            stack.callback(upstream.close)
        yield running


@contextlib.contextmanager
def crowd(
    fleet: Fleet, target: Target, count: int, port: str = ""
) -> cabc.Iterator[Crowd]:
    """Run a crowd; check the processes while its connections are open.

    All nodes are checked, and the machine that the crowd connects to.

    :param port: port that the crowd connects to, if not the target's.
    """
    machine = fleet.machine(target)
    machines = [machine, *(n for n in fleet.nodes if n is not machine)]
    for each in machines:
        fleet.restart(each)
    fleet.wait_until_served(target, "before")
    fleet.wait_until_served(CALLERS, "before")
    processes = [fleet.watch(each) for each in machines]
    address = fleet.target_address(target)
    clients = Crowd(fleet.address(machine, port) if port else address, count)
    with fleet.beating():
        try:
            yield clients
            check_processes(processes)
            fleet.wait_until_served(target, "with the crowd connected")
            check_processes(processes)
        finally:
            clients.close()
        fleet.wait_until_served(target, "after")
        fleet.wait_until_served(CALLERS, "after")


def make_chunks(size: int, chunk_bytes: int) -> bytes:
    """Return a chunked body that lacks its last byte."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"b" * chunk_bytes)
    return chunk * (size // chunk_bytes) + b"0\r\n\r"
