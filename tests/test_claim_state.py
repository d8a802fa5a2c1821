"""Tests of claims: a key runs at most once, and resends get its state."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
import msgspec.structs
import pytest

from papayastall import _claim_state
from papayastall import _claims
from papayastall import _control_commands as commands
from papayastall import _control_state
from papayastall import ingress
from tests import state_helpers

_State = commands.ClaimState
KEY = b"k" * 16


class Claims:
    """One group of claims, with short forms of the commands."""

    def __init__(self) -> None:
        self.log = state_helpers.Log(_control_state.ClaimGroupState)

    def claim(
        self, token: bytes, digest: bytes = b"d", key: bytes = KEY
    ) -> commands.ClaimResult:
        return self._commit(
            commands.Command(claim=commands.Claim(key, token, digest, 1000))
        )

    def record(
        self, token: bytes, body: bytes = b"done", key: bytes = KEY
    ) -> commands.ClaimResult:
        answer = commands.Answer(201, (), body)
        record = commands.RecordOutcome(key, token, answer, len(body))
        return self._commit(commands.Command(record_outcome=record))

    def release(self, token: bytes, key: bytes = KEY) -> commands.ClaimResult:
        release = commands.ReleaseClaim(key, token)
        return self._commit(commands.Command(release_claim=release))

    def _commit(self, command: commands.Command) -> commands.ClaimResult:
        result = self.log.commit(command).claim
        assert result is not None
        return result

    @property
    def table(self) -> _claim_state.ClaimTable:
        assert isinstance(self.log.machine, _control_state.ClaimGroupState)
        return self.log.machine.claims


def test_a_resend_gets_running_then_answered() -> None:
    claims = Claims()
    assert claims.claim(b"a").state is _State.GRANTED
    running = claims.claim(b"b")
    assert running.state is _State.RUNNING
    assert running.retry_after_ms == 1000
    claims.record(b"a")
    answered = claims.claim(b"b")
    assert answered.state is _State.ANSWERED
    assert answered.answer == commands.Answer(201, (), b"done")


def test_a_resend_past_the_deadline_gets_unknown_and_never_runs() -> None:
    claims = Claims()
    claims.claim(b"a")
    claims.log.time_ms = 1000
    assert claims.claim(b"b").state is _State.UNKNOWN
    claims.record(b"a")
    assert claims.claim(b"b").state is _State.ANSWERED


def test_a_released_key_can_be_claimed_by_a_resend() -> None:
    claims = Claims()
    claims.claim(b"a")
    claims.release(b"a")
    assert claims.claim(b"b").state is _State.GRANTED
    assert claims.claim(b"a").state is _State.RELEASED
    assert claims.record(b"a").state is _State.NOT_HOLDER


def test_only_the_holder_can_release() -> None:
    claims = Claims()
    claims.claim(b"a")
    claims.release(b"b")
    assert claims.claim(b"c").state is _State.RUNNING


def test_a_claim_that_arrives_after_its_release_is_refused() -> None:
    claims = Claims()
    claims.release(b"a")
    assert claims.claim(b"a").state is _State.RELEASED
    assert claims.claim(b"b").state is _State.GRANTED


def test_an_answered_key_can_not_be_released() -> None:
    claims = Claims()
    claims.claim(b"a")
    claims.record(b"a")
    assert claims.release(b"a").state is _State.NOT_HOLDER
    assert claims.claim(b"b").state is _State.ANSWERED


def test_another_request_with_the_same_key_is_refused() -> None:
    claims = Claims()
    claims.claim(b"a")
    assert claims.claim(b"b", b"other").state is _State.KEY_REUSED
    claims.record(b"a")
    assert claims.claim(b"b", b"other").state is _State.KEY_REUSED


def test_a_large_answer_is_not_kept_but_its_run_is() -> None:
    claims = Claims()
    claims.claim(b"a")
    claims.record(b"a", b"x" * (_claim_state.MAX_ANSWER_BYTES + 1))
    result = claims.claim(b"b")
    assert result.state is _State.ANSWER_DROPPED
    assert claims.table.answers_bytes == 0


def test_answers_expire_before_their_claims() -> None:
    claims = Claims()
    claims.claim(b"a")
    claims.record(b"a")
    claims.log.time_ms = _claim_state.ANSWER_RETENTION_MS
    assert claims.claim(b"b").state is _State.ANSWER_DROPPED
    claims.log.time_ms = _claim_state.CLAIM_RETENTION_MS
    assert claims.claim(b"b").state is _State.GRANTED


def test_the_bytes_of_answers_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_claim_state, "MAX_TOTAL_ANSWER_BYTES", 25)
    claims = Claims()
    for number in range(4):
        key = bytes([number]) * 16
        claims.claim(b"a", key=key)
        claims.record(b"a", b"x" * 10, key=key)
    states = [claims.claim(b"b", key=bytes([n]) * 16).state for n in range(4)]
    assert states == [_State.ANSWER_DROPPED] * 2 + [_State.ANSWERED] * 2
    assert claims.table.answers_bytes == 20


def test_a_full_table_refuses_claims_and_drops_none() -> None:
    table = _claim_state.ClaimTable(max_claims=1)
    first = commands.Claim(b"1" * 16, b"a", b"d", 10)
    assert table.claim(0, first).state is _State.GRANTED
    second = msgspec.structs.replace(first, key=b"2" * 16)
    assert table.claim(0, second).state is _State.FULL
    assert table.claim(0, first).state is _State.GRANTED


def test_a_snapshot_holds_changes_since_the_previous_one() -> None:
    claims = Claims()
    claims.claim(b"a")
    claims.claim(b"a", key=b"2" * 16)
    machine = claims.log.machine
    machine.snapshot()
    claims.record(b"a")
    claims.release(b"a", key=b"2" * 16)
    other = _control_state.ClaimGroupState()
    other.restore(machine.snapshot())
    assert other.claims.list_claims() == claims.table.list_claims()


def test_stored_claims_have_the_fields_of_their_struct() -> None:
    names = set(_claim_state.StoredClaim.__struct_fields__)
    assert names == commands.codec.list_fields(_claim_state.StoredClaim)


def test_keys_are_scoped_by_service_and_team() -> None:
    keys = {
        ingress.scope_key("visits", "a/b", "c"),
        ingress.scope_key("visits", "a", "b/c"),
        ingress.scope_key("visits", "a", "c"),
        ingress.scope_key("intake", "a", "c"),
    }
    assert len(keys) == 4


def test_keys_spread_over_all_groups() -> None:
    keys = [_claims.hash_claim_key(f"visits/{n}") for n in range(400)]
    groups = [_claims.claim_group(key, 4) for key in keys]
    assert {groups.count(group) > 60 for group in range(1, 5)} == {True}
    assert set(groups) == {1, 2, 3, 4}


steps = st.lists(
    st.tuples(
        st.sampled_from(["claim", "run", "release", "lost", "late", "wait"]),
        st.integers(0, 3),
    ),
    min_size=5,
    max_size=40,
)


class RandomRun:
    """Attempts for one key whose commands are repeated and delayed.

    An attempt that is granted the claim runs once or releases the claim. Any
    earlier command of any attempt may be delivered again.
    """

    def __init__(self) -> None:
        self.claims = Claims()
        self.attempts = 0
        self.granted: list[bytes] = []
        self.runs: list[bytes] = []
        self.sent: list[tuple[str, bytes]] = []

    def step(self, action: str, number: int) -> None:
        match action:
            case "claim":
                self.claim()
            case "run" if self.granted:
                token = self.granted.pop(number % len(self.granted))
                self.runs.append(token)
                self.send("record", token)
            case "release" if self.granted:
                token = self.granted.pop(number % len(self.granted))
                self.send("release", token)
            case "lost":
                self.send("claim", self.make_token())
                self.send("release", self.sent[-1][1])
            case "late" if self.sent:
                self.deliver(*self.sent[number % len(self.sent)])
            case "wait":
                self.claims.log.time_ms += 700
        assert len(self.runs) <= 1, "a key ran more than once"

    def make_token(self) -> bytes:
        self.attempts += 1
        return bytes([self.attempts])

    def claim(self) -> None:
        token = self.make_token()
        result = self.send("claim", token)
        if result.state is _State.GRANTED:
            self.granted.append(token)
        if result.answer is not None:
            assert [result.answer.body] == self.runs

    def send(self, name: str, token: bytes) -> commands.ClaimResult:
        self.sent.append((name, token))
        return self.deliver(name, token)

    def deliver(self, name: str, token: bytes) -> commands.ClaimResult:
        match name:
            case "claim":
                return self.claims.claim(token)
            case "record":
                return self.claims.record(token, token)
        return self.claims.release(token)


def check_runs(actions: list[tuple[str, int]]) -> None:
    run = RandomRun()
    for action, number in actions:
        run.step(action, number)


@hypothesis.given(steps)
def test_random_attempts_run_a_key_at_most_once(
    actions: list[tuple[str, int]],
) -> None:
    check_runs(actions)


def test_the_random_run_finds_a_release_by_a_token_without_the_claim(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = _claim_state.ClaimTable.release

    def release(
        table: _claim_state.ClaimTable,
        now_ms: int,
        command: commands.ReleaseClaim,
    ) -> commands.ClaimResult:
        holder = table._claims[command.key].token or command.token
        command = msgspec.structs.replace(command, token=holder)
        return original(table, now_ms, command)

    monkeypatch.setattr(_claim_state.ClaimTable, "release", release)
    with pytest.raises(AssertionError):
        state_helpers.check_random_examples(check_runs, steps)


def test_the_random_run_finds_a_claim_that_expires_at_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_claim_state, "CLAIM_RETENTION_MS", 1000)
    with pytest.raises(AssertionError):
        state_helpers.check_random_examples(check_runs, steps)
