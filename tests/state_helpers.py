"""Commands and a fake replicated log for state machine tests."""

from __future__ import annotations

import collections.abc as cabc
import typing as t

import hypothesis
from hypothesis import strategies as st

from papayastall import _control_commands as commands
from papayastall import _control_state
from papayastall import documents


def make_text(
    name: str, revision: int, floor_slots: int = 0, note: str = ""
) -> str:
    """Return the text of a small service document."""
    return (
        f'version = 1\nname = "{name}"\nrevision = {revision}\n'
        f"floor_slots = {floor_slots}\ntimeout_ms = 1000\nroutes = []\n"
        f"# {note}\n"
    )


def make_document(
    name: str, revision: int, floor_slots: int = 0, note: str = ""
) -> commands.DocumentText:
    """Return a document as a command carries it."""
    text = make_text(name, revision, floor_slots, note)
    digest = documents.compute_digest(text)
    return commands.DocumentText(name, revision, digest, floor_slots, text)


class Log:
    """Applies commands to two replicas and checks that they stay equal.

    Every ``snapshot_every`` entries, the second replica is restored from a
    snapshot of the first.
    """

    def __init__(
        self,
        machine_class: type[
            _control_state.ControlState | _control_state.ClaimGroupState
        ],
        snapshot_every: int = 7,
    ) -> None:
        self.machine = machine_class()
        self.replica = machine_class()
        self.index = 0
        self.time_ms = 0
        self._snapshot_every = snapshot_every

    def commit(
        self,
        command: commands.Command,
        observed: tuple[commands.ObservedSlots, ...] = (),
    ) -> commands.Result:
        """Apply a command to both replicas and return its result."""
        self.index += 1
        entry = commands.codec.encode(
            commands.LogEntry(1, self.time_ms, command, observed)
        )
        result = self.machine.apply(self.index, entry)
        assert result == self.replica.apply(self.index, entry)
        if self.index % self._snapshot_every == 0:
            self.replica.restore(self.machine.snapshot())
        assert self.machine.snapshot() == self.replica.snapshot()
        return commands.codec.decode(commands.Result, result)


def check_random_examples(
    check: cabc.Callable[..., None], *strategies: st.SearchStrategy[t.Any]
) -> None:
    """Run a check on random values without shrinking failures.

    For tests that plant a fault and expect the check to fail.
    """
    given = hypothesis.given(*strategies)
    chosen = hypothesis.settings(
        max_examples=500, phases=(hypothesis.Phase.generate,)
    )
    chosen(given(check))()
