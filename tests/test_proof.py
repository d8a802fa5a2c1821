"""Tests of decisions for work that may run once beside hanging upstreams."""

from __future__ import annotations

import msgspec.structs

from papayastall import _decision_types as types
from papayastall import _retry
from papayastall import _service_policy
from tests import decision_helpers as helpers

LIMITS = _retry.BudgetLimits(ratio=0.12, burst=2.0, refill_per_s=0.1)
VARIED = _service_policy.for_table("domain-1", LIMITS, is_varied=True)
OWNERS = 6


def _answer(
    forward: types.ForwardAttempt, load: types.OwnerLoad | None
) -> types.AttemptOutcome:
    return types.AttemptOutcome(
        forward.request_id,
        forward.attempt,
        types.AttemptResult.ANSWERED,
        200,
        None,
        None,
        load,
    )


def test_routes_whose_owners_have_answered_little() -> None:
    """The ingress takes the median from its own answers until then.

    Without a median, lookups that take 0.6 s were hedged after a quarter of
    their objective, although nothing hung.
    """
    ingress = helpers.ingress(OWNERS, VARIED)
    for number in range(10):
        [forward] = ingress.begin(
            number, helpers.ingress_request(number, deadline_s=1e6)
        )
        assert isinstance(forward, types.ForwardAttempt)
        load = msgspec.structs.replace(
            helpers.load(forward.owner), latency_ms=None
        )
        ingress.attempt_ended(number + 0.6, _answer(forward, load))
    request = msgspec.structs.replace(
        helpers.ingress_request(100), max_attempts=2, objective_s=2.0
    )
    ingress.begin(20.0, request)
    assert ingress.tick(20.6) == []
