"""Histograms of time added, waiting and upstream time, bounded in memory.

Each class (a service's lookups or its non-idempotent requests) has its own
histograms. Of the teams, the busiest of the last interval have their own;
the others share one named :data:`OTHER_TEAMS`. Values of two windows are
kept, so that a reading covers the last one to two windows.
"""

from __future__ import annotations

import collections
import collections.abc as cabc
import enum
import heapq

from hdrh import histogram as hdr
import msgspec

from papayastall import _decision_types

__all__ = [
    "ALL_KINDS",
    "ALL_SERVICES",
    "ALL_TEAMS",
    "HistogramTable",
    "Measure",
    "OTHER_SERVICES",
    "OTHER_TEAMS",
    "Reading",
    "Sample",
    "SeriesKey",
    "UNITS_PER_MS",
    "decode",
    "make_histogram",
]

ALL_TEAMS = "(all)"
OTHER_TEAMS = "(other)"
ALL_SERVICES = "(all)"
ALL_KINDS = "(all)"
OTHER_SERVICES = "(other)"

UNITS_PER_MS = 100
"""A histogram's unit is 10 microseconds."""

MAX_VALUE_UNITS = 600_000 * UNITS_PER_MS
SIGNIFICANT_DIGITS = 1
WORD_SIZE_BYTES = 4

WINDOW_S = 600.0
TEAM_INTERVAL_S = 60.0
MAX_OWN_TEAMS = 400
MAX_COUNTED_TEAMS = 8_192
MAX_CLASSES = 2_000
MAX_TEAM_CHARS = 64


class Measure(enum.Enum):
    """What a histogram shows."""

    ADDED = "added"
    """Time that the fleet added to the upstream time, waiting included."""
    WAITING = "waiting"
    """Time in an owner's queue."""
    UPSTREAM = "upstream"
    """Time from handing over to the whole answer."""


class Sample(msgspec.Struct, frozen=True):
    """The times of one answered request."""

    service: str
    kind: _decision_types.RequestKind
    team: str
    added_ms: float
    waiting_ms: float
    upstream_ms: float


class SeriesKey(msgspec.Struct, frozen=True):
    """What the histograms of one series have in common."""

    service: str
    kind: str
    team: str


class Reading(msgspec.Struct, frozen=True):
    """One histogram in its encoded form, to be sent and merged."""

    measure: Measure
    key: SeriesKey
    count: int
    encoded: str


class _Series:
    """The histograms of one key in one window."""

    __slots__ = ("added", "upstream", "waiting")

    def __init__(self) -> None:
        self.added = make_histogram()
        self.waiting = make_histogram()
        self.upstream = make_histogram()

    def record(self, sample: Sample) -> None:
        self.added.record_value(_to_units(sample.added_ms))
        self.waiting.record_value(_to_units(sample.waiting_ms))
        self.upstream.record_value(_to_units(sample.upstream_ms))

    def add(self, other: _Series) -> None:
        self.added.add(other.added)
        self.waiting.add(other.waiting)
        self.upstream.add(other.upstream)

    def read(self, key: SeriesKey) -> cabc.Iterator[Reading]:
        for measure, histogram in (
            (Measure.ADDED, self.added),
            (Measure.WAITING, self.waiting),
            (Measure.UPSTREAM, self.upstream),
        ):
            encoded = histogram.encode().decode("ascii")
            yield Reading(measure, key, histogram.total_count, encoded)


class _Window:
    """The series of one span of time."""

    __slots__ = ("classes", "teams")

    def __init__(self) -> None:
        self.classes: dict[SeriesKey, _Series] = {}
        self.teams: dict[str, _Series] = {}


