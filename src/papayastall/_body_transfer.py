"""Transfer of a request's body from its ingress to its owner, without I/O.

The ingress keeps the whole body, so that a refused request can be forwarded
to another owner. The owner keeps no more than a window of it: it announces
up to which offset it takes bytes, and moves that limit as the upstream takes
them.
"""

from __future__ import annotations

import collections

import anyio

__all__ = [
    "FIRST_PART_BYTES",
    "MIN_WINDOW_BYTES",
    "PART_BYTES",
    "WINDOW_BYTES",
    "BodyLost",
    "BodyReceiver",
    "BodySender",
]

FIRST_PART_BYTES = 64 << 10
"""Part of a body that is sent with its request, before any is asked for."""
PART_BYTES = 64 << 10
WINDOW_BYTES = 256 << 10
"""Bytes of a body on their way to an owner, or waiting there."""
MIN_WINDOW_BYTES = 64 << 10
"""The same while memory is short."""


class BodyLost(Exception):
    """The rest of a body will not arrive."""


class BodySender:
    """The body of one attempt at the ingress, and how far it was sent.

    :param body: the whole body.
    :param sent_bytes: length of the part that was sent with the request.
    :param limit_bytes: offset up to which the owner takes bytes.
    """

    __slots__ = ("_body", "_is_suspended", "_limit_bytes", "sent_bytes")

    def __init__(
        self, body: bytes, sent_bytes: int, limit_bytes: int = 0
    ) -> None:
        self._body = body
        self.sent_bytes = sent_bytes
        self._limit_bytes = limit_bytes
        self._is_suspended = False

    @property
    def can_send(self) -> bool:
        """Whether the owner takes more bytes."""
        end = min(self._limit_bytes, len(self._body))
        return not self._is_suspended and self.sent_bytes < end

    def suspend(self) -> None:
        """Send nothing until :meth:`resume`; parts may have been lost."""
        self._is_suspended = True

    def resume(self, received_bytes: int) -> None:
        """Go on from what the owner has received."""
        self._is_suspended = False
        self.sent_bytes = min(received_bytes, len(self._body))

    def extend(self, limit_bytes: int) -> None:
        """Note the offset up to which the owner takes bytes."""
        self._limit_bytes = max(self._limit_bytes, limit_bytes)

    def take(self) -> tuple[int, bytes, bool]:
        """Return the offset and bytes of the next part, and if it is last."""
        start = self.sent_bytes
        end = min(start + PART_BYTES, self._limit_bytes, len(self._body))
        assert start < end, "the owner takes no more"
        self.sent_bytes = end
        return start, self._body[start:end], end == len(self._body)


class BodyReceiver:
    """The body of one request at its owner.

    :param total_bytes: length of the whole body.
    :ivar received_bytes: length of the part that has arrived.
    :ivar taken_bytes: length of the part that was taken.
    :ivar limit_bytes: offset up to which more is expected.
    """

    __slots__ = (
        "_changed",
        "_is_lost",
        "_parts",
        "limit_bytes",
        "received_bytes",
        "taken_bytes",
        "total_bytes",
    )

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.received_bytes = 0
        self.taken_bytes = 0
        self.limit_bytes = 0
        self._parts: collections.deque[bytes] = collections.deque()
        self._is_lost = False
        self._changed = anyio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether all parts have arrived."""
        return self.received_bytes >= self.total_bytes

    @property
    def has_all_granted(self) -> bool:
        """Whether all that the ingress was allowed to send has arrived."""
        return self.received_bytes >= self.limit_bytes

    @property
    def kept_bytes(self) -> int:
        """Length of what is expected, or has arrived and was not taken."""
        return self.limit_bytes - self.taken_bytes

    def extend(self, window_bytes: int) -> int:
        """Return by how much the limit may move, for a window."""
        limit = min(self.taken_bytes + window_bytes, self.total_bytes)
        return max(0, limit - self.limit_bytes)

    def add(self, offset_bytes: int, data: bytes) -> bool:
        """Add a part; return false if it is not the next one.

        What has arrived already is left out. After a lost part, the ingress
        sends again from ``received_bytes``.
        """
        repeated = self.received_bytes - offset_bytes
        if repeated < 0 or self._is_lost:
            return False
        data = data[repeated:] if repeated else data
        data = data[: self.limit_bytes - self.received_bytes]
        if not data:
            return False
        self._parts.append(data)
        self.received_bytes += len(data)
        self._changed.set()
        return True

    def lose(self) -> None:
        """Note that no more will arrive, and drop what has."""
        self._is_lost = True
        self._parts.clear()
        self._changed.set()

    async def take(self) -> bytes:
        """Wait for the next part and return it; ``b""`` at the end.

        :raises BodyLost: the rest will not arrive.
        """
        while not self._parts:
            if self._is_lost:
                raise BodyLost
            if self.taken_bytes >= self.total_bytes:
                return b""
            self._changed = anyio.Event()
            await self._changed.wait()
        data = self._parts.popleft()
        self.taken_bytes += len(data)
        return data
