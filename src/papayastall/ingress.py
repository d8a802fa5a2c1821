"""ASGI application (HTTP/1.1) that accepts requests from callers.

A request body is buffered completely, up to the size limit of its service,
before the request is forwarded to an owner. An incomplete request therefore
never runs, and a refused request can be forwarded to another owner. Answers
are streamed.
"""

from __future__ import annotations

import collections.abc as cabc
import itertools
import math
import typing as t

import anyio
import msgspec
import xxhash

from papayastall import _attempts
from papayastall import _decision_types
from papayastall import _exchange
from papayastall import _problem
from papayastall import _route_resolution
from papayastall import blackboard as blackboards
from papayastall import clock
from papayastall import documents
from papayastall import exceptions
from papayastall import histograms
from papayastall import http_names
from papayastall import logs
from papayastall import memory
from papayastall import metrics

__all__ = [
    "Ingress",
    "KeyClaimer",
    "KeyLease",
    "RecordedAnswer",
    "TeamQuotas",
    "scope_key",
]

MAX_TEAM_NAME_CHARS = 64
CLAIM_RETRY_AFTER_S = 1.0
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
MAX_IDEMPOTENCY_KEY_CHARS = 255
MAX_REQUEST_ID_CHARS = 64

Scope = dict[str, t.Any]
Receive = cabc.Callable[[], cabc.Awaitable[dict[str, t.Any]]]
Send = cabc.Callable[[dict[str, t.Any]], cabc.Awaitable[None]]
Headers = list[tuple[bytes, bytes]]
_Code = exceptions.ErrorCode
_Kind = _decision_types.RequestKind


class RecordedAnswer(msgspec.Struct, frozen=True):
    """The recorded answer of the first request with an idempotency key."""

    status: int
    headers: Headers
    body: bytes


class KeyClaimer(t.Protocol):
    """Interface for claiming idempotency keys before forwarding requests."""

    async def claim(
        self, key: str, fingerprint: int, deadline_s: float
    ) -> str | RecordedAnswer:
        """Claim a key durably and return the claim's token.

        :param key: from :func:`scope_key`.
        :returns: the token, or the recorded answer if a request with this
            key has already been answered.
        :raises papayastall.exceptions.PapayastallError: another request
            uses the key, or it can't be claimed; this request did not run.
        """

    async def release(self, key: str, token: str) -> None:
        """Release the key of a request that did not run."""


class KeyLease(t.Protocol):
    """Interface for checking that no key may have been removed unnoticed."""

    def check(self) -> None:
        """Return if the keys in force here may be accepted at this moment.

        :raises papayastall.exceptions.RefusedError: a change that removed a
            key may have been acknowledged too long ago.
        """


class TeamQuotas(t.Protocol):
    """Interface for counting requests against the quotas of teams."""

    async def admit(self, team: str, deadline_s: float) -> None:
        """Count a request, which is about to be forwarded.

        :param deadline_s: time by which the request must be answered.
        :raises papayastall.exceptions.RefusedError: the quota is used up,
            or this node can't tell.
        """


class _NoKeyLease:
    def check(self) -> None:
        return


class _NoQuotas:
    async def admit(self, team: str, deadline_s: float) -> None:
        return


def scope_key(service: str, team: str, key: str) -> str:
    """Return an idempotency key that is scoped to a service and a team.

    The separator is a line feed, which none of the parts can contain.
    """
    return "\n".join((service, team, key))


async def _assume_latest() -> bool:
    return True


