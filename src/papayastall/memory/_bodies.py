"""Decisions on request bodies that are being received."""

from __future__ import annotations

import enum

import msgspec

from papayastall.memory import _account

__all__ = ["BodyCheck", "BodyIntake", "Holding", "Verdict"]

SMALL_BODY_BYTES = 64 << 10
"""Bodies up to this size are not held back: doing so would free little."""
MAX_EARLIER = 64
"""Earlier bodies whose rest is estimated before a later one is held back."""
CHECK_INTERVAL_S = 1.0
MIN_PROGRESS_BYTES = 4 << 10
"""Progress between two checks; a slower client counts as stalled. A link of
6 Mbit/s shared by 100 clients leaves each twice as much."""
MAX_STALLED_CHECKS = 3
"""Checks in a row without progress after which a body is given up. Checks
are counted, so that a pause of this process itself counts as one."""
MAX_HELD_BACK_CHECKS = 5
"""Checks after which a body that is held back is refused; callers give up
after some seconds, and so does the ingress."""


class Verdict(enum.Enum):
    """What to do with a body after a part of it was received."""

    READ = "read"
    HOLD_BACK = "hold-back"
    """Read no more of it until it is resumed."""
    REFUSE = "refuse"
    """Drop the request, which did not run."""


class Holding(msgspec.Struct, eq=False):
    """A body that is kept in memory until its request ends.

    :param owner: the connection that receives it.
    :param expected_bytes: its length, ``None`` if that is not known.
    :param received_bytes: part that was booked.
    """

    owner: object
    expected_bytes: int | None
    received_bytes: int = 0
    is_complete: bool = False
    is_held_back: bool = False
    seen_bytes: int = 0
    stalled_checks: int = 0
    held_back_checks: int = 0

    @property
    def missing_bytes(self) -> int:
        """Estimate of what is still to come.

        Of a body without a length as much as has been received.
        """
        if self.expected_bytes is None:
            return max(SMALL_BODY_BYTES, self.received_bytes)
        return self.expected_bytes - self.received_bytes


class BodyCheck(msgspec.Struct):
    """What a check has found.

    :param stalled: bodies without progress, to be given up.
    :param refused: bodies that were held back for too long.
    :param resumed: bodies to read again.
    """

    stalled: list[Holding] = msgspec.field(default_factory=list)
    refused: list[Holding] = msgspec.field(default_factory=list)
    resumed: list[Holding] = msgspec.field(default_factory=list)


class BodyIntake:
    """Decides which bodies of one class are received.

    Near the limit of the class, the newest of the large bodies are held
    back first, as far as the earlier ones need the memory that is left.
    Complete bodies are never acted on.
    """

    def __init__(
        self,
        account: _account.MemoryAccount,
        memory_class: _account.MemoryClass,
    ) -> None:
        self._account = account
        self._class = memory_class
        # In order of their arrival.
        self._incomplete: dict[Holding, None] = {}
        self._held_back = 0
        self._checked_s = 0.0

    def open(
        self, owner: object, expected_bytes: int | None
    ) -> Holding | None:
        """Begin to receive a body; ``None`` to refuse it.

        :param expected_bytes: its length, if known.
        """
        free = self._account.free(self._class)
        expected = expected_bytes or 0
        near = self._account.is_near(self._class)
        if expected > free or (near and expected > SMALL_BODY_BYTES):
            self._account.refusals[self._class] += 1
            return None
        holding = Holding(owner, expected_bytes)
        self._incomplete[holding] = None
        return holding

    def add(self, holding: Holding, size_bytes: int) -> Verdict:
        """Book a received part of a body."""
        if not self._account.book(self._class, size_bytes):
            return Verdict.REFUSE
        holding.received_bytes += size_bytes
        if not self._account.is_near(self._class) or holding.is_held_back:
            return Verdict.READ
        if self._may_go_on(holding):
            return Verdict.READ
        holding.is_held_back = True
        self._held_back += 1
        return Verdict.HOLD_BACK

    def _may_go_on(self, holding: Holding) -> bool:
        if holding.received_bytes <= SMALL_BODY_BYTES:
            return True
        left = self._account.free(self._class)
        for count, each in enumerate(self._incomplete):
            left -= each.missing_bytes
            if each is holding:
                # The first is always read, so that one can be complete.
                return left >= 0 or count == 0
            if left < 0 or count >= MAX_EARLIER:
                break
        return False

    def complete(self, holding: Holding) -> None:
        """Note that a body is complete; it stays booked."""
        self._forget(holding)
        holding.is_complete = True

    def close(self, holding: Holding) -> list[Holding]:
        """Release the memory of a body; return the bodies to resume."""
        self._forget(holding)
        self._account.release(self._class, holding.received_bytes)
        holding.received_bytes = 0
        return self._resume() if self._held_back else []

    def _forget(self, holding: Holding) -> None:
        self._incomplete.pop(holding, None)
        if holding.is_held_back:
            holding.is_held_back = False
            self._held_back -= 1

    def _resume(self) -> list[Holding]:
        resumed: list[Holding] = []
        left = self._account.free(self._class)
        for count, each in enumerate(self._incomplete):
            left -= each.missing_bytes
            if left < 0 and count:
                break
            if each.is_held_back:
                each.is_held_back = False
                each.held_back_checks = 0
                self._held_back -= 1
                resumed.append(each)
        return resumed

    def check(self, now_s: float, is_short: bool = False) -> BodyCheck:
        """Look for bodies to give up or resume; call about once a second.

        :param is_short: whether something else than memory is short, so
            that bodies without progress are given up too.
        """
        found = BodyCheck()
        if now_s - self._checked_s < 0.9 * CHECK_INTERVAL_S:
            return found
        self._checked_s = now_s
        near = is_short or self._held_back > 0
        near = near or self._account.is_near(self._class)
        for each in self._incomplete:
            progress = each.received_bytes - each.seen_bytes
            each.seen_bytes = each.received_bytes
            if each.is_held_back:
                each.held_back_checks += 1
                if each.held_back_checks >= MAX_HELD_BACK_CHECKS:
                    found.refused.append(each)
                continue
            if progress >= MIN_PROGRESS_BYTES:
                each.stalled_checks = 0
                continue
            each.stalled_checks += 1
            if near and each.stalled_checks >= MAX_STALLED_CHECKS:
                found.stalled.append(each)
        if self._held_back:
            found.resumed = self._resume()
        return found
