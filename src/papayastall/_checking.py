"""Checks TOML input into slotted data classes and reports all problems.

A problem names the key, what is wrong and what to do. The structuring is
done by cattrs with strict primitives: nothing is converted silently.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import enum
import functools
import ipaddress
import pathlib
import typing as t

import cattrs
from cattrs import errors as cattrs_errors

from papayastall import exceptions

__all__ = [
    "Address",
    "Milliseconds",
    "PositiveInt",
    "Problem",
    "make_converter",
    "parse_address",
    "raise_problems",
    "structure",
]

Address = t.NewType("Address", str)
"""An IP address and a port, as ``10.0.0.1:80`` or ``[fd00::1]:80``."""

Milliseconds = t.NewType("Milliseconds", int)
"""A duration of at least one millisecond."""

PositiveInt = t.NewType("PositiveInt", int)
"""A whole number of at least one."""

T = t.TypeVar("T")

MAX_PORT = 65535
MAX_CONVERTERS = 8

TYPE_WORDS = {str: "text", int: "a whole number", bool: "true or false"}


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """One thing wrong in a file, with what to do about it.

    :param key: path of the key, such as ``routes[2].timeout_ms``.
    """

    key: str
    text: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.key}: {self.text}; {self.remedy}"


class _ValueProblem(ValueError):
    """A value that does not fit its key."""

    def __init__(self, text: str, remedy: str) -> None:
        super().__init__(text)
        self.text = text
        self.remedy = remedy


def parse_address(text: str) -> tuple[str, int]:
    """Split an address into its IP number and its port.

    :raises ValueError: not an IP number with a port from 1 to 65535.
    """
    host, separator, port_text = text.rpartition(":")
    if not separator or not port_text.isascii() or not port_text.isdigit():
        raise ValueError(f"{text!r} is not an address with a port")
    if host.startswith("[") and host.endswith("]"):
        host = str(ipaddress.IPv6Address(host[1:-1]))
    else:
        host = str(ipaddress.IPv4Address(host))
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port {port} is not between 1 and {MAX_PORT}")
    return host, port


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
    converter.register_structure_hook(Address, _structure_address)
    converter.register_structure_hook(Milliseconds, _structure_positive)
    converter.register_structure_hook(PositiveInt, _structure_positive)
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
) -> tuple[T | None, list[Problem]]:
    """Structure raw input, returning the value or all of its problems."""
    try:
        return converter.structure(raw, target), []
    except cattrs_errors.BaseValidationError as error:
        return None, list(_walk(error, ""))


def raise_problems(
    code: exceptions.ErrorCode, source: str, problems: list[Problem]
) -> None:
    """Raise one error that lists all problems; return if there are none.

    :raises papayastall.exceptions.BadInputError: there are problems.
    """
    if not problems:
        return
    lines = "\n".join(f"  {problem}" for problem in problems)
    raise exceptions.BadInputError(
        code, f"mend {source}:\n{lines}", step="check"
    )


def _walk(error: BaseException, path: str) -> cabc.Iterator[Problem]:
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


def _explain(error: BaseException, path: str) -> cabc.Iterator[Problem]:
    key = path or "the file"
    match error:
        case cattrs_errors.ForbiddenExtraKeysError():
            prefix = f"{path}." if path else ""
            known = [field.name for field in dataclasses.fields(error.cl)]
            for name in sorted(error.extra_fields):
                yield Problem(
                    f"{prefix}{name}",
                    "unknown key",
                    f"remove it or use one of: {', '.join(known)}",
                )
        case _ValueProblem():
            yield Problem(key, error.text, error.remedy)
        case KeyError():
            yield Problem(key, "is missing", "add it")
        case _:
            yield Problem(key, "has a wrong form", "see the examples")


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


def _structure_address(value: object, _: type) -> Address:
    text = _require(value, str)
    try:
        parse_address(text)
    except ValueError as error:
        raise _ValueProblem(
            str(error), 'give an IP number and a port, as "10.0.0.1:80"'
        ) from None
    return Address(text)


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
