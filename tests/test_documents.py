"""Tests of service documents and of the route lookup in them."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
import pytest

from papayastall import _decision_types
from papayastall import documents
from papayastall import exceptions

VISITS = """
version = 1
name = "visits"
revision = 3
floor_slots = 35
timeout_ms = 2000
health_priority = "detection"

[[routes]]
name = "status"
methods = ["GET"]
path = "/visits/status"
kind = "lookup"
timeout_ms = 1000

[[routes]]
name = "book"
methods = ["POST"]
path = "/visits"
kind = "non-idempotent"
idempotency_key = "required"

[limits]
max_queued = 16
"""


def test_document_is_structured_with_defaults() -> None:
    document = documents.parse_document(VISITS, "visits.toml")
    assert document.name == "visits"
    assert document.revision == 3
    assert document.limits.max_queued == 16
    assert document.limits.retry_budget_ratio == 0.1
    assert document.health_priority is documents.HealthPriority.DETECTION
    key_uses = [route.idempotency_key for route in document.routes]
    assert key_uses == [
        documents.IdempotencyKeyUse.ACCEPTED,
        documents.IdempotencyKeyUse.REQUIRED,
    ]


def test_all_problems_are_reported_with_their_place() -> None:
    text = VISITS.replace('name = "visits"', 'name = "Visits"')
    text = text.replace("timeout_ms = 1000", 'timeout = "1s"')
    text = text.replace('"POST"', '"post"').replace("= 16", "= -1")
    text = text.replace("revision = 3", "revision = true\nspare = 1")
    with pytest.raises(exceptions.BadInputError) as caught:
        documents.parse_document(text, "bad.toml")
    for key in (
        "bad.toml",
        "  name:",
        "  revision:",
        "  spare:",
        "  routes[0].timeout:",
        "  routes[0].path:",
        "  routes[1].methods:",
        "  limits.max_queued:",
    ):
        assert key in caught.value.message
    assert caught.value.code is exceptions.ErrorCode.BAD_DOCUMENT


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("version = 1", "version = 2", "version"),
        ("floor_slots = 35", "floor_slots = -1", "floor_slots"),
        ("timeout_ms = 2000", "timeout_ms = 0", "timeout_ms"),
        ("timeout_ms = 2000", "timeout_ms = 9999999", "timeout_ms"),
        ("timeout_ms = 2000", "timeout_ms = 2.5", "timeout_ms"),
        ('kind = "lookup"', 'kind = "read"', "routes[0].kind"),
        ('"/visits/status"', '"/intake/status"', "routes[0].path"),
        ('"/visits/status"', '"/visits/../x"', "routes[0].path"),
        ('"/visits/status"', '"/visits/status/"', "routes[0].path"),
        ('name = "book"', 'name = "status"', "routes[1]"),
        ('["POST"]', "[]", "routes[1].methods"),
        ("max_queued = 16", "retry_budget_ratio = nan", "limits.retry"),
        ("revision = 3\n", "", "revision"),
        ("revision = 3", "leave_timeout_ms = 60000", "leave_timeout_ms"),
    ],
)
def test_an_invalid_document_is_refused_with_its_key(
    old: str, new: str, key: str
) -> None:
    assert old in VISITS
    with pytest.raises(exceptions.BadInputError) as caught:
        documents.parse_document(VISITS.replace(old, new, 1), "x")
    assert f"  {key}" in caught.value.message


@pytest.mark.parametrize(
    ("method", "path", "name"),
    [
        ("GET", "/visits/status/17", "status"),
        ("GET", "/visits/status?id=17", "status"),
        ("POST", "/visits/17", "book"),
        ("POST", "/visits", "book"),
        ("GET", "/visits/statuses", None),
        ("DELETE", "/visits/status/17", None),
        ("GET", "/visits/status/../book", None),
        ("GET", "/visits/status/%2e%2e/book", None),
        ("GET", "/visits/status/..%2fbook", None),
        ("GET", "/visits/status/%252e%252e/book", None),
        ("GET", "/visits/status//book", None),
        ("GET", "/visits/status/..\\book", None),
        ("GET", "/visits/status/..;/book", None),
    ],
)
def test_route_has_the_longest_prefix_of_a_plain_path(
    method: str, path: str, name: str | None
) -> None:
    document = documents.parse_document(VISITS, "x")
    route = documents.find_route(document, method, path)
    assert (route.name if route else None) == name


def test_lookup_is_found_only_by_a_declared_prefix() -> None:
    document = documents.parse_document(VISITS, "x")
    route = documents.find_route(document, "GET", "/visits/status")
    assert route is not None
    assert route.kind is _decision_types.RequestKind.LOOKUP


def test_service_is_the_first_segment() -> None:
    assert documents.find_service_name("/visits/status/17?x=/y") == "visits"
    assert documents.find_service_name("/") == ""


@hypothesis.given(st.text())
def test_random_text_is_accepted_or_refused_cleanly(text: str) -> None:
    try:
        documents.parse_document(text, "x")
    except exceptions.BadInputError:
        pass


@hypothesis.given(
    st.dictionaries(
        st.sampled_from(
            ["version", "name", "revision", "routes", "limits", "timeout_ms"]
        ),
        st.one_of(
            st.integers(-2, 2).map(str),
            st.sampled_from(
                ['"a"', "[]", "{}", "nan", "true", "[1]", "[{methods=[1]}]"]
            ),
        ),
    )
)
def test_wrong_types_are_refused_cleanly(raw: dict[str, str]) -> None:
    text = "\n".join(f"{key} = {value}" for key, value in raw.items())
    with pytest.raises(exceptions.BadInputError):
        documents.parse_document(text, "x")
