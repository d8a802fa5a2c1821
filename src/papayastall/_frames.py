"""Frames between nodes: slotted classes and their encoding.

A frame on a link is a header (length, version, kind, config index)
followed by a thrift struct. Readers refuse versions outside the range they
know and ignore struct fields that they do not know.
"""

from __future__ import annotations

import collections.abc as cabc
import struct
import typing as t

import msgspec

from papayastall import _decision_types
from papayastall import _thrift
from papayastall import exceptions

__all__ = [
    "HEADER",
    "MAX_FRAME_SIZE_BYTES",
    "AnswerChunk",
    "AnswerHead",
    "BodyChunk",
    "Call",
    "CallAnswer",
    "Cancel",
    "Cast",
    "Credit",
    "Frame",
    "Hello",
    "LoadNotice",
    "Open",
    "Ping",
    "Pong",
    "Query",
    "ReceivedFrame",
    "Refuse",
    "Running",
    "decode_body",
    "decode_header",
    "encode",
]

VERSION = 1
MAX_FRAME_SIZE_BYTES = 1 << 20
HEADER = struct.Struct(">IBBq")
_DEFLATED = 0x80
"""Set in the kind of a frame whose struct is deflated."""

wire = _thrift.load_module("wire")

Headers = list[tuple[bytes, bytes]]


class Hello(msgspec.Struct):
    """Opens a link; ``boot_id`` tells a restarted node from its former.

    :param sent_ms: on the sender's monotonic clock.
    :param inflates: whether the sender reads deflated frames.
    """

    node: str
    boot_id: int
    failure_domain: str
    sent_ms: int = 0
    inflates: bool = False


class Open(msgspec.Struct):
    """Asks an owner to run a request.

    :param reference_ms: median answer time of the service; 0 if unknown.
    :param fingerprint: digest of service, method, target and body.
    :param body_follows: more of the body comes in :class:`BodyChunk`.
    :param sent_ms: on the sender's monotonic clock.
    :param rank: urgency; 0 is the most urgent.
    :param objective_ms: time left in which an answer has its full worth;
        0 where that is not known.
    :param claim_token: the holder of the idempotency key's claim, or "".
    """

    request_id: int
    service_name: str
    route: str
    idempotent: bool
    remaining_ms: int
    fingerprint: int
    method: bytes
    target: bytes
    headers: Headers
    team: str = ""
    reference_ms: float = 0.0
    body: bytes = b""
    body_follows: bool = False
    claim_token: str = ""
    claim_key: str = ""
    reference_error_ratio: float = 0.0
    healthy_share: float = 1.0
    last_resort: bool = False
    sent_ms: int = 0
    rank: int = 0
    objective_ms: int = 0
    wants_proof: bool = False
    is_repeat: bool = False


class BodyChunk(msgspec.Struct):
    """A further part of a request's body."""

    request_id: int
    data: bytes
    last: bool


class Cancel(msgspec.Struct):
    """The caller no longer waits for this request."""

    request_id: int


class Credit(msgspec.Struct):
    """Acknowledges answer bytes; ``done`` lets the owner forget it all."""

    request_id: int
    received_bytes: int
    done: bool


class Query(msgspec.Struct):
    """Asks, on a new link, what became of a request."""

    request_id: int
    has_head: bool
    received_bytes: int


class AnswerHead(msgspec.Struct):
    """Status and headers of an answer."""

    request_id: int
    status: int
    headers: Headers
    load: _decision_types.OwnerLoad | None


class AnswerChunk(msgspec.Struct):
    """A part of an answer's body at its offset.

    :param waiting_ms: time in the owner's queue, on the last part.
    :param upstream_ms: time at the upstream, on the last part.
    """

    request_id: int
    offset_bytes: int
    data: bytes
    last: bool
    waiting_ms: float = 0.0
    upstream_ms: float = 0.0


class Refuse(msgspec.Struct):
    """Ends a request without a whole answer.

    :param ran_unknown: false means that the request did not run.
    :param retry_after_ms: when to come back; -1 where that does not help.
    """

    request_id: int
    code: str
    ran_unknown: bool
    retry_after_ms: int
    final: bool
    load: _decision_types.OwnerLoad | None
    message: str


class Running(msgspec.Struct):
    """Answers a query: the request is queued or runs."""

    request_id: int


class LoadNotice(msgspec.Struct):
    """Tells an ingress that the owner takes work again, or none."""

    load: _decision_types.OwnerLoad | None


class Ping(msgspec.Struct):
    """Asks for a sign of life while work is outstanding."""

    number: int


class Pong(msgspec.Struct):
    """Answers a ping."""

    number: int


class Cast(msgspec.Struct):
    """A one-way message of a subsystem."""

    channel: int
    body: bytes


class Call(msgspec.Struct):
    """A message of a subsystem that wants an answer."""

    call_id: int
    channel: int
    body: bytes


class CallAnswer(msgspec.Struct):
    """The answer to a call; ``error_code`` is "" where it went well."""

    call_id: int
    body: bytes
    error_code: str
    error_message: str


Frame = (
    Hello
    | Open
    | BodyChunk
    | Cancel
    | Credit
    | Query
    | AnswerHead
    | AnswerChunk
    | Refuse
    | Running
    | Ping
    | Pong
    | Cast
    | Call
    | CallAnswer
    | LoadNotice
)

