"""Idempotency keys: claimed before a request runs, answered after."""

from __future__ import annotations

import collections.abc as cabc
import hashlib
import secrets
import time

import anyio.abc
import xxhash

from papayastall import _control_commands as commands
from papayastall import _groups
from papayastall import exceptions
from papayastall import ingress
from papayastall import metrics
from papayastall import owner

__all__ = ["ClaimClient", "claim_group"]

FIRST_CLAIM_GROUP = 1
CLAIM_TIMEOUT_S = 2.0
RECORD_TIMEOUT_S = 60.0
RELEASE_TIMEOUT_S = 30.0
UNAVAILABLE_RETRY_S = 2.0
KEY_BYTES = 16

_Code = exceptions.ErrorCode
_State = commands.ClaimState


def claim_group(key: bytes, group_count: int) -> int:
    """Return the replicated group that holds the claim of a key."""
    return FIRST_CLAIM_GROUP + xxhash.xxh3_64_intdigest(key) % group_count


class ClaimClient:
    """The ingress's gate and the owner's recorder on one node.

    :param group_count: number of groups that hold claims.
    """

    def __init__(
        self,
        groups: _groups.GroupClient,
        group_count: int,
        counters: metrics.Metrics,
    ) -> None:
        self._groups = groups
        self._group_count = group_count
        self._counters = counters
        self._tasks: anyio.abc.TaskGroup | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Record and release in ``tasks``."""
        self._tasks = tasks

    async def claim(
        self, key: str, fingerprint: int, deadline_s: float
    ) -> ingress.GrantedClaim | ingress.KeptAnswer:
        """Return a durable claim, or the first answer.

        :raises papayastall.exceptions.RefusedError: not claimed, not run.
        :raises papayastall.exceptions.OutcomeUnknownError: the key's first
            request runs still, or how it ended is not known.
        """
        digest = _digest(key)
        token = secrets.token_bytes(KEY_BYTES)
        left_s = deadline_s - time.monotonic()
        claim = commands.Claim(
            key=digest,
            token=token,
            digest=fingerprint.to_bytes(8, "big"),
            timeout_ms=max(1, int(left_s * 1000)),
        )
        try:
            result = await self._call(
                digest,
                commands.Command(claim=claim),
                min(CLAIM_TIMEOUT_S, left_s),
            )
        except exceptions.PapayastallError as error:
            # Whoever proposed it may still commit it: give it back.
            await self.release(digest.hex(), token.hex())
            raise _unavailable() from error
        if result.state is _State.GRANTED:
            self._counters.count(metrics.Counter.CLAIMS)
            return ingress.GrantedClaim(digest.hex(), token.hex())
        self._counters.count(metrics.Counter.CLAIM_REPEATS)
        return _read_answer(result)

    async def release(self, key: str, token: str) -> None:
        """Free the key of a request that did not run."""
        digest = bytes.fromhex(key)
        command = commands.Command(
            release_claim=commands.ReleaseClaim(digest, bytes.fromhex(token))
        )
        self._start(self._send, digest, command, RELEASE_TIMEOUT_S)

    async def record(self, outcome: owner.ClaimedAnswer) -> None:
        """Make the answer durable; returns before it is."""
        digest = bytes.fromhex(outcome.claim_key)
        answer = commands.Answer(outcome.status)
        if outcome.complete:
            answer = commands.Answer(
                outcome.status,
                tuple(
                    commands.Header(name, value)
                    for name, value in outcome.headers
                ),
                outcome.body,
            )
        record = commands.RecordOutcome(
            key=digest,
            token=bytes.fromhex(outcome.claim_token),
            answer=answer,
            size_bytes=outcome.size_bytes,
        )
        command = commands.Command(record_outcome=record)
        self._start(self._send, digest, command, RECORD_TIMEOUT_S)

    def _start(
        self,
        call: cabc.Callable[
            [bytes, commands.Command, float],
            cabc.Coroutine[object, object, None],
        ],
        digest: bytes,
        command: commands.Command,
        timeout_s: float,
    ) -> None:
        assert self._tasks is not None
        self._tasks.start_soon(call, digest, command, timeout_s)

    async def _send(
        self, digest: bytes, command: commands.Command, timeout_s: float
    ) -> None:
        try:
            await self._call(digest, command, timeout_s)
        except exceptions.PapayastallError:
            # The claim runs out at its deadline: "outcome unknown".
            self._counters.count(metrics.Counter.CLAIM_OUTCOMES_LOST)

    async def _call(
        self, digest: bytes, command: commands.Command, timeout_s: float
    ) -> commands.ClaimResult:
        group = claim_group(digest, self._group_count)
        result = await self._groups.call(group, command, timeout_s)
        assert result.claim is not None
        return result.claim


def _read_answer(result: commands.ClaimResult) -> ingress.KeptAnswer:
    """Return the first answer to a key, or raise what is known of it."""
    match result.state:
        case _State.ANSWERED if result.answer is not None:
            answer = result.answer
            return ingress.KeptAnswer(
                answer.status,
                [(item.name, item.value) for item in answer.headers],
                answer.body,
            )
        case _State.RUNNING:
            raise exceptions.OutcomeUnknownError(
                _Code.STILL_RUNNING,
                "the first request with this key is still running",
                step="claim",
                retry_after_s=result.retry_after_ms / 1000,
            )
        case _State.ANSWERED | _State.ANSWER_DROPPED:
            raise exceptions.OutcomeUnknownError(
                _Code.ANSWER_NOT_KEPT,
                "the first request with this key ran; its answer is not kept",
                step="claim",
            )
        case _State.UNKNOWN:
            raise exceptions.OutcomeUnknownError(
                _Code.OUTCOME_UNKNOWN,
                "the first request with this key may have run; ask the "
                "service before you send it with a new key",
                step="claim",
            )
        case _State.KEY_REUSED:
            raise exceptions.RefusedError(
                _Code.KEY_REUSED,
                "this key was used for another request; take a new key",
                step="claim",
            )
    raise _unavailable()


def _digest(key: str) -> bytes:
    return hashlib.blake2b(key.encode(), digest_size=KEY_BYTES).digest()


def _unavailable() -> exceptions.RefusedError:
    return exceptions.RefusedError(
        _Code.CLAIM_UNAVAILABLE,
        "the key can't be claimed at present; the request did not run",
        step="claim",
        retry_after_s=UNAVAILABLE_RETRY_S,
    )
