"""The lease on the keys, without I/O.

A removed key must not be accepted for longer than a given time after the
removal was acknowledged. A node may therefore accept the keys of the
configuration in force for that time after a moment at which it was certainly
the latest one.
"""

from __future__ import annotations

import random

import msgspec

from papayastall.freshness import _facts
from papayastall.freshness import _messages
from papayastall.freshness import _sources

__all__ = ["Interval", "LeaseChange", "LeaseController", "RETRY_AFTER_S"]

REFERENCE_S = 5.0
"""Revocation time for which the intervals below are meant; they are scaled
for others."""
MARGIN_RATIO = 0.02
"""Part of the revocation time that the lease is shorter. Clocks of nodes run
apart by less than 0.1%, and each may omit ``MAX_WALL_OFFSET_CHANGE_S`` of a
suspension."""
MIN_MARGIN_S = 0.05
HEDGE_S = 0.25
"""Time without a reply after which another peer is asked."""
MAX_OPEN_QUERIES = 12
MAX_OPEN_PREFERRED = 8
"""Limit of those to peers that a node prefers, so that silent ones leave some
for its neighbors."""
RETRY_AFTER_S = 0.5
"""A node with a source that has a valid lease renews its own within this
time."""
MIN_DEMAND_INTERVAL_S = 0.25
"""Interval of queries for callers with unknown keys, whose number has no
limit."""
FAST_AFTER_END_S = 5.0
SLOW_RETRY_S = 0.5
"""Interval of queries once the lease has been over for ``FAST_AFTER_END_S``.
Where control has no leader, all nodes are in this state, and their queries
must not keep control replicas from an election."""


class Interval(msgspec.Struct, frozen=True):
    """How often a node asks.

    A change of leader takes up to 2.5 s. The age of knowledge at its start,
    the change and the time until knowledge of the new leader has reached all
    nodes together must be shorter than the lease.

    :param normal_s: interval of queries.
    :param fast_s: interval of queries while the knowledge is old.
    :param old_s: age from which it is old.
    """

    normal_s: float
    fast_s: float
    old_s: float


INTERVALS = {
    _sources.Role.REPLICA: Interval(0.4, 0.1, 1.0),
    _sources.Role.RELAY: Interval(0.4, 0.15, 1.4),
    _sources.Role.NODE: Interval(0.9, 0.2, 2.0),
}
OLD_REPLY_S = 1.4
"""Age in a reply above which another peer may know more; above the greatest
age that a relay has while control's leader can be reached."""
MAX_BEHIND_S = 0.5
"""Time by which a peer may know less than this node."""
JITTER = 0.2
"""Part by which an interval may be shorter, so that the nodes' queries don't
arrive together."""


class LeaseChange(msgspec.Struct, frozen=True):
    """The lease has ended or was gained.

    :param is_valid: whether it was gained.
    :param age_s: of the knowledge about the configuration in force.
    :param lapsed_s: for a gained lease: the time without one; 0.0 for the
        first lease of a process.
    """

    is_valid: bool
    age_s: float
    lapsed_s: float = 0.0


