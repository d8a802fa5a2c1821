"""Which owner an ingress sends a request to."""

from __future__ import annotations

import collections.abc as cabc
import math
import random

import msgspec

from papayastall import _decision_types as types
from papayastall import _service_policy

__all__ = ["Outstanding", "OwnerView", "choose_owner", "is_full"]

_STEERED_SHARE = 0.05
"""An owner with less weight per slot than this is steered away."""
_SILENCE_WORD_S = 10.0
_MIN_WEIGHT = 0.01
_WEIGHT_WORD_S = 10.0
"""After this time without news an owner counts with all its slots again."""


class Outstanding(msgspec.Struct, frozen=True):
    """An attempt without an answer, and for how long that is normal."""

    sent_s: float
    patience_s: float


class OwnerView(msgspec.Struct):
    """What an ingress knows of one owner of one service.

    :param steered_word_s: see ``RoutingTuning``.
    :param unproven_until_s: until when it is taken at its word that no
        recent work shows its upstreams to be healthy.
    :param others_in_flight: work of other ingresses at the last answer.
    """

    advert: types.OwnerAdvert
    slots: int
    weight: float
    others_in_flight: float = 0.0
    load_s: float = -math.inf
    in_flight: int = 0
    outstanding: dict[tuple[int, int], Outstanding] = msgspec.field(
        default_factory=dict
    )
    heard_s: float = -math.inf
    is_link_down: bool = False
    silent_until_s: float = -math.inf
    avoid_until_s: float = 0.0
    unproven_until_s: float = 0.0
    steered_word_s: float = 5.0

    def note_load(self, now_s: float, load: types.OwnerLoad) -> None:
        """Take in the load that rode on an answer."""
        self.slots = load.slots
        self.weight = load.weight
        total = load.in_flight + load.queued
        self.others_in_flight = max(0.0, total - self.in_flight)
        self.load_s = now_s

    def note_heard(self, now_s: float) -> None:
        """Take in that the owner's process lives and is heard."""
        self.heard_s = now_s
        self.silent_until_s = -math.inf

    def note_silence(self, now_s: float) -> None:
        """Avoid the owner if it left an attempt without a word too long."""
        for attempt in self.outstanding.values():
            since_s = max(attempt.sent_s, self.heard_s)
            if now_s - since_s > attempt.patience_s:
                self.silent_until_s = now_s + _SILENCE_WORD_S
                return

    def note_given_up(self, now_s: float, attempt: Outstanding) -> None:
        """Take in that another owner answered while this one was silent."""
        if self.heard_s < attempt.sent_s:
            self.silent_until_s = now_s + _SILENCE_WORD_S

    def is_silent(self, now_s: float) -> bool:
        """Return whether its silence is still held against it."""
        return now_s < self.silent_until_s

    def is_steered(self, now_s: float) -> bool:
        """Return whether the owner steers all its upstreams away.

        Word of it lasts a few seconds; then a request may go and ask again,
        which the owner refuses unrun where nothing has changed.
        """
        if now_s > self.load_s + self.steered_word_s:
            return False
        return self.weight <= _STEERED_SHARE * self.slots

    def current_weight(self, now_s: float) -> float:
        """Return its weight, old news of a low one fading.

        An owner in slow start that gets no request sends no news, and would
        never be asked again.
        """
        faded = min(1.0, (now_s - self.load_s) / _WEIGHT_WORD_S)
        return self.weight + (self.slots - self.weight) * faded

    def is_avoided(self, now_s: float) -> bool:
        """Return whether ordinary work goes elsewhere."""
        if self.is_link_down or self.is_silent(now_s):
            return True
        if self.is_steered(now_s):
            return True
        return now_s < self.avoid_until_s


def expected_in_flight(view: OwnerView, now_s: float, decay_s: float) -> float:
    """Return the work at the owner, old news of others' work fading."""
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
    """Draw a few owners at random and return the least loaded of them."""
    if not views:
        return None
    count = min(tuning.choices, len(views))
    best = _least_loaded(
        now_s, rng.sample(views, count), failure_domain, tuning
    )
    if not is_full(best, now_s, tuning.load_decay_s):
        return best
    return _least_loaded(now_s, views, failure_domain, tuning)


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
