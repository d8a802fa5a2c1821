"""Tests of the permit table: healthy capacity stays above the floor."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
import pytest

from papayastall import _control_commands as commands
from papayastall import _control_state
from papayastall import _permit_state
from tests import state_helpers

_Report = commands.UpstreamReportState
_State = commands.PermitState


class PermitDriver:
    """Sends commands of owners of one service, ``visits``, to the table."""

    def __init__(self, floor_slots: int) -> None:
        self.log = state_helpers.Log(_control_state.ControlState)
        document = state_helpers.make_document("visits", 1, floor_slots)
        apply = commands.ApplyDocuments((document,))
        self.log.commit(commands.Command(apply_documents=apply))
        self.sequences: dict[str, int] = {}

    def report(
        self,
        owner: str,
        *reports: tuple[str, int, _Report],
        full: bool = True,
        epoch: int = 1,
        sequence: int | None = None,
    ) -> commands.ReportState:
        command = commands.ReportUpstreams(
            owner,
            epoch,
            self._next(owner) if sequence is None else sequence,
            full,
            tuple(
                commands.UpstreamReport(upstream, "visits", slots, state)
                for upstream, slots, state in reports
            ),
        )
        result = self.log.commit(commands.Command(report_upstreams=command))
        assert result.report is not None
        return result.report.state

    def ask(
        self,
        owner: str,
        upstream: str,
        *,
        epoch: int = 1,
        sequence: int | None = None,
        config_index: int = 1,
        observed: tuple[commands.ObservedSlots, ...] = (),
    ) -> commands.PermitState:
        command = commands.AskPermit(
            owner,
            epoch,
            self._next(owner) if sequence is None else sequence,
            upstream,
            "visits",
            commands.PermitReason.EJECTION,
            config_index,
        )
        result = self.log.commit(
            commands.Command(ask_permit=command), observed
        )
        assert result.permit is not None
        return result.permit.state

    def _next(self, owner: str) -> int:
        self.sequences[owner] = self.sequences.get(owner, 0) + 1
        return self.sequences[owner]

    @property
    def permits(self) -> _permit_state.PermitTable:
        assert isinstance(self.log.machine, _control_state.ControlState)
        return self.log.machine.permits


def make_driver(floor_slots: int = 6) -> PermitDriver:
    driver = PermitDriver(floor_slots)
    for number in "123":
        driver.report(f"o{number}", (f"u{number}", 3, _Report.SERVING))
    return driver


def test_a_permit_that_would_go_below_the_floor_is_denied() -> None:
    driver = make_driver(floor_slots=6)
    assert driver.ask("o1", "u1") is _State.GRANTED
    assert driver.ask("o2", "u2") is _State.FLOOR
    assert driver.permits.count_healthy_slots("visits") == 6


def test_upstreams_steered_away_at_once_are_not_all_ejected() -> None:
    driver = make_driver(floor_slots=6)
    for number in "123":
        report = (f"u{number}", 3, _Report.NOT_SERVING)
        driver.report(f"o{number}", report, full=False)
    for number in "123":
        assert driver.ask(f"o{number}", f"u{number}") is _State.FLOOR


def test_a_permit_ends_when_its_upstream_is_reported_again() -> None:
    driver = make_driver(floor_slots=6)
    driver.ask("o1", "u1")
    driver.report("o1", ("u1", 3, _Report.SERVING), full=False)
    assert driver.ask("o2", "u2") is _State.GRANTED


def test_the_permit_of_a_dead_holder_does_not_leak() -> None:
    """The permit ends when another owner reports the upstream."""
    driver = make_driver(floor_slots=6)
    driver.ask("o1", "u1")
    driver.report("o9", ("u1", 3, _Report.SERVING))
    assert driver.ask("o2", "u2") is _State.GRANTED
    assert driver.report("o1", ("u1", 3, _Report.NOT_SERVING), full=False)
    assert driver.permits.count_healthy_slots("visits") == 6


def test_an_owner_with_an_expired_lease_does_not_count() -> None:
    driver = make_driver(floor_slots=3)
    driver.log.time_ms += _permit_state.OWNER_LEASE_MS
    driver.report("o2", full=False)
    assert driver.permits.list_upstreams() == []
    assert driver.report("o1", full=False) is commands.ReportState.RESYNC
    driver.report("o1", ("u1", 3, _Report.SERVING))
    assert driver.ask("o1", "u1") is _State.FLOOR


def test_ejecting_an_upstream_that_does_not_serve_costs_no_capacity() -> None:
    driver = make_driver(floor_slots=6)
    driver.report("o1", ("u1", 3, _Report.NOT_SERVING))
    assert driver.ask("o1", "u1") is _State.GRANTED
    assert driver.ask("o2", "u2") is _State.FLOOR


def test_suspected_upstreams_are_not_ejected_below_the_floor() -> None:
    driver = make_driver(floor_slots=6)
    driver.report("o1", ("u1", 3, _Report.SUSPECTED), full=False)
    assert driver.ask("o2", "u2") is _State.FLOOR
    driver.report("o2", ("u2", 3, _Report.SUSPECTED), full=False)
    assert driver.ask("o1", "u1") is _State.FLOOR
    driver.report("o2", ("u2", 3, _Report.SERVING), full=False)
    assert driver.ask("o1", "u1") is _State.GRANTED


def test_owners_that_the_leader_does_not_see_do_not_count() -> None:
    driver = make_driver(floor_slots=6)
    unseen = (commands.ObservedSlots("o3", 0),)
    assert driver.ask("o1", "u1", observed=unseen) is _State.FLOOR
    assert driver.ask("o1", "u1") is _State.GRANTED


def test_a_repeated_command_gets_the_first_result() -> None:
    """A command may be sent again because its answer was lost."""
    driver = make_driver(floor_slots=6)
    assert driver.ask("o1", "u1", sequence=2) is _State.GRANTED
    assert driver.ask("o1", "u1", sequence=2) is _State.GRANTED
    driver.report("o1", ("u1", 3, _Report.SERVING), sequence=3)
    assert driver.ask("o1", "u1", sequence=2) is _State.STALE
    assert driver.permits.count_healthy_slots("visits") == 9


def test_commands_from_an_older_start_of_an_owner_are_refused() -> None:
    driver = make_driver()
    driver.report("o1", ("u1", 3, _Report.SERVING), epoch=2, sequence=1)
    assert driver.ask("o1", "u1", epoch=1, sequence=9) is _State.STALE
    assert driver.ask("o1", "u1", epoch=3, sequence=1) is _State.RESYNC


def test_an_owner_with_an_older_document_must_catch_up_first() -> None:
    driver = make_driver()
    assert driver.ask("o1", "u1", config_index=0) is _State.OLD_CONFIG


def test_a_raised_floor_holds_for_the_next_permit() -> None:
    driver = make_driver(floor_slots=3)
    document = state_helpers.make_document("visits", 2, 9)
    apply = commands.ApplyDocuments((document,))
    driver.log.commit(commands.Command(apply_documents=apply))
    index = driver.log.index
    assert driver.ask("o1", "u1", config_index=index) is _State.FLOOR


steps = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "ask",
                "serving",
                "not serving",
                "suspect",
                "gone",
                "resend",
                "move",
            ]
        ),
        st.integers(0, 3),
        st.integers(0, 1),
    ),
    min_size=5,
    max_size=40,
)


class RandomRun:
    """Concurrent owners, with an independent record of healthy upstreams."""

    def __init__(self, floor_slots: int) -> None:
        self.floor_slots = floor_slots
        self.driver = PermitDriver(floor_slots)
        self.owners = {f"u{n}": f"o{n % 2}" for n in range(4)}
        self.healthy = dict.fromkeys(self.owners, True)
        self.asked: dict[str, tuple[str, int]] = {}
        for number in range(2):
            self.driver.report(f"o{number}")
        for upstream in self.owners:
            self._report(upstream, _Report.SERVING)

    def step(self, action: str, upstream: str, other: str) -> None:
        match action:
            case "ask":
                self._ask(upstream, other)
            case "resend" if self.owners[upstream] in self.asked:
                owner = self.owners[upstream]
                asked, sequence = self.asked[owner]
                self.driver.ask(owner, asked, sequence=sequence)
            case "not serving":
                self._report(upstream, _Report.NOT_SERVING)
            case "suspect":
                self._report(upstream, _Report.SUSPECTED)
            case "gone":
                self._report(upstream, _Report.GONE)
            case "serving":
                self._report(upstream, _Report.SERVING)
            case "move":
                self.owners[upstream] = other
                self._report(upstream, _Report.SERVING)
        counted = self.driver.permits.count_healthy_slots("visits")
        assert counted == self.total()

    def total(self) -> int:
        return 3 * sum(self.healthy.values())

    def _report(self, upstream: str, state: _Report) -> None:
        owner = self.owners[upstream]
        self.driver.report(owner, (upstream, 3, state), full=False)
        self.healthy[upstream] = state is _Report.SERVING

    def _ask(self, upstream: str, unseen: str) -> None:
        owner = self.owners[upstream]
        observed = (commands.ObservedSlots(unseen, 0),)
        state = self.driver.ask(owner, upstream, observed=observed)
        self.asked[owner] = (upstream, self.driver.sequences[owner])
        if state is _State.GRANTED:
            took_away = self.healthy[upstream]
            self.healthy[upstream] = False
            assert not took_away or self.total() >= self.floor_slots


floors = st.integers(0, 12)


def check_races(floor_slots: int, actions: list[tuple[str, int, int]]) -> None:
    run = RandomRun(floor_slots)
    for action, upstream, other in actions:
        run.step(action, f"u{upstream}", f"o{other}")


@hypothesis.given(floors, steps)
def test_random_races_never_go_below_the_floor(
    floor_slots: int, actions: list[tuple[str, int, int]]
) -> None:
    check_races(floor_slots, actions)


def test_the_random_run_finds_a_table_that_ignores_the_floor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        _permit_state.PermitTable,
        "_check_floor",
        lambda *arguments: _State.GRANTED,
    )
    with pytest.raises(AssertionError):
        state_helpers.check_random_examples(check_races, floors, steps)


def test_the_random_run_finds_a_repeated_ask_that_is_granted_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_permit_state, "_is_stale", lambda *_: False)
    monkeypatch.setattr(_permit_state, "_find_repeated", lambda *_: None)
    with pytest.raises(AssertionError):
        state_helpers.check_random_examples(check_races, floors, steps)
