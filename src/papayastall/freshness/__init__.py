"""Lease on the keys of callers: no node accepts a removed key for long.

See ``docs/design/key-lease.md``.
"""

from __future__ import annotations

from papayastall.freshness._controller import LeaseController
from papayastall.freshness._service import KeyLease
from papayastall.freshness._service import LeaseHooks
from papayastall.freshness._sources import Topology

__all__ = ["KeyLease", "LeaseController", "LeaseHooks", "Topology"]
