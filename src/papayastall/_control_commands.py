"""Commands of the replicated groups and their results, with their codec.

Group 0 holds documents and permits, the others claims. Each command carries
a version: a replica never skips a command that it does not know, since it
would then differ from the others.
"""

from __future__ import annotations

import enum

import msgspec

from papayastall import _thrift
from papayastall import _thrift_codec
from papayastall import exceptions

__all__ = [
    "Answer",
    "ApplyDocuments",
    "AskPermit",
    "COMMAND_VERSION",
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
]

COMMAND_VERSION = 1
OMITTED_ANSWER_SIZE_BYTES = 1 << 31
CONTROL_GROUP = 0

codec = _thrift_codec.ThriftCodec(_thrift.load_module("control"))


class DocumentState(enum.IntEnum):
    """What became of one document of an apply."""

    APPLIED = 1
    ALREADY_APPLIED = 2
    CONFLICT = 3
    """Another text has this revision, or it is not the successor."""
    NOT_APPLIED = 4
    """Right by itself, but another document of the apply was not."""


class RoutesState(enum.IntEnum):
    """What became of a change of the route table."""

    APPLIED = 1
    ALREADY_APPLIED = 2
    CONFLICT = 3
    """It builds on a version that is not in force."""
    INVALID = 4


class UpstreamReportState(enum.IntEnum):
    """Whether an upstream is part of its service's healthy capacity."""

    SERVING = 1
    NOT_SERVING = 2
    GONE = 3
    SUSPECTED = 4
    """Steered away: not counted as healthy, nor taken out for nothing."""


class PermitReason(enum.IntEnum):
    """What a permit is asked for."""

    EJECTION = 1
    LEAVING = 2
    RESTART = 3


class ReportState(enum.IntEnum):
    """What became of a report."""

    ACCEPTED = 1
    STALE = 2
    """A later report or a later start of the owner is known."""
    RESYNC = 3
    """The owner is not known; a full report is needed first."""


class PermitState(enum.IntEnum):
    """What became of a permit that was asked for."""

    GRANTED = 1
    FLOOR = 2
    """Granting it would leave less than the floor."""
    STALE = 3
    RESYNC = 4
    OLD_CONFIG = 5
    """The owner does not yet have the service's document in force."""
    UNKNOWN_SERVICE = 6


class ClaimState(enum.IntEnum):
    """What is known of an idempotency key."""

    GRANTED = 1
    RUNNING = 2
    ANSWERED = 3
    ANSWER_DROPPED = 4
    """It ran and was answered; the answer is no longer kept."""
    UNKNOWN = 5
    """Its holder's deadline passed without an outcome."""
    KEY_REUSED = 6
    RELEASED = 7
    """The holder gave the claim back, which was not run."""
    RECORDED = 8
    NOT_HOLDER = 9
    FULL = 10
    """No memory for another claim; nothing was claimed."""


class GroupCallState(enum.IntEnum):
    """What became of a call to a group."""

    APPLIED = 1
    NOT_LEADER = 2
    OUTCOME_UNKNOWN = 3
    REFUSED = 4


class DocumentText(msgspec.Struct, frozen=True):
    """The checked text of a document with what the state needs of it."""

    name: str
    revision: int
    digest: str
    floor_slots: int
    text: str


class ApplyDocuments(msgspec.Struct, frozen=True):
    """Put all of these documents in force, or none."""

    documents: tuple[DocumentText, ...]


class ChangeRoutes(msgspec.Struct, frozen=True):
    """Change the route table.

    :param digest: tells a change that is sent again.
    :param text: see :func:`papayastall.route_table.encode_change`.
    """

    digest: str
    text: str


class UpstreamReport(msgspec.Struct, frozen=True):
    """What an owner says of one of its upstreams."""

    upstream: str
    service_name: str
    slots: int
    state: UpstreamReportState


class ReportUpstreams(msgspec.Struct, frozen=True):
    """Changes of an owner's upstreams, or all of them.

    :param epoch: start of the owner's process; later starts are greater.
    :param sequence: counts the owner's commands since its start.
    """

    owner: str
    epoch: int
    sequence: int
    full: bool = False
    upstreams: tuple[UpstreamReport, ...] = ()


class AskPermit(msgspec.Struct, frozen=True):
    """Ask to take an upstream out of its service's healthy capacity.

    :param config_index: of the config in force at the owner.
    """

    owner: str
    epoch: int
    sequence: int
    upstream: str
    service_name: str
    reason: PermitReason
    config_index: int


