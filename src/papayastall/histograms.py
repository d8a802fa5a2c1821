"""Histograms of added, waiting and upstream time, with bounded memory.

Each class (the lookups or the non-idempotent requests of a service) has
its own histograms, and so has each of the teams with the most requests in
the last interval; all other teams share those named :data:`OTHER_TEAMS`.
Samples of the current and the previous window are kept, so that the
histograms cover between one and two windows. For each class, the samples
of all earlier windows are kept as well, merged into totals.
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
    "EncodedHistogram",
    "HistogramTable",
    "Measure",
    "OTHER_SERVICES",
    "OTHER_TEAMS",
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
"""The unit of recorded values is 10 microseconds."""

MAX_VALUE_UNITS = 600_000 * UNITS_PER_MS
"""Longer times are recorded as this value."""
SIGNIFICANT_DIGITS = 1
COUNTER_SIZE_BYTES = 4

WINDOW_S = 600.0
TEAM_RANKING_INTERVAL_S = 60.0
MAX_SEPARATE_TEAMS = 400
"""Teams with histograms of their own."""
MAX_COUNTED_TEAMS = 8_192
"""Teams whose requests are counted in an interval, to rank them."""
MAX_CLASSES = 2_000
"""Classes with histograms of their own, per window and in the totals."""
MAX_TEAM_NAME_CHARS = 64


class Measure(enum.Enum):
    """Which time of a request a histogram records."""

    ADDED = "added"
    """Time that the fleet added to the upstream time, waiting included."""
    WAITING = "waiting"
    """Time in an owner's queue."""
    UPSTREAM = "upstream"
    """Time from the dispatch to an upstream until its complete answer."""


class Sample(msgspec.Struct, frozen=True):
    """Times of one request that got a complete answer."""

    service: str
    kind: _decision_types.RequestKind
    team: str
    added_ms: float
    waiting_ms: float
    upstream_ms: float


class SeriesKey(msgspec.Struct, frozen=True):
    """Key of a series: a class or a team.

    A class has the team :data:`ALL_TEAMS`; a team has the service
    :data:`ALL_SERVICES` and the kind :data:`ALL_KINDS`.
    """

    service: str
    kind: str
    team: str


class EncodedHistogram(msgspec.Struct, frozen=True):
    """A histogram in serialized form, which other processes can merge.

    :param count: number of samples.
    :param encoded: HdrHistogram encoding in base64.
    """

    measure: Measure
    key: SeriesKey
    count: int
    encoded: str


class _Series:
    """The histograms of one key: one per measure."""

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

    def read(self, key: SeriesKey) -> cabc.Iterator[EncodedHistogram]:
        for measure, histogram in (
            (Measure.ADDED, self.added),
            (Measure.WAITING, self.waiting),
            (Measure.UPSTREAM, self.upstream),
        ):
            encoded = histogram.encode().decode("ascii")
            yield EncodedHistogram(
                measure, key, histogram.total_count, encoded
            )


class _Window:
    """The series of one window of ``WINDOW_S``."""

    __slots__ = ("classes", "teams")

    def __init__(self) -> None:
        self.classes: dict[SeriesKey, _Series] = {}
        self.teams: dict[str, _Series] = {}


