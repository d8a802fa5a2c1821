"""A TCP connection between two nodes that carries frames."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import enum

import anyio
import anyio.abc

from papayastall import _frame_deflate
from papayastall import _frames
from papayastall import _lateness
from papayastall import clock
from papayastall import exceptions

__all__ = ["Connection", "Direction", "MAX_UNSENT_BYTES"]

MAX_UNSENT_BYTES = 16 << 20
"""Unsent bytes beyond which a connection is closed."""
READ_SIZE_BYTES = 1 << 16
MAX_HELLO_BYTES = 4 << 10
"""Size of the first frame of a connection, which is a hello."""

_UNCOMPRESSED_FRAMES = (_frames.AnswerChunk, _frames.BodyChunk)

ROOM_BYTES = 128 << 10
"""Unsent bytes below which there is room for parts of bodies and answers."""

KeepBytes = cabc.Callable[["Connection", "Direction", int], bool]
ReceiveFrame = cabc.Callable[["Connection", int, _frames.Frame], None]


class Direction(enum.Enum):
    """Of the frames that a connection keeps."""

    INPUT = "input"
    OUTPUT = "output"


class Connection:
    """Sends and receives frames on one byte stream.

    Frames are sent in order; all that are queued go out in one write.
    Input that is not a valid frame closes this connection and has no other
    effect.

    :param receive_frame: called for each frame, with this connection, the
        config index in the frame's header, and the frame.
    :param keep_bytes: books the part of a frame that was received, or the
        frames that were not sent; returns whether they may be kept.
    :param note_room: called when there is room again after :meth:`has_room`
        has returned false.
    :ivar peer: the peer's hello, ``None`` until it arrives.
    :ivar address: the peer's link address; "" on an accepted connection
        until the peer's hello arrives.
    :ivar partial_since_s: when memory was booked for a part of a frame that
        is not complete; ``None`` if there is none.
    :ivar error: why the peer's input was rejected, ``None`` if it was not.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        receive_frame: ReceiveFrame,
        keep_bytes: KeepBytes = lambda connection, direction, size: True,
        note_room: cabc.Callable[[Connection], None] = lambda connection: None,
    ) -> None:
        self._stream = stream
        self._keep_bytes = keep_bytes
        self._note_room = note_room
        self._is_awaited = False
        self._kept_input_bytes = 0
        self._kept_output_bytes = 0
        self.partial_since_s: float | None = None
        self._receive_frame = receive_frame
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._wakeup = anyio.Event()
        self._closed = anyio.Event()
        self.peer: _frames.Hello | None = None
        self.address = ""
        self.last_received_s = clock.now_s()
        self.lateness_estimator = _lateness.LatenessEstimator()
        self.error: exceptions.ProtocolError | None = None
        self._deflater: _frame_deflate.Deflater | None = None
        self._inflater: _frame_deflate.Inflater | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed for sending."""
        return self._closed.is_set()

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that are queued or being written."""
        return self._unsent_bytes

    def has_room(self) -> bool:
        """Return whether there is room for parts of bodies and answers."""
        if self._unsent_bytes < ROOM_BYTES:
            return not self.is_closed
        self._is_awaited = True
        return False

    @property
    def is_deflating(self) -> bool:
        """Whether outgoing frames are deflated."""
        return self._deflater is not None

    def start_deflating(self) -> None:
        """Deflate the frames that follow.

        The peer's hello must have ``inflates`` set.
        """
        self._deflater = _frame_deflate.Deflater()

    def send(self, frame: _frames.Frame, config_index: int) -> None:
        """Queue a frame, or drop it if the connection is closed.

        The connection is closed once more than ``MAX_UNSENT_BYTES`` are
        unsent.
        """
        if self.is_closed:
            return
        deflate = None
        if self._deflater is not None and not isinstance(
            frame, _UNCOMPRESSED_FRAMES
        ):
            deflate = self._deflater.deflate
        data = _frames.encode(frame, config_index, deflate)
        self._unsent.append(data)
        self._unsent_bytes += len(data)
        self._count_output()
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            self.close()
        self._wakeup.set()

    def _count_output(self) -> None:
        """Book frames that were not sent; close if they may not be kept."""
        size_bytes = self._unsent_bytes
        if size_bytes <= READ_SIZE_BYTES or self.is_closed:
            size_bytes = 0
        if size_bytes == self._kept_output_bytes:
            return
        self._kept_output_bytes = size_bytes
        if not self._keep_bytes(self, Direction.OUTPUT, size_bytes):
            self.close()

    def close(self) -> None:
        """Close the connection; unsent frames are dropped."""
        self._closed.set()
        self._wakeup.set()

    async def run(self) -> None:
        """Send and receive frames until either side closes."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write_frames)
                tasks.start_soon(self._read_frames)
                await self._closed.wait()
                tasks.cancel_scope.cancel()
        finally:
            self.close()
            self._unsent.clear()
            self._count_output()
            with anyio.CancelScope(shield=True), anyio.move_on_after(0.5):
                with contextlib.suppress(anyio.BrokenResourceError, OSError):
                    await anyio.aclose_forcefully(self._stream)

    async def _write_frames(self) -> None:
        try:
            while not self.is_closed:
                await self._wakeup.wait()
                self._wakeup = anyio.Event()
                data = b"".join(self._unsent)
                self._unsent.clear()
                if data:
                    await self._stream.send(data)
                self._unsent_bytes -= len(data)
                self._count_output()
                if self._is_awaited and self._unsent_bytes < ROOM_BYTES:
                    self._is_awaited = False
                    self._note_room(self)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            pass
        finally:
            self.close()

    async def _read_frames(self) -> None:
        buffer = bytearray()
        try:
            while not self.is_closed:
                buffer += await self._stream.receive(READ_SIZE_BYTES)
                self.last_received_s = clock.now_s()
                self._dispatch_frames(buffer)
                self._count_input(len(buffer))
        except exceptions.ProtocolError as error:
            self.error = error
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            OSError,
        ):
            pass
        finally:
            self._count_input(0)
            self.close()

    def _count_input(self, size_bytes: int) -> None:
        """Book the part of a frame that was received.

        :raises papayastall.exceptions.ProtocolError: it may not be kept.
        """
        if size_bytes <= READ_SIZE_BYTES:
            size_bytes = 0
            self.partial_since_s = None
        elif self.partial_since_s is None:
            self.partial_since_s = self.last_received_s
        if size_bytes == self._kept_input_bytes:
            return
        self._kept_input_bytes = size_bytes
        if not self._keep_bytes(self, Direction.INPUT, size_bytes):
            raise exceptions.ProtocolError(
                exceptions.ErrorCode.MEMORY_FULL,
                "the memory for frames of other nodes is in use",
                step="receive",
            )

    def _dispatch_frames(self, buffer: bytearray) -> None:
        """Decode each complete frame and remove it from the buffer."""
        position = 0
        header_size = _frames.HEADER.size
        while len(buffer) - position >= header_size:
            start = position + header_size
            header = _frames.decode_header(bytes(buffer[position:start]))
            if self.peer is None and header.size_bytes > MAX_HELLO_BYTES:
                raise exceptions.ProtocolError(
                    exceptions.ErrorCode.BAD_FRAME,
                    "the first frame must be a hello",
                    step="receive",
                )
            end = start + header.size_bytes
            if len(buffer) < end:
                break
            body = bytes(buffer[start:end])
            if header.is_deflated:
                if self._inflater is None:
                    self._inflater = _frame_deflate.Inflater()
                body = self._inflater.inflate(body)
            frame = _frames.decode_body(header, body)
            position = end
            self._receive_frame(self, header.config_index, frame)
        del buffer[:position]
