"""A client that sends one large body, as a process of its own.

It prepares the body and sends it once a line arrives on standard input, so
that several of them can send at once. It prints the status of the answer.
"""

from __future__ import annotations

import http.client
import sys


def main() -> int:
    """Send the body; return the exit code."""
    address, host, path, request_id, deadline_ms, size_bytes = sys.argv[1:]
    ip, _, port = address.rpartition(":")
    body = b"x" * int(size_bytes)
    headers = {
        "Host": host,
        "Request-Id": request_id,
        "Deadline-Ms": deadline_ms,
    }
    timeout_s = int(deadline_ms) / 1000 + 2.0
    sys.stdin.readline()
    connection = http.client.HTTPConnection(ip, int(port), timeout_s)
    try:
        connection.request("POST", path, body, headers)
        print(connection.getresponse().status)
    except (OSError, http.client.HTTPException) as error:
        print(f"no answer: {error!r}")
    finally:
        connection.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
