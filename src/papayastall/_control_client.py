"""Operators' HTTP client for a node's control address."""

from __future__ import annotations

import dataclasses
import pathlib
import ssl
import typing as t

import httpcore
import orjson

from papayastall import _checking
from papayastall import exceptions
from papayastall import settings

__all__ = ["ControlClient", "Target", "find_target"]

CALL_TIMEOUT_S = 15.0

BAD_INPUT_STATUSES = frozenset({400, 404, 405, 413, 415, 422})
CONFLICT_STATUS = 409
REFUSED_STATUSES = frozenset({401, 403, 429, 503})
UNREACHABLE_STATUSES = frozenset({502, 504})

UNREACHABLE_HINT = (
    "check the address and that the node runs; repeating the command is safe"
)


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """The node that an operator's command connects to.

    :param token: operator token, or ``None`` for an insecure node.
    :param authority_file: CA certificate to trust for HTTPS, or ``None``
        for plain HTTP.
    """

    address: str
    token: str | None = dataclasses.field(repr=False)
    authority_file: pathlib.Path | None


def find_target(
    settings_path: str | None,
    address: str | None,
    token_path: str | None,
    authority_path: str | None,
) -> Target:
    """Return the node to connect to; options override the settings.

    :raises papayastall.exceptions.BadInputError: the address is missing or
        invalid, or a file can't be read.
    """
    token_file = pathlib.Path(token_path) if token_path else None
    authority = pathlib.Path(authority_path) if authority_path else None
    if settings_path is not None:
        node = settings.load_node_settings(settings_path)
        address = address or node.control_address
        token_file = token_file or node.operator_token_file
        if authority is None and node.tls is not None:
            authority = node.tls.authority_file
    if address is None:
        raise _bad_input("give --node ADDRESS or --settings FILE")
    try:
        _checking.parse_address(address)
    except ValueError as error:
        raise _bad_input(f"--node: {error}; give ip:port") from error
    token = None if token_file is None else _read_token(token_file)
    return Target(address, token, authority)


def _bad_input(message: str) -> exceptions.BadInputError:
    return exceptions.BadInputError(
        exceptions.ErrorCode.BAD_SETTINGS, message, step="read options"
    )


def _read_token(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise _bad_input(f"can't read the token file {path}") from error


class ControlClient:
    """Client of a node's control address; raises error answers."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._ssl_context = _make_ssl_context(target.authority_file)

    def get(self, path: str) -> dict[str, t.Any]:
        """Send a GET request and return the JSON object of the answer.

        :raises papayastall.exceptions.PapayastallError: there is no answer,
            or it is an error or no JSON object.
        """
        return self._call("GET", path, None)

    def post(self, path: str, body: dict[str, t.Any]) -> dict[str, t.Any]:
        """Send a POST request and return the JSON object of the answer.

        :raises papayastall.exceptions.PapayastallError: there is no answer,
            or it is an error or no JSON object.
        """
        return self._call("POST", path, body)

    def _call(
        self, method: str, path: str, body: dict[str, t.Any] | None
    ) -> dict[str, t.Any]:
        scheme = "http" if self._ssl_context is None else "https"
        url = f"{scheme}://{self._target.address}{path}"
        try:
            with httpcore.ConnectionPool(
                ssl_context=self._ssl_context
            ) as pool:
                response = pool.request(
                    method,
                    url,
                    headers=self._make_headers(),
                    content=None if body is None else orjson.dumps(body),
                    extensions={"timeout": _make_timeouts()},
                )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            httpcore.ConnectionNotAvailable,
        ) as error:
            raise exceptions.UnreachableError(
                exceptions.ErrorCode.LINK_FAILED,
                f"no answer ({error}); {UNREACHABLE_HINT}",
                step=f"{method} {path}",
                peer=self._target.address,
            ) from error
        return self._read_answer(f"{method} {path}", response)

    def _make_headers(self) -> list[tuple[str, str]]:
        headers = [("Content-Type", "application/json")]
        if self._target.token is not None:
            headers.append(("Authorization", f"Bearer {self._target.token}"))
        return headers

    def _read_answer(
        self, step: str, response: httpcore.Response
    ) -> dict[str, t.Any]:
        try:
            answer = orjson.loads(response.content)
        except orjson.JSONDecodeError:
            answer = None
        if not isinstance(answer, dict):
            raise exceptions.ProtocolError(
                exceptions.ErrorCode.BAD_REQUEST,
                f"status {response.status} without a JSON object; "
                "is this the control address of a node?",
                step=step,
                peer=self._target.address,
            )
        if response.status < 300:
            return answer
        raise _make_error(response.status, answer, step, self._target.address)


def _make_ssl_context(
    authority_file: pathlib.Path | None,
) -> ssl.SSLContext | None:
    if authority_file is None:
        return None
    try:
        context = ssl.create_default_context(cafile=authority_file)
    except (OSError, ssl.SSLError) as error:
        raise _bad_input(
            f"can't read the authority file {authority_file}"
        ) from error
    context.check_hostname = False
    return context


def _make_timeouts() -> dict[str, float]:
    return dict.fromkeys(("connect", "read", "write", "pool"), CALL_TIMEOUT_S)


def _make_error(
    status: int, problem: dict[str, t.Any], step: str, peer: str
) -> exceptions.PapayastallError:
    try:
        code = exceptions.ErrorCode(problem.get("code"))
    except ValueError:
        code = exceptions.ErrorCode.INTERNAL
    message = str(problem.get("detail") or problem.get("title") or status)
    step = str(problem.get("step") or step)
    peer = str(problem.get("peer") or peer)
    if status == CONFLICT_STATUS:
        return exceptions.ConflictError(code, message, step=step, peer=peer)
    if status in BAD_INPUT_STATUSES:
        return exceptions.BadInputError(code, message, step=step, peer=peer)
    if status in REFUSED_STATUSES:
        return exceptions.RefusedError(code, message, step=step, peer=peer)
    if status in UNREACHABLE_STATUSES:
        return exceptions.UnreachableError(code, message, step=step, peer=peer)
    return exceptions.PapayastallError(code, message, step=step, peer=peer)
