"""Codec between msgspec structs and Thrift bytes.

A msgspec struct and its Thrift struct have the same name and field names.
Unknown fields from a newer sender are ignored; fields that an older sender
does not send take the defaults of the msgspec struct.
"""

from __future__ import annotations

import collections.abc as cabc
import enum
import types
import typing as t

import msgspec

from papayastall import _thrift
from papayastall import exceptions

__all__ = ["ThriftCodec"]

T = t.TypeVar("T")

Converter = cabc.Callable[[t.Any], t.Any]


class _Field(msgspec.Struct):
    name: str
    to_thrift: Converter | None
    from_thrift: Converter | None


class ThriftCodec:
    """Encodes and decodes the structs defined in one IDL module."""

    def __init__(self, idl: t.Any) -> None:
        self._idl = idl
        self._fields: dict[type[msgspec.Struct], list[_Field]] = {}

    def encode(self, value: t.Any) -> bytes:
        """Return a struct encoded as bytes."""
        return _thrift.encode(self._to_thrift(value))

    def decode(self, target: type[T], data: bytes) -> T:
        """Return the struct encoded in bytes.

        :param target: class of the struct.
        :raises papayastall.exceptions.ProtocolError: the bytes do not encode
            such a struct.
        """
        struct = _thrift.decode(getattr(self._idl, target.__name__), data)
        try:
            return t.cast(T, self._from_thrift(target, struct))
        except (TypeError, ValueError) as error:
            raise exceptions.ProtocolError(
                exceptions.ErrorCode.BAD_FRAME,
                f"bytes hold no {target.__name__}",
                step="decode",
            ) from error

    def list_fields(self, target: type) -> set[str]:
        """Return the field names of a struct in the IDL."""
        specs = getattr(self._idl, target.__name__).thrift_spec
        return {spec[1] for spec in specs.values()}

    def _to_thrift(self, value: t.Any) -> t.Any:
        target = type(value)
        struct = getattr(self._idl, target.__name__)()
        for field in self._get_fields(target):
            part = getattr(value, field.name)
            if part is not None and field.to_thrift is not None:
                part = field.to_thrift(part)
            setattr(struct, field.name, part)
        return struct

    def _from_thrift(self, target: type, struct: t.Any) -> t.Any:
        values = {}
        for field in self._get_fields(target):
            part = getattr(struct, field.name)
            if part is None:
                continue
            if field.from_thrift is not None:
                part = field.from_thrift(part)
            values[field.name] = part
        return target(**values)

    def _get_fields(self, target: type[msgspec.Struct]) -> list[_Field]:
        fields = self._fields.get(target)
        if fields is None:
            hints = t.get_type_hints(target)
            fields = [
                _Field(name, *self._choose_converters(hints[name]))
                for name in target.__struct_fields__
            ]
            self._fields[target] = fields
        return fields

    def _choose_converters(
        self, hint: t.Any
    ) -> tuple[Converter | None, Converter | None]:
        """Return the converters to and from Thrift; ``None`` if not needed."""
        options = t.get_args(hint)
        if isinstance(hint, types.UnionType):
            return self._choose_converters(
                next(o for o in options if o is not _NONE_TYPE)
            )
        if t.get_origin(hint) in (list, tuple):
            return self._make_list_converters(t.get_origin(hint), options[0])
        if not isinstance(hint, type):
            return None, None
        if issubclass(hint, enum.IntEnum):
            return int, hint
        if issubclass(hint, msgspec.Struct):
            return self._to_thrift, lambda s: self._from_thrift(hint, s)
        if hint is bytes:
            return None, _to_bytes
        return None, None

    def _make_list_converters(
        self, origin: t.Any, item_hint: t.Any
    ) -> tuple[Converter, Converter]:
        to_thrift, from_thrift = self._choose_converters(item_hint)

        def write(items: t.Any) -> list[t.Any]:
            if to_thrift is None:
                return list(items)
            return [to_thrift(part) for part in items]

        def read(items: t.Any) -> t.Any:
            if from_thrift is None:
                return origin(items)
            return origin(from_thrift(part) for part in items)

        return write, read


_NONE_TYPE = type(None)


def _to_bytes(value: str | bytes) -> bytes:
    return value.encode() if isinstance(value, str) else value
