"""A small deployment of real processes for the cases of the second review.

The processes are started with the commands of the deploy file, each machine
with a loopback address of its own and all with the same ports. Servers,
clients and the operator are stand-ins that follow the users' pages. Only the
standard library is used.
"""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import socketserver
import subprocess
import tempfile
import threading
import time
import tomllib
import typing as t

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ("z-a", "z-b", "z-c")
HOST = "a.example"
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
STABLE_S = 3.0
GRACE_S = 6.0
BOUNDS = (
    "seedLagS=3",
    "reuseAfterS=2",
    "stableWindowMs=3000",
    "ackMs=4000",
    "catchupS=4",
    "drainMs=2000",
    "graceS=6",
    "lossSlackMs=200",
    "configApplyMs=2000",
    "regressionWindowMs=250",
    "maxStretchMs=5000",
    "budgetRatio=0.2",
    "budgetWindowS=10",
    "budgetSlack=60",
    "recoveryS=15",
    "probesPerS=3",
    "floorShare=0.7",
)
PASSED_VARIABLES = ("PATH", "HOME", "LANG")


class CaseFailed(Exception):
    """The case could not run; says nothing of the rule."""


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of what was sent, answered and run, with the time."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start of the record."""
        return time.monotonic() - self.started_s

    def write(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {text}\n")
            self._file.flush()


def find_free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on."""
    found: list[int] = []
    held: list[socket.socket] = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind(("127.0.0.1", 0))
        held.append(probe)
        found.append(probe.getsockname()[1])
    for probe in held:
        probe.close()
    return found


class Machine:
    """One machine and its process."""

    def __init__(self, name: str, ip: str, zone: str, service: str) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.process: subprocess.Popen[bytes] | None = None


class Fleet:
    """Some core machines, and one sidecar machine for each service named.

    :param services: services of the servers beside the sidecars.
    :param side_memory_mb: memory of a sidecar machine.
    """

    def __init__(
        self,
        services: t.Sequence[str],
        record: Record,
        core_count: int = 3,
        side_memory_mb: int = 300,
    ) -> None:
        self.record = record
        self._side_memory_mb = side_memory_mb
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        names = ("outbound", "inbound", "ready", "control", "app", "link")
        self.ports = dict(zip(names, find_free_ports(len(names)), strict=True))
        net = random.randrange(20, 250)
        self.core = [
            Machine(f"core-{n}", f"127.{net}.1.{n + 1}", ZONES[n % 3], "")
            for n in range(core_count)
        ]
        self.sides = [
            Machine(f"side-{n}", f"127.{net}.2.{n + 1}", ZONES[n % 3], name)
            for n, name in enumerate(services)
        ]
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"]
        self._commands = {
            role["on"]: role["run"].split() for role in roles.values()
        }

    def address(self, machine: Machine, port: str) -> str:
        """Return ``ip:port`` of a machine, given the port's name."""
        return f"{machine.ip}:{self.ports[port]}"

    def start(self) -> None:
        """Start all machines for the first time."""
        for machine in (*self.core, *self.sides):
            self.start_machine(machine, bootstrap=True)

    def start_machine(self, machine: Machine, bootstrap: bool = False) -> None:
        """Start the process of one machine."""
        path = self.folder / f"{machine.name}.json"
        path.write_text(json.dumps(self._settings(machine, bootstrap)))
        env = {
            name: os.environ[name]
            for name in PASSED_VARIABLES
            if name in os.environ
        }
        env["PAPAYASTALL_SETTINGS"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        kind = "sidecar" if machine.service else "core"
        with (self.folder / f"{machine.name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                self._commands[kind],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, machine: Machine, number: int) -> None:
        """Send a signal to the process of a machine."""
        assert machine.process is not None
        self.record.write(f"{machine.name} gets signal {number}")
        machine.process.send_signal(number)

    def kill(self, machine: Machine) -> None:
        """Kill the process of a machine and wait for its end."""
        self.send_signal(machine, signal.SIGKILL)
        assert machine.process is not None
        machine.process.wait()

    def close(self) -> None:
        """End all processes that were started, and remove their files."""
        for machine in (*self.core, *self.sides):
            if machine.process is not None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _settings(self, machine: Machine, bootstrap: bool) -> dict[str, t.Any]:
        is_core = not machine.service
        addresses = {"control": self.address(machine, "control")}
        if not is_core:
            for port in ("outbound", "inbound", "ready"):
                addresses[port] = self.address(machine, port)
        data = self.folder / f"{machine.name}-data"
        data.mkdir(exist_ok=True)
        return {
            "nodeName": machine.name,
            "role": "control" if is_core else "node",
            "machineClass": "core" if is_core else "sidecar",
            "serves": ["control_plane" if is_core else "sidecar"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": "r",
            "zones": {zone: "r" for zone in ZONES},
            "listenAddrs": addresses,
            "internalPorts": [self.ports["link"], self.ports["link"]],
            "seeds": [self.address(seed, "control") for seed in self.core[:3]],
            "bootstrap": bootstrap,
            "countsAsLoss": is_core,
            "limits": {
                "cpuShare": 0.645 if is_core else 0.86,
                "vcpus": 1,
                "memoryMb": 296 if is_core else self._side_memory_mb,
                "maxFds": 4096 if is_core else 4100,
                "linkMbps": 1000.0,
                "diskMb": 256 if is_core else 0,
            },
            "dataDir": str(data) if is_core else None,
            "discovery": "static",
            "entry": "static",
            "heartbeatIntervalMs": int(HEARTBEAT_S * 1000),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "health",
            ],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": list(BOUNDS),
            "appAddr": None if is_core else self.address(machine, "app"),
            "service": machine.service or None,
        }

    def is_ready(self, machine: Machine) -> bool:
        """Return whether the readiness check of a sidecar succeeds."""
        try:
            status, _, _ = call(
                self.address(machine, "ready"), "GET", "/papayastall/readyz"
            )
        except OSError:
            return False
        return status == 200

    def wait_until_ready(self, machines: t.Sequence[Machine]) -> None:
        """Wait until the readiness checks of the machines succeed."""
        wait(
            lambda: all(self.is_ready(machine) for machine in machines),
            "the sidecars are not ready",
            30.0,
        )

    def configure(self, method: str, body: dict[str, t.Any]) -> None:
        """Send a configuration until it is acknowledged, to any node."""
        data = json.dumps(body).encode()
        end_s = time.monotonic() + 30.0
        number = 0
        while time.monotonic() < end_s:
            machine = self.core[number % len(self.core)]
            number += 1
            try:
                status, _, answer = call(
                    self.address(machine, "control"),
                    method,
                    "/papayastall/config",
                    data,
                    timeout_s=2.0,
                )
            except OSError:
                time.sleep(0.2)
                continue
            if status == 200:
                self.record.write(
                    f"operator: {method} of version {body['version']} "
                    f"acknowledged by {machine.name}"
                )
                return
            if status < 500 and status not in (408, 429):
                raise CaseFailed(f"{method} config: {status} {answer!r}")
            time.sleep(0.2)
        raise CaseFailed(f"no acknowledgement of version {body['version']}")

    def read_version(self, machine: Machine) -> int | None:
        """Return the version that a core machine reads, if it does."""
        try:
            status, _, body = call(
                self.address(machine, "control"), "GET", "/papayastall/config"
            )
        except OSError:
            return None
        return int(json.loads(body)["version"]) if status == 200 else None


def make_route(
    name: str,
    prefix: str,
    service: str,
    kind: str = "safe",
    timeout_ms: int = 4000,
    **fields: t.Any,
) -> dict[str, t.Any]:
    """Return a resource with a route."""
    spec = {
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "latencySloMs": 2500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **fields,
    }
    return {"type": "routes", "metadata": {"name": name}, "spec": spec}


def make_service(name: str) -> dict[str, t.Any]:
    """Return a resource with a service."""
    spec = {
        "healthPath": "/healthz",
        "maxConnections": 360,
        "protocol": "h1",
        "tls": False,
    }
    return {"type": "services", "metadata": {"name": name}, "spec": spec}


def make_limits() -> dict[str, t.Any]:
    """Return the resource with the limits on clients."""
    spec = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"type": "limits", "metadata": {}, "spec": spec}


def call(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: t.Mapping[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection and return its answer.

    :raises OSError: there was no complete answer.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout_s)
    try:
        connection.request(method, path, body, dict(headers or {}))
        response = connection.getresponse()
        found = {key.lower(): val for key, val in response.getheaders()}
        return response.status, found, response.read()
    except http.client.HTTPException as error:
        raise ConnectionError(repr(error)) from error
    finally:
        connection.close()


def wait(condition: t.Callable[[], bool], what: str, limit_s: float) -> None:
    """Wait until a condition holds.

    :raises CaseFailed: it does not within the limit.
    """
    end_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end_s:
            raise CaseFailed(what)
        time.sleep(0.1)


class Server(socketserver.ThreadingTCPServer):
    """A sound server beside a sidecar.

    :param work_s: time that it works on a request.
    :ivar runs: time, id and method of each request that it ran.
    :ivar answered: ids of the requests that it has answered.
    """

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 128

    def __init__(
        self,
        fleet: Fleet,
        machine: Machine,
        instance: str,
        slots: int = 7,
        work_s: float = 0.05,
    ) -> None:
        super().__init__(
            (machine.ip, fleet.ports["app"]), _Handler, bind_and_activate=True
        )
        self.fleet = fleet
        self.machine = machine
        self.instance = instance
        self.slots = slots
        self.work_s = work_s
        self.born_ms = int(time.time() * 1000)
        self.state = "ready"
        self.runs: list[tuple[float, str, str]] = []
        self.answered: set[str] = set()
        self.is_beating = True
        self._sequence = 0
        self._slots = threading.Semaphore(slots)
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def start_beats(self) -> None:
        """Send a heartbeat about every interval, from now on."""
        threading.Thread(target=self._beat, daemon=True).start()

    def make_beat(self) -> bytes:
        """Return the next heartbeat; its sequence number is used up."""
        self._sequence += 1
        return json.dumps(
            {
                "service": self.machine.service,
                "address": self.fleet.address(self.machine, "app"),
                "zone": self.machine.zone,
                "version": "v1",
                "maxConcurrency": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self._sequence,
                "born": self.born_ms,
            }
        ).encode()

    def send_beat(self, beat: bytes) -> bool:
        """Send a heartbeat; return whether it was acknowledged."""
        return self._announce("PUT", beat)

    def send_delete(self) -> bool:
        """Deregister; return whether that was acknowledged."""
        body = json.dumps({"born": self.born_ms}).encode()
        return self._announce("DELETE", body)

    def _announce(self, method: str, body: bytes) -> bool:
        text = body.decode()
        try:
            status, _, _ = call(
                self.fleet.address(self.machine, "control"),
                method,
                f"/papayastall/instances/{self.instance}",
                body,
                {"Content-Type": "application/json"},
                timeout_s=1.0,
            )
        except OSError as error:
            self.fleet.record.write(
                f"server {self.instance}: {method} {text} failed: {error!r}"
            )
            return False
        self.fleet.record.write(
            f"server {self.instance}: {method} {text} answered {status}"
        )
        return 200 <= status < 300

    def _beat(self) -> None:
        while self.is_beating:
            self.send_beat(self.make_beat())
            time.sleep(HEARTBEAT_S)

    def crash(self) -> None:
        """End at once: the listener and all connections are closed."""
        self.is_beating = False
        self.shutdown()
        self.server_close()
        with self._lock:
            connections = list(self._open)
        for each in connections:
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        self.fleet.record.write(f"server {self.instance} has ended")

    def note_connection(
        self, connection: socket.socket, is_open: bool
    ) -> None:
        """Keep the list of open connections."""
        with self._lock:
            if is_open:
                self._open.add(connection)
            else:
                self._open.discard(connection)

    def run(self, request_id: str, method: str, path: str) -> bool:
        """Work on a request; return false if there is no room for it."""
        if not self._slots.acquire(timeout=1.0):
            return False
        try:
            now_s = self.fleet.record.now_s()
            self.runs.append((now_s, request_id, method))
            self.fleet.record.write(
                f"server {self.instance}: runs {method} {path} {request_id}"
            )
            time.sleep(self.work_s)
        finally:
            self._slots.release()
        return True


class _Handler(socketserver.StreamRequestHandler):
    server: Server

    def handle(self) -> None:
        self.server.note_connection(self.connection, True)
        try:
            while self._handle_request():
                pass
        except (OSError, ValueError):
            return
        finally:
            self.server.note_connection(self.connection, False)

    def _handle_request(self) -> bool:
        line = self.rfile.readline()
        if not line:
            return False
        headers: dict[str, str] = {}
        while (raw := self.rfile.readline().strip()) != b"":
            name, _, value = raw.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        method, path, _ = line.decode("latin-1").split()
        self.rfile.read(int(headers.get("content-length", "0")))
        request_id = headers.get("request-id", "")
        server = self.server
        if path == "/healthz":
            self._send("200 OK", {"Instance-Id": server.instance}, b"ok")
            return True
        expected = headers.get("expect-instance", server.instance)
        echo = {"Request-Id": request_id}
        if expected != server.instance:
            found = {**echo, "Instance-Id": server.instance}
            self._send("421 Misdirected Request", found, b"")
            return True
        if not server.run(request_id, method, path):
            found = {**echo, "Not-Executed": "1"}
            self._send("503 Service Unavailable", found, b"")
            return True
        stamp = f"{server.instance}.{request_id}"
        body = f"whole answer to {request_id}".encode()
        self._send("200 OK", {**echo, "Response-Stamp": stamp}, body)
        server.answered.add(request_id)
        return True

    def _send(
        self, status: str, headers: t.Mapping[str, str], body: bytes
    ) -> None:
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.wfile.write("\r\n".join([*lines, "", ""]).encode() + body)


class Clients:
    """Clients on one machine that send requests at a steady rate.

    Each request uses a new connection and is sent once.

    :param make_path: returns the path of a request, given its number.
    :ivar results: by request id, when it was sent, and the status and the
        time of its answer; status 0 if there was none.
    """

    def __init__(
        self,
        fleet: Fleet,
        machine: Machine,
        method: str,
        make_path: t.Callable[[int], str],
        per_s: float,
        deadline_ms: int = 4000,
    ) -> None:
        self._fleet = fleet
        self._machine = machine
        self._method = method
        self._make_path = make_path
        self._interval_s = 1.0 / per_s
        self._deadline_ms = deadline_ms
        self._ends = threading.Event()
        self._threads: list[threading.Thread] = []
        self._name = f"{machine.name}-{method.lower()}"
        self.results: dict[str, tuple[float, int, float]] = {}

    def start(self) -> None:
        """Start to send."""
        thread = threading.Thread(target=self._run, daemon=True)
        self._threads.append(thread)
        thread.start()

    def stop(self) -> None:
        """Send no more, and wait for the answers."""
        self._ends.set()
        for thread in list(self._threads):
            thread.join(self._deadline_ms / 1000 + 3.0)

    def _run(self) -> None:
        number = 0
        while not self._ends.wait(self._interval_s):
            number += 1
            thread = threading.Thread(
                target=self._send, args=(number,), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def _send(self, number: int) -> None:
        record = self._fleet.record
        request_id = f"{self._name}-{number}"
        path = self._make_path(number)
        sent_s = record.now_s()
        status = 0
        text = ""
        try:
            status, _, body = call(
                self._fleet.address(self._machine, "outbound"),
                self._method,
                path,
                b"{}" if self._method == "POST" else None,
                {
                    "Host": HOST,
                    "Request-Id": request_id,
                    "Deadline-Ms": str(self._deadline_ms),
                },
                timeout_s=self._deadline_ms / 1000 + 2.0,
            )
            if status != 200:
                text = body.decode("latin-1")
        except OSError as error:
            text = repr(error)
        self.results[request_id] = (sent_s, status, record.now_s())
        record.write(
            f"client {self._machine.name}: {self._method} {path} "
            f"{request_id} sent at {sent_s:.3f} answered {status} {text}"
        )
