"""Settings file of an experiment: its data classes and its validation."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import enum
import pathlib
import tomllib
import typing as t

from papayastall import _checking
from papayastall import _service_policy
from papayastall import exceptions
from papayastall import proof

__all__ = [
    "Call",
    "Clients",
    "Experiment",
    "GrayTurns",
    "Kind",
    "Policy",
    "Service",
    "Site",
    "Trouble",
    "TroubleKind",
    "load",
]


class TroubleKind(enum.Enum):
    """How upstreams fail for a time while they announce to be ready."""

    HANG = "hang"
    """A share of the requests never gets an answer."""
    ERRORS = "errors"
    """A share of the requests fails after half of its run time."""
    SLOW = "slow"
    """All requests take longer, by a factor."""
    SHED = "shed"
    """A share of the requests is refused without being run."""
    COLD = "cold"
    """All requests take longer, by a factor that falls to 1 at the end."""


@dataclasses.dataclass(slots=True, frozen=True)
class Site:
    """Network delays, upstreams and the fleet's retry budget.

    :param domains: number of failure domains.
    :param domain_ms: one-way delay between two failure domains.
    :param slots: requests that an upstream runs at a time.
    :param full_factor: factor on run times at a full upstream; with fewer
        busy slots it is proportionally closer to 1.
    :param retry_ratio: extra attempts per first attempt, over the fleet.
    :param retry_slack: extra attempts beyond that in each window.
    :param retry_window_s: length of the windows.
    :param domain_nodes: number of nodes of each failure domain; equal ones
        if empty.
    :param min_speed: speed of the slowest upstream of each service.
    :param max_speed: speed of its fastest upstream; those of the others are
        spread evenly in between.
    """

    domains: int
    domain_ms: float
    slots: int
    full_factor: float = 1.5
    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    retry_window_s: float = 10.0
    domain_nodes: list[int] = dataclasses.field(default_factory=list)
    min_speed: float = 1.0
    max_speed: float = 1.0

    @property
    def mean_speed(self) -> float:
        """Mean speed of the upstreams of a service."""
        return (self.min_speed + self.max_speed) / 2


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """One service.

    :param upstreams: number of its upstreams, each on a VM of its own.
    """

    name: str
    upstreams: int


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """Requests that a run sends halfway through, one after the other.

    :param kind: name of the kind of the requests that are sent.
    :param share: share of the runs that send them, 0 to 1.
    :param count: number of requests; the run waits for each.
    """

    kind: str
    share: float
    count: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """One kind of request.

    :param rank: urgency; 0 is the most urgent.
    :param share: weight among the callers' requests; 0 if only upstreams
        send it.
    :param work_ms: median run time at an idle upstream, without its call.
    :param timeout_ms: time limit of one try.
    :param objective_ms: latency objective; a later answer has half the
        worth.
    :param max_attempts: limit on the attempts that may reach an upstream.
    :param sigma: standard deviation of the logarithm of the run time.
    :param worth: worth of one answer relative to other kinds.
    :param tail_share: share of the requests that take longer by a further
        factor.
    :param tail_factor: that factor.
    """

    name: str
    service: str
    idempotent: bool
    rank: int
    share: float
    work_ms: float
    timeout_ms: int
    objective_ms: int
    max_attempts: int = 2
    sigma: float = 0.5
    worth: float = 1.0
    call: Call | None = None
    tail_share: float = 0.0
    tail_factor: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Trouble:
    """A fault of some upstreams of a service for a time.

    :param count: number of upstreams that are affected.
    :param share: share of their requests that are affected, for ``hang``,
        ``errors`` and ``shed``.
    :param factor: factor on run times, for ``slow`` and ``cold``.
    """

    kind: TroubleKind
    service: str
    count: int
    start_s: float
    end_s: float
    share: float = 1.0
    factor: float = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class GrayTurns:
    """Upstreams of a service that hang by turns, at times drawn by the seed.

    :param share: share of the upstreams that hang at any time, on average.
    :param hang_share: share of their requests that hang.
    :param mean_s: mean duration of one such period.
    :param min_s: shortest duration.
    """

    service: str
    share: float = 0.3
    hang_share: float = 0.75
    mean_s: float = 6.0
    min_s: float = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Clients:
    """How callers retry after a refusal.

    :param patience_ms: time from the first try after which a caller gives
        up.
    :param max_returns: limit on the tries after the first one.
    :param impatient_share: share of callers that retry without waiting for
        the suggested delay.
    """

    patience_ms: int = 6_000
    max_returns: int = 2
    impatient_share: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """A change to the shipped policy of services without a document.

    :param routing: changed fields of ``RoutingTuning``.
    :param health: changed fields of ``HealthTuning``.
    :param max_queued: limit on waiting requests at one owner.
    :param proof: changed fields of ``ProofTuning``.
    :param retry_share: factor on the fleet's retry budget.
    :param is_varied: see ``ServicePolicy``.
    """

    name: str
    routing: dict[str, float] = dataclasses.field(default_factory=dict)
    health: dict[str, float] = dataclasses.field(default_factory=dict)
    proof: dict[str, float] = dataclasses.field(default_factory=dict)
    max_queued: int | None = None
    retry_share: float = 1.0
    is_varied: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Experiment:
    """Contents of a settings file.

    :param loads: offered loads, as shares of the site's capacity.
    :param seconds: simulated time of each run, in seconds.
    :param warm_s: time at the start of a run in which callers' requests are
        not counted.
    """

    site: Site
    services: list[Service]
    kinds: list[Kind]
    policies: list[Policy]
    seeds: list[int]
    loads: list[float]
    seconds: float
    warm_s: float = 5.0
    clients: Clients = Clients()
    troubles: list[Trouble] = dataclasses.field(default_factory=list)
    gray_turns: list[GrayTurns] = dataclasses.field(default_factory=list)

    def find_kind(self, name: str) -> Kind:
        """Return the kind of request with a name."""
        return next(kind for kind in self.kinds if kind.name == name)


def load(path: pathlib.Path) -> Experiment:
    """Read and check a settings file.

    :raises papayastall.exceptions.BadInputError: the file cannot be read or
        is invalid; the message lists all problems.
    """
    try:
        raw: dict[str, t.Any] = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_SETTINGS,
            f"{path}: {error}; pass the path of a readable TOML file",
            step="read-experiment",
        ) from error
    converter = _checking.make_converter(path.parent)
    experiment, problems = _checking.structure(converter, raw, Experiment)
    if experiment is not None:
        problems += _find_contradictions(experiment)
    _checking.raise_problems(
        exceptions.ErrorCode.BAD_SETTINGS, str(path), problems
    )
    assert experiment is not None, "neither a value nor a problem"
    return experiment


def _find_contradictions(
    experiment: Experiment,
) -> cabc.Iterator[_checking.Problem]:
    services = {service.name for service in experiment.services}
    kinds = {kind.name: kind for kind in experiment.kinds}
    for number, kind in enumerate(experiment.kinds):
        key = f"kinds[{number}]"
        if kind.service not in services:
            yield _unknown_name(f"{key}.service", kind.service)
        if kind.call is None:
            continue
        called = kinds.get(kind.call.kind)
        if called is None:
            yield _unknown_name(f"{key}.call.kind", kind.call.kind)
        elif called.call is not None:
            yield _checking.Problem(
                f"{key}.call.kind",
                f"{called.name!r} sends a call itself",
                "name a kind without a call",
            )
    for number, trouble in enumerate(experiment.troubles):
        if trouble.service not in services:
            yield _unknown_name(f"troubles[{number}].service", trouble.service)
    for number, turns in enumerate(experiment.gray_turns):
        if turns.service not in services:
            key = f"gray_turns[{number}].service"
            yield _unknown_name(key, turns.service)
        if not 0.0 < turns.share < 1.0 or turns.mean_s <= turns.min_s:
            yield _checking.Problem(
                f"gray_turns[{number}]",
                "has a share outside 0 to 1, or a mean that is too short",
                "use a share between both and a mean above min_s",
            )
    for number, policy in enumerate(experiment.policies):
        for table, tuning in (
            ("routing", _service_policy.RoutingTuning),
            ("health", _service_policy.HealthTuning),
            ("proof", proof.ProofTuning),
        ):
            unknown = set(getattr(policy, table)).difference(
                tuning.__struct_fields__
            )
            for name in sorted(unknown):
                yield _checking.Problem(
                    f"policies[{number}].{table}.{name}",
                    "is not a field of this table",
                    f"use one of {', '.join(tuning.__struct_fields__)}",
                )
    for key in ("policies", "seeds", "loads"):
        if not getattr(experiment, key):
            yield _checking.Problem(key, "is empty", "add at least one entry")
    if sum(kind.share for kind in experiment.kinds) <= 0.0:
        yield _checking.Problem(
            "kinds", "no kind has a share above 0", "set one above 0"
        )


def _unknown_name(key: str, name: str) -> _checking.Problem:
    return _checking.Problem(
        key, f"{name!r} is not defined", "define it or name another one"
    )
