"""Choice of the members that a node exchanges membership messages with.

Most messages stay within the node's failure domain, where bytes are cheap
and delays short. Some go to other failure domains, so that updates cross
over and the failure of a whole failure domain is noticed.
"""

from __future__ import annotations

import random

from papayastall import _member_table

__all__ = ["PeerChoice"]

FAR_SHARE = 0.125
"""Share of messages that may go to any failure domain."""
MAX_DRAWS = 12
"""Random members looked at until one in this failure domain is found."""
MIN_FAR_PROBES = 2
"""Members of other failure domains probed in each round, at least."""


class PeerChoice:
    """Draws members at random, mostly from this node's failure domain.

    :param own_address: link address of this node, which is never drawn.
    :param failure_domain: of this node.
    """

    __slots__ = ("_failure_domain", "_own_address", "_rng", "_table")

    def __init__(
        self,
        own_address: str,
        failure_domain: str,
        table: _member_table.MemberTable,
        rng: random.Random,
    ) -> None:
        self._own_address = own_address
        self._failure_domain = failure_domain
        self._table = table
        self._rng = rng

    def is_near(self, address: str) -> bool:
        """Return whether a member is in this node's failure domain."""
        member = self._table.members.get(address)
        return (
            member is not None
            and member.failure_domain == self._failure_domain
        )

    def draw(self) -> str | None:
        """Return a live member other than this node, ``None`` without one."""
        live = self._table.live
        any_domain = self._rng.random() < FAR_SHARE
        fallback: str | None = None
        if len(live) < 2:
            return None
        for _ in range(MAX_DRAWS):
            address = self._rng.choice(live)
            if address == self._own_address:
                continue
            if any_domain or self.is_near(address):
                return address
            fallback = address
        return fallback

    def make_probe_round(self) -> list[str]:
        """Return the members to probe next, in random order.

        All of this failure domain are among them: its other nodes probe the
        same ones, so each is probed about once a second. Of the others a few
        are enough, as all nodes outside their failure domain probe some.
        """
        others = [
            address
            for address in self._table.live
            if address != self._own_address
        ]
        near = [address for address in others if self.is_near(address)]
        far = [address for address in others if not self.is_near(address)]
        count = max(MIN_FAR_PROBES, round(FAR_SHARE * len(near)))
        if not near:
            count = len(far)
        order = near + self._rng.sample(far, min(count, len(far)))
        self._rng.shuffle(order)
        return order
