"""Expected time of a request at each owner that may get it."""

from __future__ import annotations

import collections.abc as cabc
import math
import random

import msgspec

from papayastall import _routing
from papayastall import _service_policy

__all__ = ["OwnerCost", "choose_owner", "owner_costs"]

_MIN_WEIGHT_PER_SLOT = 0.01
_FIRST_CHOICES = 2
_SMALL_WAIT_SHARE = 0.1
"""A wait of up to this share of the run time is no reason to draw again."""
_FULL_EXPONENT = 2
"""The chance that no slot is free is taken as this power of the share of slots
in use: work at an owner with free slots delays a new request little."""


class OwnerCost(msgspec.Struct, frozen=True):
    """Terms of the expected time of a request at one owner, in milliseconds.

    :param wait_ms: until a slot is free.
    :param run_ms: at the speed of its upstreams.
    :param far_ms: for another failure domain.
    """

    wait_ms: float
    run_ms: float
    far_ms: float

    @property
    def total_ms(self) -> float:
        """Sum of all terms."""
        return self.wait_ms + self.run_ms + self.far_ms


def owner_costs(
    now_s: float,
    views: cabc.Sequence[_routing.OwnerView],
    expected_ms: float,
    mean_ms: float,
    failure_domain: str,
    tuning: _service_policy.RoutingTuning,
) -> list[OwnerCost]:
    """Return the expected time of a request at each of these owners.

    :param expected_ms: run time of the request at an average upstream.
    :param mean_ms: mean run time of all requests of the service.
    :param failure_domain: of this node.
    """
    return [
        _cost(now_s, view, expected_ms, mean_ms, failure_domain, tuning)
        for view in views
    ]


def choose_owner(
    now_s: float,
    views: cabc.Sequence[_routing.OwnerView],
    expected_ms: float,
    mean_ms: float,
    failure_domain: str,
    tuning: _service_policy.RoutingTuning,
    rng: random.Random,
) -> _routing.OwnerView | None:
    """Draw a few owners here and elsewhere; return the one of least cost.

    A draw keeps ingresses that hold equally old reports from choosing the
    same owner. Owners of this failure domain and others are drawn apart, so
    that some near ones are always compared.

    For the other parameters see :func:`owner_costs`.
    """
    near = [
        view for view in views if view.advert.failure_domain == failure_domain
    ]
    far = [
        view for view in views if view.advert.failure_domain != failure_domain
    ]
    # With few draws, slow owners get requests too, and so recent proof that
    # they answer; more draws only pay where requests have to wait.
    for choices in (min(_FIRST_CHOICES, tuning.choices), tuning.choices):
        drawn = rng.sample(near, min(choices, len(near)))
        drawn += rng.sample(far, min(choices, len(far)))
        if not drawn:
            return None
        costs = owner_costs(
            now_s, drawn, expected_ms, mean_ms, failure_domain, tuning
        )
        best = min(range(len(drawn)), key=lambda index: costs[index].total_ms)
        if costs[best].wait_ms <= _SMALL_WAIT_SHARE * expected_ms:
            break
    return drawn[best]


def _cost(
    now_s: float,
    view: _routing.OwnerView,
    expected_ms: float,
    mean_ms: float,
    failure_domain: str,
    tuning: _service_policy.RoutingTuning,
) -> OwnerCost:
    fresh = math.exp(-(now_s - view.load_s) / tuning.load_decay_s)
    in_flight = view.in_flight + view.others_in_flight * fresh
    mean_here_ms = mean_ms * view.slowness
    count_ms = in_flight * mean_here_ms
    work_ms = count_ms
    if view.work_s is not None:
        sent_ms = view.slowness * sum(
            attempt.expected_ms or mean_ms
            for attempt in view.outstanding.values()
            if attempt.sent_s >= view.load_s
        )
        reported_ms = view.work_s * 1000.0 + sent_ms
        work_ms = fresh * reported_ms + (1.0 - fresh) * count_ms
    slots = max(
        _MIN_WEIGHT_PER_SLOT * view.slots, view.current_weight(now_s), 0.01
    )
    full = min(1.0, in_flight / slots)
    wait_ms = work_ms / slots * full**_FULL_EXPONENT
    is_far = view.advert.failure_domain != failure_domain
    return OwnerCost(
        wait_ms, expected_ms * view.slowness, tuning.far_ms * is_far
    )
