"""The config in force on a node: which index, and what to fetch from whom.

Each document carries the index of its last change, so the documents whose
index is above a given one are what a node lacks; no log of changes is kept.
"""

from __future__ import annotations

import collections.abc as cabc

import msgspec

from papayastall import _control_commands as commands

__all__ = [
    "ConfigController",
    "ConfigUpdate",
    "Fetch",
    "FetchDocuments",
    "FetchedDocuments",
    "IndexNotice",
    "IndexedDocument",
    "MESSAGE_VERSION",
]

MESSAGE_VERSION = 1
FETCH_TIMEOUT_S = 1.0
FREEZE_S = 5.0
CONFIRM_INTERVAL_S = 0.2
"""Below a tick of a node that is not ready: it asks again at each of them,
as its links to control are being made at the first."""
CONTROL_FIRST_S = 2.0
MEMBERS_SETTLED_S = 3.0
MAX_CONFIRM_FETCHES = 16
MAX_PAGE_BYTES = 192 * 1024


class IndexedDocument(msgspec.Struct, frozen=True):
    """A document with the index of its last change."""

    index: int
    document: commands.DocumentText


class FetchDocuments(msgspec.Struct, frozen=True):
    """Asks a peer for the documents changed after an index.

    :param confirm: a control leader must make sure that it leads.
    """

    version: int
    after_index: int
    confirm: bool = False


class FetchedDocuments(msgspec.Struct, frozen=True):
    """A page of documents in the order of their index.

    :param index: that the page reaches; in force at the peer if no more.
    :param authoritative: the peer led control when it answered.
    :param confirmed: the peer serves by this config.
    """

    version: int
    index: int
    documents: tuple[IndexedDocument, ...] = ()
    more: bool = False
    authoritative: bool = False
    confirmed: bool = False


class IndexNotice(msgspec.Struct, frozen=True):
    """Tells a peer that a config index is in force here."""

    version: int
    index: int


class Fetch(msgspec.Struct, frozen=True):
    """Ask this peer for the documents changed after an index.

    :param confirmation: number of the confirmation that it is for; zero
        for an ordinary fetch.
    """

    peer: str
    after_index: int
    confirmation: int = 0


class ConfigUpdate(msgspec.Struct, frozen=True):
    """Put these documents in force together."""

    index: int
    documents: tuple[commands.DocumentText, ...]


