"""Tests of the quotas of nodes whose messages pass through a fake network."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import typing as t

import anyio
import pytest

from papayastall import _peering
from papayastall import clock
from papayastall import exceptions
from papayastall import metrics
from papayastall import quotas
from papayastall.quotas import _leases
from papayastall.quotas import _service
from tests import fake_peering

LIMITS = {f"team-{number}": quotas.Limits(5.0, 5.0, 1) for number in range(80)}
CAPACITY = int(quotas.Bounds().capacity(LIMITS["team-0"]))
MEMBERS = {f"10.0.0.{number}:1": f"d{number}" for number in range(3)}


class Nodes:
    """The quotas of three nodes and what they count."""

    def __init__(self, network: fake_peering.Network) -> None:
        self.network = network
        self.counters = {
            address: metrics.Metrics(None, address) for address in MEMBERS
        }
        self.quotas = {
            address: quotas.Quotas(
                address,
                network.add(address),
                quotas.Bounds(),
                lambda: MEMBERS,
                self.counters[address],
            )
            for address in MEMBERS
        }

    async def admit(self, team: str, address: str) -> str:
        """Return the code of the refusal of a request; "" if it runs."""
        try:
            await self.quotas[address].admit(team, clock.now_s() + 1.0)
        except exceptions.RefusedError as error:
            # A shorter time, as the header states it, would be too early.
            assert error.retry_after_s is not None
            assert float(f"{error.retry_after_s:.2f}") > 0.0
            return error.code.value
        return ""


@contextlib.asynccontextmanager
async def run_nodes(
    monkeypatch: pytest.MonkeyPatch, *, has_limits: bool = True
) -> cabc.AsyncIterator[Nodes]:
    """Run three nodes; their slots have holders whose buckets are filled."""
    monkeypatch.setattr(_leases, "QUIET_S", 0.0)
    monkeypatch.setattr(_leases, "SETTLE_S", 0.0)
    monkeypatch.setattr(_leases, "LEARN_S", 0.3)
    monkeypatch.setattr(_leases, "CLAIM_INTERVAL_S", 0.05)
    async with anyio.create_task_group() as tasks:
        nodes = Nodes(fake_peering.Network(tasks))
        for quota in nodes.quotas.values():
            if has_limits:
                quota.set_limits(LIMITS)
            tasks.start_soon(quota.run)
        await anyio.sleep(2.0 if has_limits else 0.2)
        yield nodes
        tasks.cancel_scope.cancel()


def run(main: cabc.Callable[[], cabc.Awaitable[None]]) -> None:
    """Run a coroutine function of a test."""
    anyio.run(t.cast(t.Any, main))


def test_a_quota_is_shared_by_all_nodes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with run_nodes(monkeypatch) as nodes:
            codes = [
                await nodes.admit("team-1", address)
                for address in [*MEMBERS] * 5
            ]
            assert 5 <= codes.count("") <= CAPACITY + 1
            assert codes.count("quota-exceeded") == 15 - codes.count("")
            held = [quota.count_held() for quota in nodes.quotas.values()]
            assert sum(held) == 32
            assert await nodes.admit("no-quota", [*MEMBERS][0]) == ""

    run(main)


def test_a_node_that_reaches_nobody_says_that_it_can_not_tell(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first request is decided late, those right after it at once."""

    async def main() -> None:
        async with run_nodes(monkeypatch) as nodes:
            first, *others = MEMBERS
            for other in others:
                nodes.network.cuts |= {(first, other), (other, first)}
            await anyio.sleep(2.2)
            codes = [await nodes.admit("team-1", first) for _ in range(5)]
            assert set(codes) <= {"", "quota-undecided"}
            assert codes.count("") <= 1
            begun_s = clock.now_s()
            await nodes.admit("team-1", first)
            assert clock.now_s() - begun_s < 0.05
            assert await nodes.admit("team-1", others[0]) == ""

    run(main)


def test_counted_teams_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with run_nodes(monkeypatch) as nodes:
            address = [*MEMBERS][0]
            for team in LIMITS:
                for _ in range(CAPACITY + 3):
                    await nodes.admit(team, address)
            totals = nodes.counters[address].totals()
            refused = {
                team: count
                for (counter, team), count in totals.items()
                if counter is metrics.Counter.QUOTA_REFUSALS
            }
            assert len(refused) == _service.MAX_COUNTED_TEAMS + 1
            assert refused[_service.OTHER_TEAMS] >= 16

    run(main)


def test_the_first_quotas_of_a_running_fleet_refuse_nobody_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They are binding one window after all nodes have them."""

    monkeypatch.setattr(_service, "FIRST_TABLE_S", 0.0)

    async def main() -> None:
        async with run_nodes(monkeypatch, has_limits=False) as nodes:
            for quota in nodes.quotas.values():
                quota.set_limits({})
                quota.set_limits(LIMITS)
            address = [*MEMBERS][0]
            assert await nodes.admit("team-1", address) == ""
            restarted = quotas.Quotas(
                "10.0.0.0:1",
                nodes.network.add("10.0.0.0:1"),
                quotas.Bounds(),
                lambda: MEMBERS,
                nodes.counters[address],
            )
            restarted.set_limits(LIMITS)
            assert restarted._free_until_s < clock.now_s()

    run(main)


def test_no_message_ends_a_task(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with run_nodes(monkeypatch) as nodes:
            first, second, _ = MEMBERS
            peering = nodes.network.nodes[first]
            for body in (b"", b"{}", b'["vote",7,1]', b'["claim",1,1,true,0]'):
                with contextlib.suppress(exceptions.ProtocolError):
                    await peering.call(
                        second, _peering.Channel.QUOTA, body, 1.0
                    )
            assert await nodes.admit("team-1", second) == ""

    run(main)


# Guards against a node that starts, reads an older table without quotas and
# then lets everything run for a window.
def test_quotas_that_follow_an_older_table_are_in_force_at_once() -> None:
    member = [*MEMBERS][0]
    network = fake_peering.Network(t.cast(t.Any, None))
    quota = quotas.Quotas(
        member,
        network.add(member),
        quotas.Bounds(),
        lambda: MEMBERS,
        metrics.Metrics(None, member),
    )
    quota.set_limits({})
    quota.set_limits(LIMITS)
    assert quota._free_until_s < clock.now_s()
