"""Tests of bearer tokens and of mutual TLS between nodes."""

from __future__ import annotations

import dataclasses
import pathlib
import ssl
import typing as t

import pytest

from papayastall import _credentials
from papayastall import _tls
from papayastall import exceptions
from papayastall import settings
from tests import certificates
from tests import test_settings

OPERATOR = b"operator-secret-0123"
UPSTREAM = b"upstream-secret-0123"


def make_settings(
    tls: settings.TlsSettings | None, **changes: t.Any
) -> settings.NodeSettings:
    node = settings.parse_node_settings(test_settings.GOOD, test_settings.PATH)
    return dataclasses.replace(node, tls=tls, **changes)


def handshake(client: ssl.SSLContext, server: ssl.SSLContext) -> bytes:
    """Run a TLS handshake in memory; return what the server reads."""
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    ends = [
        client.wrap_bio(to_client, to_server),
        server.wrap_bio(to_server, to_client, server_side=True),
    ]
    for _ in range(4):
        for end in ends:
            try:
                end.do_handshake()
            except ssl.SSLWantReadError:
                continue
    ends[0].write(b"frame")
    return ends[1].read(5)


def test_nodes_of_one_authority_trust_each_other(
    tmp_path: pathlib.Path,
) -> None:
    authority = certificates.Authority(tmp_path, "fleet")
    client = _tls.client_context(make_settings(authority.issue("a")))
    server = _tls.server_context(make_settings(authority.issue("b")))
    assert client is not None and server is not None
    assert handshake(client, server) == b"frame"


def test_a_foreign_or_missing_certificate_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    fleet = certificates.Authority(tmp_path, "fleet")
    other_fleet = certificates.Authority(tmp_path, "other")
    own, foreign = fleet.issue("a"), other_fleet.issue("x")
    server = _tls.server_context(make_settings(own))
    assert server is not None
    forged = dataclasses.replace(foreign, authority_file=own.authority_file)
    client = _tls.client_context(make_settings(forged))
    assert client is not None
    with pytest.raises(ssl.SSLError):
        handshake(client, server)
    anonymous = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    anonymous.check_hostname = False
    anonymous.verify_mode = ssl.CERT_NONE
    with pytest.raises(ssl.SSLError):
        handshake(anonymous, server)


def test_a_node_refuses_a_server_of_another_authority(
    tmp_path: pathlib.Path,
) -> None:
    fleet = certificates.Authority(tmp_path, "fleet")
    other_fleet = certificates.Authority(tmp_path, "other")
    client = _tls.client_context(make_settings(fleet.issue("a")))
    server = _tls.control_server_context(make_settings(other_fleet.issue("x")))
    assert client is not None and server is not None
    with pytest.raises(ssl.SSLError):
        handshake(client, server)


def test_bad_certificate_files_are_bad_input(tmp_path: pathlib.Path) -> None:
    files = settings.TlsSettings(*[tmp_path / "none"] * 3)
    with pytest.raises(exceptions.BadInputError, match="check that the"):
        _tls.server_context(make_settings(files))
    assert _tls.server_context(make_settings(None)) is None
    assert _tls.client_context(make_settings(None)) is None


def test_secrets_of_operators_and_upstreams_are_distinguished(
    tmp_path: pathlib.Path,
) -> None:
    (tmp_path / "operator").write_bytes(OPERATOR + b"\n")
    (tmp_path / "upstream").write_bytes(UPSTREAM)
    credentials = _credentials.load_credentials(
        make_settings(
            None,
            operator_token_file=tmp_path / "operator",
            upstream_token_file=tmp_path / "upstream",
        )
    )
    credentials.require_operator(b"Bearer " + OPERATOR)
    credentials.require_upstream(b"bearer " + UPSTREAM)
    for header in (None, b"", OPERATOR, b"Bearer ", b"Bearer " + UPSTREAM):
        with pytest.raises(exceptions.RefusedError) as caught:
            credentials.require_operator(header)
        assert OPERATOR.decode() not in str(caught.value)
    with pytest.raises(exceptions.RefusedError):
        credentials.require_upstream(b"Bearer " + OPERATOR)


def test_a_short_or_missing_secret_stops_the_node(
    tmp_path: pathlib.Path,
) -> None:
    short = tmp_path / "short"
    short.write_bytes(b"  12345678 \n")
    with pytest.raises(exceptions.BadInputError, match="too short"):
        _credentials.read_secret(short)
    with pytest.raises(exceptions.BadInputError, match="can't read"):
        _credentials.read_secret(tmp_path / "none")
