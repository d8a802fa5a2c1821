"""Leaving upstreams, which get no new requests and finish those in flight."""

from __future__ import annotations

from papayastall import _owner_state as state

__all__ = ["is_drained", "is_leaving", "start_leaving", "stop_leaving"]


def start_leaving(upstream: state.Upstream, now_s: float) -> None:
    """Stop sending new requests to the upstream."""
    if upstream.leaving_since_s is None:
        upstream.leaving_since_s = now_s


def stop_leaving(upstream: state.Upstream, now_s: float) -> None:
    """Send requests to the upstream again, with a slow start."""
    if upstream.leaving_since_s is None:
        return
    upstream.leaving_since_s = None
    if upstream.standing is state.Standing.HEALTHY:
        upstream.standing = state.Standing.RETURNING
        upstream.standing_since_s = now_s


def is_leaving(upstream: state.Upstream) -> bool:
    """Return whether the upstream gets no new requests."""
    return upstream.leaving_since_s is not None


def is_drained(upstream: state.Upstream) -> bool:
    """Return whether a leaving upstream has no requests left and may stop."""
    return upstream.leaving_since_s is not None and not upstream.running
