"""Messages, entries and output of the replicated log."""

from __future__ import annotations

import enum

import google_crc32c
import msgspec

from papayastall import exceptions

__all__ = [
    "Append",
    "AppendReply",
    "Body",
    "ChunkRequest",
    "ChunkWrite",
    "Entry",
    "EntryKind",
    "HardState",
    "Join",
    "Member",
    "Members",
    "Message",
    "Output",
    "Position",
    "Role",
    "Sender",
    "SnapshotChunk",
    "SnapshotMeta",
    "SnapshotReply",
    "StaleNotice",
    "TimeoutNow",
    "Timings",
    "VoteReply",
    "VoteRequest",
    "Write",
    "make_entry",
    "require",
]


def require(condition: bool, invariant: str) -> None:
    """Stop the replica when an invariant does not hold.

    :raises papayastall.exceptions.PapayastallError: it does not.
    """
    if not condition:
        raise exceptions.PapayastallError(
            exceptions.ErrorCode.INTERNAL,
            f"invariant broken: {invariant}; keep the data folder and "
            "report this",
            step="raft",
        )


class Role(enum.Enum):
    """What a replica is in its present term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class EntryKind(enum.IntEnum):
    """What an entry holds; the number is on disk and on the wire."""

    COMMAND = 0
    NOOP = 1
    MEMBERS = 2


class Timings(msgspec.Struct, frozen=True):
    """Times of the protocol, in seconds.

    :param election_min_s: followers refuse to vote for so long after they
        heard a leader.
    :param lease_s: shorter than ``election_min_s`` by more than the clocks
        of two machines drift apart in that time.
    :param removal_timeout_s: silence after which a surplus voter is removed.
    :param transfer_delay_s: a leader leads for so long before it yields to the
        replica that is preferred; twice as long after each time.
    """

    heartbeat_s: float = 0.3
    election_min_s: float = 1.2
    election_max_s: float = 2.0
    lease_s: float = 0.9
    join_interval_s: float = 0.5
    removal_timeout_s: float = 6.0
    transfer_delay_s: float = 10.0
    transfer_delay_max_s: float = 600.0


class Member(msgspec.Struct, frozen=True):
    """One replica of a group.

    :param folder_id: identity of its data folder; 0 when it was admitted
        and has not joined yet.
    :param boot: highest start of that folder known to the group.
    :param boot_nonce: random number drawn at that start.
    """

    address: str
    folder_id: int
    voter: bool
    boot: int
    boot_nonce: int


class Members(msgspec.Struct, frozen=True):
    """The replicas of a group.

    :param retired: identities of folders that may never come back.
    """

    members: tuple[Member, ...] = ()
    retired: tuple[int, ...] = ()

    def find(self, address: str) -> Member | None:
        """Return the member with this address."""
        for member in self.members:
            if member.address == address:
                return member
        return None

    def voter_ids(self) -> frozenset[int]:
        """Return the folder ids of all voters."""
        return frozenset(m.folder_id for m in self.members if m.voter)


class Entry(msgspec.Struct, frozen=True):
    """One entry of the log.

    :param chain: checksum over this and all earlier entries.
    """

    index: int
    term: int
    kind: EntryKind
    chain: int
    payload: bytes


def make_entry(
    index: int, term: int, kind: EntryKind, payload: bytes, chain_before: int
) -> Entry:
    """Return an entry chained to the one before it."""
    head = b"%d %d %d " % (index, term, kind)
    chain = google_crc32c.extend(chain_before, head)
    chain = google_crc32c.extend(chain, payload)
    return Entry(index, term, kind, chain, payload)


class Position(msgspec.Struct, frozen=True):
    """A place in the log; the term tells entries at one index apart."""

    index: int
    term: int


class SnapshotMeta(msgspec.Struct, frozen=True):
    """What a snapshot covers: all entries up to and with ``index``."""

    index: int
    term: int
    chain: int
    members: Members


class HardState(msgspec.Struct, frozen=True):
    """What must be durable before a replica answers.

    :param vote: folder id of whom it voted for in ``term``; 0 for none.
    :param commit_index: known when it was written, may lag.
    """

    term: int = 0
    vote: int = 0
    cluster_id: int = 0
    commit_index: int = 0


class Sender(msgspec.Struct, frozen=True):
    """The process that sent a message."""

    address: str
    folder_id: int
    boot: int
    boot_nonce: int


class VoteRequest(msgspec.Struct, frozen=True):
    """Asks for a vote, or whether it would be given.

    :param forced: the leader itself asked for this election.
    """

    pre: bool
    forced: bool
    last_index: int
    last_term: int


class VoteReply(msgspec.Struct, frozen=True):
    """Answers a :class:`VoteRequest`; a grant carries its term."""

    pre: bool
    granted: bool


class Append(msgspec.Struct, frozen=True):
    """Entries after a known place, or a heartbeat without any.

    :param sent_s: the leader's clock, given back in the answer.
    """

    prev_index: int
    prev_term: int
    prev_chain: int
    commit_index: int
    entries: tuple[Entry, ...]
    sent_s: float


class AppendReply(msgspec.Struct, frozen=True):
    """Answers an :class:`Append`.

    :param match_index: last entry known to equal the leader's.
    :param last_index: end of the follower's log.
    """

    success: bool
    match_index: int
    last_index: int
    sent_s: float


class SnapshotChunk(msgspec.Struct, frozen=True):
    """A piece of a snapshot.

    :param size_bytes: size of the whole snapshot.
    """

    meta: SnapshotMeta
    offset: int
    size_bytes: int
    data: bytes
    sent_s: float


class SnapshotReply(msgspec.Struct, frozen=True):
    """Says how much of a snapshot has arrived."""

    index: int
    next_offset: int
    installed: bool
    sent_s: float


class Join(msgspec.Struct, frozen=True):
    """Tells of a replica that is not part of the group yet.

    :param fresh: its folder has neither log nor vote.
    :param list_digest: checksum of the addresses in its settings.
    """

    fresh: bool
    list_digest: int


class StaleNotice(msgspec.Struct, frozen=True):
    """Tells a process that its folder may not take part any more.

    :param boot: start of the process that is meant.
    """

    boot: int
    boot_nonce: int
    reason: str


class TimeoutNow(msgspec.Struct, frozen=True):
    """The leader gives up its place and asks for an election at once."""


Body = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | Join
    | StaleNotice
    | TimeoutNow
)


class Message(msgspec.Struct, frozen=True):
    """A message between two replicas of a group.

    :param to_id: folder id of the receiver; 0 when it is not known.
    :param cluster_id: drawn when the group was made; 0 before.
    """

    to: str
    to_id: int
    sender: Sender
    cluster_id: int
    term: int
    body: Body


class ChunkRequest(msgspec.Struct, frozen=True):
    """Asks the host to read a piece of a snapshot and send it.

    :param message: what to send, with the data missing.
    """

    message: Message
    chunk: SnapshotChunk


class ChunkWrite(msgspec.Struct, frozen=True):
    """A piece of a snapshot that must be stored.

    :param last: the snapshot is whole and replaces the log.
    """

    meta: SnapshotMeta
    offset: int
    data: bytes
    last: bool


Write = HardState | Entry | ChunkWrite


class Output(msgspec.Struct):
    """What the host must do after a call, in the order of the fields.

    :param early: may be sent at once.
    :param writes: must be durable, in this order, before ``messages`` are
        sent and ``committed`` is applied. An entry replaces all that were
        stored at its index and after.
    :param restored: the snapshot that the state machine must take before
        ``committed`` is applied.
    :param stale: why the folder may not take part any more.
    """

    early: list[Message] = msgspec.field(default_factory=list)
    writes: list[Write] = msgspec.field(default_factory=list)
    messages: list[Message] = msgspec.field(default_factory=list)
    chunks: list[ChunkRequest] = msgspec.field(default_factory=list)
    restored: SnapshotMeta | None = None
    committed: list[Entry] = msgspec.field(default_factory=list)
    stale: str | None = None

    def extend(self, later: Output) -> None:
        """Add what a later call asked for."""
        self.early += later.early
        self.writes += later.writes
        self.messages += later.messages
        self.chunks += later.chunks
        if later.restored is not None:
            self.restored = later.restored
            self.committed.clear()
        self.committed += later.committed
        self.stale = self.stale or later.stale
