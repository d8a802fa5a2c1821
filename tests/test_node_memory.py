"""What a node reports of the input that it refuses."""

from __future__ import annotations

import anyio
import pytest

from papayastall import _http_server
from papayastall import _node_memory
from papayastall import metrics
from tests import fake_transport

Kind = _node_memory.PortKind


def test_one_line_tells_of_all_refusals_since_the_last() -> None:
    counters = metrics.Metrics(None, "10.0.0.1:1")
    log = _node_memory.RejectionLog(counters)
    for peer in ("10.0.0.8", "10.0.0.9"):
        log.note(Kind.CALLERS, 408, peer)
    log.note(Kind.CALLERS, 503, "10.0.0.7")
    log.note(Kind.CONTROL, 413, "10.0.0.3")
    assert log.take() == (
        "2 on the port for callers with 408; 1 on the port for callers with "
        "503; 1 on the port for control with 413; the last for callers from "
        "10.0.0.7; the last for control from 10.0.0.3"
    )
    assert log.take() == ""


# Guards against clients that are refused without a trace.
@pytest.mark.anyio
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"no request\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX: " + bytes(70_000), 431),
        (b"POST / HTTP/1.1\r\nContent-Length: 9999999999\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", 400),
    ],
)
async def test_each_refusal_is_reported_with_the_clients_address(
    data: bytes, status: int
) -> None:
    noted: list[tuple[int, str]] = []

    async def read(
        scope: _http_server.Scope,
        receive: _http_server.Receive,
        send: _http_server.Send,
    ) -> None:
        assert scope["client"] == ("10.0.0.8", 999)
        await receive()
        raise AssertionError("the body is refused")

    server = _http_server.HttpServer(
        read,
        "127.0.0.1:1",
        1.0,
        note_rejection=lambda status, peer: noted.append((status, peer)),
    )
    transport = fake_transport.FakeTransport({"peername": ("10.0.0.8", 999)})
    connection = server.make_connection()
    assert isinstance(connection, _http_server._Connection)
    connection.connection_made(transport)
    connection.data_received(data)
    for _ in range(10):
        await anyio.sleep(0)
    assert noted == [(status, "10.0.0.8")]
    assert transport.statuses() == [status]
    connection.connection_lost(None)
