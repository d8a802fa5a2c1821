"""Tests of quotas over a virtual fleet: their bound, and nobody refused.

Each test names the fault or the load. ``check_bound`` checks all windows.
"""

from __future__ import annotations

import collections
import functools
import random
import typing as t

import pytest

from papayastall import exceptions
from papayastall.quotas import _bounds
from papayastall.quotas import _client
from papayastall.quotas import _leases
from papayastall.quotas import _messages
from papayastall.quotas import _seats
from tests import quota_fleet

TEAM = "team-a"
LIMITS = _messages.Limits(83.0, 83.0, 1)
SMALL = _messages.Limits(5.0, 5.0, 1)
EXCEEDED = exceptions.ErrorCode.QUOTA_EXCEEDED.value
TRAFFIC_S = 12.0


def make_fleet(
    count: int = 100, limits: _messages.Limits = LIMITS, seed: int = 1
) -> quota_fleet.Fleet:
    """Return a fleet that has run until traffic begins."""
    fleet = quota_fleet.Fleet(count, seed)
    fleet.set_limits(TEAM, limits.rate_per_s, limits.burst, 1)
    fleet.run(TRAFFIC_S - 0.001)
    return fleet


@pytest.mark.parametrize("limits", [LIMITS, SMALL])
@pytest.mark.parametrize("count", [1, 2, 3, 100])
def test_a_team_at_its_rate_is_never_refused(
    count: int, limits: _messages.Limits
) -> None:
    fleet = make_fleet(count, limits)
    fleet.send_evenly(TEAM, limits.rate_per_s, TRAFFIC_S, 42.0)
    fleet.run(45.0)
    assert set(fleet.count_codes(TEAM)) == {"ran"}


@pytest.mark.parametrize("seed", range(2))
def test_a_burst_at_one_node_is_admitted(seed: int) -> None:
    """The whole burst arrives within 50 ms, beside a steady trickle."""
    fleet = make_fleet(seed=seed)
    fleet.send_evenly(TEAM, 40.0, TRAFFIC_S, 40.0)
    for number in range(40):
        fleet.send(TEAM, "10.0.0.7:7400", 20.0 + number * 0.001)
    fleet.run(45.0)
    assert set(fleet.count_codes(TEAM)) == {"ran"}
    quiet = make_fleet(seed=seed)
    for number in range(83):
        quiet.send(TEAM, "10.0.0.7:7400", 20.0 + number * 0.0005)
    quiet.run(25.0)
    assert set(quiet.count_codes(TEAM)) == {"ran"}


def test_all_of_a_team_at_one_node_is_admitted() -> None:
    """Prefetched tokens that expire unused must not be lost to the team."""
    fleet = make_fleet()
    for number in range(83 * 30):
        fleet.send(TEAM, "10.0.0.7:7400", TRAFFIC_S + number / 83)
    fleet.run(45.0)
    assert set(fleet.count_codes(TEAM)) == {"ran"}
    assert fleet.sent["Ask"] < 83 * 30 / 4


@pytest.mark.parametrize("factor", [5, 9])
@pytest.mark.parametrize("limits", [LIMITS, SMALL])
def test_a_hot_team_is_held_to_its_quota(
    factor: int, limits: _messages.Limits
) -> None:
    fleet = make_fleet(limits=limits)
    per_s = limits.rate_per_s * factor
    fleet.send_evenly(TEAM, per_s, TRAFFIC_S, 42.0)
    fleet.run(45.0)
    fleet.check_bound(TEAM, limits)
    counts = fleet.count_codes(TEAM)
    assert set(counts) == {"ran", EXCEEDED}
    assert counts["ran"] >= 0.97 * (limits.rate_per_s * 30 + limits.burst)
    for request in fleet.requests:
        assert request.decided_s is not None
        assert request.decided_s - request.sent_s < 0.01


@pytest.mark.parametrize(
    "limits", [LIMITS, SMALL, _messages.Limits(15.0, 15.0, 1)]
)
def test_a_bucket_and_late_tokens_stay_within_the_bound(
    limits: _messages.Limits,
) -> None:
    """Guards against a bucket that leaves no margin for other tokens."""
    bounds = quota_fleet.BOUNDS
    quota = limits.rate_per_s * bounds.window_s + limits.burst
    ran = (
        bounds.capacity(limits)
        + bounds.refill_per_s(limits) * bounds.window_s
        + limits.rate_per_s * (_bounds.ASK_LIMIT_S + _bounds.TOKEN_TTL_S)
    )
    assert quota < ran < quota + bounds.margin(limits)


