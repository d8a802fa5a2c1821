"""Log lines: one JSON object each, bounded in volume, never blocking.

A line is written for each change of state and for each decision that keeps
a request from being answered at the first attempt. What happens to every
request is counted in :mod:`papayastall.metrics` instead.
"""

from __future__ import annotations

import collections
import enum
import os
import pathlib
import stat
import sys
import time
import typing as t

import msgspec
import orjson

from papayastall import clock
from papayastall import exceptions

__all__ = [
    "MESSAGE_TYPE_PREFIX",
    "ChangeKind",
    "LogFile",
    "RequestEvent",
    "StateChange",
    "log_change",
    "log_request",
]

MESSAGE_TYPE_PREFIX = "papayastall:"
MAX_LINES_PER_S = 50.0
"""At 70 requests a second over 21 nodes this is several lines a request."""
BURST_LINES = 200.0
CHANGE_RESERVE_LINES = 100.0
"""Lines of a burst that only changes of state may use: they explain many
requests, and there are few of them."""
DETAIL_RESERVE_LINES = 150.0
"""Lines of a burst that are kept for changes and for how requests ended:
each of these explains a failed request by itself."""
MAX_WAITING_BYTES = 256 << 10
"""Kept while nobody reads the log; what comes after is dropped."""


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


class RequestEvent(enum.Enum):
    """What was decided about a request; the value is ``message_type``."""

    REFUSED = "request-refused"
    """It was not run and its caller was told so."""
    UNKNOWN = "request-unknown"
    """It may have run and its caller was told so."""
    FAILED = "request-failed"
    """An upstream's own failure was passed on to its caller."""
    REPEATED = "request-repeated"
    """It was sent to another owner, as a retry or a hedge."""
    CANCELLED = "request-cancelled"
    """Its caller went away before there was an answer."""


class StateChange(msgspec.Struct, frozen=True):
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


class _Writer:
    """Writes lines to a descriptor without ever waiting for its reader."""

    def __init__(self) -> None:
        self._node = ""
        self._descriptor: int | None = None
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._lines = BURST_LINES
        self._refilled_s = 0.0
        self._dropped: collections.Counter[str] = collections.Counter()

    def open(self, descriptor: int, node: str) -> None:
        """Write to this descriptor from now on, as this node."""
        self._node = node
        self._descriptor = descriptor
        self._lines = BURST_LINES
        self._refilled_s = clock.now_s()
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def close(self) -> None:
        """Write what can be written, then nothing more."""
        if self._descriptor is None:
            return
        self._flush()
        self._descriptor = None
        self._waiting.clear()
        self._waiting_bytes = 0

    def write(
        self, event: str, fields: dict[str, t.Any], reserve_lines: float
    ) -> None:
        """Write a line, or count it as dropped."""
        if self._descriptor is None:
            return
        now_s = clock.now_s()
        gained = (now_s - self._refilled_s) * MAX_LINES_PER_S
        self._lines = min(BURST_LINES, self._lines + gained)
        self._refilled_s = now_s
        if self._lines < 1.0 + reserve_lines:
            self._dropped[event] += 1
            return
        if self._dropped and self._put(
            "log", {"dropped_lines": dict(self._dropped)}
        ):
            self._dropped.clear()
        if not self._put(event, fields):
            self._dropped[event] += 1
        self._flush()

    def _put(self, event: str, fields: dict[str, t.Any]) -> bool:
        """Queue a line; return whether there was room for it."""
        line = orjson.dumps(
            {
                "timestamp": round(time.time(), 4),
                "message_type": MESSAGE_TYPE_PREFIX + event,
                "node": self._node,
                **fields,
            },
            option=orjson.OPT_APPEND_NEWLINE,
        )
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            return False
        self._lines -= 1.0
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        return True

    def _flush(self) -> None:
        assert self._descriptor is not None
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the node goes on without a log.
                self._descriptor = None
                return
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()


_writer = _Writer()


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
    _writer.write(change.kind.value, fields, 0.0)


def log_request(
    event: RequestEvent, request: str, **fields: str | float | None
) -> None:
    """Write one line for a decision about a request.

    :param request: the id that its caller gave it, or the node's own.
    :param fields: what decided it, with units in the names.
    """
    match event:
        case RequestEvent.REPEATED | RequestEvent.CANCELLED:
            reserve_lines = DETAIL_RESERVE_LINES
        case _:
            reserve_lines = CHANGE_RESERVE_LINES
    _writer.write(event.value, {"request": request, **fields}, reserve_lines)


class LogFile:
    """The destination of the log lines.

    :param path: file to append to; ``None`` for standard output.
    :param node: link address of the node that writes.
    """

    def __init__(self, path: pathlib.Path | None, node: str = "") -> None:
        self._path = path
        self._node = node
        self._stream: t.IO[bytes] | None = None

    def start(self) -> None:
        """Open the file and send log lines to it.

        :raises papayastall.exceptions.BadInputError: it can't be opened.
        """
        if self._path is None:
            _writer.open(sys.stdout.fileno(), self._node)
            return
        try:
            self._stream = self._path.open("ab", buffering=0)
        except OSError as error:
            raise exceptions.BadInputError(
                exceptions.ErrorCode.BAD_SETTINGS,
                f"log_file: can't append to {self._path}: {error.strerror}",
                step="open log",
            ) from error
        _writer.open(self._stream.fileno(), self._node)

    def close(self) -> None:
        """Stop writing log lines."""
        _writer.close()
        if self._stream is not None:
            self._stream.close()
        self._stream = None
