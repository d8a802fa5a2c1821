"""State that an owner keeps of its upstreams and services."""

from __future__ import annotations

import enum
import math

import msgspec

from papayastall import _admission
from papayastall import _decision_types as types
from papayastall import _gray_filter
from papayastall import _health
from papayastall import _rate_limit
from papayastall import _retry
from papayastall import _service_policy
from papayastall import work

__all__ = [
    "AnyEvidence",
    "RunningRequest",
    "ServiceState",
    "Standing",
    "Upstream",
    "UpstreamView",
]


_MIN_EFFECTIVE_SLOTS = 0.1
"""Above the weight at which ingresses take an owner for steered away."""

AnyEvidence = _health.Evidence | _gray_filter.GrayFilter


class Standing(enum.Enum):
    """Whether an upstream gets requests, judged by its evidence."""

    HEALTHY = "healthy"
    STEERED = "steered away"
    EJECTED = "ejected"
    RETURNING = "returning"


class RunningRequest(msgspec.Struct):
    """A request that was handed to an upstream.

    :param is_suspect: an earlier run of it may have crashed an upstream.
    :param is_trial: a lookup that tests an upstream which is doubted,
        steered away or ejected.
    :param trial_failed: the trial ran too long and was counted as failed.
    """

    request: types.OwnerRequest
    upstream: str
    started_s: float
    is_suspect: bool
    is_trial: bool
    first_byte_s: float | None = None
    trial_failed: bool = False


class Upstream(msgspec.Struct):
    """One upstream: what it announced and how its requests went.

    :param expires_s: when the lease of its last announcement ends.
    :param warm_s: when its cold start is over.
    :param held_until_s: for each slot that is kept occupied after a failure
        faster than the usual run time, when it becomes free.
    :param is_doubted: whether it gets trial lookups only.
    :param decayed_s: when its evidence was last decayed.
    :param excluded_until_s: earliest end of its present exclusion.
    :param stay_s: least duration of that exclusion.
    :param steer_count: how often it was steered away; resets after a long
        healthy time. Each time doubles the next ``stay_s``.
    :param trial_due_s: when the next trial lookup may be sent.
    :param shed_until_s: until when it gets nothing after it shed a request.
    :param started_ms: Unix time of its start in milliseconds; 0 if unknown.
    :param rate_limit: that its answers name, if any.
    :param says_leaving: its answers say that it is leaving.
    :param has_spoken: an answer of it has arrived at this process.
    :param has_given_notice: it has named a limit or said that it is leaving
        since its start.
    :param run_ratios: run times relative to what ingresses expected;
        ``None`` before the first one.
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
    steer_count: int = 0
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
    started_ms: int = 0
    rate_limit: _rate_limit.RateLimit | None = None
    says_leaving: bool = False
    has_spoken: bool = False
    has_given_notice: bool = False
    run_ratios: work.RunTimes | None = None

    def effective_slots(self, mean_busy_s: float) -> float:
        """Return the slots that its limit lets requests use on average.

        :param mean_busy_s: mean time for which a request holds its slot.
        """
        if self.rate_limit is None:
            return self.slots
        busy_slots = self.rate_limit.rate_per_s * mean_busy_s
        return min(self.slots, max(_MIN_EFFECTIVE_SLOTS, busy_slots))

    def free_slots(self, now_s: float) -> int:
        """Return the number of slots that can take a request now."""
        free = self.open_slots(now_s)
        if self.rate_limit is not None:
            return min(free, self.rate_limit.free_requests(now_s))
        return free

    def open_slots(self, now_s: float) -> int:
        """Return the number of free slots without regard to a limit."""
        if now_s < self.shed_until_s:
            return 0
        if self.held_until_s:
            self.held_until_s = [
                until_s for until_s in self.held_until_s if until_s > now_s
            ]
        return self.slots - len(self.running) - len(self.held_until_s)

    def is_present(self, now_s: float) -> bool:
        """Return whether its lease holds or it answered within one lease."""
        if now_s < self.expires_s:
            return True
        return now_s < self.last_answer_s + self.lease_s


class ServiceState(msgspec.Struct):
    """One service at one owner.

    :param medians: by route, the median time to the first byte of an
        answer.
    :param mean_busy_s: mean time for which a request holds its slot.
    :param healthy_share: see :class:`RequestHints`; from the last request.
    :param retry_budget: this owner's part of the fleet-wide retry budget;
        ``None`` where each ingress has its own.
    """

    policy: _service_policy.ServicePolicy
    queue: _admission.RankedQueue | work.CostQueue = msgspec.field(
        default_factory=_admission.RankedQueue
    )
    medians: dict[str, _health.MedianEstimate] = msgspec.field(
        default_factory=dict
    )
    mean_busy_s: float = 0.1
    healthy_share: float = 1.0
    retry_budget: _retry.RetryBudget | None = None

    def use_queue(self, is_varied: bool) -> None:
        """Order the queue by expected run time, or by class and team."""
        if isinstance(self.queue, work.CostQueue) is is_varied:
            return
        before = self.queue
        self.queue = (
            work.CostQueue() if is_varied else _admission.RankedQueue()
        )
        while (item := before.pop()) is not None:
            self.queue.push(item)


class UpstreamView(msgspec.Struct, frozen=True):
    """An upstream as shown to operators.

    :param score: evidence of failure, in nats.
    :param excluded_until_s: ``None`` unless steered away or ejected.
    :param limit_per_s: requests a second that it takes, if it names a limit.
    """

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
    limit_per_s: float | None = None
