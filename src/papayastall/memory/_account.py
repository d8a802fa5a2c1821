"""Account of the memory that a process keeps for others."""

from __future__ import annotations

import enum

__all__ = ["MIN_TOTAL_BYTES", "MemoryAccount", "MemoryClass"]

MIN_TOTAL_BYTES = 8 << 20
"""Total of a process that by itself uses all of its limit: enough for
ordinary requests, so that a limit that is too low does not stop a node."""
NEAR_SHARE = 0.7
"""Part of a class's limit from which measures are taken."""


class MemoryClass(enum.IntEnum):
    """What memory is kept for.

    Integers index lists, which takes a fraction of the time of hashing.
    """

    HEADS = 0
    """Heads of callers' requests, and what was read but not parsed."""
    BODIES = 1
    """Bodies of callers' requests."""
    ANSWERS = 2
    """Answers that callers have not read."""
    LINKS = 3
    """Bodies of requests that other nodes send to this node as owner."""
    STRANGERS = 4
    """Frames on links of peers that are not known as members."""
    CONTROL = 5
    """Requests to the ports for upstreams, operators and metrics."""


SHARES = {
    MemoryClass.HEADS: 0.10,
    MemoryClass.BODIES: 0.50,
    MemoryClass.ANSWERS: 0.08,
    MemoryClass.LINKS: 0.15,
    MemoryClass.STRANGERS: 0.05,
    MemoryClass.CONTROL: 0.12,
}
"""Part of the total that a class may use. The sum is 1, so that no class can
take the memory of another. Half is for callers' bodies: on a VM of 200 MB one
of 64 MiB fits."""


class MemoryAccount:
    """Books memory by class before it is used.

    :param limit_bytes: memory that the process may use.
    :param own_bytes: what it uses itself.
    :ivar refusals: by class, how often memory was refused.
    """

    def __init__(self, limit_bytes: int, own_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._total_bytes = 0
        self._limits = [0] * len(MemoryClass)
        self._near = [0.0] * len(MemoryClass)
        self._used = [0] * len(MemoryClass)
        self.refusals = [0] * len(MemoryClass)
        self.resize(own_bytes)

    @property
    def used_bytes(self) -> int:
        """Number of bytes that are booked in all classes."""
        return sum(self._used)

    @property
    def total_bytes(self) -> int:
        """Number of bytes that may be booked in all classes."""
        return self._total_bytes

    def resize(self, own_bytes: int) -> None:
        """Change what the process uses itself."""
        self._total_bytes = max(MIN_TOTAL_BYTES, self._limit_bytes - own_bytes)
        for each, share in SHARES.items():
            self._limits[each] = int(share * self._total_bytes)
            self._near[each] = NEAR_SHARE * self._limits[each]

    def used(self, memory_class: MemoryClass) -> int:
        """Return the number of booked bytes of a class."""
        return self._used[memory_class]

    def limit(self, memory_class: MemoryClass) -> int:
        """Return the number of bytes that a class may use."""
        return self._limits[memory_class]

    def free(self, memory_class: MemoryClass) -> int:
        """Return how many bytes of a class are not booked."""
        return self._limits[memory_class] - self._used[memory_class]

    def is_near(self, memory_class: MemoryClass) -> bool:
        """Return whether a class is near its limit."""
        return self._used[memory_class] > self._near[memory_class]

    def book(self, memory_class: MemoryClass, size_bytes: int) -> bool:
        """Book memory; return false, and book nothing, over the limit."""
        used = self._used[memory_class] + size_bytes
        if used > self._limits[memory_class]:
            self.refusals[memory_class] += 1
            return False
        self._used[memory_class] = used
        return True

    def charge(self, memory_class: MemoryClass, size_bytes: int) -> None:
        """Book memory that is in use already, also over the limit."""
        self._used[memory_class] += size_bytes

    def release(self, memory_class: MemoryClass, size_bytes: int) -> None:
        """Undo a booking."""
        self._used[memory_class] -= size_bytes
        assert self._used[memory_class] >= 0, memory_class