class ConfigController:
    """Decides what to fetch, and whether this node may serve.

    A node serves once it has heard control's leader, or most of the
    members, since it started or was frozen, and holds all they had.

    :param control: addresses of the control replicas.
    """

    def __init__(
        self, node: str, control: cabc.Sequence[str], now_s: float
    ) -> None:
        self.index = 0
        self.seen_index = 0
        self._node = node
        self._control = [peer for peer in control if peer != node]
        self._documents: dict[str, IndexedDocument] = {}
        self._pages: list[IndexedDocument] = []
        self._fetching: Fetch | None = None
        self._fetch_started_s = now_s
        self._peer_indexes: dict[str, int] = {}
        self._members: set[str] = set()
        self._members_grew_s = now_s
        self._tick_s = now_s
        self._confirmation = 0
        self._confirm_round = 0
        self._start_confirmation(now_s)

    def _start_confirmation(self, now_s: float) -> None:
        self._confirmed = False
        self._confirmation += 1
        self._confirm_started_s = now_s
        self._confirm_sent_s: float | None = None
        self._heard: set[str] = set()
        self._needed_index: int | None = None

    def is_ready(self, now_s: float) -> bool:
        """Return whether this node may serve by its config."""
        return self._confirmed and now_s - self._tick_s < FREEZE_S

    def set_control(self, control: cabc.Sequence[str]) -> None:
        """Set the control replicas to ask."""
        self._control = [peer for peer in control if peer != self._node]

    def find_peer_index(self, peer: str) -> int:
        """Return the highest index that a peer is known to have."""
        return self._peer_indexes.get(peer, 0)

    def list_documents(self) -> list[commands.DocumentText]:
        """Return the documents in force, in the order of their index."""
        return [stored.document for stored in self._documents.values()]

    def tick(self, now_s: float, members: cabc.Iterable[str]) -> list[Fetch]:
        """Go on with what is due; call it several times a second.

        :param members: addresses of the live members.
        """
        if now_s - self._tick_s >= FREEZE_S:
            self._start_confirmation(now_s)
        self._tick_s = now_s
        self._note_members(now_s, set(members) - {self._node})
        fetches = self._retry_fetch(now_s)
        if not self._confirmed:
            fetches += self._ask_confirmation(now_s)
        return fetches

    def observe(self, now_s: float, peer: str, index: int) -> list[Fetch]:
        """Take in the index that a frame of a peer carried."""
        if index > self._peer_indexes.get(peer, 0):
            self._peer_indexes[peer] = index
        self.seen_index = max(self.seen_index, index)
        if index <= self.index or self._fetching is not None:
            return []
        return [self._start_fetch(now_s, peer)]

    def fetched(
        self, now_s: float, fetch: Fetch, answer: FetchedDocuments
    ) -> tuple[ConfigUpdate | None, list[Fetch]]:
        """Take in a peer's answer; return what is now in force."""
        self.note_peer_index(fetch.peer, answer)
        if fetch.confirmation:
            self._note_heard(fetch, answer)
            self._check_confirmed(now_s)
            return None, self.observe(now_s, fetch.peer, answer.index)
        if fetch != self._fetching:
            return None, []
        self._pages += answer.documents
        if answer.more and answer.index > fetch.after_index:
            self._fetch_started_s = now_s
            self._fetching = Fetch(fetch.peer, answer.index)
            return None, [self._fetching]
        pages, self._pages = self._pages, []
        self._fetching = None
        update = self._put_in_force(answer.index, pages)
        self._check_confirmed(now_s)
        return update, []

    def failed(self, fetch: Fetch) -> None:
        """Take in that a peer did not answer."""
        if fetch == self._fetching:
            self._fetching = None
            self._pages = []
            self._peer_indexes.pop(fetch.peer, None)

    def note_applied(
        self, now_s: float, index: int, stored: list[IndexedDocument]
    ) -> ConfigUpdate | None:
        """Take in documents that the control replica here applied."""
        self.seen_index = max(self.seen_index, index)
        update = self._put_in_force(index, stored)
        self._check_confirmed(now_s)
        return update

    def note_authoritative(self, now_s: float, index: int) -> None:
        """Take in that the control replica here led at an index."""
        self._needed_index = max(self._needed_index or 0, index)
        self._check_confirmed(now_s)

    def answer(
        self, request: FetchDocuments, authoritative: bool
    ) -> FetchedDocuments:
        """Answer a peer that asks for documents."""
        lacking: list[IndexedDocument] = []
        for stored in reversed(self._documents.values()):
            if stored.index <= request.after_index:
                break
            lacking.append(stored)
        lacking.reverse()
        page = [] if request.confirm else _cut_page(lacking)
        more = len(page) < len(lacking) and not request.confirm
        return FetchedDocuments(
            MESSAGE_VERSION,
            page[-1].index if more else self.index,
            tuple(page),
            more,
            authoritative,
            self._confirmed,
        )

    def note_peer_index(self, peer: str, answer: FetchedDocuments) -> None:
        """Remember a peer's index without starting a fetch."""
        known = self._peer_indexes.get(peer, 0)
        self._peer_indexes[peer] = max(known, answer.index)
        self.seen_index = max(self.seen_index, answer.index)

    def _put_in_force(
        self, index: int, stored: list[IndexedDocument]
    ) -> ConfigUpdate | None:
        if index <= self.index:
            return None
        changed: dict[str, commands.DocumentText] = {}
        for item in sorted(stored, key=lambda item: item.index):
            name = item.document.name
            known = self._documents.pop(name, None)
            if known is not None and known.index >= item.index:
                self._documents[name] = known
                continue
            assert (
                known is None
                or known.document.revision < item.document.revision
            ), "a document never goes back to an older revision"
            self._documents[name] = item
            changed[name] = item.document
        self._documents = dict(
            sorted(self._documents.items(), key=lambda pair: pair[1].index)
        )
        self.index = index
        return ConfigUpdate(index, tuple(changed.values()))

    def _start_fetch(self, now_s: float, peer: str) -> Fetch:
        self._pages = []
        self._fetch_started_s = now_s
        self._fetching = Fetch(peer, self.index)
        return self._fetching

    def _retry_fetch(self, now_s: float) -> list[Fetch]:
        if self._fetching is not None:
            if now_s - self._fetch_started_s < FETCH_TIMEOUT_S:
                return []
            self.failed(self._fetching)
        ahead = [
            peer
            for peer, index in self._peer_indexes.items()
            if index > self.index
        ]
        if not ahead:
            return []
        best = max(ahead, key=lambda peer: self._peer_indexes[peer])
        return [self._start_fetch(now_s, best)]

    def _note_members(self, now_s: float, members: set[str]) -> None:
        if members - self._members:
            self._members_grew_s = now_s
        self._members = members
        for peer in list(self._peer_indexes):
            if peer not in members and peer not in self._control:
                del self._peer_indexes[peer]

    def _ask_confirmation(self, now_s: float) -> list[Fetch]:
        sent_s = self._confirm_sent_s
        if sent_s is not None and now_s - sent_s < CONFIRM_INTERVAL_S:
            return []
        self._confirm_sent_s = now_s
        self._check_confirmed(now_s)
        peers = list(self._control)
        if now_s - self._confirm_started_s >= CONTROL_FIRST_S:
            peers += self._choose_unheard()
        return [Fetch(peer, self.index, self._confirmation) for peer in peers]

    def _choose_unheard(self) -> list[str]:
        """Return some members to ask, others at each call."""
        others = sorted(self._members - self._heard - set(self._control))
        if not others:
            return []
        start = self._confirm_round * MAX_CONFIRM_FETCHES % len(others)
        self._confirm_round += 1
        return (others[start:] + others[:start])[:MAX_CONFIRM_FETCHES]

    def _note_heard(self, fetch: Fetch, answer: FetchedDocuments) -> None:
        if fetch.confirmation != self._confirmation:
            return
        if answer.authoritative:
            needed = max(self._needed_index or 0, answer.index)
            self._needed_index = needed
        elif answer.confirmed and fetch.peer in self._members:
            self._heard.add(fetch.peer)

    def _check_confirmed(self, now_s: float) -> None:
        if self._confirmed or self.index < self.seen_index:
            return
        if self._needed_index is not None:
            self._confirmed = self.index >= self._needed_index
            return
        settled = now_s - self._members_grew_s >= MEMBERS_SETTLED_S
        heard = len(self._heard & self._members)
        self._confirmed = settled and 2 * heard > len(self._members) > 0


def _cut_page(lacking: list[IndexedDocument]) -> list[IndexedDocument]:
    """Return a first part that fits a frame."""
    size_bytes = 0
    for position, stored in enumerate(lacking):
        size_bytes += len(stored.document.text.encode())
        if size_bytes > MAX_PAGE_BYTES and position:
            return lacking[:position]
    return lacking
