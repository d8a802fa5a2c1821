"""Counters and gauges, kept in memory for scrapes and sent to statsd.

Counting adds to a dictionary. Once a second the sums since the last flush
are added to the totals and, if an address of statsd is set, sent in as few
datagrams as possible. ``docs/metrics.md`` lists the metrics; a test
compares it with this module.
"""

from __future__ import annotations

import enum

import anyio
import msgspec
import statsd

from papayastall import _checking

__all__ = [
    "Counter",
    "Description",
    "Gauge",
    "Metrics",
    "NAME_PREFIX",
    "Series",
]

FLUSH_INTERVAL_S = 1.0
MAX_DATAGRAM_BYTES = 1_400
MAX_SERIES = 20_000

NAME_PREFIX = "papayastall"


class Description(msgspec.Struct, frozen=True):
    """Name, unit and meaning of a metric.

    :param by_service: whether it is counted separately for each service.
    :param by_team: the same for each team; the team is then given in place
        of the service.
    """

    name: str
    unit: str
    meaning: str
    by_service: bool = False
    by_team: bool = False


class Counter(enum.Enum):
    """What is counted; statsd sums each counter over the nodes."""

    REQUESTS = Description(
        "requests", "requests", "taken from callers at this ingress", True
    )
    ANSWERS = Description(
        "answers", "requests", "whole answers relayed to callers", True
    )
    REFUSALS = Description(
        "refusals", "requests", "refused to callers as not run", True
    )
    UNKNOWN_OUTCOMES = Description(
        "unknown_outcomes",
        "requests",
        "callers told that nobody knows whether it ran",
        True,
    )
    CANCELLED = Description(
        "cancelled", "requests", "given up by their callers", True
    )
    ATTEMPTS = Description(
        "attempts", "attempts", "sent to owners, first ones included", True
    )
    RETRIES = Description(
        "retries", "attempts", "second and later attempts", True
    )
    HEDGES = Description(
        "hedges", "attempts", "sent beside one still running", True
    )
    DISPATCHES = Description(
        "dispatches", "requests", "handed to an upstream by this owner", True
    )
    SHEDS = Description(
        "sheds", "requests", "refused by an upstream as not run", True
    )
    QUEUE_DROPS = Description(
        "queue_drops", "requests", "dropped from this owner's queue", True
    )
    UPSTREAM_FAILURES = Description(
        "upstream_failures", "requests", "failed at an upstream", True
    )
    EJECTIONS = Description(
        "ejections", "upstreams", "ejected with a permit", True
    )
    RETURNS = Description(
        "returns", "upstreams", "returned from an ejection", True
    )
    STEERINGS = Description(
        "steerings", "upstreams", "steered away from", True
    )
    PERMITS_DENIED = Description(
        "permits_denied", "permits", "denied to keep the floor", True
    )
    CLAIMS = Description("claims", "keys", "idempotency keys claimed", True)
    CLAIM_REPEATS = Description(
        "claim_repeats",
        "requests",
        "answered with the first answer to their key",
        True,
    )
    CRASHING_REFUSALS = Description(
        "crashing_refusals",
        "requests",
        "refused since they crash upstreams",
        True,
    )
    QUOTA_REFUSALS = Description(
        "quota_refusals", "requests", "over their team's quota", by_team=True
    )
    QUOTA_UNDECIDED = Description(
        "quota_undecided",
        "requests",
        "refused since no holder of their team's quota was reached",
        by_team=True,
    )
    QUOTA_OWN = Description(
        "quota_own",
        "requests",
        "let run although no holder of their team's quota was reached",
        by_team=True,
    )
    QUOTA_ASKS = Description(
        "quota_asks", "messages", "to holders of teams' quotas"
    )
    QUOTA_TAKEOVERS = Description(
        "quota_takeovers", "slots", "of quotas that this node began to hold"
    )
    LINK_OPENS = Description("link_opens", "links", "opened to other nodes")
    LINK_FAILURES = Description(
        "link_failures", "links", "lost or found silent"
    )
    CONFIG_CHANGES = Description(
        "config_changes", "documents", "that came into force here"
    )
    CONFIG_FETCH_FAILURES = Description(
        "config_fetch_failures",
        "fetches",
        "of documents that a member did not answer",
    )
    KEYS_UNCONFIRMED = Description(
        "keys_unconfirmed",
        "requests",
        "with a key refused as this node had no lease on the keys",
    )
    ELECTIONS = Description("elections", "elections", "started by this node")
    FSYNCS = Description("fsyncs", "calls", "of fsync on the data folder")
    MEMORY_REFUSED_HEADS = Description(
        "memory_refused_heads", "requests", "heads without memory for them"
    )
    MEMORY_REFUSED_BODIES = Description(
        "memory_refused_bodies",
        "requests",
        "bodies of callers without memory for them",
    )
    MEMORY_REFUSED_LINKS = Description(
        "memory_refused_links",
        "requests",
        "bodies from other nodes without memory for them",
    )
    MEMORY_REFUSED_STRANGERS = Description(
        "memory_refused_strangers",
        "connections",
        "of peers that are not members, without memory for a frame",
    )
    MEMORY_REFUSED_CONTROL = Description(
        "memory_refused_control",
        "requests",
        "of upstreams and operators without memory for them",
    )
    REJECTED_SLOW = Description(
        "rejected_slow", "requests", "heads and bodies that took too long"
    )
    REJECTED_LARGE = Description(
        "rejected_large", "requests", "heads and bodies over their limit"
    )
    REJECTED_MALFORMED = Description(
        "rejected_malformed", "requests", "input that is no valid request"
    )
    CONNECTIONS_REFUSED = Description(
        "connections_refused",
        "connections",
        "closed for others at the limit of a port",
    )
    METRICS_DROPPED = Description(
        "metrics_dropped", "series", "not counted: too many at once"
    )


