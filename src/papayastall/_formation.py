"""How a replicated group forms; free of the log's own modules."""

from __future__ import annotations

import msgspec

__all__ = ["Formation"]


class Formation(msgspec.Struct, frozen=True):
    """How a group forms, grows and shrinks without operators.

    :param may_found: this process may found a group that does not exist.
    :param admits: a leader admits unknown replicas that ask to join.
    :param target_voters: while a group has more voters, a silent one is
        removed; 0 removes none.
    :param spreads_leaders: leaders yield to the replica that is preferred.
    """

    may_found: bool = True
    admits: bool = False
    target_voters: int = 0
    spreads_leaders: bool = True
