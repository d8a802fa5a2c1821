"""Forwarding of requests to owners, and handling of the owners' frames."""

from __future__ import annotations

import collections
import collections.abc as cabc
import itertools
import random

import anyio
import anyio.abc

from papayastall import _body_transfer
from papayastall import _decision_types
from papayastall import _exchange
from papayastall import _frames
from papayastall import _ingress_controller
from papayastall import _links
from papayastall import clock
from papayastall import exceptions
from papayastall import logs
from papayastall import memory
from papayastall import metrics

__all__ = ["AttemptSender"]

TICK_INTERVAL_S = 0.05
IDLE_TICK_INTERVAL_S = 0.25
REDIAL_INTERVAL_S = 1.0
"""Time between two attempts to reopen the link to an owner."""
MIN_FAILURE_STATUS = 500
"""Answers with this status or above count as failures of the upstream."""
DEADLINE_GRACE_S = 1.0
PING_INTERVAL_S = 0.25
CREDIT_INTERVAL_BYTES = 64 << 10
MAX_ANSWER_WINDOW_BYTES = 256 << 10
"""Unacknowledged bytes of an answer, once its caller reads it."""
ANSWER_WINDOW_BYTES = 64 << 10
"""The same before that: most answers fit in, so that their upstream does not
wait for their callers."""
MIN_ANSWER_WINDOW_BYTES = 16 << 10
"""The same while memory for answers is short."""

Actions = cabc.Sequence[_decision_types.IngressAction]
_Code = exceptions.ErrorCode
_Result = _decision_types.AttemptResult


