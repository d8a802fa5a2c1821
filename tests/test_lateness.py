"""Tests of the lateness of frames, with clocks that differ and drift."""

from __future__ import annotations

from papayastall import _lateness


def test_a_held_frame_is_late_and_the_next_is_not() -> None:
    estimator = _lateness.LatenessEstimator()
    assert estimator.measure_s(500.0, 1_000) == 0.0
    assert estimator.measure_s(504.0, 2_000) > 2.9
    assert estimator.measure_s(505.0, 6_000) < 0.01


def test_drift_of_the_clocks_makes_nothing_late() -> None:
    estimator = _lateness.LatenessEstimator()
    for second in range(0, 86_400, 60):
        sent_ms = int(second * 1000 * (1 - 5e-5))
        assert estimator.measure_s(float(second), sent_ms) < 0.01
