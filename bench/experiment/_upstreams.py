"""Models of upstreams: how long a request takes and how it ends."""

from __future__ import annotations

import collections.abc as cabc
import math
import random

import msgspec

from bench.experiment import _settings as settings
from papayastall import _decision_types as types

__all__ = ["Plan", "Upstream", "draw_turns"]

SHED_AFTER_S = 0.002
"""Time after which an upstream refuses a request that it sheds."""
ERROR_AT_SHARE = 0.5
"""Share of a request's run time after which it fails."""


class Plan(msgspec.Struct):
    """How long one request runs and how it ends.

    :param duration_s: infinite if the request hangs.
    """

    duration_s: float
    outcome: types.Outcome


class Upstream:
    """One upstream, with the troubles that it has in a run.

    :param full_factor: see :class:`Site`.
    :param speed: run times are divided by it.
    """

    def __init__(
        self, slots: int, full_factor: float, speed: float = 1.0
    ) -> None:
        self._slots = slots
        self._full_factor = full_factor
        self._speed = speed
        self.troubles: list[settings.Trouble] = []
        self.busy = 0

    def plan(
        self, now_s: float, kind: settings.Kind, rng: random.Random
    ) -> Plan:
        """Return the duration and outcome of a request that starts now."""
        assert self.busy < self._slots, "more requests than slots"
        busy_share = self.busy / self._slots
        is_tail = kind.tail_share > 0.0 and rng.random() < kind.tail_share
        plan = Plan(
            kind.work_ms
            / 1000
            / self._speed
            * (kind.tail_factor if is_tail else 1.0)
            * rng.lognormvariate(0.0, kind.sigma)
            * (1.0 + (self._full_factor - 1.0) * busy_share),
            types.Outcome.ANSWERED,
        )
        for trouble in self._active_troubles(now_s):
            self._apply_trouble(plan, trouble, now_s, rng)
        return plan

    def is_troubled(self, start_s: float, end_s: float) -> bool:
        """Return whether it has a trouble in a part of this period."""
        return any(
            trouble.start_s < end_s and start_s < trouble.end_s
            for trouble in self.troubles
        )

    def _active_troubles(
        self, now_s: float
    ) -> cabc.Iterator[settings.Trouble]:
        for trouble in self.troubles:
            if trouble.start_s <= now_s < trouble.end_s:
                yield trouble

    def _apply_trouble(
        self,
        plan: Plan,
        trouble: settings.Trouble,
        now_s: float,
        rng: random.Random,
    ) -> None:
        kind = settings.TroubleKind
        is_affected = rng.random() < trouble.share
        match trouble.kind:
            case kind.HANG if is_affected:
                plan.duration_s = math.inf
                plan.outcome = types.Outcome.TIMED_OUT
            case kind.ERRORS if is_affected:
                plan.duration_s *= ERROR_AT_SHARE
                plan.outcome = types.Outcome.FAILED
            case kind.SHED if is_affected:
                plan.duration_s = SHED_AFTER_S
                plan.outcome = types.Outcome.SHED
            case kind.SLOW:
                plan.duration_s *= trouble.factor
            case kind.COLD:
                length_s = trouble.end_s - trouble.start_s
                left = (trouble.end_s - now_s) / length_s
                plan.duration_s *= 1.0 + (trouble.factor - 1.0) * left


def draw_turns(
    turns: settings.GrayTurns, seconds: float, rng: random.Random
) -> cabc.Iterator[settings.Trouble]:
    """Draw the periods in which one upstream hangs.

    :param seconds: length of the run.
    """
    healthy_s = turns.mean_s * (1.0 - turns.share) / turns.share
    at_s = rng.expovariate(1.0 / healthy_s)
    if rng.random() < turns.share:
        at_s = 0.0
    while at_s < seconds:
        more_s = rng.expovariate(1.0 / (turns.mean_s - turns.min_s))
        end_s = at_s + turns.min_s + more_s
        yield settings.Trouble(
            settings.TroubleKind.HANG,
            turns.service,
            1,
            at_s,
            end_s,
            turns.hang_share,
        )
        at_s = end_s + rng.expovariate(1.0 / healthy_s)
