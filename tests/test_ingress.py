"""Tests of what an ingress answers without forwarding a request."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import pathlib
import typing as t

import anyio
import orjson
import pytest

from papayastall import _decision_types
from papayastall import _exchange
from papayastall import _route_lookup
from papayastall import blackboard as blackboards
from papayastall import clock
from papayastall import http_names
from papayastall import ingress
from papayastall import logs
from papayastall import metrics
from tests import route_helpers

Message = dict[str, t.Any]
EXPLANATION = {"config_index": 7.0, "highest_known_index": 8.0}


class Forwarded(Exception):
    """Raised instead of forwarding a request."""


class FakeSender:
    """Raises instead of forwarding a request."""

    def open(self, exchange: object) -> None:
        raise Forwarded


def make_blackboard(*names: str) -> blackboards.Blackboard:
    """Return a node's state with a table of routes of these names."""
    table = route_helpers.make_table(
        1, *(route_helpers.make_route(name) for name in names)
    )
    blackboard = blackboards.Blackboard("10.0.0.1:1", "a")
    blackboard.routing = blackboards.TableRouting(
        _route_lookup.RouteLookup(table)
    )
    return blackboard


def make_ingress(
    blackboard: blackboards.Blackboard,
    *,
    is_ready: bool = True,
    check: cabc.Callable[[], bool] = lambda: True,
) -> ingress.Ingress:
    """Return an ingress.

    :param check: whether the config is the latest; called for each check.
    """

    async def is_latest() -> bool:
        return check()

    return ingress.Ingress(
        blackboard,
        lambda: is_ready,
        t.cast(t.Any, FakeSender()),
        metrics.Metrics(None, "10.0.0.1:1"),
        names=http_names.HeaderNames(request_id=b"request-id"),
        explain_config=lambda: EXPLANATION,
        is_latest=is_latest,
    )


def call(application: ingress.Ingress, path: str) -> Message:
    """Send a request and return the start of its answer."""
    sent: list[Message] = []

    async def receive() -> Message:
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(message: Message) -> None:
        sent.append(message)

    scope = {
        "type": "http",
        "method": "GET",
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [(b"host", b"a.example"), (b"request-id", b"id-1")],
    }
    anyio.run(application, scope, receive, send)
    return sent[0]


