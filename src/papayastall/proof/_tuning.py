"""Limits of the decisions that rest on proof."""

from __future__ import annotations

import msgspec

__all__ = ["ProofTuning"]


class ProofTuning(msgspec.Struct, frozen=True):
    """Limits of the decisions that rest on proof.

    Probabilities are that an upstream leaves requests unanswered; ratios are
    multiples of the median time of the request's route.

    :param prefers_likely: whether bookings, short lookups and second
        attempts go to owners with low estimates first.
    :param spreads_lookups: whether other lookups go to owners without recent
        proof first.
    :param checks_budget: whether second attempts go to owners that report
        retries left.
    :param hedges_by_odds: whether the time of a hedge follows from the
        estimate of its owner.
    :param short_s: median time up to which a lookup counts as short.
    :param low_gray_share: estimates up to this one count as equally low.
    :param share_margin: factor on the lowest estimate up to which others
        count as equally low.
    :param min_hedge_s: earliest time of a hedge.
    :param min_stuck_ratio: earliest time of a hedge, as a ratio.
    :param max_stuck_ratio: latest time of a hedge, as a ratio.
    :param second_run_ratio: time to leave for the second attempt, as a
        ratio. It may have to be moved to another owner first.
    :param long_share: share of healthy run times that are far longer than
        their distribution allows.
    """

    prefers_likely: bool = True
    spreads_lookups: bool = True
    checks_budget: bool = True
    hedges_by_odds: bool = True
    short_s: float = 0.25
    low_gray_share: float = 0.06
    share_margin: float = 1.3
    min_hedge_s: float = 0.15
    min_stuck_ratio: float = 1.5
    max_stuck_ratio: float = 4.0
    second_run_ratio: float = 5.0
    long_share: float = 0.02
