"""Joins the parts of control on one node: config, claims and permits.

Every node has the clients; a control replica also hosts the groups.
"""

from __future__ import annotations

import collections.abc as cabc
import random
import typing as t

import anyio
import anyio.abc
import msgspec

from papayastall import _claims
from papayastall import _config_service
from papayastall import _control_calls
from papayastall import _control_commands as commands
from papayastall import _control_state
from papayastall import _formation
from papayastall import _peering
from papayastall import _permits
from papayastall import exceptions

if t.TYPE_CHECKING:
    from papayastall._replica import ReplicaHost

__all__ = ["ControlHooks", "ControlPlane", "ControlSettings"]

CLOSE_TIMEOUT_S = 5.0


class ControlSettings(msgspec.Struct, frozen=True):
    """What a node knows of control.

    :param node: its own link address.
    :param control: link addresses of the control replicas.
    :param claim_groups: number of groups that hold claims.
    :param data_folder: of a control replica; ``None`` on other nodes.
    :param formation: how the groups form and grow.
    :param with_permits: whether upstreams may be ejected.
    :param epoch: start of this process; greater at each start.
    """

    node: str
    control: tuple[str, ...]
    claim_groups: int
    data_folder: str | None
    epoch: int
    formation: _formation.Formation = _formation.Formation()
    with_permits: bool = True


class ControlHooks(msgspec.Struct, frozen=True):
    """What control asks of the rest of the node and tells it.

    :param list_members: link addresses of the other live members.
    :param put_in_force: told of changed documents and their index.
    :param list_reports: this owner's upstreams as they are now.
    :param permit_answered: told whether an ejection is granted.
    :param replica_failed: told why the replicas here stopped for good.
    :param observe_slots: healthy slots of a service at each live owner.
    """

    list_members: cabc.Callable[[], list[str]]
    put_in_force: _config_service.PutInForce
    list_reports: _permits.ListReports
    permit_answered: cabc.Callable[[str, bool], None]
    replica_failed: cabc.Callable[[exceptions.PapayastallError], None]
    observe_slots: _control_calls.ObserveSlots | None = None


class ControlPlane:
    """Config, claims and permits of one node."""

    def __init__(
        self,
        settings: ControlSettings,
        peering: _peering.Peering,
        hooks: ControlHooks,
        rng: random.Random,
    ) -> None:
        self.host: ReplicaHost | None = None
        server = None
        state = _control_state.ControlState()
        if settings.data_folder is not None:
            # Most nodes hold no replica and do without these modules.
            from papayastall import _replica

            groups = range(settings.claim_groups)
            states: list[_control_calls.GroupState] = [
                state,
                *(_control_state.ClaimGroupState() for _ in groups),
            ]
            self.host = _replica.ReplicaHost(
                _replica.ReplicaSettings(
                    settings.control,
                    settings.node,
                    settings.data_folder,
                    formation=settings.formation,
                ),
                peering,
                states,
                on_failure=hooks.replica_failed,
            )
            server = _control_calls.GroupServer(
                peering, self.host, states, hooks.observe_slots
            )
        self.group_client = _control_calls.GroupClient(
            settings.node, peering, settings.control, rng, server
        )
        self.config = _config_service.ConfigService(
            settings.node,
            peering,
            self.group_client,
            settings.control,
            hooks.list_members,
            hooks.put_in_force,
            rng,
        )
        if self.host is not None:
            state.listener = self.config.make_listener()
            self.config.use_host(self.host)
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

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the replicas, if any are here, and the clients."""
        if self.host is not None:
            await self.host.start(tasks)
        await self.config.start(tasks)
        await self.claims.start(tasks)
        if isinstance(self.permits, _permits.PermitClient):
            await self.permits.start(tasks)

    def set_control(
        self, replicas: cabc.Sequence[str], join_targets: cabc.Sequence[str]
    ) -> None:
        """Take in which nodes hold control, as membership knows them.

        :param join_targets: these and the seeds: whom a replica without a
            group asks, and a node that does not know its config yet.
        """
        self.group_client.set_control(replicas)
        self.config.set_control(join_targets)
        if self.host is not None:
            self.host.set_join_targets(tuple(join_targets))

    def find_leader(self) -> str | None:
        """Return the leader of group 0, if a replica here knows it."""
        if self.host is None:
            return None
        return self.host.leader(commands.CONTROL_GROUP)

    def find_failure(self) -> str | None:
        """Return why the replica on this node stopped, if it did."""
        if self.host is None or self.host.failure is None:
            return None
        return str(self.host.failure)

    async def close(self) -> None:
        """Finish what is to be recorded, then stop the replicas."""
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            await self.claims.close()
        if self.host is not None:
            await self.host.close()
