"""Test which bodies twisted's HTTP client delivers as complete."""

import unittest

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure
from twisted.web.client import HTTPConnectionPool

from hemlockdock_core.http.body_receiver import BodyReceiver
from hemlockdock_core.http.close_tracker import CloseTracker

URL = b"http://127.0.0.1:80/"


class Transport(StringTransport):
    def abortConnection(self):
        self.loseConnection()


class BodyEndTest(unittest.TestCase):
    def receive(self, framing, body, error):
        reactor = MemoryReactorClock()
        tracker = CloseTracker()
        agent = tracker.open_agent(reactor, HTTPConnectionPool(reactor), 1.0)
        received = []
        ended = []

        def deliver(response):
            response.deliverBody(BodyReceiver(tracker, received.append, ended.append))

        agent.request(b"GET", URL).addCallback(deliver)
        reactor.advance(0)
        host, port, factory, _, _ = reactor.tcpClients[0]
        connection = factory.buildProtocol(None)
        connection.makeConnection(Transport())
        connection.dataReceived(b"HTTP/1.1 200 OK\r\n%b\r\n%b" % (framing, body))
        if error is not None:
            connection.connectionLost(Failure(error))
        return b"".join(received), ended

    def test_an_unmarked_body_is_complete_only_after_a_clean_close(self):
        self.assertEqual(self.receive(b"", b"body", ConnectionDone()), (b"body", [True]))
        self.assertEqual(self.receive(b"", b"body", ConnectionLost()), (b"body", [False]))

    def test_a_body_with_a_length_is_complete_only_with_all_its_bytes(self):
        length = b"Content-Length: 4\r\n"
        self.assertEqual(self.receive(length, b"body", None), (b"body", [True]))
        self.assertEqual(self.receive(length, b"bo", ConnectionDone()), (b"bo", [False]))
        self.assertEqual(self.receive(length, b"bo", ConnectionLost()), (b"bo", [False]))

    def test_a_body_in_chunks_is_complete_only_with_its_last_chunk(self):
        chunked = b"Transfer-Encoding: chunked\r\n"
        chunk = b"4\r\nbody\r\n"
        self.assertEqual(self.receive(chunked, chunk + b"0\r\n\r\n", None), (b"body", [True]))
        self.assertEqual(self.receive(chunked, chunk, ConnectionDone()), (b"body", [False]))
        self.assertEqual(self.receive(chunked, chunk, ConnectionLost()), (b"body", [False]))
