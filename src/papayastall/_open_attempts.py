"""Bookkeeping of an ingress's open attempts, per request and per owner."""

from __future__ import annotations

from papayastall import _decision_types as types
from papayastall import _ingress_state as state
from papayastall import _routing
from papayastall import _service_view

__all__ = ["close", "note_heard", "note_superseded", "open_attempt"]


def open_attempt(
    now_s: float,
    service: state.ServiceView,
    pending: state.PendingRequest,
    view: _routing.OwnerView,
) -> state.Attempt:
    """Open the next attempt of a request at an owner."""
    request = pending.request
    owner = view.advert.owner
    attempt = state.Attempt(pending.next_number, owner, now_s)
    pending.next_number += 1
    pending.open[attempt.number] = attempt
    pending.tried.add(owner)
    view.in_flight += 1
    view.outstanding[request.request_id, attempt.number] = (
        _routing.OutstandingAttempt(
            now_s,
            _service_view.silence_limit_s(service, request.route),
            _service_view.expected_ms(now_s, service, request.route),
        )
    )
    return attempt


def close(
    service: state.ServiceView, pending: state.PendingRequest, number: int
) -> None:
    """Close an attempt, if it is open."""
    attempt = pending.open.pop(number, None)
    if attempt is None:
        return
    view = service.owners.get(attempt.owner)
    if view is None:
        return
    key = (pending.request.request_id, number)
    if view.outstanding.pop(key, None) is not None:
        view.in_flight -= 1
        assert view.in_flight >= 0, "more attempts closed than opened"


def note_heard(
    now_s: float,
    service: state.ServiceView,
    pending: state.PendingRequest,
    number: int,
    load: types.OwnerLoad | None,
) -> None:
    """Record the load that an owner sent with its reply to an attempt."""
    if load is not None:
        _service_view.note_load(now_s, service, load)


def note_superseded(
    now_s: float,
    service: state.ServiceView,
    pending: state.PendingRequest,
    number: int,
) -> None:
    """Record that another owner answered before this attempt's owner."""
    view = service.owners.get(pending.open[number].owner)
    if view is None or not service.policy.routing.silent_hedges:
        return
    attempt = view.outstanding.get((pending.request.request_id, number))
    if attempt is not None:
        view.note_superseded(now_s, attempt)
