"""How much may run beyond the bucket of a team, and who may spend it.

In any window, all nodes together may let ``rate x window + burst`` requests
run, and a margin beyond that. A bucket of that rate and burst would let a team
that always sends as much run ``rate x window`` only, so that requests within
the quota of the window would be refused. The bucket of the holder is larger,
by a part of the margin. The rest is spent on tokens that are used after they
were granted, and on nodes that reach no holder.
"""

from __future__ import annotations

import msgspec

from papayastall.quotas import _messages

__all__ = ["ASK_LIMIT_S", "TOKEN_TTL_S", "Bounds"]

TOKEN_TTL_S = 0.3
"""Time for which tokens may be kept, from the sending of the question."""
ASK_LIMIT_S = 0.3
"""Longest time that a request waits for tokens."""
_RATE_SHARE = 0.5
"""Share of the margin left beside late tokens by which the refill of a bucket
in a window may be larger than that of the rate. A team that sends much for one
window finds its burst twice then, as windows begin at any moment."""
_CAPACITY_SHARE = 0.3
"""Share of it by which a bucket may hold more than the burst, for requests
that come in a group; the burst suffices."""
_OWN_SHARE = 0.35
"""Mean share of what is left of the margin that nodes without a holder
spend. Their moments are random, and the sum over all nodes must stay within
the margin in every window: with 20 requests left, a Poisson variable of mean
7 exceeds them once in 70,000 windows."""


class Bounds(msgspec.Struct, frozen=True):
    """The bound on what all nodes together let run in a window.

    :param window_s: length of the window.
    :param over_ratio: share by which a window may pass the quota.
    :param slack: requests by which it may pass the quota besides.
    """

    window_s: float = 5.0
    over_ratio: float = 0.1
    slack: float = 20.0

    def margin(self, limits: _messages.Limits) -> float:
        """Return the requests by which a window may pass the quota."""
        quota = limits.rate_per_s * self.window_s + limits.burst
        return self.over_ratio * quota + self.slack

    def refill_per_s(self, limits: _messages.Limits) -> float:
        """Return the tokens that a bucket gains in a second."""
        return limits.rate_per_s + self._more_refill(limits) / self.window_s

    def capacity(self, limits: _messages.Limits) -> float:
        """Return the most tokens that a bucket holds."""
        return max(1.0, limits.burst + self._more_capacity(limits))

    def _more_refill(self, limits: _messages.Limits) -> float:
        return min(2.0 * limits.burst, _RATE_SHARE * self._unspent(limits))

    def _more_capacity(self, limits: _messages.Limits) -> float:
        return min(limits.burst, _CAPACITY_SHARE * self._unspent(limits))

    def _unspent(self, limits: _messages.Limits) -> float:
        """Return the margin that tokens used late leave."""
        late = limits.rate_per_s * (ASK_LIMIT_S + TOKEN_TTL_S)
        return max(0.0, self.margin(limits) - late)

    def most_kept(self, limits: _messages.Limits) -> int:
        """Return how many unused tokens all nodes may keep together."""
        spent = limits.rate_per_s * ASK_LIMIT_S
        kept = limits.rate_per_s * TOKEN_TTL_S
        return int(max(0.0, min(kept, self.margin(limits) - spent)))

    def own_period_s(
        self, limits: _messages.Limits, nodes: int
    ) -> float | None:
        """Return the time in which a node may let one request run by itself.

        It may do so once in this time while it reaches no holder, within a
        part of the time that is as long as a window and begins at a random
        moment. A window overlaps such parts of two windows' worth of nodes.

        :param nodes: number of all known nodes.
        :returns: ``None`` if it may let none run.
        """
        larger = self._more_refill(limits) + self._more_capacity(limits)
        left = _OWN_SHARE * (self._unspent(limits) - larger)
        if left < 1.0:
            return None
        return 2.0 * self.window_s * max(1, nodes) / left
