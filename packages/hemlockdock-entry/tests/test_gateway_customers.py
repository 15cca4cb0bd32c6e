"""Test customers' keys at the gateway: who is served, what endpoints get, and removed keys."""

import unittest

from msgspec.structs import replace
from support_gateway import (
    AT_MOST_ONCE_PATH,
    IDEMPOTENT_PATH,
    STREAM_PATH,
    GatewayTestCase,
    endpoint,
)

from hemlockdock_core.customer_keys import key_digest
from hemlockdock_core.messages import DemandReport
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.rows import CustomerRow

KEY = b"X-Customer-Key: key-a\r\n"
OTHER_KEY = b"X-Customer-Key: key-b\r\n"
MODEL = b"X-Use-Model: m\r\n"
EVENT_1 = b"id: 1\ndata: x\n\n"
LAST_CHUNK = b"0\r\n\r\n"


def customer(name, *keys, urgency=0):
    return CustomerRow(name, tuple(key_digest(key) for key in keys), urgency)


class CustomersTestCase(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.table = self.harness.link.table
        self.put_customers(customer("ann", b"key-a", urgency=1), customer("bob", b"key-b"))

    def put_customers(self, *customers, requires_keys=True, public=()):
        """Apply a manifest with customers and with public routes."""
        for name in list(self.table.customer_by_name):
            self.table.delete(f"customer/{name}")
        rows = list(customers)
        for row in list(self.table.route_by_name.values()):
            rows.append(replace(row, is_public=row.name in public))
        limits = self.table.limits
        number = limits.number + 1
        rows.append(replace(limits, number=number, requires_keys=requires_keys))
        self.harness.put_rows(*rows)

    def sent_head(self):
        """Return the request that the oldest attempt sends to its endpoint."""
        server = self.harness.connect()
        return server, server.received.lower()


class KeyTest(CustomersTestCase):
    def test_requests_without_a_known_key_are_refused_at_once(self):
        # Guards against unauthenticated use, and against a refusal after a wait or a dispatch.
        for extra in (b"", b"X-Customer-Key: key-c\r\n", b"X-Customer-Key:\r\n"):
            client = self.send(extra=extra)
            self.assertEqual(client.status, 401)
            self.assertIn(b"401 Unauthorized", client.received)
            self.assertNotIn(b"key-c", client.received)
        self.assertEqual(self.waiting_ports, [])

    def test_an_unknown_route_is_not_found_whatever_the_key(self):
        # Guards against 401 for what no key opens.
        self.assertEqual(self.send("/nowhere/").status, 404)

    def test_an_entry_without_a_table_never_asks_for_a_key(self):
        # Guards against 401 from an entry that can't know any key yet.
        self.harness.gateway.routes = None
        client = self.send()
        self.reactor.advance(1.0)
        self.assertEqual(client.status, 503)

    def test_a_request_that_waited_for_the_first_table_is_checked_then(self):
        # Guards against requests that pass unchecked because they came before the table.
        self.harness.gateway.routes = None
        client, known = self.send(), self.send(extra=KEY)
        self.put_customers(customer("ann", b"key-a"))
        self.assertEqual((client.status, known.status), (401, None))

    def test_the_endpoint_gets_the_name_and_never_the_key(self):
        # Guards against a leaked key, and against a client that poses as another customer.
        self.send(extra=KEY + b"X-Customer: bob\r\n")
        _, head = self.sent_head()
        self.assertIn(b"\r\nx-customer: ann\r\n", head)
        self.assertNotIn(b"bob", head)
        self.assertNotIn(b"key", head)

    def test_white_space_around_a_key_does_not_count(self):
        # Guards against 401 for a key that a proxy padded.
        client = self.send(extra=b"X-Customer-Key: \t key-a \t \r\n")
        self.assertIsNone(client.status)

    def test_a_public_route_needs_no_key_and_forwards_neither_header(self):
        # Guards against a client that names itself a customer where no key is needed.
        self.put_customers(customer("ann", b"key-a"), public=("read",))
        self.send(extra=b"X-Customer: bob\r\nX-Customer-Key: key-c\r\n")
        _, head = self.sent_head()
        self.assertNotIn(b"x-customer", head)
        self.assertNotIn(b"key-c", head)

    def test_a_known_key_on_a_public_route_names_its_customer(self):
        # Guards against use that is not attributed although the customer is known.
        self.put_customers(customer("ann", b"key-a"), public=("read",))
        self.send(extra=KEY)
        _, head = self.sent_head()
        self.assertIn(b"\r\nx-customer: ann\r\n", head)
        self.assertNotIn(b"key-a", head)

    def test_without_customers_no_header_is_modified(self):
        # Guards against changes for deployments whose manifests have no customers.
        self.put_customers(requires_keys=False)
        self.send(extra=KEY + b"X-Customer: bob\r\n")
        _, head = self.sent_head()
        self.assertIn(b"\r\nx-customer-key: key-a\r\n", head)
        self.assertIn(b"\r\nx-customer: bob\r\n", head)

    def test_an_empty_list_of_customers_serves_only_public_routes(self):
        # Guards against an empty list that is taken for none and opens all routes.
        self.put_customers(public=("read",))
        self.assertIsNone(self.send(IDEMPOTENT_PATH).status)
        self.assertEqual(self.send(AT_MOST_ONCE_PATH, extra=KEY).status, 401)

    def test_neither_keys_nor_their_digests_are_logged_or_reported(self):
        # Guards against a key in the log or in what other processes are told.
        with self.assertLogs(level="DEBUG") as logs:
            self.send(AT_MOST_ONCE_PATH, extra=KEY)
            self.harness.connect().close()
            self.send(extra=b"X-Customer-Key: key-c\r\n")
            self.put_customers(customer("bob", b"key-b"))
        told = [*self.harness.link.sent, *self.harness.link.proposed, self.harness.sent_messages]
        text = "".join(str(record.__dict__) for record in logs.records) + str(told)
        for secret in ("key-a", "key-c", key_digest(b"key-a"), key_digest(b"key-c")):
            self.assertNotIn(secret, text)

    def test_the_fingerprint_of_a_request_is_the_same_with_another_key(self):
        # Guards against a quarantine that a client escapes by using another key.
        self.send(extra=KEY)
        self.send(extra=OTHER_KEY)
        first, second = self.harness.gateway._exchanges
        self.assertEqual(first.content.fingerprint, second.content.fingerprint)

    def test_results_of_key_checks_are_counted(self):
        # Guards against refused customers that no operator sees.
        before = COUNTERS.value("gateway_key_checks", result="unknown")
        self.send(extra=b"X-Customer-Key: key-c\r\n")
        self.assertEqual(COUNTERS.value("gateway_key_checks", result="unknown"), before + 1)


class PriorityTest(CustomersTestCase):
    def priority_of(self, extra, path=STREAM_PATH):
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))
        self.send(path, extra=extra + MODEL, left_ms=12_000)
        return self.harness.connect().header(b"x-engine-priority")

    def put_route_urgency(self, **urgency_by_name):
        rows = self.table.route_by_name
        changed = [replace(rows[name], urgency=value) for name, value in urgency_by_name.items()]
        self.harness.put_rows(*changed, replace(self.table.limits))

    def test_the_priority_is_the_rank_of_customer_and_route(self):
        # Guards against an engine that prefers a route of a less urgent customer.
        self.put_route_urgency(live=0, report=2)
        # Pairs: (0, 0), (0, 1), (0, 2), (1, 0), (1, 1), (1, 2).
        self.assertEqual(self.priority_of(OTHER_KEY, "/report/"), b"2")
        self.assertEqual(self.priority_of(KEY), b"3")

    def test_ranks_beyond_the_lowest_priority_share_it(self):
        # Guards against priorities that engines don't know.
        rows = [customer(f"c{n}", b"key-%d" % n, urgency=n) for n in range(12)]
        self.put_customers(*rows)
        self.assertEqual(self.priority_of(b"X-Customer-Key: key-11\r\n"), b"9")

    def test_without_customers_the_priority_is_the_urgency_of_the_route(self):
        # Guards against changes for deployments whose manifests have no customers.
        self.put_customers(requires_keys=False)
        self.put_route_urgency(live=7)
        self.assertEqual(self.priority_of(b""), b"7")

    def test_the_demand_reported_to_the_leader_has_the_rank_of_customer_and_route(self):
        # Guards against models that are loaded first for less urgent customers.
        self.put_route_urgency(live=0, report=2)
        self.harness.put_rows(endpoint("x", "lm", 3))
        self.send(STREAM_PATH, extra=KEY + MODEL, left_ms=12_000)
        self.reactor.advance(0.01)
        reports = [m for m in self.harness.link.sent if isinstance(m, DemandReport)]
        self.assertEqual(reports[-1].demands[0].urgency, 3)

    def test_a_request_without_a_key_ranks_with_the_most_urgent_customers(self):
        # Guards against a public route whose requests engines serve last.
        self.put_customers(customer("ann", b"key-a", urgency=1), public=("live",))
        self.assertEqual(self.priority_of(b""), b"0")

    def test_a_waiting_request_of_a_more_urgent_customer_goes_first(self):
        # Guards against an order by the route alone.
        self.harness.put_rows(endpoint("x", "lm", 3))
        self.send(STREAM_PATH, extra=KEY + MODEL, left_ms=12_000)
        self.send(STREAM_PATH, extra=OTHER_KEY + MODEL, left_ms=12_000)
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))
        self.assertEqual(self.harness.connect().header(b"x-customer"), b"bob")


