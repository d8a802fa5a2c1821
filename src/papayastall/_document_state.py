"""Replicated documents, applied atomically.

Of several texts for one revision, the first committed one is accepted.
"""

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
    """An accepted revision, kept to recognize a command sent again."""

    revision: int
    digest: str
    index: int


class StoredDocument(msgspec.Struct, frozen=True):
    """A document in force and its latest revisions, oldest first."""

    document: commands.DocumentText
    index: int
    history: tuple[StoredRevision, ...]


class ConfigChange(msgspec.Struct, frozen=True):
    """Documents that were put in force together.

    :param index: log index of the change; the indexes of successive changes
        grow, with gaps.
    :param previous_index: index of the previous change.
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
        """Return the document with this name, if any."""
        return self._documents.get(name)

    def list_documents(self) -> list[StoredDocument]:
        """Return all documents, sorted by name."""
        return [self._documents[name] for name in sorted(self._documents)]

    def apply(
        self, index: int, command: commands.ApplyDocuments
    ) -> tuple[commands.DocumentsResult, ConfigChange | None]:
        """Put all documents of a command in force, or none."""
        states = [self._check_revision(doc) for doc in command.documents]
        names = {doc.name for doc in command.documents}
        if len(names) < len(command.documents) or not names:
            states = [_State.CONFLICT] * len(states)
        accepted = bool(names) and _State.CONFLICT not in states
        if not accepted:
            states = [
                _State.NOT_APPLIED if state is _State.APPLIED else state
                for state in states
            ]
        changed = tuple(
            doc
            for doc, state in zip(command.documents, states, strict=True)
            if state is _State.APPLIED
        )
        change = self.put(index, changed) if changed else None
        result = commands.DocumentsResult(
            accepted=accepted,
            index=self._find_index(command) if accepted else self.index,
            verdicts=tuple(
                self._make_verdict(doc, state)
                for doc, state in zip(command.documents, states, strict=True)
            ),
        )
        return result, change

    def _check_revision(self, document: commands.DocumentText) -> _State:
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
        changed: tuple[commands.DocumentText, ...],
        max_revisions: int = MAX_REVISIONS_KEPT,
    ) -> ConfigChange:
        """Put documents in force whose revisions are the next ones.

        :param index: index of the change.
        :param changed: the documents.
        :param max_revisions: accepted revisions to keep of each document.
        """
        assert index > self.index, "the config index must grow"
        for document in changed:
            stored = self._documents.get(document.name)
            history = stored.history if stored else ()
            assert all(
                known.revision < document.revision for known in history
            ), "a revision must not be accepted twice"
            known = StoredRevision(document.revision, document.digest, index)
            self._documents[document.name] = StoredDocument(
                document, index, (*history, known)[-max_revisions:]
            )
        change = ConfigChange(index, self.index, changed)
        self.index = index
        return change

    def _find_index(self, command: commands.ApplyDocuments) -> int:
        """Return the index at which the last of the documents changed."""
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
