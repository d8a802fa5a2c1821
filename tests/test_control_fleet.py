"""Tests of config, claims and permits over real replicas, with failures.

Replicas and nodes are killed and restarted, and messages are lost. The tests
guard against accepted changes that are lost or undone, a key that is granted
twice, and permits that together take a service below its floor.
"""

from __future__ import annotations

import math
import pathlib
import random
import typing as t

import anyio
import msgspec.structs
import pytest

from papayastall import _claim_state
from papayastall import _config
from papayastall import _config_service
from papayastall import _control_commands as commands
from papayastall import _decision_types
from papayastall import clock
from papayastall import exceptions
from papayastall import ingress
from papayastall import owner
from tests import control_fleet
from tests import linearizability
from tests import state_helpers

pytestmark = pytest.mark.anyio

NODES = [f"10.0.1.{number}:1" for number in range(3)]


def make_source(
    name: str, revision: int, note: str = "", floor_slots: int = 0
) -> _config_service.DocumentSource:
    text = state_helpers.make_text(name, revision, floor_slots, note)
    return _config_service.DocumentSource(f"{name}.toml", text)


async def apply(
    node: control_fleet.Node, *sources: _config_service.DocumentSource
) -> int:
    outcome = await node.config.apply_documents(sources)
    return outcome.index


async def test_changes_reach_every_node_although_the_leader_is_killed(
    tmp_path: pathlib.Path,
) -> None:
    async def body(fleet: control_fleet.Fleet) -> None:
        node = fleet.nodes[NODES[0]]
        index = await apply(node, make_source("visits", 1))
        assert await node.config.wait_for(index, 10.0) == []
        await fleet.kill(await fleet.find_leader())
        index = await apply(node, make_source("visits", 2))
        assert await node.config.wait_for(index, 10.0) == []
        for other in fleet.nodes.values():
            assert other.in_force == {"visits": 2}

    await control_fleet.run_fleet(tmp_path, 3, body)


async def test_wait_names_the_nodes_that_lack_the_change(
    tmp_path: pathlib.Path,
) -> None:
    async def body(fleet: control_fleet.Fleet) -> None:
        for other in fleet.nodes:
            fleet.network.cuts.add((NODES[2], other))
        node = fleet.nodes[NODES[0]]
        index = await apply(node, make_source("visits", 1))
        assert await node.config.wait_for(index, 1.5) == [NODES[2]]
        fleet.network.cuts.clear()
        assert await node.config.wait_for(index, 10.0) == []

    await control_fleet.run_fleet(tmp_path, 3, body)


async def test_a_node_restarted_after_many_changes_has_the_last_one(
    tmp_path: pathlib.Path,
) -> None:
    async def body(fleet: control_fleet.Fleet) -> None:
        node = fleet.nodes[NODES[0]]
        await apply(node, make_source("visits", 1))
        await fleet.kill(NODES[1])
        for revision in range(2, 202):
            index = await apply(node, make_source("visits", revision))
        restarted = await fleet.start(NODES[1])
        assert not restarted.config.is_ready()
        while not restarted.config.is_ready():
            await anyio.sleep(0.02)
        assert restarted.index == index
        assert restarted.in_force == {"visits": 201}

    await control_fleet.run_fleet(tmp_path, 3, body)


async def test_a_node_restarts_from_its_peers_while_control_is_down(
    tmp_path: pathlib.Path,
) -> None:
    async def body(fleet: control_fleet.Fleet) -> None:
        node = fleet.nodes[NODES[0]]
        index = await apply(node, make_source("visits", 1))
        assert await node.config.wait_for(index, 10.0) == []
        for address in control_fleet.CONTROL:
            await fleet.kill(address)
        await fleet.kill(NODES[1])
        restarted = await fleet.start(NODES[1])
        while not restarted.config.is_ready():
            await anyio.sleep(0.05)
        assert restarted.in_force == {"visits": 1}
        assert node.config.is_ready()

    await control_fleet.run_fleet(tmp_path, 3, body)


