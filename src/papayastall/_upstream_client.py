"""HTTP/1.1 client for the upstreams that this node owns.

Idle connections are pooled per upstream and reused only for lookups. Each
non-idempotent request gets a new connection: if a reused connection closes
before the answer, it is unknown whether the request ran.
"""

from __future__ import annotations

import anyio
import msgspec

from papayastall import _decision_types
from papayastall import _rate_limit
from papayastall import _upstream_connection
from papayastall import clock
from papayastall import http_names
from papayastall import logs

__all__ = [
    "NOT_RUN_OUTCOMES",
    "AnswerSink",
    "UpstreamClient",
    "UpstreamRequest",
]

MAX_IDLE_CONNECTIONS = 8
MAX_BUFFERED_ANSWER_BYTES = 64 << 10
"""Answers up to this size are buffered until they are complete, so that an
incomplete one can still be replaced by another attempt or an error."""
MAX_NOT_RUN_BODY_BYTES = 64 << 10
"""An answer that says "not run" with a larger body is not trusted."""
ALIVE_CHECK_DELAY_S = 0.02
"""Time for a process that crashes to close its listener after its other
connections."""
ALIVE_CHECK_TIMEOUT_S = 0.1
"""An upstream on the same VM accepts a connection within about 1 ms."""
IDLE_CLOSE_DETECTION_S = 0.02
"""If the upstream had closed an idle connection, the request on it fails
within a round trip, as both are on the same VM. A connection that ends later
ended while the upstream was processing the request."""
WRONG_INSTANCE_STATUS = 421
NOT_RUN_STATUSES = frozenset({400, 421, 429, 503})

HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)

Headers = list[tuple[bytes, bytes]]
Outcome = _decision_types.Outcome

NOT_RUN_OUTCOMES = frozenset(
    (Outcome.SHED, Outcome.CONNECT_FAILED, Outcome.EXPIRED)
)


class UpstreamRequest(msgspec.Struct):
    """A complete request to an upstream.

    :param upstream: address of the upstream, ``ip:port``.
    :param target: path and query string.
    :param idempotent: whether the request may run more than once.
    :param instance: the only process instance of the upstream that may run
        the request; "" for any.
    :param sends_once: send it on a new connection, so that it need not be
        sent again after an idle one was closed.
    :param rest: yields the body instead of ``body``; it can be read once.
    """

    upstream: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    idempotent: bool
    instance: str = ""
    sends_once: bool = False
    rest: _upstream_connection.BodyReader | None = None

    @property
    def body_bytes(self) -> int:
        """Length of the body."""
        return len(self.body) if self.rest is None else self.rest.total_bytes


class _DeadlinePassed(Exception):
    """The deadline passed before any byte of the request was sent."""


class AnswerSink:
    """Receiver of a streamed answer; subclasses override both methods.

    :ivar started: whether the client has passed the head of an answer.
    """

    started = False

    def note_upstream(
        self, limit_per_s: float | None, is_leaving: bool
    ) -> None:
        """Receive what the upstream says of itself in the answer's head.

        :param limit_per_s: see ``UpstreamNotice``.
        """

    async def send_head(self, status: int, headers: Headers) -> None:
        """Receive the status and the headers."""

    async def send_chunk(self, data: bytes) -> None:
        """Receive a chunk of the body; may wait for the final recipient."""


