"""Tests of teams in the route table and of the keys that callers show."""

from __future__ import annotations

import json
import typing as t

import anyio
import msgspec
import pytest

import adapter_config
from papayastall import _exchange
from papayastall import _route_lookup
from papayastall import blackboard as blackboards
from papayastall import exceptions
from papayastall import http_names
from papayastall import ingress
from papayastall import metrics
from papayastall import route_table
from tests import route_helpers

Message = dict[str, t.Any]
Team = route_table.Team
Headers = list[tuple[bytes, bytes]]
KEY = "key-of-team-a"
TEAM = Team("a", (KEY, "second-key"), rank=4, rate_per_s=5.0, burst=5.0)
NAMES = http_names.HeaderNames(
    caller_service=b"caller-service", key=b"api-key", team=b"tenant"
)
FORGED: Headers = [(b"tenant", b"b"), (b"caller-service", b"forged")]


class Forwarded(Exception):
    """Raised instead of forwarding a request."""

    def __init__(self, exchange: _exchange.Exchange) -> None:
        super().__init__()
        self.exchange = exchange


class RaisingSender:
    """Raises instead of forwarding a request."""

    def open(self, exchange: _exchange.Exchange) -> None:
        raise Forwarded(exchange)


class RefusingQuotas:
    """Quotas of which nothing is left."""

    async def admit(self, team: str, deadline_s: float) -> None:
        raise exceptions.RefusedError(
            exceptions.ErrorCode.QUOTA_EXCEEDED,
            "used up",
            step="quota",
            retry_after_s=1.5,
        )


class EndedLease:
    """A lease on the keys that has ended."""

    def check(self) -> None:
        raise exceptions.RefusedError(
            exceptions.ErrorCode.KEYS_UNCONFIRMED,
            "not heard",
            step="authenticate",
            retry_after_s=0.5,
        )


def make_table(*teams: Team) -> route_table.RouteTable:
    """Return a table with a route that needs a key and one that does not."""
    table = route_helpers.make_table(
        3,
        route_helpers.make_route("closed"),
        route_helpers.make_route("open", requires_key=False),
    )
    return msgspec.structs.replace(table, teams=teams)


def send(
    headers: Headers,
    path: str = "/closed/",
    teams: tuple[Team, ...] = (TEAM,),
    **options: t.Any,
) -> Message:
    """Send a request to an ingress and return the start of its answer.

    :raises Forwarded: it is forwarded.
    """
    blackboard = blackboards.Blackboard("10.0.0.1:1", "a")
    lookup = _route_lookup.RouteLookup(make_table(*teams))
    blackboard.routing = blackboards.TableRouting(lookup)
    application = ingress.Ingress(
        blackboard,
        lambda: True,
        t.cast(t.Any, RaisingSender()),
        metrics.Metrics(None, "10.0.0.1:1"),
        names=NAMES,
        local_service="here",
        **options,
    )
    sent: list[Message] = []

    async def receive() -> Message:
        return {"type": "http.request", "body": b"", "more_body": False}

    async def note(message: Message) -> None:
        sent.append(message)

    scope = {
        "type": "http",
        "method": "GET",
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [(b"host", b"a.example"), *headers],
    }
    anyio.run(application, scope, receive, note)
    return sent[0]


def forward(headers: Headers, **options: t.Any) -> _exchange.Exchange:
    """Send a request and return what is forwarded."""
    with pytest.raises(Forwarded) as caught:
        send(headers, **options)
    return caught.value.exchange


@pytest.mark.parametrize("key", TEAM.keys)
def test_a_request_with_a_key_belongs_to_its_team(key: str) -> None:
    request = forward([(b"api-key", key.encode())]).request
    assert request.team == "a"
    assert request.rank == 4


# Guards against keys and forged names of teams that reach an upstream.
@pytest.mark.parametrize(
    ("path", "team"),
    [("/closed/", [(b"tenant", b"a")]), ("/open/", [])],
)
def test_an_upstream_gets_the_team_and_never_the_key(
    path: str, team: Headers
) -> None:
    headers = [(b"api-key", KEY.encode()), (b"accept", b"x"), *FORGED]
    forwarded = forward(headers, path=path).headers
    assert sorted(forwarded) == sorted(
        [
            (b"host", b"a.example"),
            (b"accept", b"x"),
            (b"caller-service", b"here"),
            *team,
        ]
    )


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [(b"api-key", b"")],
        [(b"api-key", b"other")],
        [(b"api-key", KEY.upper().encode())],
        [(b"api-key", KEY.encode()), (b"api-key", b"second-key")],
        [(b"tenant", b"a")],
    ],
)
def test_a_request_without_one_known_key_does_not_run(
    headers: Headers,
) -> None:
    assert send(headers)["status"] == 401


