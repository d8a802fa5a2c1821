"""Stub upstream for the platform's protocol, with selectable faults."""

from __future__ import annotations

import collections
import collections.abc as cabc
import enum
import socketserver
import threading
import time
import typing as t

__all__ = ["Fault", "Upstream", "make_body"]

MAX_HOLD_S = 30.0
READ_BYTES = 1 << 20
EXTRA = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
)


class Fault(enum.Enum):
    """What an upstream does with each request."""

    NONE = "none"
    CHUNKED = "answers in chunks"
    NO_LENGTH = "ends its answer with the connection"
    CLOSES = "announces that it closes the connection, and closes it"
    GONE = "closes after its answer without announcing it"
    EARLY = "answers before it reads the body"
    EXTRA = "sends a second answer at once"
    LATE = "sends another request's answer first"
    CUT = "closes half way through its answer"
    GARBAGE = "sends data that is no HTTP answer"
    ZERO_STATUS = "answers with status 000"
    HIGH_STATUS = "answers with status 600"
    RESET = "runs it and closes without an answer"
    HANG = "runs it and never answers"
    ERROR = "answers with status 500"
    REFUSES = "refuses it because it is full"
    OTHER_INSTANCE = "is another instance than expected"


NOT_RUN_FAULTS = (Fault.REFUSES, Fault.OTHER_INSTANCE)


def make_body(request_id: str) -> bytes:
    """Return the complete answer body to a request."""
    return f"the whole answer to {request_id} ".encode() * 20


class Upstream(socketserver.ThreadingTCPServer):
    """HTTP server that records the requests it receives.

    :param stamp: value of the ``Response-Stamp`` header of its answers; the
        instance by default.
    :param body: returns the complete answer body to a request id.
    :ivar requests: path and headers of each request that it ran.
    :ivar started: event that is set when a request starts to run.
    :ivar gate: event for which running requests wait before they are
        answered; it is set at first.
    :ivar runs: number of runs by request id.
    :ivar body_bytes: length of the whole body of the last run, by request id.
    :ivar arrived: number of requests received, run or not.
    :ivar arrived_s: when each of them was received.
    :ivar headers: further headers of all answers with a head.
    :ivar released: event that ends the requests of ``Fault.HANG``.
    """

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 64

    def __init__(
        self,
        address: str,
        instance: str,
        stamp: str = "",
        body: cabc.Callable[[str], bytes] = make_body,
    ) -> None:
        host, _, port = address.rpartition(":")
        super().__init__((host, int(port)), _Handler)
        self.instance = instance
        self.stamp = stamp
        self.body = body
        self.requests: list[tuple[str, dict[str, str]]] = []
        self.started = threading.Event()
        self.gate = threading.Event()
        self.gate.set()
        self.fault = Fault.NONE
        self.runs: collections.Counter[str] = collections.Counter()
        self.body_bytes: dict[str, int] = {}
        self.arrived = 0
        self.arrived_s: list[float] = []
        self.headers: dict[str, str] = {}
        self.released = threading.Event()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop the server and release the requests that it holds."""
        self.gate.set()
        self.released.set()
        self.shutdown()
        self.server_close()


class _Handler(socketserver.StreamRequestHandler):
    server: Upstream

    def handle(self) -> None:
        """Handle one connection until either side closes it."""
        try:
            while self._handle_request():
                pass
        except (OSError, ValueError):
            return

    def _handle_request(self) -> bool:
        """Handle one request; return whether the connection stays open."""
        line = self.rfile.readline()
        if not line:
            return False
        headers: dict[str, str] = {}
        while (raw := self.rfile.readline().strip()) != b"":
            name, _, value = raw.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        path = line.split()[1].decode("latin-1")
        instance = self.server.instance
        fault = self.server.fault
        if path == "/healthz":
            fault = Fault.NONE
        elif headers.get("expect-instance", instance) != instance:
            fault = Fault.OTHER_INSTANCE
        body_bytes = 0
        if fault is not Fault.EARLY:
            body_bytes = self._read_body(headers)
        request_id = headers.get("request-id", "")
        self.server.arrived += 1
        self.server.arrived_s.append(time.monotonic())
        if fault not in NOT_RUN_FAULTS:
            self.server.runs[request_id] += 1
            self.server.body_bytes[request_id] = body_bytes
            self.server.requests.append((path, headers))
            self.server.started.set()
            self.server.gate.wait(MAX_HOLD_S)
        stays_open = self._answer(fault, request_id)
        if fault is Fault.EARLY:
            self._read_body(headers)
        return stays_open

    def _read_body(self, headers: dict[str, str]) -> int:
        """Read a body and return its length.

        :raises ConnectionError: the connection ended before the body did.
        """
        if headers.get("transfer-encoding") != "chunked":
            size = int(headers.get("content-length", "0"))
            return self._skip(size)
        total = 0
        while size := int(self.rfile.readline(), 16):
            total += self._skip(size)
            self.rfile.readline()
        self.rfile.readline()
        return total

    def _skip(self, size: int) -> int:
        left = size
        while left:
            part = self.rfile.read1(min(left, READ_BYTES))
            if not part:
                raise ConnectionError("the body is incomplete")
            left -= len(part)
        return size

    def _answer(self, fault: Fault, request_id: str) -> bool:
        body = self.server.body(request_id)
        length = {"Content-Length": str(len(body))}
        match fault:
            case Fault.HANG:
                self.server.released.wait(MAX_HOLD_S)
                return False
            case Fault.RESET:
                return False
            case Fault.GARBAGE:
                self.wfile.write(b"\x00\x01 no answer\r\n\r\n")
                return False
            case Fault.ZERO_STATUS | Fault.HIGH_STATUS:
                code = "000" if fault is Fault.ZERO_STATUS else "600"
                self._send(code, request_id, length, body)
            case Fault.ERROR:
                self._send(500, request_id, {"Content-Length": "0"}, b"")
            case Fault.REFUSES | Fault.OTHER_INSTANCE:
                status = 503 if fault is Fault.REFUSES else 421
                extra_headers = {"Not-Executed": "1", "Content-Length": "0"}
                self._send(status, request_id, extra_headers, b"")
            case Fault.CHUNKED:
                half = len(body) // 2
                parts = b"".join(
                    b"%x\r\n%b\r\n" % (len(part), part)
                    for part in (body[:half], body[half:])
                )
                extra_headers = {"Transfer-Encoding": "chunked"}
                self._send(
                    200, request_id, extra_headers, parts + b"0\r\n\r\n"
                )
            case Fault.NO_LENGTH:
                self._send(200, request_id, {"Connection": "close"}, body)
                return False
            case Fault.CUT:
                self._send(200, request_id, length, body[: len(body) // 2])
                return False
            case Fault.CLOSES:
                extra_headers = {**length, "Connection": "close"}
                self._send(200, request_id, extra_headers, body)
                return False
            case Fault.LATE:
                self.wfile.write(EXTRA)
                self._send(200, request_id, length, body)
            case _:
                self._send(200, request_id, length, body)
        if fault is Fault.EXTRA:
            self.wfile.write(EXTRA)
        return fault is not Fault.GONE

    def _send(
        self,
        status: int | str,
        request_id: str,
        headers: t.Mapping[str, str],
        body: bytes,
    ) -> None:
        lines = [f"HTTP/1.1 {status} x", f"Request-Id: {request_id}"]
        if status == 200:
            stamp = self.server.stamp or self.server.instance
            lines.append(f"Response-Stamp: {stamp}")
        headers = {**self.server.headers, **headers}
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([*lines, "", ""]).encode()
        self.wfile.write(head + body)
