"""Test the limits that the client connections of an entry share."""

import resource
import unittest
from functools import partial

from support_gateway import IDEMPOTENT_PATH, ClientTransport, SingleClientTestCase
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import Clock

from hemlockdock_core.connection_limits import LimitedConnectionsFactory, client_connections_limit
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.process_memory import BYTES_PER_MB, usable_memory_bytes
from hemlockdock_core.rows import LimitsRow
from hemlockdock_core.settings import parse_settings
from hemlockdock_entry.gateway.body_sender import PIECE_BYTES
from hemlockdock_entry.gateway.client_budget import (
    MAX_DERIVED_BYTES,
    PROGRESS_BYTES,
    STALLED_S,
    ClientBudget,
    derived_budget_bytes,
)
from hemlockdock_entry.gateway.response_buffer import MAX_BODY_BYTES

PROCESS = "[process]\nnode_id = e\nroles = entry\nhost = h\nfailure_domain = d\n"
HEAD = b"POST /read/ HTTP/1.1\r\nHost: shop\r\nX-Request-Id: 1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def settings_of(text):
    return parse_settings(
        PROCESS + text + "[listen]\nlinks = tcp://127.0.0.1:1\nready = 127.0.0.1:2\n"
        "[fleet]\nseeds = 127.0.0.9:1\n",
        "test",
    )


class ClientBudgetTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.budget = ClientBudget(self.clock, 100 * PROGRESS_BYTES)

    def test_a_single_request_fits_a_smaller_budget(self):
        """A process with little memory would otherwise serve no request at all."""
        self.assertFalse(self.budget.change("a", 101 * PROGRESS_BYTES))
        self.assertTrue(self.budget.change("a", 101 * PROGRESS_BYTES, 101 * PROGRESS_BYTES))

    def test_released_bytes_are_free_again(self):
        """A budget that leaks would refuse all requests after some time."""
        self.assertFalse(self.budget.change("a", 101 * PROGRESS_BYTES))
        self.assertTrue(self.budget.change("a", 0))
        self.assertEqual(self.budget.held_bytes, 0)

    def test_single_bytes_do_not_count_as_progress(self):
        """Clients that trickle a body would otherwise keep the budget from ordinary ones."""
        self.budget.change("trickles", 50 * PROGRESS_BYTES)
        self.budget.change("sends", 20 * PROGRESS_BYTES)
        self.clock.advance(STALLED_S)
        self.budget.change("trickles", 50 * PROGRESS_BYTES + 1)
        self.budget.change("sends", 60 * PROGRESS_BYTES)
        self.assertEqual(self.budget.largest_stalled(lambda _: True), "trickles")
        self.assertIsNone(self.budget.largest_stalled(lambda holder: holder != "trickles"))

    def test_the_largest_is_dropped_and_of_equals_the_one_that_stopped_first(self):
        """Dropping small holders would cut off many clients for little memory."""
        self.budget.change("small", PROGRESS_BYTES)
        self.budget.change("first", 2 * PROGRESS_BYTES)
        self.clock.advance(0.1)
        self.budget.change("second", 2 * PROGRESS_BYTES)
        self.clock.advance(STALLED_S)
        self.assertEqual(self.budget.largest_stalled(lambda _: True), "first")

    def test_budgets_are_a_share_of_the_memory_that_is_set_or_limited(self):
        """Budgets could otherwise exceed the memory of a small host."""
        settings = settings_of("memory_mb = 160\n")
        self.assertEqual(derived_budget_bytes(settings, 0), 40 * BYTES_PER_MB)
        self.assertEqual(derived_budget_bytes(settings, 3), 3 * BYTES_PER_MB)
        for unstated in ("", "memory_mb =\n", "memory_mb = {{limits.memory_mb}}\n"):
            settings = settings_of(unstated)
            self.assertEqual(settings.process.memory_mb, 0.0)
            self.assertGreater(usable_memory_bytes(settings), 0)
            self.assertLessEqual(derived_budget_bytes(settings, 0), MAX_DERIVED_BYTES)


