"""Commands for operators.

Most call the control address of a node and print its answer. ``explain``
reads log files, ``demo`` sends requests to a caller address.
"""

from __future__ import annotations

import collections.abc as cabc
import pathlib
import sys
import time
import typing as t
import urllib.parse

import httpcore
import msgspec.structs
import orjson

from papayastall import _control_client
from papayastall import _explain
from papayastall import _histogram_report
from papayastall import _text_table
from papayastall import _where
from papayastall import clock
from papayastall import exceptions

__all__ = [
    "Arguments",
    "NotFinishedError",
    "apply",
    "demo",
    "drain",
    "explain",
    "histograms",
    "print_data",
    "read_document",
    "show",
    "status",
    "undrain",
    "upstreams",
    "where",
]

Arguments = dict[str, t.Any]

POLL_INTERVAL_S = 0.2

NODE_COLUMNS = ("node", "state", "failure_domain", "index")
UPSTREAM_COLUMNS = (
    "upstream",
    "service",
    "owner",
    "state",
    "standing",
    "slots",
    "in_flight",
    "weight",
)
DOCUMENT_COLUMNS = ("name", "revision", "digest")

T = t.TypeVar("T")


class NotFinishedError(exceptions.PapayastallError):
    """An accepted change was not complete within ``--timeout``."""


def print_data(arguments: Arguments, data: object, text: str) -> None:
    """Print the data as JSON with ``--json``, else the text."""
    if arguments["--json"]:
        options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
        content = orjson.dumps(data, msgspec.structs.asdict, options)
        print(content.decode())
    elif text:
        print(text)


def connect(arguments: Arguments) -> _control_client.ControlClient:
    """Return a client for the node that the options select."""
    target = _control_client.find_target(
        arguments["--settings"],
        arguments["--node"],
        arguments["--token-file"],
        arguments["--authority"],
    )
    return _control_client.ControlClient(target)


def apply(arguments: Arguments) -> None:
    """Apply documents.

    With ``--wait``, return when they are in force on every live node.

    :raises NotFinishedError: they aren't within ``--timeout``.
    """
    client = connect(arguments)
    documents = [
        {"source": path, "text": read_document(path)}
        for path in arguments["<document>"]
    ]
    answer = client.post("/v1/documents", {"documents": documents})
    if arguments["--wait"]:
        _wait_until_in_force(client, int(answer["index"]), arguments)
    columns = ("name", "revision", "result")
    print_data(arguments, answer, _format_rows(columns, answer["results"]))


def show(arguments: Arguments) -> None:
    """Print the documents in force, or the text of one.

    :raises papayastall.exceptions.BadInputError: no document of the given
        name is in force.
    """
    answer = connect(arguments).get("/v1/documents")
    documents = answer["documents"]
    name = arguments["<name>"]
    if name is None:
        print_data(
            arguments, answer, _format_rows(DOCUMENT_COLUMNS, documents)
        )
        return
    for document in documents:
        if document["name"] == name:
            print_data(arguments, document, document["text"].rstrip())
            return
    names = ", ".join(document["name"] for document in documents) or "none"
    raise exceptions.BadInputError(
        exceptions.ErrorCode.BAD_REQUEST,
        f"no document {name!r} is in force; documents in force: {names}",
        step="show",
    )


def status(arguments: Arguments) -> None:
    """Print the nodes and the control replicas."""
    answer = connect(arguments).get("/v1/status")
    control = answer.get("control") or {}
    lines = [
        f"node {answer['node']}, configuration index {answer['index']}",
        f"control leader {control.get('leader') or 'unknown'}, "
        f"replicas {', '.join(control.get('replicas', ())) or 'none'}",
        *_describe_replica_failure(control),
        "",
        _format_rows(NODE_COLUMNS, answer["nodes"]),
    ]
    print_data(arguments, answer, "\n".join(lines))


def _describe_replica_failure(control: dict[str, t.Any]) -> list[str]:
    failure = control.get("failure")
    return (
        [f"the control replica of this node has stopped: {failure}"]
        if failure
        else []
    )


def upstreams(arguments: Arguments) -> None:
    """Print the upstreams of all nodes that can be reached."""
    answer = connect(arguments).get("/v1/upstreams")
    wanted = arguments["--service"]
    if wanted is not None:
        answer["upstreams"] = [
            upstream
            for upstream in answer["upstreams"]
            if upstream["service"] == wanted
        ]
    text = _format_rows(UPSTREAM_COLUMNS, answer["upstreams"])
    unreachable = answer.get("unreachable")
    if unreachable:
        text += f"\nno answer from: {', '.join(unreachable)}"
    print_data(arguments, answer, text)


def drain(arguments: Arguments) -> None:
    """Drain an upstream: it gets no new requests.

    With ``--wait``, return when no request is running there.

    :raises NotFinishedError: requests still run there after ``--timeout``.
    """
    client = connect(arguments)
    upstream = arguments["<upstream>"]
    answer = client.post("/v1/drain", {"upstream": upstream})
    if arguments["--wait"]:
        _wait_until_drained(client, upstream, arguments)
    print_data(arguments, answer, f"{upstream} is leaving")


def undrain(arguments: Arguments) -> None:
    """Return a drained upstream to service."""
    upstream = arguments["<upstream>"]
    answer = connect(arguments).post("/v1/undrain", {"upstream": upstream})
    print_data(arguments, answer, f"{upstream} is no longer drained")


def histograms(arguments: Arguments) -> None:
    """Print the histograms of one node."""
    wanted = {
        name: arguments[f"--{name}"]
        for name in ("service", "team")
        if arguments[f"--{name}"] is not None
    }
    query = f"?{urllib.parse.urlencode(wanted)}" if wanted else ""
    answer = connect(arguments).get(f"/v1/histograms{query}")
    text = _histogram_report.draw(answer["histograms"])
    print_data(arguments, answer, text)


