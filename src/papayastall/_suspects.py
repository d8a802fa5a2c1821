"""Requests that may crash the upstreams that run them.

A request that was in flight on an upstream when that upstream was lost is a
suspect. A suspect runs once more, alone; if that loses a second upstream, the
request is refused until its entry expires. One answered run clears a suspect.
"""

from __future__ import annotations

import msgspec

from papayastall import _decision_types as types

__all__ = ["SUSPECT_TTL_S", "SuspectRegistry"]

SUSPECT_TTL_S = 3600.0
MAX_SUSPECTS = 10_000
MAX_UPSTREAMS_LOST = 2


class _Suspect(msgspec.Struct):
    upstreams: set[str]
    expires_s: float


class SuspectRegistry:
    """Suspected requests known to one node, by fingerprint."""

    __slots__ = ("_suspects",)

    def __init__(self) -> None:
        self._suspects: dict[int, _Suspect] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def note(self, now_s: float, notice: types.SuspectNotice) -> None:
        """Record a notice of this node or another one."""
        if notice.cleared:
            self._clear(notice.fingerprint)
            return
        suspect = self._suspects.get(notice.fingerprint)
        if suspect is None or suspect.expires_s <= now_s:
            suspect = _Suspect(set(), 0.0)
            self._make_room()
            self._suspects[notice.fingerprint] = suspect
        suspect.upstreams.add(notice.upstream)
        suspect.expires_s = now_s + SUSPECT_TTL_S

    def losses(self, now_s: float, fingerprint: int) -> int:
        """Return how many upstreams were lost with this request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0
        if suspect.expires_s <= now_s:
            del self._suspects[fingerprint]
            return 0
        return len(suspect.upstreams)

    def is_blocked(self, now_s: float, fingerprint: int) -> bool:
        """Return whether the request must not run again."""
        return self.losses(now_s, fingerprint) >= MAX_UPSTREAMS_LOST

    def _clear(self, fingerprint: int) -> None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and len(suspect.upstreams) < MAX_UPSTREAMS_LOST:
            del self._suspects[fingerprint]

    def _make_room(self) -> None:
        while len(self._suspects) >= MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]