class Ingress:
    """ASGI application that answers callers; one instance per node.

    :param is_ready: returns whether the node's configuration is known to
        be recent enough to route requests.
    :param claims: claims idempotency keys; with ``None``, requests that
        need a claim are refused.
    :param record_sample: called with the timings of each request that was
        answered completely.
    :param names: names of the headers that the ingress reads and sets.
    :param local_service: service that runs on this VM and sends its
        requests through this node.
    :param explain_config: returns the state of the config, for the log lines
        of requests that are refused before they are forwarded.
    :param is_latest: returns whether no later configuration than the one in
        force here has been accepted, as far as control can be asked.
    :param key_lease: checked for each request that shows a key; with
        ``None``, keys in force here are always accepted.
    :param quotas: of the teams whose keys callers show.
    :param pipelines_lookups: whether the lookups of one connection may run
        side by side.
    :ivar open_requests: number of requests being handled.
    """

    def __init__(
        self,
        blackboard: blackboards.Blackboard,
        is_ready: cabc.Callable[[], bool],
        attempts: _attempts.AttemptSender,
        counters: metrics.Metrics,
        claims: KeyClaimer | None = None,
        record_sample: cabc.Callable[
            [histograms.Sample], None
        ] = lambda sample: None,
        names: http_names.HeaderNames = http_names.HeaderNames(),
        local_service: str = "",
        explain_config: cabc.Callable[[], dict[str, float]] = dict,
        is_latest: cabc.Callable[[], cabc.Awaitable[bool]] = _assume_latest,
        key_lease: KeyLease | None = None,
        quotas: TeamQuotas = _NoQuotas(),
        pipelines_lookups: bool = False,
    ) -> None:
        self._pipelines_lookups = pipelines_lookups
        self._names = names
        self._local_service = local_service
        self._blackboard = blackboard
        self._is_ready = is_ready
        self._attempts = attempts
        self._counters = counters
        self._claims = claims
        self._record_sample = record_sample
        self._explain_config = explain_config
        self._is_latest = is_latest
        self._key_lease = key_lease or _NoKeyLease()
        self._quotas = quotas
        self._request_ids = itertools.count(1)
        self.open_requests = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request (the ASGI entry point)."""
        if scope["type"] != "http":
            return
        self.open_requests += 1
        try:
            await self._answer(scope, receive, send)
        finally:
            self.open_requests -= 1

    async def _answer(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        started_s = clock.now_s()
        reply = _Reply(
            send, self._blackboard, self._names.retry_after_fractions
        )
        try:
            exchange = await self._read(scope, receive, started_s)
        except exceptions.PapayastallError as error:
            self._log_unread(scope, error, started_s)
            await reply.send_problem(_problem.problem_of(error))
            return
        try:
            self._count(metrics.Counter.REQUESTS, exchange)
            if await self._claim(scope, exchange, reply):
                return
            await self._run(exchange, receive, reply)
        except exceptions.PapayastallError as error:
            await reply.send_problem(_problem.problem_of(error))
            return
        if exchange.chosen is not None and exchange.chosen.complete:
            self._count(metrics.Counter.ANSWERS, exchange)
            total_ms = (clock.now_s() - exchange.started_s) * 1000
            self._record_sample(_make_sample(exchange, total_ms))

    def _log_unread(
        self,
        scope: Scope,
        error: exceptions.PapayastallError,
        started_s: float,
    ) -> None:
        """Log a request that is refused before it is forwarded."""
        logs.log_request(
            logs.RequestEvent.REFUSED,
            self._read_request_id(scope),
            code=error.code.value,
            cause=error.message,
            age_ms=round((clock.now_s() - started_s) * 1000, 1),
            caller=scope.get("client", ("",))[0],
            **self._explain_config(),
        )

    def _count(
        self, counter: metrics.Counter, exchange: _exchange.Exchange
    ) -> None:
        self._counters.count(counter, service=exchange.request.service)

    async def _read(
        self, scope: Scope, receive: Receive, started_s: float
    ) -> _exchange.Exchange:
        if not self._is_ready():
            raise _not_ready("the configuration here is not confirmed")
        target = await self._resolve(scope)
        if self._pipelines_lookups and await _order(scope, target):
            # The configuration may have changed during the wait.
            started_s = clock.now_s()
            target = await self._resolve(scope)
        if target.team:
            self._key_lease.check()
        deadline_s = started_s + self._read_timeout_s(scope)
        body_since_s = clock.now_s()
        body = await _read_body(
            scope, receive, target.max_body_bytes, deadline_s
        )
        # The route's timeout is for what callers wait once they have sent.
        body_s = clock.now_s() - body_since_s
        deadline_s = min(
            deadline_s, started_s + body_s + target.timeout_ms / 1000
        )
        method = scope["method"].encode()
        full_path = _read_full_path(scope)
        digest = xxhash.xxh3_64()
        for part in (target.service.encode(), method, full_path, body):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        request = _decision_types.IngressRequest(
            request_id=next(self._request_ids),
            service=target.service,
            route=target.route,
            team=_read_team(scope, target),
            kind=target.kind,
            deadline_s=deadline_s,
            fingerprint=digest.intdigest() >> 1,
            max_attempts=target.max_attempts,
            rank=target.rank,
            objective_s=_ms_to_s(target.objective_ms),
        )
        if target.team:
            await self._quotas.admit(target.team, request.deadline_s)
        return _exchange.Exchange(
            request,
            method,
            full_path,
            self._make_headers(scope, target),
            body,
            key_use=target.key_use,
            name=self._read_request_id(scope),
            started_s=started_s,
        )

    async def _resolve(self, scope: Scope) -> _route_resolution.ResolvedRoute:
        """Return the route of a request.

        That there is none, or no such key, is answered only by a node whose
        configuration is the latest one: it may just have been added.
        """
        try:
            return self._find_route(scope)
        except exceptions.RefusedError as error:
            if error.code not in _route_resolution.UNCERTAIN_CODES:
                raise
        if not await self._is_latest():
            raise _not_ready(
                "there is no such route or key in the configuration of this "
                "node, which may not be the latest"
            )
        return self._find_route(scope)

    def _find_route(self, scope: Scope) -> _route_resolution.ResolvedRoute:
        path = scope["raw_path"].decode("latin-1")
        host = (_find_header(scope, b"host") or b"").decode("latin-1")
        return _route_resolution.resolve(
            self._blackboard,
            scope["method"],
            host,
            path,
            self._read_key(scope),
        )

    def _read_key(self, scope: Scope) -> bytes | None:
        """Return the key that the caller shows; ``None`` unless it is one."""
        name = self._names.key
        keys = [value for key, value in scope["headers"] if key == name]
        return t.cast(bytes, keys[0]) if name and len(keys) == 1 else None

    def _read_request_id(self, scope: Scope) -> str:
        """Return the caller's request id; "" if it sent none."""
        if not self._names.request_id:
            return ""
        value = _find_header(scope, self._names.request_id) or b""
        return value.decode("latin-1")[:MAX_REQUEST_ID_CHARS]

    def _make_headers(
        self, scope: Scope, target: _route_resolution.ResolvedRoute
    ) -> Headers:
        """Return the headers to forward to an upstream.

        Headers of the caller that only the fleet may set are replaced.
        """
        names = self._names
        added: Headers = []
        replaced = {names.caller_service}
        if names.caller_service:
            service = self._local_service.encode()
            added.append((names.caller_service, service))
        if target.hides_keys:
            replaced |= {names.key, names.team}
            if target.team and names.team:
                added.append((names.team, target.team.encode()))
        headers = [
            pair for pair in scope["headers"] if pair[0] not in replaced
        ]
        return headers + added

    def _read_timeout_s(self, scope: Scope) -> float:
        """Return how long the caller says it waits; infinite by default."""
        text = _find_header(scope, self._names.timeout)
        if text is None:
            return math.inf
        if not text.isdigit() or len(text) > 9 or int(text) == 0:
            raise exceptions.RefusedError(
                _Code.BAD_REQUEST,
                f"{self._names.timeout.decode()} must be a number of "
                "milliseconds",
                step="read",
            )
        return int(text) / 1000

    async def _claim(
        self, scope: Scope, exchange: _exchange.Exchange, reply: _Reply
    ) -> bool:
        """Claim the idempotency key of a request, if it needs a claim.

        :returns: whether the recorded answer of an earlier request with
            the same key was sent, so that this one must not run.
        """
        key = _read_idempotency_key(scope)
        use = exchange.key_use
        if use is documents.IdempotencyKeyUse.REQUIRED and not key:
            raise exceptions.RefusedError(
                _Code.BAD_REQUEST,
                "this request needs an Idempotency-Key header",
                step="claim",
            )
        if not key or use is documents.IdempotencyKeyUse.IGNORED:
            return False
        if exchange.request.kind is _Kind.LOOKUP:
            return False
        if self._claims is None:
            raise exceptions.RefusedError(
                _Code.CLAIM_UNAVAILABLE,
                "idempotency keys can't be claimed at present",
                step="claim",
                retry_after_s=CLAIM_RETRY_AFTER_S,
            )
        request = exchange.request
        scoped_key = scope_key(request.service, request.team, key)
        result = await self._claims.claim(
            scoped_key, request.fingerprint, request.deadline_s
        )
        if isinstance(result, RecordedAnswer):
            self._count(metrics.Counter.CLAIM_REPEATS, exchange)
            await reply.start(result.status, result.headers)
            await reply.finish(result.body)
            return True
        self._count(metrics.Counter.CLAIMS, exchange)
        exchange.claim_key = scoped_key
        exchange.claim_token = result
        return False

    async def _run(
        self, exchange: _exchange.Exchange, receive: Receive, reply: _Reply
    ) -> None:
        self._attempts.open(exchange)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._cancel_on_disconnect,
                    exchange,
                    receive,
                    tasks.cancel_scope,
                )
                await exchange.wait_for_outcome()
                if exchange.refusal is not None:
                    await self._refuse(exchange, exchange.refusal, reply)
                else:
                    await self._relay(exchange, reply)
                tasks.cancel_scope.cancel()
        except* exceptions.OutcomeUnknownError as group:
            raise _Aborted from group
        finally:
            self._attempts.close(exchange)
            # Cancelled tasks may refer to the exchange for some time.
            exchange.body = b""

    async def _cancel_on_disconnect(
        self,
        exchange: _exchange.Exchange,
        receive: Receive,
        scope: anyio.CancelScope,
    ) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self._count(metrics.Counter.CANCELLED, exchange)
        scope.cancel()

    async def _refuse(
        self,
        exchange: _exchange.Exchange,
        refusal: _decision_types.RefuseRequest,
        reply: _Reply,
    ) -> None:
        not_run = refusal.ran is exceptions.RanState.NO
        if not_run and exchange.claim_token and self._claims is not None:
            await self._claims.release(
                exchange.claim_key, exchange.claim_token
            )
        detail = "the request did not run"
        counter = metrics.Counter.REFUSALS
        if not not_run:
            counter = metrics.Counter.UNKNOWN_OUTCOMES
            detail = "the request may have run; ask before sending it again"
        self._count(counter, exchange)
        if refusal.code is _Code.CRASHING_REQUEST:
            self._count(metrics.Counter.CRASHING_REFUSALS, exchange)
        await reply.send_problem(
            _problem.Problem(
                refusal.code,
                detail,
                "forward",
                refusal.ran,
                None,
                refusal.retry_after_s,
            )
        )

    async def _relay(
        self, exchange: _exchange.Exchange, reply: _Reply
    ) -> None:
        attempt = exchange.chosen
        assert attempt is not None
        assert attempt.head is not None
        assert attempt.exchange is exchange, (
            "answer belongs to another request"
        )
        headers = [*attempt.head.headers]
        if self._names.owner:
            headers.append((self._names.owner, attempt.owner.encode()))
        await reply.start(attempt.head.status, headers)
        relayed_bytes = 0
        acknowledged_bytes = 0
        while (data := await exchange.next_chunk()) is not None:
            await reply.send_chunk(data)
            relayed_bytes += len(data)
            if relayed_bytes - acknowledged_bytes >= min(
                _attempts.CREDIT_INTERVAL_BYTES, attempt.window_bytes // 2
            ):
                acknowledged_bytes = relayed_bytes
                self._attempts.acknowledge(attempt, relayed_bytes)
        await reply.finish(b"")


