"""Test that TLS links accept only peers whose certificates the configured CA signed."""

import datetime
import ipaddress
import tempfile
import unittest
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.trial import unittest as trial_unittest

from hemlockdock_core.links import LinkTls, MessageTransport
from hemlockdock_core.messages import NODE_CODEC, Leaving

START = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
END = datetime.datetime(2100, 1, 1, tzinfo=datetime.UTC)
LOOPBACK = ipaddress.ip_address("127.0.0.1")
# Time within which an accepted peer's frame would have arrived.
DELIVERY_WAIT_S = 0.6


def name(text):
    """Return a distinguished name."""
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


class Authority:
    """A certificate authority."""

    def __init__(self, folder, label):
        self._folder = Path(folder)
        self._label = label
        self._key = ec.generate_private_key(ec.SECP256R1())
        self.path = str(self._folder / f"{label}.pem")
        self._certificate = self._sign(self._key, label, is_authority=True)
        Path(self.path).write_bytes(self._certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, label):
        """Return the path of a PEM file with a new key and its signed certificate."""
        key = ec.generate_private_key(ec.SECP256R1())
        path = self._folder / f"{self._label}-{label}.pem"
        key_text = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        certificate = self._sign(key, label, is_authority=False)
        path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM) + key_text)
        return str(path)

    def _sign(self, key, label, is_authority):
        builder = x509.CertificateBuilder()
        builder = builder.subject_name(name(label)).issuer_name(name(self._label))
        builder = builder.public_key(key.public_key()).serial_number(x509.random_serial_number())
        builder = builder.not_valid_before(START).not_valid_after(END)
        builder = builder.add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        names = x509.SubjectAlternativeName([x509.IPAddress(LOOPBACK)])
        return builder.add_extension(names, critical=False).sign(self._key, hashes.SHA256())


class LinkTlsTest(trial_unittest.TestCase):
    timeout = 240

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.ours = Authority(folder.name, "ours")
        self.theirs = Authority(folder.name, "theirs")
        self.received = []
        self.arrived = Deferred()

    def open(self, node_id, tls):
        scheme = "tcp" if tls is None else "tls+tcp"
        listen = f"{scheme}://127.0.0.1:0"
        transport = MessageTransport(reactor, node_id, 1, NODE_CODEC, listen, self.collect, tls)
        self.addCleanup(transport.close)
        return transport

    def collect(self, frame):
        self.received.append(frame.sender)
        if not self.arrived.called:
            self.arrived.callback(frame)

    def link_tls(self, authority, label):
        return LinkTls(authority.issue(label), self.ours.path)

    def test_peers_with_certificates_of_the_same_authority_are_accepted(self):
        receiver = self.open("receiver", self.link_tls(self.ours, "receiver"))
        sender = self.open("sender", self.link_tls(self.ours, "sender"))
        sender.send(receiver.address, Leaving("x"))
        self.arrived.addCallback(lambda frame: self.assertEqual(frame.sender, "sender"))
        return self.arrived

    def test_a_peer_of_another_authority_is_rejected(self):
        receiver = self.open("receiver", self.link_tls(self.ours, "receiver"))
        untrusted = self.open("stranger", self.link_tls(self.theirs, "stranger"))
        untrusted.send(receiver.address, Leaving("x"))
        trusted = self.open("friend", self.link_tls(self.ours, "friend"))
        trusted.send(receiver.address, Leaving("x"))
        quiet = deferLater(reactor, DELIVERY_WAIT_S)
        quiet.addCallback(lambda _: self.assertEqual(self.received, ["friend"]))
        return quiet

    def test_a_peer_without_tls_is_rejected(self):
        receiver = self.open("receiver", self.link_tls(self.ours, "receiver"))
        untrusted = self.open("stranger", None)
        untrusted.send(receiver.address.replace("tls+tcp", "tcp"), Leaving("x"))
        trusted = self.open("friend", self.link_tls(self.ours, "friend"))
        trusted.send(receiver.address, Leaving("x"))
        quiet = deferLater(reactor, DELIVERY_WAIT_S)
        quiet.addCallback(lambda _: self.assertEqual(self.received, ["friend"]))
        return quiet

    def test_plain_addresses_are_refused_if_tls_is_configured(self):
        tls = self.link_tls(self.ours, "receiver")
        transport = self.open("receiver", tls)
        with self.assertRaises(ValueError):
            transport.send("tcp://127.0.0.1:9", Leaving("x"))
        with self.assertRaises(ValueError):
            MessageTransport(reactor, "x", 1, NODE_CODEC, "tcp://127.0.0.1:0", self.collect, tls)


if __name__ == "__main__":
    unittest.main()
