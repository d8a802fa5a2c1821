"""Encodes and decodes thrift structs, with a bounds check on decode.

The compiled decoder of thriftpy2 reads past the end of a buffer that is
shorter than its lengths say. :func:`decode` therefore walks the encoding
once, in Python, before it lets the decoder see it.
"""

from __future__ import annotations

import importlib.resources
import struct
import typing as t

import thriftpy2
from thriftpy2.protocol import cybin
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


def load_module(name: str) -> t.Any:
    """Load an IDL file of the package, named without ``.thrift``."""
    source = importlib.resources.files("papayastall") / f"{name}.thrift"
    with importlib.resources.as_file(source) as path:
        return thriftpy2.load(str(path), module_name=f"{name}_thrift")


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
