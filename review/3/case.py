"""A heartbeat of another writer ends the process of a node."""

from __future__ import annotations

import asyncio
import pathlib

from standins import case
from standins import client as clients
from standins import fleet as fleets
from standins import kept
from standins import record as records
from standins import server as servers
from standins import wire

SERVICES = ["visits", "intake", "supplies"] * 2
QUICK_S = 0.1
BOOKING_S = 3.0
CONNECTIONS = 10
UNSIGNED_MAX = 2**32 - 1
"""The largest unsigned number of 32 bits; written for "without a limit"."""


def find_work_s(path: str) -> float:
    """Return how long a server works on a path."""
    return BOOKING_S if path.startswith("/book/slow") else QUICK_S


async def play(folder: pathlib.Path, record: records.Record) -> int:
    """Play the case and judge it."""
    fleet = fleets.Fleet(folder, record, SERVICES)
    all_servers = [
        servers.Server(fleet, machine, find_work_s)
        for machine in fleet.sidecars
    ]
    try:
        await fleet.start()
        for server in all_servers:
            await server.start()
        routes = {"/book/": ("unsafe", "visits"), "/rota/": ("safe", "intake")}
        await fleet.configure(clients.make_config(routes))
        await fleet.wait_until_ready()
        await asyncio.sleep(5.0)
        client = clients.Client(fleet)
        # This machine's own server runs neither bookings nor look-ups, so
        # that all its clients' requests run at servers of other machines.
        beside = all_servers[2]
        for number in range(CONNECTIONS):
            requests = [
                ("GET", f"/rota/{number}"),
                ("POST", f"/book/slow/{number}"),
            ]
            client.send_kept(beside.machine, requests, 6000)
        await asyncio.sleep(1.5)
        if case.has_trouble():
            await send_other_heartbeat(fleet, beside)
        await client.wait()
        await asyncio.sleep(1.0)
        return judge(record, beside.machine, client, all_servers)
    finally:
        for server in all_servers:
            server.close()
        await fleet.close()


async def send_other_heartbeat(
    fleet: fleets.Fleet, beside: servers.Server
) -> None:
    """Send one heartbeat of another writer, with a number of another type."""
    body = beside.make_heartbeat(maxConcurrency=UNSIGNED_MAX)
    answer = await wire.call(
        fleet.address(beside.machine, "control"),
        "PUT",
        "/papayastall/instances/i-other-writer",
        body,
    )
    fleet.record.note(
        "other-heartbeat",
        machine=beside.machine.name,
        body=body,
        status=None if answer is None else answer.status,
    )


def judge(
    record: records.Record,
    machine: fleets.Machine,
    client: clients.Client,
    all_servers: list[servers.Server],
) -> int:
    """Return whether too many requests were lost on kept connections."""
    lost = kept.count_lost(client.outcomes, all_servers)
    record.note(
        "lost-requests",
        count=lost,
        sent=len(client.outcomes),
        ends_of_its_own=machine.exits,
    )
    return case.BROKEN if lost > kept.MAX_LOST else case.HELD


case.run(pathlib.Path(__file__).parent, play)
