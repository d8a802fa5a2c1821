"""The replicated permit table, which keeps healthy capacity above the floor.

Owners report changes of their upstreams. A permit removes an upstream from
the healthy capacity; only a later report by an owner adds it back. A permit
is therefore not leaked when its holder dies: the upstream counts again once
its next owner reports it. The upstreams of an owner whose lease expired are
deleted.
"""

from __future__ import annotations

import collections.abc as cabc

import msgspec
import msgspec.structs

from papayastall import _control_commands as commands

__all__ = ["PermitTable", "StoredOwner", "StoredUpstream"]

OWNER_LEASE_MS = 15 * 60 * 1000

_Report = commands.UpstreamReportState
_State = commands.PermitState


class StoredUpstream(msgspec.Struct, frozen=True):
    """An upstream as its owner last reported it.

    :param granted_index: log index of its permit; 0 without a permit.
    """

    report: commands.UpstreamReport
    owner: str
    granted_index: int = 0

    @property
    def healthy_slots(self) -> int:
        """The slots that count towards the healthy capacity."""
        serving = self.report.state is _Report.SERVING
        return self.report.slots if serving and not self.granted_index else 0


class StoredOwner(msgspec.Struct):
    """The last command of an owner and its result.

    :param epoch: start of the owner's process that sent the command.
    :param renewed_ms: when it was applied, on the replicated clock.
    """

    owner: str
    epoch: int
    sequence: int
    renewed_ms: int
    last_result: commands.Result


