"""Tests of the log lines."""

from __future__ import annotations

import os
import pathlib

import orjson
import pytest

from papayastall import clock
from papayastall import exceptions
from papayastall import logs

CHANGE = logs.StateChange(
    logs.ChangeKind.MEMBER,
    "10.0.0.2:7401",
    "alive",
    "suspect",
    "no answer from it or through three others",
    peer="10.0.0.3:7401",
)


def test_a_change_is_one_line_with_its_cause(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "node.log"
    log_file = logs.LogFile(path)
    log_file.start()
    logs.log_change(CHANGE)
    log_file.close()
    logs.log_change(CHANGE)
    (line,) = path.read_bytes().splitlines()
    entry = orjson.loads(line)
    assert entry["message_type"] == "papayastall:member"
    assert entry["subject"] == CHANGE.subject
    assert (entry["before"], entry["after"]) == ("alive", "suspect")
    assert entry["cause"] == CHANGE.cause
    assert entry["peer"] == CHANGE.peer


def test_a_log_file_that_cannot_be_opened_is_bad_input(
    tmp_path: pathlib.Path,
) -> None:
    with pytest.raises(exceptions.BadInputError, match="log_file"):
        logs.LogFile(tmp_path / "none" / "node.log").start()


def test_a_full_pipe_does_not_block_and_dropped_lines_are_counted(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The reader of the log stops and later reads on.

    A blocking write would stop the node until the reader is back, and lines
    that are dropped without a count would look like an uneventful time.
    """
    now_s = 100.0
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    reader, writer = os.pipe()
    log = logs._Writer()
    log.open(writer, "10.0.0.1:1")
    for number in range(2000):
        log.write("member", {"text": "x" * 4000, "number": number}, 0.0)
        now_s += 0.02
    os.set_blocking(reader, False)
    received = bytearray()
    for _ in range(9):
        now_s += 10.0
        while True:
            try:
                received += os.read(reader, 1 << 20)
            except BlockingIOError:
                break
        log.write("node", {}, 0.0)
    entries = [orjson.loads(line) for line in received.splitlines()[:-1]]
    numbers = [e["number"] for e in entries if "number" in e]
    assert numbers == sorted(numbers)
    dropped = sum(
        entry["dropped_lines"].get("member", 0)
        for entry in entries
        if "dropped_lines" in entry
    )
    assert dropped + len(numbers) == 2000
    os.close(reader)
    os.close(writer)


def test_lines_of_requests_leave_a_reserve_for_changes_of_state(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Many refusals must not crowd out the changes that explain them."""
    monkeypatch.setattr(clock, "now_s", lambda: 100.0)
    path = tmp_path / "node.log"
    log_file = logs.LogFile(path, "10.0.0.1:1")
    log_file.start()
    for number in range(1000):
        logs.log_request(logs.RequestEvent.REFUSED, str(number), code="x")
    logs.log_change(CHANGE)
    log_file.close()
    lines = [orjson.loads(line) for line in path.read_bytes().splitlines()]
    assert len(lines) <= logs.BURST_LINES
    assert lines[-1]["message_type"] == "papayastall:member"
    assert lines[-2]["dropped_lines"]["request-refused"] > 0
