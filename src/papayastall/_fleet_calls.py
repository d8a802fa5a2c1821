"""Operator calls that concern other nodes than the one that received them."""

from __future__ import annotations

import collections.abc as cabc
import typing as t

import anyio
import msgspec.structs
import orjson

from papayastall import _peering
from papayastall import _thrift
from papayastall import exceptions

__all__ = ["FleetCalls", "Row"]

CALL_TIMEOUT_S = 2.0
MAX_CONCURRENT_CALLS = 64

LIST_CALL = "list"

wire = _thrift.load_module("wire")

Row = dict[str, t.Any]
Change = cabc.Callable[[str], cabc.Awaitable[object]]


class FleetCalls:
    """Lists the upstreams of all nodes and forwards changes to their owners.

    :param list_others: returns the link addresses of the other live nodes.
    :param list_own: returns the upstreams of this node.
    :param changes: changes to an upstream of this node, by name of the call.
    """

    def __init__(
        self,
        peering: _peering.Peering,
        list_others: cabc.Callable[[], list[str]],
        list_own: cabc.Callable[[], list[Row]],
        changes: dict[str, Change],
    ) -> None:
        self._peering = peering
        self._list_others = list_others
        self._list_own = list_own
        self._changes = changes
        peering.handle_calls(_peering.Channel.OPERATOR, self._receive)

    async def list_all(self) -> tuple[list[Row], list[str]]:
        """Return the upstreams of all nodes and the unreachable nodes."""
        rows = self._list_own()
        unreachable: list[str] = []
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)

        async def ask(node: str) -> None:
            async with limiter:
                try:
                    rows.extend(await self._call(node, LIST_CALL, ""))
                except exceptions.PapayastallError:
                    unreachable.append(node)

        async with anyio.create_task_group() as tasks:
            for node in self._list_others():
                tasks.start_soon(ask, node)
        rows.sort(key=lambda row: (row["service"], row["upstream"]))
        return rows, sorted(unreachable)

    async def change(self, name: str, upstream: object) -> object:
        """Change an upstream on whichever node owns it.

        :param name: a key of ``changes``.
        :raises papayastall.exceptions.BadInputError: no node owns it.
        :raises papayastall.exceptions.PapayastallError: its owner refused the
            change or did not answer.
        """
        if not isinstance(upstream, str):
            raise _unknown_upstream(upstream, [])
        if any(row["upstream"] == upstream for row in self._list_own()):
            return await self._changes[name](upstream)
        rows, unreachable = await self.list_all()
        for row in rows:
            if row["upstream"] == upstream:
                return await self._call(row["owner"], name, upstream)
        raise _unknown_upstream(upstream, unreachable)

    async def _call(self, node: str, name: str, upstream: str) -> t.Any:
        body = _thrift.encode(wire.OperatorCall(name=name, upstream=upstream))
        answer = await self._peering.call(
            node, _peering.Channel.OPERATOR, body, CALL_TIMEOUT_S
        )
        return orjson.loads(answer)

    async def _receive(self, peer: str, body: bytes) -> bytes:
        call = _thrift.decode(wire.OperatorCall, body)
        if call.name == LIST_CALL:
            return orjson.dumps(
                self._list_own(), default=msgspec.structs.asdict
            )
        change = self._changes.get(call.name)
        if change is None:
            raise exceptions.ProtocolError(
                exceptions.ErrorCode.BAD_FRAME,
                f"no call {call.name!r}; is that node of a later release?",
                step="operator call",
                peer=peer,
            )
        return orjson.dumps(
            await change(call.upstream or ""), default=msgspec.structs.asdict
        )


def _unknown_upstream(
    upstream: object, unreachable: list[str]
) -> exceptions.BadInputError:
    text = f"no node owns {upstream!r}; see 'papayastall upstreams'"
    if unreachable:
        text += f"; no answer from {', '.join(unreachable)}"
    return exceptions.BadInputError(
        exceptions.ErrorCode.BAD_REQUEST, text, step="find upstream"
    )
