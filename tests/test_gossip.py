"""Tests of the datagram codec on damaged input and of gossip over UDP."""

from __future__ import annotations

import random
import socket
import zlib

import anyio
import hypothesis
from hypothesis import strategies
import msgspec.structs
import pytest

from papayastall import _decision_types
from papayastall import _gossip
from papayastall import _gossip_codec
from papayastall import _membership
from papayastall import _membership_types as types
from papayastall import _thrift
from papayastall import clock
from papayastall import exceptions

KEY = b"secret"

INT32 = strategies.integers(0, 2**31 - 1)
INT62 = strategies.integers(0, 2**62)
DIGESTS = strategies.lists(strategies.integers(0, 2**32 - 1), max_size=64).map(
    tuple
)
ADDRESSES = strategies.builds(
    "{}:{}".format,
    strategies.ip_addresses(v=4),
    strategies.integers(1, 65535),
)
MEMBERS = strategies.builds(
    types.MemberRecord,
    address=ADDRESSES,
    datagram_address=ADDRESSES,
    incarnation=INT62,
    failure_domain=strategies.text(max_size=16),
    state=strategies.sampled_from(types.MemberState),
    suspecters=strategies.lists(ADDRESSES, max_size=2).map(tuple),
)
ADVERTS = strategies.builds(
    types.AdvertRecord,
    owner=ADDRESSES,
    service=strategies.text(max_size=16),
    slots=INT32,
    version=INT62,
)
BODIES = strategies.one_of(
    strategies.builds(types.Ping, INT32),
    strategies.builds(types.Ack, INT32),
    strategies.builds(types.Nack, INT32),
    strategies.builds(types.PingRequest, INT32, ADDRESSES),
    strategies.builds(types.BranchDigests, DIGESTS),
    strategies.builds(types.LeafDigests, strategies.integers(0, 63), DIGESTS),
    strategies.builds(
        types.LeafRecords,
        strategies.lists(strategies.integers(0, 4095), max_size=20).map(tuple),
        strategies.booleans(),
    ),
    strategies.builds(types.PageRequest, INT32),
    strategies.builds(types.Page, INT32, strategies.integers(-1, 99)),
    strategies.just(types.Gossip()),
)
DATAGRAMS = strategies.builds(
    types.Datagram,
    sender=ADDRESSES,
    incarnation=INT62,
    config_index=INT62,
    digest=strategies.integers(0, 2**32 - 1),
    records=strategies.tuples(
        strategies.lists(MEMBERS, max_size=3),
        strategies.lists(ADVERTS, max_size=3),
    ).map(lambda parts: (*parts[0], *parts[1])),
    body=BODIES,
)
DATAGRAMS_WITH_KNOWN_INDEX = strategies.builds(
    msgspec.structs.replace,
    DATAGRAMS,
    known_index=strategies.integers(1, 2**62),
    known_holder=ADDRESSES,
)


@hypothesis.given(DATAGRAMS | DATAGRAMS_WITH_KNOWN_INDEX)
def test_a_datagram_comes_back_as_it_was(datagram: types.Datagram) -> None:
    data = _gossip_codec.encode(datagram, KEY)
    assert _gossip_codec.decode(data, [b"other", KEY]) == datagram


@hypothesis.given(strategies.lists(MEMBERS | ADVERTS, max_size=8))
def test_sizes_are_upper_bounds(records: list[types.Record]) -> None:
    def size_of(*some: types.Record) -> int:
        datagram = types.Datagram("1.2.3.4:5", 1, 1, 1, some, types.Gossip())
        return len(_gossip_codec.encode_struct(datagram))

    bound = sum(record.size_bytes for record in records)
    # The field and list headers of members and adverts, 8 bytes each.
    lists = 16
    assert size_of(*records) <= size_of() + lists + bound


@hypothesis.given(
    DATAGRAMS, strategies.integers(0, 1399), strategies.integers(1, 255)
)
def test_a_damaged_datagram_is_dropped(
    datagram: types.Datagram, position: int, change: int
) -> None:
    data = bytearray(_gossip_codec.encode(datagram, KEY))
    data[position % len(data)] ^= change
    with pytest.raises(exceptions.PapayastallError):
        _gossip_codec.decode(bytes(data), [KEY])


