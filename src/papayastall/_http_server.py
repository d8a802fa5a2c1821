"""HTTP/1.1 server for ASGI applications, on asyncio and httptools.

Beyond the protocol it limits what a caller may send, and shuts down
gracefully: every request that has reached this process is answered.
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
MAX_PIPELINED_REQUESTS = 16
"""Waiting requests of a connection beyond which it is not read further."""
MAX_BUFFERED_BODY_BYTES = 256 << 10
"""Unread body bytes beyond which the connection is not read further."""
SWEEP_INTERVAL_S = 1.0
CLOSE_POLL_INTERVAL_S = 0.02
FIRST_REQUEST_TIMEOUT_S = 1.0
"""Time that a new connection has for its first request during a shutdown.

Some callers send only a while after they have connected.
"""

Scope = dict[str, t.Any]
Message = dict[str, t.Any]
Receive = cabc.Callable[[], cabc.Awaitable[Message]]
Send = cabc.Callable[[Message], cabc.Awaitable[None]]
Application = cabc.Callable[[Scope, Receive, Send], cabc.Awaitable[None]]


async def send_answer(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Send a complete answer with its content length."""
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
    """Limits on requests; they may be changed while the server runs.

    :ivar max_header_bytes: size of the request line and all headers.
    :ivar header_timeout_ms: time from the first byte of a request to the
        end of its headers.
    :ivar idle_timeout_ms: time between two requests after which a
        connection is closed.
    """

    __slots__ = ("header_timeout_ms", "idle_timeout_ms", "max_header_bytes")

    def __init__(self) -> None:
        self.max_header_bytes = 64 << 10
        self.header_timeout_ms = 10_000
        self.idle_timeout_ms = 75_000


