"""Load generator with Poisson arrivals that reports how requests ended.

Usage:
  load --nodes=ADDRESSES [--lookup=PATH]
      [--booking=PATH] [--booking-share=X] [--rate=N] [--seconds=N]
      [--seed=N] [--timeout-ms=N] [--team-count=N] [--keys]
      [--history=FILE] [--json]

Run it as python -m papayastall.load.

Options:
  --nodes=ADDRESSES   caller addresses of nodes, comma-separated; each
                      request picks one at random
  --lookup=PATH       path of the lookups; each request appends a segment
                      of its own [default: /visits/status]
  --booking=PATH      path of the bookings [default: /visits/bookings]
  --booking-share=X   share of bookings among the requests, 0 to 1
                      [default: 0.2]
  --rate=N            average requests per second [default: 70]
  --seconds=N         time to send requests for [default: 10]
  --seed=N            seed of the random arrivals [default: 1]
  --timeout-ms=N      deadline of a request, in ms [default: 2000]
  --team-count=N      number of teams that the requests are spread over
                      [default: 3]
  --keys              send an Idempotency-Key with each booking
  --history=FILE      append a JSON line for each request to a file
  --json              print JSON
  -h --help           print this text

Arrivals are a Poisson process drawn from the seed and don't depend on the
answers (open loop): a slow answer doesn't delay the next request.

Exit codes: 1 wrong usage, or an answer belonged to another request; 2 an
option has a bad value.
"""

from __future__ import annotations

import collections
import collections.abc as cabc
import dataclasses
import pathlib
import random
import sys
import time
import typing as t

import anyio
import docopt
import httpcore
import orjson

from papayastall import _text_table
from papayastall import clock
from papayastall import histograms

__all__ = ["LoadSettings", "Record", "Summary", "main", "run_load"]

TIMEOUT_HEADER = b"Papayastall-Timeout-Ms"
ANSWER_GRACE_S = 2.0
"""Time to wait for an answer after the deadline of its request."""

PERCENTILES = (50.0, 99.0, 99.9)
MAX_IDLE_CONNECTIONS_PER_NODE = 256

LOOKUP = "lookup"
BOOKING = "booking"
ANSWERED = "answered"
NO_ANSWER = "no-answer"
NOT_OWN = "not-own"


@dataclasses.dataclass(slots=True, frozen=True)
class LoadSettings:
    """What to send, where and for how long.

    :param nodes: caller addresses; each request picks one at random.
    :param booking_share: share of bookings among the requests, 0 to 1.
    :param team_count: number of teams that the requests are spread over.
    :param keys: send an idempotency key with each booking.
    """

    nodes: tuple[str, ...]
    lookup_path: str
    booking_path: str
    booking_share: float
    rate_per_s: float
    duration_s: float
    seed: int
    timeout_ms: int
    team_count: int
    keys: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """One request to send, drawn from the seed.

    :param at_s: time since the start of the run.
    """

    number: int
    at_s: float
    kind: str
    node: str
    team: str


@dataclasses.dataclass(slots=True)
class Record:
    """Outcome of one request, as its caller saw it.

    :param tag: id of the request; a right answer holds it.
    :param sent_s: Unix time, in seconds.
    :param time_ms: time until the end of the answer or the failure.
    :param ended: ``answered``, an error code, ``status-`` and a status,
        ``no-answer: `` and an exception, or ``not-own``.
    :param ran: what the error answer says; ``unknown`` without an answer.
    :param run: the answer of the upstream.
    """

    tag: str
    kind: str
    node: str
    sent_s: float
    time_ms: float
    status: int | None
    ended: str
    ran: str | None
    run: dict[str, t.Any] | None


@dataclasses.dataclass(slots=True, frozen=True)
class Summary:
    """How the requests of one kind ended.

    :param endings: number of requests by :attr:`Record.ended`.
    :param times_ms: times of the answered requests by percentile.
    :param max_late_ms: longest time by which a request of any kind was
        sent late.
    """

    kind: str
    sent: int
    answered: int
    endings: dict[str, int]
    times_ms: dict[str, float]
    max_late_ms: float


