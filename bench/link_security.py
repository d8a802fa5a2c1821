"""CPU time of a small frame over a loopback link, by kind of protection.

Plain TCP, TCP with a keyed digest on each frame, and mutual TLS 1.3. Both
ends run in this process, so the CPU time includes sender and receiver.
"""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import hmac
import pathlib
import ssl
import statistics
import tempfile
import time

from tests import certificates
from tests import test_settings

from papayastall import _tls
from papayastall import settings

FRAME_COUNT = 5_000
HANDSHAKE_COUNT = 100
REPEAT_COUNT = 5
FRAME_SIZES_BYTES = (256, 1_500)
KEY = bytes(32)
DIGEST_SIZE_BYTES = 16
ANSWER = b"."

MAX_TLS_EXTRA_US = 100.0
"""CPU time that TLS may add to one frame and its answer."""


@dataclasses.dataclass(slots=True, frozen=True)
class Protection:
    """A kind of protection of a link.

    :param keyed: whether each frame is followed by a keyed digest.
    :param server: TLS context of the accepting end.
    :param client: TLS context of the connecting end.
    """

    name: str
    keyed: bool
    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None


def digest(body: bytes) -> bytes:
    """Return the keyed digest of the body of a frame."""
    return hashlib.blake2b(
        body, key=KEY, digest_size=DIGEST_SIZE_BYTES
    ).digest()


async def measure_frames(protection: Protection, size_bytes: int) -> float:
    """Return the CPU time of a frame and its answer, in microseconds."""
    digest_bytes = DIGEST_SIZE_BYTES if protection.keyed else 0

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for _ in range(FRAME_COUNT):
            frame = await reader.readexactly(size_bytes + digest_bytes)
            if protection.keyed:
                body, received_digest = frame[:size_bytes], frame[size_bytes:]
                assert hmac.compare_digest(digest(body), received_digest)
            writer.write(ANSWER)
        writer.close()

    server, reader, writer = await connect(protection, serve)
    body = bytes(size_bytes)
    started_s = time.process_time()
    for _ in range(FRAME_COUNT):
        writer.write(body + digest(body) if protection.keyed else body)
        await reader.readexactly(len(ANSWER))
    spent_s = time.process_time() - started_s
    writer.close()
    server.close()
    return spent_s / FRAME_COUNT * 1e6


async def connect(
    protection: Protection, serve: object
) -> tuple[asyncio.Server, asyncio.StreamReader, asyncio.StreamWriter]:
    """Start a server and connect to it.

    :param serve: the server's callback for connections.
    """
    server = await asyncio.start_server(
        serve,  # type: ignore[arg-type]
        "127.0.0.1",
        0,
        ssl=protection.server,
    )
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", port, ssl=protection.client
    )
    return server, reader, writer


async def measure_handshake(protection: Protection) -> float:
    """Return the CPU time of opening one link, in milliseconds."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(ANSWER)
        await writer.drain()
        writer.close()

    started_s = time.process_time()
    for _ in range(HANDSHAKE_COUNT):
        server, reader, writer = await connect(protection, serve)
        await reader.readexactly(len(ANSWER))
        writer.close()
        server.close()
    return (time.process_time() - started_s) / HANDSHAKE_COUNT * 1e3


def main() -> None:
    """Print the CPU times, and whether TLS stays within its bound."""
    with tempfile.TemporaryDirectory() as folder:
        authority = certificates.Authority(pathlib.Path(folder), "fleet")
        node = settings.parse_node_settings(
            test_settings.GOOD, test_settings.PATH
        )
        secure = dataclasses.replace(node, tls=authority.issue("node"))
        protections = [
            Protection("plain", False),
            Protection("keyed digest", True),
            Protection(
                "mutual TLS",
                False,
                _tls.server_context(secure),
                _tls.client_context(secure),
            ),
        ]
        medians_us: dict[tuple[str, int], float] = {}
        for protection in protections:
            for size_bytes in FRAME_SIZES_BYTES:
                samples = [
                    asyncio.run(measure_frames(protection, size_bytes))
                    for _ in range(REPEAT_COUNT)
                ]
                median_us = statistics.median(samples)
                medians_us[protection.name, size_bytes] = median_us
                print(
                    f"{protection.name}, {size_bytes} B: {median_us:.0f} us "
                    f"CPU a frame and answer, both ends "
                    f"({min(samples):.0f} to {max(samples):.0f})"
                )
            print(
                f"{protection.name}: "
                f"{asyncio.run(measure_handshake(protection)):.2f} ms "
                "CPU to open a link, both ends"
            )
    size_bytes = FRAME_SIZES_BYTES[-1]
    extra_us = (
        medians_us["mutual TLS", size_bytes] - medians_us["plain", size_bytes]
    )
    met = "met" if extra_us <= MAX_TLS_EXTRA_US else "not met"
    print(
        f"TLS adds {extra_us:.0f} us; bound {MAX_TLS_EXTRA_US:.0f} us: {met}"
    )


if __name__ == "__main__":
    main()
