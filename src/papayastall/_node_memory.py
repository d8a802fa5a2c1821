"""The memory account of a node, and its limits on connections."""

from __future__ import annotations

import collections
import collections.abc as cabc
import enum

import anyio

from papayastall import memory
from papayastall import metrics

__all__ = ["NodeMemory", "PortKind", "RejectionLog"]

WATCH_INTERVAL_S = 1.0
QUIET_BYTES = 1 << 20
"""Booked bytes below which the resident memory is that of the node itself."""
TRIM_BYTES = 8 << 20
"""Growth of the resident memory after which freed memory is returned."""

_Class = memory.MemoryClass

_COUNTERS = {
    _Class.HEADS: metrics.Counter.MEMORY_REFUSED_HEADS,
    _Class.BODIES: metrics.Counter.MEMORY_REFUSED_BODIES,
    _Class.LINKS: metrics.Counter.MEMORY_REFUSED_LINKS,
    _Class.STRANGERS: metrics.Counter.MEMORY_REFUSED_STRANGERS,
    _Class.CONTROL: metrics.Counter.MEMORY_REFUSED_CONTROL,
}


_REJECTION_COUNTERS = {
    400: metrics.Counter.REJECTED_MALFORMED,
    408: metrics.Counter.REJECTED_SLOW,
    413: metrics.Counter.REJECTED_LARGE,
    431: metrics.Counter.REJECTED_LARGE,
}


class PortKind(enum.Enum):
    """Kinds of ports; the value is the share of the descriptors.

    There are up to three control ports. What is left, two fifths, is for
    links between members, connections to upstreams and files.
    """

    CALLERS = 0.25
    LINKS = 0.1
    """Connections of peers that are not known as members."""
    CONTROL = 0.05


class RejectionLog:
    """Counts what the HTTP servers refuse by themselves.

    One line a second tells of all refusals, so that a crowd can't fill the
    log.
    """

    def __init__(self, counters: metrics.Metrics) -> None:
        self._counters = counters
        self._counts: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._last_peer: dict[str, str] = {}

    def note(self, kind: PortKind, status: int, peer: str) -> None:
        """Count a refusal.

        :param status: HTTP status of the answer.
        :param peer: IP address of the client.
        """
        port = kind.name.lower()
        self._counts[port, status] += 1
        self._last_peer[port] = peer
        if status in _REJECTION_COUNTERS:
            self._counters.count(_REJECTION_COUNTERS[status])

    def take(self) -> str:
        """Return what was refused since the last call; "" if nothing was."""
        parts = [
            f"{count} on the port for {port} with {status}"
            for (port, status), count in sorted(self._counts.items())
        ]
        peers = [
            f"the last for {port} from {peer}"
            for port, peer in sorted(self._last_peer.items())
        ]
        self._counts.clear()
        self._last_peer.clear()
        return "; ".join(parts + peers)


class NodeMemory:
    """Keeps the account in step with the process, and reports refusals.

    :param limit_mb: memory that the process may use; ``None`` for that of
        the VM.
    :param descriptor_limit: descriptors that the process may open; ``None``
        for no limit on connections.
    :param log: writes one log line with a cause.
    :ivar rejections: refusals by the HTTP servers.
    """

    def __init__(
        self,
        limit_mb: int | None,
        descriptor_limit: int | None,
        counters: metrics.Metrics,
        log: cabc.Callable[[str], None],
    ) -> None:
        self._descriptor_limit = descriptor_limit
        self._counters = counters
        self._log = log
        limit_bytes = memory.read_vm_bytes()
        if limit_mb is not None:
            memory.return_large_blocks()
            limit_bytes = limit_mb << 20
        self._own_bytes = memory.read_own_bytes()
        self.account = memory.MemoryAccount(limit_bytes, self._own_bytes)
        self._reported = list(self.account.refusals)
        self.rejections = RejectionLog(counters)

    def max_connections(self, kind: PortKind) -> int | None:
        """Return the limit of connections of a port, if there is one."""
        if self._descriptor_limit is None:
            return None
        return max(1, int(kind.value * self._descriptor_limit))

    async def run(self) -> None:
        """Watch the memory of the process, and report once a second."""
        while True:
            await anyio.sleep(WATCH_INTERVAL_S)
            self._measure()
            self._report()

    def _measure(self) -> None:
        if self.account.used_bytes > QUIET_BYTES:
            return
        own_bytes = memory.read_own_bytes()
        if own_bytes > self._own_bytes + TRIM_BYTES:
            memory.return_freed_memory()
            own_bytes = memory.read_own_bytes()
        self._own_bytes = own_bytes
        self.account.resize(own_bytes)

    def _report(self) -> None:
        causes = []
        for each in _Class:
            count = self.account.refusals[each]
            more = count - self._reported[each]
            if not more:
                continue
            self._reported[each] = count
            if each in _COUNTERS:
                self._counters.count(_COUNTERS[each], more)
            causes.append(
                f"{more} of {each.name.lower()}: {self.account.used(each)} of "
                f"{self.account.limit(each)} bytes are in use"
            )
        if causes:
            self._log("no memory for " + "; ".join(causes))
        rejected = self.rejections.take()
        if rejected:
            self._log(f"refused {rejected}")