class RemovedKeyTest(CustomersTestCase):
    def remove_key(self):
        self.put_customers(customer("ann"), customer("bob", b"key-b"))

    def test_a_removed_key_is_refused_on_an_open_connection(self):
        # Guards against a check that is done once per connection.
        client = self.send(extra=KEY)
        self.harness.connect().answer()
        self.remove_key()
        client.send_request(IDEMPOTENT_PATH, request_id=b"9", extra=KEY)
        self.assertEqual(client.status, 401)

    def test_a_request_that_waits_for_a_model_is_refused_once_its_key_is_removed(self):
        # Guards against use of a removed key after a long wait.
        self.harness.put_rows(endpoint("x", "lm", 3))
        client = self.send(STREAM_PATH, extra=KEY + MODEL, left_ms=12_000)
        self.assertIsNone(client.status)
        self.remove_key()
        self.assertEqual(client.status, 401)

    def test_a_request_that_waits_for_an_adapter_is_refused_once_its_key_is_removed(self):
        # Guards against a check of only those requests that wait in the queue of a model.
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",), agent="tcp://127.0.0.1:9"))
        extra = KEY + b"X-Use-Model: m/a\r\n"
        client = self.send(STREAM_PATH, extra=extra, left_ms=12_000)
        self.assertEqual((self.waiting_ports, client.status), ([], None))
        self.remove_key()
        self.assertEqual(client.status, 401)
        self.assertEqual(self.harness.gateway.health.for_endpoint("x").in_flight, 0)

    def test_a_request_whose_connection_is_being_opened_is_not_sent_with_a_removed_key(self):
        # Guards against a request that reaches an endpoint after its key was removed.
        client = self.send(extra=KEY)
        self.remove_key()
        server = self.harness.connect()
        self.assertEqual((server.received, client.status), (b"", 401))

    def test_a_request_that_an_endpoint_did_not_run_is_not_sent_again(self):
        # Guards against a retry that goes on although its key was removed.
        client = self.send(extra=KEY)
        server = self.harness.connect()
        self.remove_key()
        server.refuse_not_run()
        self.assertEqual(client.status, 401)

    def test_a_running_stream_continues_at_another_endpoint_without_its_key(self):
        # Guards against a cut stream, and against a continuation that carries the key.
        self.harness.put_rows(
            endpoint("x", "lm", 3, models=("m",)), endpoint("y", "lm", 4, models=("m",))
        )
        client = self.send(STREAM_PATH, extra=KEY + MODEL, left_ms=12_000)
        server = self.harness.connect()
        server.begin_stream()
        server.chunk(EVENT_1)
        self.remove_key()
        server.close()
        server, head = self.sent_head()
        self.assertIn(b"\r\nx-customer: ann\r\n", head)
        self.assertIn(b"\r\nlast-event-id: 1\r\n", head)
        self.assertNotIn(b"key-a", head)
        self.assertEqual(client.status, 200)

    def test_a_key_that_moves_counts_for_its_new_customer(self):
        # Guards against use that is attributed to the former customer.
        self.harness.put_rows(endpoint("x", "lm", 3))
        self.send(STREAM_PATH, extra=KEY + MODEL, left_ms=12_000)
        self.put_customers(customer("bob", b"key-a"))
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))
        self.assertEqual(self.harness.connect().header(b"x-customer"), b"bob")

    def test_a_waiting_request_keeps_its_key_at_the_entry_when_keys_are_abolished(self):
        # Guards against a key that is forwarded because a later manifest has no customers.
        self.harness.put_rows(endpoint("x", "lm", 3))
        self.send(STREAM_PATH, extra=KEY + MODEL, left_ms=12_000)
        self.put_customers(requires_keys=False)
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))
        _, head = self.sent_head()
        self.assertNotIn(b"key-a", head)

    def test_a_waiting_request_of_a_route_that_becomes_public_is_served(self):
        # Guards against 401 for what the manifest in force allows.
        self.harness.put_rows(endpoint("x", "lm", 3))
        client = self.send(STREAM_PATH, extra=KEY + MODEL, left_ms=12_000)
        self.put_customers(customer("ann"), public=("live",))
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m",)))
        _, head = self.sent_head()
        self.assertIsNone(client.status)
        self.assertNotIn(b"x-customer", head)


if __name__ == "__main__":
    unittest.main()
