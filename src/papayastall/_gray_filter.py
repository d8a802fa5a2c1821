"""Belief that an upstream hangs part of its work, as a two-state filter.

An upstream is taken to be either sound or gray. A gray one leaves most of
its requests without an answer, so the age of each request in flight speaks
for it while it lasts and every answer against it. Unlike a sequential test,
the belief also fades by itself: gray periods come and go within seconds, so
that old evidence of either kind says little.
"""

from __future__ import annotations

import math

import msgspec

__all__ = ["GrayFilter", "GrayModel"]

_MAX_LOG_ODDS = 6.0
"""Beliefs beyond this would take too long to change again."""
_SQRT2 = math.sqrt(2.0)
_MIN_REFERENCE_S = 0.3
"""Shorter work is dominated by queueing and the network."""


class GrayModel(msgspec.Struct, frozen=True):
    """How sound and gray upstreams are taken to behave.

    :param gray_share: share of the requests that a gray one leaves hanging.
    :param gray_s: mean time that an upstream stays gray.
    :param sound_s: mean time that it stays sound.
    :param spread: standard deviation of the logarithm of healthy times.
    :param slow_share: healthy requests that wait for work elsewhere.
    """

    gray_share: float = 0.75
    gray_s: float = 9.0
    sound_s: float = 40.0
    spread: float = 0.6
    slow_share: float = 0.06

    def age_odds(self, ratio: float) -> float:
        """Return what an unanswered request says for a gray upstream.

        :param ratio: its age relative to the median time of its route.
        """
        if ratio <= 0.0:
            return 0.0
        z = math.log(ratio) / self.spread
        tail = 0.5 * math.erfc(z / _SQRT2)
        sound = self.slow_share + (1.0 - self.slow_share) * tail
        gray = self.gray_share + (1.0 - self.gray_share) * sound
        return math.log(gray / sound)

    @property
    def answer_odds(self) -> float:
        """What an answer says against a gray upstream, in nats."""
        return math.log(1.0 / (1.0 - self.gray_share))

    @property
    def prior(self) -> float:
        """Probability of an upstream of which nothing is known."""
        return self.gray_s / (self.gray_s + self.sound_s)


class _InFlight(msgspec.Struct):
    started_s: float
    reference_s: float


class GrayFilter:
    """Belief about one upstream; a kind of evidence.

    Scores are log-odds of "gray" in nats: 0 is as likely as not.
    """

    __slots__ = ("_in_flight", "_last_broken_s", "_log_odds", "model")

    def __init__(self, model: GrayModel) -> None:
        self.model = model
        self._in_flight: dict[int, _InFlight] = {}
        self._last_broken_s = -math.inf
        self._log_odds = _to_odds(model.prior)

    def reset(self) -> None:
        """Forget everything, as for an upstream that comes back."""
        self._log_odds = _to_odds(self.model.prior)
        self._in_flight.clear()

    def decay(self, elapsed_s: float) -> None:
        """Let the belief move to what is likely without any evidence."""
        model = self.model
        rate = 1.0 / model.gray_s + 1.0 / model.sound_s
        share = math.exp(-elapsed_s * rate)
        belief = 1.0 / (1.0 + math.exp(-self._log_odds))
        belief = model.prior + (belief - model.prior) * share
        self._log_odds = _to_odds(belief)

    def start(
        self, now_s: float, request_id: int, route: str, reference_s: float
    ) -> None:
        """Take in that a request was handed to the upstream.

        :param reference_s: median time of a sound upstream, seconds.
        """
        reference_s = max(reference_s, _MIN_REFERENCE_S)
        self._in_flight[request_id] = _InFlight(now_s, reference_s)

    def end(self, now_s: float, request_id: int, answered: bool) -> None:
        """Take in that a request ended.

        :param answered: otherwise it was given up at this age.
        """
        ended = self._in_flight.pop(request_id, None)
        if ended is None:
            return
        if answered:
            self._add(-self.model.answer_odds)
        else:
            self._add(self._age_odds(now_s, ended))

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
        if not failed:
            return
        # That it came at all was counted as an answer already.
        sound = min(0.9, max(0.02, 1.5 * reference_ratio))
        gray = max(self.model.gray_share, sound)
        self._add(math.log(gray / sound) + self.model.answer_odds)

    def add_broken(
        self, now_s: float, route: str, reference_ratio: float
    ) -> None:
        """Take in a lost connection; several at once count as one."""
        if now_s - self._last_broken_s < 0.1:
            return
        self._last_broken_s = now_s
        self.add_answer(route, True, reference_ratio)

    def add_connect_failure(self) -> None:
        """Take in that no connection could be made."""
        self._add(_MAX_LOG_ODDS)

    def score(self, now_s: float, min_age_s: float) -> float:
        """Return the log-odds of "gray" now.

        :param min_age_s: requests in flight that are younger do not count.
        """
        total = self._log_odds
        for request in self._in_flight.values():
            if now_s - request.started_s >= min_age_s:
                total += max(0.0, self._age_odds(now_s, request))
        return total

    def _age_odds(self, now_s: float, request: _InFlight) -> float:
        age_s = now_s - request.started_s
        return self.model.age_odds(age_s / request.reference_s)

    def _add(self, odds: float) -> None:
        total = self._log_odds + odds
        self._log_odds = min(_MAX_LOG_ODDS, max(-_MAX_LOG_ODDS, total))


def _to_odds(probability: float) -> float:
    return math.log(probability / (1.0 - probability))
