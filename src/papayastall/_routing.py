"""Choice of the owner that an ingress sends a request to."""

from __future__ import annotations

import collections.abc as cabc
import math
import random

import msgspec

from papayastall import _decision_types as types
from papayastall import _service_policy
from papayastall import proof

__all__ = ["OutstandingAttempt", "OwnerView", "choose_owner", "is_full"]

_MAX_STEERED_WEIGHT_PER_SLOT = 0.05
"""An owner with no more weight per slot counts as steered away."""
_SILENCE_AVOID_S = 10.0
_MIN_WEIGHT = 0.01
_WEIGHT_FADE_S = 10.0
"""Age of a load report at which the owner counts with all its slots again."""


class OutstandingAttempt(msgspec.Struct, frozen=True):
    """An attempt without an answer.

    :param silence_limit_s: time in seconds for which it is normal that the
        owner sends nothing.
    :param expected_ms: expected run time; ``None`` while unknown.
    """

    sent_s: float
    silence_limit_s: float
    expected_ms: float | None = None


class OwnerView(msgspec.Struct):
    """One owner of one service as an ingress sees it.

    :param steered_word_s: see ``RoutingTuning``.
    :param unproven_until_s: time until which the owner counts as one
        without an upstream that recent work has shown to be healthy.
    :param report: odds and retry budget that the owner last reported.
    :param others_in_flight: requests of other ingresses in the last load
        report.
    :param work_s: see :class:`OwnerLoad`; from the last report.
    :param slowness: run times of its upstreams relative to those of the whole
        service.
    """

    advert: types.OwnerAdvert
    slots: int
    weight: float
    others_in_flight: float = 0.0
    load_s: float = -math.inf
    in_flight: int = 0
    outstanding: dict[tuple[int, int], OutstandingAttempt] = msgspec.field(
        default_factory=dict
    )
    heard_s: float = -math.inf
    is_link_down: bool = False
    silent_until_s: float = -math.inf
    avoid_until_s: float = 0.0
    unproven_until_s: float = 0.0
    steered_word_s: float = 5.0
    work_s: float | None = None
    slowness: float = 1.0
    report: proof.OwnerReport = msgspec.field(
        default_factory=proof.OwnerReport
    )

    def note_load(self, now_s: float, load: types.OwnerLoad) -> None:
        """Record a load report of the owner."""
        self.slots = load.slots
        self.weight = load.weight
        total = load.in_flight + load.queued
        self.others_in_flight = max(0.0, total - self.in_flight)
        self.load_s = now_s
        self.work_s = load.work_s
        self.report.note(now_s, load.gray_odds, load.repeats_left)

    def note_heard(self, now_s: float) -> None:
        """Record that a frame from the owner has arrived."""
        self.heard_s = now_s
        self.silent_until_s = -math.inf

    def note_silence(self, now_s: float) -> None:
        """Avoid the owner if it has sent nothing for too long."""
        for attempt in self.outstanding.values():
            since_s = max(attempt.sent_s, self.heard_s)
            if now_s - since_s > attempt.silence_limit_s:
                self.silent_until_s = now_s + _SILENCE_AVOID_S
                return

    def note_superseded(
        self, now_s: float, attempt: OutstandingAttempt
    ) -> None:
        """Avoid the owner if it sent nothing before another one answered."""
        if self.heard_s < attempt.sent_s:
            self.silent_until_s = now_s + _SILENCE_AVOID_S

    def is_silent(self, now_s: float) -> bool:
        """Return whether the owner is still avoided for its silence."""
        return now_s < self.silent_until_s

    def is_steered(self, now_s: float) -> bool:
        """Return whether the owner steers all its upstreams away.

        The report is valid for a few seconds. After that requests are sent
        again, which the owner refuses unrun if nothing has changed.
        """
        if now_s > self.load_s + self.steered_word_s:
            return False
        return self.weight <= _MAX_STEERED_WEIGHT_PER_SLOT * self.slots

    def current_weight(self, now_s: float) -> float:
        """Return the weight, which rises to all slots as the report ages.

        An owner in slow start that gets no requests sends no reports and,
        with its low weight unchanged, would never get a request again.
        """
        faded = min(1.0, (now_s - self.load_s) / _WEIGHT_FADE_S)
        return self.weight + (self.slots - self.weight) * faded

    def is_avoided(self, now_s: float) -> bool:
        """Return whether ordinary requests go to other owners."""
        if self.is_link_down or self.is_silent(now_s):
            return True
        if self.is_steered(now_s):
            return True
        return now_s < self.avoid_until_s


def expected_in_flight(view: OwnerView, now_s: float, decay_s: float) -> float:
    """Return the expected number of requests in flight at the owner.

    The share of other ingresses decays as the load report ages.

    :param decay_s: time constant of that decay, in seconds.
    """
    fresh = math.exp(-(now_s - view.load_s) / decay_s)
    return view.in_flight + view.others_in_flight * fresh


def is_full(view: OwnerView, now_s: float, decay_s: float) -> bool:
    """Return whether the owner seems to have no free slot."""
    return expected_in_flight(view, now_s, decay_s) > view.slots - 1


def choose_owner(
    now_s: float,
    views: cabc.Sequence[OwnerView],
    failure_domain: str,
    tuning: _service_policy.RoutingTuning,
    rng: random.Random,
) -> OwnerView | None:
    """Draw a few owners at random and return the least loaded of them.

    Owners in the failure domain of this node come first, as long as one of
    them has room to spare. If the owner found is full, return the least
    loaded of all owners.

    :param failure_domain: of this node.
    """
    if not views:
        return None
    near = _find_near(now_s, views, failure_domain, tuning, rng)
    if near is not None:
        return near
    count = min(tuning.choices, len(views))
    best = _least_loaded(
        now_s, rng.sample(views, count), failure_domain, tuning
    )
    if not is_full(best, now_s, tuning.load_decay_s):
        return best
    return _least_loaded(now_s, views, failure_domain, tuning)


def _find_near(
    now_s: float,
    views: cabc.Sequence[OwnerView],
    failure_domain: str,
    tuning: _service_policy.RoutingTuning,
    rng: random.Random,
) -> OwnerView | None:
    """Return an owner in this failure domain that has room to spare."""
    if tuning.near_fill_share <= 0.0:
        return None
    near = [
        view for view in views if view.advert.failure_domain == failure_domain
    ]
    if not near:
        return None
    count = min(tuning.choices, len(near))
    best = _least_loaded(
        now_s, rng.sample(near, count), failure_domain, tuning
    )
    in_flight = expected_in_flight(best, now_s, tuning.load_decay_s)
    weight = max(_MIN_WEIGHT, best.current_weight(now_s))
    if in_flight + 1.0 > tuning.near_fill_share * weight:
        return None
    return best


def _least_loaded(
    now_s: float,
    views: cabc.Sequence[OwnerView],
    failure_domain: str,
    tuning: _service_policy.RoutingTuning,
) -> OwnerView:
    def rank(view: OwnerView) -> tuple[float, bool]:
        in_flight = expected_in_flight(view, now_s, tuning.load_decay_s)
        is_far = view.advert.failure_domain != failure_domain
        load = (in_flight + 1.0) / max(_MIN_WEIGHT, view.current_weight(now_s))
        return load + tuning.far_penalty * is_far, is_far

    return min(views, key=rank)
