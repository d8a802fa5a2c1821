"""HTTP/1.1 connection to an upstream, based on asyncio and httptools.

It reports exactly how far a request got: whether any byte of it was sent,
whether the answer is complete, and whether it belongs to this request.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import typing as t

import httptools

from papayastall import _body_transfer
from papayastall import _listener
from papayastall import clock

__all__ = [
    "AnswerBroken",
    "BodyReader",
    "Headers",
    "NotConnected",
    "UpstreamAnswer",
    "UpstreamConnection",
    "open_connection",
]

CONNECT_TIMEOUT_S = 1.0
"""Connecting takes about 1 ms, or about 1 s more if a packet is lost."""
KEEP_ALIVE_MARGIN_S = 0.5
"""A connection is not reused within this time before the upstream's keep-alive
timeout, because the upstream may be closing it."""
DEFAULT_KEEP_ALIVE_S = 4.0
"""Keep-alive timeout of upstreams that do not announce one."""
WRITE_SIZE_BYTES = 64 << 10
MAX_UNREAD_BYTES = 64 << 10
"""Unread bytes of a body above which the connection is not read further."""
ANSWER_VERSIONS = ("1.0", "1.1")
INFORMATIONAL_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
SWITCHING_PROTOCOLS = 101
"""No answer to any request here, as none asks for another protocol."""
MAX_FRAMING_BYTES = 64 << 10
"""Bytes in a row that are no part of a body: heads, trailers, chunk sizes."""

Headers = list[tuple[bytes, bytes]]


class NotConnected(Exception):
    """No connection could be opened; nothing was sent."""


class AnswerBroken(Exception):
    """The connection closed, or its data is no complete answer."""


class BodyReader(t.Protocol):
    """Interface of a body that is read while it is sent.

    :ivar total_bytes: its length.
    """

    total_bytes: int

    async def read(self) -> bytes:
        """Return the next part; ``b""`` at the end.

        :raises papayastall._body_transfer.BodyLost: the rest can't be read.
        """


class UpstreamAnswer:
    """The head of an answer, and its body as it arrives.

    :ivar status: 0 until the head has arrived.
    :ivar headers: pairs of name, in lower case, and value.
    :ivar chunks: received chunks of the body that were not read yet.
    :ivar complete: whether all of the answer has arrived.
    :ivar is_broken: whether it can't be completed any more.
    :ivar keeps_alive: whether the connection may be used again.
    :ivar progress: event that is set on every change of the above.
    """

    __slots__ = (
        "chunks",
        "complete",
        "headers",
        "is_broken",
        "keeps_alive",
        "progress",
        "status",
    )

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.complete = False
        self.is_broken = False
        self.keeps_alive = False
        self.progress = asyncio.Event()

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header, if present."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


class UpstreamConnection(asyncio.Protocol):
    """Connection that handles one request at a time.

    :ivar is_closed: whether either side has closed it.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: UpstreamAnswer | None = None
        self._has_head = False
        self._has_extra_bytes = False
        self._is_invalid = False
        self._ends_with_connection = False
        self._is_head_request = False
        self._framing_bytes = 0
        self._unread_bytes = 0
        self._is_reading_paused = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._expires_s = 0.0
        self._unsent = memoryview(b"")
        self._rest_writer: asyncio.Task[None] | None = None
        self.is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)
        _listener.limit_receive_buffer(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        self._unsent = memoryview(b"")
        self._writable.set()
        answer = self._answer
        if answer is not None and not answer.complete:
            if exc is None and self._has_head and self._ends_with_connection:
                answer.complete = True
            else:
                answer.is_broken = True
            answer.progress.set()

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()
        self._write_unsent()

    def _write_unsent(self) -> None:
        """Write the body in pieces, so that the transport copies only one."""
        assert self._transport is not None
        while self._unsent and self._writable.is_set() and not self.is_closed:
            piece = self._unsent[:WRITE_SIZE_BYTES]
            self._unsent = self._unsent[WRITE_SIZE_BYTES:]
            self._transport.write(piece)

    async def _write_rest(self, rest: BodyReader) -> None:
        """Write a body as fast as the upstream takes it."""
        assert self._transport is not None
        try:
            while not self.is_closed and (data := await rest.read()):
                self._transport.write(data)
                await self._writable.wait()
        except _body_transfer.BodyLost:
            # The upstream must not take the part that it got for the whole.
            self._break()

    def _stop_writing(self) -> bool:
        """Write no more of a body; return whether it was written whole."""
        is_whole = not self._unsent
        writer, self._rest_writer = self._rest_writer, None
        if writer is not None and not writer.done():
            writer.cancel()
            is_whole = False
        return is_whole

    def data_received(self, data: bytes) -> None:
        if self._answer is None or self._answer.complete:
            # Bytes after a complete answer belong to no request.
            self.close()
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._break()
            return
        if self._is_invalid or self._framing_bytes > MAX_FRAMING_BYTES:
            self._break()
        elif self._unread_bytes > MAX_UNREAD_BYTES:
            self._pause_reading()

    def on_message_begin(self) -> None:
        if self._answer is None or self._answer.complete:
            self._has_extra_bytes = True

    def on_header(self, name: bytes, value: bytes) -> None:
        answer = self._answer
        if answer is not None and not answer.complete and not self._has_head:
            answer.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        answer = self._answer
        if answer is None or answer.complete:
            return
        status = self._parser.get_status_code()
        if not self._is_valid(status):
            # ``data_received`` breaks the answer once the parser returns.
            self._is_invalid = True
            return
        if status in INFORMATIONAL_STATUSES:
            answer.headers.clear()
            return
        answer.status = status
        self._has_head = True
        answer.keeps_alive = self._parser.should_keep_alive()
        names = {name for name, _ in answer.headers}
        self._ends_with_connection = (
            b"content-length" not in names
            and b"transfer-encoding" not in names
            and status not in (204, 304)
        )
        answer.progress.set()
        if self._is_head_request:
            self._complete(answer)

    def _is_valid(self, status: int) -> bool:
        """Return whether an answer of HTTP/1.x may begin like this.

        The parser accepts any status of three digits and any version.
        """
        if self._is_invalid or status == SWITCHING_PROTOCOLS:
            return False
        if self._parser.get_http_version() not in ANSWER_VERSIONS:
            return False
        return status in INFORMATIONAL_STATUSES or status in FINAL_STATUSES

    def on_body(self, data: bytes) -> None:
        self._framing_bytes = 0
        if self._answer is not None and not self._answer.complete:
            self._unread_bytes += len(data)
            self._answer.chunks.append(data)
            self._answer.progress.set()

    def on_message_complete(self) -> None:
        answer = self._answer
        if answer is None or not self._has_head or answer.complete:
            return
        self._complete(answer)

    def _complete(self, answer: UpstreamAnswer) -> None:
        answer.complete = True
        answer.progress.set()

    def _break(self) -> None:
        if self._answer is not None and not self._answer.complete:
            self._answer.is_broken = True
            self._answer.progress.set()
        self.close()

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._is_reading_paused:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        self._unread_bytes = 0
        if self._transport is not None and self._is_reading_paused:
            self._is_reading_paused = False
            self._transport.resume_reading()

    def is_reusable(self) -> bool:
        """Return whether another request may be sent on the connection."""
        return not self.is_closed and clock.now_s() < self._expires_s

    def close(self) -> None:
        """Close the connection at once."""
        self.is_closed = True
        self._stop_writing()
        if self._transport is not None:
            self._transport.abort()

    async def send(
        self,
        head: bytes,
        body: bytes,
        is_head_request: bool,
        rest: BodyReader | None = None,
    ) -> UpstreamAnswer:
        """Send a request and return its answer when the head has arrived.

        :param head: the encoded head; a short body is sent with it in one
            write.
        :param is_head_request: whether the answer has no body although its
            headers may describe one.
        :param rest: yields what follows ``body``.
        :raises AnswerBroken: the connection closed before the head arrived.
        """
        assert self._transport is not None
        assert self._answer is None, "one request at a time"
        self._parser = httptools.HttpResponseParser(self)
        self._answer = answer = UpstreamAnswer()
        self._has_head = False
        self._is_invalid = False
        self._framing_bytes = 0
        self._is_head_request = is_head_request
        if len(body) <= WRITE_SIZE_BYTES:
            self._transport.write(head + body)
        else:
            self._transport.write(head)
            self._unsent = memoryview(body)
            self._write_unsent()
        if rest is not None:
            self._rest_writer = asyncio.create_task(self._write_rest(rest))
        while not answer.status:
            await self._wait(answer)
        return answer

    async def read(self, answer: UpstreamAnswer) -> cabc.AsyncIterator[bytes]:
        """Yield the body of an answer up to its end.

        :raises AnswerBroken: the answer is incomplete.
        """
        while True:
            if answer.chunks:
                data = b"".join(answer.chunks)
                answer.chunks.clear()
                self._resume_reading()
                yield data
            elif answer.complete:
                return
            else:
                await self._wait(answer)

    def end(self, answer: UpstreamAnswer) -> None:
        """Finish an answer; close the connection unless it is reusable."""
        self._answer = None
        self._resume_reading()
        is_clean = self._stop_writing()
        is_clean = is_clean and answer.complete and answer.keeps_alive
        if not is_clean or self._has_extra_bytes or self.is_closed:
            self.close()
            return
        keep_alive_s = _read_keep_alive_s(answer.find(b"keep-alive"))
        self._expires_s = clock.now_s() + keep_alive_s - KEEP_ALIVE_MARGIN_S

    async def _wait(self, answer: UpstreamAnswer) -> None:
        if answer.is_broken:
            raise AnswerBroken
        if self.is_closed and not answer.complete:
            raise AnswerBroken
        answer.progress.clear()
        await answer.progress.wait()


async def open_connection(address: str) -> UpstreamConnection:
    """Connect to an upstream.

    :param address: ``ip:port``.
    :raises NotConnected: the connection failed or timed out.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                UpstreamConnection, host.strip("[]"), int(port)
            )
    except (OSError, TimeoutError) as error:
        raise NotConnected(str(error)) from error
    return connection


def _read_keep_alive_s(value: bytes | None) -> float:
    for part in (value or b"").split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return DEFAULT_KEEP_ALIVE_S
