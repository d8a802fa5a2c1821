"""Decides when silence counts as evidence, and when it means death."""

from __future__ import annotations

import math
import random

from papayastall import _member_table
from papayastall import _membership_types as types

__all__ = ["SuspicionTimers"]

DOUBT_S = 3.0
HEARING_WINDOW_S = 3.0
HEARING_SENDERS = 2
HEARING_SAMPLE = 8
SUSPICION_BASE_S = 3.0
SUSPICION_PER_DECADE_S = 2.0


class SuspicionTimers:
    """The suspected members' times to refute, and trust in own evidence."""

    def __init__(
        self,
        own_address: str,
        table: _member_table.MemberTable,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self._own_address = own_address
        self._table = table
        self._rng = rng
        self._doubt_until_s = now_s
        self._heard_s: dict[str, float] = {}
        self._ends_s: dict[str, float] = {}

    def note_pause(self, now_s: float, gap_s: float) -> None:
        """Doubt own evidence: this process did not run for this long."""
        self._doubt_until_s = now_s + DOUBT_S
        for address in self._ends_s:
            self._ends_s[address] += gap_s

    def note_received(self, now_s: float, sender: str) -> None:
        """Note that this sender's datagrams arrive."""
        self._heard_s.pop(sender, None)
        self._heard_s[sender] = now_s
        if len(self._heard_s) > HEARING_SENDERS:
            del self._heard_s[next(iter(self._heard_s))]

    def is_receiving(self, now_s: float) -> bool:
        """Tell whether others reach this node, so that silence counts."""
        return self._hears_since(now_s, now_s - HEARING_WINDOW_S)

    def open(self, now_s: float, address: str) -> None:
        """Give a suspected member its time to refute, once."""
        decades = math.log10(len(self._table.live))
        suspicion_s = SUSPICION_BASE_S + SUSPICION_PER_DECADE_S * decades
        self._ends_s.setdefault(address, now_s + suspicion_s)

    def close(self, address: str) -> None:
        """End the suspicion of a member."""
        self._ends_s.pop(address, None)

    def ended(self, now_s: float) -> list[str]:
        """Return the members whose time is over and who count as dead.

        Others must have been heard after that time, so that a refutation
        would have come with what they say.
        """
        dead: list[str] = []
        for address, end_s in self._ends_s.items():
            if now_s < end_s:
                continue
            witnesses = len(self._table.members[address].suspecters)
            enough = witnesses >= _member_table.MAX_SUSPECTERS
            if enough and self._hears_since(now_s, end_s):
                dead.append(address)
        return dead

    def _hears_since(self, now_s: float, since_s: float) -> bool:
        if now_s < self._doubt_until_s:
            return False
        live = self._table.live
        sample = self._rng.sample(live, min(len(live), HEARING_SAMPLE))
        others = sum(
            1
            for address in sample
            if address != self._own_address
            and self._table.members[address].state
            is not types.MemberState.SUSPECT
        )
        heard = sum(
            1 for heard_s in self._heard_s.values() if heard_s >= since_s
        )
        return heard >= min(others, HEARING_SENDERS)