def _make_sample(
    exchange: _exchange.Exchange, total_ms: float
) -> histograms.Sample:
    attempt = exchange.chosen
    assert attempt is not None
    request = exchange.request
    return histograms.Sample(
        service=request.service,
        kind=request.kind,
        team=request.team,
        added_ms=max(0.0, total_ms - attempt.upstream_ms),
        waiting_ms=attempt.waiting_ms,
        upstream_ms=attempt.upstream_ms,
    )


class _Aborted(Exception):
    """Raised so that the HTTP server closes the caller's connection.

    Used when an answer that was started can't be completed.
    """


class _Reply:
    """The answer to one request, sent through an ASGI ``send`` callable.

    :ivar status: HTTP status that was sent; 0 before that.
    """

    def __init__(
        self,
        send: Send,
        blackboard: blackboards.Blackboard,
        retry_after_fractions: bool,
    ) -> None:
        self._send = send
        self._blackboard = blackboard
        self._retry_after_fractions = retry_after_fractions
        self.status = 0

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status line and the headers."""
        self.status = status
        if self._blackboard.stopping:
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the body; wait while the caller reads slowly."""
        message = {"type": "http.response.body", "body": data}
        await self._send({**message, "more_body": True})

    async def finish(self, data: bytes) -> None:
        """Send the last chunk of the body."""
        await self._send({"type": "http.response.body", "body": data})

    async def send_problem(self, problem: _problem.Problem) -> None:
        """Send an error as the complete answer.

        :raises _Aborted: an answer was started before.
        """
        if self.status:
            raise _Aborted(problem.detail)
        body = problem.body()
        headers = problem.headers(fractions=self._retry_after_fractions)
        headers.append((b"content-length", str(len(body)).encode()))
        await self.start(problem.status, headers)
        await self.finish(body)


