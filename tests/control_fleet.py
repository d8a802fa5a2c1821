"""In-process fleet: control replicas on real files, and their clients."""

from __future__ import annotations

import collections.abc as cabc
import pathlib
import random

import anyio
import anyio.abc

from papayastall import _claims
from papayastall import _config_service
from papayastall import _control_calls
from papayastall import _control_commands as commands
from papayastall import _control_state
from papayastall import _data_folder
from papayastall import _permits
from papayastall import _raft_types as types
from papayastall import _replica
from papayastall import documents
from tests import fake_peering

CONTROL = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
CLAIM_GROUPS = 2
GOSSIP_INTERVAL_S = 0.1
TIMINGS = types.Timings(
    heartbeat_s=0.05,
    election_min_s=0.4,
    election_max_s=0.8,
    lease_s=0.3,
    join_interval_s=0.1,
)


class Node:
    """The control clients of one node, and its replicas if it has any.

    :ivar in_force: revision in force of each document, by name.
    :ivar index: config index in force.
    :ivar reports: upstreams that the permit client reports.
    :ivar permits_answered: upstream and decision of each answered request.
    """

    def __init__(self, fleet: Fleet, address: str, epoch: int) -> None:
        self.address = address
        self.in_force: dict[str, int] = {}
        self.index = 0
        self.reports: list[commands.UpstreamReport] = []
        self.permits_answered: list[tuple[str, bool]] = []
        self.host: _replica.ReplicaHost | None = None
        peering = fleet.network.add(address)
        rng = random.Random(epoch)
        group_client = _control_calls.GroupClient(
            address, peering, CONTROL, rng
        )
        self.config = _config_service.ConfigService(
            address,
            peering,
            group_client,
            CONTROL,
            lambda: [a for a in fleet.nodes if a != address],
            self._put_in_force,
            rng,
        )
        self.claims = _claims.ClaimClient(group_client, CLAIM_GROUPS)
        self.permits = _permits.PermitClient(
            address,
            epoch,
            group_client,
            lambda: self.reports,
            lambda: self.index,
            lambda upstream, granted: self.permits_answered.append(
                (upstream, granted)
            ),
        )
        if address in CONTROL:
            states: list[_control_calls.GroupState] = [
                _control_state.ControlState(self.config.make_listener())
            ]
            for _ in range(CLAIM_GROUPS):
                states.append(_control_state.ClaimGroupState())
            self.host = _replica.ReplicaHost(
                _replica.ReplicaSettings(
                    CONTROL, address, str(fleet.folder / address), TIMINGS
                ),
                peering,
                states,
                seed=epoch,
            )
            _control_calls.GroupServer(peering, self.host, states)
            self.config.use_host(self.host)

    def _put_in_force(
        self, index: int, changed: list[_config_service.ConfigItem]
    ) -> None:
        assert index > self.index, "the config index must grow"
        self.index = index
        for document in changed:
            assert isinstance(document, documents.Document)
            known = self.in_force.get(document.name, 0)
            assert document.revision > known, "a document revision must grow"
            self.in_force[document.name] = document.revision

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        if self.host is not None:
            await self.host.start(tasks)
        await self.config.start(tasks)
        await self.claims.start(tasks)
        await self.permits.start(tasks)


class Fleet:
    """Nodes that can be stopped, restarted and cut off from the others.

    A restarted node keeps only the files of its replica.
    """

    def __init__(
        self, folder: pathlib.Path, tasks: anyio.abc.TaskGroup
    ) -> None:
        self.folder = folder
        self.network = fake_peering.Network(tasks)
        self.nodes: dict[str, Node] = {}
        self._tasks = tasks
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._epoch = 0
        tasks.start_soon(self._gossip)

    async def _gossip(self) -> None:
        """Exchange config indexes as the datagrams of gossip do."""
        rng = random.Random(0)
        while True:
            await anyio.sleep(GOSSIP_INTERVAL_S)
            for node in list(self.nodes.values()):
                peer = rng.choice(list(self.nodes.values()))
                if (peer.address, node.address) not in self.network.cuts:
                    node.config.observe(peer.address, peer.index)

    async def start(self, address: str) -> Node:
        """Start or restart a node."""
        self._epoch += 1
        if address in CONTROL and not (self.folder / address).exists():
            _data_folder.create_data_folder(
                str(self.folder / address), 1 + CLAIM_GROUPS
            )
        node = Node(self, address, self._epoch)
        started = anyio.Event()
        self._tasks.start_soon(self._run, node, started)
        await started.wait()
        return node

    async def _run(self, node: Node, started: anyio.Event) -> None:
        async with anyio.create_task_group() as tasks:
            await node.start(tasks)
            self.nodes[node.address] = node
            self._scopes[node.address] = tasks.cancel_scope
            started.set()

    async def kill(self, address: str) -> None:
        """Stop a node at once; the files of its replica are kept."""
        node = self.nodes.pop(address)
        self.network.nodes.pop(address, None)
        if node.host is not None:
            await node.host.close()
        self._scopes.pop(address).cancel()

    async def find_leader(self, group: int = 0) -> str:
        while True:
            for node in list(self.nodes.values()):
                if node.host and node.host.leader(group) in self.nodes:
                    return str(node.host.leader(group))
            await anyio.sleep(0.02)

    async def wait_ready(self) -> None:
        while not all(n.config.is_ready() for n in self.nodes.values()):
            await anyio.sleep(0.02)

    async def close(self) -> None:
        for address in list(self.nodes):
            await self.kill(address)


async def run_fleet(
    folder: pathlib.Path,
    nodes: int,
    body: cabc.Callable[[Fleet], cabc.Awaitable[None]],
) -> None:
    """Run ``body`` with a fleet of the control nodes and ``nodes`` others."""
    with anyio.fail_after(60):
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(folder, tasks)
            for address in CONTROL:
                await fleet.start(address)
            for number in range(nodes):
                await fleet.start(f"10.0.1.{number}:1")
            await fleet.wait_ready()
            await body(fleet)
            await fleet.close()
            tasks.cancel_scope.cancel()
