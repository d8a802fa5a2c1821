"""Tests of links between nodes over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import anyio
import pytest

from papayastall import _connection
from papayastall import _frames
from papayastall import _links
from papayastall import _peering
from papayastall import exceptions
from papayastall import memory
from papayastall import metrics
from tests import fake_peering
from tests import fleet

UNKNOWN_PEER = "127.0.0.1:1"
HELLO = _frames.encode(_frames.Hello(UNKNOWN_PEER, 1, "a", 0), 0)
PEERS = 12


def make_links(
    address: str,
    account: memory.MemoryAccount | None = None,
    *,
    knows_peers: bool = True,
) -> _links.Links:
    settings = _links.LinkSettings(address, 1, "a")
    return _links.Links(
        settings,
        metrics.Metrics(None, address),
        account=account,
        is_member=lambda peer: knows_peers,
    )


async def wait_for_end(stream: anyio.abc.ByteStream) -> None:
    with anyio.fail_after(10):
        try:
            while True:
                await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            pass


@pytest.mark.anyio
async def test_an_idle_replaced_connection_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two connections of one peer: neither may stay open for ever."""
    monkeypatch.setattr(_links, "IDLE_TIMEOUT_S", 0.3)
    address = fleet.free_address()
    links = make_links(address)
    host, _, port = address.rpartition(":")
    async with anyio.create_task_group() as tasks:
        await links.start(tasks)
        streams = [await anyio.connect_tcp(host, int(port)) for _ in range(2)]
        for stream in streams:
            await stream.send(HELLO)
            await stream.receive()
        for stream in streams:
            await wait_for_end(stream)
            await stream.aclose()
        await links.close()
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_peer_that_accepts_but_sends_no_hello_is_down() -> None:
    """A suspended process still accepts connections through its kernel."""
    links = make_links(fleet.free_address())
    events: list[tuple[str, _links.LinkEvent]] = []
    links.handle_events(lambda peer, event: events.append((peer, event)))
    # The kernel completes connections to a listening socket by itself.
    listener = socket.create_server(("127.0.0.1", 0))
    silent = f"127.0.0.1:{listener.getsockname()[1]}"

    async with anyio.create_task_group() as tasks:
        await links.start(tasks)
        links.watch(silent)
        with anyio.fail_after(10):
            while (silent, _links.LinkEvent.DOWN) not in events:
                await anyio.sleep(0.05)
        assert not links.is_connected(silent)
        links.unwatch(silent)
        await links.close()
        tasks.cancel_scope.cancel()
    listener.close()


