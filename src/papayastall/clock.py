"""The clock of a node: seconds that also pass while it is suspended.

Leases, deadlines and the age of news must not stand still while a virtual
machine is suspended, as ``CLOCK_MONOTONIC`` does.
"""

from __future__ import annotations

import time

__all__ = ["now_s"]


def now_s() -> float:
    """Return seconds of ``CLOCK_BOOTTIME``, which never goes back."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
