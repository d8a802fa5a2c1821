"""The state of one node that its controllers and adapters share."""

from __future__ import annotations

import dataclasses

from papayastall import documents

__all__ = ["Blackboard"]


@dataclasses.dataclass(slots=True)
class Blackboard:
    """What is in force on this node.

    :param config_index: index of the config in force; never goes back.
    :param services: the document in force of each service.
    :param stopping: a planned stop has begun.
    """

    node: str
    failure_domain: str
    config_index: int = 0
    services: dict[str, documents.Document] = dataclasses.field(
        default_factory=dict
    )
    stopping: bool = False
