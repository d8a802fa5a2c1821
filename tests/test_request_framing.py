"""Seeded fuzz of the framing of requests, on a connection without a network.

Guards against input that this server and another one on the request's way
read as different requests. Each input is refused, or is read in one way
only, however it is cut into packets.
"""

from __future__ import annotations

import asyncio
import typing as t

import hypothesis
from hypothesis import strategies as st
import pytest

from papayastall import _http_server
from papayastall import _request_framing
from tests import fake_transport

TARGETS = st.sampled_from([b"/a", b"/b?c=1", b"*", b"http://h/d?e=2"])
FIELDS = st.lists(
    st.sampled_from(
        [b"Host: h", b"X: y", b"Empty:", b"Accept: */*", b"X-Tab:\tz"]
    ),
    max_size=4,
)
BODIES = st.binary(max_size=40)
CUTS = st.lists(st.integers(0, 400), max_size=8)
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)

Seen = tuple[str, bytes, bytes]


class Outcome(t.NamedTuple):
    """What became of an input.

    :param runs: method, target and body of the whole requests.
    :param statuses: those of the answers.
    """

    runs: list[Seen]
    statuses: list[int]


async def _send(pieces: list[bytes]) -> Outcome:
    runs: list[Seen] = []

    async def record(
        scope: _http_server.Scope,
        receive: _http_server.Receive,
        send: _http_server.Send,
    ) -> None:
        body = b""
        more = True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message.get("body", b"")
            more = message["more_body"]
        target = scope["raw_path"] + b"?" + scope["query_string"]
        runs.append((scope["method"], target, body))
        await _http_server.send_answer(send, 200, [], b"")

    server = _http_server.HttpServer(record, "127.0.0.1:1", 1.0)
    transport = fake_transport.FakeTransport()
    connection = server.make_connection()
    connection.connection_made(transport)
    for piece in pieces:
        if not transport.is_closing():
            connection.data_received(piece)
        await asyncio.sleep(0)
    while server.tasks:
        before = len(transport.written), len(server.tasks)
        for _ in range(20):
            await asyncio.sleep(0)
        if before == (len(transport.written), len(server.tasks)):
            break
    transport.abort()
    connection.connection_lost(None)
    while server.tasks:
        await asyncio.sleep(0)
    assert server.account.used_bytes == 0, "memory is not released"
    return Outcome(runs, transport.statuses())


def run(data: bytes, cuts: list[int]) -> Outcome:
    positions = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    pieces = [
        data[start:end]
        for start, end in zip(positions, positions[1:], strict=False)
        if start < end
    ]
    return asyncio.run(_send(pieces))


@st.composite
def valid_requests(draw: st.DrawFn) -> tuple[bytes, Seen]:
    """Return a request and what it is read as."""
    target, fields, body = draw(TARGETS), draw(FIELDS), draw(BODIES)
    lines = [b"POST " + target + b" HTTP/1.1", *fields]
    if draw(st.booleans()):
        lines.append(b"Content-Length: %d" % len(body))
        payload = body
    else:
        lines.append(b"Transfer-Encoding: chunked")
        payload = b""
        rest = body
        while rest:
            size = draw(st.integers(1, len(rest)))
            extension = draw(st.sampled_from([b"", b";", b";a=b", b';q="x"']))
            payload += b"%x%b\r\n%b\r\n" % (size, extension, rest[:size])
            rest = rest[size:]
        payload += b"0\r\n"
        payload += draw(st.sampled_from([b"", b"T: u\r\n"])) + b"\r\n"
    path = target.removeprefix(b"http://h")
    seen = path if b"?" in path else path + b"?"
    head = b"\r\n".join([*lines, b"", b""])
    return head + payload, ("POST", seen, body)


