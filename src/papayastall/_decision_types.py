"""Types of the request controllers' events, actions and views.

The controllers do no I/O: adapters report network events by calls with
``now_s`` (seconds of a monotonic clock) and carry out the returned actions.
"""

from __future__ import annotations

import enum

import msgspec

from papayastall import exceptions

__all__ = [
    "MAX_EXACT_INTEGER",
    "MAX_SLOTS",
    "AnswerChosen",
    "AskPermit",
    "AttemptOutcome",
    "AttemptResult",
    "CancelAttempt",
    "Dispatch",
    "ForwardAttempt",
    "IngressAction",
    "IngressRequest",
    "Outcome",
    "OwnerAction",
    "OwnerAdvert",
    "OwnerLoad",
    "OwnerRequest",
    "RefuseRequest",
    "ReleasePermit",
    "RequestHints",
    "RequestKind",
    "SuspectNotice",
    "UpstreamAnnouncement",
    "UpstreamNotice",
    "UpstreamState",
    "split_name",
]

MAX_SLOTS = 100_000
"""Limit on the slots of one upstream: messages between nodes carry the slots
of all upstreams of an owner in 32 bits."""
MAX_EXACT_INTEGER = 2**53 - 1
"""The largest integer that every JSON writer and reader handles exactly."""


class RequestKind(enum.Enum):
    """Whether a request may safely run more than once."""

    LOOKUP = "lookup"
    NON_IDEMPOTENT = "non-idempotent"


class UpstreamState(enum.Enum):
    """State that an upstream announces."""

    COLD = "cold"
    READY = "ready"
    LEAVING = "leaving"


class Outcome(enum.Enum):
    """How a request that was handed to an upstream ended."""

    ANSWERED = "answered"
    """A complete answer with a status below 500."""
    FAILED = "failed"
    """A complete answer with a status of 500 or above, unless it is a shed."""
    EXPIRED = "expired"
    """The deadline passed before the request was handed over."""
    SHED = "shed"
    """The upstream refused the request and states that it did not run."""
    BROKEN = "broken"
    """The connection ended before a complete answer."""
    CONNECT_FAILED = "connect-failed"
    """No connection could be made, so nothing was handed over."""
    TIMED_OUT = "timed-out"
    """The deadline passed before a complete answer."""
    CANCELLED = "cancelled"
    """The caller no longer waits for the answer."""


class AttemptResult(enum.Enum):
    """Result of one attempt at one owner, as far as the ingress knows it.

    After ``UNKNOWN`` an upstream may have run the request.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class UpstreamAnnouncement(msgspec.Struct, frozen=True):
    """What an upstream announces to its owner.

    :param upstream: address as ``ip:port``.
    :param load: load that it reports, 0 (idle) to 1 (full); weak evidence.
    :param lease_s: time for which the announcement is valid, in seconds.
    :param instance: identifier of the upstream's process instance; empty
        if it sends none.
    :param started_ms: Unix time at which that instance started, in
        milliseconds; orders the instances at one address.
    :param sequence: number that grows with each announcement of an instance.
    """

    upstream: str
    service: str
    slots: int
    connections: int
    load: float
    state: UpstreamState
    lease_s: float
    instance: str = ""
    started_ms: int = 0
    sequence: int = 0

    @property
    def name(self) -> str:
        """Name of the upstream; each process instance has another one."""
        if not self.instance:
            return self.upstream
        return f"{self.upstream}/{self.instance}"


def split_name(name: str) -> tuple[str, str]:
    """Return the address and the instance of an upstream's name."""
    address, _, instance = name.partition("/")
    return address, instance


class UpstreamNotice(msgspec.Struct, frozen=True):
    """What an upstream says of itself in its answers.

    :param upstream: its name, see ``UpstreamAnnouncement.name``.
    :param started_ms: Unix time of its start in milliseconds; 0 if unknown.
    :param limit_per_s: requests a second that it takes from all nodes
        together; ``None`` without a limit.
    :param is_leaving: it takes no new requests.
    """

    upstream: str
    started_ms: int = 0
    limit_per_s: float | None = None
    is_leaving: bool = False


class RequestHints(msgspec.Struct, frozen=True):
    """State of the whole service as its ingress sees it.

    Sent with each request.

    :param reference_error_ratio: share of failed answers on this route over
        all owners, 0 to 1.
    :param healthy_share: share of the service's slots whose owners the
        ingress does not avoid, 0 to 1.
    :param last_resort: no better owner is left; steering is overridden.
    :param wants_proof: only an upstream that recent work has shown to be
        healthy should run the request; another owner is asked otherwise.
    """

    reference_error_ratio: float = 0.0
    healthy_share: float = 1.0
    last_resort: bool = False
    wants_proof: bool = False


class OwnerRequest(msgspec.Struct, frozen=True):
    """A request that an ingress asks an owner to run.

    :param deadline_s: time on the owner's monotonic clock, in seconds.
    :param reference_ms: median time of the route's recent answers over all
        owners as the ingress sees it, in milliseconds; ``None`` while
        unknown.
    :param fingerprint: digest of service, method, target and body.
    :param hints: state of the whole service as the ingress sees it.
    :param rank: urgency; 0 is the most urgent.
    :param objective_s: time left on arrival until the latency objective,
        in seconds.
    :param is_repeat: another attempt may have reached an upstream.
    :param notices: of upstreams of the service, as the ingress knows them.
    :param is_suspect: an upstream of another owner was lost with an earlier
        attempt.
    :param expected_ms: run time that the ingress expects at an average
        upstream, in milliseconds; ``None`` while unknown.
    """

    request_id: int
    service: str
    route: str
    team: str
    kind: RequestKind
    deadline_s: float
    reference_ms: float | None
    fingerprint: int
    hints: RequestHints = RequestHints()
    rank: int = 0
    objective_s: float | None = None
    is_repeat: bool = False
    notices: tuple[UpstreamNotice, ...] = ()
    is_suspect: bool = False
    expected_ms: float | None = None


