"""Tests of the metrics sent to StatsD and of the page that lists them."""

from __future__ import annotations

import pathlib
import socket

from papayastall import metrics

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "metrics.md"


def test_sums_are_sent_in_one_datagram() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        address = f"127.0.0.1:{server.getsockname()[1]}"
        sums = metrics.Metrics(address, "10.0.0.1:7401")
        sums.start()
        for _ in range(1000):
            sums.count(metrics.Counter.REQUESTS, service="visits.a:b")
        sums.count(metrics.Counter.CLAIMS, 2)
        sums.set(metrics.Gauge.LINKS, 3)
        sums.flush()
        lines = server.recv(metrics.MAX_DATAGRAM_BYTES).decode().split("\n")
        sums.close()
    assert lines == [
        "papayastall.requests.visits_a_b:1000|c",
        "papayastall.claims:2|c",
        "papayastall.links.10_0_0_1_7401:3|g",
    ]


def test_sums_without_statsd_stay_bounded() -> None:
    """Increments of series above the limit are dropped and counted."""
    sums = metrics.Metrics(None, "n")
    sums.start()
    for number in range(metrics.MAX_SERIES + 10):
        sums.count(metrics.Counter.REQUESTS, service=str(number))
    assert len(sums._sums) == metrics.MAX_SERIES + 1
    assert sums._sums[metrics.Counter.METRICS_DROPPED, None] == 10
    sums.flush()
    assert not sums._sums
    sums.close()


def test_the_page_lists_every_metric() -> None:
    page = PAGE.read_text()
    for metric in (*metrics.Counter, *metrics.Gauge):
        about = metric.value
        name = f"{about.name}.SERVICE" if about.by_service else about.name
        if about.by_team:
            name = f"{about.name}.TEAM"
        if isinstance(metric, metrics.Gauge):
            name = f"{about.name}.NODE"
        assert f"| `{name}` | {about.unit} | {about.meaning} |" in page


def test_every_metric_is_used_by_the_program() -> None:
    source = "".join(
        path.read_text()
        for path in pathlib.Path(metrics.__file__).parent.rglob("*.py")
        if path.name != "metrics.py"
    )
    for metric in (*metrics.Counter, *metrics.Gauge):
        if metric is not metrics.Counter.METRICS_DROPPED:
            assert f"metrics.{metric}" in source