async def test_a_node_that_can_not_read_a_document_does_not_serve(
    tmp_path: pathlib.Path,
) -> None:
    async def body(fleet: control_fleet.Fleet) -> None:
        node = fleet.nodes[NODES[0]]
        unreadable = state_helpers.make_document("visits", 1)
        unreadable = msgspec.structs.replace(unreadable, text="version = 99")
        stored = [_config.IndexedDocument(1, unreadable)]
        node.config.note_applied(1, stored)
        assert not node.config.is_ready()
        readable = state_helpers.make_document("visits", 2)
        node.config.note_applied(2, [_config.IndexedDocument(2, readable)])
        assert node.config.is_ready()

    await control_fleet.run_fleet(tmp_path, 1, body)


async def test_bad_documents_are_reported_together_and_none_applied(
    tmp_path: pathlib.Path,
) -> None:
    async def body(fleet: control_fleet.Fleet) -> None:
        node = fleet.nodes[NODES[0]]
        bad = _config_service.DocumentSource("a.toml", "version = 1")
        worse = _config_service.DocumentSource("b.toml", "= 1")
        with pytest.raises(exceptions.BadInputError) as caught:
            await apply(node, make_source("visits", 1), bad, worse)
        assert "a.toml" in caught.value.message
        assert "b.toml" in caught.value.message
        assert node.index == 0
        await apply(node, make_source("visits", 1))
        with pytest.raises(exceptions.ConflictError) as conflict:
            await apply(node, make_source("visits", 1, "other"))
        assert "taken by digest" in conflict.value.message

    await control_fleet.run_fleet(tmp_path, 1, body)


async def test_a_resend_through_another_node_gets_the_first_answer(
    tmp_path: pathlib.Path,
) -> None:
    async def body(fleet: control_fleet.Fleet) -> None:
        first, second = (fleet.nodes[name] for name in NODES[:2])
        deadline_s = clock.now_s() + 30.0
        token = await first.claims.claim("visits/k", 1, deadline_s)
        assert isinstance(token, str)
        with pytest.raises(exceptions.StillRunningError):
            await second.claims.claim("visits/k", 1, deadline_s)
        answer = owner.ClaimedAnswer(
            "visits/k", token, 201, [(b"a", b"b")], b"done", True
        )
        await second.claims.record(answer)
        await second.claims.close()
        for address in list(fleet.nodes):
            await fleet.kill(address)
        for address in (*control_fleet.CONTROL, NODES[1]):
            await fleet.start(address)
        again = await fleet.nodes[NODES[1]].claims.claim(
            "visits/k", 1, clock.now_s() + 30.0
        )
        assert again == ingress.RecordedAnswer(201, [(b"a", b"b")], b"done")
        with pytest.raises(exceptions.ConflictError):
            await fleet.nodes[NODES[1]].claims.claim("visits/k", 2, deadline_s)

    await control_fleet.run_fleet(tmp_path, 2, body)


async def test_without_control_a_claim_is_refused_and_not_run(
    tmp_path: pathlib.Path,
) -> None:
    async def body(fleet: control_fleet.Fleet) -> None:
        for address in control_fleet.CONTROL[:2]:
            await fleet.kill(address)
        node = fleet.nodes[NODES[0]]
        with pytest.raises(exceptions.RefusedError) as caught:
            await node.claims.claim("visits/k", 1, clock.now_s() + 1.0)
        assert caught.value.code is exceptions.ErrorCode.CLAIM_UNAVAILABLE
        for address in control_fleet.CONTROL[:2]:
            await fleet.start(address)
        await node.claims.close()
        token = await node.claims.claim("visits/k", 1, clock.now_s() + 9)
        assert isinstance(token, str)

    await control_fleet.run_fleet(tmp_path, 1, body)


