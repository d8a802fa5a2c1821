"""Limits on the memory that a process keeps for others, without I/O."""

from __future__ import annotations

from papayastall.memory._account import MemoryAccount
from papayastall.memory._account import MemoryClass
from papayastall.memory._bodies import BodyCheck
from papayastall.memory._bodies import BodyIntake
from papayastall.memory._bodies import Holding
from papayastall.memory._bodies import Verdict
from papayastall.memory._buffer import BodyBuffer
from papayastall.memory._own import read_own_bytes
from papayastall.memory._own import read_vm_bytes
from papayastall.memory._own import return_freed_memory
from papayastall.memory._own import return_large_blocks

__all__ = [
    "BodyBuffer",
    "BodyCheck",
    "BodyIntake",
    "Holding",
    "MemoryAccount",
    "MemoryClass",
    "Verdict",
    "read_own_bytes",
    "read_vm_bytes",
    "return_freed_memory",
    "return_large_blocks",
]
