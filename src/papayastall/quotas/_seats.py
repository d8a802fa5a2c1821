"""Choice of the nodes that may hold teams, the same at every node.

Seats are chosen by hashes of addresses alone, so a node that restarts keeps
its seat, and in equal numbers from each failure domain, so that the loss of
one domain leaves more than half of the seats. Members that died keep theirs:
a node must not conclude from its own losses that fewer votes make a
majority.
"""

from __future__ import annotations

import collections.abc as cabc
import functools

import xxhash

from papayastall.quotas import _messages

__all__ = ["MAX_SEATS", "choose_seats", "rank_seats", "slot_of"]

MAX_SEATS = 15
"""Each failure domain of three has five. With more seats, a majority would
survive more independent losses, and claims would cost more messages, which
grow with the square of this number."""


def slot_of(team: str) -> int:
    """Return the slot that a team belongs to."""
    digest: int = xxhash.xxh3_64_intdigest(team.encode())
    return digest % _messages.SLOT_COUNT


def choose_seats(members: cabc.Mapping[str, str]) -> tuple[str, ...]:
    """Return the addresses of the nodes that vote on holders and may hold.

    Their number is odd, so that any split in two leaves a majority.

    :param members: failure domains of all known members by address.
    """
    domains: dict[str, list[str]] = {}
    for address, domain in members.items():
        domains.setdefault(domain, []).append(address)
    ranked = [
        sorted(domains[domain], key=_weigh_seat) for domain in sorted(domains)
    ]
    count = min(MAX_SEATS, len(members))
    count -= 1 - count % 2
    chosen: list[str] = []
    place = 0
    while len(chosen) < count:
        chosen += [
            addresses[place] for addresses in ranked if place < len(addresses)
        ]
        place += 1
    return tuple(sorted(chosen[: max(0, count)]))


@functools.lru_cache(maxsize=4 * _messages.SLOT_COUNT)
def rank_seats(slot: int, seats: tuple[str, ...]) -> tuple[str, ...]:
    """Return the seats in the order in which they are to hold a slot."""
    return tuple(
        sorted(
            seats,
            key=lambda seat: xxhash.xxh3_64_intdigest(
                f"{slot} {seat}".encode()
            ),
        )
    )


def _weigh_seat(address: str) -> int:
    text = f"quota seat {address}"
    digest: int = xxhash.xxh3_64_intdigest(text.encode())
    return digest
