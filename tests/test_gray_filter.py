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


def _hang(gray_filter: _gray_filter.GrayFilter, count: int) -> None:
    """Send requests at 0 s that are never answered."""
    for number in range(100, 100 + count):
        gray_filter.start(0.0, number, "route", MEDIAN_S)


# Guards against requests left unanswered in a gray period that count until
# they end, many seconds after the upstream has recovered.
@pytest.mark.parametrize("hung_requests", [1, 4, 15])
def test_later_answers_outweigh_requests_that_still_hang(
    hung_requests: int,
) -> None:
    gray_filter = _gray_filter.GrayFilter(MODEL)
    _hang(gray_filter, hung_requests)
    assert gray_filter.score(5.0, 0.0) >= GRAY.doubt_score
    for number in range(5):
        gray_filter.start(5.0 + number, number, "route", MEDIAN_S)
        gray_filter.end(5.5 + number, number, answered=True)
    assert gray_filter.score(9.5, 0.0) < GRAY.doubt_score
    for number in range(100, 100 + hung_requests):
        gray_filter.end(10.0, number, answered=False)
    assert gray_filter.score(10.0, 0.0) < GRAY.doubt_score


# Guards against a stall of which few requests are answered and that raises
# no doubt, as each answer outweighs all that hang.
@pytest.mark.parametrize("seed", range(20))
def test_a_gray_upstream_with_few_answers_stays_in_doubt(seed: int) -> None:
    rng = random.Random(seed)
    gray_filter = _gray_filter.GrayFilter(MODEL)
    _hang(gray_filter, 4)
    scores: list[float] = []
    for number in range(40):
        now_s = 5.0 + number * 0.3
        gray_filter.decay(0.3)
        gray_filter.start(now_s, number, "route", MEDIAN_S)
        if rng.random() >= MODEL.hang_share:
            gray_filter.end(now_s + 0.25, number, answered=True)
        scores.append(gray_filter.score(now_s + 0.25, 0.0))
    doubted = sum(score >= GRAY.doubt_score for score in scores)
    assert doubted >= 0.9 * len(scores)


# Guards against a request that counts against its upstream although it was
# answered in the end, or was refused by the upstream.
@pytest.mark.parametrize(("is_answered", "answers"), [(True, 2), (False, 1)])
def test_the_wait_of_a_request_that_did_not_hang_is_taken_back(
    is_answered: bool, answers: int
) -> None:
    gray_filter = _gray_filter.GrayFilter(MODEL)
    before = gray_filter.score(0.0, 0.0)
    gray_filter.start(0.0, 1, "route", MEDIAN_S)
    gray_filter.start(1.0, 2, "route", MEDIAN_S)
    gray_filter.end(3.0, 2, answered=True)
    if is_answered:
        gray_filter.end(3.5, 1, answered=True)
    else:
        gray_filter.drop(1)
    expected = before - answers * MODEL.answer_log_ratio
    assert gray_filter.score(3.5, 0.0) == pytest.approx(expected)
