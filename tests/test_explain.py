"""Tests of the timeline of a request, built from the logs of all nodes."""

from __future__ import annotations

import json
import pathlib
import typing as t

import pytest

from papayastall import _explain
from papayastall import cli
from papayastall import exceptions

INGRESS, OWNER, OTHER = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"


def line(at_s: float, event: str, node: str, **fields: t.Any) -> str:
    raw = {"timestamp": at_s, "message_type": f"papayastall:{event}"}
    return json.dumps({**raw, "node": node, **fields}, separators=(",", ":"))


def change(at_s: float, node: str, subject: str, cause: str) -> str:
    return line(
        at_s,
        "upstream",
        node,
        subject=subject,
        before="healthy",
        after="leaving",
        cause=cause,
    )


TEXTS = [
    "  24.4 sidecar-1 "
    + line(
        100.0,
        "request-repeated",
        INGRESS,
        request="id-1",
        owners=f"{OWNER}",
    ),
    line(101.0, "request-refused", INGRESS, request="id-1", code="leaving"),
    line(101.0, "request-refused", INGRESS, request="id-2", code="leaving"),
    change(99.0, OWNER, "10.0.0.2:9/i", "asked to"),
    change(99.5, OTHER, "10.0.0.3:9/i", "not involved"),
    change(10.0, OWNER, "10.0.0.2:9/i", "long ago"),
    "Traceback (most recent call last):",
    line(99.0, "upstream", OWNER)[:-9],
]


def test_a_timeline_joins_a_request_and_earlier_state_changes() -> None:
    lines = list(_explain.read_lines(TEXTS))
    timeline = _explain.explain("id-1", lines)
    assert [(entry.timestamp, entry.node) for entry in timeline] == [
        (99.0, OWNER),
        (100.0, INGRESS),
        (101.0, INGRESS),
    ]
    text = _explain.format_timeline("id-1", timeline)
    assert "asked to" in text
    assert "-1.000" in text
    assert "code=leaving" in text


def test_a_failed_attempt_lists_the_failures_on_its_vm_meanwhile() -> None:
    """One of them may be the call that the upstream waited for.

    Left out are a request that began before the attempt, one that ended
    before it, a repeat and a failure on another VM.
    """
    failed = {"status": 500, "owner": OWNER, "attempt_ms": 900.0}
    texts = [
        line(100.0, "request-failed", INGRESS, request="id-1", **failed),
        line(99.9, "request-cancelled", OWNER, request="call-1", age_ms=790.0),
        line(99.9, "request-failed", OWNER, request="older", age_ms=810.0),
        line(99.5, "request-repeated", OWNER, request="call-1"),
        line(99.0, "request-refused", OWNER, request="before-it"),
        line(99.9, "request-refused", OTHER, request="elsewhere"),
    ]
    timeline = _explain.explain("id-1", _explain.read_lines(texts))
    assert [entry.request for entry in timeline] == ["call-1", "id-1"]
    text = _explain.format_timeline("id-1", timeline)
    assert "request=call-1" in text


def test_a_request_without_a_log_line_is_bad_input() -> None:
    with pytest.raises(exceptions.BadInputError, match="first attempt"):
        _explain.explain("id-9", _explain.read_lines(TEXTS))


def test_the_command_prints_the_timeline(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "all.log"
    path.write_text("\n".join(TEXTS))
    assert cli.main(["explain", "--json", "id-1", str(path)]) == 0
    data = json.loads(capsys.readouterr().out)
    assert [entry["event"] for entry in data["timeline"]] == [
        "upstream",
        "request-repeated",
        "request-refused",
    ]
    missing = str(tmp_path / "none.log")
    assert cli.main(["explain", "id-1", missing]) == cli.ExitCode.BAD_INPUT
