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
SEEDS = (1, 2, 3)


def _run(requests_per_s: float, seed: int) -> decision_fleet.DecisionFleet:
    stalls = [
        decision_fleet.Stall(upstream, STALL_START_S, STALL_END_S)
        for upstream in STALLED
    ]
    fleet = decision_fleet.DecisionFleet(
        UPSTREAMS, INGRESSES, requests_per_s, stalls, seed
    )
    fleet.run(END_S)
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
