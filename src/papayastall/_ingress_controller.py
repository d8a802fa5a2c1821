"""Decisions of an ingress about its callers' requests."""

from __future__ import annotations

import math
import random

import msgspec

from papayastall import _decision_types as types
from papayastall import _ingress_state as state
from papayastall import _open_attempts
from papayastall import _refusals
from papayastall import _retry
from papayastall import _retry_rules
from papayastall import _routing
from papayastall import _service_policy
from papayastall import _service_view
from papayastall import _suspects
from papayastall import _where
from papayastall import exceptions

__all__ = ["IngressController"]

_Code = exceptions.ErrorCode
_Ran = exceptions.RanState
_Actions = list[types.IngressAction]

_HEDGE_RETRY_DELAY_S = 0.1
"""Time until a hedge that the retry budget did not allow is tried again."""
_RUN_MARGIN_FACTOR = 2.0
"""Before a planned stop ends, a non-idempotent request needs time for this
many median runs: if it is broken off, its outcome stays unknown."""


class _StopTimes(msgspec.Struct, frozen=True):
    """Times of the planned stop of this process.

    :param late_s: when new requests begin to count as late; callers have
        been told to use other nodes by then.
    :param stop_s: when requests without an answer are given up.
    """

    late_s: float = math.inf
    stop_s: float = math.inf


