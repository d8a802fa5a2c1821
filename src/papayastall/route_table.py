"""The route table of a fleet, which maps hosts and paths to services.

A table is replaced as a whole or patched; each change names the version
that it builds on. Service documents route by the first path segment; a
table routes by the ``Host`` header and the longest path prefix, and may
split a route over several services.
"""

from __future__ import annotations

import collections
import collections.abc as cabc
import enum
import math
import typing as t

import msgspec
import xxhash

from papayastall import _decision_types
from papayastall import exceptions

__all__ = [
    "CallerLimits",
    "PatchTable",
    "Payload",
    "ReplaceTable",
    "Route",
    "RouteTable",
    "ServiceEntry",
    "ServiceShare",
    "TableChange",
    "Team",
    "apply_change",
    "decode_change",
    "decode_table",
    "digest_change",
    "encode_change",
    "encode_table",
]

T = t.TypeVar("T", bound=msgspec.Struct)

_Code = exceptions.ErrorCode

_LATER_FIELDS = frozenset({"teams", "removed_teams"})
"""Fields that texts of earlier releases, kept on disks, do not have."""


class Payload(enum.Enum):
    """Which bodies of a route's requests may be large."""

    ORDINARY = "ordinary"
    LARGE_REQUEST = "large-request"
    LARGE_ANSWER = "large-answer"


class ServiceShare(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service's share of the requests of a route.

    :param weight: weight relative to the other shares, 0 or more.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of one host whose path begins with a prefix.

    :param kind: whether a request may run more than once.
    :param timeout_ms: longest time that a caller waits for an answer.
    :param objective_ms: latency objective: time within which an answer
        counts in full.
    :param max_attempts: upstreams that one request may be sent to.
    :param rank: urgency; 0 is the most urgent.
    :param payload: which bodies may be large.
    :param requires_key: whether a caller must show the key of a team, in a
        table that has teams.
    :param source: the operator's own text of the route; returned on reads
        and used for nothing else.
    """

    name: str
    host: str
    path_prefix: str
    kind: _decision_types.RequestKind
    timeout_ms: int
    objective_ms: int
    max_attempts: int
    rank: int
    shares: tuple[ServiceShare, ...]
    source: str = ""
    payload: Payload = Payload.ORDINARY
    requires_key: bool = True


class ServiceEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service that routes may refer to.

    :param health_path: path of the health check of its upstreams.
    :param max_connections: connections that one upstream of the service
        accepts in total.
    :param source: see :class:`Route`.
    """

    name: str
    health_path: str
    max_connections: int
    source: str = ""


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team of callers, known by the keys that they show.

    :param keys: secrets, each of which identifies the team.
    :param rank: urgency of its requests in place of that of their routes;
        ``None`` to use the rank of the route.
    :param rate_per_s: requests a second that the team may send, over all
        nodes; 0 without a limit.
    :param burst: requests beyond that rate that it may send at once.
    :param source: see :class:`Route`.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    source: str = ""

    def __repr__(self) -> str:
        return f"Team({self.name!r}, {len(self.keys)} keys)"


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Size and time limits on callers' requests and connections.

    :param source: see :class:`Route`.
    """

    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 64 << 20
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000
    source: str = ""


class RouteTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All routes in force; ``version`` increases with every change.

    :param teams: the teams whose keys are accepted; without any, no request
        needs a key.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceEntry, ...] = ()
    limits: CallerLimits = CallerLimits()
    teams: tuple[Team, ...] = ()

    @property
    def has_large_payloads(self) -> bool:
        """Whether any route's requests or answers may be large."""
        return any(
            route.payload is not Payload.ORDINARY for route in self.routes
        )


class ReplaceTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change that replaces the whole table of ``base_version``."""

    base_version: int
    table: RouteTable


class PatchTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change of named items of the table of ``base_version``."""

    base_version: int
    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceEntry, ...] = ()
    limits: CallerLimits | None = None
    removed_routes: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = ()
    teams: tuple[Team, ...] = ()
    removed_teams: tuple[str, ...] = ()


TableChange = ReplaceTable | PatchTable


def apply_change(table: RouteTable, change: TableChange) -> RouteTable:
    """Return the table after a change.

    :raises papayastall.exceptions.ConflictError: the change builds on
        another version than that of ``table``.
    :raises papayastall.exceptions.BadInputError: the result is invalid or
        its version is not higher; the message lists all problems.
    """
    if change.base_version != table.version:
        raise exceptions.ConflictError(
            _Code.REVISION_CONFLICT,
            f"the change builds on version {change.base_version}, and "
            f"{table.version} is in force; read it and send the change anew",
            step="change-routes",
        )
    match change:
        case ReplaceTable():
            changed = change.table
        case PatchTable():
            changed = _apply_patch(table, change)
    problems = [*_find_problems(changed)]
    if changed.version <= table.version:
        problems.append(
            f"version {changed.version} is not above {table.version}, which "
            "is in force; give a higher one"
        )
    if problems:
        raise exceptions.BadInputError(
            _Code.BAD_DOCUMENT, "; ".join(problems), step="change-routes"
        )
    return changed


