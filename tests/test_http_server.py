"""Tests of the HTTP server: limits, framing and graceful shutdown."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import re
import socket
import typing as t

import anyio
import anyio.to_thread
import pytest

from papayastall import _http_server
from papayastall import clock
from tests import fleet

pytestmark = pytest.mark.anyio

REQUEST = b"GET /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n"
CLOSE_TIMEOUT_S = 5.0


async def echo(
    scope: _http_server.Scope,
    receive: _http_server.Receive,
    send: _http_server.Send,
) -> None:
    """Answer with the target and the body of the request."""
    body = scope["raw_path"]
    more = True
    while more:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    headers = [(b"content-length", str(len(body)).encode())]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


@contextlib.asynccontextmanager
async def run_server(
    application: _http_server.Application = echo,
) -> cabc.AsyncIterator[tuple[_http_server.HttpServer, str]]:
    address = fleet.free_address()
    server = _http_server.HttpServer(application, address, CLOSE_TIMEOUT_S)
    async with anyio.create_task_group() as tasks:
        await server.start(tasks)
        yield server, address
        await server.close()
        tasks.cancel_scope.cancel()


def connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    caller = socket.create_connection((host, int(port)), timeout=5.0)
    return caller


async def read_answer(caller: socket.socket) -> bytes:
    """Read one answer by its length, or up to the end of the stream."""

    def read() -> bytes:
        data = b""
        while True:
            head, end, body = data.partition(b"\r\n\r\n")
            length = re.search(rb"content-length: (\d+)", head)
            if end and length and len(body) >= int(length[1]):
                return data
            part = caller.recv(65536)
            if not part:
                return data
            data += part

    return await anyio.to_thread.run_sync(read)


async def test_a_request_sent_just_before_a_shutdown_is_answered() -> None:
    """Its bytes are in the kernel, unread, when the server closes."""
    async with run_server() as (server, address):
        caller = connect(address)
        caller.sendall(REQUEST)
        assert (await read_answer(caller)).startswith(b"HTTP/1.1 200")
        # No await in between, so that the loop can't read the request.
        caller.sendall(REQUEST)
        await server.close()
        assert (await read_answer(caller)).startswith(b"HTTP/1.1 200")
        caller.close()


async def test_a_connection_that_is_not_accepted_yet_is_answered() -> None:
    """It is in the listener's backlog when the server closes."""
    async with run_server() as (server, address):
        caller = connect(address)
        caller.sendall(REQUEST)
        # No await in between, so that the loop can't accept it.
        await server.close()
        assert (await read_answer(caller)).startswith(b"HTTP/1.1 200")
        caller.close()


@pytest.mark.parametrize("turns", [1, 2, 3])
async def test_a_connection_that_was_just_accepted_is_answered(
    turns: int,
) -> None:
    """``connection_made`` runs some turns of the loop after the accept."""
    async with run_server() as (server, address):
        caller = connect(address)
        caller.sendall(REQUEST)
        for _ in range(turns):
            await anyio.sleep(0)
        await server.close()
        assert (await read_answer(caller)).startswith(b"HTTP/1.1 200")
        caller.close()


async def test_a_new_connection_may_send_during_a_shutdown() -> None:
    """The request arrives after the server has begun to close."""
    async with run_server() as (server, address):
        caller = connect(address)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.close)
            # The server checks its connections several times.
            await anyio.sleep(10 * _http_server.CLOSE_POLL_INTERVAL_S)
            caller.sendall(REQUEST)
            answer = await read_answer(caller)
        assert answer.startswith(b"HTTP/1.1 200")
        caller.close()


async def test_a_shutdown_resets_no_connection() -> None:
    """Each caller is answered, or fails to connect."""
    ends: list[str] = []

    def call_repeatedly(address: str) -> None:
        while True:
            try:
                caller = connect(address)
            except OSError:
                return
            with caller:
                caller.sendall(REQUEST)
                try:
                    data = caller.recv(65536)
                except ConnectionResetError:
                    data = b"reset"
            ends.append(data.decode("latin-1")[:12])

    async with anyio.create_task_group() as tasks:
        async with run_server() as (server, address):
            for _ in range(4):
                tasks.start_soon(
                    anyio.to_thread.run_sync, call_repeatedly, address
                )
            while len(ends) < 20:
                await anyio.sleep(0.01)
            await server.close()
    assert set(ends) == {"HTTP/1.1 200"}


