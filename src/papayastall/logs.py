"""Log lines: one for each change of state, with its cause.

Lines are JSON, written by eliot to the file that the settings name or to
standard error. Whatever happens for each request is counted in
:mod:`papayastall.metrics` instead.
"""

from __future__ import annotations

import dataclasses
import enum
import pathlib
import sys
import typing as t

import eliot

from papayastall import exceptions

__all__ = ["ChangeKind", "LogFile", "StateChange", "log_change"]

MESSAGE_TYPE_PREFIX = "papayastall:"


class ChangeKind(enum.Enum):
    """What changed; the value is the line's ``message_type``."""

    NODE = "node"
    """This node started, is leaving or has stopped."""
    MEMBER = "member"
    """Another node's state as membership sees it."""
    LINK = "link"
    """The link to another node."""
    UPSTREAM = "upstream"
    """An upstream announced itself, went, was steered away or ejected."""
    CONFIG = "config"
    """A configuration came into force."""
    CONTROL = "control"
    """The leader or the members of a control group."""
    STORAGE = "storage"
    """The data folder failed, was found damaged or has recovered."""
    SUSPECT = "suspect"
    """A request that crashes upstreams is refused or allowed again."""


@dataclasses.dataclass(slots=True, frozen=True)
class StateChange:
    """One change of state.

    :param subject: whose state changed: an address or a name.
    :param cause: why, in words that an operator can act on.
    :param peer: the other process involved, if any.
    """

    kind: ChangeKind
    subject: str
    before: str
    after: str
    cause: str
    peer: str | None = None


def log_change(change: StateChange) -> None:
    """Write one line for a change of state."""
    fields = {
        "subject": change.subject,
        "before": change.before,
        "after": change.after,
        "cause": change.cause,
    }
    if change.peer is not None:
        fields["peer"] = change.peer
    message_type = f"{MESSAGE_TYPE_PREFIX}{change.kind.value}"
    eliot.log_message(message_type=message_type, **fields)


class LogFile:
    """The destination of the log lines.

    :param path: file to append to; ``None`` for standard error.
    """

    def __init__(self, path: pathlib.Path | None) -> None:
        self._path = path
        self._stream: t.IO[bytes] | None = None
        self._destination: eliot.FileDestination | None = None

    def start(self) -> None:
        """Open the file and send log lines to it.

        :raises papayastall.exceptions.BadInputError: it can't be opened.
        """
        try:
            self._stream = self._open()
        except OSError as error:
            raise exceptions.BadInputError(
                exceptions.ErrorCode.BAD_SETTINGS,
                f"log_file: can't append to {self._path}: {error.strerror}",
                step="open log",
            ) from error
        self._destination = eliot.FileDestination(file=self._stream)
        eliot.add_destinations(self._destination)

    def close(self) -> None:
        """Stop writing log lines."""
        if self._destination is not None:
            eliot.remove_destination(self._destination)
            self._destination = None
        if self._stream is not None and self._path is not None:
            self._stream.close()
        self._stream = None

    def _open(self) -> t.IO[bytes]:
        if self._path is None:
            return sys.stderr.buffer
        return self._path.open("ab", buffering=0)
