"""Timeline of one request, built from the logs of all nodes.

A log line may follow other text, such as the name of the process that wrote
it. Text that holds no log line of papayastall is skipped.
"""

from __future__ import annotations

import collections.abc as cabc
import typing as t

import msgspec
import orjson

from papayastall import _text_table
from papayastall import exceptions
from papayastall import logs

__all__ = ["LogLine", "explain", "format_timeline", "read_lines"]

CONTEXT_BEFORE_S = 10.0
"""State changes up to this long before a request may have affected it."""
CONTEXT_AFTER_S = 1.0
_LINE_START = '{"timestamp"'
_END_EVENTS = frozenset(
    event.value
    for event in logs.RequestEvent
    if event is not logs.RequestEvent.REPEATED
)
_ATTRIBUTE_FIELDS = ("timestamp", "message_type", "node", "request")


class LogLine(msgspec.Struct, frozen=True):
    """One line of a node's log.

    :param timestamp: Unix time, in seconds.
    :param event: ``message_type`` without its prefix.
    :param node: link address of the node that wrote it.
    :param request: id of the request, empty for a change of state.
    :param fields: all other fields of the line, by name.
    """

    timestamp: float
    event: str
    node: str
    request: str
    fields: dict[str, t.Any]


def read_lines(texts: cabc.Iterable[str]) -> cabc.Iterator[LogLine]:
    """Yield the log lines found in lines of text."""
    for text in texts:
        start = text.find(_LINE_START)
        if start < 0:
            continue
        try:
            raw = orjson.loads(text[start:])
        except orjson.JSONDecodeError:
            # The last line of a process that was killed may be truncated.
            continue
        event = str(raw.get("message_type", ""))
        yield LogLine(
            timestamp=float(raw["timestamp"]),
            event=event.removeprefix(logs.MESSAGE_TYPE_PREFIX),
            node=str(raw.get("node", "")),
            request=str(raw.get("request", "")),
            fields={
                k: v for k, v in raw.items() if k not in _ATTRIBUTE_FIELDS
            },
        )


def explain(request: str, lines: cabc.Iterable[LogLine]) -> list[LogLine]:
    """Return the log lines that concern a request, in order of time.

    These are its own lines and, from shortly before the first to shortly
    after the last of them, the lines without a request, such as state
    changes, by or about its ingress and the owners that it was sent to. If
    an upstream failed the request, also the lines of requests that began
    and failed during the attempt on the upstream's VM: the calls that the
    upstream made are among them.

    :param request: id of the request.
    :raises papayastall.exceptions.BadInputError: no line has this id.
    """
    all_lines = list(lines)
    own_lines = [line for line in all_lines if line.request == request]
    if not own_lines:
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_REQUEST,
            f"no log line of request {request!r}: it was answered at its "
            "first attempt, or its lines were dropped (look for "
            "dropped_lines), or the logs of its ingress are missing",
            step="explain",
        )
    involved_nodes = {line.node for line in own_lines}
    for line in own_lines:
        involved_nodes.update(str(line.fields.get("owners", "")).split())
        if "to" in line.fields:
            involved_nodes.add(str(line.fields["to"]))
    first_s = min(line.timestamp for line in own_lines) - CONTEXT_BEFORE_S
    last_s = max(line.timestamp for line in own_lines) + CONTEXT_AFTER_S
    context_lines = [
        line
        for line in all_lines
        if not line.request
        and first_s <= line.timestamp <= last_s
        and involved_nodes & _find_nodes(line)
    ]
    calls = [
        line
        for failure in own_lines
        if failure.event == logs.RequestEvent.FAILED.value
        for line in all_lines
        if _may_be_nested_call(failure, line)
    ]
    return sorted(
        [*own_lines, *context_lines, *calls], key=lambda line: line.timestamp
    )


def _may_be_nested_call(failure: LogLine, line: LogLine) -> bool:
    """Return whether a line ends a call that may have failed an attempt.

    Such a call began and ended during the attempt, at the node on the VM
    of the attempt's upstream.

    :param failure: line of the request that the upstream failed.
    """
    attempt_s = float(failure.fields["attempt_ms"]) / 1000
    age_s = float(line.fields.get("age_ms", 0.0)) / 1000
    began_s = failure.timestamp - attempt_s
    return (
        line.event in _END_EVENTS
        and line.node == failure.fields["owner"]
        and line.request != failure.request
        and began_s <= line.timestamp - age_s
        and line.timestamp <= failure.timestamp
    )


def _find_nodes(line: LogLine) -> set[str]:
    """Return the node that wrote a line and those that it names."""
    subject = str(line.fields.get("subject", ""))
    peer = str(line.fields.get("peer", ""))
    return {line.node, subject, peer} - {""}


def format_timeline(request: str, timeline: list[LogLine]) -> str:
    """Return a table of the lines.

    Times are relative to the first line of the request itself.
    """
    start_s = min(
        line.timestamp for line in timeline if line.request == request
    )
    return _text_table.format_table(
        ("s", "node", "event", "what"),
        [
            (
                f"{line.timestamp - start_s:+.3f}",
                line.node,
                line.event,
                _describe(line, request),
            )
            for line in timeline
        ],
    )


def _describe(line: LogLine, request: str) -> str:
    fields = line.fields
    if line.request not in ("", request):
        fields = {"request": line.request, **fields}
    if "before" in fields:
        change = f"{fields['subject']}: {fields['before'] or '-'}"
        return f"{change} -> {fields['after']}: {fields['cause']}"
    return " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if value is not None
    )
