"""Detection of gray upstreams, which hang part of their requests.

A two-state Bayesian filter estimates whether an upstream is healthy or gray.
A gray one leaves most of its requests unanswered, so the age of each request
in flight is evidence for "gray", and every answer is evidence against it.
Unlike the scores of a sequential test, the estimate also returns to its prior
with time: gray periods begin and end within seconds, so old evidence of
either kind has little value. This holds for requests still in flight, too,
once a request that was sent after them has been answered.
"""

from __future__ import annotations

import math

import msgspec

__all__ = ["GrayFilter", "GrayModel"]

_MAX_LOG_ODDS = 6.0
"""Larger log-odds would take too long to reverse."""
_SQRT2 = math.sqrt(2.0)
_MIN_REFERENCE_S = 0.3
"""Below this, queueing and the network dominate the time of a request."""


class GrayModel(msgspec.Struct, frozen=True):
    """Assumed behaviour of healthy and gray upstreams.

    :param hang_share: share of its requests that a gray upstream leaves
        unanswered.
    :param mean_gray_s: mean duration of a gray period.
    :param mean_healthy_s: mean duration of a healthy period.
    :param log_std: standard deviation of the natural logarithm of healthy
        run times.
    :param slow_share: share of healthy requests that are slow because they
        wait for work elsewhere.
    """

    hang_share: float = 0.75
    mean_gray_s: float = 9.0
    mean_healthy_s: float = 40.0
    log_std: float = 0.6
    slow_share: float = 0.06

    def age_log_ratio(self, ratio: float) -> float:
        """Return the evidence for "gray" of an unanswered request, in nats.

        :param ratio: its age divided by the median time of its route.
        """
        if ratio <= 0.0:
            return 0.0
        z = math.log(ratio) / self.log_std
        tail = 0.5 * math.erfc(z / _SQRT2)
        healthy = self.slow_share + (1.0 - self.slow_share) * tail
        gray = self.hang_share + (1.0 - self.hang_share) * healthy
        return math.log(gray / healthy)

    def age(self, estimate: float, elapsed_s: float) -> float:
        """Return a probability of "gray" moved towards the prior.

        :param estimate: the probability ``elapsed_s`` earlier.
        """
        rate = 1.0 / self.mean_gray_s + 1.0 / self.mean_healthy_s
        share = math.exp(-elapsed_s * rate)
        return self.prior + (estimate - self.prior) * share

    @property
    def answer_log_ratio(self) -> float:
        """The evidence against "gray" of one answer, in nats."""
        return math.log(1.0 / (1.0 - self.hang_share))

    @property
    def prior(self) -> float:
        """The probability of "gray" without any evidence."""
        return self.mean_gray_s / (self.mean_gray_s + self.mean_healthy_s)


class _InFlightRequest(msgspec.Struct):
    """A request in flight.

    :param counted: part of its evidence that the log-odds include, in nats.
    """

    started_s: float
    reference_s: float
    counted: float = 0.0


class GrayFilter:
    """The gray filter of one upstream; has the methods of ``Evidence``.

    Scores are log-odds of "gray" in nats; 0 is a probability of one half.
    """

    __slots__ = ("_in_flight", "_last_broken_s", "_log_odds", "model")

    def __init__(self, model: GrayModel) -> None:
        self.model = model
        self._in_flight: dict[int, _InFlightRequest] = {}
        self._last_broken_s = -math.inf
        self._log_odds = _to_log_odds(model.prior)

    def reset(self) -> None:
        """Return to the prior, as when an upstream returns or restarts."""
        self._log_odds = _to_log_odds(self.model.prior)
        self._in_flight.clear()

    def decay(self, elapsed_s: float) -> None:
        """Move the estimate towards the prior, as time passes."""
        estimate = 1.0 / (1.0 + math.exp(-self._log_odds))
        self._log_odds = _to_log_odds(self.model.age(estimate, elapsed_s))

    def start(
        self, now_s: float, request_id: int, route: str, reference_s: float
    ) -> None:
        """Record that a request was handed to the upstream.

        :param reference_s: median time of a healthy upstream, seconds.
        """
        reference_s = max(reference_s, _MIN_REFERENCE_S)
        self._in_flight[request_id] = _InFlightRequest(now_s, reference_s)

    def end(self, now_s: float, request_id: int, answered: bool) -> None:
        """Record that a request ended.

        :param answered: whether it was answered; if not, it was abandoned
            at its present age.
        """
        ended = self._in_flight.pop(request_id, None)
        if ended is None:
            return
        if answered:
            self._count_older(now_s, ended.started_s)
            self._add(-self.model.answer_log_ratio - ended.counted)
        else:
            self._count(now_s, ended)

    def drop(self, request_id: int) -> None:
        """Remove a request whose duration is no evidence."""
        dropped = self._in_flight.pop(request_id, None)
        if dropped is not None:
            self._add(-dropped.counted)

    def add_answer(
        self, route: str, failed: bool, reference_ratio: float
    ) -> None:
        """Record whether an answered request failed.

        :param reference_ratio: share of failures on the route over the
            whole service, 0 to 1.
        """
        if not failed:
            return
        # ``end`` counted the answer as evidence against "gray"; cancel that.
        healthy = min(0.9, max(0.02, 1.5 * reference_ratio))
        gray = max(self.model.hang_share, healthy)
        self._add(math.log(gray / healthy) + self.model.answer_log_ratio)

    def add_broken(
        self, now_s: float, route: str, reference_ratio: float
    ) -> None:
        """Record a broken connection; several within 0.1 s count as one.

        :param reference_ratio: as for :meth:`add_answer`.
        """
        if now_s - self._last_broken_s < 0.1:
            return
        self._last_broken_s = now_s
        self.add_answer(route, True, reference_ratio)

    def add_connect_failure(self) -> None:
        """Record that no connection could be made."""
        self._add(_MAX_LOG_ODDS)

    def score(self, now_s: float, min_age_s: float) -> float:
        """Return the present log-odds of "gray", in nats.

        :param min_age_s: younger requests in flight are left out.
        """
        total = self._log_odds
        for request in self._in_flight.values():
            if now_s - request.started_s >= min_age_s:
                total += self._age_log_ratio(now_s, request) - request.counted
        return total

    def _count_older(self, now_s: float, before_s: float) -> None:
        """Add what requests in flight show to the log-odds.

        The answer to a later request can outweigh it there, and it decays
        with time. In flight, it would count until the request ends.

        :param before_s: only requests that were started earlier.
        """
        for request in self._in_flight.values():
            if request.started_s < before_s:
                self._count(now_s, request)

    def _count(self, now_s: float, request: _InFlightRequest) -> None:
        log_ratio = self._age_log_ratio(now_s, request)
        self._add(log_ratio - request.counted)
        request.counted = log_ratio

    def _age_log_ratio(self, now_s: float, request: _InFlightRequest) -> float:
        age_s = now_s - request.started_s
        return self.model.age_log_ratio(age_s / request.reference_s)

    def _add(self, log_ratio: float) -> None:
        total = self._log_odds + log_ratio
        self._log_odds = min(_MAX_LOG_ODDS, max(-_MAX_LOG_ODDS, total))


def _to_log_odds(probability: float) -> float:
    return math.log(probability / (1.0 - probability))
