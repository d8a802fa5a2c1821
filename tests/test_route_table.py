"""Tests of the route table: changes, refusals and lookups."""

from __future__ import annotations

import collections
import typing as t

import pytest

from papayastall import _control_commands as commands
from papayastall import _document_state
from papayastall import _route_lookup
from papayastall import _route_state
from papayastall import exceptions
from papayastall import route_table
from tests import route_helpers

Share = route_table.ServiceShare
State = commands.RoutesState
make_route = route_helpers.make_route
make_table = route_helpers.make_table

INITIAL_TABLE = make_table(3, make_route("r"), make_route("s"))


def replace(
    base_version: int, table: route_table.RouteTable
) -> route_table.ReplaceTable:
    return route_table.ReplaceTable(base_version, table)


@pytest.mark.parametrize(
    "changes",
    [
        {"host": ""},
        {"path_prefix": "r/"},
        {"timeout_ms": 0},
        {"max_attempts": 0},
        {"shares": (Share("none", 1),)},
        {"shares": (Share("one", 0), Share("two", 0))},
        {"shares": (Share("one", 2), Share("two", -1))},
        {"name": ""},
        {"name": "s", "path_prefix": "/other/"},
        {"path_prefix": "/s/"},
    ],
)
def test_a_table_that_contradicts_itself_is_refused(
    changes: dict[str, t.Any],
) -> None:
    table = make_table(1, make_route("r", **changes), make_route("s"))
    with pytest.raises(exceptions.BadInputError):
        route_table.apply_change(route_table.RouteTable(), replace(0, table))


@pytest.mark.parametrize("version", [2, 3])
def test_a_version_that_is_not_above_the_current_is_refused(
    version: int,
) -> None:
    with pytest.raises(exceptions.BadInputError, match="not above"):
        route_table.apply_change(
            INITIAL_TABLE, replace(3, make_table(version))
        )


def test_a_change_on_another_version_is_a_conflict() -> None:
    with pytest.raises(exceptions.ConflictError):
        route_table.apply_change(INITIAL_TABLE, replace(2, make_table(4)))


def test_a_patch_changes_named_items_only() -> None:
    patch = route_table.PatchTable(
        base_version=3,
        version=9,
        routes=(make_route("r", timeout_ms=77), make_route("t")),
        removed_routes=("s", "never"),
    )
    changed = route_table.apply_change(INITIAL_TABLE, patch)
    assert changed.version == 9
    assert [route.name for route in changed.routes] == ["r", "t"]
    assert changed.routes[0].timeout_ms == 77
    assert changed.services == INITIAL_TABLE.services


def test_a_patch_may_not_remove_a_service_in_use() -> None:
    patch = route_table.PatchTable(3, 4, removed_services=("one",))
    with pytest.raises(exceptions.BadInputError, match="no service"):
        route_table.apply_change(INITIAL_TABLE, patch)


@pytest.mark.parametrize(
    "change",
    [
        replace(3, make_table(5, make_route("r", source='{"a": 1}'))),
        route_table.PatchTable(3, 5, (make_route(),), removed_routes=("s",)),
        route_table.PatchTable(3, 5, limits=route_table.CallerLimits()),
    ],
)
def test_changes_survive_encoding(change: route_table.TableChange) -> None:
    text = route_table.encode_change(change)
    assert route_table.decode_change(text) == change
    table = route_table.apply_change(INITIAL_TABLE, change)
    encoded = route_table.encode_table(table)
    assert route_table.decode_table(encoded) == table


@pytest.mark.parametrize("text", ["", "{}", "[]", '{"version": 1}'])
def test_a_malformed_text_is_a_protocol_error(text: str) -> None:
    with pytest.raises(exceptions.ProtocolError):
        route_table.decode_table(text)
    with pytest.raises(exceptions.ProtocolError):
        route_table.decode_change(text)


def send(
    documents: _document_state.DocumentTable,
    index: int,
    change: route_table.TableChange,
) -> commands.RoutesResult:
    text = route_table.encode_change(change)
    command = commands.ChangeRoutes(route_table.digest_change(text), text)
    result, _ = _route_state.change_routes(documents, index, command)
    return result


