"""Limit on the requests a second that an upstream takes."""

from __future__ import annotations

import math
import re

import msgspec

__all__ = ["RateLimit", "parse_limit"]

BURST_S = 0.05
"""Time for which unused rate is kept beyond one request: a request that is
due between two ticks of the owner then starts at the second one."""
MIN_RATE_PER_S = 0.1
"""An upstream with a lower limit gets a request every ten seconds: only its
answers can tell that the limit has been lifted."""
_LIMIT_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


def parse_limit(value: bytes) -> float | None:
    """Return a limit in requests a second; ``None`` if it is not a number."""
    if not _LIMIT_PATTERN.fullmatch(value):
        return None
    return float(value)


class RateLimit(msgspec.Struct):
    """A token bucket; a request takes one token.

    :param limit_per_s: limit that the upstream names, requests a second.
    :param tokens: as of ``updated_s``.
    """

    limit_per_s: float
    updated_s: float
    tokens: float = 0.0

    @property
    def rate_per_s(self) -> float:
        """Rate at which requests are sent, per second."""
        return max(MIN_RATE_PER_S, self.limit_per_s)

    def change(self, now_s: float, limit_per_s: float) -> None:
        """Set another limit; tokens are kept as far as it allows them."""
        self._refill(now_s)
        self.limit_per_s = limit_per_s
        self.tokens = min(self.tokens, self._max_tokens())

    def free_requests(self, now_s: float) -> int:
        """Return how many requests may be sent now."""
        self._refill(now_s)
        return int(self.tokens)

    def wait_s(self, now_s: float) -> float:
        """Return the time until the next request may be sent, in seconds."""
        self._refill(now_s)
        return max(0.0, 1.0 - self.tokens) / self.rate_per_s

    def take(self, now_s: float) -> None:
        """Count a request that is sent now."""
        self._refill(now_s)
        assert self.tokens >= 1.0, "sent beyond the limit of the upstream"
        self.tokens -= 1.0

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(self.updated_s, now_s)
        tokens = self.tokens + elapsed_s * self.rate_per_s
        # Rounding must not delay a request by one more tick.
        nearest = math.floor(tokens + 1e-9)
        self.tokens = min(self._max_tokens(), max(tokens, float(nearest)))

    def _max_tokens(self) -> float:
        return 1.0 + BURST_S * self.rate_per_s
