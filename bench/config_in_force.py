"""Time until an applied configuration change is in force on every node.

Starts a fleet of node processes on this machine, applies changes through one
node and polls the status of every node until it has the index of the change.

Usage: python -m bench.config_in_force [COUNT]

COUNT is the number of nodes, 50 by default.
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
NO_FAULT_CHANGE_COUNT = 20
FAULT_CHANGE_COUNT = 5
RESTARTED_SHARE = 0.1
POLL_INTERVAL_S = 0.05
START_TIMEOUT_S = 90.0
CHANGE_TIMEOUT_S = 30.0
TARGET_DELAY_S = 5.0


class NodeProcess:
    """A node process and its addresses.

    :param path: of its settings file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        settings = tomllib.loads(path.read_text())
        self.control: str = settings["control_address"]
        self.link: str = settings["link_address"]
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process in the folder of its settings file."""
        command = [sys.executable, "-m", "papayastall", "node", "--settings"]
        self.process = subprocess.Popen(
            [*command, str(self.path)], cwd=self.path.parent
        )

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        assert self.process is not None
        self.process.kill()
        self.process.wait()

    def call(self, method: str, path: str, body: object = None) -> t.Any:
        """Send a request to the control address; return the decoded answer.

        :param body: encoded as JSON; no body if ``None``.
        :raises OSError: if there is no answer or it isn't JSON.
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
        """Poll the status until a condition holds.

        :param is_done: the condition; takes the decoded status.
        :returns: the monotonic time at which the condition held; infinity
            if it did not hold within the timeout.
        """
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            try:
                if is_done(self.call("GET", "/v1/status")):
                    return time.monotonic()
            except OSError:
                pass
            time.sleep(POLL_INTERVAL_S)
        return float("inf")


class Fleet:
    """A fleet of node processes.

    :param paths: of the settings files, one for each node; the nodes with
        control replicas come first.
    """

    def __init__(self, paths: list[pathlib.Path]) -> None:
        self.nodes = [NodeProcess(path) for path in paths]
        self.revision = 0
        self.restart_count = int(len(paths) * RESTARTED_SHARE)
        self._pool = concurrent.futures.ThreadPoolExecutor(len(paths))

    def start(self) -> None:
        """Start all nodes; return when they are ready or after the timeout."""
        for node in self.nodes:
            node.start()
        self._wait_all(lambda status: bool(status["ready"]), START_TIMEOUT_S)

    def close(self) -> None:
        """Kill all nodes."""
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

    def apply_change(self) -> list[float]:
        """Apply a new revision of a document through the last node.

        :returns: for each node the seconds until the change was in force.
        """
        self.revision += 1
        text = control_state.make_document(0, self.revision).text
        body = {"documents": [{"source": "bench", "text": text}]}
        started_s = time.monotonic()
        answer = self.nodes[-1].call("POST", "/v1/documents", body)
        if "index" not in answer:
            raise RuntimeError(f"not applied: {answer}")
        index = answer["index"]
        in_force_at_s = self._wait_all(
            lambda status: bool(status["index"] >= index and status["ready"]),
            CHANGE_TIMEOUT_S,
        )
        return [end - started_s for end in in_force_at_s]

    def restart_nodes(self, round_number: int) -> None:
        """Kill and restart a tenth of the nodes, a different one each round.

        Nodes with a control replica are left out.
        """
        for offset in range(self.restart_count):
            position = (
                REPLICA_COUNT + round_number * self.restart_count + offset
            )
            node = self.nodes[position]
            node.kill()
            node.start()

    def kill_leader(self) -> NodeProcess:
        """Kill the node that leads control and return it."""
        leader = None
        while leader is None:
            status = self.nodes[0].call("GET", "/v1/status")
            leader = status["control"]["leader"]
            time.sleep(POLL_INTERVAL_S)
        node = next(n for n in self.nodes if n.link == leader)
        node.kill()
        return node


def print_times(name: str, times_s: list[float]) -> None:
    """Print the median and the maximum, and whether the target is met."""
    times_s.sort()
    worst_s = times_s[-1]
    verdict = "met" if worst_s <= TARGET_DELAY_S else "MISSED"
    print(
        f"{name}: {len(times_s)} samples, p50 "
        f"{times_s[len(times_s) // 2]:.2f} s, worst {worst_s:.2f} s, "
        f"target {TARGET_DELAY_S:g} s: {verdict}",
        flush=True,
    )


def run(fleet: Fleet) -> None:
    """Measure without faults, with restarts and with killed leaders."""
    started_s = time.monotonic()
    fleet.start()
    ready_s = time.monotonic() - started_s
    print(f"{len(fleet.nodes)} nodes ready after {ready_s:.0f} s")
    print_times(
        "quiet",
        [
            s
            for _ in range(NO_FAULT_CHANGE_COUNT)
            for s in fleet.apply_change()
        ],
    )
    times_s = []
    restarted_s = []
    for number in range(FAULT_CHANGE_COUNT):
        fleet.restart_nodes(number)
        delays_s = fleet.apply_change()
        first = REPLICA_COUNT + number * fleet.restart_count
        last = first + fleet.restart_count
        restarted_s += delays_s[first:last]
        times_s += delays_s[:first] + delays_s[last:]
    print_times("a tenth killed and started at each change, others", times_s)
    print_times("the killed ones, from their start until ready", restarted_s)
    times_s = []
    for _ in range(FAULT_CHANGE_COUNT):
        leader = fleet.kill_leader()
        fleet.nodes.remove(leader)
        times_s += fleet.apply_change()
        fleet.nodes.insert(0, leader)
        leader.start()
        leader.wait_for(lambda status: bool(status["ready"]), START_TIMEOUT_S)
    print_times("control's leader killed at each change, others", times_s)


def main() -> None:
    """Run the benchmark in a temporary folder."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_NODE_COUNT
    with tempfile.TemporaryDirectory() as name:
        paths = node_process.write_settings(
            pathlib.Path(name), count, REPLICA_COUNT
        )
        fleet = Fleet(paths)
        try:
            run(fleet)
        finally:
            fleet.close()


if __name__ == "__main__":
    main()
