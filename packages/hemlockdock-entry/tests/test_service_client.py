"""Test which answers of plain services count as complete."""

import unittest

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from hemlockdock_core.errors import NotRun
from hemlockdock_entry.services import ServiceClient, ServiceFailedError


class Transport(StringTransport):
    def abortConnection(self):
        self.loseConnection()


class ServiceClientTest(unittest.TestCase):
    def call(self, answer=b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nbody"):
        reactor = MemoryReactorClock()
        client = ServiceClient(reactor)
        answered = client.call("GET", "http://127.0.0.1:80/", {}, b"")
        reactor.advance(0)
        _, _, factory, _, _ = reactor.tcpClients[0]
        connection = factory.buildProtocol(None)
        connection.makeConnection(Transport())
        connection.dataReceived(answer)
        return answered, connection

    def test_an_answer_without_a_length_that_was_reset_is_not_taken_for_complete(self):
        answered, connection = self.call()
        connection.connectionLost(Failure(ConnectionLost()))
        refusal = answered.result.value.refusal
        self.assertIs(refusal.not_run, NotRun.UNKNOWN)
        answered.addErrback(lambda failure: failure.trap(ServiceFailedError))

    def test_an_answer_without_a_length_ends_with_a_clean_close(self):
        answered, connection = self.call()
        connection.connectionLost(Failure(ConnectionDone()))
        self.assertEqual(answered.result.body, b"body")

    def test_the_status_000_of_a_service_in_trouble_reaches_the_caller(self):
        # Guards against an answer whose status HTTP does not know.
        answered, connection = self.call(b"HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nbody")
        connection.connectionLost(Failure(ConnectionDone()))
        refusal = answered.result.value.refusal
        self.assertIs(refusal.not_run, NotRun.UNKNOWN)
        answered.addErrback(lambda failure: failure.trap(ServiceFailedError))

    def test_a_cancelled_call_closes_its_connection(self):
        answered, connection = self.call()
        answered.addErrback(lambda _: None)
        answered.cancel()
        self.assertTrue(connection.transport.disconnecting)