class AttemptSender:
    """Carries out the ingress controller's decisions over the links.

    One attempt is one request forwarded to one owner; a request may have
    several attempts at the same time.

    :param rng: yields the first wire id; the others count up from it.
    :param address: link address of this node.
    :param account: books the answers that owners may send.
    """

    def __init__(
        self,
        links: _links.Links,
        controller: _ingress_controller.IngressController,
        rng: random.Random,
        counters: metrics.Metrics,
        address: str = "",
        account: memory.MemoryAccount | None = None,
    ) -> None:
        self._address = address
        self._account = account
        self._counters = counters
        self.controller = controller
        self._links = links
        self._wire_ids = itertools.count(rng.getrandbits(48) + 1)
        self._exchanges: dict[int, _exchange.Exchange] = {}
        self._attempts: dict[int, _exchange.Attempt] = {}
        # Attempts whose body is being sent, by owner.
        self._bodies: dict[str, dict[int, _exchange.Attempt]] = {}
        self._down_peers: dict[str, float] = {}
        self._pinged_s = 0.0
        self._tasks: anyio.abc.TaskGroup | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Register the frame handlers and run the timer loop in ``tasks``."""
        self._tasks = tasks
        links = self._links
        links.handle_frames(_frames.AnswerHead, self._receive_head)
        links.handle_frames(_frames.AnswerChunk, self._receive_chunk)
        links.handle_frames(_frames.Refuse, self._receive_refuse)
        links.handle_frames(_frames.Running, self._receive_running)
        links.handle_frames(_frames.LoadNotice, self._receive_load)
        links.handle_frames(_frames.BodyGrant, self._receive_grant)
        links.handle_events(self._receive_event)
        tasks.start_soon(self._tick)

    def open(self, exchange: _exchange.Exchange) -> None:
        """Start forwarding a request."""
        self._exchanges[exchange.request.request_id] = exchange
        now_s = clock.now_s()
        self.perform(self.controller.begin(now_s, exchange.request))

    def close(self, exchange: _exchange.Exchange) -> None:
        """Finish a request and cancel the attempts that are still open."""
        if exchange.chosen is None and exchange.refusal is None:
            self._log(
                logs.RequestEvent.CANCELLED,
                exchange,
                attempts_open=len(exchange.attempts),
            )
        request_id = exchange.request.request_id
        now_s = clock.now_s()
        self.perform(self.controller.caller_gone(now_s, request_id))
        self._exchanges.pop(request_id, None)
        for attempt in list(exchange.attempts.values()):
            self._cancel(attempt)
        if self._account is not None:
            answers = memory.MemoryClass.ANSWERS
            self._account.release(answers, exchange.booked_bytes)
            exchange.booked_bytes = 0

    def give_up(self) -> None:
        """Refuse all requests that have no answer yet."""
        self.perform(self.controller.give_up(clock.now_s()))

    def acknowledge(
        self, attempt: _exchange.Attempt, relayed_bytes: int
    ) -> None:
        """Acknowledge the bytes relayed so far, so the owner sends more.

        :param relayed_bytes: total of the answer's body, not an increment.
        """
        more = MAX_ANSWER_WINDOW_BYTES - attempt.window_bytes
        if more > 0 and self._book_answer(attempt.exchange, more):
            attempt.window_bytes += more
        credit = _frames.Credit(
            attempt.wire_id, relayed_bytes, False, attempt.window_bytes
        )
        self._links.send(attempt.owner, credit)

    def _book_answer(
        self, exchange: _exchange.Exchange, size_bytes: int
    ) -> bool:
        """Book memory for an answer, unless it is short."""
        account, answers = self._account, memory.MemoryClass.ANSWERS
        if account is not None:
            if account.is_near(answers):
                return False
            if not account.book(answers, size_bytes):
                return False
            exchange.booked_bytes += size_bytes
        return True

    def _open_window(self, exchange: _exchange.Exchange) -> int:
        """Return how much of an answer an owner may send at first."""
        if self._book_answer(exchange, ANSWER_WINDOW_BYTES):
            return ANSWER_WINDOW_BYTES
        assert self._account is not None
        self._account.charge(
            memory.MemoryClass.ANSWERS, MIN_ANSWER_WINDOW_BYTES
        )
        exchange.booked_bytes += MIN_ANSWER_WINDOW_BYTES
        return MIN_ANSWER_WINDOW_BYTES

    def perform(self, actions: Actions) -> None:
        """Carry out the controller's actions.

        Actions for requests that have been closed are ignored.
        """
        for action in actions:
            exchange = self._exchanges.get(action.request_id)
            if exchange is None:
                continue
            match action:
                case _decision_types.ForwardAttempt():
                    self._forward(exchange, action)
                case _decision_types.CancelAttempt():
                    attempt = exchange.attempts.get(action.attempt)
                    if attempt is not None:
                        self._cancel(attempt)
                case _decision_types.AnswerChosen():
                    assert exchange.chosen is None, "answer chosen twice"
                    exchange.chosen = exchange.attempts[action.attempt]
                    self._log_failure(exchange, exchange.chosen)
                    exchange.notify()
                case _decision_types.RefuseRequest():
                    self._log_refusal(exchange, action)
                    exchange.refusal = action
                    exchange.notify()

    def _forward(
        self,
        exchange: _exchange.Exchange,
        action: _decision_types.ForwardAttempt,
    ) -> None:
        attempt = _exchange.Attempt(
            next(self._wire_ids),
            exchange,
            action.attempt,
            action.owner,
            begun_s=clock.now_s(),
        )
        self._count_attempt(exchange, action)
        if exchange.tried:
            self._log_repeat(exchange, action)
        exchange.tried.append(action.owner)
        exchange.attempts[action.attempt] = attempt
        self._attempts[attempt.wire_id] = attempt
        self._links.watch(attempt.owner)
        if self._links.is_connected(attempt.owner):
            self._send_open(attempt, action)
        else:
            assert self._tasks is not None
            self._tasks.start_soon(self._connect_and_send, attempt, action)

    def _log_refusal(
        self,
        exchange: _exchange.Exchange,
        refusal: _decision_types.RefuseRequest,
    ) -> None:
        event = logs.RequestEvent.REFUSED
        if refusal.ran is exceptions.RanState.UNKNOWN:
            event = logs.RequestEvent.UNKNOWN
        self._log(
            event,
            exchange,
            code=refusal.code.value,
            retry_after_s=refusal.retry_after_s,
            **self._explain(exchange),
        )

    def _log_failure(
        self, exchange: _exchange.Exchange, attempt: _exchange.Attempt
    ) -> None:
        """Log an answer that relays a failure of the upstream."""
        if attempt.head is None or attempt.head.status < MIN_FAILURE_STATUS:
            return
        self._log(
            logs.RequestEvent.FAILED,
            exchange,
            status=attempt.head.status,
            owner=attempt.owner,
            attempt_ms=round((clock.now_s() - attempt.begun_s) * 1000, 1),
            **self._explain(exchange),
        )

    def _log_repeat(
        self,
        exchange: _exchange.Exchange,
        action: _decision_types.ForwardAttempt,
    ) -> None:
        cause = "no answer yet" if action.cause is None else action.cause.value
        self._log(
            logs.RequestEvent.REPEATED,
            exchange,
            attempt=action.attempt,
            cause=cause,
            beside=len(exchange.attempts),
            to=action.owner,
            reference_ms=action.reference_ms,
        )

    def _explain(self, exchange: _exchange.Exchange) -> dict[str, float]:
        return self.controller.explain(clock.now_s(), exchange.request.service)

    def _log(
        self,
        event: logs.RequestEvent,
        exchange: _exchange.Exchange,
        **fields: str | float | None,
    ) -> None:
        logs.log_request(
            event,
            exchange.name,
            service=exchange.request.service,
            route=exchange.request.route,
            age_ms=_age_ms(exchange),
            owners=" ".join(exchange.tried),
            **fields,
        )

    def _count_attempt(
        self,
        exchange: _exchange.Exchange,
        action: _decision_types.ForwardAttempt,
    ) -> None:
        service = exchange.request.service
        self._counters.count(metrics.Counter.ATTEMPTS, service=service)
        if exchange.attempts:
            self._counters.count(metrics.Counter.HEDGES, service=service)
        elif action.attempt > 1:
            self._counters.count(metrics.Counter.RETRIES, service=service)

    async def _connect_and_send(
        self,
        attempt: _exchange.Attempt,
        action: _decision_types.ForwardAttempt,
    ) -> None:
        try:
            await self._links.connect(attempt.owner)
        except exceptions.UnreachableError:
            self._mark_peer_down(attempt.owner)
            self._end(attempt, _Result.NOT_RUN, _Code.LINK_FAILED)
            return
        if attempt.wire_id in self._attempts:
            self._send_open(attempt, action)

    def _send_open(
        self,
        attempt: _exchange.Attempt,
        action: _decision_types.ForwardAttempt,
    ) -> None:
        request = attempt.exchange.request
        remaining_s = request.deadline_s - clock.now_s()
        if remaining_s <= 0:
            self._end(attempt, _Result.NOT_RUN, _Code.DEADLINE_EXCEEDED)
            return
        if self._links.is_congested(attempt.owner):
            self._end(attempt, _Result.NOT_RUN, _Code.LINK_FAILED)
            return
        attempt.owner_boot_id = self._links.boot_id(attempt.owner)
        frame = _make_open(attempt, action, remaining_s)
        attempt.window_bytes = self._open_window(attempt.exchange)
        frame.answer_window_bytes = attempt.window_bytes
        size = len(attempt.exchange.body)
        first_bytes = _body_transfer.FIRST_PART_BYTES
        if attempt.owner == self._address or size <= first_bytes:
            # Frames to this node itself are not encoded.
            frame.body = attempt.exchange.body
            self._links.send(attempt.owner, frame)
            return
        frame.body = attempt.exchange.body[:first_bytes]
        frame.body_follows = True
        is_granted = self._links.grants_bodies(attempt.owner)
        frame.body_bytes = size if is_granted else 0
        attempt.body = _body_transfer.BodySender(
            attempt.exchange.body, first_bytes, 0 if is_granted else size
        )
        self._links.send(attempt.owner, frame)
        self._bodies.setdefault(attempt.owner, {})[attempt.wire_id] = attempt
        self._send_bodies(attempt.owner)

    def _receive_grant(
        self, owner: str, boot_id: int, frame: _frames.BodyGrant
    ) -> None:
        attempt = self._find(owner, frame.request_id)
        if attempt is None or attempt.body is None:
            return
        if frame.resume_bytes >= 0:
            attempt.body.resume(frame.resume_bytes)
        attempt.body.extend(frame.limit_bytes)
        self._send_bodies(owner)

    def _send_bodies(self, owner: str) -> None:
        """Send parts of bodies to an owner in turn, while its link has room.

        It is called again when the owner asks for more, and when the link
        has room.
        """
        ready = collections.deque(
            (attempt.wire_id, attempt.body)
            for attempt in self._bodies.get(owner, {}).values()
            if attempt.body is not None and attempt.body.can_send
        )
        while ready and self._links.has_room(owner):
            wire_id, body = ready.popleft()
            offset, data, is_last = body.take()
            chunk = _frames.BodyChunk(wire_id, data, is_last, offset)
            self._links.send(owner, chunk)
            if body.can_send:
                ready.append((wire_id, body))

    def _cancel(self, attempt: _exchange.Attempt) -> None:
        if self._attempts.get(attempt.wire_id) is None:
            return
        self._remove(attempt)
        if attempt.owner_boot_id and not attempt.complete:
            cancel = _frames.Cancel(attempt.wire_id)
            self._links.send(attempt.owner, cancel)

    def _remove(self, attempt: _exchange.Attempt) -> None:
        del self._attempts[attempt.wire_id]
        if attempt.body is not None:
            attempt.body = None
            waiting = self._bodies[attempt.owner]
            del waiting[attempt.wire_id]
            if not waiting:
                del self._bodies[attempt.owner]
        attempt.exchange.attempts.pop(attempt.number, None)
        self._links.unwatch(attempt.owner)

    def _find(self, owner: str, wire_id: int) -> _exchange.Attempt | None:
        attempt = self._attempts.get(wire_id)
        if attempt is None or attempt.owner != owner:
            return None
        return attempt

    def _receive_head(
        self, owner: str, boot_id: int, frame: _frames.AnswerHead
    ) -> None:
        attempt = self._find(owner, frame.request_id)
        if attempt is None or attempt.head is not None:
            return
        # The head is not relayed before the first chunk: if the upstream
        # dies right after the head, a lookup can still be answered by
        # another upstream.
        attempt.head = frame

    def _start_answer(self, attempt: _exchange.Attempt) -> None:
        assert attempt.head is not None
        attempt.started = True
        self.perform(
            self.controller.answer_started(
                clock.now_s(),
                attempt.exchange.request.request_id,
                attempt.number,
                attempt.head.load,
                attempt.head.status,
            )
        )

    def _receive_chunk(
        self, owner: str, boot_id: int, frame: _frames.AnswerChunk
    ) -> None:
        attempt = self._find(owner, frame.request_id)
        if attempt is None:
            self._acknowledge_end(owner, frame.request_id, frame.last)
            return
        if attempt.head is None or frame.offset_bytes > (
            attempt.received_bytes
        ):
            # Chunks were lost with a link; the answer to the query on the
            # new link contains them.
            return
        if frame.offset_bytes < attempt.received_bytes:
            return
        if not attempt.started:
            self._start_answer(attempt)
            if attempt.wire_id not in self._attempts:
                # The controller chose another attempt's answer.
                return
        if frame.data:
            attempt.received_bytes += len(frame.data)
            attempt.chunks.append(frame.data)
        if frame.last:
            attempt.waiting_ms = frame.waiting_ms
            attempt.upstream_ms = frame.upstream_ms
            self._complete(attempt)
        attempt.exchange.notify()

    def _complete(self, attempt: _exchange.Attempt) -> None:
        assert attempt.head is not None
        attempt.complete = True
        self._acknowledge_end(attempt.owner, attempt.wire_id, True)
        self._remove(attempt)
        self._report_end(
            attempt,
            _Result.ANSWERED,
            status=attempt.head.status,
            load=attempt.head.load,
            run_ms=attempt.upstream_ms,
        )

    def _acknowledge_end(self, owner: str, wire_id: int, last: bool) -> None:
        if last:
            self._links.send(owner, _frames.Credit(wire_id, 1 << 62, True))

    def _receive_refuse(
        self, owner: str, boot_id: int, frame: _frames.Refuse
    ) -> None:
        self._acknowledge_end(owner, frame.request_id, True)
        attempt = self._find(owner, frame.request_id)
        if attempt is None:
            return
        result = _Result.UNKNOWN if frame.ran_unknown else _Result.NOT_RUN
        if attempt.head is not None:
            result = _Result.UNKNOWN
        retry_after_s = None
        if frame.retry_after_ms >= 0:
            retry_after_s = frame.retry_after_ms / 1000
        self._end(
            attempt, result, _read_code(frame), retry_after_s, frame.load
        )

    def _receive_load(
        self, owner: str, boot_id: int, frame: _frames.LoadNotice
    ) -> None:
        if frame.load is not None and frame.load.owner == owner:
            self.controller.note_load(clock.now_s(), frame.load)

    def _receive_running(
        self, owner: str, boot_id: int, frame: _frames.Running
    ) -> None:
        """Ignore the frame: the queried request is queued or running."""

    def _end(
        self,
        attempt: _exchange.Attempt,
        result: _decision_types.AttemptResult,
        code: exceptions.ErrorCode,
        retry_after_s: float | None = None,
        load: _decision_types.OwnerLoad | None = None,
    ) -> None:
        if attempt.wire_id not in self._attempts:
            return
        attempt.broken = True
        self._remove(attempt)
        self._report_end(
            attempt,
            result,
            code=code,
            retry_after_s=retry_after_s,
            load=load,
        )
        attempt.exchange.notify()

    def _report_end(
        self,
        attempt: _exchange.Attempt,
        result: _decision_types.AttemptResult,
        *,
        status: int | None = None,
        code: exceptions.ErrorCode | None = None,
        retry_after_s: float | None = None,
        load: _decision_types.OwnerLoad | None = None,
        run_ms: float = 0.0,
    ) -> None:
        outcome = _decision_types.AttemptOutcome(
            request_id=attempt.exchange.request.request_id,
            attempt=attempt.number,
            result=result,
            status=status,
            code=code,
            retry_after_s=retry_after_s,
            load=load,
            run_ms=run_ms,
        )
        self.perform(self.controller.attempt_ended(clock.now_s(), outcome))

    def _receive_event(self, peer: str, event: _links.LinkEvent) -> None:
        match event:
            case _links.LinkEvent.DOWN:
                self._mark_peer_down(peer)
                self._end_lookups(peer)
            case _links.LinkEvent.ALIVE:
                self.controller.peer_heard(clock.now_s(), peer)
            case _links.LinkEvent.REPLACED:
                self._mark_peer_up(peer)
                self._query_attempts(peer)
            case _links.LinkEvent.WRITABLE:
                self._send_bodies(peer)

    def _mark_peer_down(self, peer: str) -> None:
        self._down_peers.setdefault(peer, clock.now_s())
        self.controller.link_failed(clock.now_s(), peer)

    def _mark_peer_up(self, peer: str) -> None:
        if self._down_peers.pop(peer, None) is not None:
            self.controller.link_ok(clock.now_s(), peer)

    def _attempts_at(self, peer: str) -> list[_exchange.Attempt]:
        return [
            attempt
            for attempt in self._attempts.values()
            if attempt.owner == peer and attempt.owner_boot_id
        ]

    def _end_lookups(self, peer: str) -> None:
        for attempt in self._attempts_at(peer):
            kind = attempt.exchange.request.kind
            if kind is _decision_types.RequestKind.LOOKUP:
                self._end(attempt, _Result.UNKNOWN, _Code.LINK_FAILED)

    def _query_attempts(self, peer: str) -> None:
        boot_id = self._links.boot_id(peer)
        for attempt in self._attempts_at(peer):
            if attempt.owner_boot_id != boot_id:
                # The owner restarted and has lost its records of requests.
                self._end(attempt, _Result.UNKNOWN, _Code.LINK_FAILED)
                continue
            query = _frames.Query(
                attempt.wire_id,
                attempt.head is not None,
                attempt.received_bytes,
            )
            if attempt.body is not None:
                attempt.body.suspend()
            self._links.send(peer, query)

    async def _tick(self) -> None:
        while True:
            idle = not self._exchanges
            await anyio.sleep(
                IDLE_TICK_INTERVAL_S if idle else TICK_INTERVAL_S
            )
            now_s = clock.now_s()
            self.perform(self.controller.tick(now_s))
            self._end_overdue(now_s)
            if now_s - self._pinged_s > PING_INTERVAL_S:
                self._pinged_s = now_s
                for peer in self.controller.peers_to_ping(now_s):
                    self._links.send(peer, _frames.Ping(0))
            for peer, tried_s in list(self._down_peers.items()):
                if now_s - tried_s > REDIAL_INTERVAL_S:
                    self._down_peers[peer] = now_s
                    assert self._tasks is not None
                    self._tasks.start_soon(self._redial, peer)

    def _end_overdue(self, now_s: float) -> None:
        """End attempts that are still open after their request's deadline.

        This happens when the owner is unreachable and can't report the end.
        """
        for attempt in list(self._attempts.values()):
            deadline_s = attempt.exchange.request.deadline_s
            if now_s > deadline_s + DEADLINE_GRACE_S:
                self._end(attempt, _Result.UNKNOWN, _Code.DEADLINE_EXCEEDED)

    async def _redial(self, peer: str) -> None:
        try:
            await self._links.connect(peer)
        except exceptions.UnreachableError:
            return
        self._mark_peer_up(peer)


def _objective_left_ms(exchange: _exchange.Exchange) -> int:
    objective_s = exchange.request.objective_s
    if objective_s is None:
        return 0
    left_s = exchange.started_s + objective_s - clock.now_s()
    return max(1, int(left_s * 1000))


def _age_ms(exchange: _exchange.Exchange) -> float:
    return round((clock.now_s() - exchange.started_s) * 1000, 1)


def _read_code(frame: _frames.Refuse) -> exceptions.ErrorCode:
    try:
        return exceptions.ErrorCode(frame.code)
    except ValueError:
        return exceptions.ErrorCode.INTERNAL


def _make_open(
    attempt: _exchange.Attempt,
    action: _decision_types.ForwardAttempt,
    remaining_s: float,
) -> _frames.Open:
    """Return the frame that opens an attempt, without a body."""
    exchange = attempt.exchange
    request = exchange.request
    return _frames.Open(
        request_id=attempt.wire_id,
        service_name=request.service,
        route=request.route,
        team=request.team,
        idempotent=request.kind is _decision_types.RequestKind.LOOKUP,
        remaining_ms=max(1, int(remaining_s * 1000)),
        reference_ms=action.reference_ms or 0.0,
        fingerprint=request.fingerprint,
        method=exchange.method,
        target=exchange.target,
        headers=exchange.headers,
        claim_token=exchange.claim_token,
        claim_key=exchange.claim_key,
        reference_error_ratio=action.hints.reference_error_ratio,
        healthy_share=action.hints.healthy_share,
        last_resort=action.hints.last_resort,
        wants_proof=action.hints.wants_proof,
        is_repeat=action.is_repeat,
        is_suspect=action.is_suspect,
        notices=action.notices,
        rank=request.rank,
        objective_ms=_objective_left_ms(exchange),
        expected_ms=action.expected_ms or 0.0,
    )
