"""Tests of the delivery of notices."""

from __future__ import annotations

import anyio
import pytest

from papayastall import _notices
from papayastall import _peering
from tests import fake_peering

pytestmark = pytest.mark.anyio

BOUND_S = 3.0
"""The users' bound on notices of requests that crash upstreams."""
CHANNEL = _peering.Channel.SUSPECT


async def deliver(cut_s: float | None) -> tuple[bool, list[bytes]]:
    """Send a notice to a peer that is cut off for a time, or for good."""
    received: list[bytes] = []

    async def receive(_peer: str, body: bytes) -> bytes:
        received.append(body)
        return b""

    async with anyio.create_task_group() as tasks:
        network = fake_peering.Network(tasks)
        sender = network.add("a")
        network.add("b").handle_calls(CHANNEL, receive)
        network.cuts.add(("a", "b"))

        async def mend() -> None:
            if cut_s is not None:
                await anyio.sleep(cut_s)
                network.cuts.clear()

        tasks.start_soon(mend)
        with anyio.fail_after(2 * BOUND_S):
            done = await _notices.deliver_notice(sender, "b", CHANNEL, b"n")
    return done, received


# Guards against a notice that is lost because its only attempt met a link
# that was cut for a moment.
async def test_a_notice_arrives_after_a_short_cut() -> None:
    with anyio.fail_after(BOUND_S):
        assert await deliver(1.0) == (True, [b"n"])


# Guards against attempts that go on for a member that is gone.
async def test_a_notice_to_a_lost_peer_is_given_up() -> None:
    assert await deliver(None) == (False, [])
