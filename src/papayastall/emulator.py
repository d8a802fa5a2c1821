"""Emulated upstream with faults that are set over HTTP.

Usage:
  emulator --address=ADDR --service=NAME --announce=ADDRS [options]

Options:
  --address=ADDR      Address to listen on, ip:port.
  --service=NAME      Name of the service.
  --announce=ADDRS    Control addresses of nodes, comma-separated; the first
                      that answers owns this upstream.
  --slots=N           Announced number of concurrent requests [default: 7].
  --connections=N     Announced number of connections [default: 360].
  --service-ms=N      Time per request, in ms [default: 5].
  --lease-ms=N        Lease of an announcement, in ms [default: 3000].
  --cold-ms=N         Time after the start for which the announced state is
                      cold, in ms [default: 0].
  --token-file=FILE   File with the token of upstreams, sent in announcements.
  --authority=FILE    Announce over HTTPS, trusting this certificate authority.
  --record=FILE       File to append a JSON line to for each request run.

POST /emulator/behaviour with {"mode": "answer" | "stall" | "slow" | "fail" |
"shed" | "break" | "die", "share": 0..1, "path": "..."} sets the mode for that
share of the requests whose path starts with "path". With "period_ms" the mode
is on and off in turn, for that time each. "load" is announced instead of the
true load; "mute": true stops the announcements. With "limit_per_s" all answers
name this limit; with "says_leaving": true they say that it is leaving.
GET /emulator/runs returns the requests run so far.
"""

from __future__ import annotations

import dataclasses
import enum
import os
import pathlib
import random
import signal
import ssl
import sys
import time
import typing as t

import anyio
import anyio.abc
import docopt
import httpcore
import orjson

from papayastall import _checking
from papayastall import _http_server
from papayastall import clock
from papayastall import exceptions
from papayastall import http_names

__all__ = [
    "Behaviour",
    "Emulator",
    "EmulatorSettings",
    "Mode",
    "main",
    "parse_behaviour",
]

CLOSE_TIMEOUT_S = 10.0
ANNOUNCE_TIMEOUT_S = 1.0
SLOW_FACTOR = 20.0
HEADER_NAMES = http_names.HeaderNames()


class Mode(enum.Enum):
    """How a request is treated.

    ``STALL`` gives no answer for an hour, ``SLOW`` takes ``SLOW_FACTOR``
    times as long, ``FAIL`` answers with status 500, ``SHED`` answers with
    status 503 without running it, ``BREAK`` closes the connection before
    the end of the answer, and ``DIE`` kills this process.
    """

    ANSWER = "answer"
    STALL = "stall"
    SLOW = "slow"
    FAIL = "fail"
    SHED = "shed"
    BREAK = "break"
    DIE = "die"


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How requests are treated, as set by ``POST /emulator/behaviour``.

    :param share: share of the requests to treat so, 0 to 1.
    :param path: treat only requests whose path starts with this.
    :param period_ms: time for which the behaviour is in effect, then not,
        in turn; ``None`` for always.
    :param load: announced instead of the true load.
    :param mute: send no announcements.
    :param limit_per_s: limit that answers name, requests a second.
    :param says_leaving: whether answers say that it is leaving.
    """

    mode: Mode = Mode.ANSWER
    share: float = 1.0
    path: str = "/"
    period_ms: _checking.Milliseconds | None = None
    load: float | None = None
    mute: bool = False
    limit_per_s: float | None = None
    says_leaving: bool = False

    def make_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers by which answers state a limit or leaving."""
        headers: list[tuple[bytes, bytes]] = []
        if self.limit_per_s is not None:
            value = f"{self.limit_per_s:f}".encode()
            headers.append((HEADER_NAMES.limit, value))
        if self.says_leaving:
            headers.append((HEADER_NAMES.leaving, b"1"))
        return headers

    def is_on(self, elapsed_s: float) -> bool:
        """Return whether it is in effect this long after it was set."""
        if self.period_ms is None:
            return True
        return int(elapsed_s * 1000 / self.period_ms) % 2 == 0


def parse_behaviour(body: bytes) -> Behaviour:
    """Parse the JSON of a behaviour.

    :raises papayastall.exceptions.BadInputError: lists all problems.
    """
    try:
        raw = orjson.loads(body)
    except orjson.JSONDecodeError:
        raw = None
    if not isinstance(raw, dict):
        raw = {"body": None}
    converter = _checking.make_converter(pathlib.Path())
    behaviour, problems = _checking.structure(converter, raw, Behaviour)
    _checking.raise_problems(
        exceptions.ErrorCode.BAD_REQUEST, "the behaviour", problems
    )
    assert behaviour is not None
    return behaviour


