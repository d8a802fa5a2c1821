"""One caller's request at its ingress, and the attempts to answer it."""

from __future__ import annotations

import collections

import anyio
import msgspec

from papayastall import _decision_types
from papayastall import _frames
from papayastall import documents
from papayastall import exceptions

__all__ = ["Attempt", "Exchange"]


class Attempt(msgspec.Struct):
    """One attempt at one owner.

    :param wire_id: number of the attempt on the links.
    :param owner_boot_id: of the owner when the request was sent to it;
        0 while nothing has been sent.
    :param begun_s: when it was sent, or began to wait for its link.
    :param started: whether more than the head of its answer came.
    :param received_bytes: length of the answer's body so far.
    """

    wire_id: int
    exchange: Exchange
    number: int
    owner: str
    owner_boot_id: int = 0
    begun_s: float = 0.0
    head: _frames.AnswerHead | None = None
    started: bool = False
    chunks: collections.deque[bytes] = msgspec.field(
        default_factory=collections.deque
    )
    received_bytes: int = 0
    complete: bool = False
    broken: bool = False
    waiting_ms: float = 0.0
    upstream_ms: float = 0.0


class Exchange(msgspec.Struct):
    """A caller's request while it waits for its answer.

    :param name: the id that its caller gave it, for log lines.
    :param tried: owners that it was sent to, in order.
    :param changed: set whenever there is more to tell the caller.
    """

    request: _decision_types.IngressRequest
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    key_use: documents.IdempotencyKeyUse = documents.IdempotencyKeyUse.ACCEPTED
    name: str = ""
    started_s: float = 0.0
    tried: list[str] = msgspec.field(default_factory=list)
    claim_key: str = ""
    claim_token: str = ""
    attempts: dict[int, Attempt] = msgspec.field(default_factory=dict)
    chosen: Attempt | None = None
    refusal: _decision_types.RefuseRequest | None = None
    changed: anyio.Event = msgspec.field(default_factory=anyio.Event)

    async def wait_for_outcome(self) -> None:
        """Wait until an answer is chosen or the request is refused."""
        while self.chosen is None and self.refusal is None:
            await self._wait()

    async def next_chunk(self) -> bytes | None:
        """Return the next part of the chosen answer, ``None`` at its end.

        :raises papayastall.exceptions.OutcomeUnknownError: it broke off.
        """
        attempt = self.chosen
        assert attempt is not None
        while True:
            if attempt.chunks:
                return attempt.chunks.popleft()
            if attempt.complete:
                return None
            if attempt.broken:
                raise exceptions.OutcomeUnknownError(
                    exceptions.ErrorCode.UPSTREAM_FAILED,
                    "the answer broke off",
                    step="relay",
                    peer=attempt.owner,
                )
            await self._wait()

    def notify(self) -> None:
        """Wake whoever waits for news."""
        self.changed.set()

    async def _wait(self) -> None:
        self.changed = anyio.Event()
        await self.changed.wait()
