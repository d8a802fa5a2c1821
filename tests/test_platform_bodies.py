"""Large bodies and answers on their whole way, with real processes.

Guards against bodies of legal size that end a process or are not served
because of copies on the way between nodes, refusals that are lost because
the client was still sending, and answers that pile up unread. The limits of
the processes are those of small machines.
"""

from __future__ import annotations

import collections.abc as cabc
import concurrent.futures
import contextlib
import http.client
import itertools
import socket
import time

import pytest

from tests import platform_fleet
from tests import platform_upstream
from tests import untrusted_clients
from tests.untrusted_clients import CALLERS
from tests.untrusted_clients import crowd
from tests.untrusted_clients import Fleet
from tests.untrusted_clients import HEARTBEATS
from tests.untrusted_clients import make_chunks
from tests.untrusted_clients import OPERATORS
from tests.untrusted_clients import Target

LOOPBACK_NET = 62
MEMORY_LIMIT_MB = 200
DESCRIPTOR_LIMIT = 4100
MAX_BODY_BYTES = 64 << 20
LARGE_BODY_BYTES = 63 << 20
UPLOAD_BYTES = 17 << 20
UPLOADS_PER_NODE = 4
SLOW_BODY_BYTES = 3 << 20
SLOW_PIECES = 24
SLOW_PIECE_PAUSE_S = 0.5
"""Together 12 s."""
HELD_BACK_CLIENTS = 1000
HELD_BACK_BODY_BYTES = 1 << 20
CLIENT_TIMEOUT_S = 60.0
DEADLINE_MS = 30_000
NUMBERS = itertools.count(1)

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
    """Three nodes; the first one owns the only upstream of ``orders``."""
    folder = tmp_path_factory.mktemp("bodies")
    services = ["orders", "visits", "visits"]
    fleet = Fleet(
        folder, services, LOOPBACK_NET, MEMORY_LIMIT_MB, DESCRIPTOR_LIMIT
    )
    with untrusted_clients.run_fleet(fleet, LIMITS, DEADLINE_MS) as running:
        yield running


@contextlib.contextmanager
def watch_all(fleet: Fleet) -> cabc.Iterator[None]:
    """Check all processes of nodes, and an ordinary request at the end."""
    for machine in fleet.nodes:
        fleet.restart(machine)
    fleet.wait_until_served(CALLERS, "before")
    processes = [fleet.watch(machine) for machine in fleet.nodes]
    with fleet.beating():
        yield
    fleet.wait_until_served(CALLERS, "after")
    untrusted_clients.check_processes(processes)


def make_headers(request_id: str) -> dict[str, str]:
    return {
        "Host": platform_fleet.HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(DEADLINE_MS),
    }


def upload(
    fleet: Fleet,
    machine: platform_fleet.Machine,
    body: bytes | cabc.Iterator[bytes],
) -> tuple[str, int]:
    """Send a booking with a body; return its id and the answer's status.

    Like most clients this one reads no answer before its body is sent.

    :returns: status 0 if the connection ended without an answer.
    """
    request_id = f"upload-{next(NUMBERS)}"
    host, _, port = fleet.address(machine, "outbound").rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), CLIENT_TIMEOUT_S)
    try:
        connection.request("POST", "/orders/x", body, make_headers(request_id))
        return request_id, connection.getresponse().status
    except OSError:
        return request_id, 0
    finally:
        connection.close()


def check_runs(
    upstream: platform_upstream.Upstream, request_id: str, size_bytes: int
) -> None:
    assert upstream.runs[request_id] == 1
    assert upstream.body_bytes[request_id] == size_bytes


@pytest.mark.parametrize("node", [0, 1])
def test_one_body_of_almost_the_largest_size_is_served(
    fleet: Fleet, node: int
) -> None:
    """At the node that owns the upstream, and at another one."""
    with watch_all(fleet):
        body = bytes(LARGE_BODY_BYTES)
        request_id, status = upload(fleet, fleet.nodes[node], body)
        assert status == 200
        check_runs(fleet.upstreams[0], request_id, LARGE_BODY_BYTES)


@pytest.mark.parametrize("node", [0, 1])
def test_a_body_that_takes_longer_than_ten_seconds_is_served(
    fleet: Fleet, node: int
) -> None:
    def send_slowly() -> cabc.Iterator[bytes]:
        for _ in range(SLOW_PIECES):
            time.sleep(SLOW_PIECE_PAUSE_S)
            yield bytes(SLOW_BODY_BYTES // SLOW_PIECES)

    with watch_all(fleet):
        request_id, status = upload(fleet, fleet.nodes[node], send_slowly())
        assert status == 200
        check_runs(fleet.upstreams[0], request_id, SLOW_BODY_BYTES)


# Four at each of two nodes are sent to the one owner; they are served or
# refused, and run at most once.
def test_uploads_of_several_nodes_meet_at_one_owner(fleet: Fleet) -> None:
    with watch_all(fleet):
        body = bytes(UPLOAD_BYTES)
        nodes = fleet.nodes[1:] * UPLOADS_PER_NODE
        with concurrent.futures.ThreadPoolExecutor(len(nodes)) as executor:
            calls = [
                executor.submit(upload, fleet, node, body) for node in nodes
            ]
            fleet.wait_until_served(CALLERS, "beside the uploads")
        for call in calls:
            request_id, status = call.result()
            runs = fleet.upstreams[0].runs[request_id]
            assert runs <= 1
            if status == 200:
                check_runs(fleet.upstreams[0], request_id, UPLOAD_BYTES)
            if status in (408, 413, 429, 503):
                assert runs == 0


# Their sum is far over the memory of the process, so that most are not read
# to their end: what the kernel holds for them counts too.
@pytest.mark.parametrize("target", [CALLERS, HEARTBEATS, OPERATORS], ids=repr)
def test_large_bodies_that_are_held_back(fleet: Fleet, target: Target) -> None:
    with crowd(fleet, target, HELD_BACK_CLIENTS) as clients:
        clients.send(target.head("Transfer-Encoding: chunked"))
        clients.send(make_chunks(HELD_BACK_BODY_BYTES, 64 << 10), 64 << 10)


@pytest.mark.parametrize("extra_bytes", [1, 1 << 20])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_client_that_still_sends_can_read_its_refusal(
    fleet: Fleet, is_chunked: bool, extra_bytes: int
) -> None:
    """Of a body over the limit, as soon as that is known."""
    size = MAX_BODY_BYTES + extra_bytes
    piece_bytes = 1 << 20

    def send_pieces() -> cabc.Iterator[bytes]:
        for start in range(0, size, piece_bytes):
            yield bytes(min(piece_bytes, size - start))

    with watch_all(fleet):
        body = send_pieces() if is_chunked else bytes(size)
        request_id, status = upload(fleet, fleet.nodes[1], body)
        assert status == 413
        assert fleet.upstreams[0].runs[request_id] == 0


@pytest.mark.parametrize(
    ("target", "status"), [(HEARTBEATS, 413), (OPERATORS, 413)], ids=repr
)
def test_a_server_that_still_sends_can_read_its_refusal(
    fleet: Fleet, target: Target, status: int
) -> None:
    """Heartbeats and configurations have limits of their own."""
    host, _, port = fleet.target_address(target).rpartition(":")
    with socket.create_connection(
        (host, int(port)), CLIENT_TIMEOUT_S
    ) as connection:
        connection.sendall(target.head("Content-Length: 33554432"))
        connection.sendall(bytes(32 << 20))
        response = http.client.HTTPResponse(connection)
        response.begin()
        assert response.status == status
