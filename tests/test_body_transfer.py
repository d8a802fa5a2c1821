"""Bodies on their way from an ingress to an owner, and answers back.

The load: many uploads from several ingresses meet at one owner, whose
upstream takes them slowly, while links fail. No body may be changed or run in
part, and what the owner keeps stays within its share of the memory. Many
large answers share a link.
"""

from __future__ import annotations

import collections
import collections.abc as cabc
import contextlib
import random
import typing as t

import anyio
import anyio.abc
import pytest

from papayastall import _attempts
from papayastall import _body_transfer
from papayastall import _decision_types
from papayastall import _exchange
from papayastall import _frames
from papayastall import _ingress_controller
from papayastall import _links
from papayastall import _owner_controller
from papayastall import _owner_runs
from papayastall import _upstream_client
from papayastall import clock
from papayastall import exceptions
from papayastall import memory
from papayastall import metrics
from papayastall import owner
from tests import decision_helpers
from tests import fleet

SERVICE = decision_helpers.SERVICE
MAX_BODY_BYTES = 2 << 20
BODY_BYTES = 17 << 20
SLOTS = 3
INGRESSES = 40
UPLOADS_PER_INGRESS = 20
ANSWERS = 120
ANSWER_BYTES = 250_000
"""Together more than a link keeps."""


@pytest.mark.anyio
@pytest.mark.parametrize("seed", range(20))
async def test_a_body_arrives_whole_over_links_that_fail(seed: int) -> None:
    rng = random.Random(seed)
    body = rng.randbytes(rng.randrange(1, MAX_BODY_BYTES))
    first = body[: _body_transfer.FIRST_PART_BYTES]
    sender = _body_transfer.BodySender(body, len(first))
    receiver = _body_transfer.BodyReceiver(len(body))
    receiver.limit_bytes = len(first)
    receiver.add(0, first)
    on_link: collections.deque[tuple[int, bytes]] = collections.deque()
    taken = b""
    while len(taken) < len(body):
        match rng.choice(["grant", "send", "send", "arrive", "take", "fail"]):
            case "grant":
                receiver.limit_bytes += receiver.extend(
                    _body_transfer.WINDOW_BYTES
                )
                sender.extend(receiver.limit_bytes)
            case "send" if sender.can_send:
                offset, data, is_last = sender.take()
                assert is_last is (offset + len(data) == len(body))
                on_link.append((offset, data))
            case "arrive" if on_link:
                receiver.add(*on_link.popleft())
            case "take" if receiver.received_bytes > len(taken):
                taken += await receiver.take()
            case "fail" if rng.random() < 0.1:
                # Some that were sent arrive late, on the former link.
                for _ in range(rng.randrange(len(on_link) + 1)):
                    on_link.pop()
                sender.suspend()
                assert not sender.can_send
                sender.resume(receiver.received_bytes)
        assert receiver.kept_bytes <= _body_transfer.WINDOW_BYTES
        assert receiver.received_bytes - len(taken) <= receiver.kept_bytes
    assert taken == body
    assert await receiver.take() == b""


@pytest.mark.anyio
async def test_a_body_that_is_lost_is_not_taken_for_a_whole_one() -> None:
    receiver = _body_transfer.BodyReceiver(10)
    receiver.limit_bytes = 10
    assert not receiver.add(5, b"12345"), "a gap"
    assert receiver.add(0, b"12345")
    receiver.lose()
    with pytest.raises(_body_transfer.BodyLost):
        await receiver.take()
    assert not receiver.add(5, b"67890")


