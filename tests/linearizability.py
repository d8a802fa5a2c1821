"""Checks concurrent histories for linearizability (Wing and Gong).

The search tries every operation that may come first and remembers pairs of
operations done and state reached, so that it sees each pair once.
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
    """One call of a history.

    :param ended: infinite while its result is not known; it may then have
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
    """Return whether some order of the operations explains the results.

    :param step: the model: state and argument to next state and result.
    """
    required = frozenset(
        number
        for number, operation in enumerate(history)
        if operation.ended < math.inf
    )
    seen: set[tuple[frozenset[int], State]] = set()
    stack: list[tuple[frozenset[int], State]] = [(frozenset(), initial)]
    while stack:
        done, state = stack.pop()
        if required <= done:
            return True
        if (done, state) in seen:
            continue
        seen.add((done, state))
        for number in _find_first(history, done):
            operation = history[number]
            following, result = step(state, operation.argument)
            if operation.ended == math.inf or result == operation.result:
                stack.append((done | {number}, following))
    return False


def _find_first(
    history: cabc.Sequence[Operation], done: frozenset[int]
) -> list[int]:
    """Return the operations that no other one not done precedes."""
    left = [n for n in range(len(history)) if n not in done]
    first_end = min(history[n].ended for n in left)
    return [n for n in left if history[n].started <= first_end]
