"""Suspected requests at an owner: those that wait, and their outcomes."""

from __future__ import annotations

import msgspec.structs

from papayastall import _decision_types as types
from papayastall import _owner_state as state
from papayastall import _suspects

__all__ = ["SuspectGate"]

_MAX_PARKED_REQUESTS = 100


class SuspectGate:
    """Requests that wait until an identical or suspected one has ended."""

    __slots__ = ("_parked", "registry")

    def __init__(self) -> None:
        self.registry = _suspects.SuspectRegistry()
        self._parked: dict[int, types.OwnerRequest] = {}

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._parked

    def __len__(self) -> int:
        return len(self._parked)

    def park(self, request: types.OwnerRequest) -> bool:
        """Add a request that has to wait; return whether there was room."""
        if len(self._parked) >= _MAX_PARKED_REQUESTS:
            return False
        # Its earlier loss has been noted, and may be cleared meanwhile.
        waiting = msgspec.structs.replace(request, is_suspect=False)
        self._parked[request.request_id] = waiting
        return True

    def forget(self, request_id: int) -> None:
        """Remove a waiting request, if there is one of this number."""
        self._parked.pop(request_id, None)

    def take_all(self) -> list[types.OwnerRequest]:
        """Remove and return all waiting requests, to be submitted again."""
        requests = list(self._parked.values())
        self._parked.clear()
        return requests

    def note_lost_before(
        self, now_s: float, request: types.OwnerRequest
    ) -> None:
        """Record that an upstream was lost with an earlier attempt.

        Its owner's notice may arrive after the request.
        """
        if not self.registry.losses(now_s, request.fingerprint):
            self.registry.note(
                now_s,
                types.SuspectNotice(request.fingerprint, "", cleared=False),
            )

    def note_end(
        self,
        now_s: float,
        run: state.RunningRequest,
        outcome: types.Outcome,
        started_ms: int,
    ) -> types.SuspectNotice | None:
        """Record how a request ended; return a notice for the other nodes.

        Returns ``None`` if the outcome says nothing new about the request.

        :param started_ms: Unix time of the start of its upstream; 0 if
            unknown.
        """
        fingerprint = run.request.fingerprint
        # An upstream may come back under its name.
        process = f"{run.upstream}@{started_ms}"
        is_known = self.registry.losses(now_s, fingerprint) > 0
        match outcome:
            case types.Outcome.BROKEN:
                notice = types.SuspectNotice(
                    fingerprint,
                    process,
                    cleared=False,
                    # An answer to a copy may have cleared the request.
                    is_trial=run.is_suspect and is_known,
                )
            case types.Outcome.ANSWERED | types.Outcome.FAILED:
                if not is_known:
                    return None
                notice = types.SuspectNotice(
                    fingerprint, process, cleared=True
                )
            case _:
                return None
        self.registry.note(now_s, notice)
        return notice
