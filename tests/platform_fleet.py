"""A fleet of real processes, started as the users' platform starts them.

Each machine has its own loopback address, and all machines use the same
ports, as on the platform. The upstreams are stubs in the test's process
that implement the platform's protocol.
"""

from __future__ import annotations

import dataclasses
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing as t

from tests import fleet

__all__ = [
    "Answer",
    "Machine",
    "PlatformFleet",
    "make_config",
    "make_route",
]

ROOT = pathlib.Path(__file__).parent.parent
ZONES = ("z-a", "z-b", "z-c")
HOST = "a.example"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True)
class Answer:
    """An HTTP answer; its header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class Machine:
    """One machine and its process.

    :param service: service of the upstream on the same machine; "" on
        control machines.
    """

    name: str
    ip: str
    zone: str
    service: str
    process: subprocess.Popen[bytes] | None = None


def make_config(
    version: int, base_version: int, **timeouts_ms: int
) -> dict[str, t.Any]:
    """Return a configuration with one route for each service.

    :param timeouts_ms: timeout of the route, by service.
    """
    resources: list[dict[str, t.Any]] = []
    for service, timeout_ms in timeouts_ms.items():
        resources.append(
            {
                "type": "services",
                "metadata": {"name": service},
                "spec": {"healthPath": "/healthz", "maxConnections": 90},
            }
        )
        resources.append(
            {
                "type": "routes",
                "metadata": {"name": f"r-{service}"},
                "spec": {
                    "host": HOST,
                    "pathPrefix": f"/{service}/",
                    "kind": "unsafe" if service == "orders" else "safe",
                    "timeoutMs": timeout_ms,
                    "latencySloMs": 800,
                    "priority": 1,
                    "service": service,
                    "maxAttempts": 2,
                },
            }
        )
    return {
        "version": version,
        "baseVersion": base_version,
        "resources": resources,
    }


def make_route(name: str, prefix: str, service: str) -> dict[str, t.Any]:
    """Return a resource with a route for lookups."""
    spec = {
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "safe",
        "timeoutMs": 4000,
        "latencySloMs": 800,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }
    return {"type": "routes", "metadata": {"name": name}, "spec": spec}


class PlatformFleet:
    """Some control machines, and one machine for each upstream.

    :param services: services of the upstreams.
    :param net: second part of the loopback addresses; fleets that run at
        the same time need different ones.
    :param control_count: number of control machines, 3 or more.
    :param limits: ``limits`` of the settings of all machines, if any.
    :ivar born_ms: Unix time of the start of the upstreams in milliseconds, as
        their heartbeats say.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        services: t.Sequence[str],
        net: int,
        control_count: int = 3,
        limits: dict[str, int] | None = None,
    ) -> None:
        self.folder = folder
        self._limits = limits
        self.born_ms = int(time.time() * 1000)
        names = ("outbound", "ready", "control", "app", "link")
        ports: set[int] = set()
        while len(ports) < len(names):
            ports.add(int(fleet.free_address().rpartition(":")[2]))
        self.ports = dict(zip(names, ports, strict=True))
        self.control = [
            Machine(f"core-{n}", f"127.{net}.1.{n + 1}", ZONES[n % 3], "")
            for n in range(control_count)
        ]
        self.nodes = [
            Machine(f"node-{n}", f"127.{net}.2.{n + 1}", ZONES[n % 3], service)
            for n, service in enumerate(services)
        ]

    def address(self, machine: Machine, port: str) -> str:
        """Return the address of a machine's port, given the port's name."""
        return f"{machine.ip}:{self.ports[port]}"

    def start(self) -> None:
        """Start all processes for the first time."""
        for machine in (*self.control, *self.nodes):
            self.start_machine(machine, bootstrap=True)

    def close(self) -> None:
        """Kill the processes of all machines."""
        for machine in (*self.control, *self.nodes):
            if machine.process is not None:
                machine.process.kill()
                machine.process.wait()

    def start_machine(self, machine: Machine, bootstrap: bool = False) -> None:
        """Start the process of one machine."""
        path = self.folder / f"{machine.name}.json"
        path.write_text(json.dumps(self._settings(machine, bootstrap)))
        with (self.folder / f"{machine.name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "adapter_main.py")],
                env={**os.environ, "PAPAYASTALL_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
            )

    def stop_machine(self, machine: Machine, number: int) -> int:
        """Send a signal to a machine's process; return its exit code.

        :param number: number of the signal.
        """
        assert machine.process is not None
        machine.process.send_signal(number)
        return machine.process.wait(STOP_TIMEOUT_S)

    def delete_disk(self, machine: Machine) -> None:
        """Kill a control process, delete its data, and start it again."""
        self.stop_machine(machine, signal.SIGKILL)
        data = self.folder / f"{machine.name}-data"
        for path in sorted(data.rglob("*"), reverse=True):
            if path.is_dir():
                path.rmdir()
            else:
                path.unlink()
        self.start_machine(machine)

    def _settings(self, machine: Machine, bootstrap: bool) -> dict[str, t.Any]:
        is_control = not machine.service
        addresses = {"control": self.address(machine, "control")}
        if not is_control:
            addresses["outbound"] = self.address(machine, "outbound")
            addresses["ready"] = self.address(machine, "ready")
        data = self.folder / f"{machine.name}-data"
        data.mkdir(exist_ok=True)
        return {
            "serves": ["control_plane" if is_control else "sidecar"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": "r",
            "listenAddrs": addresses,
            "internalPorts": [self.ports["link"], self.ports["link"]],
            "seeds": [
                self.address(seed, "control") for seed in self.control[:3]
            ],
            "bootstrap": bootstrap,
            "dataDir": str(data) if is_control else None,
            "heartbeatIntervalMs": 1500,
            "faultTolerance": {"machines": 1},
            "bounds": ["graceS=6", "budgetRatio=0.2", "budgetSlack=60"],
            "appAddr": None if is_control else self.address(machine, "app"),
            "service": machine.service or None,
            "limits": self._limits,
        }

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Answer:
        """Send one request and return its answer."""
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=timeout_s
        )
        data = None if body is None else json.dumps(body).encode()
        try:
            connection.request(method, path, data, headers or {})
            response = connection.getresponse()
            return Answer(
                response.status,
                {k.lower(): v for k, v in response.getheaders()},
                response.read(),
            )
        finally:
            connection.close()

    def configure(
        self,
        machine: Machine,
        method: str,
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Answer:
        """Send a configuration call to a control machine."""
        address = self.address(machine, "control")
        path = "/papayastall/config"
        return self.call(address, method, path, body, timeout_s=timeout_s)

    def send_heartbeat(
        self, machine: Machine, instance: str, **fields: t.Any
    ) -> Answer:
        """Send a heartbeat of the upstream on a machine to its node."""
        body = {
            "service": machine.service,
            "address": self.address(machine, "app"),
            "zone": machine.zone,
            "version": "v1",
            "maxConcurrency": 4,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born_ms,
            **fields,
        }
        path = f"/papayastall/instances/{instance}"
        return self.call(self.address(machine, "control"), "PUT", path, body)

    def send_request(
        self, machine: Machine, path: str, **headers: str
    ) -> Answer:
        """Send a client's request to the ingress on a machine."""
        sent = {"Host": HOST, "Request-Id": "id-1", "Deadline-Ms": "5000"}
        method = "POST" if path.startswith("/orders/") else "GET"
        address = self.address(machine, "outbound")
        body: object = {} if method == "POST" else None
        return self.call(address, method, path, body, {**sent, **headers})

    def is_ready(self, machine: Machine) -> bool:
        """Return whether the readiness check of a machine succeeds."""
        address = self.address(machine, "ready")
        try:
            answer = self.call(address, "GET", "/papayastall/readyz")
        except OSError:
            return False
        return answer.status == 200

    def wait(
        self, condition: t.Callable[[], bool], what: str, limit_s: float
    ) -> None:
        """Wait until a condition holds; fail after ``limit_s`` seconds.

        :param what: the condition in words, for the failure's message.
        """
        end_s = time.monotonic() + limit_s
        while True:
            try:
                if condition():
                    return
            except OSError:
                # The process is not listening yet.
                pass
            assert time.monotonic() < end_s, f"{what} in {limit_s:g} s"
            time.sleep(POLL_INTERVAL_S)
