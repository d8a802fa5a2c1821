"""Memory and CPU time of the state of one node, by the size of the fleet.

Fills the controllers of one node as membership and documents would, at
growing shares of the size planned for two years ahead (two-year size).
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import gc
import multiprocessing
import pathlib
import random
import resource
import time
import typing as t

from papayastall import _announcements
from papayastall import _decision_types
from papayastall import _ingress_controller
from papayastall import _member_table
from papayastall import _membership_types
from papayastall import _service_policy
from papayastall import documents

SEED = 1
NODE_COUNT = 2_100
UPSTREAM_COUNT = 31_000
SERVICE_COUNT = 740
ROUTE_COUNT = 7_500
SHARES = (0.25, 0.5, 0.75, 1.0)

T = t.TypeVar("T")

TICKS_PER_S = 50
SAMPLE_COUNT = 2_000
IN_FLIGHT_COUNT = 10
MAX_TICK_CORE_SHARE = 0.016
"""Share of one core that control may use on a node."""


@dataclasses.dataclass(slots=True, frozen=True)
class Size:
    """Size of a fleet: the number of each kind of object."""

    nodes: int
    upstreams: int
    services: int
    routes: int


def read_resident_bytes() -> int:
    """Collect garbage; return the resident memory of this process."""
    gc.collect()
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def make_size(share: float) -> Size:
    """Return a share of the two-year size."""
    return Size(
        int(NODE_COUNT * share),
        int(UPSTREAM_COUNT * share),
        int(SERVICE_COUNT * share),
        int(ROUTE_COUNT * share),
    )


def make_address(number: int) -> str:
    """Return the link address of a numbered node."""
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7401"


def make_adverts(size: Size) -> cabc.Iterator[_decision_types.OwnerAdvert]:
    """Yield one advert for each random pair of owner and service."""
    rng = random.Random(SEED)
    seen = set()
    for number in range(size.upstreams):
        key = (number % size.nodes, rng.randrange(size.services))
        if key in seen:
            continue
        seen.add(key)
        yield _decision_types.OwnerAdvert(
            owner=make_address(key[0]),
            service=f"service-{key[1]}",
            failure_domain=f"domain-{key[0] % 5}",
            slots=7,
        )


def make_document_text(number: int, routes: int) -> str:
    """Return the text of the document of one service."""
    name = f"service-{number}"
    lines = [
        f'version = 1\nname = "{name}"\nrevision = 1',
        "floor_slots = 100\ntimeout_ms = 2000",
    ]
    for route in range(routes):
        lines.append(
            f'[[routes]]\nname = "r{route}"\nmethods = ["GET"]\n'
            f'path = "/{name}/r{route}"\nkind = "lookup"'
        )
    return "\n".join(lines)


def measure_membership(size: Size) -> None:
    """Print the memory of the member table and the time of a merge."""
    before_bytes = read_resident_bytes()
    table = _member_table.MemberTable()
    incarnation = 1 << (_membership_types.BOOT_SHIFT + 40)
    started_s = time.process_time()
    for number in range(size.nodes):
        address = make_address(number)
        record = _membership_types.MemberRecord(
            address,
            address,
            incarnation,
            f"domain-{number % 5}",
            _membership_types.MemberState.ALIVE,
        )
        table.merge_member(record, 0.0)
    count = size.nodes
    for advert in make_adverts(size):
        count += 1
        table.merge_advert(
            _membership_types.AdvertRecord(
                advert.owner, advert.service, advert.slots, incarnation
            )
        )
    spent_us = (time.process_time() - started_s) / count * 1e6
    held_bytes = read_resident_bytes() - before_bytes
    print(
        f"member table: {size.nodes} nodes, {count - size.nodes} adverts: "
        f"{held_bytes / 2**20:.1f} MiB, {held_bytes / count:.0f} B and "
        f"{spent_us:.1f} us CPU a record"
    )


def measure_documents(size: Size) -> None:
    """Print memory of documents, and times to parse one and find a route."""
    before_bytes = read_resident_bytes()
    routes = size.routes // size.services
    started_s = time.process_time()
    documents_by_name = {}
    for number in range(size.services):
        document = documents.parse_document(
            make_document_text(number, routes), "x"
        )
        documents_by_name[document.name] = document
    spent_ms = (time.process_time() - started_s) / size.services * 1e3
    held_bytes = read_resident_bytes() - before_bytes
    document = documents_by_name["service-0"]
    path = f"/service-0/r{routes - 1}/17"
    started_s = time.process_time()
    for _ in range(SAMPLE_COUNT):
        documents.find_route(document, "GET", path)
    find_us = (time.process_time() - started_s) / SAMPLE_COUNT * 1e6
    print(
        f"documents: {size.services} of {routes} routes: "
        f"{held_bytes / 2**20:.1f} MiB, {spent_ms:.2f} ms CPU to check one, "
        f"{find_us:.1f} us CPU to find a route"
    )


def measure_announcements() -> None:
    """Print the time of parsing one announcement."""
    value = {
        "service": "visits",
        "address": "10.0.0.1:9000",
        "slots": 7,
        "connections": 360,
        "lease_ms": 3000,
        "state": "ready",
        "load": 0.5,
    }
    started_s = time.process_time()
    for _ in range(SAMPLE_COUNT):
        _announcements.parse(value)
    spent_us = (time.process_time() - started_s) / SAMPLE_COUNT * 1e6
    print(f"announcements: {spent_us:.0f} us CPU to check one")


def measure_ingress(size: Size) -> float:
    """Print memory and CPU time of routing.

    :returns: the share of a core that the ticks use.
    """
    before_bytes = read_resident_bytes()
    controller = _ingress_controller.IngressController(
        make_address(0), random.Random(SEED)
    )
    for number in range(size.services):
        controller.configure(
            f"service-{number}", _service_policy.ServicePolicy()
        )
    adverts = list(make_adverts(size))
    for advert in adverts:
        controller.set_owner(0.0, advert)
    held_bytes = read_resident_bytes() - before_bytes
    requests = [make_request(number, size) for number in range(SAMPLE_COUNT)]
    started_s = time.process_time()
    for request in requests:
        controller.begin(1.0, request)
    begin_us = (time.process_time() - started_s) / SAMPLE_COUNT * 1e6
    for request in requests[IN_FLIGHT_COUNT:]:
        controller.caller_gone(1.0, request.request_id)
    tick_ms = measure_tick(controller)
    share = tick_ms * TICKS_PER_S / 1000
    print(
        f"ingress: {len(adverts)} owners of {size.services} services: "
        f"{held_bytes / 2**20:.1f} MiB with the adverts, "
        f"{held_bytes / len(adverts):.0f} B an owner, {begin_us:.0f} us CPU "
        f"to choose, tick with {IN_FLIGHT_COUNT} requests in flight "
        f"{tick_ms:.2f} ms = {share:.1%} of a core"
    )
    return share


def make_request(number: int, size: Size) -> _decision_types.IngressRequest:
    """Return a lookup."""
    return _decision_types.IngressRequest(
        request_id=number,
        service=f"service-{number % size.services}",
        route="r0",
        team="team",
        kind=_decision_types.RequestKind.LOOKUP,
        deadline_s=10.0,
        fingerprint=number,
    )


def measure_tick(
    controller: _ingress_controller.IngressController,
) -> float:
    """Return the mean CPU time of a tick, in milliseconds."""
    started_s = time.process_time()
    for _ in range(TICKS_PER_S):
        controller.tick(1.0)
    return (time.process_time() - started_s) / TICKS_PER_S * 1e3


def run_alone(measure: cabc.Callable[..., T], *arguments: object) -> T:
    """Run in a new process, so that only this measurement uses its memory."""
    context = multiprocessing.get_context("spawn")
    with context.Pool(1) as pool:
        return pool.apply(measure, arguments)


def main() -> None:
    """Measure each size; print whether the tick stays within its bound."""
    share = 0.0
    run_alone(measure_announcements)
    for size_share in SHARES:
        size = make_size(size_share)
        run_alone(measure_membership, size)
        run_alone(measure_documents, size)
        share = run_alone(measure_ingress, size)
    met = "met" if share <= MAX_TICK_CORE_SHARE else "not met"
    print(
        f"tick of the ingress at the two-year size: {share:.1%} of a "
        f"core; bound {MAX_TICK_CORE_SHARE:.1%}: {met}"
    )


if __name__ == "__main__":
    main()
