"""Metrics endpoint of a node in the Prometheus text format.

``prometheus_client`` is imported at the first scrape, so that a node that
is never scraped doesn't load it.
"""

from __future__ import annotations

import bisect
import collections.abc as cabc
import typing as t

from papayastall import _http_server
from papayastall import _problem
from papayastall import clock
from papayastall import exceptions
from papayastall import histograms
from papayastall import metrics

if t.TYPE_CHECKING:
    from prometheus_client import metrics_core

__all__ = ["DURATION_NAME", "METRICS_PATH", "MetricsEndpoint"]

METRICS_PATH = "/metrics"
DURATION_NAME = f"{metrics.NAME_PREFIX}_request_duration_seconds"
_DURATION_HELP = (
    "times of answered requests by measure: added by the fleet, waiting in "
    "an owner's queue, at the upstream"
)
_BUCKET_BOUNDS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)
"""The lowest bounds match the time that a hop adds, the highest ones the
longest request timeouts in use."""
_UNITS_PER_S = histograms.UNITS_PER_MS * 1000


class MetricsEndpoint:
    """ASGI application that answers scrapes.

    :param counters: counters, and the gauges set on them.
    :param times: histograms of the request times.
    :param read_gauges: returns the current values of all other gauges.
    """

    def __init__(
        self,
        counters: metrics.Metrics,
        times: histograms.HistogramTable,
        read_gauges: cabc.Callable[[], dict[metrics.Gauge, float]],
    ) -> None:
        self._counters = counters
        self._times = times
        self._read_gauges = read_gauges

    async def __call__(
        self,
        scope: _http_server.Scope,
        receive: _http_server.Receive,
        send: _http_server.Send,
    ) -> None:
        """Answer one scrape (the ASGI entry point)."""
        if scope["path"] != METRICS_PATH:
            problem = _problem.problem_of(
                exceptions.BadInputError(
                    exceptions.ErrorCode.BAD_REQUEST,
                    f"metrics are at {METRICS_PATH}",
                    step="scrape",
                )
            )
            await _http_server.send_answer(
                send, problem.status, problem.headers(), problem.body()
            )
            return
        from prometheus_client import exposition

        headers = [(b"content-type", exposition.CONTENT_TYPE_LATEST.encode())]
        body: bytes = exposition.generate_latest(self)
        await _http_server.send_answer(send, 200, headers, body)

    def collect(self) -> cabc.Iterator[metrics_core.Metric]:
        """Yield all metric families, as a ``CollectorRegistry`` does."""
        yield from self._collect_counters()
        yield from self._collect_gauges()
        yield self._collect_durations()

    def _collect_counters(self) -> cabc.Iterator[metrics_core.Metric]:
        from prometheus_client import metrics_core

        families = {
            counter: metrics_core.CounterMetricFamily(
                f"{metrics.NAME_PREFIX}_{counter.value.name}",
                f"{counter.value.unit} {counter.value.meaning}",
                labels=_list_labels(counter.value),
            )
            for counter in metrics.Counter
        }
        for (counter, service), total in self._counters.totals().items():
            labels = [service or ""] if _list_labels(counter.value) else []
            families[counter].add_metric(labels, total)
        yield from families.values()

    def _collect_gauges(self) -> cabc.Iterator[metrics_core.Metric]:
        from prometheus_client import metrics_core

        values = self._counters.gauges() | self._read_gauges()
        for gauge, value in values.items():
            yield metrics_core.GaugeMetricFamily(
                f"{metrics.NAME_PREFIX}_{gauge.value.name}",
                f"{gauge.value.unit} {gauge.value.meaning}",
                value=value,
            )

    def _collect_durations(self) -> metrics_core.Metric:
        from prometheus_client import metrics_core

        family = metrics_core.HistogramMetricFamily(
            DURATION_NAME,
            _DURATION_HELP,
            labels=["service", "kind", "measure"],
        )
        for key in self._times.class_keys(clock.now_s()):
            for measure, histogram in self._times.total(key).items():
                buckets, sum_s = _to_buckets(histogram)
                family.add_metric(
                    [key.service, key.kind, measure.value], buckets, sum_s
                )
        return family


def _list_labels(about: metrics.Description) -> list[str]:
    if about.by_team:
        return ["team"]
    return ["service"] if about.by_service else []


def _to_buckets(histogram: t.Any) -> tuple[list[tuple[str, float]], float]:
    """Return the cumulative buckets of an HDR histogram and its sum in s."""
    counts = [0] * (len(_BUCKET_BOUNDS_S) + 1)
    sum_units = 0.0
    for item in histogram.get_recorded_iterator():
        count = item.count_at_value_iterated_to
        value_s = item.value_iterated_to / _UNITS_PER_S
        counts[bisect.bisect_left(_BUCKET_BOUNDS_S, value_s)] += count
        sum_units += item.value_iterated_to * count
    names = [*map(str, _BUCKET_BOUNDS_S), "+Inf"]
    buckets: list[tuple[str, float]] = []
    cumulative_count = 0
    for name, count in zip(names, counts, strict=True):
        cumulative_count += count
        buckets.append((name, cumulative_count))
    return buckets, sum_units / _UNITS_PER_S
