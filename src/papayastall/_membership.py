"""Membership of the fleet by a SWIM gossip protocol, without I/O.

Each node probes one member a second, piggybacks updates on its datagrams
and repairs lost updates by comparing digests, all at a cost that does not
grow with the fleet. A member is declared dead only when two nodes that
receive datagrams from others had no answer from it and it did not refute
the suspicion in time.
"""

from __future__ import annotations

import collections.abc as cabc
import random

import msgspec
import msgspec.structs

from papayastall import _decision_types
from papayastall import _gossip_queue
from papayastall import _member_table
from papayastall import _membership_types as types
from papayastall import _peer_choice
from papayastall import _prober
from papayastall import _reconciler
from papayastall import _suspicion_timers

__all__ = ["TICK_INTERVAL_S", "Membership", "MembershipSettings"]

TICK_INTERVAL_S = 0.2
GOSSIP_INTERVAL_S = 0.25
MAX_PIGGYBACK_BYTES = 1000
PAUSE_THRESHOLD_S = 1.0
RECONNECT_INTERVAL_S = 10.0
STARTUP_PERIOD_S = 30.0
STARTUP_RECONNECT_INTERVAL_S = 0.5
"""Nodes that start together join through different seeds, and know only the
nodes that joined through the same one until one of them reaches another."""
GONE_RETENTION_S = 7200.0
LEFT_NOTICE_FANOUT = 5
CONFIG_INDEX_FANOUT = 4
"""Members notified of a new config index at once, and at each tick after."""
MAX_MEMBERS_POLLED = 512
"""Pings sent at once to members behind a config index, some 50 KB."""


class MembershipSettings(msgspec.Struct, frozen=True):
    """Identity of a node and the seeds that it joins through.

    :param address: own link address, ``ip:port``.
    :param datagram_address: own address for datagrams, ``ip:port``.
    :param boot_ms: Unix time of this process's start, in milliseconds.
    :param seeds: datagram addresses of nodes to join through.
    """

    address: str
    datagram_address: str
    failure_domain: str
    boot_ms: int
    seeds: tuple[str, ...]


