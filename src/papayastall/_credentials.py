"""Bearer tokens of operators and upstreams."""

from __future__ import annotations

import hmac
import pathlib

from papayastall import exceptions
from papayastall import settings

__all__ = ["Credentials", "load_credentials", "read_secret"]

MIN_SECRET_BYTES = 16

BEARER_PREFIX = b"bearer "


class Credentials:
    """Checks the bearer tokens in ``Authorization`` headers.

    :param operator_secret: ``None`` turns the check of operators off.
    :param upstream_secret: ``None`` turns the check of upstreams off.
    """

    __slots__ = ("_operator_secret", "_upstream_secret")

    def __init__(
        self, operator_secret: bytes | None, upstream_secret: bytes | None
    ) -> None:
        self._operator_secret = operator_secret
        self._upstream_secret = upstream_secret

    def require_operator(self, authorization: bytes | None) -> None:
        """Check the token of an operator's request.

        :param authorization: value of the header, ``None`` if absent.
        :raises papayastall.exceptions.RefusedError: the token is missing
            or wrong.
        """
        _require(self._operator_secret, authorization, "operators")

    def require_upstream(self, authorization: bytes | None) -> None:
        """Check the token of an upstream's announcement.

        :param authorization: value of the header, ``None`` if absent.
        :raises papayastall.exceptions.RefusedError: the token is missing
            or wrong.
        """
        _require(self._upstream_secret, authorization, "upstreams")


def load_credentials(node_settings: settings.NodeSettings) -> Credentials:
    """Read the secrets from the files named in the settings.

    :raises papayastall.exceptions.BadInputError: a file can't be read or
        its secret is too short.
    """
    operator_file = node_settings.operator_token_file
    upstream_file = node_settings.upstream_token_file
    return Credentials(
        None if operator_file is None else read_secret(operator_file),
        None if upstream_file is None else read_secret(upstream_file),
    )


def read_secret(path: pathlib.Path) -> bytes:
    """Return the secret in a file, without leading or trailing white space.

    :raises papayastall.exceptions.BadInputError: the file can't be read or
        the secret is shorter than ``MIN_SECRET_BYTES``.
    """
    try:
        secret = path.read_bytes().strip()
    except OSError as error:
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_SETTINGS,
            f"can't read the secret file {path}: {error.strerror}",
            step="read secret",
        ) from error
    if len(secret) < MIN_SECRET_BYTES:
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_SETTINGS,
            f"the secret in {path} is too short; "
            f"write at least {MIN_SECRET_BYTES} random bytes as hex",
            step="read secret",
        )
    return secret


def _require(
    secret: bytes | None, authorization: bytes | None, role: str
) -> None:
    if secret is None:
        return
    header = authorization or b""
    is_bearer = header[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX
    token = header[len(BEARER_PREFIX) :].strip() if is_bearer else b""
    if hmac.compare_digest(token, secret):
        return
    raise exceptions.RefusedError(
        exceptions.ErrorCode.UNAUTHORIZED,
        f"show the secret of the {role} in the Authorization header",
        step="authorize",
    )