def test_a_team_that_uses_the_quota_of_each_window_is_not_refused() -> None:
    """Groups of requests come to ``rate x window + burst`` a window.

    A bucket of the rate and burst refused some of them.
    """
    fleet = make_fleet(limits=SMALL)
    for group in range(20):
        for number in range(6):
            at_s = TRAFFIC_S + group + number * 0.01
            fleet.send(TEAM, f"10.0.0.{number + 2}:7400", at_s)
    fleet.run(TRAFFIC_S + 30.0)
    assert set(fleet.count_codes(TEAM)) == {"ran"}
    fleet.check_bound(TEAM, SMALL)


def test_the_time_to_come_back_is_true() -> None:
    """A request that comes back when it was told to is admitted."""
    fleet = make_fleet(limits=SMALL)
    capacity = int(quota_fleet.BOUNDS.capacity(SMALL))
    for number in range(capacity + 3):
        fleet.send(TEAM, "10.0.0.7:7400", 20.0 + number * 0.001)
    fleet.run(20.1)
    refused = [request for request in fleet.requests if request.code]
    assert len(refused) == 3
    for request in refused:
        assert request.decided_s is not None
        back_s = request.decided_s + request.retry_after_s
        assert 0.1 < request.retry_after_s < 0.7
        fleet.send(TEAM, "10.0.0.8:7400", back_s + 0.002)
    fleet.run(30.0)
    assert fleet.count_codes(TEAM, 20.05) == {"ran": 3}


def test_a_lowered_quota_is_binding_after_a_window() -> None:
    fleet = make_fleet()
    fleet.send_evenly(TEAM, 300.0, TRAFFIC_S, 60.0)
    fleet.run(25.0)
    fleet.set_limits(TEAM, 5.0, 5.0, 2)
    fleet.run(40.0)
    fleet.set_limits(TEAM, 83.0, 83.0, 3)
    fleet.run(65.0)
    fleet.check_bound(TEAM, LIMITS)
    late = [time_s for time_s in fleet.ran(TEAM) if 30.5 <= time_s < 40.0]
    assert len(late) <= (5 * 9.5 + 5) * 1.1 + 20


def test_a_raised_quota_ends_refusals_at_once() -> None:
    """With 0.01 a second, the next token was told to be 100 s away."""
    fleet = make_fleet(3, _messages.Limits(0.01, 0.0, 1))
    fleet.run(130.0)
    for number in range(4):
        fleet.send(TEAM, "10.0.0.1:7400", 130.1 + number)
    fleet.run(135.0)
    fleet.set_limits(TEAM, 83.0, 83.0, 2)
    for number in range(20):
        fleet.send(TEAM, "10.0.0.1:7400", 136.0 + number / 20)
    fleet.run(140.0)
    assert fleet.count_codes(TEAM, 130.0) == {"ran": 21, EXCEEDED: 3}


@pytest.mark.parametrize("seed", range(2))
def test_nodes_that_all_restart_stay_within_the_bound(seed: int) -> None:
    """For some seconds no node holds a team, and all let none run."""
    fleet = make_fleet(seed=seed)
    fleet.send_evenly(TEAM, 250.0, TRAFFIC_S, 45.0)
    fleet.run(20.0)
    for address in fleet.members:
        fleet.kill(address)
        fleet.start(address)
    fleet.run(50.0)
    fleet.check_bound(TEAM, LIMITS)
    assert set(fleet.count_codes(TEAM, 35.0)) == {"ran", EXCEEDED}


@pytest.mark.parametrize("seed", range(2))
def test_a_killed_holder_is_replaced_without_a_second_budget(
    seed: int,
) -> None:
    fleet = make_fleet(seed=seed)
    fleet.send_evenly(TEAM, 300.0, TRAFFIC_S, 50.0)
    fleet.run(20.0)
    holder = fleet.holder(TEAM)
    fleet.kill(holder)
    fleet.run(23.2)
    assert fleet.holder(TEAM) not in ("", holder)
    fleet.start(holder)
    fleet.run(55.0)
    fleet.check_bound(TEAM, LIMITS)
    assert set(fleet.count_codes(TEAM, 23.5)) == {"ran", EXCEEDED}