@hypothesis.given(strategies.binary(max_size=200))
@pytest.mark.parametrize("version", [1, 2])
def test_signed_nonsense_is_dropped(version: int, content: bytes) -> None:
    data = bytes([version]) + _gossip_codec.sign(content, KEY) + content
    try:
        _gossip_codec.decode(data, [KEY])
    except exceptions.ProtocolError as error:
        assert error.code is exceptions.ErrorCode.BAD_FRAME


def test_a_datagram_of_many_digests_is_deflated() -> None:
    digests = (0,) * 20 + (7, 9)
    body = types.LeafDigests(3, digests)
    datagram = types.Datagram("1.2.3.4:5", 1, 1, 1, (), body)
    plain = _gossip_codec.encode_struct(datagram)
    data = _gossip_codec.encode(datagram, KEY)
    assert len(data) < len(plain)
    assert _gossip_codec.decode(data, [KEY]) == datagram


@pytest.mark.parametrize("cut_bytes", [0, 1])
def test_a_datagram_that_inflates_without_end_is_dropped(
    cut_bytes: int,
) -> None:
    content = zlib.compress(b"\0" * (1 << 20), 9, -11)
    content = content[: len(content) - cut_bytes]
    data = bytes([2]) + _gossip_codec.sign(content, KEY) + content
    with pytest.raises(exceptions.ProtocolError, match="over the limit"):
        _gossip_codec.decode(data, [KEY])


def test_a_datagram_of_another_key_is_refused() -> None:
    datagram = types.Datagram("1.2.3.4:5", 1, 1, 1, (), types.Gossip())
    data = _gossip_codec.encode(datagram, KEY)
    with pytest.raises(exceptions.RefusedError):
        _gossip_codec.decode(data, [b"other"])


def test_unknown_fields_and_kinds_of_a_later_version_are_ignored() -> None:
    datagram = types.Datagram("1.2.3.4:5", 7, 1, 1, (), types.Gossip())
    encoded = _gossip_codec.encode_struct(datagram)
    unknown_field = b"\x08\x00\x63\x00\x00\x00\x01"
    content = unknown_field + encoded
    data = bytes([1]) + _gossip_codec.sign(content, KEY) + content
    assert _gossip_codec.decode(data, [KEY]) == datagram
    struct_class = _thrift.load_module("gossip").Datagram
    later = _thrift.decode(struct_class, encoded)
    later.kind = 99
    content = _thrift.encode(later)
    data = bytes([1]) + _gossip_codec.sign(content, KEY) + content
    assert _gossip_codec.decode(data, [KEY]).body == types.Gossip()


def free_address() -> str:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        udp.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{udp.getsockname()[1]}"


def gossiper_of(
    address: str, seeds: tuple[str, ...], key: bytes
) -> tuple[_membership.Membership, _gossip.Gossiper]:
    settings = _membership.MembershipSettings(address, address, "a", 1, seeds)
    membership = _membership.Membership(
        settings, random.Random(1), clock.now_s()
    )
    return membership, _gossip.Gossiper(
        membership, address, [key], lambda event: None
    )


@pytest.mark.anyio
async def test_nodes_join_over_udp_and_one_with_another_key_is_refused() -> (
    None
):
    addresses = [free_address() for _ in range(3)]
    one, one_gossiper = gossiper_of(addresses[0], (), KEY)
    two, two_gossiper = gossiper_of(addresses[1], (addresses[0],), KEY)
    foreign, foreign_gossiper = gossiper_of(
        addresses[2], (addresses[0],), b"other"
    )
    advert = _decision_types.OwnerAdvert(addresses[0], "visits", "a", 7)
    async with anyio.create_task_group() as tasks:
        for gossiper in (one_gossiper, two_gossiper, foreign_gossiper):
            await gossiper.start(tasks)
        one_gossiper.send(one.set_adverts(clock.now_s(), [advert]))
        with anyio.fail_after(20):
            while (
                len(one.members()) < 2
                or two.adverts("visits") != [advert]
                or one_gossiper.counters.bad_key < 2
            ):
                await anyio.sleep(0.05)
        assert [each.address for each in foreign.members()] == [addresses[2]]
        for gossiper in (two_gossiper, foreign_gossiper):
            await gossiper.close()
        with anyio.fail_after(20):
            while len(one.members()) > 1:
                await anyio.sleep(0.05)
        await one_gossiper.close()
