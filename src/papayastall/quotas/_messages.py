"""Messages between nodes about quotas, as compact JSON arrays."""

from __future__ import annotations

import math

import msgspec

from papayastall import exceptions

__all__ = [
    "Answer",
    "Ask",
    "BucketState",
    "Claim",
    "Handover",
    "Limits",
    "Message",
    "Return",
    "Vote",
    "decode",
    "decode_answer",
    "encode",
]

MAX_TOKENS = 10_000
"""Most tokens that a message may name; bounds what a faulty peer causes."""
MAX_TEAM_CHARS = 1_024
SLOT_COUNT = 32
"""Teams are hashed to this number of slots; a slot has one holder."""


class Limits(msgspec.Struct, frozen=True, array_like=True):
    """The quota of a team in one version of the route table."""

    rate_per_s: float
    burst: float
    version: int


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Asks the holder of a team for tokens.

    :param wanted: tokens for requests that wait.
    :param spare: tokens for requests that are expected.
    :param returned: unused tokens of earlier answers that have expired.
    :param limits: those in force at the ingress.
    :param forwards: whether a node that is not the holder passes this on.
    """

    team: str
    wanted: int
    spare: int
    returned: int
    limits: Limits
    forwards: bool = False


class Answer(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """Answers an :class:`Ask`.

    :param decides: whether the sender holds the team; if not, only
        ``holder`` has a meaning.
    :param granted: tokens for requests that wait.
    :param spare: tokens for requests that are expected.
    :param wait_s: time until the next token is there.
    :param holder: the holder as the sender knows it; "" if unknown.
    """

    decides: bool
    granted: int = 0
    spare: int = 0
    wait_s: float = 0.0
    holder: str = ""


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Tells a seat that the sender lives and which slots it claims.

    :param number: names the claim in the votes for it.
    :param wanted: bit mask of the slots that the sender holds or wants.
    :param is_able: whether it hears more than half of the seats.
    :param released: bit mask of the slots that it holds no longer.
    """

    number: int
    wanted: int
    is_able: bool
    released: int = 0


class Vote(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """Grants the slots of a claim for the duration of a lease."""

    number: int
    granted: int


class BucketState(msgspec.Struct, frozen=True, array_like=True):
    """The bucket of a team that changes its holder."""

    team: str
    tokens: float
    limits: Limits


class Handover(msgspec.Struct, frozen=True, array_like=True, tag="handover"):
    """Passes slots on to the next holder, which has yet to claim them.

    :param held_s: time for which the sender held all of them.
    """

    slots: int
    held_s: float
    buckets: tuple[BucketState, ...]


class Return(msgspec.Struct, frozen=True, array_like=True, tag="return"):
    """Returns tokens that expired without having been used."""

    team: str
    tokens: int


Message = Ask | Claim | Vote | Handover | Return

_decoder = msgspec.json.Decoder(Message)
_answer_decoder = msgspec.json.Decoder(Answer)


def encode(message: Message | Answer) -> bytes:
    """Return the body of a message."""
    return msgspec.json.encode(message)


def decode(body: bytes) -> Message:
    """Return the message in a body.

    :raises papayastall.exceptions.ProtocolError: it is malformed.
    """
    try:
        message = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _malformed(error) from error
    if not _is_in_range(message):
        raise _malformed("a number is out of range")
    return message


def decode_answer(body: bytes) -> Answer:
    """Return the answer in a body.

    :raises papayastall.exceptions.ProtocolError: it is malformed.
    """
    try:
        answer = _answer_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _malformed(error) from error
    if not _are_counts(answer.granted, answer.spare) or not (
        math.isfinite(answer.wait_s) and answer.wait_s >= 0.0
    ):
        raise _malformed("a number is out of range")
    return answer


def _is_in_range(message: Message) -> bool:
    match message:
        case Ask():
            return (
                _is_name(message.team)
                and _are_counts(
                    message.wanted, message.spare, message.returned
                )
                and _are_limits(message.limits)
            )
        case Claim():
            return _are_slots(message.wanted, message.released)
        case Vote():
            return _are_slots(message.granted)
        case Handover():
            return (
                _are_slots(message.slots)
                and 0.0 <= message.held_s < math.inf
                and all(
                    math.isfinite(state.tokens) and _are_limits(state.limits)
                    for state in message.buckets
                )
            )
        case Return():
            return _are_counts(message.tokens)


def _is_name(team: str) -> bool:
    return len(team) <= MAX_TEAM_CHARS


def _are_counts(*counts: int) -> bool:
    return all(0 <= count <= MAX_TOKENS for count in counts)


def _are_slots(*masks: int) -> bool:
    return all(0 <= mask < 1 << SLOT_COUNT for mask in masks)


def _are_limits(limits: Limits) -> bool:
    return 0.0 < limits.rate_per_s < math.inf and (
        0.0 <= limits.burst < math.inf
    )


def _malformed(cause: Exception | str) -> exceptions.ProtocolError:
    return exceptions.ProtocolError(
        exceptions.ErrorCode.BAD_FRAME,
        f"the body holds no message about quotas: {cause}; both sides must "
        "run compatible versions",
        step="decode-quota",
    )
