"""Tests of replicated documents: one text per revision, all or nothing."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from papayastall import _config
from papayastall import _control_commands as commands
from papayastall import _control_state
from papayastall import _document_state
from papayastall import _permit_state
from papayastall import exceptions
from tests import state_helpers

_State = commands.DocumentState


def apply(
    log: state_helpers.Log, *documents: commands.DocumentText
) -> commands.DocumentsResult:
    command = commands.ApplyDocuments(documents)
    result = log.commit(commands.Command(apply_documents=command)).documents
    assert result is not None
    return result


def make_log() -> state_helpers.Log:
    return state_helpers.Log(_control_state.ControlState)


def test_of_two_operators_with_one_revision_the_first_wins() -> None:
    log = make_log()
    first = state_helpers.make_document("visits", 1, note="a")
    second = state_helpers.make_document("visits", 1, note="b")
    assert apply(log, first).accepted
    result = apply(log, second)
    assert not result.accepted
    (verdict,) = result.verdicts
    assert verdict.state is _State.CONFLICT
    assert verdict.current_digest == first.digest


def test_a_resend_gets_the_first_index_also_after_a_later_change() -> None:
    log = make_log()
    first = state_helpers.make_document("visits", 1)
    index = apply(log, first).index
    assert apply(log, first).index == index
    apply(log, state_helpers.make_document("visits", 2))
    again = apply(log, first)
    assert again.accepted and again.index == index
    assert again.verdicts[0].state is _State.ALREADY_APPLIED


def test_a_conflict_with_an_older_revision_names_its_digest() -> None:
    log = make_log()
    winner = state_helpers.make_document("visits", 1, note="a")
    apply(log, winner)
    apply(log, state_helpers.make_document("visits", 2))
    result = apply(log, state_helpers.make_document("visits", 1, note="b"))
    assert result.verdicts[0].current_digest == winner.digest
    assert result.verdicts[0].current_revision == 2


def test_several_documents_are_applied_all_or_none() -> None:
    log = make_log()
    visits = state_helpers.make_document("visits", 1)
    result = apply(log, visits, state_helpers.make_document("intake", 2))
    states = [verdict.state for verdict in result.verdicts]
    assert states == [_State.NOT_APPLIED, _State.CONFLICT]
    machine = log.machine
    assert isinstance(machine, _control_state.ControlState)
    assert machine.documents.index == 0
    assert machine.documents.find("visits") is None
    both = apply(log, visits, state_helpers.make_document("intake", 1))
    assert both.accepted


def test_one_name_twice_in_an_apply_is_refused() -> None:
    log = make_log()
    visits = state_helpers.make_document("visits", 1)
    assert not apply(log, visits, visits).accepted


document_sets = st.lists(
    st.builds(
        state_helpers.make_document,
        st.sampled_from(["a", "b"]),
        st.integers(1, 6),
        note=st.sampled_from(["x", "y"]),
    ),
    max_size=3,
)


@hypothesis.given(st.lists(document_sets, max_size=25))
def test_random_applies_never_lose_or_change_a_winner(
    applies: list[list[commands.DocumentText]],
) -> None:
    log = make_log()
    winners: dict[tuple[str, int], tuple[str, int]] = {}
    current: dict[str, int] = {}
    for documents in applies:
        result = apply(log, *documents)
        for document in documents if result.accepted else ():
            key = (document.name, document.revision)
            if key not in winners:
                assert document.revision == current.get(document.name, 0) + 1
                current[document.name] = document.revision
                winners[key] = (document.digest, result.index)
            assert winners[key][0] == document.digest
            assert winners[key][1] <= result.index
    machine = log.machine
    assert isinstance(machine, _control_state.ControlState)
    stored = machine.documents.list_documents()
    found = {item.document.name: item.document.revision for item in stored}
    assert found == current


def test_the_history_kept_for_resends_is_bounded() -> None:
    log = make_log()
    for revision in range(1, 40):
        document = state_helpers.make_document("visits", revision)
        assert apply(log, document).accepted
    machine = log.machine
    assert isinstance(machine, _control_state.ControlState)
    (stored,) = machine.documents.list_documents()
    assert len(stored.history) == _document_state.MAX_REVISIONS_KEPT
    too_old = state_helpers.make_document("visits", 1)
    assert not apply(log, too_old).accepted


def test_structs_have_the_fields_of_their_idl() -> None:
    targets: list[type] = [
        _config.FetchDocuments,
        _config.FetchedDocuments,
        _config.IndexedDocument,
        _control_state.ControlSnapshot,
        _control_state.ClaimSnapshot,
        _document_state.StoredDocument,
        _document_state.StoredRevision,
        _permit_state.StoredOwner,
        _permit_state.StoredUpstream,
    ]
    exported = [getattr(commands, name) for name in commands.__all__]
    targets += [item for item in exported if isinstance(item, type)]
    for target in targets:
        if issubclass(target, msgspec.Struct):
            names = set(target.__struct_fields__)
            assert names == commands.codec.list_fields(target), target


def test_a_command_of_a_later_version_stops_the_replica() -> None:
    entry = commands.LogEntry(
        commands.COMMAND_VERSION + 1, 0, commands.Command()
    )
    with pytest.raises(exceptions.ProtocolError):
        _control_state.ControlState().apply(1, commands.codec.encode(entry))