# Guards against a 401 for a key that was added, from the previous table.
def test_an_unknown_key_is_final_only_if_the_table_is_the_latest() -> None:
    async def is_latest() -> bool:
        return False

    start = send([(b"api-key", b"new")], is_latest=is_latest)
    assert start["status"] == 503


def test_without_teams_headers_are_forwarded_as_sent() -> None:
    headers = [(b"api-key", b"x"), (b"tenant", b"y")]
    forwarded = forward(headers, teams=()).headers
    assert set(headers) <= set(forwarded)


def test_a_request_over_the_quota_is_told_when_to_come_back() -> None:
    start = send([(b"api-key", KEY.encode())], quotas=RefusingQuotas())
    assert start["status"] == 429
    assert dict(start["headers"])[b"retry-after"] == b"2"


def test_a_lease_that_has_ended_stops_requests_with_a_key_only() -> None:
    lease = EndedLease()
    start = send([(b"api-key", KEY.encode())], key_lease=lease)
    assert start["status"] == 503
    forward([], path="/open/", key_lease=lease)


@pytest.mark.parametrize(
    "teams",
    [
        (TEAM, Team("b", (KEY,))),
        (Team("a", ("",)),),
        (TEAM, TEAM),
        (Team("", ("k",)),),
        (Team("a", ("k",), rate_per_s=-1.0),),
        (Team("a", ("k",), burst=float("nan")),),
        (Team("a", ("k",), rate_per_s=float("inf")),),
    ],
)
def test_teams_that_contradict_each_other_are_refused(
    teams: tuple[Team, ...],
) -> None:
    change = route_table.ReplaceTable(0, make_table(*teams))
    with pytest.raises(exceptions.BadInputError) as caught:
        route_table.apply_change(route_table.RouteTable(), change)
    assert KEY not in str(caught.value)


def test_a_patch_replaces_and_removes_teams() -> None:
    other = Team("b", ("key-b",))
    changed = Team("a", ("third-key",))
    patch = route_table.PatchTable(
        3, 4, teams=(changed,), removed_teams=("b",)
    )
    table = route_table.apply_change(make_table(TEAM, other), patch)
    assert table.teams == (changed,)


# Guards against replicas that cannot read the disks of an earlier release.
def test_a_text_without_teams_is_read() -> None:
    text = msgspec.json.decode(route_table.encode_table(make_table()))
    del text["teams"]
    for route in text["routes"]:
        del route["requires_key"], route["payload"]
    table = route_table.decode_table(msgspec.json.encode(text).decode())
    assert table.teams == ()
    assert all(route.requires_key for route in table.routes)


def make_config(**spec: t.Any) -> bytes:
    """Return a configuration with one tenant."""
    tenant = {
        "type": "tenants",
        "metadata": {"name": "a"},
        "spec": {"apiKeys": [KEY], **spec},
    }
    config = {"version": 1, "baseVersion": 0, "resources": [tenant]}
    return json.dumps(config).encode()


def test_a_tenant_of_the_platform_is_a_team() -> None:
    body = make_config(priority=2, ratePerS=83, burst=8.5, other=1)
    table = adapter_config.read_table(body).table
    (team,) = table.teams
    assert (team.name, team.keys, team.rank) == ("a", (KEY,), 2)
    assert (team.rate_per_s, team.burst) == (83, 8.5)
    written = json.loads(adapter_config.write_table(table))
    assert written["resources"] == json.loads(body)["resources"]


def test_limits_and_rank_of_a_tenant_may_be_absent() -> None:
    (team,) = adapter_config.read_table(make_config()).table.teams
    assert (team.rank, team.rate_per_s, team.burst) == (None, 0, 0)


@pytest.mark.parametrize(
    "spec",
    [
        {"apiKeys": None},
        {"apiKeys": KEY},
        {"apiKeys": [KEY, 7]},
        {"ratePerS": "5"},
        {"burst": True},
        {"priority": -1},
    ],
)
def test_an_invalid_tenant_is_refused_without_its_keys(
    spec: dict[str, t.Any],
) -> None:
    with pytest.raises(exceptions.BadInputError) as caught:
        adapter_config.read_table(make_config(**spec))
    assert next(iter(spec)) in str(caught.value)
    assert KEY not in str(caught.value)
