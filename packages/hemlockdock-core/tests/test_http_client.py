"""Test which responses the HTTP client takes for those to its requests, without sockets."""

import unittest

from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from hemlockdock_core.http import HttpClient

ADDRESS = "127.0.0.1:8300"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%b"


class ServerTransport(StringTransport):
    abortConnection = StringTransport.loseConnection

    def setTcpNoDelay(self, enabled):
        pass


class HttpClientTest(unittest.TestCase):
    def setUp(self):
        self.reactor = MemoryReactorClock()
        self.client = HttpClient(self.reactor)
        self.bodies = []

    def call(self):
        response = self.client.call("POST", ADDRESS, "/orders", timeout_s=5.0)
        response.addCallback(lambda found: self.bodies.append(found.body))

    def connect(self):
        """Accept the latest connection; return its client's side."""
        protocol = self.reactor.tcpClients[-1][2].buildProtocol(None)
        protocol.makeConnection(ServerTransport())
        return protocol

    @property
    def connections(self):
        return len(self.reactor.tcpClients)

    def test_a_second_response_at_once_is_not_the_answer_to_the_next_request(self):
        self.call()
        self.call()
        self.connect().dataReceived(ANSWER % b"a" + ANSWER % b"b")
        self.assertEqual((self.bodies, self.connections), ([b"a"], 2))
        self.connect().dataReceived(ANSWER % b"c")
        self.assertEqual(self.bodies, [b"a", b"c"])

    def test_a_connection_that_brings_a_response_nobody_asked_for_is_not_used_again(self):
        self.call()
        protocol = self.connect()
        protocol.dataReceived(ANSWER % b"a")
        protocol.dataReceived(ANSWER % b"b")
        self.assertTrue(protocol.transport.disconnecting)
        self.call()
        self.assertEqual((self.bodies, self.connections), ([b"a"], 2))

    def test_a_call_waits_to_its_timeout_for_more_than_an_answer_of_status_000(self):
        # Guards against a status under 100 that counts as interim.
        for status in (b"000", b"099", b"600"):
            failed = []
            response = self.client.call("POST", ADDRESS, "/orders", timeout_s=5.0)
            response.addErrback(failed.append)
            protocol = self.connect()
            protocol.dataReceived(b"HTTP/1.1 %b X\r\nContent-Length: 1\r\n\r\na" % status)
            self.assertTrue(protocol.transport.disconnecting)
            protocol.connectionLost(Failure(ConnectionDone()))
            self.assertEqual(len(failed), 1)

    def test_a_head_of_many_short_lines_fills_the_memory(self):
        # Guards against heads that are short in bytes and take many times as much.
        self.call()
        protocol = self.connect()
        protocol.dataReceived(b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * 10_000)
        self.assertTrue(protocol.transport.disconnecting)
        self.assertEqual(self.bodies, [])

    def test_a_connection_is_kept_for_the_next_request(self):
        self.call()
        protocol = self.connect()
        protocol.dataReceived(ANSWER % b"a")
        self.call()
        protocol.dataReceived(ANSWER % b"b")
        self.assertEqual((self.bodies, self.connections), ([b"a", b"b"], 1))


if __name__ == "__main__":
    unittest.main()
