"""Application of the control address: announcements and operator calls."""

from __future__ import annotations

import collections.abc as cabc
import typing as t

import msgspec.structs
import orjson

from papayastall import _announcements
from papayastall import _credentials
from papayastall import _http_server
from papayastall import _problem
from papayastall import exceptions
from papayastall import memory

__all__ = ["ControlApp", "Handler"]

MAX_BODY_BYTES = 4 << 20

Scope = dict[str, t.Any]
Receive = cabc.Callable[[], cabc.Awaitable[dict[str, t.Any]]]
Send = cabc.Callable[[dict[str, t.Any]], cabc.Awaitable[None]]
Handler = cabc.Callable[[t.Any], cabc.Awaitable[object]]
_Code = exceptions.ErrorCode


class ControlApp:
    """ASGI application that answers JSON calls.

    :param operator_calls: handlers by ``"METHOD /path"``; each takes the
        decoded JSON body (the query string of a ``GET``) and returns the
        value to encode as JSON.
    :param announce: handler of upstreams' announcements.
    """

    def __init__(
        self,
        credentials: _credentials.Credentials,
        operator_calls: dict[str, Handler],
        announce: _announcements.AnnounceHandler,
    ) -> None:
        self._credentials = credentials
        self._operator_calls = operator_calls
        self._announce = announce

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one call (the ASGI entry point)."""
        if scope["type"] != "http":
            return
        headers = [(b"content-type", b"application/json")]
        status = 200
        try:
            body = orjson.dumps(
                await self._call(scope, receive),
                default=msgspec.structs.asdict,
            )
        except exceptions.PapayastallError as error:
            problem = _problem.problem_of(error)
            status = problem.status
            headers = problem.headers()
            body = problem.body()
        await _http_server.send_answer(send, status, headers, body)

    async def _call(self, scope: Scope, receive: Receive) -> object:
        authorization = dict(scope["headers"]).get(b"authorization")
        name = f"{scope['method']} {scope['path']}"
        if name == "POST /v1/announce":
            self._credentials.require_upstream(authorization)
            value = await _read_json(receive)
            return self._announce(_announcements.parse(value))
        handler = self._operator_calls.get(name)
        if handler is None:
            raise exceptions.BadInputError(
                _Code.BAD_REQUEST,
                f"there is no call {name}; see docs/operators",
                step="control",
            )
        self._credentials.require_operator(authorization)
        if scope["method"] == "GET":
            return await handler(scope["query_string"].decode("latin-1"))
        return await handler(await _read_json(receive))


async def _read_json(receive: Receive) -> t.Any:
    body = memory.BodyBuffer()
    more = True
    while more:
        message = await receive()
        body.add(message.get("body", b""))
        more = message.get("more_body", False)
        if body.size > MAX_BODY_BYTES or message["type"] == "http.disconnect":
            raise exceptions.BadInputError(
                _Code.BODY_TOO_LARGE,
                f"send a whole body of at most {MAX_BODY_BYTES} bytes",
                step="control",
            )
    try:
        return orjson.loads(body.take())
    except orjson.JSONDecodeError as error:
        raise exceptions.BadInputError(
            _Code.BAD_REQUEST,
            f"the body is no JSON: {error}",
            step="control",
        ) from error
