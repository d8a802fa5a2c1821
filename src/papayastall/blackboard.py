"""The state of one node that its controllers and adapters share."""

from __future__ import annotations

import msgspec

from papayastall import _route_lookup
from papayastall import documents

__all__ = ["Blackboard", "DocumentRouting", "Routing", "TableRouting"]


class DocumentRouting(msgspec.Struct):
    """The first segment of a path names the service."""


class TableRouting(msgspec.Struct):
    """Host and path prefix choose the service.

    :param lookup: of the table in force; ``None`` while none is known.
    """

    lookup: _route_lookup.RouteLookup | None = None


Routing = DocumentRouting | TableRouting


class Blackboard(msgspec.Struct):
    """What is in force on this node.

    :param config_index: index of the config in force; never goes back.
    :param services: the document in force of each service.
    :param routing: how requests find their service.
    :param stopping: a planned stop has begun.
    """

    node: str
    failure_domain: str
    config_index: int = 0
    services: dict[str, documents.Document] = msgspec.field(
        default_factory=dict
    )
    routing: Routing = msgspec.field(default_factory=DocumentRouting)
    stopping: bool = False
