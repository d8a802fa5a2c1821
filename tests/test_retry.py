"""Tests of the budget of extra attempts that a whole fleet shares."""

from __future__ import annotations

import pytest

from papayastall import _retry

RATIO, SLACK, WINDOW_S = 0.17, 51.0, 10.0


@pytest.mark.parametrize("ingresses", [1, 5, 21, 30])
def test_all_nodes_together_stay_in_the_budget_of_any_window(
    ingresses: int,
) -> None:
    """Each node tries an extra attempt with every request, for a minute."""
    limits = _retry.share_budget(RATIO, SLACK, WINDOW_S, ingresses)
    budgets = [_retry.RetryBudget(limits) for _ in range(ingresses)]
    times_s: list[float] = []
    step_s = 0.25
    for step in range(int(60 / step_s)):
        now_s = step * step_s
        for budget in budgets:
            budget.deposit(now_s)
            if budget.take(now_s):
                times_s.append(now_s)
    requests = ingresses * WINDOW_S / step_s
    allowed = 0.2 * requests + 60
    for start in range(50):
        taken = sum(start <= at_s < start + WINDOW_S for at_s in times_s)
        assert taken <= allowed


def test_each_restart_allows_at_most_one_extra_attempt() -> None:
    limits = _retry.share_budget(RATIO, SLACK, WINDOW_S, 1)
    taken = 0
    for _ in range(20):
        budget = _retry.RetryBudget(limits)
        while budget.take(0.0):
            taken += 1
    assert taken <= 20


def test_each_node_of_a_large_fleet_has_one_extra_attempt() -> None:
    limits = _retry.share_budget(RATIO, SLACK, WINDOW_S, 2000)
    assert _retry.RetryBudget(limits).take(0.0)


def test_a_node_that_starts_late_gains_nothing_for_the_time_before() -> None:
    """The clock counts from the start of the machine, not of the node."""
    limits = _retry.share_budget(RATIO, SLACK, WINDOW_S, 6)
    budget = _retry.RetryBudget(limits)
    assert budget.take(1e6)
    assert not budget.take(1e6)
    assert budget.take(1e6 + 2.0 / limits.refill_per_s)


@pytest.mark.parametrize("now_s", [0.0, 1e6])
def test_no_limit_holds_from_the_moment_that_it_is_set(now_s: float) -> None:
    """The tokens left under the former limits make no difference."""
    budget = _retry.RetryBudget(_retry.BudgetLimits(burst=1.0))
    assert budget.take(now_s)
    budget.change_limits(_retry.UNLIMITED)
    assert all(budget.take(now_s) for _ in range(1000))
    budget.change_limits(_retry.BudgetLimits(burst=2.0))
    assert budget.tokens == 2.0
