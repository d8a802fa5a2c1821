"""Test of the choice of addresses for the processes of a test."""

from __future__ import annotations

import itertools
import random

import pytest

from tests import fleet


# Guards against a fleet two of whose nodes are to listen at one address.
def test_an_address_is_returned_once(monkeypatch: pytest.MonkeyPatch) -> None:
    ports = itertools.chain.from_iterable(
        itertools.repeat(port, 3) for port in range(20_100, 20_200)
    )
    monkeypatch.setattr(random, "randrange", lambda *_: next(ports))
    addresses = [fleet.free_address() for _ in range(20)]
    assert len(set(addresses)) == len(addresses)
