"""Tests of the adapter's conversions for the users' platform."""

from __future__ import annotations

import copy
import json
import pathlib
import typing as t

import pytest

import adapter_config
import adapter_endpoints
import adapter_settings
from papayastall import _decision_types
from papayastall import exceptions
from papayastall import route_table
from papayastall import settings

MACHINE: dict[str, t.Any] = {
    "serves": ["sidecar"],
    "ip": "10.1.0.8",
    "zone": "z-a",
    "region": "r",
    "listenAddrs": {
        "inbound": "10.1.0.8:8300",
        "outbound": "10.1.0.8:8304",
        "ready": "10.1.0.8:8302",
        "control": "10.1.0.8:8306",
    },
    "internalPorts": [7620, 7635],
    "seeds": ["10.1.0.15:8306", "10.2.0.12:8306"],
    "bootstrap": True,
    "dataDir": None,
    "heartbeatIntervalMs": 1500,
    "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
    "bounds": ["graceS=6", "budgetRatio=0.2", "budgetSlack=60", "x=true"],
    "appAddr": "10.1.0.8:8301",
    "service": "one",
    "somethingNew": {"a": 1},
}

ROUTE: dict[str, t.Any] = {
    "type": "routes",
    "metadata": {"name": "r-1"},
    "spec": {
        "host": "a.example",
        "pathPrefix": "/p/",
        "kind": "unsafe",
        "timeoutMs": 1500,
        "latencySloMs": 800,
        "priority": 2,
        "split": [
            {"service": "one", "weight": 90},
            {"service": "two", "weight": 10},
        ],
        "maxAttempts": 2,
        "somethingNew": [1],
    },
}
SERVICES: list[dict[str, t.Any]] = [
    {
        "type": "services",
        "metadata": {"name": name},
        "spec": {
            "healthPath": "/healthz",
            "maxConnections": 390,
            "protocol": "h1",
            "tls": False,
        },
    }
    for name in ("one", "two")
]
LIMITS: dict[str, t.Any] = {
    "type": "limits",
    "metadata": {},
    "spec": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}
CONFIG: dict[str, t.Any] = {
    "version": 7,
    "baseVersion": 0,
    "resources": [ROUTE, *SERVICES, LIMITS],
}


def write_settings(folder: pathlib.Path, **changes: t.Any) -> str:
    path = folder / "node.json"
    path.write_text(json.dumps({**MACHINE, **changes}))
    return str(path)


def test_settings_of_a_machine_with_an_upstream(
    tmp_path: pathlib.Path,
) -> None:
    machine = adapter_settings.load(write_settings(tmp_path))
    node = machine.node
    assert node.caller_address == "10.1.0.8:8304"
    assert node.link_address == "10.1.0.8:7620"
    assert node.seeds == ["10.1.0.15:7620", "10.2.0.12:7620"]
    assert node.routing is settings.RoutingKind.TABLE
    assert not node.is_control_replica
    assert node.shutdown_timeout_ms < 6000
    assert machine.ready_address == "10.1.0.8:8302"
    assert machine.lease_s == 6.0
    assert node.key_revocation_ms is None
    assert node.memory_limit_mb is None


@pytest.mark.parametrize(
    ("strict", "revocation_ms"), [("true", 5000), ("false", None)]
)
def test_bounds_of_teams_and_limits_of_a_machine(
    tmp_path: pathlib.Path, strict: str, revocation_ms: int | None
) -> None:
    path = write_settings(
        tmp_path,
        bounds=[f"strictRevoke={strict}", "revokeMs=5000", "quotaSlack=20"],
        limits={"memoryMb": 200, "maxFds": 4100, "linkMbps": 4.15},
    )
    node = adapter_settings.load(path).node
    assert node.key_revocation_ms == revocation_ms
    assert node.quota_slack == 20.0
    assert (node.memory_limit_mb, node.descriptor_limit) == (200, 4100)


@pytest.mark.parametrize(
    ("kind", "request_kind", "payload"),
    [
        ("upload", "non-idempotent", "large-request"),
        ("download", "lookup", "large-answer"),
        ("safe", "lookup", "ordinary"),
    ],
)
def test_kinds_of_routes(kind: str, request_kind: str, payload: str) -> None:
    change = adapter_config.read_table(change_config("kind", kind))
    (route,) = change.table.routes
    assert route.kind.value == request_kind
    assert route.payload.value == payload


