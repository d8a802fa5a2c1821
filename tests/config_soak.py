"""Changes of the configuration while real processes are disturbed.

``python -m tests.config_soak --seed 1 --nodes 88 --control 11 --seconds 300``
plays one seed and prints what was checked and which rules were broken.

An operator adds and removes routes. Meanwhile nodes and control replicas are
stopped, killed, suspended and told to read their settings again, one after
the other and several at a time. From ``APPLY_S`` after an acknowledgement on,
every calm node is asked for the added and the removed route, and control
replicas for the configuration.
"""

from __future__ import annotations

import argparse
import collections
import concurrent.futures
import dataclasses
import json
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time
import typing as t

from tests import platform_fleet
from tests import platform_upstream

__all__ = ["Plan", "Soak", "main"]

SERVICES = ("visits", "orders", "supplies")
APPLY_S = 2.0
"""Time until an acknowledged change is in force at calm nodes."""
STABLE_S = 3.0
"""Time without a fault after which a machine, or control, counts as calm."""
ACK_S = 4.0
"""Time without a fault within which a valid change is acknowledged."""
CALL_TIMEOUT_S = 1.0
HEARTBEAT_S = 1.5
START_TIMEOUT_S = 120.0
KEPT_ROUTES = 6
FAULTS = ("stop", "kill", "suspend", "hup")


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """What one seed plays.

    :param fault_gap_s: mean time between two faults.
    :param routes: routes in force beside those that change.
    """

    seed: int
    nodes: int
    control: int
    play_s: float
    fault_gap_s: float
    routes: int = 0


