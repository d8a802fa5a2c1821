"""Carries the datagrams of the membership protocol over UDP."""

from __future__ import annotations

import collections.abc as cabc
import socket

import anyio
import anyio.abc
import msgspec

from papayastall import _gossip_codec
from papayastall import _membership
from papayastall import _membership_types as types
from papayastall import clock
from papayastall import exceptions

__all__ = ["GossipCounters", "Gossiper"]

RECEIVE_BUFFER_SIZE_BYTES = 2048


class GossipCounters(msgspec.Struct):
    """Datagrams and bytes that passed a gossiper's socket.

    :param bad_key: datagrams refused because no key verifies them.
    :param bad_format: datagrams dropped because they can't be decoded.
    """

    sent: int = 0
    sent_bytes: int = 0
    send_failed: int = 0
    received: int = 0
    received_bytes: int = 0
    bad_key: int = 0
    bad_format: int = 0


class Gossiper:
    """Runs a :class:`Membership` on a UDP socket.

    :param datagram_address: where to bind, ``ip:port``.
    :param keys: secrets of the fleet; the first one signs, all verify.
    :param on_event: runs for each event of the membership, in order.
    """

    def __init__(
        self,
        membership: _membership.Membership,
        datagram_address: str,
        keys: cabc.Sequence[bytes],
        on_event: cabc.Callable[[types.MembershipEvent], None],
    ) -> None:
        self.counters = GossipCounters()
        self._membership = membership
        self._datagram_address = datagram_address
        self._keys = tuple(keys)
        self._on_event = on_event
        self._socket: socket.socket | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Bind the socket and start the tasks that send and receive.

        :param tasks: group of the node; :meth:`close` ends the tasks.
        :raises OSError: the address can't be bound.
        """
        host, port = _host_and_port(self._datagram_address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        udp = socket.socket(family, socket.SOCK_DGRAM)
        udp.setblocking(False)
        try:
            udp.bind((host, port))
        except OSError:
            udp.close()
            raise
        self._socket = udp
        tasks.start_soon(self._receive, udp)
        tasks.start_soon(self._tick, udp)

    async def close(self) -> None:
        """Tell some members that this node has left; close the socket."""
        if self._socket is None:
            return
        self.send(self._membership.finish_leaving(clock.now_s()))
        udp = self._socket
        self._socket = None
        anyio.notify_closing(udp)
        udp.close()

    def list_behind(self, index: int) -> list[str]:
        """Return the live members not known to have a config index."""
        return self._membership.list_behind(index)

    def poll_behind(self, index: int) -> None:
        """Ask these members for the index that they have in force."""
        self.send(self._membership.poll_behind(index))

    def send(self, actions: cabc.Iterable[types.MembershipAction]) -> None:
        """Carry out actions that a call to the membership returned."""
        for action in actions:
            if isinstance(action, types.SendDatagram):
                self._send(action)
            else:
                self._on_event(action)

    def _send(self, action: types.SendDatagram) -> None:
        if self._socket is None:
            return
        data = _gossip_codec.encode(action.datagram, self._keys[0])
        try:
            self._socket.sendto(data, _host_and_port(action.datagram_address))
        except OSError:
            # The protocol tolerates the loss of datagrams.
            self.counters.send_failed += 1
            return
        self.counters.sent += 1
        self.counters.sent_bytes += len(data)

    async def _tick(self, udp: socket.socket) -> None:
        while self._socket is udp:
            self.send(self._membership.tick(clock.now_s()))
            await anyio.sleep(_membership.TICK_INTERVAL_S)

    async def _receive(self, udp: socket.socket) -> None:
        while self._socket is udp:
            try:
                await anyio.wait_readable(udp)
            except (anyio.ClosedResourceError, OSError):
                return
            self._receive_one(udp)

    def _receive_one(self, udp: socket.socket) -> None:
        try:
            data, peer = udp.recvfrom(RECEIVE_BUFFER_SIZE_BYTES)
        except OSError:
            return
        self.counters.received += 1
        self.counters.received_bytes += len(data)
        try:
            datagram = _gossip_codec.decode(data, self._keys)
        except exceptions.RefusedError:
            self.counters.bad_key += 1
            return
        except exceptions.ProtocolError:
            self.counters.bad_format += 1
            return
        host = f"[{peer[0]}]" if ":" in peer[0] else peer[0]
        source = f"{host}:{peer[1]}"
        self.send(self._membership.receive(clock.now_s(), datagram, source))


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
