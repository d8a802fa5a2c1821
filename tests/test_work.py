"""Expected cost of requests: estimates, order of the queue, choice."""

from __future__ import annotations

import math
import random

import msgspec.structs
import pytest

from papayastall import _admission
from papayastall import _decision_types as types
from papayastall import _retry
from papayastall import _routing
from papayastall import _service_policy
from papayastall import work
from tests import decision_helpers as helpers

NOW_S = 100.0
LOG_STD = 0.55
LIMITS = _retry.BudgetLimits(ratio=0.2, burst=5.0, refill_per_s=0.5)
VARIED = _service_policy.for_table("a", LIMITS, is_varied=True)


def log_normal_runs(half_life_s: float = 1e6) -> work.RunTimes:
    """Return many log-normal run times with a median of 1."""
    rng = random.Random(3)
    runs = work.RunTimes(half_life_s)
    for _ in range(20_000):
        runs.add(0.0, rng.lognormvariate(0.0, LOG_STD))
    return runs


def test_a_long_run_has_more_time_left_than_a_new_one() -> None:
    """Past its median, a log-normal run's remaining time rises again."""
    runs = log_normal_runs()
    assert runs.mean() == pytest.approx(math.exp(LOG_STD**2 / 2), rel=0.03)
    assert runs.quantile(0.5) == pytest.approx(1.0, rel=0.15)
    assert runs.mean_left(4.0) > runs.mean_left(1.0)


def test_a_run_beyond_all_samples_is_not_about_to_end() -> None:
    """A hanging run would otherwise make its owner look nearly free."""
    runs = work.RunTimes(30.0)
    runs.add(0.0, 1.0)
    assert runs.mean_left(500.0) == 500.0


def test_old_samples_lose_weight_over_days_without_overflow() -> None:
    runs = work.RunTimes(30.0)
    for _ in range(1000):
        runs.add(0.0, 1.0)
    for second in range(300):
        runs.add(float(second), 10.0)
    assert runs.mean() > 9.0
    runs.add(1e7, 0.1)
    assert runs.count(1e7) == pytest.approx(1.0)
    assert runs.mean() < 0.2


def test_the_estimator_learns_a_bounded_number_of_routes() -> None:
    """Routes of a table that changes often would otherwise pile up."""
    estimator = work.WorkEstimator()
    assert estimator.expected_ms(0.0, "route-1") is None
    for number in range(1000):
        for _ in range(4):
            estimator.note_run(0.0, f"route-{number}", 100.0 + number)
    first = estimator.expected_ms(0.0, "route-1")
    last = estimator.expected_ms(0.0, "route-999")
    assert first == pytest.approx(101.0, rel=0.2)
    assert last == estimator.mean_ms(0.0)


def queued(
    number: int, at_s: float, run_s: float, team: str = "", rank: int = 0
) -> _admission.QueuedRequest:
    """Return a queued request."""
    request = msgspec.structs.replace(
        helpers.owner_request(number, team=team), rank=rank
    )
    precedence = (rank, _admission.QueueClass.NORMAL)
    return _admission.QueuedRequest(request, at_s, precedence, run_s=run_s)


def pop_all(queue: work.CostQueue) -> list[int]:
    """Return the ids of all queued requests in their order."""
    ids: list[int] = []
    while (item := queue.pop()) is not None:
        ids.append(item.request.request_id)
    return ids


def test_short_requests_go_first_within_a_rank() -> None:
    queue = work.CostQueue()
    queue.push(queued(1, 0.0, 0.7, "a", rank=1))
    queue.push(queued(2, 0.1, 0.1, "b", rank=1))
    queue.push(queued(3, 0.2, 2.0, "c", rank=0))
    assert queue.total_work_s() == pytest.approx(2.8)
    assert pop_all(queue) == [3, 2, 1]


def test_a_long_request_is_not_overtaken_for_ever() -> None:
    """A stream of short requests would otherwise starve it."""
    queue = work.CostQueue()
    queue.push(queued(1, 0.0, 0.5, "long"))
    for number in range(2, 100):
        queue.push(queued(number, number * 0.1, 0.01, f"team-{number}"))
    assert pop_all(queue).index(1) <= 20


def test_a_team_with_many_short_requests_does_not_overtake_all() -> None:
    queue = work.CostQueue()
    for number in range(10):
        queue.push(queued(number, 0.0, 0.2, "hot"))
    queue.push(queued(10, 0.1, 0.4, "other"))
    assert pop_all(queue).index(10) <= 2


