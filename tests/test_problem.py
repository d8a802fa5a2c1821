"""Tests of the HTTP status and the headers of problems.

A caller may send a request again after a status of 503. It must therefore
not be used for a request that may have run.
"""

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
def test_status_guarantees_no_more_than_is_known(
    code: exceptions.ErrorCode, ran: exceptions.RanState | None, status: int
) -> None:
    problem = _problem.Problem(code, "", "test", ran)
    assert problem.status == status


@pytest.mark.parametrize(
    ("retry_after_s", "fractions", "expected"),
    [
        (0.3, False, b"1"),
        (1.2, False, b"2"),
        (1.234, True, b"1.23"),
        (0.3, True, b"0.30"),
    ],
)
def test_retry_after_has_fractions_only_where_callers_accept_them(
    retry_after_s: float, fractions: bool, expected: bytes
) -> None:
    problem = _problem.Problem(
        exceptions.ErrorCode.OVERLOADED,
        "full",
        "admit",
        retry_after_s=retry_after_s,
    )
    headers = dict(problem.headers(fractions=fractions))
    assert headers[b"retry-after"] == expected
