"""The status of a problem says whether the request ran."""

from __future__ import annotations

import pytest

from papayastall import _problem
from papayastall import exceptions

Code = exceptions.ErrorCode
Ran = exceptions.RanState


@pytest.mark.parametrize(
    ("code", "ran", "status"),
    [
        (Code.OVERLOADED, Ran.NO, 503),
        (Code.OVERLOADED, Ran.UNKNOWN, 502),
        (Code.DEADLINE_EXCEEDED, Ran.NO, 503),
        (Code.DEADLINE_EXCEEDED, Ran.UNKNOWN, 504),
        (Code.LINK_FAILED, Ran.NO, 503),
        (Code.UPSTREAM_FAILED, Ran.UNKNOWN, 502),
        (Code.UNKNOWN_ROUTE, Ran.NO, 404),
        (Code.BAD_DOCUMENT, None, 400),
    ],
)
def test_a_status_promises_no_more_than_is_known(
    code: exceptions.ErrorCode, ran: exceptions.RanState | None, status: int
) -> None:
    problem = _problem.Problem(code, "", "test", ran)
    assert problem.status == status
