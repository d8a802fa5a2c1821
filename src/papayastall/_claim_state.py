"""Replicated claims of idempotency keys, so that a key runs at most once.

A claim is granted to one token. It ends as answered, as released (the
request certainly did not run) or, after the deadline of its holder's
request, as unknown.
"""

from __future__ import annotations

import collections.abc as cabc
import heapq

import msgspec

from papayastall import _control_commands as commands

__all__ = ["CLAIM_RETENTION_MS", "ClaimTable", "StoredClaim"]

CLAIM_RETENTION_MS = 24 * 3600 * 1000
"""Time for which an answered claim, or one without an outcome, is kept."""
RELEASED_RETENTION_MS = 10 * 60 * 1000
ANSWER_RETENTION_MS = 3600 * 1000
MAX_ANSWER_BYTES = 64 * 1024
MAX_TOTAL_ANSWER_BYTES = 1536 * 1024
MAX_CLAIMS = 35_000
MAX_TIMEOUT_MS = 600_000
MAX_RELEASED_TOKENS = 8
"""Released tokens that are recorded for one key."""

_State = commands.ClaimState


class StoredClaim(msgspec.Struct):
    """The claim of one key.

    :param state: ``GRANTED``, ``ANSWERED`` or ``RELEASED``.
    :param running_until_ms: deadline of the holder's request.
    :param expires_ms: when the claim is deleted.
    :param answer: the first answer, ``None`` once it is dropped.
    :param status: HTTP status of the first answer; outlasts the answer.
    :param released_tokens: tokens that can no longer claim the key.
    """

    key: bytes
    token: bytes
    digest: bytes
    state: commands.ClaimState
    running_until_ms: int
    expires_ms: int
    answer: commands.Answer | None = None
    status: int = 0
    released_tokens: tuple[bytes, ...] = ()


