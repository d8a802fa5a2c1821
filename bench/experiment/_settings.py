"""What an experiment's settings file says, checked."""

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

__all__ = [
    "Call",
    "Clients",
    "Experiment",
    "Kind",
    "Policy",
    "Service",
    "Site",
    "Trouble",
    "TroubleKind",
    "load",
]


class TroubleKind(enum.Enum):
    """How upstreams fail for a time while they announce that they are well."""

    HANG = "hang"
    """A share of the requests is never answered."""
    ERRORS = "errors"
    """A share of the requests fails at half of its time."""
    SLOW = "slow"
    """All requests take longer by a factor."""
    SHED = "shed"
    """A share of the requests is refused unrun."""
    COLD = "cold"
    """Slow by a factor that goes back to 1 up to the end."""


@dataclasses.dataclass(slots=True, frozen=True)
class Site:
    """Distances and upstreams.

    :param domain_ms: one way between two failure domains.
    :param slots: requests that an upstream runs at a time.
    :param full_factor: how much longer a request takes beside full slots.
    :param retry_ratio: extra attempts per request, over the fleet.
    :param retry_slack: extra attempts beyond that in each window.
    """

    domains: int
    domain_ms: float
    slots: int
    full_factor: float = 1.5
    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    retry_window_s: float = 10.0


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """Upstreams of one service, one on each of as many VMs."""

    name: str
    upstreams: int


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """A request that some runs send half way through and wait for."""

    kind: str
    share: float


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """One kind of request.

    :param share: of the callers' requests; 0 where only upstreams send it.
    :param work_ms: median time at an idle upstream, without its call.
    :param sigma: of the logarithm of that time.
    :param timeout_ms: longest time that one try may take.
    :param objective_ms: time within which an answer has its full worth.
    :param worth: of one answer, in relation to the other kinds.
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


@dataclasses.dataclass(slots=True, frozen=True)
class Trouble:
    """Some upstreams of a service fail for a time.

    :param share: of their requests, for kinds that have one.
    :param factor: by which they are slower, for kinds that have one.
    """

    kind: TroubleKind
    service: str
    count: int
    start_s: float
    end_s: float
    share: float = 1.0
    factor: float = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class Clients:
    """What callers do after a refusal.

    :param patience_ms: from the first try; nothing comes after it.
    :param max_returns: tries after the first one.
    :param impatient_share: callers that come back at once, whatever they
        are told.
    """

    patience_ms: int = 6_000
    max_returns: int = 2
    impatient_share: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """A change of the shipped policy; tables name fields of its tunings."""

    name: str
    routing: dict[str, float] = dataclasses.field(default_factory=dict)
    health: dict[str, float] = dataclasses.field(default_factory=dict)
    max_queued: int | None = None
    retry_share: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Experiment:
    """One file.

    :param loads: shares of the site's capacity that callers ask for.
    :param seconds: length of each run; the first ``warm_s`` do not count.
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

    def find_kind(self, name: str) -> Kind:
        """Return the kind of request of this name."""
        return next(kind for kind in self.kinds if kind.name == name)


def load(path: pathlib.Path) -> Experiment:
    """Read and check a settings file.

    :raises papayastall.exceptions.BadInputError: with every problem.
    """
    try:
        raw: dict[str, t.Any] = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_SETTINGS,
            f"{path}: {error}; name a TOML file that can be read",
            step="read-experiment",
        ) from error
    converter = _checking.make_converter(path.parent)
    experiment, problems = _checking.structure(converter, raw, Experiment)
    if experiment is not None:
        problems += _find_contradictions(experiment)
    _checking.raise_problems(
        exceptions.ErrorCode.BAD_SETTINGS, str(path), problems
    )
    assert experiment is not None, "no problem and no value"
    return experiment


def _find_contradictions(
    experiment: Experiment,
) -> cabc.Iterator[_checking.Problem]:
    services = {service.name for service in experiment.services}
    kinds = {kind.name: kind for kind in experiment.kinds}
    for number, kind in enumerate(experiment.kinds):
        key = f"kinds[{number}]"
        if kind.service not in services:
            yield _unknown(f"{key}.service", kind.service)
        if kind.call is None:
            continue
        called = kinds.get(kind.call.kind)
        if called is None:
            yield _unknown(f"{key}.call.kind", kind.call.kind)
        elif called.call is not None:
            yield _checking.Problem(
                f"{key}.call.kind",
                f"{called.name!r} sends calls itself",
                "name a kind without a call",
            )
    for number, trouble in enumerate(experiment.troubles):
        if trouble.service not in services:
            yield _unknown(f"troubles[{number}].service", trouble.service)
    for number, policy in enumerate(experiment.policies):
        for table, tuning in (
            ("routing", _service_policy.RoutingTuning),
            ("health", _service_policy.HealthTuning),
        ):
            unknown = set(getattr(policy, table)).difference(
                tuning.__struct_fields__
            )
            for name in sorted(unknown):
                yield _checking.Problem(
                    f"policies[{number}].{table}.{name}",
                    "is no field of that tuning",
                    f"name one of {', '.join(tuning.__struct_fields__)}",
                )
    for key in ("policies", "seeds", "loads"):
        if not getattr(experiment, key):
            yield _checking.Problem(key, "is empty", "name one at least")
    if sum(kind.share for kind in experiment.kinds) <= 0.0:
        yield _checking.Problem(
            "kinds", "no kind has a share", "give one a share above 0"
        )


def _unknown(key: str, name: str) -> _checking.Problem:
    return _checking.Problem(key, f"there is no {name!r}", "add it")
