"""Tests of the belief in gray upstreams.

The pattern of load: every upstream runs a few requests a second, and a
third of them takes turns to leave three requests of four hanging while the
others are answered within the usual time.
"""

from __future__ import annotations

import math
import random

import pytest

from papayastall import _gray_filter
from papayastall import _service_policy
from papayastall import documents

GRAY = _service_policy.health_tuning(documents.HealthPriority.GRAY)
MODEL = _gray_filter.GrayModel()
MEDIAN_S = 0.7
STEP_S = 0.05


def play(
    belief: _gray_filter.GrayFilter,
    rng: random.Random,
    until_s: float,
    *,
    gray: bool,
    from_s: float = 0.0,
) -> float | None:
    """Offer four requests a second; return when it was first doubted."""
    ends: dict[int, float] = {}
    now_s = from_s
    doubted_s: float | None = None
    while now_s < until_s:
        now_s += STEP_S
        belief.decay(STEP_S)
        for number in [n for n, end_s in ends.items() if end_s <= now_s]:
            del ends[number]
            belief.end(now_s, number, answered=True)
        if rng.random() < 4 * STEP_S:
            number = rng.getrandbits(60)
            belief.start(now_s, number, "route", MEDIAN_S)
            hangs = gray and rng.random() < MODEL.gray_share
            time_s = MEDIAN_S * math.exp(rng.gauss(0.0, 0.5))
            ends[number] = math.inf if hangs else now_s + time_s
        if belief.score(now_s, 0.0) >= GRAY.doubt_score:
            doubted_s = doubted_s or now_s - from_s
    for number in ends:
        belief.drop(number)
    return doubted_s


@pytest.mark.parametrize("seed", range(20))
def test_a_gray_upstream_is_doubted_within_seconds(seed: int) -> None:
    rng = random.Random(seed)
    belief = _gray_filter.GrayFilter(MODEL)
    play(belief, rng, 5.0, gray=False)
    doubted_s = play(belief, rng, 14.0, gray=True, from_s=5.0)
    assert doubted_s is not None
    assert doubted_s < MODEL.gray_s / 2


def test_answers_clear_a_doubt_and_time_alone_weakens_it() -> None:
    belief = _gray_filter.GrayFilter(MODEL)
    belief.add_connect_failure()
    doubted = belief.score(0.0, 0.0)
    belief.decay(MODEL.gray_s)
    faded = belief.score(0.0, 0.0)
    assert GRAY.doubt_score < faded < doubted
    for number in range(3):
        belief.start(0.0, number, "route", MEDIAN_S)
        belief.end(MEDIAN_S, number, answered=True)
    assert belief.score(0.0, 0.0) < GRAY.doubt_score


def test_short_work_that_waits_accuses_nobody() -> None:
    belief = _gray_filter.GrayFilter(MODEL)
    for number in range(7):
        belief.start(0.0, number, "probe", 0.003)
    assert belief.score(0.1, 0.0) < GRAY.doubt_score


def test_evidence_of_age_grows_and_is_bounded() -> None:
    odds = [MODEL.age_odds(ratio) for ratio in (0.0, 0.5, 1.0, 2.0, 4.0, 99.0)]
    assert odds == sorted(odds)
    assert odds[0] == 0.0
    assert odds[-1] <= math.log(1.0 / MODEL.slow_share)
