"""Discrete-event simulation of the request controllers of a deployment.

Each VM has an ingress, an upstream and its owner. Network delays are
constant, no process fails, and there is no control state.
"""

from __future__ import annotations

import collections
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

__all__ = [
    "Arrival",
    "CallerRequest",
    "Fleet",
    "Reply",
    "find_capacity_per_s",
    "find_slot_time_s",
]

TICK_S = 0.05
"""Interval between ticks of the controllers."""
ANNOUNCE_INTERVAL_S = 1.0
LEASE_S = 5.0
UPSTREAM_CONNECTIONS = 390
SAME_DOMAIN_S = 0.0001
"""One-way delay between two VMs of a failure domain."""
IMPATIENT_WAIT_S = 0.01
"""Delay of an impatient caller's retry."""
CALL_AT_SHARE = 0.5
"""Share of a request's own run time after which it sends its call."""
ANNOUNCED_AT_S = -100.0
"""Time of the first announcements; no upstream is in its cold start when
callers begin."""


T = t.TypeVar("T", bound=msgspec.Struct)


class Reply(msgspec.Struct):
    """Result of one try, as its sender sees it.

    :param status: HTTP status; 503 for a refused request that did not run,
        504 if its outcome is unknown.
    :param retry_after_s: suggested retry delay, if any.
    """

    status: int
    retry_after_s: float | None = None

    @property
    def served(self) -> bool:
        """Whether the request was answered successfully."""
        return self.status == 200


class CallerRequest(msgspec.Struct):
    """One request of a caller, with all of its tries.

    :param reply: result of the last try that ended.
    """

    kind: settings.Kind
    begun_s: float
    tries: int = 0
    reply: Reply | None = None
    ended_s: float = 0.0


class Arrival(msgspec.Struct):
    """A request that reached an upstream.

    :param is_extra: an earlier attempt of it did, or it is a call of a run
        that was itself extra.
    :param hangs: it is never answered.
    """

    at_s: float
    node: int
    service: str
    is_extra: bool
    hangs: bool


class _Pending(msgspec.Struct):
    """A try that is open at its ingress.

    :param ended: called with the result.
    :param status: status of the last answer that the ingress received.
    :param is_extra: see :class:`Arrival`.
    """

    node: int
    kind: settings.Kind
    request: types.IngressRequest
    begun_s: float
    ended: cabc.Callable[[Reply], None]
    status: int = 0
    is_extra: bool = False

    def objective_remaining_s(self, now_s: float) -> float | None:
        """Return the time left until the latency objective, in seconds."""
        if self.request.objective_s is None:
            return None
        return max(0.0, self.begun_s + self.request.objective_s - now_s)


class _Attempt(msgspec.Struct):
    """An attempt of a try at one owner.

    :param node: node of the ingress.
    :param owner: node of the owner.
    :param number: number of the attempt at the ingress.
    """

    node: int
    owner: int
    request_id: int
    number: int
    kind: settings.Kind
    request: types.OwnerRequest
    is_running: bool = False
    started_s: float = 0.0
    is_extra: bool = False


