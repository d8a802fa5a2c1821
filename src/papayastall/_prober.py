"""Failure detector of SWIM: probes members in turn, directly and indirectly.

A member that answers neither directly nor through helpers is suspected
only when a helper reports that the member did not answer it either. A node
that receives no datagrams thus suspects nobody.
"""

from __future__ import annotations

import random

import msgspec

from papayastall import _member_table
from papayastall import _membership_types as types
from papayastall import _peer_choice

__all__ = ["PROBE_INTERVAL_S", "Prober", "ProbeFailed", "ProbeMessage"]

PROBE_INTERVAL_S = 1.0
INDIRECT_PROBE_DELAY_S = 0.3
INDIRECT_PING_TIMEOUT_S = 0.3
PROBE_TIMEOUT_S = 0.9
HELPERS_PER_PROBE = 3
MAX_INDIRECT_PINGS = 64
SEQUENCE_MASK = 0x7FFFFFFF


class ProbeMessage(msgspec.Struct, frozen=True):
    """A message to send to a datagram address.

    :param address: link address of the receiver, if known.
    """

    datagram_address: str
    address: str | None
    body: types.Body


class ProbeFailed(msgspec.Struct, frozen=True):
    """A member did not answer.

    :param confirmed: a helper had no answer from it either.
    """

    address: str
    confirmed: bool


class _Probe(msgspec.Struct):
    target: str
    sequence: int
    started_s: float
    helpers_asked: bool = False
    nacks: int = 0


class _IndirectPing(msgspec.Struct):
    """A ping that this node sends on behalf of another node's probe.

    :param requester: datagram address of that node.
    :param sequence: of its probe, to be repeated in the answer to it.
    """

    requester: str
    sequence: int
    due_s: float


ProbeAction = ProbeMessage | ProbeFailed


class Prober:
    """Probes live members one at a time, in rounds of shuffled order."""

    def __init__(
        self,
        own_address: str,
        table: _member_table.MemberTable,
        peers: _peer_choice.PeerChoice,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self._own_address = own_address
        self._peers = peers
        self._table = table
        self._rng = rng
        self._sequence = rng.randrange(SEQUENCE_MASK)
        self._probe: _Probe | None = None
        self._next_probe_s = now_s + rng.uniform(0, PROBE_INTERVAL_S)
        self._order: list[str] = []
        self._indirect_pings: dict[int, _IndirectPing] = {}

    def reset(self) -> None:
        """Drop the probe and the indirect pings that are under way."""
        self._probe = None
        self._indirect_pings.clear()

    def tick(self, now_s: float) -> list[ProbeAction]:
        """Run the timers of the probe and of indirect pings."""
        actions: list[ProbeAction] = []
        actions.extend(self._expire_indirect_pings(now_s))
        probe = self._probe
        if probe is not None:
            age_s = now_s - probe.started_s
            if age_s >= INDIRECT_PROBE_DELAY_S and not probe.helpers_asked:
                actions.extend(self._send_ping_requests(probe))
            if age_s >= PROBE_TIMEOUT_S:
                actions.extend(self._fail_probe(probe))
        if now_s >= self._next_probe_s:
            self._next_probe_s = now_s + PROBE_INTERVAL_S
            actions.extend(self._start_probe(now_s))
        return actions

    def make_ping(self, datagram_address: str) -> ProbeMessage:
        """Return a ping outside the probe order; its ack is not awaited."""
        return ProbeMessage(
            datagram_address, None, types.Ping(self._next_sequence())
        )

    def ack(self, sender: str, sequence: int) -> ProbeMessage | None:
        """Handle an ack; return the ack to relay to a requester, if any.

        :param sender: link address of the target, or of a helper.
        """
        indirect_ping = self._indirect_pings.pop(sequence, None)
        if indirect_ping is not None:
            return ProbeMessage(
                indirect_ping.requester,
                None,
                types.Ack(indirect_ping.sequence),
            )
        probe = self._probe
        if probe is None or probe.sequence != sequence:
            return None
        self._probe = None
        member = self._table.members.get(probe.target)
        if member is not None:
            member.answers = sender == probe.target
        return None

    def nack(self, sequence: int) -> None:
        """Count a helper's report that the target did not answer it."""
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe.nacks += 1

    def ping_request(
        self, now_s: float, requester: str, request: types.PingRequest
    ) -> ProbeMessage | None:
        """Ping a target for another node.

        ``None`` is returned while too many such pings are under way.
        """
        if len(self._indirect_pings) >= MAX_INDIRECT_PINGS:
            return None
        sequence = self._next_sequence()
        self._indirect_pings[sequence] = _IndirectPing(
            requester, request.sequence, now_s + INDIRECT_PING_TIMEOUT_S
        )
        return ProbeMessage(request.target, None, types.Ping(sequence))

    def _expire_indirect_pings(self, now_s: float) -> list[ProbeAction]:
        due = [
            sequence
            for sequence, indirect_ping in self._indirect_pings.items()
            if now_s >= indirect_ping.due_s
        ]
        actions: list[ProbeAction] = []
        for sequence in due:
            indirect_ping = self._indirect_pings.pop(sequence)
            nack = types.Nack(indirect_ping.sequence)
            actions.append(ProbeMessage(indirect_ping.requester, None, nack))
        return actions

    def _send_ping_requests(self, probe: _Probe) -> list[ProbeAction]:
        probe.helpers_asked = True
        target = self._table.members.get(probe.target)
        if target is None:
            return []
        request = types.PingRequest(probe.sequence, target.datagram_address)
        actions: list[ProbeAction] = []
        live = self._table.live
        # Two more than needed: this node and the target may be among them.
        for address in self._rng.sample(
            live, min(len(live), HELPERS_PER_PROBE + 2)
        ):
            helper = self._table.members[address]
            if address in (self._own_address, probe.target):
                continue
            if helper.state is types.MemberState.SUSPECT:
                continue
            if len(actions) < HELPERS_PER_PROBE:
                actions.append(
                    ProbeMessage(helper.datagram_address, address, request)
                )
        return actions

    def _fail_probe(self, probe: _Probe) -> list[ProbeAction]:
        self._probe = None
        member = self._table.members.get(probe.target)
        if member is None:
            return []
        member.answers = False
        return [ProbeFailed(probe.target, probe.nacks > 0)]

    def _start_probe(self, now_s: float) -> list[ProbeAction]:
        target = self._next_target()
        if target is None:
            return []
        sequence = self._next_sequence()
        self._probe = _Probe(target.address, sequence, now_s)
        ping = types.Ping(sequence)
        return [ProbeMessage(target.datagram_address, target.address, ping)]

    def _next_target(self) -> types.Member | None:
        if len(self._table.live) < 2:
            return None
        while True:
            if not self._order:
                self._order = self._peers.make_probe_round()
            member = self._table.members.get(self._order.pop())
            if member is not None and member.state < types.MemberState.DEAD:
                return member

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) & SEQUENCE_MASK
        return self._sequence
