"""Mutual TLS between the processes, from files that may be replaced."""

import os
import ssl
import typing

from mangobay import errors, ids, logs
from mangobay.generated import messages

COMMON_NAME = "commonName"
ORGANIZATIONAL_UNIT = "organizationalUnitName"
CONTROL_ROLE = "control"
"""The role, and the unit in a certificate that may speak in that role."""
DNS_NAME_TYPE = "DNS"

Certificate = dict[str, tuple]
"""A verified certificate as the ssl module tells it."""


class TlsSettings(typing.Protocol):
    """The [tls] section of a program's settings."""

    certificate: str
    key: str
    authority: str


class Identity:
    """Certificate, key and authority of this process.

    The files are looked at again for each new connection, so that replaced
    certificates are in force without a restart; connections that stand keep
    what they were made with.
    """

    def __init__(self, certificate: str, key: str, authority: str):
        self.paths = (certificate, key, authority)
        self.file_stamps = self.read_file_stamps()
        self.client_context = self.make_context(ssl.PROTOCOL_TLS_CLIENT)
        self.server_context = self.make_context(ssl.PROTOCOL_TLS_SERVER)
        self.listening_context = self.make_context(ssl.PROTOCOL_TLS_SERVER)
        self.listening_context.sni_callback = self.choose_context

    def read_file_stamps(self) -> list[tuple[int, int]]:
        """Returns what changes when one of the files is replaced.

        Raises:
          errors.StartError: a file cannot be read.
        """
        try:
            stats = [os.stat(path) for path in self.paths]
        except OSError as error:
            raise errors.StartError(f"TLS: {error}") from None
        return [(stat.st_mtime_ns, stat.st_ino) for stat in stats]

    def make_context(self, protocol: int) -> ssl.SSLContext:
        """Returns a context that demands a certificate of the authority.

        Raises:
          errors.StartError: a file holds no certificate or key.
        """
        certificate, key, authority = self.paths
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        # Peers are reached by IP number, which certificates need not name;
        # the Hello says which host speaks, and `names` compares that.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        try:
            context.load_cert_chain(certificate, key)
            context.load_verify_locations(authority)
        except (OSError, ssl.SSLError) as error:
            raise errors.StartError(f"TLS: {error}") from None
        return context

    def reload_if_changed(self) -> None:
        """Reads the files again if they changed; keeps the old if they fail.

        A half-replaced set of files (new certificate, old key) would refuse
        every connection until the second file is there; the old contexts
        stay in use until the set fits together.
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
        logs.log_event(logs.Component.PEER, "TLS files read again")

    def choose_context(self, connection, name, context) -> None:
        """Gives a connection being accepted the newest context."""
        del name, context
        self.reload_if_changed()
        connection.context = self.server_context

    def get_client_context(self) -> ssl.SSLContext:
        """Returns the context for a connection to a peer."""
        self.reload_if_changed()
        return self.client_context

    def get_listening_context(self) -> ssl.SSLContext:
        """Returns the context for a listener; it follows the files."""
        return self.listening_context


def load_identity(section: TlsSettings) -> Identity | None:
    """Returns the identity that the settings name, None for plain connections.

    Raises:
      errors.StartError: files are named that cannot be used, or only some.
    """
    paths = (section.certificate, section.key, section.authority)
    if not any(paths):
        return None
    if not all(paths):
        raise errors.StartError(
            "[tls] needs certificate, key and authority, or none of them"
        )
    return Identity(*paths)


def is_authorized(certificate: Certificate, hello: messages.Hello) -> bool:
    """Returns whether a verified certificate covers all that a Hello claims.

    A node's stolen certificate could otherwise vote, append to the log, or
    answer renewals with leases of its own.  Only certificates made for control
    hosts carry the unit, so only they may speak in that role.
    """
    if hello.role == CONTROL_ROLE and CONTROL_ROLE not in subject_values(
        certificate, ORGANIZATIONAL_UNIT
    ):
        return False
    return matches_host(certificate, hello.host)


def subject_values(certificate: Certificate, attribute: str) -> list[str]:
    """Returns the values of one name in a certificate's subject."""
    return [
        value
        for rdn in certificate.get("subject", ())
        for name, value in rdn
        if name == attribute
    ]


def matches_host(certificate: Certificate, host: ids.HostId) -> bool:
    """Returns whether a verified certificate is that of a host.

    One host's stolen certificate could otherwise speak as every other host:
    renew their leases in their place, and own their keys.

    Args:
      certificate: as `ssl.SSLSocket.getpeercert` gives it.
      host: that the peer says it is.
    """
    common_names = subject_values(certificate, COMMON_NAME)
    dns_names = [
        value
        for name_type, value in certificate.get("subjectAltName", ())
        if name_type == DNS_NAME_TYPE
    ]
    return host in common_names or host in dns_names
