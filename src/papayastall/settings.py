"""Settings of one node, read from its TOML file.

Each process learns its addresses, its failure domain and where its keys
are from one file. All problems of a file are reported at once.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import enum
import pathlib
import tomllib
import typing as t

from papayastall import _checking
from papayastall import exceptions

__all__ = [
    "ControlGroupSettings",
    "NodeSettings",
    "RoutingKind",
    "SETTINGS_VERSION",
    "TlsSettings",
    "load_node_settings",
    "parse_node_settings",
]

SETTINGS_VERSION = 1

MAX_CONTROL_REPLICAS = 20


class RoutingKind(enum.Enum):
    """How requests find their service."""

    DOCUMENTS = "documents"
    TABLE = "table"


@dataclasses.dataclass(slots=True, frozen=True)
class ControlGroupSettings:
    """A control group that admits replicas as they come.

    :param may_found: the fleet starts for the first time.
    :param target_voters: while there are more, a silent one is removed.
    """

    may_found: bool
    target_voters: int


@dataclasses.dataclass(slots=True, frozen=True)
class TlsSettings:
    """Files for mutual TLS on the links between nodes, in PEM form."""

    certificate_file: pathlib.Path
    key_file: pathlib.Path
    authority_file: pathlib.Path


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class NodeSettings:
    """Settings of one node.

    :param caller_address: where callers send their HTTP requests; left out
        on a node that serves control only.
    :param control_address: HTTP for announcements and for operators.
    :param link_address: TCP from other nodes; also names this node.
    :param link_listen_address: where to listen for links, if the others
        reach ``link_address`` by a forwarded port.
    :param gossip_address: UDP from other nodes.
    :param seeds: gossip addresses of nodes to join through.
    :param control_replicas: link addresses of the first control replicas.
    :param data_folder: folder of the control state, made by ``init``;
        set exactly on the control replicas.
    :param claim_groups: number of replicated groups that hold claims.
    :param cluster_key_file: secret that all nodes use for datagrams.
    :param operator_token_file: secret that operators show.
    :param upstream_token_file: secret that upstreams show to announce.
    :param insecure: whether keys and tokens may be left out.
    :param routing: whether documents or one route table route requests.
    :param local_service: service that runs beside this node.
    :param control_group: how control forms where its members are not all
        known at the start; ``control_replicas`` found it then.
    :param retry_ratio: extra attempts per request, with a route table.
    :param retry_slack: extra attempts of the whole fleet in any window,
        beyond the ratio.
    :param retry_window_s: length of these windows, seconds.
    :param statsd_address: UDP that metrics are sent to, if any.
    :param metrics_address: HTTP where metrics are scraped, if anywhere.
    :param leave_notice_ms: for how long a stopping node takes requests.
    :param log_file: where log lines go; standard error when left out.
    """

    version: int
    control_address: _checking.Address
    link_address: _checking.Address
    gossip_address: _checking.Address
    failure_domain: str
    region: str
    seeds: list[_checking.Address]
    control_replicas: list[_checking.Address]
    caller_address: _checking.Address | None = None
    routing: RoutingKind = RoutingKind.DOCUMENTS
    local_service: str = ""
    control_group: ControlGroupSettings | None = None
    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    retry_window_s: float = 10.0
    link_listen_address: _checking.Address | None = None
    data_folder: pathlib.Path | None = None
    claim_groups: int = 4
    tls: TlsSettings | None = None
    cluster_key_file: pathlib.Path | None = None
    operator_token_file: pathlib.Path | None = None
    upstream_token_file: pathlib.Path | None = None
    insecure: bool = False
    statsd_address: _checking.Address | None = None
    metrics_address: _checking.Address | None = None
    log_file: pathlib.Path | None = None
    leave_notice_ms: _checking.Milliseconds = _checking.Milliseconds(2_000)
    shutdown_timeout_ms: _checking.Milliseconds = _checking.Milliseconds(
        30_000
    )

    @property
    def is_control_replica(self) -> bool:
        """Whether this node holds a replica of the control state."""
        if self.control_group is not None:
            return self.data_folder is not None
        return self.link_address in self.control_replicas


def load_node_settings(path: str | pathlib.Path) -> NodeSettings:
    """Read and check a settings file.

    :raises papayastall.exceptions.BadInputError: the file can't be read
        or has problems; the message lists all of them.
    """
    path = pathlib.Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_SETTINGS,
            f"can't read {path}: {error}; give a readable TOML file",
            step="read settings",
        ) from error
    return parse_node_settings(text, path)


def parse_node_settings(text: str, path: pathlib.Path) -> NodeSettings:
    """Check the text of a settings file.

    :param path: of the file; relative paths are resolved against its folder.
    :raises papayastall.exceptions.BadInputError: see the message.
    """
    code = exceptions.ErrorCode.BAD_SETTINGS
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise exceptions.BadInputError(
            code, f"{path} is not TOML: {error}", step="read settings"
        ) from error
    converter = _checking.make_converter(path.absolute().parent)
    settings, problems = _checking.structure(converter, raw, NodeSettings)
    problems.extend(_find_contradictions(raw))
    _checking.raise_problems(code, str(path), problems)
    assert settings is not None
    return settings


def _find_contradictions(
    raw: dict[str, t.Any],
) -> cabc.Iterator[_checking.Problem]:
    """Compare keys with each other, also when single ones are wrong."""
    yield from _check_version(raw)
    yield from _check_control(raw)
    yield from _check_roles(raw)
    yield from _check_ports(raw)
    yield from _check_security(raw)


def _check_version(
    raw: dict[str, t.Any],
) -> cabc.Iterator[_checking.Problem]:
    version = raw.get("version", SETTINGS_VERSION)
    if type(version) is int and version != SETTINGS_VERSION:
        yield _checking.Problem(
            "version",
            f"{version} is not known to this release",
            f"write the file for version {SETTINGS_VERSION}",
        )


def _check_control(
    raw: dict[str, t.Any],
) -> cabc.Iterator[_checking.Problem]:
    replicas = raw.get("control_replicas")
    if not isinstance(replicas, list):
        return
    if "control_group" in raw:
        return
    if len(replicas) % 2 == 0 or len(replicas) > MAX_CONTROL_REPLICAS:
        yield _checking.Problem(
            "control_replicas",
            f"{len(replicas)} replicas",
            f"list an odd number, below {MAX_CONTROL_REPLICAS}: 3 or 5",
        )
    if len({str(replica) for replica in replicas}) != len(replicas):
        yield _checking.Problem(
            "control_replicas", "an address stands twice", "remove one"
        )
    is_replica = raw.get("link_address") in replicas
    if is_replica and "data_folder" not in raw:
        yield _checking.Problem(
            "data_folder",
            "is missing on a control replica",
            "name the folder that 'papayastall init' made",
        )
    if not is_replica and "data_folder" in raw:
        yield _checking.Problem(
            "data_folder",
            "link_address is not among control_replicas",
            "remove data_folder or list the address",
        )


def _check_roles(
    raw: dict[str, t.Any],
) -> cabc.Iterator[_checking.Problem]:
    if "caller_address" not in raw and "data_folder" not in raw:
        yield _checking.Problem(
            "caller_address",
            "is missing, and so is data_folder: the node would do nothing",
            "add one of them",
        )
    groups = raw.get("claim_groups")
    if type(groups) is int and groups < 0:
        yield _checking.Problem(
            "claim_groups", f"{groups} is below 0", "give 0 or more"
        )


def _check_ports(
    raw: dict[str, t.Any],
) -> cabc.Iterator[_checking.Problem]:
    keys_by_address: dict[str, str] = {}
    for key in ("caller_address", "control_address", "link_address"):
        address = raw.get(key)
        if not isinstance(address, str):
            continue
        if address in keys_by_address:
            yield _checking.Problem(
                key,
                f"is the same as {keys_by_address[address]}",
                "give each its own port",
            )
        keys_by_address[address] = key


def _check_security(
    raw: dict[str, t.Any],
) -> cabc.Iterator[_checking.Problem]:
    if raw.get("insecure") is True:
        return
    for key in (
        "tls",
        "cluster_key_file",
        "operator_token_file",
        "upstream_token_file",
    ):
        if key not in raw:
            yield _checking.Problem(
                key,
                "is missing",
                "add it, or set insecure = true on a test machine",
            )
