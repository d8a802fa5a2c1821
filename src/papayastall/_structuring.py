"""Structures raw input into slotted data classes by cattrs.

Primitives are strict: nothing is converted silently.
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

MAX_CONVERTERS = 8

TYPE_WORDS = {str: "text", int: "a whole number", bool: "true or false"}


class _ValueProblem(ValueError):
    """A value that does not fit its key."""

    def __init__(self, text: str, remedy: str) -> None:
        super().__init__(text)
        self.text = text
        self.remedy = remedy


@functools.lru_cache(maxsize=MAX_CONVERTERS)
def make_converter(base_path: pathlib.Path) -> cattrs.Converter:
    """Return a converter that refuses unknown keys and wrong types.

    A converter compiles a function for each class on first use, so that
    those already made are kept.

    :param base_path: folder that relative paths are resolved against.
    """
    converter = cattrs.Converter(
        forbid_extra_keys=True, detailed_validation=True
    )
    for primitive in (str, int, bool):
        converter.register_structure_hook(primitive, _make_strict(primitive))
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
        text = _require(value, str)
        if not text:
            raise _ValueProblem("is empty", "give a path or leave it out")
        return base_path / text

    converter.register_structure_hook(pathlib.Path, structure_path)
    return converter


def structure(
    converter: cattrs.Converter, raw: dict[str, t.Any], target: type[T]
) -> tuple[T | None, list[_checking.Problem]]:
    """Structure raw input, returning the value or all of its problems."""
    try:
        return converter.structure(raw, target), []
    except cattrs_errors.BaseValidationError as error:
        return None, list(_walk(error, ""))


def _walk(error: BaseException, path: str) -> cabc.Iterator[_checking.Problem]:
    if isinstance(error, cattrs_errors.BaseValidationError):
        for inner in error.exceptions:
            yield from _walk(inner, path + _describe_step(inner, path))
        return
    yield from _explain(error, path)


def _describe_step(error: BaseException, path: str) -> str:
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, cattrs_errors.AttributeValidationNote):
            return f".{note.name}" if path else note.name
        if isinstance(note, cattrs_errors.IterableValidationNote):
            return f"[{note.index}]"
    return ""


def _explain(
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
        case _ValueProblem():
            yield _checking.Problem(key, error.text, error.remedy)
        case KeyError():
            yield _checking.Problem(key, "is missing", "add it")
        case _:
            yield _checking.Problem(
                key, "has a wrong form", "see the examples"
            )


def _require(value: object, wanted: type[T]) -> T:
    if type(value) is not wanted:
        word = TYPE_WORDS[wanted]
        raise _ValueProblem(f"{value!r} is not {word}", f"give {word}")
    return value


def _make_strict(
    wanted: type[T],
) -> cabc.Callable[[object, type], T]:
    def structure_strictly(value: object, _: type) -> T:
        return _require(value, wanted)

    return structure_strictly


def _structure_float(value: object, _: type) -> float:
    if type(value) not in (int, float):
        raise _ValueProblem(f"{value!r} is not a number", "give a number")
    return float(t.cast(float, value))


def _structure_address(value: object, _: type) -> _checking.Address:
    text = _require(value, str)
    try:
        _checking.parse_address(text)
    except ValueError as error:
        raise _ValueProblem(
            str(error), 'give an IP number and a port, as "10.0.0.1:80"'
        ) from None
    return _checking.Address(text)


def _structure_positive(value: object, _: type) -> int:
    number = _require(value, int)
    if number < 1:
        raise _ValueProblem(f"{number} is too small", "give 1 or more")
    return number


def _is_enum(target: t.Any) -> bool:
    return isinstance(target, type) and issubclass(target, enum.Enum)


def _structure_enum(value: object, target: type[enum.Enum]) -> enum.Enum:
    try:
        return target(value)
    except ValueError:
        words = ", ".join(str(member.value) for member in target)
        raise _ValueProblem(
            f"{value!r} is not allowed", f"use one of: {words}"
        ) from None
