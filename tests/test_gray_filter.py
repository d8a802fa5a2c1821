"""Tests of the gray filter.

The load pattern: every upstream serves a few requests per second. In turn, a
third of the upstreams leave three requests out of four unanswered and answer
the rest within the usual time.
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


def run_load(
    gray_filter: _gray_filter.GrayFilter,
    rng: random.Random,
    until_s: float,
    *,
    gray: bool,
    from_s: float = 0.0,
) -> float | None:
    """Send four requests per second from ``from_s`` to ``until_s``.

    :returns: seconds until the score first reached the doubt threshold.
    """
    ends: dict[int, float] = {}
    now_s = from_s
    doubted_s: float | None = None
    while now_s < until_s:
        now_s += STEP_S
        gray_filter.decay(STEP_S)
        for number in [n for n, end_s in ends.items() if end_s <= now_s]:
            del ends[number]
            gray_filter.end(now_s, number, answered=True)
        if rng.random() < 4 * STEP_S:
            number = rng.getrandbits(60)
            gray_filter.start(now_s, number, "route", MEDIAN_S)
            is_unanswered = gray and rng.random() < MODEL.hang_share
            time_s = MEDIAN_S * math.exp(rng.gauss(0.0, 0.5))
            ends[number] = math.inf if is_unanswered else now_s + time_s
        if gray_filter.score(now_s, 0.0) >= GRAY.doubt_score:
            doubted_s = doubted_s or now_s - from_s
    for number in ends:
        gray_filter.drop(number)
    return doubted_s


@pytest.mark.parametrize("seed", range(20))
def test_a_gray_upstream_is_doubted_within_seconds(seed: int) -> None:
    rng = random.Random(seed)
    gray_filter = _gray_filter.GrayFilter(MODEL)
    run_load(gray_filter, rng, 5.0, gray=False)
    doubted_s = run_load(gray_filter, rng, 14.0, gray=True, from_s=5.0)
    assert doubted_s is not None
    assert doubted_s < MODEL.mean_gray_s / 2


def test_answers_clear_doubt_and_time_alone_reduces_it() -> None:
    gray_filter = _gray_filter.GrayFilter(MODEL)
    gray_filter.add_connect_failure()
    doubted = gray_filter.score(0.0, 0.0)
    gray_filter.decay(MODEL.mean_gray_s)
    faded = gray_filter.score(0.0, 0.0)
    assert GRAY.doubt_score < faded < doubted
    for number in range(3):
        gray_filter.start(0.0, number, "route", MEDIAN_S)
        gray_filter.end(MEDIAN_S, number, answered=True)
    assert gray_filter.score(0.0, 0.0) < GRAY.doubt_score


def test_short_requests_that_wait_briefly_raise_no_doubt() -> None:
    gray_filter = _gray_filter.GrayFilter(MODEL)
    for number in range(7):
        gray_filter.start(0.0, number, "probe", 0.003)
    assert gray_filter.score(0.1, 0.0) < GRAY.doubt_score


def test_evidence_of_age_grows_and_is_bounded() -> None:
    log_ratios = [
        MODEL.age_log_ratio(ratio) for ratio in (0.0, 0.5, 1.0, 2.0, 4.0, 99.0)
    ]
    assert log_ratios == sorted(log_ratios)
    assert log_ratios[0] == 0.0
    assert log_ratios[-1] <= math.log(1.0 / MODEL.slow_share)
