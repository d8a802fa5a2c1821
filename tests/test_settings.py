"""Tests of the settings file and of the validation of input."""

from __future__ import annotations

import pathlib

import pytest

from papayastall import exceptions
from papayastall import settings

GOOD = """
version = 1
caller_address = "127.0.0.1:8080"
control_address = "127.0.0.1:8081"
link_address = "127.0.0.1:7401"
gossip_address = "127.0.0.1:7401"
failure_domain = "a"
region = "r"
seeds = ["127.0.0.2:7401"]
control_replicas = ["127.0.0.1:7401"]
data_folder = "data"
insecure = true
"""

PATH = pathlib.Path("/etc/papayastall/node.toml")


def find_problems(text: str) -> str:
    with pytest.raises(exceptions.BadInputError) as caught:
        settings.parse_node_settings(text, PATH)
    assert caught.value.code is exceptions.ErrorCode.BAD_SETTINGS
    return str(caught.value)


def test_good_settings_are_read() -> None:
    node = settings.parse_node_settings(GOOD, PATH)
    assert node.link_address == "127.0.0.1:7401"
    assert node.data_folder == pathlib.Path("/etc/papayastall/data")
    assert node.is_control_replica


def test_all_problems_are_reported_at_once() -> None:
    text = (
        GOOD.replace('failure_domain = "a"', "failure_domain = 3")
        .replace('"127.0.0.1:8081"', '"host:8081"')
        .replace('region = "r"', 'regoin = "r"')
        .replace('data_folder = "data"', "shutdown_timeout_ms = 0")
        .replace("127.0.0.2:7401", "127.0.0.2:99999")
    )
    message = find_problems(text)
    for key in (
        "failure_domain: 3 is not text; give text",
        "control_address: ",
        "regoin: unknown key; remove it or use one of: version,",
        "region: is missing; add it",
        "data_folder: is missing on a control replica",
        "shutdown_timeout_ms: 0 is too small",
        "seeds[0]: port 99999",
    ):
        assert key in message


def test_keys_may_be_left_out_only_if_insecure() -> None:
    message = find_problems(GOOD.replace("insecure = true", ""))
    for key in ("tls", "cluster_key_file", "operator_token_file"):
        assert f"{key}: is missing" in message


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("version = 1", "version = 2", "version: 2 is not known"),
        ("127.0.0.1:8081", "127.0.0.1:8080", "same as caller_address"),
        ("insecure = true", "[tls]\nkey_file = 'k'", "tls.certificate_file"),
        (
            'control_replicas = ["127.0.0.1:7401"]',
            'control_replicas = ["127.0.0.2:7401"]',
            "data_folder: link_address is not among",
        ),
        (
            'control_replicas = ["127.0.0.1:7401"]',
            'control_replicas = ["127.0.0.1:7401", "127.0.0.2:7401"]',
            "control_replicas: 2 replicas",
        ),
        ("version = 1", "version = ", "is not TOML"),
    ],
)
def test_a_wrong_key_is_named(old: str, new: str, expected: str) -> None:
    assert expected in find_problems(GOOD.replace(old, new))


def test_an_unreadable_file_is_bad_input(tmp_path: pathlib.Path) -> None:
    with pytest.raises(exceptions.BadInputError, match="can't read"):
        settings.load_node_settings(tmp_path / "none.toml")
