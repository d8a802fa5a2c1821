"""Writes down what changed on a node: log lines of upstreams, and gauges."""

from __future__ import annotations

import collections.abc as cabc

import anyio

from papayastall import _decision_types
from papayastall import _owner_state
from papayastall import clock
from papayastall import logs
from papayastall import metrics

__all__ = ["NodeMonitor"]

OBSERVE_INTERVAL_S = 0.5

UNKNOWN = "unknown"
GONE = "gone"
LEAVING = "leaving"
DOUBTED = "in doubt"

Standing = _owner_state.Standing

TRUSTED = (Standing.HEALTHY, Standing.RETURNING)

COUNTERS = {
    (Standing.HEALTHY.value, Standing.STEERED.value): (
        metrics.Counter.STEERINGS
    ),
    (Standing.RETURNING.value, Standing.STEERED.value): (
        metrics.Counter.STEERINGS
    ),
    (Standing.EJECTED.value, Standing.RETURNING.value): (
        metrics.Counter.RETURNS
    ),
}


class NodeMonitor:
    """Compares the upstreams with what they were and logs the changes.

    :param node: link address of this node.
    :param list_upstreams: returns the upstreams that this node owns.
    :param read_gauges: returns the gauges that need no loop of their own.
    """

    def __init__(
        self,
        node: str,
        counters: metrics.Metrics,
        list_upstreams: cabc.Callable[[], list[_owner_state.UpstreamView]],
        read_gauges: cabc.Callable[[], dict[metrics.Gauge, float]],
    ) -> None:
        self._node = node
        self._counters = counters
        self._list_upstreams = list_upstreams
        self._read_gauges = read_gauges
        self._states: dict[str, str] = {}

    async def run(self) -> None:
        """Observe until cancelled."""
        while True:
            due_s = clock.now_s() + OBSERVE_INTERVAL_S
            await anyio.sleep(OBSERVE_INTERVAL_S)
            late_ms = (clock.now_s() - due_s) * 1000
            self._counters.set(metrics.Gauge.LOOP_DELAY, max(0.0, late_ms))
            for gauge, value in self._read_gauges().items():
                self._counters.set(gauge, value)
            self.observe()

    def observe(self) -> None:
        """Log each upstream whose state is not what it was."""
        views = {view.upstream: view for view in self._list_upstreams()}
        for upstream, view in views.items():
            before = self._states.get(upstream, UNKNOWN)
            after = _describe(view)
            if after == before:
                continue
            self._states[upstream] = after
            self._log(upstream, before, after, _explain(view))
            counter = COUNTERS.get((before, after))
            if counter is not None:
                self._counters.count(counter, service=view.service)
        for upstream in [name for name in self._states if name not in views]:
            before = self._states.pop(upstream)
            cause = "its lease ended without a new announcement"
            self._log(upstream, before, GONE, cause)

    def _log(self, upstream: str, before: str, after: str, cause: str) -> None:
        logs.log_change(
            logs.StateChange(
                logs.ChangeKind.UPSTREAM,
                upstream,
                before,
                after,
                cause,
                peer=self._node,
            )
        )


def _describe(view: _owner_state.UpstreamView) -> str:
    if view.leaving or view.state is _decision_types.UpstreamState.LEAVING:
        return LEAVING
    if view.is_doubted and view.standing in TRUSTED:
        return DOUBTED
    return view.standing.value


def _explain(view: _owner_state.UpstreamView) -> str:
    if _describe(view) == LEAVING:
        return f"{view.service}: it announced so, or operators drain it"
    if _describe(view) == DOUBTED:
        return (
            f"{view.service}: requests in flight grow old or fail; lookups "
            f"test it (score {view.score:.1f})"
        )
    match view.standing:
        case Standing.STEERED:
            cause = "real work stalls, fails or is slower than elsewhere"
        case Standing.EJECTED:
            cause = "the evidence lasted and control gave a permit"
        case Standing.RETURNING:
            cause = "slow start: new, back, or its time out ended"
        case Standing.HEALTHY:
            cause = "announced, or real work went well"
    return f"{view.service}: {cause} (score {view.score:.1f})"