class Soak:
    """One run of a plan.

    :ivar broken: descriptions of broken rules.
    :ivar counts: how often each rule was at stake, and what was played.
    """

    def __init__(self, folder: pathlib.Path, plan: Plan, net: int) -> None:
        self.broken: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._plan = plan
        # One for each thread, so that a seed repeats its faults and changes.
        self._change_rng = random.Random(f"changes {plan.seed}")
        self._fault_rng = random.Random(f"faults {plan.seed}")
        self._fleet = platform_fleet.PlatformFleet(
            folder,
            [SERVICES[n % len(SERVICES)] for n in range(plan.nodes)],
            net,
            plan.control,
        )
        self._upstreams: list[platform_upstream.Upstream] = []
        self._pool = concurrent.futures.ThreadPoolExecutor(24)
        self._stopped = threading.Event()
        self._disturbed_s: dict[str, float] = {}
        self._faults: list[threading.Thread] = []
        self._version = 1
        self._routes: list[int] = []
        self._born_ms = int(time.time() * 1000)
        self._started_s = time.monotonic()

    def run(self) -> None:
        """Play the plan and end all processes."""
        threads: list[threading.Thread] = []
        try:
            self._start()
            for target in (self._send_heartbeats, self._play_faults):
                threads.append(threading.Thread(target=target))
                threads[-1].start()
            end_s = time.monotonic() + self._plan.play_s
            while time.monotonic() < end_s:
                self._play_change()
        finally:
            self._stopped.set()
            for thread in (*threads, *self._faults):
                thread.join()
            self._fleet.close()
            list(self._pool.map(lambda up: up.close(), self._upstreams))
            self._pool.shutdown()

    def _start(self) -> None:
        fleet = self._fleet
        for number, machine in enumerate(fleet.nodes):
            self._upstreams.append(
                platform_upstream.Upstream(
                    fleet.address(machine, "app"), f"i-{number}"
                )
            )
        fleet.start()
        config = platform_fleet.make_config(
            1, 0, **dict.fromkeys(SERVICES, 4000)
        )
        config["resources"] += [
            platform_fleet.make_route(
                f"k-{number}", f"/kept/{number}/", SERVICES[0]
            )
            for number in range(self._plan.routes)
        ]
        fleet.wait(
            lambda: (
                fleet.configure(fleet.control[0], "PUT", config).status == 200
            ),
            "the configuration is accepted",
            START_TIMEOUT_S,
        )
        fleet.wait(
            lambda: all(fleet.is_ready(machine) for machine in fleet.nodes),
            "all nodes are ready",
            START_TIMEOUT_S,
        )

    def _send_heartbeats(self) -> None:
        sequence = 0
        while not self._stopped.wait(HEARTBEAT_S):
            sequence += 1
            for number, machine in enumerate(self._fleet.nodes):
                self._pool.submit(self._beat, number, machine, sequence)

    def _beat(
        self, number: int, machine: platform_fleet.Machine, sequence: int
    ) -> None:
        try:
            self._fleet.send_heartbeat(
                machine, f"i-{number}", sequence=sequence, born=self._born_ms
            )
        except OSError:
            self.counts["heartbeats lost"] += 1

    def _play_faults(self) -> None:
        """Disturb nodes and control replicas, some of them at a time."""
        rng = self._fault_rng
        while not self._stopped.wait(
            rng.expovariate(1 / self._plan.fault_gap_s)
        ):
            on_control = rng.random() < 0.15
            group = self._fleet.control if on_control else self._fleet.nodes
            most = 1 if on_control else max(1, len(group) // 10)
            fault = rng.choice(FAULTS)
            for machine in rng.sample(group, rng.randint(1, most)):
                if not self._is_calm(machine):
                    continue
                self._disturbed_s[machine.name] = float("inf")
                thread = threading.Thread(
                    target=self._disturb,
                    args=(machine, fault, rng.uniform(0.3, 4.0)),
                )
                self._faults.append(thread)
                thread.start()
                self._stopped.wait(rng.choice((0.0, 0.1, 0.5)))

    def _disturb(
        self, machine: platform_fleet.Machine, fault: str, pause_s: float
    ) -> None:
        self.counts[f"fault {fault}"] += 1
        process = machine.process
        assert process is not None
        if process.poll() is not None:
            self._report(f"LOST: {machine.name} ended: {process.returncode}")
        match fault:
            case "stop":
                self._fleet.stop_machine(machine, signal.SIGTERM)
                self._fleet.start_machine(machine)
            case "kill":
                self._fleet.stop_machine(machine, signal.SIGKILL)
                self._stopped.wait(pause_s)
                self._fleet.start_machine(machine)
            case "suspend":
                process.send_signal(signal.SIGSTOP)
                self._stopped.wait(pause_s)
                process.send_signal(signal.SIGCONT)
            case "hup":
                process.send_signal(signal.SIGHUP)
        self._disturbed_s[machine.name] = time.monotonic()

    def _is_calm(self, machine: platform_fleet.Machine) -> bool:
        since_s = self._disturbed_s.get(machine.name, 0.0)
        return time.monotonic() - since_s > STABLE_S

    def _is_control_calm(self) -> bool:
        return all(self._is_calm(machine) for machine in self._fleet.control)

    def _play_change(self) -> None:
        """Send one change until it is acknowledged, and check it."""
        base, self._version = self._version, self._version + 1
        added, removed = self._version, None
        if len(self._routes) > KEPT_ROUTES:
            removed = self._routes.pop(0)
        patch = self._make_patch(base, added, removed)
        sent_s = time.monotonic()
        calm = self._is_control_calm()
        while not self._send_patch(patch):
            calm = calm and self._is_control_calm()
            if calm and time.monotonic() - sent_s > ACK_S:
                self._report(f"Acks: version {added} is not acknowledged")
                calm = False
            if time.monotonic() - sent_s > 10 * ACK_S:
                raise AssertionError(f"version {added} is not acknowledged")
        self._routes.append(added)
        self.counts["changes"] += 1
        time.sleep(APPLY_S)
        self._check(added, removed)

    def _make_patch(
        self, base: int, added: int, removed: int | None
    ) -> dict[str, t.Any]:
        service = self._change_rng.choice(SERVICES)
        entry = platform_fleet.make_route(
            f"r-{added}", f"/added/{added}/", service
        )
        names = [] if removed is None else [f"r-{removed}"]
        return {
            "version": added,
            "baseVersion": base,
            "upsert": {"resources": [entry]},
            "remove": {"routes": names},
        }

    def _send_patch(self, patch: dict[str, t.Any]) -> bool:
        machine = self._change_rng.choice(self._fleet.control)
        try:
            answer = self._fleet.configure(
                machine, "PATCH", patch, CALL_TIMEOUT_S
            )
        except OSError:
            self.counts["changes unanswered"] += 1
            time.sleep(0.1)
            return False
        if 400 <= answer.status < 500 and answer.status not in (408, 429):
            self._report(
                f"CONFIG: version {patch['version']} refused with "
                f"{answer.status} by {machine.name}: {answer.body!r}"
            )
        if answer.status != 200:
            self.counts[f"changes answered {answer.status}"] += 1
            time.sleep(0.1)
        return answer.status == 200

    def _check(self, added: int, removed: int | None) -> None:
        calm = [m for m in self._fleet.nodes if self._is_calm(m)]
        if not self._is_control_calm():
            calm = []
        paths = [(f"/added/{added}/x", True)]
        if removed is not None:
            paths.append((f"/added/{removed}/x", False))
        jobs = [
            self._pool.submit(self._check_route, machine, path, exists)
            for machine in calm
            for path, exists in paths
        ]
        reader = self._change_rng.choice(self._fleet.control)
        jobs.append(self._pool.submit(self._check_read, reader, added))
        for job in jobs:
            job.result()

    def _check_route(
        self, machine: platform_fleet.Machine, path: str, exists: bool
    ) -> None:
        try:
            answer = self._fleet.send_request(machine, path)
        except OSError as error:
            if self._is_calm(machine):
                self._report(f"LOST: {machine.name}{path}: {error!r}")
            return
        if not self._is_calm(machine) or not self._is_control_calm():
            return
        self.counts[f"{'added' if exists else 'removed'} {answer.status}"] += 1
        wrong_status = 404 if exists else 200
        if answer.status == wrong_status:
            self._report(
                f"CONFIG: {machine.name} answers {answer.status} for {path}: "
                f"{answer.body!r}"
            )

    def _check_read(
        self, machine: platform_fleet.Machine, version: int
    ) -> None:
        try:
            answer = self._fleet.configure(machine, "GET")
        except OSError:
            return
        self.counts[f"read {answer.status}"] += 1
        if answer.status != 200:
            return
        read = json.loads(answer.body)["version"]
        if read < version:
            self._report(f"CONFIG: {machine.name} reads {read} < {version}")

    def _report(self, text: str) -> None:
        elapsed_s = time.monotonic() - self._started_s
        self.broken.append(f"{elapsed_s:.2f} s: {text}")
        print(self.broken[-1], flush=True)


def main() -> int:
    """Play one seed; return 1 if a rule was broken, otherwise 0."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=88)
    parser.add_argument("--control", type=int, default=11)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--fault-gap-s", type=float, default=2.0)
    parser.add_argument("--routes", type=int, default=0)
    parser.add_argument("--net", type=int, default=90)
    parser.add_argument("--folder", type=pathlib.Path)
    options = parser.parse_args()
    plan = Plan(
        options.seed,
        options.nodes,
        options.control,
        options.seconds,
        options.fault_gap_s,
        options.routes,
    )
    folder = options.folder or pathlib.Path(tempfile.mkdtemp())
    folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(folder, plan, options.net)
    soak.run()
    for name, count in sorted(soak.counts.items()):
        print(f"{count:6} {name}")
    print(f"seed {plan.seed}: {len(soak.broken)} broken; logs in {folder}")
    return min(len(soak.broken), 1)


if __name__ == "__main__":
    sys.exit(main())
