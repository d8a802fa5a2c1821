"""Transport of the messages of all groups over the links between nodes."""

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

FULL_BATCH_BYTES = 512 * 1024
MESSAGE_OVERHEAD_BYTES = 64
PROBE_AFTER_SILENCE_S = 0.7
PROBE_TIMEOUT_S = 2.0

GroupMessage = tuple[int, types.Message]


class ReplicaLinks:
    """Sends and receives batches of messages between replicas.

    :param on_batch: is called with each received batch, as pairs of group
        and message, and with its encoded size in bytes.
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
        self._received_s: dict[str, float] = {}
        self._probing: set[str] = set()

    def start(
        self, tasks: anyio.abc.TaskGroup, identity: types.Sender
    ) -> None:
        """Start to send and receive.

        :param tasks: runs the probes of silent peers.
        :param identity: sender of all messages.
        """
        self._identity = identity
        self._tasks = tasks
        channel = _peering.Channel.RAFT
        self._peering.handle_casts(channel, self._on_cast)
        self._peering.handle_calls(channel, self._on_call)

    async def _on_cast(self, peer: str, body: bytes) -> None:
        if self._identity is None:
            return
        self._received_s[peer] = clock.now_s()
        own_address = self._identity.address
        with contextlib.suppress(exceptions.ProtocolError):
            batch = codec.decode_batch(body, peer, own_address)
            self._on_batch(batch, len(body))

    async def _on_call(self, peer: str, body: bytes) -> bytes:
        """Answer a peer that probes the link."""
        return b""

    def send(self, messages: cabc.Iterable[GroupMessage]) -> None:
        """Send messages, batched by receiver."""
        if self._identity is None:
            return
        by_peer: dict[str, list[GroupMessage]] = {}
        for group, message in messages:
            by_peer.setdefault(message.to, []).append((group, message))
        for peer, peer_messages in by_peer.items():
            self._probe_if_silent(peer)
            for batch in _split(peer_messages):
                body = codec.encode_batch(self._identity, batch)
                self._peering.cast(peer, _peering.Channel.RAFT, body)

    def _probe_if_silent(self, peer: str) -> None:
        """Probe a peer that has sent nothing for ``PROBE_AFTER_SILENCE_S``.

        A link notices that its connection is dead, and replaces it, only
        while a call is pending. Raft messages are casts, not calls.
        """
        now_s = clock.now_s()
        received_s = self._received_s.setdefault(peer, now_s)
        if now_s - received_s < PROBE_AFTER_SILENCE_S or peer in self._probing:
            return
        if self._tasks is not None:
            self._probing.add(peer)
            self._tasks.start_soon(self._probe, peer)

    async def _probe(self, peer: str) -> None:
        try:
            with contextlib.suppress(exceptions.PapayastallError):
                await self._peering.call(
                    peer, _peering.Channel.RAFT, b"", PROBE_TIMEOUT_S
                )
        finally:
            self._probing.discard(peer)


def _size_bytes(message: types.Message) -> int:
    """Return the approximate encoded size of a message."""
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
    """Split messages into batches.

    A batch ends with the message that brings it to ``FULL_BATCH_BYTES``.
    """
    batch: list[GroupMessage] = []
    size_bytes = 0
    for group, message in messages:
        batch.append((group, message))
        size_bytes += _size_bytes(message)
        if size_bytes >= FULL_BATCH_BYTES:
            yield batch
            batch = []
            size_bytes = 0
    if batch:
        yield batch
