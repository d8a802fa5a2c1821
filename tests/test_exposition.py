"""Tests of the metrics endpoint."""

from __future__ import annotations

import asyncio
import typing as t

from prometheus_client import parser
import pytest

from papayastall import _decision_types
from papayastall import clock
from papayastall import exposition
from papayastall import histograms
from papayastall import metrics

Samples = dict[tuple[str, tuple[tuple[str, str], ...]], float]


def scrape(
    endpoint: exposition.MetricsEndpoint, path: str = "/metrics"
) -> tuple[int, str]:
    """Return status and text of one scrape."""
    sent: list[dict[str, t.Any]] = []

    async def receive() -> dict[str, t.Any]:
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(message: dict[str, t.Any]) -> None:
        sent.append(message)

    scope = {"type": "http", "method": "GET", "path": path}
    asyncio.run(endpoint(scope, receive, send))
    return sent[0]["status"], sent[1]["body"].decode()


def read(text: str) -> Samples:
    """Return the samples of a scrape by name and labels."""
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


@pytest.fixture
def counters() -> metrics.Metrics:
    return metrics.Metrics(None, "10.0.0.1:7401")


def make_endpoint(
    counters: metrics.Metrics, times: histograms.HistogramTable | None = None
) -> exposition.MetricsEndpoint:
    return exposition.MetricsEndpoint(
        counters,
        times or histograms.HistogramTable(),
        lambda: {metrics.Gauge.LINKS: 3.0},
    )


def test_counters_only_grow(counters: metrics.Metrics) -> None:
    """A flush between two scrapes doesn't reset them."""
    endpoint = make_endpoint(counters)
    key = ("papayastall_requests_total", (("service", 'a "b"'),))
    for expected in (2.0, 4.0):
        counters.count(metrics.Counter.REQUESTS, 2, service='a "b"')
        counters.flush()
        assert read(scrape(endpoint)[1])[key] == expected


def test_gauges_are_read_at_the_scrape(counters: metrics.Metrics) -> None:
    counters.set(metrics.Gauge.LOOP_DELAY, 1.5)
    samples = read(scrape(make_endpoint(counters))[1])
    assert samples["papayastall_links", ()] == 3.0
    assert samples["papayastall_loop_delay_ms", ()] == 1.5


@pytest.mark.parametrize("windows", [0, 1, 2, 5])
def test_times_are_kept_after_their_window_ends(
    counters: metrics.Metrics, windows: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    times = histograms.HistogramTable()
    sample = histograms.Sample(
        "visits", _decision_types.RequestKind.LOOKUP, "", 3.0, 0.0, 700.0
    )
    times.record(0.0, sample)
    now_s = windows * histograms.WINDOW_S + 1.0
    times.record(now_s, sample)
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    samples = read(scrape(make_endpoint(counters, times))[1])
    labels = {"service": "visits", "kind": "lookup", "measure": "upstream"}
    counts = {
        le: samples[
            f"{exposition.DURATION_NAME}_bucket",
            tuple(sorted({**labels, "le": le}.items())),
        ]
        for le in ("0.5", "1.0", "+Inf")
    }
    assert counts == {"0.5": 0, "1.0": 2, "+Inf": 2}


def test_every_counter_and_gauge_has_help_text(
    counters: metrics.Metrics,
) -> None:
    for gauge in metrics.Gauge:
        counters.set(gauge, 0.0)
    text = scrape(make_endpoint(counters))[1]
    for metric in (*metrics.Counter, *metrics.Gauge):
        about = metric.value
        suffix = "_total" if isinstance(metric, metrics.Counter) else ""
        name = f"papayastall_{about.name}{suffix}"
        assert f"# HELP {name} {about.unit} {about.meaning}" in text


def test_a_refusal_of_another_path_names_the_right_one(
    counters: metrics.Metrics,
) -> None:
    status, text = scrape(make_endpoint(counters), "/other")
    assert status == 400
    assert exposition.METRICS_PATH in text


def test_counters_of_teams_have_the_label_team(
    counters: metrics.Metrics,
) -> None:
    counters.count(metrics.Counter.QUOTA_REFUSALS, 2, service="team-a")
    _, text = scrape(make_endpoint(counters))
    labels = (("team", "team-a"),)
    assert read(text)["papayastall_quota_refusals_total", labels] == 2.0
