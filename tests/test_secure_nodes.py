"""Tests of two node processes with mutual TLS and secrets."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import pathlib
import socket
import ssl
import subprocess
import sys
import time

from demo import run as demo
import httpcore
import pytest

from papayastall import _frames
from papayastall import cli
from papayastall import settings
from tests import certificates

SECRETS = {
    "cluster.key": "cluster-secret-0123456789",
    "operator.token": "operator-secret-0123456789",
    "upstream.token": "upstream-secret-0123456789",
}

SETTINGS = """\
version = 1
caller_address = "{caller}"
control_address = "{control}"
link_address = "{link}"
gossip_address = "{gossip}"
failure_domain = "domain-{number}"
region = "r"
seeds = ["{seed}"]
control_replicas = ["{replica}"]
{data_folder}
cluster_key_file = "cluster.key"
operator_token_file = "operator.token"
upstream_token_file = "upstream.token"
log_file = "node-{number}.log"
shutdown_timeout_ms = 5000

[tls]
certificate_file = "node-{number}.pem"
key_file = "node-{number}.key"
authority_file = "fleet.pem"
"""

START_TIMEOUT_S = 30.0


class SecureFleet:
    """Two nodes with mutual TLS and secrets.

    The first one runs the only control replica.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.paths: list[pathlib.Path] = []
        for name, secret in SECRETS.items():
            (folder / name).write_text(secret)
        authority = certificates.Authority(folder, "fleet")
        ports = demo.find_free_addresses(8)
        for number in range(2):
            authority.issue(f"node-{number}")
            caller, control, link, gossip = ports[4 * number : 4 * number + 4]
            text = SETTINGS.format(
                caller=caller,
                control=control,
                link=link,
                gossip=gossip,
                number=number,
                seed=ports[3],
                replica=ports[2],
                data_folder="" if number else 'data_folder = "data"',
            )
            path = folder / f"node-{number}.toml"
            path.write_text(text)
            self.paths.append(path)
        self.nodes = [settings.load_node_settings(path) for path in self.paths]

    def start(self, stack: contextlib.ExitStack) -> None:
        """Initialize the control replica and start both nodes."""
        assert cli.main(["init", f"--settings={self.paths[0]}"]) == 0
        command = [sys.executable, "-m", "papayastall", "node", "--settings"]
        for path in self.paths:
            process = subprocess.Popen([*command, str(path)])
            stack.callback(process.wait)
            stack.callback(process.terminate)

    def start_upstream(self, stack: contextlib.ExitStack) -> None:
        """Start an emulated upstream that the second node owns."""
        (address,) = demo.find_free_addresses(1)
        folder = self.paths[0].parent
        process = subprocess.Popen(
            [
                *(sys.executable, "-m", "papayastall.emulator"),
                *(f"--address={address}", "--service=visits"),
                f"--announce={self.nodes[1].control_address}",
                f"--token-file={folder / 'upstream.token'}",
                f"--authority={folder / 'fleet.pem'}",
            ]
        )
        stack.callback(process.wait)
        stack.callback(process.terminate)


def read_status(
    node: settings.NodeSettings, authority: pathlib.Path, secret: str
) -> int:
    """Return the HTTP status of a request to the control address."""
    context = ssl.create_default_context(cafile=authority)
    context.check_hostname = False
    with httpcore.ConnectionPool(ssl_context=context) as pool:
        response = pool.request(
            "GET",
            f"https://{node.control_address}/v1/status",
            headers={"Authorization": f"Bearer {secret}"},
        )
    return response.status


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> cabc.Iterator[SecureFleet]:
    with contextlib.ExitStack() as stack:
        secure = SecureFleet(tmp_path_factory.mktemp("secure"))
        secure.start(stack)
        yield secure


def test_nodes_with_keys_form_a_fleet(
    fleet: SecureFleet, capsys: pytest.CaptureFixture[str]
) -> None:
    document = fleet.paths[0].with_name("visits.toml")
    document.write_text(demo.DOCUMENT)
    deadline_s = time.monotonic() + START_TIMEOUT_S
    argv = ["apply", "--wait", "--timeout=20", str(document)]
    code = -1
    while code != cli.ExitCode.DONE and time.monotonic() < deadline_s:
        code = cli.main([*argv, f"--settings={fleet.paths[1]}"])
        time.sleep(0.2)
    assert code == cli.ExitCode.DONE, capsys.readouterr().err
    assert cli.main(["status", f"--settings={fleet.paths[1]}"]) == 0
    assert fleet.nodes[0].link_address in capsys.readouterr().out
    with contextlib.ExitStack() as stack:
        fleet.start_upstream(stack)
        ingress = str(fleet.nodes[0].caller_address)
        demo.wait_for_status(ingress, demo.LOOKUP_PATH)
        argv = ["demo", ingress, demo.LOOKUP_PATH, demo.BOOKING_PATH]
        assert cli.main(argv) == cli.ExitCode.DONE
    assert fleet.nodes[1].link_address in capsys.readouterr().out


def test_operators_need_the_operators_secret(fleet: SecureFleet) -> None:
    node, authority = fleet.nodes[0], fleet.paths[0].with_name("fleet.pem")
    operator = SECRETS["operator.token"]
    assert read_status(node, authority, operator) == 200
    assert read_status(node, authority, SECRETS["upstream.token"]) == 401
    assert read_status(node, authority, "wrong") == 401


def send_hello_without_certificate(node: settings.NodeSettings) -> bytes:
    """Send a hello without a client certificate.

    :returns: the first byte of the answer, or nothing at its end.
    """
    host, _, port = node.link_address.rpartition(":")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    hello = _frames.Hello("127.0.0.1:1", 1, "domain-0")
    with socket.create_connection((host, int(port)), 5) as plain:
        with context.wrap_socket(plain) as link:
            link.sendall(_frames.encode(hello, 0))
            return link.recv(1)


def test_links_refuse_a_peer_without_certificate(fleet: SecureFleet) -> None:
    with contextlib.suppress(ssl.SSLError, ConnectionError):
        assert send_hello_without_certificate(fleet.nodes[0]) == b""


def test_logs_hold_no_secrets(fleet: SecureFleet) -> None:
    for number in range(2):
        text = fleet.paths[0].with_name(f"node-{number}.log").read_text()
        assert "papayastall:node" in text
        for secret in SECRETS.values():
            assert secret not in text
