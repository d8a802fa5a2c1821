"""Memory and CPU time of config, permit table and claims, by their size.

The permit table holds the upstreams that owners report to control and the
permits to take them out of service. Each size is measured in a process of its
own. Prints one line for each size, the memory slopes, and whether each target
is met.

Usage: python -m bench.control_state
"""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import gc
import multiprocessing
import pathlib
import resource
import time

from papayastall import _claim_state
from papayastall import _config
from papayastall import _control_commands as commands
from papayastall import _control_state
from papayastall import documents

DOCUMENT_COUNTS = (185, 370, 555, 740)
UPSTREAM_COUNTS = (7_750, 15_500, 23_250, 31_000)
CLAIM_COUNTS = (8_750, 17_500, 26_250, 35_000)
CLAIM_GROUPS = 4
UPSTREAMS_PER_OWNER = 15
SERVICE_COUNT = 740
ROUTES_PER_DOCUMENT = 10
SAMPLE_COUNT = 2_000
CHANGES_PER_DAY = 11_000
DAY_S = 86_400
MAX_MEMORY_BYTES = 128 * 1000 * 1000
MAX_BYTES_PER_S = 7_000
MAX_CORE_SHARE = 0.016


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """Measurements of one size.

    :param name: what is counted.
    :param memory_bytes: growth of the resident memory.
    :param command_us: CPU time of applying one command.
    :param snapshot_ms: CPU time of making a snapshot.
    :param message_bytes: size of a request for one change and its answer;
        0 where no messages are measured.
    """

    name: str
    count: int
    memory_bytes: int
    command_us: float
    snapshot_bytes: int
    snapshot_ms: float
    message_bytes: int = 0

    def __str__(self) -> str:
        return (
            f"{self.name:10} {self.count:7,}: {self.memory_bytes / 1e6:6.1f}"
            f" MB, {self.command_us:6.1f} us a command, snapshot "
            f"{self.snapshot_bytes / 1e6:5.2f} MB in "
            f"{self.snapshot_ms:6.0f} ms"
            + (
                f", {self.message_bytes} bytes a change"
                if self.message_bytes
                else ""
            )
        )


def read_resident_bytes() -> int:
    """Collect garbage; return the resident memory of this process."""
    gc.collect()
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def make_document(number: int, revision: int) -> commands.DocumentText:
    """Return a document of a typical size."""
    lines = [
        "version = 1",
        f'name = "service-{number}"',
        f"revision = {revision}",
        "floor_slots = 100",
        "timeout_ms = 2000",
    ]
    for route in range(ROUTES_PER_DOCUMENT):
        lines += [
            "[[routes]]",
            f'name = "route-{route}"',
            'methods = ["GET", "HEAD"]',
            f'path = "/service-{number}/resource-{route}"',
            'kind = "lookup"',
            "timeout_ms = 1000",
        ]
    text = "\n".join(lines) + "\n"
    digest = documents.compute_digest(text)
    return commands.DocumentText(
        f"service-{number}", revision, digest, 100, text
    )


def encode(index: int, command: commands.Command) -> bytes:
    """Return an encoded log entry.

    :param index: used as the time of the entry, in milliseconds.
    """
    return commands.codec.encode(
        commands.LogEntry(commands.COMMAND_VERSION, index, command)
    )


def time_entries(
    state: _control_state.ControlState | _control_state.ClaimGroupState,
    first_index: int,
    entries: list[bytes],
) -> float:
    """Return the CPU time of applying one entry, in microseconds."""
    started_s = time.process_time()
    for offset, entry in enumerate(entries):
        state.apply(first_index + offset, entry)
    return (time.process_time() - started_s) / len(entries) * 1e6


def time_snapshot(
    state: _control_state.ControlState | _control_state.ClaimGroupState,
) -> tuple[int, float]:
    """Return the size in bytes and the CPU time in ms of a snapshot."""
    started_s = time.process_time()
    data = state.snapshot()
    return len(data), (time.process_time() - started_s) * 1e3


def measure_documents(count: int) -> Row:
    """Measure the documents that a node keeps, as text and parsed.

    The snapshot is that of a control replica with the same documents.
    """
    before_bytes = read_resident_bytes()
    controller = _config.ConfigController("n", (), 0.0)
    parsed: dict[str, documents.Document] = {}
    for number in range(count):
        document = make_document(number, 1)
        stored = [_config.IndexedDocument(number + 1, document)]
        controller.note_applied(0.0, number + 1, stored)
        parsed[document.name] = documents.parse_document(document.text, "")
    memory_bytes = read_resident_bytes() - before_bytes
    started_s = time.process_time()
    samples = min(SAMPLE_COUNT, count)
    for number in range(samples):
        document = make_document(number, 2)
        index = count + number + 1
        stored = [_config.IndexedDocument(index, document)]
        controller.note_applied(0.0, index, stored)
        parsed[document.name] = documents.parse_document(document.text, "")
    command_us = (time.process_time() - started_s) / samples * 1e6
    request = _config.FetchDocuments(1, controller.index - 1)
    message = commands.codec.encode(controller.answer(request, False))
    request_bytes = len(commands.codec.encode(request))
    state = _control_state.ControlState()
    for number in range(count):
        apply = commands.ApplyDocuments((make_document(number, 1),))
        entry = encode(0, commands.Command(apply_documents=apply))
        state.apply(number + 1, entry)
    snapshot_bytes, snapshot_ms = time_snapshot(state)
    return Row(
        "documents",
        count,
        memory_bytes,
        command_us,
        snapshot_bytes,
        snapshot_ms,
        len(message) + request_bytes,
    )