class HistogramTable:
    """Records samples and returns the histograms of recent windows."""

    def __init__(self) -> None:
        self._current = _Window()
        self._previous = _Window()
        self._totals: dict[SeriesKey, _Series] = {}
        self._separate_teams: set[str] = set()
        self._counted_teams: collections.Counter[str] = collections.Counter()
        self._window_ends_s = 0.0
        self._interval_ends_s = 0.0

    def record(self, now_s: float, sample: Sample) -> None:
        """Record the times of one request.

        :param now_s: of a monotonic clock.
        """
        self._advance(now_s)
        self._get_class_series(sample).record(sample)
        self._get_team_series(sample.team[:MAX_TEAM_NAME_CHARS]).record(sample)

    def keys(self, now_s: float) -> list[SeriesKey]:
        """Return the keys of the series in the current and previous window."""
        self._advance(now_s)
        keys: dict[SeriesKey, None] = {}
        for window in (self._previous, self._current):
            keys.update(dict.fromkeys(window.classes))
            keys.update(dict.fromkeys(map(_make_team_key, window.teams)))
        return list(keys)

    def read(self, key: SeriesKey) -> list[EncodedHistogram]:
        """Return the histograms of one series, merged over both windows.

        Reading thousands of series blocks the event loop for too long:
        callers yield to it between series.
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
        """Return the keys of all classes recorded since the start."""
        self._advance(now_s)
        keys = dict.fromkeys(self._totals)
        for window in (self._previous, self._current):
            keys.update(dict.fromkeys(window.classes))
        return list(keys)

    def total(self, key: SeriesKey) -> dict[Measure, hdr.HdrHistogram]:
        """Return the histograms of one class since the start, by measure."""
        merged = _Series()
        for classes in (
            self._totals,
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
        """Number of series in both windows, with three histograms each."""
        return sum(
            len(window.classes) + len(window.teams)
            for window in (self._previous, self._current)
        )

    def _advance(self, now_s: float) -> None:
        """Begin a new interval and a new window if they are due."""
        if now_s >= self._interval_ends_s:
            self._rank_teams()
            self._interval_ends_s = now_s + TEAM_RANKING_INTERVAL_S
        if now_s >= self._window_ends_s:
            is_stale = now_s >= self._window_ends_s + WINDOW_S
            self._add_to_totals(self._previous)
            if is_stale:
                self._add_to_totals(self._current)
            self._previous = _Window() if is_stale else self._current
            self._current = _Window()
            self._window_ends_s = now_s + WINDOW_S

    def _add_to_totals(self, window: _Window) -> None:
        """Merge the classes of an expired window into the totals."""
        for key, series in window.classes.items():
            known = self._totals.get(key)
            if known is None and len(self._totals) >= MAX_CLASSES:
                key = SeriesKey(OTHER_SERVICES, key.kind, key.team)
            self._totals.setdefault(key, _Series()).add(series)

    def _get_class_series(self, sample: Sample) -> _Series:
        classes = self._current.classes
        key = SeriesKey(sample.service, sample.kind.value, ALL_TEAMS)
        series = classes.get(key)
        if series is not None:
            return series
        if len(classes) >= MAX_CLASSES:
            key = SeriesKey(OTHER_SERVICES, sample.kind.value, ALL_TEAMS)
        return classes.setdefault(key, _Series())

    def _get_team_series(self, team: str) -> _Series:
        counted = self._counted_teams
        if team in counted or len(counted) < MAX_COUNTED_TEAMS:
            counted[team] += 1
        if team not in self._separate_teams:
            if len(self._separate_teams) < MAX_SEPARATE_TEAMS:
                self._separate_teams.add(team)
            else:
                team = OTHER_TEAMS
        teams = self._current.teams
        series = teams.get(team)
        if series is None:
            series = teams[team] = _Series()
        return series

    def _rank_teams(self) -> None:
        """Select the busiest teams and merge the series of all others.

        A team without requests keeps its series while there is room.
        """
        counted = self._counted_teams
        candidates = self._separate_teams.union(counted)
        busiest = heapq.nlargest(
            MAX_SEPARATE_TEAMS,
            candidates,
            key=lambda team: (
                counted[team],
                team in self._separate_teams,
                team,
            ),
        )
        self._separate_teams = set(busiest)
        counted.clear()
        for window in (self._previous, self._current):
            self._merge_other_teams(window.teams)

    def _merge_other_teams(self, teams: dict[str, _Series]) -> None:
        for team in [
            team for team in teams if team not in self._separate_teams
        ]:
            if team != OTHER_TEAMS:
                others = teams.setdefault(OTHER_TEAMS, _Series())
                others.add(teams.pop(team))


def make_histogram() -> hdr.HdrHistogram:
    """Return an empty histogram for times in units of 10 microseconds."""
    return hdr.HdrHistogram(
        1, MAX_VALUE_UNITS, SIGNIFICANT_DIGITS, word_size=COUNTER_SIZE_BYTES
    )


def _make_team_key(team: str) -> SeriesKey:
    return SeriesKey(ALL_SERVICES, ALL_KINDS, team)


def decode(encoded: str) -> hdr.HdrHistogram:
    """Decode a serialized histogram.

    :param encoded: as in :class:`EncodedHistogram`.
    """
    histogram: hdr.HdrHistogram = hdr.HdrHistogram.decode(encoded)
    return histogram


def _to_units(time_ms: float) -> int:
    return min(max(round(time_ms * UNITS_PER_MS), 0), MAX_VALUE_UNITS)
