"""Rate-limited repair (anti-entropy) of member tables that differ.

Two nodes whose digests differ exchange the digests of branches, then of the
leaves of some differing branches, then the records of the leaves that differ.
Every message is bounded. A node that is missing many records, for example
after a start or a long network partition, reads another node's table page by
page instead.
"""

from __future__ import annotations

import random

import msgspec

from papayastall import _member_table
from papayastall import _membership_types as types
from papayastall import _peer_choice

__all__ = ["Reconciler", "RepairMessage"]

EXCHANGE_INTERVAL_S = 3.0
FAR_INTERVALS = 4
"""Intervals from one exchange with another failure domain to the next."""
MIN_INTERVAL_S = 0.3
FULL_INTERVAL_MEMBERS = 200
"""From this size on, intervals are not shortened: sending a whole table is
then expensive compared with the regular traffic."""
PAGE_TIMEOUT_S = 0.5
READ_INTERVAL_S = 10.0
"""Shortest time from the end of one read of a table to the next, with
``FULL_INTERVAL_MEMBERS`` or more."""
STARTUP_PERIOD_S = 15.0
STARTUP_READ_INTERVAL_S = 2.0
"""``READ_INTERVAL_S`` within ``STARTUP_PERIOD_S`` of the start. Tables read
then are incomplete if all nodes start together, and one read brings many more
records than the queue of updates can."""
BRANCHES_PER_EXCHANGE = 3
MAX_BRANCHES_FOR_EXCHANGE = 16
"""If more branches differ, a node also reads the table of another node."""
MAX_RECORDS_BYTES = 1100
"""Limit of the records in one datagram."""
LEAF_NUMBER_BYTES = 4


class RepairMessage(msgspec.Struct, frozen=True):
    """A repair message to a peer or a seed.

    :param datagram_address: address of the receiver.
    """

    datagram_address: str
    body: types.Body
    records: tuple[types.Record, ...] = ()


