"""Cost and speed of membership against the size of the fleet.

All nodes run in this process, on fake time, joined by an in-memory
network of 0.5 to 1.5 ms; every datagram is encoded, signed and decoded.
The fleet restarts nodes and changes adverts at the rate that the two-year
size gives, in proportion to its size. CPU time includes the network's.

Usage: python -m bench.membership [SIZE...]
"""

from __future__ import annotations

import gc
import pathlib
import resource
import statistics
import sys
import time

from tests import gossip_fleet

from papayastall import _decision_types
from papayastall import _membership_types as types

SIZES = (50, 200, 800, 2100)
FULL_SIZE = 2100
RESTARTS_PER_S = 13_000 / 86_400
ADVERT_CHANGES_PER_S = 31_000 / 86_400
SERVICE_COUNT = 740
SETTLE_S = 5.0
RUN_S = 30.0
PROBES = 5
LIMIT_S = 60.0
TARGET_BYTES_PER_S = 7_000
TARGET_CPU = 0.016
TARGET_MEMORY_MB = 128
HEADERS_SIZE_BYTES = 28


def main() -> None:
    """Print one row for each size."""
    sizes = [int(word) for word in sys.argv[1:]] or SIZES
    print(
        f"{'nodes':>6} {'B/s sent':>9} {'B/s both':>9} {'cpu %':>6} "
        f"{'KB/node':>8} {'advert p50 s':>12} {'worst s':>8} {'dead s':>7}"
    )
    for size in sizes:
        _measure(size)


def _measure(size: int) -> None:
    gc.collect()
    before_kb = _resident_kb()
    fleet = _full_fleet(size)
    memory_kb = (_resident_kb() - before_kb) / size
    fleet.run(SETTLE_S)
    fleet.sent_bytes.clear()
    fleet.sent.clear()
    started_s = time.process_time()
    _change(fleet, size)
    cpu = (time.process_time() - started_s) / RUN_S / size
    sent = sum(fleet.sent_bytes.values())
    sent += sum(fleet.sent.values()) * HEADERS_SIZE_BYTES
    bytes_per_s = sent / RUN_S / size
    adverts_s = [_advert_s(fleet, number) for number in range(PROBES)]
    dead_s = _dead_s(fleet, size)
    met = (
        2 * bytes_per_s <= TARGET_BYTES_PER_S
        and cpu <= TARGET_CPU
        and memory_kb / 1000 <= TARGET_MEMORY_MB
    )
    print(
        f"{size:>6} {bytes_per_s:>9.0f} {2 * bytes_per_s:>9.0f} "
        f"{cpu * 100:>6.2f} {memory_kb:>8.0f} "
        f"{statistics.median(adverts_s):>12.1f} {max(adverts_s):>8.1f} "
        f"{dead_s:>7.1f}  targets {'met' if met else 'missed'}",
        flush=True,
    )


def _full_fleet(size: int) -> gossip_fleet.GossipFleet:
    """Return a fleet whose nodes all know one another already."""
    fleet = gossip_fleet.GossipFleet(seed=1)
    fleet.faults.min_delay_s = 0.0005
    fleet.faults.max_delay_s = 0.0015
    records: list[types.Record] = []
    for number in range(size):
        node = fleet.start(number)
        fleet.act(number, node.set_adverts(fleet.now_s, [_advert(number, 7)]))
        member = node.member(node.address)
        assert member is not None
        records.append(
            types.MemberRecord(
                member.address,
                member.datagram_address,
                member.incarnation,
                member.failure_domain,
                member.state,
            )
        )
        records.append(
            types.AdvertRecord(
                node.address, _service(number), 7, member.incarnation + 1
            )
        )
    for number in range(size):
        node = fleet.nodes[gossip_fleet.address_of(number)]
        datagram = types.Datagram(
            gossip_fleet.address_of((number + 1) % size),
            0,
            0,
            0,
            tuple(records),
            types.Page(0, -1),
        )
        node.receive(fleet.now_s, datagram, datagram.sender)
    fleet.events.clear()
    return fleet


def _change(fleet: gossip_fleet.GossipFleet, size: int) -> None:
    """Restart nodes and change adverts while time passes."""
    share = size / FULL_SIZE
    restart_s = 1 / (RESTARTS_PER_S * share)
    advert_s = 1 / (ADVERT_CHANGES_PER_S * share)
    next_restart_s = fleet.now_s + fleet.rng.uniform(0, restart_s)
    next_advert_s = fleet.now_s + fleet.rng.uniform(0, advert_s)
    end_s = fleet.now_s + RUN_S
    while fleet.now_s < end_s:
        until_s = min(next_restart_s, next_advert_s, end_s)
        fleet.run(until_s - fleet.now_s)
        number = fleet.rng.randrange(PROBES, size)
        if until_s == next_restart_s:
            next_restart_s += restart_s
            _restart(fleet, number)
        elif until_s == next_advert_s:
            next_advert_s += advert_s
            _offer(fleet, number, fleet.rng.randrange(8, 99))


def _restart(fleet: gossip_fleet.GossipFleet, number: int) -> None:
    node = fleet.nodes[gossip_fleet.address_of(number)]
    fleet.act(number, node.start_leaving(fleet.now_s))
    fleet.act(number, node.finish_leaving(fleet.now_s))
    fleet.start(number)
    _offer(fleet, number, 7)


def _advert_s(fleet: gossip_fleet.GossipFleet, number: int) -> float:
    """Return the seconds until every node has a changed advert."""
    slots = 100 + number
    _offer(fleet, number, slots)
    advert = _advert(number, slots)
    return fleet.run_until(
        lambda: all(
            advert in node.adverts(advert.service)
            for node in fleet.nodes.values()
        ),
        LIMIT_S,
    )


def _dead_s(fleet: gossip_fleet.GossipFleet, size: int) -> float:
    """Return the seconds until every node calls a killed one dead."""
    victim = gossip_fleet.address_of(size - 1)
    fleet.kill(size - 1)

    def all_know() -> bool:
        return all(
            (member := node.member(victim)) is None
            or member.state is types.MemberState.DEAD
            for node in fleet.nodes.values()
        )

    return fleet.run_until(all_know, LIMIT_S)


def _offer(fleet: gossip_fleet.GossipFleet, number: int, slots: int) -> None:
    node = fleet.nodes[gossip_fleet.address_of(number)]
    fleet.act(number, node.set_adverts(fleet.now_s, [_advert(number, slots)]))


def _advert(number: int, slots: int) -> _decision_types.OwnerAdvert:
    return _decision_types.OwnerAdvert(
        gossip_fleet.address_of(number),
        _service(number),
        gossip_fleet.DOMAINS[number % len(gossip_fleet.DOMAINS)],
        slots,
    )


def _service(number: int) -> str:
    return f"service-{number % SERVICE_COUNT}"


def _resident_kb() -> int:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() // 1024


if __name__ == "__main__":
    main()
