"""Registry of the upstreams that announced themselves to one owner."""

from __future__ import annotations

import collections.abc as cabc
import math

import msgspec

from papayastall import _decision_types as types
from papayastall import _gray_filter
from papayastall import _health
from papayastall import _leaving
from papayastall import _owner_state as state
from papayastall import _service_policy
from papayastall import _upstream_notices
from papayastall import exceptions

__all__ = ["UpstreamRegistry"]

_MAX_COLD_S = 60.0
"""An upstream that goes on announcing that it is cold counts as cold for no
longer than this."""
_MAX_NEW_SEQUENCE = 3
"""An upstream is new up to this sequence number. Announced every 1.5 s, it
has run for longer than its slow start by then."""
_WITHDRAWN_SEQUENCE = 1 << 62
"""Higher than the sequence number of any announcement, so that all later
announcements of a withdrawn instance are outdated."""


_MIN_CONFIRMATION_LEASE_SHARE = 0.125
"""Least time between the two announcements that confirm an upstream, as a
share of its lease: announcements that were held up arrive together."""


class _Unconfirmed(msgspec.Struct, frozen=True):
    """An announcement that may have been sent before a deregistration."""

    instance: str
    started_ms: int
    sequence: int
    heard_s: float


def _make_evidence(
    model: _service_policy.EvidenceModel,
) -> state.AnyEvidence:
    match model:
        case _health.SequentialTest():
            return _health.Evidence(model)
        case _gray_filter.GrayModel():
            return _gray_filter.GrayFilter(model)


def _initial_standing(
    announcement: types.UpstreamAnnouncement,
) -> state.Standing:
    """Return the initial standing of an upstream that was not known before.

    A ready upstream with a higher sequence number has announced itself
    before, elsewhere. It needs no slow start, because its node was
    restarted and not the upstream.
    """
    is_ready = announcement.state is types.UpstreamState.READY
    if is_ready and announcement.sequence > _MAX_NEW_SEQUENCE:
        return state.Standing.HEALTHY
    return state.Standing.RETURNING


def _find_out_of_range(
    announcement: types.UpstreamAnnouncement,
) -> cabc.Iterator[str]:
    """Find numbers that messages between nodes can't carry."""
    if not 1 <= announcement.slots <= types.MAX_SLOTS:
        yield (
            f"{announcement.slots} slots are out of range; "
            f"give 1 to {types.MAX_SLOTS}"
        )
    if announcement.lease_s <= 0.0:
        yield "the lease must be above 0 s"
    for name, value in (
        ("start time", announcement.started_ms),
        ("sequence", announcement.sequence),
    ):
        if not 0 <= value <= types.MAX_EXACT_INTEGER:
            yield (
                f"the {name} {value} is out of range; "
                f"give 0 to {types.MAX_EXACT_INTEGER}"
            )


