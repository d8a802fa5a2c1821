"""TCP relays in front of nodes' link listeners, for fault injection."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

__all__ = ["Relay"]

READ_SIZE_BYTES = 1 << 16


@dataclasses.dataclass(slots=True, eq=False)
class _Gate:
    """Passes the bytes of one direction while ``is_open`` is set."""

    is_open: asyncio.Event
    delay_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class _Link:
    """One relayed connection from the node with the address ``source``."""

    source: str
    to_node: _Gate
    from_node: _Gate


class Relay:
    """A relay that stands in for a node's link listener.

    Bytes that a fault holds back are delivered once it is healed, as on a
    network that retransmits lost packets.

    :param target: ``ip:port`` of the node's listener.
    :ivar address: ``ip:port`` of the relay; "" until it is started.
    :ivar sources: link addresses of the nodes that may connect.
    :ivar delay_s: delay added to each chunk that is relayed.
    """

    def __init__(self, target: str) -> None:
        self.address = ""
        self.sources: list[str] = []
        self.delay_s = 0.0
        self._target = target
        self._links: set[_Link] = set()
        self._cut_to: set[str] = set()
        self._cut_from: set[str] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start to listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Stop listening and close all connections."""
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self, source: str, *, to_node: bool, from_node: bool) -> None:
        """Hold back bytes between two nodes until :meth:`heal`.

        New connections between them are affected as well.

        :param source: link address of the connecting node.
        :param to_node: whether to hold back bytes to the relayed node.
        :param from_node: whether to hold back bytes from it.
        """
        if to_node:
            self._cut_to.add(source)
        if from_node:
            self._cut_from.add(source)
        for link in self._links:
            if link.source == source:
                self._apply(link)

    def stall_connections(
        self,
        source: str | None = None,
        *,
        to_node: bool = True,
        from_node: bool = True,
    ) -> None:
        """Hold back bytes of the connections that are open now.

        :param source: only of connections from this node; ``None`` for all.
        :param to_node: whether to hold back bytes to the relayed node.
        :param from_node: whether to hold back bytes from it.
        """
        for link in self._links:
            if source not in (None, link.source):
                continue
            if to_node:
                link.to_node.is_open.clear()
            if from_node:
                link.from_node.is_open.clear()

    def heal(self) -> None:
        """End all faults and deliver the bytes held back."""
        self._cut_to.clear()
        self._cut_from.clear()
        for link in self._links:
            link.to_node.is_open.set()
            link.from_node.is_open.set()

    def _apply(self, link: _Link) -> None:
        if link.source in self._cut_to:
            link.to_node.is_open.clear()
        if link.source in self._cut_from:
            link.from_node.is_open.clear()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The first frame is a hello, which holds the sender's address.
        first = await reader.read(READ_SIZE_BYTES)
        known = [name for name in self.sources if name.encode() in first]
        if not known:
            return
        host, _, port = self._target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(
            host, int(port)
        )
        link = _Link(known[0], _Gate(asyncio.Event()), _Gate(asyncio.Event()))
        link.to_node.is_open.set()
        link.from_node.is_open.set()
        self._apply(link)
        self._links.add(link)
        try:
            await asyncio.gather(
                self._pump(first, reader, target_writer, link.to_node),
                self._pump(b"", target_reader, writer, link.from_node),
            )
        finally:
            self._links.discard(link)
            target_writer.close()

    async def _pump(
        self,
        data: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: _Gate,
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                await gate.is_open.wait()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if data:
                    writer.write(data)
                    await writer.drain()
                data = await reader.read(READ_SIZE_BYTES)
                if not data:
                    await gate.is_open.wait()
                    break
        writer.close()
