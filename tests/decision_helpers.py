"""Builders of the controllers' events for tests."""

from __future__ import annotations

import random

from papayastall import _decision_types as types
from papayastall import _ingress_controller
from papayastall import _owner_controller
from papayastall import _service_policy
from papayastall import documents

SERVICE = "visits"
OWNER = "10.0.0.1:7000"
UPSTREAM = "10.0.0.1:8000"
LOOKUP = types.RequestKind.LOOKUP
BOOKING = types.RequestKind.NON_IDEMPOTENT
DETECTION = _service_policy.ServicePolicy(
    floor_slots=4,
    health_priority=documents.HealthPriority.DETECTION,
)


def announcement(
    upstream: str = UPSTREAM,
    slots: int = 3,
    state: types.UpstreamState = types.UpstreamState.READY,
    lease_s: float = 1e6,
) -> types.UpstreamAnnouncement:
    """Return an announcement of an upstream of the test service."""
    return types.UpstreamAnnouncement(
        upstream, SERVICE, slots, 390, 0.0, state, lease_s
    )


def owner_request(
    request_id: int,
    kind: types.RequestKind = LOOKUP,
    deadline_s: float = 1e6,
    reference_ms: float | None = 50.0,
    fingerprint: int | None = None,
    team: str = "desk",
    route: str | None = None,
    hints: types.RequestHints | None = None,
) -> types.OwnerRequest:
    """Return a request as an ingress sends it to an owner."""
    return types.OwnerRequest(
        request_id,
        SERVICE,
        route or kind.value,
        team,
        kind,
        deadline_s,
        reference_ms,
        request_id if fingerprint is None else fingerprint,
        hints or types.RequestHints(),
    )


def ingress_request(
    request_id: int,
    kind: types.RequestKind = LOOKUP,
    deadline_s: float = 1e6,
    fingerprint: int | None = None,
) -> types.IngressRequest:
    """Return a caller's request."""
    return types.IngressRequest(
        request_id,
        SERVICE,
        kind.value,
        "desk",
        kind,
        deadline_s,
        request_id if fingerprint is None else fingerprint,
    )


def owner(
    policy: _service_policy.ServicePolicy = DETECTION,
    upstreams: int = 1,
    slots: int = 3,
) -> _owner_controller.OwnerController:
    """Return an owner with announced upstreams that are past cold start."""
    controller = _owner_controller.OwnerController(
        OWNER, "domain-1", random.Random(1)
    )
    controller.configure(SERVICE, policy)
    for number in range(upstreams):
        name = f"10.0.0.{number + 1}:8000"
        controller.announce(-100.0, announcement(name, slots))
    controller.tick(0.0)
    return controller


def ingress(
    owners: int = 3,
    policy: _service_policy.ServicePolicy = DETECTION,
    slots: int = 3,
) -> _ingress_controller.IngressController:
    """Return an ingress that knows some owners."""
    controller = _ingress_controller.IngressController(
        "10.0.0.9:7000", random.Random(1)
    )
    controller.configure(SERVICE, policy)
    for number in range(owners):
        name = f"10.0.0.{number + 1}:7000"
        controller.set_owner(
            0.0, types.OwnerAdvert(name, SERVICE, "domain-1", slots)
        )
    return controller


def load(
    name: str = OWNER, weight: float = 3.0, in_flight: int = 0
) -> types.OwnerLoad:
    """Return the load of an owner with three slots."""
    return types.OwnerLoad(name, SERVICE, 3, weight, in_flight, 0, 50.0)
