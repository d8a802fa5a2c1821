"""Memory and idle CPU time of the links of one node, as slopes.

One process holds the node's links; stand-ins for its peers run in another.
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
"""Longer than a new connection is looked after."""
TWO_YEAR_LINKS = 2_099
MAX_MEMORY_BYTES = 128 << 20
HOST = "127.0.0.1"

Tls = settings.TlsSettings | None


def read_resident_bytes() -> int:
    """Return the memory that this process holds."""
    gc.collect()
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def find_free_addresses(count: int) -> list[str]:
    """Return addresses that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for holder in sockets:
        holder.bind((HOST, 0))
    addresses = [f"{HOST}:{holder.getsockname()[1]}" for holder in sockets]
    for holder in sockets:
        holder.close()
    return addresses


def make_links(address: str, tls: Tls) -> _links.Links:
    """Return the links of one node."""
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
    """Serve as the peers until told to end."""

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
    own: str, addresses: list[str], tls: Tls
) -> list[tuple[int, int, float]]:
    """Return links, memory and idle share of a core at each count."""
    rows = []
    async with anyio.create_task_group() as tasks:
        links = make_links(own, tls)
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


def run_way(name: str, tls: Tls) -> None:
    """Print the slopes with or without TLS."""
    own, *addresses = find_free_addresses(max(LINK_COUNTS) + 2)
    context = multiprocessing.get_context("spawn")
    ready, ended = context.Event(), context.Event()
    peers = context.Process(
        target=run_peers, args=(addresses, tls, ready, ended)
    )
    peers.start()
    ready.wait()
    with context.Pool(1) as pool:
        rows = pool.apply(
            functools.partial(anyio.run, measure, own, addresses, tls)
        )
    ended.set()
    peers.join()
    for count, held_bytes, share in rows:
        print(
            f"{name}: {count} links: {held_bytes / 2**20:.1f} MiB, "
            f"{held_bytes / count / 1024:.1f} KiB a link, idle "
            f"{share:.2%} of a core"
        )
    print_outlook(name, rows)


def print_outlook(name: str, rows: list[tuple[int, int, float]]) -> None:
    """Print what the slope gives with a link to every other node."""
    first, first_bytes, first_share = rows[0]
    last, last_bytes, last_share = rows[-1]
    slope_bytes = (last_bytes - first_bytes) / (last - first)
    total_bytes = slope_bytes * TWO_YEAR_LINKS
    share_slope = max(0.0, last_share - first_share) / (last - first)
    share = first_share + share_slope * (TWO_YEAR_LINKS - first)
    met = "met" if total_bytes <= MAX_MEMORY_BYTES else "not met"
    print(
        f"{name}: slope {slope_bytes / 1024:.1f} KiB a link; "
        f"{TWO_YEAR_LINKS} links: {total_bytes / 2**20:.0f} MiB, idle "
        f"{share:.1%} of a core; bound "
        f"{MAX_MEMORY_BYTES / 2**20:.0f} MiB: {met}"
    )


def main() -> None:
    """Measure plain links and links with mutual TLS."""
    run_way("plain", None)
    with tempfile.TemporaryDirectory() as folder:
        authority = certificates.Authority(pathlib.Path(folder), "fleet")
        run_way("mutual TLS", authority.issue("node"))


if __name__ == "__main__":
    main()
