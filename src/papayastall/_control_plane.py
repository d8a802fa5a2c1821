"""The control services of one node: config, claims and permits.

Every node runs the clients; a control replica also hosts the groups.
"""

from __future__ import annotations

import collections.abc as cabc
import random
import typing as t

import anyio
import anyio.abc
import msgspec
import msgspec.structs

from papayastall import _claims
from papayastall import _config_service
from papayastall import _control_calls
from papayastall import _control_commands as commands
from papayastall import _control_state
from papayastall import _formation
from papayastall import _group_folder
from papayastall import _peering
from papayastall import _permits
from papayastall import exceptions
from papayastall import logs
from papayastall import metrics

if t.TYPE_CHECKING:
    from papayastall._replica import ReplicaHost

__all__ = ["ControlHooks", "ControlPlane", "ControlSettings"]

CLOSE_TIMEOUT_S = 5.0
REOPEN_INTERVAL_S = 0.5
"""Interval at which a replica on a full disk tries to write again."""


class ControlSettings(msgspec.Struct, frozen=True):
    """Settings of a node's control services.

    :param node: link address of this node.
    :param control: link addresses of the control replicas.
    :param claim_groups: number of groups that hold claims.
    :param data_folder: folder of a control replica; ``None`` on other nodes.
    :param group_folder: creates and removes that folder; ``None`` if an
        operator does so.
    :param epoch: identifies this process; greater at each start.
    :param formation: how the groups are bootstrapped and resized.
    :param with_permits: whether upstreams may be ejected.
    """

    node: str
    control: tuple[str, ...]
    claim_groups: int
    data_folder: str | None
    epoch: int
    formation: _formation.Formation = _formation.Formation()
    group_folder: _group_folder.GroupFolder | None = None
    with_permits: bool = True


class ControlHooks(msgspec.Struct, frozen=True):
    """Callbacks from the control services to the rest of the node.

    :param list_members: returns the link addresses of the other live members.
    :param put_in_force: called with a new config index and the changed
        documents.
    :param list_reports: returns the current state of this owner's upstreams.
    :param permit_answered: called with an upstream and whether its ejection
        is granted.
    :param replica_failed: called with the error that stopped the replicas
        of this node for good.
    :param observe_slots: returns the healthy slots of a service by live
        owner.
    :param member_poll: finds members that lack a config index.
    """

    list_members: cabc.Callable[[], list[str]]
    put_in_force: _config_service.PutInForce
    list_reports: _permits.ListReports
    permit_answered: cabc.Callable[[str, bool], None]
    replica_failed: cabc.Callable[[exceptions.PapayastallError], None]
    observe_slots: _control_calls.ObserveSlots | None = None
    member_poll: _config_service.MemberPoll | None = None


