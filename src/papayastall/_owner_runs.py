"""What an owner keeps of each request until its ingress has it all."""

from __future__ import annotations

import collections

import anyio
import msgspec

from papayastall import _frames

__all__ = ["Run", "RunKey", "RunTable"]

KEEP_ENDED_S = 60.0
FENCE_S = 600.0

RunKey = tuple[str, int, int]
"""Address and boot id of the ingress, and its number of the request."""


class Run(msgspec.Struct):
    """One request at its owner.

    :param local_id: number of the request in the owner's controller.
    :param deadline_s: on this process's monotonic clock.
    :param arrived_s: when the request came in, on the same clock.
    :param waiting_ms: time until it was handed to an upstream.
    :param unacknowledged: answer parts that the ingress may still lack.
    """

    key: RunKey
    local_id: int
    open: _frames.Open
    deadline_s: float
    arrived_s: float = 0.0
    waiting_ms: float = 0.0
    body: bytearray = msgspec.field(default_factory=bytearray)
    submitted: bool = False
    dispatched: bool = False
    abandoned: bool = False
    scope: anyio.CancelScope | None = None
    head: _frames.AnswerHead | None = None
    unacknowledged: collections.deque[_frames.AnswerChunk] = msgspec.field(
        default_factory=collections.deque
    )
    sent_bytes: int = 0
    acknowledged_bytes: int = 0
    credit: anyio.Event = msgspec.field(default_factory=anyio.Event)
    refusal: _frames.Refuse | None = None
    ended_s: float | None = None

    @property
    def ingress(self) -> str:
        """Link address of the ingress."""
        return self.key[0]

    def acknowledge(self, received_bytes: int) -> None:
        """Drop the answer parts that the ingress has."""
        self.acknowledged_bytes = max(self.acknowledged_bytes, received_bytes)
        parts = self.unacknowledged
        while parts and not parts[0].last:
            end_bytes = parts[0].offset_bytes + len(parts[0].data)
            if end_bytes > self.acknowledged_bytes:
                break
            parts.popleft()
        self.credit.set()


class RunTable:
    """The runs of an owner, and fences for requests that it never saw."""

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
        """Return the new run; ``None`` where its number was fenced."""
        if key in self._runs or key in self._fences_s:
            return None
        self._next_id += 1
        run = Run(key, self._next_id, frame, deadline_s)
        self._runs[key] = run
        self._by_local_id[run.local_id] = run
        return run

    def find(self, key: RunKey) -> Run | None:
        """Return a run by its ingress's number."""
        return self._runs.get(key)

    def find_local(self, local_id: int) -> Run | None:
        """Return a run by the controller's number."""
        return self._by_local_id.get(local_id)

    def fence(self, key: RunKey, now_s: float) -> None:
        """Refuse the number from now on, so that a late frame can't run."""
        assert key not in self._runs, "a known request can't be fenced"
        self._fences_s[key] = now_s + FENCE_S

    def forget(self, run: Run, now_s: float) -> None:
        """Drop a run whose ingress has everything."""
        self._runs.pop(run.key, None)
        self._by_local_id.pop(run.local_id, None)
        self._fences_s[run.key] = now_s + FENCE_S
        self._forgotten.add(run.key)

    def was_forgotten(self, key: RunKey) -> bool:
        """Tell whether this number may have run and is kept no more."""
        return key in self._forgotten

    def unfinished_bodies(self, now_s: float) -> list[Run]:
        """Return the runs whose body did not arrive before the deadline."""
        return [
            run
            for run in self._runs.values()
            if not run.submitted
            and run.ended_s is None
            and now_s > run.deadline_s
        ]

    def expire(self, now_s: float) -> None:
        """Drop ended runs that no ingress asks for, and old fences."""
        for run in list(self._runs.values()):
            if run.ended_s is None:
                continue
            # Until its deadline an ingress may ask for it on a new link.
            if now_s > max(run.ended_s, run.deadline_s) + KEEP_ENDED_S:
                self.forget(run, now_s)
        while self._fences_s:
            key = next(iter(self._fences_s))
            if self._fences_s[key] > now_s:
                break
            del self._fences_s[key]
            self._forgotten.discard(key)

    def running(self) -> int:
        """Return how many runs have not ended."""
        return sum(run.ended_s is None for run in self._runs.values())
