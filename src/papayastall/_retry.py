"""The budget of retries and hedges, and when callers may come back."""

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
"""Less than one attempt could never be made."""
_SAVED_SHARE = 0.6
"""Of a shared slack: enough for the two or three attempts that one node
repeats at once when an upstream begins to hang."""


def jittered_retry_after_s(backlog_s: float, rng: random.Random) -> float:
    """Return when to come back, spread so that callers don't return at once.

    :param backlog_s: time that the work already accepted takes, in seconds.
    """
    base_s = max(MIN_RETRY_AFTER_S, backlog_s)
    delay_s = base_s * rng.uniform(0.5, 1.5)
    return min(MAX_RETRY_AFTER_S, delay_s)


@dataclasses.dataclass(slots=True, frozen=True)
class BudgetLimits:
    """How many extra attempts one node may make or take for one service.

    :param ratio: extra attempts per first attempt.
    :param burst: extra attempts that can be saved up.
    :param initial: extra attempts of a node that has just started.
    :param refill_per_s: extra attempts gained each second without requests.
    """

    ratio: float = 0.1
    burst: float = 10.0
    refill_per_s: float = 0.2
    initial: float = math.inf


UNLIMITED = BudgetLimits(ratio=0.0, burst=math.inf)
"""Of an ingress where owners keep the budget."""


def share_budget(
    ratio: float, fleet_slack: float, window_s: float, parts: int
) -> BudgetLimits:
    """Return one node's part of a budget that the whole fleet shares.

    Part of the slack can be saved up and spent at once; the rest comes back
    evenly, so that any window holds the whole slack at most.

    :param fleet_slack: extra attempts in any window, beyond the ratio.
    :param window_s: length of the windows, seconds.
    :param parts: nodes that share it.
    """
    part = fleet_slack / max(1, parts)
    burst = max(_MIN_BURST, _SAVED_SHARE * part)
    spread = max(0.0, part - burst)
    # A node that starts does not know yet how many share the budget, and
    # one that starts again and again must not get its part each time.
    return BudgetLimits(
        ratio, burst, refill_per_s=spread / window_s, initial=_MIN_BURST
    )


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Allows extra attempts as a share of the callers' own requests."""

    limits: BudgetLimits = BudgetLimits()
    tokens: float = dataclasses.field(init=False)
    updated_s: float | None = None

    def __post_init__(self) -> None:
        self.tokens = min(self.limits.initial, self.limits.burst)

    def change_limits(self, limits: BudgetLimits) -> None:
        """Go by other limits; what was saved up is kept within them."""
        self.limits = limits
        if math.isinf(limits.burst):
            self.tokens = limits.burst
        self.tokens = min(limits.burst, self.tokens)

    def deposit(self, now_s: float) -> None:
        """Count one request of a caller."""
        self._refill(now_s)
        self.tokens += self.limits.ratio
        self.tokens = min(self.limits.burst, self.tokens)

    def take(self, now_s: float) -> bool:
        """Take one extra attempt out of the budget, if there is one."""
        self._refill(now_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _refill(self, now_s: float) -> None:
        # Nothing is gained for the time before the first use.
        since_s = now_s if self.updated_s is None else self.updated_s
        elapsed_s = max(0.0, now_s - since_s)
        self.updated_s = now_s
        added = elapsed_s * self.limits.refill_per_s
        self.tokens = min(self.limits.burst, self.tokens + added)
