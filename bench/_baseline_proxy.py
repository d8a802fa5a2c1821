"""A one-hop HTTP proxy on uvicorn and httpcore: the baseline of bench.path.

Usage: python -m bench._baseline_proxy LISTEN UPSTREAM
"""

from __future__ import annotations

import sys
import typing as t

import httpcore
import uvicorn

MAX_UPSTREAM_CONNECTIONS = 64


class Proxy:
    """ASGI application that forwards each request to one upstream."""

    def __init__(self, upstream: str) -> None:
        self._upstream = upstream
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_UPSTREAM_CONNECTIONS,
            max_keepalive_connections=MAX_UPSTREAM_CONNECTIONS,
        )

    async def __call__(
        self, scope: dict[str, t.Any], receive: t.Any, send: t.Any
    ) -> None:
        """Read a complete request, forward it and send the complete answer."""
        if scope["type"] != "http":
            return
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        url = f"http://{self._upstream}{scope['path']}"
        response = await self._pool.request(
            scope["method"], url, headers=scope["headers"], content=body
        )
        start = {"type": "http.response.start", "status": response.status}
        await send({**start, "headers": response.headers})
        await send({"type": "http.response.body", "body": response.content})


def main() -> None:
    """Serve on the address LISTEN until the process is killed."""
    listen, upstream = sys.argv[1:]
    host, _, port = listen.rpartition(":")
    uvicorn.run(
        Proxy(upstream),
        host=host,
        port=int(port),
        loop="asyncio",
        http="httptools",
        ws="none",
        lifespan="off",
        access_log=False,
        log_level="critical",
    )


if __name__ == "__main__":
    main()
