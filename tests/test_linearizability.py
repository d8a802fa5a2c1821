"""Tests of the linearizability checker: valid and invalid histories."""

from __future__ import annotations

import math
import typing as t

from tests import linearizability

Operation = linearizability.Operation


def step(state: int, argument: t.Any) -> tuple[int, t.Any]:
    """Model a register: ``None`` reads it, a number writes it."""
    return (state, state) if argument is None else (argument, None)


def check(*history: linearizability.Operation) -> bool:
    return linearizability.is_linearizable(history, 0, step)


def test_concurrent_operations_may_take_effect_in_either_order() -> None:
    write = Operation(0, 3, 1)
    assert check(write, Operation(1, 2, None, 0))
    assert check(write, Operation(1, 2, None, 1))


def test_a_read_after_a_write_must_see_it() -> None:
    assert not check(Operation(0, 1, 1), Operation(2, 3, None, 0))


def test_reads_never_go_back() -> None:
    write = Operation(0, 9, 1)
    assert not check(write, Operation(1, 2, None, 1), Operation(3, 4, None, 0))


def test_an_operation_without_a_result_may_take_effect_or_not() -> None:
    lost = Operation(0, math.inf, 1)
    assert check(lost, Operation(1, 2, None, 0))
    assert check(lost, Operation(1, 2, None, 0), Operation(3, 4, None, 1))
    assert not check(lost, Operation(1, 2, None, 1), Operation(3, 4, None, 0))
