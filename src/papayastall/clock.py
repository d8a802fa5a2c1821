"""The clock of a node: seconds that also pass while it is suspended.

Leases, deadlines and the age of news must not stand still while a virtual
machine is suspended, as ``CLOCK_MONOTONIC`` does. Reading
``CLOCK_BOOTTIME`` can be a system call, so it is read only when the time of
day shows that the two clocks may have parted.
"""

from __future__ import annotations

import time

__all__ = ["BootClock", "now_s"]

MAX_DIFFERENCE_S = 0.005
"""Far below any lease or deadline, far above what the time of day is slewed
between two readings."""


class BootClock:
    """Reads the boot clock by way of two clocks that are cheap to read."""

    __slots__ = ("_behind_s", "_offset_s")

    def __init__(self) -> None:
        self._behind_s = 0.0
        self._offset_s = 0.0
        self._synchronize()

    def now_s(self) -> float:
        """Return seconds of the boot clock, which never goes back."""
        monotonic_s = time.monotonic()
        behind_s = time.time() - monotonic_s
        if abs(behind_s - self._behind_s) > MAX_DIFFERENCE_S:
            self._synchronize()
            monotonic_s = time.monotonic()
        return monotonic_s + self._offset_s

    def _synchronize(self) -> None:
        """Measure by how much each clock is behind the others."""
        monotonic_s = time.monotonic()
        offset_s = time.clock_gettime(time.CLOCK_BOOTTIME) - monotonic_s
        self._behind_s = time.time() - monotonic_s
        # Between the two readings some time passes, which must not take
        # the clock back.
        self._offset_s = max(self._offset_s, offset_s)


now_s = BootClock().now_s
"""Return seconds of the boot clock of this machine."""
