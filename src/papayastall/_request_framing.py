"""Framing of requests: where heads, bodies and trailers end.

Whatever could be read in two ways is refused, so that no other server on a
request's way can see other requests in the same bytes.
"""

from __future__ import annotations

import enum
import re

__all__ = [
    "ChunkedDecoder",
    "FramingError",
    "HEAD_END",
    "check_head",
    "read_body_length",
]

HEAD_END = b"\r\n\r\n"
MAX_CHUNK_LINE_BYTES = 256
"""Length of the line before a chunk: its size and its extensions."""
MAX_EXTENSION_BYTES = 16 << 10
"""Sum of the extensions of all chunks of a body."""
MAX_TRAILER_BYTES = 8 << 10
"""Sum of the trailers of a body; they are dropped."""
MAX_LENGTH_DIGITS = 18
_CHUNK_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,16})((?:;[\t\x20-\x7e\x80-\xff]*)?)\Z"
)
_TRAILER = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\Z"
)
_LAST_CHUNK_BYTES = 2**63
_SMALL_SIZES = {
    text.encode(): size
    for size in range(1, 256)
    for text in (f"{size:x}", f"{size:X}", f"{size:02x}", f"{size:02X}")
}

Headers = list[tuple[bytes, bytes]]


class FramingError(Exception):
    """Input that is not a valid request.

    :param status: HTTP status of the answer.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.message = message
        self.status = status


def check_head(head: bytes) -> None:
    """Check the line ends of a head, and that it has no folded headers.

    :raises FramingError: other servers may read this head in another way.
    """
    lines = head.count(b"\r\n")
    if head.count(b"\n") != lines or head.count(b"\r") != lines:
        raise FramingError("a head has a line end that is not CR LF")
    if b"\r\n " in head or b"\r\n\t" in head:
        raise FramingError("a head has a folded header")
    if b"\x00" in head:
        raise FramingError("a head has a NUL")


def read_body_length(version: str, headers: Headers) -> int | None:
    """Return the length of a request's body; ``None`` if it is chunked.

    :param headers: with names in lower case.
    :raises FramingError: the headers contradict each other or are not valid.
    """
    lengths = []
    encodings = []
    for name, value in headers:
        if name == b"content-length":
            lengths.append(value)
        elif name == b"transfer-encoding":
            encodings.append(value)
    if not lengths and not encodings:
        return 0
    if encodings:
        if lengths or len(encodings) > 1 or version != "1.1":
            raise FramingError("a request has contradictory framing")
        if encodings[0].lower() != b"chunked":
            raise FramingError("only the transfer encoding chunked is known")
        return None
    [length, *others] = lengths
    # isdigit() also holds for no other bytes than the ASCII digits.
    if others or not length.isdigit() or len(length) > MAX_LENGTH_DIGITS:
        raise FramingError("Content-Length is not one number")
    return int(length)


class _State(enum.Enum):
    SIZE = enum.auto()
    DATA = enum.auto()
    DATA_END = enum.auto()
    TRAILERS = enum.auto()
    COMPLETE = enum.auto()


class ChunkedDecoder:
    """Decodes one chunked body; its trailers are checked and dropped."""

    def __init__(self) -> None:
        self._state = _State.SIZE
        self._line = b""
        self._left_bytes = 0
        self._extension_bytes = 0
        self._trailer_bytes = 0

    @property
    def is_complete(self) -> bool:
        """Whether the end of the body was reached."""
        return self._state is _State.COMPLETE

    def feed(self, data: bytes, position: int) -> tuple[bytes, int]:
        """Decode input from a position on.

        :returns: the part of the body in it, and the position after what
            was read: the end of the input, or of the body.
        :raises FramingError: the input is not a valid chunked body.
        """
        parts: list[bytes] = []
        end = len(data)
        while position < end and self._state is not _State.COMPLETE:
            if self._state is _State.DATA:
                part = data[position : position + self._left_bytes]
                parts.append(part)
                position += len(part)
                self._left_bytes -= len(part)
                if not self._left_bytes:
                    self._state = _State.DATA_END
                continue
            if self._state is _State.SIZE and not self._line:
                after = _decode_small_chunks(data, position, parts)
                if after > position:
                    position = after
                    continue
            line, position = self._read_line(data, position)
            if line is not None:
                self._handle_line(line)
        return b"".join(parts), position

    def _read_line(
        self, data: bytes, position: int
    ) -> tuple[bytes | None, int]:
        """Return the next line without its end, if it is complete."""
        limit = MAX_CHUNK_LINE_BYTES
        if self._state is _State.TRAILERS:
            limit = MAX_TRAILER_BYTES
        feed = data.find(b"\n", position, position + limit + 2)
        if feed < 0:
            self._line += data[position : position + limit + 2]
            if len(self._line) > limit + 1:
                raise FramingError("a line of a chunked body is too long")
            return None, len(data)
        line = self._line + data[position:feed]
        self._line = b""
        if not line.endswith(b"\r"):
            raise FramingError("a line end of a chunked body is not CR LF")
        if len(line) > limit + 1:
            raise FramingError("a line of a chunked body is too long")
        return line[:-1], feed + 1

    def _handle_line(self, line: bytes) -> None:
        match self._state:
            case _State.SIZE:
                self._handle_size(line)
            case _State.DATA_END:
                if line:
                    raise FramingError("a chunk is longer than its size")
                self._state = _State.SIZE
            case _:
                self._handle_trailer(line)

    def _handle_size(self, line: bytes) -> None:
        found = _CHUNK_LINE.match(line)
        if found is None:
            raise FramingError("the size of a chunk is not valid")
        self._extension_bytes += len(found[2])
        if self._extension_bytes > MAX_EXTENSION_BYTES:
            raise FramingError("the extensions of chunks are too long")
        size = int(found[1], 16)
        if size >= _LAST_CHUNK_BYTES:
            raise FramingError("the size of a chunk is out of range")
        self._left_bytes = size
        self._state = _State.DATA if size else _State.TRAILERS

    def _handle_trailer(self, line: bytes) -> None:
        if not line:
            self._state = _State.COMPLETE
            return
        self._trailer_bytes += len(line) + 2
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise FramingError("the trailers are too long")
        if _TRAILER.match(line) is None:
            raise FramingError("a trailer is not valid")


def _decode_small_chunks(
    data: bytes, position: int, parts: list[bytes]
) -> int:
    """Decode whole chunks of up to 255 bytes without extensions.

    The general way takes ten times as long, and a body may consist of
    chunks of one byte.

    :returns: the position after them; all else is left to the general way.
    """
    sizes = _SMALL_SIZES
    while True:
        start = data.find(b"\r\n", position, position + 4) + 2
        size = sizes.get(data[position : start - 2], 0) if start > 1 else 0
        stop = start + size
        if not size or data[stop : stop + 2] != b"\r\n":
            return position
        parts.append(data[start:stop])
        position = stop + 2
