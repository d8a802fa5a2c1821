"""Tests of the log lines."""

from __future__ import annotations

import pathlib

import orjson
import pytest

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
