"""Delivery of notices that every member must receive within a bound."""

from __future__ import annotations

import anyio

from papayastall import _peering
from papayastall import exceptions
from papayastall import logs

__all__ = ["deliver_notice"]

ATTEMPTS = 4
ATTEMPT_TIMEOUT_S = 0.8
"""Longer than a link takes to be found silent and replaced."""
PAUSE_S = 0.2


async def deliver_notice(
    peering: _peering.Peering,
    peer: str,
    channel: _peering.Channel,
    body: bytes,
) -> bool:
    """Send a notice again until the peer answers; return whether it did.

    The receiver must bear a notice that it received before.
    """
    for attempt in range(ATTEMPTS):
        if attempt:
            await anyio.sleep(PAUSE_S)
        try:
            await peering.call(peer, channel, body, ATTEMPT_TIMEOUT_S)
        except exceptions.PapayastallError as error:
            cause = error.message
        else:
            return True
    logs.log_change(
        logs.StateChange(
            logs.ChangeKind.LINK,
            peer,
            "",
            "notice not delivered",
            f"{channel.name.lower()}: {cause}",
        )
    )
    return False
