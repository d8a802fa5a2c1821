"""Policy for creating and resizing a replicated group.

This module imports none of the log's modules, which nodes without a replica
don't load.
"""

from __future__ import annotations

import msgspec

__all__ = ["Formation"]


class Formation(msgspec.Struct, frozen=True):
    """Rules by which a group changes its members without an operator.

    :param may_found: whether this process may bootstrap a group that does
        not exist yet.
    :param admits: whether a leader adds replicas at unknown addresses that
        send a join message.
    :param target_voters: number of voters above which a leader removes
        voters that don't respond; 0 disables removal.
    :param spreads_leaders: whether leaders transfer leadership to the
        preferred voter of their group, which spreads the leaders of several
        groups over the nodes.
    """

    may_found: bool = True
    admits: bool = False
    target_voters: int = 0
    spreads_leaders: bool = True