def measure_upstreams(count: int) -> Row:
    """Measure the permit table.

    The memory is that of the reports of all owners; the commands ask for
    permits.
    """
    before_bytes = read_resident_bytes()
    state = _control_state.ControlState()
    index = 0
    owners = count // UPSTREAMS_PER_OWNER
    for owner in range(owners):
        reports = tuple(
            commands.UpstreamReport(
                f"10.1.{owner // 250}.{owner % 250}:{9000 + number}",
                f"service-{(owner + number * 50) % SERVICE_COUNT}",
                7,
                commands.UpstreamReportState.SERVING,
            )
            for number in range(UPSTREAMS_PER_OWNER)
        )
        report = commands.ReportUpstreams(
            f"10.0.{owner // 250}.{owner % 250}:7401", 1, 1, True, reports
        )
        index += 1
        state.apply(
            index, encode(0, commands.Command(report_upstreams=report))
        )
    memory_bytes = read_resident_bytes() - before_bytes
    for number in range(SERVICE_COUNT):
        apply = commands.ApplyDocuments((make_document(number, 1),))
        index += 1
        state.apply(index, encode(0, commands.Command(apply_documents=apply)))
    asks = []
    for number in range(min(SAMPLE_COUNT, owners)):
        ask = commands.AskPermit(
            f"10.0.{number // 250}.{number % 250}:7401",
            1,
            2,
            f"10.1.{number // 250}.{number % 250}:9000",
            f"service-{number % SERVICE_COUNT}",
            commands.PermitReason.EJECTION,
            index,
        )
        asks.append(encode(0, commands.Command(ask_permit=ask)))
    command_us = time_entries(state, index + 1, asks)
    snapshot_bytes, snapshot_ms = time_snapshot(state)
    return Row(
        "upstreams",
        count,
        memory_bytes,
        command_us,
        snapshot_bytes,
        snapshot_ms,
    )


def measure_claims(count: int) -> Row:
    """Measure a claim group that holds no answers.

    The snapshot is the second one, ``SAMPLE_COUNT`` claims after the first,
    so that it encodes only the claims made in between.
    """
    before_bytes = read_resident_bytes()
    state = _control_state.ClaimGroupState()
    state.claims = _claim_state.ClaimTable(max_claims=2 * count)

    def make_entry(number: int) -> bytes:
        key = number.to_bytes(16, "big")
        claim = commands.Claim(key, key, b"d" * 8, 2000)
        return encode(number, commands.Command(claim=claim))

    for number in range(count):
        state.apply(number + 1, make_entry(number))
    state.snapshot()
    memory_bytes = read_resident_bytes() - before_bytes
    entries = [make_entry(count + n) for n in range(SAMPLE_COUNT)]
    command_us = time_entries(state, count + 1, entries)
    snapshot_bytes, snapshot_ms = time_snapshot(state)
    return Row(
        "claims",
        count,
        memory_bytes,
        command_us,
        snapshot_bytes,
        snapshot_ms,
    )


def measure_all(
    measure: cabc.Callable[[int], Row], counts: cabc.Sequence[int]
) -> list[Row]:
    """Measure each size in a process of its own.

    Prints each row and the growth in memory from the smallest to the
    largest size.
    """
    context = multiprocessing.get_context("spawn")
    rows = []
    for count in counts:
        with context.Pool(1) as pool:
            rows.append(pool.apply(measure, (count,)))
        print(rows[-1], flush=True)
    first, last = rows[0], rows[-1]
    slope = (last.memory_bytes - first.memory_bytes) / (
        last.count - first.count
    )
    print(f"  slope: {slope:,.0f} bytes for each of {last.name}")
    return rows


def print_target(text: str, figure: float, target: float) -> None:
    """Print a figure and whether it meets its target.

    :param target: the largest figure that meets it.
    """
    verdict = "met" if figure <= target else "MISSED"
    print(f"{text}: {figure:,.4g}, target {target:,.4g}: {verdict}")


def main() -> None:
    """Run all measurements."""
    config = measure_all(measure_documents, DOCUMENT_COUNTS)[-1]
    permit_table = measure_all(measure_upstreams, UPSTREAM_COUNTS)[-1]
    claims = measure_all(measure_claims, CLAIM_COUNTS)[-1]
    changes_per_s = CHANGES_PER_DAY / DAY_S
    # A node receives each change once and on average forwards it once.
    print_target(
        "config, bytes/s a node, in and out",
        2 * config.message_bytes * changes_per_s,
        MAX_BYTES_PER_S,
    )
    print_target(
        "config, share of a core a node",
        config.command_us * 1e-6 * changes_per_s,
        MAX_CORE_SHARE,
    )
    print_target("config, bytes a node", config.memory_bytes, MAX_MEMORY_BYTES)
    control_bytes = (
        config.memory_bytes
        + permit_table.memory_bytes
        + CLAIM_GROUPS * claims.memory_bytes
    )
    print_target(
        f"config, permits, {CLAIM_GROUPS} full groups, bytes a control node",
        control_bytes,
        MAX_MEMORY_BYTES,
    )


if __name__ == "__main__":
    main()
