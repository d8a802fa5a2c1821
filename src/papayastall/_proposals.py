"""The commands whose proposers wait for what became of them."""

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
    """A command whose proposer waits.

    :param is_appended: it is in the log of this replica.
    """

    group: int
    command: bytes
    done: anyio.Event
    is_appended: bool = False
    result: bytes | None = None
    error: exceptions.PapayastallError | None = None

    def fail(self, error: exceptions.PapayastallError) -> None:
        """Wake the proposer with an error."""
        self.error = error
        self.done.set()

    def outcome(self) -> bytes:
        """Return the result once the proposer stops waiting.

        :raises papayastall.exceptions.PapayastallError: there is none.
        """
        if self.error is not None:
            raise self.error
        if self.result is not None:
            return self.result
        if self.is_appended:
            raise outcome_unknown()
        raise not_committed("the command was not taken up in time; try again")


class Proposals:
    """Proposals that wait to be appended, and those in the log."""

    def __init__(self) -> None:
        self._queued: list[Proposal] = []
        self._appended: set[Proposal] = set()

    def __bool__(self) -> bool:
        """Whether any waits to be appended."""
        return bool(self._queued)

    def add(self, group: int, command: bytes) -> Proposal:
        """Queue a command."""
        proposal = Proposal(group, command, anyio.Event())
        self._queued.append(proposal)
        return proposal

    def append(self, now_s: float, set_: _replica_set.ReplicaSet) -> None:
        """Append all queued commands to the logs of their groups."""
        by_group: dict[int, list[Proposal]] = {}
        for proposal in self._queued:
            by_group.setdefault(proposal.group, []).append(proposal)
        self._queued = []
        for number, chosen in by_group.items():
            pairs: list[tuple[bytes, object]] = [
                (each.command, each) for each in chosen
            ]
            try:
                set_.groups[number].propose(now_s, pairs)
            except exceptions.PapayastallError as error:
                for each in chosen:
                    each.fail(error)
                continue
            for each in chosen:
                each.is_appended = True
                self._appended.add(each)

    def resolve(self, resolved: _replica_set.Resolved) -> None:
        """Wake the proposer of a command whose fate is known."""
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
        """Drop a proposal whose proposer no longer waits."""
        if proposal in self._appended:
            self._appended.discard(proposal)
            group.forget(proposal)
        elif proposal in self._queued:
            self._queued.remove(proposal)

    def fail_all(self) -> None:
        """Wake all proposers of a replica that stops."""
        for proposal in self._queued:
            proposal.fail(not_committed("this replica stops; ask another one"))
        for proposal in self._appended:
            proposal.fail(outcome_unknown())
        self._queued = []
        self._appended.clear()
