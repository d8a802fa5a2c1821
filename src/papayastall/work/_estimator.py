"""Expected run times of a service's requests, as an ingress learns them."""

from __future__ import annotations

from papayastall.work import _run_times

__all__ = ["WorkEstimator"]

_HALF_LIFE_S = 120.0
"""An ingress gets some tenths of a request per second and route; shorter, and
the tail of the run times dominates the mean."""
_MAX_ROUTES = 64
_MIN_SAMPLES = 3.0


class WorkEstimator:
    """Run times of a service by route, over all owners.

    Neither the team nor the size of the body nor the path adds to what the
    route explains, see docs/design/work.md.
    """

    __slots__ = ("_all", "_by_route")

    def __init__(self) -> None:
        self._by_route: dict[str, _run_times.RunTimes] = {}
        self._all = _run_times.RunTimes(_HALF_LIFE_S)

    def note_run(self, now_s: float, route: str, run_ms: float) -> None:
        """Record for how long an answered request ran at its upstream."""
        if run_ms <= 0.0:
            return
        self._all.add(now_s, run_ms)
        known = self._by_route.get(route)
        if known is None:
            if len(self._by_route) >= _MAX_ROUTES:
                return
            known = _run_times.RunTimes(_HALF_LIFE_S)
            self._by_route[route] = known
        known.add(now_s, run_ms)

    def expected_ms(self, now_s: float, route: str) -> float | None:
        """Return the mean run time of a route, in milliseconds.

        :returns: the mean of all routes while the route has too few recent
            samples; ``None`` while the service has too few.
        """
        known = self._by_route.get(route)
        if known is not None and known.count(now_s) >= _MIN_SAMPLES:
            return known.mean()
        return self.mean_ms(now_s)

    def mean_ms(self, now_s: float) -> float | None:
        """Return the mean run time of all requests; ``None`` if unknown."""
        if self._all.count(now_s) < _MIN_SAMPLES:
            return None
        return self._all.mean()
