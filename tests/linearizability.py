"""Linearizability checker for concurrent histories (Wing and Gong).

The search tries every operation that may be next. It memoizes the pairs of
completed operations and reached state, so that each is explored once.
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import math
import typing as t

__all__ = ["Operation", "is_linearizable"]

State = t.TypeVar("State", bound=cabc.Hashable)


@dataclasses.dataclass(slots=True, frozen=True)
class Operation:
    """One call in a history.

    :param ended: infinity if the result is unknown; the call may then have
        taken effect at any time after its start, or never.
    """

    started: float
    ended: float
    argument: t.Any
    result: t.Any = None


def is_linearizable(
    history: cabc.Sequence[Operation],
    initial: State,
    step: cabc.Callable[[State, t.Any], tuple[State, t.Any]],
) -> bool:
    """Return whether some order of the operations yields their results.

    :param initial: state of the model before the first operation.
    :param step: model; takes a state and an argument, and returns the next
        state and the result.
    """
    required = frozenset(
        number
        for number, operation in enumerate(history)
        if operation.ended < math.inf
    )
    explored: set[tuple[frozenset[int], State]] = set()
    stack: list[tuple[frozenset[int], State]] = [(frozenset(), initial)]
    while stack:
        done, state = stack.pop()
        if required <= done:
            return True
        if (done, state) in explored:
            continue
        explored.add((done, state))
        for number in _list_next(history, done):
            operation = history[number]
            next_state, result = step(state, operation.argument)
            if operation.ended == math.inf or result == operation.result:
                stack.append((done | {number}, next_state))
    return False


def _list_next(
    history: cabc.Sequence[Operation], done: frozenset[int]
) -> list[int]:
    """Return the pending operations that no other pending one precedes."""
    left = [n for n in range(len(history)) if n not in done]
    first_end = min(history[n].ended for n in left)
    return [n for n in left if history[n].started <= first_end]
