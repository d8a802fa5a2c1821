"""The request path: added latency, throughput, CPU time and memory.

Three nodes run as processes; one owns the upstream, another one receives
requests that it has to forward to the owner. What is compared is measured in
the same run: latencies at the same time, throughputs in alternating rounds.

Usage: python -m bench.path
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import random
import statistics
import subprocess
import sys
import tempfile
import time
import typing as t

import orjson
from tests import fleet as fleets

SEED = 1
RATE_PER_S = 70.0
RATE_DURATION_S = 20.0
TARGET_ADDED_MS = 6.3
CONCURRENT_REQUEST_COUNT = 16
THROUGHPUT_ROUND_S = 6.0
THROUGHPUT_ROUND_COUNT = 3
TARGET_THROUGHPUT_RATIO = 1.5
UPSTREAM_COUNTS = (0, 200, 400, 800)
IN_FLIGHT_COUNT = 200
SLOTS = 64
SERVICE_MS = 5
SETTLE_S = 1.0
START_TIMEOUT_S = 30.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Client:
    """Sends requests to one address over persistent connections.

    Counts answers with another status than 200 in ``errors``.

    :param address: ``HOST:PORT``.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[Connection] = []
        self.errors = 0

    async def get(self, path: str = "/visits/status/1") -> float:
        """Send one lookup; return the seconds until its answer was read."""
        started_s = time.perf_counter()
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection(
                self._host, self._port
            )
        writer.write(f"GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n".encode())
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            self.errors += 1
        length = int(head.lower().split(b"content-length:")[1].split()[0])
        await reader.readexactly(length)
        self._idle.append((reader, writer))
        return time.perf_counter() - started_s

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer in self._idle:
            writer.close()


