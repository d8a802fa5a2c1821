"""One control replica as a process, told by lines of JSON what to do.

Started by the benchmarks of the log. Each line on standard input is an
order, each line on standard output the answer to one.
"""

from __future__ import annotations

import collections.abc as cabc
import json
import os
import sys
import time
import typing as t

import anyio
import anyio.to_thread

from papayastall import _links
from papayastall import _replica
from papayastall import clock
from papayastall import exceptions
from papayastall import metrics

RETRY_S = 0.01
PROPOSE_TIMEOUT_S = 5.0


class CountingMachine:
    """Counts its commands; keeps as many bytes as it is told."""

    def __init__(self) -> None:
        self.applied = 0
        self.kept: dict[int, bytes] = {}

    def apply(self, index: int, command: bytes) -> bytes:
        """Keep the command under one of a bounded number of keys."""
        self.applied += 1
        self.kept[self.applied % 10_000] = command
        return b"%d" % self.applied

    def snapshot(self) -> bytes:
        """Return all kept commands."""
        kept = {key: value.hex() for key, value in self.kept.items()}
        return json.dumps([self.applied, kept]).encode()

    def restore(self, data: bytes) -> None:
        """Take over what a snapshot holds."""
        self.applied, kept = json.loads(data)
        self.kept = {int(k): bytes.fromhex(v) for k, v in kept.items()}


class Process:
    """The replica host, its links, and the orders."""

    def __init__(self, settings: _replica.ReplicaSettings, groups: int):
        counters = metrics.Metrics(None, settings.own_address)
        link_settings = _links.LinkSettings(
            settings.own_address, os.getpid(), "a"
        )
        self.links = _links.Links(link_settings, counters)
        self.peering = CountingPeering(self.links)
        self.machines = [CountingMachine() for _ in range(groups)]
        self.host = _replica.ReplicaHost(settings, self.peering, self.machines)

    async def order(self, order: dict[str, t.Any]) -> t.Any:
        """Carry out one order and return its answer."""
        match order["op"]:
            case "leader":
                return self.host.leader(order["group"])
            case "load":
                return await self.load(**order["load"])
            case "first":
                return await self.first(order["group"])
            case "costs":
                return {
                    "cpu_s": time.process_time(),
                    "casts": self.peering.casts,
                    "cast_bytes": self.peering.cast_bytes,
                }
            case "propose":
                return await self.propose(order["group"])
            case "votes":
                members = self.host.members(order["group"])
                own = members.find(self.host.settings.own_address)
                return own is not None and own.voter
            case "applied":
                return self.host.applied_index(order["group"])
            case _:
                raise ValueError(order)

    async def load(
        self, group: int, clients: int, seconds: float, size_bytes: int
    ) -> dict[str, t.Any]:
        """Propose from many clients at once; return what they saw."""
        times_ms: list[float] = []
        command = b"x" * size_bytes
        end_s = time.monotonic() + seconds

        async def client() -> None:
            while time.monotonic() < end_s:
                start_s = time.monotonic()
                await self.host.propose(group, command, PROPOSE_TIMEOUT_S)
                times_ms.append((time.monotonic() - start_s) * 1e3)

        async with anyio.create_task_group() as tasks:
            for _ in range(clients):
                tasks.start_soon(client)
        times_ms.sort()
        return {
            "rate": len(times_ms) / seconds,
            "p50_ms": times_ms[len(times_ms) // 2],
            "p99_ms": times_ms[len(times_ms) * 99 // 100],
        }

    async def propose(self, group: int) -> int | None:
        """Commit one command; ``None`` when it was not accepted here."""
        try:
            result = await self.host.propose(group, b"one", PROPOSE_TIMEOUT_S)
        except exceptions.PapayastallError:
            return None
        return int(result)

    async def first(self, group: int) -> float | None:
        """Propose until one is committed; return the wall clock then.

        ``None`` when another replica leads.
        """
        killed = self.host.leader(group)
        while True:
            try:
                await self.host.propose(group, b"first", PROPOSE_TIMEOUT_S)
                return time.time()
            except exceptions.PapayastallError as error:
                if error.peer not in (None, killed):
                    return None
            await anyio.sleep(RETRY_S)


class CountingPeering:
    """Counts what is cast over the links."""

    def __init__(self, links: _links.Links) -> None:
        self.casts = 0
        self.cast_bytes = 0
        self._links = links
        self.handle_casts = links.handle_casts
        self.handle_calls = links.handle_calls
        self.call = links.call

    def cast(self, peer: str, channel: t.Any, body: bytes) -> None:
        """Count and send."""
        self.casts += 1
        self.cast_bytes += len(body)
        self._links.cast(peer, channel, body)


async def read_orders() -> cabc.AsyncIterator[dict[str, t.Any]]:
    """Yield the orders on standard input."""
    while True:
        line = await anyio.to_thread.run_sync(
            sys.stdin.readline, abandon_on_cancel=True
        )
        if not line:
            return
        yield json.loads(line)


async def main() -> None:
    """Run until standard input ends."""
    options = json.loads(sys.argv[1])
    settings = _replica.ReplicaSettings(
        tuple(options["addresses"]),
        options["own_address"],
        options["data_folder"],
    )
    process = Process(settings, options["groups"])
    async with anyio.create_task_group() as tasks:
        await process.links.start(tasks)
        start_s = clock.now_s()
        await process.host.start(tasks)
        opened_s = clock.now_s() - start_s
        print(json.dumps({"opened_s": opened_s}), flush=True)
        async for order in read_orders():
            print(json.dumps(await process.order(order)), flush=True)
        await process.host.close()
        await process.links.close()
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main)
