"""Leader's side of log replication to each of the other replicas."""

from __future__ import annotations

import enum

import msgspec

from papayastall import _raft_state
from papayastall import _raft_types as types

__all__ = ["Progress", "Replication"]

MAX_APPEND_BYTES = 256 * 1024
MAX_IN_FLIGHT_APPENDS = 8
RESEND_TIMEOUT_HEARTBEATS = 4
"""Heartbeat intervals without a reply after which messages count as lost."""


class Mode(enum.Enum):
    """Mode of replication to a replica."""

    PROBE = "probe"
    """One message at a time, until the matching index is known."""
    REPLICATE = "replicate"
    """Pipelined: several messages without waiting for replies."""
    SNAPSHOT = "snapshot"
    """Snapshot chunks: the log no longer has the entries to send."""


class Progress(msgspec.Struct):
    """Leader's view of one other replica.

    :param next_index: index of the next entry to send.
    :param replied_s: time of its last reply.
    :param boot: start number of its process, and the random number
        generated at that start.
    :param match_index: index up to which its log matches the leader's.
    :param in_flight: number of messages with entries that have no reply.
    :param lease_sent_s: time of sending of the latest message that it
        replied to.
    :param probe_sent_s: time at which the last probe or snapshot chunk was
        sent; ``None`` if the next probe may be sent.
    :param snapshot_index: last included index of the snapshot that is being
        sent.
    :param snapshot_offset: offset of the requested chunk, in bytes.
    """

    member: types.Member
    next_index: int
    replied_s: float
    boot: tuple[int, int]
    match_index: int = 0
    mode: Mode = Mode.PROBE
    in_flight: int = 0
    lease_sent_s: float | None = None
    probe_sent_s: float | None = None
    snapshot_index: int = 0
    snapshot_offset: int = 0


class Replication:
    """Sends entries and snapshots to the other replicas.

    :param state: state of the leader's replica.
    """

    __slots__ = ("_resend_timeout_s", "_state")

    def __init__(self, state: _raft_state.RaftState) -> None:
        self._state = state
        self._resend_timeout_s = (
            RESEND_TIMEOUT_HEARTBEATS * state.timings.heartbeat_s
        )

    def heartbeat(self, now_s: float, progress: Progress) -> None:
        """Send missing entries, or a message without entries.

        In snapshot mode the chunk is requested again after the resend
        timeout.
        """
        if now_s - progress.replied_s >= self._resend_timeout_s:
            self._reset_in_flight(progress)
        if progress.mode is Mode.SNAPSHOT:
            self._send_append(now_s, progress, progress.match_index, ())
            sent_s = progress.probe_sent_s
            if sent_s is None or now_s - sent_s >= self._resend_timeout_s:
                self._request_chunk(now_s, progress)
            return
        progress.probe_sent_s = None
        if not self.send_entries(now_s, progress):
            prev_index = progress.next_index - 1
            self._send_append(now_s, progress, prev_index, ())

    def _reset_in_flight(self, progress: Progress) -> None:
        """Treat all messages in flight as lost."""
        progress.in_flight = 0
        if progress.mode is Mode.REPLICATE:
            progress.mode = Mode.PROBE
            progress.next_index = progress.match_index + 1

    def send_entries(self, now_s: float, progress: Progress) -> bool:
        """Send entries that the replica lacks, as far as its mode allows.

        Switches to snapshot chunks if the log no longer has the entries.

        :returns: whether anything was sent or requested.
        """
        sent = False
        while self._may_send(progress):
            first = progress.next_index
            if first <= self._state.log.base.index:
                progress.mode = Mode.SNAPSHOT
                progress.snapshot_index = 0
                self._request_chunk(now_s, progress)
                return True
            entries = self._state.log.slice(first, MAX_APPEND_BYTES)
            if not entries:
                return sent
            self._send_append(now_s, progress, first - 1, entries)
            sent = True
            if progress.mode is Mode.PROBE:
                progress.probe_sent_s = now_s
            else:
                progress.next_index = entries[-1].index + 1
                progress.in_flight += 1
        return sent

    def _may_send(self, progress: Progress) -> bool:
        match progress.mode:
            case Mode.PROBE:
                return progress.probe_sent_s is None
            case Mode.REPLICATE:
                return progress.in_flight < MAX_IN_FLIGHT_APPENDS
            case Mode.SNAPSHOT:
                return False

    def _send_append(
        self,
        now_s: float,
        progress: Progress,
        prev_index: int,
        entries: tuple[types.Entry, ...],
    ) -> None:
        state = self._state
        prev_term: int | None = 0
        prev_chain: int | None = 0
        if prev_index < state.log.base.index:
            prev_index = 0
        else:
            prev_term = state.log.term_at(prev_index)
            prev_chain = state.log.chain_at(prev_index)
        if prev_term is None or prev_chain is None:
            types.require(False, "the leader holds what it sends")
            return
        member = progress.member
        body = types.Append(
            prev_index,
            prev_term,
            prev_chain,
            state.commit_index,
            entries,
            now_s,
        )
        state.out.early.append(
            state.message(member.address, member.folder_id, body)
        )

    def _request_chunk(self, now_s: float, progress: Progress) -> None:
        state = self._state
        if progress.snapshot_index != state.snapshot.index:
            progress.snapshot_index = state.snapshot.index
            progress.snapshot_offset = 0
        progress.probe_sent_s = now_s
        chunk = types.SnapshotChunk(
            state.snapshot, progress.snapshot_offset, 0, b"", now_s
        )
        message = state.message(
            progress.member.address, progress.member.folder_id, chunk
        )
        state.out.chunks.append(types.ChunkRequest(message, chunk))

    def on_append_reply(
        self, now_s: float, progress: Progress, body: types.AppendReply
    ) -> None:
        """Update the progress by a reply, and send what follows."""
        if not body.success:
            self._on_mismatch(now_s, progress, body)
            return
        progress.in_flight = max(0, progress.in_flight - 1)
        progress.match_index = max(progress.match_index, body.match_index)
        progress.next_index = max(
            progress.next_index, progress.match_index + 1
        )
        if progress.mode is Mode.PROBE or (
            progress.match_index >= self._state.log.base.index
        ):
            progress.mode = Mode.REPLICATE
        self.send_entries(now_s, progress)

    def _on_mismatch(
        self, now_s: float, progress: Progress, body: types.AppendReply
    ) -> None:
        next_index = body.match_index + 1
        if progress.mode is Mode.SNAPSHOT:
            return
        if not progress.match_index < next_index < progress.next_index:
            return
        progress.mode = Mode.PROBE
        progress.in_flight = 0
        progress.next_index = next_index
        progress.probe_sent_s = None
        self.send_entries(now_s, progress)

    def on_snapshot_reply(
        self, now_s: float, progress: Progress, body: types.SnapshotReply
    ) -> None:
        """Request the next chunk, or continue with log entries."""
        if body.installed:
            progress.match_index = max(progress.match_index, body.index)
            progress.next_index = progress.match_index + 1
            progress.mode = Mode.PROBE
            progress.probe_sent_s = None
            progress.in_flight = 0
            self.send_entries(now_s, progress)
        elif (
            progress.mode is Mode.SNAPSHOT
            and body.index == progress.snapshot_index
            and body.next_offset != progress.snapshot_offset
        ):
            progress.snapshot_offset = body.next_offset
            self._request_chunk(now_s, progress)
