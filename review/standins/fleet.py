"""The platform: machines on loopback addresses that run the programs.

The programs are started with the commands of the deploy file. The settings
are those of the site pssa-mesh, as DEPLOY.md shows them.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import tomllib

from standins import record as records
from standins import wire

__all__ = ["ZONES", "Fleet", "Machine"]

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ("atl-a", "atl-b", "atl-c")
REGION = "ga-atlanta"
GRACE_S = 6.0
RESTART_DELAY_S = 0.5
METRICS_PORT = 9464
PORT_COUNT = 16
PORT_NAMES = ("inbound", "outbound", "ready", "control", "app")
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "health"]
BOUNDS = [
    "seedLagS=3",
    "reuseAfterS=2",
    "stableWindowMs=3000",
    "ackMs=4000",
    "catchupS=4",
    "drainMs=2000",
    f"graceS={GRACE_S:g}",
    "lossSlackMs=200",
    "configApplyMs=2000",
    "regressionWindowMs=250",
    "maxStretchMs=5000",
    "budgetRatio=0.2",
    "budgetWindowS=10",
    "budgetSlack=60",
    "recoveryS=15",
    "probesPerS=3",
    "floorShare=0.7",
]


@dataclasses.dataclass(slots=True)
class Machine:
    """One machine and the process on it.

    :param service: service of the server beside the node; "" on core.
    :param stopping: whether the platform is ending the process.
    :param exits: exit codes of processes that ended by themselves.
    """

    name: str
    ip: str
    zone: str
    role: str
    service: str = ""
    process: asyncio.subprocess.Process | None = None
    started_s: float = 0.0
    stopping: bool = False
    exits: list[int] = dataclasses.field(default_factory=list)


class Fleet:
    """All machines of one deployment.

    :param services: one entry for each sidecar machine.
    :param zones: zone of each sidecar machine; in turn by default.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        record: records.Record,
        services: list[str],
        zones: list[str] | None = None,
        cores: int = 5,
    ) -> None:
        self.record = record
        self._folder = folder
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        roles = deploy["roles"]
        self._commands = {
            "core": _command(roles, "core"),
            "sidecar": _command(roles, "sidecar"),
        }
        self._zones = zones or [
            ZONES[number % len(ZONES)] for number in range(len(services))
        ]
        self.core: list[Machine] = []
        self.sidecars: list[Machine] = []
        self._choose_addresses(services, cores)
        self._watchers: set[asyncio.Task[None]] = set()

    def _choose_addresses(self, services: list[str], cores: int) -> None:
        """Choose a network and ports that are free on all machines."""
        for _ in range(100):
            net = random.randrange(64, 250)
            self.core = [
                Machine(
                    f"core-{ZONES[number % 3]}-{number + 1}",
                    f"127.{net}.1.{number + 1}",
                    ZONES[number % 3],
                    "core",
                )
                for number in range(cores)
            ]
            self.sidecars = [
                Machine(
                    f"sidecar-{self._zones[number]}-{number + 1}",
                    f"127.{net}.2.{number + 1}",
                    self._zones[number],
                    "sidecar",
                    service,
                )
                for number, service in enumerate(services)
            ]
            first = random.randrange(20_000, 30_000)
            self.ports = {
                name: first + number for number, name in enumerate(PORT_NAMES)
            }
            self.internal = (first + 20, first + 20 + PORT_COUNT - 1)
            wanted = [*self.ports.values(), self.internal[0], METRICS_PORT]
            if all(
                _is_free(machine.ip, port)
                for machine in (*self.core, *self.sidecars)
                for port in wanted
            ):
                return
        raise RuntimeError("no free loopback addresses")

    def address(self, machine: Machine, port: str) -> str:
        """Return the address of a machine's port, by the port's name."""
        return f"{machine.ip}:{self.ports[port]}"

    async def start(self) -> None:
        """Start all machines for the first time."""
        for machine in (*self.core, *self.sidecars):
            await self.start_machine(machine, bootstrap=True)

    async def start_machine(
        self, machine: Machine, bootstrap: bool = False
    ) -> None:
        """Start the process of a machine, and restart it when it ends."""
        path = self._folder / f"{machine.name}.json"
        settings = self._make_settings(machine, bootstrap)
        path.write_text(json.dumps(settings))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PAPAYASTALL_SETTINGS": str(path),
        }
        with (self._folder / f"{machine.name}.log").open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                *self._commands[machine.role],
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        machine.stopping = False
        machine.started_s = self.record.note(
            "process-start", machine=machine.name, pid=machine.process.pid
        )
        watcher = asyncio.create_task(self._watch(machine, machine.process))
        self._watchers.add(watcher)
        watcher.add_done_callback(self._watchers.discard)

    async def _watch(
        self, machine: Machine, process: asyncio.subprocess.Process
    ) -> None:
        code = await process.wait()
        self.record.note(
            "process-end",
            machine=machine.name,
            code=code,
            asked_by_platform=machine.stopping,
        )
        if not machine.stopping:
            machine.exits.append(code)
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start_machine(machine)

    async def kill(self, machine: Machine, down_s: float) -> None:
        """Kill a process (SIGKILL) and start it again after ``down_s``."""
        assert machine.process is not None
        machine.stopping = True
        self.record.note("SIGKILL", machine=machine.name)
        machine.process.send_signal(signal.SIGKILL)
        await machine.process.wait()
        await asyncio.sleep(down_s)
        await self.start_machine(machine)

    async def terminate(self, machine: Machine) -> float:
        """Send SIGTERM, and SIGKILL after ``GRACE_S``; return the time."""
        assert machine.process is not None
        machine.stopping = True
        at_s = self.record.note("SIGTERM", machine=machine.name)
        machine.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await machine.process.wait()
        except TimeoutError:
            self.record.note("SIGKILL", machine=machine.name)
            machine.process.send_signal(signal.SIGKILL)
            await machine.process.wait()
        return at_s

    async def close(self) -> None:
        """End all processes that this fleet started."""
        for watcher in self._watchers:
            watcher.cancel()
        machines = [
            machine
            for machine in (*self.core, *self.sidecars)
            if machine.process is not None
        ]
        for machine in machines:
            assert machine.process is not None
            machine.stopping = True
            if machine.process.returncode is None:
                machine.process.kill()
        for machine in machines:
            assert machine.process is not None
            await machine.process.wait()

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether the readiness check of a node answers 200."""
        answer = await wire.call(
            self.address(machine, "ready"), "GET", "/papayastall/readyz"
        )
        return answer is not None and answer.status == 200

    async def configure(self, config: dict[str, object]) -> None:
        """Send the first configuration until it is acknowledged."""
        async with asyncio.timeout(30.0):
            while True:
                for machine in self.core:
                    answer = await wire.call(
                        self.address(machine, "control"),
                        "PUT",
                        "/papayastall/config",
                        config,
                    )
                    status = None if answer is None else answer.status
                    self.record.note(
                        "config", machine=machine.name, status=status
                    )
                    if status == 200:
                        return
                await asyncio.sleep(0.5)

    async def wait_until_ready(self) -> None:
        """Wait until all nodes are ready."""
        async with asyncio.timeout(30.0):
            for machine in self.sidecars:
                while not await self.is_ready(machine):
                    await asyncio.sleep(0.2)
        self.record.note("all-ready")

    def _make_settings(
        self, machine: Machine, bootstrap: bool
    ) -> dict[str, object]:
        is_core = machine.role == "core"
        names = ["control"]
        if not is_core:
            names = ["inbound", "outbound", "ready", "control"]
        data = self._folder / f"{machine.name}-data"
        if is_core:
            data.mkdir(exist_ok=True)
        settings: dict[str, object] = {
            "nodeName": machine.name,
            "role": machine.role,
            "machineClass": machine.role,
            "serves": ["control_plane" if is_core else "sidecar"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listenAddrs": {
                name: self.address(machine, name) for name in names
            },
            "internalPorts": list(self.internal),
            "seeds": [self.address(seed, "control") for seed in self.core[:3]],
            "bootstrap": bootstrap,
            "countsAsLoss": is_core,
            "limits": {
                "cpuShare": 0.645 if is_core else 0.86,
                "vcpus": 1,
                "memoryMb": 296 if is_core else 300,
                "maxFds": 4096 if is_core else 4100,
                "linkMbps": 1000.0,
                "diskMb": 256 if is_core else 0,
            },
            "dataDir": str(data) if is_core else None,
            "discovery": "static",
            "entry": "static",
            "heartbeatIntervalMs": 1500,
            "contracts": CONTRACTS,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }
        if not is_core:
            settings["appAddr"] = self.address(machine, "app")
            settings["service"] = machine.service
        return settings


def _command(
    roles: dict[str, dict[str, str]], machine_class: str
) -> list[str]:
    for role in roles.values():
        if role["on"] == machine_class:
            return role["run"].split()
    raise RuntimeError(f"no role runs on {machine_class}")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
