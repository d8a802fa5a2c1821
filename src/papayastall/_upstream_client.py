"""Speaks HTTP/1.1 to the upstreams that this node owns.

Connections are held here, per upstream, and reused for lookups only. A
non-idempotent request gets a fresh connection: a reused one that closes
before the answer can't be told from a request that ran.
"""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import dataclasses

import anyio
import httpcore

from papayastall import _decision_types

__all__ = [
    "NOT_RUN_HEADER",
    "TIMEOUT_HEADER",
    "AnswerSink",
    "UpstreamClient",
    "UpstreamRequest",
]

TIMEOUT_HEADER = b"papayastall-timeout-ms"
NOT_RUN_HEADER = b"papayastall-ran"
HAND_OVER_EVENT = "http11.send_request_headers.started"
BODY_EVENT = "http11.send_request_body.started"
MAX_IDLE_CONNECTIONS = 16
CONNECT_TIMEOUT_S = 1.0

HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        b"content-length",
        TIMEOUT_HEADER,
    )
)

Headers = list[tuple[bytes, bytes]]
Outcome = _decision_types.Outcome


@dataclasses.dataclass(slots=True)
class UpstreamRequest:
    """A whole request as it goes to an upstream."""

    upstream: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    idempotent: bool


class _DeadlinePassed(Exception):
    """The deadline passed before anything was handed over."""


class _BodyHeldBack(Exception):
    """The deadline passed before the body followed the headers."""


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
    """Runs requests at upstreams and says how each ended."""

    def __init__(self) -> None:
        self._idle: dict[str, list[httpcore.AsyncHTTPConnection]] = {}

    async def close(self) -> None:
        """Close all idle connections."""
        for upstream in list(self._idle):
            await self.forget(upstream)

    async def forget(self, upstream: str) -> None:
        """Close the idle connections of an upstream that is gone."""
        for connection in self._idle.pop(upstream, []):
            await _close(connection)

    async def run(
        self, request: UpstreamRequest, timeout_s: float, sink: AnswerSink
    ) -> _decision_types.Outcome:
        """Run a request and pass the answer to ``sink``.

        :param timeout_s: time that is left until its deadline.
        :returns: how it ended; only ``SHED`` and ``CONNECT_FAILED`` say
            that it did not run.
        """
        if timeout_s <= 0:
            return Outcome.CONNECT_FAILED
        with anyio.move_on_after(timeout_s) as scope:
            connection, reused = self._take(request)
            outcome = await self._run_on(
                connection, request, scope.deadline, sink
            )
            if outcome is Outcome.BROKEN and reused and not sink.started:
                # Closed when idle, or dead at work: a fresh connection
                # tells, but can't make the first try "not run".
                outcome = await self._run_on(
                    self._open(request), request, scope.deadline, sink
                )
                if outcome in (Outcome.CONNECT_FAILED, Outcome.SHED):
                    return Outcome.BROKEN
            return outcome
        return Outcome.TIMED_OUT

    def _take(
        self, request: UpstreamRequest
    ) -> tuple[httpcore.AsyncHTTPConnection, bool]:
        idle = self._idle.get(request.upstream)
        while idle and request.idempotent:
            connection = idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection, True
        return self._open(request), False

    def _open(self, request: UpstreamRequest) -> httpcore.AsyncHTTPConnection:
        host, _, port = request.upstream.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        return httpcore.AsyncHTTPConnection(origin)

    async def _run_on(
        self,
        connection: httpcore.AsyncHTTPConnection,
        request: UpstreamRequest,
        deadline_s: float,
        sink: AnswerSink,
    ) -> _decision_types.Outcome:
        try:
            response = await connection.handle_async_request(
                _build_request(request, deadline_s)
            )
            shed = response.status == 503 and _says_not_run(response.headers)
            if not shed:
                sink.started = True
                await sink.send_head(
                    response.status, _keep_answer_headers(response.headers)
                )
            async for data in _iterate(response):
                if data and not shed:
                    await sink.send_chunk(data)
            await response.aclose()
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            _DeadlinePassed,
        ):
            return Outcome.CONNECT_FAILED
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return Outcome.BROKEN
        except (httpcore.TimeoutException, _BodyHeldBack):
            return Outcome.TIMED_OUT
        finally:
            await self._give_back(connection, request)
        if shed:
            return Outcome.SHED
        return Outcome.FAILED if response.status >= 500 else Outcome.ANSWERED

    async def _give_back(
        self,
        connection: httpcore.AsyncHTTPConnection,
        request: UpstreamRequest,
    ) -> None:
        idle = self._idle.setdefault(request.upstream, [])
        if connection.is_available() and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            await _close(connection)


def _build_request(
    request: UpstreamRequest, deadline_s: float
) -> httpcore.Request:
    remaining_ms = max(0, int((deadline_s - anyio.current_time()) * 1000))
    headers = _keep_headers(request.headers)
    headers.append((b"host", request.upstream.encode()))
    headers.append((TIMEOUT_HEADER, str(remaining_ms).encode()))
    if request.body or request.method not in (b"GET", b"HEAD"):
        length = str(len(request.body)).encode()
        headers.append((b"content-length", length))
    host, _, port = request.upstream.rpartition(":")
    url = httpcore.URL(
        scheme=b"http",
        host=host.encode(),
        port=int(port),
        target=request.target,
    )

    async def check_deadline(event: str, _info: object) -> None:
        # A process that was stopped while it connected must not hand over
        # a request whose caller has long been answered.
        if event not in (HAND_OVER_EVENT, BODY_EVENT):
            return
        if anyio.current_time() <= deadline_s:
            return
        if event == HAND_OVER_EVENT:
            raise _DeadlinePassed
        if request.body:
            raise _BodyHeldBack

    extensions = {
        "timeout": {"connect": CONNECT_TIMEOUT_S},
        "trace": check_deadline,
    }
    return httpcore.Request(
        request.method,
        url,
        headers=headers,
        content=request.body,
        extensions=extensions,
    )


def _keep_headers(headers: cabc.Iterable[tuple[bytes, bytes]]) -> Headers:
    return [pair for pair in headers if pair[0].lower() not in HOP_HEADERS]


def _keep_answer_headers(
    headers: cabc.Iterable[tuple[bytes, bytes]],
) -> Headers:
    """Keep the length too, so that a short answer is noticed."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() == b"content-length" or name.lower() not in HOP_HEADERS
    ]


def _says_not_run(headers: cabc.Iterable[tuple[bytes, bytes]]) -> bool:
    return any(
        name.lower() == NOT_RUN_HEADER and value == b"no"
        for name, value in headers
    )


async def _iterate(response: httpcore.Response) -> cabc.AsyncIterator[bytes]:
    async for data in response.aiter_stream():
        yield data


async def _close(connection: httpcore.AsyncHTTPConnection) -> None:
    with anyio.CancelScope(shield=True), anyio.move_on_after(0.5):
        with contextlib.suppress(Exception):
            await connection.aclose()