class Fleet:
    """One run of one policy at one load with one seed.

    :param load: offered load as a share of the deployment's capacity.
    :ivar asked: requests of callers, in the order of their first try.
    :ivar sent: number of attempts that ingresses sent to owners.
    :ivar sent_to_other_domains: number of those that went to another failure
        domain.
    :ivar arrivals: requests that reached an upstream, in their order.
    :ivar causes: number of attempts by the reason for which they were made,
        if they were not the first of their request.
    """

    def __init__(
        self,
        experiment: settings.Experiment,
        policy: settings.Policy,
        load: float,
        seed: int,
    ) -> None:
        self.experiment = experiment
        self.asked: list[CallerRequest] = []
        self.sent = 0
        self.sent_to_other_domains = 0
        self.arrivals: list[Arrival] = []
        self.causes: collections.Counter[str] = collections.Counter()
        self.now_s = 0.0
        self._policy = policy
        self._rng = random.Random(seed)
        # A generator of its own makes the requests of callers the same
        # under every policy.
        self._arrivals = random.Random(f"arrivals {seed}")
        self._heap: list[tuple[float, int, cabc.Callable[[], None]]] = []
        self._order = itertools.count()
        self._ids = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._attempts: dict[int, _Attempt] = {}
        self._local_ids: dict[tuple[int, int], int] = {}
        self._rate_per_s = load * find_capacity_per_s(experiment)
        self._services = [
            service.name
            for service in experiment.services
            for _ in range(service.upstreams)
        ]
        self._make_nodes(seed)

    def run(self) -> list[CallerRequest]:
        """Run to the end; return the requests of callers."""
        self._announce_all()
        self._tick()
        self._handle_arrival()
        while self._heap and self._heap[0][0] <= self.experiment.seconds:
            at_s, _, step = heapq.heappop(self._heap)
            self.now_s = at_s
            step()
        return self.asked

    def starved_share(self, window_s: float) -> float:
        """Return the share of windows in which a healthy upstream got nothing.

        :param window_s: length of the windows, which don't overlap.
        """
        count = int(self.experiment.seconds / window_s)
        served = {
            (each.node, int(each.at_s / window_s)) for each in self.arrivals
        }
        healthy = [
            (node, window)
            for node, upstream in enumerate(self._upstreams)
            for window in range(1, count)
            if not upstream.is_troubled(
                window * window_s, (window + 1) * window_s
            )
        ]
        starved = sum(each not in served for each in healthy)
        return starved / max(1, len(healthy))

    def _make_nodes(self, seed: int) -> None:
        site = self.experiment.site
        speeds = self._draw_speeds()
        self._upstreams = [
            _upstreams.Upstream(site.slots, site.full_factor, speed)
            for speed in speeds
        ]
        for trouble in self.experiment.troubles:
            nodes = [
                node
                for node, service in enumerate(self._services)
                if service == trouble.service
            ]
            for node in nodes[: trouble.count]:
                self._upstreams[node].troubles.append(trouble)
        turns_rng = random.Random(f"turns {seed}")
        for turns in self.experiment.gray_turns:
            for node, name in enumerate(self._services):
                if name == turns.service:
                    self._upstreams[node].troubles += _upstreams.draw_turns(
                        turns, self.experiment.seconds, turns_rng
                    )
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
            self._announce(node, ANNOUNCED_AT_S)

    def _draw_speeds(self) -> list[float]:
        """Return the speed of each upstream, evenly spread and shuffled."""
        site = self.experiment.site
        if site.min_speed == site.max_speed:
            return [site.min_speed] * len(self._services)
        speeds: list[float] = []
        for service in self.experiment.services:
            count = service.upstreams
            step = (site.max_speed - site.min_speed) / max(1, count - 1)
            found = [site.min_speed + step * each for each in range(count)]
            self._arrivals.shuffle(found)
            speeds += found
        return speeds

    def _make_policy(
        self, service: settings.Service, domain: str
    ) -> _service_policy.ServicePolicy:
        site, changes = self.experiment.site, self._policy
        budget = _retry.share_budget(
            site.retry_ratio * changes.retry_share,
            site.retry_slack * changes.retry_share,
            site.retry_window_s,
            service.upstreams,
        )
        shipped = _service_policy.for_table(
            domain, budget, is_varied=changes.is_varied
        )
        return msgspec.structs.replace(
            shipped,
            routing=_with_changes(shipped.routing, changes.routing),
            health=_with_changes(shipped.thresholds(), changes.health),
            proof_limits=_with_changes(shipped.proof_limits, changes.proof),
            max_queued=(
                shipped.max_queued
                if changes.max_queued is None
                else changes.max_queued
            ),
        )

    def _domain(self, node: int) -> str:
        site = self.experiment.site
        first = 0
        for index, count in enumerate(site.domain_nodes):
            first += count
            if node < first:
                return str(index)
        return str(node % site.domains)

    def _one_way_s(self, first: int, second: int) -> float:
        if first == second:
            return 0.0
        if self._domain(first) == self._domain(second):
            return SAME_DOMAIN_S
        return self.experiment.site.domain_ms / 1000

    # Time

    def _schedule_after(
        self, delay_s: float, step: cabc.Callable[[], None]
    ) -> None:
        entry = (self.now_s + delay_s, next(self._order), step)
        heapq.heappush(self._heap, entry)

    def _announce_all(self) -> None:
        for node in range(len(self._services)):
            self._announce(node, self.now_s)
        self._schedule_after(ANNOUNCE_INTERVAL_S, self._announce_all)

    def _announce(self, node: int, now_s: float) -> None:
        announcement = types.UpstreamAnnouncement(
            upstream=f"upstream-{node}",
            service=self._services[node],
            slots=self.experiment.site.slots,
            connections=UPSTREAM_CONNECTIONS,
            load=0.0,
            state=types.UpstreamState.READY,
            # The first announcement, made before the run, has to last into it.
            lease_s=LEASE_S - ANNOUNCED_AT_S,
        )
        actions = self._owners[node].announce(now_s, announcement)
        self._perform_owner(node, actions)

    def _tick(self) -> None:
        for node, owner in enumerate(self._owners):
            self._perform_owner(node, owner.tick(self.now_s))
            for load in owner.take_availability_changes(self.now_s):
                self._broadcast_load(node, load)
        for node, ingress in enumerate(self._ingresses):
            for peer in ingress.peers_to_ping(self.now_s):
                one_way_s = self._one_way_s(node, _node_number(peer))
                self._schedule_after(
                    2 * one_way_s,
                    functools.partial(self._receive_pong, node, peer),
                )
            if ingress.has_work():
                self._perform_ingress(node, ingress.tick(self.now_s))
        self._schedule_after(TICK_S, self._tick)

    def _receive_pong(self, node: int, peer: str) -> None:
        self._ingresses[node].peer_heard(self.now_s, peer)

    def _broadcast_load(self, node: int, load: types.OwnerLoad) -> None:
        def receive(other: int) -> None:
            self._ingresses[other].note_load(self.now_s, load)

        for other in range(len(self._ingresses)):
            self._schedule_after(
                self._one_way_s(node, other),
                functools.partial(receive, other),
            )

    # Callers

    def _handle_arrival(self) -> None:
        rng = self._arrivals
        self._schedule_after(
            rng.expovariate(self._rate_per_s), self._handle_arrival
        )
        kinds = self.experiment.kinds
        [kind] = rng.choices(kinds, [each.share for each in kinds])
        node = rng.randrange(len(self._services))
        is_impatient = rng.random() < self.experiment.clients.impatient_share
        asked = CallerRequest(kind, self.now_s)
        self.asked.append(asked)
        self._send_try(asked, node, is_impatient)

    def _send_try(
        self, asked: CallerRequest, node: int, is_impatient: bool
    ) -> None:
        asked.tries += 1
        clients = self.experiment.clients
        remaining_s = asked.begun_s + clients.patience_ms / 1000 - self.now_s

        def ended(reply: Reply) -> None:
            asked.reply, asked.ended_s = reply, self.now_s
            if reply.retry_after_s is None:
                return
            if asked.tries > clients.max_returns:
                return
            remaining_s = (
                asked.begun_s + clients.patience_ms / 1000 - self.now_s
            )
            wait_s = min(reply.retry_after_s, remaining_s / 3)
            if is_impatient:
                wait_s = IMPATIENT_WAIT_S
            if wait_s > 0.0:
                self._schedule_after(
                    wait_s, lambda: self._send_try(asked, node, is_impatient)
                )

        self._start_request(
            node, asked.kind, remaining_s, self.now_s - asked.begun_s, ended
        )

    def _start_request(
        self,
        node: int,
        kind: settings.Kind,
        remaining_s: float,
        age_s: float,
        ended: cabc.Callable[[Reply], None],
        is_extra: bool = False,
    ) -> None:
        """Submit a request to a node's ingress.

        :param remaining_s: time for which its sender still waits.
        :param age_s: time since the sender's first try.
        :param ended: called with the result.
        :param is_extra: see :class:`Arrival`.
        """
        request_id = next(self._ids)
        timeout_s = min(remaining_s, kind.timeout_ms / 1000)
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
            node, kind, request, self.now_s, ended, is_extra=is_extra
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
                    self._send_attempt(node, action)
                case types.CancelAttempt(request_id, number):
                    self._cancel_attempt(request_id, number)
                case types.AnswerChosen(request_id, number):
                    pending = self._pending.pop(request_id)
                    pending.ended(Reply(pending.status))
                case types.RefuseRequest():
                    pending = self._pending.pop(action.request_id)
                    if action.ran is exceptions.RanState.NO:
                        pending.ended(Reply(503, action.retry_after_s))
                    else:
                        pending.ended(Reply(504))

    def _send_attempt(self, node: int, action: types.ForwardAttempt) -> None:
        owner = _node_number(action.owner)
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
            objective_s=pending.objective_remaining_s(self.now_s),
            is_repeat=action.is_repeat,
            expected_ms=action.expected_ms,
        )
        self._attempts[local_id] = _Attempt(
            node, owner, action.request_id, action.attempt, kind, request
        )
        self._local_ids[action.request_id, action.attempt] = local_id
        self.sent += 1
        if action.attempt > 1:
            cause = action.cause.value if action.cause else "no answer yet"
            self.causes[cause] += 1
        self.sent_to_other_domains += self._domain(node) != self._domain(owner)
        self._schedule_after(
            self._one_way_s(node, owner),
            functools.partial(self._receive_attempt, local_id),
        )

    def _cancel_attempt(self, request_id: int, number: int) -> None:
        local_id = self._local_ids.pop((request_id, number), None)
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

        self._schedule_after(
            self._one_way_s(attempt.node, attempt.owner), receive
        )

    # Owner

    def _receive_attempt(self, local_id: int) -> None:
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
                    # The shipped policy for route tables ejects no upstream.
                    self._owners[node].permit_answered(
                        self.now_s, upstream, False
                    )

    def _dispatch(self, node: int, local_id: int) -> None:
        attempt = self._attempts[local_id]
        attempt.is_running = True
        attempt.started_s = self.now_s
        upstream = self._upstreams[node]
        plan = upstream.plan(self.now_s, attempt.kind, self._rng)
        upstream.busy += 1
        self._record_arrival(attempt, math.isinf(plan.duration_s))
        remaining_s = attempt.request.deadline_s - self.now_s
        self._schedule_after(
            max(0.0, remaining_s),
            functools.partial(self._finish, local_id, types.Outcome.TIMED_OUT),
        )
        if plan.duration_s >= remaining_s:
            return
        call = attempt.kind.call
        calls = call is not None and self._rng.random() < call.share
        if call and calls and plan.outcome is types.Outcome.ANSWERED:
            self._schedule_after(
                CALL_AT_SHARE * plan.duration_s,
                functools.partial(self._send_call, local_id, plan, call.count),
            )
        else:
            self._schedule_after(
                plan.duration_s,
                functools.partial(self._finish, local_id, plan.outcome),
            )

    def _record_arrival(self, attempt: _Attempt, hangs: bool) -> None:
        pending = self._pending.get(attempt.request_id)
        attempt.is_extra = attempt.request.is_repeat
        if pending is not None:
            attempt.is_extra |= pending.is_extra
            pending.is_extra = True
        self.arrivals.append(
            Arrival(
                self.now_s,
                attempt.owner,
                attempt.kind.service,
                attempt.is_extra,
                hangs,
            )
        )

    def _send_call(
        self, local_id: int, plan: _upstreams.Plan, count: int
    ) -> None:
        """Send the calls of a running request, which fails if one does.

        :param count: calls left to send.
        """
        attempt = self._attempts.get(local_id)
        if attempt is None:
            return
        call = attempt.kind.call
        assert call is not None

        def ended(reply: Reply) -> None:
            if not reply.served:
                self._finish(local_id, types.Outcome.FAILED)
                return
            if count > 1:
                self._send_call(local_id, plan, count - 1)
                return
            self._schedule_after(
                (1.0 - CALL_AT_SHARE) * plan.duration_s,
                functools.partial(self._finish, local_id, plan.outcome),
            )

        kind = self.experiment.find_kind(call.kind)
        remaining_s = attempt.request.deadline_s - self.now_s
        self._start_request(
            attempt.owner, kind, remaining_s, 0.0, ended, attempt.is_extra
        )

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
            run_ms=(self.now_s - attempt.started_s) * 1000,
        )
        self._schedule_after(
            self._one_way_s(attempt.owner, attempt.node),
            lambda: self._receive_answer(attempt.node, outcome),
        )

    def _receive_answer(
        self, node: int, outcome: types.AttemptOutcome
    ) -> None:
        self._local_ids.pop((outcome.request_id, outcome.attempt), None)
        pending = self._pending.get(outcome.request_id)
        if pending is not None:
            pending.status = outcome.status or 0
        actions = self._ingresses[node].attempt_ended(self.now_s, outcome)
        self._perform_ingress(node, actions)


