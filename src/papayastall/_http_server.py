"""One HTTP/1.1 listener of a node, on asyncio and httptools.

It runs ASGI applications. What it adds to the protocol's rules: limits on
what a caller may send, and a planned stop that answers every request that
has reached this process.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc as cabc
import http
import select
import ssl
import typing as t

import anyio
import anyio.abc
import httptools

from papayastall import _listener
from papayastall import clock

__all__ = [
    "Application",
    "HttpLimits",
    "HttpServer",
    "Receive",
    "Scope",
    "Send",
    "send_answer",
]

BACKLOG = 1024
MAX_PIPELINED = 16
"""Requests of one connection that wait behind the one being answered."""
PAUSE_READING_BYTES = 256 << 10
"""Body bytes that are kept for an application that does not read them."""
SWEEP_INTERVAL_S = 1.0
CLOSE_POLL_S = 0.02
FIRST_REQUEST_S = 1.0
"""Time that a new connection has for its first request while the server
closes; a caller that is slow between connecting and sending needs it."""

Scope = dict[str, t.Any]
Message = dict[str, t.Any]
Receive = cabc.Callable[[], cabc.Awaitable[Message]]
Send = cabc.Callable[[Message], cabc.Awaitable[None]]
Application = cabc.Callable[[Scope, Receive, Send], cabc.Awaitable[None]]


async def send_answer(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Send a whole answer with its length."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})


class HttpLimits:
    """What callers may send; may be changed while the server runs.

    :ivar max_header_bytes: of the request line and all headers.
    :ivar header_timeout_ms: from the first byte of a request to the end of
        its headers.
    :ivar idle_timeout_ms: of a connection between two requests.
    """

    __slots__ = ("header_timeout_ms", "idle_timeout_ms", "max_header_bytes")

    def __init__(self) -> None:
        self.max_header_bytes = 64 << 10
        self.header_timeout_ms = 10_000
        self.idle_timeout_ms = 75_000


class _Request:
    """One request of a connection and what is known of its answer."""

    __slots__ = (
        "body",
        "body_bytes",
        "chunked",
        "closes",
        "complete",
        "disconnected",
        "expects_continue",
        "head",
        "headers",
        "method",
        "news",
        "started",
        "target",
    )

    def __init__(self) -> None:
        self.method = ""
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: collections.deque[bytes] = collections.deque()
        self.body_bytes = 0
        self.complete = False
        self.expects_continue = False
        self.closes = False
        self.disconnected = False
        self.started = False
        self.head = b""
        self.chunked = False
        self.news = asyncio.Event()

    def scope(self) -> Scope:
        path, _, query = self.target.partition(b"?")
        return {
            "type": "http",
            "method": self.method,
            "path": path.decode("latin-1"),
            "raw_path": path,
            "query_string": query,
            "headers": self.headers,
        }


class _Connection(asyncio.Protocol):
    """Reads requests in order and writes their answers."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._request: _Request | None = None
        self._waiting: collections.deque[_Request] = collections.deque()
        self._answering: _Request | None = None
        self._task: asyncio.Task[None] | None = None
        self._header_bytes = 0
        self._head_since_s: float | None = None
        self._used_s = clock.now_s()
        self._writable = asyncio.Event()
        self._writable.set()
        self._is_lost = False
        self._closes = False
        self._is_new = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_lost = True
        self._server.connections.discard(self)
        self._writable.set()
        for request in (self._answering, self._request, *self._waiting):
            if request is not None:
                request.disconnected = True
                request.news.set()
        self._waiting.clear()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        self._used_s = clock.now_s()
        self._is_new = False
        if self._closes and self._answering is None:
            return
        if self._request is None or self._head_since_s is not None:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(400)
        else:
            too_large = (
                self._head_since_s is not None
                and self._header_bytes > self._server.limits.max_header_bytes
            )
            if too_large:
                self._reject(431)

    def on_message_begin(self) -> None:
        self._request = _Request()
        self._head_since_s = clock.now_s()

    def on_url(self, url: bytes) -> None:
        assert self._request is not None
        self._request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self._request is not None
        name = name.lower()
        if name == b"expect" and value.lower() == b"100-continue":
            self._request.expects_continue = True
        self._request.headers.append((name, value))

    def on_headers_complete(self) -> None:
        request = self._request
        assert request is not None
        self._head_since_s = None
        self._header_bytes = 0
        request.method = self._parser.get_method().decode("latin-1")
        request.closes = not self._parser.should_keep_alive()
        if request.target.startswith((b"http://", b"https://")):
            request.target = httptools.parse_url(request.target).path or b"/"
        self._waiting.append(request)
        if len(self._waiting) > MAX_PIPELINED and self._transport:
            self._transport.pause_reading()
        self._answer_next()

    def on_body(self, data: bytes) -> None:
        request = self._request
        assert request is not None
        request.body.append(data)
        request.body_bytes += len(data)
        if request.body_bytes > PAUSE_READING_BYTES and self._transport:
            self._transport.pause_reading()
        request.news.set()

    def on_message_complete(self) -> None:
        assert self._request is not None
        self._request.complete = True
        self._request.news.set()
        self._request = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return (
            self._answering is None
            and not self._waiting
            and self._head_since_s is None
        )

    def has_unread_bytes(self) -> bool:
        """Whether bytes of the caller wait in the kernel."""
        if self._transport is None or self._transport.is_closing():
            return False
        descriptor = self._transport.get_extra_info("socket").fileno()
        if descriptor < 0:
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    def may_close(self, now_s: float) -> bool:
        """Whether a closing server has nothing to answer here."""
        awaits_first = self._is_new and now_s - self._used_s < FIRST_REQUEST_S
        return (
            self.is_idle and not awaits_first and not self.has_unread_bytes()
        )

    def sweep(self, now_s: float) -> None:
        """End a connection that is idle, or slow with its headers."""
        limits = self._server.limits
        if self._head_since_s is not None and self._answering is None:
            if now_s - self._head_since_s > limits.header_timeout_ms / 1000:
                self._reject(408)
        elif self.is_idle:
            if now_s - self._used_s > limits.idle_timeout_ms / 1000:
                self.close()

    def close(self) -> None:
        """Close the connection once its output is written."""
        self._closes = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection; a broken answer must not look whole."""
        self._closes = True
        if self._transport is not None:
            self._transport.abort()

    def _reject(self, status: int) -> None:
        """Answer what is no request; the connection ends with it."""
        self._closes = True
        if self._answering is not None or self._transport is None:
            # An answer is on its way; the rest can't be read any more.
            return
        phrase = http.HTTPStatus(status).phrase.encode()
        self._transport.write(
            b"HTTP/1.1 %d %s\r\nconnection: close\r\n"
            b"content-length: 0\r\n\r\n" % (status, phrase)
        )
        self.close()

    def _answer_next(self) -> None:
        if self._answering is not None or not self._waiting or self._is_lost:
            return
        self._answering = self._waiting.popleft()
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._run(self._answering))
        self._server.tasks.add(self._task)
        self._task.add_done_callback(self._server.tasks.discard)

    async def _run(self, request: _Request) -> None:
        try:
            await self._server.application(
                request.scope(),
                lambda: self._receive(request),
                lambda message: self._send(request, message),
            )
        except Exception as error:
            self._server.note_failure(error)
            if not request.started and not self._is_lost:
                self._answering = None
                self._reject(500)
            else:
                self.abort()
            return
        self._finish(request)

    def _finish(self, request: _Request) -> None:
        self._answering = None
        self._used_s = clock.now_s()
        if self._is_lost:
            return
        if self._closes or not request.complete:
            # Bytes of a body that nobody reads can't be told from the
            # next request.
            self.close()
            return
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        self._answer_next()

    async def _receive(self, request: _Request) -> Message:
        if request.expects_continue and not request.started:
            request.expects_continue = False
            if not request.complete and self._transport is not None:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        while True:
            if request.body:
                data = b"".join(request.body)
                request.body.clear()
                request.body_bytes = 0
                if self._transport is not None and not self._is_lost:
                    self._transport.resume_reading()
                return {
                    "type": "http.request",
                    "body": data,
                    "more_body": not request.complete,
                }
            if request.complete and not request.disconnected:
                if request.news.is_set():
                    request.news.clear()
                    return {
                        "type": "http.request",
                        "body": b"",
                        "more_body": False,
                    }
            if request.disconnected:
                return {"type": "http.disconnect"}
            request.news.clear()
            await request.news.wait()

    async def _send(self, request: _Request, message: Message) -> None:
        if self._is_lost or self._transport is None:
            return
        if message["type"] == "http.response.start":
            self._write_head(request, message)
            return
        data = message.get("body", b"")
        if request.method == "HEAD":
            data = b""
        elif request.chunked:
            if data:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            if not message.get("more_body", False):
                data += b"0\r\n\r\n"
        # The head leaves with the first part of the body, in one packet.
        data = request.head + data
        request.head = b""
        if data:
            self._transport.write(data)
        if not self._writable.is_set():
            await self._writable.wait()

    def _write_head(self, request: _Request, message: Message) -> None:
        request.started = True
        status = message["status"]
        try:
            phrase = http.HTTPStatus(status).phrase.encode()
        except ValueError:
            phrase = b"Unknown"
        lines = [b"HTTP/1.1 %d %b" % (status, phrase)]
        has_length = False
        for name, value in message["headers"]:
            if name.lower() == b"content-length":
                has_length = True
            if name.lower() == b"connection":
                self._closes = self._closes or value.lower() == b"close"
                continue
            lines.append(name + b": " + value)
        bodiless = status in (204, 304)
        request.chunked = not has_length and not bodiless
        if request.chunked:
            lines.append(b"transfer-encoding: chunked")
        self._closes = self._closes or request.closes or not request.complete
        if self._closes:
            lines.append(b"connection: close")
        lines.append(b"\r\n")
        request.head = b"\r\n".join(lines)


class HttpServer:
    """Serves an ASGI application at an address.

    :param address: ``ip:port`` to listen on.
    :param close_timeout_s: for how long :meth:`close` waits for requests.
    :param tls: context of the listener, ``None`` for plain HTTP.
    :param note_failure: told of an application's uncaught error.
    """

    def __init__(
        self,
        application: Application,
        address: str,
        close_timeout_s: float,
        tls: ssl.SSLContext | None = None,
        note_failure: cabc.Callable[[Exception], None] = lambda error: None,
    ) -> None:
        self.application = application
        self.limits = HttpLimits()
        self.connections: set[_Connection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.note_failure = note_failure
        self._address = address
        self._close_timeout_s = close_timeout_s
        self._tls = tls
        self._server: asyncio.Server | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Listen; returns once connections are accepted.

        :raises OSError: the address can't be bound.
        """
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self),
            host.strip("[]"),
            int(port),
            ssl=self._tls,
            backlog=BACKLOG,
            reuse_address=True,
        )
        tasks.start_soon(self._sweep)

    async def close(self) -> None:
        """Accept nothing more and answer what has reached this process.

        Where it is cancelled on its way, a further call goes on with it.
        """
        with anyio.move_on_after(self._close_timeout_s):
            if self._server is not None:
                await _listener.close_listener(self._server, self.note_failure)
            while self.connections:
                now_s = clock.now_s()
                for connection in list(self.connections):
                    if connection.may_close(now_s):
                        connection.close()
                await anyio.sleep(CLOSE_POLL_S)
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.abort()
        for task in list(self.tasks):
            task.cancel()

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            now_s = clock.now_s()
            for connection in list(self.connections):
                connection.sweep(now_s)
