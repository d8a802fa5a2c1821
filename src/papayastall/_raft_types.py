"""Data types of the replicated log: entries, messages and output."""

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
    """Check an invariant of the replicated log.

    The error stops the replica.

    :param invariant: the statement that must hold, for the error message.
    :raises papayastall.exceptions.PapayastallError: ``INTERNAL``, if the
        condition is false.
    """
    if not condition:
        raise exceptions.PapayastallError(
            exceptions.ErrorCode.INTERNAL,
            f"invariant broken: {invariant}; keep the data folder and "
            "report this",
            step="raft",
        )


class Role(enum.Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class EntryKind(enum.IntEnum):
    """Kind of a log entry; the number is stored and sent to other nodes."""

    COMMAND = 0
    NOOP = 1
    MEMBERS = 2


class Timings(msgspec.Struct, frozen=True):
    """Timeouts and intervals of the protocol, in seconds.

    :param heartbeat_s: interval between a leader's heartbeats.
    :param election_min_s: minimum election timeout. A follower ignores
        vote requests for this long after it heard from a leader.
    :param election_max_s: maximum election timeout.
    :param lease_s: duration of a leader's read lease. Shorter than
        ``election_min_s`` by more than the clocks of two machines can
        drift apart in that time.
    :param join_interval_s: interval between join messages.
    :param removal_timeout_s: time without a reply after which a voter
        above the target number is removed.
    :param transfer_delay_s: time from its election after which a leader
        transfers leadership to the preferred voter; doubled after each
        such transfer.
    :param transfer_delay_max_s: upper limit of the doubled delay.
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

    :param folder_id: identity of its data folder; 0 if it was added and
        has not joined yet.
    :param boot: highest start number of that folder known to the group.
    :param boot_nonce: random number generated at that start.
    """

    address: str
    folder_id: int
    voter: bool
    boot: int
    boot_nonce: int


class Members(msgspec.Struct, frozen=True):
    """Configuration of a group: its replicas.

    :param retired: identities of data folders that were replaced or
        removed and must not rejoin.
    """

    members: tuple[Member, ...] = ()
    retired: tuple[int, ...] = ()

    def find(self, address: str) -> Member | None:
        """Return the member with this address, if there is one."""
        for member in self.members:
            if member.address == address:
                return member
        return None

    def voter_ids(self) -> frozenset[int]:
        """Return the folder ids of all voters."""
        return frozenset(m.folder_id for m in self.members if m.voter)


class Entry(msgspec.Struct, frozen=True):
    """One entry of the log.

    :param chain: CRC-32C over this entry and all earlier ones.
    """

    index: int
    term: int
    kind: EntryKind
    chain: int
    payload: bytes


def make_entry(
    index: int, term: int, kind: EntryKind, payload: bytes, chain_before: int
) -> Entry:
    """Return an entry with its chained checksum.

    :param chain_before: checksum of the preceding entry; 0 for the first.
    """
    head = b"%d %d %d " % (index, term, kind)
    chain = google_crc32c.extend(chain_before, head)
    chain = google_crc32c.extend(chain, payload)
    return Entry(index, term, kind, chain, payload)


class Position(msgspec.Struct, frozen=True):
    """Position in the log; two entries at one index differ in the term."""

    index: int
    term: int


class SnapshotMeta(msgspec.Struct, frozen=True):
    """Metadata of a snapshot, which covers the log up to ``index``.

    :param index: last included index.
    :param term: term of the entry at ``index``.
    :param chain: checksum of the entry at ``index``.
    :param members: latest configuration at ``index``.
    """

    index: int
    term: int
    chain: int
    members: Members


class HardState(msgspec.Struct, frozen=True):
    """Persistent state that must be durable before a replica replies.

    :param vote: folder id of the candidate that got this replica's vote in
        ``term``; 0 for none.
    :param cluster_id: identity of the group; 0 if unknown.
    :param commit_index: commit index at the time of the write; the actual
        one may be higher.
    """

    term: int = 0
    vote: int = 0
    cluster_id: int = 0
    commit_index: int = 0


class Sender(msgspec.Struct, frozen=True):
    """Identity of the process that sent a message.

    :param folder_id: identity of its data folder.
    :param boot: number of starts of the data folder, this one included.
    :param boot_nonce: random number generated at this start.
    """

    address: str
    folder_id: int
    boot: int
    boot_nonce: int


class VoteRequest(msgspec.Struct, frozen=True):
    """Requests a vote or a pre-vote (Raft's RequestVote).

    :param pre: whether this is a pre-vote.
    :param forced: whether the leader started this election by
        :class:`TimeoutNow`; voters then reply even if they have heard from
        a leader recently.
    :param last_index: index of the candidate's last log entry.
    :param last_term: term of the candidate's last log entry.
    """

    pre: bool
    forced: bool
    last_index: int
    last_term: int


class VoteReply(msgspec.Struct, frozen=True):
    """Reply to a :class:`VoteRequest`.

    The message of a granted vote or pre-vote has the term of the request.
    """

    pre: bool
    granted: bool


class Append(msgspec.Struct, frozen=True):
    """Entries to append (Raft's AppendEntries); without any, a heartbeat.

    :param prev_index: index of the entry before the first of ``entries``.
    :param prev_term: term of that entry.
    :param prev_chain: checksum of that entry.
    :param commit_index: the leader's commit index.
    :param sent_s: time of sending on the leader's clock, returned in the
        reply.
    """

    prev_index: int
    prev_term: int
    prev_chain: int
    commit_index: int
    entries: tuple[Entry, ...]
    sent_s: float


class AppendReply(msgspec.Struct, frozen=True):
    """Reply to an :class:`Append`.

    :param match_index: index up to which the follower's log is known to
        match the leader's; on failure, up to which it may match.
    :param last_index: index of the follower's last log entry.
    :param sent_s: ``sent_s`` of the request.
    """

    success: bool
    match_index: int
    last_index: int
    sent_s: float


class SnapshotChunk(msgspec.Struct, frozen=True):
    """Chunk of a snapshot (Raft's InstallSnapshot).

    :param offset: position of ``data`` in the snapshot, in bytes.
    :param size_bytes: size of the whole snapshot.
    :param sent_s: time of sending on the leader's clock, returned in the
        reply.
    """

    meta: SnapshotMeta
    offset: int
    size_bytes: int
    data: bytes
    sent_s: float


class SnapshotReply(msgspec.Struct, frozen=True):
    """Reply to a :class:`SnapshotChunk`.

    :param index: last included index of the snapshot.
    :param next_offset: offset of the next expected chunk, in bytes.
    :param installed: whether the log includes the whole snapshot.
    :param sent_s: ``sent_s`` of the request.
    """

    index: int
    next_offset: int
    installed: bool
    sent_s: float


class Join(msgspec.Struct, frozen=True):
    """Announces a replica that receives nothing from a leader.

    :param fresh: whether its data folder has neither a log nor a vote.
    :param list_digest: checksum of the replica addresses in its settings.
    """

    fresh: bool
    list_digest: int


class StaleNotice(msgspec.Struct, frozen=True):
    """Notifies a process that its data folder is excluded from the group.

    :param boot: start number of the process that this notice is for.
    :param boot_nonce: random number generated at that start.
    :param reason: cause of the exclusion, for the operator.
    """

    boot: int
    boot_nonce: int
    reason: str


class TimeoutNow(msgspec.Struct, frozen=True):
    """Asks a voter to start an election at once (Raft's TimeoutNow).

    It is sent by a leader that has just given up leadership.
    """


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

    :param to: address of the receiver.
    :param to_id: folder id of the receiver; 0 if unknown.
    :param cluster_id: identity of the group, set when it was
        bootstrapped; 0 if the sender has none yet.
    :param term: term of the sender; for a pre-vote and its grant, the term
        of the possible election.
    """

    to: str
    to_id: int
    sender: Sender
    cluster_id: int
    term: int
    body: Body


class ChunkRequest(msgspec.Struct, frozen=True):
    """Request to the host to read a snapshot chunk and send it.

    :param message: the message to send, without the data.
    :param chunk: body of ``message``: the snapshot and the offset.
    """

    message: Message
    chunk: SnapshotChunk


class ChunkWrite(msgspec.Struct, frozen=True):
    """Snapshot chunk to store.

    :param offset: position of ``data`` in the snapshot, in bytes.
    :param last: whether the snapshot is complete with this chunk; it then
        replaces the log.
    """

    meta: SnapshotMeta
    offset: int
    data: bytes
    last: bool


Write = HardState | Entry | ChunkWrite


class Output(msgspec.Struct):
    """Actions for the host after a call, in the order of the fields.

    :param early: messages that may be sent before ``writes`` are durable.
    :param writes: records that must be durable, in this order, before
        ``messages`` are sent and ``committed`` is applied. An entry
        replaces all stored entries at its index and above.
    :param messages: messages to send once ``writes`` are durable.
    :param chunks: snapshot chunks to read and send.
    :param restored: snapshot that the state machine must be restored from
        before ``committed`` is applied.
    :param committed: newly committed entries to apply.
    :param exclusion_reason: why the data folder is excluded from the group.
    """

    early: list[Message] = msgspec.field(default_factory=list)
    writes: list[Write] = msgspec.field(default_factory=list)
    messages: list[Message] = msgspec.field(default_factory=list)
    chunks: list[ChunkRequest] = msgspec.field(default_factory=list)
    restored: SnapshotMeta | None = None
    committed: list[Entry] = msgspec.field(default_factory=list)
    exclusion_reason: str | None = None

    def extend(self, later: Output) -> None:
        """Merge the output of a later call into this one."""
        self.early += later.early
        self.writes += later.writes
        self.messages += later.messages
        self.chunks += later.chunks
        if later.restored is not None:
            self.restored = later.restored
            self.committed.clear()
        self.committed += later.committed
        self.exclusion_reason = self.exclusion_reason or later.exclusion_reason