class RequestMemoryTest(SingleClientTestCase):
    def setUp(self):
        super().setUp()
        self.limits = self.harness.gateway.client_limits
        # Below what a single request may take, so one fits and two do not.
        self.limits._requests = ClientBudget(self.harness.reactor, 1)

    def fill(self, client, size):
        client.connection.dataReceived(HEAD + b"Content-Length: 9000\r\n\r\n" + b"x" * size)

    def fill_budget(self):
        """Let clients hold all but the budget's last bytes in incomplete bodies."""
        holders = [self.harness.client() for _ in range(8)]
        for holder in holders:
            self.fill(holder, 8_000)
        return holders

    def test_a_newcomer_is_refused_while_others_make_progress(self):
        """Clients that keep sending would otherwise lose their requests to newcomers."""
        holders = self.fill_budget()
        self.wait(0.5)
        newcomer = self.harness.client()
        self.fill(newcomer, 8_999)
        self.assertEqual([holder.status for holder in holders], [None] * 8)
        self.assertEqual(newcomer.status, 503)
        self.assertIn(b"Retry-After: ", newcomer.received)
        self.assertIn(b"Connection: close", newcomer.received)

    def test_a_body_that_stopped_is_dropped_for_a_newcomer(self):
        """Clients that stop sending would otherwise keep out all others."""
        holders = self.fill_budget()
        self.wait(STALLED_S)
        newcomer = self.harness.client()
        self.fill(newcomer, 8_999)
        self.fill(self.client, 9_000)
        self.assertIsNone(newcomer.status)
        self.assertIn(503, [holder.status for holder in holders])
        self.assertEqual(self.client.received, b"")

    def test_each_limit_is_logged_by_itself(self):
        """A full budget would otherwise hide that connections are refused too."""
        with self.assertLogs("hemlockdock_entry.gateway.client_limits", "WARNING") as logs:
            for _ in range(2):
                self.limits._record("connections", "gateway_connections_refused")
                self.limits._record("request_budget_mb", "gateway_bodies_dropped")
        limits = [record.limit for record in logs.records]
        self.assertEqual(limits, ["connections", "request_budget_mb"])

    def test_memory_is_released_after_the_response_and_with_the_connection(self):
        """Memory that is not released would fill the budget for ever."""
        self.client.send_request(IDEMPOTENT_PATH, body=b"x" * 9_000)
        self.assertGreater(self.limits._requests.held_bytes, 9_000)
        self.connect().answer()
        self.assertEqual(self.limits._requests.held_bytes, 0)
        self.fill(self.client, 5_000)
        self.client.disconnect_client()
        self.assertEqual(self.limits._requests.held_bytes, 0)

    def test_a_body_that_stops_is_refused_after_the_time_out(self):
        """A connection that stops one byte short of its body was held for ever."""
        before = COUNTERS.value("gateway_bodies_stalled")
        self.fill(self.client, 8_999)
        self.wait(14)
        self.assertIsNone(self.client.status)
        for _ in range(3):
            self.wait(3)
        self.assertEqual(self.client.status, 408)
        self.assertIn(b"no byte of the request body arrived for 15 s", self.client.received)
        self.assertEqual(COUNTERS.value("gateway_bodies_stalled"), before + 1)

    def test_a_refusal_can_be_read_before_the_connection_is_closed(self):
        """A reset would overtake the refusal, and the client would not see its reason."""
        self.client.connection.dataReceived(HEAD + b"Content-Length: 20000\r\n\r\n" + b"x" * 11_000)
        self.assertEqual((self.client.status, self.client.transport.disconnecting), (413, False))
        self.client.connection.dataReceived(b"x" * 9_000)
        self.wait(0.5)
        self.assertTrue(self.client.transport.disconnecting)


