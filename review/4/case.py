"""A planned stop breaks off requests that the node took late."""

from __future__ import annotations

import asyncio
import pathlib

from standins import case
from standins import client as clients
from standins import fleet as fleets
from standins import record as records
from standins import server as servers

SERVICES = ["intake", "visits", "visits", "intake", "visits", "visits"]
"""The first two are the machines of the zone that is stopped."""
ZONES = ["atl-a", "atl-a", "atl-b", "atl-b", "atl-c", "atl-c"]
GAP_S = 1.3
"""Time between the two stops of the rolling restart."""
EXCUSED_S = 3.0
"""RULES.md excuses requests that were sent up to this long after SIGTERM."""
FIRST_USE_S = 0.8
"""Time after which a client of the pool uses a new connection."""
MAX_MISSES = 2
"""Readiness checks without 200 that take a machine out (PROTOCOL.md)."""
CLIENT_INTERVAL_S = 0.1
TRAFFIC_S = 9.0
BOOKING_S = 2.5
DEADLINE_MS = 6000


class ZoneWatch:
    """The platform's readiness checks of the machines of one zone."""

    def __init__(
        self, fleet: fleets.Fleet, machines: list[fleets.Machine]
    ) -> None:
        self._fleet = fleet
        self._misses = {machine.name: 0 for machine in machines}
        self._machines = machines

    async def run(self) -> None:
        """Ask each machine once a second."""
        while True:
            for machine in self._machines:
                is_ready = await self._fleet.is_ready(machine)
                misses = 0 if is_ready else self._misses[machine.name] + 1
                self._misses[machine.name] = misses
            self._fleet.record.note("readiness-misses", **self._misses)
            await asyncio.sleep(1.0)

    def gets_work(self, machine: fleets.Machine) -> bool:
        """Return whether the clients on a machine receive new work.

        A machine is out after two misses, unless fewer than half of the
        zone's nodes are in.
        """
        are_in = sum(misses < MAX_MISSES for misses in self._misses.values())
        if 2 * are_in < len(self._misses):
            return True
        return self._misses[machine.name] < MAX_MISSES


async def play(folder: pathlib.Path, record: records.Record) -> int:
    """Play the case and judge it."""
    fleet = fleets.Fleet(folder, record, SERVICES, ZONES)
    all_servers = [
        servers.Server(fleet, machine, lambda path: BOOKING_S, slots=20)
        for machine in fleet.sidecars
    ]
    try:
        await fleet.start()
        for server in all_servers:
            await server.start()
        await fleet.configure(
            clients.make_config({"/book/": ("unsafe", "visits")})
        )
        await fleet.wait_until_ready()
        outcomes: list[clients.Outcome] = []
        stopped, other = fleet.sidecars[0], fleet.sidecars[1]
        zone = ZoneWatch(fleet, [stopped, other])
        watch = asyncio.create_task(zone.run())
        await asyncio.sleep(8.0)
        traffic = asyncio.create_task(
            send_requests(fleet, stopped, zone, outcomes)
        )
        stops = [asyncio.create_task(stop(fleet, other))]
        await asyncio.sleep(GAP_S)
        sigterm_s = record.now_s()
        stops.append(asyncio.create_task(stop(fleet, stopped)))
        await asyncio.gather(traffic, *stops)
        watch.cancel()
        return judge(record, outcomes, all_servers, sigterm_s)
    finally:
        for server in all_servers:
            server.close()
        await fleet.close()


async def stop(fleet: fleets.Fleet, machine: fleets.Machine) -> None:
    """Stop a machine's process as planned, and start it again."""
    if not case.has_trouble():
        return
    await fleet.terminate(machine)
    await asyncio.sleep(fleets.RESTART_DELAY_S)
    await fleet.start_machine(machine)


async def send_requests(
    fleet: fleets.Fleet,
    machine: fleets.Machine,
    zone: ZoneWatch,
    outcomes: list[clients.Outcome],
) -> None:
    """Let clients of a pool open connections and use each a little later."""
    tasks: list[asyncio.Task[None]] = []
    end_s = fleet.record.now_s() + TRAFFIC_S
    while fleet.record.now_s() < end_s:
        if zone.gets_work(machine):
            tasks.append(
                asyncio.create_task(send_one(fleet, machine, outcomes))
            )
        await asyncio.sleep(CLIENT_INTERVAL_S)
    await asyncio.gather(*tasks)


async def send_one(
    fleet: fleets.Fleet,
    machine: fleets.Machine,
    outcomes: list[clients.Outcome],
) -> None:
    """Open a connection, wait, and send one booking on it."""
    connection = clients.Connection(fleet, machine)
    try:
        await connection.open()
    except (OSError, TimeoutError):
        return
    await asyncio.sleep(FIRST_USE_S)
    outcomes.append(await connection.request("POST", "/book/1", DEADLINE_MS))
    connection.close()


def judge(
    record: records.Record,
    outcomes: list[clients.Outcome],
    all_servers: list[servers.Server],
    sigterm_s: float,
) -> int:
    """Return whether requests at which a server worked were broken off.

    Only those count that were sent later than RULES.md excuses, and that
    had neither reached their deadline nor the route's time-out, which is
    longer.
    """
    ran = {run.request_id for server in all_servers for run in server.runs}
    broken = [
        outcome
        for outcome in outcomes
        if outcome.request_id in ran
        and not outcome.is_servers
        and outcome.ended_s is not None
        and outcome.ended_s < outcome.sent_s + DEADLINE_MS / 1000
        and outcome.sent_s > sigterm_s + EXCUSED_S
    ]
    for outcome in broken:
        record.note(
            "broken-off",
            id=outcome.request_id,
            sent_after_sigterm_s=round(outcome.sent_s - sigterm_s, 3),
            status=outcome.status,
            problem=outcome.problem,
        )
    served = sum(outcome.is_servers for outcome in outcomes)
    record.note("served", count=served, sent=len(outcomes))
    if not served:
        return case.COULD_NOT_RUN
    return case.BROKEN if broken else case.HELD


case.run(pathlib.Path(__file__).parent, play)
