"""Certificate authorities and certificates for tests."""

from __future__ import annotations

import datetime
import pathlib

import cryptography.hazmat.primitives.asymmetric.ec as ec
import cryptography.hazmat.primitives.hashes as hashes
import cryptography.hazmat.primitives.serialization as serialization
import cryptography.x509 as x509
import cryptography.x509.oid as oid

from papayastall import settings

__all__ = ["Authority"]

VALIDITY = datetime.timedelta(days=1)


class Authority:
    """A certificate authority that writes its files to a folder.

    :param name: common name, and name of the authority's file.
    """

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        self._folder = folder
        self._name = x509.Name(
            [x509.NameAttribute(oid.NameOID.COMMON_NAME, name)]
        )
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._file = folder / f"{name}.pem"
        constraints = x509.BasicConstraints(ca=True, path_length=0)
        self._write(self._file, self._sign(self._name, self._key, constraints))

    def issue(self, name: str) -> settings.TlsSettings:
        """Write a certificate and its key; return settings that name them."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name(
            [x509.NameAttribute(oid.NameOID.COMMON_NAME, name)]
        )
        constraints = x509.BasicConstraints(ca=False, path_length=None)
        certificate_file = self._folder / f"{name}.pem"
        key_file = self._folder / f"{name}.key"
        self._write(certificate_file, self._sign(subject, key, constraints))
        key_file.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return settings.TlsSettings(certificate_file, key_file, self._file)

    def _sign(
        self,
        subject: x509.Name,
        key: ec.EllipticCurvePrivateKey,
        constraints: x509.BasicConstraints,
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        builder = x509.CertificateBuilder(
            issuer_name=self._name,
            subject_name=subject,
            public_key=key.public_key(),
            serial_number=x509.random_serial_number(),
            not_valid_before=now - VALIDITY,
            not_valid_after=now + VALIDITY,
        ).add_extension(constraints, critical=True)
        return builder.sign(self._key, hashes.SHA256())

    @staticmethod
    def _write(path: pathlib.Path, certificate: x509.Certificate) -> None:
        path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
