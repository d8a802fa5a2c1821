"""Owners among which the owner of a request is chosen."""

from __future__ import annotations

import collections.abc as cabc
import typing as t

from papayastall.proof import _tuning

__all__ = ["prefer_likely", "prefer_unproved"]

T = t.TypeVar("T")


def prefer_likely(
    views: cabc.Sequence[T],
    gray_share: cabc.Callable[[T], float],
    is_free: cabc.Callable[[T], bool],
    tuning: _tuning.ProofTuning,
) -> cabc.Sequence[T]:
    """Return the owners that are most likely to answer.

    All owners are returned if none seems to have a free slot, so that an
    estimate never costs a service its capacity.

    :param gray_share: probability that an owner leaves requests unanswered.
    :param is_free: whether an owner seems to have a free slot.
    """
    shares = [(gray_share(view), view) for view in views if is_free(view)]
    if not shares:
        return views
    least = min(share for share, _ in shares)
    limit = max(tuning.low_gray_share, least * tuning.share_margin)
    return [view for share, view in shares if share <= limit]


def prefer_unproved(
    views: cabc.Sequence[T],
    gray_share: cabc.Callable[[T], float],
    is_free: cabc.Callable[[T], bool],
    tuning: _tuning.ProofTuning,
) -> cabc.Sequence[T]:
    """Return the owners without recent proof, or all if there are none.

    Lookups that can be hedged prove them; without any, no booking would be
    sent there, and a healthy upstream would get no requests.

    :param gray_share: as for :func:`prefer_likely`.
    :param is_free: as for :func:`prefer_likely`.
    """
    unproved = [
        view
        for view in views
        if is_free(view) and gray_share(view) > tuning.low_gray_share
    ]
    return unproved or views
