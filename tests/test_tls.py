"""Tests of mutual TLS between processes."""

import asyncio
import datetime
import os
import pathlib
import socket

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from mangobay import errors, listening, options, peers, tls
from mangobay.generated import messages

HELLO = messages.Hello(host="here", role="node")
LOOPBACK = options.Address("127.0.0.1", 0)
STRANGERS = 20
WAIT_SECONDS = 20.0
START = datetime.datetime(2020, 1, 1)
END = datetime.datetime(2120, 1, 1)


def make_certificate(
    subject: str, key, issuer: str, signer, unit: str = ""
) -> x509.Certificate:
    def name(text: str, unit: str = "") -> x509.Name:
        parts = [x509.NameAttribute(oid.NameOID.COMMON_NAME, text)]
        if unit:
            kind = oid.NameOID.ORGANIZATIONAL_UNIT_NAME
            parts.append(x509.NameAttribute(kind, unit))
        return x509.Name(parts)

    builder = x509.CertificateBuilder(
        name(issuer), name(subject, unit), key.public_key(), 1, START, END
    )
    constraints = x509.BasicConstraints(ca=subject == issuer, path_length=None)
    builder = builder.add_extension(constraints, critical=True)
    return builder.sign(signer, hashes.SHA256())


def write_identity(
    directory: pathlib.Path,
    authority: str,
    host: str = HELLO.host,
    unit: str = "",
) -> tls.Identity:
    """Writes a new authority, and a certificate and key signed by it."""
    directory.mkdir(exist_ok=True)
    signer = ec.generate_private_key(ec.SECP256R1())
    key = ec.generate_private_key(ec.SECP256R1())
    pem = serialization.Encoding.PEM
    root = make_certificate(authority, signer, authority, signer)
    leaf = make_certificate(host, key, authority, signer, unit)
    (directory / "authority").write_bytes(root.public_bytes(pem))
    (directory / "certificate").write_bytes(leaf.public_bytes(pem))
    (directory / "key").write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return read_identity(directory)


def read_identity(directory: pathlib.Path) -> tls.Identity:
    names = ("certificate", "key", "authority")
    return tls.Identity(*(str(directory / name) for name in names))


async def reply_yes(hello, body):
    del hello, body
    return messages.Reply(body=b"yes")


async def send_call(address, identity) -> messages.Reply:
    client = peers.PeerClient(HELLO, identity=identity)
    try:
        return await client.send_request(address, messages.Call(), WAIT_SECONDS)
    finally:
        await client.close()


@pytest.fixture
async def listener(tmp_path):
    identity = write_identity(tmp_path / "ours", "authority")
    opened = peers.Listener(LOOPBACK, HELLO, reply_yes, identity=identity)
    await opened.start()
    yield opened
    await opened.close()


class TestClosing:
    """Handshakes that are under way while their listener closes."""

    async def test_cancelled_close_ends_a_handshake(self, listener):
        """A peer waits for a handshake that nobody goes on with."""
        loop = asyncio.get_running_loop()
        with socket.create_connection(listener.address) as sock:
            sock.setblocking(False)
            closing = asyncio.create_task(listener.close())
            await asyncio.sleep(0.01)
            closing.cancel()
            async with asyncio.timeout(1):
                assert await loop.sock_recv(sock, 1) == b""