def test_a_holder_that_was_paused_grants_nothing_after_it() -> None:
    fleet = make_fleet()
    fleet.send_evenly(TEAM, 300.0, TRAFFIC_S, 50.0)
    fleet.run(20.0)
    fleet.pause(fleet.holder(TEAM), 6.0)
    fleet.run(55.0)
    fleet.check_bound(TEAM, LIMITS)


def test_tokens_of_a_paused_node_expire() -> None:
    """The node has tokens for expected requests when it is paused."""
    fleet = make_fleet()
    node = "10.0.0.7:7400"
    for number in range(83 * 20):
        fleet.send(TEAM, node, TRAFFIC_S + number / 83)
    fleet.send_evenly(TEAM, 300.0, 16.0, 40.0)
    fleet.run(16.0)
    fleet.pause(node, 6.0)
    fleet.run(45.0)
    fleet.check_bound(TEAM, LIMITS)


def test_an_answer_that_a_paused_node_reads_late_is_not_used() -> None:
    """A burst waits for its tokens when the node is paused."""
    fleet = make_fleet()
    node = "10.0.0.7:7400"
    for number in range(83):
        fleet.send(TEAM, node, 20.0 + number * 1e-6)
    fleet.run(20.0)
    while fleet.sent["Ask"] < 2:
        fleet.run(fleet.now_s + 1e-4)
    fleet.pause(node, 6.0)
    fleet.send_evenly(TEAM, 300.0, 20.01, 30.0)
    fleet.run(35.0)
    late = [time_s for time_s in fleet.ran(TEAM) if 26.0 < time_s < 26.01]
    assert len(late) < 10
    fleet.check_bound(TEAM, LIMITS)


@pytest.mark.parametrize("seed", [0, 16])
def test_a_partition_into_two_parts_keeps_one_budget(seed: int) -> None:
    """The part with more seats goes on; the other one can't tell.

    With seed 16, the holder and the seats that are next in rank are in the
    other part; some nodes then asked these again and again.
    """
    fleet = make_fleet(seed=seed)
    fleet.send_evenly(TEAM, 250.0, TRAFFIC_S, 60.0)
    fleet.run(20.0)
    addresses = list(fleet.members)
    fleet.rng.shuffle(addresses)
    parts = addresses[:50], addresses[50:]
    fleet.isolate(*parts)
    fleet.run(45.0)
    holder = fleet.holder(TEAM)
    assert holder
    for request in fleet.requests:
        if 25.0 < request.sent_s < 44.5 and not request.is_own:
            side = [part for part in parts if request.node in part][0]
            is_cut = request.code is exceptions.ErrorCode.QUOTA_UNDECIDED
            assert is_cut == (holder not in side)
    fleet.cuts = set()
    fleet.run(65.0)
    fleet.check_bound(TEAM, LIMITS)
    assert set(fleet.count_codes(TEAM, 55.0)) == {"ran", EXCEEDED}


@pytest.mark.parametrize("limits", [LIMITS, SMALL])
@pytest.mark.parametrize("seed", range(2))
def test_nodes_that_are_all_cut_off_stay_within_the_bound(
    seed: int, limits: _messages.Limits
) -> None:
    """Nine of ten nodes reach nobody, and all have callers of the team."""
    fleet = make_fleet(limits=limits, seed=seed)
    fleet.send_evenly(TEAM, 250.0, TRAFFIC_S, 60.0)
    fleet.run(20.0)
    alone = list(fleet.members)[:90]
    fleet.isolate(*([address] for address in alone), [*fleet.members][90:])
    fleet.run(50.0)
    fleet.cuts = set()
    fleet.run(65.0)
    fleet.check_bound(TEAM, limits)
    assert any(request.is_own for request in fleet.requests)


