"""Links to other nodes: one TCP connection per pair, opened on demand.

A link is checked for silence only while work is outstanding on it. A
connection that stays silent is replaced, and the handlers of link events
are notified, so that they can query the state of outstanding work.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import enum
import itertools
import ssl
import typing as t

import anyio
import anyio.abc
import msgspec

from papayastall import _channel_calls
from papayastall import _connection
from papayastall import _frame_deflate
from papayastall import _frames
from papayastall import _link_memory
from papayastall import _link_peer
from papayastall import _peering
from papayastall import clock
from papayastall import exceptions
from papayastall import memory
from papayastall import metrics

__all__ = ["LinkEvent", "LinkSettings", "Links"]

PING_AFTER_SILENCE_S = 0.25
REPLACE_AFTER_SILENCE_S = 0.7
CONNECT_TIMEOUT_S = 1.0
"""Time that :meth:`Links.connect` waits for a link."""
WATCH_INTERVAL_S = 0.1
"""Time between two checks of the links with outstanding work."""
IDLE_WATCH_INTERVAL_S = 0.25
"""The same while no link has outstanding work."""
IDLE_TIMEOUT_S = 60.0
"""Silence after which an idle or replaced connection is closed."""
IDLE_LINK_CHECK_INTERVAL_S = 5.0
"""Time between two checks of all links, also those without work."""
MAX_UNSENT_CAST_BYTES = 4 << 20
"""Unsent bytes of a connection from which one-way messages are dropped."""
MAX_UNSENT_OPEN_BYTES = 1 << 20
"""Unsent bytes of a connection from which it takes no more requests."""
FRAME_TIMEOUT_S = 10.0
"""Time for a large frame on an accepted connection to arrive whole."""
HELLO_TIMEOUT_S = 2.0
"""Time for the TLS handshake and for the hello on accepted connections."""


class LinkEvent(enum.Enum):
    """A change of the link to a peer."""

    REPLACED = "replaced"
    """A new connection is open; answers to earlier frames may be lost."""
    ALIVE = "alive"
    """The peer answered a ping."""
    DOWN = "down"
    """The last attempt to connect failed."""
    WRITABLE = "writable"
    """There is room again after :meth:`Links.has_room` returned false."""


class LinkSettings(msgspec.Struct, frozen=True):
    """Identity, TLS contexts and addresses of a node's links.

    :param address: link address of this node, ``ip:port``.
    :param boot_id: differs after each restart of this node.
    :param server_tls: context for accepted connections, or ``None``.
    :param client_tls: context for dialled connections, or ``None``.
    :param listen_address: ``ip:port`` to listen on, if it is not
        ``address``.
    """

    address: str
    boot_id: int
    failure_domain: str
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None
    listen_address: str | None = None


FrameHandler = cabc.Callable[[str, int, t.Any], None]
"""Takes the sender's link address, its boot id, and the frame."""
EventHandler = cabc.Callable[[str, LinkEvent], None]
"""Takes the peer's link address and the event."""


