"""Tests of the bounds check in front of the thrift decoder."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from papayastall import _thrift
from papayastall import exceptions

wire = _thrift.load_module("wire")


def encode_open() -> bytes:
    headers = [wire.HeaderField(name=b"a", value=b"\xff")]
    return _thrift.encode(
        wire.Open(request_id=7, service_name="s", headers=headers, body=b"b")
    )


def test_struct_survives_encoding() -> None:
    value = _thrift.decode(wire.Open, encode_open())
    assert (value.request_id, value.body) == (7, b"b")
    assert value.headers[0].value == b"\xff"


def test_every_cut_of_a_struct_is_refused() -> None:
    data = encode_open()
    for length in range(len(data)):
        with pytest.raises(exceptions.ProtocolError):
            _thrift.decode(wire.Open, data[:length])


@hypothesis.given(strategies.binary(max_size=200))
def test_random_bytes_decode_or_are_refused(data: bytes) -> None:
    try:
        _thrift.decode(wire.Open, data)
    except exceptions.ProtocolError:
        pass


def test_unknown_field_is_ignored() -> None:
    data = _thrift.encode(wire.Hello(node="n", boot_id=5, failure_domain="d"))
    assert _thrift.decode(wire.Ping, data) is not None
