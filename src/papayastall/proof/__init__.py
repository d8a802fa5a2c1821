"""Decisions that rest on recent proof that an upstream answers.

Pure functions, and what an ingress remembers of owners' reports; no I/O. They
are used for services whose policy has ``is_varied``.
"""

from __future__ import annotations

from papayastall.proof._preference import prefer_likely
from papayastall.proof._preference import prefer_unproved
from papayastall.proof._reports import OwnerReport
from papayastall.proof._stuck import is_likely_stuck
from papayastall.proof._tuning import ProofTuning

__all__ = [
    "OwnerReport",
    "ProofTuning",
    "is_likely_stuck",
    "prefer_likely",
    "prefer_unproved",
]
