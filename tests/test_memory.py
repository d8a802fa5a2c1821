"""The memory account and its decisions on bodies."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from papayastall import memory

BODIES = memory.MemoryClass.BODIES
MB = 1 << 20


def make_intake(
    total_mb: int = 100,
) -> tuple[memory.MemoryAccount, memory.BodyIntake]:
    account = memory.MemoryAccount(total_mb * MB, 0)
    return account, memory.BodyIntake(account, BODIES)


def open_body(
    intake: memory.BodyIntake, expected: int | None
) -> memory.Holding:
    holding = intake.open(object(), expected)
    assert holding is not None
    return holding


def test_no_class_takes_the_memory_of_another() -> None:
    account = memory.MemoryAccount(100 * MB, 0)
    assert sum(account.limit(each) for each in memory.MemoryClass) <= 100 * MB
    assert account.book(BODIES, account.limit(BODIES))
    assert not account.book(BODIES, 1)
    assert account.refusals[BODIES] == 1
    for each in set(memory.MemoryClass) - {BODIES}:
        assert account.book(each, account.limit(each))


def test_the_largest_legal_body_fits_on_a_node_of_200_mb() -> None:
    account = memory.MemoryAccount(200 * MB, 40 * MB)
    intake = memory.BodyIntake(account, BODIES)
    for expected in (64 * MB, None):
        holding = open_body(intake, expected)
        for _ in range(1024):
            assert intake.add(holding, 64 << 10) is memory.Verdict.READ
        intake.complete(holding)
        assert intake.close(holding) == []


# Guards against many bodies that stop one byte short: the earliest must be
# able to end, and those that make no progress are given up.
def test_the_newest_large_bodies_are_held_back_first() -> None:
    account, intake = make_intake()
    bodies = [open_body(intake, 20 * MB) for _ in range(4)]
    verdicts = [intake.add(body, MB) for _ in range(10) for body in bodies]
    assert memory.Verdict.REFUSE not in verdicts
    held = [body.is_held_back for body in bodies]
    assert held == sorted(held) and held[-1] and not held[0]
    assert intake.add(bodies[0], 10 * MB) is memory.Verdict.READ
    intake.complete(bodies[0])
    assert intake.close(bodies[0])[0] is bodies[held.index(True)]
    assert account.used(BODIES) == sum(body.received_bytes for body in bodies)


def test_new_bodies_are_refused_near_the_limit_and_small_ones_are_not() -> (
    None
):
    account, intake = make_intake()
    first = open_body(intake, 45 * MB)
    intake.add(first, 40 * MB)
    assert intake.open(object(), MB) is None
    assert account.refusals[BODIES] == 1
    assert intake.open(object(), 1000) is not None


def test_bodies_without_progress_are_given_up_only_near_the_limit() -> None:
    _, intake = make_intake()
    slow = open_body(intake, 40 * MB)
    intake.add(slow, 30 * MB)
    for second in range(20):
        assert intake.check(float(second)).stalled == []
    small = open_body(intake, 60_000)
    intake.add(small, 50_000)
    intake.add(slow, 9 * MB)
    found = [intake.check(100.0 + second).stalled for second in range(4)]
    assert slow in sum(found, []) and small in sum(found, [])


def test_a_complete_body_is_never_acted_on() -> None:
    _, intake = make_intake()
    done = open_body(intake, 40 * MB)
    intake.add(done, 40 * MB)
    intake.complete(done)
    for second in range(20):
        found = intake.check(float(second))
        assert not found.stalled + found.refused + found.resumed


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 9), st.integers(0, 4 * MB)), max_size=120
    )
)
def test_the_limit_holds_and_the_earliest_body_is_read(
    steps: list[tuple[int, int]],
) -> None:
    account, intake = make_intake(40)
    bodies: dict[int, memory.Holding] = {}
    for second, (number, size) in enumerate(steps):
        body = bodies.get(number)
        if body is None:
            opened = intake.open(number, None if size % 2 else 4 * MB)
            if opened is not None:
                bodies[number] = opened
        elif size == 0:
            intake.close(bodies.pop(number))
        elif not body.is_held_back:
            if intake.add(body, size) is memory.Verdict.REFUSE:
                intake.close(bodies.pop(number))
        found = intake.check(float(second))
        for each in found.stalled + found.refused:
            number = next(n for n, b in bodies.items() if b is each)
            intake.close(bodies.pop(number))
        assert account.used(BODIES) <= account.limit(BODIES)
        earliest = next(iter(bodies.values()), None)
        assert earliest is None or not earliest.is_held_back
    for body in bodies.values():
        intake.close(body)
    assert account.used_bytes == 0
