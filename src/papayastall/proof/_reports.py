"""What an ingress knows of an owner's upstreams from its last report."""

from __future__ import annotations

import math

import msgspec

from papayastall import _gray_filter
from papayastall import _retry

__all__ = ["OwnerReport"]

_MAX_LOG_ODDS = 20.0
"""Larger values of a faulty owner would overflow an exponential."""


class OwnerReport(msgspec.Struct):
    """Odds and retry budget that one owner reported.

    :param gray_odds: log-odds in nats that its best upstream leaves requests
        unanswered, at ``heard_s``; ``None`` if unknown.
    :param repeats_left: retries and hedges that it accepted at ``heard_s``,
        less those sent since; ``None`` if unknown.
    """

    gray_odds: float | None = None
    repeats_left: float | None = None
    heard_s: float = -math.inf

    def note(
        self, now_s: float, gray_odds: float | None, repeats_left: float | None
    ) -> None:
        """Record a report; one without a value leaves it unknown."""
        self.heard_s = now_s
        self.repeats_left = repeats_left
        self.gray_odds = None
        if gray_odds is not None and not math.isnan(gray_odds):
            limited = min(_MAX_LOG_ODDS, max(-_MAX_LOG_ODDS, gray_odds))
            self.gray_odds = limited

    def note_repeat(self) -> None:
        """Record that a retry or hedge is sent to the owner."""
        if self.repeats_left is not None:
            self.repeats_left -= 1.0

    def gray_share(self, now_s: float, model: _gray_filter.GrayModel) -> float:
        """Return the probability that its best upstream is gray now.

        It returns to the prior as the report ages, since gray periods begin
        and end within seconds.
        """
        if self.gray_odds is None:
            return model.prior
        reported = 1.0 / (1.0 + math.exp(-self.gray_odds))
        return model.age(reported, max(0.0, now_s - self.heard_s))

    def may_repeat(
        self, now_s: float, limits: _retry.BudgetLimits | None
    ) -> bool:
        """Return whether the owner likely accepts a retry or hedge.

        :param limits: of its budget, which refills with time.
        """
        if self.repeats_left is None or limits is None:
            return True
        refilled = limits.refill_per_s * (now_s - self.heard_s)
        return self.repeats_left + refilled >= 1.0
