"""What an ingress concludes of one service from the answers it saw."""

from __future__ import annotations

import random

import msgspec

from papayastall import _decision_types as types
from papayastall import _ingress_state as state
from papayastall import _routing
from papayastall import exceptions

__all__ = [
    "OwnerChoice",
    "choose",
    "has_room",
    "hedge_due_s",
    "hints",
    "is_in_doubt",
    "note_answer",
    "note_refusal",
    "patience_s",
    "reference_ms",
]

_Code = exceptions.ErrorCode
_MIN_SAMPLES = 3
_MAX_ROUTES = 64
_OVERLOADED_PAUSE_S = 0.05
_STEERED_PAUSE_S = 0.2
_LEAVING_PAUSE_S = 2.0
_UNPROVEN_PAUSE_S = 0.3
"""Short work, of which an upstream gets some each second, proves it anew."""
_MAX_UNPROVEN = 2
"""Owners that may decline for want of proof; a third would cost more time
and bytes than the better choice saves."""
_UNKNOWN_HEDGE_S = 0.5
_UNKNOWN_HEDGE_SHARE = 0.25
"""Of the objective, on a route without known times: a second attempt of
work that takes up to half of it still ends in time, with another one moved."""
_UNKNOWN_PATIENCE_S = 2.0


class OwnerChoice(msgspec.Struct, frozen=True):
    """The owner for the next attempt."""

    view: _routing.OwnerView
    is_last_resort: bool
    wants_proof: bool = False


def choose(
    now_s: float,
    service: state.ServiceView,
    pending: state.PendingRequest,
    is_suspect: bool,
    rng: random.Random,
) -> OwnerChoice | None:
    """Choose the owner for the next attempt of a request.

    :param is_suspect: an upstream was lost with this request; it goes to
        the same owner from every ingress, so that it runs alone.
    """
    policy = service.policy
    tuning = policy.routing
    untried = _candidates(service, pending)
    usable = [view for view in untried if not view.is_avoided(now_s)]
    if is_suspect and usable:
        home = max(
            usable,
            key=lambda view: _home_rank(
                view.advert.owner, pending.request.fingerprint
            ),
        )
        return OwnerChoice(home, False)
    if pending.request.kind is types.RequestKind.LOOKUP and (
        not pending.tried
    ):
        doubted = [
            view
            for view in untried
            if view.is_silent(now_s) or view.is_steered(now_s)
        ]
        if doubted and rng.random() < tuning.trial_ratio:
            return OwnerChoice(rng.choice(doubted), False)
    wants_proof = _wants_proof(pending)
    if wants_proof:
        proved = [view for view in usable if view.unproven_until_s <= now_s]
        usable = proved or usable
    view = _routing.choose_owner(
        now_s, usable, policy.failure_domain, tuning, rng
    )
    if view is not None:
        return OwnerChoice(view, False, wants_proof)
    reachable = [view for view in untried if not view.is_link_down]
    view = _routing.choose_owner(
        now_s, reachable or untried, policy.failure_domain, tuning, rng
    )
    return OwnerChoice(view, True) if view is not None else None


def _wants_proof(pending: state.PendingRequest) -> bool:
    """Return whether losing the next attempt would lose the request."""
    if pending.unproven >= _MAX_UNPROVEN:
        return False
    if pending.request.kind is types.RequestKind.NON_IDEMPOTENT:
        return True
    return 0 < pending.sent >= pending.request.max_attempts - 1


def _candidates(
    service: state.ServiceView, pending: state.PendingRequest
) -> list[_routing.OwnerView]:
    """Return the owners not tried yet, or all without an open attempt."""
    untried = [
        view
        for name, view in service.owners.items()
        if name not in pending.tried
    ]
    if untried:
        return untried
    busy = {attempt.owner for attempt in pending.open.values()}
    return [view for name, view in service.owners.items() if name not in busy]


def has_room(
    now_s: float, service: state.ServiceView, pending: state.PendingRequest
) -> bool:
    """Return whether another owner seems to have a free slot."""
    decay_s = service.policy.routing.load_decay_s
    return any(
        name not in pending.tried
        and not view.is_avoided(now_s)
        and not _routing.is_full(view, now_s, decay_s)
        for name, view in service.owners.items()
    )


