"""The state machines of the replicated groups.

They are deterministic: they take the time only from committed entries.
"""

from __future__ import annotations

import msgspec

from papayastall import _claim_state
from papayastall import _control_commands as commands
from papayastall import _document_state
from papayastall import _permit_state
from papayastall import _route_state
from papayastall import exceptions

__all__ = [
    "ChangeListener",
    "ClaimGroupState",
    "ControlState",
    "ReplicatedClock",
]

SNAPSHOT_VERSION = 1


class ControlSnapshot(msgspec.Struct, frozen=True):
    """Snapshot of group 0."""

    version: int
    time_ms: int
    documents: tuple[_document_state.StoredDocument, ...] = ()
    owners: tuple[_permit_state.StoredOwner, ...] = ()
    upstreams: tuple[_permit_state.StoredUpstream, ...] = ()


class ClaimSnapshot(msgspec.Struct, frozen=True):
    """Snapshot of a group of claims; each claim is encoded separately."""

    version: int
    time_ms: int
    claims: tuple[bytes, ...] = ()


class ChangeListener:
    """Receives config changes in the order in which they are applied."""

    def note_change(self, change: _document_state.ConfigChange) -> None:
        """Process one applied change."""

    def note_restore(self, documents: _document_state.DocumentTable) -> None:
        """Process the documents of a restored snapshot."""


class ReplicatedClock:
    """Replicated time in milliseconds, advanced by the leaders.

    A leader adds the time that passed on its own monotonic clock since it
    last adopted the replicated time. The replicated time may therefore run
    slow, but never fast.
    """

    def __init__(self) -> None:
        self._reference_ms = 0
        self._reference_s: float | None = None

    def read(self, now_s: float, applied_ms: int) -> int:
        """Return the time for a new entry.

        :param now_s: time of this process's monotonic clock.
        :param applied_ms: time of the last entry applied on this replica.
        """
        elapsed_s = (
            0.0 if self._reference_s is None else now_s - self._reference_s
        )
        time_ms = self._reference_ms + int(elapsed_s * 1000)
        if applied_ms > time_ms or self._reference_s is None:
            self._reference_ms = applied_ms
            self._reference_s = now_s
            time_ms = applied_ms
        return time_ms


class ControlState:
    """State machine of group 0: documents and permits."""

    def __init__(self, listener: ChangeListener | None = None) -> None:
        self.listener = listener or ChangeListener()
        self.documents = _document_state.DocumentTable()
        self.permits = _permit_state.PermitTable()
        self.time_ms = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed entry and return its encoded result."""
        entry = commands.decode_entry(command)
        self.time_ms = max(self.time_ms, entry.time_ms)
        self.permits.expire(self.time_ms)
        return commands.codec.encode(self._apply(index, entry))

    def _apply(self, index: int, entry: commands.LogEntry) -> commands.Result:
        match entry.command:
            case commands.Command(apply_documents=apply) if apply:
                result, change = self.documents.apply(index, apply)
                if change is not None:
                    self.listener.note_change(change)
                return commands.Result(documents=result)
            case commands.Command(change_routes=routes) if routes:
                outcome, change = _route_state.change_routes(
                    self.documents, index, routes
                )
                if change is not None:
                    self.listener.note_change(change)
                return commands.Result(routes=outcome)
            case commands.Command(report_upstreams=report) if report:
                return self.permits.report(self.time_ms, report)
            case commands.Command(ask_permit=ask) if ask:
                return self._ask_permit(index, ask, entry.observed)
        raise _unknown_command_error()

    def _ask_permit(
        self,
        index: int,
        ask: commands.AskPermit,
        observed: tuple[commands.ObservedSlots, ...],
    ) -> commands.Result:
        stored = self.documents.find(ask.service_name)
        return self.permits.ask(
            index,
            self.time_ms,
            ask,
            stored.document.floor_slots if stored else None,
            stored.index if stored else 0,
            observed,
        )

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return commands.codec.encode(
            ControlSnapshot(
                SNAPSHOT_VERSION,
                self.time_ms,
                tuple(self.documents.list_documents()),
                tuple(self.permits.list_owners()),
                tuple(self.permits.list_upstreams()),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        snapshot = commands.codec.decode(ControlSnapshot, data)
        _require_version(snapshot.version)
        documents = _document_state.DocumentTable(snapshot.documents)
        assert documents.index >= self.documents.index, (
            "a snapshot must not lower the config index"
        )
        self.documents = documents
        self.permits = _permit_state.PermitTable(
            snapshot.owners, snapshot.upstreams
        )
        self.time_ms = snapshot.time_ms
        self.listener.note_restore(documents)


class ClaimGroupState:
    """State machine of a group of claims."""

    def __init__(self) -> None:
        self.claims = _claim_state.ClaimTable()
        self.time_ms = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed entry and return its encoded result."""
        entry = commands.decode_entry(command)
        self.time_ms = max(self.time_ms, entry.time_ms)
        self.claims.expire(self.time_ms)
        result = self._apply(entry.command)
        return commands.codec.encode(commands.Result(claim=result))

    def _apply(self, command: commands.Command) -> commands.ClaimResult:
        match command:
            case commands.Command(claim=claim) if claim:
                return self.claims.claim(self.time_ms, claim)
            case commands.Command(record_outcome=record) if record:
                return self.claims.record(self.time_ms, record)
            case commands.Command(release_claim=release) if release:
                return self.claims.release(self.time_ms, release)
        raise _unknown_command_error()

    def snapshot(self) -> bytes:
        """Return the whole state."""
        claims = tuple(self.claims.encode_claims())
        return commands.codec.encode(
            ClaimSnapshot(SNAPSHOT_VERSION, self.time_ms, claims)
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        snapshot = commands.codec.decode(ClaimSnapshot, data)
        _require_version(snapshot.version)
        self.claims = _claim_state.ClaimTable(
            commands.codec.decode(_claim_state.StoredClaim, data)
            for data in snapshot.claims
        )
        self.time_ms = snapshot.time_ms


def _require_version(version: int) -> None:
    if version != SNAPSHOT_VERSION:
        raise exceptions.ProtocolError(
            exceptions.ErrorCode.STORAGE_DAMAGED,
            f"snapshot of version {version}; upgrade this replica",
            step="restore",
        )


def _unknown_command_error() -> exceptions.ProtocolError:
    return exceptions.ProtocolError(
        exceptions.ErrorCode.BAD_FRAME,
        "a committed command is of another group; upgrade this replica",
        step="apply",
    )
