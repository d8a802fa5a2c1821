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
import struct

import pytest

from papayastall import _frames
from tests import platform_fleet
from tests import platform_upstream
from tests import untrusted_clients
from tests.untrusted_clients import CALLERS
from tests.untrusted_clients import crowd
from tests.untrusted_clients import Fleet
from tests.untrusted_clients import make_chunks
from tests.untrusted_clients import OPERATORS
from tests.untrusted_clients import Target
from tests.untrusted_clients import TARGETS

LOOPBACK_NET = 61
MEMORY_LIMIT_MB = 100
DESCRIPTOR_LIMIT = 400
IDLE_CONNECTIONS = 700
MAX_BODY_BYTES = 4 << 20
CHUNK_BYTES = 64 << 10
ONE_BYTE_CHUNKS = 1_250_000
UNREAD_ANSWER_BYTES = 250_000

LIMITS = {
    "maxHeaderBytes": 16 << 10,
    "maxBodyBytes": MAX_BODY_BYTES,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> cabc.Iterator[Fleet]:
    folder = tmp_path_factory.mktemp("untrusted")
    services = ["orders", "visits"]
    fleet = Fleet(
        folder, services, LOOPBACK_NET, MEMORY_LIMIT_MB, DESCRIPTOR_LIMIT
    )
    with untrusted_clients.run_fleet(fleet, LIMITS, 4000) as running:
        yield running


def make_trailers() -> bytes:
    line = b"X-T: " + b"t" * 1000 + b"\r\n"
    return b"1\r\nx\r\n0\r\n" + line * 40_000


def make_pipeline(count: int) -> bytes:
    head = (
        f"GET /visits/x HTTP/1.1\r\nHost: {platform_fleet.HOST}\r\n"
        "Request-Id: id-2\r\nDeadline-Ms: 2000\r\n"
        f"X-Large: {'h' * 8000}\r\n\r\n"
    )
    return head.encode() * count


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
        # At the first try, at the node that was hit and at the other one. At
        # the crowd's own port all connections may be in use for some seconds.
        assert fleet.serve_callers()


# Each connection asks for as many answers as may be on their way at once.
def test_large_answers_that_are_not_read(fleet: Fleet) -> None:
    visits = fleet.upstreams[1]
    fleet.slots = 100
    try:
        with crowd(fleet, CALLERS, 90) as clients:
            visits.body = lambda request_id: bytes(UNREAD_ANSWER_BYTES)
            head = (
                f"GET /visits/x HTTP/1.1\r\nHost: {platform_fleet.HOST}\r\n"
                "Request-Id: id-2\r\n\r\n"
            )
            clients.send(head.encode() * 40)
    finally:
        visits.body = platform_upstream.make_body
        fleet.slots = 4


@pytest.mark.parametrize("target", TARGETS, ids=repr)
def test_connections_that_send_half_a_head(
    fleet: Fleet, target: Target
) -> None:
    with crowd(fleet, target, IDLE_CONNECTIONS) as clients:
        clients.send(target.head()[:20])


def make_hello(address: str) -> bytes:
    hello = _frames.Hello(address, 1, "z-a", 0, inflates=False)
    return _frames.encode(hello, 0, None)


@pytest.mark.parametrize("claims", ["nothing", "a stranger", "a member"])
@pytest.mark.parametrize("target", [CALLERS, OPERATORS], ids=repr)
def test_frames_that_stop_one_byte_short(
    fleet: Fleet, target: Target, claims: str
) -> None:
    """The port for links of a node, and of a control replica.

    They come in waves, since connections without a hello are few.

    :param claims: whose address the hello claims to come from, if any.
    """
    frame = _frames.encode(_frames.Cast(1, bytes(1_000_000)), 0, None)
    payload = frame[:-1]
    if claims == "a stranger":
        payload = make_hello("127.9.9.1:1") + payload
    elif claims == "a member":
        payload = make_hello(fleet.address(fleet.nodes[1], "link")) + payload
    with contextlib.ExitStack() as stack:
        with crowd(fleet, target, 35, "link") as clients:
            clients.send(payload)
            address = fleet.address(fleet.machine(target), "link")
            for _ in range(4):
                wave = untrusted_clients.Crowd(address, 35)
                stack.callback(wave.close)
                wave.send(payload)


def test_links_of_strangers_without_number(fleet: Fleet) -> None:
    """They only connect, or send the length of a frame."""
    with crowd(fleet, CALLERS, IDLE_CONNECTIONS, "link") as clients:
        clients.send(struct.pack(">I", 1000))
