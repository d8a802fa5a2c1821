"""Tests of the service that renews the lease on the keys, and of its wiring.

Two nodes and a control leader run on virtual time, connected by calls.
"""

from __future__ import annotations

import collections.abc as cabc
import pathlib
import random
import typing as t

import anyio
import pytest

from papayastall import _config
from papayastall import _config_service
from papayastall import _document_state
from papayastall import _peering
from papayastall import exceptions
from papayastall import freshness
from papayastall import logs
from papayastall import metrics
from papayastall import node as nodes
from papayastall import settings

# isort: split

from papayastall.freshness import _messages
from tests import config_fleet
from tests import fake_peering

LEADER = "10.0.0.1:1"
NODE = "10.0.0.2:1"
FLOOD = 2000
FLOOD_S = 4.0


class FakeConfig:
    """The configuration of a node; the leader's is always the latest."""

    def __init__(self, index: int) -> None:
        self.index = index
        self.leads = False
        self.latest: list[tuple[float, int]] = []

    async def find_index_as_leader(self) -> int | None:
        return self.index if self.leads else None

    def note_latest(self, asked_s: float, index: int) -> None:
        self.latest.append((asked_s, index))

    def use_refresh(
        self, refresh: cabc.Callable[[float], cabc.Awaitable[None]]
    ) -> None:
        self.refresh = refresh


class Pair:
    """A control leader and a node that asks it."""

    def __init__(self, tasks: t.Any) -> None:
        self.network = fake_peering.Network(tasks)
        self.configs = {LEADER: FakeConfig(3), NODE: FakeConfig(3)}
        self.configs[LEADER].leads = True
        self.counters = metrics.Metrics(None, NODE)
        self.leases = {
            address: self._make(address, config)
            for address, config in self.configs.items()
        }

    def _make(self, address: str, config: FakeConfig) -> freshness.KeyLease:
        return freshness.KeyLease(
            address,
            5.0,
            self.network.add(address),
            config,
            freshness.LeaseHooks(
                lambda: LEADER if address == LEADER else None,
                lambda: freshness.Topology(
                    (LEADER,), (NODE,), 2, address == LEADER
                ),
            ),
            random.Random(1),
            self.counters,
        )

    def cut(self) -> None:
        self.network.cuts = {(NODE, LEADER)}