@dataclasses.dataclass(slots=True)
class EmulatorSettings:
    """Options of the command line."""

    address: str
    service: str
    announce: list[str]
    slots: int = 7
    connections: int = 360
    service_ms: float = 5.0
    lease_ms: int = 3000
    cold_ms: int = 0
    token: str = ""
    authority: str = ""
    record: str = ""


class Emulator:
    """An emulated upstream: an ASGI application that announces itself."""

    def __init__(self, settings: EmulatorSettings) -> None:
        self.settings = settings
        self.behaviour = Behaviour()
        self._behaviour_set_s = clock.now_s()
        self.runs: list[dict[str, t.Any]] = []
        self.leaving = False
        self._started_s = clock.now_s()
        self._rng = random.Random(settings.address)
        self._in_flight = 0
        self._server = _http_server.HttpServer(
            self, settings.address, CLOSE_TIMEOUT_S
        )
        self._announce_index = 0
        self._tls_context = _make_tls_context(settings.authority)
        self._drained = anyio.Event()

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the server and the announcements."""
        await self._server.start(tasks)
        tasks.start_soon(self._announce)

    async def close(self) -> None:
        """Announce that it is leaving, wait until it is drained, then stop."""
        self.leaving = True
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            await self._drained.wait()
        await self._server.close()

    async def __call__(
        self, scope: dict[str, t.Any], receive: t.Any, send: t.Any
    ) -> None:
        """Answer one request (the ASGI entry point)."""
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        path = scope["path"]
        if path == "/emulator/behaviour":
            await self._set_behaviour(body, send)
        elif path == "/emulator/runs":
            await _reply(send, 200, orjson.dumps(self.runs))
        else:
            await self._run(scope, body, send)

    async def _set_behaviour(self, body: bytes, send: t.Any) -> None:
        try:
            self.behaviour = parse_behaviour(body)
        except exceptions.BadInputError as error:
            await _reply(send, 400, error.message.encode())
            return
        self._behaviour_set_s = clock.now_s()
        await _reply(send, 200, b"{}")

    async def _run(
        self, scope: dict[str, t.Any], body: bytes, send: t.Any
    ) -> None:
        mode = self._choose_mode(scope["path"])
        if mode is Mode.SHED:
            not_run = (HEADER_NAMES.not_run, HEADER_NAMES.not_run_value)
            headers = [not_run, *self.behaviour.make_headers()]
            await _reply(send, 503, b"busy", headers)
            return
        self._record(scope, body)
        self._in_flight += 1
        try:
            await self._simulate_work(mode)
            answer = orjson.dumps(
                {
                    "upstream": self.settings.address,
                    "method": scope["method"],
                    "path": scope["path"],
                    "body": body.decode("latin-1"),
                    "run": len(self.runs),
                }
            )
            status = 500 if mode is Mode.FAIL else 200
            if mode is Mode.BREAK:
                await _reply_truncated(send, answer)
            else:
                headers = self.behaviour.make_headers()
                await _reply(send, status, answer, headers)
        finally:
            self._in_flight -= 1

    def _choose_mode(self, path: str) -> Mode:
        behaviour = self.behaviour
        elapsed_s = clock.now_s() - self._behaviour_set_s
        if not behaviour.is_on(elapsed_s):
            return Mode.ANSWER
        if not path.startswith(behaviour.path):
            return Mode.ANSWER
        if self._rng.random() >= behaviour.share:
            return Mode.ANSWER
        return behaviour.mode

    async def _simulate_work(self, mode: Mode) -> None:
        if mode is Mode.STALL:
            await anyio.sleep(3600)
        if mode is Mode.DIE:
            os.kill(os.getpid(), signal.SIGKILL)
        factor = SLOW_FACTOR if mode is Mode.SLOW else 1.0
        await anyio.sleep(self.settings.service_ms * factor / 1000)

    def _record(self, scope: dict[str, t.Any], body: bytes) -> None:
        headers = dict(scope["headers"])
        run = {
            "method": scope["method"],
            "path": scope["path"],
            "body": body.decode("latin-1"),
            "at_s": time.time(),
            "caller_id": headers.get(b"x-request-id", b"").decode("latin-1"),
        }
        self.runs.append(run)
        if self.settings.record:
            with open(self.settings.record, "ab", buffering=0) as file:
                file.write(orjson.dumps(run) + b"\n")

    async def _announce(self) -> None:
        while True:
            wait_s = self.settings.lease_ms / 3000
            try:
                if not self.behaviour.mute:
                    wait_s = min(wait_s, await self._announce_once())
            except (httpcore.NetworkError, httpcore.TimeoutException):
                self._select_next_node()
                wait_s = 0.1
            except httpcore.ProtocolError:
                self._select_next_node()
            await anyio.sleep(wait_s)

    async def _announce_once(self) -> float:
        settings = self.settings
        body = orjson.dumps(
            {
                "service": settings.service,
                "address": settings.address,
                "slots": settings.slots,
                "connections": settings.connections,
                "lease_ms": settings.lease_ms,
                "state": self._state(),
                "load": self._report_load(),
            }
        )
        headers = [("content-type", "application/json")]
        if settings.token:
            headers.append(("authorization", f"Bearer {settings.token}"))
        node = settings.announce[self._announce_index]
        scheme = "http" if self._tls_context is None else "https"
        async with httpcore.AsyncConnectionPool(self._tls_context) as pool:
            response = await pool.request(
                "POST",
                f"{scheme}://{node}/v1/announce",
                headers=headers,
                content=body,
                extensions={"timeout": {"connect": ANNOUNCE_TIMEOUT_S}},
            )
        if response.status != 200:
            self._select_next_node()
            return 1.0
        answer = orjson.loads(response.content)
        if answer["drained"]:
            self._drained.set()
        if answer["move"] and not self.leaving:
            self._select_next_node()
            return 0.1
        return 0.2 if self.leaving else answer["renew_ms"] / 1000

    def _report_load(self) -> float:
        if self.behaviour.load is not None:
            return self.behaviour.load
        return min(1.0, self._in_flight / self.settings.slots)

    def _select_next_node(self) -> None:
        count = len(self.settings.announce)
        self._announce_index = (self._announce_index + 1) % count

    def _state(self) -> str:
        if self.leaving:
            return "leaving"
        age_ms = (clock.now_s() - self._started_s) * 1000
        return "cold" if age_ms < self.settings.cold_ms else "ready"


def _make_tls_context(authority: str) -> ssl.SSLContext | None:
    if not authority:
        return None
    context = ssl.create_default_context(cafile=authority)
    context.check_hostname = False
    return context


async def _read_body(receive: t.Any) -> bytes:
    body = bytearray()
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return bytes(body)


async def _reply(
    send: t.Any,
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    length = (b"content-length", str(len(body)).encode())
    start = {"type": "http.response.start", "status": status}
    await send({**start, "headers": [length, *(headers or [])]})
    await send({"type": "http.response.body", "body": body})


async def _reply_truncated(send: t.Any, body: bytes) -> None:
    length = (b"content-length", str(len(body) + 1).encode())
    start = {"type": "http.response.start", "status": 200}
    await send({**start, "headers": [length]})
    part = {"type": "http.response.body", "body": body}
    await send({**part, "more_body": True})
    raise ConnectionAbortedError


async def _main(settings: EmulatorSettings) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:
            emulator = Emulator(settings)
            await emulator.start(tasks)
            async for _ in signals:
                break
            await emulator.close()
            tasks.cancel_scope.cancel()


def main(argv: list[str] | None = None) -> None:
    """Run an emulated upstream until SIGTERM or SIGINT.

    :param argv: arguments without the program's name.
    """
    assert __doc__ is not None
    options = docopt.docopt(__doc__, argv)
    token = ""
    if options["--token-file"]:
        with open(options["--token-file"], encoding="utf-8") as file:
            token = file.read().strip()
    settings = EmulatorSettings(
        address=options["--address"],
        service=options["--service"],
        announce=options["--announce"].split(","),
        slots=int(options["--slots"]),
        connections=int(options["--connections"]),
        service_ms=float(options["--service-ms"]),
        lease_ms=int(options["--lease-ms"]),
        cold_ms=int(options["--cold-ms"]),
        token=token,
        authority=options["--authority"] or "",
        record=options["--record"] or "",
    )
    anyio.run(_main, settings)


if __name__ == "__main__":
    main(sys.argv[1:])
