"""Leases on slots: at any moment at most one seat holds a slot.

Each seat sends a claim to all others twice a second. It names the slots that
the seat holds or wants, and shows that it lives. A seat votes for at most
one holder of a slot at a time, for the duration of a lease; the votes of
more than half of the seats make a holder. The holder counts a vote from the
time at which it sent the claim, the voter from the time at which it received
it, so a holder stops before any other can begin.
"""

from __future__ import annotations

import collections.abc as cabc

import msgspec

from papayastall.quotas import _messages
from papayastall.quotas import _seats

__all__ = ["LeaseAction", "LeaseChange", "Leases", "SendTo"]

LEASE_S = 2.0
"""Four claims, so that a busy event loop or a lost claim costs no lease."""
CLAIM_INTERVAL_S = 0.5
HANDOVER_CLAIM_INTERVAL_S = 0.1
HANDOVER_TTL_S = 1.5
"""Below a lease: no other seat can have held the slots in between."""
LIVE_S = 1.6
"""Time without a claim after which a seat is passed over."""
LEARN_S = 1.2
"""A seat that begins to hear the others claims nothing new for this time:
until it knows which of them live, all would claim the same slots."""
QUIET_S = 3.0
"""Time after the start in which a seat votes for none: it doesn't know for
whom it voted before its process was replaced. Above a lease."""
SETTLE_S = 2.0
"""A node claims nothing until its members have not changed for this time."""
VIEW_RETENTION_S = 10.0
"""Time for which a majority of replaced seats is needed too. Other nodes
learn of a member within a few seconds; holders by the old and by the new
seats must share a voter until then."""
_SLOTS = range(_messages.SLOT_COUNT)


class SendTo(msgspec.Struct, frozen=True):
    """Send a one-way message to a node."""

    peer: str
    message: _messages.Message


class LeaseChange(msgspec.Struct, frozen=True):
    """This node became the holder of slots, or holds them no longer."""

    gained: tuple[int, ...]
    lost: tuple[int, ...]
    cause: str


LeaseAction = SendTo | LeaseChange


class _View(msgspec.Struct):
    """The seats by the members known in a span of time.

    :param replaced_s: end of that span; ``None`` for the current view.
    """

    seats: tuple[str, ...]
    replaced_s: float | None = None


class _Slot(msgspec.Struct):
    """What a seat knows about one slot.

    :param holder: for whom it voted last.
    :param voted_until_s: it votes for no other before.
    :param votes: end of the lease that each voter granted to this node.
    :param since_s: since when this node holds the slot; ``None`` if it
        does not.
    :param until_s: end of its lease.
    :param handed_s: when the previous holder handed the slot to this node.
    """

    holder: str = ""
    voted_until_s: float = 0.0
    votes: dict[str, float] = msgspec.field(default_factory=dict)
    since_s: float | None = None
    until_s: float = 0.0
    handed_s: float | None = None


