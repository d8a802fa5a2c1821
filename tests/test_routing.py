"""Tests of the choice among owners."""

from __future__ import annotations

import random

import msgspec.structs
import pytest

from papayastall import _decision_types
from papayastall import _retry
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


TABLE_TUNING = _service_policy.for_table("a", _retry.BudgetLimits()).routing


def make_views(
    near: int, far: int, near_load: int = 0
) -> list[_routing.OwnerView]:
    """Return idle owners of domain "b" and ones of "a" with some load.

    :param near_load: requests of this ingress at each owner of "a".
    """
    views: list[_routing.OwnerView] = []
    for number in range(near + far):
        view = make_view(f"owner {number}", SLOTS, 0.0)
        if number >= near:
            view.advert = msgspec.structs.replace(
                view.advert, failure_domain="b"
            )
        else:
            view.in_flight = near_load
        views.append(view)
    return views


# Guards against requests and answers that cross failure domains although
# owners in the caller's domain have room: with many owners a random choice of
# a few seldom includes one of these.
@pytest.mark.parametrize("near_load", [0, 1, 3])
def test_callers_of_a_domain_with_room_in_it(near_load: int) -> None:
    """All requests stay in the domain, spread evenly over its owners."""
    views = make_views(near=8, far=26, near_load=near_load)
    rng = random.Random(1)
    for _ in range(8):
        chosen = _routing.choose_owner(NOW_S, views, "a", TABLE_TUNING, rng)
        assert chosen is not None
        assert chosen.advert.failure_domain == "a"
        chosen.in_flight += 1
    loads = [view.in_flight - near_load for view in views[:8]]
    assert max(loads) <= 2


# Guards against requests that queue at busy owners of the caller's domain
# while owners of other domains have room.
@pytest.mark.parametrize("near", [0, 1, 8])
def test_callers_of_a_domain_without_room_in_it(near: int) -> None:
    """Requests go to owners of other domains, before theirs are full."""
    views = make_views(near=near, far=26, near_load=SLOTS - 1)
    chosen = _routing.choose_owner(
        NOW_S, views, "a", TABLE_TUNING, random.Random(1)
    )
    assert chosen is not None
    assert chosen.advert.failure_domain == "b"


# Guards against upstreams of domains without callers that get no requests
# while those of the callers' domain are overloaded.
def test_all_callers_in_one_domain_use_most_upstreams_of_the_others() -> None:
    """Under load the share of upstreams that get requests stays over 0.7."""
    views = make_views(near=8, far=16)
    rng = random.Random(1)
    for _ in range(110):
        chosen = _routing.choose_owner(NOW_S, views, "a", TABLE_TUNING, rng)
        assert chosen is not None
        chosen.in_flight += 1
    used = sum(view.in_flight > 0 for view in views)
    assert used >= 0.7 * len(views)
