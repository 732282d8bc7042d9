"""A certificate authority that is created by a test."""

from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from berylquay.settings.host_options import PeerTls


class CertificateAuthority:
    """Signs certificates for entry hosts and writes them into a directory."""

    def __init__(self, directory: Path) -> None:
        directory.mkdir()
        self._directory = directory
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _name(directory.name)
        certificate = _sign(self._name, self._name, self._key, self._key, None)
        self._ca = self._write("ca.pem", certificate.public_bytes(serialization.Encoding.PEM))

    def tls_for(self, host: str) -> PeerTls:
        """Returns the files of a certificate that names the host."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = _sign(_name(host), self._name, key, self._key, host)
        key_pem = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        return PeerTls(
            self._write(f"{host}.pem", certificate.public_bytes(serialization.Encoding.PEM)),
            self._write(f"{host}.key", key_pem),
            self._ca,
        )

    def _write(self, name: str, data: bytes) -> str:
        path = self._directory / name
        path.write_bytes(data)
        return str(path)


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _sign(
    subject: x509.Name,
    issuer: x509.Name,
    key: ec.EllipticCurvePrivateKey,
    issuer_key: ec.EllipticCurvePrivateKey,
    host: str | None,
) -> x509.Certificate:
    now = datetime.now(UTC)
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(hours=1))
        .not_valid_after(now + timedelta(days=1))
        .add_extension(x509.BasicConstraints(ca=host is None, path_length=None), critical=True)
    )
    if host is not None:
        names = x509.SubjectAlternativeName([x509.DNSName(host)])
        builder = builder.add_extension(names, critical=False)
    return builder.sign(issuer_key, hashes.SHA256())