class Reconciler:
    """Repairs differences between a node's table and those of its peers.

    :param seeds: datagram addresses to read pages from while no other
        member is known.
    """

    def __init__(
        self,
        table: _member_table.MemberTable,
        peers: _peer_choice.PeerChoice,
        seeds: tuple[str, ...],
        rng: random.Random,
        now_s: float,
    ) -> None:
        self._table = table
        self._peers = peers
        self._seeds = seeds
        self._rng = rng
        self._next_exchange_s = now_s + rng.uniform(0, EXCHANGE_INTERVAL_S)
        self._started_s = now_s
        self._next_far_exchange_s = self._next_exchange_s
        self._cursor = 0 if seeds else -1
        self._requested_s = float("-inf")
        self._next_read_s = now_s

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Set the addresses to read from while no other member is known."""
        self._seeds = seeds

    @property
    def is_reading(self) -> bool:
        """Whether pages of another node's table are still being read."""
        return self._cursor >= 0

    def tick(self, now_s: float) -> list[RepairMessage]:
        """Request the page again if no answer arrived in time."""
        if not self.is_reading or now_s - self._requested_s < PAGE_TIMEOUT_S:
            return []
        return self._request_page(now_s)

    def compare(
        self, now_s: float, source: str, digest: int, is_near: bool
    ) -> list[RepairMessage]:
        """Start an exchange if the digests differ and one is due.

        :param is_near: whether the sender is in this node's failure domain;
            exchanges with others are less frequent.
        """
        if digest == self._table.digest or self.is_reading:
            return []
        if now_s < self._next_exchange_s:
            return []
        if not is_near and now_s < self._next_far_exchange_s:
            return []
        if is_near and self._is_starting(now_s) and now_s >= self._next_read_s:
            self._cursor = 0
            return self._request_page(now_s)
        interval_s = self._scale_interval_s(EXCHANGE_INTERVAL_S)
        self._next_exchange_s = now_s + interval_s
        if not is_near:
            self._next_far_exchange_s = now_s + FAR_INTERVALS * interval_s
        digests = self._table.branch_digests()
        return [RepairMessage(source, types.BranchDigests(digests))]

    def handle_branch_digests(
        self, now_s: float, source: str, body: types.BranchDigests
    ) -> list[RepairMessage]:
        """Answer with the leaf digests of some branches that differ."""
        own_digests = self._table.branch_digests()
        differing = [
            branch
            for branch, digest in enumerate(body.digests[: len(own_digests)])
            if digest != own_digests[branch]
        ]
        if not differing:
            return []
        branch_count = min(len(differing), BRANCHES_PER_EXCHANGE)
        messages = [
            RepairMessage(
                source,
                types.LeafDigests(branch, self._table.leaf_digests(branch)),
            )
            for branch in self._rng.sample(differing, branch_count)
        ]
        are_many_differing = len(differing) > MAX_BRANCHES_FOR_EXCHANGE
        if (
            are_many_differing
            and not self.is_reading
            and now_s >= self._next_read_s
        ):
            self._cursor = 0
            messages.extend(self._request_page(now_s))
        return messages

    def handle_leaf_digests(
        self, source: str, body: types.LeafDigests
    ) -> list[RepairMessage]:
        """Answer with the records of the leaves that differ."""
        own_digests = self._table.leaf_digests(body.branch)
        start = body.branch * len(own_digests)
        differing = [
            start + offset
            for offset, digest in enumerate(body.digests[: len(own_digests)])
            if digest != own_digests[offset]
        ]
        if not differing:
            return []
        return [self._make_leaves_message(source, differing, True)]

    def handle_leaves(
        self, source: str, body: types.LeafRecords
    ) -> list[RepairMessage]:
        """Answer with this node's records of the leaves, if requested."""
        if not body.wants_reply:
            return []
        return [self._make_leaves_message(source, list(body.leaves), False)]

    def handle_page_request(
        self, source: str, body: types.PageRequest
    ) -> RepairMessage:
        """Answer with one page of records."""
        records, next_cursor = self._table.page(body.cursor, MAX_RECORDS_BYTES)
        page = types.Page(body.cursor, next_cursor)
        return RepairMessage(source, page, records)

    def handle_page(
        self, now_s: float, body: types.Page
    ) -> list[RepairMessage]:
        """Request the next page, or end the read after the last one."""
        if body.cursor != self._cursor:
            return []
        self._cursor = body.next_cursor
        if not self.is_reading:
            interval_s = READ_INTERVAL_S
            if self._is_starting(now_s):
                interval_s = STARTUP_READ_INTERVAL_S
            self._next_read_s = now_s + self._scale_interval_s(interval_s)
            return []
        return self._request_page(now_s)

    def _is_starting(self, now_s: float) -> bool:
        return now_s - self._started_s < STARTUP_PERIOD_S

    def _scale_interval_s(self, interval_s: float) -> float:
        """Return the interval, shortened in a small fleet.

        A repair costs little there. It is also needed more often: when all
        nodes start at once, each queues its first updates for the few
        members that it knows by then.
        """
        share = min(1.0, len(self._table.live) / FULL_INTERVAL_MEMBERS)
        return max(MIN_INTERVAL_S, interval_s * share)

    def _request_page(self, now_s: float) -> list[RepairMessage]:
        self._requested_s = now_s
        target = self._choose_source()
        if target is None:
            self._cursor = -1
            return []
        return [RepairMessage(target, types.PageRequest(self._cursor))]

    def _choose_source(self) -> str | None:
        address = self._peers.draw()
        if address is not None:
            return self._table.members[address].datagram_address
        if self._seeds:
            return self._rng.choice(self._seeds)
        return None

    def _make_leaves_message(
        self, source: str, leaves: list[int], wants_reply: bool
    ) -> RepairMessage:
        self._rng.shuffle(leaves)
        chosen: list[int] = []
        sent: list[types.Record] = []
        remaining_bytes = MAX_RECORDS_BYTES
        for leaf in leaves:
            records = self._table.leaf_records(leaf)
            size_bytes = LEAF_NUMBER_BYTES
            size_bytes += sum(record.size_bytes for record in records)
            if size_bytes > remaining_bytes and chosen:
                break
            chosen.append(leaf)
            if size_bytes > remaining_bytes:
                sent.extend(self._select_fitting(records, remaining_bytes))
                break
            sent.extend(records)
            remaining_bytes -= size_bytes
        body = types.LeafRecords(tuple(chosen), wants_reply)
        return RepairMessage(source, body, tuple(sent))

    def _select_fitting(
        self, records: tuple[types.Record, ...], size_bytes: int
    ) -> list[types.Record]:
        chosen: list[types.Record] = []
        for record in self._rng.sample(records, len(records)):
            size_bytes -= record.size_bytes
            if size_bytes < 0:
                break
            chosen.append(record)
        return chosen