class ClaimTable:
    """The claims of one group.

    :param max_claims: most claims held; further keys are refused.
    """

    def __init__(
        self,
        claims: cabc.Iterable[StoredClaim] = (),
        max_claims: int = MAX_CLAIMS,
    ) -> None:
        self._claims: dict[bytes, StoredClaim] = {}
        self._expiries: list[tuple[int, bytes]] = []
        self._answers: dict[bytes, int] = {}
        self._encoded: dict[bytes, bytes] = {}
        self._max_claims = max_claims
        self.answers_bytes = 0
        for claim in claims:
            self._claims[claim.key] = claim
            heapq.heappush(self._expiries, (claim.expires_ms, claim.key))
            if claim.answer is not None:
                self._answers[claim.key] = claim.expires_ms
                self.answers_bytes += _answer_size_bytes(claim.answer)

    def __len__(self) -> int:
        return len(self._claims)

    def list_claims(self) -> list[StoredClaim]:
        """Return all claims, those with answers last, oldest answer first."""
        plain = [c for c in self._claims.values() if c.answer is None]
        return plain + [self._claims[key] for key in self._answers]

    def encode_claims(self) -> list[bytes]:
        """Return all claims encoded, in the order of `list_claims`.

        Only claims that changed since the last call are encoded, as the
        replica is blocked meanwhile.
        """
        encoded = self._encoded
        for key, claim in self._claims.items():
            if key not in encoded:
                encoded[key] = commands.codec.encode(claim)
        return [encoded[claim.key] for claim in self.list_claims()]

    def expire(self, now_ms: int) -> None:
        """Delete claims and answers past their retention time."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, key = heapq.heappop(self._expiries)
            claim = self._claims.get(key)
            if claim is not None and claim.expires_ms <= now_ms:
                self._drop_answer(claim)
                self._encoded.pop(key, None)
                del self._claims[key]
        kept_until_ms = now_ms + CLAIM_RETENTION_MS - ANSWER_RETENTION_MS
        while self._answers:
            key = next(iter(self._answers))
            if self._answers[key] > kept_until_ms:
                break
            self._drop_answer(self._claims[key])

    def claim(
        self, now_ms: int, command: commands.Claim
    ) -> commands.ClaimResult:
        """Grant a key to one token, or return the state of its claim."""
        known = self._claims.get(command.key)
        if known is None:
            return self._grant(now_ms, command, ())
        if command.token in known.released_tokens:
            return commands.ClaimResult(_State.RELEASED)
        if known.state is _State.RELEASED:
            return self._grant(now_ms, command, known.released_tokens)
        if known.digest != command.digest:
            return commands.ClaimResult(_State.KEY_REUSED)
        if known.state is _State.ANSWERED:
            return _make_answer_result(known)
        if known.token == command.token:
            return commands.ClaimResult(_State.GRANTED)
        if now_ms < known.running_until_ms:
            left_ms = known.running_until_ms - now_ms
            return commands.ClaimResult(_State.RUNNING, None, left_ms)
        return commands.ClaimResult(_State.UNKNOWN)

    def record(
        self, now_ms: int, command: commands.RecordOutcome
    ) -> commands.ClaimResult:
        """Record the first answer of the request that ran."""
        known = self._claims.get(command.key)
        if known is None or known.token != command.token:
            return commands.ClaimResult(_State.NOT_HOLDER)
        if known.state is _State.ANSWERED:
            return commands.ClaimResult(_State.RECORDED)
        assert known.state is _State.GRANTED, (
            "answer recorded for a released claim"
        )
        self._encoded.pop(known.key, None)
        known.state = _State.ANSWERED
        known.status = command.answer.status
        if command.size_bytes <= MAX_ANSWER_BYTES:
            self._keep_answer(now_ms, known, command.answer)
        self._set_expiry(known, now_ms + CLAIM_RETENTION_MS)
        return commands.ClaimResult(_State.RECORDED)

    def release(
        self, now_ms: int, command: commands.ReleaseClaim
    ) -> commands.ClaimResult:
        """Release a key whose request did not run.

        A token whose release arrives before its claim can no longer claim
        the key.
        """
        known = self._claims.get(command.key)
        if known is None:
            if len(self._claims) >= self._max_claims:
                return commands.ClaimResult(_State.FULL)
            known = StoredClaim(
                command.key, b"", b"", _State.RELEASED, now_ms, now_ms
            )
            self._claims[command.key] = known
        elif known.token == command.token:
            if known.state is not _State.GRANTED:
                return commands.ClaimResult(_State.NOT_HOLDER)
            known.state = _State.RELEASED
            known.token = b""
        self._encoded.pop(command.key, None)
        if command.token not in known.released_tokens:
            tokens = (*known.released_tokens, command.token)
            known.released_tokens = tokens[-MAX_RELEASED_TOKENS:]
        if known.state is _State.RELEASED:
            self._set_expiry(known, now_ms + RELEASED_RETENTION_MS)
        return commands.ClaimResult(_State.RELEASED)

    def _grant(
        self,
        now_ms: int,
        command: commands.Claim,
        released_tokens: tuple[bytes, ...],
    ) -> commands.ClaimResult:
        known = self._claims.get(command.key)
        if known is None and len(self._claims) >= self._max_claims:
            return commands.ClaimResult(_State.FULL)
        assert known is None or known.state is _State.RELEASED, (
            "key is already claimed"
        )
        timeout_ms = min(max(command.timeout_ms, 0), MAX_TIMEOUT_MS)
        claim = StoredClaim(
            key=command.key,
            token=command.token,
            digest=command.digest,
            state=_State.GRANTED,
            running_until_ms=now_ms + timeout_ms,
            expires_ms=0,
            released_tokens=released_tokens,
        )
        self._claims[command.key] = claim
        self._encoded.pop(command.key, None)
        self._set_expiry(claim, now_ms + CLAIM_RETENTION_MS)
        return commands.ClaimResult(_State.GRANTED)

    def _set_expiry(self, claim: StoredClaim, expires_ms: int) -> None:
        claim.expires_ms = expires_ms
        heapq.heappush(self._expiries, (expires_ms, claim.key))

    def _keep_answer(
        self, now_ms: int, claim: StoredClaim, answer: commands.Answer
    ) -> None:
        size_bytes = _answer_size_bytes(answer)
        while self._answers and (
            self.answers_bytes + size_bytes > MAX_TOTAL_ANSWER_BYTES
        ):
            self._drop_answer(self._claims[next(iter(self._answers))])
        claim.answer = answer
        self.answers_bytes += size_bytes
        self._answers[claim.key] = now_ms + CLAIM_RETENTION_MS

    def _drop_answer(self, claim: StoredClaim) -> None:
        if claim.answer is not None:
            self.answers_bytes -= _answer_size_bytes(claim.answer)
            self._encoded.pop(claim.key, None)
            del self._answers[claim.key]
            claim.answer = None


def _make_answer_result(claim: StoredClaim) -> commands.ClaimResult:
    if claim.answer is None:
        dropped = commands.Answer(claim.status)
        return commands.ClaimResult(_State.ANSWER_DROPPED, dropped)
    return commands.ClaimResult(_State.ANSWERED, claim.answer)


def _answer_size_bytes(answer: commands.Answer) -> int:
    headers = sum(len(h.name) + len(h.value) for h in answer.headers)
    return len(answer.body) + headers
