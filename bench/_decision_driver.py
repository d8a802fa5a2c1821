"""Discrete-event driver of the request controllers of one service.

It does not simulate a whole cluster: there is one service, service times
are drawn from a model, network delays are constant, and the control state,
gossip and links are reduced to a few delays and rules.
"""

from __future__ import annotations

import collections
import collections.abc as cabc
import dataclasses
import functools
import heapq
import itertools
import random

import msgspec.structs

from bench import _decision_model as model
from papayastall import _decision_types as types
from papayastall import _ingress_controller
from papayastall import _owner_controller
from papayastall import _owner_state
from papayastall import _service_policy
from papayastall import exceptions

__all__ = ["Caller", "Driver", "Scenario", "Stats"]

SERVICE = "service"
BUSY_TICK_S = 0.05
"""Interval between ticks of a controller that has work."""
SLOW_TICK_S = 1.0
"""Interval between announcements and between ticks of all controllers."""
ANNOUNCE_INTERVAL_S = 1.0
LEASE_S = 5.0
LOOKUP_DEADLINE_S = 2.5
BOOKING_DEADLINE_S = 6.0
PERMIT_DELAY_S = 0.02
"""Time from a permit request to the control state's decision."""
LINK_FAILURE_DELAY_S = 1.0
"""Time from a ping to the link failure, if the peer does not answer."""
DOMAIN_COUNT = 3

IngressFactory = cabc.Callable[
    [str, random.Random], _ingress_controller.IngressController
]


@dataclasses.dataclass(slots=True)
class Scenario:
    """One run: sizes, load over time, faults and policy.

    :param upstreams: upstreams of the service, each on a node of its own.
    :param seconds: simulated time, in seconds.
    :param load: offered load at a time, as a share of the service's
        capacity; 1.0 is the full capacity.
    :param peak_load: upper bound of ``load`` over the run.
    :param team_of: draws the team of a caller that arrives at a time.
    :param resends: times that a caller sends a request again after refusals
        that suggest a retry delay.
    :param restarts: by upstream index, when a planned restart begins.
    :param domain_of: failure domain of a node index.
    """

    deployment: model.Deployment
    upstreams: int
    policy: _service_policy.ServicePolicy
    seconds: float
    load: cabc.Callable[[float], float]
    peak_load: float
    faults: list[model.Fault] = dataclasses.field(default_factory=list)
    make_ingress: IngressFactory = _ingress_controller.IngressController
    team_of: cabc.Callable[[float, random.Random], str] = lambda now_s, rng: (
        f"team-{rng.randrange(4)}"
    )
    resends: int = 0
    restarts: dict[int, float] = dataclasses.field(default_factory=dict)
    domain_of: cabc.Callable[[int], int] = lambda index: index % DOMAIN_COUNT


@dataclasses.dataclass(slots=True)
class Caller:
    """One request of a caller; each resend is a request of its own.

    :param runs: times that an upstream received it.
    :param received: what the caller received: ``nothing`` so far,
        ``answered``, ``failed``, ``not run`` or ``unknown``.
    """

    request: types.IngressRequest
    begun_s: float
    resends_left: int
    team: str
    runs: int = 0
    answered_s: float | None = None
    received: str = "nothing"


@dataclasses.dataclass(slots=True)
class Stats:
    """Events of one run, with times in seconds.

    :param sent: time, upstream index and whether the request was an ordinary
        one, for each dispatch. Trial lookups at upstreams that are not
        trusted are not ordinary. Requests that ingresses send to a paused
        owner are recorded as well, as ordinary unless the ingress avoids it.
    :param standings: time, upstream index and new standing, for each change.
    :param refusals: number of refusals that callers received, by error code.
    """

    callers: list[Caller] = dataclasses.field(default_factory=list)
    sent: list[tuple[float, int, bool]] = dataclasses.field(
        default_factory=list
    )
    standings: list[tuple[float, int, _owner_state.Standing]] = (
        dataclasses.field(default_factory=list)
    )
    refusals: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    executions: dict[int, int] = dataclasses.field(default_factory=dict)
    completed_in_time: int = 0
    lost_connections: set[int] = dataclasses.field(default_factory=set)