class IngressController:
    """Controller of callers' requests: chooses owners, retries and hedges.

    :param node: link address of this node as ``ip:port``.
    :param rng: source of all random choices.
    """

    def __init__(self, node: str, rng: random.Random) -> None:
        self._node = node
        self._rng = rng
        self._services: dict[str, state.ServiceView] = {}
        self._pending: dict[int, state.PendingRequest] = {}
        self._suspects = _suspects.SuspectRegistry()
        self._links_down: set[str] = set()
        self._stop = _StopTimes()

    def configure(
        self, service: str, policy: _service_policy.ServicePolicy
    ) -> None:
        """Set the policy of a service; open requests are kept."""
        known = self._services.get(service)
        if known is None:
            budget = _retry.RetryBudget(policy.retry_budget)
            self._services[service] = state.ServiceView(policy, budget)
        else:
            known.policy = policy
            known.budget.change_limits(policy.retry_budget)

    def set_owner(self, now_s: float, advert: types.OwnerAdvert) -> None:
        """Add or update an owner that membership reports."""
        service = self._service(advert.service)
        known = service.owners.get(advert.owner)
        if known is None:
            service.owners[advert.owner] = _routing.OwnerView(
                advert=advert,
                slots=advert.slots,
                weight=float(advert.slots),
                is_link_down=advert.owner in self._links_down,
                steered_word_s=service.policy.routing.steered_word_s,
            )
            return
        if known.advert.slots != advert.slots:
            known.slots = advert.slots
            known.weight = float(advert.slots)
        known.advert = advert

    def remove_owner(self, owner: str, service: str | None = None) -> None:
        """Remove an owner from one service, or from all services."""
        for name, view in self._services.items():
            if service is None or service == name:
                view.owners.pop(owner, None)

    def begin(self, now_s: float, request: types.IngressRequest) -> _Actions:
        """Start to handle a caller's request."""
        assert request.request_id not in self._pending, "request begun twice"
        service = self._service(request.service)
        if request.deadline_s <= now_s:
            return [_refuse(request, _Code.DEADLINE_EXCEEDED, _Ran.NO)]
        if self._suspects.is_blocked(now_s, request.fingerprint):
            refusal = _refusals.refuse_crashing(request.request_id, _Ran.NO)
            return [refusal]
        service.budget.deposit(now_s)
        pending = state.PendingRequest(request)
        self._pending[request.request_id] = pending
        is_late = now_s >= self._stop.late_s
        if is_late and request.deadline_s > self._stop.stop_s:
            return self._end_stopping(now_s, pending)
        return self._forward_or_end(now_s, pending)

    def finish_by(self, late_s: float, stop_s: float) -> None:
        """Accept only requests that will likely end before ``stop_s``.

        :param late_s: from then on, a new request is accepted only if its
            deadline is not after ``stop_s``.
        :param stop_s: when this process gives up its requests.
        """
        self._stop = _StopTimes(late_s, stop_s)

    def _has_time(
        self,
        now_s: float,
        service: state.ServiceView,
        request: types.IngressRequest,
    ) -> bool:
        """Return whether a run that starts now will likely end in time."""
        if request.deadline_s <= self._stop.stop_s:
            return True
        run_ms = _service_view.reference_ms(service, request.route) or 0.0
        if request.kind is types.RequestKind.NON_IDEMPOTENT:
            run_ms *= _RUN_MARGIN_FACTOR
        return now_s + run_ms / 1000 < self._stop.stop_s

    def answer_started(
        self,
        now_s: float,
        request_id: int,
        attempt: int,
        load: types.OwnerLoad | None,
        status: int | None = None,
    ) -> _Actions:
        """Handle the head of an answer.

        The answer is streamed to the caller from here on, unless the
        actions cancel this attempt.
        """
        pending = self._pending.get(request_id)
        if pending is None or attempt not in pending.open:
            return [types.CancelAttempt(request_id, attempt)]
        if pending.chosen is not None:
            return []
        service = self._service(pending.request.service)
        _open_attempts.note_heard(now_s, service, pending, attempt, load)
        failed = status is not None and status >= 500
        _service_view.note_answer(
            service,
            pending.request.route,
            load,
            failed,
            now_s - pending.open[attempt].sent_s,
        )
        if failed and pending.request.kind is types.RequestKind.LOOKUP:
            replaced = self._replace(now_s, pending, attempt)
            if replaced:
                return replaced
        return self._choose(now_s, pending, attempt)

    def attempt_ended(
        self, now_s: float, outcome: types.AttemptOutcome
    ) -> _Actions:
        """Handle the end of an attempt."""
        pending = self._pending.get(outcome.request_id)
        if pending is None or outcome.attempt not in pending.open:
            return []
        service = self._service(pending.request.service)
        _open_attempts.note_heard(
            now_s, service, pending, outcome.attempt, outcome.load
        )
        actions: _Actions = []
        if outcome.result is types.AttemptResult.ANSWERED:
            _service_view.note_run(now_s, service, pending, outcome)
            self._suspects.clear(pending.request.fingerprint)
            if pending.chosen is None:
                actions = self.answer_started(
                    now_s,
                    outcome.request_id,
                    outcome.attempt,
                    outcome.load,
                    outcome.status,
                )
            _open_attempts.close(service, pending, outcome.attempt)
            if pending.chosen == outcome.attempt:
                del self._pending[outcome.request_id]
            return actions
        attempt = pending.open[outcome.attempt]
        _open_attempts.close(service, pending, outcome.attempt)
        if pending.chosen == outcome.attempt:
            del self._pending[outcome.request_id]
            return []
        self._note_failure(now_s, pending, attempt, outcome)
        return self._after_failure(now_s, pending, outcome)

    def link_failed(self, now_s: float, peer: str) -> None:
        """Avoid a peer whose link is down."""
        self._links_down.add(peer)
        self._set_link(peer, is_down=True)

    def link_ok(self, now_s: float, peer: str) -> None:
        """Record that the link to a peer works."""
        self._links_down.discard(peer)
        self._set_link(peer, is_down=False)

    def note_load(self, now_s: float, load: types.OwnerLoad) -> None:
        """Record an owner's report that it starts or stops accepting work."""
        _service_view.note_load(now_s, self._service(load.service), load)

    def peer_heard(self, now_s: float, peer: str) -> None:
        """Record that a frame of a peer arrived, such as a pong."""
        for service in self._services.values():
            view = service.owners.get(peer)
            if view is not None:
                view.note_heard(now_s)

    def peers_to_ping(self, now_s: float) -> set[str]:
        """Return the owners that are avoided because they sent nothing."""
        return {
            name
            for service in self._services.values()
            for name, view in service.owners.items()
            if view.is_silent(now_s)
        }

    def caller_gone(self, now_s: float, request_id: int) -> _Actions:
        """Cancel the open attempts of a request whose caller has gone."""
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return []
        return self._cancel_open(now_s, pending, keep=None)

    def give_up(self, now_s: float) -> _Actions:
        """Refuse all requests without an answer, as this process stops.

        A refusal tells callers more than a closed connection.
        """
        actions: _Actions = []
        for pending in list(self._pending.values()):
            if pending.chosen is None:
                actions += self._end(now_s, pending, _Code.LEAVING)
        return actions

    def suspect(self, now_s: float, notice: types.SuspectNotice) -> None:
        """Record another node's notice about a suspected request."""
        self._suspects.note(now_s, notice)

    def tick(self, now_s: float) -> _Actions:
        """Handle deadlines, hedges and silence; call every 20 to 100 ms."""
        actions: _Actions = []
        busy = {pending.request.service for pending in self._pending.values()}
        for name in sorted(busy):
            for view in self._service(name).owners.values():
                view.note_silence(now_s)
        for pending in list(self._pending.values()):
            if pending.chosen is not None:
                continue
            if pending.request.deadline_s <= now_s:
                actions += self._end(now_s, pending, _Code.DEADLINE_EXCEEDED)
            elif self._is_hedge_due(now_s, pending):
                actions += self._hedge(now_s, pending)
        return actions

    def explain(self, now_s: float, service: str) -> dict[str, float]:
        """Return the inputs of the decisions about a service, for logs."""
        view = self._service(service)
        avoided = sum(
            owner.is_avoided(now_s) for owner in view.owners.values()
        )
        inputs: dict[str, float] = {
            "owners_known": len(view.owners),
            "owners_avoided": avoided,
        }
        proved = _service_view.count_proved(now_s, view)
        if proved is not None:
            inputs["owners_proved"] = proved
        if math.isfinite(view.budget.tokens):
            inputs["repeats_left"] = round(view.budget.tokens, 2)
        mean_ms = view.estimator.mean_ms(now_s)
        if mean_ms is not None:
            inputs["mean_run_ms"] = round(mean_ms, 1)
        return inputs

    def list_candidates(
        self, now_s: float, service: str, route: str
    ) -> tuple[float | None, list[_where.Candidate]]:
        """Return the expected run time in ms, and where a request would go.

        This changes nothing and draws no random number.
        """
        view = self._service(service)
        run_ms = _service_view.expected_ms(now_s, view, route)
        return run_ms, _where.list_candidates(now_s, view, run_ms)

    def has_work(self) -> bool:
        """Return whether any request is open, so that ticks are needed."""
        return bool(self._pending)

    def owners(self, service: str) -> list[_routing.OwnerView]:
        """Return the owners of a service as this ingress sees them."""
        return list(self._service(service).owners.values())

    def _service(self, name: str) -> state.ServiceView:
        known = self._services.get(name)
        if known is None:
            policy = _service_policy.ServicePolicy()
            budget = _retry.RetryBudget(policy.retry_budget)
            known = state.ServiceView(policy, budget)
            self._services[name] = known
        return known

    def _set_link(self, peer: str, is_down: bool) -> None:
        for service in self._services.values():
            view = service.owners.get(peer)
            if view is not None:
                view.is_link_down = is_down

    def _forward(
        self, now_s: float, pending: state.PendingRequest
    ) -> types.ForwardAttempt | None:
        request = pending.request
        service = self._service(request.service)
        choice = self._select(now_s, service, pending)
        if choice is None:
            return None
        is_repeat = _retry_rules.is_repeat(pending)
        attempt = _open_attempts.open_attempt(
            now_s, service, pending, choice.view
        )
        if is_repeat:
            choice.view.report.note_repeat()
        pending.hedge_due_s = _service_view.hedge_due_s(
            now_s, service, request
        )
        return types.ForwardAttempt(
            request.request_id,
            attempt.number,
            attempt.owner,
            _service_view.reference_ms(service, request.route),
            _service_view.hints(now_s, service, request.route, choice),
            pending.last_code,
            is_repeat,
            _service_view.list_notices(now_s, service, attempt.owner),
            # The same upstream may break off a run twice without a crash.
            is_suspect=bool(pending.lost_owners - {attempt.owner}),
            expected_ms=_service_view.expected_ms(
                now_s, service, request.route
            ),
        )

    def _select(
        self,
        now_s: float,
        service: state.ServiceView,
        pending: state.PendingRequest,
    ) -> _service_view.OwnerChoice | None:
        fingerprint = pending.request.fingerprint
        is_suspect = self._suspects.losses(now_s, fingerprint) > 0
        return _service_view.choose(
            now_s, service, pending, is_suspect, self._rng
        )

    def _forward_or_end(
        self, now_s: float, pending: state.PendingRequest
    ) -> _Actions:
        if pending.request.kind is types.RequestKind.NON_IDEMPOTENT:
            assert not pending.open, "a second attempt while one is open"
            assert not pending.has_unknown_outcome, (
                "an attempt may have run it"
            )
        service = self._service(pending.request.service)
        if not self._has_time(now_s, service, pending.request):
            return self._end_stopping(now_s, pending)
        forward = self._forward(now_s, pending)
        if forward is not None:
            return [forward]
        code = pending.last_code or _Code.NO_UPSTREAM
        return self._end(now_s, pending, code)

    def _note_failure(
        self,
        now_s: float,
        pending: state.PendingRequest,
        attempt: state.Attempt,
        outcome: types.AttemptOutcome,
    ) -> None:
        pending.last_code = outcome.code
        pending.retry_after_s = outcome.retry_after_s
        if outcome.result is types.AttemptResult.NOT_RUN:
            pending.refusals += 1
            pending.unproven += outcome.code is _Code.UNPROVEN
            pending.was_shed |= outcome.code is _Code.UPSTREAM_FULL
            service = self._service(pending.request.service)
            _service_view.note_refusal(now_s, service, attempt.owner, outcome)
            return
        pending.has_unknown_outcome = True
        if outcome.code is _Code.UPSTREAM_FAILED:
            pending.losses += 1
            pending.lost_owners.add(attempt.owner)

    def _after_failure(
        self,
        now_s: float,
        pending: state.PendingRequest,
        outcome: types.AttemptOutcome,
    ) -> _Actions:
        if pending.open:
            return self._move_hedge(now_s, pending, outcome)
        request = pending.request
        service = self._service(request.service)
        code = outcome.code or _Code.UPSTREAM_FAILED
        if self._suspects.is_blocked(now_s, request.fingerprint):
            return self._end(now_s, pending, _Code.CRASHING_REQUEST)
        if _retry_rules.may_try_again(now_s, service, pending, outcome):
            return self._forward_or_end(now_s, pending)
        return self._end(now_s, pending, code)

    def _replace(
        self, now_s: float, pending: state.PendingRequest, number: int
    ) -> _Actions:
        service = self._service(pending.request.service)
        others = [num for num in pending.open if num != number]
        cancel = types.CancelAttempt(pending.request.request_id, number)
        if others:
            _open_attempts.close(service, pending, number)
            pending.has_unknown_outcome = True
            return [cancel]
        if not _retry_rules.has_attempts_left(pending):
            return []
        if not service.budget.take(now_s):
            return []
        pending.last_code = _Code.UPSTREAM_FAILED
        forward = self._forward(now_s, pending)
        if forward is None:
            return []
        _open_attempts.close(service, pending, number)
        pending.has_unknown_outcome = True
        return [cancel, forward]

    def _choose(
        self, now_s: float, pending: state.PendingRequest, number: int
    ) -> _Actions:
        pending.chosen = number
        actions: _Actions = [
            types.AnswerChosen(pending.request.request_id, number)
        ]
        actions += self._cancel_open(now_s, pending, keep=number)
        return actions

    def _cancel_open(
        self, now_s: float, pending: state.PendingRequest, keep: int | None
    ) -> _Actions:
        service = self._service(pending.request.service)
        actions: _Actions = []
        for number in list(pending.open):
            if number == keep:
                continue
            if keep is not None:
                _open_attempts.note_superseded(now_s, service, pending, number)
            _open_attempts.close(service, pending, number)
            actions.append(
                types.CancelAttempt(pending.request.request_id, number)
            )
        return actions

    def _is_hedge_due(
        self, now_s: float, pending: state.PendingRequest
    ) -> bool:
        if not _retry_rules.is_hedge_due(now_s, pending):
            return False
        service = self._service(pending.request.service)
        if not _service_view.is_likely_stuck(now_s, service, pending):
            return False
        fingerprint = pending.request.fingerprint
        return not self._suspects.losses(now_s, fingerprint)

    def _hedge(self, now_s: float, pending: state.PendingRequest) -> _Actions:
        service = self._service(pending.request.service)
        # If all owners are full, the request is most likely queued.
        if not _service_view.has_room(now_s, service, pending):
            if not _retry_rules.is_past_half_time(now_s, pending):
                return []
            if not _service_view.is_owner_avoided(now_s, service, pending):
                return []
        pending.hedge_due_s = now_s + _HEDGE_RETRY_DELAY_S
        if not service.budget.take(now_s):
            return []
        pending.last_code = None
        forward = self._forward(now_s, pending)
        return [forward] if forward is not None else []

    def _move_hedge(
        self,
        now_s: float,
        pending: state.PendingRequest,
        outcome: types.AttemptOutcome,
    ) -> _Actions:
        """Send a hedge that an owner refused to another owner.

        The refused hedge did not reach an upstream, so the token taken for
        it pays for this one.
        """
        service = self._service(pending.request.service)
        if not _retry_rules.may_move_hedge(service, pending, outcome):
            return []
        forward = self._forward(now_s, pending)
        return [forward] if forward is not None else []

    def _end_stopping(
        self, now_s: float, pending: state.PendingRequest
    ) -> _Actions:
        """Refuse a request that would outlast this process."""
        pending.retry_after_s = max(0.0, self._stop.stop_s - now_s)
        return self._end(now_s, pending, _Code.LEAVING)

    def _end(
        self,
        now_s: float,
        pending: state.PendingRequest,
        code: exceptions.ErrorCode,
    ) -> _Actions:
        request = pending.request
        may_have_run = pending.has_unknown_outcome or bool(pending.open)
        ran = _Ran.UNKNOWN if may_have_run else _Ran.NO
        actions = self._cancel_open(now_s, pending, keep=None)
        del self._pending[request.request_id]
        if code is _Code.CRASHING_REQUEST:
            refusal = _refusals.refuse_crashing(request.request_id, ran)
            return [*actions, refusal]
        retry_after_s = pending.retry_after_s
        if not retry_after_s:
            retry_after_s = _retry.jittered_retry_after_s(0.0, self._rng)
        if ran is _Ran.UNKNOWN and (
            request.kind is types.RequestKind.NON_IDEMPOTENT
        ):
            retry_after_s = None
        return [*actions, _refuse(request, code, ran, retry_after_s)]


def _refuse(
    request: types.IngressRequest,
    code: exceptions.ErrorCode,
    ran: exceptions.RanState,
    retry_after_s: float | None = None,
) -> types.RefuseRequest:
    return types.RefuseRequest(
        request.request_id, code, ran, retry_after_s, final=False
    )
