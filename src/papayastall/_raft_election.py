"""Leader election, with pre-vote and leader leases.

A replica that heard from a leader within the minimum election timeout
ignores vote requests. A leader's read lease is shorter than that timeout,
so no other leader can be elected while the lease is valid.
"""

from __future__ import annotations

from papayastall import _raft_state
from papayastall import _raft_types as types

__all__ = ["Election"]


class Election:
    """Pre-vote and vote of one replica.

    :param state: state of the replica.
    """

    __slots__ = ("_forced", "_state", "_votes", "count")

    def __init__(self, state: _raft_state.RaftState) -> None:
        self._state = state
        self._votes: set[int] = set()
        self._forced = False
        self.count = 0

    def has_recent_leader(self, now_s: float) -> bool:
        """Whether this replica leads, or has heard from a leader recently.

        Recently means within the minimum election timeout.
        """
        if self._state.role is types.Role.LEADER:
            return True
        elapsed_s = now_s - self._state.leader_contact_s
        return elapsed_s < self._state.timings.election_min_s

    def tick(self, now_s: float) -> None:
        """Start a pre-vote once the election timeout has elapsed."""
        state = self._state
        if now_s < state.election_deadline_s:
            return
        state.leader = None
        state.reset_election_timeout(now_s)
        if not state.is_voter:
            return
        self._request_votes(pre=True)
        self._add_vote(state.identity.folder_id)
        if self._has_majority():
            self._start_election()

    def campaign_now(self, now_s: float) -> None:
        """Start an election at once, as the leader requested."""
        self._state.reset_election_timeout(now_s)
        self._forced = True
        self._start_election()

    def _request_votes(self, pre: bool) -> None:
        state = self._state
        state.role = types.Role.PRE_CANDIDATE if pre else types.Role.CANDIDATE
        if pre:
            self._forced = False
        self._votes = set()
        term = state.term + 1 if pre else state.term
        request = types.VoteRequest(
            pre, self._forced, state.log.last_index, state.log.last_term
        )
        for member in state.log.members.members:
            if member.voter and member.folder_id != state.identity.folder_id:
                state.out.messages.append(
                    state.message(
                        member.address, member.folder_id, request, term
                    )
                )

    def _start_election(self) -> None:
        state = self._state
        self.count += 1
        state.set_term(state.term + 1)
        state.vote = state.identity.folder_id
        state.write_hard_state()
        self._request_votes(pre=False)

    def on_persisted(self) -> bool:
        """Count this replica's own vote, which is now durable.

        :returns: whether this replica was elected.
        """
        if self._state.role is not types.Role.CANDIDATE:
            return False
        return self._add_vote(self._state.identity.folder_id)

    def on_request(
        self, now_s: float, message: types.Message, body: types.VoteRequest
    ) -> None:
        """Reply to a vote request.

        While :meth:`has_recent_leader` holds, a vote request gets no reply,
        unless the leader itself requested the election. A pre-vote is then
        denied.
        """
        if body.pre:
            self._on_pre_request(now_s, message, body)
            return
        state = self._state
        if self.has_recent_leader(now_s) and not body.forced:
            return
        if message.term > state.term:
            state.set_term(message.term)
        candidate_id = message.sender.folder_id
        granted = (
            message.term == state.term
            and state.role is types.Role.FOLLOWER
            and state.vote in (0, candidate_id)
            and self._is_up_to_date(body)
        )
        if granted:
            state.cluster_id = state.cluster_id or message.cluster_id
            state.vote = candidate_id
            state.write_hard_state()
            state.reset_election_timeout(now_s)
        state.reply(message.sender, types.VoteReply(False, granted))

    def _on_pre_request(
        self, now_s: float, message: types.Message, body: types.VoteRequest
    ) -> None:
        state = self._state
        granted = (
            message.term > state.term
            and not self.has_recent_leader(now_s)
            and self._is_up_to_date(body)
        )
        term = message.term if granted else state.term
        state.reply(message.sender, types.VoteReply(True, granted), term)

    def _is_up_to_date(self, body: types.VoteRequest) -> bool:
        log = self._state.log
        return (body.last_term, body.last_index) >= (
            log.last_term,
            log.last_index,
        )

    def on_reply(self, message: types.Message, body: types.VoteReply) -> bool:
        """Count a vote or pre-vote.

        :returns: whether this replica was elected.
        """
        state = self._state
        voter_id = message.sender.folder_id
        if not body.granted:
            return False
        if body.pre:
            if (
                state.role is types.Role.PRE_CANDIDATE
                and message.term == state.term + 1
            ):
                self._add_vote(voter_id)
                if self._has_majority():
                    self._start_election()
            return False
        if state.role is not types.Role.CANDIDATE:
            return False
        return message.term == state.term and self._add_vote(voter_id)

    def _add_vote(self, voter_id: int) -> bool:
        if voter_id in self._state.log.members.voter_ids():
            self._votes.add(voter_id)
        return self._has_majority()

    def _has_majority(self) -> bool:
        return len(self._votes) >= self._state.quorum_size()
