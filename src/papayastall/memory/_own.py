"""The memory of this process and of its VM, as the kernel states them."""

from __future__ import annotations

import ctypes
import os

__all__ = [
    "read_own_bytes",
    "read_vm_bytes",
    "return_freed_memory",
    "return_large_blocks",
]

M_MMAP_THRESHOLD = -3  # from glibc's malloc.h
LARGE_BLOCK_BYTES = 128 << 10


def read_own_bytes() -> int:
    """Return the resident memory of this process; 0 if it is not known."""
    try:
        with open("/proc/self/statm", "rb") as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


def read_vm_bytes() -> int:
    """Return the memory of this VM."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def return_freed_memory() -> None:
    """Have the C library return freed memory, where it can be told to.

    After many large bodies most of it would otherwise stay resident.
    """
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


def return_large_blocks() -> None:
    """Have the C library return each large block as soon as it is freed.

    By default it raises the size that counts as large to that of the blocks
    that are freed, and then keeps them.
    """
    set_option = getattr(ctypes.CDLL(None), "mallopt", None)
    if set_option is not None:
        set_option(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
