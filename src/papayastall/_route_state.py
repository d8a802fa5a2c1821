"""The replicated route table: one accepted change per base version.

The table is stored as a document, so that it is distributed to the nodes
as service documents are.
"""

from __future__ import annotations

from papayastall import _control_commands as commands
from papayastall import _document_state
from papayastall import exceptions
from papayastall import route_table

__all__ = ["ROUTES_NAME", "change_routes", "current_table"]

ROUTES_NAME = "@routes"
"""Name of the document that holds the table; not a valid service name."""

MAX_CHANGE_HISTORY = 2048
"""Accepted changes that are remembered, so that a resend is acknowledged
again: enough for several days."""

_State = commands.RoutesState


def current_table(
    documents: _document_state.DocumentTable,
) -> route_table.RouteTable:
    """Return the table in force; an empty one of version 0 at first."""
    stored = documents.find(ROUTES_NAME)
    if stored is None:
        return route_table.RouteTable()
    return route_table.decode_table(stored.document.text)


def change_routes(
    documents: _document_state.DocumentTable,
    index: int,
    command: commands.ChangeRoutes,
) -> tuple[commands.RoutesResult, _document_state.ConfigChange | None]:
    """Apply a change of the table, or return why it was refused."""
    stored = documents.find(ROUTES_NAME)
    for known in stored.history if stored else ():
        if known.digest == command.digest:
            state = _State.ALREADY_APPLIED
            return commands.RoutesResult(state, known.index), None
    try:
        change = route_table.decode_change(_read_text(command))
        table = route_table.apply_change(current_table(documents), change)
    except exceptions.ConflictError as error:
        return _refuse(_State.CONFLICT, documents, error), None
    except exceptions.PapayastallError as error:
        return _refuse(_State.INVALID, documents, error), None
    document = commands.DocumentText(
        name=ROUTES_NAME,
        revision=stored.document.revision + 1 if stored else 1,
        digest=command.digest,
        floor_slots=0,
        text=route_table.encode_table(table),
    )
    config_change = documents.put(index, (document,), MAX_CHANGE_HISTORY)
    return commands.RoutesResult(_State.APPLIED, index), config_change


def _read_text(command: commands.ChangeRoutes) -> str:
    try:
        return command.read_text()
    except ValueError as error:
        raise exceptions.ProtocolError(
            exceptions.ErrorCode.BAD_FRAME,
            f"the change can't be inflated: {error}; send it again",
            step="decode-routes",
        ) from error


def _refuse(
    state: commands.RoutesState,
    documents: _document_state.DocumentTable,
    error: exceptions.PapayastallError,
) -> commands.RoutesResult:
    return commands.RoutesResult(state, documents.index, error.message)