class ControlPlane:
    """Control clients of one node, and its replicas if it has any."""

    def __init__(
        self,
        settings: ControlSettings,
        peering: _peering.Peering,
        hooks: ControlHooks,
        rng: random.Random,
        counters: metrics.Metrics,
    ) -> None:
        self.host: ReplicaHost | None = None
        self._settings = settings
        self._peering = peering
        self._hooks = hooks
        self._tasks: anyio.abc.TaskGroup | None = None
        self._formation = settings.formation
        self._is_closing = False
        self.group_client = _control_calls.GroupClient(
            settings.node, peering, settings.control, rng
        )
        self.config = _config_service.ConfigService(
            settings.node,
            peering,
            self.group_client,
            settings.control,
            hooks.list_members,
            hooks.put_in_force,
            rng,
            counters,
            hooks.member_poll,
        )
        if settings.data_folder is not None:
            self._make_host(settings.data_folder)
        self.claims = _claims.ClaimClient(
            self.group_client, settings.claim_groups
        )
        self.permits: _permits.PermitClient | _permits.NoPermits
        if not settings.with_permits:
            self.permits = _permits.NoPermits(hooks.permit_answered)
            return
        self.permits = _permits.PermitClient(
            settings.node,
            settings.epoch,
            self.group_client,
            hooks.list_reports,
            lambda: self.config.index,
            hooks.permit_answered,
        )

    def _make_host(self, data_folder: str) -> None:
        """Make the replicas of this node, with empty state machines."""
        # Most nodes host no replica; they skip loading these modules.
        from papayastall import _replica

        settings = self._settings
        groups = range(settings.claim_groups)
        states: list[_control_calls.GroupState] = [
            _control_state.ControlState(self.config.make_listener()),
            *(_control_state.ClaimGroupState() for _ in groups),
        ]
        self.host = _replica.ReplicaHost(
            _replica.ReplicaSettings(
                settings.control,
                settings.node,
                data_folder,
                formation=self._formation,
            ),
            self._peering,
            states,
            on_failure=self._handle_failure,
        )
        self.config.use_host(self.host)
        self.group_client.use_local(
            _control_calls.GroupServer(
                self._peering, self.host, states, self._hooks.observe_slots
            )
        )

    def _handle_failure(self, error: exceptions.PapayastallError) -> None:
        # Imported here so that nodes without a replica don't load it.
        from papayastall import _data_folder

        excluded = error.code is exceptions.ErrorCode.FOLDER_EXCLUDED
        folder = self._settings.group_folder
        if folder is None or self._tasks is None:
            self._hooks.replica_failed(error)
        elif excluded:
            self._tasks.start_soon(self._rejoin, folder, error)
        elif _data_folder.is_out_of_space(error):
            self._tasks.start_soon(self._reopen, folder, error)
        else:
            self._hooks.replica_failed(error)

    async def _rejoin(
        self,
        folder: _group_folder.GroupFolder,
        error: exceptions.PapayastallError,
    ) -> None:
        """Replace an excluded data folder, and join the groups anew.

        The new folder has another identity, so nothing that the old one
        voted for or acknowledged counts for it.
        """
        assert self.host is not None
        _log_folder_change(folder, "excluded", "joining anew", error)
        await self.host.close()
        folder.give_up()
        await folder.prepare()
        self._formation = msgspec.structs.replace(
            self._formation, may_found=False
        )
        await self._start_anew(folder)

    async def _reopen(
        self,
        folder: _group_folder.GroupFolder,
        error: exceptions.PapayastallError,
    ) -> None:
        """Read a data folder again whose disk was full, and go on from it.

        As long as the disk stays full, opening the folder fails and leads
        here again.
        """
        assert self.host is not None
        _log_folder_change(folder, "full", "opening again", error)
        await self.host.close()
        await anyio.sleep(REOPEN_INTERVAL_S)
        await self._start_anew(folder)

    async def _start_anew(self, folder: _group_folder.GroupFolder) -> None:
        """Replace the replicas by others, with empty state machines."""
        if self._is_closing:
            return
        self._make_host(folder.path)
        assert self.host is not None
        assert self._tasks is not None
        await self.host.start(self._tasks)

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the replicas of this node, if any, and the clients."""
        self._tasks = tasks
        if self.host is not None:
            await self.host.start(tasks)
        await self.config.start(tasks)
        await self.claims.start(tasks)
        if isinstance(self.permits, _permits.PermitClient):
            await self.permits.start(tasks)

    def set_control(
        self, replicas: cabc.Sequence[str], join_targets: cabc.Sequence[str]
    ) -> None:
        """Set the addresses of the control replicas known to membership.

        :param replicas: control replicas that commands are sent to.
        :param join_targets: the replicas and the seeds; asked by a replica
            that is in no group and by a node without a confirmed config.
        """
        self.group_client.set_control(replicas)
        self.config.set_control(join_targets)
        if self.host is not None:
            self.host.set_join_targets(tuple(join_targets))

    def find_leader(self) -> str | None:
        """Return the leader of group 0, if a local replica knows it."""
        if self.host is None:
            return None
        return self.host.leader(commands.CONTROL_GROUP)

    def find_failure(self) -> str | None:
        """Return the error that stopped this node's replicas, if any."""
        if self.host is None or self.host.failure is None:
            return None
        return str(self.host.failure)

    async def close(self) -> None:
        """Finish recording outcomes, then stop the replicas."""
        self._is_closing = True
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            await self.claims.close()
        if self.host is not None:
            await self.host.close()


def _log_folder_change(
    folder: _group_folder.GroupFolder,
    before: str,
    after: str,
    error: exceptions.PapayastallError,
) -> None:
    logs.log_change(
        logs.StateChange(
            logs.ChangeKind.STORAGE,
            folder.path,
            before,
            after,
            error.message,
        )
    )
