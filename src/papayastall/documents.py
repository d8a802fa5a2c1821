"""Service documents: what operators declare about one service.

A document is a TOML text, checked and applied as a whole and named after
its service. Each change of it carries the next revision number.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import enum
import hashlib
import pathlib
import re
import tomllib
import typing as t

from papayastall import _checking
from papayastall import _decision_types
from papayastall import exceptions

__all__ = [
    "DOCUMENT_VERSION",
    "Document",
    "HealthPriority",
    "IdempotencyKeyUse",
    "Limits",
    "Route",
    "compute_digest",
    "find_route",
    "find_service_name",
    "parse_document",
]

DOCUMENT_VERSION = 1

MAX_DOCUMENT_BYTES = 64 * 1024
MAX_LEAVE_TIMEOUT_MS = 5_000
MAX_TIMEOUT_MS = 600_000
MAX_RETRY_BUDGET_RATIO = 1.0

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
METHOD_PATTERN = re.compile(r"[A-Z]{1,16}")
HEADER_PATTERN = re.compile(r"[A-Za-z0-9-]{1,64}")
PATH_PATTERN = re.compile(r"(/[A-Za-z0-9._~!$&'()*+,;=:@-]+)+")
AMBIGUOUS_PATH_PATTERN = re.compile(
    r"//|/\.{1,2}(/|$)|\\|;|%(2e|2f|5c|3b|25)|[^\x21-\x7e]", re.IGNORECASE
)


class HealthPriority(enum.Enum):
    """What to favour while it is uncertain whether an upstream is failing."""

    DETECTION = "detection"
    """Stop sending requests to a failing upstream sooner."""
    CAPACITY = "capacity"
    """Eject fewer healthy upstreams."""
    GRAY = "gray"
    """Route around upstreams that intermittently leave requests unanswered,
    instead of ejecting them."""


class IdempotencyKeyUse(enum.Enum):
    """How a route treats the ``Idempotency-Key`` request header."""

    IGNORED = "ignored"
    ACCEPTED = "accepted"
    REQUIRED = "required"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Route:
    """Settings for requests of one service, by method and path prefix.

    :param path: prefix of the request path, in whole segments; it begins
        with the service's name.
    :param kind: whether a request may safely run more than once.
    :param timeout_ms: upper bound of the deadline; that of the service
        where left out.
    """

    name: str
    methods: list[str]
    path: str
    kind: _decision_types.RequestKind
    timeout_ms: _checking.Milliseconds | None = None
    idempotency_key: IdempotencyKeyUse = IdempotencyKeyUse.ACCEPTED


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Limits:
    """Limits that protect a service from overload.

    :param max_queued: requests that may wait at one owner.
    :param max_body_bytes: largest request body.
    :param retry_budget_ratio: retries and hedges allowed per request of a
        caller.
    """

    max_queued: int = 64
    max_body_bytes: _checking.PositiveInt = _checking.PositiveInt(1024 * 1024)
    retry_budget_ratio: float = 0.1


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Document:
    """The configuration of one service, as its operators declare it.

    :param version: of the document format.
    :param name: of the service; requests to ``/NAME/...`` belong to it.
    :param revision: one more than that of the document it replaces.
    :param floor_slots: healthy capacity, in slots, that must remain after
        any ejection or drain.
    :param timeout_ms: upper bound of a request's deadline.
    :param leave_timeout_ms: how long a leaving upstream may still get new
        requests; those that already run there are never cancelled.
    :param team_header: request header that names the caller's team.
    """

    version: int
    name: str
    revision: _checking.PositiveInt
    floor_slots: int
    timeout_ms: _checking.Milliseconds
    routes: list[Route]
    leave_timeout_ms: _checking.Milliseconds = _checking.Milliseconds(2_000)
    health_priority: HealthPriority = HealthPriority.CAPACITY
    team_header: str = "X-Team"
    limits: Limits = dataclasses.field(default_factory=Limits)


def compute_digest(text: str) -> str:
    """Return the digest that tells whether two texts are the same.

    Two operators may write different texts with the same revision.
    """
    return hashlib.sha256(text.encode()).hexdigest()


def find_service_name(path: str) -> str:
    """Return the name of a request's service: the path's first segment."""
    return path.partition("?")[0].lstrip("/").partition("/")[0]


def find_route(document: Document, method: str, path: str) -> Route | None:
    """Return the route with the longest prefix of a request path.

    A request without a route (``None``) is treated as non-idempotent. No
    route matches a path that an upstream may resolve to a different one,
    such as a path with ``..`` or with escaped slashes.
    """
    path = path.partition("?")[0]
    if AMBIGUOUS_PATH_PATTERN.search(path):
        return None
    found: Route | None = None
    for route in document.routes:
        if method not in route.methods or not _has_prefix(path, route.path):
            continue
        if found is None or len(route.path) > len(found.path):
            found = route
    return found


def _has_prefix(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix + "/")


def parse_document(text: str, place: str) -> Document:
    """Check the text of a service document.

    :param place: where the text comes from, for the message.
    :raises papayastall.exceptions.BadInputError: lists all problems.
    """
    raw = _load(text, place)
    converter = _checking.make_converter(pathlib.Path())
    document, problems = _checking.structure(converter, raw, Document)
    problems.extend(_find_problems(raw))
    _checking.raise_problems(
        exceptions.ErrorCode.BAD_DOCUMENT, place, problems
    )
    assert document is not None
    return document


def _load(text: str, place: str) -> dict[str, t.Any]:
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        raise _bad_document(f"{place} is over {MAX_DOCUMENT_BYTES} bytes")
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise _bad_document(f"{place} is not TOML: {error}") from error


def _bad_document(message: str) -> exceptions.BadInputError:
    return exceptions.BadInputError(
        exceptions.ErrorCode.BAD_DOCUMENT, message, step="check"
    )


def _find_problems(
    raw: dict[str, t.Any],
) -> cabc.Iterator[_checking.Problem]:
    """Check ranges and compare keys in the raw input.

    Values of the wrong type are skipped, so that these problems are
    reported together with those of the conversion.
    """
    yield from _check_top_level(raw)
    yield from _check_limits(raw.get("limits"))
    routes = raw.get("routes")
    if isinstance(routes, list):
        yield from _check_routes(raw, routes)


def _check_top_level(
    raw: dict[str, t.Any],
) -> cabc.Iterator[_checking.Problem]:
    version = raw.get("version")
    if type(version) is int and version != DOCUMENT_VERSION:
        yield _checking.Problem(
            "version",
            f"{version} is not known to this release",
            f"write the document for version {DOCUMENT_VERSION}",
        )
    yield from _check_text(raw, "name", NAME_PATTERN, "a-z, 0-9 and -")
    yield from _check_text(
        raw, "team_header", HEADER_PATTERN, "letters, digits and -"
    )
    yield from _check_range(raw, "floor_slots", 0, None)
    yield from _check_range(raw, "timeout_ms", None, MAX_TIMEOUT_MS)
    yield from _check_range(
        raw, "leave_timeout_ms", None, MAX_LEAVE_TIMEOUT_MS
    )


def _check_limits(raw: object) -> cabc.Iterator[_checking.Problem]:
    if not isinstance(raw, dict):
        return
    prefix = "limits."
    yield from _check_range(raw, "max_queued", 0, None, prefix)
    yield from _check_range(
        raw, "retry_budget_ratio", 0.0, MAX_RETRY_BUDGET_RATIO, prefix
    )


def _check_text(
    raw: dict[str, t.Any],
    key: str,
    pattern: re.Pattern[str],
    allowed: str,
    prefix: str = "",
) -> cabc.Iterator[_checking.Problem]:
    value = raw.get(key)
    if isinstance(value, str) and not pattern.fullmatch(value):
        yield _checking.Problem(
            f"{prefix}{key}", f"{value!r} is not allowed", f"use {allowed}"
        )


def _check_range(
    raw: dict[str, t.Any],
    key: str,
    lowest: float | None,
    highest: float | None,
    prefix: str = "",
) -> cabc.Iterator[_checking.Problem]:
    value = raw.get(key)
    if type(value) not in (int, float):
        return
    number = t.cast(float, value)
    if lowest is not None and not number >= lowest:
        yield _checking.Problem(
            f"{prefix}{key}",
            f"{value} is too small",
            f"give {lowest} or more",
        )
    if highest is not None and not number <= highest:
        yield _checking.Problem(
            f"{prefix}{key}",
            f"{value} is too large",
            f"give {highest} or less",
        )


def _check_routes(
    raw: dict[str, t.Any], routes: list[t.Any]
) -> cabc.Iterator[_checking.Problem]:
    places: dict[tuple[str, ...], str] = {}
    for number, route in enumerate(routes):
        if not isinstance(route, dict):
            continue
        place = f"routes[{number}]"
        yield from _check_route(raw, route, place)
        for identity in _list_identities(route):
            if identity in places:
                yield _checking.Problem(
                    place,
                    f"{' '.join(identity)} stands in {places[identity]} too",
                    "remove one",
                )
            places.setdefault(identity, place)


def _check_route(
    raw: dict[str, t.Any], route: dict[str, t.Any], place: str
) -> cabc.Iterator[_checking.Problem]:
    prefix = f"{place}."
    yield from _check_text(
        route, "name", NAME_PATTERN, "a-z, 0-9 and -", prefix
    )
    yield from _check_range(route, "timeout_ms", None, MAX_TIMEOUT_MS, prefix)
    yield from _check_path(raw.get("name"), route.get("path"), prefix)
    methods = route.get("methods")
    if methods == []:
        yield _checking.Problem(
            f"{prefix}methods", "is empty", 'list methods, as ["GET"]'
        )
    if not isinstance(methods, list):
        return
    for method in methods:
        if isinstance(method, str) and not METHOD_PATTERN.fullmatch(method):
            yield _checking.Problem(
                f"{prefix}methods",
                f"{method!r} is not a method",
                "write it in capitals, as GET",
            )


def _check_path(
    name: object, path: object, prefix: str
) -> cabc.Iterator[_checking.Problem]:
    if not isinstance(path, str) or not isinstance(name, str):
        return
    if not _has_prefix(path, f"/{name}"):
        yield _checking.Problem(
            f"{prefix}path",
            f"{path!r} is not under /{name}",
            f"start it with /{name}",
        )
    elif not PATH_PATTERN.fullmatch(path) or AMBIGUOUS_PATH_PATTERN.search(
        path
    ):
        yield _checking.Problem(
            f"{prefix}path",
            f"{path!r} is not a plain path",
            "give whole segments without escapes, dots or a final slash",
        )


def _list_identities(
    route: dict[str, t.Any],
) -> cabc.Iterator[tuple[str, ...]]:
    """Yield what no two routes of a document may have in common."""
    name = route.get("name")
    if isinstance(name, str):
        yield ("name", name)
    methods = route.get("methods")
    path = route.get("path")
    if isinstance(methods, list) and isinstance(path, str):
        for method in methods:
            if isinstance(method, str):
                yield (method, path)