class _ConnectionPool:
    """Pool of idle connections by node; httpcore's own pool is slower."""

    def __init__(self) -> None:
        self._idle: dict[str, list[httpcore.AsyncHTTPConnection]] = {}

    def acquire(self, node: str) -> httpcore.AsyncHTTPConnection:
        idle = self._idle.setdefault(node, [])
        while idle:
            connection = idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
        host, _, port = node.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        return httpcore.AsyncHTTPConnection(origin)

    async def release(
        self, node: str, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        idle = self._idle[node]
        if (
            connection.is_available()
            and len(idle) < MAX_IDLE_CONNECTIONS_PER_NODE
        ):
            idle.append(connection)
        else:
            await connection.aclose()

    async def close(self) -> None:
        for idle in self._idle.values():
            for connection in idle:
                await connection.aclose()


class _Runner:
    """Sends the requests of one run, each at its time."""

    def __init__(
        self,
        settings: LoadSettings,
        on_record: cabc.Callable[[Record], None],
    ) -> None:
        self._settings = settings
        self._on_record = on_record
        self._pool = _ConnectionPool()
        self.max_late_ms = 0.0

    async def run(self) -> None:
        started_s = clock.now_s()
        async with anyio.create_task_group() as tasks:
            for arrival in draw_arrivals(self._settings):
                wait_s = started_s + arrival.at_s - clock.now_s()
                if wait_s > 0:
                    await anyio.sleep(wait_s)
                late_s = clock.now_s() - started_s - arrival.at_s
                self.max_late_ms = max(self.max_late_ms, late_s * 1000)
                tasks.start_soon(self._send, arrival)
        await self._pool.close()

    async def _send(self, arrival: Arrival) -> None:
        tag = f"{self._settings.seed}-{arrival.number}"
        record = Record(
            tag=tag,
            kind=arrival.kind,
            node=arrival.node,
            sent_s=time.time(),
            time_ms=0.0,
            status=None,
            ended=NO_ANSWER,
            ran="unknown",
            run=None,
        )
        started_s = clock.now_s()
        connection = self._pool.acquire(arrival.node)
        timeout_s = self._settings.timeout_ms / 1000 + ANSWER_GRACE_S
        try:
            with anyio.fail_after(timeout_s):
                response = await connection.handle_async_request(
                    self._make_request(arrival, tag)
                )
                await response.aread()
                await response.aclose()
            _read_answer(record, response)
        except (
            TimeoutError,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            record.ended = f"{NO_ANSWER}: {type(error).__name__}"
        record.time_ms = (clock.now_s() - started_s) * 1000
        await self._pool.release(arrival.node, connection)
        self._on_record(record)

    def _make_request(self, arrival: Arrival, tag: str) -> httpcore.Request:
        settings = self._settings
        headers = [
            (b"Host", arrival.node.encode()),
            (b"X-Team", arrival.team.encode()),
            (b"X-Request-Id", tag.encode()),
            (TIMEOUT_HEADER, str(settings.timeout_ms).encode()),
        ]
        base = f"http://{arrival.node}"
        if arrival.kind == LOOKUP:
            url = f"{base}{settings.lookup_path}/{tag}"
            return httpcore.Request("GET", url, headers=headers)
        if settings.keys:
            headers.append((b"Idempotency-Key", tag.encode()))
        body = orjson.dumps({"tag": tag})
        headers.append((b"Content-Length", str(len(body)).encode()))
        url = f"{base}{settings.booking_path}"
        return httpcore.Request("POST", url, headers=headers, content=body)


def draw_arrivals(settings: LoadSettings) -> cabc.Iterator[Arrival]:
    """Yield the requests of a run, the same for the same seed."""
    rng = random.Random(settings.seed)
    at_s = rng.expovariate(settings.rate_per_s)
    number = 0
    while at_s < settings.duration_s:
        is_booking = rng.random() < settings.booking_share
        yield Arrival(
            number=number,
            at_s=at_s,
            kind=BOOKING if is_booking else LOOKUP,
            node=rng.choice(settings.nodes),
            team=f"team-{rng.randrange(settings.team_count)}",
        )
        number += 1
        at_s += rng.expovariate(settings.rate_per_s)


def _read_answer(record: Record, response: httpcore.Response) -> None:
    record.status = response.status
    try:
        answer = orjson.loads(response.content)
    except orjson.JSONDecodeError:
        answer = None
    if not isinstance(answer, dict):
        record.ended = f"status-{response.status}"
        return
    if "code" in answer:
        record.ended = str(answer["code"])
        record.ran = answer.get("ran")
        return
    record.ran = None
    record.run = answer
    is_own = record.tag in response.content.decode("latin-1")
    record.ended = ANSWERED if is_own else NOT_OWN


def summarise(
    kind: str, records: cabc.Sequence[Record], max_late_ms: float
) -> Summary:
    """Return the summary of the requests of one kind."""
    of_kind = [record for record in records if record.kind == kind]
    answered = [record for record in of_kind if record.ended == ANSWERED]
    histogram = histograms.make_histogram()
    for record in answered:
        histogram.record_value(round(record.time_ms * histograms.UNITS_PER_MS))
    endings = collections.Counter(record.ended for record in of_kind)
    times_ms = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile)
        / histograms.UNITS_PER_MS
        for percentile in PERCENTILES
    }
    return Summary(
        kind, len(of_kind), len(answered), dict(endings), times_ms, max_late_ms
    )


