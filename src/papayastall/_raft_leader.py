"""What a leader does: replication, commit, lease and members."""

from __future__ import annotations

import math

import msgspec.structs

from papayastall import _raft_codec as codec
from papayastall import _raft_replication as replication
from papayastall import _raft_state
from papayastall import _raft_types as types

__all__ = ["Leadership", "without_member"]


def without_member(
    members: types.Members, removed: types.Member
) -> types.Members:
    """Return the members without one, whose folder may never come back."""
    retired = members.retired
    if removed.folder_id:
        retired = (*retired, removed.folder_id)
    return types.Members(
        tuple(m for m in members.members if m is not removed), retired
    )


class Leadership:
    """One replica's time as leader of one term.

    :param state: blackboard of the replica.
    """

    __slots__ = (
        "_heartbeat_s",
        "_progress",
        "_replication",
        "_since_s",
        "_stable_index",
        "_state",
        "_term_start_index",
    )

    def __init__(self, state: _raft_state.RaftState, now_s: float) -> None:
        self._state = state
        self._progress: dict[int, replication.Progress] = {}
        self._replication = replication.Replication(state)
        self._stable_index = state.log.last_index
        self._term_start_index = state.log.last_index + 1
        self._heartbeat_s = now_s
        self._since_s = now_s
        self._track_members(now_s)
        self.append(now_s, types.EntryKind.NOOP, [b""])

    def append(
        self, now_s: float, kind: types.EntryKind, payloads: list[bytes]
    ) -> types.Position:
        """Append entries of the own term and send them.

        :returns: the position of the first one.
        """
        state = self._state
        first = state.log.last_index + 1
        state.write_hard_state()
        for payload in payloads:
            state.write_entry(
                types.make_entry(
                    state.log.last_index + 1,
                    state.term,
                    kind,
                    payload,
                    state.log.last_chain,
                )
            )
        if kind is types.EntryKind.MEMBERS:
            self._track_members(now_s)
        for progress in self._progress.values():
            self._replication.send_entries(now_s, progress)
        return types.Position(first, state.term)

    def _track_members(self, now_s: float) -> None:
        """Follow the latest members, voting or not."""
        state = self._state
        kept: dict[int, replication.Progress] = {}
        for member in state.log.members.members:
            if member.folder_id in (0, state.identity.folder_id):
                continue
            progress = self._progress.get(member.folder_id)
            if progress is None:
                progress = replication.Progress(
                    member,
                    state.log.last_index + 1,
                    now_s,
                    (member.boot, member.boot_nonce),
                )
            progress.member = member
            kept[member.folder_id] = progress
        self._progress = kept

    def on_persisted(self) -> None:
        """Count the own log up to its end, now durable."""
        self._stable_index = self._state.log.last_index
        self._advance_commit()

    def _advance_commit(self) -> None:
        state = self._state
        matches = []
        for folder_id in state.log.members.voter_ids():
            if folder_id == state.identity.folder_id:
                matches.append(self._stable_index)
            else:
                matches.append(self._progress[folder_id].match_index)
        matches.sort(reverse=True)
        index = matches[state.quorum_size() - 1]
        # An entry of an earlier term may still be replaced even when a
        # majority holds it; it commits with the first one of this term.
        if index >= self._term_start_index:
            state.advance_commit(index)

    def lease_until_s(self, now_s: float) -> float:
        """Return until when no other replica can have been elected."""
        state = self._state
        times = []
        for folder_id in state.log.members.voter_ids():
            if folder_id == state.identity.folder_id:
                times.append(now_s)
                continue
            sent_s = self._progress[folder_id].lease_sent_s
            times.append(float("-inf") if sent_s is None else sent_s)
        times.sort(reverse=True)
        return times[state.quorum_size() - 1] + state.timings.lease_s

    def has_quorum(self, now_s: float) -> bool:
        """Whether a majority answered within the election timeout."""
        state = self._state
        earliest_s = now_s - state.timings.election_min_s
        count = 0
        for folder_id in state.log.members.voter_ids():
            if folder_id == state.identity.folder_id:
                count += 1
            elif self._progress[folder_id].replied_s >= earliest_s:
                count += 1
        return count >= state.quorum_size()

    def read_index(self, now_s: float) -> int | None:
        """Return what a read must have applied; ``None`` without lease."""
        state = self._state
        if now_s >= self.lease_until_s(now_s):
            return None
        if state.commit_index < self._term_start_index:
            return None
        return state.commit_index

    @property
    def due_s(self) -> float:
        """When the next heartbeat is due."""
        return self._heartbeat_s

    def tick(self, now_s: float) -> None:
        """Send heartbeats when they are due."""
        if now_s < self._heartbeat_s:
            return
        # On multiples of the period, so that all groups share a message.
        period_s = self._state.timings.heartbeat_s
        self._heartbeat_s = (math.floor(now_s / period_s) + 1) * period_s
        for progress in self._progress.values():
            self._replication.heartbeat(now_s, progress)
        self._promote(now_s)
        self._remove_silent(now_s)
        self._register_boots(now_s)

    def on_append_reply(
        self, now_s: float, message: types.Message, body: types.AppendReply
    ) -> None:
        """Take note of what a replica holds, and go on from there."""
        progress = self._hear(now_s, message, body.sent_s)
        if progress is None or self._lost_writes(message, body, progress):
            return
        self._replication.on_append_reply(now_s, progress, body)
        self._advance_commit()

    def _hear(
        self, now_s: float, message: types.Message, sent_s: float
    ) -> replication.Progress | None:
        """Return the sender's progress, unless it speaks from the past."""
        sender = message.sender
        progress = self._progress.get(sender.folder_id)
        if progress is None or message.term != self._state.term:
            return None
        if sender.boot < progress.boot[0]:
            return None
        progress.replied_s = now_s
        progress.lease_sent_s = max(progress.lease_sent_s or sent_s, sent_s)
        return progress

    def _lost_writes(
        self,
        message: types.Message,
        body: types.AppendReply,
        progress: replication.Progress,
    ) -> bool:
        """Whether a restarted replica lacks what it had acknowledged."""
        sender = message.sender
        boot = (sender.boot, sender.boot_nonce)
        if boot == progress.boot:
            return False
        if body.last_index < progress.match_index:
            reason = (
                "the data folder lacks writes that it had acknowledged: "
                "an older copy, or a disk that loses synced data"
            )
            self._state.reply(
                sender, types.StaleNotice(boot[0], boot[1], reason)
            )
            return True
        progress.boot = boot
        return False

    def on_snapshot_reply(
        self, now_s: float, message: types.Message, body: types.SnapshotReply
    ) -> None:
        """Take note of how much of a snapshot a replica holds."""
        progress = self._hear(now_s, message, body.sent_s)
        if progress is not None:
            # An earlier answer of this start may still be under way, with
            # an end of the log from before the snapshot.
            sender = message.sender
            progress.boot = (sender.boot, sender.boot_nonce)
            self._replication.on_snapshot_reply(now_s, progress, body)
            self._advance_commit()

    def transfer_target(self, now_s: float) -> types.Member | None:
        """Return the voter that is fit to lead next."""
        earliest_s = now_s - self._state.timings.election_min_s
        fit = [
            progress
            for progress in self._progress.values()
            if progress.member.voter
            and progress.replied_s >= earliest_s
            and progress.match_index >= self._state.commit_index
        ]
        if not fit:
            return None
        return max(fit, key=lambda progress: progress.match_index).member

    def yield_target(self, now_s: float) -> types.Member | None:
        """Return the preferred leader once it is time to yield to it."""
        state = self._state
        preferred = state.preferred_leader()
        if preferred is None or now_s < self._since_s + state.transfer_delay_s:
            return None
        progress = self._progress.get(preferred.folder_id)
        if progress is None or not self.may_change_members():
            return None
        is_fit = (
            progress.match_index >= state.commit_index
            and now_s - progress.replied_s < state.timings.lease_s
        )
        return preferred if is_fit else None

    def may_change_members(self) -> bool:
        """Whether the last change of members is committed."""
        state = self._state
        return (
            state.commit_index >= self._term_start_index
            and state.log.members_index <= state.commit_index
        )

    def set_members(self, now_s: float, members: types.Members) -> None:
        """Append a change of members; one voter at most may differ."""
        before = self._state.log.members.voter_ids()
        after = members.voter_ids()
        types.require(
            len(before ^ after) <= 1 and self.may_change_members(),
            "voters change one at a time",
        )
        payload = codec.encode_members(members)
        self.append(now_s, types.EntryKind.MEMBERS, [payload])

    def _promote(self, now_s: float) -> None:
        """Make a replica a voter once it holds all that is committed."""
        state = self._state
        if not self.may_change_members():
            return
        earliest_s = now_s - state.timings.election_min_s
        for progress in self._progress.values():
            if (
                not progress.member.voter
                and progress.match_index >= state.commit_index
                and progress.replied_s >= earliest_s
            ):
                voter = msgspec.structs.replace(progress.member, voter=True)
                self.set_members(now_s, self._with(voter))
                return

    def _remove_silent(self, now_s: float) -> None:
        """Remove a voter that was replaced, so that majorities stay small.

        A replacement at another address is one voter more; the silent one
        then only makes the majority larger.
        """
        state = self._state
        target_voters = state.formation.target_voters
        voters = state.log.members.voter_ids()
        if not 0 < target_voters < len(voters):
            return
        if not self.may_change_members():
            return
        earliest_s = now_s - state.timings.removal_timeout_s
        for progress in self._progress.values():
            gone = progress.member
            if gone.voter and progress.replied_s < earliest_s:
                self.set_members(
                    now_s, without_member(state.log.members, gone)
                )
                return

    def _register_boots(self, now_s: float) -> None:
        """Make the latest starts of all members known to the group."""
        if not self.may_change_members():
            return
        members = self._state.log.members
        own = self._state.identity
        boots = {p.member.folder_id: p.boot for p in self._progress.values()}
        boots[own.folder_id] = (own.boot, own.boot_nonce)
        changed = tuple(
            msgspec.structs.replace(
                member,
                boot=boots[member.folder_id][0],
                boot_nonce=boots[member.folder_id][1],
            )
            if member.folder_id in boots
            else member
            for member in members.members
        )
        if changed != members.members:
            self.set_members(now_s, types.Members(changed, members.retired))

    def _with(self, changed: types.Member) -> types.Members:
        members = self._state.log.members
        return types.Members(
            tuple(
                changed if member.address == changed.address else member
                for member in members.members
            ),
            members.retired,
        )
