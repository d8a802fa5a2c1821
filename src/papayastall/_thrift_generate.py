"""Generator of Python modules with the struct tables of the IDL files.

Usage: python -m papayastall._thrift_generate

Parsing the IDL at the start of each process costs 0.2 s of processor time,
so the generated tables are committed; a test checks that they match the IDL.
"""

from __future__ import annotations

import importlib.resources
import pathlib
import pprint
import typing as t

import thriftpy2
from thriftpy2 import thrift

__all__ = ["MODULE_NAMES", "render"]

MODULE_NAMES = ("control", "gossip", "raft", "wire")


def _replace_classes(value: t.Any) -> t.Any:
    """Return a table entry with struct classes replaced by their names."""
    if isinstance(value, tuple):
        return tuple(_replace_classes(part) for part in value)
    if isinstance(value, type):
        return value.__name__
    return value


def render(name: str) -> str:
    """Return the source of the module for an IDL file.

    :param name: name of the IDL file without ``.thrift``.
    """
    source = importlib.resources.files("papayastall") / f"{name}.thrift"
    with importlib.resources.as_file(source) as path:
        idl = thriftpy2.load(str(path), module_name=f"{name}_thrift")
    structs: list[t.Any] = [
        struct
        for struct in vars(idl).values()
        if isinstance(struct, type) and issubclass(struct, thrift.TPayload)
    ]
    tables = {
        struct.__name__: {
            number: _replace_classes(spec)
            for number, spec in struct.thrift_spec.items()
        }
        for struct in structs
    }
    body = pprint.pformat(tables, width=70, sort_dicts=False)
    return (
        f'"""Generated from {name}.thrift by _thrift_generate; do not edit.'
        f'"""\n\n__all__ = ["TABLES"]\n\n# fmt: off\n# ruff: noqa\n'
        f"# flake8: noqa\nTABLES = {body}\n"
    )


def main() -> None:
    """Write all modules into the folder of this one."""
    folder = pathlib.Path(__file__).parent
    for name in MODULE_NAMES:
        path = folder / f"_{name}_tables.py"
        path.write_text(render(name), encoding="utf-8")


if __name__ == "__main__":
    main()
