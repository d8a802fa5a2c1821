"""One replica of the replicated log (Raft), without I/O.

The code is deterministic: the caller passes ``now_s``, the time in seconds
of a monotonic clock, and the source of random numbers. Calls that change the
replica return an :class:`_raft_types.Output`; the caller performs its
actions and calls :meth:`Replica.on_persisted` once its writes are durable.
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

    :param identity: this process; its start number must already be
        durable.
    :param addresses: addresses of all replicas, in the order of the
        settings.
    :param stored: state read from the data folder.
    :param rng: source of the randomised election timeouts.
    :param now_s: current time in seconds of a monotonic clock.
    :param preferred_voter_index: index of the voter that should lead, see
        :class:`_raft_state.RaftState`.
    :param formation: rules for changes of the group's members.
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
        """Role of this replica in its current term."""
        return self._state.role

    @property
    def term(self) -> int:
        """Current term."""
        return self._state.term

    @property
    def election_count(self) -> int:
        """Number of elections that this replica started."""
        return self._election.count

    @property
    def log(self) -> _raft_log.RaftLog:
        """The log; callers must not change it."""
        return self._state.log

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def hard_state(self) -> types.HardState:
        """Persistent state that a new write-ahead log file starts with."""
        state = self._state
        return types.HardState(
            state.term, state.vote, state.cluster_id, state.commit_index
        )

    @property
    def snapshot_index(self) -> int:
        """Last index that the latest snapshot covers."""
        return self._state.snapshot.index

    @property
    def leader(self) -> str | None:
        """Address of the leader, if it is known."""
        leader = self._state.leader
        return None if leader is None else leader.address

    @property
    def due_s(self) -> float:
        """When :meth:`tick` must be called if no message arrives."""
        if self._leadership is not None:
            return self._leadership.due_s
        return min(self._joining.due_s, self._state.election_deadline_s)

    def set_join_targets(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses that this replica sends join messages to."""
        self._state.join_targets = addresses

    def start(self) -> types.Output:
        """Output the stored snapshot and the entries known to be committed."""
        state = self._state
        if state.snapshot.index:
            state.out.restored = state.snapshot
        state.advance_commit(state.commit_index)
        return self._take_output()

    def step(self, now_s: float, message: types.Message) -> types.Output:
        """Process a message from another replica."""
        if self._accepts(message):
            self._dispatch(now_s, message)
            self._drop_lost_leadership()
        return self._take_output()

    def tick(self, now_s: float) -> types.Output:
        """Process expired timers, see :attr:`due_s`."""
        leadership = self._leadership
        if leadership is None:
            self._joining.tick(now_s)
            self._election.tick(now_s)
        elif not leadership.has_quorum(now_s):
            self._step_down(now_s)
        else:
            leadership.tick(now_s)
            self._transfer_to_preferred(now_s, leadership)
        return self._take_output()

    def on_persisted(self, now_s: float) -> types.Output:
        """Record that the writes of all outputs so far are durable."""
        if self._leadership is not None:
            self._leadership.on_persisted()
        elif self._election.on_persisted():
            self._become_leader(now_s)
        return self._take_output()

    def propose(
        self, now_s: float, payloads: list[bytes]
    ) -> tuple[types.Position, types.Output]:
        """Append commands to the log if this replica leads.

        :returns: the position of the first command, and the output.
        :raises papayastall.exceptions.PapayastallError: ``NOT_LEADER`` or
            ``NO_LEADER``; nothing was appended.
        """
        leadership = self._require_leadership(now_s)
        position = leadership.append(now_s, types.EntryKind.COMMAND, payloads)
        return position, self._take_output()

    def read_index(self, now_s: float) -> int:
        """Return the index that must be applied before a read.

        :raises papayastall.exceptions.PapayastallError: ``NOT_LEADER`` or
            ``NO_LEADER``, also without a valid lease.
        """
        leadership = self._require_leadership(now_s)
        index = leadership.read_index(now_s)
        if index is None:
            raise self._not_leader_error()
        return index

    def add_member(self, now_s: float, address: str) -> types.Output:
        """Add a replica at an address; it joins once it is started.

        :raises papayastall.exceptions.PapayastallError: ``NOT_LEADER``,
            ``NO_LEADER``, or ``NOT_READY`` while another change of members
            is not committed.
        """
        members = self._state.log.members
        if members.find(address) is not None:
            return self._take_output()
        added = types.Member(address, 0, False, 0, 0)
        changed = types.Members((*members.members, added), members.retired)
        return self._change_members(now_s, changed)

    def remove_member(self, now_s: float, address: str) -> types.Output:
        """Remove a replica; its data folder can't rejoin.

        :raises papayastall.exceptions.PapayastallError: ``NOT_LEADER``, also
            for the leader itself, ``NO_LEADER``, or ``NOT_READY`` while
            another change of members is not committed.
        """
        members = self._state.log.members
        removed = members.find(address)
        if removed is None:
            return self._take_output()
        if address == self._state.identity.address:
            raise exceptions.PapayastallError(
                exceptions.ErrorCode.NOT_LEADER,
                "a leader can't remove itself; stop it first, so that "
                "another one leads",
                step="remove-member",
            )
        changed = _raft_leader.without_member(members, removed)
        return self._change_members(now_s, changed)

    def transfer(self, now_s: float) -> types.Output:
        """Transfer leadership to the most up-to-date eligible voter."""
        if self._leadership is not None:
            target = self._leadership.transfer_target(now_s)
            self._transfer_to(now_s, target)
        return self._take_output()

    def transfer_if_eligible(self, now_s: float) -> types.Output:
        """Transfer leadership if some voter is eligible to take it."""
        if self._leadership is not None:
            target = self._leadership.transfer_target(now_s)
            if target is not None:
                self._transfer_to(now_s, target)
        return self._take_output()

    def _transfer_to_preferred(
        self, now_s: float, leadership: _raft_leader.Leadership
    ) -> None:
        """Transfer leadership to the preferred voter if that is due.

        This spreads the leaders of the groups over the nodes.
        """
        state = self._state
        target = leadership.preferred_transfer_target(now_s)
        if target is not None:
            state.transfer_delay_s = min(
                2 * state.transfer_delay_s, state.timings.transfer_delay_max_s
            )
            self._transfer_to(now_s, target)

    def _transfer_to(self, now_s: float, target: types.Member | None) -> None:
        self._step_down(now_s)
        if target is not None:
            message = self._state.message(
                target.address, target.folder_id, types.TimeoutNow()
            )
            self._state.out.messages.append(message)

    def compact(self, index: int, kept_entries: int) -> None:
        """Remove entries that a durable snapshot covers from memory.

        :param index: last index that the snapshot covers.
        :param kept_entries: number of covered entries that are kept, so
            that slow replicas need no snapshot.
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

    def _take_output(self) -> types.Output:
        output = self._state.out
        self._state.out = types.Output()
        return output

    def _accepts(self, message: types.Message) -> bool:
        """Whether a message is for this replica and from its group.

        A sender whose data folder is excluded gets a notice instead.
        """
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
                self._on_stale_notice(body)
            case types.TimeoutNow():
                self._on_timeout_now(now_s, message)
            case types.VoteReply() as body:
                granted_pre = body.pre and body.granted
                if message.term > state.term and not granted_pre:
                    state.set_term(message.term)
                elif self._election.on_reply(message, body):
                    self._become_leader(now_s)
            case types.AppendReply() | types.SnapshotReply() as body:
                if message.term > state.term:
                    state.set_term(message.term)
                elif self._leadership is not None:
                    self._on_replication_reply(now_s, message, body)

    def _on_replication_reply(
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

    def _on_stale_notice(self, body: types.StaleNotice) -> None:
        own = self._state.identity
        if (body.boot, body.boot_nonce) == (own.boot, own.boot_nonce):
            self._state.out.exclusion_reason = body.reason

    def _on_timeout_now(self, now_s: float, message: types.Message) -> None:
        state = self._state
        if (
            message.term == state.term
            and state.role is types.Role.FOLLOWER
            and state.term_leader_id == message.sender.folder_id
            and state.is_voter
        ):
            self._election.campaign_now(now_s)

    def _become_leader(self, now_s: float) -> None:
        state = self._state
        state.role = types.Role.LEADER
        state.set_leader(state.identity)
        self._leadership = _raft_leader.Leadership(state, now_s)

    def _step_down(self, now_s: float) -> None:
        state = self._state
        state.role = types.Role.FOLLOWER
        state.leader = None
        state.reset_election_timeout(now_s)
        self._leadership = None

    def _drop_lost_leadership(self) -> None:
        if self._state.role is not types.Role.LEADER:
            self._leadership = None

    def _change_members(
        self, now_s: float, members: types.Members
    ) -> types.Output:
        leadership = self._require_leadership(now_s)
        if not leadership.may_change_members():
            raise exceptions.PapayastallError(
                exceptions.ErrorCode.NOT_READY,
                "another change of members is under way; try again",
                step="change-members",
            )
        leadership.set_members(now_s, members)
        return self._take_output()

    def _require_leadership(self, now_s: float) -> _raft_leader.Leadership:
        leadership = self._leadership
        if leadership is None or not leadership.has_quorum(now_s):
            raise self._not_leader_error()
        return leadership

    def _not_leader_error(self) -> exceptions.PapayastallError:
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
