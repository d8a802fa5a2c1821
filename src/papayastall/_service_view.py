"""Conclusions of an ingress about one service from the answers it saw."""

from __future__ import annotations

import collections.abc as cabc
import random

import msgspec

from papayastall import _decision_types as types
from papayastall import _gray_filter
from papayastall import _ingress_state as state
from papayastall import _routing
from papayastall import exceptions
from papayastall import proof
from papayastall import work

__all__ = [
    "OwnerChoice",
    "choose",
    "count_proved",
    "expected_ms",
    "has_room",
    "hedge_due_s",
    "hints",
    "is_likely_stuck",
    "is_owner_avoided",
    "list_notices",
    "note_answer",
    "note_load",
    "note_refusal",
    "note_run",
    "silence_limit_s",
    "reference_ms",
]

_Code = exceptions.ErrorCode
_MIN_REFERENCE_SAMPLES = 3
_MAX_REFERENCE_ROUTES = 64
_OVERLOADED_AVOID_S = 0.05
_STEERED_AVOID_S = 0.2
_LEAVING_AVOID_S = 2.0
_UNPROVEN_AVOID_S = 0.3
"""Within this time an upstream may be shown to be healthy by short requests,
of which it gets some each second."""
_MAX_UNPROVEN_REFUSALS = 2
"""Refusals for lack of proof after which proof is no longer required; a third
one would cost more time and bytes than the better choice saves."""
_DEFAULT_HEDGE_DELAY_S = 0.5
_DEFAULT_HEDGE_OBJECTIVE_SHARE = 0.25
"""Share of the objective after which a lookup is hedged on a route without a
known median: a hedge that takes up to half of the objective still ends in
time, even if it has to be moved to another owner."""
_DEFAULT_SILENCE_LIMIT_S = 2.0
_NOTICE_RETENTION_S = 600.0
_MOVED_NOTICE_RETENTION_S = 15.0
"""An upstream that loses its owner announces itself elsewhere within a few
seconds."""
_MAX_SLOWNESS = 4.0
"""More than this is no lasting speed but a fault, which steering handles."""
_SLOWNESS_SMOOTHING = 0.2
_MAX_NOTICES = 1024
"""More upstreams than a service has; bounds what a faulty owner can cause."""


class OwnerChoice(msgspec.Struct, frozen=True):
    """Owner for the next attempt."""

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

    :param is_suspect: an upstream was lost with this request; every ingress
        sends it to the same owner, so that it runs alone.
    """
    policy = service.policy
    tuning = policy.routing
    untried = _candidates(service, pending)
    usable = [view for view in untried if not view.is_avoided(now_s)]
    if is_suspect and usable:
        chosen = max(
            usable,
            key=lambda view: _rendezvous_weight(
                view.advert.owner, pending.request.fingerprint
            ),
        )
        return OwnerChoice(chosen, False)
    if pending.request.kind is types.RequestKind.LOOKUP and (
        not pending.tried
    ):
        trial_owners = [
            view
            for view in untried
            if view.is_silent(now_s) or view.is_steered(now_s)
        ]
        if trial_owners and rng.random() < tuning.trial_ratio:
            return OwnerChoice(rng.choice(trial_owners), False)
    wants_proof = _wants_proof(pending)
    if wants_proof:
        proven = [view for view in usable if view.unproven_until_s <= now_s]
        usable = proven or usable
    preferred = _prefer(now_s, service, pending, usable)
    view = _choose_owner(now_s, service, pending, preferred, rng)
    if view is not None:
        return OwnerChoice(view, False, wants_proof)
    reachable = [view for view in untried if not view.is_link_down]
    view = _choose_owner(now_s, service, pending, reachable or untried, rng)
    return OwnerChoice(view, True) if view is not None else None


def _choose_owner(
    now_s: float,
    service: state.ServiceView,
    pending: state.PendingRequest,
    views: cabc.Sequence[_routing.OwnerView],
    rng: random.Random,
) -> _routing.OwnerView | None:
    """Choose by expected time, or by load while run times are unknown."""
    policy = service.policy
    run_ms = expected_ms(now_s, service, pending.request.route)
    mean_ms = service.estimator.mean_ms(now_s)
    if run_ms is None or mean_ms is None:
        return _routing.choose_owner(
            now_s, views, policy.failure_domain, policy.routing, rng
        )
    return work.choose_owner(
        now_s,
        views,
        run_ms,
        mean_ms,
        policy.failure_domain,
        policy.routing,
        rng,
    )


def _prefer(
    now_s: float,
    service: state.ServiceView,
    pending: state.PendingRequest,
    usable: cabc.Sequence[_routing.OwnerView],
) -> cabc.Sequence[_routing.OwnerView]:
    """Return the owners among which the next attempt's owner is chosen."""
    tuning = service.policy.proof_tuning()
    if tuning is None:
        return usable
    if pending.sent > 0 and tuning.checks_budget:
        limits = service.policy.owner_retry_budget
        usable = [
            view for view in usable if view.report.may_repeat(now_s, limits)
        ] or usable
    is_fragile = _is_fragile(service, pending, tuning)
    if not (tuning.prefers_likely if is_fragile else tuning.spreads_lookups):
        return usable
    prefer = proof.prefer_likely if is_fragile else proof.prefer_unproved
    model = _gray_model(service)
    decay_s = service.policy.routing.load_decay_s
    return prefer(
        usable,
        lambda view: view.report.gray_share(now_s, model),
        lambda view: not _routing.is_full(view, now_s, decay_s),
        tuning,
    )


