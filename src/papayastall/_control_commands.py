"""Commands of the replicated groups, their results and their codec.

Group 0 holds documents and permits, the other groups hold claims. Each
command carries a version: a replica must not skip a command that it does not
know, since its state would then differ from that of the other replicas.
"""

from __future__ import annotations

import enum
import zlib

import msgspec

from papayastall import _inflating
from papayastall import _thrift
from papayastall import _thrift_codec
from papayastall import exceptions

__all__ = [
    "Answer",
    "ApplyDocuments",
    "AskPermit",
    "COMMAND_VERSION",
    "DEFLATED_COMMAND_VERSION",
    "CONTROL_GROUP",
    "ChangeRoutes",
    "Claim",
    "ClaimResult",
    "ClaimState",
    "Command",
    "DocumentState",
    "DocumentText",
    "DocumentVerdict",
    "DocumentsResult",
    "GroupAnswer",
    "GroupCall",
    "GroupCallState",
    "Header",
    "LogEntry",
    "OMITTED_ANSWER_SIZE_BYTES",
    "ObservedSlots",
    "PermitReason",
    "PermitResult",
    "PermitState",
    "RecordOutcome",
    "ReleaseClaim",
    "ReportResult",
    "ReportState",
    "ReportUpstreams",
    "Result",
    "RoutesResult",
    "RoutesState",
    "UpstreamReport",
    "UpstreamReportState",
    "codec",
    "decode_entry",
    "pack_routes_change",
]

COMMAND_VERSION = 1
DEFLATED_COMMAND_VERSION = 2
"""Version of commands with a deflated text, which version 1 can't read; the
latest one."""
MIN_DEFLATED_BYTES = 128 * 1024
MAX_INFLATED_BYTES = 16 * 1024 * 1024
DEFLATE_LEVEL = 1
OMITTED_ANSWER_SIZE_BYTES = 1 << 31
"""``size_bytes`` of an answer sent without its headers and body.

It is greater than the size of any answer that is stored.
"""
CONTROL_GROUP = 0

codec = _thrift_codec.ThriftCodec(_thrift.load_module("control"))


class DocumentState(enum.IntEnum):
    """Outcome for one document of an apply."""

    APPLIED = 1
    ALREADY_APPLIED = 2
    CONFLICT = 3
    """Another text has this revision, or the revision is not the next one."""
    NOT_APPLIED = 4
    """Valid, but another document of the same apply was in conflict."""


class RoutesState(enum.IntEnum):
    """Outcome of a change of the route table."""

    APPLIED = 1
    ALREADY_APPLIED = 2
    CONFLICT = 3
    """The change is based on a version that is not in force."""
    INVALID = 4


class UpstreamReportState(enum.IntEnum):
    """Whether an upstream counts as healthy capacity of its service."""

    SERVING = 1
    NOT_SERVING = 2
    GONE = 3
    SUSPECTED = 4
    """Steered away: not counted as healthy, but a permit for it is still
    checked against the floor."""


class PermitReason(enum.IntEnum):
    """Reason why a permit is requested."""

    EJECTION = 1
    LEAVING = 2
    RESTART = 3


class ReportState(enum.IntEnum):
    """Outcome of a report."""

    ACCEPTED = 1
    STALE = 2
    """A later command or a later epoch of the owner is known."""
    RESYNC = 3
    """The owner's process is not known and must send a full report first."""


class PermitState(enum.IntEnum):
    """Outcome of a request for a permit."""

    GRANTED = 1
    FLOOR = 2
    """Granting it would take healthy slots below the service's floor."""
    STALE = 3
    RESYNC = 4
    OLD_CONFIG = 5
    """The owner does not yet have the service's document in force."""
    UNKNOWN_SERVICE = 6


