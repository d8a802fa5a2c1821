"""Lookup of the route of a request and of the service that runs it."""

from __future__ import annotations

import hashlib
import math
import secrets

import msgspec

from papayastall import route_table

__all__ = ["RouteLookup"]


class _Split(msgspec.Struct):
    """A split of one route's requests over its services.

    It is a smooth weighted round robin: each service gets its share of any
    short run of requests, not only on average.

    :param scale: divisor of the weights that makes their sum finite.
    """

    shares: tuple[route_table.ServiceShare, ...]
    scale: float
    current_weights: list[float]

    def choose(self) -> str:
        """Return the service of the next request."""
        total = 0.0
        best = 0
        for number, share in enumerate(self.shares):
            weight = share.weight / self.scale
            self.current_weights[number] += weight
            total += weight
            if self.current_weights[number] > self.current_weights[best]:
                best = number
        self.current_weights[best] -= total
        return self.shares[best].service


def _make_split(shares: tuple[route_table.ServiceShare, ...]) -> _Split:
    weights = [float(share.weight) for share in shares]
    scale = 1.0 if math.isfinite(sum(weights)) else max(weights)
    return _Split(shares, scale, [0.0] * len(shares))


class RouteLookup:
    """The routes of one table by host, longest prefix first, and its teams.

    :param table: the table in force.
    :param previous: the lookup that this one replaces; splits with the same
        shares keep their position in the rotation.
    :ivar teams: the teams of the table by name.
    """

    def __init__(
        self,
        table: route_table.RouteTable,
        previous: RouteLookup | None = None,
    ) -> None:
        self.table = table
        self._by_host: dict[str, list[route_table.Route]] = {}
        self._splits: dict[str, _Split] = {}
        for route in table.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
            split = previous._splits.get(route.name) if previous else None
            if split is None or split.shares != route.shares:
                split = _make_split(route.shares)
            self._splits[route.name] = split
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self.teams = {team.name: team for team in table.teams}
        self._digest_secret = secrets.token_bytes(16)
        self._teams_by_digest = {
            self._digest(key.encode()): team
            for team in table.teams
            for key in team.keys
        }

    def find(self, host: str, path: str) -> route_table.Route | None:
        """Return the route with the longest matching prefix, if any.

        :param host: value of the ``Host`` header; a port is ignored.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_team(self, key: bytes) -> route_table.Team | None:
        """Return the team that a key identifies, if any.

        The key is looked up by a keyed digest, so that the time that this
        takes tells nothing of the keys in force.
        """
        return self._teams_by_digest.get(self._digest(key))

    def _digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(
            key, key=self._digest_secret, digest_size=16
        ).digest()

    def choose_service(self, route: route_table.Route) -> str:
        """Return the service that runs the next request of a route."""
        return self._splits[route.name].choose()
