"""The whole path on the users' platform, as real processes."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
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

LIMIT_S = 30.0
DEPLOY_FILE = pathlib.Path(__file__).parent.parent / "deploy" / "system.toml"
CONFIG_APPLY_S = 2.0
"""An acknowledged configuration is in force everywhere after this."""
GRACE_S = 6.0
"""From SIGTERM to SIGKILL."""
CATCH_UP_S = 4.0
"""A machine counts as lost for so long after it is back."""
NETS = itertools.count(40)
"""Second part of the loopback addresses: one net for each fleet."""


def wait_until_ready(
    fleet: platform_fleet.PlatformFleet, machine: platform_fleet.Machine
) -> None:
    fleet.wait(
        lambda: fleet.is_ready(machine), f"{machine.name} is ready", LIMIT_S
    )


def wait_for_answer(
    fleet: platform_fleet.PlatformFleet,
    machine: platform_fleet.Machine,
    path: str,
) -> None:
    fleet.wait(
        lambda: fleet.ask(machine, path).status == 200,
        f"{machine.name} gets an answer to {path}",
        LIMIT_S,
    )


@pytest.fixture(scope="module")
def running(
    tmp_path_factory: pytest.TempPathFactory,
) -> cabc.Iterator[platform_fleet.PlatformFleet]:
    folder: pathlib.Path = tmp_path_factory.mktemp("platform")
    fleet = platform_fleet.PlatformFleet(
        folder, ["visits", "orders"], next(NETS)
    )
    with contextlib.ExitStack() as stack:
        stack.callback(fleet.close)
        fleet.start()
        yield fleet


@pytest.fixture
def upstreams(
    running: platform_fleet.PlatformFleet,
) -> cabc.Iterator[list[platform_upstream.Upstream]]:
    """Stand-ins of both machines, announced, and routes in force."""
    stand_ins = [
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
        LIMIT_S,
    )
    for stand_in, machine in zip(stand_ins, running.nodes, strict=True):
        wait_until_ready(running, machine)
        assert running.beat(machine, stand_in.instance).status == 200
    for machine in running.nodes:
        for service in ("visits", "orders"):
            wait_for_answer(running, machine, f"/{service}/x")
    yield stand_ins
    for stand_in in stand_ins:
        stand_in.close()


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
        LIMIT_S,
    )


def test_a_request_is_answered_through_a_node_that_owns_nothing(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    answer = running.ask(
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
    assert running.ask(running.nodes[0], "/none/").status == 404


def test_every_role_shows_its_metrics(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    """The deploy file names one port and path for all machines."""
    deploy = tomllib.loads(DEPLOY_FILE.read_text())
    assert running.ask(running.nodes[0], "/orders/y").status == 200
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


def test_orders_of_operators(
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
        running.lose_disk(machine)
        for reader in running.control:
            running.wait(
                lambda reader=reader: (
                    read_version(running, reader)  # type: ignore[misc]
                    == version + 4
                ),
                "the change is read",
                LIMIT_S,
            )
        time.sleep(CATCH_UP_S)


def test_a_draining_upstream_gets_no_request_after_its_acknowledgement(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    visits = running.nodes[0]
    leaving = running.beat(visits, "i-0", state="draining", sequence=2)
    assert leaving.status == 200
    count = len(upstreams[0].requests)
    for machine in running.nodes:
        assert running.ask(machine, "/visits/x").status == 503
    late = running.beat(visits, "i-0", sequence=1)
    assert late.status == 200
    assert running.ask(running.nodes[1], "/visits/x").status == 503
    assert len(upstreams[0].requests) == count
    assert running.beat(visits, "i-0", sequence=3).status == 200
    wait_for_answer(running, running.nodes[1], "/visits/x")


def start_slow_order(
    running: platform_fleet.PlatformFleet,
    node: platform_fleet.Machine,
    upstream: platform_upstream.Upstream,
    deadline_ms: int = 30_000,
) -> tuple[threading.Thread, list[platform_fleet.Answer]]:
    """Send an order and wait until the upstream holds it at its gate.

    :returns: the caller's thread, and the list that will hold its answer.
    """
    upstream.gate.clear()
    upstream.started.clear()
    answers: list[platform_fleet.Answer] = []
    headers = {"Deadline-Ms": str(deadline_ms)}
    caller = threading.Thread(
        target=lambda: answers.append(
            running.ask(node, "/orders/slow", **headers)
        )
    )
    caller.start()
    assert upstream.started.wait(LIMIT_S)
    return caller, answers


def test_a_planned_stop_cuts_nothing(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    """SIGHUP changes nothing; SIGTERM lets the request in flight end."""
    node = running.nodes[0]
    assert node.process is not None
    node.process.send_signal(signal.SIGHUP)
    assert running.is_ready(node)
    caller, answers = start_slow_order(running, node, upstreams[1], 5_000)
    node.process.send_signal(signal.SIGTERM)
    running.wait(lambda: not running.is_ready(node), "not ready", LIMIT_S)
    upstreams[1].gate.set()
    caller.join(LIMIT_S)
    assert [answer.status for answer in answers] == [200]
    assert node.process.wait(LIMIT_S) == 0
    running.start_machine(node)
    wait_until_ready(running, node)


def allow_long_orders(
    running: platform_fleet.PlatformFleet, version: int
) -> None:
    """Let orders take longer than a stop."""
    config = platform_fleet.make_config(
        version,
        read_version(running, running.control[0]),
        visits=4000,
        orders=30_000,
    )
    assert running.configure(running.control[0], "PUT", config).status == 200
    wait_for_version(running, running.control[0], version)
    time.sleep(CONFIG_APPLY_S)


def test_a_stop_has_a_last_word_on_what_hangs(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    """The caller is told that nobody knows; its connection is not cut."""
    node = running.nodes[0]
    assert node.process is not None
    allow_long_orders(running, 90)
    caller, answers = start_slow_order(running, node, upstreams[1])
    node.process.send_signal(signal.SIGTERM)
    caller.join(LIMIT_S)
    upstreams[1].gate.set()
    assert [answer.status for answer in answers] == [502]
    assert node.process.wait(LIMIT_S) == 0
    running.start_machine(node)
    wait_until_ready(running, node)


def test_a_second_request_to_stop_starts_its_time_anew(
    running: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    """The answer comes after the first time has gone, within the second."""
    node = running.nodes[0]
    assert node.process is not None
    allow_long_orders(running, 99)
    caller, answers = start_slow_order(running, node, upstreams[1])
    node.process.send_signal(signal.SIGTERM)
    time.sleep(GRACE_S / 2)
    node.process.send_signal(signal.SIGTERM)
    time.sleep(GRACE_S / 2)
    assert node.process.poll() is None, "it ended by its first time"
    upstreams[1].gate.set()
    caller.join(LIMIT_S)
    assert [answer.status for answer in answers] == [200]
    assert node.process.wait(LIMIT_S) == 0
    running.start_machine(node)
    wait_until_ready(running, node)
