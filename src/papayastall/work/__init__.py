"""Expected cost of requests, and decisions that depend on it."""

from __future__ import annotations

from papayastall.work._costs import choose_owner
from papayastall.work._costs import owner_costs
from papayastall.work._costs import OwnerCost
from papayastall.work._estimator import WorkEstimator
from papayastall.work._queue import CostQueue
from papayastall.work._ratios import make_ratios
from papayastall.work._run_times import RunTimes

__all__ = [
    "CostQueue",
    "OwnerCost",
    "RunTimes",
    "WorkEstimator",
    "choose_owner",
    "make_ratios",
    "owner_costs",
]
