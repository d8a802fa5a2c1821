"""Public API for adapters that run nodes on a platform.

An adapter translates a platform's settings and calls. It fills in
:class:`NodeSettings` and :class:`Interfaces` and passes both to :func:`run`;
its ASGI applications call the :class:`Node` that they are made for.
"""

from __future__ import annotations

from papayastall._checking import Address
from papayastall._checking import Milliseconds
from papayastall._decision_types import RequestKind
from papayastall._decision_types import UpstreamAnnouncement
from papayastall._decision_types import UpstreamState
from papayastall._http_server import HttpServer
from papayastall._http_server import Receive
from papayastall._http_server import Scope
from papayastall._http_server import Send
from papayastall._http_server import send_answer
from papayastall._problem import problem_of
from papayastall.http_names import HeaderNames
from papayastall.memory import BodyBuffer
from papayastall.node import Interfaces
from papayastall.node import Node
from papayastall.node import run
from papayastall.settings import ControlGroupSettings
from papayastall.settings import NodeSettings
from papayastall.settings import RoutingKind
from papayastall.settings import SETTINGS_VERSION

__all__ = [
    "Address",
    "BodyBuffer",
    "ControlGroupSettings",
    "HeaderNames",
    "HttpServer",
    "Interfaces",
    "Milliseconds",
    "Node",
    "NodeSettings",
    "Receive",
    "RequestKind",
    "RoutingKind",
    "SETTINGS_VERSION",
    "Scope",
    "Send",
    "UpstreamAnnouncement",
    "UpstreamState",
    "problem_of",
    "run",
    "send_answer",
]
