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
from papayastall import _problem
from papayastall import _request_framing
from papayastall import clock
from papayastall import exceptions
from papayastall import memory

__all__ = [
    "Application",
    "HttpLimits",
    "HttpServer",
    "Pipeline",
    "Receive",
    "Scope",
    "Send",
    "send_answer",
]

BACKLOG = 1024
ACCEPTED_PER_TURN = 32
"""Connections accepted in one turn of the event loop; those above the limit
of connections are open until the next turn."""
MAX_PIPELINED_REQUESTS = 16
"""Requests of a connection that run or wait; further input is not parsed."""
REQUEST_OVERHEAD_BYTES = 2048
"""Memory of a request besides its head, for the account."""
HEADER_OVERHEAD_BYTES = 160
"""Memory of the objects of a header, for the account."""
MIN_PART_BYTES = 4 << 10
"""Parts of a body up to this size are joined as they arrive."""
MAX_STALLED_SWEEPS = 3
"""Sweeps after which a caller that reads none of its answers is cut off
while memory for answers is short; at other times it has the idle timeout."""
NEAR_CONNECTIONS_SHARE = 0.7
"""Part of the limit of connections from which those without progress are
closed."""
LONG_BODY_S = 5.0
"""Time after which a body may be cut off to make room for a connection."""
MAX_UNREAD_SHARE = 0.85
"""Part of a class's limit up to which connections may wait to be read; the
rest is for those that are."""
MEMORY_RETRY_AFTER_S = 2.0
LINGER_SILENCE_S = 2.0
"""Time without input after which a connection that was answered before its
input ended is closed."""
LINGER_TIMEOUT_S = 30.0
"""The same without regard to input."""
POLL_PEER_CLOSED = getattr(select, "POLLRDHUP", 0)
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


class Pipeline(t.Protocol):
    """Place of a request among those of its connection.

    It is ``scope["pipeline"]`` of each request. An application that does not
    use it is called for one request of a connection after the other.
    """

    @property
    def has_earlier(self) -> bool:
        """Whether an earlier request of the connection has not ended."""

    def allow_next(self) -> None:
        """Let the next request of the connection begin beside this one."""

    async def wait_for_turn(self) -> None:
        """Wait until all earlier requests of the connection are answered.

        :raises papayastall.exceptions.RefusedError: the connection is
            closed first; this request must not run.
        """


