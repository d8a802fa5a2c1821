"""Memory and idle CPU time of the links of one node, by their number.

One process holds the links of the measured node, a second one the links of
all of its peers, so that only the node's own ends are measured.
"""

from __future__ import annotations

import dataclasses
import functools
import gc
import multiprocessing
import multiprocessing.synchronize as synchronize
import pathlib
import resource
import socket
import tempfile
import time

import anyio
from tests import certificates
from tests import test_settings

from papayastall import _links
from papayastall import _tls
from papayastall import metrics
from papayastall import settings

LINK_COUNTS = (50, 100, 200, 400)
IDLE_S = 3.0
SETTLE_S = 2.5
"""Longer than the hello timeout, for which a new connection has a task."""
TWO_YEAR_LINK_COUNT = 2_099
"""Other nodes in the fleet at the size planned for two years ahead."""
MAX_MEMORY_BYTES = 128 << 20
HOST = "127.0.0.1"

Tls = settings.TlsSettings | None


def read_resident_bytes() -> int:
    """Collect garbage; return the resident memory of this process."""
    gc.collect()
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def find_free_addresses(count: int) -> list[str]:
    """Return different loopback addresses that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for holder in sockets:
        holder.bind((HOST, 0))
    addresses = [f"{HOST}:{holder.getsockname()[1]}" for holder in sockets]
    for holder in sockets:
        holder.close()
    return addresses


def make_links(address: str, tls: Tls) -> _links.Links:
    """Return the links of one node.

    :param address: that the node listens on.
    :param tls: files of mutual TLS; plain TCP if ``None``.
    """
    node = settings.parse_node_settings(test_settings.GOOD, test_settings.PATH)
    node = dataclasses.replace(node, tls=tls)
    link_settings = _links.LinkSettings(
        address, 1, "a", _tls.server_context(node), _tls.client_context(node)
    )
    return _links.Links(link_settings, metrics.Metrics(None, address))


def run_peers(
    addresses: list[str],
    tls: Tls,
    ready: synchronize.Event,
    ended: synchronize.Event,
) -> None:
    """Serve as the peers until ``ended`` is set.

    :param ready: set once all peers listen.
    """

    async def serve() -> None:
        async with anyio.create_task_group() as tasks:
            for address in addresses:
                await make_links(address, tls).start(tasks)
            ready.set()
            while not ended.is_set():
                await anyio.sleep(0.1)
            tasks.cancel_scope.cancel()

    anyio.run(serve)


async def measure(
    own_address: str, addresses: list[str], tls: Tls
) -> list[tuple[int, int, float]]:
    """Measure one node at each number of links.

    :param own_address: that the node listens on.
    :param addresses: of the peers.
    :returns: for each number of links that number, the memory of the links
        in bytes and the share of a core that the idle process uses.
    """
    rows = []
    async with anyio.create_task_group() as tasks:
        links = make_links(own_address, tls)
        await links.start(tasks)
        await links.connect(addresses[0])
        before_bytes = read_resident_bytes()
        opened = 1
        for count in LINK_COUNTS:
            for address in addresses[opened : count + 1]:
                await links.connect(address)
            opened = count + 1
            await anyio.sleep(SETTLE_S)
            started_s = time.process_time()
            await anyio.sleep(IDLE_S)
            share = (time.process_time() - started_s) / IDLE_S
            held_bytes = read_resident_bytes() - before_bytes
            rows.append((count, held_bytes, share))
        await links.close()
        tasks.cancel_scope.cancel()
    return rows


def run_measurement(name: str, tls: Tls) -> None:
    """Measure with or without TLS and print the results."""
    own_address, *addresses = find_free_addresses(max(LINK_COUNTS) + 2)
    context = multiprocessing.get_context("spawn")
    ready, ended = context.Event(), context.Event()
    peers = context.Process(
        target=run_peers, args=(addresses, tls, ready, ended)
    )
    peers.start()
    ready.wait()
    with context.Pool(1) as pool:
        rows = pool.apply(
            functools.partial(anyio.run, measure, own_address, addresses, tls)
        )
    ended.set()
    peers.join()
    for count, held_bytes, share in rows:
        print(
            f"{name}: {count} links: {held_bytes / 2**20:.1f} MiB, "
            f"{held_bytes / count / 1024:.1f} KiB a link, idle "
            f"{share:.2%} of a core"
        )
    print_extrapolation(name, rows)


def print_extrapolation(name: str, rows: list[tuple[int, int, float]]) -> None:
    """Extrapolate to a link to every other node, and print the result."""
    first, first_bytes, first_share = rows[0]
    last, last_bytes, last_share = rows[-1]
    slope_bytes = (last_bytes - first_bytes) / (last - first)
    total_bytes = slope_bytes * TWO_YEAR_LINK_COUNT
    share_slope = max(0.0, last_share - first_share) / (last - first)
    share = first_share + share_slope * (TWO_YEAR_LINK_COUNT - first)
    met = "met" if total_bytes <= MAX_MEMORY_BYTES else "not met"
    print(
        f"{name}: slope {slope_bytes / 1024:.1f} KiB a link; "
        f"{TWO_YEAR_LINK_COUNT} links: {total_bytes / 2**20:.0f} MiB, idle "
        f"{share:.1%} of a core; bound "
        f"{MAX_MEMORY_BYTES / 2**20:.0f} MiB: {met}"
    )


def main() -> None:
    """Measure plain links and links with mutual TLS."""
    run_measurement("plain", None)
    with tempfile.TemporaryDirectory() as folder:
        authority = certificates.Authority(pathlib.Path(folder), "fleet")
        run_measurement("mutual TLS", authority.issue("node"))


if __name__ == "__main__":
    main()
