"""Validation of TOML and JSON input into data classes.

All problems of an input are reported at once; each names the key, what is
wrong and how to fix it. The conversion itself is in
:mod:`papayastall._structuring`, which is imported on first use: a node
whose settings come from an adapter does not need it.
"""

from __future__ import annotations

import dataclasses
import ipaddress
import pathlib
import typing as t

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
"""An IP address and a port, such as ``10.0.0.1:80`` or ``[fd00::1]:80``."""

Milliseconds = t.NewType("Milliseconds", int)
"""A duration of at least one millisecond."""

PositiveInt = t.NewType("PositiveInt", int)
"""A whole number of at least one."""

T = t.TypeVar("T")

if t.TYPE_CHECKING:
    import cattrs

MAX_PORT = 65535


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """One problem of an input.

    :param key: path of the key, such as ``routes[2].timeout_ms``.
    :param text: what is wrong.
    :param remedy: how to fix it.
    """

    key: str
    text: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.key}: {self.text}; {self.remedy}"


def parse_address(text: str) -> tuple[str, int]:
    """Split an address into its host, an IP address, and its port.

    :raises ValueError: it is not an IP address with a port from 1 to 65535.
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


def make_converter(base_path: pathlib.Path) -> cattrs.Converter:
    """Return a converter that refuses unknown keys and wrong types.

    :param base_path: folder that relative paths are resolved against.
    """
    from papayastall import _structuring

    return _structuring.make_converter(base_path)


def structure(
    converter: cattrs.Converter, raw: dict[str, t.Any], target: type[T]
) -> tuple[T | None, list[Problem]]:
    """Convert raw input to ``target``; return the value or all problems."""
    from papayastall import _structuring

    return _structuring.structure(converter, raw, target)


def raise_problems(
    code: exceptions.ErrorCode, source: str, problems: list[Problem]
) -> None:
    """Raise one error that lists all problems, if there are any.

    :param source: where the input comes from, for the message.
    :raises papayastall.exceptions.BadInputError: ``problems`` is not empty.
    """
    if not problems:
        return
    lines = "\n".join(f"  {problem}" for problem in problems)
    raise exceptions.BadInputError(
        code, f"mend {source}:\n{lines}", step="check"
    )