class TestFailures:
    """Connections on which no handshake begins."""

    async def test_strangers_do_not_fill_the_log(self, listener, monkeypatch):
        """Each connect of a stranger adds a line to the log."""
        lines = []
        monkeypatch.setattr(
            listening.logs,
            "log_event",
            lambda component, event, **facts: lines.append(event),
        )
        monkeypatch.setattr(listening, "LOG_INTERVAL_SECONDS", 60.0)
        for _ in range(STRANGERS):
            with socket.create_connection(listener.address) as sock:
                sock.send(b"GET / HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(WAIT_SECONDS):
            while listener.server.failed_count < STRANGERS - 1:
                await asyncio.sleep(0.01)
        assert lines == ["connections failed at their start"]


class TestIdentity:
    """Which certificates are accepted."""

    async def test_certificate_of_the_authority_is_accepted(
        self, listener, tmp_path
    ):
        identity = read_identity(tmp_path / "ours")
        assert (await send_call(listener.address, identity)).body == b"yes"

    async def test_untrusted_or_missing_certificate_is_rejected(
        self, listener, tmp_path
    ):
        """A client has a certificate of another authority, or none.

        The handshake fails before a message is read, and no request reaches
        the handler.
        """
        untrusted = write_identity(tmp_path / "theirs", "authority")
        for identity in (untrusted, None):
            with pytest.raises(errors.PeerUnreachableError):
                await send_call(listener.address, identity)

    @pytest.mark.parametrize("impostor", ["client", "listener"])
    async def test_host_cannot_claim_another_host(self, tmp_path, impostor):
        """A process uses the certificate and key of another host.

        Whether it connects or listens, the other side closes the connection at
        the Hello: no request is sent to it, and none of its requests is
        handled.
        """
        identity = write_identity(tmp_path / "ours", "authority")
        claimed = messages.Hello(host="another", role="node")
        await self.expect_rejection(identity, claimed, impostor)

    @pytest.mark.parametrize("impostor", ["client", "listener"])
    async def test_node_cannot_claim_the_control_role(self, tmp_path, impostor):
        """Guards against the use of a node's certificate to vote or grant leases.

        It names the right host but was not issued for a control host, so the
        other side closes the connection at the Hello.
        """
        identity = write_identity(tmp_path / "ours", "authority")
        claimed = messages.Hello(host=HELLO.host, role=tls.CONTROL_ROLE)
        await self.expect_rejection(identity, claimed, impostor)

    async def test_control_certificate_permits_the_control_role(self, tmp_path):
        identity = write_identity(
            tmp_path / "ours", "authority", unit=tls.CONTROL_ROLE
        )
        hello = messages.Hello(host=HELLO.host, role=tls.CONTROL_ROLE)
        listener = peers.Listener(LOOPBACK, hello, reply_yes, identity=identity)
        await listener.start()
        try:
            assert (await send_call(listener.address, identity)).body == b"yes"
        finally:
            await listener.close()

    async def expect_rejection(self, identity, claimed, impostor) -> None:
        client_hello, listener_hello = HELLO, claimed
        if impostor == "client":
            client_hello, listener_hello = claimed, HELLO
        handled_hellos = []

        async def record_and_reply(hello, body):
            handled_hellos.append(hello)
            return await reply_yes(hello, body)

        listener = peers.Listener(
            LOOPBACK, listener_hello, record_and_reply, identity=identity
        )
        await listener.start()
        client = peers.PeerClient(client_hello, identity=identity)
        try:
            with pytest.raises(errors.PeerUnreachableError):
                await client.send_request(
                    listener.address, messages.Call(), WAIT_SECONDS
                )
        finally:
            await client.close()
            await listener.close()
        assert not handled_hellos

    def test_subject_alternative_names_match(self):
        certificate = {"subjectAltName": (("DNS", "a"), ("DNS", "b"))}
        assert tls.matches_host(certificate, "b")
        assert not tls.matches_host(certificate, "c")

    async def test_replaced_files_take_effect_without_restart(
        self, listener, tmp_path
    ):
        """The authority and its certificates are replaced while a node runs.

        Old certificates are rejected from then on, and new ones accepted.
        """
        old = read_identity(tmp_path / "ours")
        old.reload_if_changed = lambda: None
        new = write_identity(tmp_path / "ours", "authority")
        with pytest.raises(errors.PeerUnreachableError):
            await send_call(listener.address, old)
        assert (await send_call(listener.address, new)).body == b"yes"

    async def test_invalid_new_files_keep_the_old_ones_in_use(
        self, listener, tmp_path
    ):
        identity = read_identity(tmp_path / "ours")
        (tmp_path / "ours" / "key").write_text("not a key")
        os.utime(tmp_path / "ours" / "key", ns=(1, 1))
        assert (await send_call(listener.address, identity)).body == b"yes"

    def test_missing_files_are_a_start_error(self, tmp_path):
        with pytest.raises(errors.StartError, match="TLS"):
            read_identity(tmp_path)
