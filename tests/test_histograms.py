"""Tests of the histograms: recorded samples and bounded memory."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from papayastall import _decision_types
from papayastall import histograms

LOOKUP = _decision_types.RequestKind.LOOKUP
BOOKING = _decision_types.RequestKind.NON_IDEMPOTENT


def make_sample(
    team: str = "a", service: str = "visits", added_ms: float = 1.0
) -> histograms.Sample:
    return histograms.Sample(service, LOOKUP, team, added_ms, 0.0, 20.0)


def read_all(
    table: histograms.HistogramTable, now_s: float
) -> list[histograms.EncodedHistogram]:
    return [
        reading for key in table.keys(now_s) for reading in table.read(key)
    ]


def count_added(
    table: histograms.HistogramTable, now_s: float
) -> dict[tuple[str, str], int]:
    return {
        (reading.key.service, reading.key.team): reading.count
        for reading in read_all(table, now_s)
        if reading.measure is histograms.Measure.ADDED
    }


def test_a_sample_is_read_back_by_class_and_team() -> None:
    table = histograms.HistogramTable()
    table.record(1.0, make_sample(added_ms=6.3))
    readings = {
        (reading.measure, reading.key.team): reading
        for reading in read_all(table, 1.0)
    }
    assert len(readings) == 6
    reading = readings[histograms.Measure.ADDED, histograms.ALL_TEAMS]
    assert reading.key.service == "visits"
    assert reading.key.kind == LOOKUP.value
    histogram = histograms.decode(reading.encoded)
    value_ms = histogram.get_value_at_percentile(100) / histograms.UNITS_PER_MS
    assert 5.9 <= value_ms <= 6.7


def test_the_busiest_teams_have_their_own_histograms() -> None:
    table = histograms.HistogramTable()
    for number in range(histograms.MAX_SEPARATE_TEAMS):
        table.record(1.0, make_sample(f"early-{number}"))
    for _ in range(3):
        table.record(1.0, make_sample("late-and-busy"))
    assert count_added(table, 2.0)["(all)", histograms.OTHER_TEAMS] == 3
    after_s = 2.0 + histograms.TEAM_RANKING_INTERVAL_S
    table.record(after_s, make_sample("late-and-busy"))
    counts = count_added(table, after_s)
    assert counts["(all)", "late-and-busy"] == 1
    own = [team for _, team in counts if team.startswith("early-")]
    assert len(own) == histograms.MAX_SEPARATE_TEAMS - 1


def test_a_quiet_team_keeps_its_histogram_below_the_limit() -> None:
    table = histograms.HistogramTable()
    table.record(1.0, make_sample("quiet"))
    for interval in range(1, 5):
        now_s = 1.0 + interval * histograms.TEAM_RANKING_INTERVAL_S
        table.record(now_s, make_sample("busy"))
    assert count_added(table, now_s)["(all)", "quiet"] == 1


def test_readings_cover_two_windows_and_no_more() -> None:
    table = histograms.HistogramTable()
    table.record(0.0, make_sample())
    window_s = histograms.WINDOW_S
    assert count_added(table, window_s)["visits", "(all)"] == 1
    table.record(window_s, make_sample())
    assert count_added(table, window_s)["visits", "(all)"] == 2
    assert count_added(table, 2 * window_s)["visits", "(all)"] == 1
    assert count_added(table, 9 * window_s) == {}


def test_any_number_of_services_and_teams_stays_bounded() -> None:
    table = histograms.HistogramTable()
    for number in range(histograms.MAX_CLASSES + 50):
        table.record(1.0, make_sample(f"t{number}", f"s{number}"))
    bound = histograms.MAX_CLASSES + 1 + histograms.MAX_SEPARATE_TEAMS + 1
    assert table.series_count <= bound
    counts = count_added(table, 1.0)
    assert counts[histograms.OTHER_SERVICES, "(all)"] == 50


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]),
            st.floats(-1.0, 1e9),
            st.floats(0.0, 90.0),
        ),
        max_size=30,
    )
)
def test_no_sample_is_lost_inside_a_window(
    steps: list[tuple[str, float, float]],
) -> None:
    table = histograms.HistogramTable()
    now_s = 0.0
    for team, added_ms, step_s in steps:
        now_s = min(now_s + step_s, histograms.WINDOW_S - 1)
        table.record(now_s, make_sample(team, added_ms=added_ms))
    counts = count_added(table, now_s)
    assert counts.get(("visits", "(all)"), 0) == len(steps)
    by_team = sum(
        count for (service, _), count in counts.items() if service == "(all)"
    )
    assert by_team == len(steps)
