"""Tests of the request log: its events and their fields."""

from __future__ import annotations

import collections.abc as cabc
import pathlib
import typing as t

import orjson
import pytest

from papayastall import _exchange
from papayastall import _frames
from papayastall import clock
from papayastall import exceptions
from papayastall import logs
from tests import test_attempts

COMMON_FIELDS = {"request", "service", "route", "age_ms", "owners"}
EXPLAINING_FIELDS = {"owners_known", "owners_avoided", "repeats_left"}
_Code = exceptions.ErrorCode

ReadLines = cabc.Callable[[], list[dict[str, t.Any]]]


@pytest.fixture
def read_lines(tmp_path: pathlib.Path) -> cabc.Iterator[ReadLines]:
    """Return a function that reads the request lines written so far."""
    path = tmp_path / "node.log"
    log_file = logs.LogFile(path, "127.0.0.1:9")
    log_file.start()
    prefix = f"{logs.MESSAGE_TYPE_PREFIX}request-"
    yield lambda: [
        line
        for line in map(orjson.loads, path.read_bytes().splitlines())
        if line["message_type"].startswith(prefix)
    ]
    log_file.close()


def refuse(
    sender: t.Any, links: test_attempts.FakeLinks, code: _Code, unknown: bool
) -> None:
    """Receive a refusal of the last attempt from its owner."""
    owner, number = links.opens()[-1]
    refusal = _frames.Refuse(number, code.value, unknown, -1, False, None, "")
    sender._receive_refuse(owner, 1, refusal)


def answer(sender: t.Any, links: test_attempts.FakeLinks, status: int) -> None:
    """Receive an answer to the last attempt from its owner."""
    owner, number = links.opens()[-1]
    head = _frames.AnswerHead(number, status, [], None)
    sender._receive_head(owner, 1, head)
    last = _frames.AnswerChunk(number, 0, b"", True, 0.0, 0.0)
    sender._receive_chunk(owner, 1, last)


def start() -> tuple[t.Any, test_attempts.FakeLinks, _exchange.Exchange]:
    sender, links, exchange = test_attempts.start_lookup(max_attempts=2)
    exchange.name = "id-1"
    return sender, links, exchange


def test_an_answered_request_is_not_logged(read_lines: ReadLines) -> None:
    sender, links, exchange = start()
    answer(sender, links, 200)
    sender.close(exchange)
    assert read_lines() == []


def test_an_extra_attempt_is_logged_with_its_cause_and_owner(
    read_lines: ReadLines,
) -> None:
    sender, links, _ = start()
    refuse(sender, links, _Code.STEERED_AWAY, unknown=False)
    [line] = read_lines()
    assert line["message_type"] == "papayastall:request-repeated"
    assert line["cause"] == "steered-away"
    assert line["to"] == links.opens()[-1][0]
    assert line["owners"] == links.opens()[0][0]
    assert set(line) >= COMMON_FIELDS | {"attempt", "beside", "reference_ms"}


@pytest.mark.parametrize(
    ("code", "unknown", "event"),
    [
        (_Code.CRASHING_REQUEST, False, "request-refused"),
        (_Code.DEADLINE_EXCEEDED, True, "request-unknown"),
    ],
)
def test_a_request_without_an_answer_names_the_code(
    code: _Code, unknown: bool, event: str, read_lines: ReadLines
) -> None:
    sender, links, exchange = start()
    refuse(sender, links, code, unknown)
    sender.close(exchange)
    [line] = read_lines()
    assert line["message_type"] == f"papayastall:{event}"
    assert line["code"] == code.value
    assert set(line) >= COMMON_FIELDS | EXPLAINING_FIELDS | {"retry_after_s"}


def test_a_relayed_failure_of_an_upstream_is_logged(
    read_lines: ReadLines,
) -> None:
    """The lookup is retried after the first failure; the second is relayed."""
    sender, links, exchange = start()
    answer(sender, links, 500)
    answer(sender, links, 503)
    sender.close(exchange)
    repeated, failed = read_lines()
    assert repeated["cause"] == "upstream-failed"
    assert failed["message_type"] == "papayastall:request-failed"
    assert failed["status"] == 503
    assert failed["owner"] == links.opens()[-1][0]
    assert set(failed) >= COMMON_FIELDS | EXPLAINING_FIELDS | {"attempt_ms"}
    assert 0.0 <= failed["attempt_ms"] <= failed["age_ms"]


def test_a_caller_that_disconnects_is_logged(read_lines: ReadLines) -> None:
    sender, _, exchange = start()
    sender.close(exchange)
    [line] = read_lines()
    assert line["message_type"] == "papayastall:request-cancelled"
    assert line["attempts_open"] == 1
    assert set(line) >= COMMON_FIELDS


def test_lines_about_failed_requests_are_dropped_last(
    read_lines: ReadLines, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clock, "now_s", lambda: 1e9)
    for number in range(1000):
        logs.log_request(logs.RequestEvent.REPEATED, str(number))
    logs.log_request(logs.RequestEvent.UNKNOWN, "last")
    lines = read_lines()
    assert len(lines) <= logs.BURST_LINES
    assert lines[-1]["request"] == "last"