async def _order(
    scope: Scope, target: _route_resolution.ResolvedRoute
) -> bool:
    """Let the next request of a connection begin, or wait for the earlier.

    :returns: whether it waited.
    :raises papayastall.exceptions.RefusedError: the connection was closed.
    """
    pipeline = scope.get("pipeline")
    if pipeline is None:
        return False
    if target.kind is _Kind.LOOKUP:
        pipeline.allow_next()
        return False
    if not pipeline.has_earlier:
        return False
    await pipeline.wait_for_turn()
    return True


async def _read_body(
    scope: Scope, receive: Receive, limit_bytes: int, deadline_s: float
) -> bytes:
    """Read a whole body.

    The server refuses one that makes no progress.

    :param deadline_s: time after which the caller no longer waits.
    :raises papayastall.exceptions.RefusedError: it is too large, or does not
        arrive whole in time.
    """
    length = _find_header(scope, b"content-length")
    if length is not None and int(length) > limit_bytes:
        raise _body_too_large(limit_bytes)
    body = memory.BodyBuffer()
    with anyio.move_on_after(deadline_s - clock.now_s()):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise exceptions.RefusedError(
                    _Code.CANCELLED,
                    "the caller left before its body was whole",
                    step="read",
                )
            body.add(message.get("body", b""))
            if body.size > limit_bytes:
                raise _body_too_large(limit_bytes)
            if not message.get("more_body", False):
                return body.take()
    raise exceptions.RefusedError(
        _Code.BODY_TOO_SLOW,
        "the body did not arrive whole in the time that the caller waits",
        step="read",
    )


