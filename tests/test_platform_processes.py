"""Complete request path on the users' platform, with real processes."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import http.client
import itertools
import json
import pathlib
import signal
import threading
import time
import tomllib

import pytest

from tests import platform_fleet
from tests import platform_upstream

WAIT_TIMEOUT_S = 30.0
DEPLOY_FILE = pathlib.Path(__file__).parent.parent / "deploy" / "system.toml"
ACK_S = 4.0
"""Time in which a valid configuration is acknowledged."""
HEARTBEAT_S = 1.5
"""Interval of the heartbeats of an upstream."""
CONFIG_APPLY_S = 2.0
"""Time until an acknowledged configuration is in force on all machines."""
GRACE_S = 6.0
"""Time from SIGTERM to SIGKILL."""
INTERPRETER_START_S = 0.1
"""Time until the first line of a script runs."""
FIRST_USE_S = 0.8
"""Time from the start of a connection to its first request."""
CATCH_UP_S = 4.0
"""Time for which a machine still counts as lost after its restart."""
ADVERT_S = 0.5
"""Time within which a node tells the others of its upstreams."""
LOOPBACK_NETS = itertools.count(40)
"""Second part of the loopback addresses, different for each fleet."""


def wait_until_ready(
    fleet: platform_fleet.PlatformFleet, machine: platform_fleet.Machine
) -> None:
    fleet.wait(
        lambda: fleet.is_ready(machine),
        f"{machine.name} is ready",
        WAIT_TIMEOUT_S,
    )


def wait_for_answer(
    fleet: platform_fleet.PlatformFleet,
    machine: platform_fleet.Machine,
    path: str,
) -> None:
    fleet.wait(
        lambda: fleet.send_request(machine, path).status == 200,
        f"{machine.name} gets an answer to {path}",
        WAIT_TIMEOUT_S,
    )


@pytest.fixture(scope="module")
def running(
    tmp_path_factory: pytest.TempPathFactory,
) -> cabc.Iterator[platform_fleet.PlatformFleet]:
    folder: pathlib.Path = tmp_path_factory.mktemp("platform")
    fleet = platform_fleet.PlatformFleet(
        folder, ["visits", "orders"], next(LOOPBACK_NETS)
    )
    with contextlib.ExitStack() as stack:
        stack.callback(fleet.close)
        fleet.start()
        yield fleet


@pytest.fixture
def upstreams(
    running: platform_fleet.PlatformFleet,
) -> cabc.Iterator[list[platform_upstream.Upstream]]:
    """Announced stub upstreams on both machines, with routes in force."""
    stubs = [
        platform_upstream.Upstream(
            running.address(machine, "app"),
            f"i-{number}",
            stamp="stamp",
            body=lambda _: b"the whole answer",
        )
        for number, machine in enumerate(running.nodes)
    ]
    config = platform_fleet.make_config(3, 0, visits=4000, orders=4000)
    running.wait(
        lambda: (
            running.configure(running.control[1], "PUT", config).status == 200
        ),
        "the first configuration is accepted",
        WAIT_TIMEOUT_S,
    )
    for machine in running.nodes:
        wait_until_ready(running, machine)
    running.born_ms = int(time.time() * 1000)
    for stub, machine in zip(stubs, running.nodes, strict=True):
        assert running.send_heartbeat(machine, stub.instance).status == 200
    for machine in running.nodes:
        for service in ("visits", "orders"):
            wait_for_answer(running, machine, f"/{service}/x")
    yield stubs
    for stub in stubs:
        stub.close()


def read_version(
    fleet: platform_fleet.PlatformFleet, machine: platform_fleet.Machine
) -> int:
    answer = fleet.configure(machine, "GET")
    assert answer.status in (200, 503)
    if answer.status == 503:
        return 0
    return int(json.loads(answer.body)["version"])


def wait_for_version(
    fleet: platform_fleet.PlatformFleet,
    machine: platform_fleet.Machine,
    version: int,
) -> None:
    fleet.wait(
        lambda: read_version(fleet, machine) == version,
        f"version {version} is read at {machine.name}",
        WAIT_TIMEOUT_S,
    )


def test_a_request_is_answered_through_a_node_that_owns_nothing(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    answer = running.send_request(
        running.nodes[0], "/orders/y?z=1", **{"Caller-Service": "forged"}
    )
    assert answer.status == 200
    assert answer.body == b"the whole answer"
    assert answer.headers["response-stamp"] == "stamp"
    path, headers = upstreams[1].requests[-1]
    assert path == "/orders/y?z=1"
    assert headers["caller-service"] == "visits"
    assert headers["request-id"] == "id-1"
    assert headers["expect-instance"] == "i-1"
    assert 0 < int(headers["deadline-ms"]) <= 4000
    assert running.send_request(running.nodes[0], "/none/").status == 404


def test_every_role_shows_its_metrics(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    """Metrics are served at the port and path of the deploy file.

    The file has one port and path for each role; a node that serves its
    metrics elsewhere would not be scraped.
    """
    deploy = tomllib.loads(DEPLOY_FILE.read_text())
    assert running.send_request(running.nodes[0], "/orders/y").status == 200
    node, control = (
        running.call(f"{machine.ip}:{port}", "GET", f"/{path}").body.decode()
        for machine, role in (
            (running.nodes[0], "node"),
            (running.control[0], "control"),
        )
        for port, _, path in [deploy["roles"][role]["metrics"].partition("/")]
    )
    assert 'papayastall_answers_total{service="orders"}' in node
    assert "papayastall_members_alive" in control


def test_conflicting_and_invalid_configurations_are_refused(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    first = platform_fleet.make_config(3, 0, visits=4000, orders=4000)
    for machine in running.control:
        assert running.configure(machine, "PUT", first).status == 200
    rival = platform_fleet.make_config(4, 0, visits=4000)
    assert running.configure(running.control[0], "PUT", rival).status == 412
    broken = platform_fleet.make_config(4, 3, visits=0)
    assert running.configure(running.control[0], "PUT", broken).status == 400
    assert read_version(running, running.control[2]) == 3


def test_an_acknowledged_change_survives_a_lost_disk(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    version = read_version(running, running.control[0])
    patch = {
        "version": version + 4,
        "baseVersion": version,
        "upsert": {"resources": []},
        "remove": {},
    }
    assert running.configure(running.control[0], "PATCH", patch).status == 200
    for machine in running.control:
        running.delete_disk(machine)
        for reader in running.control:
            running.wait(
                lambda reader=reader: (
                    read_version(running, reader)  # type: ignore[misc]
                    == version + 4
                ),
                "the change is read",
                WAIT_TIMEOUT_S,
            )
        time.sleep(CATCH_UP_S)


def test_a_draining_upstream_gets_no_request_after_its_acknowledgement(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    visits = running.nodes[0]
    leaving = running.send_heartbeat(
        visits, "i-0", state="draining", sequence=2
    )
    assert leaving.status == 200
    count = len(upstreams[0].requests)
    for machine in running.nodes:
        assert running.send_request(machine, "/visits/x").status == 503
    late = running.send_heartbeat(visits, "i-0", sequence=1)
    assert late.status == 200
    assert running.send_request(running.nodes[1], "/visits/x").status == 503
    assert len(upstreams[0].requests) == count
    assert running.send_heartbeat(visits, "i-0", sequence=3).status == 200
    wait_for_answer(running, running.nodes[1], "/visits/x")


@pytest.mark.parametrize(
    "fields",
    [
        {"maxConcurrency": 2**32 - 1},
        {"maxConcurrency": 2**64 - 1},
        {"born": 2**53 - 1},
        {"born": 2**63},
        {"sequence": 2**64 - 1},
        {"address": "127.0.0.1:70000"},
        {"version": "v1", "state": [[[[[[[[]]]]]]]]},
    ],
)
def test_an_odd_heartbeat_is_refused_and_changes_nothing(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
    fields: dict[str, object],
) -> None:
    """A number too large for a message between nodes ended the process."""
    visits, other = running.nodes
    process = visits.process
    assert process is not None
    answer = running.send_heartbeat(visits, "i-other-writer", **fields)
    assert answer.status == 400
    time.sleep(ADVERT_S)
    assert process.poll() is None
    assert running.send_heartbeat(visits, "i-0", sequence=9).status == 200
    assert running.send_request(other, "/visits/x").status == 200


def start_slow_order(
    running: platform_fleet.PlatformFleet,
    node: platform_fleet.Machine,
    upstream: platform_upstream.Upstream,
    deadline_ms: int = 30_000,
) -> tuple[threading.Thread, list[platform_fleet.Answer]]:
    """Send an order and wait until the upstream holds it at its gate.

    :returns: the caller's thread, and a list to which it appends the answer.
    """
    upstream.gate.clear()
    upstream.started.clear()
    answers: list[platform_fleet.Answer] = []
    headers = {"Deadline-Ms": str(deadline_ms)}
    caller = threading.Thread(
        target=lambda: answers.append(
            running.send_request(node, "/orders/slow", **headers)
        )
    )
    caller.start()
    assert upstream.started.wait(WAIT_TIMEOUT_S)
    return caller, answers


def test_a_planned_stop_lets_requests_complete(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    """SIGHUP stops nothing; after SIGTERM, a request in flight completes."""
    node = running.nodes[0]
    assert node.process is not None
    node.process.send_signal(signal.SIGHUP)
    assert running.is_ready(node)
    caller, answers = start_slow_order(running, node, upstreams[1], 5_000)
    node.process.send_signal(signal.SIGTERM)
    running.wait(
        lambda: not running.is_ready(node), "not ready", WAIT_TIMEOUT_S
    )
    upstreams[1].gate.set()
    caller.join(WAIT_TIMEOUT_S)
    assert [answer.status for answer in answers] == [200]
    assert node.process.wait(WAIT_TIMEOUT_S) == 0
    running.start_machine(node)
    wait_until_ready(running, node)


@pytest.mark.parametrize("text", ["", "{", '{"serves": 1}', "[]"])
def test_a_settings_file_that_is_not_readable_changes_nothing(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
    text: str,
) -> None:
    """SIGHUP ended the process, and heartbeats were refused."""
    node = running.nodes[0]
    assert node.process is not None
    path = running.folder / f"{node.name}.json"
    before = path.read_text()
    path.write_text(text)
    try:
        node.process.send_signal(signal.SIGHUP)
        time.sleep(ADVERT_S)
        assert node.process.poll() is None
        answer = running.send_heartbeat(node, "i-0", sequence=9)
        assert answer.status == 200
    finally:
        path.write_text(before)
    node.process.send_signal(signal.SIGHUP)
    wait_for_answer(running, running.nodes[1], "/visits/x")


def test_sighup_during_the_start_ends_no_process(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    """The platform changes the settings while a process is starting."""
    node = running.nodes[0]
    running.stop_machine(node, signal.SIGKILL)
    running.start_machine(node)
    assert node.process is not None
    time.sleep(INTERPRETER_START_S)
    for _ in range(100):
        node.process.send_signal(signal.SIGHUP)
        time.sleep(0.01)
        assert node.process.poll() is None
    wait_until_ready(running, node)


def allow_long_orders(
    running: platform_fleet.PlatformFleet, version: int
) -> None:
    """Set a timeout for orders that is longer than a stop takes."""
    config = platform_fleet.make_config(
        version,
        read_version(running, running.control[0]),
        visits=4000,
        orders=30_000,
    )
    assert running.configure(running.control[0], "PUT", config).status == 200
    wait_for_version(running, running.control[0], version)
    time.sleep(CONFIG_APPLY_S)


def test_a_stop_answers_requests_that_hang(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    """A caller whose request outlasts the stop gets status 502.

    The status reports that the outcome is unknown. The failure guarded
    against is a connection that closes without an answer.
    """
    node = running.nodes[0]
    assert node.process is not None
    allow_long_orders(running, 90)
    caller, answers = start_slow_order(running, node, upstreams[1])
    node.process.send_signal(signal.SIGTERM)
    caller.join(WAIT_TIMEOUT_S)
    upstreams[1].gate.set()
    assert [answer.status for answer in answers] == [502]
    assert node.process.wait(WAIT_TIMEOUT_S) == 0
    running.start_machine(node)
    wait_until_ready(running, node)


def test_a_stop_refuses_late_orders_that_may_outlast_it(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    """Orders that came late in a stop were sent on, and then broken off."""
    node = running.nodes[0]
    assert node.process is not None
    allow_long_orders(running, 95)
    upstreams[1].gate.clear()
    host, _, port = running.address(node, "outbound").rpartition(":")
    node.process.send_signal(signal.SIGTERM)
    time.sleep(GRACE_S / 2 - FIRST_USE_S / 2)
    connection = http.client.HTTPConnection(host, int(port), timeout=GRACE_S)
    connection.connect()
    time.sleep(FIRST_USE_S)
    headers = {
        "Host": platform_fleet.HOST,
        "Request-Id": "late",
        "Deadline-Ms": "6000",
    }
    connection.request("POST", "/orders/late", b"", headers)
    answer = connection.getresponse()
    upstreams[1].gate.set()
    assert answer.status == 503
    assert 0 < float(answer.headers["Retry-After"]) < GRACE_S / 2
    assert answer.headers["Connection"] == "close"
    assert "late" not in upstreams[1].runs
    assert node.process.wait(WAIT_TIMEOUT_S) == 0
    running.start_machine(node)
    wait_until_ready(running, node)


def test_a_second_request_to_stop_starts_its_time_anew(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    """A second SIGTERM restarts the time in which requests can complete.

    The upstream answers after the time of the first signal has passed, but
    within that of the second one.
    """
    node = running.nodes[0]
    assert node.process is not None
    allow_long_orders(running, 99)
    caller, answers = start_slow_order(running, node, upstreams[1])
    node.process.send_signal(signal.SIGTERM)
    time.sleep(GRACE_S / 2)
    node.process.send_signal(signal.SIGTERM)
    time.sleep(GRACE_S / 2)
    assert node.process.poll() is None, "ended within the first signal's time"
    upstreams[1].gate.set()
    caller.join(WAIT_TIMEOUT_S)
    assert [answer.status for answer in answers] == [200]
    assert node.process.wait(WAIT_TIMEOUT_S) == 0
    running.start_machine(node)
    wait_until_ready(running, node)


@pytest.mark.parametrize(("count", "version"), [(1400, 200), (7500, 210)])
def test_a_configuration_of_many_routes_is_accepted(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
    count: int,
    version: int,
) -> None:
    """A change over 256 KiB, some 600 routes, was refused with 400."""
    config = platform_fleet.make_config(
        version,
        read_version(running, running.control[0]),
        visits=4000,
        orders=4000,
    )
    routes = [
        platform_fleet.make_route(f"n-{number}", f"/new/{number}/", "visits")
        for number in range(count)
    ]
    config["resources"] += routes
    started_s = time.monotonic()
    running.wait(
        lambda: (
            running.configure(running.control[0], "PUT", config).status == 200
        ),
        "the configuration is accepted",
        ACK_S,
    )
    assert time.monotonic() - started_s < ACK_S
    time.sleep(CONFIG_APPLY_S)
    for node in running.nodes:
        answer = running.send_request(node, f"/new/{count - 1}/x")
        assert answer.status == 200
    read = running.configure(running.control[2], "GET")
    assert routes[-1] in json.loads(read.body)["resources"]


def test_a_late_heartbeat_after_a_restart_brings_no_upstream_back(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    """A deregistered upstream got requests again, for one lease."""
    visits, other = running.nodes
    path = "/papayastall/instances/i-0"
    address = running.address(visits, "control")
    body = {"born": running.born_ms}
    assert running.call(address, "DELETE", path, body).status == 200
    running.stop_machine(visits, signal.SIGKILL)
    running.start_machine(visits)
    wait_until_ready(running, visits)
    running.send_heartbeat(visits, "i-0", sequence=30)
    time.sleep(ADVERT_S)
    count = len(upstreams[0].requests)
    for machine in running.nodes:
        assert running.send_request(machine, "/visits/x").status == 503
    assert len(upstreams[0].requests) == count
    time.sleep(HEARTBEAT_S)
    assert running.send_heartbeat(visits, "i-0", sequence=31).status == 200
    wait_for_answer(running, other, "/visits/x")
