"""The bounded queue of one service at one owner.

Urgent requests go first; among equals, short work before long, then teams
in turn.
"""

from __future__ import annotations

import collections
import enum
import itertools
import math

import msgspec

from papayastall import _decision_types as types

__all__ = ["QueuedRequest", "RankedQueue", "TeamQueue", "Turn"]


class Turn(enum.IntEnum):
    """Who goes first among requests of one rank."""

    SHORT = 0
    """Delays the others little, and is mostly what an upstream waits for."""
    USUAL = 1
    PATIENT = 2
    """Has time to spare beside its own run."""


Precedence = tuple[int, Turn]
"""Rank of a request and its turn; the least goes first."""


class QueuedRequest(msgspec.Struct, frozen=True):
    """A request that waits for a slot.

    :param latest_s: when it is refused rather than held any longer.
    :param run_s: how long it will likely run.
    """

    request: types.OwnerRequest
    queued_s: float
    precedence: Precedence = (0, Turn.SHORT)
    latest_s: float = math.inf
    run_s: float = 0.0


class TeamQueue:
    """Requests in order of arrival within a team, teams in turn."""

    __slots__ = ("_by_team", "_size")

    def __init__(self) -> None:
        self._by_team: collections.OrderedDict[
            str, collections.deque[QueuedRequest]
        ] = collections.OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def ahead_of_s(self, team: str) -> float:
        """Return the work that runs before a new request, seconds."""
        own = len(self._by_team.get(team, ()))
        return sum(
            item.run_s
            for name, waiting in self._by_team.items()
            for item in itertools.islice(waiting, own + (name != team))
        )

    def work_s(self) -> float:
        """Return the work of all that wait, seconds."""
        return sum(
            item.run_s
            for waiting in self._by_team.values()
            for item in waiting
        )

    def push(self, item: QueuedRequest) -> None:
        """Add a request behind the others of its team."""
        waiting = self._by_team.setdefault(
            item.request.team, collections.deque()
        )
        waiting.append(item)
        self._size += 1

    def push_front(self, item: QueuedRequest) -> None:
        """Put back a request that was just taken, first in turn."""
        team = item.request.team
        self._by_team.setdefault(team, collections.deque()).appendleft(item)
        self._by_team.move_to_end(team, last=False)
        self._size += 1

    def pop(self) -> QueuedRequest | None:
        """Take the next request; its team goes to the end of the turn."""
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
        """Take the newest request of the longest team, if that is fairer.

        :returns: ``None`` when the team itself waits with as many.
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
        """Take the newest request of the team that waits with most."""
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
        """Take out one request by its id."""
        for team, waiting in self._by_team.items():
            for item in waiting:
                if item.request.request_id == request_id:
                    waiting.remove(item)
                    self._size -= 1
                    if not waiting:
                        del self._by_team[team]
                    return item
        return None

    def take_late(self, latest_s: float) -> list[QueuedRequest]:
        """Take out all requests that must not wait beyond this time."""
        late: list[QueuedRequest] = []
        for team in list(self._by_team):
            waiting = self._by_team[team]
            kept: collections.deque[QueuedRequest] = collections.deque()
            for item in waiting:
                if min(item.latest_s, item.request.deadline_s) < latest_s:
                    late.append(item)
                else:
                    kept.append(item)
            if kept:
                self._by_team[team] = kept
            else:
                del self._by_team[team]
        self._size -= len(late)
        return late


class RankedQueue:
    """Team queues by precedence."""

    __slots__ = ("_queues",)

    def __init__(self) -> None:
        self._queues: dict[Precedence, TeamQueue] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def ahead_of_s(self, team: str, precedence: Precedence) -> float:
        """Return the work that runs before a new request, seconds."""
        return sum(
            queue.ahead_of_s(team) if known == precedence else queue.work_s()
            for known, queue in self._queues.items()
            if known <= precedence
        )

    def push(self, item: QueuedRequest) -> None:
        """Add a request behind its equals."""
        self._queue(item.precedence).push(item)

    def push_front(self, item: QueuedRequest) -> None:
        """Put back a request that was just taken, first in turn."""
        self._queue(item.precedence).push_front(item)

    def pop(self) -> QueuedRequest | None:
        """Take the most urgent request."""
        for precedence in sorted(self._queues):
            item = self._queues[precedence].pop()
            if item is not None:
                return item
        return None

    def displace_for(
        self, team: str, precedence: Precedence
    ) -> QueuedRequest | None:
        """Take the newest of the least urgent requests, if that is fairer."""
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
        """Take out one request by its id."""
        for queue in self._queues.values():
            item = queue.remove(request_id)
            if item is not None:
                return item
        return None

    def take_late(self, latest_s: float) -> list[QueuedRequest]:
        """Take out all requests that must not wait beyond this time."""
        return [
            item
            for queue in self._queues.values()
            for item in queue.take_late(latest_s)
        ]

    def _queue(self, precedence: Precedence) -> TeamQueue:
        return self._queues.setdefault(precedence, TeamQueue())