def is_in_doubt(
    now_s: float, service: state.ServiceView, pending: state.PendingRequest
) -> bool:
    """Return whether an owner with an open attempt is avoided by now."""
    owners = [
        service.owners.get(attempt.owner) for attempt in pending.open.values()
    ]
    return any(view is None or view.is_avoided(now_s) for view in owners)


def reference_ms(service: state.ServiceView, route: str) -> float | None:
    """Return the median time of a route over all owners, milliseconds."""
    known = service.references.get(route)
    if known is None or known.median.count < _MIN_SAMPLES:
        return None
    return known.median.value


def hints(
    now_s: float,
    service: state.ServiceView,
    route: str,
    choice: OwnerChoice,
) -> types.RequestHints:
    """Return what the owner should know of the whole service."""
    known = service.references.get(route)
    slots = sum(view.slots for view in service.owners.values())
    healthy = sum(
        view.slots
        for view in service.owners.values()
        if not view.is_avoided(now_s)
    )
    return types.RequestHints(
        reference_error_ratio=known.errors.value if known else 0.0,
        healthy_share=healthy / slots if slots else 1.0,
        last_resort=choice.is_last_resort,
        wants_proof=choice.wants_proof,
    )


def hedge_due_s(
    now_s: float, service: state.ServiceView, request: types.IngressRequest
) -> float | None:
    """Return when a lookup without an answer is sent a second time."""
    tuning = service.policy.routing
    if not tuning.hedges or request.kind is not types.RequestKind.LOOKUP:
        return None
    known_ms = reference_ms(service, request.route)
    if known_ms is None:
        if request.objective_s is not None:
            return now_s + _UNKNOWN_HEDGE_SHARE * request.objective_s
        return now_s + _UNKNOWN_HEDGE_S
    delay_s = tuning.hedge_factor * known_ms / 1000.0
    return now_s + max(tuning.min_hedge_s, delay_s)


def note_answer(
    service: state.ServiceView,
    route: str,
    load: types.OwnerLoad | None,
    failed: bool,
) -> None:
    """Take in an answer of any owner for the route's reference."""
    known = service.references.get(route)
    if known is None:
        if len(service.references) >= _MAX_ROUTES:
            return
        known = service.references[route] = state.RouteReference()
    known.errors.add(failed)
    if load is not None and load.latency_ms is not None and not failed:
        known.median.add(load.latency_ms)


def note_refusal(
    now_s: float,
    service: state.ServiceView,
    owner: str,
    outcome: types.AttemptOutcome,
) -> None:
    """Leave an owner alone for a moment after it refused."""
    view = service.owners.get(owner)
    if view is None:
        return
    match outcome.code:
        case _Code.OVERLOADED | _Code.UPSTREAM_FULL:
            pause_s = _OVERLOADED_PAUSE_S
        case _Code.LEAVING | _Code.NO_UPSTREAM:
            pause_s = _LEAVING_PAUSE_S
        case _Code.REPEATS_SPENT:
            # It says nothing of the owner's room for first attempts.
            return
        case _Code.UNPROVEN:
            view.unproven_until_s = now_s + _UNPROVEN_PAUSE_S
            return
        case _Code.UPSTREAM_FAILED | _Code.STEERED_AWAY:
            pause_s = _STEERED_PAUSE_S
        case _:
            return
    view.avoid_until_s = max(view.avoid_until_s, now_s + pause_s)


def patience_s(service: state.ServiceView, route: str) -> float:
    """Return for how long an owner may send nothing at all, seconds."""
    tuning = service.policy.routing
    known_ms = reference_ms(service, route)
    if known_ms is None:
        return max(tuning.silence_s, _UNKNOWN_PATIENCE_S)
    return max(tuning.silence_s, tuning.silence_factor * known_ms / 1000.0)


def _home_rank(owner: str, fingerprint: int) -> int:
    rank = fingerprint & 0xFFFFFFFFFFFFFFFF
    for byte in owner.encode():
        rank = ((rank ^ byte) * 0x100000001B3) & 0xFFFFFFFFFFFFFFFF
    return rank
