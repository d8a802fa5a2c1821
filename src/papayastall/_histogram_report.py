"""Histograms as JSON objects and as text for a terminal."""

from __future__ import annotations

import bisect
import collections.abc as cabc
import typing as t

import anyio.lowlevel
from hdrh import histogram as hdr

from papayastall import _text_table
from papayastall import histograms

__all__ = ["collect", "draw", "to_json"]

BUCKET_EDGES_MS = tuple(
    step * 10.0**power for power in range(-2, 6) for step in (1, 2, 5)
)
"""Inclusive upper edges of the drawn buckets, from 10 microseconds up."""

SPARKLINE_LEVELS = "▁▂▃▄▅▆▇█"
BAR_WIDTH_CHARS = 50
MAX_BAR_CHARTS = 6

PERCENTILES = (50.0, 90.0, 99.0, 99.9)

COLUMNS = (
    "service",
    "class",
    "team",
    "measure",
    "count",
    *(f"p{percentile:g}_ms" for percentile in PERCENTILES),
    "max_ms",
    "distribution",
)


async def collect(
    table: histograms.HistogramTable,
    now_s: float,
    service: str | None,
    team: str | None,
) -> list[dict[str, t.Any]]:
    """Return the selected histograms as JSON objects.

    Yields to the event loop after each series.

    :param now_s: of a monotonic clock.
    :param service: only histograms of this service, ``None`` for all.
    :param team: only histograms of this team, ``None`` for all.
    """
    rows: list[dict[str, t.Any]] = []
    for key in table.keys(now_s):
        if service not in (None, key.service) or team not in (None, key.team):
            continue
        rows.extend(
            to_json(encoded_histogram) for encoded_histogram in table.read(key)
        )
        await anyio.lowlevel.checkpoint()
    return rows


def to_json(
    encoded_histogram: histograms.EncodedHistogram,
) -> dict[str, t.Any]:
    """Return a histogram as an object of ``GET /v1/histograms``."""
    return {
        "measure": encoded_histogram.measure.value,
        "service": encoded_histogram.key.service,
        "class": encoded_histogram.key.kind,
        "team": encoded_histogram.key.team,
        "count": encoded_histogram.count,
        "encoded": encoded_histogram.encoded,
    }


def draw(rows: cabc.Sequence[dict[str, t.Any]]) -> str:
    """Return a table of the histograms as text.

    Up to ``MAX_BAR_CHARTS`` histograms are also drawn as bar charts.

    :param rows: JSON objects as of :func:`to_json`.
    """
    rows = [row for row in rows if row["count"]]
    if not rows:
        return "no requests were answered in the current and previous windows"
    decoded = [histograms.decode(row["encoded"]) for row in rows]
    lines = [
        _make_cells(row, histogram)
        for row, histogram in zip(rows, decoded, strict=True)
    ]
    parts = [_text_table.format_table(COLUMNS, lines)]
    if len(rows) <= MAX_BAR_CHARTS:
        for row, histogram in zip(rows, decoded, strict=True):
            parts.append(_draw_bar_chart(row, histogram))
    return "\n\n".join(parts)


def _make_cells(
    row: dict[str, t.Any], histogram: hdr.HdrHistogram
) -> list[object]:
    times_ms = [
        _to_ms(histogram.get_value_at_percentile(percentile))
        for percentile in PERCENTILES
    ]
    return [
        row["service"],
        row["class"],
        row["team"],
        row["measure"],
        row["count"],
        *times_ms,
        _to_ms(histogram.get_max_value()),
        _draw_sparkline(_count_buckets(histogram)),
    ]


def _to_ms(value_units: int) -> float:
    return value_units / histograms.UNITS_PER_MS


def _count_buckets(histogram: hdr.HdrHistogram) -> list[int]:
    counts = [0] * (len(BUCKET_EDGES_MS) + 1)
    for item in histogram.get_recorded_iterator():
        value_ms = _to_ms(item.value_iterated_to)
        bucket = bisect.bisect_left(BUCKET_EDGES_MS, value_ms)
        counts[bucket] += item.count_added_in_this_iter_step
    return counts


def _draw_sparkline(counts: cabc.Sequence[int]) -> str:
    max_count = max(counts)
    return "".join(
        SPARKLINE_LEVELS[count * (len(SPARKLINE_LEVELS) - 1) // max_count]
        if count
        else " "
        for count in counts
    )


def _draw_bar_chart(row: dict[str, t.Any], histogram: hdr.HdrHistogram) -> str:
    counts = _count_buckets(histogram)
    used = [number for number, count in enumerate(counts) if count]
    max_count, total = max(counts), sum(counts)
    title = f"{row['measure']}, {row['service']}, {row['class']}, "
    lines = [f"{title}team {row['team']}"]
    for number in range(used[0], used[-1] + 1):
        count = counts[number]
        bar = "█" * max(
            count * BAR_WIDTH_CHARS // max_count, 1 if count else 0
        )
        share = 100 * count / total
        lines.append(f"{_format_bucket(number):>12}  {share:5.1f}%  {bar}")
    return "\n".join(lines)


def _format_bucket(number: int) -> str:
    if number == len(BUCKET_EDGES_MS):
        return f"> {BUCKET_EDGES_MS[-1]:g} ms"
    return f"<= {BUCKET_EDGES_MS[number]:g} ms"