def where(arguments: Arguments) -> None:
    """Print where a request would go from a node now."""
    wanted = {"host": arguments["<host>"], "path": arguments["<path>"]}
    if arguments["--team"] is not None:
        wanted["team"] = arguments["--team"]
    query = urllib.parse.urlencode(wanted)
    answer = connect(arguments).get(f"/v1/where?{query}")
    print_data(arguments, answer, _where.format_answer(answer))


def explain(arguments: Arguments) -> None:
    """Print the timeline of a request, built from log files.

    :raises papayastall.exceptions.BadInputError: a file can't be read, or
        no log line has the request's id.
    """
    request = arguments["<request-id>"]
    lines = [
        line
        for path in arguments["<log-file>"]
        for line in _explain.read_lines(_read_log(path))
    ]
    timeline = _explain.explain(request, lines)
    text = _explain.format_timeline(request, timeline)
    data = {"request": request, "timeline": timeline}
    print_data(arguments, data, text)


def _read_log(path: str) -> list[str]:
    try:
        text = pathlib.Path(path).read_text(errors="replace")
    except OSError as error:
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_REQUEST,
            f"can't read {path}: {error.strerror}; give paths of log files",
            step="explain",
        ) from error
    return text.splitlines()


def demo(arguments: Arguments) -> None:
    """Send a lookup and a booking through a node and print the answers.

    :raises papayastall.exceptions.RefusedError: one was answered with a
        status of 300 or above.
    :raises papayastall.exceptions.UnreachableError: one got no answer.
    """
    address = arguments["<caller-address>"]
    requests = (
        ("GET", arguments["<lookup-path>"], None),
        ("POST", arguments["<booking-path>"], b'{"visit": 17}'),
    )
    answers = [
        _send_demo_request(address, method, path, body)
        for method, path, body in requests
    ]
    columns = ("request", "status", "owner", "answer")
    print_data(arguments, {"answers": answers}, _format_rows(columns, answers))
    if any(answer["status"] >= 300 for answer in answers):
        raise exceptions.RefusedError(
            exceptions.ErrorCode.BAD_REQUEST,
            "a request was answered with status 300 or above; see the table",
            step="demo",
            peer=address,
        )


def _send_demo_request(
    address: str, method: str, path: str, body: bytes | None
) -> dict[str, t.Any]:
    try:
        response = httpcore.request(
            method, f"http://{address}{path}", content=body
        )
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        raise exceptions.UnreachableError(
            exceptions.ErrorCode.LINK_FAILED,
            f"no answer ({error}); check that this is a node's caller address",
            step="demo",
            peer=address,
        ) from error
    headers = {name.lower(): value for name, value in response.headers}
    return {
        "request": f"{method} {path}",
        "status": response.status,
        "owner": headers.get(b"papayastall-owner", b"-").decode("latin-1"),
        "answer": response.content.decode(errors="replace").strip(),
    }


def _format_rows(
    columns: cabc.Sequence[str], rows: cabc.Iterable[dict[str, t.Any]]
) -> str:
    values = [[row.get(column) for column in columns] for row in rows]
    return _text_table.format_table(columns, values)


def read_document(path: str) -> str:
    """Return the text of a document file.

    :raises papayastall.exceptions.BadInputError: it can't be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_DOCUMENT,
            f"can't read the document {path}: {error}",
            step="read document",
        ) from error


def _wait_until_in_force(
    client: _control_client.ControlClient, index: int, arguments: Arguments
) -> None:
    def find_missing() -> list[str]:
        return list(client.get(f"/v1/missing?index={index}")["missing"])

    missing = _poll(find_missing, "nodes without the documents", arguments)
    if missing:
        raise NotFinishedError(
            exceptions.ErrorCode.NOT_READY,
            f"accepted as configuration index {index}, not yet in force on: "
            f"{', '.join(missing)}; 'papayastall status' lists the index of "
            "each node",
            step="apply --wait",
        )


def _wait_until_drained(
    client: _control_client.ControlClient, upstream: str, arguments: Arguments
) -> None:
    def find_running() -> list[str]:
        rows = client.get("/v1/upstreams")["upstreams"]
        return [
            f"{row['in_flight']} requests at {row['owner']}"
            for row in rows
            if row["upstream"] == upstream and row["in_flight"]
        ]

    running = _poll(find_running, "owners with requests in flight", arguments)
    if running:
        raise NotFinishedError(
            exceptions.ErrorCode.NOT_READY,
            f"{upstream} is leaving and still runs {', '.join(running)}; "
            "it gets no new requests; repeat the command to wait longer",
            step="drain --wait",
        )


def _poll(
    find_remaining: cabc.Callable[[], list[T]],
    label: str,
    arguments: Arguments,
) -> list[T]:
    """Poll until nothing remains or ``--timeout`` ends; return the rest."""
    deadline_s = clock.now_s() + _parse_timeout_s(arguments["--timeout"])
    while True:
        left = find_remaining()
        _print_progress(f"{label}: {len(left)}", last=not left)
        if not left or clock.now_s() >= deadline_s:
            return left
        time.sleep(POLL_INTERVAL_S)


def _parse_timeout_s(text: str) -> float:
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = -1.0
    if not 0 <= timeout_s < float("inf"):
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_SETTINGS,
            f"--timeout: {text!r} is not a finite number of seconds >= 0",
            step="read options",
        )
    return timeout_s


def _print_progress(text: str, *, last: bool) -> None:
    if sys.stderr.isatty():
        end = "\n" if last else ""
        print(f"\r\x1b[K{text}", end=end, file=sys.stderr, flush=True)
