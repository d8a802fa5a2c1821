"""Buffer for a body that arrives in parts."""

from __future__ import annotations

import io

__all__ = ["BodyBuffer"]

MAX_PARTS_BYTES = 256 << 10
"""Size up to which parts are joined only at the end. A buffer that grows
while it is small leaves holes of each of its former sizes; one of this size
or more has memory pages of its own, which move without being copied."""


class BodyBuffer:
    """Collects the parts of a body without copying it as a whole.

    :ivar size: number of bytes collected.
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._large: io.BytesIO | None = None
        self.size = 0

    def add(self, part: bytes) -> None:
        """Add a part."""
        self.size += len(part)
        if self._large is not None:
            self._large.write(part)
            return
        if part:
            self._parts.append(part)
        if self.size > MAX_PARTS_BYTES:
            self._large = io.BytesIO()
            self._large.writelines(self._parts)
            self._parts.clear()

    def take(self) -> bytes:
        """Return the body."""
        if self._large is not None:
            return self._large.getvalue()
        return b"".join(self._parts)
