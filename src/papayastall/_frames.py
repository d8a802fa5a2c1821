"""Frames between nodes: their classes and their encoding.

A frame on a link is a header (length, version, kind, config index)
followed by a thrift struct. Readers reject versions that they do not know
and ignore unknown fields of a struct.
"""

from __future__ import annotations

import collections.abc as cabc
import math
import struct
import typing as t

import msgspec

from papayastall import _decision_types
from papayastall import _thrift
from papayastall import exceptions

__all__ = [
    "HEADER",
    "MAX_FRAME_BYTES",
    "AnswerChunk",
    "AnswerHead",
    "BodyChunk",
    "BodyGrant",
    "Call",
    "CallAnswer",
    "Cancel",
    "Cast",
    "Credit",
    "Frame",
    "FrameHeader",
    "Hello",
    "LoadNotice",
    "Open",
    "Ping",
    "Pong",
    "Query",
    "Refuse",
    "Running",
    "decode_body",
    "decode_header",
    "encode",
]

VERSION = 1
MAX_FRAME_BYTES = 1 << 20
HEADER = struct.Struct(">IBBq")
_DEFLATED_FLAG = 0x80
"""Flag in the kind of a frame: its struct is deflated."""

wire = _thrift.load_module("wire")

Headers = list[tuple[bytes, bytes]]


class Hello(msgspec.Struct):
    """The first frame of a connection, in each direction.

    :param node: link address of the sender.
    :param boot_id: differs after each restart of the sender.
    :param sent_ms: send time on the sender's monotonic clock.
    :param inflates: whether the sender can read deflated frames.
    :param grants_body: whether the sender, as owner, asks for the rest of a
        body with :class:`BodyGrant`. Otherwise it expects it at once.
    """

    node: str
    boot_id: int
    failure_domain: str
    sent_ms: int = 0
    inflates: bool = False
    grants_body: bool = False


