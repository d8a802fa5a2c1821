"""Upstreams that leave: no new work, and time for the work in flight."""

from __future__ import annotations

from papayastall import _owner_state as state

__all__ = ["is_drained", "is_leaving", "start_leaving", "stop_leaving"]


def start_leaving(upstream: state.Upstream, now_s: float) -> None:
    """Give the upstream no new work from now on."""
    if upstream.leaving_since_s is None:
        upstream.leaving_since_s = now_s


def stop_leaving(upstream: state.Upstream, now_s: float) -> None:
    """Let the upstream take work again, by slow start."""
    if upstream.leaving_since_s is None:
        return
    upstream.leaving_since_s = None
    if upstream.standing is state.Standing.HEALTHY:
        upstream.standing = state.Standing.RETURNING
        upstream.standing_since_s = now_s


def is_leaving(upstream: state.Upstream) -> bool:
    """Return whether the upstream takes no new work."""
    return upstream.leaving_since_s is not None


def is_drained(upstream: state.Upstream) -> bool:
    """Return whether a leaving upstream may stop: no work is cut."""
    return upstream.leaving_since_s is not None and not upstream.running
