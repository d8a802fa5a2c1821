"""Views of an owner's state: load for ingresses, adverts, operator views."""

from __future__ import annotations

import collections.abc as cabc
import math

from papayastall import _decision_types as types
from papayastall import _ejection
from papayastall import _leaving
from papayastall import _owner_evidence
from papayastall import _owner_state as state
from papayastall import _owner_work
from papayastall import _upstream_notices

__all__ = ["make_adverts", "make_load", "make_view"]


def make_load(
    now_s: float,
    owner: str,
    service: state.ServiceState,
    upstreams: cabc.Sequence[state.Upstream],
    name: str,
    route: str | None,
) -> types.OwnerLoad:
    """Return the load of an owner for one service.

    An upstream with a limit counts with the slots that the limit allows.

    :param name: name of the service.
    :param route: route of the answer that carries the load, if any.
    """
    tuning = service.policy.thresholds()
    present = [up for up in upstreams if not _leaving.is_leaving(up)]
    effective = {
        up.name: up.effective_slots(service.mean_busy_s) for up in present
    }
    median = service.medians.get(route) if route is not None else None
    return types.OwnerLoad(
        owner=owner,
        service=name,
        slots=sum(math.ceil(slots) for slots in effective.values()),
        weight=sum(
            effective[up.name] * _ejection.weight(up, now_s, tuning)
            for up in present
        ),
        in_flight=sum(
            min(up.slots, up.slots - up.free_slots(now_s)) for up in upstreams
        ),
        queued=len(service.queue),
        latency_ms=_owner_evidence.median_ms(median),
        notices=_list_notices(upstreams),
        work_s=(
            _owner_work.work_s(now_s, service, upstreams)
            if service.policy.is_varied
            else None
        ),
        gray_odds=_gray_odds(now_s, service, present),
        repeats_left=_repeats_left(now_s, service),
    )


def _gray_odds(
    now_s: float,
    service: state.ServiceState,
    present: cabc.Iterable[state.Upstream],
) -> float | None:
    if service.policy.proof_tuning() is None:
        return None
    scores = [up.evidence.score(now_s, 0.0) for up in present]
    return min(scores, default=None)


def _repeats_left(now_s: float, service: state.ServiceState) -> float | None:
    budget = service.retry_budget
    if budget is None or service.policy.proof_tuning() is None:
        return None
    return budget.left(now_s)


def _list_notices(
    upstreams: cabc.Iterable[state.Upstream],
) -> tuple[types.UpstreamNotice, ...]:
    notices = map(_upstream_notices.make_notice, upstreams)
    return tuple(notice for notice in notices if notice is not None)


def make_adverts(
    owner: str, failure_domain: str, upstreams: cabc.Iterable[state.Upstream]
) -> list[types.OwnerAdvert]:
    """Return one advert for each service that has upstreams not leaving."""
    slots: dict[str, int] = {}
    for upstream in upstreams:
        if not _leaving.is_leaving(upstream):
            known = slots.get(upstream.service, 0)
            slots[upstream.service] = known + upstream.slots
    return [
        types.OwnerAdvert(owner, service, failure_domain, count)
        for service, count in sorted(slots.items())
    ]


def make_view(
    now_s: float, service: state.ServiceState, upstream: state.Upstream
) -> state.UpstreamView:
    """Return the view of an upstream that operators get."""
    tuning = service.policy.thresholds()
    is_excluded = _ejection.is_excluded(upstream)
    limit = upstream.rate_limit
    return state.UpstreamView(
        upstream=upstream.name,
        service=upstream.service,
        slots=upstream.slots,
        in_flight=len(upstream.running),
        weight=_ejection.weight(upstream, now_s, tuning),
        score=upstream.evidence.score(now_s, 0.0),
        state=upstream.state,
        standing=upstream.standing,
        excluded_until_s=upstream.excluded_until_s if is_excluded else None,
        leaving=upstream.leaving_since_s is not None,
        is_doubted=upstream.is_doubted,
        limit_per_s=None if limit is None else limit.limit_per_s,
    )
