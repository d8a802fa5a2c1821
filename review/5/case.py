"""A look-up that two crashed servers ran is refused from then on."""

from __future__ import annotations

import asyncio
import pathlib

from standins import case
from standins import client as clients
from standins import fleet as fleets
from standins import record as records
from standins import server as servers

SERVICES = ["visits", "intake"] + ["supplies"] * 14
ZONES = ["atl-a", "atl-b"] + ["atl-a"] * 6 + ["atl-b"] * 6 + ["atl-c"] * 2
SERVICE = "supplies"
ZONE = "atl-c"
"""Two of the service's 14 servers stand there, a share of 0.143."""
DOWN_S = 4.5
STABLE_WINDOW_S = 3.0
CALM_S = 12.0
WORK_S = 1.6
REQUESTS_PER_S = 31.0
"""As many for each server as the 13.4 for 6 servers of the site file."""
DEADLINE_MS = 12_000
PATH = "/rota/today"
"""Many users look up the same page."""
MIN_DENIED = 5
DENIED_SHARE = 1 / 500


def make_server(
    fleet: fleets.Fleet, machine: fleets.Machine, incarnation: int
) -> servers.Server:
    """Return a server of a machine, to be started."""
    return servers.Server(
        fleet, machine, lambda path: WORK_S, incarnation=incarnation
    )


async def play(folder: pathlib.Path, record: records.Record) -> int:
    """Play the case and judge it."""
    fleet = fleets.Fleet(folder, record, SERVICES, ZONES)
    all_servers = [make_server(fleet, each, 1) for each in fleet.sidecars]
    try:
        await fleet.start()
        for server in all_servers:
            await server.start()
        await fleet.configure(
            clients.make_config({"/rota/": ("safe", SERVICE)})
        )
        await fleet.wait_until_ready()
        client = clients.Client(fleet)
        traffic = asyncio.create_task(send_requests(fleet, client))
        await asyncio.sleep(8.0)
        if case.has_trouble():
            all_servers += await crash_zone(fleet, all_servers)
        else:
            await asyncio.sleep(DOWN_S)
        calm_s = record.now_s() + STABLE_WINDOW_S
        await asyncio.sleep(STABLE_WINDOW_S + CALM_S)
        traffic.cancel()
        await client.wait()
        return judge(record, client.outcomes, calm_s)
    finally:
        for server in all_servers:
            server.close()
        await fleet.close()


async def crash_zone(
    fleet: fleets.Fleet, all_servers: list[servers.Server]
) -> list[servers.Server]:
    """Crash the service's servers in one zone; return those that follow."""
    crashed = [
        server
        for server in all_servers
        if server.machine.service == SERVICE and server.machine.zone == ZONE
    ]
    for server in crashed:
        server.crash()
    await asyncio.sleep(DOWN_S)
    started = [make_server(fleet, server.machine, 2) for server in crashed]
    for server in started:
        await server.start()
    return started


async def send_requests(fleet: fleets.Fleet, client: clients.Client) -> None:
    """Send the same look-up at all machines in turn."""
    number = 0
    while True:
        machine = fleet.sidecars[number % len(fleet.sidecars)]
        client.send(machine, "GET", PATH, DEADLINE_MS)
        number += 1
        await asyncio.sleep(1 / REQUESTS_PER_S)


def judge(
    record: records.Record, outcomes: list[clients.Outcome], calm_s: float
) -> int:
    """Return whether too many proper requests were refused with a 4xx.

    All refusals of the day count; those from ``stableWindowMs`` after the
    disruption are noted as well.
    """
    passes = (408, 421, 429)
    denied = [
        outcome
        for outcome in outcomes
        if outcome.status is not None
        and 300 <= outcome.status < 500
        and outcome.status not in passes
        and not outcome.is_servers
    ]
    late = [outcome for outcome in denied if outcome.sent_s > calm_s]
    sent_late = sum(outcome.sent_s > calm_s for outcome in outcomes)
    served = sum(outcome.is_servers for outcome in outcomes)
    record.note(
        "denied",
        count=len(denied),
        sent=len(outcomes),
        served=served,
        denied_when_calm=len(late),
        sent_when_calm=sent_late,
        statuses=sorted({outcome.status for outcome in denied}),
    )
    if not served:
        return case.COULD_NOT_RUN
    allowed = MIN_DENIED + DENIED_SHARE * len(outcomes)
    return case.BROKEN if len(denied) > allowed else case.HELD


case.run(pathlib.Path(__file__).parent, play)
