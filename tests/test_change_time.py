"""Tests of the time until control accepts a change of routes.

Twelve control replicas with the real log, state machine and clients run on
virtual time. An operator sends each change until it is accepted.
"""

from __future__ import annotations

import collections.abc as cabc
import os
import pathlib
import random
import typing as t

import anyio
import anyio.abc
import pytest

from papayastall import _config_service
from papayastall import _control_calls
from papayastall import _control_commands as commands
from papayastall import _control_state
from papayastall import _data_folder
from papayastall import _formation
from papayastall import _peering
from papayastall import _replica
from papayastall import clock
from papayastall import exceptions
from papayastall import route_table
from tests import config_fleet
from tests import fake_peering

REPLICAS = 12
VOTERS = 7
LINK_DELAY_S = 0.001
IO_S = 0.0005
FORMATION_S = 8.0
ACKNOWLEDGED_LIMIT_S = 4.0
"""The users' bound for an acknowledgement."""
ACCEPTED_LIMIT_S = ACKNOWLEDGED_LIMIT_S - _config_service.IN_FORCE_TIMEOUT_S
"""The same without the wait for nodes."""
FIRST_CALL_LIMIT_S = (
    config_fleet.OPERATOR_CALL_S - _config_service.IN_FORCE_TIMEOUT_S
)
"""Time in which a call has to commit a change, so that its acknowledgement
comes before the operator gives the call up."""


class SlowHost(_replica.ReplicaHost):
    """Replica whose disk operations take a given time.

    :ivar io_s: time of each operation.
    """

    io_s = IO_S

    async def _run_in_thread(self, call: cabc.Callable[[], t.Any]) -> t.Any:
        result = call()
        await anyio.sleep(self.io_s)
        return result


class FreezablePeering(fake_peering.FakePeering):
    """Links on which a suspended node neither sends nor answers."""

    def __init__(self, fleet: ControlFleet, address: str) -> None:
        super().__init__(fleet.network, address)
        self._fleet = fleet

    def cast(self, peer: str, channel: _peering.Channel, body: bytes) -> None:
        self._network.tasks.start_soon(self._cast, peer, channel, body)

    async def _cast(
        self, peer: str, channel: _peering.Channel, body: bytes
    ) -> None:
        await anyio.sleep(LINK_DELAY_S)
        if not {self._address, peer} & self._fleet.suspended:
            super().cast(peer, channel, body)

    async def call(
        self,
        peer: str,
        channel: _peering.Channel,
        body: bytes,
        timeout_s: float,
    ) -> bytes:
        with anyio.move_on_after(timeout_s):
            if peer in self._fleet.suspended:
                await anyio.sleep_forever()
            await anyio.sleep(LINK_DELAY_S)
            answer = await super().call(peer, channel, body, timeout_s)
            await anyio.sleep(LINK_DELAY_S)
            return answer
        raise exceptions.UnreachableError(
            exceptions.ErrorCode.LINK_FAILED, "no answer", step="call"
        )


