"""Selects the updates to piggyback on the next datagram."""

from __future__ import annotations

import collections
import math

import msgspec

from papayastall import _member_table
from papayastall import _membership_types as types

__all__ = ["GossipQueue", "count_index_transmissions"]

TRANSMISSIONS_PER_DOUBLING = 1
INDEX_TRANSMISSIONS_PER_DOUBLING = 2
"""A config index is not repaired by comparing tables, so it is sent more
often than a record."""
MIN_TRANSMISSIONS = 6
MAX_QUEUED_UPDATES = 512


def count_index_transmissions(members: int) -> int:
    """Return how often a node sends a config index, so that all receive it."""
    return _scale(INDEX_TRANSMISSIONS_PER_DOUBLING, members)


def _scale(per_doubling: int, members: int) -> int:
    doublings = math.ceil(math.log2(members + 1))
    return max(MIN_TRANSMISSIONS, per_doubling * doublings)


class _Key(msgspec.Struct, frozen=True):
    address: str
    service: str | None


class GossipQueue:
    """Updates to disseminate: each is sent a limited number of times.

    The newest goes first. The queue holds keys only; a record is read from
    the member table when it is sent.
    """

    def __init__(self, table: _member_table.MemberTable) -> None:
        self._table = table
        self._transmissions_left: dict[_Key, int] = {}
        self._order: collections.deque[_Key] = collections.deque()

    def __len__(self) -> int:
        return len(self._order)

    def add_member(self, address: str) -> None:
        """Queue the current record of a member."""
        self._add(_Key(address, None))

    def add_advert(self, owner: str, service: str) -> None:
        """Queue the current record of an advert."""
        self._add(_Key(owner, service))

    def take(self, size_bytes: int) -> list[types.Record]:
        """Return records that fit, and count one transmission of each."""
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
            self._transmissions_left[key] -= 1
            if record is None or self._transmissions_left[key] == 0:
                del self._transmissions_left[key]
            else:
                again.append(key)
        self._order.extend(again)
        return taken

    def _add(self, key: _Key) -> None:
        if key not in self._transmissions_left:
            self._order.appendleft(key)
        self._transmissions_left[key] = _scale(
            TRANSMISSIONS_PER_DOUBLING, len(self._table.live)
        )
        if len(self._order) > MAX_QUEUED_UPDATES:
            del self._transmissions_left[self._order.pop()]

    def _record(self, key: _Key) -> types.Record | None:
        if key.service is None:
            return self._table.member_record(key.address)
        return self._table.advert_record(key.address, key.service)
