"""How much longer than usual a frame took from its sender's clock to here.

A frame may lie unread while this process is stopped, or wait in a network
that is cut. The clocks of two nodes differ by an unknown offset, so the
least difference seen on a connection stands for a frame without delay.
"""

from __future__ import annotations

__all__ = ["Lateness"]

MAX_DRIFT = 1e-4
"""By how much, per second, two monotonic clocks may drift apart."""


class Lateness:
    """Measures the delay of frames on one connection."""

    __slots__ = ("_least_s", "_measured_s")

    def __init__(self) -> None:
        self._least_s: float | None = None
        self._measured_s = 0.0

    def measure_s(self, now_s: float, sent_ms: int) -> float:
        """Return the delay of a frame that arrives now, in seconds.

        :param sent_ms: when it was sent, on the sender's monotonic clock.
        """
        difference_s = now_s - sent_ms / 1000
        if self._least_s is None:
            self._least_s = difference_s
            self._measured_s = now_s
        drift_s = MAX_DRIFT * (now_s - self._measured_s)
        self._least_s = min(difference_s, self._least_s + drift_s)
        self._measured_s = now_s
        return difference_s - self._least_s
