"""Judges requests on kept connections that were closed without an answer."""

from __future__ import annotations

import collections.abc as cabc

from standins import client as clients
from standins import server as servers

__all__ = ["count_lost"]

MAX_LOST = 3
"""RULES.md: more than three of them break the rule."""


def count_lost(
    outcomes: cabc.Iterable[clients.Outcome],
    all_servers: cabc.Iterable[servers.Server],
) -> int:
    """Return the requests that a server got and that have no answer.

    They came on a connection that had carried a request before, and the node
    closed it. A time-out of the client is not counted.
    """
    ran = {run.request_id for server in all_servers for run in server.runs}
    return sum(
        outcome.is_kept
        and outcome.status is None
        and outcome.problem != "TimeoutError"
        and outcome.request_id in ran
        for outcome in outcomes
    )
