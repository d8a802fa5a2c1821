"""A small HTTP/1.1 reader and writer for the stand-ins."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import typing as t

__all__ = ["Message", "call", "encode", "exchange", "read_message"]

Headers = dict[str, str]


@dataclasses.dataclass(slots=True)
class Message:
    """A request or an answer; header names are in lower case.

    :param first_line: request line or status line.
    """

    first_line: str
    headers: Headers
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split()[1])


async def read_message(
    reader: asyncio.StreamReader, *, is_answer: bool = False
) -> Message | None:
    """Read one whole message; ``None`` if the peer closed before its start.

    :raises asyncio.IncompleteReadError: it ended early.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    headers: Headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_answer:
        body = await reader.read()
    return Message(lines[0], headers, body)


def encode(
    first_line: str, headers: t.Mapping[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a message with its content length."""
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def exchange(
    address: str, data: bytes, timeout_s: float
) -> Message | None:
    """Send bytes on a new connection and return the answer."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            return await read_message(reader, is_answer=True)
        finally:
            writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = 1.0,
) -> Message | None:
    """Make a JSON call of the platform; ``None`` without an answer."""
    data = b"" if body is None else json.dumps(body).encode()
    headers = {"Host": address, "Content-Type": "application/json"}
    request = encode(f"{method} {path} HTTP/1.1", headers, data)
    try:
        return await exchange(address, request, timeout_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
