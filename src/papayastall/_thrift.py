"""Encodes and decodes thrift structs, with a bounds check on decode.

The compiled decoder of thriftpy2 reads past the end of a buffer that is
shorter than its lengths say. :func:`decode` therefore walks the encoding
once, in Python, before it lets the decoder see it.
"""

from __future__ import annotations

import functools
import importlib
import struct
import typing as t

from thriftpy2.protocol import cybin
import thriftpy2.thrift
from thriftpy2.transport import memory

from papayastall import exceptions

__all__ = ["decode", "encode", "load_module"]

STOP = 0
FIXED_SIZES_BYTES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
STRING = 11
STRUCT = 12
MAP = 13
SET = 14
LIST = 15
MAX_DEPTH = 16

_INT32 = struct.Struct(">i")


class StructModule:
    """The structs of one IDL file, as attributes."""

    def __init__(self, name: str, tables: dict[str, t.Any]) -> None:
        self._structs: dict[str, t.Any] = {}
        for struct_name in tables:
            self._structs[struct_name] = type(
                struct_name,
                (thriftpy2.thrift.TPayload,),
                {"__module__": f"{name}_thrift"},
            )
        for struct_name, table in tables.items():
            spec = {
                number: self._resolve(entry) for number, entry in table.items()
            }
            self._fill(self._structs[struct_name], spec)

    def __getattr__(self, name: str) -> t.Any:
        try:
            return self._structs[name]
        except KeyError:
            raise AttributeError(name) from None

    def _resolve(self, entry: t.Any) -> t.Any:
        """Put the structs in place of their names.

        A struct stands behind its type's number, as in ``(12, "Load")``.
        """
        if not isinstance(entry, tuple):
            return entry
        parts = [self._resolve(part) for part in entry]
        for place, part in enumerate(parts[:-1]):
            following = parts[place + 1]
            if part == STRUCT and following in self._structs:
                parts[place + 1] = self._structs[following]
        if len(parts) == 4 and parts[0] == STRUCT:
            parts[2] = self._structs[entry[2]]
        return tuple(parts)

    @staticmethod
    def _fill(struct: t.Any, spec: dict[int, t.Any]) -> None:
        struct.thrift_spec = spec
        struct.default_spec = [(entry[1], None) for entry in spec.values()]
        struct.__init__ = thriftpy2.thrift.init_func_generator(
            struct, struct.default_spec
        )


@functools.cache
def load_module(name: str) -> t.Any:
    """Return the structs of an IDL file of the package.

    :param name: of the file, without ``.thrift``; its tables are generated
        by :mod:`papayastall._thrift_generate`.
    """
    module = importlib.import_module(f"papayastall._{name}_tables")
    return StructModule(name, module.TABLES)


def encode(value: t.Any) -> bytes:
    """Return the binary encoding of a thrift struct."""
    buffer = memory.TCyMemoryBuffer()
    cybin.TCyBinaryProtocol(buffer).write_struct(value)
    return bytes(buffer.getvalue())


def decode(struct_class: t.Any, data: bytes) -> t.Any:
    """Return the struct that ``data`` encodes.

    Fields that the class does not know are ignored.

    :raises papayastall.exceptions.ProtocolError: the data is cut short or
        is no thrift struct.
    """
    try:
        end = _skip_struct(data, 0, 0)
    except (IndexError, struct.error):
        end = -1
    if end != len(data):
        raise exceptions.ProtocolError(
            exceptions.ErrorCode.BAD_FRAME,
            f"{struct_class.__name__} of {len(data)} bytes is malformed; "
            "both sides must run compatible versions",
            step="decode",
        )
    value = struct_class()
    cybin.TCyBinaryProtocol(memory.TCyMemoryBuffer(data)).read_struct(value)
    return value


def _skip_struct(data: bytes, position: int, depth: int) -> int:
    if depth > MAX_DEPTH:
        raise IndexError(depth)
    while True:
        kind = data[position]
        if kind == STOP:
            return position + 1
        position = _skip_value(data, position + 3, kind, depth)


def _skip_value(data: bytes, position: int, kind: int, depth: int) -> int:
    size = FIXED_SIZES_BYTES.get(kind)
    if size is not None:
        return _advance(data, position, size)
    if kind == STRING:
        (length,) = _INT32.unpack_from(data, position)
        return _advance(data, position + 4, length)
    if kind == STRUCT:
        return _skip_struct(data, position, depth + 1)
    if kind in (LIST, SET):
        (count,) = _INT32.unpack_from(data, position + 1)
        return _skip_items(data, position + 5, (data[position],), count, depth)
    if kind == MAP:
        (count,) = _INT32.unpack_from(data, position + 2)
        kinds = (data[position], data[position + 1])
        return _skip_items(data, position + 6, kinds, count, depth)
    raise IndexError(kind)


def _skip_items(
    data: bytes, position: int, kinds: tuple[int, ...], count: int, depth: int
) -> int:
    if not 0 <= count <= len(data):
        raise IndexError(count)
    for _ in range(count):
        for kind in kinds:
            position = _skip_value(data, position, kind, depth + 1)
    return position


def _advance(data: bytes, position: int, size: int) -> int:
    end = position + size
    if size < 0 or end > len(data):
        raise IndexError(end)
    return end