class SlowClient:
    """Upstream client whose upstream takes bodies on demand.

    :ivar taken: bytes of each body that were taken.
    :ivar demand: set when bodies are taken.
    :ivar answer: body of each answer.
    """

    def __init__(self) -> None:
        self.taken: list[bytearray] = []
        self.demand = anyio.Event()
        self.answer = b""

    async def run(
        self,
        request: _upstream_client.UpstreamRequest,
        timeout_s: float,
        sink: _upstream_client.AnswerSink,
    ) -> _decision_types.Outcome:
        """Take the body and answer; broken if it is lost."""
        taken = bytearray(request.body)
        self.taken.append(taken)
        await self.demand.wait()
        try:
            while request.rest is not None:
                data = await request.rest.read()
                if not data:
                    break
                taken += data
        except _body_transfer.BodyLost:
            return _decision_types.Outcome.BROKEN
        assert len(taken) == request.body_bytes
        await sink.send_head(200, [])
        if self.answer:
            await sink.send_chunk(self.answer)
        return _decision_types.Outcome.ANSWERED

    async def is_alive(self, upstream: str) -> bool:
        """Return true: the upstream still listens."""
        return True

    async def close(self) -> None:
        """Do nothing."""


class FakeLinks:
    """Records the frames that the owner sends."""

    def __init__(self) -> None:
        self.settings = _links.LinkSettings("10.0.0.2:1", 1, "a")
        self.sent: list[tuple[str, t.Any]] = []

    def send(self, address: str, frame: t.Any) -> None:
        self.sent.append((address, frame))

    def handle_frames(self, kind: type, handler: object) -> None:
        """Do nothing."""

    def handle_events(self, handler: object) -> None:
        """Do nothing."""

    def has_room(self, address: str) -> bool:
        return True


def make_open(request_id: int, body: bytes, body_bytes: int) -> _frames.Open:
    return _frames.Open(
        request_id=request_id,
        service_name=SERVICE,
        route="book",
        idempotent=False,
        remaining_ms=30_000,
        fingerprint=request_id,
        method=b"POST",
        target=b"/",
        headers=[],
        body=body,
        body_follows=True,
        body_bytes=body_bytes,
    )


def make_owner(
    links: t.Any, address: str, account: memory.MemoryAccount
) -> tuple[owner.Owner, SlowClient]:
    controller = _owner_controller.OwnerController(
        address, "a", random.Random(1)
    )
    made = owner.Owner(
        links,
        controller,
        t.cast(t.Any, None),
        metrics.Metrics(None, address),
        account=account,
    )
    client = SlowClient()
    made._client = t.cast(t.Any, client)
    return made, client


def announce(made: owner.Owner, slots: int = SLOTS) -> None:
    made.controller.configure(SERVICE, decision_helpers.DETECTION)
    announcement = decision_helpers.announcement("10.0.0.9:8000", slots)
    made.perform(made.controller.announce(clock.now_s() - 100.0, announcement))


# Each ingress alone stays within what the owner grants one of them.
@pytest.mark.anyio
async def test_uploads_of_many_ingresses_stay_within_the_share() -> None:
    account = memory.MemoryAccount(100 << 20, 0)
    share = account.limit(memory.MemoryClass.LINKS)
    links = FakeLinks()
    made, client = make_owner(links, "10.0.0.2:1", account)
    first = bytes(_body_transfer.FIRST_PART_BYTES)
    async with anyio.create_task_group() as tasks:
        await made.start(tasks)
        announce(made)
        for number in range(INGRESSES * UPLOADS_PER_INGRESS):
            ingress = f"10.0.1.{number % INGRESSES}:1"
            made._receive_open(
                ingress, 1, make_open(number, first, BODY_BYTES)
            )
            await anyio.sleep(0)
        kept = account.used(memory.MemoryClass.LINKS)
        assert kept <= share + SLOTS * _body_transfer.MIN_WINDOW_BYTES
        refusals = [
            frame
            for _, frame in links.sent
            if isinstance(frame, _frames.Refuse)
        ]
        assert refusals and not any(each.ran_unknown for each in refusals)
        full = exceptions.ErrorCode.OVERLOADED.value
        assert all(
            each.retry_after_ms > 0 for each in refusals if each.code == full
        )
        assert len(client.taken) == SLOTS
        for run in list(made._runs._runs.values()):
            made._receive_cancel(
                run.ingress, 1, _frames.Cancel(run.open.request_id)
            )
        client.demand.set()
        with anyio.fail_after(10):
            while made.running():
                await anyio.sleep(0.01)
        assert account.used(memory.MemoryClass.LINKS) == 0
        tasks.cancel_scope.cancel()


