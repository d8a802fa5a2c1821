"""After a restart of its node, a server that has left is in use again.

Exits with 1 if the rule DRAIN was broken, 0 if it held, and 2 if the case
could not run.
"""

from __future__ import annotations

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import small_fleet  # noqa: E402

LATE_S = 5.0
"""Delay of two heartbeats; they "may arrive seconds late"."""
DELETE_S = 2.5
KILL_S = 3.0
RESTART_S = 0.5
SERVES_ON_S = 12.0
"""Time for which the server goes on after its DELETE was acknowledged:
``drainMs`` and "at times many seconds"."""
RATE_PER_S = 15


def play(record: small_fleet.Record, fleet: small_fleet.Fleet) -> bool:
    """Play the case; return whether the rule held."""
    fleet.start()
    front, side_new, side_old = fleet.sides
    small_fleet.Server(fleet, front, "i-front").start_beats()
    old = small_fleet.Server(fleet, side_old, "i-old", work_s=0.3)
    old.start_beats()
    new = small_fleet.Server(fleet, side_new, "i-new", work_s=0.3)
    new.start_beats()
    fleet.configure(
        "PUT",
        {
            "version": 3,
            "baseVersion": 0,
            "resources": [
                small_fleet.make_service("visits"),
                small_fleet.make_route("r-book", "/b/", "visits", "unsafe"),
                small_fleet.make_route("r-look", "/l/", "visits"),
                small_fleet.make_limits(),
            ],
        },
    )
    fleet.wait_until_ready(fleet.sides)
    time.sleep(small_fleet.STABLE_S + 1.0)
    clients = [
        small_fleet.Clients(
            fleet, front, "POST", lambda n: f"/b/{n}", RATE_PER_S
        ),
        small_fleet.Clients(
            fleet, front, "GET", lambda n: f"/l/{n}", RATE_PER_S
        ),
    ]
    for each in clients:
        each.start()
    time.sleep(2.0)

    # The server leaves by a DELETE, and its node is killed soon after it.
    has_trouble = small_fleet.has_trouble()
    late_s = LATE_S if has_trouble else 0.0
    new.is_beating = False
    time.sleep(small_fleet.HEARTBEAT_S)
    start_s = time.monotonic()
    beats = [(0.0, new.make_beat()), (1.5, new.make_beat())]
    due: list[tuple[float, str, bytes]] = [
        (sent_s + late_s, "beat", beat) for sent_s, beat in beats
    ]
    due.append((DELETE_S, "delete", b""))
    if has_trouble:
        due.append((KILL_S, "kill", b""))
        due.append((KILL_S + RESTART_S, "start", b""))
    acknowledged_s = started_s = 0.0
    for at_s, what, beat in sorted(due):
        time.sleep(max(0.0, start_s + at_s - time.monotonic()))
        match what:
            case "beat":
                if not new.send_beat(beat):
                    raise small_fleet.CaseFailed("a heartbeat got no 2xx")
            case "delete":
                if not new.send_delete():
                    raise small_fleet.CaseFailed("the DELETE got no 2xx")
                acknowledged_s = record.now_s()
            case "kill":
                fleet.kill(side_new)
            case "start":
                fleet.start_machine(side_new)
                started_s = record.now_s()
                record.write(f"{side_new.name} is started again")
    time.sleep(max(0.0, acknowledged_s + SERVES_ON_S - record.now_s()))
    new.crash()
    time.sleep(1.0)
    for each in clients:
        each.stop()

    # The machine is in touch again ``stableWindowMs`` after its start.
    limit_s = max(
        acknowledged_s + small_fleet.DRAIN_S, started_s + small_fleet.STABLE_S
    )
    late = [run for run in new.runs if run[0] > limit_s]
    lost = [
        request_id
        for _, request_id, method in late
        if method == "POST" and request_id not in new.answered
    ]
    record.write(
        f"DELETE acknowledged at {acknowledged_s:.3f}; {len(new.runs)} "
        f"requests ran at i-new, {len(late)} of them after "
        f"{limit_s:.3f}; {len(lost)} bookings among them were still at work "
        "when the server ended"
    )
    for at_s, request_id, method in late:
        record.write(
            f"late: {method} {request_id} reached i-new "
            f"{at_s - acknowledged_s:.3f} s after the acknowledgement"
        )
    return not late


def main() -> int:
    """Run the case and return the exit code."""
    record = small_fleet.Record(HERE / "record.txt")
    fleet = small_fleet.Fleet(["front", "visits", "visits"], record)
    try:
        held = play(record, fleet)
    except small_fleet.CaseFailed as error:
        record.write(f"the case could not run: {error}")
        return 2
    finally:
        fleet.close()
    record.write("DRAIN held" if held else "DRAIN was broken")
    print("DRAIN held" if held else "DRAIN was broken")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
