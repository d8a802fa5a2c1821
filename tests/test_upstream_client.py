"""Tests of the outcomes that the upstream client reports."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import enum
import socket
import struct

import anyio
import anyio.abc
import pytest

from papayastall import _decision_types
from papayastall import _upstream_client
from papayastall import clock
from papayastall import http_names

pytestmark = pytest.mark.anyio

Outcome = _decision_types.Outcome
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SHED = b"HTTP/1.1 503 Busy\r\nPapayastall-Ran: no\r\nContent-Length: 0\r\n\r\n"
SHORT = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"
TIMEOUT_S = 5.0


LINGER_NONE = struct.pack("ii", 1, 0)


class ConnectionEnd(enum.Enum):
    """How an upstream ends a connection after an answer."""

    NONE = "stays open"
    CLOSE = "is closed"
    RESET = "is reset"


class FakeUpstream:
    """Answers one request after the other from a script.

    :param script: the answers; ``None`` closes the connection and the
        listener without an answer.
    :ivar end: how each connection ends after one answer, if it does.
    :ivar requests: number of requests received.
    :ivar connections: number of connections accepted.
    """

    def __init__(self, script: list[bytes | None]) -> None:
        self.script = script
        self.end = ConnectionEnd.NONE
        self.requests = 0
        self.connections = 0
        self.received = bytearray()
        self.address = ""
        self._listener: anyio.abc.Listener[anyio.abc.SocketStream] | None = (
            None
        )

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self._listener = listener
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"
        tasks.start_soon(self._serve, listener)

    async def close(self) -> None:
        assert self._listener is not None
        await self._listener.aclose()

    async def _serve(
        self, listener: anyio.abc.Listener[anyio.abc.SocketStream]
    ) -> None:
        with contextlib.suppress(BaseExceptionGroup):
            await listener.serve(self._handle)

    async def _handle(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        async with stream:
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    self.received += await stream.receive()
                    self.requests += 1
                    answer = self.script.pop(0)
                    if answer is None:
                        await self.close()
                        return
                    await stream.send(answer)
                    if answer is SHORT or b"Connection: close" in answer:
                        return
                    if self.end is ConnectionEnd.RESET:
                        stream.extra(
                            anyio.abc.SocketAttribute.raw_socket
                        ).setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE
                        )
                    if self.end is not ConnectionEnd.NONE:
                        return


@contextlib.asynccontextmanager
async def run_upstream(
    script: list[bytes | None],
) -> cabc.AsyncIterator[FakeUpstream]:
    upstream = FakeUpstream(script)
    async with anyio.create_task_group() as tasks:
        await upstream.start(tasks)
        yield upstream
        await upstream.close()
        tasks.cancel_scope.cancel()


def make_request(
    upstream: FakeUpstream, idempotent: bool
) -> _upstream_client.UpstreamRequest:
    return _upstream_client.UpstreamRequest(
        upstream.address, b"GET", b"/", [], b"", idempotent
    )


async def run_all(
    script: list[bytes | None], idempotent: bool = True
) -> tuple[list[Outcome], int]:
    count = len(script)
    async with run_upstream(script) as upstream:
        client = _upstream_client.UpstreamClient()
        outcomes = [
            await client.run(
                make_request(upstream, idempotent),
                TIMEOUT_S,
                _upstream_client.AnswerSink(),
            )
            for _ in range(count)
        ]
        await client.close()
        return outcomes, upstream.requests


@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        ([ANSWER], Outcome.ANSWERED),
        ([SHED], Outcome.SHED),
        ([SHORT], Outcome.BROKEN),
        ([None], Outcome.BROKEN),
    ],
)
@pytest.mark.parametrize("idempotent", [True, False])
async def test_outcome_of_one_request(
    script: list[bytes | None], outcome: Outcome, idempotent: bool
) -> None:
    outcomes, _ = await run_all(list(script), idempotent)
    assert outcomes == [outcome]


async def test_a_failed_second_try_leaves_the_outcome_broken() -> None:
    """The second try did not run, but the first one may have run.

    The upstream closes the reused connection without an answer to the first
    one, and refuses the new connection for the second one.
    """
    outcomes, requests = await run_all([ANSWER, None])
    assert outcomes == [Outcome.ANSWERED, Outcome.BROKEN]
    assert requests == 2


class NoticeSink(_upstream_client.AnswerSink):
    """Records what answers say of their upstream."""

    def __init__(self) -> None:
        self.notices: list[tuple[float | None, bool]] = []

    def note_upstream(
        self, limit_per_s: float | None, is_leaving: bool
    ) -> None:
        self.notices.append((limit_per_s, is_leaving))


# Guards against a limit or leaving that is read only from answers that run
# the request.
@pytest.mark.parametrize(
    ("header", "notice"),
    [
        (b"", (None, False)),
        (b"Papayastall-Limit-Per-S: 2.5\r\n", (2.5, False)),
        (b"Papayastall-Limit-Per-S: many\r\n", (None, False)),
        (b"Papayastall-Leaving: 1\r\n", (None, True)),
        (b"Papayastall-Leaving: 0\r\n", (None, False)),
    ],
)
@pytest.mark.parametrize("answer", [ANSWER, SHED, SHORT])
async def test_what_an_answer_says_of_its_upstream(
    answer: bytes, header: bytes, notice: tuple[float | None, bool]
) -> None:
    sink = NoticeSink()
    head, _, body = answer.partition(b"\r\n\r\n")
    # A short answer ends its connection here as well.
    end = b"Connection: close\r\n" if answer is SHORT else b""
    data = head + b"\r\n" + header + end + b"\r\n" + body
    async with run_upstream([data]) as upstream:
        client = _upstream_client.UpstreamClient()
        await client.run(make_request(upstream, True), TIMEOUT_S, sink)
        await client.close()
    assert sink.notices == [notice]


# Guards against an answer of unknown origin that lifts a limit.
@pytest.mark.parametrize("echo", [b"", b"Request-Id: id-0\r\n"])
async def test_an_answer_without_the_request_id_says_nothing(
    echo: bytes,
) -> None:
    sink = NoticeSink()
    data = ANSWER.replace(b"\r\n\r\n", b"\r\n" + echo + b"\r\n")
    async with run_upstream([data]) as upstream:
        names = http_names.HeaderNames(request_id=b"request-id")
        client = _upstream_client.UpstreamClient(names)
        request = make_request(upstream, True)
        request.headers.append((b"request-id", b"id-0"))
        await client.run(request, TIMEOUT_S, sink)
        await client.close()
    assert len(sink.notices) == bool(echo)


# Guards against a second arrival at an upstream with a limit, when an idle
# connection turns out to be closed.
async def test_a_request_that_is_sent_once_uses_a_new_connection() -> None:
    async with run_upstream([ANSWER, ANSWER]) as upstream:
        client = _upstream_client.UpstreamClient()
        request = make_request(upstream, True)
        sink = _upstream_client.AnswerSink()
        await client.run(request, TIMEOUT_S, sink)
        request.sends_once = True
        await client.run(request, TIMEOUT_S, sink)
        await client.close()
    assert upstream.connections == 2


async def test_a_refused_connection_is_a_connect_failure() -> None:
    async with run_upstream([]) as upstream:
        address = upstream.address
    gone = _upstream_client.UpstreamRequest(
        address, b"POST", b"/", [], b"", False
    )
    client = _upstream_client.UpstreamClient()
    outcome = await client.run(gone, TIMEOUT_S, _upstream_client.AnswerSink())
    assert outcome is Outcome.CONNECT_FAILED


async def test_nothing_is_sent_after_the_deadline() -> None:
    async with run_upstream([ANSWER]) as upstream:
        client = _upstream_client.UpstreamClient()
        request = make_request(upstream, idempotent=False)
        sink = _upstream_client.AnswerSink()
        outcome = await client.run(request, 0.0, sink)
        assert outcome is Outcome.EXPIRED
        assert upstream.requests == 0


async def test_nothing_is_sent_by_a_process_suspended_while_connecting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A process suspended while it connects sends nothing after the deadline.

    The upstream would run a request whose caller has been answered already.
    Headers and body are sent in one write, so that neither is sent alone.
    """
    now_s = clock.now_s()
    times_s = iter([now_s, now_s + 100.0])
    async with run_upstream([ANSWER]) as upstream:
        client = _upstream_client.UpstreamClient()
        request = _upstream_client.UpstreamRequest(
            upstream.address, b"POST", b"/", [], b"body", False
        )
        monkeypatch.setattr(clock, "now_s", lambda: next(times_s))
        outcome = await client.run(
            request, TIMEOUT_S, _upstream_client.AnswerSink()
        )
        monkeypatch.undo()
        assert outcome is Outcome.EXPIRED
        assert upstream.received == b""


