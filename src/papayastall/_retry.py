"""Budget of retries and hedges, and the retry delays given to callers."""

from __future__ import annotations

import dataclasses
import math
import random

__all__ = [
    "BudgetLimits",
    "RetryBudget",
    "UNLIMITED",
    "jittered_retry_after_s",
    "share_budget",
]

MIN_RETRY_AFTER_S = 2.0
MAX_RETRY_AFTER_S = 30.0
_MIN_BURST = 1.0
"""A bucket that holds less than one token never allows an extra attempt."""
_BURST_SHARE = 0.6
"""Share of a node's slack that it may spend at once: enough for the two or
three extra attempts of one node when an upstream begins to hang."""


def jittered_retry_after_s(backlog_s: float, rng: random.Random) -> float:
    """Return a retry delay in seconds, with jitter.

    The jitter keeps callers from retrying all at the same time.

    :param backlog_s: time that the work already accepted takes, in seconds.
    """
    base_s = max(MIN_RETRY_AFTER_S, backlog_s)
    delay_s = base_s * rng.uniform(0.5, 1.5)
    return min(MAX_RETRY_AFTER_S, delay_s)


@dataclasses.dataclass(slots=True, frozen=True)
class BudgetLimits:
    """Token bucket limits of one node's extra attempts for one service.

    An extra attempt is a retry or hedge that the node sends or accepts; it
    costs one token.

    :param ratio: tokens added per first attempt.
    :param burst: most tokens that the bucket holds.
    :param initial: tokens of a node that has just started.
    :param refill_per_s: tokens added each second, even without requests.
    """

    ratio: float = 0.1
    burst: float = 10.0
    refill_per_s: float = 0.2
    initial: float = math.inf


UNLIMITED = BudgetLimits(ratio=0.0, burst=math.inf)
"""Limits of an ingress where the owners enforce the budget."""


def share_budget(
    ratio: float, fleet_slack: float, window_s: float, node_count: int
) -> BudgetLimits:
    """Return one node's part of a budget that the whole fleet shares.

    The node can spend some of its slack in a burst; the rest is refilled
    evenly, so that in any window the fleet spends the slack at most.

    :param ratio: extra attempts per first attempt.
    :param fleet_slack: extra attempts in any window, beyond the ratio.
    :param window_s: length of the windows, in seconds.
    :param node_count: number of nodes that share the budget.
    """
    node_slack = fleet_slack / max(1, node_count)
    burst = max(_MIN_BURST, _BURST_SHARE * node_slack)
    spread = max(0.0, node_slack - burst)
    # A starting node does not know yet how many nodes share the budget, and
    # a node that restarts repeatedly must not get its part each time.
    return BudgetLimits(
        ratio, burst, refill_per_s=spread / window_s, initial=_MIN_BURST
    )


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits extra attempts relative to first attempts."""

    limits: BudgetLimits = BudgetLimits()
    tokens: float = dataclasses.field(init=False)
    updated_s: float | None = None

    def __post_init__(self) -> None:
        self.tokens = min(self.limits.initial, self.limits.burst)

    def change_limits(self, limits: BudgetLimits) -> None:
        """Replace the limits; keep the tokens left, up to the new burst.

        An infinite burst fills the bucket.
        """
        self.limits = limits
        if math.isinf(limits.burst):
            self.tokens = limits.burst
        self.tokens = min(limits.burst, self.tokens)

    def deposit(self, now_s: float) -> None:
        """Add the tokens that one first attempt earns."""
        self._refill(now_s)
        self.tokens += self.limits.ratio
        self.tokens = min(self.limits.burst, self.tokens)

    def left(self, now_s: float) -> float:
        """Return the tokens that the bucket holds."""
        self._refill(now_s)
        return self.tokens

    def take(self, now_s: float) -> bool:
        """Take a token for one extra attempt; return whether there was one."""
        self._refill(now_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _refill(self, now_s: float) -> None:
        # The time before the first use adds no tokens.
        since_s = now_s if self.updated_s is None else self.updated_s
        elapsed_s = max(0.0, now_s - since_s)
        self.updated_s = now_s
        added = elapsed_s * self.limits.refill_per_s
        self.tokens = min(self.limits.burst, self.tokens + added)