def test_requests_without_a_team_do_not_count_as_one_team() -> None:
    """All calls would otherwise wait in the order of their arrival."""
    queue = work.CostQueue()
    for number in range(5):
        queue.push(queued(number, 0.0, 0.7))
    queue.push(queued(5, 0.1, 0.1))
    assert pop_all(queue)[0] == 5


def test_a_popped_request_goes_back_before_all_of_its_rank() -> None:
    queue = work.CostQueue()
    for number in range(3):
        queue.push(queued(number, float(number), 0.1, f"team-{number}"))
    first = queue.pop()
    assert first is not None
    queue.push_front(first)
    second = queue.pop()
    assert second is not None
    queue.push_front(second)
    assert pop_all(queue) == [0, 1, 2]


def test_a_full_queue_displaces_the_least_urgent_request() -> None:
    queue = work.CostQueue()
    queue.push(queued(1, 0.0, 0.1, "a", rank=1))
    queue.push(queued(2, 0.0, 0.1, "a", rank=1))
    queue.push(queued(3, 0.0, 0.1, "a", rank=1))
    normal = _admission.QueueClass.NORMAL
    assert queue.displace_for("b", (2, normal)) is None
    assert queue.displace_for("a", (1, normal)) is None
    same = queue.displace_for("b", (1, normal))
    assert same is not None
    assert same.request.request_id == 3
    urgent = queue.displace_for("b", (0, normal))
    assert urgent is not None
    assert urgent.request.request_id == 2
    assert queue.remove(1) is not None
    assert queue.remove(1) is None
    assert len(queue) == 0


def make_view(
    owner: str,
    domain: str = "a",
    work_s: float | None = 0.0,
    in_flight: int = 0,
    slowness: float = 1.0,
    load_s: float = NOW_S,
) -> _routing.OwnerView:
    """Return an owner with four slots that has just reported its load."""
    advert = types.OwnerAdvert(owner, helpers.SERVICE, domain, 4)
    view = _routing.OwnerView(advert, 4, 4.0, slowness=slowness)
    view.note_load(
        load_s,
        types.OwnerLoad(
            owner, helpers.SERVICE, 4, 4.0, in_flight, 0, None, work_s=work_s
        ),
    )
    return view


def costs_ms(*views: _routing.OwnerView) -> list[float]:
    """Return the cost of a request of 300 ms at each owner."""
    found = work.owner_costs(NOW_S, views, 300.0, 300.0, "a", VARIED.routing)
    return [cost.total_ms for cost in found]


def choose(views: list[_routing.OwnerView], seed: int) -> str | None:
    """Return the owner chosen for a request of 300 ms."""
    view = work.choose_owner(
        NOW_S, views, 300.0, 300.0, "a", VARIED.routing, random.Random(seed)
    )
    return None if view is None else view.advert.owner


def test_less_work_and_a_faster_upstream_cost_less() -> None:
    busy = make_view("busy", work_s=4.0, in_flight=4)
    idle = make_view("idle")
    slow = make_view("slow", slowness=1.5)
    far = make_view("far", domain="b")
    costs = costs_ms(busy, idle, slow, far)
    assert costs[1] == 300.0
    assert costs[0] > costs[2] > costs[1]
    assert costs[3] == 300.0 + VARIED.routing.far_ms


def test_a_full_near_owner_costs_more_than_a_free_far_one() -> None:
    """A failure domain that is full must not keep its requests."""
    near, far = costs_ms(
        make_view("near", work_s=4.0, in_flight=6),
        make_view("far", domain="b"),
    )
    assert near > far


def test_own_requests_count_before_the_next_report() -> None:
    """Reports arrive with answers only; a burst would go to one owner."""
    view = make_view("owner", in_flight=4, work_s=1.0)
    before = costs_ms(view)[0]
    for number in range(4):
        view.in_flight += 1
        view.outstanding[number, 1] = _routing.OutstandingAttempt(
            NOW_S, 1.0, 300.0
        )
    assert costs_ms(view)[0] >= before + 250.0


def test_an_owner_of_an_earlier_release_counts_by_its_requests() -> None:
    """It reports no work, which must not look like none."""
    without = make_view("old", work_s=None, in_flight=6)
    idle = make_view("idle")
    costs = costs_ms(without, idle)
    assert costs[0] > costs[1]


