"""Typed events, actions and views of the request controllers.

The controllers do no I/O. Adapters turn what happens on the network into
calls with ``now_s`` (seconds of a monotonic clock) and carry out the
actions that come back.
"""

from __future__ import annotations

import enum

import msgspec

from papayastall import exceptions

__all__ = [
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
    "UpstreamState",
    "split_name",
]


class RequestKind(enum.Enum):
    """Whether a request may safely run more than once."""

    LOOKUP = "lookup"
    NON_IDEMPOTENT = "non-idempotent"


class UpstreamState(enum.Enum):
    """What an upstream says of itself."""

    COLD = "cold"
    READY = "ready"
    LEAVING = "leaving"


class Outcome(enum.Enum):
    """How a request that was handed to an upstream ended."""

    ANSWERED = "answered"
    """A whole answer with a status below 500."""
    FAILED = "failed"
    """A whole answer with a status of 500 or above, but for a shed."""
    EXPIRED = "expired"
    """The deadline passed before anything was handed over."""
    SHED = "shed"
    """The upstream refused it and says that it did not run."""
    BROKEN = "broken"
    """The connection ended before a whole answer."""
    CONNECT_FAILED = "connect-failed"
    """No connection could be made; nothing was handed over."""
    TIMED_OUT = "timed-out"
    """The deadline passed before a whole answer."""
    CANCELLED = "cancelled"
    """The caller gave up."""


class AttemptResult(enum.Enum):
    """What an ingress learned of one attempt at one owner."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class UpstreamAnnouncement(msgspec.Struct, frozen=True):
    """What an upstream announces to its owner.

    :param upstream: address as ``ip:port``.
    :param load: its own report, 0 idle to 1 full; weak evidence only.
    :param lease_s: for how long the announcement holds, in seconds.
    :param instance: names this start of the upstream, if it says so.
    :param started_ms: Unix time of that start; orders the starts at one
        address.
    :param sequence: grows with each announcement of one start.
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
        """What the upstream is known by: each start is another one."""
        if not self.instance:
            return self.upstream
        return f"{self.upstream}/{self.instance}"


def split_name(name: str) -> tuple[str, str]:
    """Return the address and the instance of an upstream's name."""
    address, _, instance = name.partition("/")
    return address, instance


class RequestHints(msgspec.Struct, frozen=True):
    """What an ingress knows of the whole service, sent with each request.

    :param reference_error_ratio: share of failed answers on this route over
        all owners, 0 to 1.
    :param healthy_share: share of the service's slots that no owner steers
        away, 0 to 1.
    :param last_resort: no better owner is left; steering is overridden.
    :param wants_proof: only an upstream that recent work has shown to be
        healthy should run it; another owner is asked otherwise.
    """

    reference_error_ratio: float = 0.0
    healthy_share: float = 1.0
    last_resort: bool = False
    wants_proof: bool = False


class OwnerRequest(msgspec.Struct, frozen=True):
    """A request that an ingress asks an owner to run.

    :param deadline_s: on the owner's own clock.
    :param reference_ms: median time of the route's recent answers as
        the ingress sees it over all owners; ``None`` while unknown.
    :param fingerprint: digest of service, method, target and body.
    :param hints: what the ingress knows of the whole service.
    :param rank: urgency; 0 is the most urgent.
    :param objective_s: time left at its arrival in which an answer has its
        full worth.
    :param is_repeat: another attempt may have reached an upstream.
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


class OwnerLoad(msgspec.Struct, frozen=True):
    """The load of one owner for one service, carried on answers.

    :param weight: sum over its upstreams of slots times steering weight.
    :param latency_ms: recent median upstream time on the route of the
        answer that carries this, ``None`` while unknown.
    """

    owner: str
    service: str
    slots: int
    weight: float
    in_flight: int
    queued: int
    latency_ms: float | None


class OwnerAdvert(msgspec.Struct, frozen=True):
    """What membership tells every node of one owner and one service."""

    owner: str
    service: str
    failure_domain: str
    slots: int


class IngressRequest(msgspec.Struct, frozen=True):
    """A caller's request at its ingress.

    :param max_attempts: upstreams that may run it.
    :param objective_s: time within which an answer has its full worth.
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
    :param retry_after_s: the owner's word on when to come back, seconds.
    """

    request_id: int
    attempt: int
    result: AttemptResult
    status: int | None
    code: exceptions.ErrorCode | None
    retry_after_s: float | None
    load: OwnerLoad | None


class Dispatch(msgspec.Struct, frozen=True):
    """Hand the request to this upstream now."""

    request_id: int
    upstream: str


class RefuseRequest(msgspec.Struct, frozen=True):
    """Tell whoever sent the request that it did not run, or may have.

    :param final: coming back or trying elsewhere does not help.
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
    """Give back the permit of an upstream that returns or is gone."""

    upstream: str
    service: str


class ForwardAttempt(msgspec.Struct, frozen=True):
    """Send the request to this owner as the numbered attempt.

    :param cause: why the former attempt was not enough; ``None`` for a
        first one, and for a hedge beside one without an answer yet.
    :param is_repeat: see :class:`OwnerRequest`.
    """

    request_id: int
    attempt: int
    owner: str
    reference_ms: float | None
    hints: RequestHints = RequestHints()
    cause: exceptions.ErrorCode | None = None
    is_repeat: bool = False


class CancelAttempt(msgspec.Struct, frozen=True):
    """Cancel an attempt that is no longer wanted."""

    request_id: int
    attempt: int


class AnswerChosen(msgspec.Struct, frozen=True):
    """Relay this attempt's answer to the caller."""

    request_id: int
    attempt: int


class SuspectNotice(msgspec.Struct, frozen=True):
    """Tell every node that a request may crash upstreams, or does not.

    :param upstream: the upstream that was lost with it, as ``ip:port``.
    :param cleared: a later run of the same request was answered.
    """

    fingerprint: int
    upstream: str
    cleared: bool


OwnerAction = (
    Dispatch | RefuseRequest | AskPermit | ReleasePermit | SuspectNotice
)
IngressAction = ForwardAttempt | CancelAttempt | AnswerChosen | RefuseRequest
