"""Token buckets of the teams whose slots this node holds."""

from __future__ import annotations

import collections
import collections.abc as cabc

import msgspec

from papayastall.quotas import _bounds
from papayastall.quotas import _messages
from papayastall.quotas import _seats

__all__ = ["Holder"]

IDLE_S = 600.0
"""A bucket that is full and was not asked for this time is deleted."""
KEPT_RETENTION_S = 1.0
"""Time within which unused tokens are accepted back."""
MAX_BUCKETS = 10_000
"""Bounds what a faulty peer can cause."""
FULL_RETRY_AFTER_S = 1.0
_ROUNDING = 1e-9


class _Bucket(msgspec.Struct):
    """The tokens of one team.

    :param bounds: give its size and refill for the limits.
    :param since_s: start of the lease under which it was filled.
    :param kept: times and numbers of tokens granted for expected requests.
    """

    limits: _messages.Limits
    bounds: _bounds.Bounds
    since_s: float
    updated_s: float
    tokens: float
    asked_s: float
    kept: collections.deque[tuple[float, int]] = msgspec.field(
        default_factory=collections.deque
    )

    @property
    def capacity(self) -> float:
        """Most tokens that the bucket holds."""
        return self.bounds.capacity(self.limits)

    @property
    def refill_per_s(self) -> float:
        """Tokens that the bucket gains in a second."""
        return self.bounds.refill_per_s(self.limits)

    def refill(self, now_s: float) -> None:
        """Add the tokens of the time since the last call."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(self.updated_s, now_s)
        self.tokens = min(
            self.capacity, self.tokens + elapsed_s * self.refill_per_s
        )

    def available(self) -> int:
        """Return the whole tokens."""
        return int(self.tokens + _ROUNDING)

    def use_limits(self, limits: _messages.Limits) -> None:
        """Use the limits of a later table; this adds no tokens at once."""
        if limits.version <= self.limits.version:
            return
        self.limits = limits
        self.tokens = min(self.tokens, self.capacity)

    def take(self, count: int) -> int:
        """Take as many tokens as there are, at most ``count``."""
        taken = max(0, min(count, self.available()))
        self.tokens -= taken
        return taken

    def put_back(self, now_s: float, count: int) -> None:
        """Add tokens that were granted and not used."""
        while self.kept and now_s - self.kept[0][0] > KEPT_RETENTION_S:
            self.kept.popleft()
        accepted = 0
        while self.kept and accepted < count:
            granted_s, kept = self.kept.popleft()
            used = min(kept, count - accepted)
            accepted += used
            if used < kept:
                self.kept.appendleft((granted_s, kept - used))
        self.tokens = min(self.capacity, self.tokens + accepted)

    def count_kept(self, now_s: float) -> int:
        """Return how many tokens nodes may still keep without using them."""
        return sum(
            count
            for granted_s, count in self.kept
            if now_s - granted_s < _bounds.TOKEN_TTL_S
        )


class Holder:
    """Grants tokens of the teams that this node holds.

    The caller makes sure, by :class:`papayastall.quotas._leases.Leases`,
    that no other node holds a team meanwhile.
    """

    def __init__(self, bounds: _bounds.Bounds) -> None:
        self._bounds = bounds
        self._buckets: dict[str, _Bucket] = {}
        self._handed: dict[str, tuple[float, _messages.BucketState]] = {}
        self._held_s: dict[float, float] = {}

    def __len__(self) -> int:
        return len(self._buckets)

    def set_limits(
        self, now_s: float, limits: cabc.Mapping[str, _messages.Limits]
    ) -> None:
        """Use the limits of a later table from now on."""
        for team, bucket in self._buckets.items():
            if team in limits:
                bucket.refill(now_s)
                bucket.use_limits(limits[team])

    def ask(
        self,
        now_s: float,
        since_s: float,
        ask: _messages.Ask,
        handed_s: float | None = None,
    ) -> _messages.Answer:
        """Answer a node that needs tokens.

        :param since_s: since when this node holds the team.
        :param handed_s: when the previous holder handed the team over.
        """
        if len(self) >= MAX_BUCKETS and ask.team not in self._buckets:
            return _messages.Answer(True, wait_s=FULL_RETRY_AFTER_S)
        bucket = self._find(now_s, since_s, ask.team, ask.limits, handed_s)
        bucket.put_back(now_s, ask.returned)
        granted = bucket.take(ask.wanted)
        spare = 0
        if granted == ask.wanted and ask.spare:
            spare = self._take_spare(now_s, bucket, ask.spare)
        missing = max(0.0, 1.0 - bucket.tokens - _ROUNDING)
        return _messages.Answer(
            True, granted, spare, missing / bucket.refill_per_s
        )

    def put_back(
        self, now_s: float, since_s: float, message: _messages.Return
    ) -> None:
        """Add tokens that a node did not use."""
        bucket = self._buckets.get(message.team)
        if bucket is not None and bucket.since_s == since_s:
            bucket.refill(now_s)
            bucket.put_back(now_s, message.tokens)

    def hand_over(
        self, now_s: float, since_s: cabc.Mapping[int, float]
    ) -> list[_messages.BucketState]:
        """Remove buckets and return their state.

        :param since_s: since when this node held each slot to hand over.
        """
        states = []
        for team, bucket in list(self._buckets.items()):
            if since_s.get(_seats.slot_of(team)) != bucket.since_s:
                continue
            bucket.refill(now_s)
            del self._buckets[team]
            states.append(
                _messages.BucketState(team, bucket.tokens, bucket.limits)
            )
        return states

    def receive(self, now_s: float, handover: _messages.Handover) -> None:
        """Keep the buckets of a holder that stops, for the coming lease."""
        self._handed = {
            team: handed
            for team, handed in self._handed.items()
            if now_s - handed[0] < IDLE_S
        }
        self._held_s = {
            handed_s: held_s
            for handed_s, held_s in self._held_s.items()
            if now_s - handed_s < IDLE_S
        }
        self._held_s[now_s] = handover.held_s
        for state in handover.buckets:
            self._handed[state.team] = (now_s, state)

    def expire(self, now_s: float) -> None:
        """Delete buckets that were not asked for lately."""
        for team, bucket in list(self._buckets.items()):
            if now_s - bucket.asked_s < IDLE_S:
                continue
            bucket.refill(now_s)
            if bucket.tokens >= bucket.capacity:
                del self._buckets[team]

    def _find(
        self,
        now_s: float,
        since_s: float,
        team: str,
        limits: _messages.Limits,
        handed_s: float | None,
    ) -> _Bucket:
        bucket = self._buckets.get(team)
        if bucket is None or bucket.since_s != since_s:
            # Nobody asked for this team under the present lease, so that
            # its bucket has filled since the start of the lease.
            bucket = _Bucket(
                limits, self._bounds, since_s, since_s, 0.0, now_s
            )
            handed = self._handed.pop(team, None)
            if handed is not None and handed[0] == handed_s:
                state = handed[1]
                bucket.limits = state.limits
                bucket.tokens = max(0.0, state.tokens)
                bucket.updated_s = handed[0]
            elif handed_s is not None:
                # The previous holder had no bucket: nobody had asked it.
                bucket.updated_s = handed_s - self._held_s.get(handed_s, 0.0)
            self._buckets[team] = bucket
        bucket.refill(now_s)
        bucket.use_limits(limits)
        bucket.asked_s = now_s
        return bucket

    def _take_spare(self, now_s: float, bucket: _Bucket, spare: int) -> int:
        """Take tokens for expected requests.

        At least half of the bucket stays for the other nodes.
        """
        limits = bucket.limits
        room = self._bounds.most_kept(limits) - bucket.count_kept(now_s)
        unneeded = int(bucket.tokens - bucket.capacity / 2.0)
        taken = bucket.take(max(0, min(spare, room, unneeded)))
        if taken:
            bucket.kept.append((now_s, taken))
        return taken
