"""Pipelined requests of one connection, without a network."""

from __future__ import annotations

import asyncio

import anyio
import pytest

from papayastall import _http_server
from papayastall import _listener
from papayastall import clock
from papayastall import exceptions
from papayastall import memory
from tests import fake_transport

pytestmark = pytest.mark.anyio

CROWD = 300


class Application:
    """Answers each request once the test lets it; ``/l`` are lookups.

    :ivar begun: paths of the requests that began to run.
    :ivar cancelled: paths of those whose caller went away.
    """

    def __init__(self) -> None:
        self.begun: list[str] = []
        self.cancelled: list[str] = []
        self.closing = ""
        self._gates: dict[str, asyncio.Event] = {}

    def gate(self, path: str) -> asyncio.Event:
        """Return the event that lets a request end."""
        return self._gates.setdefault(path, asyncio.Event())

    async def __call__(
        self,
        scope: _http_server.Scope,
        receive: _http_server.Receive,
        send: _http_server.Send,
    ) -> None:
        path = scope["path"]
        pipeline: _http_server.Pipeline = scope["pipeline"]
        if path.startswith("/l"):
            pipeline.allow_next()
        else:
            try:
                await pipeline.wait_for_turn()
            except exceptions.RefusedError:
                self.cancelled.append(path)
                return
        self.begun.append(path)
        while (await receive())["more_body"]:
            pass
        gone = asyncio.ensure_future(receive())
        open_gate = asyncio.ensure_future(self.gate(path).wait())
        await asyncio.wait(
            [gone, open_gate], return_when=asyncio.FIRST_COMPLETED
        )
        open_gate.cancel()
        if gone.done():
            self.cancelled.append(path)
            return
        gone.cancel()
        headers = [(b"x-path", path.encode())]
        if path == self.closing:
            headers.append((b"connection", b"close"))
        await _http_server.send_answer(send, 200, headers, b"")


class Caller:
    """A connection to a server with the application above.

    :param beside: another connection, to share its server.
    :param account: of a new server.
    """

    def __init__(
        self,
        beside: Caller | None = None,
        account: memory.MemoryAccount | None = None,
    ) -> None:
        self.application = Application()
        self.server = _http_server.HttpServer(
            self.application,
            "127.0.0.1:1",
            1.0,
            account=account,
            heads_class=memory.MemoryClass.HEADS,
            bodies_class=memory.MemoryClass.BODIES,
        )
        if beside is not None:
            self.application = beside.application
            self.server = beside.server
        self.transport = fake_transport.FakeTransport()
        self.connection = self.server.make_connection()
        self.connection.connection_made(self.transport)

    async def send(self, *paths: str) -> None:
        """Send requests in one packet, and let the server work."""
        data = b"".join(
            f"GET {path} HTTP/1.1\r\n\r\n".encode() for path in paths
        )
        assert isinstance(self.connection, asyncio.Protocol)
        self.connection.data_received(data)
        await self.settle()

    async def end(self, *paths: str) -> None:
        """Let requests end, and the server work."""
        for path in paths:
            self.application.gate(path).set()
        await self.settle()

    async def leave(self) -> None:
        """Lose the connection."""
        self.connection.connection_lost(None)
        await self.settle()
        assert self.server.account.used_bytes == 0

    async def settle(self) -> None:
        for _ in range(60):
            await asyncio.sleep(0)

    def answered(self) -> list[str]:
        """Return the paths of the answers that were written, in order."""
        lines = self.transport.written.decode().split("\r\n")
        return [line[8:] for line in lines if line.startswith("x-path: ")]


async def test_lookups_run_side_by_side_and_are_answered_in_order() -> None:
    caller = Caller()
    await caller.send("/l1", "/l2", "/l3")
    assert caller.application.begun == ["/l1", "/l2", "/l3"]
    await caller.end("/l3", "/l2")
    assert caller.answered() == []
    await caller.end("/l1")
    assert caller.answered() == ["/l1", "/l2", "/l3"]
    await caller.leave()


