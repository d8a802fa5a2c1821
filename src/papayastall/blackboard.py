"""The state that the controllers and adapters of one node share."""

from __future__ import annotations

import msgspec

from papayastall import _route_lookup
from papayastall import documents

__all__ = ["Blackboard", "DocumentRouting", "Routing", "TableRouting"]


class DocumentRouting(msgspec.Struct):
    """Routing by path: its first segment names the service."""


class TableRouting(msgspec.Struct):
    """Routing by route table: host and path prefix select the service.

    :param lookup: of the table in force; ``None`` before the first one.
    """

    lookup: _route_lookup.RouteLookup | None = None


Routing = DocumentRouting | TableRouting


class Blackboard(msgspec.Struct):
    """Configuration in force on a node, and whether the node is stopping.

    :param node: link address of the node.
    :param config_index: index of the config in force; never goes back.
    :param services: the document in force of each service.
    :param routing: how requests find their service.
    :param stopping: a planned stop of the node has begun.
    """

    node: str
    failure_domain: str
    config_index: int = 0
    services: dict[str, documents.Document] = msgspec.field(
        default_factory=dict
    )
    routing: Routing = msgspec.field(default_factory=DocumentRouting)
    stopping: bool = False
