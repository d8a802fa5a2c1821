"""The frame of a case: its folder, its exit code and its clean-up."""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import os
import pathlib
import signal
import sys
import tempfile
import traceback

from standins import record as records

__all__ = ["BROKEN", "COULD_NOT_RUN", "HELD", "has_trouble", "run"]

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
MAX_S = 115.0


def has_trouble() -> bool:
    """Return whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(
    folder: pathlib.Path,
    play: cabc.Callable[[pathlib.Path, records.Record], cabc.Awaitable[int]],
) -> None:
    """Play a case and exit with its code.

    :param folder: of the case; ``record.txt`` is written there.
    :param play: plays it with a temporary folder; returns the code.
    """
    record = records.Record(folder / "record.txt")
    code = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            code = asyncio.run(_play(play, pathlib.Path(temporary), record))
    except (Exception, asyncio.CancelledError):
        record.note("could-not-run", error=traceback.format_exc())
        traceback.print_exc()
    names = {HELD: "the rule held", BROKEN: "the rule was broken"}
    verdict = names.get(code, "the case could not run")
    record.note("verdict", code=code, text=verdict)
    record.close()
    print(verdict)
    sys.exit(code)


async def _play(
    play: cabc.Callable[[pathlib.Path, records.Record], cabc.Awaitable[int]],
    temporary: pathlib.Path,
    record: records.Record,
) -> int:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(MAX_S):
        return await play(temporary, record)
