"""Resolution of a request to its service, its route and their limits."""

from __future__ import annotations

import msgspec

from papayastall import _decision_types
from papayastall import _route_lookup
from papayastall import blackboard as blackboards
from papayastall import documents
from papayastall import exceptions
from papayastall import route_table

__all__ = [
    "DEFAULT_MAX_ATTEMPTS",
    "MAX_FRAME_INTEGER",
    "UNCERTAIN_CODES",
    "NOT_READY_RETRY_AFTER_S",
    "ResolvedRoute",
    "resolve",
]

UNKNOWN_ROUTE = "unknown"
DEFAULT_MAX_ATTEMPTS = 1_000
"""For a route whose operators set no limit; in effect unlimited."""
NOT_READY_RETRY_AFTER_S = 0.5
"""A node learns the configuration within a second of its start."""
MAX_FRAME_INTEGER = 2**31 - 1
"""Frames carry ranks and times in 32 bits. Larger ones of a configuration,
which has no upper limit, count as this: the least urgent rank, 24 days."""

_Kind = _decision_types.RequestKind
_Code = exceptions.ErrorCode

UNCERTAIN_CODES = frozenset(
    (_Code.UNKNOWN_ROUTE, _Code.UNKNOWN_SERVICE, _Code.UNKNOWN_KEY)
)
"""Codes of requests for which the configuration of this node has no route,
service or key, while a later one may have it."""


class ResolvedRoute(msgspec.Struct, frozen=True):
    """The service and route of a request and the limits in force for it.

    :param rank: urgency; 0 is the most urgent.
    :param objective_ms: time within which an answer counts in full.
    :param team_header: name, in lower case, of the header that names the
        caller's team; empty for none.
    :param team: the team whose key the caller showed; "" without a key.
    :param hides_keys: whether the caller's headers with a key or the name of
        a team are kept from the upstream.
    :param payload: which bodies may be large.
    """

    service: str
    route: str
    kind: _Kind
    timeout_ms: int
    max_body_bytes: int
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    rank: int = 0
    objective_ms: int | None = None
    team_header: bytes = b""
    key_use: documents.IdempotencyKeyUse = documents.IdempotencyKeyUse.IGNORED
    team: str = ""
    hides_keys: bool = False
    payload: route_table.Payload = route_table.Payload.ORDINARY


def resolve(
    blackboard: blackboards.Blackboard,
    method: str,
    host: str,
    path: str,
    key: bytes | None = None,
) -> ResolvedRoute:
    """Return the service, route and limits of a request.

    :param key: the key that the caller showed, if it showed exactly one.
    :raises papayastall.exceptions.RefusedError: there is no service, route
        or team for it, or this node does not know the routes yet.
    """
    match blackboard.routing:
        case blackboards.DocumentRouting():
            return _resolve_by_document(blackboard, method, path)
        case blackboards.TableRouting(lookup):
            return _resolve_by_table(lookup, host, path, key)


def _resolve_by_document(
    blackboard: blackboards.Blackboard, method: str, path: str
) -> ResolvedRoute:
    name = documents.find_service_name(path)
    document = blackboard.services.get(name)
    if document is None:
        raise exceptions.RefusedError(
            _Code.UNKNOWN_SERVICE,
            f"no service {name!r}; a path starts with /SERVICE/",
            step="route",
        )
    route = documents.find_route(document, method, path)
    timeout_ms: int = document.timeout_ms
    if route is not None and route.timeout_ms is not None:
        timeout_ms = route.timeout_ms
    accepted = documents.IdempotencyKeyUse.ACCEPTED
    return ResolvedRoute(
        service=document.name,
        route=route.name if route else UNKNOWN_ROUTE,
        kind=route.kind if route else _Kind.NON_IDEMPOTENT,
        timeout_ms=min(timeout_ms, MAX_FRAME_INTEGER),
        max_body_bytes=document.limits.max_body_bytes,
        team_header=document.team_header.lower().encode(),
        key_use=route.idempotency_key if route else accepted,
    )


def _resolve_by_table(
    lookup: _route_lookup.RouteLookup | None,
    host: str,
    path: str,
    key: bytes | None,
) -> ResolvedRoute:
    if lookup is None:
        raise exceptions.RefusedError(
            _Code.NOT_READY,
            "this node has not learned the routes yet",
            step="route",
            retry_after_s=NOT_READY_RETRY_AFTER_S,
        )
    route = lookup.find(host, path)
    if route is None:
        raise exceptions.RefusedError(
            _Code.UNKNOWN_ROUTE,
            f"no route for {host}{path} in version {lookup.table.version}",
            step="route",
        )
    team = _find_team(lookup, route, key)
    rank = route.rank
    if team is not None and team.rank is not None:
        rank = team.rank
    return ResolvedRoute(
        service=lookup.choose_service(route),
        route=route.name,
        kind=route.kind,
        timeout_ms=min(route.timeout_ms, MAX_FRAME_INTEGER),
        max_body_bytes=lookup.table.limits.max_body_bytes,
        max_attempts=route.max_attempts,
        rank=min(rank, MAX_FRAME_INTEGER),
        objective_ms=min(route.objective_ms, MAX_FRAME_INTEGER),
        team="" if team is None else team.name,
        hides_keys=bool(lookup.teams),
        payload=route.payload,
    )


def _find_team(
    lookup: _route_lookup.RouteLookup,
    route: route_table.Route,
    key: bytes | None,
) -> route_table.Team | None:
    """Return the team of a request that needs a key; ``None`` for others."""
    if not lookup.teams or not route.requires_key:
        return None
    team = lookup.find_team(key) if key is not None else None
    if team is None:
        raise exceptions.RefusedError(
            _Code.UNKNOWN_KEY,
            "this request needs the key of a team, in one header",
            step="authenticate",
        )
    return team
