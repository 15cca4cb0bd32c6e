"""Test how requests wait for models and adapters, are dispatched or refused."""

import unittest

from support_gateway import (
    STREAM_PATH,
    SingleClientTestCase,
    endpoint,
)

from hemlockdock_core.messages import AdapterHeld, AdapterWish, DemandReport

MODEL = b"X-Use-Model: m\r\n"
EVENT_1 = b"id: 1\ndata: x\n\n"
LAST_CHUNK = b"0\r\n\r\n"


class ModelTest(SingleClientTestCase):
    def demand(self):
        self.wait(0.01)
        reports = [m for m in self.harness.link.sent if isinstance(m, DemandReport)]
        return reports[-1].demands[0] if reports else None

    def send_request(self, path=STREAM_PATH, model=MODEL, left_ms=12_000):
        self.client.send_request(path, left_ms=left_ms, extra=model)

    def test_waiting_request_is_reported_to_the_leader(self):
        self.harness.put_rows(endpoint("x", "lm", 3))
        self.send_request()
        found = self.demand()
        self.assertEqual((found.model, found.waiting, found.in_time), ("m", 1, 1))
        self.assertLessEqual(found.target_left_ms, 500)

    def test_waiting_request_is_sent_once_the_model_is_loaded(self):
        self.harness.put_rows(endpoint("x", "lm", 3))
        self.send_request()
        self.assertEqual(self.pending_connections, 0)
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))
        self.assertEqual(self.connect().port, 3)

    def test_request_waits_for_a_free_connection(self):
        self.harness.link.entries = 10
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))
        self.harness.client().send_request(
            STREAM_PATH, request_id=b"0", left_ms=12_000, extra=MODEL
        )
        self.send_request()
        server = self.connect()
        self.assertEqual(self.pending_connections, 0)
        server.begin_stream(request_id=b"0")
        server.chunk(EVENT_1)
        server.send_bytes(LAST_CHUNK)
        self.wait(0.01)
        self.assertEqual(server.header(b"x-request-id"), b"1")

    def test_unservable_request_is_refused_immediately_with_retry_after(self):
        self.harness.put_rows(endpoint("x", "lm", 3, arriving=[("m", 3_000)]))
        self.send_request()
        self.assertEqual(self.client.status, 503)
        self.assertIn(b"Retry-After: 3.20", self.client.received)

    def test_request_is_refused_if_loading_from_the_store_takes_too_long(self):
        self.harness.put_rows(endpoint("x", "lm", 3, on_host=("n",)))
        self.send_request()
        self.assertEqual(self.client.status, 503)
        self.assertIn(b"Retry-After: 3.9", self.client.received)

    def test_refused_client_is_counted_until_its_retry_time(self):
        self.harness.put_rows(endpoint("x", "lm", 3, on_host=("n",)))
        self.send_request()
        found = self.demand()
        self.assertEqual((found.waiting, found.returning), (0, 1))
        self.wait(4.0)
        self.harness.gateway.run_maintenance()
        self.assertEqual(self.demand().returning, 0)

    def test_client_with_less_time_than_its_route_allows_is_not_taken_for_a_returning_one(self):
        self.harness.put_rows(endpoint("x", "lm", 3, on_host=("n",)))
        self.send_request(left_ms=10_300)
        self.assertEqual((self.client.status, self.demand().returning), (503, 1))

    def test_target_of_a_client_with_less_time_than_its_route_allows_is_not_missed_on_arrival(self):
        self.harness.put_rows(endpoint("x", "lm", 3))
        self.send_request(left_ms=10_300)
        self.assertEqual((self.demand().waiting, self.demand().in_time), (1, 1))

    def test_demand_of_lately_is_reported_again_for_a_leader_that_does_not_know_it(self):
        self.harness.put_rows(endpoint("x", "lm", 3, on_host=("n",)))
        self.send_request()
        self.demand()
        self.wait(5.0)
        self.harness.gateway.run_maintenance()
        self.wait(0.5)
        self.harness.link.sent.clear()
        self.harness.gateway.run_maintenance()
        found = self.demand()
        self.assertEqual((found.returning, found.arrivals), (0, 1))
        self.assertAlmostEqual(found.lately, 0.693, 2)
        self.wait(10.0)
        self.harness.link.sent.clear()
        self.harness.gateway.run_maintenance()
        self.assertIsNone(self.demand())

    def test_retrying_client_is_not_counted_again(self):
        self.harness.put_rows(endpoint("x", "lm", 3, on_host=("n",)))
        self.send_request(left_ms=8_000)
        self.assertEqual((self.client.status, self.demand().returning), (503, 0))

    def test_request_waits_for_a_model_stored_on_a_host(self):
        self.harness.put_rows(endpoint("x", "lm", 3, on_host=("m",)))
        self.send_request()
        self.assertIsNone(self.client.status)

    def test_request_waits_while_the_models_of_a_host_are_unknown(self):
        self.harness.put_rows(endpoint("x", "lm", 3, on_host=("n",)), endpoint("y", "lm", 4))
        self.send_request()
        self.assertIsNone(self.client.status)

    def test_request_waits_for_a_host_that_has_its_model_while_the_store_delivers_it(self):
        self.harness.put_rows(
            endpoint("x", "lm", 3, arriving=[("m", 6_100)], on_host=("n",)),
            endpoint("y", "lm", 4, on_host=("m",)),
        )
        self.send_request()
        self.assertIsNone(self.client.status)

    def test_the_earliest_of_two_loads_of_a_model_counts(self):
        slow = endpoint("x", "lm", 3, arriving=[("m", 3_000)])
        self.harness.put_rows(slow)
        self.harness.put_rows(slow, endpoint("y", "lm", 4, arriving=[("m", 500)]))
        self.send_request()
        self.assertIsNone(self.client.status)

    def test_waiting_request_is_refused_before_its_clients_patience_ends(self):
        """A load takes at least 0.3 s, so the refusal comes that much before the client leaves."""
        self.harness.put_rows(endpoint("x", "lm", 3))
        self.send_request()
        self.wait(1.4)
        self.harness.gateway.model_queue.check_waiting()
        self.assertIsNone(self.client.status)
        self.wait(0.1)
        self.harness.gateway.model_queue.check_waiting()
        self.assertEqual(self.client.status, 503)

    def test_request_waits_longer_for_a_slot_at_an_engine_with_the_model(self):
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))
        self.harness.gateway.health.for_endpoint("x").in_flight = 8
        self.send_request()
        self.wait(1.7)
        self.harness.gateway.model_queue.check_waiting()
        self.assertIsNone(self.client.status)
        self.wait(0.1)
        self.harness.gateway.model_queue.check_waiting()
        self.assertEqual(self.client.status, 503)

    def test_unknown_model_is_refused(self):
        self.harness.put_rows(endpoint("x", "lm", 3))
        self.send_request(model=b"X-Use-Model: unknown\r\n")
        self.assertEqual(self.client.status, 503)

    def test_unknown_model_is_not_reported_to_the_leader(self):
        self.send_request(model=b"X-Use-Model: made-up\r\n")
        self.assertEqual(self.client.status, 503)
        self.assertIsNone(self.demand())

    def test_adapter_is_requested_before_the_request_is_sent(self):
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",), agent="tcp://a"))
        self.send_request(model=b"X-Use-Model: m/a3\r\n")
        self.assertEqual(self.pending_connections, 0)
        self.assertEqual(self.harness.sent_messages, [("tcp://a", AdapterWish("x", "m", "a3"))])
        self.harness.gateway.model_queue.on_adapter_held(AdapterHeld("x", "m", "a3", 4_000))
        self.assertEqual(self.connect().header(b"x-use-model"), b"m/a3")

    def test_engine_that_accepts_no_connection_is_avoided_for_a_while(self):
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))
        self.send_request()
        self.harness.fail_connect()
        self.assertEqual(self.pending_connections, 0)
        self.wait(0.3)
        self.harness.gateway.model_queue.check_waiting()
        self.assertEqual(self.pending_connections, 1)

    def test_request_waiting_for_an_adapter_is_refused_before_its_clients_patience_ends(self):
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",), agent="tcp://a"))
        self.send_request(model=b"X-Use-Model: m/a3\r\n")
        for _ in range(18):
            self.wait(0.1)
            self.harness.gateway.model_queue.check_waiting()
        self.assertEqual(self.client.status, 503)
        self.assertEqual(self.harness.gateway.health.for_endpoint("x").in_flight, 0)

    def test_disconnecting_client_releases_the_slot_reserved_while_waiting_for_an_adapter(self):
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",), agent="tcp://a"))
        self.send_request(model=b"X-Use-Model: m/a3\r\n")
        self.assertEqual(self.demand().in_flight, 1)
        self.client.disconnect_client()
        self.assertEqual(self.demand().in_flight, 0)
        self.assertEqual(self.harness.gateway.health.for_endpoint("x").in_flight, 0)
        self.harness.gateway.model_queue.on_adapter_held(AdapterHeld("x", "m", "a3", 4_000))
        self.assertEqual(self.pending_connections, 0)

    def test_request_does_not_wait_for_a_loaded_adapter(self):
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",), agent="tcp://a"))
        self.harness.gateway.model_queue.on_adapter_held(AdapterHeld("x", "m", "a3", 4_000))
        self.send_request(model=b"X-Use-Model: m/a3\r\n")
        self.assertEqual(self.pending_connections, 1)

    def test_adapter_state_is_forgotten_when_an_endpoint_is_removed(self):
        row = endpoint("x", "lm", 3, models=("m",), agent="tcp://a")
        self.harness.put_rows(row)
        self.harness.gateway.model_queue.on_adapter_held(AdapterHeld("x", "m", "a3", 4_000))
        self.harness.delete_row("endpoint/x")
        self.harness.put_rows(row)
        self.send_request(model=b"X-Use-Model: m/a3\r\n")
        self.assertEqual(self.pending_connections, 0)

    def test_engine_that_did_not_run_a_request_is_retried_only_after_a_pause(self):
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))
        self.send_request()
        server = self.connect()
        before = len(server.received)
        server.refuse_not_run()
        self.assertEqual((self.pending_connections, len(server.received)), (0, before))
        self.assertEqual(self.demand().waiting, 1)
        self.wait(0.3)
        self.harness.gateway.model_queue.check_waiting()
        self.assertIn(b"X-Request-Id: 1", self.connect().received)
        self.assertEqual(len(server.received), before)

    def test_request_leaves_the_queue_when_its_client_disconnects(self):
        self.harness.put_rows(endpoint("x", "lm", 3))
        self.send_request()
        self.client.disconnect_client()
        self.assertEqual(self.demand().waiting, 0)

    def test_waiting_request_is_refused_when_the_entry_stops(self):
        self.harness.put_rows(endpoint("x", "lm", 3))
        self.send_request()
        self.harness.gateway.shut_down_exchanges()
        self.assertEqual(self.client.status, 503)


if __name__ == "__main__":
    unittest.main()
