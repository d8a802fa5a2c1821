"""The members and adverts that one node knows, with a digest tree.

The tree has branches and each branch has leaves. The hash of a member's
address selects the leaf of its records and adverts. A digest is the
exclusive or of the hashes below it, so that the cost of a change does not
depend on the size of the table. Members that are dead or have left are not
part of the digests, so that removing them changes none.
"""

from __future__ import annotations

import collections.abc as cabc
import sys

import xxhash

from papayastall import _decision_types
from papayastall import _membership_types as types

__all__ = ["BRANCH_COUNT", "LEAF_COUNT", "MemberTable"]

BRANCH_COUNT = 64
LEAVES_PER_BRANCH = 64
LEAF_COUNT = BRANCH_COUNT * LEAVES_PER_BRANCH
MAX_SUSPECTERS = 2
"""As many as are needed to declare a member dead."""
CURSOR_SHIFT = 16
"""Bits of a cursor below its leaf number; they count records of the leaf."""

Records = tuple[tuple[types.MemberRecord, ...], tuple[types.AdvertRecord, ...]]


def _is_gone(state: types.MemberState) -> bool:
    return state >= types.MemberState.DEAD


def _hash(*parts: str | int) -> int:
    text = "\0".join(str(part) for part in parts)
    return xxhash.xxh32_intdigest(text.encode())


def _advert_hash(advert: types.AdvertRecord) -> int:
    return _hash(advert.owner, advert.service, advert.version, advert.slots)