# Guards against a request that must run once and runs although the answer
# before it closes the connection, so that its caller sends it again.
async def test_others_wait_for_all_earlier_requests() -> None:
    caller = Caller()
    await caller.send("/l1", "/l2", "/o1", "/o2", "/l3")
    assert caller.application.begun == ["/l1", "/l2"]
    await caller.end("/l1")
    assert caller.application.begun == ["/l1", "/l2"]
    await caller.end("/l2")
    assert caller.application.begun == ["/l1", "/l2", "/o1"]
    await caller.end("/o1")
    assert caller.application.begun[3:] == ["/o2"]
    await caller.end("/o2", "/l3")
    assert caller.answered() == ["/l1", "/l2", "/o1", "/o2", "/l3"]
    await caller.leave()


@pytest.mark.parametrize("behind", ["/o1", "/l2"])
async def test_nothing_behind_an_answer_that_closes_is_run_or_answered(
    behind: str,
) -> None:
    caller = Caller()
    caller.application.closing = "/l1"
    await caller.send("/l1", behind, "/o2")
    await caller.end("/l1")
    await caller.end(behind, "/o2")
    assert caller.answered() == ["/l1"]
    # A lookup that ran beside it was cancelled.
    assert set(caller.application.begun) <= {"/l1", "/l2"}
    assert behind in caller.application.cancelled
    assert caller.transport.is_closing()
    await caller.leave()


# Guards against a request that runs beside a lookup whose caller asked for
# the end of the connection.
async def test_nothing_behind_a_request_that_closes_is_run() -> None:
    caller = Caller()
    assert isinstance(caller.connection, asyncio.Protocol)
    caller.connection.data_received(
        b"GET /l1 HTTP/1.1\r\nConnection: close\r\n\r\n"
        b"GET /l2 HTTP/1.1\r\n\r\n"
    )
    await caller.settle()
    await caller.send("/l3")
    assert caller.application.begun == ["/l1"]
    await caller.end("/l1", "/l2", "/l3")
    assert caller.answered() == ["/l1"]
    assert caller.transport.is_closing()
    await caller.leave()


async def test_a_caller_that_goes_away_cancels_all() -> None:
    caller = Caller()
    await caller.send("/l1", "/l2", "/o1", "/o2")
    await caller.leave()
    assert sorted(caller.application.cancelled) == ["/l1", "/l2", "/o1"]
    assert caller.application.begun == ["/l1", "/l2"]
    assert not caller.server.tasks


# Guards against the former fault: all requests of one read were parsed, and
# each answer made the server read more.
async def test_requests_over_the_limit_stay_unparsed() -> None:
    caller = Caller()
    limit = _http_server.MAX_PIPELINED_REQUESTS
    paths = [f"/l{number}" for number in range(3 * limit)]
    await caller.send(*paths)
    assert caller.application.begun == paths[:limit]
    assert caller.transport.is_reading_paused
    await caller.end(paths[0])
    assert caller.application.begun == paths[: limit + 1]
    assert caller.transport.is_reading_paused
    await caller.end(*paths)
    assert caller.answered() == paths
    assert not caller.transport.is_reading_paused
    await caller.leave()


async def test_input_that_is_no_request_is_answered_in_its_turn() -> None:
    caller = Caller()
    await caller.send("/l1")
    assert isinstance(caller.connection, asyncio.Protocol)
    caller.connection.data_received(b"no request\r\n\r\n")
    await caller.settle()
    assert caller.transport.statuses() == []
    await caller.end("/l1")
    assert caller.transport.statuses() == [200, 400]
    await caller.leave()


async def test_a_failure_is_answered_in_its_turn() -> None:
    async def fail(
        scope: _http_server.Scope,
        receive: _http_server.Receive,
        send: _http_server.Send,
    ) -> None:
        scope["pipeline"].allow_next()
        if scope["path"] == "/bad":
            raise ValueError
        await anyio.sleep(0)
        await _http_server.send_answer(send, 200, [], b"")

    caller = Caller()
    caller.server.application = fail
    await caller.send("/good", "/bad", "/good")
    assert caller.transport.statuses() == [200, 500]
    assert caller.transport.is_closing()
    await caller.leave()


