"""Histograms on their way from a node to an operator's terminal."""

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
"""Upper edges of the drawn buckets, from 10 microseconds on."""

SPARKS = "▁▂▃▄▅▆▇█"
BAR_WIDTH = 50
MAX_BARS_DRAWN = 6

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
    """Return the wanted histograms, giving way to the event loop.

    :param service: only this one, ``None`` for all.
    :param team: only this one, ``None`` for all.
    """
    rows: list[dict[str, t.Any]] = []
    for key in table.keys(now_s):
        if service not in (None, key.service) or team not in (None, key.team):
            continue
        rows.extend(to_json(reading) for reading in table.read(key))
        await anyio.lowlevel.checkpoint()
    return rows


def to_json(reading: histograms.Reading) -> dict[str, t.Any]:
    """Return a reading as the JSON object of the control address."""
    return {
        "measure": reading.measure.value,
        "service": reading.key.service,
        "class": reading.key.kind,
        "team": reading.key.team,
        "count": reading.count,
        "encoded": reading.encoded,
    }


def draw(rows: cabc.Sequence[dict[str, t.Any]]) -> str:
    """Return a table of the histograms, with bars where they are few."""
    rows = [row for row in rows if row["count"]]
    if not rows:
        return "no requests were answered in the last windows"
    decoded = [histograms.decode(row["encoded"]) for row in rows]
    lines = [
        _make_line(row, histogram)
        for row, histogram in zip(rows, decoded, strict=True)
    ]
    parts = [_text_table.format_table(COLUMNS, lines)]
    if len(rows) <= MAX_BARS_DRAWN:
        for row, histogram in zip(rows, decoded, strict=True):
            parts.append(_draw_bars(row, histogram))
    return "\n\n".join(parts)


def _make_line(
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
        _draw_spark(_count_buckets(histogram)),
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


def _draw_spark(counts: cabc.Sequence[int]) -> str:
    top = max(counts)
    return "".join(
        SPARKS[count * (len(SPARKS) - 1) // top] if count else " "
        for count in counts
    )


def _draw_bars(row: dict[str, t.Any], histogram: hdr.HdrHistogram) -> str:
    counts = _count_buckets(histogram)
    used = [number for number, count in enumerate(counts) if count]
    top, total = max(counts), sum(counts)
    title = f"{row['measure']}, {row['service']}, {row['class']}, "
    lines = [f"{title}team {row['team']}"]
    for number in range(used[0], used[-1] + 1):
        count = counts[number]
        bar = "█" * max(count * BAR_WIDTH // top, 1 if count else 0)
        share = 100 * count / total
        lines.append(f"{_name_bucket(number):>12}  {share:5.1f}%  {bar}")
    return "\n".join(lines)


def _name_bucket(number: int) -> str:
    if number == len(BUCKET_EDGES_MS):
        return f"> {BUCKET_EDGES_MS[-1]:g} ms"
    return f"<= {BUCKET_EDGES_MS[number]:g} ms"