class ClaimState(enum.IntEnum):
    """State of an idempotency key, or outcome of a claim command."""

    GRANTED = 1
    RUNNING = 2
    ANSWERED = 3
    ANSWER_DROPPED = 4
    """The request ran and was answered; the answer is not stored."""
    UNKNOWN = 5
    """The holder's deadline passed without a recorded outcome."""
    KEY_REUSED = 6
    RELEASED = 7
    """The holder released the claim without running the request."""
    RECORDED = 8
    NOT_HOLDER = 9
    FULL = 10
    """The limit of claims in memory is reached; nothing was claimed."""


class GroupCallState(enum.IntEnum):
    """Outcome of a call to a group."""

    APPLIED = 1
    NOT_LEADER = 2
    OUTCOME_UNKNOWN = 3
    REFUSED = 4


class DocumentText(msgspec.Struct, frozen=True):
    """A validated document and the fields that the state machine uses."""

    name: str
    revision: int
    digest: str
    floor_slots: int
    text: str


class ApplyDocuments(msgspec.Struct, frozen=True):
    """Command to put all of these documents in force, or none."""

    documents: tuple[DocumentText, ...]


class ChangeRoutes(msgspec.Struct, frozen=True):
    """Command to change the route table.

    :param digest: identifies a change that is sent again.
    :param text: see :func:`papayastall.route_table.encode_change`; "" if it
        is deflated.
    :param deflated_text: a long text, deflated.
    """

    digest: str
    text: str
    deflated_text: bytes = b""

    def read_text(self) -> str:
        """Return the text, inflated if need be.

        :raises ValueError: the deflated text is damaged or too long.
        """
        if not self.deflated_text:
            return self.text
        inflated = _inflating.inflate_whole(
            self.deflated_text, MAX_INFLATED_BYTES
        )
        return inflated.decode()


class UpstreamReport(msgspec.Struct, frozen=True):
    """State of one upstream as reported by its owner."""

    upstream: str
    service_name: str
    slots: int
    state: UpstreamReportState


class ReportUpstreams(msgspec.Struct, frozen=True):
    """Command that reports an owner's changed upstreams, or all of them.

    :param epoch: identifies the owner's process; greater at each start.
    :param sequence: number of the command since the owner's start.
    :param full: whether ``upstreams`` lists all upstreams of the owner.
    """

    owner: str
    epoch: int
    sequence: int
    full: bool = False
    upstreams: tuple[UpstreamReport, ...] = ()


class AskPermit(msgspec.Struct, frozen=True):
    """Command to take an upstream out of its service's healthy capacity.

    :param config_index: config index in force on the owner.
    """

    owner: str
    epoch: int
    sequence: int
    upstream: str
    service_name: str
    reason: PermitReason
    config_index: int


class Claim(msgspec.Struct, frozen=True):
    """Command to claim an idempotency key for one run of a request.

    :param key: digest of service, team and idempotency key.
    :param token: unique identifier of the ingress's attempt.
    :param digest: digest of the request's method, target and body.
    :param timeout_ms: time left until the request's deadline.
    """

    key: bytes
    token: bytes
    digest: bytes
    timeout_ms: int


class Header(msgspec.Struct, frozen=True):
    """A header of an answer."""

    name: bytes
    value: bytes


