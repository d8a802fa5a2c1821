"""Whether an unanswered request is more likely stuck than long."""

from __future__ import annotations

import math

from papayastall import _gray_filter
from papayastall.proof import _tuning

__all__ = ["is_likely_stuck"]

_SQRT2 = math.sqrt(2.0)


def is_likely_stuck(
    age_s: float,
    median_s: float,
    left_s: float,
    gray_share: float,
    model: _gray_filter.GrayModel,
    tuning: _tuning.ProofTuning,
) -> bool:
    """Return whether a lookup should get a second attempt now.

    The longer a request has run, the fewer healthy runs are that long; a
    doubtful owner needs less of that evidence than a proved one.

    :param age_s: time since it was sent.
    :param median_s: median time of its route.
    :param left_s: time until its deadline.
    :param gray_share: probability that its upstream leaves requests
        unanswered.
    """
    ratio = age_s / max(median_s, 0.001)
    if ratio < tuning.min_stuck_ratio:
        return False
    if left_s < tuning.second_run_ratio * median_s:
        return True
    if ratio >= tuning.max_stuck_ratio:
        return True
    stuck = gray_share * model.hang_share
    z = math.log(ratio) / model.log_std
    tail = 0.5 * math.erfc(z / _SQRT2)
    long = tuning.long_share + (1.0 - tuning.long_share) * tail
    return stuck >= (1.0 - stuck) * long
