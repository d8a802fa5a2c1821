"""Tests of the behaviours of the emulated upstream."""

from __future__ import annotations

import pytest

from papayastall import emulator
from papayastall import exceptions


def test_a_behaviour_is_checked_as_a_whole() -> None:
    behaviour = emulator.parse_behaviour(b'{"mode": "slow", "share": 0.5}')
    assert behaviour.mode is emulator.Mode.SLOW
    with pytest.raises(exceptions.BadInputError) as caught:
        emulator.parse_behaviour(b'{"mode": "slwo", "shar": 1}')
    assert "mode: " in str(caught.value) and "shar: " in str(caught.value)
    with pytest.raises(exceptions.BadInputError):
        emulator.parse_behaviour(b"[")


def test_a_flapping_behaviour_is_on_and_off_in_turn() -> None:
    behaviour = emulator.parse_behaviour(b'{"mode":"fail","period_ms":500}')
    states = [behaviour.is_on(step / 4) for step in range(8)]
    assert states == [True, True, False, False] * 2
    assert emulator.Behaviour().is_on(1e6)
