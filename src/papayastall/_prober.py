"""Probes members in turn and collects the evidence of suspicion.

A member that answers neither directly nor through helpers is suspected
only when a helper says that the member did not answer it either. A node
that hears nobody thus suspects nobody.
"""

from __future__ import annotations

import random

import msgspec

from papayastall import _member_table
from papayastall import _membership_types as types

__all__ = ["PROBE_INTERVAL_S", "Prober", "ProbeFailed", "ProbeMessage"]

PROBE_INTERVAL_S = 1.0
INDIRECT_AFTER_S = 0.3
HELPER_TIMEOUT_S = 0.3
PROBE_TIMEOUT_S = 0.9
HELPER_COUNT = 3
MAX_ERRANDS = 64
SEQUENCE_MASK = 0x7FFFFFFF


class ProbeMessage(msgspec.Struct, frozen=True):
    """A message to send to this datagram address.

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


class _Errand(msgspec.Struct):
    """A ping that this node sends for another node's probe."""

    requester: str
    sequence: int
    due_s: float


ProbeAction = ProbeMessage | ProbeFailed


class Prober:
    """One probe at a time, of each live member in shuffled order."""

    def __init__(
        self,
        own_address: str,
        table: _member_table.MemberTable,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self._own_address = own_address
        self._table = table
        self._rng = rng
        self._sequence = rng.randrange(SEQUENCE_MASK)
        self._probe: _Probe | None = None
        self._next_probe_s = now_s + rng.uniform(0, PROBE_INTERVAL_S)
        self._order: list[str] = []
        self._errands: dict[int, _Errand] = {}

    def forget_all(self) -> None:
        """Drop the probe and the errands under way."""
        self._probe = None
        self._errands.clear()

    def tick(self, now_s: float) -> list[ProbeAction]:
        """Ask helpers, give up and start probes as time goes."""
        actions: list[ProbeAction] = []
        actions.extend(self._end_errands(now_s))
        probe = self._probe
        if probe is not None:
            age_s = now_s - probe.started_s
            if age_s >= INDIRECT_AFTER_S and not probe.helpers_asked:
                actions.extend(self._ask_helpers(probe))
            if age_s >= PROBE_TIMEOUT_S:
                actions.extend(self._fail(probe))
        if now_s >= self._next_probe_s:
            self._next_probe_s = now_s + PROBE_INTERVAL_S
            actions.extend(self._start_probe(now_s))
        return actions

    def contact(self, datagram_address: str) -> ProbeMessage:
        """Return a ping outside the turn, whose answer is not awaited."""
        return ProbeMessage(
            datagram_address, None, types.Ping(self._next_sequence())
        )

    def ack(self, sender: str, sequence: int) -> ProbeMessage | None:
        """Take an answer; return what to pass on to a requester."""
        errand = self._errands.pop(sequence, None)
        if errand is not None:
            return ProbeMessage(
                errand.requester, None, types.Ack(errand.sequence)
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
        """Take a helper's word that the target did not answer it."""
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe.nacks += 1

    def help(
        self, now_s: float, requester: str, request: types.PingRequest
    ) -> ProbeMessage | None:
        """Ping a target for another node, unless too busy."""
        if len(self._errands) >= MAX_ERRANDS:
            return None
        sequence = self._next_sequence()
        self._errands[sequence] = _Errand(
            requester, request.sequence, now_s + HELPER_TIMEOUT_S
        )
        return ProbeMessage(request.target, None, types.Ping(sequence))

    def _end_errands(self, now_s: float) -> list[ProbeAction]:
        due = [
            sequence
            for sequence, errand in self._errands.items()
            if now_s >= errand.due_s
        ]
        actions: list[ProbeAction] = []
        for sequence in due:
            errand = self._errands.pop(sequence)
            nack = types.Nack(errand.sequence)
            actions.append(ProbeMessage(errand.requester, None, nack))
        return actions

    def _ask_helpers(self, probe: _Probe) -> list[ProbeAction]:
        probe.helpers_asked = True
        target = self._table.members.get(probe.target)
        if target is None:
            return []
        request = types.PingRequest(probe.sequence, target.datagram_address)
        actions: list[ProbeAction] = []
        live = self._table.live
        for address in self._rng.sample(
            live, min(len(live), HELPER_COUNT + 2)
        ):
            helper = self._table.members[address]
            if address in (self._own_address, probe.target):
                continue
            if helper.state is types.MemberState.SUSPECT:
                continue
            if len(actions) < HELPER_COUNT:
                actions.append(
                    ProbeMessage(helper.datagram_address, address, request)
                )
        return actions

    def _fail(self, probe: _Probe) -> list[ProbeAction]:
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
                self._order = list(self._table.live)
                self._rng.shuffle(self._order)
            address = self._order.pop()
            member = self._table.members.get(address)
            if address == self._own_address or member is None:
                continue
            if member.state < types.MemberState.DEAD:
                return member

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) & SEQUENCE_MASK
        return self._sequence
