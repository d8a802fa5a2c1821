"""Plain-text tables for the terminal."""

from __future__ import annotations

import collections.abc as cabc

__all__ = ["format_table"]

COLUMN_SEPARATOR = "  "


def format_table(
    headings: cabc.Sequence[str], rows: cabc.Iterable[cabc.Sequence[object]]
) -> str:
    """Return a text table with a line of headings, numbers right-aligned."""
    rows = [list(row) for row in rows]
    cells = [[_format_cell(value) for value in row] for row in rows]
    widths = [
        max([len(heading), *(len(row[column]) for row in cells)])
        for column, heading in enumerate(headings)
    ]
    lines = [_align_row(list(headings), widths, list(headings))]
    for row, texts in zip(rows, cells, strict=True):
        lines.append(_align_row(row, widths, texts))
    return "\n".join(lines)


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3g}"
    return str(value)


def _align_row(
    values: cabc.Sequence[object],
    widths: cabc.Sequence[int],
    texts: cabc.Sequence[str],
) -> str:
    padded = [
        text.rjust(width)
        if isinstance(value, (int, float)) and not isinstance(value, bool)
        else text.ljust(width)
        for value, width, text in zip(values, widths, texts, strict=True)
    ]
    return COLUMN_SEPARATOR.join(padded).rstrip()