class HistogramTable:
    """Records samples and reads the histograms of the last windows."""

    def __init__(self) -> None:
        self._current = _Window()
        self._previous = _Window()
        self._closed: dict[SeriesKey, _Series] = {}
        self._own_teams: set[str] = set()
        self._counted_teams: collections.Counter[str] = collections.Counter()
        self._window_ends_s = 0.0
        self._interval_ends_s = 0.0

    def record(self, now_s: float, sample: Sample) -> None:
        """Add the times of one request.

        :param now_s: of a monotonic clock.
        """
        self._advance(now_s)
        self._find_class(sample).record(sample)
        self._find_team(sample.team[:MAX_TEAM_CHARS]).record(sample)

    def keys(self, now_s: float) -> list[SeriesKey]:
        """Return the keys of the series in the current windows."""
        self._advance(now_s)
        keys: dict[SeriesKey, None] = {}
        for window in (self._previous, self._current):
            keys.update(dict.fromkeys(window.classes))
            keys.update(dict.fromkeys(map(_make_team_key, window.teams)))
        return list(keys)

    def read(self, key: SeriesKey) -> list[Reading]:
        """Return the histograms of one series, both windows together.

        Reading thousands of series takes longer than the event loop may
        be held: give way to it in between.
        """
        merged = _Series()
        for window in (self._previous, self._current):
            if key == _make_team_key(key.team):
                series = window.teams.get(key.team)
            else:
                series = window.classes.get(key)
            if series is not None:
                merged.add(series)
        return list(merged.read(key))

    def class_keys(self, now_s: float) -> list[SeriesKey]:
        """Return the keys of all classes since the start."""
        self._advance(now_s)
        keys = dict.fromkeys(self._closed)
        for window in (self._previous, self._current):
            keys.update(dict.fromkeys(window.classes))
        return list(keys)

    def total(self, key: SeriesKey) -> dict[Measure, hdr.HdrHistogram]:
        """Return the histograms of one class since the start."""
        merged = _Series()
        for classes in (
            self._closed,
            self._previous.classes,
            self._current.classes,
        ):
            if key in classes:
                merged.add(classes[key])
        return {
            Measure.ADDED: merged.added,
            Measure.WAITING: merged.waiting,
            Measure.UPSTREAM: merged.upstream,
        }

    @property
    def series_count(self) -> int:
        """How many series are held, three histograms each."""
        return sum(
            len(window.classes) + len(window.teams)
            for window in (self._previous, self._current)
        )

    def _advance(self, now_s: float) -> None:
        if now_s >= self._interval_ends_s:
            self._choose_teams()
            self._interval_ends_s = now_s + TEAM_INTERVAL_S
        if now_s >= self._window_ends_s:
            is_stale = now_s >= self._window_ends_s + WINDOW_S
            self._close(self._previous)
            if is_stale:
                self._close(self._current)
            self._previous = _Window() if is_stale else self._current
            self._current = _Window()
            self._window_ends_s = now_s + WINDOW_S

    def _close(self, window: _Window) -> None:
        """Add a window that ends to what was before all windows."""
        for key, series in window.classes.items():
            known = self._closed.get(key)
            if known is None and len(self._closed) >= MAX_CLASSES:
                key = SeriesKey(OTHER_SERVICES, key.kind, key.team)
            self._closed.setdefault(key, _Series()).add(series)

    def _find_class(self, sample: Sample) -> _Series:
        classes = self._current.classes
        key = SeriesKey(sample.service, sample.kind.value, ALL_TEAMS)
        series = classes.get(key)
        if series is not None:
            return series
        if len(classes) >= MAX_CLASSES:
            key = SeriesKey(OTHER_SERVICES, sample.kind.value, ALL_TEAMS)
        return classes.setdefault(key, _Series())

    def _find_team(self, team: str) -> _Series:
        counted = self._counted_teams
        if team in counted or len(counted) < MAX_COUNTED_TEAMS:
            counted[team] += 1
        if team not in self._own_teams:
            if len(self._own_teams) < MAX_OWN_TEAMS:
                self._own_teams.add(team)
            else:
                team = OTHER_TEAMS
        teams = self._current.teams
        series = teams.get(team)
        if series is None:
            series = teams[team] = _Series()
        return series

    def _choose_teams(self) -> None:
        """Give the busiest teams their own series, move the rest's over.

        A quiet team keeps its series while there is room.
        """
        counted = self._counted_teams
        candidates = self._own_teams.union(counted)
        busiest = heapq.nlargest(
            MAX_OWN_TEAMS,
            candidates,
            key=lambda team: (counted[team], team in self._own_teams, team),
        )
        self._own_teams = set(busiest)
        counted.clear()
        for window in (self._previous, self._current):
            self._merge_others(window.teams)

    def _merge_others(self, teams: dict[str, _Series]) -> None:
        for team in [team for team in teams if team not in self._own_teams]:
            if team != OTHER_TEAMS:
                others = teams.setdefault(OTHER_TEAMS, _Series())
                others.add(teams.pop(team))


def make_histogram() -> hdr.HdrHistogram:
    """Return an empty histogram of times in units of 10 microseconds."""
    return hdr.HdrHistogram(
        1, MAX_VALUE_UNITS, SIGNIFICANT_DIGITS, word_size=WORD_SIZE_BYTES
    )


def _make_team_key(team: str) -> SeriesKey:
    return SeriesKey(ALL_SERVICES, ALL_KINDS, team)


def decode(encoded: str) -> hdr.HdrHistogram:
    """Return the histogram of a :class:`Reading`."""
    histogram: hdr.HdrHistogram = hdr.HdrHistogram.decode(encoded)
    return histogram


def _to_units(time_ms: float) -> int:
    return min(max(round(time_ms * UNITS_PER_MS), 0), MAX_VALUE_UNITS)
