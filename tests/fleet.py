"""A fleet of node and upstream processes, callers, and their history."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import typing as t

import httpcore
import orjson

from tests import relays

__all__ = [
    "Fleet",
    "Load",
    "Observation",
    "check_history",
    "free_address",
    "request",
]

DOMAINS = ("a", "b", "c")
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 2.0
LATE_TOLERANCE_S = 0.5
CALLER_TIMEOUT_S = 10.0
READY_BURST_REQUESTS = 16
FIRST_EPHEMERAL_PORT = 32_768  # Linux's default

SETTINGS = """\
version = 1
caller_address = "{node.caller}"
control_address = "{node.control}"
link_address = "{node.link}"
link_listen_address = "{node.listen}"
gossip_address = "{node.gossip}"
failure_domain = "{node.domain}"
region = "r"
seeds = [{seeds}]
control_replicas = [{replicas}]
data_folder = "data-{node.domain}"
insecure = true
log_file = "{node.domain}.log"
shutdown_timeout_ms = 20000
"""

DOCUMENT = """\
version = 1
name = "visits"
revision = 1
floor_slots = 1
timeout_ms = 2000
health_priority = "detection"

[[routes]]
name = "status"
methods = ["GET"]
path = "/visits/status"
kind = "lookup"

[[routes]]
name = "book"
methods = ["POST"]
path = "/visits/bookings"
kind = "non-idempotent"
"""


@dataclasses.dataclass(slots=True)
class Node:
    """One node process and its addresses.

    :param link: link address that other nodes use; of a relay, if any.
    :param listen: address at which the node listens for links.
    """

    domain: str
    caller: str
    control: str
    link: str
    listen: str
    gossip: str
    process: subprocess.Popen[bytes] | None = None


@dataclasses.dataclass(slots=True)
class Upstream:
    """One emulated upstream process.

    :param record: file in which it records the requests that it runs.
    :param announce: numbers of the nodes that it announces itself to; it
        goes on to the next one when one fails.
    """

    address: str
    record: pathlib.Path
    announce: list[int]
    process: subprocess.Popen[bytes] | None = None


@dataclasses.dataclass(slots=True)
class Observation:
    """A caller's request and what the caller observed of it.

    :param node: number of the node that it was sent to.
    :param status: of the answer; 0 if no complete answer came.
    :param ran: whether the request ran, according to the answer.
    :param code: error code of the answer, if any.
    :param error: why no complete answer came; begins with "not sent" if the
        connection failed.
    """

    name: str
    method: str
    node: int
    sent_s: float
    status: int = 0
    ran: str | None = None
    code: str = ""
    body: t.Any = None
    error: str = ""
    took_s: float = 0.0


class Fleet:
    """Three nodes behind relays, and upstreams that announce themselves.

    :param announce: for each upstream the numbers of the nodes that it
        announces itself to.
    :param service_ms: time that the upstreams take for a request.
    :param slots: of each upstream.
    :param with_relays: whether links go through relays that inject faults.
    :param floor_slots: of the service that the upstreams serve.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        announce: t.Sequence[t.Sequence[int]],
        service_ms: int = 20,
        slots: int = 7,
        with_relays: bool = True,
        floor_slots: int = 1,
    ) -> None:
        self._floor_slots = floor_slots
        self.folder = folder
        self.nodes: list[Node] = []
        self.relays: list[relays.Relay] = []
        self.upstreams = [
            Upstream(
                free_address(), folder / f"upstream-{number}", list(owners)
            )
            for number, owners in enumerate(announce)
        ]
        self.names = itertools.count()
        self._service_ms = service_ms
        self._slots = slots
        self._with_relays = with_relays
        self._output = open(folder / "output", "wb")

    async def __aenter__(self) -> t.Self:
        """Start all processes and wait until requests are answered."""
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_error: object) -> None:
        """End all processes and relays."""
        await self.close()

    async def _start(self) -> None:
        for domain in DOMAINS:
            listen = link = free_address()
            if self._with_relays:
                relay = relays.Relay(listen)
                await relay.start()
                self.relays.append(relay)
                link = relay.address
            self.nodes.append(
                Node(
                    domain,
                    free_address(),
                    free_address(),
                    link,
                    listen,
                    free_address(socket.SOCK_DGRAM),
                )
            )
        for relay in self.relays:
            relay.sources = [node.link for node in self.nodes]
        init_processes = [self._write_settings(node) for node in self.nodes]
        for process in init_processes:
            process.wait(START_TIMEOUT_S)
        for number in range(len(self.nodes)):
            self.start_node(number)
        for number in range(len(self.nodes)):
            await self.wait_for_node(number)
        for number in range(len(self.upstreams)):
            self.start_upstream(number)
        await self._apply()
        await self.wait_until_ready()

    async def close(self) -> None:
        """Kill all processes by their ids."""
        for relay in self.relays:
            await relay.close()
        processes = [upstream.process for upstream in self.upstreams]
        processes.extend(node.process for node in self.nodes)
        for process in processes:
            if process is not None:
                process.kill()
                process.wait()
        self._output.close()

    def start_node(self, number: int) -> None:
        """Start a node, or start it again."""
        path = self.folder / f"{self.nodes[number].domain}.toml"
        self.nodes[number].process = self._run(
            "papayastall", "node", "--settings", str(path)
        )

    def start_upstream(self, number: int) -> None:
        """Start an upstream, or start it again."""
        upstream = self.upstreams[number]
        owners = ",".join(
            self.nodes[owner].control for owner in upstream.announce
        )
        # An upstream without owners announces itself to an address where
        # nothing listens and gets direct requests only.
        owners = owners or free_address()
        upstream.process = self._run(
            "papayastall.emulator",
            f"--address={upstream.address}",
            "--service=visits",
            f"--announce={owners}",
            f"--service-ms={self._service_ms}",
            f"--slots={self._slots}",
            "--lease-ms=1500",
            f"--record={upstream.record}",
        )

    def signal_node(self, number: int, signum: int) -> None:
        """Send a signal to a node's process."""
        process = self.nodes[number].process
        assert process is not None
        process.send_signal(signum)
        if signum == signal.SIGKILL:
            process.wait()

    def signal_upstream(self, number: int, signum: int) -> None:
        """Send a signal to an upstream's process."""
        process = self.upstreams[number].process
        assert process is not None
        process.send_signal(signum)
        if signum == signal.SIGKILL:
            process.wait()

    async def set_behaviour(self, number: int, **behaviour: object) -> None:
        """Set how an upstream treats requests."""
        await request(
            "POST",
            f"http://{self.upstreams[number].address}/emulator/behaviour",
            orjson.dumps(behaviour),
        )

    async def wait_for_node(self, number: int) -> None:
        """Wait until a node runs and lists as many members as nodes."""
        url = f"http://{self.nodes[number].control}/v1/status"
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                _, content = await request("GET", url, b"")
                if len(orjson.loads(content)["nodes"]) == len(self.nodes):
                    return
            except (httpcore.NetworkError, httpcore.TimeoutException):
                pass
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(url)

    async def wait_until_ready(self) -> None:
        """Wait until lookups at every node reach every upstream."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        wanted = {
            upstream.address
            for upstream in self.upstreams
            if upstream.announce
        }
        for number in range(len(self.nodes)):
            seen: set[str] = set()
            while seen != wanted:
                # Many at once, so that the nearest upstream can't run all.
                burst = await asyncio.gather(
                    *(
                        self.send(number, "GET", "ready")
                        for _ in range(READY_BURST_REQUESTS)
                    )
                )
                seen.update(
                    observed.body["upstream"]
                    for observed in burst
                    if observed.status == 200
                )
                if time.monotonic() > deadline_s:
                    missing = wanted - seen
                    raise TimeoutError(f"{number}: {missing}, {burst[0]}")

    async def send(
        self, number: int, method: str, name: str, key: str = ""
    ) -> Observation:
        """Send one request to a node; return what its caller observed."""
        observed = Observation(name, method, number, time.time())
        host = f"http://{self.nodes[number].caller}"
        body = b""
        url = f"{host}/visits/status/{name}"
        if method == "POST":
            url = f"{host}/visits/bookings"
            body = orjson.dumps({"visit": name})
        started_s = time.monotonic()
        try:
            status, content = await request(method, url, body, name, key)
        except httpcore.ConnectError as error:
            observed.error = f"not sent: {error}"
            return observed
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            observed.error = f"{type(error).__name__}: {error}"
            return observed
        finally:
            observed.took_s = time.monotonic() - started_s
        observed.status = status
        observed.body = orjson.loads(content)
        if status != 200:
            observed.ran = observed.body.get("ran")
            observed.code = observed.body.get("code", "")
        return observed

    def runs(self) -> list[dict[str, t.Any]]:
        """Return the requests that all upstreams ran, killed ones included."""
        return [
            {**orjson.loads(line), "upstream": upstream.address}
            for upstream in self.upstreams
            if upstream.record.exists()
            for line in upstream.record.read_bytes().splitlines()
        ]

    def _write_settings(self, node: Node) -> subprocess.Popen[bytes]:
        text = SETTINGS.format(
            node=node,
            seeds=", ".join(f'"{each.gossip}"' for each in self.nodes),
            replicas=", ".join(f'"{each.link}"' for each in self.nodes),
        )
        path = self.folder / f"{node.domain}.toml"
        path.write_text(text)
        return self._run("papayastall", "init", "--settings", str(path))

    async def _apply(self) -> None:
        path = self.folder / "visits.toml"
        floor = f"floor_slots = {self._floor_slots}"
        path.write_text(DOCUMENT.replace("floor_slots = 1", floor))
        process = self._run(
            "papayastall",
            "apply",
            f"--node={self.nodes[0].control}",
            str(path),
        )
        while process.poll() is None:
            await asyncio.sleep(POLL_INTERVAL_S)
        assert process.returncode == 0, (self.folder / "output").read_text()

    def _run(self, module: str, *arguments: str) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=self._output,
            stderr=self._output,
        )


class Load:
    """Callers that send lookups and bookings in turn to some nodes.

    :param nodes: numbers of the nodes that the requests go to.
    :param callers: number of concurrent callers of each node.
    """

    def __init__(
        self, fleet: Fleet, nodes: t.Sequence[int], callers: int = 4
    ) -> None:
        self.observed: list[Observation] = []
        self._fleet = fleet
        self._stopping = False
        self._tasks = [
            asyncio.create_task(self._call(node))
            for node in nodes
            for _ in range(callers)
        ]

    async def stop(self) -> list[Observation]:
        """Stop once the requests in flight have ended; return the history."""
        self._stopping = True
        await asyncio.gather(*self._tasks)
        return self.observed

    async def _call(self, node: int) -> None:
        while not self._stopping:
            name = f"n{next(self._fleet.names)}"
            method = "POST" if len(self.observed) % 2 else "GET"
            self.observed.append(await self._fleet.send(node, method, name))
            await asyncio.sleep(0.01)


def check_history(
    observed: t.Iterable[Observation], fleet: Fleet, *, late_runs: bool = False
) -> None:
    """Check what callers observed against the requests that upstreams ran.

    :param late_runs: whether a request may run after its deadline.
    """
    runs: dict[str, list[dict[str, t.Any]]] = {}
    for run in fleet.runs():
        runs.setdefault(run["caller_id"], []).append(run)
    for each in observed:
        ran = runs.get(each.name, [])
        if each.status == 200:
            _check_body(each)
            assert ran, f"answered but not run: {each}"
        if each.ran == "no" or each.error.startswith("not sent"):
            assert not ran, f"reported as not run: {each}, {ran}"
        if each.method == "POST":
            assert len(ran) <= 1, f"ran more than once: {each}, {ran}"
        for run in ran:
            # A paused ingress can't tell how long its caller has waited: if
            # its answer comes after the deadline, the answer's time counts.
            latest_s = (
                each.sent_s
                + max(REQUEST_TIMEOUT_S, each.took_s)
                + LATE_TOLERANCE_S
            )
            in_time = run["at_s"] <= latest_s
            assert in_time or late_runs, f"ran late: {each}, {run}"


def _check_body(observed: Observation) -> None:
    body = observed.body
    assert body["method"] == observed.method, observed
    if observed.method == "GET":
        assert body["path"] == f"/visits/status/{observed.name}", observed
    else:
        assert orjson.loads(body["body"]) == {"visit": observed.name}, observed


async def request(
    method: str, url: str, body: bytes, name: str = "", key: str = ""
) -> tuple[int, bytes]:
    """Send one request on its own connection; return status and body."""
    timeouts = dict.fromkeys(
        ("connect", "read", "write", "pool"), CALLER_TIMEOUT_S
    )
    headers = [("x-request-id", name)]
    if key:
        headers.append(("idempotency-key", key))
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            method,
            url,
            headers=headers,
            content=body,
            extensions={"timeout": timeouts},
        )
    return response.status, response.content


_returned_ports: set[int] = set()


def free_address(kind: int = socket.SOCK_STREAM) -> str:
    """Return a loopback address at which nothing listens.

    Its port is below the ephemeral ports, so that no outgoing connection
    takes it before the process that is to listen there, and is returned once
    only.
    """
    while True:
        port = random.randrange(10_000, FIRST_EPHEMERAL_PORT)
        if port in _returned_ports:
            continue
        _returned_ports.add(port)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return f"127.0.0.1:{port}"