class _Request:
    """A request of a connection and the state of its answer.

    :ivar body: received parts that the application has not read yet.
    :ivar body_bytes: length of these parts.
    :ivar chunked: whether the answer is sent with chunked encoding.
    :ivar closes: whether the request ends its connection.
    :ivar complete: whether the whole request was received.
    :ivar disconnected: whether the connection was lost.
    :ivar expects_continue: whether the caller waits for status 100.
    :ivar head: encoded head of the answer, until it is sent.
    :ivar changed: set when the body, ``complete`` or ``disconnected``
        changes.
    :ivar started: whether the application has begun its answer.
    """

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
        "changed",
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
        self.changed = asyncio.Event()

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
    """One connection of a caller; answers its requests in order."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._request: _Request | None = None
        self._waiting: collections.deque[_Request] = collections.deque()
        self._answering: _Request | None = None
        self._task: asyncio.Task[None] | None = None
        self._header_bytes = 0
        self._headers_since_s: float | None = None
        self._last_used_s = clock.now_s()
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
                request.changed.set()
        self._waiting.clear()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        self._last_used_s = clock.now_s()
        self._is_new = False
        if self._closes and self._answering is None:
            return
        if self._request is None or self._headers_since_s is not None:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(400)
        else:
            too_large = (
                self._headers_since_s is not None
                and self._header_bytes > self._server.limits.max_header_bytes
            )
            if too_large:
                self._reject(431)

    def on_message_begin(self) -> None:
        self._request = _Request()
        self._headers_since_s = clock.now_s()

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
        self._headers_since_s = None
        self._header_bytes = 0
        request.method = self._parser.get_method().decode("latin-1")
        request.closes = not self._parser.should_keep_alive()
        if request.target.startswith((b"http://", b"https://")):
            request.target = httptools.parse_url(request.target).path or b"/"
        self._waiting.append(request)
        if len(self._waiting) > MAX_PIPELINED_REQUESTS and self._transport:
            self._transport.pause_reading()
        self._answer_next()

    def on_body(self, data: bytes) -> None:
        request = self._request
        assert request is not None
        request.body.append(data)
        request.body_bytes += len(data)
        if request.body_bytes > MAX_BUFFERED_BODY_BYTES and self._transport:
            self._transport.pause_reading()
        request.changed.set()

    def on_message_complete(self) -> None:
        assert self._request is not None
        self._request.complete = True
        self._request.changed.set()
        self._request = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return (
            self._answering is None
            and not self._waiting
            and self._headers_since_s is None
        )

    def has_unread_bytes(self) -> bool:
        """Return whether the kernel holds bytes that were not read yet."""
        if self._transport is None or self._transport.is_closing():
            return False
        descriptor = self._transport.get_extra_info("socket").fileno()
        if descriptor < 0:
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    def may_close(self, now_s: float) -> bool:
        """Return whether a shutdown can close this connection now."""
        awaits_first = (
            self._is_new
            and now_s - self._last_used_s < FIRST_REQUEST_TIMEOUT_S
        )
        return (
            self.is_idle and not awaits_first and not self.has_unread_bytes()
        )

    def sweep(self, now_s: float) -> None:
        """Close the connection if its header or idle timeout has passed."""
        limits = self._server.limits
        if self._headers_since_s is not None and self._answering is None:
            if now_s - self._headers_since_s > limits.header_timeout_ms / 1000:
                self._reject(408)
        elif self.is_idle:
            if now_s - self._last_used_s > limits.idle_timeout_ms / 1000:
                self.close()

    def close(self) -> None:
        """Close the connection once its pending output is written."""
        self._closes = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection; a broken answer must not look complete."""
        self._closes = True
        if self._transport is not None:
            self._transport.abort()

    def _reject(self, status: int) -> None:
        """Answer input that is not a valid request, and close."""
        self._closes = True
        if self._answering is not None or self._transport is None:
            # The answer in progress ends first, and the connection with it.
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
        self._last_used_s = clock.now_s()
        if self._is_lost:
            return
        if self._closes or not request.complete:
            # The unread rest of a body can't be told from the next
            # request.
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
                if request.changed.is_set():
                    request.changed.clear()
                    return {
                        "type": "http.request",
                        "body": b"",
                        "more_body": False,
                    }
            if request.disconnected:
                return {"type": "http.disconnect"}
            request.changed.clear()
            await request.changed.wait()

    async def _send(self, request: _Request, message: Message) -> None:
        if self._is_lost or self._transport is None:
            return
        if message["type"] == "http.response.start":
            self._prepare_head(request, message)
            return
        data = message.get("body", b"")
        if request.method == "HEAD":
            data = b""
        elif request.chunked:
            if data:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            if not message.get("more_body", False):
                data += b"0\r\n\r\n"
        # One write, so that the head and a short body share a packet.
        data = request.head + data
        request.head = b""
        if data:
            self._transport.write(data)
        if not self._writable.is_set():
            await self._writable.wait()

    def _prepare_head(self, request: _Request, message: Message) -> None:
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
    """Server of an ASGI application at one address.

    :param address: ``ip:port`` to listen on.
    :param close_timeout_s: how long :meth:`close` waits for requests.
    :param tls: context of the listener, ``None`` for plain HTTP.
    :param note_failure: called with each uncaught error of the application,
        and with an error that keeps :meth:`close` from holding back new
        connections.
    :ivar limits: limits on requests.
    :ivar connections: open connections.
    :ivar tasks: running calls of the application.
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
        """Start to listen; connections are accepted on return.

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
        """Stop listening and answer all requests that have arrived.

        Connections still open after the timeout are reset. If cancelled,
        call it again to continue.
        """
        with anyio.move_on_after(self._close_timeout_s):
            if self._server is not None:
                await _listener.close_listener(self._server, self.note_failure)
            while self.connections:
                now_s = clock.now_s()
                for connection in list(self.connections):
                    if connection.may_close(now_s):
                        connection.close()
                await anyio.sleep(CLOSE_POLL_INTERVAL_S)
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