def _not_ready(message: str) -> exceptions.RefusedError:
    return exceptions.RefusedError(
        _Code.NOT_READY,
        message,
        step="route",
        retry_after_s=_route_resolution.NOT_READY_RETRY_AFTER_S,
    )


def _ms_to_s(time_ms: int | None) -> float | None:
    return None if time_ms is None else time_ms / 1000


def _body_too_large(limit_bytes: int) -> exceptions.RefusedError:
    return exceptions.RefusedError(
        _Code.BODY_TOO_LARGE,
        f"the body is over {limit_bytes} bytes; send less",
        step="read",
    )


def _find_header(scope: Scope, name: bytes) -> bytes | None:
    for key, value in scope["headers"]:
        if key == name:
            return t.cast(bytes, value)
    return None


def _read_full_path(scope: Scope) -> bytes:
    target: bytes = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    return target


def _read_team(scope: Scope, target: _route_resolution.ResolvedRoute) -> str:
    if target.team:
        return target.team
    if not target.team_header:
        return ""
    text = _find_header(scope, target.team_header)
    return (text or b"").decode("latin-1")[:MAX_TEAM_NAME_CHARS]


def _read_idempotency_key(scope: Scope) -> str:
    text = (_find_header(scope, IDEMPOTENCY_KEY_HEADER) or b"").decode(
        "latin-1"
    )
    if len(text) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise exceptions.RefusedError(
            _Code.BAD_REQUEST,
            f"Idempotency-Key is over {MAX_IDEMPOTENCY_KEY_CHARS} characters",
            step="read",
        )
    return text