async def test_a_shutdown_answers_requests_in_flight() -> None:
    started, go_on = anyio.Event(), anyio.Event()

    async def wait(
        scope: _http_server.Scope,
        receive: _http_server.Receive,
        send: _http_server.Send,
    ) -> None:
        started.set()
        await go_on.wait()
        await echo(scope, receive, send)

    async with run_server(wait) as (server, address):
        caller = connect(address)
        caller.sendall(REQUEST)
        await started.wait()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.close)
            await anyio.sleep(0)
            go_on.set()
            answer = await read_answer(caller)
        assert answer.startswith(b"HTTP/1.1 200")
        caller.close()


async def test_requests_of_one_connection_are_answered_in_order() -> None:
    async with run_server() as (_, address):
        caller = connect(address)
        caller.sendall(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
        data = b""
        while data.count(b"/") < 4:
            data += await read_answer(caller)
        assert data.index(b"/1") < data.index(b"/2")
        caller.close()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"no request\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nX: " + b"y" * 99_999, b"431"),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
            b"Content-Length: 3\r\n\r\n",
            b"400",
        ),
    ],
)
async def test_an_invalid_request_ends_the_connection(
    data: bytes, status: bytes
) -> None:
    async with run_server() as (_, address):
        caller = connect(address)
        caller.sendall(data)
        answer = await read_answer(caller)
        assert answer.startswith(b"HTTP/1.1 " + status)
        assert b"connection: close" in answer
        caller.close()


@pytest.mark.parametrize(
    "body",
    [
        b"Content-Length: 5\r\n\r\nhello",
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    ],
)
async def test_bodies_by_length_and_in_chunks_are_read(body: bytes) -> None:
    async with run_server() as (_, address):
        caller = connect(address)
        caller.sendall(b"POST /p HTTP/1.1\r\n" + body)
        assert (await read_answer(caller)).endswith(b"/phello")
        caller.close()


async def test_a_caller_that_leaves_is_noticed() -> None:
    seen: list[str] = []
    gone = anyio.Event()

    async def watch(
        scope: _http_server.Scope,
        receive: _http_server.Receive,
        send: _http_server.Send,
    ) -> None:
        while True:
            message: dict[str, t.Any] = await receive()
            seen.append(message["type"])
            if message["type"] == "http.disconnect":
                gone.set()
                return

    async with run_server(watch) as (_, address):
        caller = connect(address)
        caller.sendall(REQUEST)
        caller.close()
        with anyio.fail_after(CLOSE_TIMEOUT_S):
            await gone.wait()
    assert seen[-1] == "http.disconnect"


async def open_partly(
    server: _http_server.HttpServer, address: str, data: bytes
) -> tuple[socket.socket, t.Any]:
    """Send part of a request; return both ends once it has been read."""
    caller = connect(address)
    caller.sendall(data)
    while not server.connections:
        await anyio.sleep(0.01)
    [connection] = server.connections
    while data and connection.is_idle:
        await anyio.sleep(0.01)
    return caller, connection


@pytest.mark.parametrize(
    ("limit_share", "status"), [(0.5, b"200"), (1.5, b"408")]
)
async def test_a_caller_that_is_slow_with_its_headers(
    limit_share: float, status: bytes
) -> None:
    """It has the whole time of the limit, and gets status 408 after it."""
    async with run_server() as (server, address):
        caller, connection = await open_partly(server, address, REQUEST[:20])
        limit_s = server.limits.header_timeout_ms / 1000
        connection.sweep(clock.now_s() + limit_share * limit_s)
        if status == b"200":
            caller.sendall(REQUEST[20:])
        answer = await read_answer(caller)
        caller.close()
    assert answer.startswith(b"HTTP/1.1 " + status)


async def test_an_idle_connection_is_closed() -> None:
    """Nothing is sent, as no request waits for an answer."""
    async with run_server() as (server, address):
        caller, connection = await open_partly(server, address, b"")
        idle_s = server.limits.idle_timeout_ms / 1000
        connection.sweep(clock.now_s() + idle_s / 2)
        assert server.connections
        connection.sweep(clock.now_s() + 2 * idle_s)
        assert await anyio.to_thread.run_sync(caller.recv, 100) == b""
        caller.close()