@pytest.mark.anyio
async def test_a_peer_that_sends_its_hello_late_is_connected() -> None:
    """The hello comes after the first dial's timeout, which then doubles."""
    links = make_links(fleet.free_address())
    streams: list[asyncio.StreamWriter] = []

    async def send_hello_late(
        _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        streams.append(writer)
        await asyncio.sleep(1.2)
        writer.write(hello)

    server = await asyncio.start_server(send_hello_late, "127.0.0.1", 0)
    slow = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    hello = _frames.encode(_frames.Hello(slow, 1, "a", 0), 0)
    async with anyio.create_task_group() as tasks:
        await links.start(tasks)
        links.watch(slow)
        with anyio.fail_after(20):
            while not links.is_connected(slow):
                await anyio.sleep(0.05)
        await links.close()
        tasks.cancel_scope.cancel()
    server.close()
    for stream in streams:
        stream.close()


@pytest.mark.anyio
async def test_the_answer_to_a_ping_is_reported() -> None:
    here, there = [make_links(fleet.free_address()) for _ in range(2)]
    events: list[tuple[str, _links.LinkEvent]] = []
    here.handle_events(lambda peer, event: events.append((peer, event)))
    address = there.settings.address
    async with anyio.create_task_group() as tasks:
        await here.start(tasks)
        await there.start(tasks)
        await here.connect(address)
        here.send(address, _frames.Ping(1))
        with anyio.fail_after(10):
            while (address, _links.LinkEvent.ALIVE) not in events:
                await anyio.sleep(0.01)
        await here.close()
        await there.close()
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_node_answers_its_own_ping() -> None:
    links = make_links(fleet.free_address())
    events: list[tuple[str, _links.LinkEvent]] = []
    links.handle_events(lambda peer, event: events.append((peer, event)))
    links.send(links.settings.address, _frames.Ping(1))
    await anyio.sleep(0)
    assert events == [(links.settings.address, _links.LinkEvent.ALIVE)]


@pytest.mark.anyio
async def test_a_malformed_cast_does_not_end_the_link() -> None:
    here, there = [make_links(fleet.free_address()) for _ in range(2)]
    received: list[bytes] = []

    async def take(_peer: str, body: bytes) -> None:
        received.append(body)
        if body == b"bad":
            raise exceptions.ProtocolError(
                exceptions.ErrorCode.BAD_FRAME, "malformed", step="test"
            )

    channel = _peering.Channel.CONFIG
    there.handle_casts(channel, take)
    address = there.settings.address
    async with anyio.create_task_group() as tasks:
        await here.start(tasks)
        await there.start(tasks)
        await here.connect(address)
        here.cast(address, channel, b"bad")
        here.cast(address, channel, b"good")
        with anyio.fail_after(10):
            while b"good" not in received:
                await anyio.sleep(0.01)
        await here.close()
        await there.close()
        tasks.cancel_scope.cancel()


# Guards against a fake that raises another error than a link does while the
# other node is starting.
@pytest.mark.anyio
@pytest.mark.parametrize("is_fake", [False, True])
async def test_a_call_without_a_handler_is_answered_with_an_error(
    is_fake: bool,
) -> None:
    async with anyio.create_task_group() as tasks:
        caller: _peering.Peering
        if is_fake:
            network = fake_peering.Network(tasks)
            caller, peer = network.add("a"), "b"
            network.add(peer)
        else:
            links = [make_links(fleet.free_address()) for _ in range(2)]
            for each in links:
                await each.start(tasks)
            caller, peer = links[0], links[1].settings.address
        with pytest.raises(exceptions.PapayastallError) as caught:
            await caller.call(peer, _peering.Channel.RAFT, b"", 5.0)
        assert caught.value.code is exceptions.ErrorCode.BAD_FRAME
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_all_callers_that_wait_for_a_link_continue_once_it_is_open() -> (
    None
):
    """All but the last one of them waited for the whole timeout."""
    here, there = [make_links(fleet.free_address()) for _ in range(2)]
    answers: list[bytes] = []

    async def answer(_peer: str, body: bytes) -> bytes:
        return body

    async def call(body: bytes) -> None:
        # Fails where the wait takes the link's whole timeout.
        answers.append(
            await here.call(
                there.settings.address,
                _peering.Channel.CONTROL,
                body,
                _links.CONNECT_TIMEOUT_S / 2,
            )
        )

    there.handle_calls(_peering.Channel.CONTROL, answer)
    async with anyio.create_task_group() as tasks:
        await here.start(tasks)
        await there.start(tasks)
        async with anyio.create_task_group() as calls:
            for body in (b"1", b"2", b"3"):
                calls.start_soon(call, body)
        await here.close()
        await there.close()
        tasks.cancel_scope.cancel()
    assert sorted(answers) == [b"1", b"2", b"3"]


# Guards against peers that send parts of frames: without TLS they may claim
# any member's address.
@pytest.mark.anyio
@pytest.mark.parametrize("knows_peers", [False, True])
async def test_parts_of_frames_stay_within_their_share(
    knows_peers: bool,
) -> None:
    account = memory.MemoryAccount(8 << 20, 0)
    address = fleet.free_address()
    links = make_links(address, account, knows_peers=knows_peers)
    host, _, port = address.rpartition(":")
    payload = HELLO + _frames.encode(_frames.Cast(1, bytes(900_000)), 0)[:-1]
    kinds = [memory.MemoryClass.STRANGERS, memory.MemoryClass.LINKS]
    async with anyio.create_task_group() as tasks:
        await links.start(tasks)
        streams = []
        for _ in range(PEERS):
            streams.append(await anyio.connect_tcp(host, int(port)))
            with contextlib.suppress(anyio.BrokenResourceError):
                await streams[-1].send(payload)
        with anyio.fail_after(20):
            while not account.refusals[kinds[knows_peers]]:
                await anyio.sleep(0.01)
        assert all(account.free(kind) >= 0 for kind in kinds)
        for stream in streams:
            await stream.aclose()
        with anyio.fail_after(10):
            while account.used_bytes:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


# Guards against frames that pile up for a peer that reads none.
@pytest.mark.anyio
@pytest.mark.parametrize("knows_peers", [False, True])
async def test_frames_that_were_not_sent_stay_within_their_share(
    knows_peers: bool,
) -> None:
    account = memory.MemoryAccount(8 << 20, 0)
    address = fleet.free_address()
    links = make_links(address, account, knows_peers=knows_peers)
    host, _, port = address.rpartition(":")
    kinds = [memory.MemoryClass.STRANGERS, memory.MemoryClass.LINKS]
    frame = _frames.Cast(1, bytes(50_000))
    async with anyio.create_task_group() as tasks:
        await links.start(tasks)
        stream = await anyio.connect_tcp(host, int(port))
        await stream.send(HELLO)
        with anyio.fail_after(10):
            while not links.is_connected(UNKNOWN_PEER):
                await anyio.sleep(0.01)
        for _ in range(_connection.MAX_UNSENT_BYTES // len(frame.body)):
            if not links.is_connected(UNKNOWN_PEER):
                break
            links.send(UNKNOWN_PEER, frame)
            assert all(account.free(kind) >= 0 for kind in kinds)
        assert not links.is_connected(UNKNOWN_PEER)
        assert account.refusals[kinds[knows_peers]]
        assert account.used_bytes == 0
        await stream.aclose()
        tasks.cancel_scope.cancel()


# Guards against memory that a peer holds with a frame that it never completes.
@pytest.mark.anyio
async def test_a_large_frame_that_stops_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_links, "FRAME_TIMEOUT_S", 0.2)
    monkeypatch.setattr(_links, "IDLE_LINK_CHECK_INTERVAL_S", 0.1)
    account = memory.MemoryAccount(100 << 20, 0)
    address = fleet.free_address()
    links = make_links(address, account)
    host, _, port = address.rpartition(":")
    frame = _frames.encode(_frames.Cast(1, bytes(900_000)), 0)
    async with anyio.create_task_group() as tasks:
        await links.start(tasks)
        stream = await anyio.connect_tcp(host, int(port))
        await stream.send(HELLO + frame[:-1])
        await wait_for_end(stream)
        await stream.aclose()
        assert account.used_bytes == 0
        tasks.cancel_scope.cancel()