class Leases:
    """The slots that one node holds, and its votes.

    :param address: link address of this node.
    :param is_founder: whether this node may hold slots while it knows no
        other member.
    """

    def __init__(
        self, address: str, started_s: float, is_founder: bool = True
    ) -> None:
        self._address = address
        self._started_s = started_s
        self._is_founder = is_founder
        self._views = [_View(())]
        self._members: cabc.Mapping[str, str] = {}
        self._changed_s = started_s
        self._has_claimed = False
        self._is_stopping = False
        self._slots = [_Slot() for _ in _SLOTS]
        self._heard_s: dict[str, float] = {}
        self._able_s: dict[str, float] = {}
        self._able_since_s: float | None = None
        self._claims: dict[int, tuple[float, int]] = {}
        self._claim_numbers: dict[str, int] = {}
        self._number = 0
        self._next_claim_s = started_s

    @property
    def seats(self) -> tuple[str, ...]:
        """The seats by the members that are known now."""
        return self._views[-1].seats

    def held(self, now_s: float) -> list[int]:
        """Return the slots that this node holds."""
        return [slot for slot in _SLOTS if self.holds_since(now_s, slot)]

    def holds_since(self, now_s: float, slot: int) -> float | None:
        """Return since when this node holds a slot, if it does."""
        state = self._slots[slot]
        if state.since_s is None or now_s >= state.until_s:
            return None
        return state.since_s

    def holder(self, now_s: float, slot: int) -> str:
        """Return the holder of a slot as far as known here; else ""."""
        state = self._slots[slot]
        if self.holds_since(now_s, slot) is not None:
            return self._address
        if state.holder != self._address and now_s < state.voted_until_s:
            return state.holder
        return ""

    def set_members(
        self, now_s: float, members: cabc.Mapping[str, str]
    ) -> None:
        """Set the failure domains of all known members by address.

        Dead members are known for a time; those that left are not.
        """
        if members == self._members:
            return
        self._members = dict(members)
        seats = _seats.choose_seats(members)
        if seats == self.seats:
            return
        self._changed_s = now_s
        if self._has_claimed:
            self._views[-1].replaced_s = now_s
            self._views.append(_View(seats))
        else:
            self._views = [_View(seats)]

    def successor(self, now_s: float, slot: int) -> str:
        """Return the live seat that is to hold a slot after this node."""
        for seat in _seats.rank_seats(slot, self.seats):
            if seat != self._address and self._is_live(now_s, seat):
                return seat
        return ""

    def tick(self, now_s: float) -> list[LeaseAction]:
        """Claim slots if it is time to; call it every 0.1 s or so."""
        actions = self._drop_lapsed(now_s)
        self._views = [
            view
            for view in self._views
            if view.replaced_s is None
            or now_s - view.replaced_s < VIEW_RETENTION_S
        ]
        if now_s < self._next_claim_s or not self._may_claim(now_s):
            return actions
        wanted = 0
        interval_s = CLAIM_INTERVAL_S
        # A node that only hears nobody must not renew the votes of others,
        # or be waited for.
        is_able = self._hears_majority(now_s)
        if not is_able:
            self._able_since_s = None
        elif self._able_since_s is None:
            self._able_since_s = now_s
        released = 0
        for slot in _SLOTS:
            state = self._slots[slot]
            if not is_able or not self._wants(now_s, slot):
                if state.since_s is None and state.holder == self._address:
                    released |= 1 << slot
                    state.holder = ""
                    state.voted_until_s = now_s
                    state.votes.clear()
                continue
            wanted |= 1 << slot
            state.holder = self._address
            state.voted_until_s = now_s + LEASE_S
            if state.handed_s is not None and state.since_s is None:
                interval_s = HANDOVER_CLAIM_INTERVAL_S
        self._next_claim_s = now_s + interval_s
        self._has_claimed = True
        self._number += 1
        # A vote on its way must not count for a slot that is given up.
        self._claims = {
            number: (sent_s, mask & ~released)
            for number, (sent_s, mask) in self._claims.items()
            if now_s - sent_s < LEASE_S
        }
        self._claims[self._number] = (now_s, wanted)
        claim = _messages.Claim(self._number, wanted, is_able, released)
        actions += [SendTo(peer, claim) for peer in self._other_seats()]
        return actions + self._count_votes(
            now_s, wanted, self._address, now_s + LEASE_S
        )

    def receive_claim(
        self, now_s: float, sender: str, claim: _messages.Claim
    ) -> list[LeaseAction]:
        """Note that a seat lives, and vote for its claim."""
        if sender in self._members:
            self._heard_s[sender] = now_s
            if claim.is_able:
                self._able_s[sender] = now_s
        granted = 0
        # An older release may arrive after a later claim, on another link.
        released = claim.released
        if claim.number <= self._claim_numbers.get(sender, -1):
            released = 0
        if sender in self._members:
            self._claim_numbers[sender] = claim.number
        may_vote = self._may_vote(now_s, sender)
        for slot in _SLOTS:
            bit = 1 << slot
            state = self._slots[slot]
            if released & bit and state.holder == sender:
                state.voted_until_s = now_s
            if not claim.wanted & bit or not may_vote:
                continue
            if state.holder == sender or now_s >= state.voted_until_s:
                state.holder = sender
                state.voted_until_s = now_s + LEASE_S
                granted |= bit
        if not granted:
            return []
        return [SendTo(sender, _messages.Vote(claim.number, granted))]

    def receive_vote(
        self, now_s: float, sender: str, vote: _messages.Vote
    ) -> list[LeaseAction]:
        """Count the vote of a seat for a claim of this node."""
        sent_s, wanted = self._claims.get(vote.number, (0.0, 0))
        if self._is_stopping or now_s >= sent_s + LEASE_S:
            return []
        actions = self._drop_lapsed(now_s)
        return actions + self._count_votes(
            now_s, vote.granted & wanted, sender, sent_s + LEASE_S
        )

    def receive_handover(self, now_s: float, sender: str, slots: int) -> None:
        """Claim slots at the request of their holder, which has stopped.

        A request that comes late is ignored: another seat may hold them.
        """
        for slot in _SLOTS:
            state = self._slots[slot]
            is_holder = state.holder == sender and now_s < state.voted_until_s
            if slots & 1 << slot and is_holder:
                state.handed_s = now_s
                state.voted_until_s = now_s
        self._next_claim_s = now_s

    def handed_at_s(self, slot: int) -> float | None:
        """Return when the previous holder handed a held slot to this node.

        :returns: ``None`` if the tokens that it left are not known to be
            all that there are.
        """
        return self._slots[slot].handed_s

    def release(
        self, now_s: float, successors: cabc.Mapping[int, str]
    ) -> list[LeaseAction]:
        """Give up slots; the holder must use them no more.

        :param successors: the next holders of the slots.
        """
        released = 0
        for slot, successor in successors.items():
            released |= 1 << slot
            state = self._slots[slot]
            state.since_s, state.handed_s = None, None
            state.votes.clear()
            state.holder = successor
            state.voted_until_s = now_s + (LEASE_S if successor else 0.0)
        # Votes on the way to this node must not renew what was released.
        self._claims.clear()
        self._number += 1
        actions: list[LeaseAction] = []
        for peer in self._other_seats():
            # A successor takes the handover for late without its vote.
            handed = sum(
                1 << slot
                for slot, successor in successors.items()
                if successor == peer
            )
            claim = _messages.Claim(self._number, 0, False, released & ~handed)
            actions.append(SendTo(peer, claim))
        lost = tuple(successors)
        if lost:
            actions.append(LeaseChange((), lost, "handed over"))
        return actions

    def stop(self) -> None:
        """Claim and vote no more; this node is about to stop."""
        self._is_stopping = True

    def is_seat(self) -> bool:
        """Return whether this node may hold slots."""
        return self._address in self.seats

    def _may_claim(self, now_s: float) -> bool:
        if self._is_stopping or not self.is_seat():
            return False
        if self._has_claimed:
            return True
        if len(self._members) < 2 and not self._is_founder:
            return False
        return (
            now_s - self._started_s >= QUIET_S
            and now_s - self._changed_s >= SETTLE_S
        )

    def _may_vote(self, now_s: float, sender: str) -> bool:
        if self._is_stopping or now_s - self._started_s < QUIET_S:
            return False
        return any(
            self._address in view.seats and sender in view.seats
            for view in self._views
        )

    def _wants(self, now_s: float, slot: int) -> bool:
        state = self._slots[slot]
        if state.since_s is not None:
            return True
        if state.handed_s is not None:
            if now_s - state.handed_s < HANDOVER_TTL_S:
                return True
            state.handed_s = None
        if state.holder != self._address and now_s < state.voted_until_s:
            return False
        able_since_s = self._able_since_s
        if able_since_s is None or now_s - able_since_s < LEARN_S:
            return False
        for seat in _seats.rank_seats(slot, self.seats):
            if seat == self._address:
                return True
            if self._is_live(now_s, seat):
                return False
        return False

    def _is_live(self, now_s: float, seat: str) -> bool:
        able_s = self._able_s.get(seat)
        return able_s is not None and now_s - able_s < LIVE_S

    def _hears_majority(self, now_s: float) -> bool:
        heard = sum(
            seat == self._address
            or now_s - self._heard_s.get(seat, -LIVE_S) < LIVE_S
            for seat in self.seats
        )
        return heard > len(self.seats) // 2

    def _other_seats(self) -> list[str]:
        seats = {seat for view in self._views for seat in view.seats}
        seats.discard(self._address)
        return sorted(seats)

    def _count_votes(
        self, now_s: float, slots: int, voter: str, until_s: float
    ) -> list[LeaseAction]:
        gained = []
        for slot in _SLOTS:
            if not slots & 1 << slot:
                continue
            state = self._slots[slot]
            state.votes[voter] = max(until_s, state.votes.get(voter, 0.0))
            state.until_s = self._find_end_s(state.votes)
            if state.since_s is None and now_s < state.until_s:
                state.since_s = now_s
                gained.append(slot)
        if not gained:
            return []
        cause = "more than half of the seats voted for this node"
        return [LeaseChange(tuple(gained), (), cause)]

    def _find_end_s(self, votes: dict[str, float]) -> float:
        """Return until when each view has a majority of votes."""
        return min(
            sorted(votes.get(seat, 0.0) for seat in view.seats)[
                (len(view.seats) - 1) // 2
            ]
            for view in self._views
            if view.seats
        )

    def _drop_lapsed(self, now_s: float) -> list[LeaseAction]:
        lost = []
        for slot, state in enumerate(self._slots):
            if state.since_s is not None and now_s >= state.until_s:
                state.since_s, state.handed_s = None, None
                state.votes.clear()
                lost.append(slot)
        if not lost:
            return []
        cause = "too few seats answered in time, or this process was paused"
        return [LeaseChange((), tuple(lost), cause)]
