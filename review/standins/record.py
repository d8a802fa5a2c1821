"""The record of a case: what was sent, answered and run, with times."""

from __future__ import annotations

import pathlib
import time

__all__ = ["Record"]


class Record:
    """Writes ``record.txt``; times are seconds since its creation.

    :param path: the file, which is replaced.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._started_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8", buffering=1)

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def note(self, kind: str, **fields: object) -> float:
        """Write one line and return its time."""
        now_s = self.now_s()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now_s:9.3f} {kind} {text}\n")
        return now_s

    def close(self) -> None:
        """Close the file."""
        self._file.close()