async def test_concurrent_permit_requests_keep_the_floor(
    tmp_path: pathlib.Path,
) -> None:
    async def body(fleet: control_fleet.Fleet) -> None:
        nodes = [fleet.nodes[name] for name in NODES]
        index = await apply(nodes[0], make_source("visits", 1, "", 6))
        await nodes[0].config.wait_for(index, 10.0)
        for number, node in enumerate(nodes):
            node.reports = [make_report(f"u{number}")]
        await anyio.sleep(0.6)
        for number, node in enumerate(nodes):
            ask = _decision_types.AskPermit(f"u{number}", "visits", 3)
            node.permits.ask(ask)
        while sum(len(node.permits_answered) for node in nodes) < 3:
            await anyio.sleep(0.02)
        answers = [node.permits_answered[0][1] for node in nodes]
        assert answers.count(True) == 1
        holder = nodes[answers.index(True)]
        upstream = holder.permits_answered[0][0]
        holder.permits.release(
            _decision_types.ReleasePermit(upstream, "visits")
        )
        other = answers.index(False)
        state = None
        while state is not commands.PermitState.GRANTED:
            result = await nodes[other].permits.request(
                f"u{other}", "visits", commands.PermitReason.LEAVING
            )
            state = result.state
            await anyio.sleep(0.05)

    await control_fleet.run_fleet(tmp_path, 3, body)


def make_report(upstream: str) -> commands.UpstreamReport:
    return commands.UpstreamReport(
        upstream, "visits", 3, commands.UpstreamReportState.SERVING
    )


async def test_without_control_there_is_no_permit(
    tmp_path: pathlib.Path,
) -> None:
    async def body(fleet: control_fleet.Fleet) -> None:
        node = fleet.nodes[NODES[0]]
        for address in control_fleet.CONTROL:
            await fleet.kill(address)
        ask = _decision_types.AskPermit("u0", "visits", 3)
        node.permits.ask(ask)
        while not node.permits_answered:
            await anyio.sleep(0.05)
        assert node.permits_answered == [("u0", False)]

    await control_fleet.run_fleet(tmp_path, 1, body)


def step_documents(
    state: tuple[str, ...], argument: tuple[int, str]
) -> tuple[tuple[str, ...], t.Any]:
    """Model one document; the state is the note of each revision."""
    revision, note = argument
    if revision <= len(state):
        return state, state[revision - 1] == note
    if revision == len(state) + 1:
        return (*state, note), True
    return state, False


async def race_operators(
    fleet: control_fleet.Fleet, seed: int
) -> list[linearizability.Operation]:
    """Apply documents concurrently on all nodes and restart the leader."""
    history: list[linearizability.Operation] = []

    async def operate(name: str, address: str) -> None:
        rng = random.Random(f"{seed}/{name}")
        revision = 1
        for _ in range(8):
            node = fleet.nodes[address]
            argument = (revision, rng.choice((name, "same")))
            started = clock.now_s()
            try:
                await apply(node, make_source("visits", *argument))
                ended, accepted = clock.now_s(), True
            except exceptions.ConflictError:
                ended, accepted = clock.now_s(), False
            except exceptions.UnreachableError:
                ended, accepted = math.inf, False
            history.append(
                linearizability.Operation(started, ended, argument, accepted)
            )
            revision += rng.choice((0, 1))

    async with anyio.create_task_group() as tasks:
        for number, address in enumerate(NODES):
            tasks.start_soon(operate, f"op{number}", address)
        await anyio.sleep(0.05)
        leader = await fleet.find_leader()
        await fleet.kill(leader)
        await fleet.start(leader)
    return history


@pytest.mark.parametrize("seed", range(3))
async def test_histories_of_racing_operators_are_linearizable(
    tmp_path: pathlib.Path, seed: int
) -> None:
    async def body(fleet: control_fleet.Fleet) -> None:
        history = await race_operators(fleet, seed)
        no_revisions: tuple[str, ...] = ()
        assert linearizability.is_linearizable(
            history, no_revisions, step_documents
        )
        winners = {op.argument for op in history if op.result}
        assert len({revision for revision, _ in winners}) == len(winners)

    await control_fleet.run_fleet(tmp_path, 3, body)


async def test_a_history_with_a_hidden_conflict_is_not_linearizable(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        _config_service, "_raise_conflict", lambda result: None
    )

    async def body(fleet: control_fleet.Fleet) -> None:
        history = await race_operators(fleet, 0)
        no_revisions: tuple[str, ...] = ()
        assert not linearizability.is_linearizable(
            history, no_revisions, step_documents
        )

    await control_fleet.run_fleet(tmp_path, 3, body)


