"""The queue of one service at one owner, ordered by expected run time."""

from __future__ import annotations

import bisect
import itertools

import msgspec

from papayastall import _admission

__all__ = ["CostQueue"]

_OVERTAKING_FACTOR = 2.0
"""A request is overtaken only by others that arrive within this multiple of
its own expected run time. With more, overload is borne by the longest requests
alone; with less, more calls fail."""


class _Entry(msgspec.Struct, frozen=True, order=True):
    """A queued request and its place.

    :param key_s: time of its arrival, later by a multiple of its run time and
        of those of its team that were queued before it.
    """

    rank: int
    key_s: float
    order: int


class CostQueue:
    """Short requests first within a rank, with a bound on overtaking.

    A team's further requests count with the run time of its earlier ones,
    so that many short requests of one team don't overtake all others. This
    does not hold for requests without a team, such as calls.
    """

    __slots__ = ("_entries", "_items", "_order")

    def __init__(self) -> None:
        self._entries: list[_Entry] = []
        self._items: dict[int, _admission.QueuedRequest] = {}
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def total_work_s(self) -> float:
        """Return the run time of all queued requests, in seconds."""
        return sum(item.run_s for item in self._items.values())

    def list_ahead(
        self, now_s: float, team: str, rank: int, run_s: float
    ) -> list[_admission.QueuedRequest]:
        """Return what precedes a new request."""
        entry = self._place(now_s, team, rank, run_s)
        count = bisect.bisect_left(self._entries, entry)
        return [self._items[each.order] for each in self._entries[:count]]

    def push(self, item: _admission.QueuedRequest) -> None:
        """Add a request."""
        entry = self._place(
            item.queued_s, item.request.team, item.precedence[0], item.run_s
        )
        bisect.insort(self._entries, entry)
        self._items[entry.order] = item

    def push_front(self, item: _admission.QueuedRequest) -> None:
        """Put a request that was just popped back to the front."""
        key_s = item.queued_s
        if self._entries:
            key_s = min(key_s, self._entries[0].key_s)
        entry = _Entry(item.precedence[0], key_s, -next(self._order))
        self._entries.insert(0, entry)
        self._items[entry.order] = item

    def pop(self) -> _admission.QueuedRequest | None:
        """Remove and return the first request."""
        return self._take(0) if self._entries else None

    def displace_for(
        self, team: str, precedence: _admission.Precedence
    ) -> _admission.QueuedRequest | None:
        """Remove the last request of the last rank for a new one.

        :param team: team of the new request.
        :returns: ``None`` if no queued request is less urgent and, among
            those of its rank, no team has more than the new request's team
            would have.
        """
        if not self._entries:
            return None
        last_rank = self._entries[-1].rank
        if last_rank > precedence[0]:
            return self._take(len(self._entries) - 1)
        if last_rank < precedence[0]:
            return None
        counts: dict[str, int] = {}
        for entry in self._entries:
            if entry.rank == last_rank:
                name = self._items[entry.order].request.team
                counts[name] = counts.get(name, 0) + 1
        largest = max(counts, key=lambda name: counts[name])
        if counts[largest] <= counts.get(team, 0) + 1:
            return None
        for index in range(len(self._entries) - 1, -1, -1):
            item = self._items[self._entries[index].order]
            if item.request.team == largest:
                return self._take(index)
        return None

    def remove(self, request_id: int) -> _admission.QueuedRequest | None:
        """Remove and return one request by its id."""
        for index, entry in enumerate(self._entries):
            if self._items[entry.order].request.request_id == request_id:
                return self._take(index)
        return None

    def take_overdue(
        self, latest_start_s: float
    ) -> list[_admission.QueuedRequest]:
        """Remove and return the requests that can no longer start in time.

        :param latest_start_s: the present time.
        """
        overdue = [
            item.request.request_id
            for item in self._items.values()
            if min(item.latest_start_s, item.request.deadline_s)
            < latest_start_s
        ]
        taken = [self.remove(request_id) for request_id in overdue]
        return [item for item in taken if item is not None]

    def _place(
        self, now_s: float, team: str, rank: int, run_s: float
    ) -> _Entry:
        own_s = 0.0
        if team:
            own_s = sum(
                item.run_s
                for item in self._items.values()
                if item.request.team == team
            )
        key_s = now_s + _OVERTAKING_FACTOR * (run_s + own_s)
        return _Entry(rank, key_s, next(self._order))

    def _take(self, index: int) -> _admission.QueuedRequest:
        return self._items.pop(self._entries.pop(index).order)
