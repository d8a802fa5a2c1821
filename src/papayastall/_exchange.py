"""State of a caller's request at its ingress, and of its attempts."""

from __future__ import annotations

import collections

import anyio
import msgspec

from papayastall import _body_transfer
from papayastall import _decision_types
from papayastall import _frames
from papayastall import documents
from papayastall import exceptions

__all__ = ["Attempt", "Exchange"]


class Attempt(msgspec.Struct):
    """One request forwarded to one owner.

    :param wire_id: id of the attempt in frames.
    :param number: number of the attempt within its request.
    :param owner_boot_id: boot id of the owner's process that the request
        was sent to; 0 while nothing has been sent.
    :param begun_s: monotonic time at which the request was sent, or began
        to wait for the link to be opened.
    :param window_bytes: unacknowledged bytes of the answer that the owner
        may send.
    :param body: what is left of the body to be sent, if it is not sent with
        the request.
    :param started: whether a chunk of the answer has arrived, not only its
        head.
    :param chunks: received chunks of the body that are not relayed yet.
    :param received_bytes: length of the body received so far.
    :param complete: whether all of the answer has arrived.
    :param broken: whether the attempt ended without a complete answer.
    :param waiting_ms: time for which the request waited at the owner, as
        reported in the last chunk.
    :param upstream_ms: time from the dispatch to the end of the upstream's
        answer, as reported in the last chunk.
    """

    wire_id: int
    exchange: Exchange
    number: int
    owner: str
    owner_boot_id: int = 0
    begun_s: float = 0.0
    head: _frames.AnswerHead | None = None
    window_bytes: int = 0
    body: _body_transfer.BodySender | None = None
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
    """A caller's request that is being forwarded and answered.

    :param target: path and query string.
    :param name: the request id that the caller sent, for log lines;
        "" if it sent none.
    :param started_s: monotonic time at which the request arrived.
    :param tried: owners that it was forwarded to, in order.
    :param claim_key: scoped idempotency key; "" without a claim.
    :param claim_token: token of its claim; "" without a claim.
    :param attempts: open attempts by their number.
    :param chosen: the attempt whose answer is relayed.
    :param refusal: why the request is refused.
    :param booked_bytes: memory booked for answers on their way.
    :param changed: event that is set whenever an outcome is known or more
        of the answer can be relayed.
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
    booked_bytes: int = 0
    changed: anyio.Event = msgspec.field(default_factory=anyio.Event)

    async def wait_for_outcome(self) -> None:
        """Wait until an attempt is chosen or the request is refused."""
        while self.chosen is None and self.refusal is None:
            await self._wait()

    async def next_chunk(self) -> bytes | None:
        """Return the next body chunk of the chosen attempt's answer.

        :returns: the chunk, or ``None`` at the end of the body.
        :raises papayastall.exceptions.OutcomeUnknownError: the attempt
            ended before the end of the body.
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
        """Wake the tasks that wait in this class's methods."""
        self.changed.set()

    async def _wait(self) -> None:
        self.changed = anyio.Event()
        await self.changed.wait()
