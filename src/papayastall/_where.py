"""Where a request of a route would go now, and why."""

from __future__ import annotations

import math
import typing as t

import msgspec

from papayastall import _ingress_state as state
from papayastall import _route_resolution
from papayastall import _routing
from papayastall import _text_table
from papayastall import blackboard as blackboards
from papayastall import exceptions
from papayastall import work

__all__ = [
    "Candidate",
    "Target",
    "find_target",
    "format_answer",
    "list_candidates",
]


class Target(msgspec.Struct, frozen=True):
    """Route of a request and the services that share it.

    :param rank: urgency; 0 is the most urgent.
    :param shares: services and their shares of its requests, 0 to 1.
    """

    route: str
    rank: int
    shares: tuple[tuple[str, float], ...]


class Candidate(msgspec.Struct, frozen=True):
    """An owner of the service as this node sees it.

    :param avoided: why ordinary requests go elsewhere; "" if they don't.
    :param in_flight: expected number of requests there.
    :param report_age_s: age of the last load report; ``None`` without one.
    :param load: requests per slot, this one included.
    :param cost: terms of the expected time; ``None`` while run times are
        unknown or the service is routed by load.
    """

    owner: str
    failure_domain: str
    avoided: str
    slots: int
    in_flight: float
    report_age_s: float | None
    load: float
    cost: work.OwnerCost | None


def find_target(
    blackboard: blackboards.Blackboard,
    host: str,
    path: str,
    team: str | None = None,
) -> Target:
    """Return the route of a request, without a turn in its split.

    With service documents, the method that is assumed is GET.

    :param team: name of the team that sends it.
    :raises papayastall.exceptions.RefusedError: there is no route for it.
    :raises papayastall.exceptions.BadInputError: there is no such team.
    """
    routing = blackboard.routing
    if isinstance(routing, blackboards.DocumentRouting):
        found = _route_resolution.resolve(blackboard, "GET", host, path)
        return Target(found.route, found.rank, ((found.service, 1.0),))
    lookup = routing.lookup
    route = lookup.find(host, path) if lookup is not None else None
    if lookup is None or route is None:
        raise exceptions.RefusedError(
            exceptions.ErrorCode.UNKNOWN_ROUTE,
            f"no route for {host}{path} in the table of this node",
            step="where",
        )
    rank = route.rank
    if team is not None:
        known = lookup.teams.get(team)
        if known is None:
            raise exceptions.BadInputError(
                exceptions.ErrorCode.BAD_REQUEST,
                f"no team {team!r} in the table of this node",
                step="where",
            )
        rank = known.rank if known.rank is not None else rank
    scale = max(share.weight for share in route.shares)
    total = sum(share.weight / scale for share in route.shares)
    return Target(
        route.name,
        rank,
        tuple(
            (share.service, share.weight / scale / total)
            for share in route.shares
        ),
    )


def list_candidates(
    now_s: float, service: state.ServiceView, run_ms: float | None
) -> list[Candidate]:
    """Return the owners of a service, in the order of preference.

    A request goes to the first of a few that are drawn at random, see
    ``RoutingTuning.choices``.

    :param run_ms: expected run time of the request; ``None`` if unknown.
    """
    policy = service.policy
    views = list(service.owners.values())
    mean_ms = service.estimator.mean_ms(now_s)
    costs: list[work.OwnerCost | None] = [None] * len(views)
    if run_ms is not None and mean_ms is not None:
        costs = [
            *work.owner_costs(
                now_s,
                views,
                run_ms,
                mean_ms,
                policy.failure_domain,
                policy.routing,
            )
        ]
    found = [
        _make_candidate(now_s, view, cost, policy.routing.load_decay_s)
        for view, cost in zip(views, costs, strict=True)
    ]
    return sorted(
        found,
        key=lambda each: (
            bool(each.avoided),
            each.load if each.cost is None else each.cost.total_ms,
        ),
    )


def _make_candidate(
    now_s: float,
    view: _routing.OwnerView,
    cost: work.OwnerCost | None,
    decay_s: float,
) -> Candidate:
    in_flight = _routing.expected_in_flight(view, now_s, decay_s)
    weight = max(0.01, view.current_weight(now_s))
    age_s = now_s - view.load_s
    return Candidate(
        view.advert.owner,
        view.advert.failure_domain,
        _why_avoided(now_s, view),
        view.slots,
        round(in_flight, 2),
        round(age_s, 1) if math.isfinite(age_s) else None,
        round((in_flight + 1.0) / weight, 3),
        cost,
    )


def _why_avoided(now_s: float, view: _routing.OwnerView) -> str:
    if view.is_link_down:
        return "link down"
    if view.is_silent(now_s):
        return "silent"
    if view.is_steered(now_s):
        return "steered away"
    return "refused" if view.is_avoided(now_s) else ""


def format_answer(answer: dict[str, t.Any]) -> str:
    """Return the answer of a node as text."""
    parts = [
        f"route {answer['route']}, rank {answer['rank']}, "
        f"from {answer['node']} in {answer['failure_domain'] or '-'}"
    ]
    for service in answer["services"]:
        run_ms = service["expected_ms"]
        by = "by load" if run_ms is None else f"expected {run_ms:.0f} ms"
        parts.append(
            f"service {service['service']} "
            f"(share {service['share']:.0%}), {by}"
        )
        parts.append(
            _text_table.format_table(
                (
                    "owner",
                    "domain",
                    "total ms",
                    "wait",
                    "run",
                    "far",
                    "in flight",
                    "slots",
                    "load",
                    "report s",
                    "avoided",
                ),
                [_format_row(row) for row in service["candidates"]],
            )
        )
    return "\n".join(parts)


def _format_row(row: dict[str, t.Any]) -> tuple[str, ...]:
    cost = row["cost"]
    terms = ["-"] * 4
    if cost is not None:
        named = [cost[name] for name in ("wait_ms", "run_ms", "far_ms")]
        terms = [f"{value:.0f}" for value in (sum(named), *named)]
    age_s = row["report_age_s"]
    return (
        row["owner"],
        row["failure_domain"],
        *terms,
        f"{row['in_flight']:g}",
        str(row["slots"]),
        f"{row['load']:g}",
        "-" if age_s is None else f"{age_s:g}",
        row["avoided"] or "-",
    )
