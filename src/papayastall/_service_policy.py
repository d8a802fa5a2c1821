"""Policy of one service as the request controllers use it."""

from __future__ import annotations

import math

import msgspec
import msgspec.structs

from papayastall import _gray_filter
from papayastall import _health
from papayastall import _retry
from papayastall import documents
from papayastall import proof

__all__ = [
    "HealthTuning",
    "RoutingTuning",
    "ServicePolicy",
    "for_table",
    "from_document",
    "health_tuning",
]


EvidenceModel = _health.SequentialTest | _gray_filter.GrayModel


class HealthTuning(msgspec.Struct, frozen=True):
    """Thresholds of steering away, ejection and return.

    Scores are log-likelihood ratios (nats) of "failing" over "healthy".

    :param doubt_score: score from which an upstream gets only occasional
        lookups, until their results change the score.
    :param steer_score: score from which an upstream's weight is zero.
    :param eject_score: score from which a permit to eject is requested.
    :param proof_score: score below which recent work shows that an
        upstream is healthy.
    :param stall_age_s: requests in flight younger than this raise doubt but
        steer nothing away.
    :param slack: factor by which an upstream may be slower than the service
        and still count as healthy.
    :param eject_confirm_s: time for which an upstream is steered away
        before it may be ejected.
    :param stay_s: shortest time for which an upstream is excluded, that is
        steered away or ejected; doubled at each relapse.
    :param max_stay_s: upper limit of that time.
    :param forget_stays_s: time for which an upstream must be healthy before
        its earlier exclusions no longer count as relapses.
    :param return_lookups: trial lookups in a row that must pass.
    :param slow_start_s: time from return to full weight.
    :param cold_grace_s: time for which a new upstream counts as cold.
    :param cold_factor: further factor by which a cold one may be slower.
    :param min_healthy_share: below this share of healthy slots no upstream
        of the service is ejected.
    :param latency_evidence: whether run times count as evidence.
    :param error_evidence: whether failed answers count as evidence.
    :param evidence: model that turns evidence into a score.
    :param hold_failed_slots: whether the slot of a request that failed early
        stays occupied for the usual run time.
    """

    doubt_score: float
    steer_score: float
    eject_score: float
    stall_age_s: float
    slack: float = 1.5
    eject_confirm_s: float = 3.0
    stay_s: float = 2.0
    max_stay_s: float = 300.0
    forget_stays_s: float = 600.0
    return_lookups: int = 3
    slow_start_s: float = 10.0
    cold_grace_s: float = 10.0
    cold_factor: float = 10.0
    min_healthy_share: float = 0.5
    latency_evidence: bool = True
    error_evidence: bool = True
    evidence: EvidenceModel = _health.SequentialTest()
    hold_failed_slots: bool = True
    proof_score: float = math.inf


_DETECTION = HealthTuning(
    doubt_score=5.0, steer_score=9.0, eject_score=18.0, stall_age_s=0.5
)
_CAPACITY = HealthTuning(
    doubt_score=5.0, steer_score=11.0, eject_score=20.0, stall_age_s=1.0
)


_GRAY = HealthTuning(
    # A gray upstream loses three of four non-idempotent requests, while
    # passing over a healthy one costs only a hop to another owner. With a
    # limit at even odds (0), too many requests would go to gray upstreams.
    doubt_score=-0.4,
    # Above this score one in five non-idempotent requests is lost, below it
    # one in twenty-five.
    proof_score=-2.0,
    steer_score=math.inf,
    eject_score=math.inf,
    stall_age_s=0.0,
    slack=1.0,
    slow_start_s=3.0,
    cold_grace_s=3.0,
    cold_factor=2.5,
    hold_failed_slots=False,
    evidence=_gray_filter.GrayModel(),
)


def health_tuning(priority: documents.HealthPriority) -> HealthTuning:
    """Return the thresholds of a health priority."""
    match priority:
        case documents.HealthPriority.DETECTION:
            return _DETECTION
        case documents.HealthPriority.CAPACITY:
            return _CAPACITY
        case documents.HealthPriority.GRAY:
            return _GRAY


