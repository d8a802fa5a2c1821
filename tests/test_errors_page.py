"""Tests that the page of errors lists each code and its HTTP status."""

from __future__ import annotations

import pathlib

import pytest

from papayastall import _problem
from papayastall import exceptions

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "errors.md"


@pytest.mark.parametrize("code", exceptions.ErrorCode)
def test_the_page_lists_the_code(code: exceptions.ErrorCode) -> None:
    (row,) = [
        line
        for line in PAGE.read_text().splitlines()
        if line.startswith(f"| `{code.value}` |")
    ]
    status = row.split("|")[2].strip()
    if status:
        assert int(status) == _problem.status_of(code)
