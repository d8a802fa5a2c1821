"""From a request's id to its cause: a timeline from the logs of all nodes.

Lines may stand behind other text, such as the name of the process that
wrote them; what is no log line of the product is passed over.
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

BEFORE_S = 10.0
"""What nodes believed so long before a request may have decided it."""
AFTER_S = 1.0
_LINE_START = '{"timestamp"'
_END_EVENTS = frozenset(
    event.value
    for event in logs.RequestEvent
    if event is not logs.RequestEvent.REPEATED
)
_OWN_FIELDS = ("timestamp", "message_type", "node", "request")


class LogLine(msgspec.Struct, frozen=True):
    """One line of a node's log.

    :param node: link address of the node that wrote it.
    :param fields: all others, by name.
    """

    timestamp: float
    event: str
    node: str
    request: str
    fields: dict[str, t.Any]


def read_lines(texts: cabc.Iterable[str]) -> cabc.Iterator[LogLine]:
    """Yield the log lines among lines of text."""
    for text in texts:
        start = text.find(_LINE_START)
        if start < 0:
            continue
        try:
            raw = orjson.loads(text[start:])
        except orjson.JSONDecodeError:
            # A process that was killed leaves a line that is cut short.
            continue
        event = str(raw.get("message_type", ""))
        yield LogLine(
            timestamp=float(raw["timestamp"]),
            event=event.removeprefix(logs.MESSAGE_TYPE_PREFIX),
            node=str(raw.get("node", "")),
            request=str(raw.get("request", "")),
            fields={k: v for k, v in raw.items() if k not in _OWN_FIELDS},
        )


def explain(request: str, lines: cabc.Iterable[LogLine]) -> list[LogLine]:
    """Return what the logs say of a request, in the order of time.

    These are its own lines, and what its ingress and the owners that it was
    sent to said of themselves, and others of them, shortly before. Where an
    upstream failed it, also the requests that failed meanwhile and had begun
    on that upstream's VM: its own calls are among them.

    :raises papayastall.exceptions.BadInputError: no line names it.
    """
    everything = list(lines)
    own = [line for line in everything if line.request == request]
    if not own:
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_REQUEST,
            f"no line names request {request!r}: it was answered at its "
            "first attempt, or its lines were dropped (look for "
            "dropped_lines), or the logs of its ingress are missing",
            step="explain",
        )
    involved = {line.node for line in own}
    for line in own:
        involved.update(str(line.fields.get("owners", "")).split())
        if "to" in line.fields:
            involved.add(str(line.fields["to"]))
    first_s = min(line.timestamp for line in own) - BEFORE_S
    last_s = max(line.timestamp for line in own) + AFTER_S
    around = [
        line
        for line in everything
        if not line.request
        and first_s <= line.timestamp <= last_s
        and involved & _names(line)
    ]
    calls = [
        line
        for failure in own
        if failure.event == logs.RequestEvent.FAILED.value
        for line in everything
        if _may_be_call(failure, line)
    ]
    return sorted([*own, *around, *calls], key=lambda line: line.timestamp)


def _may_be_call(failure: LogLine, line: LogLine) -> bool:
    """Return whether a failed request may be why an upstream failed.

    It began and ended on the VM of that upstream during its run.
    """
    run_s = float(failure.fields["attempt_ms"]) / 1000
    age_s = float(line.fields.get("age_ms", 0.0)) / 1000
    began_s = failure.timestamp - run_s
    return (
        line.event in _END_EVENTS
        and line.node == failure.fields["owner"]
        and line.request != failure.request
        and began_s <= line.timestamp - age_s
        and line.timestamp <= failure.timestamp
    )


def _names(line: LogLine) -> set[str]:
    """Return the nodes that a line is about or from."""
    subject = str(line.fields.get("subject", ""))
    peer = str(line.fields.get("peer", ""))
    return {line.node, subject, peer} - {""}


def format_timeline(request: str, timeline: list[LogLine]) -> str:
    """Return a table of the lines, times relative to the first own one."""
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
