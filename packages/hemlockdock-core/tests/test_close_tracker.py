"""Test which bodies twisted's HTTP client delivers as complete."""

import unittest

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure
from twisted.web.client import HTTPConnectionPool
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from hemlockdock_core.http.body_receiver import BodyReceiver
from hemlockdock_core.http.close_tracker import CloseTracker
from hemlockdock_core.http.head_tracker import MAX_HEAD_BYTES

URL = b"http://127.0.0.1:80/"


class Transport(StringTransport):
    def abortConnection(self):
        self.loseConnection()


@implementer(IBodyProducer)
class EndlessBody:
    """The body of a request that is sent in parts, as the test asks for it."""

    length = 1_000_000

    def startProducing(self, consumer):
        self.consumer = consumer
        return Deferred()

    def stopProducing(self):
        pass


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


class EndlessBytesTest(unittest.TestCase):
    """A peer that sends bytes until its connection is closed."""

    def setUp(self):
        self.reactor = MemoryReactorClock()
        self.tracker = CloseTracker()
        self.received = []
        self.ended = []
        self.failed = []
        pool = HTTPConnectionPool(self.reactor)
        self.agent = self.tracker.open_agent(self.reactor, pool, 1.0)
        self.request()
        factory = self.reactor.tcpClients[0][2]
        self.connection = factory.buildProtocol(None)
        self.transport = Transport()
        self.connection.makeConnection(self.transport)

    def request(self, body=None):
        answered = self.agent.request(b"GET", URL, bodyProducer=body)
        answered.addCallback(self.deliver)
        answered.addErrback(self.failed.append)
        self.reactor.advance(0)

    def deliver(self, response):
        receiver = BodyReceiver(self.tracker, self.received.append, self.ended.append, 100_000)
        response.deliverBody(receiver)

    def send_without_end(self, begin, part):
        sent = len(begin)
        self.connection.dataReceived(begin)
        while not self.transport.disconnecting and sent < 4 * MAX_HEAD_BYTES:
            self.connection.dataReceived(part)
            sent += len(part)
        self.assertTrue(self.transport.disconnecting)
        self.connection.connectionLost(Failure(ConnectionDone()))

    def test_a_head_without_end_fails_the_request(self):
        self.send_without_end(b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n" * 500)
        self.assertEqual((len(self.failed), self.ended), (1, []))

    def test_a_head_without_end_after_an_interim_response_fills_the_memory(self):
        # Guards against a limit of heads that ends with the head of a 100.
        for interim in (b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 102 \n\n", b"HTTP/1.1 100 "):
            for begin, part in ((b"", b"X-A: 1\r\n" * 500), (b"X-A: 1\r\n", b" folded\r\n" * 500)):
                with self.subTest(interim=interim, part=part[:4]):
                    self.setUp()
                    self.send_without_end(interim + b"HTTP/1.1 200 OK\r\n" + begin, part)
                    self.assertEqual((len(self.failed), self.ended), (1, []))

    def test_a_head_of_many_short_lines_fills_the_memory(self):
        # Guards against heads that are short in bytes and take many times as much.
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * 10_000 + b"\r\n")
        self.assertTrue(self.transport.disconnecting)
        self.connection.connectionLost(Failure(ConnectionDone()))
        self.assertEqual((len(self.failed), self.ended), (1, []))

    def test_a_head_without_end_on_a_kept_connection_fills_the_memory(self):
        # Guards against a limit for the first response of a connection only.
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(self.ended, [True])
        self.request()
        self.send_without_end(b"HTTP/1.1 200 OK\r\n", b"X-A: 1\r\n" * 500)
        self.assertEqual((len(self.failed), self.ended), (1, [True]))

    def test_an_early_answer_is_received_while_the_request_is_sent(self):
        # Guards against a long answer that is cut off as its request's body is still being sent.
        body = EndlessBody()
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        self.ended.clear()
        self.request(body)
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n")
        body.consumer.write(b"more of the body")
        self.connection.dataReceived(b"x" * 90_000)
        self.assertEqual(self.ended, [True])

    def test_interim_responses_without_end_keep_the_request_open(self):
        # Guards against a call that never ends, as each 100 begins a head of its own.
        self.send_without_end(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100)
        self.assertEqual((len(self.failed), self.ended), (1, []))

    def test_a_long_body_after_an_interim_response_is_received(self):
        head = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n"
        for number in range(len(head)):
            self.connection.dataReceived(head[number : number + 1])
        self.connection.dataReceived(b"x" * 90_000)
        self.assertEqual(self.ended, [True])

    def test_bytes_after_an_answer_do_not_accumulate_on_a_kept_connection(self):
        # Guards against memory for bytes that nobody asked for.
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(self.ended, [True])
        self.send_without_end(b"", b"x" * 10_000)

    def test_a_body_without_end_is_incomplete(self):
        self.send_without_end(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 10_000)
        self.assertEqual(self.ended, [False])
        self.assertLessEqual(len(b"".join(self.received)), 100_000)

    def test_a_long_body_after_a_short_head_is_received(self):
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r")
        self.connection.dataReceived(b"\n")
        self.connection.dataReceived(b"x" * 90_000)
        self.assertEqual(self.ended, [True])

    def test_an_answer_with_a_status_that_http_does_not_know_is_delivered(self):
        # Guards against callers that get the status 000 of an engine or service in trouble.
        for line in (b"HTTP/1.1 000 X", b"HTTP/1.1 099 X", b"HTTP/1.1 600 X", b"HTTP/1.1 2000 X"):
            for interim in (b"", b"HTTP/1.1 100 Continue\r\n\r\n"):
                with self.subTest(line=line, interim=interim):
                    self.setUp()
                    answer = interim + line + b"\r\nContent-Length: 2\r\n\r\nok"
                    for number in range(len(answer)):
                        if not self.transport.disconnecting:
                            self.connection.dataReceived(answer[number : number + 1])
                    self.assertTrue(self.transport.disconnecting)
                    self.connection.connectionLost(Failure(ConnectionDone()))
                    self.assertEqual((len(self.failed), self.received), (1, []))

    def test_a_switch_of_protocols_that_nobody_asked_for_is_waited_on(self):
        # Guards against a 101 that counts as an interim response.
        self.connection.dataReceived(b"HTTP/1.1 101 Switching Protocols\r\n\r\n")
        self.assertTrue(self.transport.disconnecting)


if __name__ == "__main__":
    unittest.main()
