"""Answers of ``papayastall where``."""

from __future__ import annotations

import pathlib

import msgspec
import orjson
import pytest

from papayastall import _decision_types as types
from papayastall import _ingress_controller
from papayastall import _retry
from papayastall import _route_lookup
from papayastall import _service_policy
from papayastall import _where
from papayastall import blackboard as blackboards
from papayastall import exceptions
from papayastall import route_table
from tests import decision_helpers as helpers
from tests import fleet as fleets

NOW_S = 50.0
LIMITS = _retry.BudgetLimits(ratio=0.2, burst=5.0, refill_per_s=0.5)
VARIED = _service_policy.for_table("domain-1", LIMITS, is_varied=True)
TABLE = route_table.RouteTable(
    routes=(
        route_table.Route(
            name="visits",
            host="visits.example",
            path_prefix="/",
            kind=types.RequestKind.LOOKUP,
            timeout_ms=1000,
            objective_ms=500,
            max_attempts=2,
            rank=3,
            shares=(
                route_table.ServiceShare("one", 3),
                route_table.ServiceShare("two", 1),
            ),
        ),
    ),
    teams=(route_table.Team("desk", ("secret",), rank=0),),
)


def answer_request(
    ingress: _ingress_controller.IngressController,
    number: int,
    latency_ms: float,
) -> None:
    """Let an ingress send a lookup that is answered."""
    request = helpers.ingress_request(number)
    [sent] = ingress.begin(NOW_S, request)
    assert isinstance(sent, types.ForwardAttempt)
    load = types.OwnerLoad(
        sent.owner, helpers.SERVICE, 3, 3.0, 0, 0, latency_ms, work_s=0.0
    )
    outcome = types.AttemptOutcome(
        number,
        sent.attempt,
        types.AttemptResult.ANSWERED,
        200,
        None,
        None,
        load,
        run_ms=latency_ms,
    )
    ingress.attempt_ended(NOW_S, outcome)


def test_candidates_are_listed_with_each_term() -> None:
    ingress = helpers.ingress(owners=3, policy=VARIED)
    for number in range(10):
        answer_request(ingress, number, 200.0)
    ingress.link_failed(NOW_S, "10.0.0.1:7000")
    route = helpers.LOOKUP.value
    run_ms, found = ingress.list_candidates(NOW_S, helpers.SERVICE, route)
    assert run_ms == pytest.approx(200.0, rel=0.2)
    assert found[-1].owner == "10.0.0.1:7000"
    assert found[-1].avoided == "link down"
    assert found[0].avoided == ""
    assert found[0].cost is not None
    assert found[0].cost.run_ms == pytest.approx(run_ms, rel=0.1)
    answer = {
        "node": "10.0.0.9:7000",
        "failure_domain": "domain-1",
        "route": route,
        "rank": 1,
        "services": [
            {
                "service": helpers.SERVICE,
                "share": 1.0,
                "expected_ms": run_ms,
                "candidates": msgspec.to_builtins(found),
            }
        ],
    }
    assert "link down" in _where.format_answer(answer)


def test_a_service_that_is_routed_by_load_has_no_costs() -> None:
    policy = _service_policy.for_table("domain-1", LIMITS)
    ingress = helpers.ingress(owners=2, policy=policy)
    answer_request(ingress, 1, 200.0)
    run_ms, found = ingress.list_candidates(NOW_S, helpers.SERVICE, "lookup")
    assert run_ms is None
    assert all(each.cost is None for each in found)
    assert found[0].load <= found[1].load


def test_asking_takes_no_turn_in_a_split() -> None:
    """A question must not change where the next request goes."""
    lookup = _route_lookup.RouteLookup(TABLE)
    blackboard = blackboards.Blackboard(
        "10.0.0.9:7000", "a", routing=blackboards.TableRouting(lookup)
    )
    for _ in range(3):
        found = _where.find_target(blackboard, "visits.example", "/7", "desk")
        assert found.rank == 0
        assert found.shares == (("one", 0.75), ("two", 0.25))
    chosen = [lookup.choose_service(TABLE.routes[0]) for _ in range(4)]
    assert chosen.count("two") == 1
    assert _where.find_target(blackboard, "visits.example", "/").rank == 3
    with pytest.raises(exceptions.BadInputError):
        _where.find_target(blackboard, "visits.example", "/", "none")
    with pytest.raises(exceptions.RefusedError):
        _where.find_target(blackboard, "other.example", "/")


@pytest.mark.anyio
async def test_a_node_answers_without_sending_a_request(
    tmp_path: pathlib.Path,
) -> None:
    async with fleets.Fleet(tmp_path, [[1, 2]], with_relays=False) as fleet:
        before = fleet.runs()
        base = f"http://{fleet.nodes[0].control}/v1/where"
        url = f"{base}?host=x&path=/visits/status"
        status, content = await fleets.request("GET", url, b"")
        assert status == 200, content
        answer = orjson.loads(content)
        assert answer["route"] == "status"
        [service] = answer["services"]
        [candidate] = service["candidates"]
        assert candidate["owner"] in [node.link for node in fleet.nodes]
        assert candidate["cost"] is None
        status, _ = await fleets.request("GET", base, b"")
        assert status == 400
        assert fleet.runs() == before
