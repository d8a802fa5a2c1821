"""Exception hierarchy of papayastall, with stable error codes.

Every error has a code, the step at which it occurred and, if another
process was involved, the peer. The codes are listed in ``docs/errors.md``.
"""

from __future__ import annotations

import enum

__all__ = [
    "BadInputError",
    "ConflictError",
    "ErrorCode",
    "OutcomeUnknownError",
    "PapayastallError",
    "ProtocolError",
    "RanState",
    "RefusedError",
    "StillRunningError",
    "StorageError",
    "UnreachableError",
]


class ErrorCode(enum.Enum):
    """Error codes; callers and operators may rely on their values."""

    BAD_SETTINGS = "bad-settings"
    BAD_DOCUMENT = "bad-document"
    BAD_REQUEST = "bad-request"
    BAD_FRAME = "bad-frame"
    BAD_ANNOUNCEMENT = "bad-announcement"
    BODY_TOO_LARGE = "body-too-large"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_ROUTE = "unknown-route"
    UNAUTHORIZED = "unauthorized"
    REVISION_CONFLICT = "revision-conflict"
    KEY_REUSED = "key-reused"
    STILL_RUNNING = "still-running"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no-upstream"
    LEAVING = "leaving"
    CRASHING_REQUEST = "crashing-request"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    NOT_READY = "not-ready"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    CANCELLED = "cancelled"
    UPSTREAM_FAILED = "upstream-failed"
    LINK_FAILED = "link-failed"
    NO_LEADER = "no-leader"
    NOT_LEADER = "not-leader"
    FLOOR = "floor"
    STORAGE_DAMAGED = "storage-damaged"
    STORAGE_FAILED = "storage-failed"
    FOLDER_IN_USE = "folder-in-use"
    FOLDER_EXCLUDED = "folder-excluded"
    INTERNAL = "internal"
    OUTCOME_UNKNOWN = "outcome-unknown"
    STEERED_AWAY = "steered-away"
    UNPROVEN = "unproven"
    REPEATS_SPENT = "repeats-spent"
    UPSTREAM_FULL = "upstream-full"
    UNKNOWN_KEY = "unknown-key"
    KEYS_UNCONFIRMED = "keys-unconfirmed"
    QUOTA_EXCEEDED = "quota-exceeded"
    QUOTA_UNDECIDED = "quota-undecided"
    MEMORY_FULL = "memory-full"
    BODY_TOO_SLOW = "body-too-slow"


class RanState(enum.Enum):
    """Whether an upstream ran a request."""

    NO = "no"
    UNKNOWN = "unknown"


class PapayastallError(Exception):
    """Base class of all errors of this package.

    :param code: stable code of the error.
    :param message: what is wrong and what to do, for a caller or an operator.
    :param step: the step at which the error occurred.
    :param peer: address or name of the other process, if any.
    :param retry_after_s: seconds after which to retry; ``None`` if a retry
        does not help.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        step: str,
        peer: str | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.step = step
        self.peer = peer
        self.retry_after_s = retry_after_s

    def __str__(self) -> str:
        peer = f" (peer {self.peer})" if self.peer else ""
        return f"{self.code.value}: {self.step}: {self.message}{peer}"


class BadInputError(PapayastallError):
    """Invalid input; the sender has to correct it."""


class ConflictError(PapayastallError):
    """A conflict with an earlier change or request."""


class UnreachableError(PapayastallError):
    """A peer that did not answer."""


class ProtocolError(PapayastallError):
    """A message from a peer that violates the protocol."""


class StorageError(PapayastallError):
    """A failure to read or write the data folder."""


class RefusedError(PapayastallError):
    """A request that was refused and did not run."""


class OutcomeUnknownError(PapayastallError):
    """A request that may or may not have run."""


class StillRunningError(OutcomeUnknownError):
    """An idempotency key whose first request is still running."""
