"""The part of one node in the quotas: holder, voter and ingress."""

from __future__ import annotations

import collections.abc as cabc
import typing as t

import msgspec

from papayastall.quotas import _bounds
from papayastall.quotas import _client
from papayastall.quotas import _holder
from papayastall.quotas import _leases
from papayastall.quotas import _messages
from papayastall.quotas import _seats

__all__ = ["Action", "Controller"]

Action = _client.ClientAction | _leases.SendTo | _leases.LeaseChange


class Controller:
    """Decides for one node, without I/O; methods return what to do.

    :param address: link address of this node.
    :param phase: see :class:`papayastall.quotas._client.Client`.
    :param is_founder: whether this node may be the only one.
    """

    def __init__(
        self,
        address: str,
        bounds: _bounds.Bounds,
        started_s: float,
        phase: cabc.Callable[[str], float],
        is_founder: bool = True,
    ) -> None:
        self._address = address
        self.leases = _leases.Leases(address, started_s, is_founder)
        self._holder = _holder.Holder(bounds)
        self._client = _client.Client(bounds, started_s, phase)
        self.cancel = self._client.cancel
        self.answered = self._client.answered

    def set_members(
        self, now_s: float, members: cabc.Mapping[str, str]
    ) -> None:
        """Set the failure domains of all known members by address."""
        self.leases.set_members(now_s, members)
        self._client.set_seats(self.leases.seats, len(members))

    def set_limits(
        self, now_s: float, limits: cabc.Mapping[str, _messages.Limits]
    ) -> None:
        """Use the quotas of a later table in the buckets held here."""
        self._holder.set_limits(now_s, limits)

    def admit(
        self, now_s: float, team: str, limits: _messages.Limits, number: int
    ) -> list[Action]:
        """Decide about a request, now or once a holder has answered.

        :param number: names the request in the action that decides it.
        """
        actions: list[Action] = []
        actions += self._client.admit(now_s, team, limits, number)
        return actions

    def tick(self, now_s: float) -> list[Action]:
        """Claim what is due and return unused tokens; call it each 0.1 s."""
        actions: list[Action] = []
        held = self.leases.held(now_s)
        if held and not self.leases.is_seat():
            actions += self._hand_over(now_s, held)
        actions += self.leases.tick(now_s)
        actions += self._client.expire(now_s)
        self._holder.expire(now_s)
        return actions

    def stop(self, now_s: float) -> list[Action]:
        """Hand over what this node holds; it is about to stop."""
        actions = self._hand_over(now_s, self.leases.held(now_s))
        self.leases.stop()
        return actions

    def ask(
        self, now_s: float, ask: _messages.Ask
    ) -> tuple[_messages.Answer, str]:
        """Answer a question.

        :returns: the answer, and the holder to which to pass the question
            on instead, if it is to be passed on.
        """
        slot = _seats.slot_of(ask.team)
        since_s = self.leases.holds_since(now_s, slot)
        if since_s is not None:
            answer = self._holder.ask(
                now_s, since_s, ask, self.leases.handed_at_s(slot)
            )
            return msgspec.structs.replace(answer, holder=self._address), ""
        holder = self.leases.holder(now_s, slot)
        answer = _messages.Answer(False, holder=holder)
        return answer, holder if ask.forwards else ""

    def receive(
        self, now_s: float, sender: str, message: _messages.Message
    ) -> list[Action]:
        """Handle a one-way message."""
        actions: list[Action] = []
        match message:
            case _messages.Claim():
                actions += self.leases.receive_claim(now_s, sender, message)
            case _messages.Vote():
                actions += self.leases.receive_vote(now_s, sender, message)
            case _messages.Handover():
                self._holder.receive(now_s, message)
                self.leases.receive_handover(now_s, sender, message.slots)
                actions += self.leases.tick(now_s)
            case _messages.Return():
                slot = _seats.slot_of(message.team)
                since_s = self.leases.holds_since(now_s, slot)
                if since_s is not None:
                    self._holder.put_back(now_s, since_s, message)
        return actions

    def _hand_over(self, now_s: float, slots: list[int]) -> list[Action]:
        """Give up slots, each to the live seat that is next in rank."""
        successors = {
            slot: self.leases.successor(now_s, slot) for slot in slots
        }
        since_s = {
            slot: t.cast(float, self.leases.holds_since(now_s, slot))
            for slot in slots
        }
        # The buckets are used no more once the leases are released.
        actions: list[Action] = []
        actions += self.leases.release(now_s, successors)
        for successor in sorted(set(successors.values()) - {""}):
            handed = {
                slot: since_s[slot]
                for slot, peer in successors.items()
                if peer == successor
            }
            buckets = self._holder.hand_over(now_s, handed)
            message = _messages.Handover(
                sum(1 << slot for slot in handed),
                max(0.0, now_s - max(handed.values())),
                tuple(buckets),
            )
            actions.append(_leases.SendTo(successor, message))
        return actions
