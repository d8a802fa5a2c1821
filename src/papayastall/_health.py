"""Failure scores of upstreams, computed from the requests they serve.

A score is a sequential probability ratio test: a sum of log-likelihood
ratios (nats) of "failing" over "healthy", kept from falling below zero
between requests. A request in flight raises the score as it ages, so that a
stall counts while it lasts; an answer lowers it by a fixed amount. Times are
divided by the median of the same route over the whole service, so that an
upstream is not scored as failing when the whole service slows down.
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

_FAILING_SLOWDOWN = 4.0
"""Assumed slowdown of a failing upstream, as a factor on its run times."""
_LOG_LOGISTIC_SHAPE = 2.0
"""With this shape, 1 in 100 healthy requests takes 10 times the median."""
_MIN_ERROR_RATIO = 0.01
_FAILING_ERROR_SHARE = 0.2
"""Assumed share of otherwise good answers that a failing upstream fails."""
_CONNECT_FAILURE_NATS = 6.0
_MAX_SCORED_ROUTES = 64
_MAX_SCORE_NATS = 60.0
_BROKEN_CONNECTION_WINDOW_S = 0.1
_MIN_SMOOTHING_STEP = 0.03
_ALL_ROUTES = "*"
_SCORE_HALF_LIFE_S = 60.0


class MedianEstimate(msgspec.Struct):
    """A running median in constant memory.

    :param value: the estimate, ``None`` before the first sample.
    :param count: samples seen.
    """

    value: float | None = None
    count: int = 0

    def add(self, sample: float) -> None:
        """Move the estimate one relative step towards a sample."""
        self.count += 1
        if self.value is None:
            self.value = max(sample, 1e-6)
            return
        step = max(_MIN_SMOOTHING_STEP, 1.0 / (self.count + 1))
        if sample > self.value:
            self.value *= 1.0 + step
        elif sample < self.value:
            self.value /= 1.0 + step


class RatioEstimate(msgspec.Struct):
    """A running share of failures, 0 to 1."""

    value: float = 0.0
    count: int = 0

    def add(self, failed: bool) -> None:
        """Add one answer to the estimate."""
        self.count += 1
        step = max(_MIN_SMOOTHING_STEP, 1.0 / (self.count + 20))
        self.value += step * (float(failed) - self.value)


class SequentialTest(msgspec.Struct, frozen=True):
    """Parameters of the sequential test; see :class:`Evidence`.

    :param per_route: whether each route is also scored on its own.
    """

    per_route: bool = True


class _InFlightRequest(msgspec.Struct):
    """A request in flight.

    :param reference_s: median time of a healthy upstream.
    :param discounted: by score key, the part of its gain that no longer
        counts. An answer that brings a score to zero discounts the ages
        of the requests then in flight; only further aging adds to it.
    """

    route: str
    started_s: float
    reference_s: float
    discounted: dict[str, float]

    def gain(self, now_s: float, key: str) -> float:
        """Return what the request's age adds to the score of a key, in nats.

        :param key: a route, or ``_ALL_ROUTES``.
        """
        gain = age_gain(now_s - self.started_s, self.reference_s)
        return gain - self.discounted.get(key, 0.0)


class _Scores(msgspec.Struct):
    latency: float = 0.0
    errors: float = 0.0


def age_gain(age_s: float, reference_s: float) -> float:
    """Return what an unanswered request of some age adds to a score, in nats.

    This is the cumulative hazard of a log-logistic distribution with the
    given median, less the share that a failing upstream would show too.

    :param reference_s: the median.
    """
    ratio = age_s / reference_s
    hazard = math.log1p(ratio**_LOG_LOGISTIC_SHAPE)
    return (1.0 - 1.0 / _FAILING_SLOWDOWN) * hazard


class Evidence:
    """Failure scores of one upstream, for each route and over all routes."""

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
        self._in_flight: dict[int, _InFlightRequest] = {}
        self._connect = 0.0
        self._last_broken_s = -math.inf

    def reset(self) -> None:
        """Clear all evidence, as when an upstream returns or restarts."""
        self._scores.clear()
        self._in_flight.clear()
        self._connect = 0.0

    def decay(self, elapsed_s: float) -> None:
        """Reduce all scores by age, so that an idle upstream recovers."""
        share = 0.5 ** (elapsed_s / _SCORE_HALF_LIFE_S)
        self._connect *= share
        for scores in self._scores.values():
            scores.latency *= share
            scores.errors *= share

    def start(
        self, now_s: float, request_id: int, route: str, reference_s: float
    ) -> None:
        """Record that a request was handed to the upstream.

        :param reference_s: median time of a healthy upstream, seconds.
        """
        self._in_flight[request_id] = _InFlightRequest(
            route, now_s, reference_s, {}
        )

    def end(self, now_s: float, request_id: int, answered: bool) -> None:
        """Record that a request ended.

        :param answered: whether it was answered; if not, it was abandoned
            at its present age.
        """
        ended = self._in_flight.pop(request_id, None)
        if ended is None:
            return
        for key in self._keys(ended.route):
            scores = self._scores.setdefault(key, _Scores())
            scores.latency += ended.gain(now_s, key)
            if answered:
                scores.latency -= math.log(_FAILING_SLOWDOWN)
                self._reset_if_healthy(now_s, key, scores)
            scores.latency = min(scores.latency, _MAX_SCORE_NATS)

    def drop(self, request_id: int) -> None:
        """Remove a request whose duration is no evidence."""
        self._in_flight.pop(request_id, None)

    def add_answer(
        self, route: str, failed: bool, reference_ratio: float
    ) -> None:
        """Record whether an answered request failed.

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
            scores.errors = min(
                max(scores.errors + gain, 0.0), _MAX_SCORE_NATS
            )

    def add_broken(
        self, now_s: float, route: str, reference_ratio: float
    ) -> None:
        """Record a broken connection.

        Several within ``_BROKEN_CONNECTION_WINDOW_S`` count as one.

        :param reference_ratio: as for :meth:`add_answer`.
        """
        if now_s - self._last_broken_s < _BROKEN_CONNECTION_WINDOW_S:
            return
        self._last_broken_s = now_s
        connect = self._connect
        self.add_answer(route, True, reference_ratio)
        self._connect = connect

    def add_connect_failure(self) -> None:
        """Record that no connection could be made."""
        self._connect = min(
            self._connect + _CONNECT_FAILURE_NATS, _MAX_SCORE_NATS
        )

    def score(self, now_s: float, min_age_s: float) -> float:
        """Return the highest of all scores, in nats.

        :param min_age_s: younger requests in flight are left out.
        """
        best = max(0.0, self._connect)
        for key, scores in self._scores.items():
            if self._in_flight:
                age_score = self._gain(now_s, key, min_age_s)
                best = max(best, scores.errors, scores.latency + age_score)
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

    def _reset_if_healthy(
        self, now_s: float, key: str, scores: _Scores
    ) -> None:
        """Clear a latency score that has fallen to zero or below."""
        if scores.latency + self._gain(now_s, key, 0.0) > 0.0:
            return
        scores.latency = 0.0
        for request in self._in_flight.values():
            if key == _ALL_ROUTES or key == request.route:
                gain = age_gain(now_s - request.started_s, request.reference_s)
                request.discounted[key] = gain

    def _keys(self, route: str) -> tuple[str, ...]:
        if not self._per_route:
            return (_ALL_ROUTES,)
        if (
            route not in self._scores
            and len(self._scores) >= _MAX_SCORED_ROUTES
        ):
            return (_ALL_ROUTES,)
        return (_ALL_ROUTES, route)