def count_proved(now_s: float, service: state.ServiceView) -> int | None:
    """Return how many owners reported recent proof, ``None`` if not used."""
    tuning = service.policy.proof_tuning()
    if tuning is None:
        return None
    model = _gray_model(service)
    return sum(
        view.report.gray_share(now_s, model) <= tuning.low_gray_share
        for view in service.owners.values()
    )


def _gray_model(service: state.ServiceView) -> _gray_filter.GrayModel:
    model = service.policy.thresholds().evidence
    if isinstance(model, _gray_filter.GrayModel):
        return model
    return _gray_filter.GrayModel()


def _is_fragile(
    service: state.ServiceView,
    pending: state.PendingRequest,
    tuning: proof.ProofTuning,
) -> bool:
    """Return whether a lost attempt costs more than that of a lookup.

    Most short lookups are calls, whose loss fails the run that sent them.
    """
    if pending.request.kind is types.RequestKind.NON_IDEMPOTENT:
        return True
    known_ms = reference_ms(service, pending.request.route)
    is_short = known_ms is not None and known_ms <= 1000 * tuning.short_s
    return is_short or pending.sent > 0


def is_likely_stuck(
    now_s: float, service: state.ServiceView, pending: state.PendingRequest
) -> bool:
    """Return whether the open attempt is more likely stuck than long."""
    tuning = service.policy.proof_tuning()
    if tuning is None or not tuning.hedges_by_odds:
        return True
    known_ms = reference_ms(service, pending.request.route)
    if known_ms is None:
        return True
    model = _gray_model(service)
    [attempt] = pending.open.values()
    view = service.owners.get(attempt.owner)
    gray_share = 1.0
    if view is not None and not view.is_avoided(now_s):
        gray_share = view.report.gray_share(now_s, model)
    return proof.is_likely_stuck(
        now_s - attempt.sent_s,
        known_ms / 1000.0,
        pending.request.deadline_s - now_s,
        gray_share,
        model,
        tuning,
    )


def _wants_proof(pending: state.PendingRequest) -> bool:
    """Return whether the request fails if its next attempt is lost."""
    if pending.unproven >= _MAX_UNPROVEN_REFUSALS:
        return False
    if pending.request.kind is types.RequestKind.NON_IDEMPOTENT:
        return True
    return 0 < pending.sent >= pending.request.max_attempts - 1


def _candidates(
    service: state.ServiceView, pending: state.PendingRequest
) -> list[_routing.OwnerView]:
    """Return the owners not tried yet.

    If there are none, return all owners without an open attempt.
    """
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


def is_owner_avoided(
    now_s: float, service: state.ServiceView, pending: state.PendingRequest
) -> bool:
    """Return whether an owner with an open attempt is now avoided."""
    owners = [
        service.owners.get(attempt.owner) for attempt in pending.open.values()
    ]
    return any(view is None or view.is_avoided(now_s) for view in owners)


def reference_ms(service: state.ServiceView, route: str) -> float | None:
    """Return the median time of a route over all owners, in milliseconds.

    Returns ``None`` while too few answers are known.
    """
    known = service.references.get(route)
    if known is None or known.median.count < _MIN_REFERENCE_SAMPLES:
        return None
    return known.median.value


def expected_ms(
    now_s: float, service: state.ServiceView, route: str
) -> float | None:
    """Return the expected run time of a request, in milliseconds.

    Returns ``None`` while it is unknown or the service does not use it.
    """
    if not service.policy.is_varied:
        return None
    return service.estimator.expected_ms(now_s, route)


def note_run(
    now_s: float,
    service: state.ServiceView,
    pending: state.PendingRequest,
    outcome: types.AttemptOutcome,
) -> None:
    """Learn the run time of a request that was answered well."""
    if not service.policy.is_varied:
        return
    if outcome.status is not None and outcome.status < 500:
        service.estimator.note_run(
            now_s, pending.request.route, outcome.run_ms
        )


def hints(
    now_s: float,
    service: state.ServiceView,
    route: str,
    choice: OwnerChoice,
) -> types.RequestHints:
    """Return the state of the whole service that is sent to the owner."""
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
    """Return when an unanswered lookup is hedged; ``None`` if never."""
    tuning = service.policy.routing
    if not tuning.hedges or request.kind is not types.RequestKind.LOOKUP:
        return None
    known_ms = reference_ms(service, request.route)
    if known_ms is None:
        if request.objective_s is not None:
            return now_s + _DEFAULT_HEDGE_OBJECTIVE_SHARE * request.objective_s
        return now_s + _DEFAULT_HEDGE_DELAY_S
    limits = service.policy.proof_tuning()
    if limits is not None and limits.hedges_by_odds:
        return now_s + limits.min_hedge_s
    delay_s = tuning.hedge_factor * known_ms / 1000.0
    return now_s + max(tuning.min_hedge_s, delay_s)


