"""Test that the generated struct tables match the IDL files."""

from __future__ import annotations

import pathlib

import pytest

from papayastall import _thrift_generate

FOLDER = pathlib.Path(_thrift_generate.__file__).parent


@pytest.mark.parametrize("name", _thrift_generate.MODULE_NAMES)
def test_tables_are_those_of_the_idl(name: str) -> None:
    generated = (FOLDER / f"_{name}_tables.py").read_text(encoding="utf-8")
    assert generated == _thrift_generate.render(name), (
        "the table is outdated: run python -m papayastall._thrift_generate"
    )
