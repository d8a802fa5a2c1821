"""A node's part in the replicated control state.

Every node calls the control replicas for config, claims and permits; a
node whose settings name a data folder hosts a replica of each group.
"""

from __future__ import annotations

import collections.abc as cabc
import random

import anyio.abc

from papayastall import _claims
from papayastall import _config_service
from papayastall import _control_calls
from papayastall import _control_commands as commands
from papayastall import _control_state
from papayastall import _links
from papayastall import _permits
from papayastall import _replica
from papayastall import documents
from papayastall import exceptions
from papayastall import logs
from papayastall import settings

__all__ = ["ControlPlane", "ControlPorts"]


class ControlPorts:
    """What the control plane reads of its node and tells it.

    The node overrides all of it.
    """

    def list_others(self) -> list[str]:
        """Return the link addresses of the other live members."""
        raise NotImplementedError

    def list_reports(self) -> cabc.Iterable[commands.UpstreamReport]:
        """Return the upstreams that this node owns."""
        raise NotImplementedError

    def observe_slots(self, service: str) -> dict[str, int]:
        """Return the slots that each live owner offers of a service."""
        raise NotImplementedError

    def put_in_force(
        self, index: int, changed: list[documents.Document]
    ) -> None:
        """Serve by these documents from now on."""
        raise NotImplementedError

    def permit_answered(self, upstream: str, granted: bool) -> None:
        """Take in the answer to an ejection's permit."""
        raise NotImplementedError


class ControlPlane:
    """Config, claims and permits of one node, and its replicas if any.

    :param epoch: start of this process; greater at each start.
    """

    def __init__(
        self,
        node_settings: settings.NodeSettings,
        links: _links.Links,
        ports: ControlPorts,
        epoch: int,
        rng: random.Random,
    ) -> None:
        self._settings = node_settings
        self._links = links
        self._ports = ports
        address = node_settings.link_address
        control = [str(peer) for peer in node_settings.control_replicas]
        self.caller = _control_calls.GroupCaller(address, links, control, rng)
        self.config = _config_service.ConfigService(
            address,
            links,
            self.caller,
            control,
            ports.list_others,
            ports.put_in_force,
            rng,
        )
        self.claims = _claims.ClaimClient(
            self.caller, node_settings.claim_groups
        )
        self.permits = _permits.PermitClient(
            address,
            epoch,
            self.caller,
            ports.list_reports,
            lambda: self.config.index,
            ports.permit_answered,
        )
        self.host: _replica.ReplicaHost | None = None
        if node_settings.is_control_replica:
            self.host = self._make_host(control)

    def _make_host(self, control: list[str]) -> _replica.ReplicaHost:
        states: list[_control_calls.GroupState] = [
            _control_state.ControlState(self.config.make_listener())
        ]
        for _ in range(self._settings.claim_groups):
            states.append(_control_state.ClaimGroupState())
        host = _replica.ReplicaHost(
            _replica.ReplicaSettings(
                tuple(control),
                self._settings.link_address,
                str(self._settings.data_folder),
            ),
            self._links,
            states,
            on_failure=self._note_failure,
        )
        _control_calls.GroupServer(
            self._links, host, states, self._ports.observe_slots
        )
        self.config.use_host(host)
        return host

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the replicas, then everything that calls them.

        :raises papayastall.exceptions.StorageError: the data folder can't
            be used.
        """
        if self.host is not None:
            await self.host.start(tasks)
        await self.config.start(tasks)
        await self.claims.start(tasks)
        await self.permits.start(tasks)

    async def close(self) -> None:
        """Record what is known of claims, then stop the replicas."""
        await self.claims.close()
        if self.host is not None:
            await self.host.close()

    def leaders(self) -> list[str | None]:
        """Return the leader of each group as a replica here knows it."""
        if self.host is None:
            return []
        groups = 1 + self._settings.claim_groups
        return [self.host.leader(group) for group in range(groups)]

    def _note_failure(self, error: exceptions.PapayastallError) -> None:
        logs.log_change(
            logs.StateChange(
                logs.ChangeKind.STORAGE,
                self._settings.link_address,
                "running",
                "stopped",
                str(error),
            )
        )
