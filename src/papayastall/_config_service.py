"""Service that updates a node's config and sends changes to control."""

from __future__ import annotations

import collections.abc as cabc
import random
import typing as t
import zlib

import anyio
import anyio.abc
import msgspec

from papayastall import _config
from papayastall import _control_calls
from papayastall import _control_commands as commands
from papayastall import _control_state
from papayastall import _document_state
from papayastall import _inflating
from papayastall import _peering
from papayastall import _route_state
from papayastall import clock
from papayastall import documents
from papayastall import exceptions
from papayastall import logs
from papayastall import metrics
from papayastall import route_table

__all__ = ["ApplyOutcome", "ConfigService", "DocumentSource"]

UNCONFIRMED_TICK_INTERVAL_S = 0.25
CONFIRMED_TICK_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 1.0
BARRIER_TIMEOUT_S = 0.5
APPLY_TIMEOUT_S = 10.0
CHANGE_TIMEOUT_S = 3.0
"""A client tries another node after about a second; control applies a change
that is sent twice only once."""
IN_FORCE_TIMEOUT_S = 0.5
"""Longest time for which an acknowledgement waits for nodes. Nodes whose links
need up to the bound for a table still have the change in force within it."""
IN_FORCE_CALL_TIMEOUT_S = 0.8
"""Time from the start of a call after which its acknowledgement waits for
nodes no longer; a client gives a call up after about a second."""
IN_FORCE_FIRST_POLL_S = 0.3
"""Most nodes have a change by then without being asked."""
IN_FORCE_POLL_INTERVAL_S = 0.2
IN_FORCE_CHECK_INTERVAL_S = 0.03
MAX_BEHIND_LOGGED = 5
"""Members without a change that are named in a log line."""
READ_TIMEOUT_S = 0.9
"""Just below the second after which a client tries another node."""
READ_POLL_INTERVAL_S = 0.03
LATEST_CHECK_TIMEOUT_S = 0.3
"""Several round trips to control's leader; a caller may wait for this long
until it is told that there is no route for its request."""
LATEST_CHECK_INTERVAL_S = 0.25
REFRESH_AGE_S = 0.8
"""Age of knowledge that is refreshed; below ``LATEST_VALIDITY_S`` of the
controller, so that it holds until the answer."""
LATEST_WAIT_S = 0.4
"""Time in which most nodes have a new config in force."""
WAIT_POLL_INTERVAL_S = 0.2
MAX_CONCURRENT_WAIT_CALLS = 32
MAX_INFLATED_ANSWER_BYTES = 8 << 20
"""Limit of a decompressed answer; a frame holds 1 MB of compressed data."""

_Code = exceptions.ErrorCode

ConfigItem = documents.Document | route_table.RouteTable
PutInForce = cabc.Callable[[int, list[ConfigItem]], None]


class MemberPoll(t.Protocol):
    """Interface for finding the members that lack a config index."""

    def list_behind(self, index: int) -> list[str]:
        """Return the live members not known to have an index in force."""

    def poll_behind(self, index: int) -> None:
        """Ask these members for their index; don't wait for answers."""


class DocumentSource(msgspec.Struct, frozen=True):
    """A document as sent by an operator.

    :param source: origin of the text, such as a file name, for messages.
    """

    source: str
    text: str


class ApplyOutcome(msgspec.Struct, frozen=True):
    """Result of an accepted apply.

    :param index: config index at which the last of the documents changed.
    """

    index: int
    verdicts: tuple[commands.DocumentVerdict, ...]


class _Listener(_control_state.ChangeListener):
    """Forwards the changes that the local control replica applies."""

    def __init__(self, service: ConfigService) -> None:
        self._service = service

    def note_change(self, change: _document_state.ConfigChange) -> None:
        stored = [
            _config.IndexedDocument(change.index, document)
            for document in change.documents
        ]
        self._service.note_applied(change.index, stored)

    def note_restore(self, table: _document_state.DocumentTable) -> None:
        stored = [
            _config.IndexedDocument(item.index, item.document)
            for item in table.list_documents()
        ]
        self._service.note_applied(table.index, stored)


