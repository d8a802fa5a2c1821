"""Requests that may crash the upstreams that run them.

A request that was in flight on an upstream when that upstream was lost is a
suspect. A suspect runs once more, alone, as a trial. If the trial loses its
upstream as well, the request is refused for a while, and then tried again.
An answered run shows that a request crashes nothing, and clears it.

Only trials count beside the first loss: copies of one request that were in
flight on several upstreams are lost together when these fail for a common
cause.
"""

from __future__ import annotations

import math

import msgspec

from papayastall import _decision_types as types

__all__ = [
    "FIRST_BLOCK_S",
    "MAX_UPSTREAMS_LOST",
    "SUSPECT_TTL_S",
    "SuspectRegistry",
]

SUSPECT_TTL_S = 3600.0
FIRST_BLOCK_S = 60.0
BLOCK_GROWTH_FACTOR = 4.0
"""Each further trial that loses its upstream lengthens the block by this
factor, up to the lifetime of an entry."""
MAX_SUSPECTS = 10_000
MAX_UPSTREAMS_LOST = 2
"""A request is refused after that many losses: the first one, and trials."""


class _Suspect(msgspec.Struct):
    """A suspected request.

    :param upstreams: that broke off a run of it. One that does so again is
        still there, so the request has not crashed it.
    :param losses: number of upstreams lost one after the other.
    :param blocked_until_s: until then the request must not run.
    """

    expires_s: float
    upstreams: set[str] = msgspec.field(default_factory=set)
    losses: int = 1
    blocked_until_s: float = -math.inf


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
            self.clear(notice.fingerprint)
            return
        suspect = self._find(now_s, notice.fingerprint)
        if suspect is None:
            self._make_room()
            suspect = _Suspect(now_s + SUSPECT_TTL_S)
            self._suspects[notice.fingerprint] = suspect
        suspect.expires_s = now_s + SUSPECT_TTL_S
        is_other = notice.upstream not in suspect.upstreams
        suspect.upstreams.add(notice.upstream)
        if not notice.is_trial or not is_other:
            return
        suspect.losses += 1
        further_losses = suspect.losses - MAX_UPSTREAMS_LOST
        if further_losses >= 0:
            block_s = FIRST_BLOCK_S * BLOCK_GROWTH_FACTOR**further_losses
            suspect.blocked_until_s = now_s + min(block_s, SUSPECT_TTL_S)

    def clear(self, fingerprint: int) -> None:
        """Record that a run of the request was answered."""
        self._suspects.pop(fingerprint, None)

    def losses(self, now_s: float, fingerprint: int) -> int:
        """Return how many upstreams were lost with this request.

        Upstreams that were lost at the same time count once.
        """
        suspect = self._find(now_s, fingerprint)
        return 0 if suspect is None else suspect.losses

    def is_blocked(self, now_s: float, fingerprint: int) -> bool:
        """Return whether the request must not run now."""
        suspect = self._find(now_s, fingerprint)
        return suspect is not None and now_s < suspect.blocked_until_s

    def _find(self, now_s: float, fingerprint: int) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.expires_s <= now_s:
            del self._suspects[fingerprint]
            return None
        return suspect

    def _make_room(self) -> None:
        while len(self._suspects) >= MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]