class Links:
    """All links of one node; implements :class:`_peering.Peering`.

    :param get_config_index: returns the config index to send with frames.
    :param on_config_index: called with the peer's address and the
        config index of each frame that arrives.
    :param account: books the memory of frames that are being received.
    :param is_member: returns whether a link address is that of a member.
    :param max_strangers: accepted connections of peers that are not known
        as members, beyond which further ones are closed.
    :ivar rejected_connections: connections closed because of malformed
        input.
    """

    def __init__(
        self,
        settings: LinkSettings,
        counters: metrics.Metrics,
        get_config_index: cabc.Callable[[], int] = lambda: 0,
        on_config_index: cabc.Callable[[str, int], None] = lambda p, i: None,
        account: memory.MemoryAccount | None = None,
        is_member: cabc.Callable[[str], bool] = lambda address: True,
        max_strangers: int | None = None,
    ) -> None:
        self.settings = settings
        self._is_member = is_member
        self._max_strangers = max_strangers
        self._accepted: dict[_connection.Connection, None] = {}
        self._memory = _link_memory.LinkMemory(account, self._is_strange)
        self._counters = counters
        self._get_config_index = get_config_index
        self._on_config_index = on_config_index
        self._peers: dict[str, _link_peer.LinkPeer] = {}
        self._watched: dict[str, _link_peer.LinkPeer] = {}
        self._handlers: dict[type, FrameHandler] = {}
        self._event_handlers: list[EventHandler] = []
        self._calls = _channel_calls.ChannelCalls()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._listener: anyio.abc.Listener[t.Any] | None = None
        self.rejected_connections = 0

    @property
    def open_count(self) -> int:
        """Number of peers with a connection."""
        return sum(
            peer.connection is not None for peer in self._peers.values()
        )

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start to listen and to check links.

        :param tasks: runs the listener, the connections and the checks.
        """
        self._tasks = tasks
        address = self.settings.listen_address or self.settings.address
        host, _, port = address.rpartition(":")
        listener: anyio.abc.Listener[t.Any]
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        if self.settings.server_tls is not None:
            from anyio.streams import tls

            listener = tls.TLSListener(
                listener,
                self.settings.server_tls,
                standard_compatible=False,
                handshake_timeout=HELLO_TIMEOUT_S,
            )
        self._listener = listener
        tasks.start_soon(self._serve, listener)
        tasks.start_soon(self._watch)

    async def close(self) -> None:
        """Stop listening and close the current connections."""
        if self._listener is not None:
            await self._listener.aclose()
        for peer in self._peers.values():
            if peer.connection is not None:
                peer.connection.close()

    def handle_frames(self, kind: type, handler: FrameHandler) -> None:
        """Register the handler of one class of frames."""
        self._handlers[kind] = handler

    def handle_events(self, handler: EventHandler) -> None:
        """Add a handler of link events."""
        self._event_handlers.append(handler)

    def handle_casts(
        self, channel: _peering.Channel, handler: _peering.CastHandler
    ) -> None:
        """Register the handler of a channel's one-way messages."""
        self._calls.handle_casts(channel, handler)

    def handle_calls(
        self, channel: _peering.Channel, handler: _peering.CallHandler
    ) -> None:
        """Register the handler that answers a channel's calls."""
        self._calls.handle_calls(channel, handler)

    async def connect(self, address: str) -> None:
        """Open a link if there is none, and wait for it.

        :raises papayastall.exceptions.UnreachableError: no link within
            ``CONNECT_TIMEOUT_S``; nothing was sent.
        """
        peer = self._peer(address)
        if not self.is_connected(address):
            if peer.ready.is_set():
                peer.ready = anyio.Event()
            self._dial(peer)
            with anyio.move_on_after(CONNECT_TIMEOUT_S):
                await peer.ready.wait()
            if not self.is_connected(address):
                raise exceptions.UnreachableError(
                    exceptions.ErrorCode.LINK_FAILED,
                    "no link can be made; check the node and the network",
                    step="connect",
                    peer=address,
                )

    def is_connected(self, address: str) -> bool:
        """Return whether a connection to the peer is open."""
        if address == self.settings.address:
            return True
        peer = self._peers.get(address)
        return peer is not None and peer.is_connected

    def boot_id(self, address: str) -> int:
        """Return the boot id in the peer's last hello; 0 before the first."""
        if address == self.settings.address:
            return self.settings.boot_id
        return self._peer(address).boot_id

    def grants_bodies(self, address: str) -> bool:
        """Return whether the peer asks for the rest of a body."""
        connection = self._peer(address).connection
        if connection is None or connection.peer is None:
            return False
        return connection.peer.grants_body

    def is_congested(self, address: str) -> bool:
        """Return whether too much is unsent to send the peer a request."""
        if address == self.settings.address:
            return False
        connection = self._peer(address).connection
        return (
            connection is not None
            and connection.unsent_bytes > MAX_UNSENT_OPEN_BYTES
        )

    def has_room(self, address: str) -> bool:
        """Return whether to send parts of bodies and answers to the peer.

        If not, ``LinkEvent.WRITABLE`` follows once there is room.
        """
        if address == self.settings.address:
            return True
        connection = self._peer(address).connection
        return connection is not None and connection.has_room()

    def send(self, address: str, frame: _frames.Frame) -> None:
        """Send a frame, or drop it if there is no connection.

        A frame to this node itself goes to its own handler.
        """
        if address == self.settings.address:
            loop = asyncio.get_running_loop()
            if isinstance(frame, _frames.Ping):
                loop.call_soon(self._notify, address, LinkEvent.ALIVE)
                return
            handler = self._handlers[type(frame)]
            loop.call_soon(handler, address, self.settings.boot_id, frame)
            return
        peer = self._peer(address)
        if peer.connection is not None:
            peer.last_used_s = clock.now_s()
            if isinstance(frame, _frames.Open):
                frame.sent_ms = _now_ms()
            peer.connection.send(frame, self._get_config_index())

    def watch(self, address: str) -> None:
        """Count one more attempt or call that is outstanding at the peer.

        While there is any, the link is checked for silence.
        """
        if address == self.settings.address:
            return
        peer = self._peer(address)
        if peer.outstanding == 0:
            peer.watched_since_s = clock.now_s()
            self._watched[address] = peer
        peer.outstanding += 1

    def unwatch(self, address: str) -> None:
        """Count one outstanding attempt or call less."""
        if address == self.settings.address:
            return
        peer = self._peer(address)
        peer.outstanding -= 1
        assert peer.outstanding >= 0, address
        if peer.outstanding == 0:
            self._watched.pop(address, None)

    def cast(self, peer: str, channel: _peering.Channel, body: bytes) -> None:
        """Send a one-way message; dropped if the link is down or full."""
        state = self._peer(peer)
        connection = state.connection
        if connection is None or connection.is_closed:
            self._dial(state)
            return
        if connection.unsent_bytes < MAX_UNSENT_CAST_BYTES:
            state.last_used_s = clock.now_s()
            frame = _frames.Cast(int(channel), body)
            connection.send(frame, self._get_config_index())

    async def call(
        self,
        peer: str,
        channel: _peering.Channel,
        body: bytes,
        timeout_s: float,
    ) -> bytes:
        """Send a call and return the body of its answer.

        :raises papayastall.exceptions.UnreachableError: no answer in time.
        :raises papayastall.exceptions.PapayastallError: the peer answered
            with an error.
        """
        if peer == self.settings.address:
            return await self._calls.run_call(peer, int(channel), body)
        pending = self._calls.begin(channel, body)
        self.watch(peer)
        try:
            with anyio.move_on_after(timeout_s):
                await self.connect(peer)
                self.send(peer, pending.frame)
                await pending.answered.wait()
        finally:
            self.unwatch(peer)
            self._calls.end(pending)
        return pending.read_answer(peer)

    def _peer(self, address: str) -> _link_peer.LinkPeer:
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = _link_peer.LinkPeer(address)
        return peer

    async def _serve(self, listener: anyio.abc.Listener[t.Any]) -> None:
        try:
            await listener.serve(self._accept)
        except* anyio.ClosedResourceError:
            pass

    async def _accept(self, stream: anyio.abc.ByteStream) -> None:
        connection = _connection.Connection(
            stream, self._receive, self._memory.keep, self._notify_room
        )
        self._accepted[connection] = None
        try:
            if self._has_too_many_strangers():
                await stream.aclose()
                return
            self._start_hello_timeout(connection, HELLO_TIMEOUT_S)
            await self._run(connection)
        finally:
            del self._accepted[connection]

    def _has_too_many_strangers(self) -> bool:
        """Return whether to close the connection that was just accepted.

        At the limit the oldest one without a hello is closed instead.
        """
        limit = self._max_strangers
        if limit is None or len(self._accepted) <= limit:
            return False
        strangers = [each for each in self._accepted if self._is_strange(each)]
        if len(strangers) <= limit:
            return False
        for each in strangers[:-1]:
            if each.peer is None and not each.is_closed:
                each.close()
                return False
        return True

    def _is_strange(self, connection: _connection.Connection) -> bool:
        return connection.peer is None or not self._is_member(
            connection.address
        )

    def _keep_dialled(
        self,
        connection: _connection.Connection,
        direction: _connection.Direction,
        size_bytes: int,
    ) -> bool:
        """Book what a connection to a peer's own address keeps.

        Its input is never refused.
        """
        if direction is _connection.Direction.INPUT:
            return True
        return self._memory.keep(connection, direction, size_bytes)

    def _start_hello_timeout(
        self, connection: _connection.Connection, timeout_s: float
    ) -> None:
        assert self._tasks is not None
        self._tasks.start_soon(
            self._close_without_hello, connection, timeout_s
        )

    async def _close_without_hello(
        self, connection: _connection.Connection, timeout_s: float
    ) -> None:
        await anyio.sleep(timeout_s)
        if connection.peer is None:
            connection.close()

    def _send_hello(self, connection: _connection.Connection) -> None:
        hello = _frames.Hello(
            self.settings.address,
            self.settings.boot_id,
            self.settings.failure_domain,
            _now_ms(),
            inflates=True,
            grants_body=True,
        )
        connection.send(hello, self._get_config_index())

    def _dial(self, peer: _link_peer.LinkPeer) -> None:
        if peer.is_dialling or self._tasks is None:
            return
        if clock.now_s() - peer.last_dial_s < _link_peer.REDIAL_INTERVAL_S:
            return
        peer.is_dialling = True
        self._tasks.start_soon(self._connect, peer)

    async def _connect(self, peer: _link_peer.LinkPeer) -> None:
        peer.last_dial_s = clock.now_s()
        stream: anyio.abc.ByteStream | None = None
        try:
            with anyio.move_on_after(peer.dial_timeout_s):
                stream = await self._open_stream(peer.address)
        except (OSError, anyio.BrokenResourceError, ssl.SSLError):
            pass
        if stream is None:
            self._note_dial_failed(peer)
            return
        connection = _connection.Connection(
            stream, self._receive, self._keep_dialled, self._notify_room
        )
        connection.address = peer.address
        self._send_hello(connection)
        self._start_hello_timeout(connection, peer.dial_timeout_s)
        await self._run(connection)
        if connection.peer is None:
            # Connecting also succeeds if the process is suspended or the
            # network is cut in one direction, but then no hello arrives.
            self._note_dial_failed(peer)

    def _note_dial_failed(self, peer: _link_peer.LinkPeer) -> None:
        peer.note_dial_failed()
        if peer.is_connected:
            return
        peer.lost_connection = True
        peer.ready.set()
        self._notify(peer.address, LinkEvent.DOWN)

    async def _open_stream(self, address: str) -> anyio.abc.ByteStream:
        host, _, port = address.rpartition(":")
        if self.settings.client_tls is None:
            return await anyio.connect_tcp(host, int(port))
        return await anyio.connect_tcp(
            host,
            int(port),
            ssl_context=self.settings.client_tls,
            tls_standard_compatible=False,
        )

    def _use_connection(
        self, peer: _link_peer.LinkPeer, connection: _connection.Connection
    ) -> None:
        replaced = peer.lost_connection
        self._counters.count(metrics.Counter.LINK_OPENS)
        peer.use_connection(connection)
        peer.last_used_s = clock.now_s()
        if replaced:
            self._notify(peer.address, LinkEvent.REPLACED)

    async def _run(self, connection: _connection.Connection) -> None:
        await connection.run()
        if connection.error is not None:
            self.rejected_connections += 1
        for peer in self._peers.values():
            if peer.connection is connection:
                peer.connection = None
                peer.lost_connection = True
                if peer.outstanding:
                    self._dial(peer)

    def _receive(
        self,
        connection: _connection.Connection,
        config_index: int,
        frame: _frames.Frame,
    ) -> None:
        if isinstance(frame, _frames.Hello):
            self._receive_hello(connection, frame)
            return
        if connection.peer is None:
            raise exceptions.ProtocolError(
                exceptions.ErrorCode.BAD_FRAME,
                "the first frame must be a hello",
                step="receive",
            )
        sender = connection.peer
        self._on_config_index(connection.address, config_index)
        match frame:
            case _frames.Ping():
                pong = _frames.Pong(frame.number)
                connection.send(pong, self._get_config_index())
            case _frames.Pong():
                self._notify(connection.address, LinkEvent.ALIVE)
            case _frames.Cast():
                assert self._tasks is not None
                self._tasks.start_soon(
                    self._calls.run_cast, connection.address, frame
                )
            case _frames.Call():
                assert self._tasks is not None
                self._tasks.start_soon(self._answer_call, connection, frame)
            case _frames.CallAnswer():
                self._calls.deliver_answer(frame)
            case _:
                if isinstance(frame, _frames.Open):
                    late_s = connection.lateness_estimator.measure_s(
                        clock.now_s(), frame.sent_ms
                    )
                    frame.remaining_ms -= int(late_s * 1000)
                handler = self._handlers.get(type(frame))
                if handler is not None:
                    handler(connection.address, sender.boot_id, frame)

    def _receive_hello(
        self, connection: _connection.Connection, hello: _frames.Hello
    ) -> None:
        connection.lateness_estimator.measure_s(clock.now_s(), hello.sent_ms)
        connection.peer = hello
        if not connection.address:
            # The dialling side sends its hello first and uses the link
            # once this one arrives: frames then pass in both directions.
            connection.address = hello.node
            self._send_hello(connection)
        if self._may_deflate(hello):
            connection.start_deflating()
        peer = self._peer(connection.address)
        peer.is_dialling = False
        if peer.connection is not None:
            # The peer opens a second connection only if it lost the first.
            peer.lost_connection = True
        peer.boot_id = hello.boot_id
        self._use_connection(peer, connection)

    def _may_deflate(self, hello: _frames.Hello) -> bool:
        """Return whether to deflate the frames to a peer.

        Traffic within a failure domain isn't worth the memory of a window.
        Over TLS the size of a deflated frame would reveal how far it
        repeats the headers of other requests.
        """
        settings = self.settings
        if not hello.inflates or settings.client_tls is not None:
            return False
        if hello.failure_domain == settings.failure_domain:
            return False
        deflating = sum(
            peer.connection is not None and peer.connection.is_deflating
            for peer in self._peers.values()
        )
        return deflating < _frame_deflate.MAX_DEFLATED_LINKS

    async def _answer_call(
        self, connection: _connection.Connection, frame: _frames.Call
    ) -> None:
        answer = await self._calls.answer(connection.address, frame)
        connection.send(answer, self._get_config_index())

    async def _watch(self) -> None:
        numbers = itertools.count(1)
        last_s = clock.now_s()
        all_due_s = last_s + IDLE_LINK_CHECK_INTERVAL_S
        while True:
            interval_s = WATCH_INTERVAL_S
            if not self._watched:
                interval_s = IDLE_WATCH_INTERVAL_S
            await anyio.sleep(interval_s)
            now_s = clock.now_s()
            pause_s = now_s - last_s - interval_s
            last_s = now_s
            number = next(numbers)
            peers = self._watched
            if now_s >= all_due_s:
                all_due_s = now_s + IDLE_LINK_CHECK_INTERVAL_S
                peers = self._peers
                self._close_stalled(now_s - pause_s)
            for peer in list(peers.values()):
                self._watch_peer(peer, now_s, pause_s, number)

    def _close_stalled(self, now_s: float) -> None:
        """Close accepted connections whose frame takes too long."""
        for connection in self._accepted:
            since_s = connection.partial_since_s
            if since_s is not None and now_s - since_s > FRAME_TIMEOUT_S:
                connection.close()

    def _watch_peer(
        self,
        peer: _link_peer.LinkPeer,
        now_s: float,
        pause_s: float,
        number: int,
    ) -> None:
        peer.close_replaced(now_s, IDLE_TIMEOUT_S)
        connection = peer.connection
        if connection is None:
            if peer.outstanding:
                self._dial(peer)
            return
        if not peer.outstanding:
            if now_s - max(peer.last_used_s, connection.last_received_s) > (
                IDLE_TIMEOUT_S
            ):
                connection.close()
            return
        if pause_s > PING_AFTER_SILENCE_S:
            # This process did not run meanwhile: the peer may have sent.
            peer.watched_since_s = now_s
        silent_s = now_s - max(
            connection.last_received_s, peer.watched_since_s
        )
        if silent_s > REPLACE_AFTER_SILENCE_S:
            self._counters.count(metrics.Counter.LINK_FAILURES)
            connection.close()
            peer.lost_connection = True
            peer.connection = None
            self._dial(peer)
        elif silent_s > PING_AFTER_SILENCE_S:
            connection.send(_frames.Ping(number), self._get_config_index())

    def _notify_room(self, connection: _connection.Connection) -> None:
        if self._peer(connection.address).connection is connection:
            self._notify(connection.address, LinkEvent.WRITABLE)

    def _notify(self, address: str, event: LinkEvent) -> None:
        for handler in self._event_handlers:
            handler(address, event)


def _now_ms() -> int:
    return int(clock.now_s() * 1000)