class _Request:
    """A request of a connection and the state of its answer.

    :ivar body: received parts that the application has not read yet.
    :ivar body_bytes: length of these parts.
    :ivar chunked: whether the answer is sent with chunked encoding.
    :ivar closes: whether the request ends its connection.
    :ivar complete: whether the whole request was received.
    :ivar disconnected: whether no answer can be sent any more: the
        connection was lost, or an earlier answer closes it.
    :ivar expects_continue: whether the caller waits for status 100.
    :ivar head: encoded head of the answer, until it is sent.
    :ivar changed: set when the body, ``complete``, ``failure`` or
        ``disconnected`` changes.
    :ivar started: whether the application has begun its answer.
    :ivar failure: why the rest of the request is not received.
    :ivar since_s: when its body began to arrive.
    :ivar rejection: status of the answer to input that is no valid request,
        which takes the place of a request; 0 for a request.
    :ivar ended: whether the application has returned.
    :ivar lets_next_begin: whether the next request may begin beside it.
    :ivar turn: set when all earlier requests of the connection have ended;
        ``None`` if nothing waits for it.
    :ivar head_bytes: memory booked for the request's head.
    :ivar holding: memory booked for its body.
    """

    __slots__ = (
        "body",
        "body_bytes",
        "changed",
        "chunked",
        "closes",
        "complete",
        "connection",
        "disconnected",
        "ended",
        "expects_continue",
        "failure",
        "head",
        "head_bytes",
        "headers",
        "holding",
        "lets_next_begin",
        "method",
        "rejection",
        "since_s",
        "started",
        "target",
        "turn",
    )

    def __init__(self, connection: _Connection) -> None:
        self.connection = connection
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
        self.failure: exceptions.RefusedError | None = None
        self.rejection = 0
        self.since_s = 0.0
        self.ended = False
        self.lets_next_begin = False
        self.turn: asyncio.Event | None = None
        self.head_bytes = 0
        self.holding: memory.Holding | None = None

    def scope(self) -> Scope:
        path, _, query = self.target.partition(b"?")
        return {
            "type": "http",
            "method": self.method,
            "path": path.decode("latin-1"),
            "raw_path": path,
            "query_string": query,
            "headers": self.headers,
            "client": self.connection.client,
            "pipeline": self,
        }

    def add_body(self, part: bytes) -> None:
        """Add a received part of the body."""
        if self.body and len(self.body[-1]) < MIN_PART_BYTES:
            # The objects of many small parts would take more than the body.
            self.body[-1] += part
        else:
            self.body.append(part)
        self.body_bytes += len(part)
        self.changed.set()

    def disconnect(self) -> None:
        """Note that no answer can be sent any more."""
        self.disconnected = True
        self.changed.set()
        if self.turn is not None:
            self.turn.set()

    def fail(self, error: exceptions.RefusedError) -> None:
        """Note that the rest of the request is not received.

        The connection ends with the answer to it.
        """
        self.failure = error
        self.complete = False
        self.body.clear()
        self.body_bytes = 0
        self.changed.set()

    @property
    def has_earlier(self) -> bool:
        """Whether an earlier request of the connection has not ended."""
        return not self.connection.is_first(self)

    def allow_next(self) -> None:
        """Let the next request of the connection begin beside this one."""
        self.lets_next_begin = True
        self.connection.start_next()

    async def wait_for_turn(self) -> None:
        """Wait until all earlier requests of the connection are answered."""
        if not self.connection.is_first(self) and not self.disconnected:
            if self.turn is None:
                self.turn = asyncio.Event()
            await self.turn.wait()
        if self.disconnected:
            raise exceptions.RefusedError(
                exceptions.ErrorCode.CANCELLED,
                "the connection was closed before the request's turn",
                step="read",
            )


