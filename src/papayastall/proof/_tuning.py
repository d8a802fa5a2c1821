"""Limits of the decisions that rest on proof."""

from __future__ import annotations

import msgspec

__all__ = ["ProofTuning"]


class ProofTuning(msgspec.Struct, frozen=True):
    """Limits of the decisions that rest on proof.

    Probabilities are that an upstream leaves requests unanswered; ratios are
    multiples of the median time of the request's route.

    :param checks_budget: whether second attempts go to owners that report
        retries left.
    """

    checks_budget: bool = True
