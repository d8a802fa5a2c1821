"""Conversion of raw input into data classes with cattrs.

Primitive types are strict: a value of another type is a problem and is not
converted. The only exception is a whole number where a float is expected.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import enum
import functools
import pathlib
import typing as t

import cattrs
from cattrs import errors as cattrs_errors

from papayastall import _checking

__all__ = ["make_converter", "structure"]

T = t.TypeVar("T")

MAX_CACHED_CONVERTERS = 8

TYPE_DESCRIPTIONS = {str: "text", int: "a whole number", bool: "true or false"}


class _InvalidValueError(ValueError):
    """A value that its key does not accept."""

    def __init__(self, text: str, remedy: str) -> None:
        super().__init__(text)
        self.text = text
        self.remedy = remedy


@functools.lru_cache(maxsize=MAX_CACHED_CONVERTERS)
def make_converter(base_path: pathlib.Path) -> cattrs.Converter:
    """Return a converter that refuses unknown keys and wrong types.

    Converters are cached, as each compiles a function per class when it is
    first used with that class.

    :param base_path: folder that relative paths are resolved against.
    """
    converter = cattrs.Converter(
        forbid_extra_keys=True, detailed_validation=True
    )
    for primitive in (str, int, bool):
        converter.register_structure_hook(
            primitive, _make_strict_hook(primitive)
        )
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(_checking.Address, _structure_address)
    converter.register_structure_hook(
        _checking.Milliseconds, _structure_positive
    )
    converter.register_structure_hook(
        _checking.PositiveInt, _structure_positive
    )
    converter.register_structure_hook_func(_is_enum, _structure_enum)

    def structure_path(value: object, _: type) -> pathlib.Path:
        text = _require_type(value, str)
        if not text:
            raise _InvalidValueError("is empty", "give a path or leave it out")
        return base_path / text

    converter.register_structure_hook(pathlib.Path, structure_path)
    return converter


def structure(
    converter: cattrs.Converter, raw: dict[str, t.Any], target: type[T]
) -> tuple[T | None, list[_checking.Problem]]:
    """Convert raw input to ``target``; return the value or all problems."""
    try:
        return converter.structure(raw, target), []
    except cattrs_errors.BaseValidationError as error:
        return None, list(_list_problems(error, ""))


def _list_problems(
    error: BaseException, path: str
) -> cabc.Iterator[_checking.Problem]:
    if isinstance(error, cattrs_errors.BaseValidationError):
        for inner in error.exceptions:
            yield from _list_problems(
                inner, path + _format_path_part(inner, path)
            )
        return
    yield from _describe_error(error, path)


def _format_path_part(error: BaseException, path: str) -> str:
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, cattrs_errors.AttributeValidationNote):
            return f".{note.name}" if path else note.name
        if isinstance(note, cattrs_errors.IterableValidationNote):
            return f"[{note.index}]"
    return ""


def _describe_error(
    error: BaseException, path: str
) -> cabc.Iterator[_checking.Problem]:
    key = path or "the file"
    match error:
        case cattrs_errors.ForbiddenExtraKeysError():
            prefix = f"{path}." if path else ""
            known = [field.name for field in dataclasses.fields(error.cl)]
            for name in sorted(error.extra_fields):
                yield _checking.Problem(
                    f"{prefix}{name}",
                    "unknown key",
                    f"remove it or use one of: {', '.join(known)}",
                )
        case _InvalidValueError():
            yield _checking.Problem(key, error.text, error.remedy)
        case KeyError():
            yield _checking.Problem(key, "is missing", "add it")
        case _:
            yield _checking.Problem(
                key,
                "has the wrong type or size",
                "give a value like those in the examples",
            )


def _require_type(value: object, expected: type[T]) -> T:
    if type(value) is not expected:
        description = TYPE_DESCRIPTIONS[expected]
        raise _InvalidValueError(
            f"{value!r} is not {description}", f"give {description}"
        )
    return value


def _make_strict_hook(
    expected: type[T],
) -> cabc.Callable[[object, type], T]:
    def structure_primitive(value: object, _: type) -> T:
        return _require_type(value, expected)

    return structure_primitive


def _structure_float(value: object, _: type) -> float:
    if type(value) not in (int, float):
        raise _InvalidValueError(f"{value!r} is not a number", "give a number")
    return float(t.cast(float, value))


def _structure_address(value: object, _: type) -> _checking.Address:
    text = _require_type(value, str)
    try:
        _checking.parse_address(text)
    except ValueError as error:
        raise _InvalidValueError(
            str(error), 'give an IP number and a port, as "10.0.0.1:80"'
        ) from None
    return _checking.Address(text)


def _structure_positive(value: object, _: type) -> int:
    number = _require_type(value, int)
    if number < 1:
        raise _InvalidValueError(f"{number} is too small", "give 1 or more")
    return number


def _is_enum(target: t.Any) -> bool:
    return isinstance(target, type) and issubclass(target, enum.Enum)


def _structure_enum(value: object, target: type[enum.Enum]) -> enum.Enum:
    try:
        return target(value)
    except ValueError:
        allowed = ", ".join(str(member.value) for member in target)
        raise _InvalidValueError(
            f"{value!r} is not allowed", f"use one of: {allowed}"
        ) from None
