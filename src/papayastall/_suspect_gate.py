"""The owner's side of suspected requests: what waits and what is learned."""

from __future__ import annotations

from papayastall import _decision_types as types
from papayastall import _owner_state as state
from papayastall import _suspects

__all__ = ["SuspectGate"]

_MAX_PARKED = 100


class SuspectGate:
    """Holds back requests that wait for an identical or suspected one."""

    __slots__ = ("_parked", "registry")

    def __init__(self) -> None:
        self.registry = _suspects.SuspectRegistry()
        self._parked: dict[int, types.OwnerRequest] = {}

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._parked

    def __len__(self) -> int:
        return len(self._parked)

    def park(self, request: types.OwnerRequest) -> bool:
        """Let a request wait; return whether there was room."""
        if len(self._parked) >= _MAX_PARKED:
            return False
        self._parked[request.request_id] = request
        return True

    def forget(self, request_id: int) -> None:
        """Drop a request that waits."""
        self._parked.pop(request_id, None)

    def take_all(self) -> list[types.OwnerRequest]:
        """Take out all that waits, to be tried again."""
        requests = list(self._parked.values())
        self._parked.clear()
        return requests

    def note_end(
        self, now_s: float, run: state.RunningRequest, outcome: types.Outcome
    ) -> types.SuspectNotice | None:
        """Take in how a request ended; return what others should know."""
        fingerprint = run.request.fingerprint
        match outcome:
            case types.Outcome.BROKEN:
                cleared = False
            case types.Outcome.ANSWERED | types.Outcome.FAILED:
                if not self.registry.losses(now_s, fingerprint):
                    return None
                cleared = True
            case _:
                return None
        news = types.SuspectNotice(fingerprint, run.upstream, cleared)
        self.registry.note(now_s, news)
        return news