def run_pair(
    body: cabc.Callable[[Pair], cabc.Awaitable[None]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            pair = Pair(tasks)
            for lease in pair.leases.values():
                await lease.start(tasks)
            await body(pair)
            tasks.cancel_scope.cancel()

    config_fleet.run_virtually(run(), monkeypatch)


# Guards against a node that is cut off and goes on accepting keys, and one
# that does not say when and why it stopped.
def test_a_node_that_is_cut_off_refuses_keys(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    changes: list[logs.StateChange] = []
    monkeypatch.setattr(logs, "log_change", changes.append)

    async def check(pair: Pair) -> None:
        lease = pair.leases[NODE]
        with pytest.raises(exceptions.RefusedError):
            lease.check()
        assert lease.age_ms() == -1.0
        await anyio.sleep(1.0)
        lease.check()
        pair.cut()
        await anyio.sleep(5.0)
        with pytest.raises(exceptions.RefusedError) as caught:
            lease.check()
        assert caught.value.code is exceptions.ErrorCode.KEYS_UNCONFIRMED
        assert caught.value.retry_after_s is not None
        pair.leases[LEADER].check()
        pair.network.cuts = set()
        # The last query before the cut was healed is without an answer.
        await anyio.sleep(3.0)
        lease.check()

    run_pair(check, monkeypatch)
    states = [change.after for change in changes if change.subject == NODE]
    assert states == ["confirmed", "unconfirmed", "confirmed"]


def test_refusals_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    async def check(pair: Pair) -> None:
        with pytest.raises(exceptions.RefusedError):
            pair.leases[NODE].check()
        totals = pair.counters.totals()
        assert totals[(metrics.Counter.KEYS_UNCONFIRMED, None)] == 1

    run_pair(check, monkeypatch)


# Guards against a lease on a configuration that lacks the latest change.
def test_a_later_index_does_not_renew_the_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(pair: Pair) -> None:
        await anyio.sleep(1.0)
        pair.configs[LEADER].index = 4
        await anyio.sleep(2.0)
        pair.leases[NODE].check()
        await anyio.sleep(4.0)
        with pytest.raises(exceptions.RefusedError):
            pair.leases[NODE].check()
        pair.configs[NODE].index = 4
        pair.leases[NODE].check()

    run_pair(check, monkeypatch)


# Guards against a query for each request of a flood with unknown keys.
def test_a_flood_of_unknown_keys_costs_few_queries(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    queries = 0

    async def check(pair: Pair) -> None:
        peering = pair.network.nodes[LEADER]
        handler = peering._calls[_peering.Channel.FRESHNESS]

        async def count(peer: str, body: bytes) -> bytes:
            nonlocal queries
            queries += 1
            return await handler(peer, body)

        peering.handle_calls(_peering.Channel.FRESHNESS, count)
        refresh = pair.configs[NODE].refresh
        for _ in range(FLOOD):
            now_s = anyio.current_time()
            await refresh(now_s - 0.8)
            latest_s, _ = pair.configs[NODE].latest[-1]
            assert latest_s >= now_s - 0.8
            await anyio.sleep(FLOOD_S / FLOOD)

    run_pair(check, monkeypatch)
    assert queries / FLOOD_S < 4.0


# Guards against a flood of unknown keys whose requests all wait for control
# while it can't be reached, instead of being refused at once.
def test_a_refresh_that_failed_is_not_repeated_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(pair: Pair) -> None:
        await anyio.sleep(1.0)
        pair.cut()
        await anyio.sleep(3.0)
        refresh = pair.configs[NODE].refresh
        started_s = anyio.current_time()
        await refresh(started_s - 0.8)
        failed_s = anyio.current_time()
        assert failed_s > started_s
        for _ in range(FLOOD):
            await refresh(anyio.current_time() - 0.8)
        assert anyio.current_time() == failed_s
        pair.network.cuts = set()
        await anyio.sleep(3.0)
        await refresh(anyio.current_time() - 0.1)
        latest_s, _ = pair.configs[NODE].latest[-1]
        assert latest_s >= anyio.current_time() - 0.1

    run_pair(check, monkeypatch)


# Guards against a flood of unknown keys that asks control's leader, or all
# replicas while there is none, and against 401 without recent knowledge.
def test_a_config_is_the_latest_only_by_the_knowledge_of_the_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(pair: Pair) -> None:
        asked: list[str] = []

        async def note_call(peer: str, _body: bytes) -> bytes:
            asked.append(peer)
            return b""

        peering = pair.network.nodes[LEADER]
        peering.handle_calls(_peering.Channel.CONFIG, note_call)
        config = _config_service.ConfigService(
            NODE,
            pair.network.nodes[NODE],
            t.cast(t.Any, None),
            (LEADER,),
            lambda: [LEADER],
            lambda index, changed: None,
            random.Random(1),
        )
        known: list[tuple[float, int]] = []

        async def refresh(known_s: float) -> None:
            for latest_s, index in known:
                config.note_latest(latest_s, index)

        config.use_refresh(refresh)
        await anyio.sleep(10.0)
        assert not await config.is_latest()
        known.append((anyio.current_time() - 1.5, 0))
        assert not await config.is_latest()
        known.append((anyio.current_time() - 0.5, 0))
        assert await config.is_latest()
        known.append((anyio.current_time() - 0.4, 1))
        await anyio.sleep(0.6)
        known.append((anyio.current_time() - 0.1, 1))
        assert not await config.is_latest()
        assert asked == []

    run_pair(check, monkeypatch)


class LeadingHost:
    """A control replica that leads its group."""

    async def read_barrier(self, _group: int, _timeout_s: float) -> None:
        return


# Guards against a replica that lost its disk, leads a group that was founded
# anew and answers with the index that it fetched from other nodes.
def test_a_leader_answers_with_the_index_of_its_own_group(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(pair: Pair) -> None:
        config = _config_service.ConfigService(
            NODE,
            pair.network.nodes[NODE],
            t.cast(t.Any, None),
            (LEADER,),
            lambda: [LEADER],
            lambda index, changed: None,
            random.Random(1),
        )
        config.use_host(t.cast(t.Any, LeadingHost()))
        listener = config.make_listener()
        fetch = config._controller.observe(0.0, LEADER, 500)[0]
        config._controller.fetched(
            0.0, fetch, _config.FetchedDocuments(_config.MESSAGE_VERSION, 500)
        )
        assert config.index == 500
        listener.note_change(_document_state.ConfigChange(3, 0, ()))
        assert await config.find_index_as_leader() == 3
        listener.note_change(_document_state.ConfigChange(501, 3, ()))
        assert await config.find_index_as_leader() == config.index == 501

    run_pair(check, monkeypatch)


@pytest.mark.parametrize("body", [b"", b"\x02", b"\x01" * 40])
def test_messages_of_another_form_are_refused(body: bytes) -> None:
    with pytest.raises(exceptions.ProtocolError):
        _messages.decode_query(body)
    with pytest.raises(exceptions.ProtocolError):
        _messages.decode_reply(body)


def test_an_age_is_never_rounded_down() -> None:
    reply = _messages.decode_reply(
        _messages.encode_reply(_messages.Reply(7, 1.2345678))
    )
    assert reply.age_s is not None
    assert 1.2345678 <= reply.age_s < 1.23457
    unknown = _messages.Reply(0, None)
    assert _messages.decode_reply(_messages.encode_reply(unknown)) == unknown


SETTINGS = """
version = 1
caller_address = "127.0.0.1:7001"
control_address = "127.0.0.1:7002"
link_address = "127.0.0.1:7003"
gossip_address = "127.0.0.1:7004"
failure_domain = "a"
region = "a"
seeds = ["127.0.0.1:7004"]
control_replicas = ["127.0.0.1:7005"]
insecure = true
"""


@pytest.mark.parametrize("line", ["", "key_revocation_ms = 5000"])
def test_a_node_has_a_lease_only_where_its_settings_ask_for_it(
    line: str,
) -> None:
    node = nodes.Node(
        settings.parse_node_settings(SETTINGS + line, pathlib.Path("a.toml"))
    )
    assert (node.key_lease is not None) is bool(line)
    has_gauge = metrics.Gauge.KEY_LEASE_AGE in node._read_gauges()
    assert has_gauge is bool(line)