@SETTINGS
@hypothesis.given(st.lists(valid_requests(), max_size=5), CUTS)
def test_valid_requests_are_read_as_sent(
    requests: list[tuple[bytes, Seen]], cuts: list[int]
) -> None:
    outcome = run(b"".join(data for data, _ in requests), cuts)
    assert outcome.runs == [seen for _, seen in requests]
    assert outcome.statuses == [200] * len(requests)


LINE = b"POST /bad HTTP/1.1\r\n"
CHUNKED = LINE + b"Transfer-Encoding: chunked\r\n\r\n"
MALFORMED = {
    "two-lengths": LINE
    + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "same-lengths": LINE
    + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    "length-list": LINE + b"Content-Length: 3, 3\r\n\r\nabc",
    "length-plus": LINE + b"Content-Length: +3\r\n\r\nabc",
    "length-minus": LINE + b"Content-Length: -3\r\n\r\nabc",
    "length-hex": LINE + b"Content-Length: 0x3\r\n\r\nabc",
    "length-empty": LINE + b"Content-Length:\r\n\r\n",
    "length-2-64": LINE + b"Content-Length: 18446744073709551619\r\n\r\nabc",
    "both": LINE + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"0\r\n\r\n",
    "both-other-order": LINE
    + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
    "two-encodings": LINE + b"Transfer-Encoding: chunked\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "encoding-identity": LINE
    + b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
    "encoding-gzip": LINE
    + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "encoding-unknown": LINE + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "encoding-1.0": b"POST /bad HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"0\r\n\r\n",
    "chunk-plus": CHUNKED + b"+3\r\nabc\r\n0\r\n\r\n",
    "chunk-minus": CHUNKED + b"-3\r\nabc\r\n0\r\n\r\n",
    "chunk-0x": CHUNKED + b"0x3\r\nabc\r\n0\r\n\r\n",
    "chunk-space-before": CHUNKED + b" 3\r\nabc\r\n0\r\n\r\n",
    "chunk-space-after": CHUNKED + b"3 \r\nabc\r\n0\r\n\r\n",
    "chunk-empty": CHUNKED + b"\r\nabc\r\n0\r\n\r\n",
    "chunk-2-64": CHUNKED + b"10000000000000003\r\nabc\r\n0\r\n\r\n",
    "chunk-2-63": CHUNKED + b"8000000000000000\r\nabc\r\n0\r\n\r\n",
    "chunk-long-zeros": CHUNKED + b"00000000000000003\r\nabc\r\n0\r\n\r\n",
    "chunk-too-long": CHUNKED + b"2\r\nabc\r\n0\r\n\r\n",
    "chunk-bare-feed": CHUNKED + b"3\nabc\r\n0\r\n\r\n",
    "chunk-end-bare-feed": CHUNKED + b"3\r\nabc\n0\r\n\r\n",
    "chunk-extension-feed": CHUNKED + b"3;a\nb\r\nabc\r\n0\r\n\r\n",
    "chunk-extension-return": CHUNKED + b"3;a\rb\r\nabc\r\n0\r\n\r\n",
    "chunk-extension-nul": CHUNKED + b"3;a\0\r\nabc\r\n0\r\n\r\n",
    "chunk-extension-long": CHUNKED
    + b"3;"
    + b"a" * 300
    + b"\r\nabc\r\n0\r\n\r\n",
    "chunk-extensions": CHUNKED
    + (b"1;" + b"a" * 200 + b"\r\nx\r\n") * 100
    + b"0\r\n\r\n",
    "trailer-bare-feed": CHUNKED + b"0\r\nT: u\n\r\n",
    "trailer-folded": CHUNKED + b"0\r\nT: u\r\n v\r\n\r\n",
    "trailer-nul": CHUNKED + b"0\r\nT: \0\r\n\r\n",
    "trailer-no-name": CHUNKED + b"0\r\nnothing\r\n\r\n",
    "trailers-long": CHUNKED + b"0\r\n" + b"T: u\r\n" * 2000 + b"\r\n",
    "folded": LINE + b"X: y\r\n z\r\nContent-Length: 0\r\n\r\n",
    "folded-tab": LINE + b"X: y\r\n\tz\r\n\r\n",
    "folded-first": LINE + b" X: y\r\n\r\n",
    "bare-feed": b"POST /bad HTTP/1.1\nHost: h\r\n\r\n",
    "bare-feeds-end": b"POST /bad HTTP/1.1\r\nHost: h\n\n",
    "bare-feed-header": LINE + b"X: y\nContent-Length: 3\r\n\r\nabc",
    "bare-return": LINE + b"X: y\rZ: 1\r\n\r\n",
    "nul-target": b"POST /ba\0d HTTP/1.1\r\n\r\n",
    "nul-name": LINE + b"X\0: y\r\n\r\n",
    "nul-value": LINE + b"X: \0\r\n\r\n",
    "space-in-name": LINE + b"Content-Length : 3\r\n\r\nabc",
    "space-before-name": LINE + b"A: b\r\n\x0bContent-Length: 3\r\n\r\nabc",
    "no-colon": LINE + b"nothing\r\n\r\n",
    "empty-name": LINE + b": y\r\n\r\n",
    "no-version": b"POST /bad\r\n\r\n",
    "version-0.9": b"POST /bad HTTP/0.9\r\n\r\n",
    "version-1.2": b"POST /bad HTTP/1.2\r\n\r\n",
    "version-2.0": b"POST /bad HTTP/2.0\r\n\r\n",
    "version-lower": b"POST /bad http/1.1\r\n\r\n",
    "method-space": b" POST /bad HTTP/1.1\r\n\r\n",
    "target-space": b"POST /bad x HTTP/1.1\r\n\r\n",
    "upgrade": LINE + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n",
    "connect": b"CONNECT bad:1 HTTP/1.1\r\n\r\n",
}