async def main() -> None:
    """Run all measurements one after another."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        await measure_time_added(folder)
        await measure_throughput(folder)
        await measure_memory(folder)


async def measure_time_added(folder: pathlib.Path) -> None:
    """Print the time that each node adds to a request to the upstream."""
    async with make_fleet(folder / "a", SERVICE_MS) as fleet:
        upstreams = [upstream.address for upstream in fleet.upstreams]
        clients = {
            "direct": Client(upstreams[1]),
            "owning": Client(fleet.nodes[1].caller),
            "not owning": Client(fleet.nodes[0].caller),
        }
        await wait_until_healthy(fleet)
        for client in clients.values():
            await asyncio.gather(*(client.get() for _ in range(8)))
            client.errors = 0
        samples = await asyncio.gather(
            *(send_steadily(client) for client in clients.values())
        )
    print(f"time added at {RATE_PER_S:g} requests/s per node, ms:")
    direct = sorted(samples[0])
    for name, durations in zip(clients, samples, strict=True):
        durations = sorted(durations)
        p50, p99 = percentile(durations, 50), percentile(durations, 99)
        added_p50_ms = p50 - percentile(direct, 50)
        added_p99_ms = p99 - percentile(direct, 99)
        print(
            f"  {name:>10}: n {len(durations)}, took p50 {p50:.2f} "
            f"p99 {p99:.2f}, added p50 {added_p50_ms:.2f} "
            f"p99 {added_p99_ms:.2f}, refused {clients[name].errors}"
        )
    met = "met" if added_p99_ms <= TARGET_ADDED_MS else "missed"
    print(f"  target {TARGET_ADDED_MS} ms at p99 not owning: {met}")


async def wait_until_healthy(fleet: fleets.Fleet) -> None:
    """Send lookups until the slow start of the upstream is over.

    :raises TimeoutError: if it does not become healthy in time.
    """
    client = Client(fleet.nodes[1].caller)
    url = f"http://{fleet.nodes[1].control}/v1/upstreams"
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        await asyncio.gather(*(client.get() for _ in range(4)))
        _, content = await fleets.request("GET", url, b"")
        if orjson.loads(content)["upstreams"][0]["standing"] == "healthy":
            client.close()
            return
    raise TimeoutError("the upstream did not become healthy")


async def send_steadily(client: Client) -> list[float]:
    """Send lookups at a fixed mean rate; return their times in ms.

    A lookup is sent when it is due, also while earlier ones are unanswered.
    """
    rng = random.Random(SEED)
    tasks: list[asyncio.Task[float]] = []
    due_s = time.monotonic()
    end_s = due_s + RATE_DURATION_S
    while due_s < end_s:
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        tasks.append(asyncio.create_task(client.get()))
        due_s += rng.expovariate(RATE_PER_S)
    durations = await asyncio.gather(*tasks)
    client.close()
    return [seconds * 1000 for seconds in durations]


async def measure_throughput(folder: pathlib.Path) -> None:
    """Print throughput and CPU time of the path and of the baseline."""
    listen = fleets.free_address()
    async with make_fleet(folder / "b", 0) as fleet:
        command = [sys.executable, "-m", "bench._baseline_proxy"]
        proxy = subprocess.Popen(
            [*command, listen, fleet.upstreams[1].address]
        )
        try:
            await wait_until_healthy(fleet)
            pids = {
                "ingress": get_pid(fleet.nodes[0].process),
                "owner": get_pid(fleet.nodes[1].process),
                "baseline": proxy.pid,
            }
            rates: dict[str, list[float]] = {"path": [], "baseline": []}
            cpu_s = dict.fromkeys(pids, 0.0)
            counts = dict.fromkeys(rates, 0)
            errors = dict.fromkeys(rates, 0)
            for _ in range(THROUGHPUT_ROUND_COUNT):
                for name, address in (
                    ("path", fleet.nodes[0].caller),
                    ("baseline", listen),
                ):
                    before = {role: read_cpu_s(pids[role]) for role in pids}
                    client = Client(address)
                    count = await send_concurrently(client)
                    errors[name] += client.errors
                    rates[name].append(count / THROUGHPUT_ROUND_S)
                    counts[name] += count
                    for role, pid in pids.items():
                        if (role == "baseline") == (name == "baseline"):
                            cpu_s[role] += read_cpu_s(pid) - before[role]
        finally:
            proxy.kill()
            proxy.wait()
    print(
        f"throughput at {CONCURRENT_REQUEST_COUNT} concurrent, "
        "requests/s by round:"
    )
    for name, each in rates.items():
        text = ", ".join(f"{rate:.0f}" for rate in each)
        print(f"  {name}: {text}; refused {errors[name]}")
    ratio = statistics.median(rates["path"]) / statistics.median(
        rates["baseline"]
    )
    met = "met" if ratio >= TARGET_THROUGHPUT_RATIO else "missed"
    print(
        f"  ratio of medians {ratio:.2f}, "
        f"target {TARGET_THROUGHPUT_RATIO}: {met}"
    )
    print("CPU time per request, ms, idle work included:")
    for role, spent_s in cpu_s.items():
        count = counts["baseline" if role == "baseline" else "path"]
        print(f"  {role}: {spent_s / count * 1000:.2f}")


async def send_concurrently(client: Client) -> int:
    """Keep a fixed number of requests in flight; return how many ended."""
    end_s = time.monotonic() + THROUGHPUT_ROUND_S
    count = 0

    async def send() -> None:
        nonlocal count
        while time.monotonic() < end_s:
            await client.get()
            count += 1

    await asyncio.gather(*(send() for _ in range(CONCURRENT_REQUEST_COUNT)))
    client.close()
    return count


async def measure_memory(folder: pathlib.Path) -> None:
    """Print the memory of a node at start, per request and per upstream."""
    async with make_fleet(folder / "c", 0, slots=IN_FLIGHT_COUNT) as fleet:
        owner = get_pid(fleet.nodes[1].process)
        ingress = get_pid(fleet.nodes[0].process)
        print("resident memory of a node, KB:")
        print(f"  at start: {read_resident_kb(ingress)}")
        await fleet.set_behaviour(0, mode="stall")
        before = read_resident_kb(ingress), read_resident_kb(owner)
        clients = [
            Client(fleet.nodes[0].caller) for _ in range(IN_FLIGHT_COUNT)
        ]
        sent = [asyncio.create_task(client.get()) for client in clients]
        await asyncio.sleep(SETTLE_S)
        for name, pid, was_kb in (
            ("ingress", ingress, before[0]),
            ("owner", owner, before[1]),
        ):
            each_kb = (read_resident_kb(pid) - was_kb) / IN_FLIGHT_COUNT
            print(f"  per request in flight at the {name}: {each_kb:.1f}")
        for task in sent:
            task.cancel()
        await asyncio.gather(*sent, return_exceptions=True)
        await measure_upstream_memory(fleet)


async def measure_upstream_memory(fleet: fleets.Fleet) -> None:
    """Print the memory of an owner by its number of upstreams."""
    node = fleet.nodes[2]
    pid = get_pid(node.process)
    points: list[tuple[int, int]] = []
    done = 0
    for count in UPSTREAM_COUNTS:
        for number in range(done, count):
            await announce(node.control, number)
        done = count
        await asyncio.sleep(SETTLE_S)
        points.append((count, read_resident_kb(pid)))
        print(f"  with {count} upstreams: {points[-1][1]}")
    slope = statistics.linear_regression(*zip(*points, strict=True)).slope
    print(f"  per upstream: {slope:.1f}")


async def announce(control: str, number: int) -> None:
    """Announce an upstream on whose address nothing listens."""
    body: dict[str, t.Any] = {
        "service": f"service-{number % 15}",
        "address": f"127.0.1.{number % 250}:{10_000 + number}",
        "slots": 7,
        "connections": 360,
        "lease_ms": 60_000,
        "state": "ready",
    }
    status, content = await fleets.request(
        "POST", f"http://{control}/v1/announce", orjson.dumps(body)
    )
    assert status == 200, content


def make_fleet(
    folder: pathlib.Path, service_ms: int, slots: int = SLOTS
) -> fleets.Fleet:
    """Return a fleet with an upstream that the second node owns.

    A second upstream is not announced; it takes the direct requests.
    """
    folder.mkdir()
    return fleets.Fleet(
        folder, [[1], []], service_ms, slots=slots, with_relays=False
    )


def percentile(values: t.Sequence[float], percent: float) -> float:
    """Return a percentile of values in ascending order."""
    return values[min(len(values) - 1, int(len(values) * percent / 100))]


def get_pid(process: subprocess.Popen[bytes] | None) -> int:
    """Return the id of a started process."""
    assert process is not None
    return process.pid


def read_cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_resident_kb(pid: int) -> int:
    """Return the resident memory of a process."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES // 1024


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
