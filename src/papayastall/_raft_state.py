"""The state of one replica, shared by the controllers of the log."""

from __future__ import annotations

import math
import random

import google_crc32c
import msgspec

from papayastall import _formation
from papayastall import _raft_log
from papayastall import _raft_types as types

__all__ = ["RaftState", "StoredState", "list_digest"]


def list_digest(addresses: tuple[str, ...]) -> int:
    """Return a checksum of the addresses in the settings."""
    return int(google_crc32c.value("\n".join(addresses).encode()))


class StoredState(msgspec.Struct):
    """What the data folder holds of one group."""

    hard_state: types.HardState = types.HardState()
    base: types.SnapshotMeta = _raft_log.EMPTY_META
    entries: list[types.Entry] = msgspec.field(default_factory=list)


class RaftState:
    """Blackboard of one replica.

    :param identity: this process; its boot must already be durable.
    :param addresses: all replicas, from the settings.
    :param rng: source of the election timeouts.
    :param preferred_voter_index: which of the voters should lead; taken
        modulo their number, ``None`` for any.
    """

    __slots__ = (
        "addresses",
        "cluster_id",
        "commit_index",
        "delivered_index",
        "election_deadline_s",
        "formation",
        "heard_s",
        "identity",
        "join_targets",
        "leader",
        "log",
        "out",
        "preferred_voter_index",
        "rng",
        "role",
        "snapshot",
        "term",
        "term_leader_id",
        "timings",
        "transfer_delay_s",
        "vote",
    )

    def __init__(
        self,
        identity: types.Sender,
        addresses: tuple[str, ...],
        stored: StoredState,
        timings: types.Timings,
        rng: random.Random,
        now_s: float,
        preferred_voter_index: int | None = None,
        formation: _formation.Formation = _formation.Formation(),
    ) -> None:
        self.identity = identity
        self.formation = formation
        self.join_targets = addresses
        self.preferred_voter_index = preferred_voter_index
        self.transfer_delay_s = timings.transfer_delay_s
        self.addresses = addresses
        self.timings = timings
        self.rng = rng
        self.log = _raft_log.RaftLog(stored.base, stored.entries)
        self.term = stored.hard_state.term
        self.vote = stored.hard_state.vote
        self.cluster_id = stored.hard_state.cluster_id
        self.commit_index = max(
            self.log.base.index,
            min(stored.hard_state.commit_index, self.log.last_index),
        )
        self.snapshot = stored.base
        self.delivered_index = self.snapshot.index
        self.role = types.Role.FOLLOWER
        self.leader: types.Sender | None = None
        self.term_leader_id = 0
        # A promise to a leader may have been made just before a restart.
        self.heard_s = -math.inf if self.is_fresh else now_s
        self.election_deadline_s = 0.0
        self.out = types.Output()
        self.reset_election(now_s)

    @property
    def is_fresh(self) -> bool:
        """Whether this replica holds neither log nor vote."""
        return (
            self.term == 0
            and self.cluster_id == 0
            and self.log.last_index == 0
        )

    @property
    def is_voter(self) -> bool:
        """Whether this replica may vote and lead."""
        return self.identity.folder_id in self.log.members.voter_ids()

    def member_of(self, folder_id: int) -> types.Member | None:
        """Return the member with this data folder."""
        for member in self.log.members.members:
            if member.folder_id == folder_id:
                return member
        return None

    def preferred_leader(self) -> types.Member | None:
        """Return the voter that should lead when all is well."""
        voters = [m for m in self.log.members.members if m.voter]
        if self.preferred_voter_index is None or not voters:
            return None
        return voters[self.preferred_voter_index % len(voters)]

    def quorum_size(self) -> int:
        """Return how many voters make a majority."""
        return len(self.log.members.voter_ids()) // 2 + 1

    def reset_election(self, now_s: float) -> None:
        """Draw the time at which this replica asks for an election."""
        self.election_deadline_s = now_s + self.rng.uniform(
            self.timings.election_min_s, self.timings.election_max_s
        )

    def message(
        self, to: str, to_id: int, body: types.Body, term: int | None = None
    ) -> types.Message:
        """Return a message from this replica."""
        return types.Message(
            to,
            to_id,
            self.identity,
            self.cluster_id,
            self.term if term is None else term,
            body,
        )

    def reply(
        self, to: types.Sender, body: types.Body, term: int | None = None
    ) -> None:
        """Answer once everything written so far is durable."""
        self.out.messages.append(
            self.message(to.address, to.folder_id, body, term)
        )

    def write_hard_state(self) -> None:
        """Make term, vote and cluster durable."""
        self.out.writes.append(
            types.HardState(
                self.term, self.vote, self.cluster_id, self.commit_index
            )
        )

    def write_entry(self, entry: types.Entry) -> None:
        """Add an entry to the log and make it durable."""
        self.log.append(entry)
        self.out.writes.append(entry)

    def set_term(self, term: int) -> None:
        """Enter a later term as a follower without a vote.

        :param term: must be greater than the present one.
        """
        types.require(term > self.term, "terms only grow")
        self.term = term
        self.vote = 0
        self.role = types.Role.FOLLOWER
        self.leader = None
        self.term_leader_id = 0
        self.write_hard_state()

    def set_leader(self, leader: types.Sender) -> None:
        """Take note of who leads the present term."""
        types.require(
            self.term_leader_id in (0, leader.folder_id),
            f"term {self.term} has one leader",
        )
        self.term_leader_id = leader.folder_id
        self.leader = leader

    def advance_commit(self, index: int) -> None:
        """Hand out the entries up to a newly committed index."""
        if index <= self.commit_index and (
            self.delivered_index >= self.commit_index
        ):
            return
        self.commit_index = max(index, self.commit_index)
        first = self.delivered_index + 1
        entries = self.log.range(first, self.commit_index)
        types.require(
            len(entries) == self.commit_index - self.delivered_index,
            "committed entries are handed out without a gap",
        )
        self.out.committed += entries
        self.delivered_index = self.commit_index