def test_one_of_two_changes_wins_and_its_resend_is_acknowledged() -> None:
    documents = _document_state.DocumentTable()
    first = replace(0, INITIAL_TABLE)
    winner = replace(3, make_table(5, make_route("r")))
    loser = replace(3, make_table(5, make_route("s")))
    later = replace(5, make_table(8))
    assert send(documents, 1, first).state is State.APPLIED
    assert send(documents, 2, winner).state is State.APPLIED
    assert send(documents, 3, loser).state is State.CONFLICT
    assert send(documents, 4, later).state is State.APPLIED
    for index, change in enumerate((first, winner, later), 5):
        assert send(documents, index, change).state is State.ALREADY_APPLIED
    assert send(documents, 9, loser).state is State.CONFLICT
    assert _route_state.current_table(documents).version == 8


def test_an_invalid_change_leaves_the_table_as_it_is() -> None:
    documents = _document_state.DocumentTable()
    assert send(documents, 1, replace(0, INITIAL_TABLE)).state is State.APPLIED
    bad = replace(3, make_table(4, make_route("r", timeout_ms=0)))
    result = send(documents, 2, bad)
    assert result.state is State.INVALID
    assert "time limit" in result.problem
    assert _route_state.current_table(documents) == INITIAL_TABLE


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/r/x", "r"),
        ("A.Example:80", "/r/deep/x", "deep"),
        ("a.example", "/r", None),
        ("a.example", "/other/", None),
        ("b.example", "/r/x", "b"),
        ("", "/r/x", None),
    ],
)
def test_host_and_longest_prefix_choose_the_route(
    host: str, path: str, name: str | None
) -> None:
    lookup = _route_lookup.RouteLookup(
        make_table(
            1,
            make_route("r"),
            make_route("deep", path_prefix="/r/deep/"),
            make_route("b", host="b.example", path_prefix="/r/"),
        )
    )
    route = lookup.find(host, path)
    assert (route.name if route else None) == name


def test_a_split_is_exact_across_table_versions() -> None:
    shares = (Share("one", 90), Share("two", 10))
    split = make_route("r", shares=shares)
    lookup = _route_lookup.RouteLookup(make_table(1, split))
    chosen: list[str] = []
    for version in range(2, 7):
        chosen += [lookup.choose_service(split) for _ in range(6)]
        lookup = _route_lookup.RouteLookup(make_table(version, split), lookup)
    counts = collections.Counter(chosen)
    assert counts == {"one": 27, "two": 3}


def test_a_split_with_weights_beyond_a_float_keeps_its_shares() -> None:
    """The sum of such weights is infinite; one part got all requests."""
    shares = (Share("one", 1.5e308), Share("two", 0.5e308))
    lookup = _route_lookup.RouteLookup(
        make_table(1, make_route("r", shares=shares))
    )
    [route] = lookup.table.routes
    chosen = collections.Counter(
        lookup.choose_service(route) for _ in range(400)
    )
    assert chosen == {"one": 300, "two": 100}


def make_long_change() -> route_table.ReplaceTable:
    routes = [make_route(f"r{number}") for number in range(2_000)]
    return replace(0, make_table(1, *routes))


def test_a_long_change_is_packed_and_applied() -> None:
    change = make_long_change()
    text = route_table.encode_change(change)
    digest = route_table.digest_change(text)
    command = commands.pack_routes_change(digest, text)
    assert command.version == commands.DEFLATED_COMMAND_VERSION
    data = commands.codec.encode(commands.LogEntry(1, 0, command))
    assert len(data) < len(text) / 4
    packed = commands.decode_entry(data).command.change_routes
    assert packed is not None
    documents = _document_state.DocumentTable()
    result, _ = _route_state.change_routes(documents, 1, packed)
    assert result.state is State.APPLIED
    assert _route_state.current_table(documents) == change.table


@pytest.mark.parametrize("cut", [1, 1000])
def test_a_damaged_long_change_is_refused(cut: int) -> None:
    text = route_table.encode_change(make_long_change())
    packed = commands.pack_routes_change("digest", text).change_routes
    assert packed is not None
    damaged = commands.ChangeRoutes("digest", "", packed.deflated_text[:-cut])
    documents = _document_state.DocumentTable()
    result, change = _route_state.change_routes(documents, 1, damaged)
    assert result.state is State.INVALID
    assert change is None
