"""Tests of membership under loss, delay, cuts, pauses and restarts."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies
import msgspec.structs
import pytest

from papayastall import _decision_types
from papayastall import _member_table
from papayastall import _membership_types as types
from papayastall import _suspicion_timers
from tests import gossip_fleet

CONVERGENCE_TIMEOUT_S = 30.0
MAX_GOSSIP_BYTES_PER_S = 7_000


def start_fleet(size: int, seed: int = 1) -> gossip_fleet.GossipFleet:
    fleet = gossip_fleet.GossipFleet(seed)
    for number in range(size):
        fleet.start(number)
    fleet.run_until(lambda: agrees(fleet), CONVERGENCE_TIMEOUT_S)
    fleet.run(5.0)
    fleet.events.clear()
    return fleet


def agrees(fleet: gossip_fleet.GossipFleet) -> bool:
    """Return whether every node sees exactly the running nodes alive."""
    expected = dict.fromkeys(fleet.nodes, types.MemberState.ALIVE)
    return all(fleet.view(address) == expected for address in fleet.nodes)


def advertise(
    fleet: gossip_fleet.GossipFleet, number: int, **slots: int
) -> None:
    address = gossip_fleet.address_of(number)
    adverts = [
        _decision_types.OwnerAdvert(address, service, "a", count)
        for service, count in slots.items()
    ]
    node = fleet.nodes[address]
    fleet.act(number, node.set_adverts(fleet.now_s, adverts))


def advertised(
    fleet: gossip_fleet.GossipFleet, address: str, service: str
) -> dict[str, int]:
    return {
        advert.owner: advert.slots
        for advert in fleet.nodes[address].adverts(service)
    }


def departures(fleet: gossip_fleet.GossipFleet) -> set[tuple[str, str]]:
    """Return pairs of a node and the member that it saw leave."""
    return {
        (address, event.address)
        for address, events in fleet.events.items()
        for event in events
        if isinstance(event, types.MemberLeft)
    }


@pytest.mark.parametrize("seed", range(8))
def test_nodes_that_start_at_once_all_know_each_other_soon(
    seed: int,
) -> None:
    """Nodes that join before their seeds listen must not stay partitioned.

    The seeds start one after the other, after the other nodes. Traffic
    begins 10 s after the machines start; nodes have to route by then.
    """
    fleet = gossip_fleet.GossipFleet(seed)
    for number in range(3, 26):
        fleet.start(number)
    for number in range(3):
        fleet.run(0.2)
        fleet.start(number)
    fleet.run(5.0)
    sizes = {len(node.members()) for node in fleet.nodes.values()}
    assert sizes == {26}


def test_an_advert_reaches_every_node_and_is_withdrawn() -> None:
    fleet = start_fleet(20)
    advertise(fleet, 3, visits=7, supplies=2)
    owner = gossip_fleet.address_of(3)

    def is_advertised(slots: dict[str, int]) -> bool:
        return all(
            advertised(fleet, address, "visits") == slots
            for address in fleet.nodes
        )

    fleet.run_until(lambda: is_advertised({owner: 7}), 10.0)
    advertise(fleet, 3, supplies=2)
    fleet.run_until(lambda: is_advertised({}), 10.0)


def test_a_killed_node_is_declared_dead_and_loses_its_adverts() -> None:
    fleet = start_fleet(10)
    advertise(fleet, 4, visits=7)
    fleet.run(5.0)
    fleet.kill(4)
    fleet.run_until(lambda: agrees(fleet), CONVERGENCE_TIMEOUT_S)
    for address in fleet.nodes:
        assert advertised(fleet, address, "visits") == {}


def test_a_restarted_node_replaces_its_former_process() -> None:
    """The former adverts must not outlive the process that sent them."""
    fleet = start_fleet(10)
    advertise(fleet, 4, visits=7)
    fleet.run(5.0)
    fleet.kill(4)
    fleet.run(1.0)
    fleet.start(4)
    advertise(fleet, 4, supplies=3)
    fleet.run(10.0)
    address = gossip_fleet.address_of(4)
    assert agrees(fleet)
    for peer in fleet.nodes:
        assert advertised(fleet, peer, "visits") == {}
        assert advertised(fleet, peer, "supplies") == {address: 3}
        if peer != address:
            joined = types.MemberJoined(address, "b", True)
            assert joined in fleet.events[peer]


def test_a_restart_with_a_clock_set_back_replaces_its_former_process() -> None:
    """Incarnations begin with the boot time, so the new one is lower."""
    fleet = start_fleet(6)
    advertise(fleet, 4, visits=7)
    fleet.run(5.0)
    fleet.kill(4)
    fleet.start(4, boot_shift_ms=-3_600_000)
    advertise(fleet, 4, supplies=3)
    fleet.run(20.0)
    address = gossip_fleet.address_of(4)
    assert agrees(fleet)
    for peer in fleet.nodes:
        assert advertised(fleet, peer, "visits") == {}
        assert advertised(fleet, peer, "supplies") == {address: 3}


@pytest.mark.parametrize("both_ways", [False, True])
def test_a_cut_pair_does_not_change_the_fleets_view(both_ways: bool) -> None:
    fleet = start_fleet(8)
    one, other = map(gossip_fleet.address_of, (1, 2))
    fleet.faults.cuts.add((one, other))
    if both_ways:
        fleet.faults.cuts.add((other, one))
    fleet.run(120.0)
    assert departures(fleet) == set()
    assert agrees(fleet)


@pytest.mark.parametrize("cut_inbound", [False, True])
def test_a_node_cut_in_one_direction_causes_no_other_death(
    cut_inbound: bool,
) -> None:
    """A node that gets no replies must not blame the nodes that it probes."""
    fleet = start_fleet(8)
    affected = gossip_fleet.address_of(1)
    for address in fleet.nodes:
        pair = (address, affected) if cut_inbound else (affected, address)
        fleet.faults.cuts.add(pair)
    fleet.run(120.0)
    assert {left for _, left in departures(fleet)} <= {affected}
    assert len(fleet.view(affected)) == 8
    fleet.faults.cuts.clear()
    fleet.run_until(lambda: agrees(fleet), CONVERGENCE_TIMEOUT_S)


def test_a_node_that_receives_from_only_some_suspects_nobody() -> None:
    """It gets no replies from five peers that all others can reach."""
    fleet = start_fleet(8)
    affected = gossip_fleet.address_of(1)
    for number in range(2, 7):
        fleet.faults.cuts.add((gossip_fleet.address_of(number), affected))
    fleet.run(240.0)
    suspected = {
        event.address
        for events in fleet.events.values()
        for event in events
        if isinstance(event, types.MemberSuspect)
    }
    assert suspected <= {affected}
    assert departures(fleet) == set()


def test_a_short_pause_changes_nothing() -> None:
    fleet = start_fleet(8)
    for _ in range(10):
        fleet.pause(1)
        fleet.run(2.0)
        fleet.resume(1)
        fleet.run(5.0)
    assert departures(fleet) == set()
    assert agrees(fleet)


def test_a_node_paused_for_long_rejoins_and_suspects_nobody() -> None:
    fleet = start_fleet(8)
    paused = gossip_fleet.address_of(1)
    advertise(fleet, 1, visits=7)
    fleet.pause(1)
    fleet.run(40.0)
    others = {address for address in fleet.nodes if address != paused}
    assert departures(fleet) == {(address, paused) for address in others}
    fleet.resume(1)
    fleet.run_until(lambda: agrees(fleet), CONVERGENCE_TIMEOUT_S)
    assert not fleet.events[paused][1:]
    for address in fleet.nodes:
        assert advertised(fleet, address, "visits") == {paused: 7}


@pytest.mark.parametrize("fault", ["paused", "cut_inbound"])
def test_a_paused_or_unreached_node_declares_no_suspect_dead(
    fault: str,
) -> None:
    """A suspicion must not time out while its node receives nothing.

    The suspect has resumed and refuted the suspicion, but the refutation
    does not reach the node.
    """
    fleet = start_fleet(8, seed=2)
    suspect, affected = map(gossip_fleet.address_of, (1, 2))
    fleet.pause(1)

    def is_due() -> bool:
        member = fleet.nodes[affected].member(suspect)
        assert member is not None
        assert member.state is not types.MemberState.DEAD
        return len(member.suspecters) == 2

    fleet.run_until(is_due, CONVERGENCE_TIMEOUT_S)
    if fault == "paused":
        fleet.pause(2)
    else:
        fleet.faults.cuts |= {(peer, affected) for peer in fleet.nodes}
    fleet.resume(1)
    fleet.run(20.0)
    fleet.faults.cuts.clear()
    fleet.resume(2)
    fleet.run(20.0)
    assert (affected, suspect) not in departures(fleet)


def test_one_suspecter_is_not_enough_to_declare_a_node_dead() -> None:
    table = _member_table.MemberTable()
    for address in ADDRESSES:
        table.merge_member(record_of(address), 0.0)
    suspicion_timers = _suspicion_timers.SuspicionTimers(
        ADDRESSES[0], table, random.Random(1), 0.0
    )
    for count in (1, 2):
        suspicion = msgspec.structs.replace(
            record_of(ADDRESSES[3]),
            state=types.MemberState.SUSPECT,
            suspecters=tuple(ADDRESSES[:count]),
        )
        table.merge_member(suspicion, 0.0)
        suspicion_timers.open(0.0, ADDRESSES[3])
        now_s = 100.0 * count
        suspicion_timers.note_received(now_s, ADDRESSES[1])
        suspicion_timers.note_received(now_s, ADDRESSES[2])
        dead = [ADDRESSES[3]] if count == 2 else []
        assert suspicion_timers.ended(now_s) == dead


def test_of_two_nodes_neither_declares_the_other_dead() -> None:
    """No third node can confirm which of the two has failed."""
    fleet = start_fleet(2)
    fleet.kill(1)
    fleet.run(120.0)
    assert departures(fleet) == set()
    member = fleet.nodes[gossip_fleet.address_of(0)].member(
        gossip_fleet.address_of(1)
    )
    assert member is not None and not member.answers


def test_two_partitions_merge_after_a_cut() -> None:
    fleet = start_fleet(12)
    addresses = list(fleet.nodes)
    for one in addresses[:6]:
        for other in addresses[6:]:
            fleet.faults.cuts |= {(one, other), (other, one)}
    fleet.run(60.0)
    assert len(fleet.view(addresses[0])) == 6
    advertise(fleet, 0, visits=7)
    advertise(fleet, 11, visits=3)
    fleet.faults.cuts.clear()
    expected = {addresses[0]: 7, addresses[11]: 3}

    def converged() -> bool:
        return agrees(fleet) and all(
            advertised(fleet, address, "visits") == expected
            for address in addresses
        )

    fleet.run_until(converged, CONVERGENCE_TIMEOUT_S)


def test_a_leaving_node_is_gone_without_suspicion() -> None:
    fleet = start_fleet(8)
    advertise(fleet, 5, visits=7)
    fleet.run(5.0)
    node = fleet.nodes[gossip_fleet.address_of(5)]
    fleet.act(5, node.start_leaving(fleet.now_s))
    fleet.run(5.0)
    leaving = types.MemberState.LEAVING
    for address in fleet.nodes:
        assert advertised(fleet, address, "visits") == {}
        assert fleet.view(address)[node.address] is leaving
    fleet.act(5, node.finish_leaving(fleet.now_s))
    fleet.kill(5)
    fleet.run(5.0)
    assert agrees(fleet)
    for events in fleet.events.values():
        assert types.MemberSuspect(node.address) not in events


@pytest.mark.parametrize("seed", range(4))
def test_views_converge_after_random_faults(seed: int) -> None:
    size = 14
    fleet = start_fleet(size, seed)
    rng = random.Random(seed)
    fleet.faults.loss = 0.15
    fleet.faults.duplicate = 0.1
    fleet.faults.max_delay_s = 0.25
    addresses = list(fleet.nodes)
    for _ in range(60):
        number = rng.randrange(size)
        address = gossip_fleet.address_of(number)
        match rng.randrange(6):
            case 0:
                fleet.kill(number)
                fleet.start(number)
            case 1 if address in fleet.nodes and address not in fleet.paused:
                advertise(fleet, number, visits=rng.randrange(5))
            case 2:
                pair = (address, rng.choice(addresses))
                fleet.faults.cuts.add(pair)
            case 3:
                fleet.faults.cuts.clear()
            case 4 if address in fleet.nodes:
                fleet.pause(number)
            case 5 if address in fleet.nodes:
                fleet.resume(number)
        fleet.run(rng.uniform(0.1, 3.0))
    fleet.faults = type(fleet.faults)()
    for number in range(size):
        if gossip_fleet.address_of(number) in fleet.nodes:
            fleet.resume(number)
            advertise(fleet, number, visits=number + 1)
    fleet.run_until(lambda: agrees(fleet), 2 * CONVERGENCE_TIMEOUT_S)
    fleet.run(10.0)
    expected = {
        address: number + 1
        for number, address in enumerate(addresses)
        if address in fleet.nodes
    }
    for address in fleet.nodes:
        assert advertised(fleet, address, "visits") == expected


def test_gossip_traffic_of_a_node_stays_in_its_bound_under_changes() -> None:
    fleet = start_fleet(40)
    fleet.sent_bytes.clear()
    fleet.received_bytes.clear()
    for step in range(30):
        advertise(fleet, step, visits=step + 1)
        fleet.run(1.0)
    for address in fleet.nodes:
        total = fleet.sent_bytes[address] + fleet.received_bytes[address]
        assert total / 30.0 < MAX_GOSSIP_BYTES_PER_S


ADDRESSES = [gossip_fleet.address_of(number) for number in range(4)]
INCARNATIONS = [
    (boot << types.BOOT_SHIFT) + count for boot in (1, 2) for count in (0, 1)
]
MEMBERS = strategies.builds(
    types.MemberRecord,
    address=strategies.sampled_from(ADDRESSES),
    datagram_address=strategies.just("127.0.0.1:1"),
    incarnation=strategies.sampled_from(INCARNATIONS),
    failure_domain=strategies.just("a"),
    state=strategies.sampled_from(types.MemberState),
)
ADVERTS = strategies.builds(
    types.AdvertRecord,
    owner=strategies.sampled_from(ADDRESSES),
    service=strategies.sampled_from(["visits", "supplies"]),
    slots=strategies.just(3),
    version=strategies.sampled_from(INCARNATIONS),
)


def record_of(address: str) -> types.MemberRecord:
    return types.MemberRecord(
        address, "127.0.0.1:1", 1, "a", types.MemberState.ALIVE
    )


def table_of(records: list[types.Record]) -> _member_table.MemberTable:
    table = _member_table.MemberTable()
    for address in ADDRESSES:
        table.merge_member(record_of(address), 0.0)
    for record in records:
        if isinstance(record, types.MemberRecord):
            table.merge_member(record, 0.0)
        else:
            table.merge_advert(record)
    return table


@hypothesis.given(
    strategies.lists(MEMBERS | ADVERTS, max_size=12),
    strategies.randoms(use_true_random=False),
)
def test_tables_agree_whatever_the_order_of_records(
    records: list[types.Record], shuffler: random.Random
) -> None:
    table = table_of(records)
    shuffled = list(records)
    shuffler.shuffle(shuffled)
    other = table_of([*shuffled, *records])
    assert table.digest == other.digest
    assert table.branch_digests() == other.branch_digests()
    assert sorted(table.live) == sorted(other.live)
    for service in ("visits", "supplies"):
        one = sorted(table.live_adverts(service), key=lambda each: each.owner)
        two = sorted(other.live_adverts(service), key=lambda each: each.owner)
        assert one == two


@hypothesis.given(strategies.lists(MEMBERS | ADVERTS, max_size=12))
def test_pages_hold_the_whole_table(records: list[types.Record]) -> None:
    table = table_of(records)
    copied: list[types.Record] = []
    cursor = 0
    while cursor >= 0:
        page, cursor = table.page(cursor, 150)
        copied.extend(page)
    assert len(copied) == len(set(copied))
    assert table_of(copied).digest == table.digest


# Guards against a config index that few members are told of, and against
# datagrams that go on once all have it.
# Guards against an acknowledgement that waits for members without asking them
# what they have.
def test_a_poll_learns_the_config_index_of_members() -> None:
    fleet = start_fleet(10)
    addresses = [gossip_fleet.address_of(number) for number in range(10)]
    node = fleet.nodes[addresses[0]]
    assert set(node.list_behind(5)) == set(addresses[1:])
    for address in addresses[1:9]:
        fleet.nodes[address].set_config_index(5)
    fleet.act(0, node.poll_behind(5))
    fleet.run(0.05)
    assert node.list_behind(5) == [addresses[9]]
    fleet.start(8)
    fleet.run(2.0)
    assert set(node.list_behind(5)) == set(addresses[8:])


def test_a_new_config_index_is_told_to_every_member_and_then_no_more() -> None:
    fleet = start_fleet(30)
    fleet.act(0, fleet.nodes[gossip_fleet.address_of(0)].set_config_index(5))
    told = {gossip_fleet.address_of(0)}

    def spread() -> bool:
        for address, events in fleet.events.items():
            if address not in told and any(
                isinstance(event, types.PeerConfigIndex) for event in events
            ):
                told.add(address)
                fleet._act(address, fleet.nodes[address].set_config_index(5))
        return len(told) == len(fleet.nodes)

    fleet.run_until(spread, 1.0)
    fleet.run(5.0)
    for node in fleet.nodes.values():
        assert node.set_config_index(5) == []
        assert node.set_config_index(4) == []
        assert node._config_index_sends_left == 0


# Guards against a config index that is not passed on by nodes without the
# config itself, and against one that is passed on without end.
def test_a_known_config_index_is_sent_to_every_member_and_then_no_more() -> (
    None
):
    fleet = start_fleet(30)
    holder = gossip_fleet.address_of(0)
    fleet.act(0, fleet.nodes[holder].set_config_index(5))
    told: set[str] = set()

    def spread() -> bool:
        for address, events in fleet.events.items():
            if types.PeerConfigIndex(holder, 5) in events:
                told.add(address)
        return len(told) == len(fleet.nodes) - 1

    fleet.run_until(spread, 1.5)
    fleet.run(5.0)
    for node in fleet.nodes.values():
        assert node._known_index_sends_left == 0
        node.set_config_index(5)
        assert node._send_known_index() == []


def start_and_advertise(size: int) -> gossip_fleet.GossipFleet:
    """Start all nodes at once; each soon advertises its upstream."""
    fleet = gossip_fleet.GossipFleet(seed=1)
    for number in range(size):
        fleet.start(number)
    fleet.run(1.0)
    for number in range(size):
        advertise(fleet, number, visits=1)
    return fleet


# Guards against a fleet that starts at once and whose nodes know only part of
# the upstreams when traffic begins, as their queues of updates are too long.
def test_a_large_fleet_that_starts_at_once_knows_all_adverts_in_time() -> None:
    """Traffic begins 12 s after the machines of a large fleet start."""
    fleet = start_and_advertise(100)
    fleet.run(11.0)
    counts = {
        len(advertised(fleet, address, "visits")) for address in fleet.nodes
    }
    assert counts == {100}


# Guards against membership traffic that is spread evenly over the failure
# domains: of three, two thirds of its bytes would cross between them.
@pytest.mark.parametrize("size", [24, 60])
def test_most_membership_bytes_stay_within_a_failure_domain(size: int) -> None:
    fleet = start_and_advertise(size)
    fleet.run(30.0)
    total_bytes = sum(fleet.sent_bytes.values())
    assert fleet.far_bytes < 0.34 * total_bytes


# Guards against a failure domain whose nodes are probed by one another only,
# so that its loss as a whole is noticed by nobody.
def test_the_loss_of_a_whole_failure_domain_is_noticed() -> None:
    fleet = start_fleet(24)
    for number in range(0, 24, len(gossip_fleet.DOMAINS)):
        fleet.kill(number)
    fleet.run_until(lambda: agrees(fleet), 60.0)
