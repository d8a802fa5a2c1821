"""JSON log lines, limited in rate and written without blocking.

One line is written for each change of state and for each decision by which
a request isn't answered at its first attempt. Outcomes of all requests are
counted in :mod:`papayastall.metrics` instead.
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
"""Limit per node; with 21 nodes and 70 requests a second in total, several
lines per request."""
BURST_LINES = 200.0
CHANGE_RESERVE_LINES = 100.0
"""Part of a burst that is reserved for changes of state: they are few, and
each explains many requests."""
DETAIL_RESERVE_LINES = 150.0
"""Part of a burst that is reserved for changes of state and for outcomes
of requests: a line of an outcome explains a failed request by itself."""
MAX_BUFFERED_BYTES = 256 << 10
"""Size of the lines that wait for a slow reader; further lines are dropped
and counted."""


class ChangeKind(enum.Enum):
    """What changed; the value follows the prefix in ``message_type``."""

    NODE = "node"
    """This node started, is leaving or has stopped."""
    MEMBER = "member"
    """Another node's state as membership sees it."""
    LINK = "link"
    """The link to another node."""
    UPSTREAM = "upstream"
    """An upstream announced itself, left, was ejected or was steered away
    from."""
    CONFIG = "config"
    """A configuration came into force."""
    CONTROL = "control"
    """The leader or the members of a control group."""
    STORAGE = "storage"
    """The data folder failed, was found damaged or has recovered."""
    QUOTA = "quota"
    """The holder of teams' quotas, or whether one can be reached."""
    SUSPECT = "suspect"
    """A request that crashes upstreams is refused, or is allowed again."""
    KEYS = "keys"
    """The lease on the keys of callers ended or was regained."""


class RequestEvent(enum.Enum):
    """Decision on a request; the value follows the ``message_type`` prefix."""

    REFUSED = "request-refused"
    """It was not run, and the answer to its caller says so."""
    UNKNOWN = "request-unknown"
    """It may have run, and the answer to its caller says so."""
    FAILED = "request-failed"
    """An upstream answered with a failure, which was relayed to the caller."""
    REPEATED = "request-repeated"
    """It was sent to another owner, as a retry or a hedge."""
    CANCELLED = "request-cancelled"
    """Its caller disconnected before there was an answer."""


class StateChange(msgspec.Struct, frozen=True):
    """One change of state.

    :param subject: address or name of what changed its state.
    :param before: state before the change.
    :param after: state after the change.
    :param cause: reason of the change, in words that an operator can act on.
    :param peer: address of the other process involved, if any.
    """

    kind: ChangeKind
    subject: str
    before: str
    after: str
    cause: str
    peer: str | None = None


class _Writer:
    """Writes lines to a descriptor without blocking.

    A token bucket limits the rate, a buffer holds lines for a slow reader.
    """

    def __init__(self) -> None:
        self._node = ""
        self._descriptor: int | None = None
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._available_lines = BURST_LINES
        self._refilled_s = 0.0
        self._dropped: collections.Counter[str] = collections.Counter()

    def open(self, descriptor: int, node: str) -> None:
        """Write to this descriptor from now on.

        :param node: link address of the node, a field of each line.
        """
        self._node = node
        self._descriptor = descriptor
        self._available_lines = BURST_LINES
        self._refilled_s = clock.now_s()
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def close(self) -> None:
        """Write what the descriptor accepts at once, then stop writing."""
        if self._descriptor is None:
            return
        self._flush()
        self._descriptor = None
        self._buffer.clear()
        self._buffered_bytes = 0

    def write(
        self, event: str, fields: dict[str, t.Any], reserve_lines: float
    ) -> None:
        """Write a line, or count it as dropped.

        :param reserve_lines: lines that must remain available after it.
        """
        if self._descriptor is None:
            return
        now_s = clock.now_s()
        refilled = (now_s - self._refilled_s) * MAX_LINES_PER_S
        self._available_lines = min(
            BURST_LINES, self._available_lines + refilled
        )
        self._refilled_s = now_s
        if self._available_lines < 1.0 + reserve_lines:
            self._dropped[event] += 1
            return
        if self._dropped and self._append(
            "log", {"dropped_lines": dict(self._dropped)}
        ):
            self._dropped.clear()
        if not self._append(event, fields):
            self._dropped[event] += 1
        self._flush()

    def _append(self, event: str, fields: dict[str, t.Any]) -> bool:
        """Append a line to the buffer; return whether there was room."""
        line = orjson.dumps(
            {
                "timestamp": round(time.time(), 4),
                "message_type": MESSAGE_TYPE_PREFIX + event,
                "node": self._node,
                **fields,
            },
            option=orjson.OPT_APPEND_NEWLINE,
        )
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            return False
        self._available_lines -= 1.0
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        return True

    def _flush(self) -> None:
        assert self._descriptor is not None
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; the node continues without a log.
                self._descriptor = None
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


_writer = _Writer()


def log_change(change: StateChange) -> None:
    """Write the line of a change of state."""
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
    """Write the line of a decision about a request.

    :param request: id that its caller gave it, or that the node gave it.
    :param fields: values that led to the decision, with units in the names.
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
    :param node: link address of the node that writes the lines.
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