async def refuse_at_once(
    scope: _http_server.Scope,
    receive: _http_server.Receive,
    send: _http_server.Send,
) -> None:
    """Answer without reading the body."""
    await _http_server.send_answer(send, 413, [], b"")


# Guards against a reset that keeps a caller from reading its answer, and
# against one that keeps its connection open by sending on.
@pytest.mark.parametrize("sends_on", [False, True])
@pytest.mark.parametrize(
    ("head", "status"),
    [(b"POST /b HTTP/1.1\r\nContent-Length: 9\r\n\r\n", 413), (b"\n", 400)],
)
async def test_a_caller_that_still_sends_is_closed_after_some_time(
    head: bytes, status: int, sends_on: bool
) -> None:
    caller = Caller()
    caller.server.application = refuse_at_once
    connection = caller.connection
    assert isinstance(connection, _http_server._Connection)
    connection.data_received(head)
    await caller.settle()
    assert caller.transport.statuses() == [status]
    assert caller.transport.is_eof_written
    since_s = clock.now_s()
    limit_s = _http_server.LINGER_SILENCE_S
    if sends_on:
        limit_s = _http_server.LINGER_TIMEOUT_S
    for elapsed_s in range(int(limit_s)):
        connection.close()
        connection.sweep(since_s + elapsed_s)
        assert not caller.transport.is_closing()
        if sends_on:
            connection.data_received(bytes(1000))
            connection.last_used_s = since_s + elapsed_s
        assert caller.server.account.used_bytes == 0
    connection.sweep(since_s + limit_s + 1.0)
    assert caller.transport.is_closing()
    await caller.leave()


# Guards against a connection and its memory that a caller keeps for ever.
async def test_a_body_of_which_nothing_arrives_is_refused() -> None:
    caller = Caller()
    connection = caller.connection
    assert isinstance(connection, _http_server._Connection)
    connection.data_received(
        b"POST /o1 HTTP/1.1\r\nContent-Length: 9\r\n\r\nsome"
    )
    await caller.settle()
    timeout_s = caller.server.limits.idle_timeout_ms / 1000
    connection.sweep(clock.now_s() + timeout_s - 1.0)
    await caller.settle()
    assert caller.transport.statuses() == []
    connection.sweep(clock.now_s() + timeout_s + 1.0)
    await caller.settle()
    assert caller.transport.statuses() == [408]
    await caller.leave()


# Guards against connections that wait to be read: what the kernel keeps for
# them counts, and they leave what an ordinary caller needs.
@pytest.mark.parametrize("body_bytes", [0, 300_000])
async def test_connections_that_are_not_read_leave_memory_for_others(
    body_bytes: int,
) -> None:
    account = memory.MemoryAccount(40 << 20, 0)
    first = Caller(account=account)
    crowd = [first, *(Caller(first) for _ in range(CROWD))]
    for caller in crowd:
        assert isinstance(caller.connection, asyncio.Protocol)
        data = b"GET /l1 HTTP/1.1\r\n\r\n" * 40
        if body_bytes:
            data = (
                b"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"%x\r\n%b" % (body_bytes, bytes(body_bytes - 1))
            )
        caller.connection.data_received(data)
    await crowd[0].settle()
    for kind in memory.MemoryClass:
        assert account.used(kind) <= account.limit(kind)
    paused = sum(caller.transport.is_reading_paused for caller in crowd)
    unread = paused * _listener.RECEIVE_BUFFER_BYTES
    assert 0 < unread <= account.used_bytes
    ordinary = Caller(first)
    await ordinary.send("/o1")
    await ordinary.end("/o1")
    assert ordinary.answered() == ["/o1"]
    assert account.free(memory.MemoryClass.BODIES) > 1 << 20
    for caller in crowd:
        caller.connection.connection_lost(None)
    await ordinary.settle()
    assert account.used_bytes == 0