class _Connection(asyncio.Protocol):
    """One connection of a caller; answers its requests in order.

    Input is parsed one head at a time. What is behind
    ``MAX_PIPELINED_REQUESTS`` stays unparsed, and no more is read.
    """

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = None
        self._unparsed = b""
        self._input_bytes = 0
        self._request: _Request | None = None
        self._left_bytes = 0
        self._decoder: _request_framing.ChunkedDecoder | None = None
        self._waiting: collections.deque[_Request] = collections.deque()
        self._running: collections.deque[_Request] = collections.deque()
        self._headers_since_s: float | None = None
        self.last_used_s = clock.now_s()
        self._writable = asyncio.Event()
        self._writable.set()
        self._is_paused = False
        # Memory booked for what the kernel holds while reading is paused.
        self._unread_booking: memory.MemoryClass | None = None
        self._is_lost = False
        self._closes = False
        self._input_ended = False
        self._is_new = True
        self._is_last = False
        self._has_sent_head = False
        self._answer_bytes = 0
        self._stalled_sweeps = 0
        self._lingers_since_s: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        if not self._server.make_room():
            self._transport.abort()
            return
        self._server.connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_lost = True
        self._server.connections.pop(self, None)
        self._writable.set()
        self._count_unread_answers()
        self._drop_requests()
        self._unparsed = b""
        self._count_input()
        self._release_unread()

    def _drop_requests(self) -> None:
        """Cancel requests that run, and drop those that do not run yet."""
        for request in self._running:
            request.disconnect()
        dropped = list(self._waiting)
        self._waiting.clear()
        if self._request is not None:
            self._request.disconnect()
            self._request = None
        for request in dropped:
            request.disconnect()
            self._release(request)

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()
        self._count_unread_answers()

    def data_received(self, data: bytes) -> None:
        self.last_used_s = clock.now_s()
        self._is_new = False
        if self._input_ended or self._closes:
            # Read and dropped: closing a socket with unread input resets
            # it, and the caller might not get its answer.
            return
        if self._unparsed:
            data = self._unparsed + data
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        """Parse input up to the limit of waiting requests."""
        position = 0
        try:
            while position < len(data) and not self._input_ended:
                if self._request is not None:
                    position = self._read_body(self._request, data, position)
                elif self._is_last:
                    # What follows a request that ends its connection is
                    # not read.
                    position = len(data)
                elif self._count_requests() >= self._max_requests():
                    break
                elif (after := self._read_head(data, position)) > position:
                    position = after
                else:
                    break
        except _request_framing.FramingError as error:
            self._refuse_input(error)
        self._unparsed = b"" if self._input_ended else data[position:]
        if self._unparsed or self._input_bytes:
            self._count_input()
        self._update_reading()

    def _count_requests(self) -> int:
        return len(self._running) + len(self._waiting)

    def _max_requests(self) -> int:
        """Return how many requests of this connection may run or wait.

        While memory for heads is short, what is left is for connections
        without a request.
        """
        if self._server.account.is_near(self._server.heads_class):
            return 1
        return MAX_PIPELINED_REQUESTS

    def _count_input(self) -> None:
        """Book the input that is not parsed yet."""
        more = len(self._unparsed) - self._input_bytes
        account, kind = self._server.account, self._server.heads_class
        if more > 0 and not account.book(kind, more):
            # Nothing of it has run; the callers of complete requests that
            # wait before it still get their answers.
            self._unparsed = b""
            more = -self._input_bytes
            self._refuse_input(_out_of_memory_framing())
        if more < 0:
            account.release(kind, -more)
        self._input_bytes = len(self._unparsed)

    def _read_head(self, data: bytes, position: int) -> int:
        """Read one head; return the position after it, if it is whole."""
        if data[position] in b"\r\n":
            # Empty lines before a request are ignored (RFC 9112, 2.2).
            if data.startswith(b"\r\n", position):
                return position + 2
            if data[position:] == b"\r":
                return position
            raise _request_framing.FramingError("a line end is not CR LF")
        if self._headers_since_s is None:
            self._headers_since_s = clock.now_s()
        limit = self._server.limits.max_header_bytes
        end = data.find(
            _request_framing.HEAD_END,
            position,
            position + limit + len(_request_framing.HEAD_END),
        )
        if end < 0:
            if len(data) - position > limit:
                raise _request_framing.FramingError("too long", 431)
            if data.find(b"\n\n", position) >= 0:
                raise _request_framing.FramingError("a line end is not CR LF")
            return position
        end += len(_request_framing.HEAD_END)
        head = data[position:end]
        _request_framing.check_head(head)
        request = _Request(self)
        self._feed_parser(request, head)
        self._headers_since_s = None
        self._has_sent_head = True
        self._is_last = request.closes
        self._open_request(request, len(head))
        return end

    def _feed_parser(self, request: _Request, head: bytes) -> None:
        """Parse a whole head into a request.

        The parser gets no bodies: a request with a body is the last one
        that it reads.
        """
        if self._parser is None:
            self._parser = httptools.HttpRequestParser(self)
        self._request = request
        try:
            self._parser.feed_data(head)
        except httptools.HttpParserUpgrade as error:
            raise _request_framing.FramingError("an upgrade") from error
        except httptools.HttpParserError as error:
            raise _request_framing.FramingError("no request") from error
        finally:
            self._request = None
        version = self._parser.get_http_version()
        if version not in ("1.0", "1.1") or not request.method:
            raise _request_framing.FramingError("no request of HTTP/1")
        length = _request_framing.read_body_length(version, request.headers)
        if length != 0:
            self._parser = None
        self._left_bytes = length or 0
        self._decoder = None
        if length is None:
            self._decoder = _request_framing.ChunkedDecoder()
        request.complete = length == 0

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
        assert request is not None and self._parser is not None
        request.method = self._parser.get_method().decode("latin-1")
        request.closes = not self._parser.should_keep_alive()
        if request.target.startswith((b"http://", b"https://")):
            url = httptools.parse_url(request.target)
            request.target = url.path or b"/"
            if url.query is not None:
                request.target += b"?" + url.query

    def _open_request(self, request: _Request, head_bytes: int) -> None:
        """Book the memory of a request, and let it wait for its turn."""
        server = self._server
        size = head_bytes + REQUEST_OVERHEAD_BYTES
        size += HEADER_OVERHEAD_BYTES * len(request.headers)
        if not server.account.book(server.heads_class, size):
            self._fail(request, _out_of_memory())
        else:
            request.head_bytes = size
        if request.complete:
            request.changed.set()
        elif request.failure is None:
            self._open_body(request)
        if request.failure is not None:
            self._input_ended = True
        self._waiting.append(request)
        self.start_next()

    def _open_body(self, request: _Request) -> None:
        server = self._server
        expected = None if self._decoder is not None else self._left_bytes
        limit = server.account.limit(server.bodies_class)
        if expected is not None and expected > limit:
            self._fail(
                request,
                exceptions.RefusedError(
                    exceptions.ErrorCode.BODY_TOO_LARGE,
                    f"bodies of all requests may take {limit} bytes here",
                    step="read",
                ),
            )
            return
        request.holding = server.intake.open(self, expected)
        if request.holding is None:
            self._fail(request, _out_of_memory())
            return
        request.since_s = clock.now_s()
        self._request = request

    def _read_body(self, request: _Request, data: bytes, position: int) -> int:
        """Read a part of a body; return the position after it."""
        start = position
        if self._decoder is not None:
            part, position = self._decoder.feed(data, position)
            is_complete = self._decoder.is_complete
        else:
            position = min(len(data), start + self._left_bytes)
            part = data[start:position]
            self._left_bytes -= len(part)
            is_complete = not self._left_bytes
        if part:
            assert request.holding is not None
            match self._server.intake.add(request.holding, len(part)):
                case memory.Verdict.REFUSE:
                    self.refuse_body(request.holding, _out_of_memory())
                    return len(data)
                case _:
                    request.add_body(part)
        if is_complete:
            if request.holding is not None:
                self._server.intake.complete(request.holding)
            request.complete = True
            request.changed.set()
            self._request = None
            self._decoder = None
        return position

    def refuse_body(
        self, holding: memory.Holding, error: exceptions.RefusedError
    ) -> None:
        """Drop the request whose body is being received."""
        request = self._request
        if request is None or request.holding is not holding:
            return
        self._request = None
        self._input_ended = True
        self._fail(request, error)
        self._close_holding(request)
        self._update_reading()

    def _refuse_input(self, error: _request_framing.FramingError) -> None:
        """Answer input that is not a valid request, and read no more."""
        self._input_ended = True
        self._headers_since_s = None
        request = self._request
        self._request = None
        if request is not None:
            self._fail(
                request,
                exceptions.RefusedError(
                    exceptions.ErrorCode.BAD_REQUEST,
                    error.message,
                    step="read",
                ),
            )
            self._close_holding(request)
            return
        self._note_rejection(error.status)
        # The answers to the requests before it are sent first.
        rejected = _Request(self)
        rejected.rejection = error.status
        self._waiting.append(rejected)
        self.start_next()

    def _close_holding(self, request: _Request) -> None:
        if request.holding is None:
            return
        resumed = self._server.intake.close(request.holding)
        request.holding = None
        self._server.resume(resumed)

    def _release(self, request: _Request) -> None:
        """Release the memory of a request."""
        self._close_holding(request)
        if request.head_bytes:
            self._server.account.release(
                self._server.heads_class, request.head_bytes
            )
            request.head_bytes = 0

    def _fail(self, request: _Request, error: exceptions.RefusedError) -> None:
        """Refuse a request whose rest is not received."""
        request.fail(error)
        self._note_rejection(_problem.status_of(error.code))

    @property
    def client(self) -> tuple[str, int]:
        """IP address and port of the caller."""
        peer = None
        if self._transport is not None:
            peer = self._transport.get_extra_info("peername")
        return (str(peer[0]), int(peer[1])) if peer else ("", 0)

    def _note_rejection(self, status: int) -> None:
        self._server.note_rejection(status, self.client[0])

    def resume(self) -> None:
        """Go on with input that was held back."""
        if self._unparsed and not self._closes and not self._is_lost:
            data, self._unparsed = self._unparsed, b""
            self._parse(data)
        else:
            self._update_reading()

    def _update_reading(self) -> None:
        """Read from the connection, unless too much is kept already."""
        request = self._request
        count = self._count_requests()
        pause = count >= MAX_PIPELINED_REQUESTS
        pause = pause or bool(self._unparsed and count >= self._max_requests())
        pause = pause and not self._input_ended
        if request is not None:
            pause = request.body_bytes > MAX_BUFFERED_BODY_BYTES or (
                request.holding is not None and request.holding.is_held_back
            )
        if pause is self._is_paused or self._transport is None:
            return
        if self._is_lost or self._transport.is_closing():
            return
        if pause and not self._book_unread(request):
            return
        self._is_paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._release_unread()
            self._transport.resume_reading()

    def _book_unread(self, request: _Request | None) -> bool:
        """Book what the kernel holds of a connection that is not read.

        :param request: the one whose body is received, if any.
        :returns: whether to stop reading; if not, the input that can't be
            held was refused and what follows is dropped.
        """
        server = self._server
        kind = server.heads_class if request is None else server.bodies_class
        size = _listener.RECEIVE_BUFFER_BYTES
        most = MAX_UNREAD_SHARE * server.account.limit(kind)
        if server.account.used(kind) + size <= most:
            server.account.charge(kind, size)
            self._unread_booking = kind
            return True
        if request is None:
            self._unparsed = b""
            self._count_input()
            self._refuse_input(_out_of_memory_framing())
        elif request.holding is not None:
            self.refuse_body(request.holding, _out_of_memory())
        server.account.refusals[kind] += 1
        return False

    def _release_unread(self) -> None:
        if self._unread_booking is not None:
            self._server.account.release(
                self._unread_booking, _listener.RECEIVE_BUFFER_BYTES
            )
            self._unread_booking = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return (
            not self._running
            and not self._waiting
            and self._headers_since_s is None
        )

    @property
    def awaits_first_request(self) -> bool:
        """Whether no whole head has arrived, and none is being answered."""
        return not self._has_sent_head

    @property
    def is_sending_first_body(self) -> bool:
        """Whether all that it waits for is the rest of a body, for long."""
        request = self._request
        return (
            request is not None
            and self._count_requests() == 1
            and clock.now_s() - request.since_s > LONG_BODY_S
        )

    def has_unread_bytes(self) -> bool:
        """Return whether the kernel holds bytes that were not read yet."""
        return bool(self._poll(select.POLLIN) & select.POLLIN)

    def _poll(self, events: int) -> int:
        """Return the state of the socket."""
        if self._transport is None or self._transport.is_closing():
            return 0
        descriptor = self._transport.get_extra_info("socket").fileno()
        if descriptor < 0:
            return 0
        poll = select.poll()
        poll.register(descriptor, events)
        return sum(state for _, state in poll.poll(0))

    def may_close(self, now_s: float) -> bool:
        """Return whether a shutdown can close this connection now."""
        awaits_first = (
            self._is_new and now_s - self.last_used_s < FIRST_REQUEST_TIMEOUT_S
        )
        return (
            self.is_idle and not awaits_first and not self.has_unread_bytes()
        )

    def sweep(self, now_s: float) -> None:
        """Close the connection if one of its time limits has passed."""
        limits = self._server.limits
        if self._lingers_since_s is not None:
            self._sweep_lingering(now_s, self._lingers_since_s)
            return
        if self._headers_since_s is not None and not self._running:
            if now_s - self._headers_since_s > limits.header_timeout_ms / 1000:
                self._refuse_input(_request_framing.FramingError("late", 408))
        elif self.is_idle:
            if now_s - self.last_used_s > limits.idle_timeout_ms / 1000:
                self.close()
        elif self._request is not None and not self._is_paused:
            if now_s - self.last_used_s > limits.idle_timeout_ms / 1000:
                self._refuse_silent_body(self._request)
        if self._is_paused and self._poll(POLL_PEER_CLOSED):
            # While reading is paused, the event loop does not notice it.
            self.abort()
        elif self._answer_bytes:
            self._sweep_unread_answers(limits.idle_timeout_ms / 1000)

    def _refuse_silent_body(self, request: _Request) -> None:
        assert request.holding is not None
        error = exceptions.RefusedError(
            exceptions.ErrorCode.BODY_TOO_SLOW,
            "no part of the body arrived within the idle timeout",
            step="read",
        )
        self.refuse_body(request.holding, error)

    def _sweep_unread_answers(self, idle_timeout_s: float) -> None:
        """Reset the connection of a caller that does not read its answers."""
        before = self._answer_bytes
        self._count_unread_answers()
        if self._answer_bytes < before:
            self._stalled_sweeps = 0
            return
        self._stalled_sweeps += 1
        near = (
            self._server.account.is_near(memory.MemoryClass.ANSWERS)
            or self._server.is_short_of_connections
        )
        limit = MAX_STALLED_SWEEPS if near else idle_timeout_s
        if self._stalled_sweeps * SWEEP_INTERVAL_S >= limit:
            self.abort()

    def _count_unread_answers(self) -> None:
        """Book what the caller has not read yet.

        It is booked also over the limit: requests that ran are not undone.
        """
        size = 0
        if not self._is_lost and self._transport is not None:
            size = self._transport.get_write_buffer_size()
        account, kind = self._server.account, memory.MemoryClass.ANSWERS
        account.release(kind, self._answer_bytes)
        account.charge(kind, size)
        self._answer_bytes = size

    def close(self) -> None:
        """Close the connection once its pending output is written.

        One that lingers is reset instead once it has had some time.
        """
        if self._lingers_since_s is not None:
            if clock.now_s() - self._lingers_since_s > LINGER_SILENCE_S:
                self.abort()
            return
        self._closes = True
        self._drop_requests()
        if self._transport is not None:
            self._transport.close()
            if self._transport.get_write_buffer_size():
                self._count_unread_answers()

    def _linger(self) -> None:
        """Close the connection once the caller has read its answer.

        What it still sends is read and dropped, until it closes, is silent
        or takes too long.
        """
        if self._transport is None or self._is_lost:
            return
        self._closes = True
        self._input_ended = True
        self._drop_requests()
        self._unparsed = b""
        self._count_input()
        self.last_used_s = clock.now_s()
        self._lingers_since_s = self.last_used_s
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._update_reading()

    def _sweep_lingering(self, now_s: float, since_s: float) -> None:
        is_silent = now_s - self.last_used_s > LINGER_SILENCE_S
        if is_silent or now_s - since_s > LINGER_TIMEOUT_S:
            self.abort()

    def abort(self) -> None:
        """Reset the connection; a broken answer must not look complete."""
        self._closes = True
        if self._transport is not None:
            self._transport.abort()

    def _write_rejection(self, status: int, *, is_whole: bool = False) -> None:
        """Answer input that is not a valid request, and close.

        :param is_whole: whether it was a request, and was received whole.
        """
        if self._transport is None or self._is_lost:
            return
        phrase = http.HTTPStatus(status).phrase.encode()
        retry = b""
        if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            retry = b"retry-after: %d\r\n" % MEMORY_RETRY_AFTER_S
        self._transport.write(
            b"HTTP/1.1 %d %s\r\nconnection: close\r\n%b"
            b"content-length: 0\r\n\r\n" % (status, phrase, retry)
        )
        if is_whole:
            self.close()
        else:
            self._linger()

    def is_first(self, request: _Request) -> bool:
        """Return whether all earlier requests have ended."""
        return bool(self._running) and self._running[0] is request

    def start_next(self) -> None:
        """Start the requests that may begin now."""
        while self._waiting and not self._closes and not self._is_lost:
            if self._running and not self._may_begin_beside():
                return
            request = self._waiting.popleft()
            if request.rejection:
                self._write_rejection(request.rejection)
                return
            self._running.append(request)
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._run(request))
            self._server.tasks.add(task)
            task.add_done_callback(self._server.tasks.discard)

    def _may_begin_beside(self) -> bool:
        """Return whether the next request may begin beside those that run."""
        server = self._server
        return (
            self._running[-1].lets_next_begin
            and not self._waiting[0].rejection
            and not server.account.is_near(server.heads_class)
            and not server.account.is_near(memory.MemoryClass.ANSWERS)
        )

    async def _run(self, request: _Request) -> None:
        try:
            await self._server.application(
                request.scope(),
                lambda: self._receive(request),
                lambda message: self._send(request, message),
            )
        except Exception as error:
            code = exceptions.ErrorCode.INTERNAL
            failure = request.failure
            if failure is not None and isinstance(
                error, exceptions.RefusedError
            ):
                code = failure.code
            else:
                self._server.note_failure(error)
            await self._answer_failure(request, code)
            return
        except asyncio.CancelledError:
            self._release(request)
            raise
        self._finish(request)

    async def _answer_failure(
        self, request: _Request, code: exceptions.ErrorCode
    ) -> None:
        """Answer with an error, or reset the connection.

        The connection ends with this answer.
        """
        if not self.is_first(request) and not request.disconnected:
            request.turn = request.turn or asyncio.Event()
            await request.turn.wait()
        if not request.started and not request.disconnected:
            self._running.remove(request)
            self._release(request)
            self._write_rejection(
                _problem.status_of(code), is_whole=request.complete
            )
            return
        self._running.remove(request)
        self._release(request)
        if not self._is_lost and not self._closes:
            self.abort()

    def _finish(self, request: _Request) -> None:
        request.ended = True
        self._release(request)
        self.last_used_s = clock.now_s()
        while self._running and self._running[0].ended:
            first = self._running.popleft()
            if self._is_lost or first.disconnected:
                continue
            if not first.complete:
                # The unread rest of a body can't be told from the next
                # request.
                self._linger()
                return
            if self._closes:
                self.close()
                return
        if self._is_lost:
            return
        if self._running and self._running[0].turn is not None:
            self._running[0].turn.set()
        self.start_next()
        if self._unparsed or self._is_paused:
            self.resume()

    async def _receive(self, request: _Request) -> Message:
        if request.expects_continue and not request.started:
            request.expects_continue = False
            if not request.complete and request.failure is None:
                await self._send_continue(request)
        while True:
            if request.failure is not None and not request.disconnected:
                raise _copy_error(request.failure)
            if request.body:
                data = b"".join(request.body)
                request.body.clear()
                request.body_bytes = 0
                if self._is_paused:
                    self._update_reading()
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

    async def _send_continue(self, request: _Request) -> None:
        if not self.is_first(request) and not request.disconnected:
            request.turn = request.turn or asyncio.Event()
            await request.turn.wait()
        if not request.disconnected and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _send(self, request: _Request, message: Message) -> None:
        if message["type"] == "http.response.start":
            request.started = True
        if not self.is_first(request) and not request.disconnected:
            # Answers are sent in the order of their requests.
            request.turn = request.turn or asyncio.Event()
            await request.turn.wait()
        if request.disconnected or self._transport is None:
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
            self._count_unread_answers()
            await self._writable.wait()

    def _prepare_head(self, request: _Request, message: Message) -> None:
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


