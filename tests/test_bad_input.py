"""Malformed frames and announcements raise only the documented errors."""

from __future__ import annotations

import math
import socket
import typing as t

import anyio
import hypothesis
from hypothesis import strategies
import msgspec.structs
import orjson
import pytest

from papayastall import _announcements
from papayastall import _decision_types
from papayastall import _frames
from papayastall import _gossip_codec
from papayastall import _links
from papayastall import _membership_types
from papayastall import _peering
from papayastall import exceptions
from papayastall import metrics
from tests import decision_helpers

INT32 = strategies.integers(0, 2**31 - 1)
INT64 = strategies.integers(0, 2**63 - 1)
FLOATS = strategies.floats(0, 1e9)
HEADERS = strategies.lists(
    strategies.tuples(
        strategies.binary(max_size=9), strategies.binary(max_size=9)
    ),
    max_size=3,
)
LOADS = strategies.none() | strategies.builds(
    _decision_types.OwnerLoad,
    owner=strategies.text(max_size=9),
    service=strategies.text(max_size=9),
    slots=INT32,
    weight=FLOATS,
    in_flight=INT32,
    queued=INT32,
)
OPENS = strategies.builds(
    _frames.Open,
    request_id=INT64,
    remaining_ms=INT32,
    reference_ms=FLOATS,
    fingerprint=INT64,
    headers=HEADERS,
    reference_error_ratio=FLOATS,
    healthy_share=FLOATS,
    sent_ms=INT64,
)
HEADS = strategies.builds(
    _frames.AnswerHead,
    request_id=INT64,
    status=INT32,
    headers=HEADERS,
    load=LOADS,
)
HELLOS = strategies.builds(_frames.Hello, boot_id=INT64, sent_ms=INT64)
INT16 = strategies.integers(0, 2**15 - 1)
CALLS = strategies.builds(_frames.Call, call_id=INT64, channel=INT16)
FRAMES = strategies.one_of(OPENS, HEADS, HELLOS, CALLS)


def decode(data: bytes) -> _frames.Frame:
    size = _frames.HEADER.size
    header = _frames.decode_header(data[:size])
    return _frames.decode_body(header, data[size:])


@hypothesis.given(FRAMES)
def test_a_frame_comes_back_as_it_was(frame: _frames.Frame) -> None:
    assert decode(_frames.encode(frame, 3)) == frame


@hypothesis.given(
    FRAMES,
    strategies.lists(
        strategies.tuples(INT32, strategies.integers(0, 255)),
        min_size=1,
        max_size=8,
    ),
    strategies.integers(0, 40),
)
def test_a_damaged_frame_is_a_frame_or_refused(
    frame: _frames.Frame, changes: list[tuple[int, int]], cut: int
) -> None:
    data = bytearray(_frames.encode(frame, 3))
    size = _frames.HEADER.size
    for position, value in changes:
        data[size + position % (len(data) - size)] = value
    data = data[: max(size, len(data) - cut)]
    try:
        decode(bytes(data))
    except exceptions.ProtocolError as error:
        assert error.code is exceptions.ErrorCode.BAD_FRAME


@hypothesis.given(
    strategies.binary(
        min_size=_frames.HEADER.size, max_size=_frames.HEADER.size
    ),
    strategies.binary(max_size=100),
)
def test_random_bytes_are_a_frame_or_refused(
    header: bytes, body: bytes
) -> None:
    try:
        decode(header + body)
    except exceptions.ProtocolError as error:
        assert error.code is exceptions.ErrorCode.BAD_FRAME


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=9),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=6,
)
VALID_ANNOUNCEMENT: dict[str, t.Any] = {
    "service": "visits",
    "address": "127.0.0.1:9000",
    "slots": 7,
    "connections": 360,
    "lease_ms": 3000,
    "state": "ready",
    "load": 0.5,
}


