"""Tests of the error hierarchy."""

from __future__ import annotations

from papayastall import exceptions


def test_text_names_code_step_and_peer() -> None:
    error = exceptions.RefusedError(
        exceptions.ErrorCode.OVERLOADED,
        "come back later",
        step="admit",
        peer="127.0.0.1:1",
        retry_after_s=1.0,
    )
    text = "overloaded: admit: come back later (peer 127.0.0.1:1)"
    assert str(error) == text