@pytest.mark.parametrize(("machines", "voters"), [(1, 5), (2, 7)])
def test_settings_of_a_control_machine(
    tmp_path: pathlib.Path, machines: int, voters: int
) -> None:
    path = write_settings(
        tmp_path,
        serves=["control_plane"],
        listenAddrs={"control": "10.1.0.15:8306"},
        dataDir="/data",
        appAddr=None,
        service=None,
        bootstrap=False,
        faultTolerance={"machines": machines},
    )
    machine = adapter_settings.load(path)
    assert machine.node.is_control_replica
    assert machine.node.caller_address is None
    assert machine.node.control_group is not None
    assert machine.node.control_group.target_voters == voters
    assert not machine.node.control_group.may_found


@pytest.mark.parametrize(
    "changes",
    [
        {"internalPorts": []},
        {"seeds": [7]},
        {"bounds": [7]},
        {"bounds": ["graceS=1e400"]},
        {"bounds": ["graceS=nan"]},
        {"heartbeatIntervalMs": "x"},
        {"faultTolerance": 7},
        {"listenAddrs": [1]},
    ],
)
def test_settings_of_another_type_name_the_file(
    tmp_path: pathlib.Path, changes: dict[str, t.Any]
) -> None:
    """Another error than that of bad input ended the process at SIGHUP."""
    path = write_settings(tmp_path, **changes)
    with pytest.raises(exceptions.BadInputError, match=r"node\.json"):
        adapter_settings.load(path)


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"bounds": []}'])
def test_bad_settings_name_the_file(tmp_path: pathlib.Path, text: str) -> None:
    path = tmp_path / "node.json"
    path.write_text(text)
    with pytest.raises(exceptions.BadInputError, match="node.json"):
        adapter_settings.load(str(path))


def test_a_configuration_is_given_back_as_it_was_sent() -> None:
    change = adapter_config.read_table(json.dumps(CONFIG).encode())
    table = route_table.apply_change(route_table.RouteTable(), change)
    (route,) = table.routes
    assert route.kind is _decision_types.RequestKind.NON_IDEMPOTENT
    assert (route.rank, route.objective_ms) == (2, 800)
    assert [share.weight for share in route.shares] == [90, 10]
    assert table.limits.idle_timeout_ms == 15000
    written = json.loads(adapter_config.write_table(table))
    assert written["version"] == 7
    assert written["resources"] == CONFIG["resources"]


def test_a_patch_names_items_to_change_and_to_remove() -> None:
    patch = adapter_config.read_patch(
        json.dumps(
            {
                "version": 9,
                "baseVersion": 7,
                "upsert": {"resources": [ROUTE]},
                "remove": {"routes": ["r-old"]},
            }
        ).encode()
    )
    assert (patch.base_version, patch.version) == (7, 9)
    assert [route.name for route in patch.routes] == ["r-1"]
    assert patch.removed_routes == ("r-old",)
    assert patch.limits is None


def change_config(key: str, value: t.Any) -> bytes:
    config = copy.deepcopy(CONFIG)
    spec = config["resources"][0]["spec"]
    if key in config:
        config[key] = value
    elif value is None:
        del spec[key]
    else:
        spec[key] = value
    return json.dumps(config).encode()


@pytest.mark.parametrize(
    ("body", "place"),
    [
        (b"", "no JSON"),
        (json.dumps(CONFIG).encode()[:-9], "no JSON"),
        (b"[]", "object"),
        (change_config("version", "7"), "version"),
        (change_config("baseVersion", 1.5), "baseVersion"),
        (change_config("host", None), "host"),
        (change_config("timeoutMs", True), "timeoutMs"),
        (change_config("kind", "odd"), "kind"),
        (change_config("split", [{"service": "one"}]), "weight"),
        (change_config("maxAttempts", -1), "maxAttempts"),
        (change_config("resources", [{"type": "odd"}]), "type"),
    ],
)
def test_an_invalid_configuration_is_refused_with_its_field(
    body: bytes, place: str
) -> None:
    with pytest.raises(exceptions.BadInputError, match=place):
        adapter_config.read_table(body)


