"""What an owner knows of limits and leaving from its upstreams' answers."""

from __future__ import annotations

import msgspec

from papayastall import _decision_types as types
from papayastall import _leaving
from papayastall import _owner_state as state
from papayastall import _rate_limit

__all__ = ["NoticeMemory", "adopt", "forget", "make_notice", "note_answer"]

_RETENTION_S = 60.0
"""Time for which a notice of an upstream that is not announced is kept."""
_MAX_NOTICES = 64


def note_answer(
    now_s: float,
    upstream: state.Upstream,
    limit_per_s: float | None,
    is_leaving: bool,
) -> bool:
    """Record what an answer says of its upstream; return whether it is new.

    A limit holds until an answer names none. Leaving is final.
    """
    upstream.has_spoken = True
    before = make_notice(upstream)
    _set(now_s, upstream, limit_per_s, is_leaving)
    return make_notice(upstream) != before


def adopt(
    now_s: float, upstream: state.Upstream, notice: types.UpstreamNotice
) -> None:
    """Record what another process was told, unless this one knows better.

    Where the start of an upstream is not known, a notice may be of an earlier
    one: a limit ends with the first answer then, but leaving would not.
    """
    if upstream.has_spoken or notice.started_ms != upstream.started_ms:
        return
    is_leaving = notice.is_leaving and notice.started_ms > 0
    _set(now_s, upstream, notice.limit_per_s, is_leaving)


def make_notice(upstream: state.Upstream) -> types.UpstreamNotice | None:
    """Return an upstream's notice.

    :returns: ``None`` if the upstream never named a limit nor said that it
        is leaving. A limit that was lifted is a notice without one.
    """
    if not upstream.has_given_notice:
        return None
    limit = upstream.rate_limit
    return types.UpstreamNotice(
        upstream.name,
        upstream.started_ms,
        None if limit is None else limit.limit_per_s,
        upstream.says_leaving,
    )


def forget(upstream: state.Upstream) -> None:
    """Forget what an earlier process of the upstream said."""
    upstream.rate_limit = None
    upstream.says_leaving = False
    upstream.has_spoken = False
    upstream.has_given_notice = False


def _set(
    now_s: float,
    upstream: state.Upstream,
    limit_per_s: float | None,
    is_leaving: bool,
) -> None:
    if limit_per_s is not None or is_leaving:
        upstream.has_given_notice = True
    if limit_per_s is None:
        upstream.rate_limit = None
    elif upstream.rate_limit is None:
        upstream.rate_limit = _rate_limit.RateLimit(limit_per_s, now_s)
    else:
        upstream.rate_limit.change(now_s, limit_per_s)
    if is_leaving:
        upstream.says_leaving = True
        _leaving.start_leaving(upstream, now_s)


class _Kept(msgspec.Struct, frozen=True):
    notice: types.UpstreamNotice
    until_s: float


class NoticeMemory:
    """Notices of upstreams that are not announced to this owner."""

    __slots__ = ("_kept",)

    def __init__(self) -> None:
        self._kept: dict[str, _Kept] = {}

    def keep(self, now_s: float, notice: types.UpstreamNotice) -> None:
        """Keep a notice until its upstream is announced, for a minute."""
        self._kept.pop(notice.upstream, None)
        self._kept[notice.upstream] = _Kept(notice, now_s + _RETENTION_S)
        while len(self._kept) > _MAX_NOTICES:
            del self._kept[next(iter(self._kept))]

    def take(self, now_s: float, upstream: str) -> types.UpstreamNotice | None:
        """Remove and return the notice of an upstream, if there is one."""
        kept = self._kept.pop(upstream, None)
        if kept is None or now_s >= kept.until_s:
            return None
        return kept.notice