# Guards against a 404 or 503 that nothing in the log explains.
def test_a_request_that_is_not_forwarded_is_logged_with_the_config_state(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "node.log"
    log_file = logs.LogFile(path, "10.0.0.1:1")
    log_file.start()
    blackboard = make_blackboard("known")
    assert call(make_ingress(blackboard), "/unknown/")["status"] == 404
    unready = make_ingress(blackboard, is_ready=False)
    assert call(unready, "/known/")["status"] == 503
    log_file.close()
    lines = [orjson.loads(line) for line in path.read_bytes().splitlines()]
    assert [line["code"] for line in lines] == ["unknown-route", "not-ready"]
    for line in lines:
        assert line["message_type"] == "papayastall:request-refused"
        assert line["request"] == "id-1"
        assert line.items() >= EXPLANATION.items()


# Guards against a 404 for a route that was added, from the previous table.
def test_no_route_in_a_table_that_may_be_old_is_not_answered_with_404() -> (
    None
):
    blackboard = make_blackboard("first")
    application = make_ingress(blackboard, check=lambda: False)
    start = call(application, "/added/")
    assert start["status"] == 503
    assert b"retry-after" in dict(start["headers"])


# Guards against a 404 from the table before the check, after which a later
# one is in force.
def test_a_route_is_looked_up_again_after_the_check() -> None:
    blackboard = make_blackboard("first")
    table = make_blackboard("first", "added").routing

    def put_in_force() -> bool:
        blackboard.routing = table
        return True

    application = make_ingress(blackboard, check=put_in_force)
    with pytest.raises(Forwarded):
        call(application, "/added/")
    assert call(application, "/unknown/")["status"] == 404


class FakePipeline:
    """Place of a request behind an earlier one; records what is asked."""

    has_earlier = True

    def __init__(self) -> None:
        self.calls: list[str] = []

    def allow_next(self) -> None:
        self.calls.append("allow")

    async def wait_for_turn(self) -> None:
        self.calls.append("wait")


# Guards against requests that must run once and run beside an earlier one,
# whose answer may still close the connection.
@pytest.mark.parametrize(
    ("kind", "pipelines_lookups", "calls"),
    [
        (_decision_types.RequestKind.LOOKUP, True, ["allow"]),
        (_decision_types.RequestKind.NON_IDEMPOTENT, True, ["wait"]),
        (_decision_types.RequestKind.LOOKUP, False, []),
    ],
)
def test_only_lookups_let_the_next_request_begin(
    kind: _decision_types.RequestKind,
    pipelines_lookups: bool,
    calls: list[str],
) -> None:
    async def receive() -> Message:
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(message: Message) -> None:
        raise AssertionError(message)

    blackboard = make_blackboard()
    route = route_helpers.make_route("known", kind=kind)
    blackboard.routing = blackboards.TableRouting(
        _route_lookup.RouteLookup(route_helpers.make_table(1, route))
    )
    application = ingress.Ingress(
        blackboard,
        lambda: True,
        t.cast(t.Any, FakeSender()),
        metrics.Metrics(None, "10.0.0.1:1"),
        pipelines_lookups=pipelines_lookups,
    )
    pipeline = FakePipeline()
    scope = {
        "type": "http",
        "method": "GET",
        "path": "/known/",
        "raw_path": b"/known/",
        "query_string": b"",
        "headers": [(b"host", b"a.example")],
        "pipeline": pipeline,
    }
    with pytest.raises(Forwarded):
        anyio.run(application, scope, receive, send)
    assert pipeline.calls == calls


class Recorder:
    """Records the exchange instead of forwarding a request."""

    def __init__(self) -> None:
        self.exchange: _exchange.Exchange | None = None

    def open(self, exchange: _exchange.Exchange) -> None:
        self.exchange = exchange
        raise Forwarded


def send_slowly(
    monkeypatch: pytest.MonkeyPatch, headers: list[tuple[bytes, bytes]]
) -> tuple[float, list[Message]]:
    """Send a body that takes 12 s.

    :returns: time from its first byte to the deadline, 0 if the request was
        not forwarded; and the messages of the answer.
    """
    now_s = [100.0]
    monkeypatch.setattr(clock, "now_s", lambda: now_s[0])
    recorder = Recorder()
    application = make_ingress(make_blackboard("known"))
    application._attempts = t.cast(t.Any, recorder)
    sent: list[Message] = []

    async def receive() -> Message:
        now_s[0] += 1.0
        await anyio.sleep(0.02)
        is_last = now_s[0] >= 112.0
        return {
            "type": "http.request",
            "body": b"part",
            "more_body": not is_last,
        }

    async def send(message: Message) -> None:
        sent.append(message)

    scope = {
        "type": "http",
        "method": "POST",
        "path": "/known/",
        "raw_path": b"/known/",
        "query_string": b"",
        "headers": [(b"host", b"a.example"), *headers],
    }
    with contextlib.suppress(Forwarded):
        anyio.run(application, scope, receive, send)
    if recorder.exchange is None:
        return 0.0, sent
    return recorder.exchange.request.deadline_s - 100.0, sent


# Guards against a body that is refused, or expires, only because it takes
# longer than the route lets callers wait for an answer.
def test_a_routes_timeout_counts_from_the_end_of_the_body(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    timeout_ms = route_helpers.make_route("known").timeout_ms
    after_s, _ = send_slowly(monkeypatch, [])
    assert after_s == pytest.approx(12.0 + timeout_ms / 1000)
    caller_ms = (b"papayastall-timeout-ms", b"12500")
    after_s, _ = send_slowly(monkeypatch, [caller_ms])
    assert after_s == pytest.approx(12.5)


# Its caller no longer waits when the body is whole: nothing runs.
def test_a_body_that_is_later_than_its_caller_waits_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    after_s, sent = send_slowly(
        monkeypatch, [(b"papayastall-timeout-ms", b"100")]
    )
    assert after_s == 0.0
    assert sent[0]["status"] == 408
