"""What upstreams say of themselves in their answers, with real processes."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import itertools
import pathlib
import signal
import threading
import time

import pytest

from tests import platform_fleet
from tests import platform_upstream

WAIT_TIMEOUT_S = 30.0
LOOPBACK_NET = 60
LIMIT_PER_S = 2.0
CALLERS_PER_NODE = 6
CALLER_PAUSE_S = 0.05
SETTLE_S = 3.0
"""Time after the first answer with a limit from which it holds."""
WINDOW_S = 4.0
WINDOW_FACTOR = 1.5
WINDOW_SLACK = 5
"""In a window an upstream gets at most the factor times what the limit
allows, and these requests more."""
SEQUENCES = itertools.count(4)
BORN = [0]
"""When the present upstreams were started, in Unix milliseconds."""
DRAIN_S = 2.0
"""Time from an answer that says "leaving" to the last new request."""


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> cabc.Iterator[platform_fleet.PlatformFleet]:
    """Three nodes with an upstream each, two of them of one service."""
    folder: pathlib.Path = tmp_path_factory.mktemp("limits")
    running = platform_fleet.PlatformFleet(
        folder, ["visits", "visits", "orders"], LOOPBACK_NET
    )
    with contextlib.ExitStack() as stack:
        stack.callback(running.close)
        running.start()
        config = platform_fleet.make_config(1, 0, visits=4000, orders=4000)
        running.wait(
            lambda: (
                running.configure(running.control[0], "PUT", config).status
                == 200
            ),
            "the configuration is accepted",
            WAIT_TIMEOUT_S,
        )
        yield running


def send_heartbeats(fleet: platform_fleet.PlatformFleet) -> None:
    for number, machine in enumerate(fleet.nodes):
        fleet.send_heartbeat(
            machine, f"i-{number}", sequence=next(SEQUENCES), born=BORN[0]
        )


class Load:
    """Callers at several nodes, and heartbeats of all upstreams."""

    def __init__(
        self,
        fleet: platform_fleet.PlatformFleet,
        nodes: list[platform_fleet.Machine],
        path: str,
    ) -> None:
        self._fleet = fleet
        self._path = path
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=(node,))
            for node in nodes
            for _ in range(CALLERS_PER_NODE)
        ]
        self._threads.append(threading.Thread(target=self._beat))

    def __enter__(self) -> Load:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join(WAIT_TIMEOUT_S)

    def _send(self, node: platform_fleet.Machine) -> None:
        while not self._stopped.wait(CALLER_PAUSE_S):
            with contextlib.suppress(OSError):
                self._fleet.send_request(
                    node, self._path, **{"Deadline-Ms": "2000"}
                )

    def _beat(self) -> None:
        while not self._stopped.wait(0.3):
            with contextlib.suppress(OSError):
                send_heartbeats(self._fleet)


@pytest.fixture
def upstreams(
    fleet: platform_fleet.PlatformFleet,
) -> cabc.Iterator[list[platform_upstream.Upstream]]:
    stubs = [
        platform_upstream.Upstream(fleet.address(machine, "app"), f"i-{n}")
        for n, machine in enumerate(fleet.nodes)
    ]
    for machine in fleet.nodes:
        fleet.wait(
            lambda machine=machine: (  # type: ignore[misc]
                fleet.is_ready(machine)
            ),
            f"{machine.name} is ready",
            WAIT_TIMEOUT_S,
        )
    BORN[0] = int(time.time() * 1000)
    send_heartbeats(fleet)
    for path in ("/visits/x", "/orders/x"):
        fleet.wait(
            lambda path=path: (  # type: ignore[misc]
                fleet.send_request(fleet.nodes[2], path).status == 200
            ),
            f"{path} is served",
            WAIT_TIMEOUT_S,
        )
    yield stubs
    for stub in stubs:
        stub.close()


def count_most(times_s: list[float], since_s: float) -> int:
    """Return the most arrivals in a window that begins after ``since_s``."""
    late = [time_s for time_s in times_s if time_s >= since_s]
    return max(
        (
            sum(start <= time_s < start + WINDOW_S for time_s in late)
            for start in late
        ),
        default=0,
    )


def allowed() -> float:
    return WINDOW_FACTOR * LIMIT_PER_S * WINDOW_S + WINDOW_SLACK


# Guards against an upstream in need that gets more than the limit that its
# answers name, from all nodes together.
def test_an_upstream_gets_no_more_than_the_limit_that_it_names(
    fleet: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    orders = upstreams[2]
    with Load(fleet, fleet.nodes, "/orders/x"):
        time.sleep(1.0)
        orders.headers = {"Server-Limit": str(LIMIT_PER_S)}
        named_s = time.monotonic()
        time.sleep(SETTLE_S + WINDOW_S + 1.0)
        in_need = count_most(orders.arrived_s, named_s + SETTLE_S)
        orders.headers = {}
        time.sleep(2.0)
        count = orders.arrived
        time.sleep(2.0)
        assert orders.arrived - count > allowed(), "the limit is not lifted"
    assert 0 < in_need <= allowed()


# Guards against a limit that is forgotten when the process of the owner is
# replaced, although other nodes were told of it.
def test_a_limit_outlives_the_process_of_the_owner(
    fleet: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    orders = upstreams[2]
    orders.headers = {"Server-Limit": str(LIMIT_PER_S)}
    named_s = time.monotonic()
    with Load(fleet, fleet.nodes[:2], "/orders/x"):
        time.sleep(SETTLE_S)
        for _ in range(3):
            fleet.stop_machine(fleet.nodes[2], signal.SIGKILL)
            fleet.start_machine(fleet.nodes[2])
            time.sleep(WINDOW_S / 2)
        time.sleep(WINDOW_S)
    orders.headers = {}
    most = count_most(orders.arrived_s, named_s + SETTLE_S)
    assert 0 < most <= allowed()


# Guards against new requests to an upstream whose answers say that it is
# leaving, although its heartbeats do not yet, also after a restart.
def test_an_upstream_that_says_it_is_leaving_gets_no_new_request(
    fleet: platform_fleet.PlatformFleet,
    upstreams: list[platform_upstream.Upstream],
) -> None:
    leaving = upstreams[0]
    with Load(fleet, fleet.nodes[1:], "/visits/x"):
        time.sleep(1.0)
        leaving.headers = {"Server-Leaving": "1"}
        time.sleep(DRAIN_S)
        count = leaving.arrived
        time.sleep(1.0)
        fleet.stop_machine(fleet.nodes[0], signal.SIGKILL)
        fleet.start_machine(fleet.nodes[0])
        time.sleep(4.0)
    assert 0 < leaving.arrived == count
    assert upstreams[1].arrived > 0
