"""State that an ingress keeps of its requests and services."""

from __future__ import annotations

import msgspec

from papayastall import _decision_types as types
from papayastall import _health
from papayastall import _retry
from papayastall import _routing
from papayastall import _service_policy
from papayastall import exceptions
from papayastall import work

__all__ = [
    "Attempt",
    "HeardNotice",
    "PendingRequest",
    "RouteReference",
    "ServiceView",
]


class Attempt(msgspec.Struct, frozen=True):
    """One attempt that is still open."""

    number: int
    owner: str
    sent_s: float


class PendingRequest(msgspec.Struct):
    """A caller's request and its attempts.

    :param has_unknown_outcome: an attempt without an answer may have run it.
    :param losses: attempts that ended with the loss of an upstream.
    :param lost_owners: the owners of these upstreams.
    :param was_shed: an attempt reached an upstream, which refused it.
    :param unproven: refusals by owners without an upstream that recent work
        has shown to be healthy.
    """

    request: types.IngressRequest
    open: dict[int, Attempt] = msgspec.field(default_factory=dict)
    tried: set[str] = msgspec.field(default_factory=set)
    next_number: int = 1
    refusals: int = 0
    has_unknown_outcome: bool = False
    losses: int = 0
    lost_owners: set[str] = msgspec.field(default_factory=set)
    unproven: int = 0
    was_shed: bool = False
    chosen: int | None = None
    last_code: exceptions.ErrorCode | None = None
    retry_after_s: float | None = None
    hedge_due_s: float | None = None

    @property
    def sent(self) -> int:
        """Number of attempts that an upstream may have run."""
        return self.next_number - 1 - self.refusals


class RouteReference(msgspec.Struct):
    """Median time and failure ratio of one route over all owners."""

    median: _health.MedianEstimate = msgspec.field(
        default_factory=_health.MedianEstimate
    )
    errors: _health.RatioEstimate = msgspec.field(
        default_factory=_health.RatioEstimate
    )


class HeardNotice(msgspec.Struct, frozen=True):
    """A notice of an upstream and the owner that passed it on."""

    notice: types.UpstreamNotice
    owner: str
    heard_s: float


class ServiceView(msgspec.Struct):
    """One service as an ingress sees it.

    :param notices: of upstreams that name a limit or are leaving, by the
        upstream's name.
    :param estimator: run times of its requests.
    """

    policy: _service_policy.ServicePolicy
    budget: _retry.RetryBudget
    owners: dict[str, _routing.OwnerView] = msgspec.field(default_factory=dict)
    references: dict[str, RouteReference] = msgspec.field(default_factory=dict)
    notices: dict[str, HeardNotice] = msgspec.field(default_factory=dict)
    estimator: work.WorkEstimator = msgspec.field(
        default_factory=work.WorkEstimator
    )
