"""Refusals of requests that get no answer."""

from __future__ import annotations

import random

from papayastall import _decision_types as types
from papayastall import _retry
from papayastall import exceptions

__all__ = ["refuse_crashing", "refuse_ended", "refuse_not_run"]

_Code = exceptions.ErrorCode
_Ran = exceptions.RanState


def refuse_not_run(
    request_id: int,
    code: exceptions.ErrorCode,
    rng: random.Random,
    *,
    backlog_s: float = 0.0,
    retry_after_s: float | None = None,
) -> types.RefuseRequest:
    """Return the refusal of a request that did not run.

    :param backlog_s: time that the work already accepted takes, seconds.
    :param retry_after_s: retry delay that the upstream suggests, in
        seconds; otherwise it is derived from the backlog.
    """
    if retry_after_s is None:
        retry_after_s = _retry.jittered_retry_after_s(backlog_s, rng)
    return types.RefuseRequest(
        request_id, code, _Ran.NO, retry_after_s, final=False
    )


def refuse_crashing(
    request_id: int, ran: exceptions.RanState
) -> types.RefuseRequest:
    """Return the final refusal of a request that crashes upstreams."""
    return types.RefuseRequest(
        request_id, _Code.CRASHING_REQUEST, ran, None, final=True
    )


def refuse_ended(
    request_id: int,
    outcome: types.Outcome,
    rng: random.Random,
    retry_after_s: float | None,
) -> types.RefuseRequest | None:
    """Return the refusal of a request that got no complete answer.

    Returns ``None`` for an outcome that needs no refusal, such as a complete
    answer.

    :param retry_after_s: retry delay that the upstream suggests, in seconds.
    """
    match outcome:
        case types.Outcome.SHED:
            return refuse_not_run(
                request_id,
                _Code.UPSTREAM_FULL,
                rng,
                retry_after_s=retry_after_s,
            )
        case types.Outcome.EXPIRED:
            return refuse_not_run(request_id, _Code.DEADLINE_EXCEEDED, rng)
        case types.Outcome.CONNECT_FAILED:
            return refuse_not_run(request_id, _Code.UPSTREAM_FAILED, rng)
        case types.Outcome.BROKEN:
            code = _Code.UPSTREAM_FAILED
        case types.Outcome.TIMED_OUT:
            code = _Code.DEADLINE_EXCEEDED
        case _:
            return None
    return types.RefuseRequest(
        request_id, code, _Ran.UNKNOWN, None, final=False
    )