def test_an_old_report_does_not_repel_requests_for_ever() -> None:
    old = make_view("old", work_s=9.0, in_flight=9, load_s=NOW_S - 60.0)
    assert costs_ms(old)[0] == pytest.approx(300.0, abs=1.0)


def test_ingresses_with_equal_reports_choose_different_owners() -> None:
    """The owner that looks best would get all requests of the fleet."""
    views = [
        make_view(f"owner-{index}", work_s=index / 100, in_flight=4)
        for index in range(30)
    ]
    chosen = {choose(views, seed) for seed in range(50)}
    assert len(chosen) >= 8
    assert choose([], 1) is None


def test_slow_owners_get_requests_while_all_are_idle() -> None:
    """Without any, nothing shows that their upstreams still answer."""
    views = [
        make_view(f"owner-{index}", slowness=0.6 + index / 10)
        for index in range(10)
    ]
    chosen = {choose(views, seed) for seed in range(200)}
    assert len(chosen) >= 9


def test_near_owners_come_first_while_they_have_room() -> None:
    """Bytes between failure domains cost, and latency adds to each call."""
    views = [make_view(f"far-{index}", domain="b") for index in range(20)]
    views += [
        make_view(f"near-{index}", in_flight=1, work_s=0.1)
        for index in range(3)
    ]
    chosen = [choose(views, seed) for seed in range(30)]
    assert all(name and name.startswith("near") for name in chosen)


def test_an_owner_reports_the_time_left_of_what_runs_and_waits() -> None:
    owner = helpers.owner(VARIED, slots=1)
    request = msgspec.structs.replace(
        helpers.owner_request(1, deadline_s=NOW_S + 8.0, reference_ms=500.0),
        expected_ms=500.0,
    )
    assert owner.load(NOW_S, helpers.SERVICE).work_s == 0.0
    owner.submit(NOW_S, request)
    started = owner.load(NOW_S, helpers.SERVICE).work_s
    owner.submit(NOW_S, msgspec.structs.replace(request, request_id=2))
    queued_s = owner.load(NOW_S, helpers.SERVICE).work_s
    late = owner.load(NOW_S + 7.5, helpers.SERVICE).work_s
    assert started == pytest.approx(0.5, rel=0.2)
    assert queued_s == pytest.approx(1.0, rel=0.2)
    assert late == pytest.approx(1.0, rel=0.2), "0.5 s until its deadline"


def test_a_run_that_is_being_answered_is_no_work() -> None:
    """The report is sent with the head of its answer."""
    owner = helpers.owner(VARIED, slots=1)
    owner.submit(NOW_S, helpers.owner_request(1))
    owner.first_byte(NOW_S + 0.05, 1)
    assert owner.load(NOW_S + 0.05, helpers.SERVICE).work_s == 0.0


def test_a_slow_upstream_reports_more_work() -> None:
    """Its owner learns the speed from the runs that it answered."""
    owner = helpers.owner(VARIED, slots=1)
    now_s = NOW_S
    for number in range(30):
        request = msgspec.structs.replace(
            helpers.owner_request(number, reference_ms=500.0),
            expected_ms=500.0,
        )
        owner.submit(now_s, request)
        owner.finished(now_s + 1.0, number, types.Outcome.ANSWERED)
        now_s += 1.0
    owner.submit(now_s, msgspec.structs.replace(request, request_id=99))
    load = owner.load(now_s, helpers.SERVICE)
    assert load.work_s == pytest.approx(1.0, rel=0.2)


def test_without_varied_costs_no_work_is_reported() -> None:
    """Deployments that don't enable it are served as before."""
    policy = _service_policy.for_table("a", LIMITS)
    owner = helpers.owner(policy, slots=1)
    owner.submit(NOW_S, helpers.owner_request(1))
    assert owner.load(NOW_S, helpers.SERVICE).work_s is None


def test_queued_requests_survive_a_change_of_the_order() -> None:
    """A table that declares large bodies switches it while requests wait."""
    owner = helpers.owner(_service_policy.for_table("a", LIMITS), slots=1)
    for number in range(3):
        owner.submit(NOW_S, helpers.owner_request(number))
    owner.configure(helpers.SERVICE, VARIED)
    assert owner.load(NOW_S, helpers.SERVICE).queued == 2
    actions = owner.finished(NOW_S + 0.1, 0, types.Outcome.ANSWERED)
    assert any(isinstance(action, types.Dispatch) for action in actions)
