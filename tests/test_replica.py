"""Tests of the replica host with real files and a fake network."""

from __future__ import annotations

import collections.abc as cabc
import errno
import pathlib

import anyio
import anyio.abc
import pytest

from papayastall import _data_folder
from papayastall import _files
from papayastall import _raft_types as types
from papayastall import _replica
from papayastall import exceptions
from tests import fake_peering
from tests import raft_cluster

pytestmark = pytest.mark.anyio

ADDRESSES = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
GROUP_COUNT = 2
TIMINGS = types.Timings(
    heartbeat_s=0.05,
    election_min_s=0.4,
    election_max_s=0.8,
    lease_s=0.3,
    join_interval_s=0.1,
)


class FailingFile:
    """A file whose writes fail if they contain given data.

    :param data: is looked for in each write.
    """

    def __init__(self, file: _files.AppendFile, data: bytes) -> None:
        self._file = file
        self._data = data

    def write(self, data: bytes) -> None:
        """Write ``data``, or raise an I/O error."""
        if self._data in data:
            raise OSError(errno.EIO, "input/output error")
        self._file.write(data)

    def sync(self) -> None:
        """Sync the file."""
        self._file.sync()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Hosts:
    """Replica hosts of three nodes in one process.

    :param folder: holds a data folder for each address.
    """

    def __init__(
        self, folder: pathlib.Path, tasks: anyio.abc.TaskGroup
    ) -> None:
        self._folder = folder
        self._tasks = tasks
        self.network = fake_peering.Network(tasks)
        self.hosts: dict[str, _replica.ReplicaHost] = {}
        self.machines: dict[str, list[raft_cluster.RecordingStateMachine]] = {}

    def path(self, address: str) -> str:
        return str(self._folder / address)

    async def start(self, address: str) -> None:
        machines = [
            raft_cluster.RecordingStateMachine() for _ in range(GROUP_COUNT)
        ]
        host = _replica.ReplicaHost(
            _replica.ReplicaSettings(
                ADDRESSES, address, self.path(address), TIMINGS
            ),
            self.network.add(address),
            machines,
            seed=ADDRESSES.index(address),
        )
        await host.start(self._tasks)
        self.hosts[address] = host
        self.machines[address] = machines

    async def start_all(self) -> None:
        for address in ADDRESSES:
            _data_folder.create_data_folder(self.path(address), GROUP_COUNT)
            await self.start(address)

    async def close_all(self) -> None:
        for host in self.hosts.values():
            await host.close()

    async def leader(self, group: int) -> str:
        """Wait until all running hosts name the same leader; return it."""
        while True:
            known_leaders = {
                host.leader(group) for host in self.hosts.values()
            }
            leader = known_leaders.pop()
            if not known_leaders and leader in self.hosts:
                return leader
            await anyio.sleep(0.02)

    async def propose(self, group: int, command: bytes) -> bytes:
        """Propose at the present leader until the command is accepted."""
        while True:
            host = self.hosts[await self.leader(group)]
            try:
                return await host.propose(group, command, 5.0)
            except exceptions.PapayastallError as error:
                assert error.code in (
                    exceptions.ErrorCode.NOT_LEADER,
                    exceptions.ErrorCode.NO_LEADER,
                )
                await anyio.sleep(0.02)


async def run_hosts(
    folder: pathlib.Path, body: cabc.Callable[[Hosts], cabc.Awaitable[None]]
) -> None:
    """Run a test's body with three hosts, for 30 seconds at most."""
    with anyio.fail_after(30):
        async with anyio.create_task_group() as tasks:
            hosts = Hosts(folder, tasks)
            await hosts.start_all()
            await body(hosts)
            await hosts.close_all()


