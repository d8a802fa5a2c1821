"""Models of upstreams and their faults, and sizes of two deployments.

The service time of a request is lognormal around its route's median, with a
Pareto tail. It grows with the upstream's load and during a cold start.
"""

from __future__ import annotations

import dataclasses
import enum
import random

from papayastall import _decision_types as types
from papayastall import documents

__all__ = [
    "PERROS_ATENTOS",
    "SAFE_STEPS",
    "Deployment",
    "Fault",
    "FaultKind",
    "Run",
    "UpstreamModel",
    "mean_service_s",
]

LOOKUP_ROUTES = ("status", "schedule")
BOOKING_ROUTE = "book"
LOOKUP_SHARE = 0.8
"""Share of lookups among the requests of callers."""
MEDIAN_SERVICE_S = {"status": 0.030, "schedule": 0.060, "book": 0.120}
"""Median time of a request on an idle upstream, by route."""
LOGNORMAL_SIGMA = 0.7
TAIL_SHARE = 0.02
"""Share of requests whose time is drawn from the tail."""
TAIL_FACTOR = 5.0
"""Start of the tail, as a multiple of the median."""
TAIL_EXPONENT = 1.5
MAX_SERVICE_S = 4.0
COLD_START_S = 8.0
COLD_START_FACTOR = 6.0
"""Slowdown at the start; it falls linearly to 1."""
FAST_FAILURE_S = 0.002
PAUSE_INTERVAL_S = 300.0
"""Mean time between two pauses of an upstream."""
PAUSE_MEAN_S = 0.15
MAX_PAUSE_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """Sizes and network delays of one deployment.

    :param services: number of upstreams by service.
    :param slots: requests that an upstream runs at a time.
    :param domain_s: one-way delay between failure domains, in seconds.
    :param priority: preset of the health thresholds.
    """

    name: str
    services: dict[str, int]
    slots: int
    domain_s: float
    caller_s: float
    priority: documents.HealthPriority
    target_s: float

    def nodes(self) -> int:
        """Return the number of nodes over all services."""
        return sum(self.services.values())


SAFE_STEPS = Deployment(
    "Safe Steps",
    {"intake": 6, "supplies": 6, "visits": 9},
    7,
    0.0005,
    0.008,
    documents.HealthPriority.DETECTION,
    1.0,
)
PERROS_ATENTOS = Deployment(
    "Perros Atentos",
    {"schedule": 6, "seat-booking": 12, "records-and-cancellations": 12},
    3,
    0.0015,
    0.003,
    documents.HealthPriority.CAPACITY,
    3.0,
)


class FaultKind(enum.Enum):
    """How an upstream, its owner or the network between them fails.

    The values are printed in tables.
    """

    STALL = "stall"
    SLOW = "slow x5"
    ERRORS = "30% errors"
    FAST_ERRORS = "all errors, fast"
    BOOKING_ERRORS = "bookings fail"
    ROUTE_STALL = "one route stalls"
    FLAP = "flapping stall"
    STALL_ANNOUNCED_IDLE = "stall, says idle"
    ONE_WAY = "answers cut"
    OWNER_PAUSED = "owner frozen"
    CRASH = "crash"


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """A fault of one upstream, or of its owner, for a time.

    :param upstream: index of the upstream.
    :param flap_period_s: period of ``FLAP``, which stalls in each first half.
    """

    kind: FaultKind
    upstream: int
    start_s: float
    end_s: float = 1e9
    flap_period_s: float = 8.0

    def is_active(self, now_s: float) -> bool:
        """Return whether the fault has an effect now."""
        if not self.start_s <= now_s < self.end_s:
            return False
        if self.kind is FaultKind.FLAP:
            phase = (now_s - self.start_s) % self.flap_period_s
            return phase < self.flap_period_s / 2
        return True


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """How long a request runs and how it ends.

    :param duration_s: ``None`` if the upstream never answers.
    """

    duration_s: float | None
    outcome: types.Outcome


def _draw_service_s(route: str, rng: random.Random) -> float:
    median_s = MEDIAN_SERVICE_S[route]
    if rng.random() < TAIL_SHARE:
        tail = rng.paretovariate(TAIL_EXPONENT)
        return min(MAX_SERVICE_S, median_s * TAIL_FACTOR * tail)
    return median_s * rng.lognormvariate(0.0, LOGNORMAL_SIGMA)


def draw_route(rng: random.Random) -> str:
    """Draw the route of a caller's request."""
    if rng.random() < LOOKUP_SHARE:
        return rng.choice(LOOKUP_ROUTES)
    return BOOKING_ROUTE


def mean_service_s() -> float:
    """Return the mean time of a request on a full upstream, in seconds."""
    rng = random.Random(7)
    count = 20_000
    total_s = sum(_draw_service_s(draw_route(rng), rng) for _ in range(count))
    return 1.5 * total_s / count


class UpstreamModel:
    """One upstream; draws how long its requests take and how they end.

    :param started_s: when it started; it is slower during its cold start.
    """

    def __init__(self, index: int, slots: int, started_s: float) -> None:
        self.index = index
        self.slots = slots
        self.started_s = started_s
        self.busy = 0
        self.faults: list[Fault] = []
        self.paused_until_s = 0.0

    def run(self, now_s: float, route: str, rng: random.Random) -> Run:
        """Return the duration and outcome of a request that starts now."""
        assert self.busy < self.slots, "more requests than slots"
        duration_s = _draw_service_s(route, rng)
        duration_s *= 1.0 + 0.5 * self.busy / self.slots
        duration_s += max(0.0, self.paused_until_s - now_s)
        age_s = now_s - self.started_s
        if age_s < COLD_START_S:
            duration_s *= 1.0 + (COLD_START_FACTOR - 1.0) * (
                1.0 - age_s / COLD_START_S
            )
        for fault in self.faults:
            if fault.is_active(now_s):
                run = self._apply_fault(fault, route, duration_s, rng)
                if run is not None:
                    return run
        return Run(duration_s, types.Outcome.ANSWERED)

    def _apply_fault(
        self,
        fault: Fault,
        route: str,
        duration_s: float,
        rng: random.Random,
    ) -> Run | None:
        stalled = Run(None, types.Outcome.TIMED_OUT)
        match fault.kind:
            case (
                FaultKind.STALL
                | FaultKind.STALL_ANNOUNCED_IDLE
                | FaultKind.FLAP
            ):
                return stalled
            case FaultKind.ONE_WAY:
                return stalled
            case FaultKind.SLOW:
                return Run(5.0 * duration_s, types.Outcome.ANSWERED)
            case FaultKind.ERRORS if rng.random() < 0.3:
                return Run(duration_s / 4, types.Outcome.FAILED)
            case FaultKind.FAST_ERRORS:
                return Run(FAST_FAILURE_S, types.Outcome.FAILED)
            case FaultKind.BOOKING_ERRORS if route == BOOKING_ROUTE:
                return Run(duration_s / 4, types.Outcome.FAILED)
            case FaultKind.ROUTE_STALL if route == LOOKUP_ROUTES[0]:
                return stalled
            case FaultKind.CRASH:
                return Run(0.001, types.Outcome.CONNECT_FAILED)
        return None
