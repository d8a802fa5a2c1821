"""Announcements, by which upstreams register with their owner."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import pathlib
import typing as t

from papayastall import _checking
from papayastall import _decision_types
from papayastall import exceptions

__all__ = ["AnnounceAnswer", "AnnounceHandler", "parse"]

MAX_LEASE_MS = 60_000
MIN_LEASE_MS = 100


@dataclasses.dataclass(slots=True, frozen=True)
class AnnounceAnswer:
    """An owner's answer to an announcement.

    :param owner: link address of the owner.
    :param renew_ms: time until the next announcement, milliseconds.
    :param drained: the upstream is leaving and no request runs there.
    :param move: this node is stopping; announce to another one.
    """

    owner: str
    renew_ms: int
    drained: bool
    move: bool


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Announcement:
    service: str
    address: _checking.Address
    slots: _checking.PositiveInt
    connections: _checking.PositiveInt
    lease_ms: _checking.Milliseconds
    state: _decision_types.UpstreamState
    load: float = 0.0


AnnounceHandler = cabc.Callable[
    [_decision_types.UpstreamAnnouncement], AnnounceAnswer
]


def parse(value: t.Any) -> _decision_types.UpstreamAnnouncement:
    """Check the JSON value of an announcement and convert it.

    :raises papayastall.exceptions.BadInputError: the value is not valid; the
        error lists all problems.
    """
    if not isinstance(value, dict):
        value = {}
    converter = _checking.make_converter(pathlib.Path())
    announcement, problems = _checking.structure(
        converter, value, _Announcement
    )
    problems.extend(_find_out_of_range(value))
    _checking.raise_problems(
        exceptions.ErrorCode.BAD_ANNOUNCEMENT, "announcement", problems
    )
    assert announcement is not None
    return _decision_types.UpstreamAnnouncement(
        upstream=announcement.address,
        service=announcement.service,
        slots=announcement.slots,
        connections=announcement.connections,
        load=announcement.load,
        state=announcement.state,
        lease_s=announcement.lease_ms / 1000,
    )


def _find_out_of_range(
    value: dict[str, t.Any],
) -> cabc.Iterator[_checking.Problem]:
    slots = value.get("slots")
    if type(slots) is int and slots > _decision_types.MAX_SLOTS:
        yield _checking.Problem(
            "slots",
            f"{slots} is too large",
            f"give {_decision_types.MAX_SLOTS} or less",
        )
    lease_ms = value.get("lease_ms")
    if type(lease_ms) is int and not MIN_LEASE_MS <= lease_ms <= MAX_LEASE_MS:
        yield _checking.Problem(
            "lease_ms",
            f"{lease_ms} is out of range",
            f"give {MIN_LEASE_MS} to {MAX_LEASE_MS}",
        )
