"""Hosts the replicas of several groups in one process.

This commit fixes the interface that others build on; the methods raise
until the log and its storage are joined to it.
"""

from __future__ import annotations

import dataclasses
import typing as t

from papayastall import _peering

__all__ = ["ReplicaHost", "ReplicaSettings", "StateMachine"]


class StateMachine(t.Protocol):
    """Deterministic state that one group of replicas agrees on."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot."""


@dataclasses.dataclass(slots=True, frozen=True)
class ReplicaSettings:
    """What a control replica is told at its start.

    :param addresses: link addresses of all replicas, in the same order in
        the settings of each of them.
    :param own_address: its own link address, one of ``addresses``.
    :param data_folder: folder made by ``papayastall init``.
    :param group_count: groups in the folder; fixed when it is made.
    """

    addresses: tuple[str, ...]
    own_address: str
    data_folder: str
    group_count: int


class ReplicaHost:
    """The replicas of all groups on this node.

    :param state_machines: one for each group, by its number.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        peering: _peering.Peering,
        state_machines: t.Sequence[StateMachine],
    ) -> None:
        self.settings = settings
        self.peering = peering
        self.state_machines = state_machines

    async def start(self) -> None:
        """Open the data folder and take part in every group."""
        raise NotImplementedError

    async def close(self) -> None:
        """Hand leadership over, stop, and close the data folder."""
        raise NotImplementedError

    async def propose(
        self, group: int, command: bytes, timeout_s: float
    ) -> bytes:
        """Commit a command and return the result of applying it.

        :raises papayastall.exceptions.PapayastallError: ``NOT_LEADER``
            with the leader's address as ``peer``, or ``NO_LEADER``; the
            command was not and will not be committed.
        :raises papayastall.exceptions.OutcomeUnknownError: it may or may
            not be committed.
        """
        raise NotImplementedError

    async def read_barrier(self, group: int, timeout_s: float) -> None:
        """Return when the local state holds all that was committed.

        Works on the leader only, under its lease; the errors are those
        of :meth:`propose`, and nothing is written.
        """
        raise NotImplementedError

    def leader(self, group: int) -> str | None:
        """Return the address of the leader as far as it is known."""
        raise NotImplementedError

    def applied_index(self, group: int) -> int:
        """Return the index of the last command applied here."""
        raise NotImplementedError
