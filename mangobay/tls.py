"""Mutual TLS between processes, with certificate files that may be replaced."""

import os
import ssl
import typing

from mangobay import errors, ids, logs
from mangobay.generated import messages

COMMON_NAME = "commonName"
ORGANIZATIONAL_UNIT = "organizationalUnitName"
CONTROL_ROLE = "control"
"""Role of control hosts, and the unit in certificates that allow the role."""
DNS_NAME_TYPE = "DNS"

Certificate = dict[str, tuple]
"""A verified certificate as `ssl.SSLSocket.getpeercert` returns it."""


class TlsSettings(typing.Protocol):
    """The [tls] section of a program's settings."""

    certificate: str
    key: str
    authority: str


class Identity:
    """Certificate, private key and trusted authority of this process.

    The files are checked for changes on each new connection, so that replaced
    certificates take effect without a restart.  Open connections keep the
    context that they were made with.

    Attributes:
      paths: paths of the certificate, key and authority files.
      file_stamps: modification times and inodes of the files in use.
      client_context: for connections to peers.
      server_context: for connections that are accepted.
      listening_context: for listeners; switches each connection to
        server_context.
    """

    def __init__(self, certificate: str, key: str, authority: str):
        self.paths = (certificate, key, authority)
        self.file_stamps = self.read_file_stamps()
        self.client_context = self.make_context(ssl.PROTOCOL_TLS_CLIENT)
        self.server_context = self.make_context(ssl.PROTOCOL_TLS_SERVER)
        self.listening_context = self.make_context(ssl.PROTOCOL_TLS_SERVER)
        self.listening_context.sni_callback = self.choose_context

    def read_file_stamps(self) -> list[tuple[int, int]]:
        """Returns modification times and inodes, which change with the files.

        Raises:
          errors.StartError: a file cannot be read.
        """
        try:
            stats = [os.stat(path) for path in self.paths]
        except OSError as error:
            raise errors.StartError(f"TLS: {error}") from None
        return [(stat.st_mtime_ns, stat.st_ino) for stat in stats]

    def make_context(self, protocol: int) -> ssl.SSLContext:
        """Returns a context that requires a peer certificate of the authority.

        Raises:
          errors.StartError: a file holds no valid certificate or key.
        """
        certificate, key, authority = self.paths
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        # Peers are addressed by IP address, which certificates need not name.
        # The Hello names the peer's host, and `matches_host` compares that.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        try:
            context.load_cert_chain(certificate, key)
            context.load_verify_locations(authority)
        except (OSError, ssl.SSLError) as error:
            raise errors.StartError(f"TLS: {error}") from None
        return context

    def reload_if_changed(self) -> None:
        """Reloads the files if they changed; keeps the old contexts on errors.

        With a partly replaced set of files (new certificate, old key) every
        connection would fail until the second file is replaced too.  So the
        old contexts stay in use until the files match.
        """
        try:
            stamps = self.read_file_stamps()
            if stamps == self.file_stamps:
                return
            client = self.make_context(ssl.PROTOCOL_TLS_CLIENT)
            server = self.make_context(ssl.PROTOCOL_TLS_SERVER)
        except errors.StartError as error:
            logs.log_event(
                logs.Component.PEER, "new TLS files refused", why=str(error)
            )
            return
        self.file_stamps = stamps
        self.client_context = client
        self.server_context = server
        logs.log_event(logs.Component.PEER, "TLS files reloaded")

    def choose_context(self, connection, name, context) -> None:
        """Sets the newest context for a connection that is being accepted.

        Serves as the SNI callback of the listening context.
        """
        del name, context
        self.reload_if_changed()
        connection.context = self.server_context

    def get_client_context(self) -> ssl.SSLContext:
        """Returns the context for a connection to a peer."""
        self.reload_if_changed()
        return self.client_context

    def get_listening_context(self) -> ssl.SSLContext:
        """Returns the context for a listener, which follows file changes."""
        return self.listening_context


def load_identity(section: TlsSettings) -> Identity | None:
    """Returns the identity of the settings, or None if TLS is not configured.

    Raises:
      errors.StartError: a file cannot be used, or only some of the files are
        given.
    """
    paths = (section.certificate, section.key, section.authority)
    if not any(paths):
        return None
    if not all(paths):
        raise errors.StartError(
            "[tls] needs all of certificate, key and authority, or none of them"
        )
    return Identity(*paths)


def is_authorized(certificate: Certificate, hello: messages.Hello) -> bool:
    """Returns whether a certificate permits the host and role of a Hello.

    Otherwise a stolen node certificate could be used to vote, append to the
    log or grant leases.  Only certificates issued for control hosts have the
    organizational unit, so only they permit the control role.
    """
    if hello.role == CONTROL_ROLE and CONTROL_ROLE not in subject_values(
        certificate, ORGANIZATIONAL_UNIT
    ):
        return False
    return matches_host(certificate, hello.host)


def subject_values(certificate: Certificate, attribute: str) -> list[str]:
    """Returns the values of an attribute in a certificate's subject."""
    return [
        value
        for rdn in certificate.get("subject", ())
        for name, value in rdn
        if name == attribute
    ]


def matches_host(certificate: Certificate, host: ids.HostId) -> bool:
    """Returns whether a verified certificate was issued to a host.

    Otherwise one host's stolen certificate could be used to impersonate every
    other host: to renew their leases and own their idempotency keys.

    Args:
      certificate: the peer's certificate.
      host: the host that the peer claims to be.
    """
    common_names = subject_values(certificate, COMMON_NAME)
    dns_names = [
        value
        for name_type, value in certificate.get("subjectAltName", ())
        if name_type == DNS_NAME_TYPE
    ]
    return host in common_names or host in dns_names
