"""TLS contexts of the links between nodes and of the control address.

Both ends of a link present a certificate issued by the fleet's own
authority. Host names are not checked: nodes are addressed by IP, and the
addresses change as machines are replaced. A certificate thus proves that its
holder is a node of this fleet, but not which one.
"""

from __future__ import annotations

import ssl

from papayastall import exceptions
from papayastall import settings

__all__ = ["client_context", "control_server_context", "server_context"]


def server_context(
    node_settings: settings.NodeSettings,
) -> ssl.SSLContext | None:
    """Return the context for accepted links; ``None`` without TLS.

    :raises papayastall.exceptions.BadInputError: a certificate or key file
        can't be loaded.
    """
    if node_settings.tls is None:
        return None
    context = _make_context(node_settings.tls, ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(
    node_settings: settings.NodeSettings,
) -> ssl.SSLContext | None:
    """Return the context for dialled links; ``None`` without TLS.

    :raises papayastall.exceptions.BadInputError: a certificate or key file
        can't be loaded.
    """
    if node_settings.tls is None:
        return None
    context = _make_context(node_settings.tls, ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def control_server_context(
    node_settings: settings.NodeSettings,
) -> ssl.SSLContext | None:
    """Return the context of the control address; ``None`` without TLS.

    It asks for no client certificate, as clients authenticate by token.

    :raises papayastall.exceptions.BadInputError: a certificate or key file
        can't be loaded.
    """
    if node_settings.tls is None:
        return None
    return _make_context(node_settings.tls, ssl.PROTOCOL_TLS_SERVER)


def _make_context(
    tls: settings.TlsSettings, protocol: ssl._SSLMethod
) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    try:
        context.load_cert_chain(tls.certificate_file, tls.key_file)
        context.load_verify_locations(tls.authority_file)
    except (OSError, ssl.SSLError) as error:
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_SETTINGS,
            f"tls: {error}; check that the three files are PEM, that the "
            "key matches the certificate and that this process can read them",
            step="load certificates",
        ) from error
    return context
