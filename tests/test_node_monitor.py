"""Tests of the monitor that logs and counts state changes of upstreams."""

from __future__ import annotations

import msgspec.structs
import pytest

from papayastall import _decision_types
from papayastall import _node_monitor
from papayastall import _owner_state
from papayastall import logs
from papayastall import metrics

VIEW = _owner_state.UpstreamView(
    upstream="10.0.0.1:9000",
    service="visits",
    slots=7,
    in_flight=0,
    weight=1.0,
    score=0.0,
    state=_decision_types.UpstreamState.READY,
    standing=_owner_state.Standing.HEALTHY,
    excluded_until_s=None,
    leaving=False,
)


def test_each_change_of_an_upstream_is_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    changes: list[logs.StateChange] = []
    monkeypatch.setattr(logs, "log_change", changes.append)
    views = [VIEW]
    counters = metrics.Metrics(None, "n")
    monitor = _node_monitor.NodeMonitor(
        "n", counters, lambda: views, lambda: {}
    )
    standing = _owner_state.Standing
    steps = [
        VIEW,
        msgspec.structs.replace(VIEW, standing=standing.STEERED, score=4.0),
        msgspec.structs.replace(VIEW, standing=standing.EJECTED),
        msgspec.structs.replace(VIEW, standing=standing.RETURNING),
        msgspec.structs.replace(VIEW, leaving=True),
    ]
    for view in steps:
        views[:] = [view]
        monitor.observe()
        monitor.observe()
    views.clear()
    monitor.observe()
    path = [(change.before, change.after) for change in changes]
    assert path == [
        ("unknown", "healthy"),
        ("healthy", "steered away"),
        ("steered away", "ejected"),
        ("ejected", "returning"),
        ("returning", "leaving"),
        ("leaving", "gone"),
    ]
    assert all(change.cause for change in changes)
    assert counters._sums[metrics.Counter.STEERINGS, "visits"] == 1
    assert counters._sums[metrics.Counter.RETURNS, "visits"] == 1


def test_each_change_of_a_limit_is_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    changes: list[logs.StateChange] = []
    monkeypatch.setattr(logs, "log_change", changes.append)
    views = [VIEW]
    counters = metrics.Metrics(None, "n")
    monitor = _node_monitor.NodeMonitor(
        "n", counters, lambda: views, lambda: {}
    )
    monitor.observe()
    changes.clear()
    for limit_per_s in (2.5, 2.5, 1.0, None):
        views[:] = [msgspec.structs.replace(VIEW, limit_per_s=limit_per_s)]
        monitor.observe()
    assert [change.after for change in changes] == [
        "limit of 2.5 requests a second",
        "limit of 1 requests a second",
        "no limit",
    ]
