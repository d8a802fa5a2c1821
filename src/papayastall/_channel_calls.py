"""Dispatch of calls and one-way messages to subsystems by channel."""

from __future__ import annotations

import itertools

import anyio
import msgspec

from papayastall import _frames
from papayastall import _peering
from papayastall import exceptions

__all__ = ["ChannelCalls", "PendingCall"]


class PendingCall(msgspec.Struct):
    """A call that waits for the peer's answer."""

    frame: _frames.Call
    answered: anyio.Event
    answer: _frames.CallAnswer | None = None

    def read_answer(self, peer: str) -> bytes:
        """Return the body of the answer.

        :raises papayastall.exceptions.UnreachableError: no answer has
            arrived.
        :raises papayastall.exceptions.PapayastallError: the peer answered
            with an error.
        """
        answer = self.answer
        if answer is None:
            raise exceptions.UnreachableError(
                exceptions.ErrorCode.LINK_FAILED,
                "no answer in time; check the node",
                step="call",
                peer=peer,
            )
        if not answer.error_code:
            return answer.body
        raise exceptions.PapayastallError(
            _read_code(answer.error_code),
            answer.error_message,
            step="call",
            peer=peer,
        )


class ChannelCalls:
    """Handlers of each channel and the calls that have no answer yet.

    :ivar rejected_casts: one-way messages that their handler rejected.
    """

    def __init__(self) -> None:
        self._cast_handlers: dict[int, _peering.CastHandler] = {}
        self._call_handlers: dict[int, _peering.CallHandler] = {}
        self._call_ids = itertools.count(1)
        self._pending: dict[int, PendingCall] = {}
        self.rejected_casts = 0

    def handle_casts(
        self, channel: _peering.Channel, handler: _peering.CastHandler
    ) -> None:
        """Register the handler of a channel's one-way messages."""
        self._cast_handlers[int(channel)] = handler

    def handle_calls(
        self, channel: _peering.Channel, handler: _peering.CallHandler
    ) -> None:
        """Register the handler that answers a channel's calls."""
        self._call_handlers[int(channel)] = handler

    def begin(self, channel: _peering.Channel, body: bytes) -> PendingCall:
        """Register and return a new call; :meth:`end` must follow."""
        frame = _frames.Call(next(self._call_ids), int(channel), body)
        pending = PendingCall(frame, anyio.Event())
        self._pending[frame.call_id] = pending
        return pending

    def end(self, pending: PendingCall) -> None:
        """Unregister a call; an answer to it is ignored from now on."""
        del self._pending[pending.frame.call_id]

    def deliver_answer(self, frame: _frames.CallAnswer) -> None:
        """Pass an answer to the call that waits for it, if any."""
        pending = self._pending.get(frame.call_id)
        if pending is not None:
            pending.answer = frame
            pending.answered.set()

    async def run_call(self, sender: str, channel: int, body: bytes) -> bytes:
        """Run the handler of a call and return the body of its answer.

        :raises papayastall.exceptions.ProtocolError: the channel has no
            handler.
        :raises papayastall.exceptions.PapayastallError: the handler failed.
        """
        handler = self._call_handlers.get(channel)
        if handler is None:
            raise exceptions.ProtocolError(
                exceptions.ErrorCode.BAD_FRAME,
                f"channel {channel} has no handler",
                step="call",
            )
        return await handler(sender, body)

    async def answer(
        self, sender: str, frame: _frames.Call
    ) -> _frames.CallAnswer:
        """Run a peer's call and return the frame that answers it."""
        answer = _frames.CallAnswer(frame.call_id, b"", "", "")
        try:
            answer.body = await self.run_call(
                sender, frame.channel, frame.body
            )
        except exceptions.PapayastallError as error:
            answer.error_code = error.code.value
            answer.error_message = error.message
        return answer

    async def run_cast(self, sender: str, frame: _frames.Cast) -> None:
        """Run the handler of a one-way message.

        A message that its handler rejects is counted in ``rejected_casts``.
        """
        handler = self._cast_handlers.get(frame.channel)
        if handler is None:
            return
        try:
            await handler(sender, frame.body)
        except exceptions.PapayastallError:
            # The sender expects no answer, and may run another version.
            self.rejected_casts += 1


def _read_code(text: str) -> exceptions.ErrorCode:
    try:
        return exceptions.ErrorCode(text)
    except ValueError:
        return exceptions.ErrorCode.INTERNAL
