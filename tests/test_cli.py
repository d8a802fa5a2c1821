"""Tests of the command line against a fake control address."""

from __future__ import annotations

import collections.abc as cabc
import http.server
import json
import pathlib
import threading
import typing as t

import anyio
import pytest

from papayastall import _cli_usage
from papayastall import _decision_types
from papayastall import _histogram_report
from papayastall import cli
from papayastall import histograms
from tests import test_settings

SECRET = "operator-secret-0123"

Answer = tuple[int, object]


class FakeNode:
    """Answers each call with the next prepared answer for its path."""

    def __init__(self) -> None:
        self.answers: dict[str, list[Answer]] = {}
        self.calls: list[tuple[str, str | None, t.Any]] = []
        node = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                node.answer(self)

            def do_POST(self) -> None:
                node.answer(self)

            def log_message(self, format: str, *args: object) -> None:
                pass

        self.server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_port}"

    def answer(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        size = int(handler.headers.get("Content-Length") or 0)
        body = json.loads(handler.rfile.read(size)) if size else None
        token = handler.headers.get("Authorization")
        self.calls.append((f"{handler.command} {handler.path}", token, body))
        answers = self.answers[handler.path]
        status, data = answers.pop(0) if len(answers) > 1 else answers[0]
        content = json.dumps(data).encode()
        handler.send_response(status)
        handler.send_header("Content-Length", str(len(content)))
        handler.end_headers()
        handler.wfile.write(content)


@pytest.fixture
def node() -> cabc.Iterator[FakeNode]:
    fake = FakeNode()
    thread = threading.Thread(target=fake.server.serve_forever, args=(0.01,))
    thread.start()
    yield fake
    fake.server.shutdown()
    thread.join()
    fake.server.server_close()


@pytest.mark.parametrize("command", sorted(_cli_usage.COMMAND_USAGE))
def test_every_command_prints_help(
    command: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert command in cli.COMMANDS
    assert cli.main([command, "--help"]) == cli.ExitCode.DONE
    text = capsys.readouterr().out
    assert f"papayastall {command}" in text
    assert "Examples:" in text and "Exit codes:" in text


@pytest.mark.parametrize(
    "argv", [[], ["nope"], ["apply"], ["node"], ["status", "--node=x"]]
)
def test_wrong_usage_is_bad_input(argv: list[str]) -> None:
    assert cli.main(argv) == cli.ExitCode.BAD_INPUT


def test_check_prints_every_problem(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text(test_settings.GOOD)
    bad.write_text("version = 1\nseeds = 3\n")
    assert cli.main(["check", f"--settings={good}"]) == cli.ExitCode.DONE
    capsys.readouterr()
    argv = ["check", f"--settings={good}", f"--settings={bad}"]
    assert cli.main(argv) == cli.ExitCode.BAD_INPUT
    text = capsys.readouterr().err
    assert "seeds: " in text and "link_address: is missing" in text


def test_check_needs_a_file() -> None:
    assert cli.main(["check"]) == cli.ExitCode.BAD_INPUT


def test_apply_waits_until_all_live_nodes_have_the_documents(
    node: FakeNode,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    document, token = tmp_path / "visits.toml", tmp_path / "token"
    document.write_text('name = "visits"')
    token.write_text(f"{SECRET}\n")
    result = {"name": "visits", "revision": 1, "result": "applied"}
    node.answers["/v1/documents"] = [(200, {"index": 7, "results": [result]})]
    path = "/v1/missing?index=7"
    node.answers[path] = [
        (200, {"index": 7, "missing": ["b"]}),
        (200, {"index": 7, "missing": []}),
    ]
    argv = ["apply", f"--node={node.address}", f"--token-file={token}"]
    argv += ["--wait", str(document)]
    assert cli.main(argv) == cli.ExitCode.DONE
    assert "applied" in capsys.readouterr().out
    step, authorization, body = node.calls[0]
    assert (step, authorization) == ("POST /v1/documents", f"Bearer {SECRET}")
    assert body == {
        "documents": [{"source": str(document), "text": 'name = "visits"'}]
    }
    assert len(node.calls) == 3


def test_apply_names_the_nodes_without_the_documents(
    node: FakeNode,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    document = tmp_path / "visits.toml"
    document.write_text("")
    node.answers["/v1/documents"] = [(200, {"index": 7, "results": []})]
    missing = {"index": 7, "missing": ["10.0.0.9:7401"]}
    node.answers["/v1/missing?index=7"] = [(200, missing)]
    argv = ["apply", f"--node={node.address}", "--wait", "--timeout=0"]
    code = cli.main([*argv, str(document)])
    assert code == cli.ExitCode.NOT_FINISHED
    assert "not yet in force on: 10.0.0.9:7401" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (400, cli.ExitCode.BAD_INPUT),
        (409, cli.ExitCode.CONFLICT),
        (401, cli.ExitCode.REFUSED),
        (503, cli.ExitCode.REFUSED),
        (504, cli.ExitCode.UNREACHABLE),
        (500, cli.ExitCode.INTERNAL),
    ],
)
def test_errors_have_their_own_exit_codes(
    node: FakeNode,
    status: int,
    expected: int,
    capsys: pytest.CaptureFixture[str],
) -> None:
    problem = {"code": "floor", "detail": "wait", "step": "permit"}
    node.answers["/v1/drain"] = [(status, problem)]
    argv = ["drain", f"--node={node.address}", "10.0.0.21:9000"]
    assert cli.main(argv) == expected
    error = capsys.readouterr().err
    assert error == f"papayastall: floor: permit: wait (peer {node.address})\n"


def test_a_refused_connection_has_the_exit_code_unreachable(
    node: FakeNode,
) -> None:
    node.server.server_close()
    argv = ["status", f"--node={node.address}"]
    assert cli.main(argv) == cli.ExitCode.UNREACHABLE


def test_drain_waits_until_no_request_is_in_flight(node: FakeNode) -> None:
    row = {"upstream": "u", "service": "s", "owner": "o", "in_flight": 2}
    node.answers["/v1/drain"] = [(200, {"upstream": "u"})]
    node.answers["/v1/upstreams"] = [
        (200, {"upstreams": [row]}),
        (200, {"upstreams": [{**row, "in_flight": 0}]}),
    ]
    argv = ["drain", f"--node={node.address}", "--wait", "u"]
    assert cli.main(argv) == cli.ExitCode.DONE
    assert len(node.calls) == 3


def test_printed_data_can_be_json(
    node: FakeNode, capsys: pytest.CaptureFixture[str]
) -> None:
    rows = [{"service": "a"}, {"service": "b"}]
    node.answers["/v1/upstreams"] = [(200, {"upstreams": rows})]
    argv = ["upstreams", f"--node={node.address}", "--service=a", "--json"]
    assert cli.main(argv) == cli.ExitCode.DONE
    assert json.loads(capsys.readouterr().out) == {"upstreams": rows[:1]}


def test_histograms_are_drawn(
    node: FakeNode, capsys: pytest.CaptureFixture[str]
) -> None:
    table = histograms.HistogramTable()
    kind = _decision_types.RequestKind.LOOKUP
    for added_ms in (1.0, 1.0, 1.0, 4.0):
        sample = histograms.Sample("visits", kind, "t", added_ms, 0, 20)
        table.record(1.0, sample)

    async def collect() -> list[dict[str, t.Any]]:
        return await _histogram_report.collect(table, 1.0, "visits", None)

    rows = anyio.run(collect)
    assert len(rows) == 3
    path = "/v1/histograms?service=visits"
    node.answers[path] = [(200, {"histograms": rows})]
    argv = ["histograms", f"--node={node.address}", "--service=visits"]
    assert cli.main(argv) == cli.ExitCode.DONE
    text = capsys.readouterr().out
    assert "<= 5 ms   25.0%" in text
    assert "added, visits, lookup, team (all)" in text


def test_status_prints_why_the_replica_has_stopped(
    node: FakeNode, capsys: pytest.CaptureFixture[str]
) -> None:
    control: dict[str, object] = {"failure": "folder is empty"}
    answer = {"node": "a", "index": 1, "nodes": [], "control": control}
    node.answers["/v1/status"] = [(200, answer)]
    assert cli.main(["status", f"--node={node.address}"]) == cli.ExitCode.DONE
    assert "has stopped: folder is empty" in capsys.readouterr().out


def test_where_prints_the_terms_of_each_candidate(
    node: FakeNode, capsys: pytest.CaptureFixture[str]
) -> None:
    cost = {"wait_ms": 12.0, "run_ms": 300.0, "far_ms": 100.0}
    candidate = {
        "owner": "10.0.0.1:7000",
        "failure_domain": "b",
        "avoided": "",
        "slots": 4,
        "in_flight": 2.5,
        "report_age_s": 1.5,
        "load": 0.875,
        "cost": cost,
    }
    answer = {
        "node": "10.0.0.9:7000",
        "failure_domain": "a",
        "route": "visits",
        "rank": 0,
        "services": [
            {
                "service": "visits",
                "share": 1.0,
                "expected_ms": 250.0,
                "candidates": [candidate],
            }
        ],
    }
    path = "/v1/where?host=visits.example&path=%2F7%3Fa%3D1&team=desk"
    node.answers[path] = [(200, answer)]
    argv = ["where", f"--node={node.address}", "--team=desk"]
    argv += ["visits.example", "/7?a=1"]
    assert cli.main(argv) == cli.ExitCode.DONE
    text = capsys.readouterr().out
    assert "expected 250 ms" in text
    assert "412" in text
