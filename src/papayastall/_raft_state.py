"""State of one replica, shared by the parts of the Raft algorithm."""

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
    """Return a CRC-32C of the replica addresses in the settings."""
    return int(google_crc32c.value("\n".join(addresses).encode()))


class StoredState(msgspec.Struct):
    """State of one group as read from the data folder.

    :param base: metadata of the snapshot that the log starts from.
    :param entries: entries after that snapshot, without a gap.
    """

    hard_state: types.HardState = types.HardState()
    base: types.SnapshotMeta = _raft_log.EMPTY_META
    entries: list[types.Entry] = msgspec.field(default_factory=list)


class RaftState:
    """Mutable state of one replica, and the output that it accumulates.

    :param identity: this process; its start number must already be
        durable.
    :param addresses: addresses of all replicas, from the settings.
    :param stored: state read from the data folder.
    :param rng: source of the randomised election timeouts.
    :param now_s: current time in seconds of a monotonic clock.
    :param preferred_voter_index: index of the voter that should lead, taken
        modulo the number of voters; ``None`` for no preference.
    """

    __slots__ = (
        "addresses",
        "cluster_id",
        "commit_index",
        "delivered_index",
        "election_deadline_s",
        "formation",
        "identity",
        "join_targets",
        "leader",
        "leader_contact_s",
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
        # The process may have heard from a leader just before a restart;
        # that leader's lease must hold.
        self.leader_contact_s = -math.inf if self.is_fresh else now_s
        self.election_deadline_s = 0.0
        self.out = types.Output()
        self.reset_election_timeout(now_s)

    @property
    def is_fresh(self) -> bool:
        """Whether this replica has neither a log nor a vote."""
        return (
            self.term == 0
            and self.cluster_id == 0
            and self.log.last_index == 0
        )

    @property
    def is_voter(self) -> bool:
        """Whether this replica may vote and lead."""
        return self.identity.folder_id in self.log.members.voter_ids()

    def member_by_folder(self, folder_id: int) -> types.Member | None:
        """Return the member with this data folder."""
        for member in self.log.members.members:
            if member.folder_id == folder_id:
                return member
        return None

    def preferred_leader(self) -> types.Member | None:
        """Return the preferred voter, if there is a preference."""
        voters = [m for m in self.log.members.members if m.voter]
        if self.preferred_voter_index is None or not voters:
            return None
        return voters[self.preferred_voter_index % len(voters)]

    def quorum_size(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.log.members.voter_ids()) // 2 + 1

    def reset_election_timeout(self, now_s: float) -> None:
        """Restart the election timer with a new random timeout."""
        self.election_deadline_s = now_s + self.rng.uniform(
            self.timings.election_min_s, self.timings.election_max_s
        )

    def message(
        self, to: str, to_id: int, body: types.Body, term: int | None = None
    ) -> types.Message:
        """Return a message from this replica.

        :param to: address of the receiver.
        :param to_id: folder id of the receiver; 0 if unknown.
        :param term: term of the message, if not the current one.
        """
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
        """Add a reply that is sent once all writes so far are durable."""
        self.out.messages.append(
            self.message(to.address, to.folder_id, body, term)
        )

    def write_hard_state(self) -> None:
        """Add a write of the term, vote, cluster id and commit index."""
        self.out.writes.append(
            types.HardState(
                self.term, self.vote, self.cluster_id, self.commit_index
            )
        )

    def write_entry(self, entry: types.Entry) -> None:
        """Append an entry to the log and add a write of it."""
        self.log.append(entry)
        self.out.writes.append(entry)

    def set_term(self, term: int) -> None:
        """Enter a new term as a follower that has not voted.

        :param term: must be greater than the current one.
        """
        types.require(term > self.term, "terms only grow")
        self.term = term
        self.vote = 0
        self.role = types.Role.FOLLOWER
        self.leader = None
        self.term_leader_id = 0
        self.write_hard_state()

    def set_leader(self, leader: types.Sender) -> None:
        """Record the leader of the current term."""
        types.require(
            self.term_leader_id in (0, leader.folder_id),
            f"term {self.term} has one leader",
        )
        self.term_leader_id = leader.folder_id
        self.leader = leader

    def advance_commit(self, index: int) -> None:
        """Advance the commit index and output newly committed entries.

        :param index: index known to be committed; the commit index never
            decreases.
        """
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
