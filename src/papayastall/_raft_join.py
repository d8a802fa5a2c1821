"""Bootstrap of a group, joining it, and exclusion of old data folders."""

from __future__ import annotations

import msgspec

from papayastall import _raft_codec as codec
from papayastall import _raft_state
from papayastall import _raft_types as types

__all__ = ["Joining", "stale_reason", "with_joined"]

MAX_RETIRED_FOLDERS = 256
MAX_MEMBERS = 20
"""As many control nodes as a fleet of the size planned in two years has."""
MAX_JOIN_AGE_INTERVALS = 6
"""Join intervals after which a join message no longer counts."""


def stale_reason(
    state: _raft_state.RaftState, sender: types.Sender
) -> str | None:
    """Return why a sender's data folder is excluded from the group.

    A folder is excluded if it was replaced or removed, or if the group knows
    of a later start of it, or of another process with the same start number:
    it is then a copy that may lack votes and entries.

    :returns: the reason, for the operator; ``None`` if it is not excluded.
    """
    members = state.log.members
    if sender.folder_id in members.retired:
        return "the group has replaced or removed this data folder"
    member = state.member_by_folder(sender.folder_id)
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
    """Return the configuration with the sender's data folder added.

    It is added as a non-voter. A member at the same address with another
    folder is replaced and that folder retired.

    :param admits: whether replicas at unknown addresses are added.
    :returns: the new configuration; ``None`` if nothing changes.
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
        retired = (*retired, old.folder_id)[-MAX_RETIRED_FOLDERS:]
    return types.Members(
        tuple(
            joined if member.address == sender.address else member
            for member in members.members
        ),
        retired,
    )


class _JoinRecord(msgspec.Struct):
    """Last join message received from an address.

    :param is_two_way: whether it was addressed to this data folder: the
        sender has received a join message from this replica.
    :param at_s: time of receipt, in seconds of the replica's clock.
    """

    sender: types.Sender
    fresh: bool
    is_two_way: bool
    at_s: float


class Joining:
    """Sends join messages, and bootstraps the group.

    A group is bootstrapped once, by the replica at the first address of the
    settings, when the data folders at all listed addresses are fresh.

    :param state: state of the replica.
    """

    __slots__ = ("_digest", "_joins", "_next_send_s", "_state")

    def __init__(self, state: _raft_state.RaftState, now_s: float) -> None:
        self._state = state
        self._next_send_s = now_s
        self._joins: dict[str, _JoinRecord] = {}
        self._digest = _raft_state.list_digest(state.addresses)

    @property
    def due_s(self) -> float:
        """When :meth:`tick` must be called if no message arrives."""
        state = self._state
        leader_deadline_s = (
            state.leader_contact_s + state.timings.election_max_s
        )
        return max(self._next_send_s, leader_deadline_s)

    def tick(self, now_s: float) -> None:
        """Send join messages while no leader sends anything.

        A replica that is a member by its own log sends them as well: the
        entry that added it may have been replaced by a later leader's.
        """
        state = self._state
        if now_s < self.due_s:
            return
        self._next_send_s = now_s + state.timings.join_interval_s
        body = types.Join(state.is_fresh, self._digest)
        for address in state.join_targets:
            if address == state.identity.address:
                continue
            join = self._joins.get(address)
            to_id = join.sender.folder_id if join else 0
            state.out.early.append(state.message(address, to_id, body))
        self._bootstrap(now_s)

    def on_join(
        self, now_s: float, message: types.Message, body: types.Join
    ) -> None:
        """Record a join message for the bootstrap.

        Messages of replicas with another address list are ignored.
        """
        if body.list_digest != self._digest:
            return
        self._joins[message.sender.address] = _JoinRecord(
            message.sender,
            body.fresh,
            message.to_id == self._state.identity.folder_id,
            now_s,
        )

    def _bootstrap(self, now_s: float) -> None:
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
        join = self._joins.get(address)
        if join is None or not join.fresh or not join.is_two_way:
            return None
        oldest_s = (
            now_s
            - MAX_JOIN_AGE_INTERVALS * self._state.timings.join_interval_s
        )
        return join.sender if join.at_s >= oldest_s else None
