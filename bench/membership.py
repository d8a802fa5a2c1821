"""Cost and convergence time of membership, by the size of the fleet.

All nodes run in this process, on simulated time, and are connected by an
in-memory network with a delay of 0.5 to 1.5 ms; every datagram is encoded,
signed and decoded. Nodes restart and adverts change at the rates planned for
two years ahead, in proportion to the size of the fleet. The CPU time includes
that of the simulated network.

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

NODE_COUNTS = (50, 200, 800, 2100)
TWO_YEAR_NODE_COUNT = 2100
RESTARTS_PER_S = 13_000 / 86_400
ADVERT_CHANGES_PER_S = 31_000 / 86_400
SERVICE_COUNT = 740
SETTLE_S = 5.0
CHURN_S = 30.0
PROBED_NODE_COUNT = 5
CONVERGENCE_TIMEOUT_S = 60.0
TARGET_BYTES_PER_S = 7_000
TARGET_CORE_SHARE = 0.016
TARGET_MEMORY_MB = 128
IP_UDP_HEADERS_SIZE_BYTES = 28


def main() -> None:
    """Print one row for each size."""
    sizes = [int(word) for word in sys.argv[1:]] or NODE_COUNTS
    print(
        f"{'nodes':>6} {'B/s sent':>9} {'B/s both':>9} {'cpu %':>6} "
        f"{'KB/node':>8} {'advert p50 s':>12} {'worst s':>8} {'dead s':>7}"
    )
    for size in sizes:
        _measure(size)


def _measure(size: int) -> None:
    gc.collect()
    before_kb = _read_resident_kb()
    fleet = _make_converged_fleet(size)
    memory_kb = (_read_resident_kb() - before_kb) / size
    fleet.run(SETTLE_S)
    fleet.sent_bytes.clear()
    fleet.sent.clear()
    started_s = time.process_time()
    _run_churn(fleet, size)
    core_share = (time.process_time() - started_s) / CHURN_S / size
    sent = sum(fleet.sent_bytes.values())
    sent += sum(fleet.sent.values()) * IP_UDP_HEADERS_SIZE_BYTES
    bytes_per_s = sent / CHURN_S / size
    adverts_s = [
        _measure_advert_s(fleet, number) for number in range(PROBED_NODE_COUNT)
    ]
    dead_s = _measure_dead_s(fleet, size)
    met = (
        2 * bytes_per_s <= TARGET_BYTES_PER_S
        and core_share <= TARGET_CORE_SHARE
        and memory_kb / 1000 <= TARGET_MEMORY_MB
    )
    print(
        f"{size:>6} {bytes_per_s:>9.0f} {2 * bytes_per_s:>9.0f} "
        f"{core_share * 100:>6.2f} {memory_kb:>8.0f} "
        f"{statistics.median(adverts_s):>12.1f} {max(adverts_s):>8.1f} "
        f"{dead_s:>7.1f}  targets {'met' if met else 'missed'}",
        flush=True,
    )


def _make_converged_fleet(size: int) -> gossip_fleet.GossipFleet:
    """Return a fleet in which every node knows all members and adverts."""
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


def _run_churn(fleet: gossip_fleet.GossipFleet, size: int) -> None:
    """Run the fleet for ``CHURN_S`` with restarts and changes of adverts."""
    share = size / TWO_YEAR_NODE_COUNT
    restart_s = 1 / (RESTARTS_PER_S * share)
    advert_s = 1 / (ADVERT_CHANGES_PER_S * share)
    next_restart_s = fleet.now_s + fleet.rng.uniform(0, restart_s)
    next_advert_s = fleet.now_s + fleet.rng.uniform(0, advert_s)
    end_s = fleet.now_s + CHURN_S
    while fleet.now_s < end_s:
        until_s = min(next_restart_s, next_advert_s, end_s)
        fleet.run(until_s - fleet.now_s)
        number = fleet.rng.randrange(PROBED_NODE_COUNT, size)
        if until_s == next_restart_s:
            next_restart_s += restart_s
            _restart(fleet, number)
        elif until_s == next_advert_s:
            next_advert_s += advert_s
            _set_advert(fleet, number, fleet.rng.randrange(8, 99))


def _restart(fleet: gossip_fleet.GossipFleet, number: int) -> None:
    node = fleet.nodes[gossip_fleet.address_of(number)]
    fleet.act(number, node.start_leaving(fleet.now_s))
    fleet.act(number, node.finish_leaving(fleet.now_s))
    fleet.start(number)
    _set_advert(fleet, number, 7)


def _measure_advert_s(fleet: gossip_fleet.GossipFleet, number: int) -> float:
    """Change an advert; return the seconds until every node has it."""
    slots = 100 + number
    _set_advert(fleet, number, slots)
    advert = _advert(number, slots)
    return fleet.run_until(
        lambda: all(
            advert in node.adverts(advert.service)
            for node in fleet.nodes.values()
        ),
        CONVERGENCE_TIMEOUT_S,
    )


def _measure_dead_s(fleet: gossip_fleet.GossipFleet, size: int) -> float:
    """Kill the last node; return the seconds until all others see it dead."""
    killed = gossip_fleet.address_of(size - 1)
    fleet.kill(size - 1)

    def is_dead_everywhere() -> bool:
        return all(
            (member := node.member(killed)) is None
            or member.state is types.MemberState.DEAD
            for node in fleet.nodes.values()
        )

    return fleet.run_until(is_dead_everywhere, CONVERGENCE_TIMEOUT_S)


def _set_advert(
    fleet: gossip_fleet.GossipFleet, number: int, slots: int
) -> None:
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


def _read_resident_kb() -> int:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() // 1024


if __name__ == "__main__":
    main()
