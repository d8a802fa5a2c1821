"""A service's ingress and owner controllers on virtual time, for tests.

Upstreams stall for set periods: they leave a share of the requests that they
get unanswered, and answer the others within the usual time.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random
import typing as t

import msgspec.structs

from papayastall import _decision_types as types
from papayastall import _ingress_controller
from papayastall import _owner_controller
from papayastall import _retry
from papayastall import _service_policy
from papayastall import exceptions
from tests import decision_helpers as helpers

OWNER_RETRY_LIMITS = _retry.BudgetLimits(
    ratio=0.2, burst=5.0, refill_per_s=0.5
)
POLICY = _service_policy.for_table("domain-1", OWNER_RETRY_LIMITS)
SLOTS = 15
HANG_SHARE = 0.75
RUN_TIME_LOG_STD = 0.5
NETWORK_S = 0.001
TICK_INTERVAL_S = 0.05
IDLE_TICK_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One kind of request.

    :param share: part of all requests, 0 to 1.
    :param median_s: median run time.
    """

    name: str
    kind: types.RequestKind
    share: float
    median_s: float
    deadline_s: float
    objective_s: float
    max_attempts: int


ROUTES = (
    Route("stock", types.RequestKind.LOOKUP, 0.6, 0.32, 4.0, 1.2, 2),
    Route("schedule", types.RequestKind.LOOKUP, 0.25, 3.2, 15.0, 10.0, 2),
    Route("order", types.RequestKind.NON_IDEMPOTENT, 0.15, 1.0, 4.0, 3.0, 1),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Stall:
    """A period in which an upstream leaves requests unanswered."""

    upstream: int
    start_s: float
    end_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """A request that was handed to an upstream.

    :param is_lost: the upstream leaves it unanswered.
    """

    at_s: float
    upstream: int
    kind: types.RequestKind
    is_lost: bool


class DecisionFleet:
    """Ingresses and owners, each owner with one upstream.

    :param requests_per_s: of callers, at all ingresses together.
    """

    def __init__(
        self,
        upstreams: int,
        ingresses: int,
        requests_per_s: float,
        stalls: t.Sequence[Stall],
        seed: int,
    ) -> None:
        self.handovers: list[Handover] = []
        self.refusals: list[tuple[float, exceptions.ErrorCode]] = []
        self.answered = 0
        self.begun = 0
        self._requests_per_s = requests_per_s
        self._stalls = stalls
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._order = itertools.count()
        self._ids = itertools.count(1)
        self._events: list[tuple[float, int, t.Callable[[], None]]] = []
        self._routes: dict[int, Route] = {}
        self._requests: dict[int, types.IngressRequest] = {}
        self._attempts: dict[
            int, tuple[int, int, int, types.OwnerRequest]
        ] = {}
        self._numbers: dict[tuple[int, int], int] = {}
        self._running: set[tuple[int, int]] = set()
        self.owners = [self._make_owner(index) for index in range(upstreams)]
        self.ingresses = [
            self._make_ingress(upstreams) for _ in range(ingresses)
        ]

    def run(self, until_s: float) -> None:
        """Advance the virtual time to ``until_s``."""
        self._arrive()
        for index in range(len(self.owners)):
            self._tick_owner(index)
        for index in range(len(self.ingresses)):
            self._tick_ingress(index)
        while self._events and self._events[0][0] <= until_s:
            self._now_s, _, step = heapq.heappop(self._events)
            step()

    def is_stalled(self, upstream: int, at_s: float) -> bool:
        """Return whether an upstream stalls at this time."""
        return any(
            stall.upstream == upstream and stall.start_s <= at_s < stall.end_s
            for stall in self._stalls
        )

    def upstreams_served(self, start_s: float, end_s: float) -> set[int]:
        """Return the upstreams that got a request in this period."""
        return {
            handover.upstream
            for handover in self.handovers
            if start_s <= handover.at_s < end_s
        }

    def takes_all_work(self, upstream: int) -> bool:
        """Return whether an upstream now gets more than trial lookups."""
        return self.owners[upstream].is_trusted(_upstream_name(upstream))

    def lost(self, kind: types.RequestKind) -> int:
        """Return how many requests of a kind were left unanswered."""
        return sum(
            handover.is_lost and handover.kind is kind
            for handover in self.handovers
        )

    def _make_owner(self, index: int) -> _owner_controller.OwnerController:
        owner = _owner_controller.OwnerController(
            _owner_name(index),
            "domain-1",
            random.Random(self._rng.random()),
        )
        owner.configure(helpers.SERVICE, POLICY)
        owner.announce(
            -100.0, helpers.announcement(_upstream_name(index), SLOTS)
        )
        return owner

    def _make_ingress(
        self, upstreams: int
    ) -> _ingress_controller.IngressController:
        ingress = _ingress_controller.IngressController(
            "10.0.0.9:7000", random.Random(self._rng.random())
        )
        ingress.configure(helpers.SERVICE, POLICY)
        for index in range(upstreams):
            ingress.set_owner(
                0.0,
                types.OwnerAdvert(
                    _owner_name(index), helpers.SERVICE, "domain-1", SLOTS
                ),
            )
        return ingress

    def _schedule(self, delay_s: float, step: t.Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (self._now_s + delay_s, next(self._order), step)
        )

    def _arrive(self) -> None:
        delay_s = self._rng.expovariate(self._requests_per_s)
        self._schedule(delay_s, self._arrive)
        route = self._rng.choices(ROUTES, [route.share for route in ROUTES])[0]
        index = self._rng.randrange(len(self.ingresses))
        number = next(self._ids)
        request = msgspec.structs.replace(
            helpers.ingress_request(
                number, route.kind, self._now_s + route.deadline_s
            ),
            route=route.name,
            max_attempts=route.max_attempts,
            objective_s=route.objective_s,
        )
        self._routes[number] = route
        self._requests[number] = request
        self.begun += 1
        self._perform_ingress(
            index, self.ingresses[index].begin(self._now_s, request)
        )

    def _tick_ingress(self, index: int) -> None:
        ingress = self.ingresses[index]
        self._perform_ingress(index, ingress.tick(self._now_s))
        is_busy = ingress.has_work()
        self._schedule(
            TICK_INTERVAL_S if is_busy else IDLE_TICK_INTERVAL_S,
            lambda: self._tick_ingress(index),
        )

    def _tick_owner(self, index: int) -> None:
        owner = self.owners[index]
        self._perform_owner(index, owner.tick(self._now_s))
        is_busy = owner.has_work()
        self._schedule(
            TICK_INTERVAL_S if is_busy else IDLE_TICK_INTERVAL_S,
            lambda: self._tick_owner(index),
        )

    def _perform_ingress(
        self, index: int, actions: t.Iterable[types.IngressAction]
    ) -> None:
        for action in actions:
            match action:
                case types.ForwardAttempt():
                    self._send_attempt(index, action)
                case types.CancelAttempt(request_id, attempt):
                    number = self._numbers.pop((request_id, attempt), None)
                    if number is not None:
                        self._schedule(NETWORK_S, self._make_cancel(number))
                case types.AnswerChosen():
                    self.answered += 1
                case types.RefuseRequest():
                    self.refusals.append((self._now_s, action.code))

    def _send_attempt(self, index: int, action: types.ForwardAttempt) -> None:
        request = self._requests[action.request_id]
        number = next(self._ids)
        owner = int(action.owner.split(":")[0].rsplit(".", 1)[1])
        assert request.objective_s is not None
        begun_s = (
            request.deadline_s - self._routes[action.request_id].deadline_s
        )
        owner_request = types.OwnerRequest(
            number,
            helpers.SERVICE,
            request.route,
            request.team,
            request.kind,
            request.deadline_s,
            action.reference_ms,
            request.fingerprint,
            action.hints,
            objective_s=begun_s + request.objective_s - self._now_s,
            is_repeat=action.is_repeat,
        )
        self._attempts[number] = (
            index,
            action.request_id,
            action.attempt,
            owner_request,
        )
        self._numbers[action.request_id, action.attempt] = number

        def receive() -> None:
            if number in self._attempts:
                self._perform_owner(
                    owner,
                    self.owners[owner].submit(self._now_s, owner_request),
                )

        self._schedule(NETWORK_S, receive)

    def _make_cancel(self, number: int) -> t.Callable[[], None]:
        def cancel() -> None:
            if self._attempts.pop(number, None) is None:
                return
            for index, owner in enumerate(self.owners):
                if (index, number) in self._running:
                    self._finish(index, number, types.Outcome.CANCELLED)
                else:
                    owner.cancel(self._now_s, number)

        return cancel

    def _perform_owner(
        self, index: int, actions: t.Iterable[types.OwnerAction]
    ) -> None:
        for action in actions:
            match action:
                case types.Dispatch(number, _):
                    self._dispatch(index, number)
                case types.RefuseRequest(number, code, ran):
                    kind = types.AttemptResult.UNKNOWN
                    if ran is exceptions.RanState.NO:
                        kind = types.AttemptResult.NOT_RUN
                    self._answer(
                        index, number, kind, None, code, action.retry_after_s
                    )

    def _dispatch(self, index: int, number: int) -> None:
        _, request_id, _, request = self._attempts[number]
        route = self._routes[request_id]
        is_lost = (
            self.is_stalled(index, self._now_s)
            and self._rng.random() < HANG_SHARE
        )
        self.handovers.append(
            Handover(self._now_s, index, route.kind, is_lost)
        )
        self._running.add((index, number))
        run_s = route.median_s * math.exp(
            self._rng.gauss(0.0, RUN_TIME_LOG_STD)
        )
        left_s = request.deadline_s - self._now_s
        outcome = types.Outcome.ANSWERED
        if is_lost or run_s > left_s:
            run_s, outcome = left_s, types.Outcome.TIMED_OUT
        self._schedule(run_s, lambda: self._finish(index, number, outcome))

    def _finish(self, index: int, number: int, outcome: types.Outcome) -> None:
        if (index, number) not in self._running:
            return
        self._running.remove((index, number))
        actions = self.owners[index].finished(self._now_s, number, outcome)
        if outcome is types.Outcome.ANSWERED:
            self._answer(
                index, number, types.AttemptResult.ANSWERED, 200, None, None
            )
        self._perform_owner(index, actions)

    def _answer(
        self,
        index: int,
        number: int,
        result: types.AttemptResult,
        status: int | None,
        code: exceptions.ErrorCode | None,
        retry_after_s: float | None,
    ) -> None:
        attempt = self._attempts.pop(number, None)
        if attempt is None:
            return
        ingress, request_id, attempt_number, request = attempt
        load = self.owners[index].load(
            self._now_s, helpers.SERVICE, request.route
        )
        outcome = types.AttemptOutcome(
            request_id,
            attempt_number,
            result,
            status,
            code,
            retry_after_s,
            load,
        )

        def receive() -> None:
            self._numbers.pop((request_id, attempt_number), None)
            self._perform_ingress(
                ingress,
                self.ingresses[ingress].attempt_ended(self._now_s, outcome),
            )

        self._schedule(NETWORK_S, receive)


def _owner_name(index: int) -> str:
    return f"10.0.0.{index}:7000"


def _upstream_name(index: int) -> str:
    return f"10.0.0.{index}:8000"