async def test_commands_are_applied_on_all_replicas_of_their_group(
    tmp_path: pathlib.Path,
) -> None:
    async def body(hosts: Hosts) -> None:
        assert await hosts.propose(0, b"a") == b"1"
        assert await hosts.propose(1, b"b") == b"1"
        leader = hosts.hosts[await hosts.leader(0)]
        await leader.read_barrier(0, 5.0)
        other = next(h for h in hosts.hosts.values() if h is not leader)
        with pytest.raises(exceptions.PapayastallError) as caught:
            await other.propose(0, b"c", 5.0)
        assert caught.value.code is exceptions.ErrorCode.NOT_LEADER
        assert caught.value.peer == await hosts.leader(0)
        for machines in hosts.machines.values():
            while [m.commands for m in machines] != [["a"], ["b"]]:
                await anyio.sleep(0.02)

    await run_hosts(tmp_path, body)


async def test_state_survives_a_restart_of_all_replicas(
    tmp_path: pathlib.Path,
) -> None:
    async def body(hosts: Hosts) -> None:
        for number in range(20):
            await hosts.propose(0, b"%d" % number)
        await hosts.close_all()
        for address in ADDRESSES:
            await hosts.start(address)
        assert await hosts.propose(0, b"last") == b"21"

    await run_hosts(tmp_path, body)


async def test_isolated_leader_is_replaced_and_reports_unknown_outcomes(
    tmp_path: pathlib.Path,
) -> None:
    """A leader without a quorum neither commits nor serves reads."""

    async def body(hosts: Hosts) -> None:
        await hosts.propose(0, b"before")
        old_leader = await hosts.leader(0)
        for address in ADDRESSES:
            hosts.network.cuts |= {
                (old_leader, address),
                (address, old_leader),
            }
        with pytest.raises(exceptions.OutcomeUnknownError):
            await hosts.hosts[old_leader].propose(0, b"maybe", 1.0)
        with pytest.raises(exceptions.PapayastallError):
            await hosts.hosts[old_leader].read_barrier(0, 0.2)
        isolated_host = hosts.hosts.pop(old_leader)
        assert await hosts.propose(0, b"after") == b"2"
        hosts.network.cuts.clear()
        hosts.hosts[old_leader] = isolated_host
        assert await hosts.propose(0, b"end") == b"3"

    await run_hosts(tmp_path, body)


async def test_failed_write_stops_the_replica_on_its_node_only(
    tmp_path: pathlib.Path,
) -> None:
    """After a failed write the log may be incomplete on that disk."""

    async def body(hosts: Hosts) -> None:
        leader = await hosts.leader(0)
        host = hosts.hosts.pop(leader)
        files = host._storage
        assert files._file is not None
        files._file = FailingFile(files._file, b"maybe")
        with pytest.raises(exceptions.OutcomeUnknownError):
            await host.propose(0, b"maybe", 2.0)
        assert host.failure is not None
        assert host.failure.code is exceptions.ErrorCode.STORAGE_FAILED
        with pytest.raises(exceptions.StorageError):
            await host.propose(0, b"again", 2.0)
        await hosts.propose(0, b"on the others")

    await run_hosts(tmp_path, body)


async def test_damaged_folder_leaves_the_rest_of_the_node_running(
    tmp_path: pathlib.Path,
) -> None:
    """``start`` records the failure instead of raising it."""

    async def body(hosts: Hosts) -> None:
        await hosts.propose(0, b"before")
        address = ADDRESSES[1]
        await hosts.hosts[address].close()
        identity = pathlib.Path(hosts.path(address)) / "identity"
        identity.write_bytes(b"damaged")
        await hosts.start(address)
        host = hosts.hosts.pop(address)
        assert host.failure is not None
        assert host.failure.code is exceptions.ErrorCode.STORAGE_DAMAGED
        assert str(identity) in str(host.failure)
        assert host.leader(0) is None
        with pytest.raises(exceptions.StorageError):
            await host.propose(0, b"refused", 1.0)
        await host.close()
        assert await hosts.propose(0, b"on the others") == b"2"

    await run_hosts(tmp_path, body)
