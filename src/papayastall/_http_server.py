"""One HTTP listener of a node: uvicorn inside the node's own event loop."""

from __future__ import annotations

import collections.abc as cabc
import contextlib
import ssl
import typing as t

import anyio
import anyio.abc
import uvicorn

__all__ = ["HttpServer"]

KEEP_ALIVE_S = 75
BACKLOG = 1024
START_POLL_S = 0.01


class _Server(uvicorn.Server):
    """Leaves signals to the node."""

    @contextlib.contextmanager
    def capture_signals(self) -> cabc.Generator[None, None, None]:
        """Capture nothing."""
        yield


class HttpServer:
    """Serves an ASGI application at an address.

    :param address: ``ip:port`` to listen on.
    :param close_timeout_s: for how long :meth:`close` waits for requests.
    :param tls: context of the listener, ``None`` for plain HTTP.
    """

    def __init__(
        self,
        application: t.Any,
        address: str,
        close_timeout_s: float,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        config = uvicorn.Config(
            application,
            host=host.strip("[]"),
            port=int(port),
            loop="asyncio",
            http="httptools",
            ws="none",
            lifespan="off",
            access_log=False,
            log_level="critical",
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=max(1, int(close_timeout_s)),
            backlog=BACKLOG,
        )
        if tls is not None:
            config.load()
            config.ssl = tls
        self._server = _Server(config)
        self._ended = anyio.Event()

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Listen; returns once connections are accepted.

        :raises OSError: the address can't be bound.
        """
        tasks.start_soon(self._serve)
        while not self._server.started:
            if self._ended.is_set():
                raise OSError("the listener did not start; is it in use?")
            await anyio.sleep(START_POLL_S)

    async def close(self) -> None:
        """Accept nothing more and wait for the requests in flight."""
        self._server.should_exit = True
        await self._ended.wait()

    async def _serve(self) -> None:
        try:
            with contextlib.suppress(SystemExit):
                await self._server.serve()
        finally:
            self._ended.set()
