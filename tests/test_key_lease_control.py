"""Tests of the lease on the keys with real control replicas.

They guard against elections, slow disks and lost majorities that end leases
which they should not end, or leave leases that they should end.
"""

from __future__ import annotations

import collections.abc as cabc
import functools
import pathlib
import random

import anyio
import pytest

from papayastall import _peering
from papayastall import _raft_types
from papayastall import exceptions
from papayastall import freshness
from papayastall import metrics
from tests import fake_peering
from tests import test_change_time

REVOCATION_S = 5.0
NODES = 40
SETTLE_S = 2.0
CHECK_INTERVAL_S = 0.05


class SuspendablePeering(fake_peering.FakePeering):
    """Links of a node whose calls get no answer while it is suspended."""

    def __init__(
        self, fleet: test_change_time.ControlFleet, address: str
    ) -> None:
        super().__init__(fleet.network, address)
        self._fleet = fleet
        self._links = fleet.network.nodes.setdefault(
            address, test_change_time.FreezablePeering(fleet, address)
        )
        self._calls = self._links._calls

    async def call(
        self,
        peer: str,
        channel: _peering.Channel,
        body: bytes,
        timeout_s: float,
    ) -> bytes:
        answer = await self._links.call(peer, channel, body, timeout_s)
        if self._address in self._fleet.suspended:
            raise exceptions.UnreachableError(
                exceptions.ErrorCode.LINK_FAILED, "cut off", step="call"
            )
        return answer


class ReplicaConfig:
    """The configuration of a node, which is in force at once everywhere."""

    index = 0

    def __init__(
        self, fleet: test_change_time.ControlFleet, address: str
    ) -> None:
        self._host = fleet.hosts.get(address)

    def find_leader(self) -> str | None:
        return None if self._host is None else self._host.leader(0)

    async def find_index_as_leader(self) -> int | None:
        assert self._host is not None
        try:
            await self._host.read_barrier(0, 0.5)
        except exceptions.PapayastallError:
            return None
        return self.index

    def note_latest(self, asked_s: float, index: int) -> None:
        return

    def use_refresh(
        self, refresh: cabc.Callable[[float], cabc.Awaitable[None]]
    ) -> None:
        return


class Leases:
    """The leases of all control replicas and of other nodes."""

    def __init__(self, fleet: test_change_time.ControlFleet) -> None:
        self._fleet = fleet
        self._others = [f"10.0.1.{number}:1" for number in range(NODES)]
        self.addresses = [*fleet.addresses, *self._others]
        self.leases: dict[str, freshness.KeyLease] = {}

    async def start(self) -> None:
        for number, address in enumerate(self.addresses):
            config = ReplicaConfig(self._fleet, address)
            topology = freshness.Topology(
                tuple(self._fleet.addresses),
                tuple(self.addresses[number % 3 :: 3]),
                len(self.addresses),
                address in self._fleet.hosts,
            )
            lease = self.leases[address] = freshness.KeyLease(
                address,
                REVOCATION_S,
                SuspendablePeering(self._fleet, address),
                config,
                freshness.LeaseHooks(
                    config.find_leader,
                    functools.partial(lambda view: view, topology),
                ),
                random.Random(number),
                metrics.Metrics(None, address),
            )
            await lease.start(self._fleet.network.tasks)
        await anyio.sleep(SETTLE_S)

    def find_refusing(self) -> set[str]:
        refusing = set()
        for address, lease in self.leases.items():
            try:
                lease.check()
            except exceptions.RefusedError:
                refusing.add(address)
        return refusing

    async def watch(self, duration_s: float) -> set[str]:
        """Return the nodes that refuse keys at some time."""
        refusing: set[str] = set()
        for _ in range(round(duration_s / CHECK_INTERVAL_S)):
            await anyio.sleep(CHECK_INTERVAL_S)
            refusing |= self.find_refusing()
        return refusing


@pytest.fixture
def run_check(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> test_change_time.RunCheck:
    return test_change_time.make_run_check(tmp_path, monkeypatch)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_election_ends_only_the_lease_of_the_lost_leader(
    seed: int, run_check: test_change_time.RunCheck
) -> None:
    async def check(fleet: test_change_time.ControlFleet) -> None:
        leases = Leases(fleet)
        await leases.start()
        leader = fleet.find_leader()
        fleet.suspended.add(leader)
        assert await leases.watch(4.0) == set()
        assert await leases.watch(3.0) == {leader}
        assert leases.find_refusing() == {leader}

    run_check(seed, check)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("io_s", [0.2, 0.6, 1.0, 1.5])
def test_a_slow_disk_of_the_leader_ends_no_lease(
    io_s: float, seed: int, run_check: test_change_time.RunCheck
) -> None:
    async def check(fleet: test_change_time.ControlFleet) -> None:
        leases = Leases(fleet)
        await leases.start()
        fleet.hosts[fleet.find_leader()].io_s = io_s
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(order_changes, fleet)
            assert await leases.watch(12.0) == set()
            tasks.cancel_scope.cancel()

    run_check(seed, check)


async def order_changes(fleet: test_change_time.ControlFleet) -> None:
    while True:
        await fleet.order_change()
        await anyio.sleep(0.3)


@pytest.mark.parametrize("seed", [1, 2])
def test_without_a_majority_all_leases_end_until_it_is_back(
    seed: int, run_check: test_change_time.RunCheck
) -> None:
    async def check(fleet: test_change_time.ControlFleet) -> None:
        leases = Leases(fleet)
        await leases.start()
        fleet.suspended.update(fleet.addresses[1:])
        # A leader without its majority still has its lease for a while, in
        # which no change can be accepted.
        await anyio.sleep(REVOCATION_S + _raft_types.Timings().lease_s)
        assert leases.find_refusing() == set(leases.addresses)
        await anyio.sleep(10.0)
        fleet.suspended.clear()
        await anyio.sleep(5.0)
        assert await leases.watch(2.0) == set()

    run_check(seed, check)