class MemberTable:
    """Merges records; the newest one of each member and advert wins."""

    def __init__(self) -> None:
        self.members: dict[str, types.Member] = {}
        self.digest = 0
        self._adverts: dict[str, dict[str, types.AdvertRecord]] = {}
        self._live_adverts: dict[
            str, dict[str, _decision_types.OwnerAdvert]
        ] = {}
        self._live: list[str] = []
        self._live_index: dict[str, int] = {}
        self._gone_since_s: dict[str, float] = {}
        self._leaf_addresses: dict[int, set[str]] = {}
        self._branches = [0] * BRANCH_COUNT
        self._leaves = [0] * LEAF_COUNT

    @property
    def live(self) -> cabc.Sequence[str]:
        """Addresses of the members that are not dead and have not left."""
        return self._live

    @property
    def dead(self) -> list[str]:
        """Addresses of the members that were declared dead."""
        dead = types.MemberState.DEAD
        return [
            address
            for address in self._gone_since_s
            if self.members[address].state is dead
        ]

    def live_adverts(self, service: str) -> list[_decision_types.OwnerAdvert]:
        """Return the adverts of a service by live members."""
        return list(self._live_adverts.get(service, {}).values())

    def adverts_of(self, owner: str) -> dict[str, types.AdvertRecord]:
        """Return the records of an owner's adverts by service."""
        return self._adverts.get(owner, {})

    def member_record(self, address: str) -> types.MemberRecord | None:
        """Return the current record of a member."""
        member = self.members.get(address)
        if member is None:
            return None
        return types.MemberRecord(
            member.address,
            member.datagram_address,
            member.incarnation,
            member.failure_domain,
            member.state,
            member.suspecters,
        )

    def advert_record(
        self, owner: str, service: str
    ) -> types.AdvertRecord | None:
        """Return the current record of an advert."""
        return self._adverts.get(owner, {}).get(service)

    def merge_member(
        self, record: types.MemberRecord, now_s: float
    ) -> list[types.MembershipEvent] | None:
        """Merge a record; return its events.

        ``None`` means that the record need not be passed on to others.
        """
        member = self.members.get(record.address)
        if member is None:
            return self._add(record, now_s)
        if record.incarnation > member.incarnation:
            return self._apply_incarnation(member, record, now_s)
        if record.incarnation < member.incarnation:
            return None
        return self._merge_same_incarnation(member, record, now_s)

    def merge_advert(
        self, record: types.AdvertRecord
    ) -> list[types.MembershipEvent] | None:
        """Merge an advert; return its events.

        ``None`` means that the advert need not be passed on to others.
        """
        member = self.members.get(record.owner)
        if member is None:
            return None
        boot = types.boot_ms_of(member.incarnation)
        known = self._adverts.get(record.owner, {}).get(record.service)
        if types.boot_ms_of(record.version) < boot:
            return None
        if known is not None and known.version >= record.version:
            return None
        service = sys.intern(record.service)
        adverts = self._adverts.setdefault(member.address, {})
        adverts[service] = record
        if _is_gone(member.state):
            return []
        if known is not None:
            self._xor_digests(member.address, _advert_hash(known))
        self._xor_digests(member.address, _advert_hash(record))
        return self._set_live_advert(member, record)

    def expire(self, now_s: float, retention_s: float) -> None:
        """Remove members that died or left more than ``retention_s`` ago."""
        old = [
            address
            for address, since_s in self._gone_since_s.items()
            if now_s - since_s > retention_s
        ]
        for address in old:
            del self._gone_since_s[address]
            del self.members[address]
            self._adverts.pop(address, None)
            self._leaf_addresses[_leaf_of(address)].discard(address)

    def branch_digests(self) -> tuple[int, ...]:
        """Return the digest of each branch."""
        return tuple(self._branches)

    def leaf_digests(self, branch: int) -> tuple[int, ...]:
        """Return the digest of each leaf of a branch."""
        start = branch * LEAVES_PER_BRANCH
        return tuple(self._leaves[start : start + LEAVES_PER_BRANCH])

    def leaf_records(self, leaf: int) -> tuple[types.Record, ...]:
        """Return all records of a leaf, each member before its adverts."""
        records: list[types.Record] = []
        for address in sorted(self._leaf_addresses.get(leaf, ())):
            member = self.member_record(address)
            assert member is not None
            records.append(member)
            records.extend(self._adverts.get(address, {}).values())
        return tuple(records)

    def page(
        self, cursor: int, size_bytes: int
    ) -> tuple[tuple[types.Record, ...], int]:
        """Return a page of records and the next cursor, -1 at the end.

        :param cursor: first record of the page; 0 starts at the first leaf.
        :param size_bytes: limit of the encoded records' total size.
        """
        page: list[types.Record] = []
        first_leaf = cursor >> CURSOR_SHIFT
        skip = cursor & ((1 << CURSOR_SHIFT) - 1)
        for leaf in range(first_leaf, LEAF_COUNT):
            records = self.leaf_records(leaf)
            start = skip if leaf == first_leaf else 0
            for offset in range(start, len(records)):
                size_bytes -= records[offset].size_bytes
                if size_bytes < 0:
                    return tuple(page), leaf << CURSOR_SHIFT | offset
                page.append(records[offset])
        return tuple(page), -1

    def _add(
        self, record: types.MemberRecord, now_s: float
    ) -> list[types.MembershipEvent] | None:
        """Add a new member; ``None`` if it is dead or has left."""
        address = sys.intern(record.address)
        member = types.Member(
            address,
            record.datagram_address,
            record.incarnation,
            sys.intern(record.failure_domain),
            record.state,
            record.suspecters,
        )
        self.members[address] = member
        leaf_addresses = self._leaf_addresses.setdefault(
            _leaf_of(address), set()
        )
        leaf_addresses.add(address)
        if _is_gone(record.state):
            self._gone_since_s[address] = now_s
            return None
        events: list[types.MembershipEvent] = [
            types.MemberJoined(address, member.failure_domain, False)
        ]
        self._add_live(member)
        events.extend(_state_events(member))
        return events

    def _apply_incarnation(
        self, member: types.Member, record: types.MemberRecord, now_s: float
    ) -> list[types.MembershipEvent]:
        """Merge a record with a later incarnation of the member."""
        previous_state = member.state
        restarted = types.boot_ms_of(record.incarnation) > types.boot_ms_of(
            member.incarnation
        )
        events: list[types.MembershipEvent] = []
        if not _is_gone(previous_state):
            self._xor_digests(member.address, _hash(*_identity(member)))
        member.incarnation = record.incarnation
        member.datagram_address = record.datagram_address
        member.failure_domain = sys.intern(record.failure_domain)
        if not _is_gone(previous_state):
            self._xor_digests(member.address, _hash(*_identity(member)))
        if restarted:
            events.extend(self._drop_outdated_adverts(member))
            member.answers = True
            member.config_index = 0
        if previous_state is types.MemberState.SUSPECT and not _is_gone(
            record.state
        ):
            events.append(types.MemberRefuted(member.address))
        if (
            restarted
            and not _is_gone(previous_state)
            and not _is_gone(record.state)
        ):
            events.append(
                types.MemberJoined(member.address, member.failure_domain, True)
            )
        events.extend(self._set_state(member, record, now_s, restarted))
        return events

    def _merge_same_incarnation(
        self, member: types.Member, record: types.MemberRecord, now_s: float
    ) -> list[types.MembershipEvent] | None:
        """Merge a record of equal incarnation; ``None`` without a change."""
        if record.state > member.state:
            return self._set_state(member, record, now_s, False)
        suspect = types.MemberState.SUSPECT
        if record.state is not suspect or member.state is not suspect:
            return None
        missing = [
            peer for peer in record.suspecters if peer not in member.suspecters
        ]
        both = (*member.suspecters, *missing)[:MAX_SUSPECTERS]
        if both == member.suspecters:
            return None
        member.suspecters = both
        return []

    def _set_state(
        self,
        member: types.Member,
        record: types.MemberRecord,
        now_s: float,
        restarted: bool,
    ) -> list[types.MembershipEvent]:
        previous_state = member.state
        member.state = record.state
        member.suspecters = record.suspecters[:MAX_SUSPECTERS]
        events: list[types.MembershipEvent] = []
        if _is_gone(previous_state) and not _is_gone(record.state):
            events.append(
                types.MemberJoined(
                    member.address, member.failure_domain, restarted
                )
            )
            events.extend(self._add_live(member))
        elif not _is_gone(previous_state) and _is_gone(record.state):
            events.extend(self._remove_live(member, now_s))
        if previous_state is not record.state:
            events.extend(_state_events(member))
        return events

    def _add_live(self, member: types.Member) -> list[types.MembershipEvent]:
        self._gone_since_s.pop(member.address, None)
        self._live_index[member.address] = len(self._live)
        self._live.append(member.address)
        self._xor_digests(member.address, _hash(*_identity(member)))
        events: list[types.MembershipEvent] = []
        for advert in self._adverts.get(member.address, {}).values():
            self._xor_digests(member.address, _advert_hash(advert))
            events.extend(self._set_live_advert(member, advert))
        return events

    def _remove_live(
        self, member: types.Member, now_s: float
    ) -> list[types.MembershipEvent]:
        self._gone_since_s[member.address] = now_s
        index = self._live_index.pop(member.address)
        last = self._live.pop()
        if last != member.address:
            self._live[index] = last
            self._live_index[last] = index
        self._xor_digests(member.address, _hash(*_identity(member)))
        events: list[types.MembershipEvent] = []
        for advert in self._adverts.get(member.address, {}).values():
            self._xor_digests(member.address, _advert_hash(advert))
            events.extend(self._remove_live_advert(member, advert.service))
        return events

    def _drop_outdated_adverts(
        self, member: types.Member
    ) -> list[types.MembershipEvent]:
        """Remove the adverts that the member made before it restarted."""
        boot = types.boot_ms_of(member.incarnation)
        adverts = self._adverts.get(member.address, {})
        events: list[types.MembershipEvent] = []
        for advert in list(adverts.values()):
            if types.boot_ms_of(advert.version) >= boot:
                continue
            del adverts[advert.service]
            if not _is_gone(member.state):
                self._xor_digests(member.address, _advert_hash(advert))
                events.extend(self._remove_live_advert(member, advert.service))
        return events

    def _set_live_advert(
        self, member: types.Member, record: types.AdvertRecord
    ) -> list[types.MembershipEvent]:
        if record.slots == 0:
            return self._remove_live_advert(member, record.service)
        live_advert = _decision_types.OwnerAdvert(
            member.address,
            sys.intern(record.service),
            member.failure_domain,
            record.slots,
        )
        live_adverts = self._live_adverts.setdefault(live_advert.service, {})
        if live_adverts.get(member.address) == live_advert:
            return []
        live_adverts[member.address] = live_advert
        return [types.AdvertChanged(live_advert)]

    def _remove_live_advert(
        self, member: types.Member, service: str
    ) -> list[types.MembershipEvent]:
        live_adverts = self._live_adverts.get(service, {})
        if live_adverts.pop(member.address, None) is None:
            return []
        if not live_adverts:
            del self._live_adverts[service]
        live_advert = _decision_types.OwnerAdvert(
            member.address, service, member.failure_domain, 0
        )
        return [types.AdvertChanged(live_advert)]

    def _xor_digests(self, address: str, value: int) -> None:
        leaf = _leaf_of(address)
        self._leaves[leaf] ^= value
        self._branches[leaf // LEAVES_PER_BRANCH] ^= value
        self.digest ^= value


def _leaf_of(address: str) -> int:
    return xxhash.xxh32_intdigest(address.encode()) % LEAF_COUNT


def _identity(member: types.Member) -> tuple[str, int]:
    """Return what the digests cover of a member besides its adverts."""
    return member.address, member.incarnation


def _state_events(member: types.Member) -> list[types.MembershipEvent]:
    match member.state:
        case types.MemberState.ALIVE:
            return []
        case types.MemberState.SUSPECT:
            return [types.MemberSuspect(member.address)]
        case _:
            return [types.MemberLeft(member.address, member.state)]
