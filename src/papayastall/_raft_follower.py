"""Follower's side of log replication: entries and snapshots."""

from __future__ import annotations

import msgspec

from papayastall import _raft_state
from papayastall import _raft_types as types

__all__ = ["Follower"]


class _IncomingSnapshot(msgspec.Struct):
    """Snapshot of which not all chunks have been received.

    :param term: term of the leader that sends it.
    :param index: last included index.
    :param next_offset: offset of the next expected chunk, in bytes.
    """

    term: int
    index: int
    next_offset: int


class Follower:
    """Handles the entries and snapshot chunks that a leader sends.

    :param state: state of the replica.
    """

    __slots__ = ("_incoming", "_state")

    def __init__(self, state: _raft_state.RaftState) -> None:
        self._state = state
        self._incoming: _IncomingSnapshot | None = None

    def _accept_leader(self, now_s: float, message: types.Message) -> bool:
        """Become a follower of the sender, unless its term is stale.

        :returns: whether the sender leads the current term.
        """
        state = self._state
        if message.term < state.term:
            return False
        if message.term > state.term:
            state.set_term(message.term)
        types.require(
            state.role is not types.Role.LEADER,
            f"term {state.term} has one leader",
        )
        state.role = types.Role.FOLLOWER
        state.set_leader(message.sender)
        if not state.cluster_id:
            state.cluster_id = message.cluster_id
            state.write_hard_state()
        state.leader_contact_s = now_s
        state.reset_election_timeout(now_s)
        return True

    def on_append(
        self, now_s: float, message: types.Message, body: types.Append
    ) -> None:
        """Append the leader's entries, and reply.

        Entries with a wrong checksum get no reply; the leader sends them
        again.
        """
        state = self._state
        if not self._accept_leader(now_s, message):
            self._reply_append(message, body, False, 0)
            return
        hint = self._mismatch_hint(body)
        if hint is not None:
            self._reply_append(message, body, False, hint)
            return
        if not _is_chained(body):
            return
        match_index = self._append_entries(body)
        state.advance_commit(min(body.commit_index, match_index))
        self._reply_append(message, body, True, match_index)

    def _reply_append(
        self,
        message: types.Message,
        body: types.Append,
        success: bool,
        match_index: int,
    ) -> None:
        state = self._state
        state.reply(
            message.sender,
            types.AppendReply(
                success, match_index, state.log.last_index, body.sent_s
            ),
        )

    def _mismatch_hint(self, body: types.Append) -> int | None:
        """Check that the log matches the leader's before the new entries.

        :returns: ``None`` if it matches, otherwise the highest index at
            which the logs may still match.
        """
        state = self._state
        prev_index = body.prev_index
        if prev_index <= state.commit_index:
            chain = state.log.chain_at(prev_index)
            types.require(
                chain is None or chain == body.prev_chain,
                "committed entries never change",
            )
            return None
        term = state.log.term_at(prev_index)
        if term is None:
            return state.log.last_index
        if term != body.prev_term:
            first = state.log.first_index_of_term(prev_index)
            return max(first - 1, state.commit_index)
        types.require(
            state.log.chain_at(prev_index) == body.prev_chain,
            "logs that agree at an entry agree before it",
        )
        return None

    def _append_entries(self, body: types.Append) -> int:
        """Append the entries that the log lacks.

        Entries that conflict with the leader's are removed first.

        :returns: the index up to which the log now matches the leader's.
        """
        state = self._state
        log = state.log
        wrote = False
        for entry in body.entries:
            if entry.index <= log.base.index:
                continue
            term = log.term_at(entry.index)
            if term == entry.term:
                types.require(
                    log.chain_at(entry.index) == entry.chain,
                    "entries at one index and term are equal",
                )
                continue
            if term is not None:
                types.require(
                    entry.index > state.commit_index,
                    "committed entries never change",
                )
                log.truncate(entry.index)
            if not wrote:
                state.write_hard_state()
                wrote = True
            state.write_entry(entry)
        last_sent = body.prev_index + len(body.entries)
        return max(last_sent, state.commit_index)

    def on_chunk(
        self, now_s: float, message: types.Message, body: types.SnapshotChunk
    ) -> None:
        """Store a snapshot chunk; the last one replaces the log."""
        state = self._state
        if not self._accept_leader(now_s, message):
            return
        meta = body.meta
        if state.log.term_at(meta.index) == meta.term:
            state.advance_commit(meta.index)
        if meta.index <= state.commit_index:
            self._reply_chunk(message, body, body.size_bytes, True)
            return
        incoming = self._incoming_for(message.term, body)
        if body.offset != incoming.next_offset:
            self._reply_chunk(message, body, incoming.next_offset, False)
            return
        incoming.next_offset += len(body.data)
        last = incoming.next_offset >= body.size_bytes
        state.out.writes.append(
            types.ChunkWrite(meta, body.offset, body.data, last)
        )
        if last:
            self._install(meta)
        self._reply_chunk(message, body, incoming.next_offset, last)

    def _incoming_for(
        self, term: int, body: types.SnapshotChunk
    ) -> _IncomingSnapshot:
        incoming = self._incoming
        key = (term, body.meta.index)
        if incoming is None or (incoming.term, incoming.index) != key:
            incoming = _IncomingSnapshot(*key, 0)
            self._incoming = incoming
        return incoming

    def _install(self, meta: types.SnapshotMeta) -> None:
        state = self._state
        types.require(
            meta.index > state.commit_index,
            "a snapshot never takes the log back",
        )
        state.log.reset(meta)
        state.snapshot = meta
        state.commit_index = meta.index
        state.delivered_index = meta.index
        state.out.committed.clear()
        state.out.restored = meta
        self._incoming = None

    def _reply_chunk(
        self,
        message: types.Message,
        body: types.SnapshotChunk,
        next_offset: int,
        installed: bool,
    ) -> None:
        self._state.reply(
            message.sender,
            types.SnapshotReply(
                body.meta.index, next_offset, installed, body.sent_s
            ),
        )


def _is_chained(body: types.Append) -> bool:
    """Whether indexes and checksums follow from the preceding entry."""
    index, chain = body.prev_index, body.prev_chain
    for entry in body.entries:
        index += 1
        made = types.make_entry(
            index, entry.term, entry.kind, entry.payload, chain
        )
        if made != entry:
            return False
        chain = entry.chain
    return True
