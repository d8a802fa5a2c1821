"""Replicated documents: one winner a revision, several applied as one."""

from __future__ import annotations

import collections.abc as cabc

import msgspec

from papayastall import _control_commands as commands

__all__ = [
    "ConfigChange",
    "DocumentTable",
    "StoredDocument",
    "StoredRevision",
]

MAX_REVISIONS_KEPT = 16

_State = commands.DocumentState


class StoredRevision(msgspec.Struct, frozen=True):
    """A revision that was accepted, so that a resend is known."""

    revision: int
    digest: str
    index: int


class StoredDocument(msgspec.Struct, frozen=True):
    """A document in force and its last revisions, oldest first."""

    document: commands.DocumentText
    index: int
    history: tuple[StoredRevision, ...]


class ConfigChange(msgspec.Struct, frozen=True):
    """Documents that came in force together.

    :param index: orders all changes; gaps are normal.
    :param previous_index: of the change before.
    """

    index: int
    previous_index: int
    documents: tuple[commands.DocumentText, ...]


class DocumentTable:
    """The documents in force, by name."""

    def __init__(self, documents: cabc.Iterable[StoredDocument] = ()) -> None:
        self._documents = {doc.document.name: doc for doc in documents}
        self.index = max(
            (doc.index for doc in self._documents.values()), default=0
        )

    def find(self, name: str) -> StoredDocument | None:
        """Return the document of a service."""
        return self._documents.get(name)

    def list_documents(self) -> list[StoredDocument]:
        """Return all documents, sorted by name."""
        return [self._documents[name] for name in sorted(self._documents)]

    def apply(
        self, index: int, command: commands.ApplyDocuments
    ) -> tuple[commands.DocumentsResult, ConfigChange | None]:
        """Put all documents of a command in force, or none."""
        states = [self._judge(doc) for doc in command.documents]
        names = {doc.name for doc in command.documents}
        if len(names) < len(command.documents) or not names:
            states = [_State.CONFLICT] * len(states)
        accepted = bool(names) and _State.CONFLICT not in states
        if not accepted:
            states = [
                _State.NOT_APPLIED if state is _State.APPLIED else state
                for state in states
            ]
        chosen = tuple(
            doc
            for doc, state in zip(command.documents, states, strict=True)
            if state is _State.APPLIED
        )
        change = self.put(index, chosen) if chosen else None
        result = commands.DocumentsResult(
            accepted=accepted,
            index=self._find_index(command) if accepted else self.index,
            verdicts=tuple(
                self._make_verdict(doc, state)
                for doc, state in zip(command.documents, states, strict=True)
            ),
        )
        return result, change

    def _judge(self, document: commands.DocumentText) -> _State:
        stored = self._documents.get(document.name)
        for known in stored.history if stored else ():
            if known.revision == document.revision:
                if known.digest == document.digest:
                    return _State.ALREADY_APPLIED
                return _State.CONFLICT
        current = stored.document.revision if stored else 0
        if document.revision == current + 1:
            return _State.APPLIED
        return _State.CONFLICT

    def put(
        self,
        index: int,
        chosen: tuple[commands.DocumentText, ...],
        kept_revisions: int = MAX_REVISIONS_KEPT,
    ) -> ConfigChange:
        """Put documents in force that were found to be successors."""
        assert index > self.index, "the config index only grows"
        for document in chosen:
            stored = self._documents.get(document.name)
            history = stored.history if stored else ()
            assert all(
                known.revision < document.revision for known in history
            ), "one winner a revision"
            known = StoredRevision(document.revision, document.digest, index)
            self._documents[document.name] = StoredDocument(
                document, index, (*history, known)[-kept_revisions:]
            )
        change = ConfigChange(index, self.index, chosen)
        self.index = index
        return change

    def _find_index(self, command: commands.ApplyDocuments) -> int:
        """Return the index at which the last of the documents was applied."""
        wanted = {(doc.name, doc.revision) for doc in command.documents}
        return max(
            known.index
            for doc in command.documents
            for known in self._documents[doc.name].history
            if (doc.name, known.revision) in wanted
        )

    def _make_verdict(
        self, document: commands.DocumentText, state: _State
    ) -> commands.DocumentVerdict:
        stored = self._documents.get(document.name)
        current = stored.document if stored else None
        digest = current.digest if current else ""
        for known in stored.history if stored else ():
            if known.revision == document.revision:
                digest = known.digest
        return commands.DocumentVerdict(
            name=document.name,
            revision=document.revision,
            state=state,
            current_revision=current.revision if current else 0,
            current_digest=digest,
        )