def _copy_error(error: exceptions.RefusedError) -> exceptions.RefusedError:
    """Return a copy without a traceback.

    The frames in the traceback of an error that its request keeps would hold
    the request and its body until the next collection of cycles.
    """
    return exceptions.RefusedError(
        error.code,
        error.message,
        step=error.step,
        retry_after_s=error.retry_after_s,
    )


def _out_of_memory() -> exceptions.RefusedError:
    return exceptions.RefusedError(
        exceptions.ErrorCode.MEMORY_FULL,
        "the memory of this node for requests is in use",
        step="read",
        retry_after_s=MEMORY_RETRY_AFTER_S,
    )


def _out_of_memory_framing() -> _request_framing.FramingError:
    return _request_framing.FramingError("memory", 503)


def _too_slow() -> exceptions.RefusedError:
    return exceptions.RefusedError(
        exceptions.ErrorCode.BODY_TOO_SLOW,
        "the body arrives too slowly while memory is short",
        step="read",
        retry_after_s=MEMORY_RETRY_AFTER_S,
    )


class HttpServer:
    """Server of an ASGI application at one address.

    :param address: ``ip:port`` to listen on.
    :param close_timeout_s: how long :meth:`close` waits for requests.
    :param tls: context of the listener, ``None`` for plain HTTP.
    :param note_failure: called with each uncaught error of the application,
        and with an error that keeps :meth:`close` from holding back new
        connections.
    :param account: books the memory of requests and answers; by default
        one of this server, bounded by the memory of the VM.
    :param heads_class: class of the heads of requests.
    :param bodies_class: class of their bodies.
    :param max_connections: open connections beyond which new ones are
        closed; ``None`` for no limit.
    :param count_refused_connection: called for each of them.
    :param note_rejection: called with the status and the client's IP address
        for each refusal that is not the application's.
    :ivar limits: limits on requests.
    :ivar connections: open connections, the oldest first.
    :ivar tasks: running calls of the application.
    """

    def __init__(
        self,
        application: Application,
        address: str,
        close_timeout_s: float,
        tls: ssl.SSLContext | None = None,
        note_failure: cabc.Callable[[Exception], None] = lambda error: None,
        account: memory.MemoryAccount | None = None,
        heads_class: memory.MemoryClass = memory.MemoryClass.CONTROL,
        bodies_class: memory.MemoryClass = memory.MemoryClass.CONTROL,
        max_connections: int | None = None,
        count_refused_connection: cabc.Callable[[], None] = lambda: None,
        note_rejection: cabc.Callable[[int, str], None] = (
            lambda status, peer: None
        ),
    ) -> None:
        self.application = application
        self.limits = HttpLimits()
        self.account = account or memory.MemoryAccount(
            memory.read_vm_bytes(), 0
        )
        self.heads_class = heads_class
        self.bodies_class = bodies_class
        self.intake = memory.BodyIntake(self.account, bodies_class)
        self.max_connections = max_connections
        self.count_refused_connection = count_refused_connection
        self.note_rejection = note_rejection
        self.connections: dict[_Connection, None] = {}
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
        listening = _listener.open_listener(host.strip("[]"), int(port))
        self._server = await loop.create_server(
            self.make_connection,
            sock=listening,
            ssl=self._tls,
            backlog=ACCEPTED_PER_TURN,
        )
        # asyncio accepts as many at a time as the backlog that it is given.
        listening.listen(BACKLOG)
        tasks.start_soon(self._sweep)

    def make_connection(self) -> asyncio.Protocol:
        """Return the protocol of a new connection."""
        return _Connection(self)

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
            self._check_bodies(now_s)
            for connection in list(self.connections):
                connection.sweep(now_s)

    def _check_bodies(self, now_s: float) -> None:
        found = self.intake.check(now_s, self.is_short_of_connections)
        for holdings, make_error in (
            (found.stalled, _too_slow),
            (found.refused, _out_of_memory),
        ):
            for each in holdings:
                connection = t.cast(_Connection, each.owner)
                connection.refuse_body(each, make_error())
        self.resume(found.resumed)

    def resume(self, holdings: list[memory.Holding]) -> None:
        """Read bodies again that were held back, in the next turn."""
        if holdings:
            loop = asyncio.get_running_loop()
            for each in holdings:
                loop.call_soon(t.cast(_Connection, each.owner).resume)

    @property
    def is_short_of_connections(self) -> bool:
        """Whether the number of connections is near its limit."""
        if self.max_connections is None:
            return False
        return len(self.connections) > (
            NEAR_CONNECTIONS_SHARE * self.max_connections
        )

    def make_room(self) -> bool:
        """Return whether another connection may be opened.

        At the limit one that no request runs on is closed for it: the
        oldest that never sent a whole head, else the one that is idle for
        longest, else the one that has been sending a body for longest.
        """
        if self.max_connections is None:
            return True
        if len(self.connections) < self.max_connections:
            return True
        self.count_refused_connection()
        victim = self._choose_victim()
        if victim is None:
            return False
        del self.connections[victim]
        victim.abort()
        return True

    def _choose_victim(self) -> _Connection | None:
        idle: _Connection | None = None
        sending: _Connection | None = None
        for each in self.connections:
            if each.awaits_first_request:
                return each
            if each.is_idle:
                if idle is None or each.last_used_s < idle.last_used_s:
                    idle = each
            elif each.is_sending_first_body:
                sending = sending or each
        return idle or sending
