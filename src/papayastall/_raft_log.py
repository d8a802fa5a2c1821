"""In-memory part of a replica's log."""

from __future__ import annotations

import collections.abc as cabc

from papayastall import _raft_codec as codec
from papayastall import _raft_types as types

__all__ = ["EMPTY_META", "RaftLog"]

EMPTY_META = types.SnapshotMeta(0, 0, 0, types.Members())
ENTRY_OVERHEAD_BYTES = 64
"""Added to the payload size of each entry."""


class RaftLog:
    """Log entries after a snapshot, and the configurations they set.

    :param base: metadata of the snapshot.
    :param entries: entries that follow the snapshot without a gap.
    """

    def __init__(
        self,
        base: types.SnapshotMeta = EMPTY_META,
        entries: cabc.Iterable[types.Entry] = (),
    ) -> None:
        self.base = base
        self.size_bytes = 0
        self._entries: list[types.Entry] = []
        self._members = [(base.index, base.members)]
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """Index of the last entry; of the snapshot if there is none."""
        return self.base.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry; of the snapshot if there is none."""
        if self._entries:
            return self._entries[-1].term
        return self.base.term

    @property
    def last_chain(self) -> int:
        """Checksum over the whole log."""
        if self._entries:
            return self._entries[-1].chain
        return self.base.chain

    @property
    def members(self) -> types.Members:
        """Latest configuration, committed or not."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """Index of the entry that set the latest configuration."""
        return self._members[-1][0]

    def entry(self, index: int) -> types.Entry | None:
        """Return the entry at an index; ``None`` if it is not in memory."""
        offset = index - self.base.index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset]
        return None

    def term_at(self, index: int) -> int | None:
        """Return the term at an index; ``None`` if it is not in memory."""
        if index == self.base.index:
            return self.base.term
        entry = self.entry(index)
        return None if entry is None else entry.term

    def chain_at(self, index: int) -> int | None:
        """Return the checksum over the log up to an index.

        :returns: ``None`` if the entry is not in memory.
        """
        if index == self.base.index:
            return self.base.chain
        entry = self.entry(index)
        return None if entry is None else entry.chain

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in memory of the term at ``index``."""
        term = self.term_at(index)
        while index - 1 > self.base.index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def slice(self, first: int, size_bytes: int) -> tuple[types.Entry, ...]:
        """Return entries from ``first`` on, up to a total size.

        The first entry is returned whatever its size.

        :param first: index of the first entry.
        :param size_bytes: limit on the total size, with
            ``ENTRY_OVERHEAD_BYTES`` for each entry.
        """
        chosen: list[types.Entry] = []
        for entry in self._entries[first - self.base.index - 1 :]:
            size_bytes -= len(entry.payload) + ENTRY_OVERHEAD_BYTES
            if chosen and size_bytes < 0:
                break
            chosen.append(entry)
        return tuple(chosen)

    def range(self, first: int, last: int) -> list[types.Entry]:
        """Return the entries from ``first`` to ``last``, inclusive."""
        base = self.base.index + 1
        return self._entries[first - base : last - base + 1]

    def append(self, entry: types.Entry) -> None:
        """Append an entry; its index must follow the last one."""
        types.require(
            entry.index == self.last_index + 1, "the log has no gaps"
        )
        self._entries.append(entry)
        self.size_bytes += len(entry.payload) + ENTRY_OVERHEAD_BYTES
        if entry.kind is types.EntryKind.MEMBERS:
            members = codec.decode_members(entry.payload)
            self._members.append((entry.index, members))

    def truncate(self, first: int) -> None:
        """Remove the entry at index ``first`` and all later ones."""
        offset = first - self.base.index - 1
        for entry in self._entries[offset:]:
            self.size_bytes -= len(entry.payload) + ENTRY_OVERHEAD_BYTES
        del self._entries[offset:]
        while self._members[-1][0] >= first:
            self._members.pop()

    def meta_at(self, index: int) -> types.SnapshotMeta:
        """Return the metadata of a snapshot taken at an index.

        :raises ValueError: the entry is not in memory.
        """
        term = self.term_at(index)
        chain = self.chain_at(index)
        if term is None or chain is None:
            raise ValueError(f"entry {index} is not kept")
        members = [m for at, m in self._members if at <= index][-1]
        return types.SnapshotMeta(index, term, chain, members)

    def compact(self, index: int) -> None:
        """Remove the entries up to ``index``, inclusive.

        :raises ValueError: the entry at ``index`` is not in memory.
        """
        base = self.meta_at(index)
        entries = self.range(self.base.index + 1, index)
        for entry in entries:
            self.size_bytes -= len(entry.payload) + ENTRY_OVERHEAD_BYTES
        del self._entries[: len(entries)]
        later = [pair for pair in self._members if pair[0] > index]
        self._members = [(self._members_index_at(index), base.members)]
        self._members += later
        self.base = base

    def _members_index_at(self, index: int) -> int:
        return [at for at, _ in self._members if at <= index][-1]

    def reset(self, base: types.SnapshotMeta) -> None:
        """Replace the whole log by a snapshot."""
        self.base = base
        self.size_bytes = 0
        self._entries.clear()
        self._members = [(base.index, base.members)]