_KINDS: list[type[t.Any]] = [
    Hello,
    Open,
    BodyChunk,
    Cancel,
    Credit,
    Query,
    AnswerHead,
    AnswerChunk,
    Refuse,
    Running,
    Ping,
    Pong,
    Cast,
    Call,
    CallAnswer,
    LoadNotice,
]
_NUMBERS = {kind: number for number, kind in enumerate(_KINDS, 1)}
_FIELDS = {kind: kind.__struct_fields__ for kind in _KINDS}
_DEFAULTS: dict[type[t.Any], dict[str, t.Any]] = {
    kind: dict(
        zip(
            reversed(kind.__struct_fields__),
            reversed(kind.__struct_defaults__),
            strict=False,
        )
    )
    for kind in _KINDS
}
"""Values that a frame leaves out."""
_CHECKS = {
    "int": int,
    "str": str,
    "bytes": bytes,
    "bool": bool,
    "float": float,
}
_SCALARS = {
    kind: [
        (name, _CHECKS[hint])
        for name, hint in kind.__annotations__.items()
        if hint in _CHECKS
    ]
    for kind in _KINDS
}


class ReceivedFrame(msgspec.Struct):
    """The header of a frame that is being received.

    :param size_bytes: length of the struct that follows.
    :param config_index: highest config index that the sender has seen.
    """

    size_bytes: int
    kind: int
    config_index: int
    is_deflated: bool = False


def encode(
    frame: Frame,
    config_index: int,
    deflate: cabc.Callable[[bytes], bytes] | None = None,
) -> bytes:
    """Return a frame with its header.

    :param deflate: what the struct goes through, where it is deflated.
    """
    kind = type(frame)
    values = {name: getattr(frame, name) for name in _FIELDS[kind]}
    for name, default in _DEFAULTS[kind].items():
        if values[name] == default:
            del values[name]
    if "headers" in values:
        values["headers"] = [
            wire.HeaderField(name=name, value=value)
            for name, value in values["headers"]
        ]
    if "load" in values:
        values["load"] = _encode_load(values["load"])
    body = _thrift.encode(getattr(wire, kind.__name__)(**values))
    number = _NUMBERS[kind]
    if deflate is not None:
        body = deflate(body)
        number |= _DEFLATED
    return HEADER.pack(len(body), VERSION, number, config_index) + body


def decode_header(data: bytes) -> ReceivedFrame:
    """Return the header that ``data`` holds.

    :raises papayastall.exceptions.ProtocolError: unknown version or kind,
        or a size over the limit.
    """
    size_bytes, version, kind, config_index = HEADER.unpack(data)
    if version != VERSION:
        raise _bad_frame(f"version {version} is not known")
    is_deflated = bool(kind & _DEFLATED)
    kind &= ~_DEFLATED
    if not 1 <= kind <= len(_KINDS):
        raise _bad_frame(f"kind {kind} is not known")
    if size_bytes > MAX_FRAME_SIZE_BYTES:
        raise _bad_frame(f"{size_bytes} bytes are over the limit")
    return ReceivedFrame(size_bytes, kind, config_index, is_deflated)


def decode_body(header: ReceivedFrame, body: bytes) -> Frame:
    """Return the frame whose struct is ``body``.

    :raises papayastall.exceptions.ProtocolError: the struct is malformed
        or lacks a field.
    """
    kind = _KINDS[header.kind - 1]
    struct_value = _thrift.decode(getattr(wire, kind.__name__), body)
    values = {name: getattr(struct_value, name) for name in _FIELDS[kind]}
    for name, default in _DEFAULTS[kind].items():
        if values[name] is None:
            values[name] = default
    for name, expected in _SCALARS[kind]:
        if type(values[name]) is not expected:
            raise _bad_frame(f"{kind.__name__} lacks a proper {name}")
    if "headers" in values:
        values["headers"] = _decode_headers(values["headers"])
    if "load" in values:
        values["load"] = _decode_load(values["load"])
    return t.cast(Frame, kind(**values))


def _decode_headers(fields: t.Any) -> Headers:
    headers = [(field.name, field.value) for field in fields or []]
    for name, value in headers:
        if not isinstance(name, bytes) or not isinstance(value, bytes):
            raise _bad_frame("a header field is no bytes")
    return headers


def _encode_load(load: _decision_types.OwnerLoad | None) -> t.Any:
    if load is None:
        return None
    return wire.Load(
        owner=load.owner,
        service_name=load.service,
        slots=load.slots,
        weight=load.weight,
        in_flight=load.in_flight,
        queued=load.queued,
        latency_ms=load.latency_ms,
    )


def _decode_load(load: t.Any) -> _decision_types.OwnerLoad | None:
    if load is None:
        return None
    if not isinstance(load.owner, str) or load.weight is None:
        raise _bad_frame("a load lacks a field")
    return _decision_types.OwnerLoad(
        owner=load.owner,
        service=load.service_name,
        slots=load.slots or 0,
        weight=load.weight,
        in_flight=load.in_flight or 0,
        queued=load.queued or 0,
        latency_ms=load.latency_ms,
    )


def _bad_frame(message: str) -> exceptions.ProtocolError:
    return exceptions.ProtocolError(
        exceptions.ErrorCode.BAD_FRAME,
        f"{message}; run compatible versions on both sides",
        step="decode",
    )