class Driver:
    """One run of a scenario with a seed.

    An index identifies a node. Every node has an ingress; the first ones,
    one for each upstream, have an owner with one upstream.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.stats = Stats()
        self.now_s = 0.0
        self._rng = random.Random(seed)
        self._heap: list[tuple[float, int, cabc.Callable[[], None]]] = []
        self._order = itertools.count()
        self._ids = itertools.count(1)
        self._callers: dict[int, Caller] = {}
        self._ingress_of: dict[int, int] = {}
        self._local_ids: dict[tuple[int, int], int] = {}
        self._origins: dict[int, tuple[int, int, int]] = {}
        self._requests: dict[int, types.OwnerRequest] = {}
        self._running: dict[int, int] = {}
        self._answered: dict[int, types.Outcome] = {}
        self._ejected: set[int] = set()
        self._ticking: set[tuple[str, int]] = set()
        self._last_standing: dict[int, _owner_state.Standing] = {}
        self._leaving: set[int] = set()
        count = scenario.upstreams
        slots = scenario.deployment.slots
        self.models = [
            model.UpstreamModel(index, slots, -100.0) for index in range(count)
        ]
        self.capacity_per_s = count * slots / model.mean_service_s()
        self._make_controllers()
        for fault in scenario.faults:
            self.models[fault.upstream].faults.append(fault)

    def run(self) -> Stats:
        """Run the scenario to its end; return what happened."""
        self._handle_arrival()
        self._slow_tick()
        self._pause_upstream()
        for index, at_s in self.scenario.restarts.items():
            self._schedule_at(
                at_s, functools.partial(self._start_leaving, index)
            )
        while self._heap and self._heap[0][0] <= self.scenario.seconds:
            at_s, _, step = heapq.heappop(self._heap)
            self.now_s = at_s
            step()
        return self.stats

    # Setup

    def _make_controllers(self) -> None:
        scenario = self.scenario
        self.owners: list[_owner_controller.OwnerController] = []
        for index in range(scenario.upstreams):
            owner = _owner_controller.OwnerController(
                self._owner_name(index),
                str(scenario.domain_of(index)),
                random.Random(self._rng.random()),
            )
            owner.configure(SERVICE, scenario.policy)
            self.owners.append(owner)
            self._announce(index, types.UpstreamState.READY, at_s=-100.0)
        self.ingresses = []
        for index in range(scenario.deployment.nodes()):
            domain = str(scenario.domain_of(index))
            ingress = scenario.make_ingress(
                f"ingress-{index}", random.Random(self._rng.random())
            )
            ingress.configure(
                SERVICE,
                msgspec.structs.replace(
                    scenario.policy, failure_domain=domain
                ),
            )
            for number in range(scenario.upstreams):
                advert = types.OwnerAdvert(
                    self._owner_name(number),
                    SERVICE,
                    str(scenario.domain_of(number)),
                    scenario.deployment.slots,
                )
                ingress.set_owner(0.0, advert)
            self.ingresses.append(ingress)

    def _owner_name(self, index: int) -> str:
        return f"owner-{index}"

    def _announce(
        self, index: int, state: types.UpstreamState, at_s: float
    ) -> None:
        announcement = types.UpstreamAnnouncement(
            upstream=f"upstream-{index}",
            service=SERVICE,
            slots=self.scenario.deployment.slots,
            connections=390,
            load=0.0,
            state=state,
            # The first announcement, made before the run, has to last into it.
            lease_s=LEASE_S if at_s >= 0 else 200.0,
        )
        actions = self.owners[index].announce(at_s, announcement)
        self._perform_owner(index, actions)

    # Time

    def _schedule_at(self, at_s: float, step: cabc.Callable[[], None]) -> None:
        heapq.heappush(self._heap, (at_s, next(self._order), step))

    def _schedule_after(
        self, delay_s: float, step: cabc.Callable[[], None]
    ) -> None:
        self._schedule_at(self.now_s + delay_s, step)

    def _slow_tick(self) -> None:
        for index, owner in enumerate(self.owners):
            is_paused = self._has_fault(index, model.FaultKind.OWNER_PAUSED)
            if is_paused:
                continue
            if index not in self._leaving:
                state = types.UpstreamState.READY
                if (
                    self.now_s - self.models[index].started_s
                    < model.COLD_START_S
                ):
                    state = types.UpstreamState.COLD
                if not self._has_fault(index, model.FaultKind.CRASH):
                    self._announce(index, state, self.now_s)
            self._perform_owner(index, owner.tick(self.now_s))
        for index, ingress in enumerate(self.ingresses):
            self._perform_ingress(index, ingress.tick(self.now_s))
        self._schedule_after(SLOW_TICK_S, self._slow_tick)

    def _pause_upstream(self) -> None:
        """Pause one upstream briefly, as garbage collection would."""
        upstream = self._rng.choice(self.models)
        duration_s = self._rng.expovariate(1.0 / model.PAUSE_MEAN_S)
        duration_s = min(duration_s, model.MAX_PAUSE_S)
        upstream.paused_until_s = self.now_s + duration_s
        rate = len(self.models) / model.PAUSE_INTERVAL_S
        self._schedule_after(self._rng.expovariate(rate), self._pause_upstream)

    def _schedule_tick(self, role: str, index: int) -> None:
        if (role, index) in self._ticking:
            return
        self._ticking.add((role, index))
        self._schedule_after(BUSY_TICK_S, lambda: self._tick(role, index))

    def _tick(self, role: str, index: int) -> None:
        self._ticking.discard((role, index))
        if role == "owner":
            if self._has_fault(index, model.FaultKind.OWNER_PAUSED):
                self._schedule_tick(role, index)
                return
            self._perform_owner(index, self.owners[index].tick(self.now_s))
            busy = self.owners[index].has_work()
        else:
            self._update_links(index)
            actions = self.ingresses[index].tick(self.now_s)
            self._perform_ingress(index, actions)
            busy = self.ingresses[index].has_work()
        if busy:
            self._schedule_tick(role, index)

    def _update_links(self, index: int) -> None:
        """Model an ingress's links to owners.

        A peer that is not paused answers pings, and a failed link to it is
        restored. A link to a paused peer fails.
        """
        ingress = self.ingresses[index]
        silent = ingress.peers_to_ping(self.now_s)
        for view in ingress.owners(SERVICE):
            name = view.advert.owner
            is_waiting = name in silent or bool(view.outstanding)
            if not is_waiting and not view.is_link_down:
                continue
            owner = int(name.split("-")[1])
            is_unreachable = self._has_fault(
                owner, model.FaultKind.OWNER_PAUSED
            )
            if view.is_link_down and not is_unreachable:
                ingress.link_ok(self.now_s, name)
            elif name in silent and not is_unreachable:
                ingress.peer_heard(self.now_s, name)
            elif name in silent and not view.is_link_down:
                self._schedule_after(
                    LINK_FAILURE_DELAY_S,
                    functools.partial(self._fail_link, index, owner),
                )

    def _fail_link(self, index: int, owner: int) -> None:
        if self._has_fault(owner, model.FaultKind.OWNER_PAUSED):
            name = self._owner_name(owner)
            self.ingresses[index].link_failed(self.now_s, name)

    def _has_fault(self, index: int, kind: model.FaultKind) -> bool:
        return any(
            fault.kind is kind and fault.is_active(self.now_s)
            for fault in self.models[index].faults
        )

    # Callers

    def _handle_arrival(self) -> None:
        rate = self.capacity_per_s * self.scenario.peak_load
        self._schedule_after(self._rng.expovariate(rate), self._handle_arrival)
        share = self.scenario.load(self.now_s) / self.scenario.peak_load
        if self.now_s <= 0.0 or self._rng.random() >= share:
            return
        route = model.draw_route(self._rng)
        team = self.scenario.team_of(self.now_s, self._rng)
        self._start_request(route, team, self.scenario.resends)

    def _start_request(self, route: str, team: str, resends: int) -> None:
        request_id = next(self._ids)
        is_booking = route == model.BOOKING_ROUTE
        kind = types.RequestKind.LOOKUP
        deadline_s = self.now_s + LOOKUP_DEADLINE_S
        if is_booking:
            kind = types.RequestKind.NON_IDEMPOTENT
            deadline_s = self.now_s + BOOKING_DEADLINE_S
        request = types.IngressRequest(
            request_id, SERVICE, route, team, kind, deadline_s, request_id
        )
        caller = Caller(request, self.now_s, resends, team)
        self.stats.callers.append(caller)
        self._callers[request_id] = caller
        index = self._rng.randrange(len(self.ingresses))
        self._ingress_of[request_id] = index
        ingress = self.ingresses[index]
        self._perform_ingress(index, ingress.begin(self.now_s, request))
        if ingress.has_work():
            self._schedule_tick("ingress", index)

    # Ingress

    def _perform_ingress(
        self, index: int, actions: cabc.Iterable[types.IngressAction]
    ) -> None:
        for action in actions:
            match action:
                case types.ForwardAttempt():
                    self._send_attempt(index, action)
                case types.CancelAttempt(request_id, attempt):
                    self._send_cancel(index, request_id, attempt)
                case types.AnswerChosen(request_id, _):
                    caller = self._callers[request_id]
                    caller.received = "answered"
                    caller.answered_s = self.now_s
                case types.RefuseRequest():
                    self._report_refusal(action)

    def _report_refusal(self, action: types.RefuseRequest) -> None:
        caller = self._callers.pop(action.request_id)
        caller.received = (
            "not run" if action.ran is exceptions.RanState.NO else "unknown"
        )
        self.stats.refusals[action.code.value] += 1
        if caller.received == "not run":
            assert caller.runs == 0, "reported as not run, but it ran"
        if action.retry_after_s is None or caller.resends_left == 0:
            return
        route, team = caller.request.route, caller.team
        resends = caller.resends_left - 1
        self._schedule_after(
            action.retry_after_s,
            lambda: self._start_request(route, team, resends),
        )

    def _one_way_s(self, ingress: int, owner: int) -> float:
        domain_of = self.scenario.domain_of
        if ingress == owner:
            return 0.0
        if domain_of(ingress) == domain_of(owner):
            return 0.0001
        return self.scenario.deployment.domain_s

    def _send_attempt(self, index: int, action: types.ForwardAttempt) -> None:
        owner = int(action.owner.split("-")[1])
        caller = self._callers[action.request_id]
        if self._has_fault(owner, model.FaultKind.OWNER_PAUSED):
            self._record_send_to_paused(index, owner)
        local_id = next(self._ids)
        self._origins[local_id] = (index, action.request_id, action.attempt)
        self._local_ids[action.request_id, action.attempt] = local_id
        self._requests[local_id] = types.OwnerRequest(
            local_id,
            SERVICE,
            caller.request.route,
            caller.request.team,
            caller.request.kind,
            caller.request.deadline_s,
            action.reference_ms,
            caller.request.fingerprint,
            action.hints,
        )
        self._schedule_after(
            self._one_way_s(index, owner),
            lambda: self._receive_attempt(owner, local_id),
        )

    def _record_send_to_paused(self, index: int, owner: int) -> None:
        """Record a request sent to a paused owner, which handles nothing."""
        is_avoided_owner = any(
            view.is_avoided(self.now_s)
            for view in self.ingresses[index].owners(SERVICE)
            if view.advert.owner == self._owner_name(owner)
        )
        self.stats.sent.append((self.now_s, owner, not is_avoided_owner))

    def _send_cancel(self, index: int, request_id: int, number: int) -> None:
        local_id = self._local_ids.pop((request_id, number), None)
        if local_id is None:
            return
        self._origins.pop(local_id, None)
        owner = self._running.get(local_id)
        if owner is None:
            for index, controller in enumerate(self.owners):
                self._perform_owner(
                    index, controller.cancel(self.now_s, local_id)
                )
            return
        if self._has_fault(owner, model.FaultKind.OWNER_PAUSED):
            return
        if self._requests[local_id].kind is types.RequestKind.LOOKUP:
            self._finish(owner, local_id, types.Outcome.CANCELLED)

    # Owner

    def _receive_attempt(self, index: int, local_id: int) -> None:
        if self._has_fault(index, model.FaultKind.OWNER_PAUSED):
            self._schedule_after(
                0.2, lambda: self._receive_attempt(index, local_id)
            )
            return
        if local_id not in self._origins:
            return
        request = self._requests[local_id]
        actions = self.owners[index].submit(self.now_s, request)
        self._perform_owner(index, actions)
        self._schedule_tick("owner", index)

    def _perform_owner(
        self, index: int, actions: cabc.Iterable[types.OwnerAction]
    ) -> None:
        for action in actions:
            match action:
                case types.Dispatch(local_id, _):
                    self._dispatch(index, local_id)
                case types.RefuseRequest():
                    self._answer(index, action.request_id, action)
                case types.AskPermit(upstream, _, _):
                    self._schedule_after(
                        PERMIT_DELAY_S,
                        functools.partial(
                            self._decide_permit, index, upstream
                        ),
                    )
                case types.ReleasePermit():
                    self._ejected.discard(index)
                case types.SuspectNotice():
                    self._broadcast_notice(index, action)
        self._record_standing(index)

    def _record_standing(self, index: int) -> None:
        standing = self.owners[index].standing(f"upstream-{index}")
        if standing is None or self._last_standing.get(index) is standing:
            return
        self._last_standing[index] = standing
        self.stats.standings.append((self.now_s, index, standing))

    def _decide_permit(self, index: int, upstream: str) -> None:
        slots = self.scenario.deployment.slots
        unavailable = self._ejected | self._leaving | {index}
        left = (self.scenario.upstreams - len(unavailable)) * slots
        granted = left >= self.scenario.policy.floor_slots
        if granted:
            self._ejected.add(index)
        actions = self.owners[index].permit_answered(
            self.now_s, upstream, granted
        )
        self._perform_owner(index, actions)

    def _broadcast_notice(
        self, index: int, notice: types.SuspectNotice
    ) -> None:
        def receive() -> None:
            for number, owner in enumerate(self.owners):
                if number != index:
                    self._perform_owner(
                        number, owner.suspect(self.now_s, notice)
                    )
            for ingress in self.ingresses:
                ingress.suspect(self.now_s, notice)

        self._schedule_after(self.scenario.deployment.domain_s, receive)

    def _dispatch(self, index: int, local_id: int) -> None:
        request = self._requests[local_id]
        ordinary = self.owners[index].is_trusted(f"upstream-{index}")
        self.stats.sent.append((self.now_s, index, ordinary))
        upstream = self.models[index]
        run = upstream.run(self.now_s, request.route, self._rng)
        upstream.busy += 1
        self._running[local_id] = index
        if run.outcome is not types.Outcome.CONNECT_FAILED:
            caller = self._callers.get(request.fingerprint)
            if caller is not None:
                caller.runs += 1
                if request.kind is types.RequestKind.NON_IDEMPOTENT:
                    assert caller.runs == 1, "a booking ran twice"
        end_s = request.deadline_s
        outcome = types.Outcome.TIMED_OUT
        if run.duration_s is not None:
            if self.now_s + run.duration_s < end_s:
                end_s = self.now_s + run.duration_s
                outcome = run.outcome
        self._schedule_at(
            end_s, lambda: self._finish(index, local_id, outcome)
        )

    def _finish(
        self, index: int, local_id: int, outcome: types.Outcome
    ) -> None:
        if local_id not in self._running:
            return
        if self._has_fault(index, model.FaultKind.OWNER_PAUSED):
            self._schedule_after(
                0.2, lambda: self._finish(index, local_id, outcome)
            )
            return
        del self._running[local_id]
        self.models[index].busy -= 1
        actions = self.owners[index].finished(self.now_s, local_id, outcome)
        if outcome in (types.Outcome.ANSWERED, types.Outcome.FAILED):
            self._answer(index, local_id, outcome)
        self._perform_owner(index, actions)
        if index in self._leaving:
            self._restart_if_drained(index)

    def _answer(
        self,
        index: int,
        local_id: int,
        result: types.Outcome | types.RefuseRequest,
    ) -> None:
        request = self._requests.pop(local_id)
        load = self.owners[index].load(self.now_s, SERVICE, request.route)
        origin = self._origins.pop(local_id, None)
        if origin is None:
            return
        ingress, request_id, attempt = origin
        status: int | None = None
        code = None
        retry_after_s = None
        match result:
            case types.Outcome.ANSWERED:
                kind, status = types.AttemptResult.ANSWERED, 200
            case types.RefuseRequest():
                is_not_run = result.ran is exceptions.RanState.NO
                kind = types.AttemptResult.UNKNOWN
                if is_not_run:
                    kind = types.AttemptResult.NOT_RUN
                code, retry_after_s = result.code, result.retry_after_s
            case _:
                kind, status = types.AttemptResult.ANSWERED, 500
        outcome = types.AttemptOutcome(
            request_id, attempt, kind, status, code, retry_after_s, load
        )
        self._schedule_after(
            self._one_way_s(ingress, index),
            lambda: self._receive_answer(ingress, outcome),
        )

    def _receive_answer(
        self, index: int, outcome: types.AttemptOutcome
    ) -> None:
        actions = self.ingresses[index].attempt_ended(self.now_s, outcome)
        self._local_ids.pop((outcome.request_id, outcome.attempt), None)
        self._perform_ingress(index, actions)
        caller = self._callers.get(outcome.request_id)
        if caller is not None and caller.received == "answered":
            if outcome.status != 200:
                caller.received = "failed"
            del self._callers[outcome.request_id]

    # Restarts

    def _start_leaving(self, index: int) -> None:
        self._leaving.add(index)
        self._announce(index, types.UpstreamState.LEAVING, self.now_s)
        self._restart_if_drained(index)

    def _restart_if_drained(self, index: int) -> None:
        if self.owners[index].drained(f"upstream-{index}"):
            self._schedule_after(5.0, lambda: self._finish_restart(index))

    def _finish_restart(self, index: int) -> None:
        if index not in self._leaving:
            return
        self._leaving.discard(index)
        self.models[index].started_s = self.now_s
        self._announce(index, types.UpstreamState.COLD, self.now_s)