def nest(levels: int) -> dict[str, t.Any]:
    value: dict[str, t.Any] = {}
    for _ in range(levels):
        value = {"inner": value}
    return value


@pytest.mark.parametrize("levels", [10, 245, 252])
def test_a_nested_configuration_is_given_back(levels: int) -> None:
    """A change was accepted that could not be written back."""
    body = change_config("somethingNew", nest(levels))
    change = adapter_config.read_table(body)
    table = route_table.apply_change(route_table.RouteTable(), change)
    written = json.loads(adapter_config.write_table(table))
    assert written["resources"] == json.loads(body)["resources"]


def test_a_configuration_nested_too_deeply_is_refused() -> None:
    """It was answered with 500, which operators take for no answer."""
    body = change_config("somethingNew", nest(300))
    with pytest.raises(exceptions.BadInputError, match="nested"):
        adapter_config.read_table(body)


class FakeNode:
    """Records the endpoints' calls to a node."""

    def __init__(self) -> None:
        self.announced: list[_decision_types.UpstreamAnnouncement] = []
        self.withdrawn: list[tuple[str, int | None]] = []

    def announce(
        self, announcement: _decision_types.UpstreamAnnouncement
    ) -> None:
        self.announced.append(announcement)

    def withdraw(self, instance: str, started_ms: int | None) -> None:
        self.withdrawn.append((instance, started_ms))


HEARTBEAT: dict[str, t.Any] = {
    "service": "one",
    "address": "10.1.0.8:8301",
    "zone": "z-a",
    "version": "v1",
    "maxConcurrency": 7,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1_700_000_000_000,
}


NESTED: list[t.Any] = []
"""A list nested more deeply than Python's own text of it can be made."""
for _ in range(900):
    NESTED = [NESTED]


async def call(
    tmp_path: pathlib.Path, node: FakeNode, method: str, body: bytes
) -> int:
    machine = adapter_settings.load(write_settings(tmp_path))
    endpoint = adapter_endpoints.UpstreamEndpoint(
        t.cast(t.Any, node), lambda: machine
    )
    statuses: list[int] = []

    async def receive() -> dict[str, t.Any]:
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message: dict[str, t.Any]) -> None:
        if message["type"] == "http.response.start":
            statuses.append(message["status"])

    path = adapter_endpoints.INSTANCES_PATH + "i-1"
    await endpoint({"method": method, "path": path}, receive, send)
    return statuses[0]


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("changes", "state"),
    [
        ({}, _decision_types.UpstreamState.READY),
        ({"coldRemainingMs": 90.5}, _decision_types.UpstreamState.COLD),
        ({"state": "draining"}, _decision_types.UpstreamState.LEAVING),
    ],
)
async def test_a_heartbeat_becomes_an_announcement(
    tmp_path: pathlib.Path,
    changes: dict[str, t.Any],
    state: _decision_types.UpstreamState,
) -> None:
    node = FakeNode()
    body = json.dumps({**HEARTBEAT, **changes}).encode()
    assert await call(tmp_path, node, "PUT", body) == 200
    (announcement,) = node.announced
    assert announcement.state is state
    assert announcement.name == "10.1.0.8:8301/i-1"
    assert (announcement.slots, announcement.sequence) == (7, 4)


@pytest.mark.anyio
@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"service": "other"},
        {"address": "10.1.0.9:8301"},
        {"maxConcurrency": "7"},
        {"sequence": None},
        {"born": 1.5},
        {"address": "10.1.0.8:70000"},
        {"sequence": NESTED},
    ],
)
async def test_an_invalid_heartbeat_announces_nothing(
    tmp_path: pathlib.Path, changes: dict[str, t.Any]
) -> None:
    node = FakeNode()
    body = json.dumps({**HEARTBEAT, **changes}).encode()
    assert await call(tmp_path, node, "PUT", body) == 400
    assert not node.announced


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("body", "started_ms"), [(b"", None), (b'{"born": 12}', 12), (b"x", None)]
)
async def test_a_deregistration_is_accepted_with_and_without_a_body(
    tmp_path: pathlib.Path, body: bytes, started_ms: int | None
) -> None:
    node = FakeNode()
    assert await call(tmp_path, node, "DELETE", body) == 200
    assert node.withdrawn == [("i-1", started_ms)]
