"""Monitor of a node: logs state changes of upstreams and updates gauges."""

from __future__ import annotations

import collections.abc as cabc

import anyio

from papayastall import _decision_types
from papayastall import _owner_state
from papayastall import clock
from papayastall import logs
from papayastall import metrics

__all__ = ["NodeMonitor"]

CHECK_INTERVAL_S = 0.5

UNKNOWN = "unknown"
GONE = "gone"
LEAVING = "leaving"
DOUBTED = "in doubt"

Standing = _owner_state.Standing

NORMAL_STANDINGS = (Standing.HEALTHY, Standing.RETURNING)

TRANSITION_COUNTERS = {
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
    """Logs state changes of a node's upstreams and updates its gauges.

    :param node: link address of this node.
    :param counters: metrics to update.
    :param list_upstreams: returns the upstreams that this node owns.
    :param read_gauges: returns the values of the gauges that this monitor
        updates besides the delay of the event loop.
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
        self._limits_per_s: dict[str, float | None] = {}

    async def run(self) -> None:
        """Check upstreams and gauges at each interval until cancelled."""
        while True:
            due_s = clock.now_s() + CHECK_INTERVAL_S
            await anyio.sleep(CHECK_INTERVAL_S)
            late_ms = (clock.now_s() - due_s) * 1000
            self._counters.set(metrics.Gauge.LOOP_DELAY, max(0.0, late_ms))
            for gauge, value in self._read_gauges().items():
                self._counters.set(gauge, value)
            self.observe()

    def observe(self) -> None:
        """Log each upstream whose state differs from the last call's."""
        views = {view.upstream: view for view in self._list_upstreams()}
        self._observe_limits(views)
        for upstream, view in views.items():
            before = self._states.get(upstream, UNKNOWN)
            after = _describe_state(view)
            if after == before:
                continue
            self._states[upstream] = after
            self._log(upstream, before, after, _describe_cause(view))
            counter = TRANSITION_COUNTERS.get((before, after))
            if counter is not None:
                self._counters.count(counter, service=view.service)
        for upstream in [name for name in self._states if name not in views]:
            before = self._states.pop(upstream)
            cause = "its lease expired without a new announcement"
            self._log(upstream, before, GONE, cause)

    def _observe_limits(
        self, views: dict[str, _owner_state.UpstreamView]
    ) -> None:
        """Log each limit that an upstream has named, changed or lifted."""
        for upstream, view in views.items():
            before = self._limits_per_s.get(upstream)
            if view.limit_per_s == before:
                continue
            self._limits_per_s[upstream] = view.limit_per_s
            self._log(
                upstream,
                _describe_limit(before),
                _describe_limit(view.limit_per_s),
                f"{view.service}: its answers name this limit, or an ingress "
                "passed it on",
            )
        for upstream in set(self._limits_per_s) - set(views):
            del self._limits_per_s[upstream]

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


def _describe_limit(limit_per_s: float | None) -> str:
    if limit_per_s is None:
        return "no limit"
    return f"limit of {limit_per_s:g} requests a second"


def _describe_state(view: _owner_state.UpstreamView) -> str:
    """Return the state that log lines show for an upstream."""
    if view.leaving or view.state is _decision_types.UpstreamState.LEAVING:
        return LEAVING
    if view.is_doubted and view.standing in NORMAL_STANDINGS:
        return DOUBTED
    return view.standing.value


def _describe_cause(view: _owner_state.UpstreamView) -> str:
    """Return why an upstream is in its present state."""
    if _describe_state(view) == LEAVING:
        return (
            f"{view.service}: it announced, or said in an answer, that it is "
            "leaving, or an operator drains it"
        )
    if _describe_state(view) == DOUBTED:
        return (
            f"{view.service}: requests in flight take long or fail; lookups "
            f"are sent to test it (score {view.score:.1f})"
        )
    match view.standing:
        case Standing.STEERED:
            cause = "its requests stall, fail or take longer than elsewhere"
        case Standing.EJECTED:
            cause = "its score stayed high and control permitted ejecting it"
        case Standing.RETURNING:
            cause = "slow start: it is new, came back, or its exclusion ended"
        case Standing.HEALTHY:
            cause = "it announced itself, or its requests succeeded"
    return f"{view.service}: {cause} (score {view.score:.1f})"
