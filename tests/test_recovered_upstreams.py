"""Tests that upstreams get requests again soon after they have recovered."""

from __future__ import annotations

import pytest

from tests import decision_fleet

UPSTREAMS = 12
INGRESSES = 40
STALLED = frozenset(range(4))
STALL_START_S = 4.0
STALL_END_S = 13.0
END_S = 19.0
MAX_GAP_S = 2.0
"""Longest time for which a sound upstream may get no request."""
MAX_RETURN_S = 4.0
"""Time from a recovery until at least ``FLOOR_SHARE`` of the upstreams that
recovered take requests of all kinds."""
FLOOR_SHARE = 0.7
SEEDS = (1, 2, 3)


def _run(
    requests_per_s: float, seed: int, until_s: float = END_S
) -> decision_fleet.DecisionFleet:
    stalls = [
        decision_fleet.Stall(upstream, STALL_START_S, STALL_END_S)
        for upstream in STALLED
    ]
    fleet = decision_fleet.DecisionFleet(
        UPSTREAMS, INGRESSES, requests_per_s, stalls, seed
    )
    fleet.run(until_s)
    return fleet


# Guards against a trial without an answer that holds back all further
# requests to its upstream, long after that has recovered.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "requests_per_s", [48.0, 240.0], ids=["calm", "overloaded"]
)
def test_upstreams_get_requests_within_seconds_of_their_recovery(
    requests_per_s: float, seed: int
) -> None:
    fleet = _run(requests_per_s, seed)
    start_s = STALL_END_S
    while start_s + MAX_GAP_S <= END_S:
        served = fleet.upstreams_served(start_s, start_s + MAX_GAP_S)
        assert served == set(range(UPSTREAMS)), f"at {start_s} s"
        start_s += 0.5


# Guards against requests that were left unanswered during a stall and count
# against their upstream until their deadline, long after it has recovered.
@pytest.mark.parametrize("seed", SEEDS)
def test_most_recovered_upstreams_take_all_work_within_seconds(
    seed: int,
) -> None:
    fleet = _run(240.0, seed, STALL_END_S + MAX_RETURN_S)
    trusted = [index for index in STALLED if fleet.takes_all_work(index)]
    assert len(trusted) >= FLOOR_SHARE * len(STALLED)
