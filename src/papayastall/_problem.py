"""HTTP representation of errors as problem details (RFC 9457)."""

from __future__ import annotations

import math

import msgspec
import orjson

from papayastall import exceptions

__all__ = ["Problem", "problem_of", "status_of"]

_Code = exceptions.ErrorCode

_STATUSES = {
    _Code.BAD_REQUEST: 400,
    _Code.BAD_DOCUMENT: 400,
    _Code.BAD_ANNOUNCEMENT: 400,
    _Code.UNAUTHORIZED: 401,
    _Code.UNKNOWN_KEY: 401,
    _Code.UNKNOWN_SERVICE: 404,
    _Code.UNKNOWN_ROUTE: 404,
    _Code.BODY_TOO_SLOW: 408,
    _Code.REVISION_CONFLICT: 409,
    _Code.STILL_RUNNING: 409,
    _Code.OUTCOME_UNKNOWN: 409,
    _Code.BODY_TOO_LARGE: 413,
    _Code.KEY_REUSED: 422,
    _Code.CRASHING_REQUEST: 422,
    _Code.QUOTA_EXCEEDED: 429,
    _Code.INTERNAL: 500,
    _Code.UPSTREAM_FAILED: 502,
    _Code.LINK_FAILED: 502,
    _Code.DEADLINE_EXCEEDED: 504,
}
DEFAULT_STATUS = 503
_OUTCOME_UNKNOWN_STATUSES = frozenset({502, 504})


class Problem(msgspec.Struct, frozen=True):
    """One error as it is reported to a caller or an operator.

    :param ran: whether the request ran; ``None`` if the call runs nothing.
    :param retry_after_s: seconds after which to retry; ``None`` if a retry
        does not help.
    """

    code: exceptions.ErrorCode
    detail: str
    step: str
    ran: exceptions.RanState | None = exceptions.RanState.NO
    peer: str | None = None
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status.

        503 guarantees that the request did not run; 502 and 504 leave that
        open.
        """
        status = status_of(self.code)
        match self.ran:
            case exceptions.RanState.NO if status in _OUTCOME_UNKNOWN_STATUSES:
                return DEFAULT_STATUS
            case exceptions.RanState.UNKNOWN if status == DEFAULT_STATUS:
                return _STATUSES[_Code.UPSTREAM_FAILED]
        return status

    def headers(self, *, fractions: bool = False) -> list[tuple[bytes, bytes]]:
        """Return the response headers.

        :param fractions: whether ``Retry-After`` may be a fraction of a
            second, which the HTTP standard does not allow.
        """
        headers = [(b"content-type", b"application/problem+json")]
        if self.retry_after_s is not None:
            text = f"{self.retry_after_s:.2f}"
            if not fractions:
                text = str(max(1, math.ceil(self.retry_after_s)))
            headers.append((b"retry-after", text.encode()))
        return headers

    def body(self) -> bytes:
        """Return the response body, a JSON object."""
        values: dict[str, object] = {
            "type": f"urn:papayastall:error:{self.code.value}",
            "title": self.code.value.replace("-", " "),
            "status": self.status,
            "detail": self.detail,
            "code": self.code.value,
            "step": self.step,
        }
        if self.ran is not None:
            values["ran"] = self.ran.value
        if self.peer is not None:
            values["peer"] = self.peer
        if self.retry_after_s is not None:
            values["retry_after_s"] = round(self.retry_after_s, 3)
        return orjson.dumps(values)


def status_of(code: exceptions.ErrorCode) -> int:
    """Return the HTTP status for an error code."""
    return _STATUSES.get(code, DEFAULT_STATUS)


def problem_of(error: exceptions.PapayastallError) -> Problem:
    """Return the problem details of an error."""
    ran: exceptions.RanState | None = None
    match error:
        case exceptions.RefusedError():
            ran = exceptions.RanState.NO
        case exceptions.OutcomeUnknownError():
            ran = exceptions.RanState.UNKNOWN
    return Problem(
        error.code,
        error.message,
        error.step,
        ran,
        error.peer,
        error.retry_after_s,
    )