NAMES = http_names.HeaderNames(
    timeout=b"deadline-ms",
    not_run=b"not-executed",
    not_run_value=b"",
    request_id=b"request-id",
    instance=b"expect-instance",
)
OK = b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nContent-Length: 2\r\n\r\nok"


class RecordingSink(_upstream_client.AnswerSink):
    """Records the status and the body of an answer."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""

    async def send_head(
        self, status: int, headers: _upstream_client.Headers
    ) -> None:
        self.status = status

    async def send_chunk(self, data: bytes) -> None:
        self.body += data


async def run_named(
    script: list[bytes | None], count: int = 1
) -> tuple[list[Outcome], list[RecordingSink], FakeUpstream]:
    """Run lookups with request ids one after the other in one client."""
    async with run_upstream(script) as upstream:
        client = _upstream_client.UpstreamClient(NAMES)
        outcomes, sinks = [], []
        for number in range(count):
            request = make_request(upstream, idempotent=True)
            request.headers = [(b"request-id", b"id-%d" % number)]
            request.instance = "i-1"
            sinks.append(RecordingSink())
            outcomes.append(await client.run(request, TIMEOUT_S, sinks[-1]))
        await client.close()
        return outcomes, sinks, upstream


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (OK % b"id-0", Outcome.ANSWERED),
        (ANSWER, Outcome.ANSWERED),
        (OK % b"id-9", Outcome.BROKEN),
        (
            b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n"
            b"Content-Length: 2\r\n\r\nok",
            Outcome.BROKEN,
        ),
        (b"\x00\x01 these are no words of HTTP\r\n\r\n", Outcome.BROKEN),
        (
            b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n",
            Outcome.SHED,
        ),
        (b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", Outcome.FAILED),
        (b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", Outcome.SHED),
        (
            b"HTTP/1.1 100 Continue\r\n\r\n" + OK % b"id-0",
            Outcome.ANSWERED,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\n\r\n",
            Outcome.ANSWERED,
        ),
    ],
)
async def test_outcome_of_one_answer(answer: bytes, outcome: Outcome) -> None:
    outcomes, sinks, upstream = await run_named([answer])
    assert outcomes == [outcome]
    assert sinks[0].body == (b"ok" if outcome is Outcome.ANSWERED else b"")
    assert b"expect-instance: i-1\r\n" in upstream.received
    assert b"deadline-ms: " in upstream.received


async def test_bytes_after_an_answer_belong_to_no_request() -> None:
    """A second answer must not be taken as the answer to the next request.

    The client closes the connection and uses a new one for that request.
    """
    twice = OK % b"id-0" + OK % b"id-0"
    outcomes, sinks, upstream = await run_named([twice, OK % b"id-1"], 2)
    assert outcomes == [Outcome.ANSWERED, Outcome.ANSWERED]
    assert [sink.body for sink in sinks] == [b"ok", b"ok"]
    assert upstream.connections == 2


async def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    bare = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"
    outcomes, sinks, upstream = await run_named([bare, OK % b"id-1"], 2)
    assert outcomes == [Outcome.ANSWERED, Outcome.ANSWERED]
    assert sinks[0].body == b"ok"
    assert upstream.connections == 2


async def test_lookups_share_a_connection_that_stays_open() -> None:
    _, _, upstream = await run_named([OK % b"id-0", OK % b"id-1"], 2)
    assert upstream.connections == 1


CHUNKED = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: id-0\r\nTransfer-Encoding: chunked\r\n"
    b"Trailer: Sum\r\n\r\n2\r\nok\r\n0\r\nSum: 7\r\n\r\n"
)
EMPTY = b"HTTP/1.1 %d Empty\r\nRequest-Id: %b\r\n\r\n"
WITH_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n" + OK % b"id-0"


# Guards against an answer whose head or body ends in the middle and that is
# passed on as whole, such as "Content-Length: 1" of "Content-Length: 12".
@pytest.mark.parametrize("end", [ConnectionEnd.CLOSE, ConnectionEnd.RESET])
@pytest.mark.parametrize(
    ("method", "answer"),
    [
        (b"GET", OK % b"id-0"),
        (b"GET", CHUNKED),
        (b"GET", WITH_CONTINUE),
        (b"GET", EMPTY % (204, b"id-0")),
        (b"GET", EMPTY % (304, b"id-0")),
        (b"HEAD", (OK % b"id-0").removesuffix(b"ok")),
    ],
    ids=["length", "chunked", "continue", "204", "304", "HEAD"],
)
async def test_an_answer_that_ends_at_any_byte_is_no_answer(
    method: bytes, answer: bytes, end: ConnectionEnd
) -> None:
    for size in range(1, len(answer)):
        async with run_upstream([answer[:size]] * 2) as upstream:
            upstream.end = end
            client = _upstream_client.UpstreamClient(NAMES)
            request = make_request(upstream, idempotent=True)
            request.method = method
            request.headers = [(b"request-id", b"id-0")]
            sink = RecordingSink()
            outcome = await client.run(request, TIMEOUT_S, sink)
            await client.close()
        assert (outcome, sink.status) == (Outcome.BROKEN, 0), size


REFUSED = (
    b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n%bContent-Length: 0\r\n\r\n"
)


# Guards against an earlier answer or refusal that is written once more on a
# kept connection and taken for the one to the request that runs there now.
@pytest.mark.parametrize("echo", [b"", b"Request-Id: id-0\r\n"])
@pytest.mark.parametrize(
    "copy",
    [
        REFUSED,
        b"HTTP/1.1 421 No\r\n%bContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n%bContent-Length: 3\r\n\r\nold",
    ],
    ids=["refusal", "wrong-instance", "answer"],
)
async def test_a_copy_on_a_kept_connection_answers_no_later_request(
    copy: bytes, echo: bytes
) -> None:
    script: list[bytes | None] = [OK % b"id-0", copy % echo, OK % b"id-2"]
    outcomes, sinks, upstream = await run_named(script, 3)
    assert outcomes[1] is not Outcome.SHED
    assert sinks[1].body != b"old"
    assert upstream.connections > 1


# Guards against a valid answer in the same segment that hides the invalid one.
async def test_an_answer_behind_an_invalid_one_is_not_used() -> None:
    invalid = b"HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n"
    outcomes, _ = await run_all([invalid + ANSWER, ANSWER])
    assert outcomes == [Outcome.BROKEN, Outcome.ANSWERED]


# Guards against bytes that are no answer of HTTP/1.x being passed on, and
# against a request that waits for its deadline although they came.
@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 000 x",
        b"HTTP/1.1 001 x",
        b"HTTP/1.1 099 x",
        b"HTTP/1.1 600 x",
        b"HTTP/1.1 999 x",
        b"HTTP/1.1 20 x",
        b"HTTP/1.1 2000 x",
        b"HTTP/1.1 0200 x",
        b"HTTP/1.1 101 x",
        b"HTTP/0.9 200 x",
        b"HTTP/1.2 200 x",
        b"HTTP/2.0 200 x",
    ],
)
@pytest.mark.parametrize("idempotent", [True, False])
async def test_an_invalid_status_line_is_no_answer(
    line: bytes, idempotent: bool
) -> None:
    invalid = line + b"\r\nContent-Length: 2\r\n\r\nno"
    async with run_upstream([invalid, ANSWER]) as upstream:
        client = _upstream_client.UpstreamClient()
        request = make_request(upstream, idempotent)
        sink = RecordingSink()
        with anyio.fail_after(TIMEOUT_S / 2):
            outcome = await client.run(request, TIMEOUT_S, sink)
        assert (outcome, sink.status) == (Outcome.BROKEN, 0)
        assert upstream.requests == 1
        outcome = await client.run(request, TIMEOUT_S, RecordingSink())
        assert outcome is Outcome.ANSWERED
        assert upstream.connections == 2
        await client.close()


BLOCK = b"x" * (64 << 10)
MAX_SENT_BLOCKS = 1024
MAX_TAKEN_BYTES = 16 << 20
"""More than the socket buffers of both sides hold."""


class EndlessUpstream:
    """Sends a block again and again until its caller closes.

    :param start: what it sends before the first block.
    :ivar sent_bytes: bytes of blocks that its socket has taken.
    """

    def __init__(self, start: bytes, block: bytes) -> None:
        self._start = start
        self._block = block
        self.sent_bytes = 0

    async def serve(self, *, task_status: anyio.abc.TaskStatus[str]) -> None:
        """Serve one connection."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener:
            task_status.started(f"127.0.0.1:{port}")
            await listener.serve(self._handle)

    async def _handle(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.receive()
                await stream.send(self._start)
                for _ in range(MAX_SENT_BLOCKS):
                    await stream.send(self._block)
                    self.sent_bytes += len(self._block)


class StalledSink(_upstream_client.AnswerSink):
    """Takes the head of an answer, and never finishes taking a chunk."""

    async def send_chunk(self, data: bytes) -> None:
        await anyio.sleep_forever()


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_NOT_RUN = (
    b"HTTP/1.1 503 Busy\r\nPapayastall-Ran: no\r\n"
    b"Content-Length: 99999999999\r\n\r\n"
)


# Guards against an upstream that fills the memory of its node: bytes without
# end, in an answer that its caller takes slowly or that never gets complete.
@pytest.mark.parametrize(
    ("start", "block", "outcome"),
    [
        (HEAD + b"\r\n", BLOCK, Outcome.TIMED_OUT),
        (
            HEAD + b"Content-Length: 99999999999\r\n\r\n",
            BLOCK,
            Outcome.TIMED_OUT,
        ),
        (HEAD, b"a: b\r\n" * 10_000, Outcome.BROKEN),
        (HEAD + b"a: ", BLOCK, Outcome.BROKEN),
        (HEAD[:-2], BLOCK, Outcome.BROKEN),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000, Outcome.BROKEN),
        (CHUNKED + b"0\r\n", b"a: b\r\n" * 10_000, Outcome.BROKEN),
        (CHUNKED + b"1;", BLOCK, Outcome.BROKEN),
        (ENDLESS_NOT_RUN, BLOCK, Outcome.BROKEN),
    ],
    ids=[
        "body to the end of the connection",
        "body with a length",
        "headers",
        "header value",
        "reason",
        "interim answers",
        "trailers",
        "chunk extension",
        "body of an answer that says not run",
    ],
)
async def test_bytes_without_end_are_not_taken_without_bound(
    start: bytes, block: bytes, outcome: Outcome
) -> None:
    upstream = EndlessUpstream(start, block)
    client = _upstream_client.UpstreamClient()
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(upstream.serve)
        request = _upstream_client.UpstreamRequest(
            address, b"GET", b"/", [], b"", False
        )
        found = await client.run(request, 1.0, StalledSink())
        tasks.cancel_scope.cancel()
    assert upstream.sent_bytes <= MAX_TAKEN_BYTES
    assert found is outcome


async def test_an_upstream_that_closed_its_listener_is_not_alive() -> None:
    client = _upstream_client.UpstreamClient()
    async with run_upstream([]) as upstream:
        assert await client.is_alive(upstream.address)
        await upstream.close()
        assert not await client.is_alive(upstream.address)