def step_claim(
    state: tuple[str, str], argument: tuple[str, str]
) -> tuple[tuple[str, str], t.Any]:
    """Model one key; the state is its standing and its holder or answer."""
    action, token = argument
    standing, holder = state
    match action, standing:
        case "claim", "free":
            return ("held", token), "granted"
        case "claim", "held":
            return state, "taken"
        case "claim", "answered":
            return state, holder
        case "record", "held" if holder == token:
            return ("answered", token), None
        case "release", "held" if holder == token:
            return ("free", ""), None
    return state, None


async def race_claims(
    fleet: control_fleet.Fleet, seed: int
) -> tuple[list[linearizability.Operation], list[str]]:
    """Claim one key concurrently on all nodes and restart the leader.

    :returns: the history, and the attempts whose request ran.
    """
    history: list[linearizability.Operation] = []
    runs: list[str] = []

    async def call(name: str, address: str) -> None:
        rng = random.Random(f"{seed}/{name}")
        for number in range(6):
            attempt = f"{name}.{number}"
            await attempt_once(rng, attempt, fleet.nodes[address])

    async def attempt_once(
        rng: random.Random, attempt: str, node: control_fleet.Node
    ) -> None:
        started = clock.now_s()
        result: object = "taken"
        ended = math.inf
        try:
            result = await node.claims.claim("k", 1, started + 20.0)
            ended = clock.now_s()
        except exceptions.OutcomeUnknownError:
            ended = clock.now_s()
        except exceptions.RefusedError:
            # The claim may be committed; the client releases it later.
            result = None
            note(started, math.inf, "release", attempt, None)
        if isinstance(result, ingress.RecordedAnswer):
            note(started, ended, "claim", attempt, result.body.decode())
            return
        granted = isinstance(result, str) and result != "taken"
        reply = "granted" if granted else result
        note(started, ended, "claim", attempt, reply)
        if not granted:
            return
        await anyio.sleep(rng.uniform(0, 0.05))
        started = clock.now_s()
        if rng.random() < 0.5:
            note(started, math.inf, "release", attempt, None)
            await node.claims.release("k", str(result))
            return
        runs.append(attempt)
        note(started, math.inf, "record", attempt, None)
        await node.claims.record(
            owner.ClaimedAnswer(
                "k", str(result), 201, [], attempt.encode(), True
            )
        )

    def note(
        started: float,
        ended: float,
        action: str,
        attempt: str,
        reply: object,
    ) -> None:
        history.append(
            linearizability.Operation(started, ended, (action, attempt), reply)
        )

    async with anyio.create_task_group() as tasks:
        for number, address in enumerate(NODES):
            tasks.start_soon(call, f"c{number}", address)
        await anyio.sleep(0.05)
        leader = await fleet.find_leader(1)
        await fleet.kill(leader)
        await fleet.start(leader)
    return history, runs


@pytest.mark.parametrize("seed", range(3))
async def test_histories_of_one_key_are_linearizable(
    tmp_path: pathlib.Path, seed: int
) -> None:
    async def body(fleet: control_fleet.Fleet) -> None:
        history, runs = await race_claims(fleet, seed)
        assert len(runs) <= 1
        assert linearizability.is_linearizable(
            history, ("free", ""), step_claim
        )

    await control_fleet.run_fleet(tmp_path, 3, body)


async def test_a_history_with_a_key_granted_twice_is_not_linearizable(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    original = _claim_state.ClaimTable.claim

    def claim(
        table: _claim_state.ClaimTable,
        now_ms: int,
        command: commands.Claim,
    ) -> commands.ClaimResult:
        result = original(table, now_ms, command)
        if result.state is commands.ClaimState.RUNNING:
            return commands.ClaimResult(commands.ClaimState.GRANTED)
        return result

    monkeypatch.setattr(_claim_state.ClaimTable, "claim", claim)

    async def body(fleet: control_fleet.Fleet) -> None:
        history = []
        for address in NODES[:2]:
            started = clock.now_s()
            node = fleet.nodes[address]
            token = await node.claims.claim("k", 1, started + 20.0)
            assert isinstance(token, str)
            history.append(
                linearizability.Operation(
                    started, clock.now_s(), ("claim", address), "granted"
                )
            )
        assert not linearizability.is_linearizable(
            history, ("free", ""), step_claim
        )

    await control_fleet.run_fleet(tmp_path, 3, body)
