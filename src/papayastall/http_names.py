"""Names of the HTTP headers that papayastall defines.

An adapter can replace them with the names that a platform uses. All names
are lower case. A header with an empty name is neither read nor sent.
"""

from __future__ import annotations

import msgspec

__all__ = ["HeaderNames"]


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of the headers exchanged with callers and upstreams.

    :param timeout: request timeout in milliseconds, as a caller sends it;
        towards an upstream, the time left until the deadline.
    :param not_run: set by an upstream that did not run the request.
    :param not_run_value: value of ``not_run`` that means this; ``b""`` for
        any value.
    :param request_id: echoed by upstreams, so that a late answer to an
        earlier request is not taken for the answer to the current one.
    :param instance: the only process instance of an upstream that may run
        the request; any other instance answers 421.
    :param caller_service: service on the VM from which a request was sent.
    :param key: the key by which a caller shows its team; never sent to an
        upstream by a table that has teams.
    :param team: name of that team, sent to the upstream.
    :param limit: set by an upstream in need: the requests a second that it
        takes from all nodes together.
    :param leaving: set by an upstream that takes no new requests, unless its
        value is ``0``.
    :param owner: names the owner in an answer to a caller.
    :param retry_after_fractions: whether callers accept fractions of a
        second in ``Retry-After``.
    """

    timeout: bytes = b"papayastall-timeout-ms"
    not_run: bytes = b"papayastall-ran"
    not_run_value: bytes = b"no"
    request_id: bytes = b""
    instance: bytes = b""
    caller_service: bytes = b""
    key: bytes = b"papayastall-key"
    team: bytes = b"papayastall-team"
    limit: bytes = b"papayastall-limit-per-s"
    leaving: bytes = b"papayastall-leaving"
    owner: bytes = b"papayastall-owner"
    retry_after_fractions: bool = False
