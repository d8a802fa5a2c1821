"""Tests that the clock includes suspended time and never goes back."""

from __future__ import annotations

import collections.abc as cabc
import itertools
import time
import typing as t

import pytest

from papayastall import clock


class FakeClocks:
    """Clocks of one machine, in seconds."""

    def __init__(self) -> None:
        self.monotonic_s = 100.0
        self.boot_s = 150.0
        self.time_s = 1e9

    def run(self, seconds: float) -> None:
        self.monotonic_s += seconds
        self.boot_s += seconds
        self.time_s += seconds

    def suspend(self, seconds: float) -> None:
        self.boot_s += seconds
        self.time_s += seconds


@pytest.fixture
def clocks(monkeypatch: pytest.MonkeyPatch) -> FakeClocks:
    fake = FakeClocks()
    monkeypatch.setattr(time, "monotonic", lambda: fake.monotonic_s)
    monkeypatch.setattr(time, "time", lambda: fake.time_s)
    monkeypatch.setattr(time, "clock_gettime", lambda number: fake.boot_s)
    return fake


def test_a_suspended_machine_reads_the_time_that_passed(
    clocks: FakeClocks,
) -> None:
    boot = clock.BootClock()
    clocks.run(5.0)
    assert boot.now_s() == pytest.approx(155.0)
    clocks.suspend(7.0)
    assert boot.now_s() == pytest.approx(162.0)
    clocks.run(1.0)
    assert boot.now_s() == pytest.approx(163.0)


@pytest.mark.parametrize("step_s", [-3600.0, -2.0, 2.0, 3600.0])
def test_a_step_of_the_time_of_day_changes_nothing(
    clocks: FakeClocks, step_s: float
) -> None:
    boot = clock.BootClock()
    clocks.run(1.0)
    clocks.time_s += step_s
    assert boot.now_s() == pytest.approx(151.0)
    clocks.run(1.0)
    assert boot.now_s() == pytest.approx(152.0)


def test_it_never_goes_back() -> None:
    boot = clock.BootClock()
    readings = [boot.now_s() for _ in range(1000)]
    assert readings == sorted(readings)


# Guards against a clock that misses a suspension for good, as it began
# between two readings with which the clocks were compared.
@pytest.mark.parametrize("number", range(12))
def test_a_suspension_between_two_readings_is_not_missed(
    clocks: FakeClocks, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    boot = clock.BootClock()
    readings = itertools.count()

    def suspend_before(read: cabc.Callable[..., float]) -> t.Any:
        def read_late(*arguments: int) -> float:
            if next(readings) == number:
                clocks.suspend(7.0)
            return read(*arguments)

        return read_late

    clocks.time_s += 2.0
    for name in ("monotonic", "time", "clock_gettime"):
        monkeypatch.setattr(time, name, suspend_before(getattr(time, name)))
    for _ in range(12):
        boot.now_s()
    assert boot.now_s() == pytest.approx(157.0)