def test_a_holder_that_one_node_can_not_reach_is_asked_through_another() -> (
    None
):
    """One direction is cut, then the other."""
    fleet = make_fleet()
    node = "10.0.0.7:7400"
    fleet.send_evenly(TEAM, 40.0, TRAFFIC_S, 40.0)
    for number in range(100):
        fleet.send(TEAM, node, 16.0 + number / 5)
    fleet.run(18.0)
    holder = fleet.holder(TEAM)
    fleet.cuts = {(node, holder)}
    fleet.run(27.0)
    fleet.cuts = {(holder, node)}
    fleet.run(45.0)
    assert set(fleet.count_codes(TEAM)) == {"ran"}


def test_a_holder_that_hears_nobody_stops() -> None:
    fleet = make_fleet()
    fleet.send_evenly(TEAM, 300.0, TRAFFIC_S, 50.0)
    fleet.run(20.0)
    holder = fleet.holder(TEAM)
    fleet.cuts = {(peer, holder) for peer in fleet.members}
    fleet.run(22.1)
    assert fleet.holder(TEAM) != holder
    fleet.run(30.0)
    assert fleet.holder(TEAM)
    fleet.run(55.0)
    fleet.check_bound(TEAM, LIMITS)


@pytest.mark.parametrize("seed", range(2))
def test_members_that_disagree_have_one_holder(seed: int) -> None:
    """Each node misses others in turn, so that seats differ for seconds.

    ``holder`` asserts that there is one at most.
    """
    fleet = make_fleet(seed=seed)
    fleet.send_evenly(TEAM, 300.0, TRAFFIC_S, 60.0)
    for time_s in range(20, 40):
        fleet.run(float(time_s))
        for node in fleet.nodes.values():
            known = dict(fleet.members)
            for address in fleet.rng.sample(sorted(known), 5):
                if address != node.address:
                    del known[address]
            fleet.learn(node, known)
        for part in range(20):
            fleet.run(time_s + part / 20)
            fleet.holder(TEAM)
    for node in fleet.nodes.values():
        fleet.learn(node, fleet.members)
    fleet.run(65.0)
    fleet.check_bound(TEAM, LIMITS)
    assert set(fleet.count_codes(TEAM, 50.0)) == {"ran", EXCEEDED}


@pytest.mark.parametrize("limits", [LIMITS, SMALL])
def test_a_planned_stop_of_the_holder_refuses_nobody(
    limits: _messages.Limits,
) -> None:
    """Each of six holders in turn hands its buckets over and restarts."""
    fleet = make_fleet(limits=limits)
    fleet.send_evenly(TEAM, limits.rate_per_s, TRAFFIC_S, 60.0)
    for number in range(6):
        fleet.run(20.0 + 5 * number)
        holder = fleet.holder(TEAM)
        fleet.stop(holder)
        fleet.run(20.3 + 5 * number)
        assert fleet.holder(TEAM) not in ("", holder)
        fleet.run(21.0 + 5 * number)
        fleet.kill(holder)
        fleet.start(holder)
    fleet.run(65.0)
    fleet.check_bound(TEAM, limits)
    assert set(fleet.count_codes(TEAM)) == {"ran"}


def test_a_node_that_joins_refuses_nobody() -> None:
    """Members that join and take the seats of others take their buckets."""
    fleet = make_fleet(30)
    fleet.send_evenly(TEAM, 83.0, TRAFFIC_S, 60.0)
    for number in range(30):
        fleet.run(20.0 + number)
        address = f"10.9.0.{number}:7400"
        fleet.members[address] = f"d{number % 3}"
        fleet.start(address)
        for node in list(fleet.nodes.values()):
            members = dict(fleet.members)
            fleet.after(
                fleet.rng.uniform(0.2, 2.0),
                functools.partial(fleet.learn, node, members),
            )
    fleet.run(65.0)
    fleet.check_bound(TEAM, LIMITS)
    assert set(fleet.count_codes(TEAM)) == {"ran"}


