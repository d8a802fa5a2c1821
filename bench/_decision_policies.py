"""Policies to compare: baselines, earlier versions and ablations.

The names of policies are printed in tables.
"""

from __future__ import annotations

import collections
import collections.abc as cabc
import dataclasses
import math
import random
import typing as t

import msgspec.structs

from bench import _decision_model as model
from papayastall import _decision_types as types
from papayastall import _ingress_controller
from papayastall import _ingress_state
from papayastall import _retry
from papayastall import _service_policy
from papayastall import _service_view
from papayastall import exceptions

__all__ = ["ABLATIONS", "BASELINES", "VERSIONS", "Policy", "make_policy"]

Tuning = t.TypeVar(
    "Tuning", _service_policy.HealthTuning, _service_policy.RoutingTuning
)
MAX_CONSECUTIVE_ERRORS = 5
EJECTION_S = 30.0


class ConsecutiveErrors(_ingress_controller.IngressController):
    """Round robin; five consecutive failures eject an owner for 30 s.

    For a request with fewer than half of the owners untried and not ejected,
    ejections are ignored.
    """

    def __init__(self, node: str, rng: random.Random) -> None:
        super().__init__(node, rng)
        self._next_owner = rng.randrange(1000)
        self._errors: collections.Counter[str] = collections.Counter()
        self._ejected_until_s: dict[str, float] = {}

    def attempt_ended(
        self, now_s: float, outcome: types.AttemptOutcome
    ) -> list[types.IngressAction]:
        """Count the result, then handle it as the base class does."""
        pending = self._pending.get(outcome.request_id)
        if pending is not None and outcome.attempt in pending.open:
            owner = pending.open[outcome.attempt].owner
            answered = outcome.status is not None and outcome.status < 500
            self._count_result(now_s, owner, answered)
        return super().attempt_ended(now_s, outcome)

    def _end(
        self,
        now_s: float,
        pending: _ingress_state.PendingRequest,
        code: exceptions.ErrorCode,
    ) -> list[types.IngressAction]:
        for attempt in pending.open.values():
            self._count_result(now_s, attempt.owner, False)
        return super()._end(now_s, pending, code)

    def _count_result(self, now_s: float, owner: str, answered: bool) -> None:
        if answered:
            self._errors[owner] = 0
            return
        self._errors[owner] += 1
        if self._errors[owner] >= MAX_CONSECUTIVE_ERRORS:
            self._errors[owner] = 0
            self._ejected_until_s[owner] = now_s + EJECTION_S

    def _select(
        self,
        now_s: float,
        service: _ingress_state.ServiceView,
        pending: _ingress_state.PendingRequest,
    ) -> _service_view.OwnerChoice | None:
        names = [n for n in service.owners if n not in pending.tried]
        usable = [
            n for n in names if self._ejected_until_s.get(n, 0.0) <= now_s
        ]
        if 2 * len(usable) < len(service.owners):
            usable = names
        if not usable:
            return None
        self._next_owner += 1
        name = usable[self._next_owner % len(usable)]
        return _service_view.OwnerChoice(service.owners[name], True)


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """A named change to the current policy.

    :param health: changed fields of ``HealthTuning``.
    :param routing: changed fields of ``RoutingTuning``.
    :param retry_ratio: retries and hedges per first attempt.
    """

    name: str
    health: dict[str, float | bool] = dataclasses.field(default_factory=dict)
    routing: dict[str, float | bool] = dataclasses.field(default_factory=dict)
    retry_ratio: float = 0.1
    make_ingress: cabc.Callable[
        [str, random.Random], _ingress_controller.IngressController
    ] = _ingress_controller.IngressController


_NO_STEERING = {
    "doubt_score": math.inf,
    "steer_score": math.inf,
    "eject_score": math.inf,
    "hold_failed_slots": False,
}
CURRENT = Policy("policy in force")
BASELINES = [
    Policy(
        "random, no ejection",
        _NO_STEERING,
        {
            "choices": 1,
            "hedges": False,
            "silence_s": math.inf,
            "silent_hedges": False,
        },
    ),
    Policy(
        "round robin, 5 errors in a row",
        _NO_STEERING,
        {"hedges": False, "silence_s": math.inf, "silent_hedges": False},
        make_ingress=ConsecutiveErrors,
    ),
]
VERSIONS = [
    Policy(
        "version 1: steering at 9 nats, no slack",
        {
            "doubt_score": math.inf,
            "steer_score": 9.0,
            "slack": 1.0,
            "stall_age_s": 0.3,
        },
    ),
    Policy(
        "version 2: slack, steering at 12 nats",
        {
            "doubt_score": math.inf,
            "steer_score": 12.0,
            "stall_age_s": 0.5,
        },
    ),
]
ABLATIONS = [
    Policy("no doubt before steering", {"doubt_score": math.inf}),
    Policy("no latency evidence", {"latency_evidence": False}),
    Policy("no error evidence", {"error_evidence": False}),
    Policy("no evidence per route", {"per_route_evidence": False}),
    Policy("failed slots free at once", {"hold_failed_slots": False}),
    Policy("no slow start", {"slow_start_s": 0.0}),
    Policy("stays don't grow", {"max_stay_s": 2.0}),
    Policy("no hedges", {}, {"hedges": False}),
    Policy("no retries or hedges", {}, {"hedges": False}, 0.0),
    Policy("one random choice", {}, {"choices": 1}),
    Policy(
        "silent owners not avoided",
        {},
        {"silence_s": math.inf, "silent_hedges": False},
    ),
    Policy("no lookups on steered owners", {}, {"trial_ratio": 0.0}),
]


def _replace(values: Tuning, changes: dict[str, float | bool]) -> Tuning:
    return msgspec.structs.replace(values, **changes)


def make_policy(
    policy: Policy, deployment: model.Deployment, upstreams: int
) -> _service_policy.ServicePolicy:
    """Return the service policy, with a floor of half of all slots."""
    health = _service_policy.health_tuning(deployment.priority)
    routing = _service_policy.RoutingTuning()
    return _service_policy.ServicePolicy(
        floor_slots=upstreams * deployment.slots // 2,
        health_priority=deployment.priority,
        retry_budget=_retry.BudgetLimits(ratio=policy.retry_ratio),
        health=_replace(health, policy.health),
        routing=_replace(routing, policy.routing),
    )
