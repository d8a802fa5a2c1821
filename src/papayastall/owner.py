"""Execution of forwarded requests at the upstreams that this node owns."""

from __future__ import annotations

import collections.abc as cabc
import typing as t

import anyio
import anyio.abc
import msgspec

from papayastall import _body_transfer
from papayastall import _decision_types
from papayastall import _frames
from papayastall import _links
from papayastall import _owner_controller
from papayastall import _owner_runs
from papayastall import _recent_ingresses
from papayastall import _upstream_client
from papayastall import clock
from papayastall import exceptions
from papayastall import http_names
from papayastall import memory
from papayastall import metrics

__all__ = ["ClaimRecorder", "Owner", "PermitRequester"]

TICK_INTERVAL_S = 0.05
IDLE_TICK_INTERVAL_S = 0.25
MAX_CHUNK_BYTES = 64 << 10
EXPIRE_INTERVAL_S = 1.0
MAX_RECORDED_BODY_BYTES = 64 << 10
MEMORY_RETRY_AFTER_MS = 1_000
BODY_COPIES = 2
"""Copies of a body that is received whole: its parts, and the whole."""

Outcome = _decision_types.Outcome
Actions = cabc.Sequence[_decision_types.OwnerAction]


class PermitRequester(t.Protocol):
    """Interface for requesting ejection permits from the control state."""

    def ask(self, action: _decision_types.AskPermit) -> None:
        """Request a permit to eject an upstream.

        The answer is passed to :meth:`Owner.permit_answered`.
        """

    def release(self, action: _decision_types.ReleasePermit) -> None:
        """Release a permit."""


class ClaimRecorder(t.Protocol):
    """Interface for recording the answers of claimed requests."""

    async def record(self, outcome: ClaimedAnswer) -> None:
        """Make the answer durable.

        It may return before that is done, and gives up after a timeout.
        """


class ClaimedAnswer(msgspec.Struct):
    """The answer of a request with a claimed idempotency key.

    It is returned to later requests with the same key.

    :param complete: false if the body is too large to record or the
        upstream's answer is incomplete; later requests with the key are
        then answered with "outcome unknown".
    """

    claim_key: str
    claim_token: str
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    complete: bool


