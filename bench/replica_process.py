"""A control replica as a process that is controlled by lines of JSON.

Started by :mod:`bench.replica_fleet` with its options as one argument, a JSON
object: ``addresses`` of all replicas, ``own_address``, ``data_folder``, and
``groups``, the number of groups. The first line on standard output has the
seconds that opening took. Then each line on standard input is a request,
answered by one line on standard output.
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

RETRY_INTERVAL_S = 0.01
PROPOSE_TIMEOUT_S = 5.0


class CountingStateMachine:
    """State machine that counts commands and keeps the last 10,000."""

    def __init__(self) -> None:
        self.applied = 0
        self.last_commands: dict[int, bytes] = {}

    def apply(self, index: int, command: bytes) -> bytes:
        """Count and keep the command; return the number applied so far."""
        self.applied += 1
        self.last_commands[self.applied % 10_000] = command
        return b"%d" % self.applied

    def snapshot(self) -> bytes:
        """Return the number of commands and those that are kept."""
        last_commands = {
            key: value.hex() for key, value in self.last_commands.items()
        }
        return json.dumps([self.applied, last_commands]).encode()

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        self.applied, last_commands = json.loads(data)
        self.last_commands = {
            int(k): bytes.fromhex(v) for k, v in last_commands.items()
        }


class Process:
    """A replica host with its links, and the requests that it takes.

    :param groups: number of groups.
    """

    def __init__(self, settings: _replica.ReplicaSettings, groups: int):
        counters = metrics.Metrics(None, settings.own_address)
        link_settings = _links.LinkSettings(
            settings.own_address, os.getpid(), "a"
        )
        self.links = _links.Links(link_settings, counters)
        self.peering = CountingPeering(self.links)
        self.machines = [CountingStateMachine() for _ in range(groups)]
        self.host = _replica.ReplicaHost(settings, self.peering, self.machines)

    async def request(self, request: dict[str, t.Any]) -> t.Any:
        """Carry out one request and return its answer."""
        match request["op"]:
            case "leader":
                return self.host.leader(request["group"])
            case "load":
                return await self.load(**request["load"])
            case "first":
                return await self.propose_until_committed(request["group"])
            case "costs":
                return {
                    "cpu_s": time.process_time(),
                    "casts": self.peering.casts,
                    "cast_bytes": self.peering.cast_bytes,
                }
            case "propose":
                return await self.propose(request["group"])
            case "votes":
                members = self.host.members(request["group"])
                own = members.find(self.host.settings.own_address)
                return own is not None and own.voter
            case "applied":
                return self.host.applied_index(request["group"])
            case _:
                raise ValueError(request)

    async def load(
        self, group: int, clients: int, seconds: float, size_bytes: int
    ) -> dict[str, t.Any]:
        """Propose from concurrent clients; return their rate and latencies.

        :param clients: number of clients; each proposes one command after
            another.
        :param size_bytes: of each command.
        """
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
        """Commit one command; return the number applied so far.

        ``None`` if the proposal failed, as on a replica that does not lead.
        """
        try:
            result = await self.host.propose(group, b"one", PROPOSE_TIMEOUT_S)
        except exceptions.PapayastallError:
            return None
        return int(result)

    async def propose_until_committed(self, group: int) -> float | None:
        """Propose until a command is committed; return the wall-clock time.

        ``None`` if another replica has become the leader.
        """
        killed_leader = self.host.leader(group)
        while True:
            try:
                await self.host.propose(group, b"first", PROPOSE_TIMEOUT_S)
                return time.time()
            except exceptions.PapayastallError as error:
                if error.peer not in (None, killed_leader):
                    return None
            await anyio.sleep(RETRY_INTERVAL_S)


class CountingPeering:
    """Counts the casts that are sent over the links, and their bytes."""

    def __init__(self, links: _links.Links) -> None:
        self.casts = 0
        self.cast_bytes = 0
        self._links = links
        self.handle_casts = links.handle_casts
        self.handle_calls = links.handle_calls
        self.call = links.call
        self.is_connected = links.is_connected

    def cast(self, peer: str, channel: t.Any, body: bytes) -> None:
        """Count a cast and send it."""
        self.casts += 1
        self.cast_bytes += len(body)
        self._links.cast(peer, channel, body)


async def read_requests() -> cabc.AsyncIterator[dict[str, t.Any]]:
    """Yield the requests from standard input."""
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
        async for request in read_requests():
            print(json.dumps(await process.request(request)), flush=True)
        await process.host.close()
        await process.links.close()
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main)
