"""Evidence that an upstream is failing, from its real work alone.

The evidence is a sequential test. Each score is a sum of log-likelihood
ratios (nats) of "failing" over "healthy", never below zero between
requests. A request in flight adds to it while it ages, so that a stall
counts while it lasts; an answer takes a fixed amount back. Times are taken
relative to the median of the same route over the whole service, so that a
service that slows down as a whole accuses nobody.
"""

from __future__ import annotations

import math

import msgspec

__all__ = [
    "Evidence",
    "MedianEstimate",
    "RatioEstimate",
    "SequentialTest",
    "age_gain",
]

_SLOWDOWN = 4.0
"""A failing upstream is taken to finish work this many times slower."""
_TAIL_EXPONENT = 2.0
"""Tail of healthy times: one in a hundred takes ten times the median."""
_MIN_ERROR_RATIO = 0.01
_FAILING_ERROR_SHARE = 0.2
_CONNECT_FAILED_GAIN = 6.0
_MAX_ROUTES = 64
_MAX_SCORE = 60.0
_BROKEN_GROUP_S = 0.1
_MIN_STEP = 0.03
_ALL_ROUTES = "*"
_HALF_LIFE_S = 60.0


class MedianEstimate(msgspec.Struct):
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


class RatioEstimate(msgspec.Struct):
    """Running share of failures, 0 to 1."""

    value: float = 0.0
    count: int = 0

    def add(self, failed: bool) -> None:
        """Take in one answer."""
        self.count += 1
        step = max(_MIN_STEP, 1.0 / (self.count + 20))
        self.value += step * (float(failed) - self.value)


class SequentialTest(msgspec.Struct, frozen=True):
    """Evidence adds up until a threshold; see :class:`Evidence`.

    :param per_route: whether each route has a score of its own, too.
    """

    per_route: bool = True


class _InFlight(msgspec.Struct):
    """A request in flight and what of its age has been settled.

    An answer that shows the upstream at work settles the ages of all
    requests then in flight; only what they age further counts.
    """

    route: str
    started_s: float
    reference_s: float
    settled: dict[str, float]

    def gain(self, now_s: float, key: str) -> float:
        """Return what its age adds to the score of a key."""
        gain = age_gain(now_s - self.started_s, self.reference_s)
        return gain - self.settled.get(key, 0.0)


class _Scores(msgspec.Struct):
    latency: float = 0.0
    errors: float = 0.0


def age_gain(age_s: float, reference_s: float) -> float:
    """Return what a request of this age adds to the score, in nats.

    The cumulative hazard of a log-logistic distribution with the given
    median, less what a failing upstream would explain as well.
    """
    ratio = age_s / reference_s
    hazard = math.log1p(ratio**_TAIL_EXPONENT)
    return (1.0 - 1.0 / _SLOWDOWN) * hazard


class Evidence:
    """Scores of one upstream, for each route and over all routes."""

    __slots__ = (
        "_connect",
        "_in_flight",
        "_last_broken_s",
        "_per_route",
        "_scores",
        "model",
    )

    def __init__(self, model: SequentialTest = SequentialTest()) -> None:
        self.model = model
        self._per_route = model.per_route
        self._scores: dict[str, _Scores] = {}
        self._in_flight: dict[int, _InFlight] = {}
        self._connect = 0.0
        self._last_broken_s = -math.inf

    def reset(self) -> None:
        """Forget everything, as for an upstream that comes back."""
        self._scores.clear()
        self._in_flight.clear()
        self._connect = 0.0

    def decay(self, elapsed_s: float) -> None:
        """Let evidence grow old, so that idleness is not held against it."""
        share = 0.5 ** (elapsed_s / _HALF_LIFE_S)
        self._connect *= share
        for scores in self._scores.values():
            scores.latency *= share
            scores.errors *= share

    def start(
        self, now_s: float, request_id: int, route: str, reference_s: float
    ) -> None:
        """Take in that a request was handed to the upstream.

        :param reference_s: median time of a healthy upstream, seconds.
        """
        self._in_flight[request_id] = _InFlight(route, now_s, reference_s, {})

    def end(self, now_s: float, request_id: int, answered: bool) -> None:
        """Take in that a request ended.

        :param answered: otherwise it was given up at this age.
        """
        ended = self._in_flight.pop(request_id, None)
        if ended is None:
            return
        for key in self._keys(ended.route):
            scores = self._scores.setdefault(key, _Scores())
            scores.latency += ended.gain(now_s, key)
            if answered:
                scores.latency -= math.log(_SLOWDOWN)
                self._settle(now_s, key, scores)
            scores.latency = min(scores.latency, _MAX_SCORE)

    def drop(self, request_id: int) -> None:
        """Forget a request whose time says nothing."""
        self._in_flight.pop(request_id, None)

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
        for key in self._keys(route):
            scores = self._scores.setdefault(key, _Scores())
            scores.errors = min(max(scores.errors + gain, 0.0), _MAX_SCORE)

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
        self._connect = min(self._connect + _CONNECT_FAILED_GAIN, _MAX_SCORE)

    def score(self, now_s: float, min_age_s: float) -> float:
        """Return the strongest evidence of failure, in nats.

        :param min_age_s: requests in flight that are younger do not count.
        """
        best = max(0.0, self._connect)
        for key, scores in self._scores.items():
            if self._in_flight:
                aged = self._gain(now_s, key, min_age_s)
                best = max(best, scores.errors, scores.latency + aged)
            else:
                best = max(best, scores.errors, scores.latency)
        if self._in_flight and _ALL_ROUTES not in self._scores:
            best = max(best, self._gain(now_s, _ALL_ROUTES, min_age_s))
        return best

    def _gain(self, now_s: float, key: str, min_age_s: float) -> float:
        return sum(
            request.gain(now_s, key)
            for request in self._in_flight.values()
            if now_s - request.started_s >= min_age_s
            and (key == _ALL_ROUTES or key == request.route)
        )

    def _settle(self, now_s: float, key: str, scores: _Scores) -> None:
        """Start afresh where all that is known speaks for good health."""
        if scores.latency + self._gain(now_s, key, 0.0) > 0.0:
            return
        scores.latency = 0.0
        for request in self._in_flight.values():
            if key == _ALL_ROUTES or key == request.route:
                gain = age_gain(now_s - request.started_s, request.reference_s)
                request.settled[key] = gain

    def _keys(self, route: str) -> tuple[str, ...]:
        if not self._per_route:
            return (_ALL_ROUTES,)
        if route not in self._scores and len(self._scores) >= _MAX_ROUTES:
            return (_ALL_ROUTES,)
        return (_ALL_ROUTES, route)
