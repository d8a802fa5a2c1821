"""Stand-ins for upstreams, their faults, and the two users' deployments."""

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
MEDIAN_S = {"status": 0.030, "schedule": 0.060, "book": 0.120}
LOGNORMAL_SIGMA = 0.7
TAIL_SHARE = 0.02
TAIL_FACTOR = 5.0
TAIL_EXPONENT = 1.5
MAX_SERVICE_S = 4.0
COLD_S = 8.0
COLD_FACTOR = 6.0
FAST_FAILURE_S = 0.002
PAUSE_INTERVAL_S = 300.0
PAUSE_MEAN_S = 0.15
MAX_PAUSE_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """Sizes and distances of one user, from the brief."""

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
    """How an upstream, or the way to it, fails."""

    STALL = "stall"
    SLOW = "slow x5"
    ERRORS = "30% errors"
    FAST_ERRORS = "all errors, fast"
    KIND_ERRORS = "bookings fail"
    KIND_STALL = "one route stalls"
    FLAP = "flapping stall"
    LYING = "stall, says idle"
    ONE_WAY = "answers cut"
    OWNER_FROZEN = "owner frozen"
    CRASH = "crash"


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """A fault of one upstream (or its owner) for a time."""

    kind: FaultKind
    upstream: int
    start_s: float
    end_s: float = 1e9
    flap_period_s: float = 8.0

    def is_on(self, now_s: float) -> bool:
        """Return whether the fault is in force."""
        if not self.start_s <= now_s < self.end_s:
            return False
        if self.kind is FaultKind.FLAP:
            phase = (now_s - self.start_s) % self.flap_period_s
            return phase < self.flap_period_s / 2
        return True


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """How long a request runs and how it ends; no end is a stall."""

    duration_s: float | None
    outcome: types.Outcome


def _healthy_s(route: str, rng: random.Random) -> float:
    median_s = MEDIAN_S[route]
    if rng.random() < TAIL_SHARE:
        tail = rng.paretovariate(TAIL_EXPONENT)
        return min(MAX_SERVICE_S, median_s * TAIL_FACTOR * tail)
    return median_s * rng.lognormvariate(0.0, LOGNORMAL_SIGMA)


def draw_route(rng: random.Random) -> str:
    """Return the route of a caller's request."""
    if rng.random() < LOOKUP_SHARE:
        return rng.choice(LOOKUP_ROUTES)
    return BOOKING_ROUTE


def mean_service_s() -> float:
    """Return the mean time of a request on a busy upstream, seconds."""
    rng = random.Random(7)
    count = 20_000
    total_s = sum(_healthy_s(draw_route(rng), rng) for _ in range(count))
    return 1.5 * total_s / count


class UpstreamModel:
    """One upstream: draws how long its requests take."""

    def __init__(self, index: int, slots: int, started_s: float) -> None:
        self.index = index
        self.slots = slots
        self.started_s = started_s
        self.busy = 0
        self.faults: list[Fault] = []
        self.paused_until_s = 0.0

    def run(self, now_s: float, route: str, rng: random.Random) -> Run:
        """Return how a request that arrives now will go."""
        assert self.busy < self.slots, "more requests than slots"
        duration_s = _healthy_s(route, rng)
        duration_s *= 1.0 + 0.5 * self.busy / self.slots
        duration_s += max(0.0, self.paused_until_s - now_s)
        age_s = now_s - self.started_s
        if age_s < COLD_S:
            duration_s *= 1.0 + (COLD_FACTOR - 1.0) * (1.0 - age_s / COLD_S)
        for fault in self.faults:
            if fault.is_on(now_s):
                run = self._faulty(fault, route, duration_s, rng)
                if run is not None:
                    return run
        return Run(duration_s, types.Outcome.ANSWERED)

    def _faulty(
        self,
        fault: Fault,
        route: str,
        duration_s: float,
        rng: random.Random,
    ) -> Run | None:
        stalled = Run(None, types.Outcome.TIMED_OUT)
        match fault.kind:
            case FaultKind.STALL | FaultKind.LYING | FaultKind.FLAP:
                return stalled
            case FaultKind.ONE_WAY:
                return stalled
            case FaultKind.SLOW:
                return Run(5.0 * duration_s, types.Outcome.ANSWERED)
            case FaultKind.ERRORS if rng.random() < 0.3:
                return Run(duration_s / 4, types.Outcome.FAILED)
            case FaultKind.FAST_ERRORS:
                return Run(FAST_FAILURE_S, types.Outcome.FAILED)
            case FaultKind.KIND_ERRORS if route == BOOKING_ROUTE:
                return Run(duration_s / 4, types.Outcome.FAILED)
            case FaultKind.KIND_STALL if route == LOOKUP_ROUTES[0]:
                return stalled
            case FaultKind.CRASH:
                return Run(0.001, types.Outcome.CONNECT_FAILED)
        return None
