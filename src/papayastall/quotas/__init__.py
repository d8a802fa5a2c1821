"""Quotas of teams, counted over all nodes.

The design is described in ``docs/design/quotas.md``.
"""

from __future__ import annotations

from papayastall.quotas import _bounds
from papayastall.quotas import _messages
from papayastall.quotas import _service

__all__ = ["Bounds", "Limits", "Quotas"]

Bounds = _bounds.Bounds
Limits = _messages.Limits
Quotas = _service.Quotas
