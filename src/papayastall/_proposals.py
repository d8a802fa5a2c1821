"""Commands whose proposers wait for the outcome."""

from __future__ import annotations

import typing as t

import anyio
import msgspec

from papayastall import _replica_set
from papayastall import exceptions

__all__ = ["Proposal", "Proposals", "not_committed", "outcome_unknown"]


def outcome_unknown() -> exceptions.OutcomeUnknownError:
    """Return the error for a command that may or may not be committed."""
    return exceptions.OutcomeUnknownError(
        exceptions.ErrorCode.DEADLINE_EXCEEDED,
        "the command may or may not be committed; ask for its outcome "
        "before sending it again",
        step="propose",
    )


def not_committed(message: str) -> exceptions.PapayastallError:
    """Return the error for a command that will never be committed."""
    return exceptions.PapayastallError(
        exceptions.ErrorCode.NO_LEADER, message, step="propose"
    )


class Proposal(msgspec.Struct, eq=False):
    """A command whose proposer waits for the outcome.

    :param done: set once the outcome is known.
    :param is_appended: whether the command is in this replica's log.
    """

    group: int
    command: bytes
    done: anyio.Event
    is_appended: bool = False
    result: bytes | None = None
    error: exceptions.PapayastallError | None = None

    def fail(self, error: exceptions.PapayastallError) -> None:
        """Set an error and wake the proposer."""
        self.error = error
        self.done.set()

    def outcome(self) -> bytes:
        """Return the result; call it when the proposer stops waiting.

        :raises papayastall.exceptions.PapayastallError: the command failed,
            was not appended, or has no known outcome.
        """
        if self.error is not None:
            raise self.error
        if self.result is not None:
            return self.result
        if self.is_appended:
            raise outcome_unknown()
        raise not_committed(
            "the command was not appended to the log in time; try again"
        )


class Proposals:
    """Proposals queued to be appended, and those in the log."""

    def __init__(self) -> None:
        self._queued: list[Proposal] = []
        self._appended: set[Proposal] = set()

    def __bool__(self) -> bool:
        """Whether any proposal is queued."""
        return bool(self._queued)

    def add(self, group: int, command: bytes) -> Proposal:
        """Queue a command."""
        proposal = Proposal(group, command, anyio.Event())
        self._queued.append(proposal)
        return proposal

    def append(
        self, now_s: float, replica_set: _replica_set.ReplicaSet
    ) -> None:
        """Append all queued commands to the logs of their groups."""
        by_group: dict[int, list[Proposal]] = {}
        for proposal in self._queued:
            by_group.setdefault(proposal.group, []).append(proposal)
        self._queued = []
        for number, proposals in by_group.items():
            pairs: list[tuple[bytes, object]] = [
                (each.command, each) for each in proposals
            ]
            try:
                replica_set.groups[number].propose(now_s, pairs)
            except exceptions.PapayastallError as error:
                for each in proposals:
                    each.fail(error)
                continue
            for each in proposals:
                each.is_appended = True
                self._appended.add(each)

    def resolve(self, resolved: _replica_set.Resolved) -> None:
        """Wake the proposer of a command that was resolved."""
        proposal = t.cast(Proposal, resolved.token)
        self._appended.discard(proposal)
        match resolved.resolution:
            case _replica_set.Applied(result):
                proposal.result = result
                proposal.done.set()
            case _replica_set.Superseded():
                proposal.fail(
                    not_committed("another leader took over; try again")
                )
            case _replica_set.OutcomeUnknown():
                proposal.fail(outcome_unknown())

    def forget(self, proposal: Proposal, group: _replica_set.Group) -> None:
        """Remove a proposal whose proposer no longer waits."""
        if proposal in self._appended:
            self._appended.discard(proposal)
            group.forget(proposal)
        elif proposal in self._queued:
            self._queued.remove(proposal)

    def fail_all(self) -> None:
        """Fail all proposals, since the replica stops."""
        for proposal in self._queued:
            proposal.fail(
                not_committed("this replica is stopping; ask another one")
            )
        for proposal in self._appended:
            proposal.fail(outcome_unknown())
        self._queued = []
        self._appended.clear()