class ConfigService:
    """Keeps the config of one node up to date; sends changes to control.

    :param list_members: link addresses of the other live members.
    :param put_in_force: called with a new index and the changed documents.
    :param counters: metrics to update.
    :param member_poll: finds the members that an acknowledgement waits for;
        with ``None`` it waits for this node only.
    """

    def __init__(
        self,
        node: str,
        peering: _peering.Peering,
        group_client: _control_calls.GroupClient,
        control: cabc.Sequence[str],
        list_members: cabc.Callable[[], list[str]],
        put_in_force: PutInForce,
        rng: random.Random,
        counters: metrics.Metrics | None = None,
        member_poll: MemberPoll | None = None,
    ) -> None:
        self._node = node
        self._member_poll = member_poll
        self._counters = counters or metrics.Metrics(None, node)
        self._peering = peering
        self._group_client = group_client
        self._list_members = list_members
        self._put_in_force = put_in_force
        self._rng = rng
        self._host: _control_calls.GroupHost | None = None
        self._applied_index = 0
        self._unreadable: set[str] = set()
        self._was_ready = False
        self._leader: str | None = None
        self._latest_check: anyio.Event | None = None
        self._latest_checked_s = float("-inf")
        self._refresh: cabc.Callable[[float], cabc.Awaitable[None]] | None
        self._refresh = None
        self._tasks: anyio.abc.TaskGroup | None = None
        self._controller = _config.ConfigController(
            node, control, clock.now_s(), peering.is_connected
        )
        peering.handle_calls(_peering.Channel.CONFIG, self._receive_fetch)

    @property
    def index(self) -> int:
        """Index of the config in force here."""
        return self._controller.index

    def is_ready(self) -> bool:
        """Return whether this node may serve requests with its config."""
        if self._unreadable:
            return False
        return self._controller.is_ready(clock.now_s())

    def explain(self) -> dict[str, float]:
        """Return the state of the config, for logs."""
        return self._controller.explain(clock.now_s())

    def list_documents(self) -> list[commands.DocumentText]:
        """Return the documents in force on this node."""
        return self._controller.list_documents()

    def make_listener(self) -> _control_state.ChangeListener:
        """Return the listener for a new control replica of this node."""
        self._applied_index = 0
        return _Listener(self)

    def set_control(self, addresses: cabc.Sequence[str]) -> None:
        """Set the addresses of the control replicas to ask."""
        self._controller.set_control(addresses)

    def list_control(self) -> list[str]:
        """Return the addresses of the other control replicas."""
        return self._controller.list_control()

    def use_host(self, host: _control_calls.GroupHost) -> None:
        """Use the control replica of this node to confirm its config."""
        self._host = host

    def use_refresh(
        self, refresh: cabc.Callable[[float], cabc.Awaitable[None]]
    ) -> None:
        """Ask for the latest index by a function instead of the leader.

        :param refresh: takes the time after which the index must have been
            the latest; calls :meth:`note_latest` and returns after a while.
        """
        self._refresh = refresh

    def note_latest(self, asked_s: float, index: int) -> None:
        """Record that an index was the latest one at a time."""
        self._controller.note_latest(clock.now_s(), asked_s, index)

    async def find_index_as_leader(self) -> int | None:
        """Return the latest index if the local replica leads control.

        It is the index in the group that the replica leads. The one in force
        here may have been fetched, and a group that was founded anew after
        all replicas had lost their disks knows nothing of it.
        """
        if await self._leads_control():
            return self._applied_index
        return None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the task that keeps the config up to date."""
        self._tasks = tasks
        tasks.start_soon(self._run)

    def observe(self, peer: str, index: int) -> None:
        """Process an index received in a frame or datagram of a peer."""
        if index > self._controller.find_peer_index(peer):
            self._start_fetches(
                self._controller.observe(clock.now_s(), peer, index)
            )

    def note_applied(
        self, index: int, stored: list[_config.IndexedDocument]
    ) -> None:
        """Process documents that the local control replica applied."""
        self._applied_index = index
        self._apply_update(
            self._controller.note_applied(clock.now_s(), index, stored)
        )

    async def apply_documents(
        self, sources: cabc.Sequence[DocumentSource]
    ) -> ApplyOutcome:
        """Put an operator's documents in force, all or none.

        :raises papayastall.exceptions.BadInputError: documents are invalid;
            the message lists the problems of all of them.
        :raises papayastall.exceptions.ConflictError: another operator's
            document has the revision, and the message names its digest, or
            the revision is not the next one.
        :raises papayastall.exceptions.UnreachableError: control did not
            answer in time; applying the same documents again is safe.
        """
        command = commands.ApplyDocuments(_check_sources(sources))
        result = await self._group_client.call(
            _peering.Channel.CONTROL,
            commands.CONTROL_GROUP,
            commands.Command(apply_documents=command),
            APPLY_TIMEOUT_S,
        )
        assert result.documents is not None
        _raise_conflict(result.documents)
        return ApplyOutcome(result.documents.index, result.documents.verdicts)

    async def change_routes(
        self, change: route_table.TableChange
    ) -> commands.RoutesResult:
        """Change the route table; sending a change again is safe.

        It returns once the change is accepted and in force on all live
        members, or ``IN_FORCE_TIMEOUT_S`` after it was accepted.

        :raises papayastall.exceptions.BadInputError: the resulting table
            would be invalid; the message lists all problems.
        :raises papayastall.exceptions.ConflictError: the change is based on
            a version that is not in force.
        :raises papayastall.exceptions.UnreachableError: control did not
            answer in time; applying the same change again is safe.
        """
        started_s = clock.now_s()
        text = route_table.encode_change(change)
        command = commands.pack_routes_change(
            route_table.digest_change(text), text
        )
        result = await self._group_client.call(
            _peering.Channel.CONTROL,
            commands.CONTROL_GROUP,
            command,
            CHANGE_TIMEOUT_S,
        )
        routes = result.routes
        assert routes is not None
        match routes.state:
            case commands.RoutesState.CONFLICT:
                raise exceptions.ConflictError(
                    _Code.REVISION_CONFLICT,
                    routes.problem,
                    step="change-routes",
                )
            case commands.RoutesState.INVALID:
                raise exceptions.BadInputError(
                    _Code.BAD_DOCUMENT, routes.problem, step="change-routes"
                )
        await self._wait_in_force(routes, started_s)
        return routes

    async def _wait_in_force(
        self, routes: commands.RoutesResult, called_s: float
    ) -> None:
        """Wait until a change is in force on this node and all live members.

        The wait is short and ends without an error: members that can't
        answer, such as suspended ones, must not delay the acknowledgement.

        :param called_s: start of the operator's call.
        """
        index = routes.index
        committed_s = clock.now_s()
        poll_s = committed_s + IN_FORCE_FIRST_POLL_S
        end_s = min(
            committed_s + IN_FORCE_TIMEOUT_S,
            called_s + IN_FORCE_CALL_TIMEOUT_S,
        )
        while self._list_behind(index):
            now_s = clock.now_s()
            if now_s >= end_s:
                break
            if now_s >= poll_s and self._member_poll is not None:
                self._member_poll.poll_behind(index)
                poll_s = now_s + IN_FORCE_POLL_INTERVAL_S
            await anyio.sleep(IN_FORCE_CHECK_INTERVAL_S)
        self._log_call(routes, called_s, committed_s)

    def _list_behind(self, index: int) -> list[str]:
        behind = [] if self.index >= index else [self._node]
        if self._member_poll is not None:
            behind += self._member_poll.list_behind(index)
        return behind

    def _log_call(
        self,
        routes: commands.RoutesResult,
        called_s: float,
        committed_s: float,
    ) -> None:
        """Log the acknowledgement of a change of routes."""
        commit_ms = (committed_s - called_s) * 1000
        wait_ms = (clock.now_s() - committed_s) * 1000
        behind = self._list_behind(routes.index)
        logs.log_change(
            logs.StateChange(
                logs.ChangeKind.CONFIG,
                self._node,
                routes.state.name.lower().replace("_", " "),
                "acknowledged",
                f"index {routes.index}; {commit_ms:.0f} ms until control's "
                f"answer, then {wait_ms:.0f} ms for members; not known to be "
                f"in force on {len(behind)} nodes "
                f"{' '.join(behind[:MAX_BEHIND_LOGGED])}".rstrip(),
            )
        )

    async def read_routes(self) -> route_table.RouteTable:
        """Return the latest accepted table; only for control replicas.

        :raises papayastall.exceptions.UnreachableError: control's leader
            did not confirm the latest version in time.
        """
        with anyio.move_on_after(READ_TIMEOUT_S):
            index = await self._find_latest_index()
            while self.index < index:
                await anyio.sleep(READ_POLL_INTERVAL_S)
            for document in self.list_documents():
                if document.name == _route_state.ROUTES_NAME:
                    return route_table.decode_table(document.text)
            return route_table.RouteTable()
        raise exceptions.UnreachableError(
            _Code.NO_LEADER,
            "control did not confirm the newest version in time; ask again",
            step="read-routes",
        )

    async def _find_latest_index(self) -> int:
        """Return the index of the latest accepted config."""
        while True:
            if await self._leads_control():
                return self._controller.index
            leader = None
            if self._host is not None:
                leader = self._host.leader(commands.CONTROL_GROUP)
            if leader is not None and leader != self._node:
                request = _config.FetchDocuments(
                    _config.MESSAGE_VERSION, self.index, True
                )
                try:
                    answer = await self._call(leader, request)
                except exceptions.PapayastallError:
                    answer = None
                if answer is not None and answer.authoritative:
                    return answer.index
            await anyio.sleep(READ_POLL_INTERVAL_S)

    async def is_latest(self) -> bool:
        """Return whether the config in force here is surely the latest.

        Unless that is known already, control's leader is asked. If it knows
        a later config, that one is waited for.
        """
        if self._controller.is_latest(clock.now_s()):
            return True
        await self._check_latest()
        with anyio.move_on_after(LATEST_WAIT_S):
            while self._controller.is_behind(clock.now_s()):
                await anyio.sleep(READ_POLL_INTERVAL_S)
        return self._controller.is_latest(clock.now_s())

    async def _check_latest(self) -> None:
        """Ask control's leader for the latest index.

        Callers that need it at the same time share one check, and a check
        that failed is not repeated at once.
        """
        if self._refresh is not None:
            await self._refresh(clock.now_s() - REFRESH_AGE_S)
            return
        check = self._latest_check
        if check is not None:
            await check.wait()
            return
        if clock.now_s() - self._latest_checked_s < LATEST_CHECK_INTERVAL_S:
            return
        check = self._latest_check = anyio.Event()
        try:
            with anyio.move_on_after(LATEST_CHECK_TIMEOUT_S):
                await self._ask_leader()
        finally:
            self._latest_checked_s = clock.now_s()
            self._latest_check = None
            check.set()

    async def _ask_leader(self) -> None:
        asked_s = clock.now_s()
        if await self._leads_control():
            index = self._controller.index
            self._controller.note_latest(clock.now_s(), asked_s, index)
            return
        async with anyio.create_task_group() as tasks:
            for peer in self._list_leader_candidates():
                tasks.start_soon(
                    self._ask_whether_leader, peer, tasks.cancel_scope
                )

    def _list_leader_candidates(self) -> list[str]:
        """Return the last known leader, or all control replicas."""
        leader, self._leader = self._leader, None
        if leader is not None:
            return [leader]
        return self._controller.list_control()

    async def _ask_whether_leader(
        self, peer: str, scope: anyio.CancelScope
    ) -> None:
        asked_s = clock.now_s()
        request = _config.FetchDocuments(
            _config.MESSAGE_VERSION, self.index, True
        )
        try:
            answer = await self._call(peer, request)
        except exceptions.PapayastallError:
            # Another replica may lead; the caller is told to come back.
            return
        if answer.authoritative:
            self._leader = peer
            self._controller.note_latest(clock.now_s(), asked_s, answer.index)
            self._start_fetches(
                self._controller.observe(clock.now_s(), peer, answer.index)
            )
            scope.cancel()

    async def wait_for(self, index: int, timeout_s: float) -> list[str]:
        """Wait until every live member has an index in force.

        :returns: the addresses of the members without it at the timeout.
        """
        missing = await self._find_missing(index)
        with anyio.move_on_after(timeout_s):
            while missing:
                await anyio.sleep(WAIT_POLL_INTERVAL_S)
                missing = await self._find_missing(index)
        return missing

    async def _find_missing(self, index: int) -> list[str]:
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_WAIT_CALLS)
        missing = [] if self.index >= index else [self._node]

        async def ask(peer: str) -> None:
            async with limiter:
                if not await self._has_index(peer, index):
                    missing.append(peer)

        async with anyio.create_task_group() as tasks:
            for peer in self._list_members():
                if self._controller.find_peer_index(peer) < index:
                    tasks.start_soon(ask, peer)
        return sorted(missing)

    async def _has_index(self, peer: str, index: int) -> bool:
        request = _config.FetchDocuments(_config.MESSAGE_VERSION, index, True)
        try:
            answer = await self._call(peer, request)
        except exceptions.PapayastallError:
            return False
        self._controller.note_answer(clock.now_s(), peer, answer)
        return answer.index >= index

    async def _run(self) -> None:
        while True:
            now_s = clock.now_s()
            members = self._list_members()
            self._start_fetches(self._controller.tick(now_s, members))
            self._log_readiness(self._controller.is_ready(now_s))
            if not self._controller.is_ready(now_s):
                await self._confirm_as_leader()
                await anyio.sleep(UNCONFIRMED_TICK_INTERVAL_S)
            else:
                await anyio.sleep(CONFIRMED_TICK_INTERVAL_S)

    def _log_readiness(self, is_ready: bool) -> None:
        if is_ready == self._was_ready:
            return
        self._was_ready = is_ready
        state_names = {False: "unconfirmed", True: "confirmed"}
        logs.log_change(
            logs.StateChange(
                logs.ChangeKind.CONFIG,
                self._node,
                state_names[not is_ready],
                state_names[is_ready],
                f"index {self._controller.index} in force, highest known "
                f"index {self._controller.seen_index}",
            )
        )

    async def _confirm_as_leader(self) -> None:
        if await self._leads_control():
            self._controller.note_authoritative(
                clock.now_s(), self._controller.index
            )

    async def _leads_control(self) -> bool:
        host = self._host
        if host is None:
            return False
        try:
            await host.read_barrier(commands.CONTROL_GROUP, BARRIER_TIMEOUT_S)
        except exceptions.PapayastallError:
            return False
        return True

    def _start_fetches(self, fetches: list[_config.Fetch]) -> None:
        for fetch in fetches:
            if self._tasks is None:
                self._controller.failed(clock.now_s(), fetch)
                continue
            self._tasks.start_soon(self._fetch, fetch)
            if not fetch.confirmation:
                self._tasks.start_soon(self._watch_fetch, fetch)

    async def _watch_fetch(self, fetch: _config.Fetch) -> None:
        """Ask other members while a fetch has no answer."""
        await anyio.sleep(_config.FETCH_HEDGE_DELAY_S)
        self._start_fetches(self._controller.hedge(clock.now_s(), fetch))
        await anyio.sleep(_config.FETCH_STALL_S - _config.FETCH_HEDGE_DELAY_S)
        self._start_fetches(self._controller.stall(clock.now_s(), fetch))

    async def _fetch(self, fetch: _config.Fetch) -> None:
        request = _config.FetchDocuments(
            _config.MESSAGE_VERSION,
            fetch.after_index,
            fetch.confirmation > 0,
        )
        timeout_s = _config.FETCH_TIMEOUT_S
        if fetch.confirmation:
            timeout_s = CALL_TIMEOUT_S
        try:
            answer = await self._call(fetch.peer, request, timeout_s)
        except exceptions.PapayastallError as error:
            self._log_failed_fetch(fetch, error)
            self._start_fetches(self._controller.failed(clock.now_s(), fetch))
            return
        update, fetches = self._controller.fetched(
            clock.now_s(), fetch, answer
        )
        self._apply_update(update)
        self._start_fetches(fetches)

    def _log_failed_fetch(
        self, fetch: _config.Fetch, error: exceptions.PapayastallError
    ) -> None:
        if fetch.confirmation:
            # Replicas that are down are asked several times a second.
            return
        self._counters.count(metrics.Counter.CONFIG_FETCH_FAILURES)
        logs.log_change(
            logs.StateChange(
                logs.ChangeKind.CONFIG,
                self._node,
                str(fetch.after_index),
                "fetch failed",
                f"highest known index {self._controller.seen_index}: "
                f"{error.message}",
                peer=fetch.peer,
            )
        )

    async def _call(
        self,
        peer: str,
        request: _config.FetchDocuments,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _config.FetchedDocuments:
        body = commands.codec.encode(request)
        data = await self._peering.call(
            peer, _peering.Channel.CONFIG, body, timeout_s
        )
        return commands.codec.decode(
            _config.FetchedDocuments, _inflate_answer(data, peer)
        )

    async def _receive_fetch(self, _peer: str, body: bytes) -> bytes:
        request = commands.codec.decode(_config.FetchDocuments, body)
        leads = request.confirm and await self._leads_control()
        answer = self._controller.answer(request, leads)
        return zlib.compress(commands.codec.encode(answer))

    def _apply_update(self, update: _config.ConfigUpdate | None) -> None:
        if update is None:
            return
        parsed = [self._parse(text) for text in update.documents]
        readable = [document for document in parsed if document is not None]
        self._put_in_force(update.index, readable)
        logs.log_change(
            logs.StateChange(
                logs.ChangeKind.CONFIG,
                self._node,
                "",
                str(update.index),
                f"{len(update.documents)} changed documents in force, "
                f"{update.behind_s * 1000:.0f} ms after a later index was "
                f"known, {update.failed_fetches} fetches failed",
            )
        )

    def _parse(self, text: commands.DocumentText) -> ConfigItem | None:
        """Parse a document, or make this node not ready.

        A document for a later release can't be parsed here. Serving with
        the previous one would return to an older config.
        """
        self._unreadable.discard(text.name)
        try:
            if text.name == _route_state.ROUTES_NAME:
                return route_table.decode_table(text.text)
            return documents.parse_document(text.text, text.name)
        except exceptions.PapayastallError as error:
            self._unreadable.add(text.name)
            logs.log_change(
                logs.StateChange(
                    logs.ChangeKind.CONFIG,
                    text.name,
                    "",
                    "unreadable",
                    f"can't parse this document: {error.message}; "
                    "upgrade this node",
                )
            )
            return None


def _inflate_answer(data: bytes, peer: str) -> bytes:
    """Decompress an answer; a table is compressed to a fifth of its size."""
    try:
        return _inflating.inflate_whole(data, MAX_INFLATED_ANSWER_BYTES)
    except ValueError as error:
        raise exceptions.ProtocolError(
            _Code.BAD_FRAME,
            f"can't decompress an answer: {error}; both nodes must run "
            "compatible versions",
            step="fetch-config",
            peer=peer,
        ) from error


def _check_sources(
    sources: cabc.Sequence[DocumentSource],
) -> tuple[commands.DocumentText, ...]:
    checked: list[commands.DocumentText] = []
    problems: list[str] = []
    names: dict[str, str] = {}
    for item in sources:
        try:
            document = documents.parse_document(item.text, item.source)
        except exceptions.BadInputError as error:
            problems.append(error.message)
            continue
        if document.name in names:
            problems.append(
                f"{item.source} and {names[document.name]} are both for "
                f"{document.name!r}; send one"
            )
        names[document.name] = item.source
        checked.append(_make_document_text(document, item.text))
    if not sources:
        problems.append("send at least one document")
    if problems:
        raise exceptions.BadInputError(
            _Code.BAD_DOCUMENT, "\n".join(problems), step="apply"
        )
    return tuple(checked)


def _make_document_text(
    document: documents.Document, text: str
) -> commands.DocumentText:
    return commands.DocumentText(
        name=document.name,
        revision=document.revision,
        digest=documents.compute_digest(text),
        floor_slots=document.floor_slots,
        text=text,
    )


def _raise_conflict(result: commands.DocumentsResult) -> None:
    if result.accepted:
        return
    lines = [
        _describe_conflict(verdict)
        for verdict in result.verdicts
        if verdict.state is commands.DocumentState.CONFLICT
    ]
    raise exceptions.ConflictError(
        _Code.REVISION_CONFLICT,
        "nothing was applied: " + "; ".join(lines),
        step="apply",
    )


def _describe_conflict(verdict: commands.DocumentVerdict) -> str:
    next_revision = verdict.current_revision + 1
    if verdict.revision > next_revision:
        cause = f"skips revision {next_revision}"
    elif verdict.revision == next_revision:
        cause = "stands twice"
    else:
        cause = f"was taken by digest {verdict.current_digest}"
    return (
        f"{verdict.name} revision {verdict.revision} {cause}; revision "
        f"{verdict.current_revision} is in force, read it and send "
        f"{next_revision}"
    )