class LeaseController:
    """Decides whether keys may be accepted, and whom to ask when.

    :param revocation_s: time after the acknowledgement of a removal within
        which keys must be refused.
    """

    def __init__(
        self, node: str, revocation_s: float, rng: random.Random
    ) -> None:
        self._margin_s = max(MIN_MARGIN_S, MARGIN_RATIO * revocation_s)
        self.lease_s = revocation_s - self._margin_s
        self._scale = min(max(revocation_s / REFERENCE_S, 0.2), 4.0)
        self._rng = rng
        self._sources = _sources.Sources(node)
        self._facts = _facts.FactTable()
        self._in_force = 0
        self._in_force_s = float("-inf")
        self._open: dict[int, _messages.Query] = {}
        self._late: set[int] = set()
        self._count = 0
        self._due_s = float("-inf")
        self._demanded_s = float("-inf")
        self._without_since_s: float | None = None
        self._was_valid = False
        self._ended_s: float | None = None

    @property
    def newest(self) -> _facts.Fact | None:
        """What is known about the latest configuration."""
        return self._facts.newest

    @property
    def role(self) -> _sources.Role:
        """This node's position on the way from control's leader."""
        return self._sources.role

    def age_s(self, now_s: float, index: int) -> float:
        """Return the age of the knowledge about a configuration index."""
        return now_s - self._facts.find_known_s(index)

    def is_valid(self, now_s: float, index: int) -> bool:
        """Return whether the keys of the configuration may be accepted.

        :param index: of the configuration in force.
        """
        return self.age_s(now_s, index) < self.lease_s

    def detect_change(self, now_s: float, index: int) -> LeaseChange | None:
        """Return the change of the lease since the last call, if any."""
        is_valid = self.is_valid(now_s, index)
        if is_valid == self._was_valid:
            return None
        self._was_valid = is_valid
        age_s = self.age_s(now_s, index)
        if not is_valid:
            self._ended_s = now_s - age_s + self.lease_s
            return LeaseChange(False, age_s)
        lapsed_s = 0.0 if self._ended_s is None else now_s - self._ended_s
        return LeaseChange(True, age_s, lapsed_s)

    def update(self, topology: _sources.Topology, leader: str | None) -> None:
        """Use a changed view of the fleet; see :class:`Sources`."""
        self._sources.update(topology, leader)

    def tick(self, now_s: float, index: int) -> list[_messages.Query]:
        """Return the queries that are due; call several times a second.

        :param index: of the configuration in force.
        """
        self._note_in_force(now_s, index)
        is_late = self._note_late(now_s)
        if now_s < self._due_s and not is_late:
            return []
        age_s = min(self.age_s(now_s, index), self._newest_age_s(now_s))
        interval = INTERVALS[self._sources.role]
        is_old = age_s >= interval.old_s * self._scale
        if age_s < self.lease_s:
            self._without_since_s = None
        elif self._without_since_s is None:
            self._without_since_s = now_s
        self._due_s = now_s + self._interval_s(now_s, age_s, interval)
        if age_s < interval.normal_s * self._scale / 2:
            # This node leads control, or has just asked for a caller.
            return []
        queries = self._ask(now_s, alternative=False)
        if is_old:
            # A peer may be cut off from control on one way only.
            queries += self._ask(now_s, alternative=True)
        return queries

    def _newest_age_s(self, now_s: float) -> float:
        """Return the age of the newest knowledge, also of a later index.

        A node that waits for a configuration needs no more queries.
        """
        newest = self._facts.newest
        return float("inf") if newest is None else now_s - newest.known_s

    def _interval_s(
        self, now_s: float, age_s: float, interval: Interval
    ) -> float:
        interval_s = interval.normal_s
        if self._is_long_without(now_s):
            interval_s = SLOW_RETRY_S
        elif age_s >= interval.old_s * self._scale:
            interval_s = interval.fast_s
        jitter = 1.0 - JITTER * self._rng.random()
        return interval_s * jitter * self._scale

    def _is_long_without(self, now_s: float) -> bool:
        since_s = self._without_since_s
        return since_s is not None and now_s - since_s >= FAST_AFTER_END_S

    def demand(self, now_s: float) -> list[_messages.Query]:
        """Return a query at once, unless one was demanded just before."""
        if now_s - self._demanded_s < MIN_DEMAND_INTERVAL_S:
            return []
        self._demanded_s = now_s
        return self._ask(now_s, alternative=False)

    def _ask(self, now_s: float, alternative: bool) -> list[_messages.Query]:
        limit = MAX_OPEN_QUERIES if alternative else MAX_OPEN_PREFERRED
        if len(self._open) >= limit:
            return []
        asked = {query.peer for query in self._open.values()}
        peer = self._sources.choose(now_s, asked, alternative)
        if peer is None:
            return []
        self._count += 1
        query = _messages.Query(peer, self._count, now_s)
        self._open[query.number] = query
        return [query]

    def _note_late(self, now_s: float) -> bool:
        """Avoid the peers that do not answer in time.

        :returns: whether there is such a peer that was not avoided yet.
        """
        late = [
            query
            for query in self._open.values()
            if now_s - query.sent_s >= HEDGE_S
            and query.number not in self._late
        ]
        for query in late:
            self._late.add(query.number)
            self._sources.avoid(now_s, query.peer)
        return bool(late)

    def answered(
        self, now_s: float, query: _messages.Query, reply: _messages.Reply
    ) -> None:
        """Process the reply to a query; a late one counts as well.

        The peer knew of no later change ``age_s`` before it replied, and it
        replied after the query was made. Time on the way does not count.
        """
        self._close(query)
        if reply.age_s is None:
            self._note_ignorant(now_s, query.peer)
            return
        age_s = max(0.0, reply.age_s)
        fact = _facts.Fact(reply.index, query.sent_s - age_s)
        if self._is_of_another_group(fact):
            self._sources.avoid(now_s, query.peer)
            return
        newest = self._facts.newest
        self._facts.note(fact)
        behind_s = 0.0 if newest is None else newest.known_s - fact.known_s
        if behind_s >= MAX_BEHIND_S * self._scale:
            self._sources.avoid(now_s, query.peer)
        elif age_s >= OLD_REPLY_S * self._scale:
            self._sources.avoid_old(now_s, query.peer)
            self._hasten(now_s, now_s)
        elif now_s - query.sent_s < HEDGE_S:
            self._sources.use(query.peer)

    def _note_in_force(self, now_s: float, index: int) -> None:
        if index > self._in_force:
            self._in_force = index
            self._in_force_s = now_s

    def _is_of_another_group(self, fact: _facts.Fact) -> bool:
        """Return whether control had lost a change that is in force here.

        Control replicas that lost all disks found a group anew, whose indexes
        begin again. It knows nothing of the keys in force here.
        """
        since_s = self._in_force_s + self._margin_s
        return fact.index < self._in_force and fact.known_s > since_s

    def _note_ignorant(self, now_s: float, peer: str) -> None:
        """Avoid a peer that knows nothing.

        While this node has no lease either, no peer may know anything, as
        before the first leader after a common restart. Control replicas are
        then the first to learn of a leader, so they are not avoided for long.
        """
        if self._newest_age_s(now_s) < self.lease_s:
            self._sources.avoid(now_s, peer)
            return
        self._sources.avoid_old(now_s, peer)
        self._hasten(now_s, now_s)

    def failed(self, now_s: float, query: _messages.Query) -> None:
        """Record that no reply to a query will arrive."""
        is_late = query.number in self._late
        self._close(query)
        self._sources.avoid(now_s, query.peer)
        if not is_late:
            self._hasten(now_s, query.sent_s)

    def _hasten(self, now_s: float, since_s: float) -> None:
        """Ask again soon after a query that was of no use."""
        if self._is_long_without(now_s):
            return
        interval = INTERVALS[self._sources.role]
        self._due_s = min(self._due_s, since_s + interval.fast_s * self._scale)

    def _close(self, query: _messages.Query) -> None:
        self._open.pop(query.number, None)
        self._late.discard(query.number)

    def note_leading(self, asked_s: float, index: int) -> None:
        """Record that the local control replica leads.

        :param asked_s: a time before its lease was checked.
        :param index: of the latest configuration.
        """
        fact = _facts.Fact(index, asked_s)
        if not self._is_of_another_group(fact):
            self._facts.note(fact)

    def reply(self, now_s: float) -> _messages.Reply:
        """Return what this node knows, for another one."""
        newest = self._facts.newest
        if newest is None:
            return _messages.Reply(0, None)
        return _messages.Reply(newest.index, max(0.0, now_s - newest.known_s))
