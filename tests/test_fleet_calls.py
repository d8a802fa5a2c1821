"""Tests of operator calls that are forwarded between nodes."""

from __future__ import annotations

import collections.abc as cabc

import pytest

from papayastall import _fleet_calls
from papayastall import _peering
from papayastall import exceptions


class FakePeering:
    """Connects the fleet calls of several nodes; a node can be cut off."""

    def __init__(self, own: str, peers: dict[str, FakePeering]) -> None:
        self._peers = peers
        self.is_cut = False
        peers[own] = self

    def handle_casts(
        self, channel: _peering.Channel, handler: _peering.CastHandler
    ) -> None:
        """Ignore the handler: there are no casts."""

    def handle_calls(
        self, channel: _peering.Channel, handler: _peering.CallHandler
    ) -> None:
        """Keep the handler of calls from other nodes."""
        self.handler = handler

    def is_connected(self, peer: str) -> bool:
        """Return whether the other node is not cut off."""
        return not self._peers[peer].is_cut

    def cast(self, peer: str, channel: _peering.Channel, body: bytes) -> None:
        """Drop the cast."""

    async def call(
        self,
        peer: str,
        channel: _peering.Channel,
        body: bytes,
        timeout_s: float,
    ) -> bytes:
        """Run the other node's handler, unless that node is cut off."""
        if self._peers[peer].is_cut:
            raise exceptions.UnreachableError(
                exceptions.ErrorCode.LINK_FAILED, "cut", step="call", peer=peer
            )
        return await self._peers[peer].handler("caller", body)


class Fleet:
    """Two nodes with one upstream each."""

    def __init__(self) -> None:
        self.peers: dict[str, FakePeering] = {}
        self.drained: list[tuple[str, str]] = []
        self.calls = {node: self._make(node) for node in ("a", "b")}

    def _make(self, node: str) -> _fleet_calls.FleetCalls:
        row = {"upstream": f"up-{node}", "service": "s", "owner": node}

        async def drain(upstream: str) -> object:
            self.drained.append((node, upstream))
            return {"upstream": upstream}

        changes: dict[str, cabc.Callable[[str], cabc.Awaitable[object]]]
        changes = {"drain": drain}
        others = [other for other in ("a", "b") if other != node]
        return _fleet_calls.FleetCalls(
            FakePeering(node, self.peers),
            lambda: others,
            lambda: [dict(row)],
            changes,
        )


@pytest.mark.anyio
async def test_any_node_lists_and_drains_the_upstreams_of_all() -> None:
    fleet = Fleet()
    rows, unreachable = await fleet.calls["a"].list_all()
    assert [row["upstream"] for row in rows] == ["up-a", "up-b"]
    assert unreachable == []
    answer = await fleet.calls["a"].change("drain", "up-b")
    assert answer == {"upstream": "up-b"}
    await fleet.calls["a"].change("drain", "up-a")
    assert fleet.drained == [("b", "up-b"), ("a", "up-a")]


@pytest.mark.anyio
async def test_a_node_that_does_not_answer_is_named() -> None:
    fleet = Fleet()
    fleet.peers["b"].is_cut = True
    rows, unreachable = await fleet.calls["a"].list_all()
    assert [row["upstream"] for row in rows] == ["up-a"]
    assert unreachable == ["b"]
    with pytest.raises(exceptions.BadInputError, match="no answer from b"):
        await fleet.calls["a"].change("drain", "up-b")
    with pytest.raises(exceptions.BadInputError, match="no node owns 3"):
        await fleet.calls["a"].change("drain", 3)
    assert fleet.drained == []
