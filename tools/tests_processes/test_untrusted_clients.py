"""Real processes keep to their memory and descriptors whatever clients send or do not read.

Each process is started with lowered limits on loopback. The checks depend on no speed: the same
process is running, its memory and its descriptors stayed in bounds, and it answers an ordinary
request afterwards, while the crowd is still connected.
"""

import tempfile
import unittest
from pathlib import Path

import support_untrusted_clients as clients
from soak.fleet import ROUTES_PATH
from soak.http_calls import request_headers
from soak.plan import ADMIN_PORT, HTTP_PORT, READY_PORT
from support_untrusted_clients import CROWD, LIMITS, METRICS_PORT, Crowd, ProcessWatch

PREFIX = "127.0.83"
FEW = 8
ADMIN_BODY_BYTES = 8 * clients.MB
METRICS_PATH = "/metrics"
MODEL = b"X-Use-Model: m0\r\n"


class UntrustedClientsCase(unittest.TestCase):
    """Starts a fleet for each test.

    Attributes
    ----------
    port : int
        Port of the listener under test.
    target : bytes
        Request target of the crowd.
    """

    port = 0
    target = b""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = clients.UntrustedClientFleet(PREFIX, Path(folder.name))
        self.addCleanup(self.fleet.kill_all)
        self.fleet.start()
        self.fleet.submit_routes()
        self.entry = self.fleet.plan.entry_ips[0]
        self.ip = self.address_under_test()
        self.fleet.wait_until("entry serves", lambda: self.fleet.is_serving(self.entry))
        self.fleet.wait_until("ordinary request answered", self.is_served)
        self.watch = ProcessWatch(self.fleet.process_by_name[self.ip])
        self.crowd = Crowd((self.ip, self.port), PREFIX)
        self.addCleanup(self.crowd.close)

    def address_under_test(self):
        """Return the address of the process whose listener is tested."""
        return self.entry

    def is_served(self):
        """Return whether the listener answers an ordinary request."""
        raise NotImplementedError

    def check(self, count, kind, *arguments, receive_buffer=0):
        """Run a crowd of one kind, and check the process while the crowd is connected."""
        self.crowd.run(count, lambda _: kind(self.target, *arguments), receive_buffer)
        self.check_process()

    def check_process(self):
        """Check that the process is alive, in its bounds and serving."""
        self.watch.wait_until_quiet()
        if self.fleet.process_by_name[self.ip].poll() is None:
            self.fleet.wait_until("ordinary request answered afterwards", self.is_served)
        self.assertEqual(self.watch.problems(), [])


class HeadTests:
    """Kinds of clients that every listener meets."""

    def test_heads_over_the_limit(self):
        self.check(CROWD, clients.long_head)

    def test_header_line_without_end(self):
        self.check(FEW, clients.endless_header_line)

    def test_header_lines_without_end(self):
        self.check(FEW, clients.endless_headers)

    def test_heads_one_byte_at_a_time(self):
        self.check(CROWD, clients.single_bytes)

    def test_empty_lines_without_end(self):
        self.check(FEW, clients.empty_lines)

    def test_trailers_without_end(self):
        self.check(FEW, clients.endless_trailers)

    def test_chunk_extensions_without_end(self):
        self.check(FEW, clients.endless_chunk_extension)

    def test_more_connections_than_descriptors(self):
        self.check(300, lambda _: [b"GET / HT"])

    def test_pipelined_requests_whose_responses_are_not_read(self):
        self.check(CROWD, clients.pipelined_requests, receive_buffer=clients.KB)


class EntryClientsTest(HeadTests, UntrustedClientsCase):
    port = HTTP_PORT
    target = b"/read/x"

    def is_served(self):
        return self.fleet.is_serving(self.entry)

    def test_large_bodies_that_stop_short(self):
        def parts(number):
            kind = clients.body_cut_short if number % 5 else clients.whole_body
            return kind(self.target, LIMITS.body_bytes)

        self.crowd.run(CROWD, parts)
        self.check_process()

    def test_large_whole_bodies(self):
        self.check(CROWD, clients.whole_body, LIMITS.body_bytes)

    def test_large_bodies_in_pieces(self):
        self.check(FEW, clients.body_in_pieces, LIMITS.body_bytes)

    def test_long_responses_that_are_not_read(self):
        self.target = b"/read/kilobytes-4000"
        self.check_in_rounds(clients.one_request)

    def test_long_streams_that_are_not_read(self):
        self.fleet.wait_until("a stream", self.is_streaming)
        self.target = b"/live/kilobytes-4000"
        self.check_in_rounds(clients.one_request, MODEL)

    def test_pipelined_long_responses_that_are_not_read(self):
        self.target = b"/read/kilobytes-900"
        self.check_in_rounds(clients.pipelined_requests)

    def is_streaming(self):
        """Return whether the entry answers a stream of the crowd's model."""
        headers = request_headers("stream", "m0")
        response = self.fleet.call(self.entry, HTTP_PORT, "POST", "/live/x", b"body", headers)
        return response.status == 200

    def check_in_rounds(self, kind, *arguments):
        """Run a crowd in rounds, as the endpoints have slots for few requests at once."""
        for _ in range(CROWD // FEW):
            parts = lambda _: kind(self.target, *arguments)  # noqa: E731
            self.crowd.run(FEW, parts, receive_buffer=clients.KB)
            self.watch.wait_until_quiet()
        self.check_process()


class EntryReadinessTest(HeadTests, UntrustedClientsCase):
    port = READY_PORT
    target = b"/readyz"

    def is_served(self):
        return self.fleet.call(self.ip, READY_PORT, "GET", "/readyz").status == 200

    def test_large_bodies_that_stop_short(self):
        self.check(CROWD, clients.body_cut_short, LIMITS.body_bytes)


class ControlOperatorsTest(HeadTests, UntrustedClientsCase):
    port = ADMIN_PORT
    target = ROUTES_PATH.encode()

    def address_under_test(self):
        return self.fleet.plan.control_ips[0]

    def is_served(self):
        return self.fleet.call(self.ip, ADMIN_PORT, "GET", ROUTES_PATH).status == 200

    def test_large_bodies_that_stop_short(self):
        self.check(CROWD, clients.body_cut_short, ADMIN_BODY_BYTES)

    def test_large_bodies_in_pieces(self):
        self.check(FEW, clients.body_in_pieces, ADMIN_BODY_BYTES // 4)


class MetricsTest(HeadTests, UntrustedClientsCase):
    port = METRICS_PORT
    target = METRICS_PATH.encode()

    def address_under_test(self):
        return self.fleet.plan.agent_ips[0]

    def is_served(self):
        return self.fleet.call(self.ip, METRICS_PORT, "GET", METRICS_PATH).status == 200

    def test_large_bodies_that_stop_short(self):
        self.check(CROWD, clients.body_cut_short, ADMIN_BODY_BYTES)


if __name__ == "__main__":
    unittest.main()
