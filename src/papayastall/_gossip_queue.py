"""Chooses the news that ride on the next datagram."""

from __future__ import annotations

import collections
import math

import msgspec

from papayastall import _member_table
from papayastall import _membership_types as types

__all__ = ["GossipQueue"]

TRANSMISSIONS_PER_DOUBLING = 2
MIN_TRANSMISSIONS = 6
MAX_QUEUED = 512


class _Key(msgspec.Struct, frozen=True):
    address: str
    service: str | None


class GossipQueue:
    """Each piece of news is sent a bounded number of times, newest first.

    The queue holds names only: what is sent is the table's present record.
    """

    def __init__(self, table: _member_table.MemberTable) -> None:
        self._table = table
        self._left: dict[_Key, int] = {}
        self._order: collections.deque[_Key] = collections.deque()

    def __len__(self) -> int:
        return len(self._order)

    def add_member(self, address: str) -> None:
        """Spread the present statement about a member."""
        self._add(_Key(address, None))

    def add_advert(self, owner: str, service: str) -> None:
        """Spread the present record of an advert."""
        self._add(_Key(owner, service))

    def take(self, size_bytes: int) -> list[types.Record]:
        """Return records that fit, and count them as sent once."""
        taken: list[types.Record] = []
        again: list[_Key] = []
        while self._order:
            key = self._order[0]
            record = self._record(key)
            if record is not None:
                size_bytes -= record.size_bytes
                if size_bytes < 0:
                    break
                taken.append(record)
            self._order.popleft()
            self._left[key] -= 1
            if record is None or self._left[key] == 0:
                del self._left[key]
            else:
                again.append(key)
        self._order.extend(again)
        return taken

    def _add(self, key: _Key) -> None:
        if key not in self._left:
            self._order.appendleft(key)
        doublings = math.ceil(math.log2(len(self._table.live) + 1))
        self._left[key] = max(
            MIN_TRANSMISSIONS, TRANSMISSIONS_PER_DOUBLING * doublings
        )
        if len(self._order) > MAX_QUEUED:
            del self._left[self._order.pop()]

    def _record(self, key: _Key) -> types.Record | None:
        if key.service is None:
            return self._table.member_record(key.address)
        return self._table.advert_record(key.address, key.service)
