"""Tests of the choice among owners."""

from __future__ import annotations

import random

import pytest

from papayastall import _decision_types
from papayastall import _routing
from papayastall import _service_policy

NOW_S = 1000.0
SLOTS = 7


def make_view(owner: str, weight: float, age_s: float) -> _routing.OwnerView:
    """Return an owner whose last load report is ``age_s`` seconds old."""
    advert = _decision_types.OwnerAdvert(owner, "visits", "a", SLOTS)
    return _routing.OwnerView(advert, SLOTS, weight, load_s=NOW_S - age_s)


@pytest.mark.parametrize("weight", [0.0, 0.1, 0.7])
def test_an_owner_with_an_old_report_of_little_weight_is_chosen(
    weight: float,
) -> None:
    """An owner that gets no requests sends no reports.

    If its last weight counted for ever, it would never get one again.
    """
    busy = make_view("busy", SLOTS, 0.0)
    busy.in_flight = 1
    stale = make_view("stale", weight, 60.0)
    chosen = _routing.choose_owner(
        NOW_S,
        [busy, stale],
        "a",
        _service_policy.RoutingTuning(),
        random.Random(1),
    )
    assert chosen is stale


def test_an_owner_with_a_new_report_of_little_weight_is_not_chosen() -> None:
    busy = make_view("busy", SLOTS, 0.0)
    busy.in_flight = 1
    returning = make_view("returning", 0.7, 0.1)
    chosen = _routing.choose_owner(
        NOW_S,
        [busy, returning],
        "a",
        _service_policy.RoutingTuning(),
        random.Random(1),
    )
    assert chosen is busy
