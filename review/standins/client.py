"""Clients of the users, and the operator's configuration."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools

from standins import fleet as fleets
from standins import record as records
from standins import wire

__all__ = ["Client", "Connection", "Outcome", "make_config"]

HOST = "jepu9.example"
_IDS = itertools.count(1)


def make_config(
    routes: dict[str, tuple[str, str]], **fields: object
) -> dict[str, object]:
    """Return the first configuration.

    :param routes: kind and service of each route, by its path prefix.
    :param fields: further fields of all routes.
    """
    resources: list[dict[str, object]] = []
    for service in sorted({service for _, service in routes.values()}):
        spec: dict[str, object] = {
            "healthPath": "/healthz",
            "maxConnections": 360,
            "protocol": "h1",
            "tls": False,
        }
        metadata = {"name": service}
        resources.append(
            {"type": "services", "metadata": metadata, "spec": spec}
        )
    for prefix, (kind, service) in routes.items():
        spec = {
            "host": HOST,
            "pathPrefix": prefix,
            "kind": kind,
            "timeoutMs": 8000,
            "latencySloMs": 5000,
            "priority": 2,
            "service": service,
            "maxAttempts": 2,
            **fields,
        }
        metadata = {"name": "r" + prefix.replace("/", "-").rstrip("-")}
        resources.append(
            {"type": "routes", "metadata": metadata, "spec": spec}
        )
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    resources.append({"type": "limits", "metadata": {}, "spec": limits})
    return {"version": 1, "baseVersion": 0, "resources": resources}


@dataclasses.dataclass(slots=True)
class Outcome:
    """One client attempt.

    :param status: of the answer; ``None`` if there was no whole answer.
    :param is_servers: whether the answer bears a server's stamp.
    :param ended_s: when the answer or the end of the connection came.
    :param is_kept: whether the connection had carried a request before.
    """

    request_id: str
    node: str
    sent_s: float
    status: int | None = None
    is_servers: bool = False
    ended_s: float | None = None
    problem: str = ""
    is_kept: bool = False


class Connection:
    """A client's connection to the node on its machine."""

    def __init__(self, fleet: fleets.Fleet, machine: fleets.Machine) -> None:
        self._fleet = fleet
        self._machine = machine
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.closes = False

    async def open(self) -> None:
        """Connect; a client allows one second for it."""
        address = self._fleet.address(self._machine, "outbound")
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(1.0):
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )

    async def request(
        self, method: str, path: str, deadline_ms: int
    ) -> Outcome:
        """Send one request and wait for its answer until the deadline."""
        assert self._reader is not None and self._writer is not None
        record: records.Record = self._fleet.record
        request_id = f"{next(_IDS):016x}"
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        sent_s = record.note(
            "request",
            id=request_id,
            node=self._machine.name,
            method=method,
            path=path,
        )
        outcome = Outcome(request_id, self._machine.name, sent_s)
        try:
            self._writer.write(
                wire.encode(f"{method} {path} HTTP/1.1", headers)
            )
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                answer = await wire.read_message(self._reader, is_answer=True)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            answer = None
            outcome.problem = type(error).__name__
        if answer is not None:
            outcome.status = answer.status
            outcome.is_servers = "response-stamp" in answer.headers
            self.closes = answer.headers.get("connection") == "close"
        elif not outcome.problem:
            outcome.problem = "closed"
        outcome.ended_s = record.note(
            "answer",
            id=request_id,
            status=outcome.status,
            servers_own=outcome.is_servers,
            problem=outcome.problem,
        )
        return outcome

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


class Client:
    """Sends requests, each on a new connection, and keeps the outcomes."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self.outcomes: list[Outcome] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def send(
        self,
        machine: fleets.Machine,
        method: str,
        path: str,
        deadline_ms: int,
    ) -> None:
        """Send a request in the background."""
        task = asyncio.create_task(
            self._send(machine, method, path, deadline_ms)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send(
        self,
        machine: fleets.Machine,
        method: str,
        path: str,
        deadline_ms: int,
    ) -> None:
        connection = Connection(self._fleet, machine)
        try:
            await connection.open()
        except (OSError, TimeoutError):
            return
        try:
            outcome = await connection.request(method, path, deadline_ms)
            self.outcomes.append(outcome)
        finally:
            connection.close()

    def send_kept(
        self,
        machine: fleets.Machine,
        requests: list[tuple[str, str]],
        deadline_ms: int,
    ) -> None:
        """Send requests one after the other on one connection.

        :param requests: method and path of each.
        """
        task = asyncio.create_task(
            self._send_kept(machine, requests, deadline_ms)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_kept(
        self,
        machine: fleets.Machine,
        requests: list[tuple[str, str]],
        deadline_ms: int,
    ) -> None:
        connection = Connection(self._fleet, machine)
        try:
            await connection.open()
        except (OSError, TimeoutError):
            return
        try:
            for number, (method, path) in enumerate(requests):
                outcome = await connection.request(method, path, deadline_ms)
                outcome.is_kept = number > 0
                self.outcomes.append(outcome)
                if outcome.status is None or connection.closes:
                    return
        finally:
            connection.close()

    async def wait(self) -> None:
        """Wait until all requests have ended."""
        while self.tasks:
            await asyncio.wait(self.tasks)
