"""Carries the messages of all groups over the links between nodes."""

from __future__ import annotations

import collections.abc as cabc
import contextlib

import anyio.abc

from papayastall import _peering
from papayastall import _raft_codec as codec
from papayastall import _raft_types as types
from papayastall import clock
from papayastall import exceptions

__all__ = ["ReplicaLinks"]

MAX_BATCH_BYTES = 512 * 1024
MESSAGE_OVERHEAD_BYTES = 64
SILENT_PEER_S = 0.7
LINK_CHECK_TIMEOUT_S = 2.0

GroupMessage = tuple[int, types.Message]


class ReplicaLinks:
    """Sends batches of messages and receives those of the others.

    :param on_batch: takes messages with their groups, and the size of
        all of them in bytes.
    """

    def __init__(
        self,
        peering: _peering.Peering,
        on_batch: cabc.Callable[[list[GroupMessage], int], None],
    ) -> None:
        self._peering = peering
        self._on_batch = on_batch
        self._identity: types.Sender | None = None
        self._tasks: anyio.abc.TaskGroup | None = None
        self._heard_s: dict[str, float] = {}
        self._checking: set[str] = set()

    def start(
        self, tasks: anyio.abc.TaskGroup, identity: types.Sender
    ) -> None:
        """Take part on the links as this process."""
        self._identity = identity
        self._tasks = tasks
        channel = _peering.Channel.RAFT
        self._peering.handle_casts(channel, self._on_cast)
        self._peering.handle_calls(channel, self._on_call)

    async def _on_cast(self, peer: str, body: bytes) -> None:
        if self._identity is None:
            return
        self._heard_s[peer] = clock.now_s()
        own_address = self._identity.address
        with contextlib.suppress(exceptions.ProtocolError):
            batch = codec.decode_batch(body, peer, own_address)
            self._on_batch(batch, len(body))

    async def _on_call(self, peer: str, body: bytes) -> bytes:
        """Answer whoever wants to know whether the link is alive."""
        return b""

    def send(self, messages: cabc.Iterable[GroupMessage]) -> None:
        """Send messages to their receivers, batched for each of them."""
        if self._identity is None:
            return
        by_peer: dict[str, list[GroupMessage]] = {}
        for group, message in messages:
            by_peer.setdefault(message.to, []).append((group, message))
        for peer, chosen in by_peer.items():
            self._check(peer)
            for batch in _split(chosen):
                body = codec.encode_batch(self._identity, batch)
                self._peering.cast(peer, _peering.Channel.RAFT, body)

    def _check(self, peer: str) -> None:
        """Call a peer that is silent, so that a dead link is replaced."""
        now_s = clock.now_s()
        heard_s = self._heard_s.setdefault(peer, now_s)
        if now_s - heard_s < SILENT_PEER_S or peer in self._checking:
            return
        if self._tasks is not None:
            self._checking.add(peer)
            self._tasks.start_soon(self._call_silent, peer)

    async def _call_silent(self, peer: str) -> None:
        try:
            with contextlib.suppress(exceptions.PapayastallError):
                await self._peering.call(
                    peer, _peering.Channel.RAFT, b"", LINK_CHECK_TIMEOUT_S
                )
        finally:
            self._checking.discard(peer)


def _size_bytes(message: types.Message) -> int:
    match message.body:
        case types.Append(entries=entries):
            size_bytes = sum(
                len(each.payload) + MESSAGE_OVERHEAD_BYTES for each in entries
            )
        case types.SnapshotChunk(data=data):
            size_bytes = len(data)
        case _:
            size_bytes = 0
    return size_bytes + MESSAGE_OVERHEAD_BYTES


def _split(
    messages: cabc.Iterable[GroupMessage],
) -> cabc.Iterator[list[GroupMessage]]:
    """Split messages into batches of a bounded size."""
    batch: list[GroupMessage] = []
    size_bytes = 0
    for group, message in messages:
        batch.append((group, message))
        size_bytes += _size_bytes(message)
        if size_bytes >= MAX_BATCH_BYTES:
            yield batch
            batch = []
            size_bytes = 0
    if batch:
        yield batch
