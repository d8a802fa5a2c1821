"""Config of a node without control replicas: told by one node to all."""

from __future__ import annotations

import collections.abc as cabc

import orjson

from papayastall import _peering
from papayastall import blackboard as blackboards
from papayastall import documents

__all__ = ["ThinConfig"]

CALL_TIMEOUT_S = 2.0


class ThinConfig:
    """Takes documents from operators and passes them to all members."""

    def __init__(
        self,
        blackboard: blackboards.Blackboard,
        peering: _peering.Peering,
        list_members: cabc.Callable[[], list[str]],
        apply: cabc.Callable[[documents.Document], None],
    ) -> None:
        self._blackboard = blackboard
        self._peering = peering
        self._list_members = list_members
        self._apply = apply
        blackboard.config_ready = True
        peering.handle_calls(_peering.Channel.CONFIG, self._receive)

    async def apply_documents(
        self, body: dict[str, list[dict[str, str]]]
    ) -> dict[str, object]:
        """Check and apply documents; the operators' call."""
        parsed = [
            documents.parse_document(item["text"], item["source"])
            for item in body["documents"]
        ]
        texts = [item["text"] for item in body["documents"]]
        self._take(texts)
        for member in self._list_members():
            await self._peering.call(
                member,
                _peering.Channel.CONFIG,
                orjson.dumps(texts),
                CALL_TIMEOUT_S,
            )
        results = [
            {"name": doc.name, "revision": doc.revision, "result": "accepted"}
            for doc in parsed
        ]
        return {"index": self._blackboard.config_index, "results": results}

    async def _receive(self, _peer: str, data: bytes) -> bytes:
        self._take(orjson.loads(data))
        return b""

    def _take(self, texts: list[str]) -> None:
        for text in texts:
            document = documents.parse_document(text, "config")
            self._blackboard.services[document.name] = document
            self._apply(document)
        self._blackboard.config_index += 1
