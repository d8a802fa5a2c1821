"""The controllers of a whole deployment on a heap of timed events.

Each VM has an ingress, an upstream and its owner. Distances are fixed, no
process fails, and nothing holds state but the controllers.
"""

from __future__ import annotations

import collections.abc as cabc
import functools
import heapq
import itertools
import math
import random
import typing as t

import msgspec
import msgspec.structs

from bench.experiment import _settings as settings
from bench.experiment import _upstreams
from papayastall import _decision_types as types
from papayastall import _ingress_controller
from papayastall import _owner_controller
from papayastall import _retry
from papayastall import _service_policy
from papayastall import exceptions

__all__ = ["Asked", "Fleet", "Told", "find_capacity_per_s", "find_work_s"]

TICK_S = 0.05
ANNOUNCE_S = 1.0
LEASE_S = 5.0
CONNECTIONS = 390
LOCAL_S = 0.0001
"""One way between two VMs of a failure domain."""
IMPATIENT_S = 0.01
CALL_POINT = 0.5
"""Part of its own work that a run has done when it sends its call."""
START_S = -100.0
"""The upstreams are long known when callers begin."""


T = t.TypeVar("T", bound=msgspec.Struct)


class Told(msgspec.Struct):
    """How one try ended for whoever sent it."""

    status: int
    retry_after_s: float | None = None

    @property
    def served(self) -> bool:
        """Whether there is a useful answer."""
        return self.status == 200


class Asked(msgspec.Struct):
    """One request of a caller over all of its tries."""

    kind: settings.Kind
    begun_s: float
    tries: int = 0
    told: Told | None = None
    ended_s: float = 0.0


class _Pending(msgspec.Struct):
    """A try at its ingress."""

    node: int
    kind: settings.Kind
    request: types.IngressRequest
    begun_s: float
    ended: cabc.Callable[[Told], None]
    status: int = 0

    def objective_left_s(self, now_s: float) -> float | None:
        """Return the time in which an answer has its full worth."""
        if self.request.objective_s is None:
            return None
        return max(0.0, self.begun_s + self.request.objective_s - now_s)


class _Attempt(msgspec.Struct):
    """A try as one owner has it."""

    node: int
    owner: int
    request_id: int
    number: int
    kind: settings.Kind
    request: types.OwnerRequest
    is_running: bool = False


