"""Time until an accepted change is in force on every node process.

Starts a fleet of node processes on this machine, applies changes through one
node and polls every node for its index. ``python -m bench.config_in_force
COUNT`` takes the number of nodes, 50 if left out.
"""

from __future__ import annotations

import collections.abc as cabc
import concurrent.futures
import http.client
import json
import pathlib
import subprocess
import sys
import tempfile
import time
import tomllib
import typing as t

from bench import control_state
from bench import node_process

DEFAULT_NODE_COUNT = 50
REPLICA_COUNT = 3
QUIET_CHANGES = 20
FAULT_CHANGES = 5
RESTARTED_RATIO = 0.1
POLL_S = 0.05
START_TIMEOUT_S = 90.0
CHANGE_TIMEOUT_S = 30.0
TARGET_S = 5.0


class NodeProcess:
    """One node process and its control address."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        settings = tomllib.loads(path.read_text())
        self.control: str = settings["control_address"]
        self.link: str = settings["link_address"]
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        command = [sys.executable, "-m", "papayastall", "node", "--settings"]
        self.process = subprocess.Popen(
            [*command, str(self.path)], cwd=self.path.parent
        )

    def kill(self) -> None:
        """End the process at once."""
        assert self.process is not None
        self.process.kill()
        self.process.wait()

    def call(self, method: str, path: str, body: object = None) -> t.Any:
        """Call the control address.

        :raises OSError: no answer.
        """
        connection = http.client.HTTPConnection(
            self.control, timeout=CHANGE_TIMEOUT_S
        )
        try:
            text = None if body is None else json.dumps(body)
            connection.request(method, path, text)
            return json.loads(connection.getresponse().read())
        except (http.client.HTTPException, json.JSONDecodeError) as error:
            raise OSError(str(error)) from error
        finally:
            connection.close()

    def wait_for(
        self, is_done: cabc.Callable[[t.Any], bool], timeout_s: float
    ) -> float:
        """Poll the status; return the time at which it was as wanted."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            try:
                if is_done(self.call("GET", "/v1/status")):
                    return time.monotonic()
            except OSError:
                pass
            time.sleep(POLL_S)
        return float("inf")


class Bench:
    """The fleet, and the revision that is in force."""

    def __init__(self, paths: list[pathlib.Path]) -> None:
        self.nodes = [NodeProcess(path) for path in paths]
        self.revision = 0
        self.restarted = int(len(paths) * RESTARTED_RATIO)
        self._pool = concurrent.futures.ThreadPoolExecutor(len(paths))

    def start(self) -> None:
        """Start all nodes and wait until they are ready."""
        for node in self.nodes:
            node.start()
        self._wait_all(lambda status: bool(status["ready"]), START_TIMEOUT_S)

    def close(self) -> None:
        """End all nodes."""
        for node in self.nodes:
            if node.process is not None:
                node.kill()
        self._pool.shutdown()

    def _wait_all(
        self, is_done: cabc.Callable[[t.Any], bool], timeout_s: float
    ) -> list[float]:
        return list(
            self._pool.map(
                lambda node: node.wait_for(is_done, timeout_s), self.nodes
            )
        )

    def change(self) -> list[float]:
        """Apply a change; return the time that each node took."""
        self.revision += 1
        text = control_state.make_document(0, self.revision).text
        body = {"documents": [{"source": "bench", "text": text}]}
        started_s = time.monotonic()
        answer = self.nodes[-1].call("POST", "/v1/documents", body)
        if "index" not in answer:
            raise RuntimeError(f"not applied: {answer}")
        index = answer["index"]
        ended_s = self._wait_all(
            lambda status: bool(status["index"] >= index and status["ready"]),
            CHANGE_TIMEOUT_S,
        )
        return [end - started_s for end in ended_s]

    def restart_some(self, round_number: int) -> None:
        """Kill and start a tenth of the nodes that do not hold control."""
        for offset in range(self.restarted):
            place = REPLICA_COUNT + round_number * self.restarted + offset
            node = self.nodes[place]
            node.kill()
            node.start()

    def kill_leader(self) -> NodeProcess:
        """Kill control's leader."""
        leader = None
        while leader is None:
            status = self.nodes[0].call("GET", "/v1/status")
            leader = status["control"]["leader"]
            time.sleep(POLL_S)
        node = next(n for n in self.nodes if n.link == leader)
        node.kill()
        return node


def print_times(name: str, times_s: list[float]) -> None:
    """Print the median and the worst."""
    times_s.sort()
    worst_s = times_s[-1]
    verdict = "met" if worst_s <= TARGET_S else "MISSED"
    print(
        f"{name}: {len(times_s)} samples, p50 "
        f"{times_s[len(times_s) // 2]:.2f} s, worst {worst_s:.2f} s, "
        f"target {TARGET_S:g} s: {verdict}",
        flush=True,
    )


def run(bench: Bench) -> None:
    """Measure without faults, with restarts, and without the leader."""
    started_s = time.monotonic()
    bench.start()
    ready_s = time.monotonic() - started_s
    print(f"{len(bench.nodes)} nodes ready after {ready_s:.0f} s")
    print_times(
        "quiet", [s for _ in range(QUIET_CHANGES) for s in bench.change()]
    )
    times_s = []
    restarted_s = []
    for number in range(FAULT_CHANGES):
        bench.restart_some(number)
        changed_s = bench.change()
        first = REPLICA_COUNT + number * bench.restarted
        last = first + bench.restarted
        restarted_s += changed_s[first:last]
        times_s += changed_s[:first] + changed_s[last:]
    print_times("a tenth killed and started at each change, others", times_s)
    print_times("the killed ones, from their start until ready", restarted_s)
    times_s = []
    for _ in range(FAULT_CHANGES):
        leader = bench.kill_leader()
        bench.nodes.remove(leader)
        times_s += bench.change()
        bench.nodes.insert(0, leader)
        leader.start()
        leader.wait_for(lambda status: bool(status["ready"]), START_TIMEOUT_S)
    print_times("control's leader killed at each change, others", times_s)


def main() -> None:
    """Run the fleet in a temporary folder."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_NODE_COUNT
    with tempfile.TemporaryDirectory() as name:
        paths = node_process.write_settings(
            pathlib.Path(name), count, REPLICA_COUNT
        )
        bench = Bench(paths)
        try:
            run(bench)
        finally:
            bench.close()


if __name__ == "__main__":
    main()
