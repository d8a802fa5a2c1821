"""The controller of an owner: admission, dispatch and health of upstreams."""

from __future__ import annotations

import math
import random

from papayastall import _admission
from papayastall import _decision_types as types
from papayastall import _ejection
from papayastall import _leaving
from papayastall import _owner_evidence
from papayastall import _owner_state as state
from papayastall import _owner_views
from papayastall import _owner_work
from papayastall import _placement
from papayastall import _refusals
from papayastall import _retry
from papayastall import _service_policy
from papayastall import _suspect_gate
from papayastall import _upstream_notices
from papayastall import _upstream_registry
from papayastall import exceptions

__all__ = ["OwnerController"]

_Code = exceptions.ErrorCode
_DEFAULT_SHED_BACKOFF_S = 0.2
_QUEUE_LIMIT_FACTOR = 1.5
"""A queued request is refused after this multiple of the longest expected wait
that is accepted (``max_wait_s``), as the expectation was wrong."""
_MAX_SHED_BACKOFF_S = 5.0


class OwnerController:
    """Decides when and on which upstream of one owner each request runs.

    :param owner: link address of this node as ``ip:port``.
    :param failure_domain: failure domain of this node, for its adverts.
    :param rng: source of all random choices.
    :param boot_ms: Unix time of the start of this process, in milliseconds.
    """

    def __init__(
        self,
        owner: str,
        failure_domain: str,
        rng: random.Random,
        boot_ms: int = 0,
    ) -> None:
        self._owner = owner
        self._failure_domain = failure_domain
        self._rng = rng
        self._services: dict[str, state.ServiceState] = {}
        self._registry = _upstream_registry.UpstreamRegistry(boot_ms)
        self._running: dict[int, state.RunningRequest] = {}
        self._queued: set[int] = set()
        self._gate = _suspect_gate.SuspectGate()
        self._notices = _upstream_notices.NoticeMemory()
        self._took_requests: dict[str, bool] = {}
        self._stop_s = math.inf

    def configure(
        self, service: str, policy: _service_policy.ServicePolicy
    ) -> None:
        """Set a service's policy; its queued and running requests stay."""
        known = self._services.get(service)
        if known is None:
            known = self._services[service] = state.ServiceState(policy)
        known.policy = policy
        known.use_queue(policy.is_varied)
        match policy.owner_retry_budget, known.retry_budget:
            case None, _:
                known.retry_budget = None
            case limits, None:
                known.retry_budget = _retry.RetryBudget(limits)
            case limits, budget:
                budget.change_limits(limits)
        self._registry.use_model(service, policy.thresholds().evidence)

    def announce(
        self, now_s: float, announcement: types.UpstreamAnnouncement
    ) -> list[types.OwnerAction]:
        """Add or renew an upstream by its announcement."""
        service = self._service(announcement.service)
        self._registry.announce(
            now_s, announcement, service.policy.thresholds()
        )
        notice = self._notices.take(now_s, announcement.name)
        if notice is not None:
            self._learn(now_s, notice)
        return self._dispatch_queued(now_s, announcement.service)

    def withdraw(
        self, now_s: float, instance: str, started_ms: int | None
    ) -> list[types.OwnerAction]:
        """Stop sending requests to an upstream that ended its announcements.

        :param instance: process instance of the upstream, as announced.
        :param started_ms: Unix time of its start, if known.
        """
        service = self._registry.withdraw(now_s, instance, started_ms)
        return (
            self._dispatch_queued(now_s, service)
            if service is not None
            else []
        )

    def finish_by(self, stop_s: float) -> None:
        """Refuse requests that will likely not end before the process does.

        :param stop_s: when this process ends.
        """
        self._stop_s = stop_s

    def submit(
        self, now_s: float, request: types.OwnerRequest
    ) -> list[types.OwnerAction]:
        """Dispatch, queue or refuse a request of an ingress."""
        request_id = request.request_id
        assert request_id not in self._running, "request submitted twice"
        assert request_id not in self._queued, "request submitted twice"
        assert request_id not in self._gate, "request submitted twice"
        service = self._service(request.service)
        service.healthy_share = request.hints.healthy_share
        for notice in request.notices:
            self._learn(now_s, notice)
        if request.deadline_s <= now_s:
            return [self._refuse(request, _Code.DEADLINE_EXCEEDED)]
        if not _placement.has_time(now_s, service, request, self._stop_s):
            return [self._refuse(request, _Code.LEAVING)]
        if request.is_suspect:
            self._gate.note_lost_before(now_s, request)
        return self._place_unless_blocked(now_s, request)

    def finished(
        self,
        now_s: float,
        request_id: int,
        outcome: types.Outcome,
        retry_after_s: float | None = None,
        *,
        is_alive: bool = False,
    ) -> list[types.OwnerAction]:
        """Record how a dispatched request ended.

        Without a complete answer in time the actions include a refusal. It
        states whether the request ran, and ends an answer that has been
        streamed in part.

        :param retry_after_s: the upstream's own retry delay, if it shed the
            request.
        :param is_alive: whether the upstream was still there after it had
            broken off the run, so that the request has not crashed it.
        """
        run = self._running.pop(request_id, None)
        if run is None:
            return []
        upstream = self._registry.get(run.upstream)
        del upstream.running[request_id]
        service = self._service(run.request.service)
        # Only this owner sends requests to the upstream, so it can count the
        # free slots. A shed while there are some says nothing about the next
        # request.
        was_full = len(upstream.running) + 1 >= upstream.slots
        if outcome is types.Outcome.SHED and was_full:
            backoff_s = retry_after_s or _DEFAULT_SHED_BACKOFF_S
            backoff_s = min(backoff_s, _MAX_SHED_BACKOFF_S)
            upstream.shed_until_s = now_s + backoff_s
        actions = _owner_evidence.note_end(
            now_s, service, upstream, run, outcome
        )
        notice = None
        if not is_alive:
            notice = self._gate.note_end(
                now_s, run, outcome, upstream.started_ms
            )
        if notice is not None:
            actions += [notice, *self._retry_parked(now_s)]
        refusal = _refusals.refuse_ended(
            request_id, outcome, self._rng, retry_after_s
        )
        if refusal is not None:
            actions.append(refusal)
        actions += self._evaluate(now_s, upstream)
        actions += self._dispatch_queued(now_s, run.request.service)
        return actions

    def first_byte(self, now_s: float, request_id: int) -> None:
        """Record that the first byte of an answer has arrived."""
        run = self._running.get(request_id)
        if run is None or run.first_byte_s is not None:
            return
        service = self._service(run.request.service)
        upstream = self._registry.get(run.upstream)
        _owner_evidence.note_first_byte(now_s, service, upstream, run)

    def note_answer(
        self,
        now_s: float,
        request_id: int,
        limit_per_s: float | None,
        is_leaving: bool,
    ) -> list[types.OwnerAction]:
        """Record what an answer says of its upstream.

        Queued requests that can't be served in time within a new limit are
        refused.

        :param limit_per_s: see :class:`UpstreamNotice`.
        """
        run = self._running.get(request_id)
        if run is None:
            return []
        upstream = self._registry.get(run.upstream)
        is_new = _upstream_notices.note_answer(
            now_s, upstream, limit_per_s, is_leaving
        )
        if not is_new:
            return []
        return self._requeue(now_s, upstream.service)

    def _learn(self, now_s: float, notice: types.UpstreamNotice) -> None:
        """Take over what an ingress knows of an upstream of this owner."""
        upstream = self._registry.find(notice.upstream)
        if upstream is not None:
            _upstream_notices.adopt(now_s, upstream, notice)
        else:
            self._notices.keep(now_s, notice)

    def _requeue(self, now_s: float, name: str) -> list[types.OwnerAction]:
        """Decide again on all queued requests of a service."""
        service = self._service(name)
        waiting: list[types.OwnerRequest] = []
        while (item := service.queue.pop()) is not None:
            self._queued.remove(item.request.request_id)
            waiting.append(item.request)
        actions: list[types.OwnerAction] = []
        for request in waiting:
            if request.deadline_s <= now_s:
                actions.append(self._refuse_after_wait(now_s, request))
            else:
                actions += self._place(now_s, request)
        return actions

    def cancel(self, now_s: float, request_id: int) -> list[types.OwnerAction]:
        """Remove a waiting request; a running one ends by `finished`."""
        self._gate.forget(request_id)
        if request_id in self._queued:
            self._queued.remove(request_id)
            for service in self._services.values():
                if service.queue.remove(request_id):
                    break
        return []

    def tick(self, now_s: float) -> list[types.OwnerAction]:
        """Process what depends on time alone; call every 20 to 100 ms.

        This evaluates evidence, removes upstreams without a lease, refuses
        requests that waited too long and dispatches queued ones.
        """
        actions: list[types.OwnerAction] = []
        for upstream in self._registry.remove_gone(now_s):
            actions += _ejection.release_permit(upstream)
            notice = _upstream_notices.make_notice(upstream)
            if notice is not None:
                self._notices.keep(now_s, notice)
        for upstream in self._registry.all():
            actions += self._evaluate(now_s, upstream)
        actions += self._retry_parked(now_s)
        for name, service in self._services.items():
            actions += self._refuse_overdue(now_s, service)
            actions += self._dispatch_queued(now_s, name)
        return actions

    def permit_answered(
        self, now_s: float, upstream: str, granted: bool
    ) -> list[types.OwnerAction]:
        """Apply the control state's decision on an `AskPermit`."""
        known = self._registry.find(upstream)
        if known is None:
            return []
        return _ejection.apply_permit_decision(known, now_s, granted)

    def start_drain(
        self, now_s: float, upstream: str
    ) -> list[types.OwnerAction]:
        """Stop sending requests to an upstream on an operator's request."""
        known = self._registry.get(upstream)
        known.drained_by_operator = True
        _leaving.start_leaving(known, now_s)
        return self._dispatch_queued(now_s, known.service)

    def undrain(self, now_s: float, upstream: str) -> None:
        """Undo `start_drain`, unless the upstream itself is leaving."""
        known = self._registry.get(upstream)
        known.drained_by_operator = False
        is_leaving = known.state is types.UpstreamState.LEAVING
        if not is_leaving and not known.says_leaving:
            _leaving.stop_leaving(known, now_s)

    def drained(self, upstream: str) -> bool:
        """Return whether an upstream is gone or has drained."""
        known = self._registry.find(upstream)
        return known is None or _leaving.is_drained(known)

    def suspect(
        self, now_s: float, notice: types.SuspectNotice
    ) -> list[types.OwnerAction]:
        """Record another node's notice of a possibly crashing request."""
        self._gate.registry.note(now_s, notice)
        return self._retry_parked(now_s)

    def load(
        self, now_s: float, service: str, route: str | None = None
    ) -> types.OwnerLoad:
        """Return the load of a service, as carried on answers.

        :param route: route of the answer that carries it, if any.
        """
        return _owner_views.make_load(
            now_s,
            self._owner,
            self._service(service),
            self._registry.of_service(service),
            service,
            route,
        )

    def take_availability_changes(self, now_s: float) -> list[types.OwnerLoad]:
        """Return the loads of services that became available or unavailable.

        A service is available while its weight is above zero. Each change is
        returned once.
        """
        changes: list[types.OwnerLoad] = []
        for name in self._services:
            if not self._registry.of_service(name):
                self._took_requests.pop(name, None)
                continue
            load = self.load(now_s, name)
            takes_requests = load.weight > 0.0
            if self._took_requests.get(name, True) != takes_requests:
                changes.append(load)
            self._took_requests[name] = takes_requests
        return changes

    def adverts(self, now_s: float) -> list[types.OwnerAdvert]:
        """Return the adverts of this owner for the membership."""
        return _owner_views.make_adverts(
            self._owner, self._failure_domain, self._registry.all()
        )

    def upstreams(self, now_s: float) -> list[state.UpstreamView]:
        """Return the operators' view of every upstream."""
        return [
            _owner_views.make_view(now_s, self._service(up.service), up)
            for up in self._registry.all()
        ]

    def has_work(self) -> bool:
        """Return whether a request runs or waits, so that ticks are needed."""
        return bool(self._running or self._queued or len(self._gate))

    def is_trusted(self, upstream: str) -> bool:
        """Return whether an upstream takes requests other than trials."""
        known = self._registry.find(upstream)
        return known is not None and _ejection.is_trusted(known)

    def standing(self, upstream: str) -> state.Standing | None:
        """Return an upstream's standing, ``None`` for an unknown upstream."""
        known = self._registry.find(upstream)
        return None if known is None else known.standing

    def _service(self, name: str) -> state.ServiceState:
        known = self._services.get(name)
        if known is None:
            known = state.ServiceState(_service_policy.ServicePolicy())
            self._services[name] = known
        return known

    def _evaluate(
        self, now_s: float, upstream: state.Upstream
    ) -> list[types.OwnerAction]:
        service = self._service(upstream.service)
        tuning = service.policy.thresholds()
        _owner_evidence.note_slow_trials(now_s, service, upstream)
        _owner_evidence.update_doubt(now_s, service, upstream)
        score = upstream.evidence.score(now_s, tuning.stall_age_s)
        return _ejection.evaluate(
            upstream, now_s, score, service.healthy_share, tuning
        )

    def _place(
        self, now_s: float, request: types.OwnerRequest
    ) -> list[types.OwnerAction]:
        service = self._service(request.service)
        upstreams = self._registry.of_service(request.service)
        choice = _placement.choose(
            now_s, service, upstreams, request, self._rng
        )
        match choice:
            case _placement.NoUpstream(code):
                return [self._refuse(request, code)]
            case _placement.Place(upstream, is_trial):
                return [self._dispatch(now_s, request, upstream, is_trial)]
            case _placement.Wait() as wait:
                return self._enqueue(now_s, service, request, wait)

    def _dispatch(
        self,
        now_s: float,
        request: types.OwnerRequest,
        upstream: state.Upstream,
        is_trial: bool = False,
        is_suspect: bool = False,
    ) -> types.Dispatch | types.RefuseRequest:
        assert upstream.free_slots(now_s) > 0, "no free slot"
        assert not _leaving.is_leaving(upstream), "upstream is leaving"
        assert request.request_id not in self._running, "dispatched twice"
        assert request.deadline_s > now_s, "dispatched after its deadline"
        if not self._charge_retry_budget(now_s, request):
            return self._refuse(request, _Code.REPEATS_SPENT)
        if is_trial:
            assert request.kind is types.RequestKind.LOOKUP
            _ejection.note_trial_sent(upstream, now_s)
        run = state.RunningRequest(
            request, upstream.name, now_s, is_suspect, is_trial
        )
        self._running[request.request_id] = run
        upstream.running[request.request_id] = run
        service = self._service(request.service)
        _owner_evidence.note_start(now_s, service, upstream, run)
        limit = upstream.rate_limit
        if limit is not None:
            limit.take(now_s)
        return types.Dispatch(
            request.request_id, upstream.name, sends_once=limit is not None
        )

    def _charge_retry_budget(
        self, now_s: float, request: types.OwnerRequest
    ) -> bool:
        """Charge an extra attempt to the retry budget, or credit a first one.

        :returns: whether the request may run.
        """
        budget = self._service(request.service).retry_budget
        if budget is None:
            return True
        if request.is_repeat:
            return budget.take(now_s)
        budget.deposit(now_s)
        return True

    def _enqueue(
        self,
        now_s: float,
        service: state.ServiceState,
        request: types.OwnerRequest,
        wait: _placement.Wait,
    ) -> list[types.OwnerAction]:
        if self._stop_s < math.inf:
            return [self._refuse(request, _Code.LEAVING)]
        if not _placement.can_wait(now_s, service, request, wait):
            return [self._refuse_overloaded(service, request, wait)]
        actions: list[types.OwnerAction] = []
        precedence = _placement.precedence(service, request)
        if len(service.queue) >= service.policy.max_queued:
            displaced = service.queue.displace_for(request.team, precedence)
            if displaced is None:
                return [self._refuse_overloaded(service, request, wait)]
            self._queued.remove(displaced.request.request_id)
            actions.append(
                self._refuse_overloaded(service, displaced.request, wait)
            )
        max_wait_s = _placement.max_wait_s(now_s, service, request)
        service.queue.push(
            _admission.QueuedRequest(
                request,
                now_s,
                precedence,
                now_s + _QUEUE_LIMIT_FACTOR * max_wait_s,
                _owner_work.expected_run_s(request, wait.slowness)
                or _placement.expected_run_s(service, request),
            )
        )
        self._queued.add(request.request_id)
        return actions

    def _dispatch_queued(
        self, now_s: float, name: str
    ) -> list[types.OwnerAction]:
        service = self._service(name)
        upstreams = self._registry.of_service(name)
        actions: list[types.OwnerAction] = []
        while (item := service.queue.pop()) is not None:
            request = item.request
            choice = _placement.choose(
                now_s, service, upstreams, request, self._rng
            )
            if isinstance(choice, _placement.Wait):
                service.queue.push_front(item)
                break
            self._queued.remove(request.request_id)
            match choice:
                case _placement.NoUpstream(code):
                    actions.append(self._refuse(request, code))
                case _placement.Place(upstream, is_trial):
                    if not _placement.has_time(
                        now_s, service, request, request.deadline_s
                    ):
                        actions.append(self._refuse_after_wait(now_s, request))
                    else:
                        actions.append(
                            self._dispatch(now_s, request, upstream, is_trial)
                        )
        return actions

    def _refuse_overdue(
        self, now_s: float, service: state.ServiceState
    ) -> list[types.OwnerAction]:
        actions: list[types.OwnerAction] = []
        for item in service.queue.take_overdue(now_s):
            self._queued.remove(item.request.request_id)
            actions.append(self._refuse_after_wait(now_s, item.request))
        return actions

    def _refuse_after_wait(
        self, now_s: float, request: types.OwnerRequest
    ) -> types.RefuseRequest:
        """Refuse a request that waited too long in the queue.

        If its deadline has not passed, it is refused as overloaded: another
        owner may have a free slot.
        """
        code = _Code.OVERLOADED
        if request.deadline_s <= now_s:
            code = _Code.DEADLINE_EXCEEDED
        return self._refuse(request, code)

    def _place_unless_blocked(
        self, now_s: float, request: types.OwnerRequest
    ) -> list[types.OwnerAction]:
        registry = self._gate.registry
        if registry.is_blocked(now_s, request.fingerprint):
            refusal = _refusals.refuse_crashing(
                request.request_id, exceptions.RanState.NO
            )
            return [refusal]
        if registry.losses(now_s, request.fingerprint):
            return self._place_suspect(now_s, request)
        return self._place(now_s, request)

    def _place_suspect(
        self, now_s: float, request: types.OwnerRequest
    ) -> list[types.OwnerAction]:
        if any(
            run.request.fingerprint == request.fingerprint
            for run in self._running.values()
        ):
            return self._park(request)
        service = self._service(request.service)
        upstreams = [
            up
            for up in self._registry.of_service(request.service)
            if not any(run.is_suspect for run in up.running.values())
        ]
        choice = _placement.choose(
            now_s, service, upstreams, request, self._rng
        )
        match choice:
            case _placement.Place(upstream, is_trial):
                return [
                    self._dispatch(
                        now_s, request, upstream, is_trial, is_suspect=True
                    )
                ]
            case _placement.NoUpstream(code) if len(upstreams) == len(
                self._registry.of_service(request.service)
            ):
                return [self._refuse(request, code)]
        return self._park(request)

    def _park(self, request: types.OwnerRequest) -> list[types.OwnerAction]:
        if self._gate.park(request):
            return []
        return [self._refuse(request, _Code.OVERLOADED)]

    def _retry_parked(self, now_s: float) -> list[types.OwnerAction]:
        actions: list[types.OwnerAction] = []
        for request in self._gate.take_all():
            actions += self.submit(now_s, request)
        return actions

    def _refuse_overloaded(
        self,
        service: state.ServiceState,
        request: types.OwnerRequest,
        wait: _placement.Wait,
    ) -> types.RefuseRequest:
        return _refusals.refuse_not_run(
            request.request_id,
            _Code.OVERLOADED,
            self._rng,
            backlog_s=_placement.backlog_s(service, wait),
        )

    def _refuse(
        self, request: types.OwnerRequest, code: exceptions.ErrorCode
    ) -> types.RefuseRequest:
        assert request.request_id not in self._running, "it is running"
        return _refusals.refuse_not_run(request.request_id, code, self._rng)