@pytest.mark.parametrize("seed", range(4))
def test_random_faults_never_break_the_bound(seed: int) -> None:
    """Kills, restarts, pauses, cuts and partitions, beside hot teams."""
    fleet = make_fleet(40, seed=seed)
    teams = [f"team-{number}" for number in range(12)]
    for team in teams:
        fleet.set_limits(team, SMALL.rate_per_s, SMALL.burst, 1)
        fleet.send_evenly(team, 40.0, TRAFFIC_S + 1.0, 70.0)
    rng = fleet.rng
    for number in range(50):
        fleet.run(13.0 + number)
        address = rng.choice(list(fleet.members))
        match rng.randrange(6):
            case 0:
                fleet.kill(address)
            case 1:
                fleet.start(address)
            case 2:
                fleet.pause(address, rng.uniform(0.5, 6.0))
            case 3:
                others = rng.sample(list(fleet.members), 10)
                fleet.cuts = {(address, other) for other in others}
            case 4:
                part = set(rng.sample(list(fleet.members), 20))
                fleet.isolate(part, set(fleet.members) - part)
            case 5:
                fleet.cuts = set()
        for team in teams:
            fleet.holder(team)
    fleet.cuts = set()
    fleet.run(75.0)
    for team in teams:
        fleet.check_bound(team, SMALL)


def test_a_late_handover_frees_no_vote() -> None:
    """The vote is for another holder by the time at which it arrives."""
    members = {f"n{number}": "d" for number in range(3)}
    seat = _leases.Leases("n0", 0.0)
    seat.set_members(0.0, members)
    seat.receive_claim(10.0, "n1", _messages.Claim(1, 1, True))
    assert seat.receive_claim(13.0, "n2", _messages.Claim(1, 1, True))
    seat.receive_handover(13.5, "n1", 1)
    assert seat.handed_at_s(0) is None
    assert not seat.receive_claim(13.6, "n1", _messages.Claim(2, 1, True))
    seat.receive_handover(13.7, "n2", 1)
    assert seat.handed_at_s(0) == 13.7


def test_seats_are_spread_and_stay() -> None:
    """A lost failure domain leaves a majority; a restart changes nothing."""
    members = {f"10.0.0.{number}:1": f"d{number % 3}" for number in range(100)}
    seats = _seats.choose_seats(members)
    assert len(seats) == _seats.MAX_SEATS
    for domain in ("d0", "d1", "d2"):
        assert sum(members[seat] == domain for seat in seats) == 5
    assert _seats.choose_seats(dict(reversed(members.items()))) == seats


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b'["claim",1,99999999999,true]',
        b'["ask","t",-1,0,0,[1,1,1]]',
        b'["ask","t",1,0,0,[0,1,1]]',
        b'["ask","t",1,0,0,[1e400,1,1]]',
        b'["vote",1]',
        b"\xff",
    ],
)
def test_malformed_messages_are_rejected(body: bytes) -> None:
    with pytest.raises(exceptions.ProtocolError):
        _messages.decode(body)


def test_a_seat_that_is_cut_off_for_a_day_ends_no_process() -> None:
    """After 1,024 failures the time to avoid it was no finite number."""
    client = _client.Client(quota_fleet.BOUNDS, 0.0, lambda team: 0.5)
    for number in range(1100):
        client._avoid(number * 25.0, "10.0.0.1:7400")


def test_an_older_release_that_arrives_late_frees_no_vote() -> None:
    members = {f"10.0.0.{number}:1": "a" for number in range(3)}
    voter, first, second = members
    leases = _leases.Leases(voter, 0.0)
    leases.set_members(0.0, members)
    assert leases.receive_claim(10.0, first, _messages.Claim(12, 1, True))
    leases.receive_claim(10.1, first, _messages.Claim(10, 0, True, 1))
    claim = _messages.Claim(5, 1, True)
    assert not leases.receive_claim(10.2, second, claim)


def test_a_growing_fleet_without_holders_stays_within_the_margin() -> None:
    """Each new member began a new period of own decisions at every node."""
    rng = random.Random(1)

    def find_phase(phase: float) -> t.Callable[[str], float]:
        return lambda team: phase

    clients = [
        _client.Client(quota_fleet.BOUNDS, 0.0, find_phase(rng.random()))
        for _ in range(100)
    ]
    admitted = collections.deque[float]()
    for step in range(300):
        now_s = 1000.0 + step * 0.1
        for client in clients:
            client.set_seats((), 100 + step // 15)
            for action in client.admit(now_s, TEAM, SMALL, step):
                if isinstance(action, _client.Admit):
                    admitted.append(now_s)
        while admitted and now_s - admitted[0] >= 5.0:
            admitted.popleft()
        assert len(admitted) <= quota_fleet.BOUNDS.margin(SMALL)
