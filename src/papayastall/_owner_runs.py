"""State of requests at their owner, kept until the answer is delivered."""

from __future__ import annotations

import collections

import anyio
import msgspec

from papayastall import _body_transfer
from papayastall import _frames

__all__ = ["Run", "RunKey", "RunTable"]

RUN_RETENTION_S = 60.0
FENCE_RETENTION_S = 600.0
DEFAULT_WINDOW_BYTES = 256 << 10

RunKey = tuple[str, int, int]
"""Link address and boot id of the ingress, and the request's wire id."""


class Run(msgspec.Struct):
    """One request at its owner.

    Times in seconds are those of this process's monotonic clock.

    :param local_id: id of the request in the owner's controller.
    :param open: the frame that opened the request.
    :param arrived_s: when that frame arrived.
    :param waiting_ms: time from the arrival to the dispatch.
    :param body: parts of a body that is received whole before it is
        submitted.
    :param receiver: the body, if it is received as the upstream takes it.
    :param booked_bytes: memory that is booked for the body.
    :param booked_answer_bytes: memory that is booked for the answer.
    :param submitted: whether the request was passed to the controller.
    :param dispatched: whether the request was passed to an upstream.
    :param abandoned: whether the ingress cancelled the request.
    :param scope: cancels the request at the upstream.
    :param unsent: chunks of the answer that wait for room on the link.
    :param unacknowledged: chunks that the ingress may not have received.
    :param answer_bytes: length of all these chunks.
    :param sent_bytes: length of the answer's body sent so far.
    :param window_bytes: unacknowledged bytes of it that may be sent.
    :param credit: event that is set when the ingress acknowledges chunks
        or cancels the request.
    :param ended_s: when the request ended; ``None`` while it has not.
    """

    key: RunKey
    local_id: int
    open: _frames.Open
    deadline_s: float
    arrived_s: float = 0.0
    waiting_ms: float = 0.0
    body: list[bytes] = msgspec.field(default_factory=list)
    receiver: _body_transfer.BodyReceiver | None = None
    booked_bytes: int = 0
    booked_answer_bytes: int = 0
    submitted: bool = False
    dispatched: bool = False
    abandoned: bool = False
    scope: anyio.CancelScope | None = None
    head: _frames.AnswerHead | None = None
    unsent: collections.deque[_frames.AnswerChunk] = msgspec.field(
        default_factory=collections.deque
    )
    unacknowledged: collections.deque[_frames.AnswerChunk] = msgspec.field(
        default_factory=collections.deque
    )
    answer_bytes: int = 0
    sent_bytes: int = 0
    window_bytes: int = DEFAULT_WINDOW_BYTES
    acknowledged_bytes: int = 0
    credit: anyio.Event = msgspec.field(default_factory=anyio.Event)
    refusal: _frames.Refuse | None = None
    ended_s: float | None = None

    @property
    def ingress(self) -> str:
        """Link address of the ingress."""
        return self.key[0]

    @property
    def has_window(self) -> bool:
        """Whether more of the answer may be sent."""
        return self.sent_bytes - self.acknowledged_bytes < self.window_bytes

    def acknowledge(self, received_bytes: int) -> None:
        """Drop the chunks that the ingress has received.

        The last chunk is kept until the run is forgotten.
        """
        self.acknowledged_bytes = max(self.acknowledged_bytes, received_bytes)
        for chunks in (self.unacknowledged, self.unsent):
            while chunks and not chunks[0].last:
                end_bytes = chunks[0].offset_bytes + len(chunks[0].data)
                if end_bytes > self.acknowledged_bytes:
                    break
                self.answer_bytes -= len(chunks.popleft().data)
        self.credit.set()

    def add_chunk(self, chunk: _frames.AnswerChunk) -> None:
        """Add a chunk of the answer, to be sent in its turn."""
        self.unsent.append(chunk)
        self.answer_bytes += len(chunk.data)

    def next_chunk(self) -> _frames.AnswerChunk:
        """Return the next chunk to send; it is kept until acknowledged."""
        chunk = self.unsent.popleft()
        self.unacknowledged.append(chunk)
        return chunk

    def send_again(self) -> None:
        """Send all chunks again that were not acknowledged."""
        self.unsent.extendleft(reversed(self.unacknowledged))
        self.unacknowledged.clear()

    def drop_answer(self) -> None:
        """Drop the rest of the answer, which nobody waits for."""
        self.unsent.clear()
        self.unacknowledged.clear()
        self.answer_bytes = 0


class RunTable:
    """The runs of an owner, and fences against frames that arrive late.

    A fenced key is not accepted as a new run for ``FENCE_RETENTION_S``.
    """

    def __init__(self) -> None:
        self._runs: dict[RunKey, Run] = {}
        self._by_local_id: dict[int, Run] = {}
        self._fences_s: dict[RunKey, float] = {}
        self._forgotten: set[RunKey] = set()
        self._next_id = 0

    def __len__(self) -> int:
        return len(self._runs)

    def add(
        self, key: RunKey, frame: _frames.Open, deadline_s: float
    ) -> Run | None:
        """Add a run.

        :returns: the run; ``None`` if its key is known already or fenced.
        """
        if key in self._runs or key in self._fences_s:
            return None
        self._next_id += 1
        run = Run(key, self._next_id, frame, deadline_s)
        self._runs[key] = run
        self._by_local_id[run.local_id] = run
        return run

    def find(self, key: RunKey) -> Run | None:
        """Return the run with this key, if known."""
        return self._runs.get(key)

    def find_local(self, local_id: int) -> Run | None:
        """Return the run with this id in the controller, if known."""
        return self._by_local_id.get(local_id)

    def fence(self, key: RunKey, now_s: float) -> None:
        """Reject the key from now on, so that a late frame can't run."""
        assert key not in self._runs, "a known request can't be fenced"
        self._fences_s[key] = now_s + FENCE_RETENTION_S

    def forget(self, run: Run, now_s: float) -> None:
        """Remove a run whose answer is no longer needed; fence its key."""
        self._runs.pop(run.key, None)
        self._by_local_id.pop(run.local_id, None)
        self._fences_s[run.key] = now_s + FENCE_RETENTION_S
        self._forgotten.add(run.key)

    def was_forgotten(self, key: RunKey) -> bool:
        """Return whether a request with this key was known and removed.

        It may have run.
        """
        return key in self._forgotten

    def unfinished_bodies(self, now_s: float) -> list[Run]:
        """Return the runs that their deadline found without a body."""
        return [
            run
            for run in self._runs.values()
            if not run.submitted
            and run.ended_s is None
            and now_s > run.deadline_s
        ]

    def expire(self, now_s: float) -> list[Run]:
        """Remove ended runs and fences whose retention time has passed.

        :returns: the runs that were removed.
        """
        expired: list[Run] = []
        for run in list(self._runs.values()):
            if run.ended_s is None:
                continue
            # Until the deadline the ingress may query the run on a new link.
            if now_s > max(run.ended_s, run.deadline_s) + RUN_RETENTION_S:
                self.forget(run, now_s)
                expired.append(run)
        while self._fences_s:
            key = next(iter(self._fences_s))
            if self._fences_s[key] > now_s:
                break
            del self._fences_s[key]
            self._forgotten.discard(key)
        return expired

    def running(self) -> int:
        """Return the number of runs that have not ended."""
        return sum(run.ended_s is None for run in self._runs.values())
