"""Lateness of frames: their extra delay on the way to this node.

A frame may remain unread while this process is paused, or be held up by a
network partition. The offset between the clocks of two nodes is unknown, so
the smallest difference seen on a connection counts as no delay.
"""

from __future__ import annotations

__all__ = ["LatenessEstimator"]

MAX_CLOCK_DRIFT = 1e-4
"""Limit of the drift between two monotonic clocks, seconds per second."""


class LatenessEstimator:
    """Estimator of the lateness of frames on one connection."""

    __slots__ = ("_measured_at_s", "_min_difference_s")

    def __init__(self) -> None:
        self._min_difference_s: float | None = None
        self._measured_at_s = 0.0

    def measure_s(self, now_s: float, sent_ms: int) -> float:
        """Return the lateness of a frame that arrives now, in seconds.

        :param sent_ms: time of sending on the sender's monotonic clock.
        """
        difference_s = now_s - sent_ms / 1000
        if self._min_difference_s is None:
            self._min_difference_s = difference_s
            self._measured_at_s = now_s
        drift_s = MAX_CLOCK_DRIFT * (now_s - self._measured_at_s)
        self._min_difference_s = min(
            difference_s, self._min_difference_s + drift_s
        )
        self._measured_at_s = now_s
        return difference_s - self._min_difference_s