class Claim(msgspec.Struct, frozen=True):
    """Claim an idempotency key for one run.

    :param key: digest of service, team and key.
    :param token: names the ingress's attempt; never used again.
    :param digest: of what is asked: method, target and body.
    :param timeout_ms: time until the request's deadline.
    """

    key: bytes
    token: bytes
    digest: bytes
    timeout_ms: int


class Header(msgspec.Struct, frozen=True):
    """One header of an answer."""

    name: bytes
    value: bytes


class Answer(msgspec.Struct, frozen=True):
    """A whole answer of an upstream."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


class RecordOutcome(msgspec.Struct, frozen=True):
    """Record that a claimed request ran.

    :param answer: with its body and headers only where they are kept.
    :param size_bytes: of the whole answer; larger than what is kept where
        it was left out.
    """

    key: bytes
    token: bytes
    answer: Answer
    size_bytes: int


class ReleaseClaim(msgspec.Struct, frozen=True):
    """Give a claim back; only where the request certainly did not run."""

    key: bytes
    token: bytes


class Command(msgspec.Struct, frozen=True):
    """Exactly one of the commands."""

    version: int = COMMAND_VERSION
    apply_documents: ApplyDocuments | None = None
    report_upstreams: ReportUpstreams | None = None
    ask_permit: AskPermit | None = None
    claim: Claim | None = None
    record_outcome: RecordOutcome | None = None
    release_claim: ReleaseClaim | None = None
    change_routes: ChangeRoutes | None = None


class ObservedSlots(msgspec.Struct, frozen=True):
    """Healthy slots of an owner in a service, as membership sees them."""

    owner: str
    slots: int


class LogEntry(msgspec.Struct, frozen=True):
    """A command with what the leader adds to it.

    :param time_ms: the replicated clock, which never runs fast.
    :param observed: owners that the leader sees with fewer healthy slots
        than the ledger holds for them.
    """

    version: int
    time_ms: int
    command: Command
    observed: tuple[ObservedSlots, ...] = ()


class DocumentVerdict(msgspec.Struct, frozen=True):
    """What became of one document, and which one is in force."""

    name: str
    revision: int
    state: DocumentState
    current_revision: int
    current_digest: str


class DocumentsResult(msgspec.Struct, frozen=True):
    """What became of an apply.

    :param index: of the change that holds these documents.
    """

    accepted: bool
    index: int
    verdicts: tuple[DocumentVerdict, ...]


class RoutesResult(msgspec.Struct, frozen=True):
    """What became of a change of the route table.

    :param index: of the change, or of the config in force if refused.
    :param problem: why it was refused.
    """

    state: RoutesState
    index: int
    problem: str = ""


class ReportResult(msgspec.Struct, frozen=True):
    """What became of a report.

    :param epoch: the greatest epoch known of the owner.
    """

    state: ReportState
    epoch: int


class PermitResult(msgspec.Struct, frozen=True):
    """What became of a permit that was asked for.

    :param healthy_slots: of the service, after the decision.
    """

    state: PermitState
    epoch: int
    healthy_slots: int
    floor_slots: int
    config_index: int


class ClaimResult(msgspec.Struct, frozen=True):
    """What is known of a claim.

    :param retry_after_ms: when to ask again, while it runs.
    """

    state: ClaimState
    answer: Answer | None = None
    retry_after_ms: int = 0


class Result(msgspec.Struct, frozen=True):
    """The result of the command of the same kind."""

    version: int = COMMAND_VERSION
    documents: DocumentsResult | None = None
    report: ReportResult | None = None
    permit: PermitResult | None = None
    claim: ClaimResult | None = None
    routes: RoutesResult | None = None


class GroupCall(msgspec.Struct, frozen=True):
    """A node asks a control replica to commit a command."""

    version: int
    group: int
    command: Command


class GroupAnswer(msgspec.Struct, frozen=True):
    """A control replica's answer to a call.

    :param leader: whom to ask instead, if known.
    """

    version: int
    state: GroupCallState
    result: Result | None = None
    leader: str | None = None


def decode_entry(data: bytes) -> LogEntry:
    """Decode a committed command.

    :raises papayastall.exceptions.ProtocolError: it is of a later version;
        the replica must be upgraded before it goes on.
    """
    entry = codec.decode(LogEntry, data)
    version = max(entry.version, entry.command.version)
    if version > COMMAND_VERSION:
        raise exceptions.ProtocolError(
            exceptions.ErrorCode.BAD_FRAME,
            f"command of version {version}; upgrade this replica",
            step="apply",
        )
    return entry
