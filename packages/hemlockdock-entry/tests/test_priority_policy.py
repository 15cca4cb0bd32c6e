"""Test that less urgent requests yield, and that retries of refused clients are spread."""

import random
import unittest
from types import SimpleNamespace

import msgspec
from support_gateway import SETTINGS, STREAM_PATH, GatewayTestCase, endpoint, route

from hemlockdock_core.messages import LoadSummary
from hemlockdock_core.rows import RouteKind
from hemlockdock_core.settings import parse_settings
from hemlockdock_core.wire import own
from hemlockdock_entry.balancing.retry_pacer import RetryPacer
from hemlockdock_entry.balancing.urgent_refusals import REFUSED_LATELY_S, UrgentRefusals, may_yield
from hemlockdock_entry.gateway.gateway import Gateway
from hemlockdock_entry.gateway.route_index import RouteIndex

URGENT_PATH = "/urgent/"
NOT_RUN = b"X-Not-Run: 1\r\nConnection: close\r\n"


class UrgentRefusalsTest(unittest.TestCase):
    def test_only_more_urgent_requests_of_the_pool_count_for_a_second(self):
        """Requests would otherwise yield to less urgent ones, to other pools or for too long."""
        refusals = UrgentRefusals()
        refusals.record_refusal("lm", "m", (0, 0), 5.0)
        for pool, urgency, now_s, models in (
            ("lm", (0, 2), 5.0, {"m"}),
            ("lm", (1, 0), 5.5, {"m"}),
            ("lm", (0, 0), 5.0, set()),
            ("shop", (0, 2), 5.0, set()),
            ("lm", (0, 2), 5.01 + REFUSED_LATELY_S, set()),
        ):
            self.assertEqual(refusals.models(pool, urgency, now_s), models)

    def test_a_request_yields_only_while_it_can_be_in_time_later(self):
        """Less urgent requests would otherwise be starved past their targets."""
        self.assertTrue(may_yield(10.0, 14.0, 11.9))
        self.assertFalse(may_yield(10.0, 14.0, 12.0))
        self.assertFalse(may_yield(10.0, 9.9, 10.0))


class RetryPacerTest(unittest.TestCase):
    def setUp(self):
        self.pacer = RetryPacer(random.Random(3))

    def serve(self, per_s):
        for number in range(2 * per_s):
            self.pacer.record_served(number / per_s)

    def test_refused_clients_retry_at_the_rate_of_service(self):
        """Clients that are given one retry time are refused again together."""
        self.serve(20)
        retries_s = [self.pacer.next_retry_s(2.5, 12.0, 2.0) for _ in range(100)]
        self.assertGreaterEqual(min(retries_s), 2.5)
        for second in range(3, 7):
            count = sum(second <= at_s < second + 1 for at_s in retries_s)
            self.assertTrue(18 <= count <= 22, count)

    def test_retry_times_are_within_what_clients_accept(self):
        """A client that is given a later time doesn't retry at all."""
        self.serve(20)
        retries_s = [self.pacer.next_retry_s(2.5, 4.0, 2.0) for _ in range(500)]
        self.assertTrue(all(2.5 <= at_s <= 4.0 for at_s in retries_s))
        late = [at_s for at_s in retries_s[50:] if at_s > 3.6]
        self.assertTrue(0.4 < len(late) / 450 < 0.7, len(late))

    def test_retry_times_without_any_service_are_within_what_clients_accept(self):
        """Without a rate of service, the first retry time could be past the deadline."""
        self.assertTrue(2.0 <= self.pacer.next_retry_s(2.5, 2.4, 2.0) <= 2.4)