class Owner:
    """Runs the requests that ingresses forward, and streams the answers back.

    Answer chunks are kept until the ingress acknowledges them.

    :param permits: requests and releases ejection permits.
    :param claims: records answers of claimed requests; with ``None`` they
        are not recorded.
    :param spread_suspect: called with notices of requests that may crash
        upstreams.
    :param names: names of the headers exchanged with upstreams.
    :param account: books the bodies that other nodes send.
    """

    def __init__(
        self,
        links: _links.Links,
        controller: _owner_controller.OwnerController,
        permits: PermitRequester,
        counters: metrics.Metrics,
        claims: ClaimRecorder | None = None,
        spread_suspect: cabc.Callable[
            [_decision_types.SuspectNotice], None
        ] = lambda notice: None,
        names: http_names.HeaderNames = http_names.HeaderNames(),
        account: memory.MemoryAccount | None = None,
    ) -> None:
        self._account = account
        self.controller = controller
        self._links = links
        self._permits = permits
        self._counters = counters
        self._claims = claims
        self._spread_suspect = spread_suspect
        self._runs = _owner_runs.RunTable()
        self._client = _upstream_client.UpstreamClient(names)
        self._tasks: anyio.abc.TaskGroup | None = None
        self._is_stopping = False
        # Runs whose answer waits for room on the link, by ingress.
        self._answers: dict[str, dict[int, _owner_runs.Run]] = {}
        self._recent_ingresses = _recent_ingresses.RecentIngresses()

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Register the frame handlers, and run requests in ``tasks``."""
        self._tasks = tasks
        self._links.handle_frames(_frames.Open, self._receive_open)
        self._links.handle_frames(_frames.BodyChunk, self._receive_body)
        self._links.handle_frames(_frames.Cancel, self._receive_cancel)
        self._links.handle_frames(_frames.Credit, self._receive_credit)
        self._links.handle_frames(_frames.Query, self._receive_query)
        self._links.handle_events(self._receive_event)
        tasks.start_soon(self._tick)

    async def close(self) -> None:
        """Close the connections to upstreams."""
        await self._client.close()

    @property
    def is_stopping(self) -> bool:
        """Whether new requests are refused because the process stops."""
        return self._is_stopping

    def finish_by(self, stop_s: float) -> None:
        """Accept only requests that will probably end before ``stop_s``.

        :param stop_s: monotonic time at which this process ends.
        """
        self.controller.finish_by(stop_s)

    def stop_accepting(self) -> None:
        """Refuse all new requests, because this process is about to end.

        A request that is still running at that time would be aborted.
        """
        self._is_stopping = True

    def running(self) -> int:
        """Return the number of requests that have not ended."""
        return self._runs.running()

    def announce(
        self, announcement: _decision_types.UpstreamAnnouncement
    ) -> None:
        """Handle an upstream's announcement."""
        self.perform(self.controller.announce(clock.now_s(), announcement))

    def permit_answered(self, upstream: str, granted: bool) -> None:
        """Handle the control state's answer to a permit request."""
        now_s = clock.now_s()
        self.perform(self.controller.permit_answered(now_s, upstream, granted))

    def perform(self, actions: Actions) -> None:
        """Carry out the controller's actions."""
        for action in actions:
            match action:
                case _decision_types.Dispatch():
                    self._dispatch(action)
                case _decision_types.RefuseRequest():
                    self._refuse(action)
                case _decision_types.AskPermit():
                    self._permits.ask(action)
                case _decision_types.ReleasePermit():
                    self._permits.release(action)
                case _decision_types.SuspectNotice():
                    self._spread_suspect(action)

    def _receive_open(
        self, ingress: str, boot_id: int, frame: _frames.Open
    ) -> None:
        self._recent_ingresses.note_request(clock.now_s(), ingress)
        remaining_s = frame.remaining_ms / 1000
        key = (ingress, boot_id, frame.request_id)
        deadline_s = clock.now_s() + remaining_s
        run = self._runs.add(key, frame, deadline_s)
        if run is None:
            return
        run.arrived_s = clock.now_s()
        if frame.answer_window_bytes > 0:
            run.window_bytes = frame.answer_window_bytes
        if self._is_stopping:
            self._end(
                run,
                exceptions.ErrorCode.LEAVING,
                ran_unknown=False,
                retry_after_ms=0,
            )
            return
        if self._is_full(run):
            self._refuse_for_memory(run)
            return
        body = frame.body
        # The run keeps the frame for longer than the body is needed.
        frame.body = b""
        if frame.body_bytes > len(body):
            self._open_receiver(run, body)
            return
        if not self._keep_body(run, body):
            return
        if not frame.body_follows:
            self._submit(run)

    def _open_receiver(self, run: _owner_runs.Run, first: bytes) -> None:
        """Begin to receive a body, most of it as the upstream takes it.

        The run is submitted once all that was granted has arrived: a body
        that fits in the window does not hold a slot while it arrives.
        """
        if not self._book(run, len(first)):
            self._refuse_for_memory(run)
            return
        run.receiver = _body_transfer.BodyReceiver(run.open.body_bytes)
        run.receiver.limit_bytes = len(first)
        run.receiver.add(0, first)
        self._grant(run)
        self._submit_received(run, run.receiver)

    def _submit_received(
        self, run: _owner_runs.Run, receiver: _body_transfer.BodyReceiver
    ) -> None:
        if not run.submitted and receiver.has_all_granted:
            self._submit(run)

    def _receive_body(
        self, ingress: str, boot_id: int, frame: _frames.BodyChunk
    ) -> None:
        run = self._runs.find((ingress, boot_id, frame.request_id))
        if run is None or run.ended_s is not None:
            return
        if run.receiver is not None:
            run.receiver.add(frame.offset_bytes, frame.data)
            self._submit_received(run, run.receiver)
            return
        if run.submitted or not self._keep_body(run, frame.data):
            return
        if frame.last:
            self._submit(run)

    def _keep_body(self, run: _owner_runs.Run, data: bytes) -> bool:
        """Add a part of a body; end the run if there is no memory for it."""
        if data and not self._book(run, BODY_COPIES * len(data)):
            self._refuse_for_memory(run)
            return False
        if data:
            run.body.append(data)
        return True

    def _is_full(self, run: _owner_runs.Run) -> bool:
        """Return whether the memory for requests of other nodes is in use."""
        if self._account is None or self._is_own(run):
            return False
        return self._account.free(memory.MemoryClass.LINKS) <= 0

    def _is_own(self, run: _owner_runs.Run) -> bool:
        """Return whether this node is the ingress, which books the request."""
        return run.ingress == self._links.settings.address

    def _refuse_for_memory(self, run: _owner_runs.Run) -> None:
        self._end(
            run,
            exceptions.ErrorCode.OVERLOADED,
            ran_unknown=False,
            retry_after_ms=MEMORY_RETRY_AFTER_MS,
        )

    def _grant(self, run: _owner_runs.Run) -> None:
        """Let the ingress send more of a body, as far as memory allows.

        What runs always gets a small window, so that it can end.
        """
        receiver = run.receiver
        assert receiver is not None
        more = receiver.extend(_body_transfer.WINDOW_BYTES)
        account = self._account
        if account is not None and more:
            links = memory.MemoryClass.LINKS
            if account.is_near(links) or not account.book(links, more):
                if not run.dispatched:
                    return
                more = receiver.extend(_body_transfer.MIN_WINDOW_BYTES)
                account.charge(links, more)
            run.booked_bytes += more
        if more:
            receiver.limit_bytes += more
            self._send_grant(run)

    def _send_grant(
        self, run: _owner_runs.Run, resume_bytes: int = -1
    ) -> None:
        assert run.receiver is not None
        grant = _frames.BodyGrant(
            run.open.request_id, run.receiver.limit_bytes, resume_bytes
        )
        self._links.send(run.ingress, grant)

    async def read_body(self, run: _owner_runs.Run) -> bytes:
        """Return the next part of a body for the upstream; ``b""`` at its end.

        :raises papayastall._body_transfer.BodyLost: the rest will not arrive.
        """
        assert run.receiver is not None
        data = await run.receiver.take()
        if self._account is not None:
            taken = min(len(data), run.booked_bytes)
            self._account.release(memory.MemoryClass.LINKS, taken)
            run.booked_bytes -= taken
        if data:
            self._grant(run)
        return data

    def _book(self, run: _owner_runs.Run, size_bytes: int) -> bool:
        """Book a part of a body that another node sends.

        One of this node itself is booked by its ingress and not copied. A
        single body may take what other classes leave.
        """
        account = self._account
        if account is None or self._is_own(run):
            return True
        links = memory.MemoryClass.LINKS
        if account.used(links) == run.booked_bytes:
            if account.used_bytes + size_bytes > account.total_bytes:
                return False
            account.charge(links, size_bytes)
        elif not account.book(links, size_bytes):
            return False
        run.booked_bytes += size_bytes
        return True

    def _release_body(self, run: _owner_runs.Run) -> None:
        """Drop the body of a run that has ended."""
        run.body = []
        if run.receiver is not None:
            run.receiver.lose()
        if self._account is not None and run.booked_bytes:
            links = memory.MemoryClass.LINKS
            self._account.release(links, run.booked_bytes)
            run.booked_bytes = 0

    def _submit(self, run: _owner_runs.Run) -> None:
        run.submitted = True
        frame = run.open
        kind = _decision_types.RequestKind.NON_IDEMPOTENT
        if frame.idempotent:
            kind = _decision_types.RequestKind.LOOKUP
        request = _decision_types.OwnerRequest(
            request_id=run.local_id,
            service=frame.service_name,
            route=frame.route,
            team=frame.team,
            kind=kind,
            deadline_s=run.deadline_s,
            reference_ms=frame.reference_ms or None,
            fingerprint=frame.fingerprint,
            hints=_decision_types.RequestHints(
                reference_error_ratio=frame.reference_error_ratio,
                healthy_share=frame.healthy_share,
                last_resort=frame.last_resort,
                wants_proof=frame.wants_proof,
            ),
            rank=frame.rank,
            objective_s=frame.objective_ms / 1000 or None,
            is_repeat=frame.is_repeat,
            notices=frame.notices,
            is_suspect=frame.is_suspect,
            expected_ms=frame.expected_ms or None,
        )
        self.perform(self.controller.submit(clock.now_s(), request))

    def _receive_cancel(
        self, ingress: str, boot_id: int, frame: _frames.Cancel
    ) -> None:
        run = self._runs.find((ingress, boot_id, frame.request_id))
        if run is None:
            return
        if run.ended_s is not None:
            run.drop_answer()
            self._count_answer(run)
            return
        run.abandoned = True
        run.credit.set()
        if not run.dispatched:
            self.perform(self.controller.cancel(clock.now_s(), run.local_id))
            self._end(run, exceptions.ErrorCode.CANCELLED, ran_unknown=False)
        elif run.open.idempotent and run.scope is not None:
            run.scope.cancel()
        elif run.receiver is not None and not run.receiver.is_complete:
            run.receiver.lose()

    def _receive_credit(
        self, ingress: str, boot_id: int, frame: _frames.Credit
    ) -> None:
        run = self._runs.find((ingress, boot_id, frame.request_id))
        if run is None:
            return
        run.window_bytes = max(run.window_bytes, frame.window_bytes)
        run.acknowledge(frame.received_bytes)
        if frame.done and run.ended_s is not None:
            self._runs.forget(run, clock.now_s())
            run.drop_answer()
        self._count_answer(run)

    def _receive_query(
        self, ingress: str, boot_id: int, frame: _frames.Query
    ) -> None:
        key = (ingress, boot_id, frame.request_id)
        run = self._runs.find(key)
        if run is None:
            self._answer_unknown_query(key)
            return
        is_partial = not run.submitted and run.receiver is None
        if is_partial and run.ended_s is None:
            # The remaining body chunks were lost with the previous link.
            self._end(
                run,
                exceptions.ErrorCode.LINK_FAILED,
                ran_unknown=False,
                retry_after_ms=0,
            )
            return
        run.acknowledge(frame.received_bytes)
        self._resend(run, frame)
        receiver = run.receiver
        if run.ended_s is not None or receiver is None:
            return
        if not receiver.is_complete:
            self._send_grant(run, receiver.received_bytes)

    def _answer_unknown_query(self, key: _owner_runs.RunKey) -> None:
        forgotten = self._runs.was_forgotten(key)
        if not forgotten:
            self._runs.fence(key, clock.now_s())
        message = "the request was lost on its way and did not run"
        if forgotten:
            message = "the request has ended and its answer is not kept"
        ingress, _, request_id = key
        refusal = _frames.Refuse(
            request_id=request_id,
            code=exceptions.ErrorCode.LINK_FAILED.value,
            ran_unknown=forgotten,
            retry_after_ms=-1 if forgotten else 0,
            final=False,
            load=None,
            message=message,
        )
        self._links.send(ingress, refusal)

    def _resend(self, run: _owner_runs.Run, frame: _frames.Query) -> None:
        self._links.send(run.ingress, _frames.Running(frame.request_id))
        if run.head is not None and not frame.has_head:
            self._links.send(run.ingress, run.head)
        run.send_again()
        self._queue_answer(run)
        if run.refusal is not None:
            self._links.send(run.ingress, run.refusal)

    def _dispatch(self, action: _decision_types.Dispatch) -> None:
        run = self._runs.find_local(action.request_id)
        assert run is not None, "dispatch of an unknown request"
        assert not run.dispatched, "request dispatched twice"
        run.dispatched = True
        self._count(metrics.Counter.DISPATCHES, run)
        run.scope = anyio.CancelScope()
        assert self._tasks is not None
        self._tasks.start_soon(self._execute, run, action)

    def _refuse(self, action: _decision_types.RefuseRequest) -> None:
        run = self._runs.find_local(action.request_id)
        if run is None or run.ended_s is not None:
            return
        if not run.dispatched:
            self._count(metrics.Counter.QUEUE_DROPS, run)
        retry_after_ms = -1
        if action.retry_after_s is not None:
            retry_after_ms = int(action.retry_after_s * 1000)
        self._end(
            run,
            action.code,
            ran_unknown=action.ran is exceptions.RanState.UNKNOWN,
            retry_after_ms=retry_after_ms,
            final=action.final,
        )

    def _end(
        self,
        run: _owner_runs.Run,
        code: exceptions.ErrorCode,
        *,
        ran_unknown: bool,
        retry_after_ms: int = -1,
        final: bool = False,
    ) -> None:
        run.ended_s = clock.now_s()
        if not run.dispatched:
            self._release_body(run)
        run.refusal = _frames.Refuse(
            request_id=run.open.request_id,
            code=code.value,
            ran_unknown=ran_unknown,
            retry_after_ms=retry_after_ms,
            final=final,
            load=self._load(run),
            message="",
        )
        self._links.send(run.ingress, run.refusal)

    async def _execute(
        self, run: _owner_runs.Run, action: _decision_types.Dispatch
    ) -> None:
        sink = _RunSink(self, run)
        address, instance = _decision_types.split_name(action.upstream)
        rest: _RunBody | None = None
        body = b"".join(run.body)
        if run.receiver is not None:
            rest = _RunBody(self, run, run.receiver.total_bytes)
            self._grant(run)
        request = _upstream_client.UpstreamRequest(
            upstream=address,
            instance=instance,
            method=run.open.method,
            target=run.open.target,
            headers=run.open.headers,
            body=body,
            idempotent=run.open.idempotent,
            rest=rest,
            sends_once=action.sends_once,
        )
        outcome = Outcome.CANCELLED
        started_s = clock.now_s()
        run.waiting_ms = (started_s - run.arrived_s) * 1000
        timeout_s = run.deadline_s - started_s
        assert run.scope is not None
        # The request holds the only copy.
        run.body = []
        del body
        try:
            with run.scope:
                outcome = await self._client.run(request, timeout_s, sink)
        finally:
            del request
            self._release_body(run)
        if outcome is Outcome.SHED:
            self._count(metrics.Counter.SHEDS, run)
        elif outcome not in (Outcome.ANSWERED, Outcome.CANCELLED):
            self._count(metrics.Counter.UPSTREAM_FAILURES, run)
        is_complete = outcome in (Outcome.ANSWERED, Outcome.FAILED)
        if run.open.claim_token and self._claims is not None:
            await self._record(sink, run, outcome, self._claims)
        is_alive = outcome is Outcome.BROKEN and await self._client.is_alive(
            address
        )
        actions = self.controller.finished(
            clock.now_s(), run.local_id, outcome, is_alive=is_alive
        )
        if is_complete:
            run.ended_s = clock.now_s()
            upstream_ms = (run.ended_s - started_s) * 1000
            self.send_chunk(
                run, sink.take_held(), last=True, upstream_ms=upstream_ms
            )
        elif outcome is Outcome.CANCELLED:
            self._end(run, exceptions.ErrorCode.CANCELLED, ran_unknown=True)
        self.perform(actions)

    def _count(self, counter: metrics.Counter, run: _owner_runs.Run) -> None:
        self._counters.count(counter, service=run.open.service_name)

    async def _record(
        self,
        sink: _RunSink,
        run: _owner_runs.Run,
        outcome: _decision_types.Outcome,
        claims: ClaimRecorder,
    ) -> None:
        if outcome in _upstream_client.NOT_RUN_OUTCOMES:
            return
        is_complete = outcome in (Outcome.ANSWERED, Outcome.FAILED)
        await claims.record(
            ClaimedAnswer(
                claim_key=run.open.claim_key,
                claim_token=run.open.claim_token,
                status=sink.status,
                headers=sink.headers,
                body=bytes(sink.body),
                complete=is_complete and not sink.overflow,
            )
        )

    def _load(self, run: _owner_runs.Run) -> _decision_types.OwnerLoad:
        """Return the load to send with the answer of a run."""
        load = self.controller.load(
            clock.now_s(), run.open.service_name, run.open.route
        )
        self._recent_ingresses.note_load(run.ingress, load)
        return load

    def note_upstream(
        self,
        run: _owner_runs.Run,
        limit_per_s: float | None,
        is_leaving: bool,
    ) -> None:
        """Pass on what an upstream says of itself in the answer to a run."""
        self.perform(
            self.controller.note_answer(
                clock.now_s(), run.local_id, limit_per_s, is_leaving
            )
        )

    def send_head(
        self,
        run: _owner_runs.Run,
        status: int,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        """Send the status and headers of an answer to the ingress."""
        self.controller.first_byte(clock.now_s(), run.local_id)
        run.head = _frames.AnswerHead(
            run.open.request_id, status, headers, self._load(run)
        )
        self._links.send(run.ingress, run.head)

    def send_chunk(
        self,
        run: _owner_runs.Run,
        data: bytes,
        *,
        last: bool,
        upstream_ms: float = 0.0,
    ) -> None:
        """Send a body chunk to the ingress; keep it until acknowledged.

        :param last: whether the answer ends with this chunk.
        :param upstream_ms: time from dispatch to the end of the answer;
            only in the last chunk.
        """
        chunk = _frames.AnswerChunk(
            run.open.request_id,
            run.sent_bytes,
            data,
            last,
            run.waiting_ms,
            upstream_ms,
        )
        run.sent_bytes += len(data)
        run.add_chunk(chunk)
        self._queue_answer(run)

    def _queue_answer(self, run: _owner_runs.Run) -> None:
        """Send what there is of an answer, once the link has room."""
        self._count_answer(run)
        if run.unsent:
            waiting = self._answers.setdefault(run.ingress, {})
            waiting[run.local_id] = run
            self._send_answers(run.ingress)

    def _send_answers(self, ingress: str) -> None:
        """Send chunks of answers in turn, while the link has room."""
        waiting = self._answers.get(ingress, {})
        while waiting and self._links.has_room(ingress):
            run = waiting.pop(next(iter(waiting)))
            if run.unsent:
                self._links.send(ingress, run.next_chunk())
            if run.unsent:
                waiting[run.local_id] = run
        if not waiting:
            self._answers.pop(ingress, None)

    def _receive_event(self, peer: str, event: _links.LinkEvent) -> None:
        if event is _links.LinkEvent.WRITABLE:
            self._send_answers(peer)

    def _count_answer(self, run: _owner_runs.Run) -> None:
        """Book what is kept of an answer for another node.

        It is booked also over the limit: requests that ran are not undone.
        """
        if self._account is None or self._is_own(run):
            return
        more = run.answer_bytes - run.booked_answer_bytes
        if more > 0:
            self._account.charge(memory.MemoryClass.LINKS, more)
        elif more < 0:
            self._account.release(memory.MemoryClass.LINKS, -more)
        run.booked_answer_bytes = run.answer_bytes

    def _expire_runs(self, now_s: float) -> None:
        for run in self._runs.expire(now_s):
            run.drop_answer()
            self._count_answer(run)
        for ingress, waiting in list(self._answers.items()):
            for run in list(waiting.values()):
                if not run.unsent:
                    del waiting[run.local_id]
            if not waiting:
                del self._answers[ingress]

    def _end_unfinished_bodies(self, now_s: float) -> None:
        for run in self._runs.unfinished_bodies(now_s):
            self._end(
                run,
                exceptions.ErrorCode.DEADLINE_EXCEEDED,
                ran_unknown=False,
            )

    def _notify_availability_changes(self, now_s: float) -> None:
        """Notify ingresses of services that start or stop taking work.

        Without the notice, an ingress finds out only from a refused request.
        """
        for load in self.controller.take_availability_changes(now_s):
            for ingress in self._recent_ingresses.choose(now_s, load):
                self._links.send(ingress, _frames.LoadNotice(load))

    async def _tick(self) -> None:
        expire_s = 0.0
        while True:
            busy = self.controller.has_work()
            await anyio.sleep(
                TICK_INTERVAL_S if busy else IDLE_TICK_INTERVAL_S
            )
            now_s = clock.now_s()
            self.perform(self.controller.tick(now_s))
            self._notify_availability_changes(now_s)
            if now_s > expire_s:
                self._end_unfinished_bodies(now_s)
                self._expire_runs(now_s)
                self._recent_ingresses.expire(now_s)
                expire_s = now_s + EXPIRE_INTERVAL_S


class _RunBody:
    """Body of a run, received from the ingress as the upstream takes it."""

    def __init__(
        self, owner: Owner, run: _owner_runs.Run, total_bytes: int
    ) -> None:
        self._owner = owner
        self._run = run
        self.total_bytes = total_bytes

    async def read(self) -> bytes:
        """Return the next part; see :meth:`Owner.read_body`."""
        return await self._owner.read_body(self._run)


class _RunSink(_upstream_client.AnswerSink):
    """Forwards an upstream's answer to the ingress.

    The answer of a claimed request is also buffered, to be recorded.

    :ivar overflow: whether the body is too large to be recorded.
    """

    def __init__(self, owner: Owner, run: _owner_runs.Run) -> None:
        self._owner = owner
        self._run = run
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.overflow = False
        self._held = b""

    def note_upstream(
        self, limit_per_s: float | None, is_leaving: bool
    ) -> None:
        """Pass on what the upstream says of itself."""
        self._owner.note_upstream(self._run, limit_per_s, is_leaving)

    async def send_head(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Forward the status and the headers."""
        self.status = status
        self.headers = headers
        self._owner.send_head(self._run, status, headers)

    async def send_chunk(self, data: bytes) -> None:
        """Forward a chunk of the body; wait while the send window is full.

        The newest chunk is held back, because the last chunk of an answer
        is marked as such.
        """
        run = self._run
        if run.open.claim_token:
            self._buffer_for_claim(data)
        start = 0
        while start < len(data):
            while not run.abandoned and not run.has_window:
                run.credit = anyio.Event()
                await run.credit.wait()
            if run.abandoned:
                return
            held = self.take_held()
            if held:
                self._owner.send_chunk(run, held, last=False)
            end = start + min(MAX_CHUNK_BYTES, run.window_bytes // 2)
            self._held = data[start:end]
            start = end

    def take_held(self) -> bytes:
        """Return the chunk that is held back, and clear it."""
        held, self._held = self._held, b""
        return held

    def _buffer_for_claim(self, data: bytes) -> None:
        if len(self.body) + len(data) > MAX_RECORDED_BODY_BYTES:
            self.overflow = True
        else:
            self.body += data