def _apply_patch(table: RouteTable, change: PatchTable) -> RouteTable:
    return RouteTable(
        change.version,
        _merge_by_name(table.routes, change.routes, change.removed_routes),
        _merge_by_name(
            table.services, change.services, change.removed_services
        ),
        change.limits or table.limits,
        _merge_by_name(table.teams, change.teams, change.removed_teams),
    )


_Item = t.TypeVar("_Item", Route, ServiceEntry, Team)


def _merge_by_name(
    items: tuple[_Item, ...],
    changed: tuple[_Item, ...],
    removed: tuple[str, ...],
) -> tuple[_Item, ...]:
    by_name = {item.name: item for item in items}
    by_name.update({item.name: item for item in changed})
    for name in removed:
        by_name.pop(name, None)
    return tuple(by_name.values())


def _find_problems(table: RouteTable) -> cabc.Iterator[str]:
    services = {service.name for service in table.services}
    items: tuple[Route | ServiceEntry | Team, ...] = (
        *table.routes,
        *table.services,
        *table.teams,
    )
    for name, count in collections.Counter(
        (type(item), item.name) for item in items
    ).items():
        if count > 1 or not name[1]:
            yield f"the name {name[1]!r} is empty or stands {count} times"
    prefix_counts = collections.Counter(
        (route.host, route.path_prefix) for route in table.routes
    )
    for (host, prefix), count in prefix_counts.items():
        if count > 1:
            yield f"{count} routes share {host}{prefix}; keep one"
    for route in table.routes:
        for problem in _find_route_problems(route, services):
            yield f"route {route.name!r}: {problem}"
    yield from _find_team_problems(table.teams)


def _find_team_problems(teams: tuple[Team, ...]) -> cabc.Iterator[str]:
    owners: dict[str, str] = {}
    for team in teams:
        for key in set(team.keys):
            if not key:
                yield f"team {team.name!r}: a key is empty"
            # The text names the teams only: a key is a secret.
            if owners.setdefault(key, team.name) != team.name:
                yield (
                    f"teams {owners[key]!r} and {team.name!r} share a key; "
                    "give each its own"
                )
        for name, value in (
            ("rate", team.rate_per_s),
            ("burst", team.burst),
        ):
            if not math.isfinite(value) or value < 0:
                yield (
                    f"team {team.name!r}: the {name} must be a finite "
                    "number of 0 or more"
                )


def _find_route_problems(
    route: Route, services: set[str]
) -> cabc.Iterator[str]:
    if not route.host:
        yield "the host is empty; name one"
    if not route.path_prefix.startswith("/"):
        yield f"the path prefix {route.path_prefix!r} must begin with /"
    if route.timeout_ms <= 0:
        yield "the time limit must be above 0 ms"
    if route.max_attempts <= 0:
        yield "the number of attempts must be 1 or more"
    weights = [share.weight for share in route.shares]
    if sum(weights) <= 0 or min(weights) < 0:
        yield "the weights must be 0 or more and not add up to 0"
    for share in route.shares:
        if share.service not in services:
            yield f"there is no service {share.service!r}; add it"


def encode_table(table: RouteTable) -> str:
    """Return the JSON text of a table, which nodes store and exchange."""
    return msgspec.json.encode(table).decode()


def decode_table(text: str) -> RouteTable:
    """Return the table in a text of :func:`encode_table`.

    :raises papayastall.exceptions.ProtocolError: the text is malformed.
    """
    try:
        return _convert(_load(text), RouteTable)
    except msgspec.MsgspecError as error:
        raise _malformed(error) from error


def encode_change(change: TableChange) -> str:
    """Return the JSON text of a change; equal changes have equal texts."""
    return msgspec.json.encode(change).decode()


def decode_change(text: str) -> TableChange:
    """Return the change in a text of :func:`encode_change`.

    :raises papayastall.exceptions.ProtocolError: the text is malformed.
    """
    try:
        raw = _load(text)
        if "table" in raw:
            return _convert(raw, ReplaceTable)
        return _convert(raw, PatchTable)
    except msgspec.MsgspecError as error:
        raise _malformed(error) from error


def digest_change(text: str) -> str:
    """Return the digest by which a resend of a change is recognised."""
    return xxhash.xxh3_128_hexdigest(text.encode())


def _load(text: str) -> dict[str, t.Any]:
    return msgspec.json.decode(text, type=dict[str, t.Any])


def _convert(raw: dict[str, t.Any], kind: type[T]) -> T:
    """Convert a mapping that must hold the fields of ``kind``.

    Fields of a later release than the text's may be missing.

    The defaults of fields apply where code makes a table or a change, not
    to an encoded text.
    """
    missing = [
        name
        for name in kind.__struct_fields__
        if name not in raw and name not in _LATER_FIELDS
    ]
    if missing:
        raise msgspec.ValidationError(f"{missing[0]} is missing")
    return msgspec.convert(raw, kind)


def _malformed(error: Exception) -> exceptions.ProtocolError:
    return exceptions.ProtocolError(
        _Code.BAD_FRAME,
        f"the text holds no route table: {error}; both sides must run "
        "compatible versions",
        step="decode-routes",
    )