@hypothesis.given(
    VALUES
    | strategies.fixed_dictionaries(
        {}, optional=dict.fromkeys([*VALID_ANNOUNCEMENT, "other"], VALUES)
    ).map(lambda changes: {**VALID_ANNOUNCEMENT, **changes})
)
def test_an_announcement_of_any_content_is_taken_or_refused(
    value: t.Any,
) -> None:
    try:
        announcement = _announcements.parse(value)
    except exceptions.BadInputError as error:
        assert error.code is exceptions.ErrorCode.BAD_ANNOUNCEMENT
        return
    assert 1 <= announcement.slots <= _decision_types.MAX_SLOTS
    assert announcement.connections >= 1
    assert math.isfinite(announcement.load)
    orjson.dumps(msgspec.structs.asdict(announcement))


NEAR_WIDTHS = [
    (1 << bits) + change
    for bits in (0, 31, 32, 53, 63, 64)
    for change in (-1, 0)
]
"""Numbers at the limits of integers of several widths."""


@pytest.mark.parametrize("field", ["slots", "started_ms", "sequence"])
@pytest.mark.parametrize("value", [-1, *NEAR_WIDTHS])
def test_a_number_of_an_upstream_is_refused_or_fits_all_messages(
    field: str, value: int
) -> None:
    """An upstream's number too large for a message ended the process."""
    owner = decision_helpers.owner(upstreams=0)
    announcement = msgspec.structs.replace(
        decision_helpers.announcement(),
        **{"instance": "i-1", "started_ms": 1, "sequence": 4, field: value},
    )
    try:
        owner.announce(0.0, announcement)
    except exceptions.BadInputError as error:
        assert error.code is exceptions.ErrorCode.BAD_ANNOUNCEMENT
        assert not owner.adverts(0.0)
        return
    owner.submit(0.0, decision_helpers.owner_request(1))
    owner.note_answer(0.0, 1, 5.0, True)
    load = owner.load(0.0, decision_helpers.SERVICE)
    assert load.notices
    head = _frames.AnswerHead(1, 200, [], load)
    assert decode(_frames.encode(head, 3)) == head
    advert = _membership_types.AdvertRecord(
        decision_helpers.OWNER, decision_helpers.SERVICE, announcement.slots, 1
    )
    datagram = _membership_types.Datagram(
        sender=decision_helpers.OWNER,
        incarnation=1,
        config_index=0,
        digest=0,
        body=_membership_types.Gossip(),
        records=(advert,),
    )
    data = _gossip_codec.encode(datagram, b"key")
    assert _gossip_codec.decode(data, [b"key"]).records == (advert,)


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make_links(address: str) -> _links.Links:
    settings = _links.LinkSettings(address, 1, "a")
    return _links.Links(settings, metrics.Metrics(None, address))


HELLO = _frames.encode(_frames.Hello("127.0.0.1:1", 1, "a", 0), 0)
BAD_INPUTS = {
    "random": b"\xff" * 100,
    "version": _frames.HEADER.pack(0, 99, 1, 0),
    "kind": _frames.HEADER.pack(0, 1, 99, 0),
    "oversized": _frames.HEADER.pack(1 << 30, 1, 1, 0),
    "no hello": _frames.encode(_frames.Ping(1), 0),
    "struct": HELLO + _frames.HEADER.pack(3, 1, 2, 0) + b"abc",
    "http": b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
}


@pytest.mark.anyio
async def test_bad_input_ends_only_its_own_connection() -> None:
    addresses = [free_address(), free_address()]
    one, two = map(make_links, addresses)

    async def echo(_peer: str, body: bytes) -> bytes:
        return body

    two.handle_calls(_peering.Channel.CONTROL, echo)
    channel = _peering.Channel.CONTROL
    async with anyio.create_task_group() as tasks:
        await one.start(tasks)
        await two.start(tasks)
        assert await one.call(addresses[1], channel, b"x", 5.0) == b"x"
        host, _, port = addresses[1].rpartition(":")
        for name, data in BAD_INPUTS.items():
            stream = await anyio.connect_tcp(host, int(port))
            await stream.send(data)
            with anyio.fail_after(5):
                try:
                    while True:
                        await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    pass
            await stream.aclose()
            body = name.encode()
            assert await one.call(addresses[1], channel, body, 5.0) == body
        assert two.rejected_connections == len(BAD_INPUTS)
        await one.close()
        await two.close()
        tasks.cancel_scope.cancel()
