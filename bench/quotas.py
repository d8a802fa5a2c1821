"""Messages and bytes of the quotas of teams, by the size of the fleet.

All nodes run in this process on simulated time. 87 teams send in all 2.6
requests a second for each node, at the rates of their quotas; the teams'
rates grow with the fleet. Bytes are those of frames on the links, without
TCP and IP headers.

Usage: python -m bench.quotas [SIZE...]
"""

from __future__ import annotations

import sys
import time

from tests import quota_fleet

from papayastall import _frames
from papayastall import _peering

NODE_COUNTS = (100, 300, 2100)
TEAM_COUNT = 87
REQUESTS_PER_NODE_S = 2.6
LARGE_TEAM_COUNT = 4
WARM_UP_S = 12.0
RUN_S = 20.0
FACTORS = (0.9, 6.0)
CHANNEL = int(_peering.Channel.QUOTA)
_CALL_BYTES = len(_frames.encode(_frames.Call(1_000, CHANNEL, b""), 10))
_CAST_BYTES = len(_frames.encode(_frames.Cast(CHANNEL, b""), 10))
_ANSWER_BYTES = len(_frames.encode(_frames.CallAnswer(1_000, b"", "", ""), 10))


def main() -> None:
    """Print one line for each size and load."""
    sizes = [int(text) for text in sys.argv[1:]] or NODE_COUNTS
    print(
        "nodes  load  requests/s  asks/s  claims/s  votes/s  returns/s  "
        "msgs/s/node  B/s/node  B/s busiest  refused  CPU s"
    )
    for size in sizes:
        for factor in FACTORS:
            measure(size, factor)


def measure(size: int, factor: float) -> None:
    """Print the costs of a fleet in which all teams send alike.

    :param factor: what each team sends, as a share of its rate.
    """
    fleet = quota_fleet.Fleet(size, 1)
    total_per_s = REQUESTS_PER_NODE_S * size
    small_per_s = total_per_s * 0.5 / (TEAM_COUNT - LARGE_TEAM_COUNT)
    large_per_s = total_per_s * 0.5 / LARGE_TEAM_COUNT
    for number in range(TEAM_COUNT):
        rate_per_s = large_per_s if number < LARGE_TEAM_COUNT else small_per_s
        fleet.set_limits(f"team-{number}", rate_per_s, rate_per_s, 1)
        # The hot teams are the large ones.
        share = factor if number < LARGE_TEAM_COUNT else min(factor, 0.9)
        fleet.send_evenly(
            f"team-{number}",
            rate_per_s * share,
            WARM_UP_S,
            WARM_UP_S + RUN_S,
        )
    fleet.run(WARM_UP_S)
    for sums in (fleet.sent, fleet.sent_bytes, fleet.node_bytes):
        sums.clear()
    begun_s = time.process_time()
    fleet.run(WARM_UP_S + RUN_S)
    cpu_s = time.process_time() - begun_s
    sent = fleet.sent
    overhead = _CALL_BYTES * sent["Ask"] + _ANSWER_BYTES * sent["Answer"]
    casts = sent["Claim"] + sent["Vote"] + sent["Return"]
    overhead += _CAST_BYTES * casts
    messages = sent["Ask"] + sent["Answer"] + casts
    bodies = sum(fleet.sent_bytes.values())
    mean_overhead = overhead / messages
    busiest = max(fleet.node_bytes, key=fleet.node_bytes.__getitem__)
    busiest_bytes = fleet.node_bytes[busiest] * (1 + overhead / bodies)
    refused = sum(request.code is not None for request in fleet.requests)
    print(
        f"{size:5}  {factor:4}  {len(fleet.requests) / RUN_S:10.0f}  "
        f"{sent['Ask'] / RUN_S:6.0f}  {sent['Claim'] / RUN_S:8.0f}  "
        f"{sent['Vote'] / RUN_S:7.0f}  {sent['Return'] / RUN_S:9.1f}  "
        f"{messages / RUN_S / size:11.2f}  "
        f"{(bodies + mean_overhead * messages) / RUN_S / size:8.0f}  "
        f"{busiest_bytes / RUN_S:11.0f}  {refused:7}  {cpu_s:5.1f}"
    )


if __name__ == "__main__":
    main()
