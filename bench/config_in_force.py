"""Time until an accepted config is in force on 50 node processes.

Three runs on one fleet: in peace, with a tenth of the nodes killed and
started again, and with control's leader killed just before the apply.
Prints p50 and worst over the live nodes against the target.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile
import time
import tomllib
import typing as t

import anyio
import httpcore
import orjson

from bench import node_process

NODE_COUNT = 50
KILLED_COUNT = 5
START_TIMEOUT_S = 90.0
APPLY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
TARGET_S = 5.0

DOCUMENT = """\
version = 1
name = "visits"
revision = {revision}
floor_slots = 0
timeout_ms = 2000

[[routes]]
name = "status"
methods = ["GET"]
path = "/visits/status"
kind = "lookup"
"""


class Fleet:
    """Node processes by number; :meth:`close` kills those that live."""

    def __init__(self, folder: pathlib.Path, count: int) -> None:
        self._paths = node_process.write_settings(
            folder, count, node_process.REPLICA_COUNT
        )
        self._settings = [
            tomllib.loads(path.read_text()) for path in self._paths
        ]
        self._processes: dict[int, subprocess.Popen[bytes]] = {}
        for number in range(count):
            self.start_node(number)

    def close(self) -> None:
        """End every process that still runs."""
        for process in self._processes.values():
            process.kill()
            process.wait()

    def start_node(self, number: int) -> None:
        """Start a node's process."""
        command = [sys.executable, "-m", "papayastall", "node", "--settings"]
        self._processes[number] = subprocess.Popen(
            [*command, str(self._paths[number])]
        )

    def kill_node(self, number: int) -> None:
        """Kill a node's process without notice."""
        process = self._processes.pop(number)
        process.kill()
        process.wait()

    def live(self) -> list[int]:
        """Return the numbers of the nodes that run."""
        return sorted(self._processes)

    def find_number(self, link: str) -> int:
        """Return the node that a link address names."""
        links = [settings["link_address"] for settings in self._settings]
        return links.index(link)

    async def get(self, number: int, path: str) -> t.Any:
        """Return the answer of a node's control address, or ``None``."""
        address = self._settings[number]["control_address"]
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                response = await pool.request("GET", f"http://{address}{path}")
            except (httpcore.NetworkError, httpcore.ProtocolError):
                return None
        return orjson.loads(response.content)

    async def apply(self, number: int, revision: int) -> int:
        """Apply the document's next revision; return its index."""
        address = self._settings[number]["control_address"]
        text = DOCUMENT.format(revision=revision)
        body = {"documents": [{"source": "bench", "text": text}]}
        deadline_s = time.monotonic() + APPLY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(
                    "POST",
                    f"http://{address}/v1/documents",
                    content=orjson.dumps(body),
                )
            if response.status == 200:
                return int(orjson.loads(response.content)["index"])
        raise TimeoutError(response.content.decode())

    async def wait_until_all_see_all(self) -> None:
        """Wait until each node counts every other as alive."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        for number in self.live():
            while True:
                status = await self.get(number, "/v1/status")
                if status is not None and status["ready"]:
                    alive = [
                        node
                        for node in status["nodes"]
                        if node["state"] == "alive"
                    ]
                    if len(alive) >= len(self.live()):
                        break
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f"node {number}: {status}")
                await anyio.sleep(POLL_INTERVAL_S)


async def measure(fleet: Fleet, via: int, revision: int) -> list[float]:
    """Return, per live node, the seconds from apply to in force."""
    started_s = time.monotonic()
    index = await fleet.apply(via, revision)
    times_s: list[float] = []

    async def watch(number: int) -> None:
        while True:
            status = await fleet.get(number, "/v1/status")
            if status is not None and status["index"] >= index:
                times_s.append(time.monotonic() - started_s)
                return
            await anyio.sleep(POLL_INTERVAL_S)

    with anyio.move_on_after(APPLY_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            for number in fleet.live():
                tasks.start_soon(watch, number)
    missing = len(fleet.live()) - len(times_s)
    if missing:
        print(f"{missing} nodes did not have it in {APPLY_TIMEOUT_S:g} s")
    return sorted(times_s)


def report(name: str, times_s: list[float]) -> None:
    """Print one run's figures and whether the target was met."""
    worst_s = times_s[-1]
    met = "met" if worst_s <= TARGET_S else "not met"
    print(
        f"{name}: {len(times_s)} nodes, p50 {times_s[len(times_s) // 2]:.2f} "
        f"s, worst {worst_s:.2f} s, target {TARGET_S:g} s: {met}"
    )


async def run(fleet: Fleet) -> None:
    """Make the three runs."""
    await fleet.wait_until_all_see_all()
    via = NODE_COUNT - 1
    report("in peace", await measure(fleet, via, 1))
    for number in range(10, 10 + KILLED_COUNT):
        fleet.kill_node(number)
        fleet.start_node(number)
    report("a tenth restarted", await measure(fleet, via, 2))
    status = await fleet.get(0, "/v1/status")
    fleet.kill_node(fleet.find_number(status["control"]["leader"]))
    report("leader killed", await measure(fleet, via, 3))


def main() -> None:
    """Run the fleet and print the figures."""
    with tempfile.TemporaryDirectory() as name:
        fleet = Fleet(pathlib.Path(name), NODE_COUNT)
        try:
            anyio.run(run, fleet)
        finally:
            fleet.close()


if __name__ == "__main__":
    main()
