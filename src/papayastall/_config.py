"""The config in force on a node, and what it must fetch from which peer.

Each document carries the index of its last change. The documents that a node
is missing are therefore those with an index above its own, and no log of
changes is kept.
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
    "IndexedDocument",
    "MESSAGE_VERSION",
]

MESSAGE_VERSION = 1
FETCH_HEDGE_DELAY_S = 0.3
"""Time without an answer after which another member is asked as well; most
tables pass a slow link in less."""
FETCH_STALL_S = 1.0
"""Time without an answer after which a fetch no longer counts as open. Its
answer is still used."""
FETCH_TIMEOUT_S = 5.0
"""Time for an answer, which can be long on a slow or busy link."""
MAX_CONCURRENT_FETCHES = 3
"""Fetches that are not stalled."""
FAILED_PEER_PAUSE_S = 1.0
"""Time without fetches from a member that did not answer one."""
MAX_TICK_GAP_S = 2.0
"""A node that did not tick for this long, such as a suspended process, must
confirm its config again. It is the time that nodes may take to have a new
config."""
MAX_BEHIND_S = 1.5
"""Time after the index of a later config was received, after which a node does
not serve with its own one. Shorter than the time that nodes may take to have a
new config, by the time in which its index reaches them."""
MAX_AWAITED_INDEXES = 64
STALL_S = 1.0
"""Time without a tick after which a received index may have waited for as
long to be read; a node ticks at least every half a second."""
BACKLOG_S = 0.25
"""Time in which a node reads what arrived while it did not run."""
CONFIRM_INTERVAL_S = 0.2
"""Shorter than ``UNCONFIRMED_TICK_INTERVAL_S`` of the config service, so that
a node that is not ready asks again at each tick: at the first one its links
to control are still being opened."""
LATEST_VALIDITY_S = 1.0
"""Time for which the word of control's leader is relied on; shorter than
the time that nodes may take to have a new config."""
FAST_CONFIRM_S = 5.0
SLOW_CONFIRM_INTERVAL_S = 1.0
"""Interval of questions after ``FAST_CONFIRM_S``, once all members were asked:
where a whole fleet has no confirmed config, the questions of its nodes would
keep their processors busy, and so its control replicas from an election."""
CONTROL_ONLY_S = 2.0
"""Time during which only control replicas are asked for a confirmation."""
MEMBERS_SETTLE_S = 3.0
"""Time without a new member before a majority of the members counts."""
MAX_MEMBERS_PER_ROUND = 16
"""Members, besides the control replicas, asked in one round."""
MAX_PAGE_BYTES = 192 * 1024


class IndexedDocument(msgspec.Struct, frozen=True):
    """A document with the index of its last change."""

    index: int
    document: commands.DocumentText


class FetchDocuments(msgspec.Struct, frozen=True):
    """Request to a peer for the documents changed after an index.

    :param confirm: only the peer's index and state are wanted, no documents;
        a control replica first checks whether it leads.
    """

    version: int
    after_index: int
    confirm: bool = False


class FetchedDocuments(msgspec.Struct, frozen=True):
    """A page of documents, sorted by index.

    :param index: index of the last document if ``more`` is set, else the
        index in force on the peer.
    :param more: whether more pages follow.
    :param authoritative: whether the peer led control when it answered.
    :param confirmed: whether the peer has confirmed its own config.
    """

    version: int
    index: int
    documents: tuple[IndexedDocument, ...] = ()
    more: bool = False
    authoritative: bool = False
    confirmed: bool = False


class Fetch(msgspec.Struct, frozen=True):
    """A request to send to a peer.

    :param after_index: fetch the documents changed after this index.
    :param confirmation: number of the confirmation that this fetch belongs
        to; zero for an ordinary fetch.
    :param number: tells fetches from the same peer apart.
    """

    peer: str
    after_index: int
    confirmation: int = 0
    number: int = 0


class _OpenFetch(msgspec.Struct):
    """A fetch without a complete answer, and the documents so far.

    :param started_s: when its latest page was requested.
    :param is_late: whether the answer has taken so long that another member
        may be asked as well.
    :param is_stalled: whether it has taken so long that the fetch no longer
        keeps others from being started.
    """

    started_s: float
    is_late: bool = False
    is_stalled: bool = False
    documents: list[IndexedDocument] = msgspec.field(default_factory=list)


class ConfigUpdate(msgspec.Struct, frozen=True):
    """Changed documents to put in force together.

    :param behind_s: time for which this node has known of a later index
        than its own.
    :param failed_fetches: fetches that failed in this time.
    """

    index: int
    documents: tuple[commands.DocumentText, ...]
    behind_s: float = 0.0
    failed_fetches: int = 0


class ConfigController:
    """Decides what to fetch, and whether this node may serve.

    A node may serve once its config is confirmed: since its start or its
    last pause, control's leader answered, or more than half of the other
    live members answered that their config is confirmed, and every change
    that this node knows of is in force on it.

    :param control: addresses of the control replicas.
    :param is_connected: returns whether a link to a peer is open.
    """

    def __init__(
        self,
        node: str,
        control: cabc.Sequence[str],
        now_s: float,
        is_connected: cabc.Callable[[str], bool] = lambda _peer: True,
    ) -> None:
        self._is_connected = is_connected
        self.index = 0
        self.seen_index = 0
        self._node = node
        self._control = [peer for peer in control if peer != node]
        self._documents: dict[str, IndexedDocument] = {}
        self._fetches: dict[Fetch, _OpenFetch] = {}
        self._fetch_count = 0
        self._fetch_failed_s: dict[str, float] = {}
        self._awaited_s: dict[int, float] = {}
        self._failed_fetches = 0
        self._peer_indexes: dict[str, int] = {}
        self._members: set[str] = set()
        self._member_added_s = now_s
        self._last_tick_s = now_s
        self._stall_started_s = now_s
        self._stall_ended_s = float("-inf")
        self._confirmation_number = 0
        self._confirm_round = 0
        self._latest_s = float("-inf")
        self._start_confirmation(now_s)

    def _start_confirmation(self, now_s: float) -> None:
        self._confirmed = False
        self._confirmation_number += 1
        self._confirm_started_s = now_s
        self._confirm_sent_s: float | None = None
        self._confirm_round = 0
        self._confirming_members: set[str] = set()
        self._leader_index: int | None = None

    def is_ready(self, now_s: float) -> bool:
        """Return whether this node may serve requests with its config."""
        if now_s - self._last_tick_s >= MAX_TICK_GAP_S:
            return False
        return self._confirmed and not self.is_outdated(now_s)

    def is_outdated(self, now_s: float) -> bool:
        """Return whether a later config has been available for too long.

        A later index counts only while a link to a peer that has it is open.
        Without such a source, as when control is away, the fleet goes on
        with the config that it has.
        """
        if self._behind_s(now_s) < MAX_BEHIND_S:
            return False
        return any(
            index > self.index and self._is_connected(peer)
            for peer, index in self._peer_indexes.items()
        )

    def _behind_s(self, now_s: float) -> float:
        """Return for how long the first change missing here is known."""
        return now_s - next(iter(self._awaited_s.values()), now_s)

    def is_latest(self, now_s: float) -> bool:
        """Return whether the config in force is known to be the latest.

        It is if control's leader has recently said so, and no later index is
        known.
        """
        return self.index >= self.seen_index and self._knows_latest(now_s)

    def is_behind(self, now_s: float) -> bool:
        """Return whether a later config is known from control's leader."""
        return self.index < self.seen_index and self._knows_latest(now_s)

    def _knows_latest(self, now_s: float) -> bool:
        return now_s - self._latest_s < LATEST_VALIDITY_S

    def note_latest(self, now_s: float, asked_s: float, index: int) -> None:
        """Record the latest index according to control's leader.

        :param asked_s: when the leader was asked.
        """
        self._note_seen(now_s, index)
        self._latest_s = max(self._latest_s, asked_s)

    def explain(self, now_s: float) -> dict[str, float]:
        """Return the inputs of decisions about the config, for logs."""
        return {
            "config_index": self.index,
            "highest_known_index": self.seen_index,
            "behind_ms": round(self._behind_s(now_s) * 1000),
        }

    def set_control(self, control: cabc.Sequence[str]) -> None:
        """Set the control replicas to ask."""
        self._control = [peer for peer in control if peer != self._node]

    def list_control(self) -> list[str]:
        """Return the addresses of the other control replicas."""
        return list(self._control)

    def find_peer_index(self, peer: str) -> int:
        """Return the highest known index of a peer, or zero."""
        return self._peer_indexes.get(peer, 0)

    def list_documents(self) -> list[commands.DocumentText]:
        """Return the documents in force, sorted by index."""
        return [stored.document for stored in self._documents.values()]

    def tick(self, now_s: float, members: cabc.Iterable[str]) -> list[Fetch]:
        """Return the fetches that are due; call several times a second.

        :param members: addresses of the live members.
        """
        if now_s - self._last_tick_s >= MAX_TICK_GAP_S:
            self._start_confirmation(now_s)
        if now_s - self._last_tick_s >= STALL_S:
            self._stall_started_s = self._last_tick_s
            self._stall_ended_s = now_s
        self._last_tick_s = now_s
        self._note_members(now_s, set(members) - {self._node})
        fetches = self._retry_fetch(now_s)
        if not self._confirmed:
            fetches += self._ask_confirmation(now_s)
        return fetches

    def observe(self, now_s: float, peer: str, index: int) -> list[Fetch]:
        """Record an index received from a peer; start a fetch if needed."""
        self._note_peer_index(now_s, peer, index)
        return self._fetch_if_behind(now_s)

    def fetched(
        self, now_s: float, fetch: Fetch, answer: FetchedDocuments
    ) -> tuple[ConfigUpdate | None, list[Fetch]]:
        """Process a peer's answer.

        :returns: the update, once the last page arrived, and more fetches.
        """
        self._note_peer_index(now_s, fetch.peer, answer.index)
        if fetch.confirmation:
            self._peer_indexes[fetch.peer] = answer.index
            self._note_confirmation(fetch, answer)
            self._check_confirmed(now_s)
            return None, self._fetch_if_behind(now_s)
        self._fetch_failed_s.pop(fetch.peer, None)
        open_fetch = self._fetches.pop(fetch, None)
        if open_fetch is None:
            return None, []
        open_fetch.documents += answer.documents
        if answer.more and answer.index > fetch.after_index:
            open_fetch.started_s = now_s
            open_fetch.is_late = False
            open_fetch.is_stalled = False
            return None, [
                self._open_fetch(fetch.peer, answer.index, open_fetch)
            ]
        # A peer that was restarted has an older config than before.
        self._peer_indexes[fetch.peer] = answer.index
        update = self._put_in_force(now_s, answer.index, open_fetch.documents)
        self._check_confirmed(now_s)
        return update, self._fetch_if_behind(now_s)

    def hedge(self, now_s: float, fetch: Fetch) -> list[Fetch]:
        """Ask another member as well if a fetch is still open.

        To be called ``FETCH_HEDGE_DELAY_S`` after the fetch was sent.
        """
        open_fetch = self._fetches.get(fetch)
        if open_fetch is None:
            return []
        open_fetch.is_late = True
        return self._fetch_if_behind(now_s)

    def stall(self, now_s: float, fetch: Fetch) -> list[Fetch]:
        """Ask another member instead if a fetch is still open.

        To be called ``FETCH_STALL_S`` after the fetch was sent. An answer
        that arrives later is used all the same: if a table needs longer than
        this on all links, no other answer would arrive sooner.
        """
        open_fetch = self._fetches.get(fetch)
        if open_fetch is None or open_fetch.is_stalled:
            return []
        open_fetch.is_stalled = True
        self._note_failed(now_s, fetch)
        return self._fetch_if_behind(now_s)

    def failed(self, now_s: float, fetch: Fetch) -> list[Fetch]:
        """Abandon a fetch that the peer did not answer; ask another one."""
        open_fetch = self._fetches.pop(fetch, None)
        if open_fetch is None:
            return []
        if not open_fetch.is_stalled:
            self._note_failed(now_s, fetch)
        return self._fetch_if_behind(now_s)

    def _note_failed(self, now_s: float, fetch: Fetch) -> None:
        self._failed_fetches += 1
        self._fetch_failed_s[fetch.peer] = now_s

    def note_applied(
        self, now_s: float, index: int, stored: list[IndexedDocument]
    ) -> ConfigUpdate | None:
        """Put documents in force that the local control replica applied."""
        self._note_seen(now_s, index)
        update = self._put_in_force(now_s, index, stored)
        self._check_confirmed(now_s)
        return update

    def note_authoritative(self, now_s: float, index: int) -> None:
        """Record that the local control replica led at an index."""
        self._leader_index = max(self._leader_index or 0, index)
        self._check_confirmed(now_s)

    def answer(
        self, request: FetchDocuments, authoritative: bool
    ) -> FetchedDocuments:
        """Return the answer to a peer's request for documents."""
        missing: list[IndexedDocument] = []
        for stored in reversed(self._documents.values()):
            if stored.index <= request.after_index:
                break
            missing.append(stored)
        missing.reverse()
        page = [] if request.confirm else _select_page(missing)
        more = len(page) < len(missing) and not request.confirm
        return FetchedDocuments(
            MESSAGE_VERSION,
            page[-1].index if more else self.index,
            tuple(page),
            more,
            authoritative,
            self._confirmed,
        )

    def note_answer(
        self, now_s: float, peer: str, answer: FetchedDocuments
    ) -> None:
        """Record the index in a peer's answer without starting a fetch."""
        self._note_peer_index(now_s, peer, answer.index)

    def _note_peer_index(self, now_s: float, peer: str, index: int) -> None:
        known = self._peer_indexes.get(peer, 0)
        if index > known:
            self._peer_indexes.pop(peer, None)
        self._peer_indexes[peer] = max(known, index)
        self._note_seen(now_s, index)

    def _note_seen(self, now_s: float, index: int) -> None:
        if index <= self.seen_index:
            return
        self.seen_index = index
        if len(self._awaited_s) >= MAX_AWAITED_INDEXES:
            self._awaited_s.popitem()
        self._awaited_s[index] = self._find_arrival_s(now_s)

    def _find_arrival_s(self, now_s: float) -> float:
        """Return the earliest time at which data read now may have arrived."""
        if now_s - self._last_tick_s >= STALL_S:
            return self._last_tick_s
        if now_s - self._stall_ended_s < BACKLOG_S:
            return self._stall_started_s
        return now_s

    def _put_in_force(
        self, now_s: float, index: int, stored: list[IndexedDocument]
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
            ), "a document must not go back to an older revision"
            self._documents[name] = item
            changed[name] = item.document
        self._documents = dict(
            sorted(self._documents.items(), key=lambda pair: pair[1].index)
        )
        self.index = index
        self._forget_stalls()
        self._fetches.clear()
        update = ConfigUpdate(
            index,
            tuple(changed.values()),
            self._behind_s(now_s),
            self._failed_fetches,
        )
        self._failed_fetches = 0
        self._note_seen(now_s, index)
        self._awaited_s = {
            awaited: since_s
            for awaited, since_s in self._awaited_s.items()
            if awaited > index
        }
        return update

    def _forget_stalls(self) -> None:
        """Allow fetches from members whose answers are still expected.

        They may be slow only, and be the first ones with a later config.
        """
        for fetch, open_fetch in self._fetches.items():
            if open_fetch.is_stalled:
                self._fetch_failed_s.pop(fetch.peer, None)

    def _fetch_if_behind(self, now_s: float) -> list[Fetch]:
        """Start a fetch, unless the open ones may still be answered soon.

        A member that did not answer is not asked again at once, although
        its own messages may arrive.
        """
        open_fetches = {
            fetch: state
            for fetch, state in self._fetches.items()
            if not state.is_stalled
        }
        if len(open_fetches) >= MAX_CONCURRENT_FETCHES:
            return []
        if any(not state.is_late for state in open_fetches.values()):
            return []
        peer = self._choose_source(
            now_s, {fetch.peer for fetch in open_fetches}
        )
        if peer is None:
            return []
        return [self._open_fetch(peer, self.index, _OpenFetch(now_s))]

    def _choose_source(self, now_s: float, asked: set[str]) -> str | None:
        """Return the member to fetch from.

        The one that failed least recently is the first, so that one that goes
        on failing does not keep this node from asking the others. Of those
        that did not fail it is the one that reported an index last.
        """
        never_s = float("-inf")
        sources = [
            (self._fetch_failed_s.get(peer, never_s), peer)
            for peer, index in reversed(self._peer_indexes.items())
            if index > self.index and peer not in asked
        ]
        failed_s, peer = min(
            sources, key=lambda source: source[0], default=(now_s, "")
        )
        if now_s - failed_s < FAILED_PEER_PAUSE_S:
            return None
        return peer

    def _open_fetch(
        self, peer: str, after_index: int, open_fetch: _OpenFetch
    ) -> Fetch:
        self._fetch_count += 1
        fetch = Fetch(peer, after_index, number=self._fetch_count)
        self._fetches[fetch] = open_fetch
        return fetch

    def _retry_fetch(self, now_s: float) -> list[Fetch]:
        for fetch, open_fetch in list(self._fetches.items()):
            age_s = now_s - open_fetch.started_s
            if age_s >= FETCH_TIMEOUT_S:
                self.failed(now_s, fetch)
            elif age_s >= FETCH_STALL_S:
                self.stall(now_s, fetch)
        return self._fetch_if_behind(now_s)

    def _note_members(self, now_s: float, members: set[str]) -> None:
        if members - self._members:
            self._member_added_s = now_s
        self._members = members
        for peer in list(self._peer_indexes):
            if peer not in members and peer not in self._control:
                del self._peer_indexes[peer]
                self._fetch_failed_s.pop(peer, None)

    def _ask_confirmation(self, now_s: float) -> list[Fetch]:
        sent_s = self._confirm_sent_s
        interval_s = self._confirm_interval_s(now_s)
        if sent_s is not None and now_s - sent_s < interval_s:
            return []
        self._confirm_sent_s = now_s
        self._check_confirmed(now_s)
        peers = list(self._control)
        if now_s - self._confirm_started_s >= CONTROL_ONLY_S:
            peers += self._choose_members()
        return [
            Fetch(peer, self.index, self._confirmation_number)
            for peer in peers
        ]

    def _confirm_interval_s(self, now_s: float) -> float:
        asked = self._confirm_round * MAX_MEMBERS_PER_ROUND
        is_fast = now_s - self._confirm_started_s < FAST_CONFIRM_S
        if is_fast or asked < len(self._members):
            return CONFIRM_INTERVAL_S
        return SLOW_CONFIRM_INTERVAL_S

    def _choose_members(self) -> list[str]:
        """Return the members to ask next, in rotation."""
        others = sorted(
            self._members - self._confirming_members - set(self._control)
        )
        if not others:
            return []
        start = self._confirm_round * MAX_MEMBERS_PER_ROUND % len(others)
        self._confirm_round += 1
        return (others[start:] + others[:start])[:MAX_MEMBERS_PER_ROUND]

    def _note_confirmation(
        self, fetch: Fetch, answer: FetchedDocuments
    ) -> None:
        if fetch.confirmation != self._confirmation_number:
            return
        if answer.authoritative:
            leader_index = max(self._leader_index or 0, answer.index)
            self._leader_index = leader_index
        elif answer.confirmed and fetch.peer in self._members:
            self._confirming_members.add(fetch.peer)

    def _check_confirmed(self, now_s: float) -> None:
        if self._confirmed or self.index < self.seen_index:
            return
        if self._leader_index is not None:
            self._confirmed = self.index >= self._leader_index
            return
        is_settled = now_s - self._member_added_s >= MEMBERS_SETTLE_S
        confirming = len(self._confirming_members & self._members)
        self._confirmed = (
            is_settled and 2 * confirming > len(self._members) > 0
        )


def _select_page(missing: list[IndexedDocument]) -> list[IndexedDocument]:
    """Return the first documents that fit a frame, at least one."""
    size_bytes = 0
    for position, stored in enumerate(missing):
        size_bytes += len(stored.document.text.encode())
        if size_bytes > MAX_PAGE_BYTES and position:
            return missing[:position]
    return missing
