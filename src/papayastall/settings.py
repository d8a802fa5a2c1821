"""Settings of one node, read from its TOML file.

The file names the addresses of the node, its failure domain and the files
of its keys. All problems of a file are reported at once.
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
    """How a node finds the service of a request."""

    DOCUMENTS = "documents"
    """By the first segment of its path; see :mod:`papayastall.documents`."""
    TABLE = "table"
    """By its host and path; see :mod:`papayastall.route_table`."""


@dataclasses.dataclass(slots=True, frozen=True)
class ControlGroupSettings:
    """A control group that admits replicas at run time.

    :param may_found: whether this node may create the group; true only at
        the first start of the fleet.
    :param target_voters: while the group has more voters than this, one
        that no longer replies is removed.
    """

    may_found: bool
    target_voters: int


@dataclasses.dataclass(slots=True, frozen=True)
class TlsSettings:
    """PEM files for mutual TLS on the links between nodes."""

    certificate_file: pathlib.Path
    key_file: pathlib.Path
    authority_file: pathlib.Path


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class NodeSettings:
    """Settings of one node.

    :param version: of the settings format.
    :param caller_address: HTTP address for callers; left out on a node that
        serves control only.
    :param control_address: HTTP address for announcements of upstreams and
        for operators.
    :param link_address: TCP address for other nodes; also the name of this
        node.
    :param link_listen_address: local address to listen on for links, where
        other nodes reach ``link_address`` through port forwarding.
    :param gossip_address: UDP address for other nodes.
    :param seeds: gossip addresses of nodes to join the fleet through.
    :param control_replicas: link addresses of the first control replicas.
    :param data_folder: folder of the control state, created by ``init``;
        set on control replicas and on no other node.
    :param claim_groups: number of replicated groups that hold claims.
    :param cluster_key_file: shared secret that authenticates the gossip
        datagrams between nodes.
    :param operator_token_file: secret that operators must send.
    :param upstream_token_file: secret that upstreams must send with an
        announcement.
    :param insecure: whether keys and tokens may be left out.
    :param routing: whether requests are routed by service documents or by
        one route table.
    :param local_service: service that runs on the same VM as this node.
    :param control_group: how the control group forms where its members are
        not all known at the start; the nodes of ``control_replicas`` then
        create it.
    :param retry_ratio: extra attempts allowed per request; used with a route
        table only.
    :param retry_slack: extra attempts of the whole fleet in any window,
        beyond the ratio.
    :param retry_window_s: length of these windows, seconds.
    :param key_revocation_ms: time after the acknowledgement of a change that
        removes a key within which every node must stop accepting it, also a
        node that is cut off; without it, cut-off nodes go on.
    :param quota_window_s: length of the windows over which quotas of teams
        are counted, seconds.
    :param quota_over_ratio: share of a quota by which a window may pass it.
    :param quota_slack: requests by which a window may pass a quota besides.
    :param memory_limit_mb: memory that the process may use; that of the VM
        if left out.
    :param descriptor_limit: descriptors that the process may open; that of
        the operating system if left out.
    :param statsd_address: UDP address of the StatsD server that metrics are
        sent to, if any.
    :param metrics_address: HTTP address where metrics can be scraped, if
        any.
    :param leave_notice_ms: how long a stopping node still accepts requests;
        after it, only those whose deadline it will see.
    :param shutdown_timeout_ms: longest time that requests in flight may
        delay a stop.
    :param log_file: where log lines go; standard output when left out.
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
    key_revocation_ms: _checking.Milliseconds | None = None
    quota_window_s: float = 5.0
    quota_over_ratio: float = 0.1
    quota_slack: float = 20.0
    memory_limit_mb: int | None = None
    descriptor_limit: int | None = None
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
    :raises papayastall.exceptions.BadInputError: the text is not TOML or
        has problems; the message lists all of them.
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
    problems.extend(_find_problems(raw))
    _checking.raise_problems(code, str(path), problems)
    assert settings is not None
    return settings


def _find_problems(
    raw: dict[str, t.Any],
) -> cabc.Iterator[_checking.Problem]:
    """Compare keys of the raw input with each other.

    Values of the wrong type are skipped, so that these problems are
    reported together with those of the conversion.
    """
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
            "control_replicas",
            "an address is listed twice",
            "remove one",
        )
    is_replica = raw.get("link_address") in replicas
    if is_replica and "data_folder" not in raw:
        yield _checking.Problem(
            "data_folder",
            "is missing on a control replica",
            "set it to the folder that 'papayastall init' created",
        )
    if not is_replica and "data_folder" in raw:
        yield _checking.Problem(
            "data_folder",
            "link_address is not among control_replicas",
            "remove data_folder or add link_address to control_replicas",
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
