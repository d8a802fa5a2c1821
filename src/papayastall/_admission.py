"""The bounded queue of one service at one owner.

The order is by rank, then by class (short requests first), then round-robin
between teams.
"""

from __future__ import annotations

import collections
import enum
import itertools
import math

import msgspec

from papayastall import _decision_types as types

__all__ = ["QueueClass", "QueuedRequest", "RankedQueue", "TeamQueue"]


class QueueClass(enum.IntEnum):
    """The order of requests of the same rank; lower goes first."""

    SHORT = 0
    """Delays others little; mostly a call that an upstream waits for."""
    NORMAL = 1
    DEFERRABLE = 2
    """Its objective leaves time to spare beside its run."""


Precedence = tuple[int, QueueClass]
"""Rank of a request and its class; the lowest pair goes first."""


class QueuedRequest(msgspec.Struct, frozen=True):
    """A request that waits for a slot.

    :param latest_start_s: when it is refused instead of waiting longer.
    :param run_s: expected run time.
    """

    request: types.OwnerRequest
    queued_s: float
    precedence: Precedence = (0, QueueClass.SHORT)
    latest_start_s: float = math.inf
    run_s: float = 0.0


class TeamQueue:
    """A round-robin queue of teams, first-in first-out within a team."""

    __slots__ = ("_by_team", "_size")

    def __init__(self) -> None:
        self._by_team: collections.OrderedDict[
            str, collections.deque[QueuedRequest]
        ] = collections.OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def work_ahead_s(self, team: str) -> float:
        """Return the run time of what precedes a new request, in seconds."""
        own = len(self._by_team.get(team, ()))
        return sum(
            item.run_s
            for name, waiting in self._by_team.items()
            for item in itertools.islice(waiting, own + (name != team))
        )

    def count_ahead(self, team: str) -> int:
        """Return the number of requests that precede a new one."""
        own = len(self._by_team.get(team, ()))
        return sum(
            min(len(waiting), own + (name != team))
            for name, waiting in self._by_team.items()
        )

    def work_s(self) -> float:
        """Return the run time of all queued requests, in seconds."""
        return sum(
            item.run_s
            for waiting in self._by_team.values()
            for item in waiting
        )

    def push(self, item: QueuedRequest) -> None:
        """Add a request after the others of its team."""
        waiting = self._by_team.setdefault(
            item.request.team, collections.deque()
        )
        waiting.append(item)
        self._size += 1

    def push_front(self, item: QueuedRequest) -> None:
        """Put a request that was just popped back to the front."""
        team = item.request.team
        self._by_team.setdefault(team, collections.deque()).appendleft(item)
        self._by_team.move_to_end(team, last=False)
        self._size += 1

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request; its team moves to the end."""
        if not self._by_team:
            return None
        team, waiting = next(iter(self._by_team.items()))
        item = waiting.popleft()
        self._size -= 1
        if waiting:
            self._by_team.move_to_end(team)
        else:
            del self._by_team[team]
        return item

    def displace_for(self, team: str) -> QueuedRequest | None:
        """Remove the newest request of the team with the most requests.

        :param team: team of the request that needs the room.
        :returns: ``None`` if ``team``, with its new request, would have at
            least as many.
        """
        longest = max(self._by_team, key=lambda name: len(self._by_team[name]))
        own = len(self._by_team.get(team, ()))
        waiting = self._by_team[longest]
        if len(waiting) <= own + 1:
            return None
        item = waiting.pop()
        self._size -= 1
        return item

    def take_newest(self) -> QueuedRequest | None:
        """Remove the newest request of the team with the most requests."""
        if not self._by_team:
            return None
        longest = max(self._by_team, key=lambda name: len(self._by_team[name]))
        waiting = self._by_team[longest]
        item = waiting.pop()
        if not waiting:
            del self._by_team[longest]
        self._size -= 1
        return item

    def remove(self, request_id: int) -> QueuedRequest | None:
        """Remove and return one request by its id."""
        for team, waiting in self._by_team.items():
            for item in waiting:
                if item.request.request_id == request_id:
                    waiting.remove(item)
                    self._size -= 1
                    if not waiting:
                        del self._by_team[team]
                    return item
        return None

    def take_overdue(self, latest_start_s: float) -> list[QueuedRequest]:
        """Remove and return the requests that can no longer start in time.

        :param latest_start_s: the present time; requests whose own latest
            start or deadline is earlier are returned.
        """
        overdue: list[QueuedRequest] = []
        for team in list(self._by_team):
            waiting = self._by_team[team]
            kept: collections.deque[QueuedRequest] = collections.deque()
            for item in waiting:
                if (
                    min(item.latest_start_s, item.request.deadline_s)
                    < latest_start_s
                ):
                    overdue.append(item)
                else:
                    kept.append(item)
            if kept:
                self._by_team[team] = kept
            else:
                del self._by_team[team]
        self._size -= len(overdue)
        return overdue


class RankedQueue:
    """Queues of teams, one for each precedence."""

    __slots__ = ("_queues",)

    def __init__(self) -> None:
        self._queues: dict[Precedence, TeamQueue] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def total_work_s(self) -> float:
        """Return the run time of all queued requests, in seconds."""
        return sum(queue.work_s() for queue in self._queues.values())

    def work_ahead_s(self, team: str, precedence: Precedence) -> float:
        """Return the run time of what precedes a new request, in seconds."""
        return sum(
            queue.work_ahead_s(team) if known == precedence else queue.work_s()
            for known, queue in self._queues.items()
            if known <= precedence
        )

    def count_ahead(self, team: str, precedence: Precedence) -> int:
        """Return the number of requests that precede a new one."""
        return sum(
            queue.count_ahead(team) if known == precedence else len(queue)
            for known, queue in self._queues.items()
            if known <= precedence
        )

    def push(self, item: QueuedRequest) -> None:
        """Add a request after those of the same precedence and team."""
        self._queue(item.precedence).push(item)

    def push_front(self, item: QueuedRequest) -> None:
        """Put a request that was just popped back to the front."""
        self._queue(item.precedence).push_front(item)

    def pop(self) -> QueuedRequest | None:
        """Remove and return the most urgent request."""
        for precedence in sorted(self._queues):
            item = self._queues[precedence].pop()
            if item is not None:
                return item
        return None

    def displace_for(
        self, team: str, precedence: Precedence
    ) -> QueuedRequest | None:
        """Remove the newest of the least urgent requests for a new one.

        :param team: team of the new request.
        :param precedence: precedence of the new request.
        :returns: ``None`` if all are more urgent than the new request; with
            equal precedence see :meth:`TeamQueue.displace_for`.
        """
        waiting = [known for known, queue in self._queues.items() if queue]
        if not waiting:
            return None
        last = max(waiting)
        if last > precedence:
            return self._queues[last].take_newest()
        if last == precedence:
            return self._queues[last].displace_for(team)
        return None

    def remove(self, request_id: int) -> QueuedRequest | None:
        """Remove and return one request by its id."""
        for queue in self._queues.values():
            item = queue.remove(request_id)
            if item is not None:
                return item
        return None

    def take_overdue(self, latest_start_s: float) -> list[QueuedRequest]:
        """Remove and return the requests that can no longer start in time.

        :param latest_start_s: the present time; requests whose own latest
            start or deadline is earlier are returned.
        """
        return [
            item
            for queue in self._queues.values()
            for item in queue.take_overdue(latest_start_s)
        ]

    def _queue(self, precedence: Precedence) -> TeamQueue:
        return self._queues.setdefault(precedence, TeamQueue())
