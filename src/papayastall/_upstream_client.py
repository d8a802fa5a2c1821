"""Speaks HTTP/1.1 to the upstreams that this node owns.

Connections are held here, per upstream, and reused for lookups only. A
non-idempotent request gets a fresh connection: a reused one that closes
before the answer can't be told from a request that ran.
"""

from __future__ import annotations

import anyio
import msgspec

from papayastall import _decision_types
from papayastall import _upstream_connection
from papayastall import clock
from papayastall import http_names

__all__ = [
    "NOT_RUN_OUTCOMES",
    "AnswerSink",
    "UpstreamClient",
    "UpstreamRequest",
]

MAX_IDLE_CONNECTIONS = 8
MAX_HELD_ANSWER_BYTES = 64 << 10
"""Answers up to this size are passed on whole, so that one that breaks off
can still be replaced by another attempt or an error."""
IDLE_CLOSE_S = 0.02
"""The close of an idle connection is seen within a round trip on the same
VM; one that ends later ended while the request was worked on."""
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
    """A whole request as it goes to an upstream.

    :param upstream: its address, ``ip:port``.
    :param instance: the start of it that may run the request, or "".
    """

    upstream: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    idempotent: bool
    instance: str = ""


class _DeadlinePassed(Exception):
    """The deadline passed before anything was handed over."""


class AnswerSink:
    """Takes an answer as it arrives; the owner overrides both methods.

    :ivar started: whether the head of an answer came.
    """

    started = False

    async def send_head(self, status: int, headers: Headers) -> None:
        """Take the status and the headers."""

    async def send_chunk(self, data: bytes) -> None:
        """Take a part of the body; may wait for the reader."""


class UpstreamClient:
    """Runs requests at upstreams and says how each ended.

    :param names: of the headers that are set and read here.
    """

    def __init__(
        self, names: http_names.HeaderNames = http_names.HeaderNames()
    ) -> None:
        self._names = names
        self._idle: dict[
            str, list[_upstream_connection.UpstreamConnection]
        ] = {}
        self._own_headers = HOP_HEADERS | {names.timeout, names.instance}

    async def close(self) -> None:
        """Close all idle connections."""
        for upstream in list(self._idle):
            self.forget(upstream)

    def forget(self, upstream: str) -> None:
        """Close the idle connections of an upstream that is gone."""
        for connection in self._idle.pop(upstream, []):
            connection.close()

    async def run(
        self, request: UpstreamRequest, timeout_s: float, sink: AnswerSink
    ) -> _decision_types.Outcome:
        """Run a request and pass the answer to ``sink``.

        :param timeout_s: time that is left until its deadline.
        :returns: how it ended; only those of ``NOT_RUN_OUTCOMES`` say that
            it did not run.
        """
        if timeout_s <= 0:
            return Outcome.EXPIRED
        deadline_s = clock.now_s() + timeout_s
        with anyio.move_on_after(timeout_s):
            reused = self._take(request)
            if reused is None:
                return await self._run_fresh(request, deadline_s, sink)
            sent_s = clock.now_s()
            outcome = await self._run_on(reused, request, deadline_s, sink)
            was_idle = clock.now_s() - sent_s < IDLE_CLOSE_S
            if outcome is Outcome.BROKEN and was_idle and not sink.started:
                # Closed when idle, or dead at work: a fresh connection
                # tells, but can't make the first try "not run".
                outcome = await self._run_fresh(request, deadline_s, sink)
                if outcome in NOT_RUN_OUTCOMES:
                    return Outcome.BROKEN
            return outcome
        return Outcome.TIMED_OUT

    def _take(
        self, request: UpstreamRequest
    ) -> _upstream_connection.UpstreamConnection | None:
        idle = self._idle.get(request.upstream)
        while idle and request.idempotent:
            connection = idle.pop()
            if connection.is_reusable():
                return connection
            connection.close()
        return None

    async def _run_fresh(
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
    ) -> _decision_types.Outcome:
        answer: _upstream_connection.UpstreamAnswer | None = None
        try:
            data = self._build(request, deadline_s)
            is_head = request.method == b"HEAD"
            answer = await connection.send(data, is_head)
            outcome = await self._pass_on(connection, request, answer, sink)
        except _DeadlinePassed:
            outcome = Outcome.EXPIRED
        except _upstream_connection.AnswerBroken:
            outcome = Outcome.BROKEN
        finally:
            self._give_back(connection, request, answer)
        return outcome

    async def _pass_on(
        self,
        connection: _upstream_connection.UpstreamConnection,
        request: UpstreamRequest,
        answer: _upstream_connection.UpstreamAnswer,
        sink: AnswerSink,
    ) -> _decision_types.Outcome:
        if not self._is_own(request, answer):
            answer.keeps_alive = False
            return Outcome.BROKEN
        not_run = self._says_not_run(answer)
        headers = [
            (name, value)
            for name, value in answer.headers
            if name == b"content-length" or name not in HOP_HEADERS
        ]
        held: list[bytes] | None = []
        held_bytes = 0
        async for data in connection.read(answer):
            if not_run:
                continue
            if held is None:
                await sink.send_chunk(data)
                continue
            held.append(data)
            held_bytes += len(data)
            if held_bytes > MAX_HELD_ANSWER_BYTES:
                await self._start(sink, answer.status, headers, held)
                held = None
        if not_run:
            return Outcome.SHED
        if held is not None:
            await self._start(sink, answer.status, headers, held)
        return Outcome.FAILED if answer.status >= 500 else Outcome.ANSWERED

    async def _start(
        self,
        sink: AnswerSink,
        status: int,
        headers: Headers,
        held: list[bytes],
    ) -> None:
        sink.started = True
        await sink.send_head(status, headers)
        if held:
            await sink.send_chunk(b"".join(held))

    def _is_own(
        self,
        request: UpstreamRequest,
        answer: _upstream_connection.UpstreamAnswer,
    ) -> bool:
        """Return whether an answer is to this request, and as it was asked.

        An upstream may send a second answer late, where the next one is
        expected.
        """
        if answer.find(b"content-encoding") is not None:
            return False
        name = self._names.request_id
        if not name:
            return True
        echoed = answer.find(name)
        sent = [value for key, value in request.headers if key == name]
        return echoed is None or not sent or echoed == sent[0]

    def _says_not_run(
        self, answer: _upstream_connection.UpstreamAnswer
    ) -> bool:
        if answer.status == WRONG_INSTANCE_STATUS:
            return True
        if answer.status not in NOT_RUN_STATUSES:
            return False
        value = answer.find(self._names.not_run)
        if value is None:
            return False
        return self._names.not_run_value in (b"", value)

    def _give_back(
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

    def _build(self, request: UpstreamRequest, deadline_s: float) -> bytes:
        """Return the bytes of a request, with the time that is left.

        A process that was stopped while it connected must not hand over a
        request whose caller has long been answered.
        """
        remaining_ms = int((deadline_s - clock.now_s()) * 1000)
        if remaining_ms <= 0:
            raise _DeadlinePassed
        lines = [request.method + b" " + request.target + b" HTTP/1.1"]
        has_host = False
        for name, value in request.headers:
            if name in self._own_headers:
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
        if request.body or request.method not in (b"GET", b"HEAD"):
            lines.append(b"content-length: %d" % len(request.body))
        lines.append(b"\r\n")
        return b"\r\n".join(lines) + request.body