class Answer(msgspec.Struct, frozen=True):
    """A complete answer of an upstream."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


class RecordOutcome(msgspec.Struct, frozen=True):
    """Command to record the answer to a claimed request that ran.

    :param answer: with headers and body only if it is small enough to keep.
    :param size_bytes: size of headers and body, or
        :data:`OMITTED_ANSWER_SIZE_BYTES` if they were omitted.
    """

    key: bytes
    token: bytes
    answer: Answer
    size_bytes: int


class ReleaseClaim(msgspec.Struct, frozen=True):
    """Command to release a claim whose request certainly did not run."""

    key: bytes
    token: bytes


class Command(msgspec.Struct, frozen=True):
    """A versioned command; exactly one of the other fields is set."""

    version: int = COMMAND_VERSION
    apply_documents: ApplyDocuments | None = None
    report_upstreams: ReportUpstreams | None = None
    ask_permit: AskPermit | None = None
    claim: Claim | None = None
    record_outcome: RecordOutcome | None = None
    release_claim: ReleaseClaim | None = None
    change_routes: ChangeRoutes | None = None


class ObservedSlots(msgspec.Struct, frozen=True):
    """Healthy slots of an owner in a service, according to membership."""

    owner: str
    slots: int


def pack_routes_change(digest: str, text: str) -> Command:
    """Return the command of a change, deflated if its text is long."""
    encoded = text.encode()
    if len(encoded) < MIN_DEFLATED_BYTES:
        return Command(change_routes=ChangeRoutes(digest, text))
    deflated = zlib.compress(encoded, DEFLATE_LEVEL)
    return Command(
        version=DEFLATED_COMMAND_VERSION,
        change_routes=ChangeRoutes(digest, "", deflated),
    )


class LogEntry(msgspec.Struct, frozen=True):
    """A command with the observations that the leader adds to it.

    :param time_ms: time of the replicated clock, which is never fast.
    :param observed: owners whose healthy slots according to the leader's
        membership are fewer than in the permit table.
    """

    version: int
    time_ms: int
    command: Command
    observed: tuple[ObservedSlots, ...] = ()


class DocumentVerdict(msgspec.Struct, frozen=True):
    """Outcome for one document of an apply.

    :param current_revision: revision in force; zero without one.
    :param current_digest: digest accepted for ``revision``, if known, else
        the digest in force.
    """

    name: str
    revision: int
    state: DocumentState
    current_revision: int
    current_digest: str


class DocumentsResult(msgspec.Struct, frozen=True):
    """Outcome of an apply.

    :param index: of the last change of these documents, or of the config
        in force if the apply was not accepted.
    """

    accepted: bool
    index: int
    verdicts: tuple[DocumentVerdict, ...]


class RoutesResult(msgspec.Struct, frozen=True):
    """Outcome of a change of the route table.

    :param index: of the change, or of the config in force if refused.
    :param problem: reason of the refusal.
    """

    state: RoutesState
    index: int
    problem: str = ""


class ReportResult(msgspec.Struct, frozen=True):
    """Outcome of a report.

    :param epoch: greatest known epoch of the owner.
    """

    state: ReportState
    epoch: int


class PermitResult(msgspec.Struct, frozen=True):
    """Outcome of a request for a permit.

    :param epoch: greatest known epoch of the owner.
    :param healthy_slots: of the service, after the decision.
    :param config_index: of the last change of the service's document.
    """

    state: PermitState
    epoch: int
    healthy_slots: int
    floor_slots: int
    config_index: int


class ClaimResult(msgspec.Struct, frozen=True):
    """Outcome of a claim command.

    :param retry_after_ms: time until the next attempt, while it runs.
    """

    state: ClaimState
    answer: Answer | None = None
    retry_after_ms: int = 0


class Result(msgspec.Struct, frozen=True):
    """The result of a command; the field of its kind is set."""

    version: int = COMMAND_VERSION
    documents: DocumentsResult | None = None
    report: ReportResult | None = None
    permit: PermitResult | None = None
    claim: ClaimResult | None = None
    routes: RoutesResult | None = None


class GroupCall(msgspec.Struct, frozen=True):
    """Request to a control replica to commit a command."""

    version: int
    group: int
    command: Command


class GroupAnswer(msgspec.Struct, frozen=True):
    """Answer of a control replica to a :class:`GroupCall`.

    :param leader: address of the leader to call instead, if known.
    """

    version: int
    state: GroupCallState
    result: Result | None = None
    leader: str | None = None


def decode_entry(data: bytes) -> LogEntry:
    """Decode a committed command.

    :raises papayastall.exceptions.ProtocolError: its version is later than
        this release's; the replica must be upgraded.
    """
    entry = codec.decode(LogEntry, data)
    version = max(entry.version, entry.command.version)
    if version > DEFLATED_COMMAND_VERSION:
        raise exceptions.ProtocolError(
            exceptions.ErrorCode.BAD_FRAME,
            f"command of version {version}; upgrade this replica",
            step="apply",
        )
    return entry
