"""What an owner keeps of its upstreams and services (its blackboard)."""

from __future__ import annotations

import enum
import math

import msgspec

from papayastall import _admission
from papayastall import _decision_types as types
from papayastall import _gray_filter
from papayastall import _health
from papayastall import _retry
from papayastall import _service_policy

__all__ = [
    "AnyEvidence",
    "RunningRequest",
    "ServiceState",
    "Standing",
    "Upstream",
    "UpstreamView",
]


AnyEvidence = _health.Evidence | _gray_filter.GrayFilter


class Standing(enum.Enum):
    """How far an upstream is trusted with work."""

    HEALTHY = "healthy"
    STEERED = "steered away"
    EJECTED = "ejected"
    RETURNING = "returning"


class RunningRequest(msgspec.Struct):
    """A request that was handed to an upstream."""

    request: types.OwnerRequest
    upstream: str
    started_s: float
    is_suspect: bool
    is_trial: bool
    first_byte_s: float | None = None
    trial_failed: bool = False


class Upstream(msgspec.Struct):
    """One upstream: what it announced and how its work went.

    :param is_doubted: gets only a lookup now and then.
    :param decayed_s: when its evidence was last let grow old.
    :param held_until_s: slots kept busy after failures that came too fast.
    """

    name: str
    service: str
    slots: int
    connections: int
    state: types.UpstreamState
    lease_s: float
    expires_s: float
    warm_s: float
    evidence: AnyEvidence
    running: dict[int, RunningRequest] = msgspec.field(default_factory=dict)
    held_until_s: list[float] = msgspec.field(default_factory=list)
    is_doubted: bool = False
    decayed_s: float = 0.0
    standing: Standing = Standing.HEALTHY
    standing_since_s: float = -math.inf
    excluded_until_s: float = 0.0
    stay_s: float = 0.0
    relapses: int = 0
    trial_due_s: float = 0.0
    trials_passed: int = 0
    trials_failed: int = 0
    permit_held: bool = False
    permit_asked_s: float = -math.inf
    shed_until_s: float = 0.0
    last_answer_s: float = -math.inf
    leaving_since_s: float | None = None
    drained_by_operator: bool = False
    cold_since_s: float | None = None

    def free_slots(self, now_s: float) -> int:
        """Return the slots that can take work now."""
        if now_s < self.shed_until_s:
            return 0
        if self.held_until_s:
            self.held_until_s = [
                until_s for until_s in self.held_until_s if until_s > now_s
            ]
        return self.slots - len(self.running) - len(self.held_until_s)

    def is_present(self, now_s: float) -> bool:
        """Return whether it still announces itself or answers real work."""
        if now_s < self.expires_s:
            return True
        return now_s < self.last_answer_s + self.lease_s


class ServiceState(msgspec.Struct):
    """One service at one owner.

    :param busy_s: mean time for which a request holds its slot.
    :param healthy_share: see :class:`RequestHints`, as told last.
    :param repeats: this owner's part of the budget of further attempts.
    """

    policy: _service_policy.ServicePolicy
    queue: _admission.RankedQueue = msgspec.field(
        default_factory=_admission.RankedQueue
    )
    medians: dict[str, _health.MedianEstimate] = msgspec.field(
        default_factory=dict
    )
    busy_s: float = 0.1
    healthy_share: float = 1.0
    repeats: _retry.RetryBudget | None = None


class UpstreamView(msgspec.Struct, frozen=True):
    """An upstream as operators see it."""

    upstream: str
    service: str
    slots: int
    in_flight: int
    weight: float
    score: float
    state: types.UpstreamState
    standing: Standing
    excluded_until_s: float | None
    leaving: bool
    is_doubted: bool = False
