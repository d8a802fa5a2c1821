"""Test of the lease on the keys with processes that are suspended.

Guards against a node that goes on with its lease after a suspension, and
against a suspended leader that ends the leases of the others.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal

import orjson
import pytest

from tests import fleet as fleets

SUSPENDED_S = 6.5
RENEW_TIMEOUT_S = 15.0

pytestmark = pytest.mark.anyio


def read_states(folder: pathlib.Path, domain: str) -> list[str]:
    """Return the states of a node's lease, from its log."""
    lines = (folder / f"{domain}.log").read_text().splitlines()
    return [
        line["after"]
        for line in map(orjson.loads, lines)
        if line.get("message_type") == "papayastall:keys"
    ]


async def wait_for_states(
    folder: pathlib.Path, domain: str, states: list[str]
) -> None:
    async with asyncio.timeout(RENEW_TIMEOUT_S):
        while read_states(folder, domain) != states:
            await asyncio.sleep(0.1)


# Node 0 is the one that control prefers as its leader.
@pytest.mark.parametrize("number", [0, 1])
async def test_only_a_suspended_node_loses_its_lease(
    number: int, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    text = fleets.SETTINGS + "key_revocation_ms = 5000\n"
    monkeypatch.setattr(fleets, "SETTINGS", text)
    async with fleets.Fleet(tmp_path, [[0], [1], [2]]) as fleet:
        for domain in fleets.DOMAINS:
            await wait_for_states(tmp_path, domain, ["confirmed"])
        fleet.signal_node(number, signal.SIGSTOP)
        await asyncio.sleep(SUSPENDED_S)
        fleet.signal_node(number, signal.SIGCONT)
        suspended = fleets.DOMAINS[number]
        states = ["confirmed", "unconfirmed", "confirmed"]
        await wait_for_states(tmp_path, suspended, states)
        for domain in set(fleets.DOMAINS) - {suspended}:
            assert read_states(tmp_path, domain) == ["confirmed"]