class UpstreamClient:
    """Sends requests to upstreams and reports the outcome of each.

    :param names: names of the headers that the client sets and reads.
    """

    def __init__(
        self, names: http_names.HeaderNames = http_names.HeaderNames()
    ) -> None:
        self._names = names
        self._idle: dict[
            str, list[_upstream_connection.UpstreamConnection]
        ] = {}
        self._replaced_headers = HOP_HEADERS | {names.timeout, names.instance}

    async def close(self) -> None:
        """Close all idle connections."""
        for upstream in list(self._idle):
            self.forget(upstream)

    def forget(self, upstream: str) -> None:
        """Close the idle connections to an upstream."""
        for connection in self._idle.pop(upstream, []):
            connection.close()

    async def is_alive(self, upstream: str) -> bool:
        """Return whether an upstream that broke off a run still listens.

        :param upstream: its address, ``ip:port``.
        """
        await anyio.sleep(ALIVE_CHECK_DELAY_S)
        with anyio.move_on_after(ALIVE_CHECK_TIMEOUT_S):
            try:
                connection = await _upstream_connection.open_connection(
                    upstream
                )
            except _upstream_connection.NotConnected:
                return False
            connection.close()
            return True
        return False

    async def run(
        self, request: UpstreamRequest, timeout_s: float, sink: AnswerSink
    ) -> _decision_types.Outcome:
        """Send a request and stream the answer to ``sink``.

        :param timeout_s: time left until the deadline.
        :returns: the outcome; only those in ``NOT_RUN_OUTCOMES`` guarantee
            that the request did not run.
        """
        if timeout_s <= 0:
            return Outcome.EXPIRED
        deadline_s = clock.now_s() + timeout_s
        with anyio.move_on_after(timeout_s):
            reused = self._take_idle(request)
            if reused is None:
                return await self._run_on_new(request, deadline_s, sink)
            sent_s = clock.now_s()
            outcome = await self._run_on(
                reused, request, deadline_s, sink, is_reused=True
            )
            was_idle = clock.now_s() - sent_s < IDLE_CLOSE_DETECTION_S
            if outcome is Outcome.BROKEN and was_idle and not sink.started:
                # Either the upstream closed the idle connection or it died
                # while processing the request. A second try on a new
                # connection may succeed, but if that one did not run, the
                # first one may still have.
                outcome = await self._run_on_new(request, deadline_s, sink)
                if outcome in NOT_RUN_OUTCOMES:
                    return Outcome.BROKEN
            return outcome
        return Outcome.TIMED_OUT

    def _take_idle(
        self, request: UpstreamRequest
    ) -> _upstream_connection.UpstreamConnection | None:
        idle = self._idle.get(request.upstream)
        sends_once = request.sends_once or request.rest is not None
        while idle and request.idempotent and not sends_once:
            connection = idle.pop()
            if connection.is_reusable():
                return connection
            connection.close()
        return None

    async def _run_on_new(
        self, request: UpstreamRequest, deadline_s: float, sink: AnswerSink
    ) -> _decision_types.Outcome:
        try:
            connection = await _upstream_connection.open_connection(
                request.upstream
            )
        except _upstream_connection.NotConnected:
            return Outcome.CONNECT_FAILED
        return await self._run_on(connection, request, deadline_s, sink)

    async def _run_on(
        self,
        connection: _upstream_connection.UpstreamConnection,
        request: UpstreamRequest,
        deadline_s: float,
        sink: AnswerSink,
        is_reused: bool = False,
    ) -> _decision_types.Outcome:
        answer: _upstream_connection.UpstreamAnswer | None = None
        try:
            head = self._encode_head(request, deadline_s)
            is_head = request.method == b"HEAD"
            answer = await connection.send(
                head, request.body, is_head, request.rest
            )
            outcome = await self._relay(
                connection, request, answer, sink, is_reused
            )
        except _DeadlinePassed:
            outcome = Outcome.EXPIRED
        except _upstream_connection.AnswerBroken:
            outcome = Outcome.BROKEN
        finally:
            self._release(connection, request, answer)
        return outcome

    async def _relay(
        self,
        connection: _upstream_connection.UpstreamConnection,
        request: UpstreamRequest,
        answer: _upstream_connection.UpstreamAnswer,
        sink: AnswerSink,
        is_reused: bool,
    ) -> _decision_types.Outcome:
        if not self._belongs_to(request, answer, is_reused):
            answer.keeps_alive = False
            return Outcome.BROKEN
        if self._is_echo(request, answer):
            sink.note_upstream(
                self._read_limit(answer), self._says_leaving(answer)
            )
        not_run = self._is_not_run(answer)
        headers = [
            (name, value)
            for name, value in answer.headers
            if name == b"content-length" or name not in HOP_HEADERS
        ]
        buffered: list[bytes] | None = []
        buffered_bytes = 0
        not_run_bytes = 0
        async for data in connection.read(answer):
            if not_run:
                not_run_bytes += len(data)
                if not_run_bytes > MAX_NOT_RUN_BODY_BYTES:
                    answer.keeps_alive = False
                    return Outcome.BROKEN
                continue
            if buffered is None:
                await sink.send_chunk(data)
                continue
            buffered.append(data)
            buffered_bytes += len(data)
            if buffered_bytes > MAX_BUFFERED_ANSWER_BYTES:
                await self._start(sink, answer.status, headers, buffered)
                buffered = None
        if not_run:
            return Outcome.SHED
        if buffered is not None:
            await self._start(sink, answer.status, headers, buffered)
        return Outcome.FAILED if answer.status >= 500 else Outcome.ANSWERED

    async def _start(
        self,
        sink: AnswerSink,
        status: int,
        headers: Headers,
        buffered: list[bytes],
    ) -> None:
        sink.started = True
        await sink.send_head(status, headers)
        if buffered:
            await sink.send_chunk(b"".join(buffered))

    def _belongs_to(
        self,
        request: UpstreamRequest,
        answer: _upstream_connection.UpstreamAnswer,
        is_reused: bool,
    ) -> bool:
        """Return whether an answer belongs to this request.

        An upstream may send a late second answer to an earlier request,
        where the answer to the current one is expected. An answer with a
        content encoding is not accepted either.

        :param is_reused: whether the connection has carried an earlier
            request; an answer without the request's id may then be to that.
        """
        if answer.find(b"content-encoding") is not None:
            return False
        name = self._names.request_id
        if not name:
            return True
        if answer.find(name) is None and not is_reused:
            return True
        return self._is_echo(request, answer)

    def _is_echo(
        self,
        request: UpstreamRequest,
        answer: _upstream_connection.UpstreamAnswer,
    ) -> bool:
        """Return whether an answer names the request that it belongs to.

        It always does where requests have no id.
        """
        name = self._names.request_id
        sent = [value for key, value in request.headers if key == name]
        return not name or not sent or answer.find(name) == sent[0]

    def _read_limit(
        self, answer: _upstream_connection.UpstreamAnswer
    ) -> float | None:
        if not self._names.limit:
            return None
        value = answer.find(self._names.limit)
        if value is None:
            return None
        limit_per_s = _rate_limit.parse_limit(value)
        if limit_per_s is None:
            logs.log_change(
                logs.StateChange(
                    logs.ChangeKind.UPSTREAM,
                    self._names.limit.decode(),
                    "",
                    "ignored",
                    f"{value[:40]!r} is not a number of requests a second",
                )
            )
        return limit_per_s

    def _says_leaving(
        self, answer: _upstream_connection.UpstreamAnswer
    ) -> bool:
        if not self._names.leaving:
            return False
        return answer.find(self._names.leaving) not in (None, b"0")

    def _is_not_run(self, answer: _upstream_connection.UpstreamAnswer) -> bool:
        if answer.status == WRONG_INSTANCE_STATUS:
            return True
        if answer.status not in NOT_RUN_STATUSES:
            return False
        value = answer.find(self._names.not_run)
        if value is None:
            return False
        return self._names.not_run_value in (b"", value)

    def _release(
        self,
        connection: _upstream_connection.UpstreamConnection,
        request: UpstreamRequest,
        answer: _upstream_connection.UpstreamAnswer | None,
    ) -> None:
        if answer is None:
            connection.close()
            return
        connection.end(answer)
        if connection.is_closed:
            return
        idle = self._idle.setdefault(request.upstream, [])
        if len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            connection.close()

    def _encode_head(
        self, request: UpstreamRequest, deadline_s: float
    ) -> bytes:
        """Return a request as bytes, with the time left in its header.

        The deadline is checked here because this process may have been
        suspended while it connected; it must not send a request whose
        caller has been answered meanwhile.

        :raises _DeadlinePassed: no time is left.
        """
        remaining_ms = int((deadline_s - clock.now_s()) * 1000)
        if remaining_ms <= 0:
            raise _DeadlinePassed
        lines = [request.method + b" " + request.target + b" HTTP/1.1"]
        has_host = False
        for name, value in request.headers:
            if name in self._replaced_headers:
                continue
            has_host = has_host or name == b"host"
            lines.append(name + b": " + value)
        if not has_host:
            lines.append(b"host: " + request.upstream.encode())
        lines.append(b"%b: %d" % (self._names.timeout, remaining_ms))
        if self._names.instance and request.instance:
            lines.append(
                self._names.instance + b": " + request.instance.encode()
            )
        if request.body_bytes or request.method not in (b"GET", b"HEAD"):
            lines.append(b"content-length: %d" % request.body_bytes)
        lines.append(b"\r\n")
        return b"\r\n".join(lines)