async def run_load(
    settings: LoadSettings, on_record: cabc.Callable[[Record], None]
) -> list[Summary]:
    """Send the requests of one run and return a summary of each kind.

    :param on_record: called with the outcome of each request.
    """
    records: list[Record] = []

    def add_record(record: Record) -> None:
        records.append(record)
        on_record(record)

    runner = _Runner(settings, add_record)
    await runner.run()
    return [
        summarise(kind, records, runner.max_late_ms)
        for kind in (LOOKUP, BOOKING)
    ]


def _parse_settings(arguments: dict[str, t.Any]) -> LoadSettings:
    settings = LoadSettings(
        nodes=tuple(arguments["--nodes"].split(",")),
        lookup_path=arguments["--lookup"],
        booking_path=arguments["--booking"],
        booking_share=float(arguments["--booking-share"]),
        rate_per_s=float(arguments["--rate"]),
        duration_s=float(arguments["--seconds"]),
        seed=int(arguments["--seed"]),
        timeout_ms=int(arguments["--timeout-ms"]),
        team_count=int(arguments["--team-count"]),
        keys=arguments["--keys"],
    )
    if settings.rate_per_s <= 0 or settings.team_count < 1:
        raise ValueError("--rate and --team-count must be above 0")
    return settings


def format_summaries(summaries: cabc.Sequence[Summary]) -> str:
    """Return the summaries of a run as a text table."""
    columns = ["kind", "sent", "answered"]
    columns += [f"p{percentile:g}_ms" for percentile in PERCENTILES]
    columns.append("other endings")
    rows = []
    for summary in summaries:
        others = [
            f"{ending}: {count}"
            for ending, count in sorted(summary.endings.items())
            if ending != ANSWERED
        ]
        rows.append(
            [
                summary.kind,
                summary.sent,
                summary.answered,
                *summary.times_ms.values(),
                ", ".join(others) or "none",
            ]
        )
    late_ms = max(summary.max_late_ms for summary in summaries)
    table = _text_table.format_table(columns, rows)
    return f"{table}\nrequests were sent up to {late_ms:.1f} ms late"


def main(argv: list[str] | None = None) -> int:
    """Send the requests of one run and print how they ended.

    :param argv: arguments without the program's name.
    :return: the exit code.
    """
    assert __doc__ is not None
    arguments = docopt.docopt(__doc__, argv)
    try:
        settings = _parse_settings(arguments)
    except ValueError as error:
        print(f"load: {error}", file=sys.stderr)
        return 2
    records: list[Record] = []
    summaries = anyio.run(run_load, settings, records.append)
    if arguments["--history"]:
        with pathlib.Path(arguments["--history"]).open("ab") as file:
            for record in records:
                file.write(orjson.dumps(record) + b"\n")
    if arguments["--json"]:
        values = {"settings": settings, "summaries": summaries}
        print(orjson.dumps(values, option=orjson.OPT_INDENT_2).decode())
    else:
        print(format_summaries(summaries))
    return 1 if any(record.ended == NOT_OWN for record in records) else 0


if __name__ == "__main__":
    sys.exit(main())
