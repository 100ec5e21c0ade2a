"""TLS towards proxies: keys, certificates, and who a proxy's certificate says it is.

Owns the context that new connections take. It must never hold a key longer than its files name it: a reload
takes all files anew or, where any cannot be used, leaves all as it is.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from OpenSSL import SSL, crypto

NAMES_MOST = 32  # names of one certificate that are looked at


@dataclass(frozen=True, slots=True)
class KeyFiles:
    """PEM files: our key and certificates, and the authorities of proxies' certificates ("": none asked)."""

    certificate: str
    key: str
    authorities: str = ""


class Keys:
    """What `listenSSL` takes for a context factory."""

    def __init__(self, files: KeyFiles) -> None:
        self.files = files
        self.context = _context(files)

    def reload(self) -> str | None:
        """Take the files anew; why not, or None. Open connections keep what they have."""
        try:
            self.context = _context(self.files)
        except (SSL.Error, crypto.Error, OSError, ValueError) as error:
            return f"{type(error).__name__}: {error}"
        return None

    def getContext(self) -> SSL.Context:
        return self.context


def _context(files: KeyFiles) -> SSL.Context:
    context = SSL.Context(SSL.TLS_SERVER_METHOD)
    context.set_min_proto_version(SSL.TLS1_2_VERSION)
    context.use_certificate_chain_file(files.certificate)
    context.use_privatekey_file(files.key)
    context.check_privatekey()
    context.set_alpn_select_callback(_protocol)
    if files.authorities:
        context.load_verify_locations(files.authorities)
        context.set_verify(SSL.VERIFY_PEER | SSL.VERIFY_FAIL_IF_NO_PEER_CERT, lambda *found: bool(found[-1]))
        context.set_session_id(b"linenbridge")
    return context


def _protocol(connection: SSL.Connection, offered: list[bytes]) -> Any:
    return b"h2" if b"h2" in offered else SSL.NO_OVERLAPPING_PROTOCOLS


def names(transport: Any) -> tuple[str, ...]:
    """The names that a proxy's certificate gives it: its common name and its DNS and URI names."""
    certificate = getattr(transport, "getPeerCertificate", lambda: None)()
    if certificate is None:
        return ()
    from cryptography import x509  # Only where a certificate came.

    found = certificate.to_cryptography()
    named = [str(part.value) for part in found.subject.get_attributes_for_oid(x509.NameOID.COMMON_NAME)]
    try:
        more = found.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        more = []
    named += [
        str(name.value) for name in more if isinstance(name, x509.DNSName | x509.UniformResourceIdentifier)
    ]
    return tuple(named[:NAMES_MOST])
