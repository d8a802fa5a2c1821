"""The clock of a node, which goes on while its machine is suspended.

Leases, deadlines and the age of information have to include the time for
which a virtual machine is suspended; ``CLOCK_MONOTONIC`` stops meanwhile.
Reading ``CLOCK_BOOTTIME`` can be a system call, so it is read only when the
wall clock shows that the two clocks may have diverged.
"""

from __future__ import annotations

import time

__all__ = ["BootClock", "now_s"]

MAX_WALL_OFFSET_CHANGE_S = 0.005
"""Far below any lease or deadline, and far above what slewing changes the
wall clock between two readings."""


class BootClock:
    """The boot clock, computed from two clocks that are cheap to read."""

    __slots__ = ("_boot_offset_s", "_wall_offset_s")

    def __init__(self) -> None:
        self._wall_offset_s = 0.0
        self._boot_offset_s = 0.0
        self._synchronize()

    def now_s(self) -> float:
        """Return the boot clock in seconds; it never goes back."""
        monotonic_s = time.monotonic()
        wall_offset_s = time.time() - monotonic_s
        if abs(wall_offset_s - self._wall_offset_s) > MAX_WALL_OFFSET_CHANGE_S:
            self._synchronize()
            monotonic_s = time.monotonic()
        return monotonic_s + self._boot_offset_s

    def _synchronize(self) -> None:
        """Measure by how much the monotonic clock is behind the others."""
        # The wall clock is read first: a suspension that begins meanwhile is
        # then part of the boot offset, or is noticed at the next reading.
        self._wall_offset_s = time.time() - time.monotonic()
        monotonic_s = time.monotonic()
        boot_offset_s = time.clock_gettime(time.CLOCK_BOOTTIME) - monotonic_s
        # The time between the two readings, which varies, is part of the
        # measured offset; a smaller offset must not set the clock back.
        self._boot_offset_s = max(self._boot_offset_s, boot_offset_s)


now_s = BootClock().now_s
"""Return the boot clock of this machine in seconds."""
