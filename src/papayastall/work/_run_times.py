"""A histogram of run times in which old samples lose weight."""

from __future__ import annotations

import array
import itertools
import math

__all__ = ["RunTimes"]

_BUCKETS_PER_E = 4
"""Buckets for each factor of e: a bucket is 28% wide, while look-alike run
times differ by a factor of 5."""
_LOWEST_LOG = -7
_HIGHEST_LOG = 13
"""From 0.0009 to 440,000: covers milliseconds and ratios of two times."""
_COUNT = (_HIGHEST_LOG - _LOWEST_LOG) * _BUCKETS_PER_E
_MIDDLES = tuple(
    math.exp(_LOWEST_LOG + (index + 0.5) / _BUCKETS_PER_E)
    for index in range(_COUNT)
)
_MAX_SAMPLE_WEIGHT = 1e9


class RunTimes:
    """Quantiles and expected remaining time of runs, in constant memory.

    :param half_life_s: time after which a sample counts half.
    """

    __slots__ = ("_half_life_s", "_mean", "_since_s", "_total", "_weights")

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._since_s: float | None = None
        self._weights = array.array("d", bytes(8 * _COUNT))
        self._total = 0.0
        self._mean: float | None = None

    def add(self, now_s: float, value: float, weight: float = 1.0) -> None:
        """Add a sample above zero."""
        # Later samples get larger weights, so that the others need no
        # change.
        if self._since_s is None:
            self._since_s = now_s
        factor = math.exp2(min(900.0, self._age(now_s)))
        if factor > _MAX_SAMPLE_WEIGHT:
            self._weights = array.array(
                "d", [each / factor for each in self._weights]
            )
            self._total /= factor
            self._since_s = now_s
            factor = 1.0
        self._weights[_index(value)] += weight * factor
        self._total += weight * factor
        self._mean = None

    def count(self, now_s: float) -> float:
        """Return the present weight of all samples."""
        if self._since_s is None:
            return 0.0
        return self._total * math.exp2(-min(900.0, self._age(now_s)))

    def mean(self) -> float:
        """Return the mean of the samples; there must be some."""
        if self._mean is None:
            self._mean = self.mean_left(0.0)
        return self._mean

    def quantile(self, share: float) -> float:
        """Return the value below which this share of the samples lies."""
        assert self._total > 0.0, "no samples"
        left = share * sum(self._weights)
        for middle, weight in zip(_MIDDLES, self._weights, strict=True):
            left -= weight
            if left <= 0.0 and weight > 0.0:
                return middle
        return _MIDDLES[-1]

    def mean_left(self, age: float) -> float:
        """Return the expected remaining time of a run of this age.

        A run that has outlasted all samples is expected to take as long
        again as it has run.
        """
        weight = excess = 0.0
        for middle, each in itertools.islice(
            zip(_MIDDLES, self._weights, strict=True), _index(age), None
        ):
            if middle > age and each > 0.0:
                weight += each
                excess += each * (middle - age)
        if weight <= 1e-9 * self._total:
            return age
        return excess / weight

    def _age(self, now_s: float) -> float:
        assert self._since_s is not None, "no samples"
        return max(0.0, now_s - self._since_s) / self._half_life_s


def _index(value: float) -> int:
    if value <= _MIDDLES[0]:
        return 0
    index = int((math.log(value) - _LOWEST_LOG) * _BUCKETS_PER_E)
    return min(_COUNT - 1, index)
