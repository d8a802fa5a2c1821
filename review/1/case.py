"""An accepted configuration ends the process of each node that uses it."""

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

SERVICES = ["visits", "intake", "supplies"] * 3
CONFIG_APPLY_S = 2.0
ORDINARY_PRIORITY = 3
LOWEST_PRIORITY = 2**32 - 1
"""The largest unsigned number of 32 bits, as the least urgent rank."""
QUICK_S = 0.1
BOOKING_S = 3.0
CONNECTIONS_PER_NODE = 3


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
        routes = {
            "/book/": ("unsafe", "visits"),
            "/rota/": ("safe", "intake"),
            "/stock/": ("safe", "supplies"),
        }
        await fleet.configure(clients.make_config(routes))
        await fleet.wait_until_ready()
        await asyncio.sleep(5.0)
        status = await add_route(fleet)
        if status == 400 and case.has_trouble():
            # The change was refused, so that it can do no harm.
            return case.HELD
        if status != 200:
            return case.COULD_NOT_RUN
        await asyncio.sleep(CONFIG_APPLY_S)
        client = clients.Client(fleet)
        for machine in fleet.sidecars:
            for number in range(CONNECTIONS_PER_NODE):
                requests = [
                    ("GET", f"/rota/{number}"),
                    ("POST", f"/book/slow/{machine.name}/{number}"),
                ]
                client.send_kept(machine, requests, 6000)
        await asyncio.sleep(1.5)
        for machine in fleet.sidecars:
            client.send(machine, "GET", "/fittings/1", 2000)
        await client.wait()
        return judge(record, fleet, client, all_servers)
    finally:
        for server in all_servers:
            server.close()
        await fleet.close()


async def add_route(fleet: fleets.Fleet) -> int | None:
    """Add a route as the operator does; return the status."""
    priority = LOWEST_PRIORITY if case.has_trouble() else ORDINARY_PRIORITY
    route = {
        "host": clients.HOST,
        "pathPrefix": "/fittings/",
        "kind": "safe",
        "timeoutMs": 5000,
        "latencySloMs": 2500,
        "priority": priority,
        "service": "supplies",
        "maxAttempts": 2,
    }
    entry = {
        "type": "routes",
        "metadata": {"name": "r-fittings"},
        "spec": route,
    }
    patch = {
        "version": 2,
        "baseVersion": 1,
        "upsert": {"resources": [entry]},
        "remove": {},
    }
    answer = await wire.call(
        fleet.address(fleet.core[0], "control"),
        "PATCH",
        "/papayastall/config",
        patch,
        3.0,
    )
    status = None if answer is None else answer.status
    fleet.record.note("config-change", body=patch, status=status)
    return status


def judge(
    record: records.Record,
    fleet: fleets.Fleet,
    client: clients.Client,
    all_servers: list[servers.Server],
) -> int:
    """Return whether too many requests were lost on kept connections."""
    lost = kept.count_lost(client.outcomes, all_servers)
    record.note(
        "lost-requests",
        count=lost,
        sent=len(client.outcomes),
        nodes_that_ended=sum(bool(each.exits) for each in fleet.sidecars),
    )
    return case.BROKEN if lost > kept.MAX_LOST else case.HELD


case.run(pathlib.Path(__file__).parent, play)