class UpstreamRegistry:
    """Upstreams by name and by service, kept up to date by announcements.

    An upstream that was started before this process may have deregistered at
    an earlier one, which is not known here. It is used from its second
    announcement on: one that is late has no successor.

    :param boot_ms: Unix time of the start of this process, in milliseconds.
    """

    __slots__ = (
        "_boot_ms",
        "_by_name",
        "_by_service",
        "_confirmed_ms",
        "_latest",
        "_unconfirmed",
    )

    def __init__(self, boot_ms: int = 0) -> None:
        self._boot_ms = boot_ms
        self._by_name: dict[str, state.Upstream] = {}
        self._by_service: dict[str, list[state.Upstream]] = {}
        self._latest: dict[str, tuple[int, int]] = {}
        self._unconfirmed: dict[str, _Unconfirmed] = {}
        self._confirmed_ms: dict[str, int] = {}

    def find(self, name: str) -> state.Upstream | None:
        """Return an upstream, or ``None`` if it is not known."""
        return self._by_name.get(name)

    def get(self, name: str) -> state.Upstream:
        """Return an upstream.

        :raises papayastall.exceptions.BadInputError: the upstream is not
            known.
        """
        known = self._by_name.get(name)
        if known is None:
            raise exceptions.BadInputError(
                exceptions.ErrorCode.NO_UPSTREAM,
                f"upstream {name} is not announced to this node; "
                "ask the node that lists it",
                step="find-upstream",
            )
        return known

    def all(self) -> cabc.Iterable[state.Upstream]:
        """Return all upstreams."""
        return self._by_name.values()

    def of_service(self, service: str) -> list[state.Upstream]:
        """Return the upstreams of one service."""
        return self._by_service.get(service, [])

    def announce(
        self,
        now_s: float,
        announcement: types.UpstreamAnnouncement,
        tuning: _service_policy.HealthTuning,
    ) -> None:
        """Add an upstream, or renew its lease and update its state.

        An announcement that is older than the latest one is ignored.

        :raises papayastall.exceptions.BadInputError: a number is out of
            range, or the upstream already serves another service.
        """
        self._check(announcement)
        if self._is_outdated(announcement):
            return
        if not self._is_confirmed(now_s, announcement):
            return
        self._drain_earlier_instances(now_s, announcement)
        known = self._by_name.get(announcement.name)
        if known is None:
            known = self._add(now_s, announcement, tuning)
        elif self._has_restarted(now_s, known, announcement):
            self._restart(now_s, known)
        if announcement.started_ms > known.started_ms:
            _upstream_notices.forget(known)
            known.started_ms = announcement.started_ms
        known.slots = announcement.slots
        known.connections = announcement.connections
        known.state = announcement.state
        known.lease_s = announcement.lease_s
        known.expires_s = now_s + announcement.lease_s
        self._note_state(now_s, known, tuning)

    def _is_outdated(self, announcement: types.UpstreamAnnouncement) -> bool:
        """Return whether a newer announcement of its address has arrived.

        If not, this one is recorded as the newest.
        """
        if not announcement.started_ms:
            return False
        latest = self._latest.get(announcement.upstream, (0, 0))
        this = (announcement.started_ms, announcement.sequence)
        if this < latest:
            return True
        self._latest[announcement.upstream] = this
        return False

    def _is_confirmed(
        self, now_s: float, announcement: types.UpstreamAnnouncement
    ) -> bool:
        """Return whether the upstream may be used by its announcements."""
        started_ms = announcement.started_ms
        address = announcement.upstream
        if not started_ms or started_ms >= self._boot_ms:
            return True
        if self._confirmed_ms.get(address) == started_ms:
            return True
        if announcement.state is types.UpstreamState.LEAVING:
            return True
        first = self._unconfirmed.get(address)
        if first is None or first.started_ms != started_ms:
            self._unconfirmed[address] = _Unconfirmed(
                announcement.instance,
                started_ms,
                announcement.sequence,
                now_s,
            )
            return False
        pause_s = _MIN_CONFIRMATION_LEASE_SHARE * announcement.lease_s
        if announcement.sequence <= first.sequence:
            return False
        if now_s - first.heard_s < pause_s:
            return False
        del self._unconfirmed[address]
        self._confirmed_ms[address] = started_ms
        return True

    def _drain_earlier_instances(
        self, now_s: float, announcement: types.UpstreamAnnouncement
    ) -> None:
        """Drain the earlier process instances at the same address."""
        if not announcement.instance:
            return
        for upstream in self._by_name.values():
            address, _ = types.split_name(upstream.name)
            if address != announcement.upstream:
                continue
            if upstream.name != announcement.name:
                _leaving.start_leaving(upstream, now_s)
                upstream.expires_s = now_s
                upstream.last_answer_s = -math.inf

    def use_model(
        self, service: str, model: _service_policy.EvidenceModel
    ) -> None:
        """Set the model that evaluates the health of a service's upstreams.

        Upstreams that were announced before the service's policy was known
        have evidence of another model; it is reset.
        """
        for upstream in self.of_service(service):
            if upstream.evidence.model != model:
                upstream.evidence = _make_evidence(model)

    def withdraw(
        self, now_s: float, instance: str, started_ms: int | None
    ) -> str | None:
        """Drain a process instance of an upstream.

        Announcements of that instance that arrive later are ignored.

        :param started_ms: Unix time of the instance's start, if known.
        :returns: the service of the upstream; ``None`` if the instance is
            not known or a newer one has been announced.
        """
        for address, first in self._unconfirmed.items():
            if first.instance == instance and (
                started_ms is None or started_ms >= first.started_ms
            ):
                self._latest[address] = (first.started_ms, _WITHDRAWN_SEQUENCE)
        for upstream in self._by_name.values():
            address, known_instance = types.split_name(upstream.name)
            if known_instance != instance:
                continue
            latest_ms, _ = self._latest.get(address, (0, 0))
            if started_ms is not None and started_ms < latest_ms:
                return None
            self._latest[address] = (latest_ms, _WITHDRAWN_SEQUENCE)
            upstream.state = types.UpstreamState.LEAVING
            _leaving.start_leaving(upstream, now_s)
            return upstream.service
        return None

    def remove_gone(self, now_s: float) -> list[state.Upstream]:
        """Remove upstreams with no lease, no recent answer and no request.

        :returns: the upstreams that were removed.
        """
        gone = [
            upstream
            for upstream in self._by_name.values()
            if not upstream.is_present(now_s) and not upstream.running
        ]
        for upstream in gone:
            del self._by_name[upstream.name]
            self._by_service[upstream.service].remove(upstream)
        return gone

    def _check(self, announcement: types.UpstreamAnnouncement) -> None:
        problems = list(_find_out_of_range(announcement))
        known = self._by_name.get(announcement.name)
        if known is not None and known.service != announcement.service:
            problems.append(
                f"{announcement.upstream} already serves {known.service}; "
                "let it leave first"
            )
        if problems:
            raise exceptions.BadInputError(
                exceptions.ErrorCode.BAD_ANNOUNCEMENT,
                "; ".join(problems),
                step="announce",
                peer=announcement.upstream,
            )

    def _add(
        self,
        now_s: float,
        announcement: types.UpstreamAnnouncement,
        tuning: _service_policy.HealthTuning,
    ) -> state.Upstream:
        standing = _initial_standing(announcement)
        is_new = standing is state.Standing.RETURNING
        upstream = state.Upstream(
            name=announcement.name,
            service=announcement.service,
            slots=announcement.slots,
            connections=announcement.connections,
            state=announcement.state,
            lease_s=announcement.lease_s,
            expires_s=now_s + announcement.lease_s,
            warm_s=now_s + tuning.cold_grace_s * is_new,
            evidence=_make_evidence(tuning.evidence),
            standing=standing,
            standing_since_s=now_s,
        )
        self._by_name[upstream.name] = upstream
        self._by_service.setdefault(upstream.service, []).append(upstream)
        return upstream

    def _has_restarted(
        self,
        now_s: float,
        known: state.Upstream,
        announcement: types.UpstreamAnnouncement,
    ) -> bool:
        if not known.is_present(now_s):
            return True
        cold = types.UpstreamState.COLD
        return announcement.state is cold and known.state is not cold

    def _restart(self, now_s: float, upstream: state.Upstream) -> None:
        upstream.cold_since_s = None
        _upstream_notices.forget(upstream)
        upstream.evidence.reset()
        upstream.held_until_s.clear()
        if upstream.standing is state.Standing.HEALTHY:
            upstream.standing = state.Standing.RETURNING
        if upstream.standing is state.Standing.RETURNING:
            upstream.standing_since_s = now_s

    def _note_state(
        self,
        now_s: float,
        upstream: state.Upstream,
        tuning: _service_policy.HealthTuning,
    ) -> None:
        match upstream.state:
            case types.UpstreamState.LEAVING:
                _leaving.start_leaving(upstream, now_s)
                return
            case types.UpstreamState.COLD:
                if upstream.cold_since_s is None:
                    upstream.cold_since_s = now_s
                warm_s = now_s + tuning.cold_grace_s
                latest_s = upstream.cold_since_s + _MAX_COLD_S
                upstream.warm_s = min(warm_s, latest_s)
            case types.UpstreamState.READY:
                upstream.cold_since_s = None
        if not upstream.drained_by_operator and not upstream.says_leaving:
            _leaving.stop_leaving(upstream, now_s)