# Each malformed request stands between two valid ones: the first is
# answered, the malformed one and what follows it must not run.
@pytest.mark.parametrize("name", sorted(MALFORMED))
@hypothesis.settings(SETTINGS, max_examples=12)
@hypothesis.given(valid_requests(), CUTS)
def test_malformed_input_is_refused(
    name: str, before: tuple[bytes, Seen], cuts: list[int]
) -> None:
    data, seen = before
    smuggled = b"GET /smuggled HTTP/1.1\r\n\r\n"
    outcome = run(data + MALFORMED[name] + smuggled, cuts)
    assert outcome.runs == [seen]
    assert outcome.statuses == [200, 400]


@st.composite
def damaged_input(draw: st.DrawFn) -> bytes:
    """Return requests in which some bytes were replaced or inserted."""
    requests = draw(st.lists(valid_requests(), min_size=1, max_size=3))
    data = bytearray(b"".join(each for each, _ in requests))
    parts = [b"\0", b"\n", b"\r", b"\r\n", b" ", b"\t", b":", b"0", b"-", b";"]
    for _ in range(draw(st.integers(1, 3))):
        start = draw(st.integers(0, len(data)))
        end = min(len(data), start + draw(st.integers(0, 3)))
        data[start:end] = draw(st.sampled_from(parts))
    return bytes(data)


@SETTINGS
@hypothesis.given(damaged_input(), CUTS, CUTS)
def test_damaged_input_is_read_in_one_way(
    data: bytes, cuts: list[int], other_cuts: list[int]
) -> None:
    assert run(data, cuts) == run(data, other_cuts)


# Guards against extensions and trailers that are kept although they never
# end.
@pytest.mark.parametrize("start", [b"1;", b"0\r\nT: ", b"0\r\n"])
def test_input_without_end_is_refused_early(start: bytes) -> None:
    decoder = _request_framing.ChunkedDecoder()
    line = b"t: u\r\n" if start == b"0\r\n" else b"a"
    decoder.feed(start, 0)
    with pytest.raises(_request_framing.FramingError):
        for _ in range(_request_framing.MAX_TRAILER_BYTES):
            decoder.feed(line, 0)