class PriorityPolicyTest(GatewayTestCase):
    """An endpoint that has two models and takes one request at a time."""

    def setUp(self):
        super().setUp()
        self.harness.link.entries = 10
        live = msgspec.structs.replace(self.live("live", STREAM_PATH), urgency=2, target_ms=5_000)
        urgent = msgspec.structs.replace(self.live("urgent", URGENT_PATH), urgency=0)
        self.harness.gateway.routes = RouteIndex([live, urgent])
        self.set_recent_summary(True)
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m", "n")))

    def set_recent_summary(self, is_recent):
        self.harness.gateway.load_view.has_recent_summary = lambda _now_s: is_recent

    def live(self, name, prefix):
        return route(name, prefix, RouteKind.STREAM, "lm", True, timeout_ms=20_000)

    def send_for(self, model, path=STREAM_PATH):
        extra = b"X-Use-Model: %b\r\n" % model
        return self.send(path, extra, left_ms=19_000)

    def refuse_urgent(self):
        """Let an urgent request be refused, because the only endpoint is full all the time."""
        client = self.send_for(b"m", URGENT_PATH)
        for _ in range(30):
            if client.status is not None:
                break
            while self.waiting_ports:
                server = self.harness.connect()
                server.answer(b"", 503, b"1", NOT_RUN, signed=False)
            self.reactor.advance(0.1)
            self.harness.gateway.model_queue.check_waiting()
        self.assertEqual(client.status, 503)
        self.reactor.advance(0.3)

    def test_a_less_urgent_request_yields_after_an_urgent_one_was_refused(self):
        """The urgent one's retry would otherwise find the slot taken again."""
        self.refuse_urgent()
        client = self.send_for(b"n")
        self.assertEqual((client.status, self.waiting_ports), (None, []))
        urgent = self.send_for(b"m", URGENT_PATH)
        self.assertEqual((urgent.status, self.waiting_ports), (None, [3]))

    def test_a_refusal_says_whether_a_slot_or_the_model_was_missing(self):
        """Operators would otherwise look for a model that is loaded."""
        for model, message in (
            (b"m", b"no endpoint with the model has a free slot in time"),
            (b"n", b"the model can't be loaded in time"),
        ):
            self.setUp()
            self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))
            clients = [self.send_for(model) for _ in range(4)]
            for _ in range(200):
                self.reactor.advance(0.1)
                self.harness.gateway.model_queue.check_waiting()
            self.assertIn(message, clients[-1].received)

    def test_a_less_urgent_request_is_served_a_second_after_the_last_urgent_refusal(self):
        """A slot would otherwise stay idle after the urgent demand has ended."""
        self.refuse_urgent()
        self.send_for(b"n")
        self.reactor.advance(REFUSED_LATELY_S)
        self.harness.gateway.model_queue.check_waiting()
        self.assertEqual(self.waiting_ports, [3])

    def test_a_less_urgent_request_is_served_before_it_would_be_late(self):
        """Constant urgent demand would otherwise starve it."""
        self.refuse_urgent()
        client = self.send_for(b"n")
        policy = self.harness.gateway.priority_policy
        sent_s = None
        urgent = SimpleNamespace(
            model="m", pool=SimpleNamespace(name="lm"), urgency=(0, 0), may_have_run=False
        )
        start_s = self.reactor.seconds()
        while sent_s is None and self.reactor.seconds() < start_s + 5.0:
            policy.record_refusal(urgent)
            self.reactor.advance(0.1)
            self.harness.gateway.model_queue.check_waiting()
            if self.waiting_ports:
                sent_s = self.reactor.seconds() - start_s
        self.assertTrue(client.status is None and 0.5 < sent_s < 4.75, sent_s)

    def test_refused_clients_get_different_retry_times_while_loads_are_known(self):
        """They would otherwise retry together, and most would be refused again."""
        for is_recent in (True, False):
            self.setUp()
            self.set_recent_summary(is_recent)
            clients = [self.send_for(b"m", URGENT_PATH) for _ in range(12)]
            for _ in range(30):
                while self.waiting_ports:
                    server = self.harness.connect()
                    number = server.header(b"x-request-id")
                    server.answer(b"", 503, number, NOT_RUN, signed=False)
                self.reactor.advance(0.1)
                self.harness.gateway.model_queue.check_waiting()
            times = {client.received.partition(b"Retry-After: ")[2][:4] for client in clients}
            self.assertEqual(len(times) > 9, is_recent, times)

    def test_a_free_slot_goes_to_the_most_urgent_request_of_all_models(self):
        """It would otherwise go to the model whose request has ended."""
        for is_recent, number in ((True, b"3"), (False, b"2")):
            self.setUp()
            self.set_recent_summary(is_recent)
            self.send_for(b"n")
            self.send_for(b"n")
            self.send_for(b"m", URGENT_PATH)
            server = self.harness.connect()
            server.answer(b"data: x\n\n", extra=b"Connection: close\r\n")
            self.reactor.advance(0)
            self.assertEqual(self.harness.connect().header(b"x-request-id"), number)

    def test_a_summary_counts_as_recent_for_three_seconds(self):
        """An entry would otherwise act on loads that are long out of date."""
        gateway = Gateway(self.reactor, parse_settings(SETTINGS, "t"), own.WIRE, None)
        gateway.attach_link(self.harness.link)
        self.assertFalse(gateway.load_view.has_recent_summary(self.reactor.seconds()))
        gateway.selection.record_loads(LoadSummary(()))
        self.assertTrue(gateway.load_view.has_recent_summary(self.reactor.seconds()))
        self.reactor.advance(3.1)
        self.assertFalse(gateway.load_view.has_recent_summary(self.reactor.seconds()))

    def test_a_less_urgent_request_does_not_yield_without_load_summaries(self):
        """Deployments that don't share loads would otherwise be served differently."""
        self.refuse_urgent()
        self.set_recent_summary(False)
        self.send_for(b"n")
        self.assertEqual(self.waiting_ports, [3])


if __name__ == "__main__":
    unittest.main()