class RoutingTuning(msgspec.Struct, frozen=True):
    """Limits of routing, retries and hedges at an ingress.

    :param choices: owners drawn at random, of which the least loaded is
        taken.
    :param trial_ratio: share of lookups sent to owners that are silent or
        steer all work away.
    :param hedges: whether lookups are hedged.
    :param hedge_factor: a lookup is hedged at this multiple of the median,
        after ``min_hedge_s`` at least.
    :param max_refusals: refusals up to which another owner is tried.
    :param silence_factor: an owner that sends nothing for this multiple of
        the median, and ``silence_s`` at least, is avoided except for trial
        lookups.
    :param silent_hedges: whether an owner is avoided in the same way if
        another owner answered a lookup before it had sent anything.
    :param steered_word_s: time for which an owner's report that it steers
        all work away keeps requests from it.
    :param load_decay_s: time constant by which the reported load of other
        ingresses decays.
    :param far_penalty: share of an owner's slots by which it may be busier
        than one in another failure domain and still be preferred.
    :param far_ms: price in milliseconds of sending a request to another
        failure domain, for the latency and the bytes; used in place of
        ``far_penalty`` and ``near_fill_share`` where costs are varied.
    :param near_fill_share: share of an owner's slots up to which owners in
        this node's failure domain come before all others; 0 if never.
    """

    choices: int = 2
    trial_ratio: float = 0.02
    hedges: bool = True
    hedge_factor: float = 5.0
    min_hedge_s: float = 0.02
    max_refusals: int = 3
    silence_s: float = 0.3
    silence_factor: float = 5.0
    silent_hedges: bool = True
    load_decay_s: float = 1.0
    steered_word_s: float = 5.0
    far_penalty: float = 0.0
    near_fill_share: float = 0.0
    far_ms: float = 0.0


class ServicePolicy(msgspec.Struct, frozen=True):
    """Policy of one service on one node.

    :param floor_slots: healthy slots that must always remain.
    :param max_queued: requests that may wait at one owner.
    :param retry_budget: retries and hedges that an ingress may send.
    :param owner_retry_budget: retries and hedges that an owner may accept,
        where the whole fleet shares one budget; ``None`` where each ingress
        has its own.
    :param failure_domain: of this node; breaks ties in routing.
    :param is_varied: whether requests cost very different amounts of work;
        switches on the decisions that depend on their expected cost.
    :param proof_limits: limits of the decisions that rest on proof; in force
        where ``is_varied`` is set.
    """

    floor_slots: int = 0
    health_priority: documents.HealthPriority = (
        documents.HealthPriority.CAPACITY
    )
    max_queued: int = 64
    retry_budget: _retry.BudgetLimits = _retry.BudgetLimits()
    owner_retry_budget: _retry.BudgetLimits | None = None
    failure_domain: str = ""
    health: HealthTuning | None = None
    routing: RoutingTuning = RoutingTuning()
    is_varied: bool = False
    proof_limits: proof.ProofTuning = proof.ProofTuning()

    def thresholds(self) -> HealthTuning:
        """Return the health thresholds in force."""
        return self.health or health_tuning(self.health_priority)

    def proof_tuning(self) -> proof.ProofTuning | None:
        """Return the limits that rest on proof, ``None`` if not in force."""
        return self.proof_limits if self.is_varied else None


def from_document(
    document: documents.Document, failure_domain: str
) -> ServicePolicy:
    """Return the policy that a service document declares.

    :param failure_domain: of this node.
    """
    return ServicePolicy(
        floor_slots=document.floor_slots,
        health_priority=document.health_priority,
        max_queued=document.limits.max_queued,
        retry_budget=_retry.BudgetLimits(
            ratio=document.limits.retry_budget_ratio
        ),
        failure_domain=failure_domain,
    )


_TABLE_ROUTING = RoutingTuning(
    choices=6,
    trial_ratio=0.06,
    hedge_factor=2.5,
    min_hedge_s=0.3,
    max_refusals=6,
    steered_word_s=4.0,
    far_penalty=0.5,
    near_fill_share=0.6,
)
_VARIED_ROUTING = msgspec.structs.replace(
    _TABLE_ROUTING,
    # Requests run for some tenths of a second up to seconds, so that a
    # report tells of the load for longer.
    load_decay_s=4.0,
    # Some 11 ms of latency both ways; the rest is the price of the bytes.
    far_ms=100.0,
)


def for_table(
    failure_domain: str,
    owner_retry_budget: _retry.BudgetLimits,
    *,
    is_varied: bool = False,
) -> ServicePolicy:
    """Return the policy of a service in the route table without a document.

    The owners enforce the retry budget, because all requests to an upstream
    pass through its owner; each ingress sees too few requests of a service
    to share the budget well.

    :param failure_domain: of this node.
    :param owner_retry_budget: an owner's part of the fleet's budget.
    :param is_varied: whether requests of the table cost very different
        amounts of work, as some have large bodies.
    """
    return ServicePolicy(
        health_priority=documents.HealthPriority.GRAY,
        retry_budget=_retry.UNLIMITED,
        owner_retry_budget=owner_retry_budget,
        failure_domain=failure_domain,
        routing=_VARIED_ROUTING if is_varied else _TABLE_ROUTING,
        is_varied=is_varied,
    )
