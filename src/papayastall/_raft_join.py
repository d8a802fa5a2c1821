"""How data folders enter a group, and how old ones are kept out."""

from __future__ import annotations

import msgspec

from papayastall import _raft_codec as codec
from papayastall import _raft_state
from papayastall import _raft_types as types

__all__ = ["Joining", "stale_reason", "with_joined"]

MAX_RETIRED = 256
MAX_MEMBERS = 20
"""As many as may be set aside for control at the two-year size."""
JOIN_PERIODS_KEPT = 6


def stale_reason(
    state: _raft_state.RaftState, sender: types.Sender
) -> str | None:
    """Return why a sender's folder may not take part, if it may not."""
    members = state.log.members
    if sender.folder_id in members.retired:
        return "the group has replaced or removed this data folder"
    member = state.member_of(sender.folder_id)
    if member is None:
        return None
    known = (member.boot, member.boot_nonce)
    if sender.boot < known[0] or (
        sender.boot == known[0] and sender.boot_nonce != known[1]
    ):
        return "the data folder is an older copy of this replica's own"
    return None


def with_joined(
    members: types.Members, sender: types.Sender, admits: bool = False
) -> types.Members | None:
    """Return the members with a new folder, in place of a lost one if any.

    The new folder gets no vote yet. ``None`` where nothing changes.

    :param admits: whether a replica at an unknown address is let in.
    """
    old = members.find(sender.address)
    if old is not None and old.folder_id == sender.folder_id:
        return None
    joined = types.Member(
        sender.address,
        sender.folder_id,
        False,
        sender.boot,
        sender.boot_nonce,
    )
    if old is None:
        if not admits or len(members.members) >= MAX_MEMBERS:
            return None
        return types.Members((*members.members, joined), members.retired)
    retired = members.retired
    if old.folder_id:
        retired = (*retired, old.folder_id)[-MAX_RETIRED:]
    return types.Members(
        tuple(
            joined if member.address == sender.address else member
            for member in members.members
        ),
        retired,
    )


class _Heard(msgspec.Struct):
    sender: types.Sender
    fresh: bool
    answers_me: bool
    at_s: float


class Joining:
    """Tells the others of a folder without a group, and founds groups.

    A group is founded once, by the first address of the settings, when
    every listed folder is fresh.

    :param state: blackboard of the replica.
    """

    __slots__ = ("_digest", "_heard", "_next_s", "_state")

    def __init__(self, state: _raft_state.RaftState, now_s: float) -> None:
        self._state = state
        self._next_s = now_s
        self._heard: dict[str, _Heard] = {}
        self._digest = _raft_state.list_digest(state.addresses)

    @property
    def due_s(self) -> float:
        """When :meth:`tick` has something to do, if nothing is heard."""
        state = self._state
        unheard_s = state.heard_s + state.timings.election_max_s
        return max(self._next_s, unheard_s)

    def tick(self, now_s: float) -> None:
        """Say that no leader sends anything to this folder.

        A folder that takes itself for a member says so as well: the entry
        that made it one may have been replaced by that of a later leader.
        """
        state = self._state
        if now_s < self.due_s:
            return
        self._next_s = now_s + state.timings.join_interval_s
        body = types.Join(state.is_fresh, self._digest)
        for address in state.join_targets:
            if address == state.identity.address:
                continue
            heard = self._heard.get(address)
            to_id = heard.sender.folder_id if heard else 0
            state.out.early.append(state.message(address, to_id, body))
        self._found(now_s)

    def on_join(
        self, now_s: float, message: types.Message, body: types.Join
    ) -> None:
        """Take note of a folder without a group."""
        if body.list_digest != self._digest:
            return
        self._heard[message.sender.address] = _Heard(
            message.sender,
            body.fresh,
            message.to_id == self._state.identity.folder_id,
            now_s,
        )

    def _found(self, now_s: float) -> None:
        state = self._state
        own = state.identity
        if not state.formation.may_found:
            return
        if not state.is_fresh or own.address != state.addresses[0]:
            return
        members = []
        for address in state.addresses:
            sender = self._fresh_sender(now_s, address)
            if sender is None:
                return
            members.append(
                types.Member(
                    address,
                    sender.folder_id,
                    True,
                    sender.boot,
                    sender.boot_nonce,
                )
            )
        state.set_term(1)
        state.vote = own.folder_id
        state.cluster_id = own.folder_id
        state.write_hard_state()
        payload = codec.encode_members(types.Members(tuple(members)))
        state.write_entry(
            types.make_entry(1, 1, types.EntryKind.MEMBERS, payload, 0)
        )
        state.election_deadline_s = now_s

    def _fresh_sender(self, now_s: float, address: str) -> types.Sender | None:
        if address == self._state.identity.address:
            return self._state.identity
        heard = self._heard.get(address)
        if heard is None or not heard.fresh or not heard.answers_me:
            return None
        oldest_s = (
            now_s - JOIN_PERIODS_KEPT * self._state.timings.join_interval_s
        )
        return heard.sender if heard.at_s >= oldest_s else None
