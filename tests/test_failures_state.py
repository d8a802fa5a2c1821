"""Idempotency keys, the capacity floor and crashing requests under faults.

The tests run fleets of real processes.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal

import orjson
import pytest

from tests import fleet as fleets

SIX_UPSTREAMS = [[0, 1], [1, 2], [2, 0], [0, 1], [1, 2], [2, 0]]
THREE_UPSTREAMS = SIX_UPSTREAMS[:3]
RESEND_LIMIT = 60
RESEND_PAUSE_S = 0.25
MAX_CRASHED_UPSTREAMS = 2

pytestmark = pytest.mark.anyio


async def resend_until_settled(
    fleet: fleets.Fleet, number: int, name: str, key: str
) -> fleets.Observation:
    """Send a booking again until the answer with its final outcome."""
    for _ in range(RESEND_LIMIT):
        observed = await fleet.send(number, "POST", name, key)
        if observed.status == 200 or observed.code == "outcome-unknown":
            return observed
        await asyncio.sleep(RESEND_PAUSE_S)
    raise TimeoutError(str(observed))


async def restart_all(fleet: fleets.Fleet) -> None:
    for number in range(len(fleet.nodes)):
        fleet.signal_node(number, signal.SIGKILL)
    for number in range(len(fleet.nodes)):
        fleet.start_node(number)
    for number in range(len(fleet.nodes)):
        await fleet.wait_for_node(number)


def count_runs(fleet: fleets.Fleet, name: str) -> int:
    return sum(run["caller_id"] == name for run in fleet.runs())


async def test_a_key_runs_once_although_the_whole_fleet_is_killed(
    tmp_path: pathlib.Path,
) -> None:
    async with fleets.Fleet(
        tmp_path, THREE_UPSTREAMS, service_ms=400
    ) as fleet:
        first = await fleet.send(0, "POST", "answered", "key-1")
        assert first.status == 200, first
        again = await resend_until_settled(fleet, 1, "answered", "key-1")
        assert again.body == first.body
        in_flight = asyncio.create_task(
            fleet.send(1, "POST", "in-flight", "key-2")
        )
        while not count_runs(fleet, "in-flight"):
            await asyncio.sleep(0.01)
        await restart_all(fleet)
        await in_flight
        again = await resend_until_settled(fleet, 2, "answered", "key-1")
        assert again.body == first.body
        await resend_until_settled(fleet, 0, "in-flight", "key-2")
        assert count_runs(fleet, "answered") == 1
        assert count_runs(fleet, "in-flight") == 1


async def list_ejected(fleet: fleets.Fleet) -> set[str]:
    ejected = set()
    for node in fleet.nodes:
        url = f"http://{node.control}/v1/upstreams"
        _, content = await fleets.request("GET", url, b"")
        for row in orjson.loads(content)["upstreams"]:
            if row["standing"] == "ejected":
                ejected.add(row["upstream"])
    return ejected


async def watch_ejected(
    fleet: fleets.Fleet, rounds: int, until: int = 2
) -> set[str]:
    """Return the upstreams that were seen ejected.

    Check that never more than one is ejected at a time.

    :param rounds: number of polls.
    :param until: stop polling when so many upstreams were seen.
    """
    seen: set[str] = set()
    for _ in range(rounds):
        ejected = await list_ejected(fleet)
        assert len(ejected) <= 1, "more ejected than the floor allows"
        seen |= ejected
        if len(seen) >= until:
            break
        await asyncio.sleep(0.25)
    return seen


async def test_a_second_stalled_upstream_is_not_ejected_under_the_floor(
    tmp_path: pathlib.Path,
) -> None:
    async with fleets.Fleet(
        tmp_path, THREE_UPSTREAMS, with_relays=False, floor_slots=14
    ) as fleet:
        load = fleets.Load(fleet, [0, 1, 2])
        await asyncio.sleep(1.0)
        first = fleet.upstreams[1].address
        await fleet.set_behaviour(1, mode="stall")
        assert await watch_ejected(fleet, 240, until=1) == {first}
        await fleet.set_behaviour(2, mode="stall")
        assert await watch_ejected(fleet, 40) <= {first}
        fleets.check_history(await load.stop(), fleet)


async def test_a_request_that_crashes_upstreams_crashes_at_most_two(
    tmp_path: pathlib.Path,
) -> None:
    async with fleets.Fleet(
        tmp_path, SIX_UPSTREAMS, with_relays=False
    ) as fleet:
        for number in range(len(SIX_UPSTREAMS)):
            await fleet.set_behaviour(
                number, mode="die", path="/visits/status/bad"
            )
        observed = [
            await fleet.send(number % 3, "GET", "bad") for number in range(9)
        ]
        crashed = [
            upstream.address
            for upstream in fleet.upstreams
            if upstream.process is not None
            and upstream.process.poll() is not None
        ]
        assert len(crashed) <= MAX_CRASHED_UPSTREAMS, observed
        assert observed[0].ran == "unknown"
        assert observed[-1].code == "crashing-request"
        assert (await fleet.send(0, "GET", "good")).status == 200
