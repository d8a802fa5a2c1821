"""CPU time of a log line, by itself and as a share of a request's CPU time.

Usage: logging [--lines=N]

Target: at most 5% of the CPU time of a request, at 70 requests a second that
each write one line, as under high load.
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
REQUEST_CPU_MS = 1.8
"""CPU time of one request at its ingress and its owner together
(docs/measurements/path.md)."""
TARGET_SHARE = 0.05
REPEATED_FIELDS: dict[str, str | float | None] = {
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


def measure_line_ms(line_count: int) -> float:
    """Return the CPU time of one line while the reader keeps up."""
    # No limit: a dropped line would cost less than a written one.
    logs.MAX_LINES_PER_S = logs.BURST_LINES = math.inf
    log_file = logs.LogFile(pathlib.Path(os.devnull), "10.1.0.8:7460")
    log_file.start()
    started_s = time.process_time()
    for number in range(line_count):
        logs.log_request(
            logs.RequestEvent.REPEATED, str(number), **REPEATED_FIELDS
        )
    spent_s = time.process_time() - started_s
    log_file.close()
    return spent_s * 1000 / line_count


def main() -> int:
    """Print the figures; return 1 if the target is missed, 0 otherwise."""
    arguments = docopt.docopt(__doc__)
    line_ms = measure_line_ms(int(arguments["--lines"] or 100_000))
    share = LINES_PER_REQUEST * line_ms / REQUEST_CPU_MS
    core_share = REQUESTS_PER_S * LINES_PER_REQUEST * line_ms / 1000
    print(f"{line_ms * 1000:.1f} us a line")
    print(f"{100 * core_share:.3f}% of a core at {REQUESTS_PER_S} requests/s")
    verdict = "met" if share <= TARGET_SHARE else "MISSED"
    print(f"{100 * share:.2f}% of a request's own time: {verdict}")
    return 0 if share <= TARGET_SHARE else 1


if __name__ == "__main__":
    sys.exit(main())