class FramingTest(SingleClientTestCase):
    """Bytes behind the head that are no body, without end, kept a connection and its memory."""

    def setUp(self):
        super().setUp()
        self.send(CHUNKED + b"1\r\nx\r\n")

    def send(self, data):
        self.client.connection.dataReceived(data)

    def test_chunk_extension_without_end_is_refused(self):
        self.send(b"1;a=")
        for _ in range(11):
            self.send(b"a" * 100)
        self.assertEqual(self.client.status, 431)

    def test_trailers_without_end_are_refused_and_not_stored(self):
        self.send(b"0\r\n")
        held_bytes = self.client.connection._reader.held_bytes
        for _ in range(9):
            self.send(b"a: b\r\n" * 17)
            self.assertEqual(self.client.connection._reader.held_bytes, held_bytes)
        self.assertIsNone(self.client.status)
        self.send(b"a: b\r\n" * 17)
        self.assertEqual(self.client.status, 431)

    def test_long_extensions_between_bytes_of_the_body_are_refused(self):
        for _ in range(4):
            self.send(b"1;a=%b\r\nx\r\n" % (b"a" * 500))
        self.assertEqual(self.client.status, 431)

    def test_a_body_in_chunks_of_one_byte_is_forwarded(self):
        """The limit of framing must not refuse bodies that are small but complete."""
        self.send(b"1;a=b\r\nx\r\n" * 4_999)
        self.send(b"1\r\nx\r\n" * 5_000)
        self.send(b"0\r\nx-trailer: 1\r\n\r\n")
        self.assertTrue(self.connect().received.endswith(b"\r\n\r\n" + b"x" * 10_000))

    def test_a_long_pipelined_request_does_not_count_as_framing(self):
        self.send(b"0\r\n\r\n" + HEAD + b"Content-Length: 9000\r\n\r\n" + b"x" * 8_000)
        self.send(b"x" * 1_000)
        self.assertIsNone(self.client.status)


class UnreadResponseTest(SingleClientTestCase):
    """Responses that clients did not read were held by the transport without a limit or an end."""

    BODY = b"y" * 200_000

    def setUp(self):
        super().setUp()
        self.limits = self.harness.gateway.client_limits
        # With one endpoint, all requests share one connection to it.
        self.harness.delete_row("endpoint/b")
        self.server = None

    def answer(self, client, request_id):
        """Let a request of a client be answered; the client's transport takes one piece."""
        client.send_request(IDEMPOTENT_PATH, request_id=request_id)
        client.transport.write = partial(self.write_one, client.transport, client.transport.write)
        self.server = self.server or self.connect()
        self.server.answer(self.BODY, request_id=request_id)

    def write_one(self, transport, write, data):
        write(data)
        if transport.producer is not None:
            transport.producer.pauseProducing()

    def read_all(self, client):
        while client.transport.producer is not None and self.is_held(client):
            client.transport.producer.resumeProducing()

    def is_held(self, client):
        return client.connection in self.limits._responses._share_by_holder

    def test_a_slow_reader_gets_the_whole_response(self):
        """The limit of unread bytes must not cut off clients that read slowly."""
        self.answer(self.client, b"1")
        self.assertGreater(self.limits._responses.held_bytes, 150_000)
        self.read_all(self.client)
        self.assertEqual(self.client.response(), (200, self.BODY, True))
        self.assertEqual(self.limits._responses.held_bytes, 0)

    def test_a_response_that_closes_its_connection_is_sent_whole_first(self):
        """A transport whose producer was paused did not close the connection at all."""
        self.harness.gateway.draining = True
        self.answer(self.client, b"1")
        self.assertFalse(self.client.transport.disconnecting)
        self.read_all(self.client)
        self.assertEqual(self.client.response(), (200, self.BODY, True))
        self.assertTrue(self.client.transport.disconnecting)

    def test_an_entry_that_stops_can_see_what_is_not_sent_yet(self):
        """It ended while clients were still reading complete responses."""
        clients = self.harness.gateway.clients
        self.assertFalse(clients.has_unsent)
        self.answer(self.client, b"1")
        self.assertTrue(clients.has_unsent)
        self.read_all(self.client)
        self.assertFalse(clients.has_unsent)

    def test_a_pipelined_request_waits_until_the_response_is_read(self):
        """A client could otherwise make an entry hold many responses."""
        self.answer(self.client, b"1")
        self.client.send_request(IDEMPOTENT_PATH, request_id=b"2")
        self.assertNotIn(b"X-Request-Id: 2", self.server.received)
        self.read_all(self.client)
        self.assertIn(b"X-Request-Id: 2", self.server.received)
        self.server.answer(b"second", request_id=b"2")
        self.read_all(self.client)
        self.assertTrue(self.client.received.endswith(b"second"))

    def test_the_client_that_reads_nothing_is_dropped_for_one_that_reads(self):
        self.limits._responses = ClientBudget(self.harness.reactor, 2 * MAX_BODY_BYTES)
        self.answer(self.client, b"1")
        self.wait(STALLED_S)
        reader = self.harness.client()
        self.limits._responses.change("others", 2 * MAX_BODY_BYTES - 300_000)
        self.answer(reader, b"2")
        self.assertTrue(self.client.transport.aborted)
        self.assertFalse(reader.transport.aborted)

    def test_a_client_that_reads_nothing_is_dropped_after_the_time_out(self):
        self.answer(self.client, b"1")
        for _ in range(61):
            self.assertFalse(self.client.transport.aborted)
            self.wait(1)
            self.harness.gateway.run_maintenance()
        self.assertTrue(self.client.transport.aborted)