class Gauge(enum.Enum):
    """Gauges of one node; in statsd the node's address is part of the name."""

    IN_FLIGHT = Description("in_flight", "requests", "in flight at this node")
    LINKS = Description("links", "links", "open to other nodes")
    MEMBERS_ALIVE = Description("members_alive", "nodes", "alive as seen here")
    CONFIG_INDEX = Description("config_index", "index", "in force here")
    GOSSIP_SENT = Description(
        "gossip_sent_bytes", "bytes", "sent as datagrams since the start"
    )
    GOSSIP_REFUSED = Description(
        "gossip_refused",
        "datagrams",
        "with another key or a wrong form since the start",
    )
    KEY_LEASE_AGE = Description(
        "key_lease_age_ms",
        "ms",
        "since the configuration in force was surely the latest; -1 if never",
    )
    QUOTA_SLOTS = Description(
        "quota_slots", "slots", "of teams' quotas that this node holds"
    )
    MEMORY_BOOKED = Description(
        "memory_booked_bytes", "bytes", "kept for requests and answers"
    )
    MEMORY_TOTAL = Description(
        "memory_total_bytes", "bytes", "that may be kept for them"
    )
    LOOP_DELAY = Description(
        "loop_delay_ms", "ms", "by which the event loop is late"
    )


Series = tuple[Counter, str | None]
"""A counter and the service that it is counted for, if any."""


class Metrics:
    """Counts in memory for scrapes, and sends the sums to statsd.

    :param address: address of statsd; ``None`` to count without sending.
    :param node: link address of the node, part of the names of gauges.
    """

    def __init__(self, address: str | None, node: str) -> None:
        self._node = _escape_name(node)
        self._address = address
        self._client: statsd.StatsClient | None = None
        self._sums: dict[Series, int] = {}
        self._totals: dict[Series, int] = {}
        self._gauges: dict[Gauge, float] = {}

    def start(self) -> None:
        """Open the socket to statsd."""
        if self._address is None:
            return
        host, port = _checking.parse_address(self._address)
        self._client = statsd.StatsClient(
            host,
            port,
            prefix=NAME_PREFIX,
            maxudpsize=MAX_DATAGRAM_BYTES,
            ipv6=":" in host,
        )

    def close(self) -> None:
        """Flush, then close the socket."""
        if self._client is not None:
            self.flush()
            self._client.close()
            self._client = None

    def count(
        self, counter: Counter, amount: int = 1, service: str | None = None
    ) -> None:
        """Add to a counter.

        :param service: the service that it is counted for, if any.
        """
        key = (counter, service)
        previous = self._sums.get(key)
        if previous is None and len(self._sums) >= MAX_SERIES:
            key, amount = (Counter.METRICS_DROPPED, None), 1
            previous = self._sums.get(key)
        self._sums[key] = (previous or 0) + amount

    def set(self, gauge: Gauge, value: float) -> None:
        """Set a gauge."""
        self._gauges[gauge] = value

    def flush(self) -> None:
        """Add the sums since the last flush to the totals.

        With statsd, also send these sums and the gauges.
        """
        sums, self._sums = self._sums, {}
        for key, amount in sums.items():
            if key not in self._totals and len(self._totals) >= MAX_SERIES:
                key, amount = (Counter.METRICS_DROPPED, None), 1
            self._totals[key] = self._totals.get(key, 0) + amount
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for (counter, service), amount in sums.items():
                pipeline.incr(
                    _make_statsd_name(counter.value, service), amount
                )
            for gauge, value in self._gauges.items():
                pipeline.gauge(f"{gauge.value.name}.{self._node}", value)

    def totals(self) -> dict[Series, int]:
        """Flush, then return the counts since the start of this process."""
        self.flush()
        return dict(self._totals)

    def gauges(self) -> dict[Gauge, float]:
        """Return the value that each gauge was last set to."""
        return dict(self._gauges)

    async def run(self) -> None:
        """Flush once a second until cancelled."""
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            self.flush()


def _make_statsd_name(description: Description, service: str | None) -> str:
    if service is None:
        return description.name
    return f"{description.name}.{_escape_name(service)}"


def _escape_name(text: str) -> str:
    """Replace characters that are special in statsd names."""
    return "".join(
        letter if letter.isalnum() or letter in "-_" else "_"
        for letter in text
    )