def _with_changes(tuning: T, values: dict[str, float]) -> T:
    """Return a tuning with some fields changed.

    Each value is converted to the type of its field.
    """
    typed = {
        name: type(getattr(tuning, name))(value)
        for name, value in values.items()
    }
    return msgspec.structs.replace(tuning, **typed)


def _node_number(name: str) -> int:
    return int(name.partition("-")[2])


def find_capacity_per_s(experiment: settings.Experiment) -> float:
    """Return the callers' request rate at which the first service is full.

    A request holds its slot while its call runs.
    """
    total = sum(kind.share for kind in experiment.kinds)
    busy_s = {service.name: 0.0 for service in experiment.services}
    for kind in experiment.kinds:
        share = kind.share / total
        for service, seconds in find_slot_time_s(experiment, kind).items():
            busy_s[service] += share * seconds
    slots = experiment.site.slots
    return min(
        service.upstreams
        * slots
        * experiment.site.mean_speed
        / busy_s[service.name]
        for service in experiment.services
        if busy_s[service.name] > 0.0
    )


def find_slot_time_s(
    experiment: settings.Experiment, kind: settings.Kind
) -> dict[str, float]:
    """Return the mean time for which a request holds a slot, by service.

    The time is in seconds. A call holds a slot of both services.
    """
    work_s = {kind.service: _mean_service_s(experiment, kind)}
    if kind.call is not None:
        called = experiment.find_kind(kind.call.kind)
        called_s = kind.call.share * kind.call.count
        called_s *= _mean_service_s(experiment, called)
        for service in (kind.service, called.service):
            work_s[service] = work_s.get(service, 0.0) + called_s
    return work_s


def _mean_service_s(
    experiment: settings.Experiment, kind: settings.Kind
) -> float:
    mean_ms = kind.work_ms * math.exp(kind.sigma**2 / 2)
    mean_ms *= 1.0 + kind.tail_share * (kind.tail_factor - 1.0)
    return mean_ms / 1000 * experiment.site.full_factor
