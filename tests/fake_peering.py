"""Messages between the nodes of one process, without sockets."""

from __future__ import annotations

import anyio
import anyio.abc

from papayastall import _peering
from papayastall import exceptions


class Network:
    """Connects the peerings of all nodes.

    :param tasks: runs the handlers.
    :ivar cuts: pairs of sender and receiver whose messages are lost.
    :ivar casts: number of one-way messages that were delivered.
    :ivar cast_bytes: total size of their bodies.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.tasks = tasks
        self.nodes: dict[str, FakePeering] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.casts = 0
        self.cast_bytes = 0

    def add(self, address: str) -> FakePeering:
        """Add a node and return its peering."""
        self.nodes[address] = FakePeering(self, address)
        return self.nodes[address]


class FakePeering:
    """The peering of one node; implements :class:`_peering.Peering`."""

    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address
        self._casts: dict[_peering.Channel, _peering.CastHandler] = {}
        self._calls: dict[_peering.Channel, _peering.CallHandler] = {}

    def handle_casts(
        self, channel: _peering.Channel, handler: _peering.CastHandler
    ) -> None:
        self._casts[channel] = handler

    def handle_calls(
        self, channel: _peering.Channel, handler: _peering.CallHandler
    ) -> None:
        self._calls[channel] = handler

    def is_connected(self, peer: str) -> bool:
        cuts = {(self._address, peer), (peer, self._address)}
        return peer in self._network.nodes and not cuts & self._network.cuts

    def cast(self, peer: str, channel: _peering.Channel, body: bytes) -> None:
        network = self._network
        node = network.nodes.get(peer)
        if node is None or (self._address, peer) in network.cuts:
            return
        network.casts += 1
        network.cast_bytes += len(body)
        handler = node._casts.get(channel)
        if handler is not None:
            network.tasks.start_soon(handler, self._address, body)

    async def call(
        self,
        peer: str,
        channel: _peering.Channel,
        body: bytes,
        timeout_s: float,
    ) -> bytes:
        node = self._network.nodes.get(peer)
        cuts = {(self._address, peer), (peer, self._address)}
        if node is None or cuts & self._network.cuts:
            await anyio.sleep(timeout_s)
            raise exceptions.UnreachableError(
                exceptions.ErrorCode.LINK_FAILED,
                "no answer",
                step="call",
                peer=peer,
            )
        handler = node._calls.get(channel)
        if handler is None:
            raise exceptions.PapayastallError(
                exceptions.ErrorCode.BAD_FRAME,
                f"channel {channel} has no handler",
                step="call",
                peer=peer,
            )
        return await handler(self._address, body)
