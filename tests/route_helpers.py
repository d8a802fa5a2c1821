"""Routes and route tables for tests."""

from __future__ import annotations

import typing as t

import msgspec.structs

from papayastall import _decision_types
from papayastall import route_table

__all__ = ["SERVICES", "make_route", "make_table"]

SERVICES = tuple(
    route_table.ServiceEntry(name, "/healthz", 360) for name in ("one", "two")
)


def make_route(_name: str = "r", **changes: t.Any) -> route_table.Route:
    """Return a valid route with some fields changed.

    :param _name: of the route; underscored, as ``changes`` may hold ``name``.
    """
    route = route_table.Route(
        name=_name,
        host="a.example",
        path_prefix=f"/{_name}/",
        kind=_decision_types.RequestKind.LOOKUP,
        timeout_ms=1000,
        objective_ms=500,
        max_attempts=2,
        rank=1,
        shares=(route_table.ServiceShare("one", 1),),
        source="{}",
    )
    return msgspec.structs.replace(route, **changes)


def make_table(
    version: int, *routes: route_table.Route
) -> route_table.RouteTable:
    """Return a table of these routes."""
    return route_table.RouteTable(version, routes, SERVICES)