class ControlFleet:
    """Control replicas that form a group, and their clients.

    :ivar suspended: addresses of suspended nodes.
    """

    def __init__(
        self, tasks: anyio.abc.TaskGroup, folder: pathlib.Path, seed: int
    ) -> None:
        self.network = fake_peering.Network(tasks)
        self.suspended: set[str] = set()
        self.hosts: dict[str, SlowHost] = {}
        self.clients: dict[str, _control_calls.GroupClient] = {}
        self.addresses = [f"10.0.0.{n}:1" for n in range(REPLICAS)]
        self.rng = random.Random(seed)
        self._tasks = tasks
        self._folder = folder
        self._version = 0

    async def start(self) -> None:
        """Start all replicas; wait until they are a group with a leader."""
        for address in self.addresses:
            self._make_replica(address)
            await self.hosts[address].start(self._tasks)
        await anyio.sleep(FORMATION_S)
        await self.order_change()

    def _make_replica(self, address: str) -> None:
        peering = FreezablePeering(self, address)
        self.network.nodes[address] = peering
        folder = str(self._folder / address)
        _data_folder.create_data_folder(folder, 1)
        states = [_control_state.ControlState()]
        host = self.hosts[address] = SlowHost(
            _replica.ReplicaSettings(
                tuple(self.addresses),
                address,
                folder,
                formation=_formation.Formation(
                    admits=True, target_voters=VOTERS, spreads_leaders=False
                ),
            ),
            peering,
            states,
            seed=self.rng.randrange(1 << 30),
        )
        client = self.clients[address] = _control_calls.GroupClient(
            address,
            peering,
            self.addresses,
            random.Random(self.rng.randrange(1 << 30)),
        )
        client.use_local(_control_calls.GroupServer(peering, host, states))

    def find_leader(self) -> str:
        """Return the leader that most running replicas follow."""
        leaders = [
            host.leader(0)
            for address, host in self.hosts.items()
            if address not in self.suspended
        ]
        leader = max(set(leaders), key=leaders.count)
        assert leader is not None
        return leader

    def running(self) -> list[str]:
        """Return the addresses of the nodes that are not suspended."""
        return [a for a in self.addresses if a not in self.suspended]

    async def order_change(self, first: str | None = None) -> float:
        """Send a change as an operator does; return the time it takes.

        :param first: the replica that is asked first.
        """
        started_s = clock.now_s()
        change = route_table.PatchTable(self._version, self._version + 1)
        text = route_table.encode_change(change)
        command = commands.Command(
            change_routes=commands.ChangeRoutes(
                route_table.digest_change(text), text
            )
        )
        pause_s = config_fleet.OPERATOR_PAUSE_S
        target = first or self.rng.choice(self.addresses)
        while clock.now_s() - started_s < ACCEPTED_LIMIT_S:
            done = anyio.Event()
            if target not in self.suspended:
                # The call goes on after the operator has given it up.
                self._tasks.start_soon(self._change, target, command, done)
            with anyio.move_on_after(config_fleet.OPERATOR_CALL_S):
                await done.wait()
                self._version += 1
                break
            await anyio.sleep(pause_s)
            pause_s *= config_fleet.OPERATOR_PAUSE_GROWTH
            target = self.rng.choice(self.addresses)
        return clock.now_s() - started_s

    async def _change(
        self, target: str, command: commands.Command, done: anyio.Event
    ) -> None:
        try:
            result = await self.clients[target].call(
                _peering.Channel.CONTROL,
                commands.CONTROL_GROUP,
                command,
                _config_service.CHANGE_TIMEOUT_S,
            )
        except exceptions.PapayastallError:
            return
        assert result.routes is not None
        assert result.routes.state in (
            commands.RoutesState.APPLIED,
            commands.RoutesState.ALREADY_APPLIED,
        )
        done.set()


Check = cabc.Callable[[ControlFleet], cabc.Awaitable[None]]
RunCheck = cabc.Callable[[int, Check], None]


@pytest.fixture
def run_check(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> RunCheck:
    """Return a function that runs a check with a fleet on virtual time."""
    return make_run_check(tmp_path, monkeypatch)


def make_run_check(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> RunCheck:
    """Return what the fixture :func:`run_check` does, for other modules."""
    # The disk is simulated, and no folder is read again.
    monkeypatch.setattr(os, "fsync", lambda _descriptor: None)
    monkeypatch.setattr(os, "fdatasync", lambda _descriptor: None)

    async def run(seed: int, check: Check) -> None:
        async with anyio.create_task_group() as tasks:
            fleet = ControlFleet(tasks, tmp_path, seed)
            await fleet.start()
            await check(fleet)
            tasks.cancel_scope.cancel()

    def run_virtually(seed: int, check: Check) -> None:
        config_fleet.run_virtually(run(seed, check), monkeypatch)

    return run_virtually


# Guards against replicas that ask the last leader that answered them, which
# is suspended, although their own log follows another one.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_first_change_after_an_election_goes_to_the_new_leader(
    seed: int, run_check: RunCheck
) -> None:
    async def check(fleet: ControlFleet) -> None:
        for address in fleet.addresses:
            await fleet.order_change(address)
        fleet.suspended.add(fleet.find_leader())
        await anyio.sleep(6.0)
        for address in fleet.running():
            assert await fleet.order_change(address) < FIRST_CALL_LIMIT_S

    run_check(seed, check)


# Guards against replicas without an answer so far that ask suspended ones for
# the leader that their own log follows.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_replica_asks_no_suspended_one_for_the_leader(
    seed: int, run_check: RunCheck
) -> None:
    async def check(fleet: ControlFleet) -> None:
        leader = fleet.find_leader()
        others = [a for a in fleet.addresses if a != leader]
        fleet.suspended.update(fleet.rng.sample(others, 2))
        await anyio.sleep(5.0)
        for address in fleet.running():
            assert await fleet.order_change(address) < FIRST_CALL_LIMIT_S

    run_check(seed, check)


# Guards against a leader whose writes take longer than an attempt of a client,
# but not long enough for an election: it would commit nothing and lead on.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("io_s", [0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 5.0])
@pytest.mark.parametrize("slow_disks", [1, 2])
def test_a_change_is_accepted_in_time_with_slow_disks(
    slow_disks: int, io_s: float, seed: int, run_check: RunCheck
) -> None:
    async def check(fleet: ControlFleet) -> None:
        leader = fleet.find_leader()
        others = [a for a in fleet.addresses if a != leader]
        slow = [leader, *fleet.rng.sample(others, slow_disks - 1)]
        for address in slow:
            fleet.hosts[address].io_s = io_s
        assert await fleet.order_change() < ACCEPTED_LIMIT_S

    run_check(seed, check)
