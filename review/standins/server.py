"""A server of the users, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import dataclasses
import itertools
import socket
import struct
import time

from standins import fleet as fleets
from standins import wire

__all__ = ["Run", "Server"]

HEARTBEAT_INTERVAL_S = 1.5
IDLE_TIMEOUT_S = 10
QUEUE = 72


@dataclasses.dataclass(slots=True)
class Run:
    """A request that a server began to run.

    :param began_s: when, in seconds of the record.
    """

    request_id: str
    server: str
    path: str
    began_s: float
    ended_s: float | None = None


class Server:
    """One server beside a node; it begins to listen at :meth:`start`.

    :param work_s: returns how long a request takes, by its path.
    :param incarnation: number of its start on this machine.
    :ivar runs: all runs in order.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        machine: fleets.Machine,
        work_s: cabc.Callable[[str], float],
        slots: int = 7,
        incarnation: int = 1,
    ) -> None:
        self._fleet = fleet
        self.machine = machine
        self.instance = f"i-{machine.name}-{incarnation}"
        self.born = int(time.time() * 1000)
        self._work_s = work_s
        self._slots = slots
        self._free = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._sequence = itertools.count(1)
        self._stamps = itertools.count(1)
        self._beats: asyncio.Task[None] | None = None
        self._listener: asyncio.Server | None = None
        self._handlers: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.runs: list[Run] = []

    async def start(self) -> None:
        """Listen, and send heartbeats."""
        host, _, port = self.address.rpartition(":")
        self._listener = await asyncio.start_server(
            self._handle, host, int(port), reuse_address=True
        )
        self._beats = asyncio.create_task(self._send_heartbeats())

    @property
    def address(self) -> str:
        """Return the address that the server listens on."""
        return self._fleet.address(self.machine, "app")

    def make_heartbeat(self, **fields: object) -> dict[str, object]:
        """Return the body of the next heartbeat."""
        return {
            "service": self.machine.service,
            "address": self.address,
            "zone": self.machine.zone,
            "version": "v1",
            "maxConcurrency": self._slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": next(self._sequence),
            "born": self.born,
            **fields,
        }

    async def send(self, method: str, body: object) -> int | None:
        """Send a heartbeat or a deregistration; return the status."""
        answer = await wire.call(
            self._fleet.address(self.machine, "control"),
            method,
            f"/papayastall/instances/{self.instance}",
            body,
        )
        status = None if answer is None else answer.status
        self._fleet.record.note(
            "instance-call",
            method=method,
            server=self.instance,
            body=body,
            status=status,
        )
        return status

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send("PUT", self.make_heartbeat())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def stop_heartbeats(self) -> None:
        """Send no more heartbeats."""
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None

    def close(self) -> None:
        """Stop to listen and to send heartbeats."""
        self.stop_heartbeats()
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def crash(self) -> None:
        """Reset all connections and send nothing more."""
        self._fleet.record.note("crash", server=self.instance)
        self.close()
        for handler in list(self._handlers):
            handler.cancel()
        for writer in list(self._writers):
            _reset(writer)

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        handler = asyncio.current_task()
        assert handler is not None
        self._handlers.add(handler)
        self._writers.add(writer)
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    request = await wire.read_message(reader)
                if request is None:
                    break
                if not await self._answer(request, writer):
                    break
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The server has crashed.
            pass
        finally:
            self._handlers.discard(handler)
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        request_id = request.headers.get("request-id", "")
        expected = request.headers.get("expect-instance", self.instance)
        refusal = 0
        if expected != self.instance:
            refusal = 421
        elif not request_id:
            refusal = 400
        elif self._waiting >= QUEUE:
            refusal = 503
        if refusal:
            self._send(writer, refusal, request_id, {"Not-Executed": "1"})
            return True
        deadline_s = int(request.headers.get("deadline-ms", "10000")) / 1000
        self._waiting += 1
        await self._free.acquire()
        self._waiting -= 1
        self._running += 1
        path = request.first_line.split()[1]
        record = self._fleet.record
        run = Run(request_id, self.instance, path, record.now_s())
        self.runs.append(run)
        record.note("run", server=self.instance, id=request_id, path=path)
        try:
            work_s = self._work_s(path)
            await asyncio.sleep(min(work_s, deadline_s))
        finally:
            self._running -= 1
            self._free.release()
            run.ended_s = record.now_s()
        status = 200 if work_s <= deadline_s else 504
        record.note(
            "run-end", server=self.instance, id=request_id, status=status
        )
        stamp = {"Response-Stamp": f"{self.instance}.{next(self._stamps)}"}
        self._send(writer, status, request_id, stamp)
        await writer.drain()
        return True

    def _send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: str,
        headers: dict[str, str],
    ) -> None:
        load = f"{self._running},{self._waiting},{self._slots}"
        headers = {
            "Request-Id": request_id,
            "Server-Load": load,
            "Keep-Alive": f"timeout={IDLE_TIMEOUT_S}",
            **headers,
        }
        body = f"answer to {request_id}\n".encode()
        writer.write(wire.encode(f"HTTP/1.1 {status} x", headers, body))


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    linger = struct.pack("ii", 1, 0)
    transport_socket = writer.get_extra_info("socket")
    transport_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
