"""Names of the headers that carry the product's own meaning.

A deployment may have names of its own for them; an adapter fills them in.
All names are lower case, and an empty name leaves its header out.
"""

from __future__ import annotations

import msgspec

__all__ = ["HeaderNames"]


class HeaderNames(msgspec.Struct, frozen=True):
    """Header names towards callers and upstreams.

    :param timeout: milliseconds that a caller waits, and that an upstream
        has left.
    :param not_run: an upstream's word that it did not run the request.
    :param not_run_value: the value that says so; ``b""`` for any.
    :param request_id: an upstream echoes it, which tells a late answer to
        an earlier request from the right one.
    :param instance: names the only start of an upstream that may run the
        request; another one answers 421.
    :param caller_service: the service beside which a request began.
    :param owner: names the owner in an answer to a caller.
    :param retry_after_fractions: whether callers read parts of a second in
        ``Retry-After``.
    """

    timeout: bytes = b"papayastall-timeout-ms"
    not_run: bytes = b"papayastall-ran"
    not_run_value: bytes = b"no"
    request_id: bytes = b""
    instance: bytes = b""
    caller_service: bytes = b""
    owner: bytes = b"papayastall-owner"
    retry_after_fractions: bool = False