class ConnectionLimitTest(SingleClientTestCase):
    """Clients that stayed connected used up the descriptors that links and endpoints need."""

    def setUp(self):
        super().setUp()
        self.limits = self.harness.gateway.client_limits
        self.limits._max_connections = 2

    def test_the_connection_that_is_idle_for_longest_makes_room(self):
        """Idle connections would otherwise keep out new clients."""
        self.wait(1)
        other = self.harness.client()
        self.client.send_request(IDEMPOTENT_PATH)
        third = self.harness.client()
        self.assertTrue(other.transport.aborted)
        self.assertFalse(self.client.transport.aborted)
        self.assertIsNone(third.status)

    def test_a_newcomer_is_refused_if_none_is_idle(self):
        """A request in progress must not be aborted for a newcomer."""
        self.client.send_request(IDEMPOTENT_PATH)
        self.harness.client().connection.dataReceived(b"GET / HT")
        third = self.harness.client()
        self.assertEqual((third.status, third.transport.disconnecting), (503, True))
        self.assertIn(b"Retry-After: ", third.received)

    def test_half_the_descriptors_are_for_clients(self):
        """Clients could otherwise use up the descriptors of links and endpoints."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.assertEqual(client_connections_limit(settings_of("")), soft // 2)
        self.assertEqual(client_connections_limit(settings_of("[clients]\nconnections = 7\n")), 7)


class LimitedFactoryTest(unittest.TestCase):
    def test_the_oldest_connection_makes_room(self):
        """Abandoned connections would otherwise keep out probes."""
        factory = LimitedConnectionsFactory(Factory.forProtocol(Protocol), "test_dropped", 2)
        transports = []
        protocols = []
        for _ in range(3):
            protocols.append(factory.buildProtocol(None))
            transports.append(ClientTransport())
            protocols[-1].makeConnection(transports[-1])
        self.assertEqual([item.aborted for item in transports], [True, False, False])
        protocols[0].connectionLost(None)
        protocols[1].connectionLost(None)
        factory.buildProtocol(None).makeConnection(ClientTransport())
        self.assertFalse(transports[2].aborted)


class LongBodyTest(SingleClientTestCase):
    """A body was copied for each attempt, and once more by the transport."""

    BODY = b"z" * (2 * PIECE_BYTES + 1)

    def setUp(self):
        super().setUp()
        self.harness.put_rows(LimitsRow(2, 1_000, 1_000_000, 3_000, 15_000))
        self.client.send_request(IDEMPOTENT_PATH, body=self.BODY)
        self.server = self.connect()

    def pull(self):
        while self.server.transport.producer is not None:
            self.server.transport.producer.resumeProducing()

    def test_a_long_body_is_sent_piece_by_piece(self):
        self.assertTrue(self.server.received.endswith(b"\r\n\r\n"))
        self.pull()
        self.assertTrue(self.server.received.endswith(b"\r\n\r\n" + self.BODY))
        self.server.answer()
        self.assertEqual(self.client.status, 200)

    def test_the_rest_of_the_body_follows_an_early_response(self):
        """Closing at once would cut off a request that the endpoint has answered."""
        self.server.answer()
        self.assertEqual(self.client.status, 200)
        self.assertTrue(self.server.transport.disconnecting)
        self.pull()
        self.assertTrue(self.server.received.endswith(b"\r\n\r\n" + self.BODY))

    def test_a_repeated_request_is_sent_whole(self):
        self.server.transport.producer.resumeProducing()
        self.server.close()
        self.server = self.connect()
        self.pull()
        self.assertTrue(self.server.received.endswith(b"\r\n\r\n" + self.BODY))


if __name__ == "__main__":
    unittest.main()
