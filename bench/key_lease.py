"""Messages, bytes and CPU time of the lease on the keys, by fleet size.

The queries are counted in a virtual fleet with 12 control replicas and 3
failure domains; the CPU time of a query with its reply is that of both ends
of a link on loopback, without TLS.

Usage: python -m bench.key_lease [SIZE...]
"""

from __future__ import annotations

import collections
import sys
import time

import anyio
from tests import fleet as processes
from tests import lease_fleet

from papayastall import _frames
from papayastall import _links
from papayastall import _peering
from papayastall import metrics

# isort: split

from papayastall.freshness import _messages
from papayastall.freshness import _sources

SIZES = (112, 300, 2100)
REPLICAS = 12
SETTLE_S = 4.0
MEASURED_S = 20.0
LEADER_CHANGE_S = 2.5
TCP_IP_HEADER_BYTES = 52
"""With the time stamp option; each message is sent as a segment and
acknowledged by another one without data."""
CALLS = 5000


def main() -> None:
    """Print the table and the CPU time of a query."""
    print(
        f"{'nodes':>6} {'state':>10} {'role':>8} {'count':>6} "
        f"{'queries/s':>9} {'replies/s':>9} {'max':>6} {'B/s sent':>9} "
        f"{'oldest s':>8} {'refused':>7}"
    )
    for size in [int(word) for word in sys.argv[1:]] or SIZES:
        fleet = lease_fleet.LeaseFleet(size, REPLICAS, 1)
        fleet.run(SETTLE_S)
        _measure(fleet, "healthy", MEASURED_S)
        fleet.lose_leader(LEADER_CHANGE_S, lease_s=0.0)
        _measure(fleet, "election", 2 * LEADER_CHANGE_S)
        fleet.lose_leader(1e9, lease_s=0.0)
        fleet.run(MEASURED_S)
        _measure(fleet, "no leader", MEASURED_S)
    anyio.run(_measure_calls)


def _measure(
    fleet: lease_fleet.LeaseFleet, state: str, duration_s: float
) -> None:
    fleet.queries.clear()
    fleet.sent.clear()
    fleet.refused.clear()
    oldest: dict[_sources.Role, float] = collections.defaultdict(float)
    for _ in range(round(duration_s / 0.1)):
        fleet.run(0.1)
        for node in fleet.nodes:
            role = node.controller.role
            age_s = node.controller.age_s(node.now_s(), node.index)
            oldest[role] = max(oldest[role], age_s)
    for role in _sources.Role:
        nodes = [n.number for n in fleet.nodes if n.controller.role is role]
        if not nodes:
            continue
        queries_per_s = sum(fleet.sent[n] for n in nodes) / duration_s
        replies_per_s = sum(fleet.queries[n] for n in nodes) / duration_s
        most = max(fleet.sent[n] + fleet.queries[n] for n in nodes)
        sent_bytes = queries_per_s * _count_bytes(
            _frames.Call(1, _peering.Channel.FRESHNESS, b"\x01")
        ) + replies_per_s * _count_bytes(
            _frames.CallAnswer(
                1, _messages.encode_reply(_messages.Reply(1, 1.0)), "", ""
            )
        )
        print(
            f"{len(fleet.nodes):6} {state:>10} {role.value:>8} "
            f"{len(nodes):6} {queries_per_s / len(nodes):9.2f} "
            f"{replies_per_s / len(nodes):9.2f} {most / duration_s:6.1f} "
            f"{sent_bytes / len(nodes):9.0f} {oldest[role]:8.2f} "
            f"{sum(n in fleet.refused for n in nodes):7}"
        )


def _count_bytes(frame: _frames.Frame) -> int:
    return len(_frames.encode(frame, 1)) + 2 * TCP_IP_HEADER_BYTES


async def _measure_calls() -> None:
    """Print the CPU time of a query and its reply over a link."""
    addresses = [processes.free_address(), processes.free_address()]
    ends = [
        _links.Links(
            _links.LinkSettings(address, 1, "a"),
            metrics.Metrics(None, address),
        )
        for address in addresses
    ]

    async def reply(_peer: str, body: bytes) -> bytes:
        _messages.decode_query(body)
        return _messages.encode_reply(_messages.Reply(1, 1.0))

    async with anyio.create_task_group() as tasks:
        for end in ends:
            end.handle_calls(_peering.Channel.FRESHNESS, reply)
            await end.start(tasks)

        async def ask() -> None:
            body = await ends[0].call(
                addresses[1],
                _peering.Channel.FRESHNESS,
                _messages.encode_query(),
                1.0,
            )
            _messages.decode_reply(body)

        await ask()
        started_s = time.process_time()
        for _ in range(CALLS):
            await ask()
        cpu_s = time.process_time() - started_s
        print(f"a query and its reply: {cpu_s / CALLS * 1e6:.0f} us of CPU")
        for end in ends:
            await end.close()
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    main()
