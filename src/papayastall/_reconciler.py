"""Slow repair of tables that differ, a bounded page at a time.

Two nodes whose digests differ exchange the digests of branches, then of
one branch's leaves, then the records of the leaves that differ. A node
that lacks much, as after a start or a long cut, reads another's table
page by page instead.
"""

from __future__ import annotations

import random

import msgspec

from papayastall import _member_table
from papayastall import _membership_types as types

__all__ = ["Reconciler", "RepairMessage"]

EXCHANGE_INTERVAL_S = 3.0
MIN_INTERVAL_S = 0.3
FULL_INTERVAL_MEMBERS = 200
"""From this size on a whole table is large beside the steady traffic."""
PAGE_TIMEOUT_S = 0.5
READ_INTERVAL_S = 10.0
BRANCHES_PER_EXCHANGE = 3
MAX_BRANCHES_BY_EXCHANGE = 16
RECORDS_SIZE_BYTES = 1100
LEAF_NUMBER_BYTES = 4


class RepairMessage(msgspec.Struct, frozen=True):
    """A message of the repair, to the peer in hand or a seed.

    :param datagram_address: the receiver.
    """

    datagram_address: str
    body: types.Body
    records: tuple[types.Record, ...] = ()


class Reconciler:
    """Keeps a node's table equal to the others'.

    :param seeds: datagram addresses to read the first pages from.
    """

    def __init__(
        self,
        own_address: str,
        table: _member_table.MemberTable,
        seeds: tuple[str, ...],
        rng: random.Random,
        now_s: float,
    ) -> None:
        self._own_address = own_address
        self._table = table
        self._seeds = seeds
        self._rng = rng
        self._next_exchange_s = now_s + rng.uniform(0, EXCHANGE_INTERVAL_S)
        self._cursor = 0 if seeds else -1
        self._asked_s = float("-inf")
        self._next_read_s = now_s

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Set whom to read the first pages from."""
        self._seeds = seeds

    @property
    def is_reading(self) -> bool:
        """Whether pages of another node's table are still wanted."""
        return self._cursor >= 0

    def tick(self, now_s: float) -> list[RepairMessage]:
        """Ask again for a page that did not come."""
        if not self.is_reading or now_s - self._asked_s < PAGE_TIMEOUT_S:
            return []
        return self._ask(now_s)

    def compare(
        self, now_s: float, source: str, digest: int
    ) -> list[RepairMessage]:
        """Open an exchange if the peer's digest differs and it is time."""
        if digest == self._table.digest or self.is_reading:
            return []
        if now_s < self._next_exchange_s:
            return []
        self._next_exchange_s = now_s + self._scale_s(EXCHANGE_INTERVAL_S)
        digests = self._table.branch_digests()
        return [RepairMessage(source, types.BranchDigests(digests))]

    def handle_branch_digests(
        self, now_s: float, source: str, body: types.BranchDigests
    ) -> list[RepairMessage]:
        """Answer with the leaves of some branches that differ."""
        own = self._table.branch_digests()
        differing = [
            branch
            for branch, digest in enumerate(body.digests[: len(own)])
            if digest != own[branch]
        ]
        if not differing:
            return []
        some = min(len(differing), BRANCHES_PER_EXCHANGE)
        messages = [
            RepairMessage(
                source,
                types.LeafDigests(branch, self._table.leaf_digests(branch)),
            )
            for branch in self._rng.sample(differing, some)
        ]
        many = len(differing) > MAX_BRANCHES_BY_EXCHANGE
        if many and not self.is_reading and now_s >= self._next_read_s:
            self._cursor = 0
            messages.extend(self._ask(now_s))
        return messages

    def handle_leaf_digests(
        self, source: str, body: types.LeafDigests
    ) -> list[RepairMessage]:
        """Answer with the records of the leaves that differ."""
        own = self._table.leaf_digests(body.branch)
        start = body.branch * len(own)
        differing = [
            start + offset
            for offset, digest in enumerate(body.digests[: len(own)])
            if digest != own[offset]
        ]
        if not differing:
            return []
        return [self._leaves_message(source, differing, True)]

    def handle_leaves(
        self, source: str, body: types.LeafRecords
    ) -> list[RepairMessage]:
        """Answer with this node's records of the leaves, if wanted."""
        if not body.wants_reply:
            return []
        return [self._leaves_message(source, list(body.leaves), False)]

    def handle_page_request(
        self, source: str, body: types.PageRequest
    ) -> RepairMessage:
        """Answer a reader with one page."""
        records, next_cursor = self._table.page(
            body.cursor, RECORDS_SIZE_BYTES
        )
        page = types.Page(body.cursor, next_cursor)
        return RepairMessage(source, page, records)

    def handle_page(
        self, now_s: float, body: types.Page
    ) -> list[RepairMessage]:
        """Go on to the next page."""
        if body.cursor != self._cursor:
            return []
        self._cursor = body.next_cursor
        if not self.is_reading:
            self._next_read_s = now_s + self._scale_s(READ_INTERVAL_S)
            return []
        return self._ask(now_s)

    def _scale_s(self, interval_s: float) -> float:
        """Return an interval that is shorter in a small fleet.

        There a repair costs little, and news was queued for few members
        while all nodes started at once.
        """
        share = min(1.0, len(self._table.live) / FULL_INTERVAL_MEMBERS)
        return max(MIN_INTERVAL_S, interval_s * share)

    def _ask(self, now_s: float) -> list[RepairMessage]:
        self._asked_s = now_s
        target = self._reading_from()
        if target is None:
            self._cursor = -1
            return []
        return [RepairMessage(target, types.PageRequest(self._cursor))]

    def _reading_from(self) -> str | None:
        others = [
            address
            for address in self._rng.sample(
                self._table.live, min(len(self._table.live), 3)
            )
            if address != self._own_address
        ]
        if others:
            return self._table.members[others[0]].datagram_address
        if self._seeds:
            return self._rng.choice(self._seeds)
        return None

    def _leaves_message(
        self, source: str, leaves: list[int], wants_reply: bool
    ) -> RepairMessage:
        self._rng.shuffle(leaves)
        chosen: list[int] = []
        sent: list[types.Record] = []
        left_bytes = RECORDS_SIZE_BYTES
        for leaf in leaves:
            records = self._table.leaf_records(leaf)
            size_bytes = LEAF_NUMBER_BYTES
            size_bytes += sum(record.size_bytes for record in records)
            if size_bytes > left_bytes and chosen:
                break
            chosen.append(leaf)
            if size_bytes > left_bytes:
                sent.extend(self._some_that_fit(records, left_bytes))
                break
            sent.extend(records)
            left_bytes -= size_bytes
        body = types.LeafRecords(tuple(chosen), wants_reply)
        return RepairMessage(source, body, tuple(sent))

    def _some_that_fit(
        self, records: tuple[types.Record, ...], size_bytes: int
    ) -> list[types.Record]:
        chosen: list[types.Record] = []
        for record in self._rng.sample(records, len(records)):
            size_bytes -= record.size_bytes
            if size_bytes < 0:
                break
            chosen.append(record)
        return chosen
