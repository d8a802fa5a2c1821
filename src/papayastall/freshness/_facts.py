"""What a node knows about the latest acknowledged configuration."""

from __future__ import annotations

import msgspec

__all__ = ["Fact", "FactTable"]

MAX_FACTS = 64
"""A lease is renewed some ten times before it ends, so only a node that gets
no configuration while many changes are accepted reaches this limit."""


class Fact(msgspec.Struct, frozen=True):
    """No change above ``index`` was acknowledged before ``known_s``."""

    index: int
    known_s: float


class FactTable:
    """The facts that no other fact implies, by growing index and time.

    A fact about an index also holds for all higher ones. A node that is a
    few changes behind therefore keeps what it knew about its own index, and
    uses a later fact as soon as the index of that one is in force.
    """

    def __init__(self) -> None:
        self._facts: list[Fact] = []

    @property
    def newest(self) -> Fact | None:
        """The fact with the latest time."""
        return self._facts[-1] if self._facts else None

    def note(self, fact: Fact) -> None:
        """Add a fact and drop those that it implies."""
        if any(
            known.index <= fact.index and known.known_s >= fact.known_s
            for known in self._facts
        ):
            return
        kept = [
            known
            for known in self._facts
            if known.index < fact.index or known.known_s > fact.known_s
        ]
        kept.append(fact)
        kept.sort(key=lambda known: known.known_s)
        if len(kept) > MAX_FACTS:
            # The oldest ones are for a configuration that is in force, and
            # the newest one is what other nodes ask for.
            del kept[-2]
        self._facts = kept

    def find_known_s(self, index: int) -> float:
        """Return the time before which no change above an index was made.

        :param index: of the configuration in force; facts that are older
            than the best one for it are dropped.
        """
        position = -1
        for number, fact in enumerate(self._facts):
            if fact.index <= index:
                position = number
        if position < 0:
            return float("-inf")
        if position > 0:
            self._facts = self._facts[position:]
            position = 0
        return self._facts[position].known_s
