"""Evidence that an upstream is failing, from its real work alone.

The evidence is a sequential test. Each score is a sum of log-likelihood
ratios (nats) of "failing" over "healthy", never below zero between
requests. A request in flight adds to it while it ages, so that a stall
counts while it lasts; an answer takes a fixed amount back. Times are taken
relative to the median of the same route over the whole service, so that a
service that slows down as a whole accuses nobody.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import math

__all__ = [
    "AgeSample",
    "Evidence",
    "MedianEstimate",
    "RatioEstimate",
    "age_gain",
]

_SLOWDOWN = 4.0
"""A failing upstream is taken to finish work this many times slower."""
_TAIL_EXPONENT = 2.0
"""Tail of healthy times: one in a hundred takes ten times the median."""
_SLACK = 1.5
"""Slower than the service by this factor is still healthy."""
_MIN_ERROR_RATIO = 0.01
_FAILING_ERROR_SHARE = 0.2
_CONNECT_FAILED_GAIN = 6.0
_MAX_ROUTES = 64
_MAX_SCORE = 60.0
_BROKEN_GROUP_S = 0.1
_MIN_STEP = 0.03
_ALL_ROUTES = "*"
_HALF_LIFE_S = 60.0


@dataclasses.dataclass(slots=True)
class MedianEstimate:
    """Running median of a stream in constant memory."""

    value: float | None = None
    count: int = 0

    def add(self, sample: float) -> None:
        """Move the estimate one step towards the sample."""
        self.count += 1
        if self.value is None:
            self.value = max(sample, 1e-6)
            return
        step = max(_MIN_STEP, 1.0 / (self.count + 1))
        if sample > self.value:
            self.value *= 1.0 + step
        elif sample < self.value:
            self.value /= 1.0 + step


@dataclasses.dataclass(slots=True)
class RatioEstimate:
    """Running share of failures, 0 to 1."""

    value: float = 0.0
    count: int = 0

    def add(self, failed: bool) -> None:
        """Take in one answer."""
        self.count += 1
        step = max(_MIN_STEP, 1.0 / (self.count + 20))
        self.value += step * (float(failed) - self.value)


@dataclasses.dataclass(slots=True, frozen=True)
class AgeSample:
    """A request in flight: its route, age and reference time in seconds."""

    route: str
    age_s: float
    reference_s: float


@dataclasses.dataclass(slots=True)
class _RouteScores:
    latency: float = 0.0
    errors: float = 0.0


def age_gain(age_s: float, reference_s: float) -> float:
    """Return what a request of this age adds to the score, in nats.

    The cumulative hazard of a log-logistic distribution with the given
    median, less what a failing upstream would explain as well.
    """
    ratio = age_s / (_SLACK * reference_s)
    hazard = math.log1p(ratio**_TAIL_EXPONENT)
    return (1.0 - 1.0 / _SLOWDOWN) * hazard


def _clamp(score: float) -> float:
    return min(max(score, 0.0), _MAX_SCORE)


class Evidence:
    """Scores of one upstream, for each route and over all routes."""

    __slots__ = (
        "_connect",
        "_last_broken_s",
        "_per_route",
        "_scores",
    )

    def __init__(self, per_route: bool = True) -> None:
        self._per_route = per_route
        self._scores: dict[str, _RouteScores] = {}
        self._connect = 0.0
        self._last_broken_s = -math.inf

    def reset(self) -> None:
        """Forget everything, as for an upstream that comes back."""
        self._scores.clear()
        self._connect = 0.0

    def decay(self, elapsed_s: float) -> None:
        """Let evidence grow old, so that idleness is not held against it."""
        share = 0.5 ** (elapsed_s / _HALF_LIFE_S)
        self._connect *= share
        for scores in self._scores.values():
            scores.latency *= share
            scores.errors *= share

    def add_time(
        self, route: str, age_s: float, reference_s: float, ended: bool
    ) -> None:
        """Take in the time of a request.

        :param ended: it was answered; otherwise it was given up at this age.
        """
        gain = age_gain(age_s, reference_s)
        if ended:
            gain -= math.log(_SLOWDOWN)
        for scores in self._affected(route):
            scores.latency = _clamp(scores.latency + gain)

    def add_answer(
        self, route: str, failed: bool, reference_ratio: float
    ) -> None:
        """Take in whether a request failed.

        :param reference_ratio: share of failures on the route over the
            whole service, 0 to 1.
        """
        self._connect = 0.0
        healthy = min(0.9, max(_MIN_ERROR_RATIO, 1.5 * reference_ratio))
        failing = healthy + _FAILING_ERROR_SHARE * (1.0 - healthy)
        if failed:
            gain = math.log(failing / healthy)
        else:
            gain = math.log((1.0 - failing) / (1.0 - healthy))
        for scores in self._affected(route):
            scores.errors = _clamp(scores.errors + gain)

    def add_broken(
        self, now_s: float, route: str, reference_ratio: float
    ) -> None:
        """Take in a lost connection; several at once count as one."""
        if now_s - self._last_broken_s < _BROKEN_GROUP_S:
            return
        self._last_broken_s = now_s
        connect = self._connect
        self.add_answer(route, True, reference_ratio)
        self._connect = connect

    def add_connect_failure(self) -> None:
        """Take in that no connection could be made."""
        self._connect = _clamp(self._connect + _CONNECT_FAILED_GAIN)

    def score(self, in_flight: cabc.Iterable[AgeSample]) -> float:
        """Return the strongest evidence of failure, in nats."""
        latency = {
            route: scores.latency for route, scores in self._scores.items()
        }
        for sample in in_flight:
            gain = age_gain(sample.age_s, sample.reference_s)
            for route in self._keys(sample.route):
                latency[route] = latency.get(route, 0.0) + gain
        errors = (scores.errors for scores in self._scores.values())
        return max(self._connect, *latency.values(), *errors, 0.0)

    def _keys(self, route: str) -> tuple[str, ...]:
        if not self._per_route:
            return (_ALL_ROUTES,)
        if route not in self._scores and len(self._scores) >= _MAX_ROUTES:
            return (_ALL_ROUTES,)
        return (_ALL_ROUTES, route)

    def _affected(self, route: str) -> list[_RouteScores]:
        return [
            self._scores.setdefault(key, _RouteScores())
            for key in self._keys(route)
        ]