class Membership:
    """The membership protocol of one node.

    The methods return the actions to carry out, in order.

    :param rng: own generator, seeded by the caller.
    """

    def __init__(
        self, settings: MembershipSettings, rng: random.Random, now_s: float
    ) -> None:
        self._address = settings.address
        self._rng = rng
        self._seeds = tuple(
            seed
            for seed in settings.seeds
            if seed != settings.datagram_address
        )
        self._table = _member_table.MemberTable()
        self._queue = _gossip_queue.GossipQueue(self._table)
        self._peers = _peer_choice.PeerChoice(
            settings.address, settings.failure_domain, self._table, rng
        )
        self._prober = _prober.Prober(
            settings.address, self._table, self._peers, rng, now_s
        )
        self._reconciler = _reconciler.Reconciler(
            self._table, self._peers, self._seeds, rng, now_s
        )
        self._state = types.MemberState.ALIVE
        self._config_index = 0
        self._config_index_sends_left = 0
        self._known_index = 0
        self._known_holder = ""
        self._known_index_sends_left = 0
        self._last_run_s = now_s
        self._suspicion_timers = _suspicion_timers.SuspicionTimers(
            settings.address, self._table, rng, now_s
        )
        self._next_gossip_s = now_s
        self._started_s = now_s
        self._next_reconnect_s = now_s + STARTUP_RECONNECT_INTERVAL_S
        incarnation = settings.boot_ms << types.BOOT_SHIFT
        self._advert_version = incarnation
        self._own = types.MemberRecord(
            settings.address,
            settings.datagram_address,
            incarnation,
            settings.failure_domain,
            types.MemberState.ALIVE,
        )
        self._table.merge_member(self._own, now_s)
        self._queue.add_member(self._address)

    @property
    def address(self) -> str:
        """Own link address."""
        return self._address

    @property
    def is_joining(self) -> bool:
        """Whether this node still reads another node's member table."""
        return self._reconciler.is_reading

    def tick(self, now_s: float) -> list[types.MembershipAction]:
        """Run the timers; to be called every :data:`TICK_INTERVAL_S`."""
        self._detect_pause(now_s)
        actions: list[types.MembershipAction] = []
        for action in self._prober.tick(now_s):
            match action:
                case _prober.ProbeFailed(address, confirmed):
                    actions.extend(self._suspect(now_s, address, confirmed))
                case _prober.ProbeMessage():
                    actions.append(self._with_piggyback(action))
        actions.extend(self._declare_dead(now_s))
        actions.extend(self._repair_datagrams(self._reconciler.tick(now_s)))
        actions.extend(self._send_gossip(now_s))
        actions.extend(self._send_config_index())
        actions.extend(self._send_known_index())
        actions.extend(self._reconnect(now_s))
        return actions

    def receive(
        self, now_s: float, datagram: types.Datagram, source: str
    ) -> list[types.MembershipAction]:
        """Handle a datagram.

        :param source: datagram address that it came from.
        """
        self._detect_pause(now_s)
        if datagram.sender == self._address:
            return []
        self._suspicion_timers.note_received(now_s, datagram.sender)
        actions = self._merge_records(now_s, datagram)
        actions.extend(self._note_config_index(datagram))
        actions.extend(self._handle_body(now_s, datagram, source))
        compared = self._reconciler.compare(
            now_s,
            source,
            datagram.digest,
            self._peers.is_near(datagram.sender),
        )
        actions.extend(self._repair_datagrams(compared))
        return actions

    def set_adverts(
        self, now_s: float, adverts: cabc.Sequence[_decision_types.OwnerAdvert]
    ) -> list[types.MembershipAction]:
        """Replace the adverts of this node."""
        wanted = {advert.service: advert.slots for advert in adverts}
        known = self._table.adverts_of(self._address)
        for service, record in known.items():
            if record.slots:
                wanted.setdefault(service, 0)
        actions: list[types.MembershipAction] = []
        for service, slots in wanted.items():
            previous = known.get(service)
            if (previous.slots if previous else 0) != slots:
                actions.extend(self._advertise(service, slots))
        return actions

    def set_seeds(self, seeds: cabc.Sequence[str]) -> None:
        """Replace the seeds that this node joins through."""
        self._seeds = tuple(
            seed for seed in seeds if seed != self._own.datagram_address
        )
        self._reconciler.set_seeds(self._seeds)

    def set_config_index(
        self, config_index: int
    ) -> list[types.MembershipAction]:
        """Set the index of the config in force here; notify some members.

        Each member that puts it in force notifies others. An index that is no
        later than the present one changes nothing.
        """
        if config_index <= self._config_index:
            return []
        self._config_index = config_index
        self._config_index_sends_left = (
            _gossip_queue.count_index_transmissions(len(self._table.live))
        )
        return self._send_config_index()

    def list_behind(self, config_index: int) -> list[str]:
        """Return the other members not known to have a config index.

        Those that are suspected to have failed are left out.
        """
        return [
            member.address for member in self._members_behind(config_index)
        ]

    def poll_behind(self, config_index: int) -> list[types.MembershipAction]:
        """Ping members that are not known to have a config index.

        Their answers carry the index that they have in force.
        """
        behind = self._members_behind(config_index)
        count = min(MAX_MEMBERS_POLLED, len(behind))
        return [
            self._with_piggyback(
                self._prober.make_ping(member.datagram_address)
            )
            for member in self._rng.sample(behind, count)
        ]

    def _members_behind(self, config_index: int) -> list[types.Member]:
        return [
            member
            for member in self.members()
            if member.config_index < config_index
            and member.state < types.MemberState.SUSPECT
            and member.address != self._address
        ]

    def start_leaving(self, now_s: float) -> list[types.MembershipAction]:
        """Withdraw the adverts and change the own state to leaving."""
        actions = self.set_adverts(now_s, [])
        self._state = types.MemberState.LEAVING
        actions.extend(self._set_incarnation(now_s, self._own.incarnation + 1))
        return actions

    def finish_leaving(self, now_s: float) -> list[types.MembershipAction]:
        """Change the own state to left and notify some members.

        The node sends nothing more after this.
        """
        self._state = types.MemberState.LEFT
        actions = self._set_incarnation(now_s, self._own.incarnation + 1)
        others = self._other_live_members()
        for address in self._rng.sample(
            others, min(len(others), LEFT_NOTICE_FANOUT)
        ):
            member = self._table.members[address]
            actions.append(
                self._datagram(
                    member.datagram_address, types.Gossip(), (self._own,)
                )
            )
        return actions

    def members(self) -> list[types.Member]:
        """Return the live members, including this node."""
        return [self._table.members[address] for address in self._table.live]

    def known_domains(self) -> dict[str, str]:
        """Return the failure domains of all members but those that left.

        Members that are dead, or only cut off, are known for hours.
        """
        left = types.MemberState.LEFT
        return {
            member.address: member.failure_domain
            for member in self._table.members.values()
            if member.state is not left
        }

    def member(self, address: str) -> types.Member | None:
        """Return a member, also one that is dead or has left."""
        return self._table.members.get(address)

    def adverts(self, service: str) -> list[_decision_types.OwnerAdvert]:
        """Return the adverts of a service by live members."""
        return self._table.live_adverts(service)

    def _detect_pause(self, now_s: float) -> None:
        """Discard own evidence after a pause of this process.

        A reply that it did not read during the pause is no sign of a failure.
        """
        gap_s = now_s - self._last_run_s
        self._last_run_s = now_s
        if gap_s <= PAUSE_THRESHOLD_S:
            return
        self._prober.reset()
        self._suspicion_timers.note_pause(now_s, gap_s)
        self._queue.add_member(self._address)

    def _suspect(
        self, now_s: float, address: str, confirmed: bool
    ) -> list[types.MembershipAction]:
        record = self._table.member_record(address)
        if record is None or not confirmed:
            return []
        if not self._suspicion_timers.is_receiving(now_s):
            return []
        suspicion = msgspec.structs.replace(
            record,
            state=types.MemberState.SUSPECT,
            suspecters=(self._address,),
        )
        return self._merge_member(now_s, suspicion)

    def _declare_dead(self, now_s: float) -> list[types.MembershipAction]:
        actions: list[types.MembershipAction] = []
        for address in self._suspicion_timers.ended(now_s):
            record = self._table.member_record(address)
            assert record is not None
            dead = msgspec.structs.replace(
                record, state=types.MemberState.DEAD
            )
            actions.extend(self._merge_member(now_s, dead))
        return actions

    def _merge_records(
        self, now_s: float, datagram: types.Datagram
    ) -> list[types.MembershipAction]:
        disseminate = not isinstance(
            datagram.body, types.Page | types.LeafRecords
        )
        actions: list[types.MembershipAction] = []
        for record in datagram.records:
            match record:
                case types.MemberRecord(address) if address == self._address:
                    actions.extend(self._refute(now_s, record))
                case types.MemberRecord():
                    actions.extend(
                        self._merge_member(now_s, record, disseminate)
                    )
                case types.AdvertRecord(owner) if owner != self._address:
                    actions.extend(self._merge_advert(record, disseminate))
        return actions

    def _merge_advert(
        self, record: types.AdvertRecord, disseminate: bool
    ) -> list[types.MembershipAction]:
        events = self._table.merge_advert(record)
        if events is None:
            return []
        if disseminate:
            self._queue.add_advert(record.owner, record.service)
        return list(events)

    def _merge_member(
        self,
        now_s: float,
        record: types.MemberRecord,
        disseminate: bool = True,
    ) -> list[types.MembershipAction]:
        events = self._table.merge_member(record, now_s)
        if events is None:
            return []
        if disseminate:
            self._queue.add_member(record.address)
        member = self._table.members[record.address]
        if member.state is types.MemberState.SUSPECT:
            self._suspicion_timers.open(now_s, record.address)
        else:
            self._suspicion_timers.close(record.address)
        return list(events)

    def _refute(
        self, now_s: float, record: types.MemberRecord
    ) -> list[types.MembershipAction]:
        """Refute a record about this node, if it needs that.

        A record of an earlier incarnation does not, nor one with a state no
        worse than the node's own.
        """
        own = self._own
        if record.incarnation < own.incarnation:
            return []
        if types.boot_ms_of(record.incarnation) > types.boot_ms_of(
            own.incarnation
        ):
            return self._supersede_boot(
                now_s, types.boot_ms_of(record.incarnation)
            )
        if record.state <= own.state and record.incarnation == own.incarnation:
            return []
        if record.state >= types.MemberState.DEAD:
            # Nodes where this node was dead may lack its latest adverts.
            for service in self._table.adverts_of(self._address):
                self._queue.add_advert(self._address, service)
        return self._set_incarnation(now_s, record.incarnation + 1)

    def _supersede_boot(
        self, now_s: float, boot_ms: int
    ) -> list[types.MembershipAction]:
        """Use a later boot time than an earlier process of this node had.

        If the clock was set back between the two starts, the earlier process
        had the later boot time, and its records would win.
        """
        own_adverts = list(self._table.adverts_of(self._address).values())
        incarnation = (boot_ms + 1) << types.BOOT_SHIFT
        actions = self._set_incarnation(now_s, incarnation)
        for advert in own_adverts:
            actions.extend(self._advertise(advert.service, advert.slots))
        return actions

    def _set_incarnation(
        self, now_s: float, incarnation: int
    ) -> list[types.MembershipAction]:
        assert incarnation > self._own.incarnation, incarnation
        self._own = msgspec.structs.replace(
            self._own, incarnation=incarnation, state=self._state
        )
        self._advert_version = max(self._advert_version, incarnation)
        return self._merge_member(now_s, self._own)

    def _advertise(
        self, service: str, slots: int
    ) -> list[types.MembershipAction]:
        self._advert_version += 1
        record = types.AdvertRecord(
            self._address, service, slots, self._advert_version
        )
        events = self._table.merge_advert(record)
        self._queue.add_advert(self._address, service)
        return list(events or [])

    def _note_config_index(
        self, datagram: types.Datagram
    ) -> list[types.MembershipAction]:
        member = self._table.members.get(datagram.sender)
        if member is not None:
            member.config_index = datagram.config_index
        actions: list[types.MembershipAction] = []
        for holder, index in (
            (datagram.sender, datagram.config_index),
            (datagram.known_holder, datagram.known_index),
        ):
            if index > self._config_index and holder != self._address:
                actions.append(types.PeerConfigIndex(holder, index))
                self._note_known_index(holder, index)
        return actions

    def _note_known_index(self, holder: str, index: int) -> None:
        if index > self._known_index:
            self._known_index = index
            self._known_holder = holder
            self._known_index_sends_left = (
                _gossip_queue.count_index_transmissions(len(self._table.live))
            )

    def _handle_body(
        self, now_s: float, datagram: types.Datagram, source: str
    ) -> list[types.MembershipAction]:
        sender = datagram.sender
        match datagram.body:
            case types.Ping(sequence):
                ack = _prober.ProbeMessage(source, sender, types.Ack(sequence))
                return [self._with_piggyback(ack)]
            case types.Ack(sequence):
                relayed = self._prober.ack(sender, sequence)
                return [self._with_piggyback(relayed)] if relayed else []
            case types.PingRequest() as request:
                ping = self._prober.ping_request(now_s, source, request)
                return [self._with_piggyback(ping)] if ping else []
            case types.Nack(sequence):
                self._prober.nack(sequence)
                return []
            case types.BranchDigests() as body:
                return self._repair_datagrams(
                    self._reconciler.handle_branch_digests(now_s, source, body)
                )
            case types.LeafDigests() as body:
                return self._repair_datagrams(
                    self._reconciler.handle_leaf_digests(source, body)
                )
            case types.LeafRecords() as body:
                return self._repair_datagrams(
                    self._reconciler.handle_leaves(source, body)
                )
            case types.PageRequest() as body:
                return self._repair_datagrams(
                    [self._reconciler.handle_page_request(source, body)]
                )
            case types.Page() as body:
                return self._handle_page(now_s, body)
            case types.Gossip():
                return []

    def _handle_page(
        self, now_s: float, body: types.Page
    ) -> list[types.MembershipAction]:
        was_joining = self.is_joining
        actions = self._repair_datagrams(
            self._reconciler.handle_page(now_s, body)
        )
        if was_joining and not self.is_joining:
            # How often the queue sends a record depends on the number of
            # members, which is known only now.
            self._queue.add_member(self._address)
        return actions

    def _send_gossip(self, now_s: float) -> list[types.MembershipAction]:
        if now_s < self._next_gossip_s or not len(self._queue):
            return []
        address = self._peers.draw()
        if address is None:
            return []
        self._next_gossip_s = now_s + GOSSIP_INTERVAL_S
        member = self._table.members[address]
        message = _prober.ProbeMessage(
            member.datagram_address, address, types.Gossip()
        )
        return [self._with_piggyback(message)]

    def _send_config_index(self) -> list[types.MembershipAction]:
        """Tell some members that are not known to have the config index."""
        if not self._config_index_sends_left:
            return []
        sent = self._send_to_members_behind(
            self._config_index, self._config_index_sends_left
        )
        self._config_index_sends_left -= len(sent)
        if not sent:
            self._config_index_sends_left = 0
        return sent

    def _send_known_index(self) -> list[types.MembershipAction]:
        """Pass on a config index that is not in force here yet.

        So the index spreads at the same rate where the config itself takes
        long to arrive.
        """
        if self._known_index <= self._config_index:
            return []
        sent = self._send_to_members_behind(
            self._known_index, self._known_index_sends_left
        )
        self._known_index_sends_left -= len(sent)
        return sent

    def _send_to_members_behind(
        self, config_index: int, limit: int
    ) -> list[types.MembershipAction]:
        """Send to members that are not known to have a config index."""
        others = [
            member
            for member in self.members()
            if member.config_index < config_index
            and member.address != self._address
        ]
        count = min(CONFIG_INDEX_FANOUT, limit, len(others))
        return [
            self._with_piggyback(
                _prober.ProbeMessage(
                    member.datagram_address, member.address, types.Gossip()
                )
            )
            for member in self._rng.sample(others, count)
        ]

    def _reconnect(self, now_s: float) -> list[types.MembershipAction]:
        """Ping a dead member, or a seed that is not a live member."""
        if now_s < self._next_reconnect_s:
            return []
        interval_s = RECONNECT_INTERVAL_S
        if now_s - self._started_s < STARTUP_PERIOD_S:
            interval_s = STARTUP_RECONNECT_INTERVAL_S
        self._next_reconnect_s = now_s + interval_s
        self._table.expire(now_s, GONE_RETENTION_S)
        dead = self._table.dead
        live = {member.datagram_address for member in self.members()}
        unknown_seeds = [seed for seed in self._seeds if seed not in live]
        candidates = [
            *(
                self._table.members[address].datagram_address
                for address in dead
            ),
            *unknown_seeds,
        ]
        if not candidates:
            return []
        target = self._rng.choice(candidates)
        ping = self._prober.make_ping(target)
        records = [self._own]
        for address in dead:
            record = self._table.member_record(address)
            if record is not None and record.datagram_address == target:
                records.append(record)
        return [self._datagram(target, ping.body, tuple(records))]

    def _with_piggyback(
        self, message: _prober.ProbeMessage
    ) -> types.SendDatagram:
        """Add queued updates and any suspicion that the receiver can refute.

        The receiver's record goes first if it says suspect, dead or left.
        """
        receiver_record: tuple[types.MemberRecord, ...] = ()
        if message.address is not None:
            record = self._table.member_record(message.address)
            if record and record.state >= types.MemberState.SUSPECT:
                receiver_record = (record,)
        records = (
            *receiver_record,
            *self._queue.take(MAX_PIGGYBACK_BYTES),
        )
        return self._datagram(message.datagram_address, message.body, records)

    def _repair_datagrams(
        self, messages: cabc.Iterable[_reconciler.RepairMessage]
    ) -> list[types.MembershipAction]:
        actions: list[types.MembershipAction] = []
        for message in messages:
            records = message.records
            if isinstance(message.body, types.PageRequest):
                records = (self._own,)
            actions.append(
                self._datagram(message.datagram_address, message.body, records)
            )
        return actions

    def _datagram(
        self,
        datagram_address: str,
        body: types.Body,
        records: tuple[types.Record, ...],
    ) -> types.SendDatagram:
        datagram = types.Datagram(
            self._address,
            self._own.incarnation,
            self._config_index,
            self._table.digest,
            records,
            body,
            *self._find_known_index(),
        )
        return types.SendDatagram(datagram_address, datagram)

    def _find_known_index(self) -> tuple[int, str]:
        if self._known_index <= self._config_index:
            return 0, ""
        return self._known_index, self._known_holder

    def _other_live_members(self) -> list[str]:
        return [
            address for address in self._table.live if address != self._address
        ]