class Fleet:
    """One run of one policy at one load from one seed.

    :ivar asked: requests of callers, in the order of their first try.
    :ivar sent: attempts that ingresses sent to owners.
    :ivar sent_far: those of them that left their failure domain.
    """

    def __init__(
        self,
        experiment: settings.Experiment,
        policy: settings.Policy,
        load: float,
        seed: int,
    ) -> None:
        self.experiment = experiment
        self.asked: list[Asked] = []
        self.sent = 0
        self.sent_far = 0
        self.now_s = 0.0
        self._policy = policy
        self._rng = random.Random(seed)
        # What callers ask for must not depend on what policies draw.
        self._arrivals = random.Random(f"arrivals {seed}")
        self._heap: list[tuple[float, int, cabc.Callable[[], None]]] = []
        self._order = itertools.count()
        self._ids = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._attempts: dict[int, _Attempt] = {}
        self._numbers: dict[tuple[int, int], int] = {}
        self._rate_per_s = load * find_capacity_per_s(experiment)
        self._services = [
            service.name
            for service in experiment.services
            for _ in range(service.upstreams)
        ]
        self._make_nodes()

    def run(self) -> list[Asked]:
        """Run to the end; return what callers asked for and were told."""
        self._announce_all()
        self._tick()
        self._arrive()
        while self._heap and self._heap[0][0] <= self.experiment.seconds:
            at_s, _, step = heapq.heappop(self._heap)
            self.now_s = at_s
            step()
        return self.asked

    def _make_nodes(self) -> None:
        site = self.experiment.site
        self._upstreams = [
            _upstreams.Upstream(site.slots, site.full_factor)
            for _ in self._services
        ]
        for trouble in self.experiment.troubles:
            nodes = [
                node
                for node, service in enumerate(self._services)
                if service == trouble.service
            ]
            for node in nodes[: trouble.count]:
                self._upstreams[node].troubles.append(trouble)
        self._owners = []
        self._ingresses = []
        for node, own_service in enumerate(self._services):
            owner = _owner_controller.OwnerController(
                f"node-{node}",
                self._domain(node),
                random.Random(self._rng.random()),
            )
            ingress = _ingress_controller.IngressController(
                f"node-{node}", random.Random(self._rng.random())
            )
            for service in self.experiment.services:
                policy = self._make_policy(service, self._domain(node))
                ingress.configure(service.name, policy)
                if service.name == own_service:
                    owner.configure(service.name, policy)
            for other, service_name in enumerate(self._services):
                advert = types.OwnerAdvert(
                    f"node-{other}",
                    service_name,
                    self._domain(other),
                    site.slots,
                )
                ingress.set_owner(0.0, advert)
            self._owners.append(owner)
            self._ingresses.append(ingress)
            self._announce(node, START_S)

    def _make_policy(
        self, service: settings.Service, domain: str
    ) -> _service_policy.ServicePolicy:
        site, change = self.experiment.site, self._policy
        budget = _retry.share_budget(
            site.retry_ratio * change.retry_share,
            site.retry_slack * change.retry_share,
            site.retry_window_s,
            service.upstreams,
        )
        shipped = _service_policy.for_table(domain, budget)
        return msgspec.structs.replace(
            shipped,
            routing=_change(shipped.routing, change.routing),
            health=_change(shipped.thresholds(), change.health),
            max_queued=(
                shipped.max_queued
                if change.max_queued is None
                else change.max_queued
            ),
        )

    def _domain(self, node: int) -> str:
        return str(node % self.experiment.site.domains)

    def _distance_s(self, first: int, second: int) -> float:
        if first == second:
            return 0.0
        if self._domain(first) == self._domain(second):
            return LOCAL_S
        return self.experiment.site.domain_ms / 1000

    # Time

    def _after(self, delay_s: float, step: cabc.Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._order), step)
        heapq.heappush(self._heap, entry)

    def _announce_all(self) -> None:
        for node in range(len(self._services)):
            self._announce(node, self.now_s)
        self._after(ANNOUNCE_S, self._announce_all)

    def _announce(self, node: int, now_s: float) -> None:
        announcement = types.UpstreamAnnouncement(
            upstream=f"upstream-{node}",
            service=self._services[node],
            slots=self.experiment.site.slots,
            connections=CONNECTIONS,
            load=0.0,
            state=types.UpstreamState.READY,
            lease_s=LEASE_S - START_S,
        )
        actions = self._owners[node].announce(now_s, announcement)
        self._perform_owner(node, actions)

    def _tick(self) -> None:
        for node, owner in enumerate(self._owners):
            self._perform_owner(node, owner.tick(self.now_s))
            for load in owner.take_availability_changes(self.now_s):
                self._spread_load(node, load)
        for node, ingress in enumerate(self._ingresses):
            for peer in ingress.peers_to_ping(self.now_s):
                distance_s = self._distance_s(node, _number(peer))
                self._after(
                    2 * distance_s, functools.partial(self._pong, node, peer)
                )
            if ingress.has_work():
                self._perform_ingress(node, ingress.tick(self.now_s))
        self._after(TICK_S, self._tick)

    def _pong(self, node: int, peer: str) -> None:
        self._ingresses[node].peer_heard(self.now_s, peer)

    def _spread_load(self, node: int, load: types.OwnerLoad) -> None:
        def receive(other: int) -> None:
            self._ingresses[other].note_load(self.now_s, load)

        for other in range(len(self._ingresses)):
            self._after(
                self._distance_s(node, other),
                functools.partial(receive, other),
            )

    # Callers

    def _arrive(self) -> None:
        rng = self._arrivals
        self._after(rng.expovariate(self._rate_per_s), self._arrive)
        kinds = self.experiment.kinds
        [kind] = rng.choices(kinds, [each.share for each in kinds])
        node = rng.randrange(len(self._services))
        is_impatient = rng.random() < self.experiment.clients.impatient_share
        asked = Asked(kind, self.now_s)
        self.asked.append(asked)
        self._try(asked, node, is_impatient)

    def _try(self, asked: Asked, node: int, is_impatient: bool) -> None:
        asked.tries += 1
        clients = self.experiment.clients
        left_s = asked.begun_s + clients.patience_ms / 1000 - self.now_s

        def ended(told: Told) -> None:
            asked.told, asked.ended_s = told, self.now_s
            if told.retry_after_s is None:
                return
            if asked.tries > clients.max_returns:
                return
            left_s = asked.begun_s + clients.patience_ms / 1000 - self.now_s
            wait_s = min(told.retry_after_s, left_s / 3)
            if is_impatient:
                wait_s = IMPATIENT_S
            if wait_s > 0.0:
                self._after(
                    wait_s, lambda: self._try(asked, node, is_impatient)
                )

        self._begin(
            node, asked.kind, left_s, self.now_s - asked.begun_s, ended
        )

    def _begin(
        self,
        node: int,
        kind: settings.Kind,
        left_s: float,
        age_s: float,
        ended: cabc.Callable[[Told], None],
    ) -> None:
        """Give a request to a node's ingress.

        :param left_s: that its sender waits.
        :param age_s: since the sender's first try.
        """
        request_id = next(self._ids)
        timeout_s = min(left_s, kind.timeout_ms / 1000)
        request = types.IngressRequest(
            request_id,
            kind.service,
            kind.name,
            "",
            (
                types.RequestKind.LOOKUP
                if kind.idempotent
                else types.RequestKind.NON_IDEMPOTENT
            ),
            self.now_s + timeout_s,
            request_id,
            max_attempts=kind.max_attempts,
            rank=kind.rank,
            objective_s=max(0.0, kind.objective_ms / 1000 - age_s) or None,
        )
        self._pending[request_id] = _Pending(
            node, kind, request, self.now_s, ended
        )
        actions = self._ingresses[node].begin(self.now_s, request)
        self._perform_ingress(node, actions)

    # Ingress

    def _perform_ingress(
        self, node: int, actions: cabc.Iterable[types.IngressAction]
    ) -> None:
        for action in actions:
            match action:
                case types.ForwardAttempt():
                    self._send(node, action)
                case types.CancelAttempt(request_id, number):
                    self._cancel(request_id, number)
                case types.AnswerChosen(request_id, number):
                    pending = self._pending.pop(request_id)
                    pending.ended(Told(pending.status))
                case types.RefuseRequest():
                    pending = self._pending.pop(action.request_id)
                    if action.ran is exceptions.RanState.NO:
                        pending.ended(Told(503, action.retry_after_s))
                    else:
                        pending.ended(Told(504))

    def _send(self, node: int, action: types.ForwardAttempt) -> None:
        owner = _number(action.owner)
        pending = self._pending[action.request_id]
        kind, asked = pending.kind, pending.request
        local_id = next(self._ids)
        request = types.OwnerRequest(
            local_id,
            kind.service,
            kind.name,
            "",
            asked.kind,
            asked.deadline_s,
            action.reference_ms,
            asked.fingerprint,
            action.hints,
            rank=kind.rank,
            objective_s=pending.objective_left_s(self.now_s),
            is_repeat=action.is_repeat,
        )
        self._attempts[local_id] = _Attempt(
            node, owner, action.request_id, action.attempt, kind, request
        )
        self._numbers[action.request_id, action.attempt] = local_id
        self.sent += 1
        self.sent_far += self._domain(node) != self._domain(owner)
        self._after(
            self._distance_s(node, owner),
            functools.partial(self._receive, local_id),
        )

    def _cancel(self, request_id: int, number: int) -> None:
        local_id = self._numbers.pop((request_id, number), None)
        attempt = self._attempts.get(local_id or 0)
        if local_id is None or attempt is None:
            return

        def receive() -> None:
            if not attempt.is_running:
                self._attempts.pop(local_id, None)
                actions = self._owners[attempt.owner].cancel(
                    self.now_s, local_id
                )
                self._perform_owner(attempt.owner, actions)
            elif attempt.kind.idempotent:
                self._finish(local_id, types.Outcome.CANCELLED)

        self._after(self._distance_s(attempt.node, attempt.owner), receive)

    # Owner

    def _receive(self, local_id: int) -> None:
        attempt = self._attempts.get(local_id)
        if attempt is None:
            return
        owner = self._owners[attempt.owner]
        actions = owner.submit(self.now_s, attempt.request)
        self._perform_owner(attempt.owner, actions)

    def _perform_owner(
        self, node: int, actions: cabc.Iterable[types.OwnerAction]
    ) -> None:
        for action in actions:
            match action:
                case types.Dispatch(local_id, _):
                    self._dispatch(node, local_id)
                case types.RefuseRequest():
                    self._answer(action.request_id, action)
                case types.AskPermit(upstream, _, _):
                    # The shipped policy of tables ejects nobody.
                    self._owners[node].permit_answered(
                        self.now_s, upstream, False
                    )

    def _dispatch(self, node: int, local_id: int) -> None:
        attempt = self._attempts[local_id]
        attempt.is_running = True
        upstream = self._upstreams[node]
        plan = upstream.plan(self.now_s, attempt.kind, self._rng)
        upstream.busy += 1
        left_s = attempt.request.deadline_s - self.now_s
        self._after(
            max(0.0, left_s),
            functools.partial(self._finish, local_id, types.Outcome.TIMED_OUT),
        )
        if plan.duration_s >= left_s:
            return
        call = attempt.kind.call
        calls = call is not None and self._rng.random() < call.share
        if calls and plan.outcome is types.Outcome.ANSWERED:
            self._after(
                CALL_POINT * plan.duration_s,
                functools.partial(self._call, local_id, plan),
            )
        else:
            self._after(
                plan.duration_s,
                functools.partial(self._finish, local_id, plan.outcome),
            )

    def _call(self, local_id: int, plan: _upstreams.Plan) -> None:
        """Let a run send its call, and end as the call does."""
        attempt = self._attempts.get(local_id)
        if attempt is None:
            return
        call = attempt.kind.call
        assert call is not None

        def ended(told: Told) -> None:
            if not told.served:
                self._finish(local_id, types.Outcome.FAILED)
                return
            self._after(
                (1.0 - CALL_POINT) * plan.duration_s,
                functools.partial(self._finish, local_id, plan.outcome),
            )

        kind = self.experiment.find_kind(call.kind)
        left_s = attempt.request.deadline_s - self.now_s
        self._begin(attempt.owner, kind, left_s, 0.0, ended)

    def _finish(self, local_id: int, outcome: types.Outcome) -> None:
        attempt = self._attempts.get(local_id)
        if attempt is None or not attempt.is_running:
            return
        attempt.is_running = False
        node = attempt.owner
        self._upstreams[node].busy -= 1
        actions = self._owners[node].finished(self.now_s, local_id, outcome)
        if outcome in (types.Outcome.ANSWERED, types.Outcome.FAILED):
            self._answer(local_id, outcome)
        self._perform_owner(node, actions)
        self._attempts.pop(local_id, None)

    def _answer(
        self, local_id: int, result: types.Outcome | types.RefuseRequest
    ) -> None:
        attempt = self._attempts.pop(local_id, None)
        if attempt is None:
            return
        load = self._owners[attempt.owner].load(
            self.now_s, attempt.kind.service, attempt.kind.name
        )
        kind, status = types.AttemptResult.ANSWERED, 200
        code = retry_after_s = None
        match result:
            case types.Outcome.FAILED:
                status = 500
            case types.RefuseRequest():
                status = 0
                kind = types.AttemptResult.UNKNOWN
                if result.ran is exceptions.RanState.NO:
                    kind = types.AttemptResult.NOT_RUN
                code, retry_after_s = result.code, result.retry_after_s
        outcome = types.AttemptOutcome(
            attempt.request_id,
            attempt.number,
            kind,
            status or None,
            code,
            retry_after_s,
            load,
        )
        self._after(
            self._distance_s(attempt.owner, attempt.node),
            lambda: self._receive_answer(attempt.node, outcome),
        )

    def _receive_answer(
        self, node: int, outcome: types.AttemptOutcome
    ) -> None:
        self._numbers.pop((outcome.request_id, outcome.attempt), None)
        pending = self._pending.get(outcome.request_id)
        if pending is not None:
            pending.status = outcome.status or 0
        actions = self._ingresses[node].attempt_ended(self.now_s, outcome)
        self._perform_ingress(node, actions)