class PermitTable:
    """Upstreams, their owners and the permits in force."""

    def __init__(
        self,
        owners: cabc.Iterable[StoredOwner] = (),
        upstreams: cabc.Iterable[StoredUpstream] = (),
    ) -> None:
        self._owners = {owner.owner: owner for owner in owners}
        self._next_expiry_ms = 0
        self._upstreams: dict[str, StoredUpstream] = {}
        self._by_service: dict[str, dict[str, None]] = {}
        self._by_owner: dict[str, dict[str, None]] = {}
        for entry in upstreams:
            self._put(entry)

    def list_owners(self) -> list[StoredOwner]:
        """Return all owners, sorted by address."""
        return [self._owners[name] for name in sorted(self._owners)]

    def list_upstreams(self) -> list[StoredUpstream]:
        """Return all upstreams, sorted by address."""
        return [self._upstreams[name] for name in sorted(self._upstreams)]

    def count_slots_by_owner(self, service_name: str) -> dict[str, int]:
        """Return the healthy slots of a service at each of its owners."""
        slots: dict[str, int] = {}
        for upstream in self._by_service.get(service_name, ()):
            entry = self._upstreams[upstream]
            slots[entry.owner] = (
                slots.get(entry.owner, 0) + entry.healthy_slots
            )
        return slots

    def count_healthy_slots(
        self,
        service_name: str,
        observed: cabc.Iterable[commands.ObservedSlots] = (),
    ) -> int:
        """Return the healthy capacity of a service, in slots.

        :param observed: slots of owners as the control leader sees them. For
            each owner the lower of the two numbers counts.
        """
        slots = self.count_slots_by_owner(service_name)
        for view in observed:
            if view.owner in slots:
                slots[view.owner] = min(slots[view.owner], view.slots)
        return sum(slots.values())

    def expire(self, now_ms: int) -> None:
        """Delete the owners whose lease expired, with their upstreams."""
        if now_ms < self._next_expiry_ms:
            return
        expired = [
            owner.owner
            for owner in self._owners.values()
            if owner.renewed_ms + OWNER_LEASE_MS <= now_ms
        ]
        for name in expired:
            del self._owners[name]
            for upstream in list(self._by_owner.get(name, ())):
                self._drop(upstream)
        renewals = (owner.renewed_ms for owner in self._owners.values())
        self._next_expiry_ms = min(renewals, default=now_ms) + OWNER_LEASE_MS

    def report(
        self, now_ms: int, command: commands.ReportUpstreams
    ) -> commands.Result:
        """Apply an owner's report of its upstreams."""
        known = self._owners.get(command.owner)
        repeated = _find_repeated(known, command)
        if repeated is not None:
            return repeated
        epoch = known.epoch if known else command.epoch
        if _is_stale(known, command):
            return _make_report(commands.ReportState.STALE, epoch)
        if not command.full and (known is None or epoch != command.epoch):
            return _make_report(commands.ReportState.RESYNC, epoch)
        if command.full:
            self._drop_unlisted(command)
        for report in command.upstreams:
            self._apply_report(command.owner, report)
        result = _make_report(commands.ReportState.ACCEPTED, command.epoch)
        self._store_result(now_ms, command, result)
        return result

    def ask(
        self,
        index: int,
        now_ms: int,
        command: commands.AskPermit,
        floor_slots: int | None,
        config_index: int,
        observed: tuple[commands.ObservedSlots, ...],
    ) -> commands.Result:
        """Decide whether an upstream may leave the healthy capacity.

        :param index: log index of the command.
        :param floor_slots: floor of the service; ``None`` without a
            document.
        :param config_index: log index of the service's document.
        :param observed: see :meth:`count_healthy_slots`.
        """
        known = self._owners.get(command.owner)
        repeated = _find_repeated(known, command)
        if repeated is not None:
            return repeated
        state = self._decide(
            known, command, floor_slots, config_index, observed
        )
        if state is _State.GRANTED:
            entry = self._upstreams[command.upstream]
            self._put(msgspec.structs.replace(entry, granted_index=index))
        healthy = self.count_healthy_slots(command.service_name, observed)
        result = commands.Result(
            permit=commands.PermitResult(
                state=state,
                epoch=known.epoch if known else command.epoch,
                healthy_slots=healthy,
                floor_slots=floor_slots or 0,
                config_index=config_index,
            )
        )
        if state not in (_State.STALE, _State.RESYNC):
            self._store_result(now_ms, command, result)
        return result

    def _decide(
        self,
        known: StoredOwner | None,
        command: commands.AskPermit,
        floor_slots: int | None,
        config_index: int,
        observed: tuple[commands.ObservedSlots, ...],
    ) -> _State:
        if _is_stale(known, command):
            return _State.STALE
        entry = self._upstreams.get(command.upstream)
        if (
            known is None
            or known.epoch != command.epoch
            or entry is None
            or entry.owner != command.owner
            or entry.report.service_name != command.service_name
        ):
            return _State.RESYNC
        if floor_slots is None:
            return _State.UNKNOWN_SERVICE
        if command.config_index < config_index:
            return _State.OLD_CONFIG
        if entry.granted_index:
            return _State.GRANTED
        is_not_serving = entry.report.state is _Report.NOT_SERVING
        if (
            is_not_serving
            and command.reason is not commands.PermitReason.EJECTION
        ):
            return _State.GRANTED
        return self._check_floor(entry, floor_slots, observed)

    def _check_floor(
        self,
        entry: StoredUpstream,
        floor_slots: int,
        observed: tuple[commands.ObservedSlots, ...],
    ) -> _State:
        service_name = entry.report.service_name
        healthy = self.count_healthy_slots(service_name, observed)
        left = healthy - entry.healthy_slots
        if left < floor_slots:
            return _State.FLOOR
        counted = sum(
            self._upstreams[other].healthy_slots
            for other in self._by_service[service_name]
            if other != entry.report.upstream
        )
        assert counted >= left >= floor_slots, (
            "permit would go below the floor"
        )
        return _State.GRANTED

    def _apply_report(
        self, owner: str, report: commands.UpstreamReport
    ) -> None:
        entry = self._upstreams.get(report.upstream)
        if report.state is not _Report.SERVING:
            # The upstream has moved: only its new owner reports it.
            if entry is not None and entry.owner != owner:
                return
            if report.state is _Report.GONE:
                self._drop(report.upstream)
                return
        self._put(StoredUpstream(report, owner))

    def _drop_unlisted(self, command: commands.ReportUpstreams) -> None:
        listed = {report.upstream for report in command.upstreams}
        for upstream in list(self._by_owner.get(command.owner, ())):
            if upstream not in listed:
                self._drop(upstream)

    def _put(self, entry: StoredUpstream) -> None:
        upstream = entry.report.upstream
        self._drop(upstream)
        self._upstreams[upstream] = entry
        service_name = entry.report.service_name
        self._by_service.setdefault(service_name, {})[upstream] = None
        self._by_owner.setdefault(entry.owner, {})[upstream] = None

    def _drop(self, upstream: str) -> None:
        entry = self._upstreams.pop(upstream, None)
        if entry is None:
            return
        _remove(self._by_service, entry.report.service_name, upstream)
        _remove(self._by_owner, entry.owner, upstream)

    def _store_result(
        self,
        now_ms: int,
        command: commands.ReportUpstreams | commands.AskPermit,
        result: commands.Result,
    ) -> None:
        self._owners[command.owner] = StoredOwner(
            owner=command.owner,
            epoch=command.epoch,
            sequence=command.sequence,
            renewed_ms=now_ms,
            last_result=result,
        )


def _remove(
    index: dict[str, dict[str, None]], key: str, upstream: str
) -> None:
    del index[key][upstream]
    if not index[key]:
        del index[key]


def _is_stale(
    known: StoredOwner | None,
    command: commands.ReportUpstreams | commands.AskPermit,
) -> bool:
    if known is None:
        return False
    last = (known.epoch, known.sequence)
    return (command.epoch, command.sequence) <= last


def _find_repeated(
    known: StoredOwner | None,
    command: commands.ReportUpstreams | commands.AskPermit,
) -> commands.Result | None:
    """Return the stored result if the owner's last command is repeated."""
    if known is None:
        return None
    last = (known.epoch, known.sequence)
    if (command.epoch, command.sequence) != last:
        return None
    return known.last_result


def _make_report(state: commands.ReportState, epoch: int) -> commands.Result:
    return commands.Result(report=commands.ReportResult(state, epoch))