class Pair:
    """An ingress and an owner with a link between them.

    :param slots: of the owner's upstream.
    """

    def __init__(self, slots: int = SLOTS) -> None:
        self._slots = slots
        self.here, self.there = (
            _links.Links(
                _links.LinkSettings(address, 1, "a"),
                metrics.Metrics(None, address),
            )
            for address in (fleet.free_address(), fleet.free_address())
        )
        self.account = memory.MemoryAccount(200 << 20, 0)
        self.owner, self.client = make_owner(
            self.there, self.there.settings.address, self.account
        )
        controller = _ingress_controller.IngressController(
            self.here.settings.address, random.Random(1)
        )
        controller.configure(SERVICE, decision_helpers.DETECTION)
        controller.set_owner(
            clock.now_s(),
            _decision_types.OwnerAdvert(
                self.there.settings.address, SERVICE, "a", slots
            ),
        )
        self.attempts = _attempts.AttemptSender(
            self.here,
            controller,
            random.Random(1),
            metrics.Metrics(None, self.here.settings.address),
            self.here.settings.address,
        )

    @contextlib.asynccontextmanager
    async def run(self) -> cabc.AsyncIterator[None]:
        async with anyio.create_task_group() as tasks:
            for each in (self.here, self.there):
                await each.start(tasks)
            await self.owner.start(tasks)
            announce(self.owner, self._slots)
            await self.attempts.start(tasks)
            await self.here.connect(self.there.settings.address)
            yield
            await self.here.close()
            await self.there.close()
            tasks.cancel_scope.cancel()

    def send(self, body: bytes, request_id: int = 1) -> _exchange.Exchange:
        """Open a booking with a body."""
        request = _decision_types.IngressRequest(
            request_id,
            SERVICE,
            "book",
            "",
            _decision_types.RequestKind.NON_IDEMPOTENT,
            clock.now_s() + 30.0,
            request_id,
        )
        exchange = _exchange.Exchange(request, b"POST", b"/", [], body)
        self.attempts.open(exchange)
        return exchange

    def cut(self) -> None:
        """Close the link's connection; the ingress opens another one."""
        peer = self.here._peers[self.there.settings.address]
        assert peer.connection is not None
        peer.connection.close()


@pytest.mark.anyio
@pytest.mark.parametrize("cuts", [0, 1, 3])
async def test_a_body_goes_on_over_a_new_link(cuts: int) -> None:
    pair = Pair()
    body = random.Random(1).randbytes(BODY_BYTES)
    async with pair.run():
        exchange = pair.send(body)
        with anyio.fail_after(20):
            while not pair.client.taken:
                await anyio.sleep(0.01)
            pair.client.demand.set()
            for number in range(cuts):
                part = (number + 1) * len(body) // (cuts + 1) // 2
                while len(pair.client.taken[0]) < part:
                    await anyio.sleep(0)
                pair.cut()
            await exchange.wait_for_outcome()
    assert exchange.chosen is not None
    assert len(pair.client.taken) == 1
    assert pair.client.taken[0] == body
    assert pair.account.used(memory.MemoryClass.LINKS) == 0


# Guards against an owner that waits for the rest of a body whose caller has
# left, while its upstream holds a slot for it.
@pytest.mark.anyio
async def test_a_run_ends_when_its_caller_leaves_before_its_body_is_sent() -> (
    None
):
    pair = Pair()
    async with pair.run():
        exchange = pair.send(bytes(BODY_BYTES))
        with anyio.fail_after(20):
            while not pair.client.taken:
                await anyio.sleep(0.01)
            pair.attempts.close(exchange)
            pair.client.demand.set()
            while pair.owner.running():
                await anyio.sleep(0.01)
    assert len(pair.client.taken[0]) < BODY_BYTES


