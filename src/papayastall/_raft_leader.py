"""Leader's duties: replication, commit, read lease and configuration."""

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
    """Return the configuration without a member, its folder retired."""
    retired = members.retired
    if removed.folder_id:
        retired = (*retired, removed.folder_id)
    return types.Members(
        tuple(m for m in members.members if m is not removed), retired
    )


class Leadership:
    """Leader state of one replica for one term.

    :param state: state of the replica.
    """

    __slots__ = (
        "_elected_s",
        "_next_heartbeat_s",
        "_progress",
        "_replication",
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
        self._next_heartbeat_s = now_s
        self._elected_s = now_s
        self._track_members(now_s)
        self.append(now_s, types.EntryKind.NOOP, [b""])

    def append(
        self, now_s: float, kind: types.EntryKind, payloads: list[bytes]
    ) -> types.Position:
        """Append entries of the current term and send them.

        :returns: the position of the first entry.
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
        """Track the progress of all members, voters or not."""
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
        """Record that the whole log is now durable on this replica."""
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
        # An entry of an earlier term may still be overwritten although a
        # majority stores it; it is committed together with the first entry
        # of this term (section 5.4.2 of the Raft paper).
        if index >= self._term_start_index:
            state.advance_commit(index)

    def lease_until_s(self, now_s: float) -> float:
        """Return when the lease expires.

        Until then no other replica can have been elected: a majority
        replied to messages sent less than ``lease_s`` earlier.
        """
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
        """Whether a majority replied within the minimum election timeout."""
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
        """Return the index that must be applied before a read.

        :returns: ``None`` without a valid lease, or before an entry of the
            current term is committed.
        """
        state = self._state
        if now_s >= self.lease_until_s(now_s):
            return None
        if state.commit_index < self._term_start_index:
            return None
        return state.commit_index

    @property
    def due_s(self) -> float:
        """When the next heartbeat must be sent."""
        return self._next_heartbeat_s

    def tick(self, now_s: float) -> None:
        """Send heartbeats and update the configuration, if it is time."""
        if now_s < self._next_heartbeat_s:
            return
        # Multiples of the period: heartbeats of all groups to one node are
        # sent in one message.
        period_s = self._state.timings.heartbeat_s
        self._next_heartbeat_s = (math.floor(now_s / period_s) + 1) * period_s
        for progress in self._progress.values():
            self._replication.heartbeat(now_s, progress)
        self._promote(now_s)
        self._remove_silent_voter(now_s)
        self._register_boots(now_s)

    def on_append_reply(
        self, now_s: float, message: types.Message, body: types.AppendReply
    ) -> None:
        """Record how far a replica's log matches, and send what follows."""
        progress = self._record_reply(now_s, message, body.sent_s)
        if progress is None or self._lost_writes(message, body, progress):
            return
        self._replication.on_append_reply(now_s, progress, body)
        self._advance_commit()

    def _record_reply(
        self, now_s: float, message: types.Message, sent_s: float
    ) -> replication.Progress | None:
        """Record the time of a reply.

        :returns: the sender's progress; ``None`` if the sender is not
            tracked, or the reply is of another term or an earlier start.
        """
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
        """Whether a restarted replica lacks entries it had acknowledged."""
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
        """Record how much of a snapshot a replica has stored."""
        progress = self._record_reply(now_s, message, body.sent_s)
        if progress is not None:
            # An earlier reply of the same start may still arrive. Its last
            # index is from before the snapshot, which is no lost write.
            sender = message.sender
            progress.boot = (sender.boot, sender.boot_nonce)
            self._replication.on_snapshot_reply(now_s, progress, body)
            self._advance_commit()

    def transfer_target(self, now_s: float) -> types.Member | None:
        """Return the most up-to-date voter that is eligible to lead.

        It must have replied within the minimum election timeout and have
        all committed entries.
        """
        earliest_s = now_s - self._state.timings.election_min_s
        eligible = [
            progress
            for progress in self._progress.values()
            if progress.member.voter
            and progress.replied_s >= earliest_s
            and progress.match_index >= self._state.commit_index
        ]
        if not eligible:
            return None
        return max(eligible, key=lambda progress: progress.match_index).member

    def preferred_transfer_target(self, now_s: float) -> types.Member | None:
        """Return the preferred voter if leadership is due to it.

        :returns: ``None`` before the delay has passed, while a
            configuration change is pending, and if that voter is this
            replica, lacks committed entries or does not reply.
        """
        state = self._state
        preferred = state.preferred_leader()
        if (
            preferred is None
            or now_s < self._elected_s + state.transfer_delay_s
        ):
            return None
        progress = self._progress.get(preferred.folder_id)
        if progress is None or not self.may_change_members():
            return None
        is_eligible = (
            progress.match_index >= state.commit_index
            and now_s - progress.replied_s < state.timings.lease_s
        )
        return preferred if is_eligible else None

    def may_change_members(self) -> bool:
        """Whether the latest configuration change is committed."""
        state = self._state
        return (
            state.commit_index >= self._term_start_index
            and state.log.members_index <= state.commit_index
        )

    def set_members(self, now_s: float, members: types.Members) -> None:
        """Append a configuration change.

        :param members: new configuration; differs in at most one voter.
        """
        before = self._state.log.members.voter_ids()
        after = members.voter_ids()
        types.require(
            len(before ^ after) <= 1 and self.may_change_members(),
            "voters change one at a time",
        )
        payload = codec.encode_members(members)
        self.append(now_s, types.EntryKind.MEMBERS, [payload])

    def _promote(self, now_s: float) -> None:
        """Make a replica a voter once it has all committed entries."""
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
                self.set_members(now_s, self._with_member(voter))
                return

    def _remove_silent_voter(self, now_s: float) -> None:
        """Remove one voter above the target number that does not reply.

        A replacement at another address adds a voter. The voter that it
        replaces would only increase the majority that commits need.
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
            silent = progress.member
            if silent.voter and progress.replied_s < earliest_s:
                self.set_members(
                    now_s, without_member(state.log.members, silent)
                )
                return

    def _register_boots(self, now_s: float) -> None:
        """Store the latest start numbers in the configuration.

        They tell older copies of a data folder from the current one.
        """
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

    def _with_member(self, changed: types.Member) -> types.Members:
        members = self._state.log.members
        return types.Members(
            tuple(
                changed if member.address == changed.address else member
                for member in members.members
            ),
            members.retired,
        )
