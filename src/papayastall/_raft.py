"""One replica of the replicated log, without I/O.

It reads no clock and draws no random number of its own: the caller gives
``now_s``, seconds of one clock that only moves forward, and the source of
random numbers. Every call returns an :class:`_raft_types.Output`; the
caller carries it out and calls :meth:`Replica.on_persisted` once its writes
are durable.
"""

from __future__ import annotations

import random

from papayastall import _formation
from papayastall import _raft_election
from papayastall import _raft_follower
from papayastall import _raft_join
from papayastall import _raft_leader
from papayastall import _raft_log
from papayastall import _raft_state
from papayastall import _raft_types as types
from papayastall import exceptions

__all__ = ["Replica"]


class Replica:
    """One replica of one group.

    :param identity: this process; its boot must already be durable.
    :param addresses: all replicas, in the order of the settings.
    :param stored: what the data folder holds.
    :param preferred_voter_index: which of the voters should lead, see
        `RaftState`.
    """

    def __init__(
        self,
        identity: types.Sender,
        addresses: tuple[str, ...],
        stored: _raft_state.StoredState,
        timings: types.Timings,
        rng: random.Random,
        now_s: float,
        preferred_voter_index: int | None = None,
        formation: _formation.Formation = _formation.Formation(),
    ) -> None:
        state = _raft_state.RaftState(
            identity,
            addresses,
            stored,
            timings,
            rng,
            now_s,
            preferred_voter_index,
            formation,
        )
        self._state = state
        self._election = _raft_election.Election(state)
        self._follower = _raft_follower.Follower(state)
        self._joining = _raft_join.Joining(state, now_s)
        self._leadership: _raft_leader.Leadership | None = None

    @property
    def role(self) -> types.Role:
        """What this replica is in its present term."""
        return self._state.role

    @property
    def term(self) -> int:
        """The present term."""
        return self._state.term

    @property
    def election_count(self) -> int:
        """How often this replica stood for election."""
        return self._election.count

    @property
    def log(self) -> _raft_log.RaftLog:
        """The log; not to be changed by the caller."""
        return self._state.log

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def hard_state(self) -> types.HardState:
        """What a new segment of the write-ahead log must hold."""
        state = self._state
        return types.HardState(
            state.term, state.vote, state.cluster_id, state.commit_index
        )

    @property
    def snapshot_index(self) -> int:
        """Index that the latest snapshot covers."""
        return self._state.snapshot.index

    @property
    def leader(self) -> str | None:
        """Address of the leader, as far as it is known."""
        leader = self._state.leader
        return None if leader is None else leader.address

    @property
    def due_s(self) -> float:
        """When :meth:`tick` has something to do, if nothing arrives."""
        if self._leadership is not None:
            return self._leadership.due_s
        return min(self._joining.due_s, self._state.election_deadline_s)

    def set_join_targets(self, addresses: tuple[str, ...]) -> None:
        """Set whom this replica asks to let it in."""
        self._state.join_targets = addresses

    def start(self) -> types.Output:
        """Hand out what is known to be committed in the stored log."""
        state = self._state
        if state.snapshot.index:
            state.out.restored = state.snapshot
        state.advance_commit(state.commit_index)
        return self._take()

    def step(self, now_s: float, message: types.Message) -> types.Output:
        """Take a message from another replica."""
        if self._is_for_me(message):
            self._dispatch(now_s, message)
            self._drop_lost_leadership()
        return self._take()

    def tick(self, now_s: float) -> types.Output:
        """Do what is due, see :attr:`due_s`."""
        leadership = self._leadership
        if leadership is None:
            self._joining.tick(now_s)
            self._election.tick(now_s)
        elif not leadership.has_quorum(now_s):
            self._step_down(now_s)
        else:
            leadership.tick(now_s)
            self._yield(now_s, leadership)
        return self._take()

    def on_persisted(self, now_s: float) -> types.Output:
        """Take note that all writes handed out so far are durable."""
        if self._leadership is not None:
            self._leadership.on_persisted()
        elif self._election.on_persisted():
            self._lead(now_s)
        return self._take()

    def propose(
        self, now_s: float, payloads: list[bytes]
    ) -> tuple[types.Position, types.Output]:
        """Append commands to the log, where this replica may.

        :returns: the position of the first one.
        :raises papayastall.exceptions.PapayastallError: ``NOT_LEADER`` or
            ``NO_LEADER``; nothing was appended.
        """
        leadership = self._require_leadership(now_s)
        position = leadership.append(now_s, types.EntryKind.COMMAND, payloads)
        return position, self._take()

    def read_index(self, now_s: float) -> int:
        """Return the index that must be applied before a read.

        :raises papayastall.exceptions.PapayastallError: ``NOT_LEADER`` or
            ``NO_LEADER``, also when the lease is not sure.
        """
        leadership = self._require_leadership(now_s)
        index = leadership.read_index(now_s)
        if index is None:
            raise self._not_leading()
        return index

    def add_member(self, now_s: float, address: str) -> types.Output:
        """Admit a replica; it joins when it is started.

        :raises papayastall.exceptions.PapayastallError: not possible now.
        """
        members = self._state.log.members
        if members.find(address) is not None:
            return self._take()
        added = types.Member(address, 0, False, 0, 0)
        changed = types.Members((*members.members, added), members.retired)
        return self._change(now_s, changed)

    def remove_member(self, now_s: float, address: str) -> types.Output:
        """Remove a replica for good.

        :raises papayastall.exceptions.PapayastallError: not possible now.
        """
        members = self._state.log.members
        removed = members.find(address)
        if removed is None:
            return self._take()
        if address == self._state.identity.address:
            raise exceptions.PapayastallError(
                exceptions.ErrorCode.NOT_LEADER,
                "a leader can't remove itself; stop it first, so that "
                "another one leads",
                step="remove-member",
            )
        changed = _raft_leader.without_member(members, removed)
        return self._change(now_s, changed)

    def transfer(self, now_s: float) -> types.Output:
        """Give leadership up to the replica that is fit best."""
        if self._leadership is not None:
            target = self._leadership.transfer_target(now_s)
            self._hand_over(now_s, target)
        return self._take()

    def _yield(
        self, now_s: float, leadership: _raft_leader.Leadership
    ) -> None:
        """Let the preferred replica lead, so that groups spread."""
        state = self._state
        target = leadership.yield_target(now_s)
        if target is not None:
            state.transfer_delay_s = min(
                2 * state.transfer_delay_s, state.timings.transfer_delay_max_s
            )
            self._hand_over(now_s, target)

    def _hand_over(self, now_s: float, target: types.Member | None) -> None:
        self._step_down(now_s)
        if target is not None:
            message = self._state.message(
                target.address, target.folder_id, types.TimeoutNow()
            )
            self._state.out.messages.append(message)

    def compact(self, index: int, kept_entries: int) -> None:
        """Forget entries that a durable snapshot covers.

        :param index: last entry that the snapshot covers.
        :param kept_entries: how many of them stay for slow replicas.
        """
        state = self._state
        types.require(
            index <= state.delivered_index,
            "a snapshot covers applied entries only",
        )
        if index <= state.snapshot.index:
            return
        state.snapshot = state.log.meta_at(index)
        if index - kept_entries > state.log.base.index:
            state.log.compact(index - kept_entries)

    def _take(self) -> types.Output:
        output = self._state.out
        self._state.out = types.Output()
        return output

    def _is_for_me(self, message: types.Message) -> bool:
        state = self._state
        if isinstance(message.body, types.StaleNotice):
            return message.to_id == state.identity.folder_id
        reason = _raft_join.stale_reason(state, message.sender)
        if reason is not None:
            notice = types.StaleNotice(
                message.sender.boot, message.sender.boot_nonce, reason
            )
            state.reply(message.sender, notice)
            return False
        if isinstance(message.body, types.Join):
            return True
        if message.to_id != state.identity.folder_id:
            return False
        clusters = {message.cluster_id, state.cluster_id} - {0}
        return len(clusters) <= 1

    def _dispatch(self, now_s: float, message: types.Message) -> None:
        state = self._state
        match message.body:
            case types.VoteRequest() as body:
                self._election.on_request(now_s, message, body)
            case types.Append() as body:
                self._follower.on_append(now_s, message, body)
            case types.SnapshotChunk() as body:
                self._follower.on_chunk(now_s, message, body)
            case types.Join() as body:
                self._on_join(now_s, message, body)
            case types.StaleNotice() as body:
                self._on_stale(body)
            case types.TimeoutNow():
                self._on_timeout_now(now_s, message)
            case types.VoteReply() as body:
                granted_pre = body.pre and body.granted
                if message.term > state.term and not granted_pre:
                    state.set_term(message.term)
                elif self._election.on_reply(message, body):
                    self._lead(now_s)
            case types.AppendReply() | types.SnapshotReply() as body:
                if message.term > state.term:
                    state.set_term(message.term)
                elif self._leadership is not None:
                    self._on_progress(now_s, message, body)

    def _on_progress(
        self,
        now_s: float,
        message: types.Message,
        body: types.AppendReply | types.SnapshotReply,
    ) -> None:
        if self._leadership is None:
            return
        if isinstance(body, types.AppendReply):
            self._leadership.on_append_reply(now_s, message, body)
        else:
            self._leadership.on_snapshot_reply(now_s, message, body)

    def _on_join(
        self, now_s: float, message: types.Message, body: types.Join
    ) -> None:
        self._joining.on_join(now_s, message, body)
        leadership = self._leadership
        if leadership is None or not leadership.may_change_members():
            return
        if message.cluster_id not in (0, self._state.cluster_id):
            return
        members = _raft_join.with_joined(
            self._state.log.members,
            message.sender,
            self._state.formation.admits,
        )
        if members is not None:
            leadership.set_members(now_s, members)

    def _on_stale(self, body: types.StaleNotice) -> None:
        own = self._state.identity
        if (body.boot, body.boot_nonce) == (own.boot, own.boot_nonce):
            self._state.out.stale = body.reason

    def _on_timeout_now(self, now_s: float, message: types.Message) -> None:
        state = self._state
        if (
            message.term == state.term
            and state.role is types.Role.FOLLOWER
            and state.term_leader_id == message.sender.folder_id
            and state.is_voter
        ):
            self._election.campaign_now(now_s)

    def _lead(self, now_s: float) -> None:
        state = self._state
        state.role = types.Role.LEADER
        state.set_leader(state.identity)
        self._leadership = _raft_leader.Leadership(state, now_s)

    def _step_down(self, now_s: float) -> None:
        state = self._state
        state.role = types.Role.FOLLOWER
        state.leader = None
        state.reset_election(now_s)
        self._leadership = None

    def _drop_lost_leadership(self) -> None:
        if self._state.role is not types.Role.LEADER:
            self._leadership = None

    def _change(self, now_s: float, members: types.Members) -> types.Output:
        leadership = self._require_leadership(now_s)
        if not leadership.may_change_members():
            raise exceptions.PapayastallError(
                exceptions.ErrorCode.NOT_READY,
                "another change of members is under way; try again",
                step="change-members",
            )
        leadership.set_members(now_s, members)
        return self._take()

    def _require_leadership(self, now_s: float) -> _raft_leader.Leadership:
        leadership = self._leadership
        if leadership is None or not leadership.has_quorum(now_s):
            raise self._not_leading()
        return leadership

    def _not_leading(self) -> exceptions.PapayastallError:
        leader = self._state.leader
        own_address = self._state.identity.address
        if leader is None or leader.address == own_address:
            return exceptions.PapayastallError(
                exceptions.ErrorCode.NO_LEADER,
                "no leader is known, or it lost touch with the majority; "
                "try again",
                step="propose",
            )
        return exceptions.PapayastallError(
            exceptions.ErrorCode.NOT_LEADER,
            "another replica leads; ask it",
            step="propose",
            peer=leader.address,
        )