class OwnerLoad(msgspec.Struct, frozen=True):
    """Load of one owner for one service, sent with answers.

    :param weight: sum over its upstreams of slots times steering weight.
    :param latency_ms: recent median upstream time on the answer's route,
        in milliseconds; ``None`` while unknown.
    :param notices: of its upstreams that have named a limit or said that
        they are leaving.
    :param work_s: expected run time left of all that runs and waits there,
        in seconds; ``None`` where it is not estimated.
    :param gray_odds: log-odds in nats that its best upstream leaves requests
        unanswered now; ``None`` where they are not reported.
    :param repeats_left: retries and hedges that it still accepts; ``None``
        where they are not reported.
    """

    owner: str
    service: str
    slots: int
    weight: float
    in_flight: int
    queued: int
    latency_ms: float | None
    notices: tuple[UpstreamNotice, ...] = ()
    work_s: float | None = None
    gray_odds: float | None = None
    repeats_left: float | None = None


class OwnerAdvert(msgspec.Struct, frozen=True):
    """Slots of one owner for one service, sent to every node by gossip."""

    owner: str
    service: str
    failure_domain: str
    slots: int


class IngressRequest(msgspec.Struct, frozen=True):
    """A caller's request at its ingress.

    :param max_attempts: limit on the attempts that may reach an upstream.
    :param objective_s: latency objective in seconds; a later answer is
        worth less to the caller.
    :param rank: urgency; 0 is the most urgent.
    """

    request_id: int
    service: str
    route: str
    team: str
    kind: RequestKind
    deadline_s: float
    fingerprint: int
    max_attempts: int = 1_000
    rank: int = 0
    objective_s: float | None = None


class AttemptOutcome(msgspec.Struct, frozen=True):
    """How one attempt ended.

    :param code: why it was refused or failed; ``None`` when answered.
    :param retry_after_s: retry delay that the owner suggests, in seconds.
    :param run_ms: time at the upstream; 0 if unknown.
    """

    request_id: int
    attempt: int
    result: AttemptResult
    status: int | None
    code: exceptions.ErrorCode | None
    retry_after_s: float | None
    load: OwnerLoad | None
    run_ms: float = 0.0


class Dispatch(msgspec.Struct, frozen=True):
    """Send the request to this upstream now.

    :param sends_once: it must not be sent again on another connection.
    """

    request_id: int
    upstream: str
    sends_once: bool = False


class RefuseRequest(msgspec.Struct, frozen=True):
    """Tell the sender that the request did not run, or may have run.

    :param final: a retry, later or at another owner, does not help.
    """

    request_id: int
    code: exceptions.ErrorCode
    ran: exceptions.RanState
    retry_after_s: float | None
    final: bool


class AskPermit(msgspec.Struct, frozen=True):
    """Ask the control state for a permit to eject this upstream."""

    upstream: str
    service: str
    slots: int


class ReleasePermit(msgspec.Struct, frozen=True):
    """Return the permit of an upstream that takes work again or is gone."""

    upstream: str
    service: str


class ForwardAttempt(msgspec.Struct, frozen=True):
    """Send the request to this owner as the attempt of this number.

    :param cause: why the previous attempt was not sufficient; ``None`` for
        a first attempt and for a hedge of one that is still unanswered.
    :param is_repeat: see :class:`OwnerRequest`.
    :param notices: of upstreams of the service, for an owner whose process
        is new to them.
    :param is_suspect: see :class:`OwnerRequest`.
    :param expected_ms: see :class:`OwnerRequest`.
    """

    request_id: int
    attempt: int
    owner: str
    reference_ms: float | None
    hints: RequestHints = RequestHints()
    cause: exceptions.ErrorCode | None = None
    is_repeat: bool = False
    notices: tuple[UpstreamNotice, ...] = ()
    is_suspect: bool = False
    expected_ms: float | None = None


class CancelAttempt(msgspec.Struct, frozen=True):
    """Cancel an attempt that is no longer wanted."""

    request_id: int
    attempt: int


class AnswerChosen(msgspec.Struct, frozen=True):
    """Relay this attempt's answer to the caller."""

    request_id: int
    attempt: int


class SuspectNotice(msgspec.Struct, frozen=True):
    """Tell every node that a request may crash upstreams, or is cleared.

    :param upstream: the process of an upstream that was lost with it.
    :param cleared: a run of the same request was answered.
    :param is_trial: the request was known as a suspect when it was sent to
        the upstream.
    """

    fingerprint: int
    upstream: str
    cleared: bool
    is_trial: bool = False


OwnerAction = (
    Dispatch | RefuseRequest | AskPermit | ReleasePermit | SuspectNotice
)
IngressAction = ForwardAttempt | CancelAttempt | AnswerChosen | RefuseRequest