def note_answer(
    service: state.ServiceView,
    route: str,
    load: types.OwnerLoad | None,
    failed: bool,
    took_s: float,
) -> None:
    """Add an owner's answer to the reference of the route.

    An owner that has answered only few requests of the route reports no
    median yet. Until then the time of the answer itself counts: without a
    median, lookups are hedged too early.

    :param took_s: time since the attempt was sent.
    """
    known = service.references.get(route)
    if known is None:
        if len(service.references) >= _MAX_REFERENCE_ROUTES:
            return
        known = service.references[route] = state.RouteReference()
    known.errors.add(failed)
    if failed:
        return
    if load is not None and load.latency_ms is not None:
        _note_slowness(service, route, load)
        known.median.add(load.latency_ms)
    elif service.policy.is_varied:
        known.median.add(took_s * 1000.0)


def _note_slowness(
    service: state.ServiceView, route: str, load: types.OwnerLoad
) -> None:
    """Compare an owner's median with that of all owners."""
    view = service.owners.get(load.owner)
    known_ms = reference_ms(service, route)
    if view is None or known_ms is None or not load.latency_ms:
        return
    slowness = load.latency_ms / known_ms
    slowness = min(_MAX_SLOWNESS, max(1.0 / _MAX_SLOWNESS, slowness))
    view.slowness *= (slowness / view.slowness) ** _SLOWNESS_SMOOTHING


def note_load(
    now_s: float, service: state.ServiceView, load: types.OwnerLoad
) -> None:
    """Record an owner's load and the notices of its upstreams."""
    view = service.owners.get(load.owner)
    if view is not None:
        view.note_heard(now_s)
        view.note_load(now_s, load)
    # Loads may be processed out of order, so that one without a notice does
    # not show that an earlier notice no longer holds.
    for notice in load.notices:
        service.notices.pop(notice.upstream, None)
        if notice.limit_per_s is not None or notice.is_leaving:
            service.notices[notice.upstream] = state.HeardNotice(
                notice, load.owner, now_s
            )
    while len(service.notices) > _MAX_NOTICES:
        del service.notices[next(iter(service.notices))]


def list_notices(
    now_s: float, service: state.ServiceView, owner: str
) -> tuple[types.UpstreamNotice, ...]:
    """Return the notices to send to an owner.

    They are those that it passed on, as its process may have been replaced
    since, and recent ones of owners that are gone, as their upstreams may
    have moved to it.
    """
    notices: list[types.UpstreamNotice] = []
    for heard in service.notices.values():
        retention_s = _NOTICE_RETENTION_S
        if heard.owner != owner:
            if heard.owner in service.owners:
                continue
            retention_s = _MOVED_NOTICE_RETENTION_S
        if now_s - heard.heard_s < retention_s:
            notices.append(heard.notice)
    return tuple(notices)


def note_refusal(
    now_s: float,
    service: state.ServiceView,
    owner: str,
    outcome: types.AttemptOutcome,
) -> None:
    """Avoid an owner for a short time after it refused a request."""
    view = service.owners.get(owner)
    if view is None:
        return
    match outcome.code:
        case _Code.OVERLOADED | _Code.UPSTREAM_FULL:
            avoid_s = _OVERLOADED_AVOID_S
        case _Code.LEAVING | _Code.NO_UPSTREAM:
            avoid_s = _LEAVING_AVOID_S
        case _Code.REPEATS_SPENT:
            # This says nothing of the owner's capacity for first attempts.
            return
        case _Code.UNPROVEN:
            view.unproven_until_s = now_s + _UNPROVEN_AVOID_S
            return
        case _Code.UPSTREAM_FAILED | _Code.STEERED_AWAY:
            avoid_s = _STEERED_AVOID_S
        case _:
            return
    view.avoid_until_s = max(view.avoid_until_s, now_s + avoid_s)


def silence_limit_s(service: state.ServiceView, route: str) -> float:
    """Return for how long an owner may send nothing, in seconds."""
    tuning = service.policy.routing
    known_ms = reference_ms(service, route)
    if known_ms is None:
        return max(tuning.silence_s, _DEFAULT_SILENCE_LIMIT_S)
    return max(tuning.silence_s, tuning.silence_factor * known_ms / 1000.0)


def _rendezvous_weight(owner: str, fingerprint: int) -> int:
    """Return a hash by which all ingresses rank owners alike."""
    rank = fingerprint & 0xFFFFFFFFFFFFFFFF
    for byte in owner.encode():
        rank = ((rank ^ byte) * 0x100000001B3) & 0xFFFFFFFFFFFFFFFF
    return rank
