"""What log lines cost, per line and beside a request's own processor time.

Usage: logging [--lines=N]

Target: at most 5% of a request's own processor time at 70 requests a
second, where each request leaves one line, as under high load.
"""

from __future__ import annotations

import math
import os
import pathlib
import sys
import time

import docopt

from papayastall import logs

REQUESTS_PER_S = 70
LINES_PER_REQUEST = 1.0
REQUEST_MS = 1.8
"""Processor time of one request at its ingress and its owner
(docs/measurements/path.md)."""
TARGET_SHARE = 0.05
REPEAT: dict[str, str | float | None] = {
    "service": "visits",
    "route": "r-2b9xk",
    "age_ms": 350.2,
    "owners": "10.1.0.8:7460 10.2.0.12:7460",
    "attempt": 2,
    "cause": "no answer yet",
    "beside": 1,
    "to": "10.2.0.12:7460",
    "reference_ms": 140.2,
}


def measure_line_ms(lines: int) -> float:
    """Return the processor time of one line to a reader that keeps up."""
    # Every line is written: the bound would hide what one costs.
    logs.MAX_LINES_PER_S = logs.BURST_LINES = math.inf
    log_file = logs.LogFile(pathlib.Path(os.devnull), "10.1.0.8:7460")
    log_file.start()
    started_s = time.process_time()
    for number in range(lines):
        logs.log_request(logs.RequestEvent.REPEATED, str(number), **REPEAT)
    spent_s = time.process_time() - started_s
    log_file.close()
    return spent_s * 1000 / lines


def main() -> int:
    """Print the figures; return 1 where the target is missed."""
    arguments = docopt.docopt(__doc__)
    line_ms = measure_line_ms(int(arguments["--lines"] or 100_000))
    share = LINES_PER_REQUEST * line_ms / REQUEST_MS
    busy = REQUESTS_PER_S * LINES_PER_REQUEST * line_ms / 1000
    print(f"{line_ms * 1000:.1f} us a line")
    print(f"{100 * busy:.3f}% of a core at {REQUESTS_PER_S} requests/s")
    verdict = "met" if share <= TARGET_SHARE else "MISSED"
    print(f"{100 * share:.2f}% of a request's own time: {verdict}")
    return 0 if share <= TARGET_SHARE else 1


if __name__ == "__main__":
    sys.exit(main())
