"""Untrusted clients that try to exhaust memory, with real processes.

Guards against clients that end or block a process by making it keep what
they send: endless trailers, bodies that stop short of their end, small
chunks, pipelined requests of which no answer is read, frames of links. The
clients' connections stay open while an ordinary request is sent. Nothing
here depends on the speed of the machine.
"""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import itertools
import os
import pathlib
import signal
import socket
import struct
import time

import pytest

from papayastall import _frames
from tests import platform_fleet
from tests import platform_upstream

WAIT_TIMEOUT_S = 30.0
SEND_LIMIT_S = 30.0
"""Time for sending all that a process reads at all."""
STALL_S = 1.5
"""Time without progress after which a crowd stops sending."""
LOOPBACK_NET = 61
MEMORY_LIMIT_MB = 100
DESCRIPTOR_LIMIT = 400
IDLE_CONNECTIONS = 700
QUIET_S = 1.5
"""Time without more memory after which a process has read what it reads."""
MAX_BODY_BYTES = 4 << 20
MAX_HEADER_BYTES = 16 << 10
CHUNK_BYTES = 64 << 10
ONE_BYTE_CHUNKS = 1_250_000
SEQUENCES = itertools.count(1)

LIMITS = {
    "type": "limits",
    "metadata": {"name": "limits"},
    "spec": {
        "maxHeaderBytes": MAX_HEADER_BYTES,
        "maxBodyBytes": MAX_BODY_BYTES,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


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
TARGETS = [CALLERS, HEARTBEATS, OPERATORS]


class Crowd:
    """Connections that each send a payload and then stay open."""

    def __init__(self, address: str, count: int) -> None:
        host, _, port = address.rpartition(":")
        self._sockets: list[socket.socket] = []
        for _ in range(count):
            each = socket.socket()
            each.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                each.connect((host, int(port)))
            self._sockets.append(each)
        time.sleep(0.2)

    def close(self) -> None:
        for each in self._sockets:
            each.close()

    def send(self, payload: bytes, piece_bytes: int | None = None) -> int:
        """Send the payload on every connection; return the bytes taken.

        :param piece_bytes: length of the pieces that are sent in turn;
            ``None`` to send as much as each connection takes.
        """
        view = memoryview(payload)
        open_sockets = dict.fromkeys(self._sockets, 0)
        end_s = time.monotonic() + SEND_LIMIT_S
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
    """What the kernel says of one process of the fleet."""

    def __init__(self, machine: platform_fleet.Machine) -> None:
        assert machine.process is not None
        self._machine = machine
        self._process = machine.process
        self._path = pathlib.Path(f"/proc/{self._process.pid}")
        # Resets the peak of the resident memory.
        (self._path / "clear_refs").write_text("5")

    def peak_mb(self) -> float:
        for line in (self._path / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise AssertionError("the process has ended")

    def descriptors(self) -> int:
        return len(os.listdir(self._path / "fd"))

    def check(self) -> None:
        """Check that it lives and keeps its limits, once it is quiet."""
        end_s = time.monotonic() + WAIT_TIMEOUT_S
        known_mb, since_s, descriptors = 0.0, 0.0, self.descriptors()
        while time.monotonic() < min(end_s, since_s + QUIET_S) or not since_s:
            if self.peak_mb() > known_mb:
                known_mb, since_s = self.peak_mb(), time.monotonic()
            descriptors = max(descriptors, self.descriptors())
            time.sleep(0.1)
        assert self._machine.process is self._process
        assert self._process.poll() is None, "the process has ended"
        peak_mb = self.peak_mb()
        print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors")
        assert peak_mb <= MEMORY_LIMIT_MB
        assert descriptors <= DESCRIPTOR_LIMIT


class Fleet(platform_fleet.PlatformFleet):
    """A node with two upstreams' services, and control replicas."""

    def machine(self, target: Target) -> platform_fleet.Machine:
        return self.control[0] if target is OPERATORS else self.nodes[0]

    def target_address(self, target: Target) -> str:
        port = "outbound" if target is CALLERS else "control"
        return self.address(self.machine(target), port)

    def beat(self) -> int:
        statuses = [
            self.send_heartbeat(
                machine, f"i-{n}", sequence=next(SEQUENCES)
            ).status
            for n, machine in enumerate(self.nodes)
        ]
        return max(statuses)

    def serve(self, target: Target) -> bool:
        """Return whether an ordinary request is answered."""
        if target is OPERATORS:
            return self.configure(self.control[0], "GET").status == 200
        beaten = self.beat() == 200
        if target is HEARTBEATS:
            return beaten
        return self.send_request(self.nodes[0], "/orders/x").status == 200

    def restart(self, machine: platform_fleet.Machine) -> None:
        """Replace the process, so that memory of earlier tests is freed."""
        self.stop_machine(machine, signal.SIGKILL)
        self.start_machine(machine)


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> cabc.Iterator[Fleet]:
    folder = tmp_path_factory.mktemp("untrusted")
    limits = {"memoryMb": MEMORY_LIMIT_MB, "maxFds": DESCRIPTOR_LIMIT}
    running = Fleet(folder, ["orders", "visits"], LOOPBACK_NET, limits=limits)
    with contextlib.ExitStack() as stack:
        stack.callback(running.close)
        running.start()
        config = platform_fleet.make_config(1, 0, visits=4000, orders=4000)
        config["resources"].append(LIMITS)
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
            stack.callback(upstream.close)
        yield running


def make_trailers() -> bytes:
    line = b"X-T: " + b"t" * 1000 + b"\r\n"
    return b"1\r\nx\r\n0\r\n" + line * 40_000


def make_chunks(size: int, chunk_bytes: int) -> bytes:
    """Return a chunked body that lacks its last byte."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"b" * chunk_bytes)
    return chunk * (size // chunk_bytes) + b"0\r\n\r"


def make_pipeline(count: int) -> bytes:
    head = (
        f"GET /visits/x HTTP/1.1\r\nHost: {platform_fleet.HOST}\r\n"
        "Request-Id: id-2\r\nDeadline-Ms: 2000\r\n"
        f"X-Large: {'h' * 8000}\r\n\r\n"
    )
    return head.encode() * count


@contextlib.contextmanager
def crowd(fleet: Fleet, target: Target, count: int) -> cabc.Iterator[Crowd]:
    """Run a crowd; check the process while its connections are open."""
    machine = fleet.machine(target)
    fleet.restart(machine)
    fleet.wait(
        lambda: fleet.serve(target),
        "an ordinary request is answered before",
        WAIT_TIMEOUT_S,
    )
    process = Process(machine)
    clients = Crowd(fleet.target_address(target), count)
    try:
        yield clients
        process.check()
        fleet.wait(
            lambda: fleet.serve(target),
            "an ordinary request is answered",
            WAIT_TIMEOUT_S,
        )
        process.check()
    finally:
        clients.close()


@pytest.mark.parametrize("target", TARGETS, ids=repr)
def test_trailers_without_end(fleet: Fleet, target: Target) -> None:
    with crowd(fleet, target, 4) as clients:
        head = target.head("Transfer-Encoding: chunked")
        clients.send(head + make_trailers())


@pytest.mark.parametrize("piece_bytes", [None, 16 << 10])
@pytest.mark.parametrize("target", TARGETS, ids=repr)
def test_bodies_that_stop_one_byte_short(
    fleet: Fleet, target: Target, piece_bytes: int | None
) -> None:
    with crowd(fleet, target, 60) as clients:
        size = MAX_BODY_BYTES
        head = target.head(f"Content-Length: {size}")
        clients.send(head + bytes(size - 1), piece_bytes)


@pytest.mark.parametrize("target", TARGETS, ids=repr)
def test_chunked_bodies_that_stop_short(fleet: Fleet, target: Target) -> None:
    with crowd(fleet, target, 60) as clients:
        head = target.head("Transfer-Encoding: chunked")
        body = make_chunks(MAX_BODY_BYTES, CHUNK_BYTES)
        clients.send(head + body, 16 << 10)


@pytest.mark.parametrize("target", TARGETS, ids=repr)
def test_bodies_in_chunks_of_one_byte(fleet: Fleet, target: Target) -> None:
    with crowd(fleet, target, 60) as clients:
        head = target.head("Transfer-Encoding: chunked")
        clients.send(head + make_chunks(ONE_BYTE_CHUNKS, 1), 16 << 10)


# A body behind a request that waits is not read by the application, so what
# it takes is limited by the server alone.
def test_small_chunks_behind_a_request_that_waits(fleet: Fleet) -> None:
    with crowd(fleet, CALLERS, 60) as clients:
        first = CALLERS.head("Content-Length: 1000000") + bytes(999_999)
        clients.send(first)
        head = CALLERS.head("Transfer-Encoding: chunked")
        chunks = make_chunks(2 << 20, 2)
        clients.send(b"x" + head + chunks)


@pytest.mark.parametrize("target", TARGETS, ids=repr)
def test_pipelined_requests_whose_answers_are_not_read(
    fleet: Fleet, target: Target
) -> None:
    with crowd(fleet, target, 40) as clients:
        clients.send(make_pipeline(1200))


@pytest.mark.parametrize("target", TARGETS, ids=repr)
def test_connections_that_send_half_a_head(
    fleet: Fleet, target: Target
) -> None:
    with crowd(fleet, target, IDLE_CONNECTIONS) as clients:
        clients.send(target.head()[:20])


def make_hello(number: int) -> bytes:
    hello = _frames.Hello(f"127.9.9.{number}:1", 1, "z-a", 0, inflates=False)
    return _frames.encode(hello, 0, None)


@pytest.mark.parametrize("says_hello", [False, True])
@pytest.mark.parametrize("target", [CALLERS, OPERATORS], ids=repr)
def test_frames_of_strangers_that_stop_one_byte_short(
    fleet: Fleet, target: Target, says_hello: bool
) -> None:
    """The port for links of a node, and of a control replica."""
    machine = fleet.machine(target)
    fleet.restart(machine)
    fleet.wait(
        lambda: fleet.serve(target),
        "an ordinary request is answered before",
        WAIT_TIMEOUT_S,
    )
    process = Process(machine)
    clients = Crowd(fleet.address(machine, "link"), 150)
    frame = _frames.encode(_frames.Cast(1, bytes(1_000_000)), 0, None)
    try:
        payload = frame[:-1]
        if says_hello:
            payload = make_hello(1) + payload
        clients.send(payload)
        process.check()
        fleet.wait(
            lambda: fleet.serve(target),
            "an ordinary request is answered",
            WAIT_TIMEOUT_S,
        )
        process.check()
    finally:
        clients.close()


def test_links_of_strangers_without_number(fleet: Fleet) -> None:
    """They only connect, or send the length of a frame."""
    machine = fleet.machine(CALLERS)
    fleet.restart(machine)
    fleet.wait(
        lambda: fleet.serve(CALLERS),
        "an ordinary request is answered before",
        WAIT_TIMEOUT_S,
    )
    process = Process(machine)
    clients = Crowd(fleet.address(machine, "link"), IDLE_CONNECTIONS)
    try:
        clients.send(struct.pack(">I", 1000))
        process.check()
        fleet.wait(
            lambda: fleet.serve(CALLERS),
            "an ordinary request is answered",
            WAIT_TIMEOUT_S,
        )
        process.check()
    finally:
        clients.close()
