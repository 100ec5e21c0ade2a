"""TLS for connections of proxies: keys, certificates, and the names in a proxy's certificate.

Owns the TLS context of new connections. A reload reads all files; if any of them is unusable, the context is
not replaced.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from OpenSSL import SSL, crypto

MAX_NAMES = 32  # per certificate; further ones are ignored


@dataclass(frozen=True, slots=True)
class KeyFiles:
    """Paths of PEM files: this process's certificates and key, and the authorities of proxies' certificates.

    Without authorities ("") proxies need no certificate.
    """

    certificate: str
    key: str
    authorities: str = ""


class TlsContextFactory:
    """The context factory for Twisted's `listenSSL`."""

    def __init__(self, files: KeyFiles) -> None:
        self.files = files
        self.context = _context(files)

    def reload(self) -> str | None:
        """Read the files again; return None, or the error because of which the context was not replaced.

        Open connections keep their context.
        """
        try:
            self.context = _context(self.files)
        except (SSL.Error, crypto.Error, OSError, ValueError) as error:
            return f"{type(error).__name__}: {error}"
        return None

    def getContext(self) -> SSL.Context:
        """Return the context for a new connection; Twisted requires this method name."""
        return self.context


def _context(files: KeyFiles) -> SSL.Context:
    context = SSL.Context(SSL.TLS_SERVER_METHOD)
    context.set_min_proto_version(SSL.TLS1_2_VERSION)
    context.use_certificate_chain_file(files.certificate)
    context.use_privatekey_file(files.key)
    context.check_privatekey()
    context.set_alpn_select_callback(_select_protocol)
    if files.authorities:
        context.load_verify_locations(files.authorities)
        context.set_verify(
            SSL.VERIFY_PEER | SSL.VERIFY_FAIL_IF_NO_PEER_CERT, lambda *arguments: bool(arguments[-1])
        )
        context.set_session_id(b"linenbridge")
    return context


def _select_protocol(_connection: SSL.Connection, offered: list[bytes]) -> Any:
    return b"h2" if b"h2" in offered else SSL.NO_OVERLAPPING_PROTOCOLS


def certificate_names(transport: Any) -> tuple[str, ...]:
    """Return the common names, DNS names and URIs in the peer's certificate; empty without a certificate."""
    certificate = getattr(transport, "getPeerCertificate", lambda: None)()
    if certificate is None:
        return ()
    from cryptography import x509  # imported only if a peer has a certificate

    certificate_fields = certificate.to_cryptography()
    names = [
        str(part.value)
        for part in certificate_fields.subject.get_attributes_for_oid(x509.NameOID.COMMON_NAME)
    ]
    try:
        alternative_names = certificate_fields.extensions.get_extension_for_class(
            x509.SubjectAlternativeName
        ).value
    except x509.ExtensionNotFound:
        alternative_names = []
    names += [
        str(name.value)
        for name in alternative_names
        if isinstance(name, x509.DNSName | x509.UniformResourceIdentifier)
    ]
    return tuple(names[:MAX_NAMES])
