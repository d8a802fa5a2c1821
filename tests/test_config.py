"""Tests of the config controller: changes spread, and are never undone."""

from __future__ import annotations

import random
import typing as t

import hypothesis
from hypothesis import strategies as st
import pytest

from papayastall import _config
from papayastall import _control_commands as commands
from tests import state_helpers

CONTROL = ("c0", "c1", "c2")
IN_FORCE_LIMIT_S = 2.0
"""The users' bound from the acknowledgement of a change."""


class Fleet:
    """Config controllers of some nodes, any of which can be down.

    ``accepted`` holds the documents of the replicated state; control node
    ``c0`` leads.
    """

    def __init__(self, nodes: int, seed: int = 0) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.accepted: dict[str, _config.IndexedDocument] = {}
        self.index = 0
        self.down: set[str] = set()
        self.ready_indexes: dict[str, int] = {}
        self.controllers: dict[str, _config.ConfigController] = {}
        self.pending: list[tuple[str, _config.Fetch]] = []
        names = [*CONTROL, *(f"n{number}" for number in range(nodes))]
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a node with an empty config."""
        self.controllers[name] = _config.ConfigController(
            name, CONTROL, self.now_s
        )
        self.down.discard(name)

    def apply(self, *names: str, index: int | None = None) -> None:
        """Make control accept a change of these documents."""
        self.index = index or self.index + 1
        for name in names:
            known = self.accepted.get(name)
            revision = known.document.revision + 1 if known else 1
            self.accepted[name] = _config.IndexedDocument(
                self.index, state_helpers.make_document(name, revision)
            )

    def tick(self) -> None:
        """Advance all nodes by a quarter of a second."""
        self.now_s += 0.25
        live = [name for name in self.controllers if name not in self.down]
        if "c0" in live:
            leader = self.controllers["c0"]
            stored = list(self.accepted.values())
            leader.note_applied(self.now_s, self.index, stored)
            leader.note_authoritative(self.now_s, self.index)
        for name in live:
            controller = self.controllers[name]
            fetches = controller.tick(self.now_s, live)
            self.pending += [(name, fetch) for fetch in fetches]
            peer = self.rng.choice(live)
            fetches = controller.observe(
                self.now_s, peer, self.controllers[peer].index
            )
            self.pending += [(name, fetch) for fetch in fetches]
        self.deliver()
        for name in live:
            self.check(name)

    def deliver(self) -> None:
        """Answer all pending fetches, and those that follow from them."""
        while self.pending:
            name, fetch = self.pending.pop(0)
            if name in self.down:
                continue
            controller = self.controllers[name]
            if fetch.peer in self.down or fetch.peer == name:
                fetches = controller.failed(self.now_s, fetch)
                self.pending += [(name, more) for more in fetches]
                continue
            request = _config.FetchDocuments(
                1, fetch.after_index, fetch.confirmation > 0
            )
            answer = self.controllers[fetch.peer].answer(
                request, fetch.peer == "c0"
            )
            _, fetches = controller.fetched(self.now_s, fetch, answer)
            self.pending += [(name, more) for more in fetches]

    def check(self, name: str) -> None:
        """Check the config of a node, if it may serve.

        Its index never falls, and at the last index it has all documents.
        """
        controller = self.controllers[name]
        if not controller.is_ready(self.now_s):
            return
        assert controller.index >= self.ready_indexes.get(name, 0)
        self.ready_indexes[name] = controller.index
        if controller.index == self.index:
            held = {doc.name: doc for doc in controller.list_documents()}
            accepted = {n: item.document for n, item in self.accepted.items()}
            assert held == accepted

    def check_converges(self, ticks: int) -> None:
        """Check that all running nodes are up to date after some ticks."""
        for _ in range(ticks):
            self.tick()
        for name, controller in self.controllers.items():
            if name not in self.down:
                assert controller.index == self.index, name
                assert controller.is_ready(self.now_s), name


def test_a_change_reaches_every_node() -> None:
    fleet = Fleet(20)
    fleet.apply("visits", "intake")
    fleet.check_converges(20)


def test_a_restarted_node_is_ready_only_with_the_latest_config() -> None:
    fleet = Fleet(6)
    fleet.apply("visits")
    fleet.check_converges(20)
    fleet.down.add("n0")
    for number in range(300):
        fleet.apply(f"s{number % 40}")
        fleet.tick()
    controller = fleet.controllers["n0"]
    fleet.now_s += 100.0
    assert not controller.is_ready(fleet.now_s)
    fleet.start("n0")
    while not fleet.controllers["n0"].is_ready(fleet.now_s):
        fleet.tick()
    assert fleet.controllers["n0"].index == fleet.index


def test_a_paused_node_does_not_serve_when_it_is_resumed() -> None:
    fleet = Fleet(3)
    fleet.apply("visits")
    fleet.check_converges(20)
    controller = fleet.controllers["n0"]
    resumed_s = fleet.now_s + _config.MAX_TICK_GAP_S
    assert not controller.is_ready(resumed_s)
    fetches = controller.tick(resumed_s, ["c0", "n1"])
    assert not controller.is_ready(resumed_s)
    assert {fetch.peer for fetch in fetches} >= {"c0"}


# Guards against a process that serves, after a pause, with a config that was
# replaced during it for longer than the users' bound.
def test_a_pause_as_long_as_the_bound_ends_the_confirmation() -> None:
    fleet = Fleet(3)
    fleet.apply("visits")
    fleet.check_converges(20)
    controller = fleet.controllers["n0"]
    assert not controller.is_ready(fleet.now_s + IN_FORCE_LIMIT_S)


def test_an_answer_to_a_fetch_before_a_pause_confirms_nothing() -> None:
    controller = _config.ConfigController("n0", ("c0",), 0.0)
    (fetch,) = controller.tick(0.0, ["c0"])
    controller.tick(_config.MAX_TICK_GAP_S, ["c0"])
    late = _config.FetchedDocuments(1, 0, authoritative=True)
    controller.fetched(_config.MAX_TICK_GAP_S, fetch, late)
    assert not controller.is_ready(_config.MAX_TICK_GAP_S)


def test_while_control_is_down_nodes_serve_and_peers_confirm() -> None:
    fleet = Fleet(8)
    fleet.apply("visits")
    fleet.check_converges(20)
    fleet.down |= set(CONTROL)
    fleet.check_converges(4 * 3600)
    fleet.down.add("n0")
    fleet.tick()
    fleet.start("n0")
    fleet.check_converges(40)


def test_while_control_is_down_a_minority_of_peers_is_not_enough() -> None:
    controller = _config.ConfigController("n0", ("c0",), 0.0)
    members = [f"n{number}" for number in range(1, 10)]
    now_s = 0.0
    while now_s < 30:
        now_s += 0.25
        for fetch in controller.tick(now_s, members):
            confirmed = fetch.peer in ("n1", "n2", "n3", "n4")
            answer = _config.FetchedDocuments(1, 0, confirmed=confirmed)
            controller.fetched(now_s, fetch, answer)
    assert not controller.is_ready(now_s)


def test_a_fleet_that_restarts_without_control_serves_nothing() -> None:
    fleet = Fleet(5)
    fleet.down |= set(CONTROL)
    for _ in range(200):
        fleet.tick()
    ready = [c.is_ready(fleet.now_s) for c in fleet.controllers.values()]
    assert not any(ready)


def test_documents_of_one_change_come_in_force_together() -> None:
    source = _config.ConfigController("c0", CONTROL, 0.0)
    text = "#" * 60_000
    stored = [
        _config.IndexedDocument(
            7 if number in (0, 9) else number + 10,
            commands.DocumentText(f"s{number}", 1, "d", 0, text),
        )
        for number in range(10)
    ]
    source.note_applied(0.0, 30, stored)
    node = _config.ConfigController("n0", CONTROL, 0.0)
    fetches = node.observe(0.0, "c0", 30)
    updates = []
    pages = 0
    while fetches:
        (fetch,) = fetches
        request = _config.FetchDocuments(1, fetch.after_index)
        answer = source.answer(request, False)
        assert len(commands.codec.encode(answer)) < 256 * 1024
        update, fetches = node.fetched(0.0, fetch, answer)
        updates.append(update)
        pages += 1
    assert pages > 2
    assert updates[:-1] == [None] * (pages - 1)
    assert updates[-1] is not None and len(updates[-1].documents) == 10
    assert node.index == 30


def make_config(index: int) -> list[_config.IndexedDocument]:
    """Return the documents of a config with this index."""
    document = state_helpers.make_document("visits", index)
    return [_config.IndexedDocument(index, document)]


# Guards against a node that waits for one member while others could answer.
def test_a_late_answer_is_hedged_with_other_members() -> None:
    node = _config.ConfigController("n0", CONTROL, 0.0)
    first = node.observe(0.0, "n1", 7)
    assert [fetch.peer for fetch in first] == ["n1"]
    assert node.observe(0.1, "n2", 7) == []
    second = node.hedge(0.3, first[0])
    assert [fetch.peer for fetch in second] == ["n2"]
    answer = _config.FetchedDocuments(1, 7, tuple(make_config(7)))
    update, more = node.fetched(0.4, second[0], answer)
    assert update is not None and update.index == 7 and more == []
    assert node.failed(1.0, first[0]) == []
    assert node.hedge(1.0, first[0]) == []


# Guards against a table that never arrives because each of its answers needs
# longer than a member may be silent.
def test_an_answer_after_a_stall_is_used() -> None:
    node = _config.ConfigController("n0", CONTROL, 0.0)
    (first,) = node.observe(0.0, "n1", 7)
    (second,) = node.hedge(0.3, first) or node.observe(0.3, "n2", 7)
    assert node.stall(1.0, first) == []
    answer = _config.FetchedDocuments(1, 7, tuple(make_config(7)))
    update, more = node.fetched(1.2, first, answer)
    assert update is not None and update.index == 7 and more == []
    assert node.fetched(1.3, second, answer) == (None, [])


# Guards against a node that leaves out the only member with the next change,
# since its answer to the last one was slow.
def test_a_stall_does_not_delay_the_fetch_of_the_next_change() -> None:
    node = _config.ConfigController("n0", CONTROL, 0.0)
    (first,) = node.observe(0.0, "n1", 7)
    assert node.stall(1.0, first) == []
    (second,) = node.observe(1.1, "n2", 7)
    answer = _config.FetchedDocuments(1, 7, tuple(make_config(7)))
    node.fetched(1.2, second, answer)
    (third,) = node.observe(1.3, "n1", 8)
    assert third.peer == "n1"


# Guards against stalled fetches that keep a node from asking others.
def test_stalled_fetches_do_not_count_as_open() -> None:
    node = _config.ConfigController("n0", CONTROL, 0.0)
    members = [f"n{number}" for number in range(1, 6)]
    fetches: list[_config.Fetch] = []
    for number, member in enumerate(members):
        fetches += node.observe(0.3 * number, member, 7)
        if number < _config.MAX_CONCURRENT_FETCHES - 1:
            node.hedge(0.3 * (number + 1), fetches[-1])
    assert len(fetches) == _config.MAX_CONCURRENT_FETCHES
    (fourth,) = node.stall(1.0, fetches[0]) or node.hedge(1.0, fetches[-1])
    assert fourth.peer not in {fetch.peer for fetch in fetches}


# Guards against a node that asks again and again a member whose own messages
# arrive, but that does not answer.
def test_a_member_that_does_not_answer_is_asked_after_the_others() -> None:
    node = _config.ConfigController("n0", CONTROL, 0.0)
    (fetch,) = node.observe(0.0, "n1", 7)
    assert node.failed(1.0, fetch) == []
    assert node.observe(1.1, "n1", 8) == []
    (fetch,) = node.observe(1.2, "n2", 7)
    assert fetch.peer == "n2"
    (fetch,) = node.failed(2.2, fetch)
    assert fetch.peer == "n1"


# Guards against a node that keeps asking a member that was restarted and is
# behind since then.
def test_a_member_that_fell_behind_is_not_asked_again() -> None:
    node = _config.ConfigController("n0", CONTROL, 0.0)
    (fetch,) = node.observe(0.0, "n1", 7)
    assert node.observe(0.0, "n2", 7) == []
    behind = _config.FetchedDocuments(1, 0)
    update, (fetch,) = node.fetched(0.1, fetch, behind)
    assert update is None and fetch.peer == "n2"
    assert node.fetched(0.2, fetch, behind) == (None, [])
    assert node.tick(0.3, ["n1", "n2"])[0].confirmation


def make_confirmed() -> _config.ConfigController:
    """Return the controller of a node that serves with index 7."""
    node = _config.ConfigController("n0", ("c0",), 0.0)
    node.note_applied(0.0, 7, make_config(7))
    node.note_authoritative(0.0, 7)
    assert node.is_ready(0.0)
    return node


# Guards against a node that serves for longer than the users' bound although
# a later config exists, and that counts anew from each one that it gets.
def test_a_node_that_stays_behind_stops_serving() -> None:
    node = make_confirmed()
    for tenths in range(1, 30):
        now_s = tenths / 10
        node.tick(now_s, ["n1"])
        node.observe(now_s, "n1", 7 + tenths)
        if tenths == 10:
            node.note_applied(now_s, 8, make_config(8))
    assert not node.is_ready(2.0)
    node.note_applied(3.0, 36, make_config(36))
    assert node.is_ready(3.0)


# Guards against a node that did not run for a while and counts the age of what
# it then reads from the time at which it reads it.
@pytest.mark.parametrize("ticks_first", [False, True])
def test_an_index_read_after_a_stall_counts_from_its_start(
    *, ticks_first: bool
) -> None:
    node = make_confirmed()
    node.tick(0.5, ["n1"])
    if ticks_first:
        node.tick(2.2, ["n1"])
    node.observe(2.25, "n1", 8)
    node.tick(2.3, ["n1"])
    assert not node.is_ready(2.3)
    node.note_applied(2.4, 8, make_config(8))
    assert node.is_ready(2.4)
    node.tick(2.8, ["n1"])
    node.tick(3.3, ["n1"])
    node.observe(3.3, "n1", 9)
    assert node.is_ready(3.8)


# Guards against a fleet that serves nothing while control is away: the replica
# that has a later config is a seed, and its address is kept.
def test_a_later_config_of_an_unreachable_replica_ends_no_service() -> None:
    connected = {"c0"}
    node = _config.ConfigController(
        "n0", ("c0",), 0.0, lambda peer: peer in connected
    )
    node.note_applied(0.0, 7, make_config(7))
    node.note_authoritative(0.0, 7)
    node.observe(0.1, "c0", 8)
    node.tick(1.7, ["n1"])
    assert not node.is_ready(1.7)
    connected.clear()
    assert node.is_ready(1.7)


# Guards against a fleet that serves nothing because the only member with a
# later config is gone, as while control is away.
def test_a_later_config_that_no_member_has_ends_no_service() -> None:
    node = make_confirmed()
    node.observe(0.1, "n1", 8)
    node.tick(1.7, ["n1"])
    assert not node.is_ready(1.7)
    node.tick(1.8, [])
    assert node.is_ready(1.8)


steps = st.lists(
    st.tuples(
        st.sampled_from(
            ["apply", "stop", "start", "tick", "stop control", "start control"]
        ),
        st.integers(0, 4),
    ),
    min_size=5,
    max_size=40,
)


def check_fleet(seed: int, actions: list[tuple[str, int]]) -> None:
    fleet = Fleet(5, seed)
    for action, number in actions:
        node = f"n{number}"
        match action:
            case "apply" if "c0" not in fleet.down:
                fleet.apply(f"s{number}", f"s{(number + 1) % 5}")
            case "stop":
                fleet.down.add(node)
            case "start":
                fleet.start(node)
            case "stop control":
                fleet.down |= set(CONTROL)
            case "start control":
                fleet.down -= set(CONTROL)
        for _ in range(4):
            fleet.tick()
    fleet.down -= set(CONTROL)
    fleet.check_converges(80)


@hypothesis.given(st.integers(0, 1000), steps)
def test_random_stops_and_cuts_never_take_the_config_back(
    seed: int, actions: list[tuple[str, int]]
) -> None:
    check_fleet(seed, actions)


@pytest.mark.parametrize("method", ["_check_confirmed", "_put_in_force"])
def test_the_random_run_finds_planted_faults(
    method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    original = getattr(_config.ConfigController, method)

    def confirm_at_once(self: _config.ConfigController, now_s: float) -> None:
        self._confirmed = True

    def drop_documents(
        self: _config.ConfigController,
        now_s: float,
        index: int,
        stored: list[t.Any],
    ) -> t.Any:
        return original(self, now_s, index, stored[:1])

    faulty = (
        confirm_at_once if method == "_check_confirmed" else drop_documents
    )
    monkeypatch.setattr(_config.ConfigController, method, faulty)
    with pytest.raises(AssertionError):
        state_helpers.check_random_examples(
            check_fleet, st.integers(0, 1000), steps
        )


# Guards against a fleet without control whose questions keep all processors
# busy, so that its replicas elect no leader any more.
def test_a_node_without_control_asks_one_round_a_second() -> None:
    control = tuple(f"c{number}" for number in range(11))
    members = [*control, *(f"n{number}" for number in range(88))]
    controller = _config.ConfigController("n0", control, 0.0)
    asked: list[tuple[float, str]] = []
    for step in range(240):
        now_s = step * 0.25
        for fetch in controller.tick(now_s, members):
            assert fetch.confirmation
            asked.append((now_s, fetch.peer))
            controller.failed(now_s, fetch)
    early = {peer for now_s, peer in asked if now_s < 6.0}
    assert early == set(members) - {"n0"}
    late = [peer for now_s, peer in asked if 30.0 <= now_s < 50.0]
    assert len(late) <= 20 * (len(control) + _config.MAX_MEMBERS_PER_ROUND)
