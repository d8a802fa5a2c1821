"""Timeouts of suspected members; whether missing replies are evidence."""

from __future__ import annotations

import math
import random

from papayastall import _member_table
from papayastall import _membership_types as types

__all__ = ["SuspicionTimers"]

DISTRUST_AFTER_PAUSE_S = 3.0
RECEIVE_WINDOW_S = 3.0
MIN_SENDERS = 2
MEMBER_SAMPLE_SIZE = 8
SUSPICION_BASE_S = 3.0
SUSPICION_PER_DECADE_S = 2.0
"""Per tenfold number of live members."""


class SuspicionTimers:
    """Refutation timeouts of suspected members, and validity of evidence."""

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
        self._distrust_until_s = now_s
        self._heard_s: dict[str, float] = {}
        self._deadlines_s: dict[str, float] = {}

    def note_pause(self, now_s: float, gap_s: float) -> None:
        """Distrust missing replies for a while, and extend all timeouts.

        :param gap_s: time for which this process did not run, in seconds.
        """
        self._distrust_until_s = now_s + DISTRUST_AFTER_PAUSE_S
        for address in self._deadlines_s:
            self._deadlines_s[address] += gap_s

    def note_received(self, now_s: float, sender: str) -> None:
        """Record that a datagram of this sender arrived."""
        self._heard_s.pop(sender, None)
        self._heard_s[sender] = now_s
        if len(self._heard_s) > MIN_SENDERS:
            del self._heard_s[next(iter(self._heard_s))]

    def is_receiving(self, now_s: float) -> bool:
        """Return whether this node receives datagrams of other members.

        Only then does a missing reply count as evidence.
        """
        return self._received_since(now_s, now_s - RECEIVE_WINDOW_S)

    def open(self, now_s: float, address: str) -> None:
        """Start a suspected member's timeout, unless it already runs."""
        decades = math.log10(len(self._table.live))
        suspicion_s = SUSPICION_BASE_S + SUSPICION_PER_DECADE_S * decades
        self._deadlines_s.setdefault(address, now_s + suspicion_s)

    def close(self, address: str) -> None:
        """Stop the timeout of a member that is no longer suspected."""
        self._deadlines_s.pop(address, None)

    def ended(self, now_s: float) -> list[str]:
        """Return the members whose timeout has ended and that count as dead.

        Datagrams of others must have arrived after that time: a refutation
        would have come with them.
        """
        dead: list[str] = []
        for address, end_s in self._deadlines_s.items():
            if now_s < end_s:
                continue
            witnesses = len(self._table.members[address].suspecters)
            enough = witnesses >= _member_table.MAX_SUSPECTERS
            if enough and self._received_since(now_s, end_s):
                dead.append(address)
        return dead

    def _received_since(self, now_s: float, since_s: float) -> bool:
        if now_s < self._distrust_until_s:
            return False
        live = self._table.live
        sample = self._rng.sample(live, min(len(live), MEMBER_SAMPLE_SIZE))
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
        return heard >= min(others, MIN_SENDERS)
