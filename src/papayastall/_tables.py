"""Plain tables for the terminal."""

from __future__ import annotations

import collections.abc as cabc

__all__ = ["format_table"]

COLUMN_GAP = "  "


def format_table(
    headings: cabc.Sequence[str], rows: cabc.Iterable[cabc.Sequence[object]]
) -> str:
    """Return the rows under their headings, numbers to the right."""
    rows = [list(row) for row in rows]
    cells = [[_format_cell(value) for value in row] for row in rows]
    widths = [
        max([len(heading), *(len(row[column]) for row in cells)])
        for column, heading in enumerate(headings)
    ]
    lines = [_join(list(headings), widths, list(headings))]
    for row, texts in zip(rows, cells, strict=True):
        lines.append(_join(row, widths, texts))
    return "\n".join(lines)


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3g}"
    return str(value)


def _join(
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
    return COLUMN_GAP.join(padded).rstrip()
