"""Client for claims of idempotency keys; runs on every node."""

from __future__ import annotations

import hashlib
import os

import anyio
import anyio.abc
import anyio.lowlevel
import xxhash

from papayastall import _control_calls
from papayastall import _control_commands as commands
from papayastall import _peering
from papayastall import clock
from papayastall import exceptions
from papayastall import ingress
from papayastall import owner

__all__ = ["ClaimClient", "claim_group", "hash_claim_key"]

KEY_SIZE_BYTES = 16
TOKEN_SIZE_BYTES = 16
CLAIM_CALL_TIMEOUT_S = 2.0
BACKGROUND_CALL_TIMEOUT_S = 120.0
MAX_BACKGROUND_CALLS = 1024
CLOSE_TIMEOUT_S = 5.0
CLOSE_POLL_INTERVAL_S = 0.02
MAX_RECORDED_ANSWER_BYTES = 60 * 1024
"""Larger answers are recorded without their headers and body."""
UNAVAILABLE_RETRY_AFTER_S = 2.0
HASH_SLOTS = 4096

_Code = exceptions.ErrorCode
_State = commands.ClaimState


def hash_claim_key(key: str) -> bytes:
    """Return the digest by which a scoped idempotency key is stored."""
    return hashlib.blake2b(key.encode(), digest_size=KEY_SIZE_BYTES).digest()


def claim_group(key: bytes, groups: int) -> int:
    """Return the number of the group that holds a key, 1 to ``groups``."""
    slot = xxhash.xxh64_intdigest(key) % HASH_SLOTS
    return 1 + slot % groups


class ClaimClient:
    """Claims keys for the ingress and records outcomes for the owner.

    :param groups: number of groups of claims.
    """

    def __init__(
        self, group_client: _control_calls.GroupClient, groups: int
    ) -> None:
        self._group_client = group_client
        self._groups = groups
        self._tasks: anyio.abc.TaskGroup | None = None
        self._background_calls = 0

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Run calls that may outlast their request in ``tasks``."""
        self._tasks = tasks

    async def close(self) -> None:
        """Wait up to ``CLOSE_TIMEOUT_S`` for background calls to end.

        Resends of a request whose outcome is not recorded by then are
        answered with "outcome unknown".
        """
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            while self._background_calls:
                await anyio.sleep(CLOSE_POLL_INTERVAL_S)

    async def claim(
        self, key: str, fingerprint: int, deadline_s: float
    ) -> str | ingress.RecordedAnswer:
        """Claim a key and return the claim's token, or the first answer.

        The claim is durable when this returns.

        :param fingerprint: digest of the request; a resend has the same.
        :param deadline_s: deadline of the request on the monotonic clock.
        :raises papayastall.exceptions.PapayastallError: the key is claimed
            already or can't be claimed; this request was not run.
        """
        token = os.urandom(TOKEN_SIZE_BYTES)
        left_s = max(0.0, deadline_s - clock.now_s())
        command = commands.Claim(
            hash_claim_key(key),
            token,
            fingerprint.to_bytes(8, "big", signed=fingerprint < 0),
            int(left_s * 1000),
        )
        try:
            result = await self._call(
                commands.Command(claim=command),
                min(left_s, CLAIM_CALL_TIMEOUT_S),
            )
        except BaseException as error:
            # The claim may be committed, but its request will not be run.
            self._call_in_background(_make_release(key, token.hex()))
            if isinstance(error, exceptions.PapayastallError):
                raise _make_unavailable(str(error)) from error
            raise
        return _read_result(result, token)

    async def release(self, key: str, token: str) -> None:
        """Release the key of a request that certainly did not run."""
        self._call_in_background(_make_release(key, token))

    async def record(self, outcome: owner.ClaimedAnswer) -> None:
        """Record an answer in the background.

        The caller's answer need not wait for this: until the outcome is
        recorded, resends get "still running" or "outcome unknown".
        """
        self._call_in_background(
            commands.Command(record_outcome=_make_record(outcome))
        )

    async def _call(
        self, command: commands.Command, timeout_s: float
    ) -> commands.ClaimResult:
        keyed_command = (
            command.claim or command.record_outcome or command.release_claim
        )
        assert keyed_command is not None
        group = claim_group(keyed_command.key, self._groups)
        result = await self._group_client.call(
            _peering.Channel.CLAIM, group, command, timeout_s
        )
        if result.claim is None:
            raise exceptions.ProtocolError(
                _Code.BAD_FRAME, "control sent no claim", step="claim"
            )
        return result.claim

    def _call_in_background(self, command: commands.Command) -> None:
        if (
            self._tasks is None
            or self._background_calls >= MAX_BACKGROUND_CALLS
        ):
            return
        self._background_calls += 1
        self._tasks.start_soon(self._run_background_call, command)

    async def _run_background_call(self, command: commands.Command) -> None:
        try:
            await self._call(command, BACKGROUND_CALL_TIMEOUT_S)
        except exceptions.PapayastallError:
            # Resends then get "outcome unknown", which is true.
            await anyio.lowlevel.checkpoint()
        finally:
            self._background_calls -= 1


def _make_release(key: str, token: str) -> commands.Command:
    return commands.Command(
        release_claim=commands.ReleaseClaim(
            hash_claim_key(key), bytes.fromhex(token)
        )
    )


def _make_record(outcome: owner.ClaimedAnswer) -> commands.RecordOutcome:
    headers = tuple(
        commands.Header(name, value) for name, value in outcome.headers
    )
    size_bytes = len(outcome.body) + sum(
        len(header.name) + len(header.value) for header in headers
    )
    answer = commands.Answer(outcome.status, headers, outcome.body)
    if not outcome.complete or size_bytes > MAX_RECORDED_ANSWER_BYTES:
        answer = commands.Answer(outcome.status)
        size_bytes = commands.OMITTED_ANSWER_SIZE_BYTES
    return commands.RecordOutcome(
        hash_claim_key(outcome.claim_key),
        bytes.fromhex(outcome.claim_token),
        answer,
        size_bytes,
    )


def _read_result(
    result: commands.ClaimResult, token: bytes
) -> str | ingress.RecordedAnswer:
    match result:
        case commands.ClaimResult(_State.GRANTED):
            return token.hex()
        case commands.ClaimResult(_State.ANSWERED, answer) if answer:
            headers = [(h.name, h.value) for h in answer.headers]
            return ingress.RecordedAnswer(answer.status, headers, answer.body)
        case commands.ClaimResult(_State.RUNNING):
            # A plain refusal would imply that the first request did not run.
            raise exceptions.StillRunningError(
                _Code.STILL_RUNNING,
                "the first request with this key still runs; come back",
                step="claim",
                retry_after_s=result.retry_after_ms / 1000,
            )
        case commands.ClaimResult(_State.KEY_REUSED):
            raise exceptions.ConflictError(
                _Code.KEY_REUSED,
                "the key was used for another request; take a new key",
                step="claim",
            )
        case commands.ClaimResult(_State.UNKNOWN | _State.ANSWER_DROPPED):
            raise exceptions.OutcomeUnknownError(
                _Code.OUTCOME_UNKNOWN,
                "the first request with this key may have run and its "
                "answer is not known; ask the service before a new key",
                step="claim",
            )
    raise _make_unavailable(result.state.name.lower())


def _make_unavailable(cause: str) -> exceptions.RefusedError:
    return exceptions.RefusedError(
        _Code.CLAIM_UNAVAILABLE,
        f"the key could not be claimed and nothing was run ({cause})",
        step="claim",
        retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
    )