# Guards against a link that closes because of what all answers on it take,
# and does so again with the same answers after it was opened anew.
@pytest.mark.anyio
@pytest.mark.parametrize("cuts", [0, 2])
async def test_answers_that_exceed_what_a_link_keeps_are_delivered(
    cuts: int,
) -> None:
    pair = Pair(ANSWERS)
    pair.client.answer = random.Random(1).randbytes(ANSWER_BYTES)
    whole = 0

    async def read(number: int) -> None:
        nonlocal whole
        exchange = pair.send(b"", number)
        await exchange.wait_for_outcome()
        assert exchange.chosen is not None
        answer = b""
        while (data := await exchange.next_chunk()) is not None:
            answer += data
            pair.attempts.acknowledge(exchange.chosen, len(answer))
        assert answer == pair.client.answer
        whole += 1
        pair.attempts.close(exchange)

    async with pair.run():
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                for number in range(ANSWERS):
                    tasks.start_soon(read, number)
                while len(pair.client.taken) < ANSWERS:
                    await anyio.sleep(0.01)
                # All are at the owner at the same moment.
                pair.client.demand.set()
                for cut in range(cuts):
                    while whole < (cut + 1) * ANSWERS // (cuts + 1) // 2:
                        await anyio.sleep(0)
                    pair.cut()
    assert whole == ANSWERS
    # The last acknowledgements may have been lost with a link.
    pair.owner._expire_runs(clock.now_s() + _owner_runs.RUN_RETENTION_S + 60.0)
    assert pair.account.used(memory.MemoryClass.LINKS) == 0


# Guards against slots that are held while a body that fits in the window is
# still on its way.
@pytest.mark.anyio
@pytest.mark.parametrize("lost_link", [False, True])
async def test_a_short_body_is_whole_before_its_run_takes_a_slot(
    lost_link: bool,
) -> None:
    links = FakeLinks()
    made, client = make_owner(
        links, "10.0.0.2:1", memory.MemoryAccount(100 << 20, 0)
    )
    first, rest = bytes(_body_transfer.FIRST_PART_BYTES), b"rest"
    key = ("10.0.1.1:1", 1)
    async with anyio.create_task_group() as tasks:
        await made.start(tasks)
        announce(made)
        made._receive_open(*key, make_open(1, first, len(first) + len(rest)))
        await anyio.sleep(0.01)
        assert not client.taken
        if lost_link:
            made._receive_query(*key, _frames.Query(1, False, 0))
            _, grant = links.sent[-1]
            assert grant == _frames.BodyGrant(
                1, len(first) + len(rest), resume_bytes=len(first)
            )
        made._receive_body(*key, _frames.BodyChunk(1, rest, True, len(first)))
        client.demand.set()
        with anyio.fail_after(10):
            while made.running():
                await anyio.sleep(0.01)
        assert client.taken == [first + rest]
        tasks.cancel_scope.cancel()


# Guards against bodies that are lost between nodes of different releases: an
# owner that grants nothing expects all parts at once.
@pytest.mark.anyio
async def test_an_owner_that_grants_no_bodies_gets_them_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    pair = Pair()
    monkeypatch.setattr(pair.here, "grants_bodies", lambda address: False)
    body = random.Random(1).randbytes(BODY_BYTES)
    async with pair.run():
        pair.client.demand.set()
        exchange = pair.send(body)
        with anyio.fail_after(20):
            await exchange.wait_for_outcome()
    assert exchange.chosen is not None
    assert pair.client.taken == [body]
    assert pair.account.used(memory.MemoryClass.LINKS) == 0