def _change(tuning: T, values: dict[str, float]) -> T:
    """Return a tuning with some fields changed, in their own types."""
    typed = {
        name: type(getattr(tuning, name))(value)
        for name, value in values.items()
    }
    return msgspec.structs.replace(tuning, **typed)


def _number(name: str) -> int:
    return int(name.partition("-")[2])


def find_capacity_per_s(experiment: settings.Experiment) -> float:
    """Return the callers' requests a second that fill one service.

    A run holds its slot while its call runs.
    """
    total = sum(kind.share for kind in experiment.kinds)
    busy_s = {service.name: 0.0 for service in experiment.services}
    for kind in experiment.kinds:
        share = kind.share / total
        for service, seconds in find_work_s(experiment, kind).items():
            busy_s[service] += share * seconds
    slots = experiment.site.slots
    return min(
        service.upstreams * slots / busy_s[service.name]
        for service in experiment.services
        if busy_s[service.name] > 0.0
    )


def find_work_s(
    experiment: settings.Experiment, kind: settings.Kind
) -> dict[str, float]:
    """Return for how long one request holds a slot of each service."""
    work_s = {kind.service: _mean_s(experiment, kind)}
    if kind.call is not None:
        called = experiment.find_kind(kind.call.kind)
        called_s = kind.call.share * _mean_s(experiment, called)
        for service in (kind.service, called.service):
            work_s[service] = work_s.get(service, 0.0) + called_s
    return work_s


def _mean_s(experiment: settings.Experiment, kind: settings.Kind) -> float:
    mean_ms = kind.work_ms * math.exp(kind.sigma**2 / 2)
    return mean_ms / 1000 * experiment.site.full_factor
