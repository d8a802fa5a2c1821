"""Which ingresses an owner notifies when it starts or stops taking work."""

from __future__ import annotations

import math

import msgspec

from papayastall import _decision_types

__all__ = ["RecentIngresses"]

RECENT_S = 10.0
"""An ingress may get load notices for this time after its last request."""
MAX_NOTIFIED = 64
"""Bounds the load notices that an owner in a large fleet sends at once."""


class _Ingress(msgspec.Struct):
    """An ingress that has sent requests to this owner.

    :param last_s: time of its last request.
    :param previous_s: time of the request before that one.
    :param unavailable: services that this owner last reported to it as
        taking no work.
    """

    last_s: float
    previous_s: float = -math.inf
    unavailable: set[str] = msgspec.field(default_factory=set)


class RecentIngresses:
    """The ingresses that sent requests lately, and the last load sent to them.

    A notice costs one frame, a request that is refused because its ingress
    had no notice costs three. So an ingress that will hardly send a request
    while the notice holds gets none.
    """

    def __init__(self) -> None:
        self._ingresses: dict[str, _Ingress] = {}

    def note_request(self, now_s: float, ingress: str) -> None:
        """Record a request; the ingresses are kept in the order of these."""
        known = self._ingresses.pop(ingress, None)
        if known is None:
            known = _Ingress(now_s)
        else:
            known.previous_s, known.last_s = known.last_s, now_s
        self._ingresses[ingress] = known

    def note_load(self, ingress: str, load: _decision_types.OwnerLoad) -> None:
        """Record a load that an answer or a refusal carries."""
        known = self._ingresses.get(ingress)
        if known is None:
            return
        if load.weight > 0.0:
            known.unavailable.discard(load.service)
        else:
            known.unavailable.add(load.service)

    def choose(
        self, now_s: float, load: _decision_types.OwnerLoad
    ) -> list[str]:
        """Return the ingresses to notify of a change, and record it.

        That a service takes work again is sent to those that got a load
        without weight before.
        """
        chosen = [
            name
            for name, ingress in self._ingresses.items()
            if now_s - ingress.last_s < RECENT_S
            and _is_concerned(now_s, ingress, load)
        ][-MAX_NOTIFIED:]
        for name in chosen:
            self.note_load(name, load)
        return chosen

    def expire(self, now_s: float) -> None:
        """Forget the ingresses that have sent no request lately."""
        for name, ingress in list(self._ingresses.items()):
            if now_s - ingress.last_s < RECENT_S:
                break
            del self._ingresses[name]


def _is_concerned(
    now_s: float, ingress: _Ingress, load: _decision_types.OwnerLoad
) -> bool:
    if not load.slots or load.notices:
        # An upstream that is leaving or names a limit is no passing doubt.
        return True
    if load.weight > 0.0:
        return load.service in ingress.unavailable
    return now_s - ingress.previous_s < RECENT_S