class Open(msgspec.Struct):
    """A request that an ingress asks an owner to run.

    :param remaining_ms: time until the request's deadline.
    :param reference_ms: median time of the route's recent answers over all
        owners; 0 if unknown.
    :param fingerprint: digest of service, method, target and body.
    :param body_follows: whether the rest of the body follows in
        :class:`BodyChunk` frames.
    :param sent_ms: send time on the sender's monotonic clock.
    :param rank: urgency; 0 is the most urgent.
    :param objective_ms: time left of the route's objective, within which an
        answer has its full worth; 0 if there is none.
    :param claim_token: identifies the holder of the claim on the
        idempotency key; "" without a claim.
    :param claim_key: service, team and idempotency key of the claim, in one
        text.
    :param reference_error_ratio: share of failed answers on the route over
        all owners, 0 to 1.
    :param healthy_share: share of the service's slots whose owners the
        ingress does not avoid, 0 to 1.
    :param last_resort: whether no better owner is left; the owner then
        ignores its steering.
    :param wants_proof: whether the owner should run the request only on an
        upstream that recent work has shown to be healthy.
    :param is_repeat: whether an earlier attempt may have reached an
        upstream.
    :param notices: of upstreams of the service, as the ingress knows them.
    :param is_suspect: whether an upstream of another owner was lost with an
        earlier attempt.
    :param expected_ms: run time that the ingress expects of this request; 0
        if unknown.
    :param body_bytes: length of the whole body, if the rest of it is sent as
        the owner asks for it; 0 if it follows at once.
    :param answer_window_bytes: unacknowledged bytes of the answer that the
        owner may send; 0 for its own default.
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
    notices: tuple[_decision_types.UpstreamNotice, ...] = ()
    is_suspect: bool = False
    expected_ms: float = 0.0
    body_bytes: int = 0
    answer_window_bytes: int = 0


class BodyChunk(msgspec.Struct):
    """A further chunk of a request's body.

    :param last: whether this chunk completes the body.
    :param offset_bytes: position of ``data`` in the body; 0 in a body that
        is sent without being asked for.
    """

    request_id: int
    data: bytes
    last: bool
    offset_bytes: int = 0


class BodyGrant(msgspec.Struct):
    """An owner's permission to send more of a request's body.

    :param limit_bytes: offset in the body up to which it may be sent.
    :param resume_bytes: offset from which to send it again, because parts
        may have been lost with a link; -1 to go on.
    """

    request_id: int
    limit_bytes: int
    resume_bytes: int = -1


class Cancel(msgspec.Struct):
    """Notice that the caller no longer waits for a request."""

    request_id: int


class Credit(msgspec.Struct):
    """Acknowledgement of answer bytes.

    :param done: whether the owner may discard the answer.
    :param window_bytes: unacknowledged bytes that the owner may send from
        now on; 0 if that does not change.
    """

    request_id: int
    received_bytes: int
    done: bool
    window_bytes: int = 0


class Query(msgspec.Struct):
    """Question, on a new connection, about the state of a request.

    :param has_head: whether the answer's head was received.
    :param received_bytes: length of the answer's body received so far.
    """

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
    """A chunk of an answer's body.

    :param offset_bytes: position of ``data`` in the body.
    :param waiting_ms: time in the owner's queue; set on the last chunk.
    :param upstream_ms: time at the upstream; set on the last chunk.
    """

    request_id: int
    offset_bytes: int
    data: bytes
    last: bool
    waiting_ms: float = 0.0
    upstream_ms: float = 0.0


class Refuse(msgspec.Struct):
    """The end of a request without a complete answer.

    :param ran_unknown: whether the request may have run; if false, it did
        not.
    :param retry_after_ms: delay before a retry; -1 if a retry can't help.
    :param final: whether neither a retry nor another owner can help.
    """

    request_id: int
    code: str
    ran_unknown: bool
    retry_after_ms: int
    final: bool
    load: _decision_types.OwnerLoad | None
    message: str


class Running(msgspec.Struct):
    """Answer to a query: the request is queued or running."""

    request_id: int


class LoadNotice(msgspec.Struct):
    """Load of an owner that has begun or stopped accepting work of a service.

    Sent without a request, so that an ingress learns of it before one of
    its requests is refused.
    """

    load: _decision_types.OwnerLoad | None


class Ping(msgspec.Struct):
    """Check that a peer with outstanding work still responds."""

    number: int


class Pong(msgspec.Struct):
    """Answer to a ping, with its number."""

    number: int


class Cast(msgspec.Struct):
    """A one-way message of a subsystem."""

    channel: int
    body: bytes


class Call(msgspec.Struct):
    """A message of a subsystem that expects an answer."""

    call_id: int
    channel: int
    body: bytes


class CallAnswer(msgspec.Struct):
    """The answer to a call; ``error_code`` is "" on success."""

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
    | BodyGrant
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
    BodyGrant,
]
"""Frame classes in the order of their kinds on the wire, which start at 1."""
_KIND_NUMBERS = {kind: number for number, kind in enumerate(_KINDS, 1)}
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
"""Values that are not encoded; the reader puts them back."""
_SCALAR_TYPES = {
    "int": int,
    "str": str,
    "bytes": bytes,
    "bool": bool,
    "float": float,
}
_SCALAR_FIELDS = {
    kind: [
        (name, _SCALAR_TYPES[hint])
        for name, hint in kind.__annotations__.items()
        if hint in _SCALAR_TYPES
    ]
    for kind in _KINDS
}


class FrameHeader(msgspec.Struct):
    """The decoded header of a frame.

    :param size_bytes: length of the struct that follows.
    :param kind: number of the frame's class, without the deflate flag.
    :param config_index: index of the config in force on the sender.
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
    """Return the encoding of a frame, with its header.

    :param config_index: index of the config in force on this node.
    :param deflate: compresses the struct; ``None`` leaves it as it is.
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
    if "notices" in values:
        values["notices"] = _encode_notices(values["notices"])
    body = _thrift.encode(getattr(wire, kind.__name__)(**values))
    number = _KIND_NUMBERS[kind]
    if deflate is not None:
        body = deflate(body)
        number |= _DEFLATED_FLAG
    return HEADER.pack(len(body), VERSION, number, config_index) + body


def decode_header(data: bytes) -> FrameHeader:
    """Return the header that ``data`` encodes.

    :param data: ``HEADER.size`` bytes.
    :raises papayastall.exceptions.ProtocolError: the version or kind is
        unknown, or the size exceeds ``MAX_FRAME_BYTES``.
    """
    size_bytes, version, kind, config_index = HEADER.unpack(data)
    if version != VERSION:
        raise _bad_frame(f"the frame version {version} is unknown")
    is_deflated = bool(kind & _DEFLATED_FLAG)
    kind &= ~_DEFLATED_FLAG
    if not 1 <= kind <= len(_KINDS):
        raise _bad_frame(f"the frame kind {kind} is unknown")
    if size_bytes > MAX_FRAME_BYTES:
        raise _bad_frame(f"a frame of {size_bytes} bytes is over the limit")
    return FrameHeader(size_bytes, kind, config_index, is_deflated)


def decode_body(header: FrameHeader, body: bytes) -> Frame:
    """Return the frame whose encoded struct is ``body``.

    :raises papayastall.exceptions.ProtocolError: the struct is malformed,
        or a field is missing or of the wrong type.
    """
    kind = _KINDS[header.kind - 1]
    struct_value = _thrift.decode(getattr(wire, kind.__name__), body)
    values = {name: getattr(struct_value, name) for name in _FIELDS[kind]}
    for name, default in _DEFAULTS[kind].items():
        if values[name] is None:
            values[name] = default
    for name, expected in _SCALAR_FIELDS[kind]:
        if type(values[name]) is not expected:
            raise _bad_frame(f"{kind.__name__} has no valid {name}")
    if "headers" in values:
        values["headers"] = _decode_headers(values["headers"])
    if "load" in values:
        values["load"] = _decode_load(values["load"])
    if "notices" in values:
        values["notices"] = _decode_notices(values["notices"])
    return t.cast(Frame, kind(**values))


def _decode_headers(fields: t.Any) -> Headers:
    headers = [(field.name, field.value) for field in fields or []]
    for name, value in headers:
        if not isinstance(name, bytes) or not isinstance(value, bytes):
            raise _bad_frame("the name or value of a header is not binary")
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
        notices=_encode_notices(load.notices) or None,
        work_s=load.work_s,
        gray_odds=load.gray_odds,
        repeats_left=load.repeats_left,
    )


def _encode_notices(
    notices: cabc.Iterable[_decision_types.UpstreamNotice],
) -> list[t.Any]:
    return [
        wire.UpstreamNotice(
            upstream=notice.upstream,
            started_ms=notice.started_ms,
            limit_per_s=notice.limit_per_s,
            is_leaving=notice.is_leaving,
        )
        for notice in notices
    ]


def _decode_notices(
    notices: t.Any,
) -> tuple[_decision_types.UpstreamNotice, ...]:
    decoded: list[_decision_types.UpstreamNotice] = []
    for notice in notices or []:
        limit_per_s = notice.limit_per_s
        if not isinstance(notice.upstream, str):
            raise _bad_frame("a notice names no upstream")
        if limit_per_s is not None and not 0.0 <= limit_per_s < math.inf:
            raise _bad_frame(f"a limit of {limit_per_s} requests a second")
        decoded.append(
            _decision_types.UpstreamNotice(
                notice.upstream,
                notice.started_ms or 0,
                limit_per_s,
                bool(notice.is_leaving),
            )
        )
    return tuple(decoded)


def _decode_load(load: t.Any) -> _decision_types.OwnerLoad | None:
    if load is None:
        return None
    if not isinstance(load.owner, str) or load.weight is None:
        raise _bad_frame("a load has no owner or no weight")
    return _decision_types.OwnerLoad(
        owner=load.owner,
        service=load.service_name,
        slots=load.slots or 0,
        weight=load.weight,
        in_flight=load.in_flight or 0,
        queued=load.queued or 0,
        latency_ms=load.latency_ms,
        notices=_decode_notices(load.notices),
        work_s=load.work_s,
        gray_odds=load.gray_odds,
        repeats_left=load.repeats_left,
    )


def _bad_frame(message: str) -> exceptions.ProtocolError:
    return exceptions.ProtocolError(
        exceptions.ErrorCode.BAD_FRAME,
        f"{message}; run compatible versions on both sides",
        step="decode",
    )
