"""Run times of one upstream relative to what ingresses expect."""

from __future__ import annotations

import math

from papayastall.work import _run_times

__all__ = ["make_ratios"]

_HALF_LIFE_S = 30.0
_PRIOR_LOG_STD = 0.6
_PRIOR_QUANTILES = (-1.645, -0.842, -0.253, 0.253, 0.842, 1.645)
_PRIOR_WEIGHT = 0.5
"""Of each of the six samples assumed at the start."""


def make_ratios(now_s: float) -> _run_times.RunTimes:
    """Return the ratios assumed of an upstream that has run nothing yet."""
    ratios = _run_times.RunTimes(_HALF_LIFE_S)
    mean = math.exp(_PRIOR_LOG_STD**2 / 2.0)
    for quantile in _PRIOR_QUANTILES:
        ratio = math.exp(_PRIOR_LOG_STD * quantile) / mean
        ratios.add(now_s, ratio, _PRIOR_WEIGHT)
    return ratios
