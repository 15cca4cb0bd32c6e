"""Test that a stream continues only at the software version that began it."""

import msgspec
from support_gateway import (
    IDEMPOTENT_PATH,
    STREAM_PATH,
    endpoint,
    route,
)
from support_software_versions import (
    EVENT_2,
    LAST_CHUNK,
    MODEL,
    PORT_BY_ID,
    SoftwareVersionTestCase,
)

from hemlockdock_core.rows import PoolRow, RouteKind, WeightedPool
from hemlockdock_core.stream_origins import StreamOrigin
from hemlockdock_entry.gateway.origin_lookup import LOOKUP_TIMEOUT_S
from hemlockdock_entry.gateway.route_index import RouteIndex


class OneAnswerTest(SoftwareVersionTestCase):
    def test_a_stream_does_not_continue_at_another_version_within_one_answer(self):
        self.put_endpoints(x="v1")
        server = self.begin_stream()
        self.put_endpoints(y="v1.1")
        self.delete_endpoint("x")
        server.close()
        self.assertEqual(self.pending(), [])
        self.assertTrue(self.client.transport.aborted)

    def test_a_stream_continues_at_its_version_within_one_answer(self):
        self.put_endpoints(x="v1")
        server = self.begin_stream()
        self.put_endpoints(y="v1.1", z="v1")
        self.make_busy("z")
        server.close()
        self.assertEqual(self.pending(), [PORT_BY_ID["z"]])

    def test_an_unknown_version_is_no_match_within_one_answer(self):
        self.put_endpoints(x="")
        server = self.begin_stream()
        self.put_endpoints(y="", z="v1")
        self.delete_endpoint("x")
        server.close()
        self.assertEqual(self.pending(), [])
        self.assertTrue(self.client.transport.aborted)

    def test_a_stream_without_an_event_may_begin_again_at_any_version(self):
        self.put_endpoints(x="v1")
        self.client.send_request(STREAM_PATH, left_ms=12_000, extra=MODEL)
        server = self.harness.connect()
        server.begin_stream()
        self.put_endpoints(y="v1.1")
        server.close()
        self.assertEqual(self.pending(), [PORT_BY_ID["y"]])

    def test_a_stream_waits_for_an_endpoint_of_its_version_that_is_full(self):
        self.put_endpoints(x="v1")
        server = self.begin_stream()
        self.put_endpoints(y="v1.1", z="v1")
        self.delete_endpoint("x")
        health = self.harness.gateway.health.for_endpoint("z")
        health.in_flight = 4
        server.close()
        self.assertEqual(self.pending(), [])
        self.assertFalse(self.client.transport.aborted)
        health.in_flight = 0
        self.harness.gateway.model_queue.check_waiting()
        self.assertEqual(self.pending(), [PORT_BY_ID["z"]])

    def test_a_stream_waits_for_an_endpoint_of_its_version_that_may_have_its_model(self):
        for row, waits in (
            (endpoint("z", "lm", 5), True),
            (endpoint("z", "lm", 5, arriving=(("m", 300),), on_host=()), True),
            (endpoint("z", "lm", 5, models=("n",)), False),
            (endpoint("z", "lm", 5, on_host=()), False),
            (endpoint("z", "lm", 5, models=("m",), leaving=True), False),
        ):
            with self.subTest(row=row):
                self.harness = self.open_entry()
                self.client = self.harness.client()
                self.put_endpoints(x="v1")
                server = self.begin_stream()
                self.harness.put_rows(row)
                self.delete_endpoint("x")
                server.close()
                self.assertEqual(self.pending(), [])
                self.assertEqual(self.client.transport.aborted, not waits)

    def test_a_stream_that_is_broken_off_while_it_waits_leaves_the_queue(self):
        self.put_endpoints(x="v1")
        server = self.begin_stream()
        self.put_endpoints(z="v1")
        self.delete_endpoint("x")
        health = self.harness.gateway.health.for_endpoint("z")
        health.in_flight = 4
        server.close()
        self.delete_endpoint("z")
        self.assertTrue(self.client.transport.aborted)
        self.harness.link.sent.clear()
        self.put_endpoints(y="v1")
        self.harness.reactor.advance(1.0)
        self.assertEqual(self.pending(), [])
        demand = self.harness.link.sent[-1].demands[0]
        self.assertEqual((demand.waiting, demand.in_flight), (0, 0))


class ResumptionTest(SoftwareVersionTestCase):
    def test_a_stream_that_a_client_resumes_does_not_continue_at_another_version(self):
        self.put_endpoints(x="v1")
        self.begin_stream()
        self.put_endpoints(y="v1.1")
        self.delete_endpoint("x")
        self.client.disconnect_client()
        client = self.resume(b"2", b"1")
        self.assertEqual(self.pending(), [])
        self.assertEqual(client.status, 503)
        self.assertNotIn(b"Retry-After", client.received)

    def test_a_stream_that_a_client_resumes_continues_at_its_version(self):
        self.put_endpoints(x="v1")
        self.begin_stream()
        self.put_endpoints(y="v1.1", z="v1")
        self.client.disconnect_client()
        self.make_busy("x", "z")
        client = self.resume(b"2", b"1")
        server = self.harness.connect()
        self.assertIn(server.port, (PORT_BY_ID["x"], PORT_BY_ID["z"]))
        self.assertEqual(server.header(b"last-event-id"), b"1")
        server.begin_stream(b"2")
        server.chunk(EVENT_2)
        server.send_bytes(LAST_CHUNK)
        self.assertEqual(client.response(), (200, EVENT_2, True))

    def test_a_stream_is_resumed_at_another_entry_and_after_its_entry_restarted(self):
        self.put_endpoints(x="v1")
        self.begin_stream()
        self.client.disconnect_client()
        self.put_endpoints(y="v1.1", z="v1")
        self.delete_endpoint("x")
        other = self.open_entry()
        self.make_busy("z", harness=other)
        self.resume(b"2", b"1", other)
        self.assertEqual(self.pending(other), [PORT_BY_ID["z"]])

    def test_a_stream_whose_version_is_gone_is_refused_at_another_entry_at_once(self):
        self.put_endpoints(x="v1")
        self.begin_stream()
        self.put_endpoints(y="v1.1")
        self.delete_endpoint("x")
        other = self.open_entry()
        client = self.resume(b"2", b"1", other)
        self.assertEqual((client.status, self.pending(other)), (503, []))

    def test_each_member_alone_tells_where_a_stream_began(self):
        self.put_endpoints(x="v1")
        self.begin_stream()
        self.put_endpoints(y="v1.1")
        for lost in range(3):
            self.members.silent = {
                item.node_address
                for number, item in enumerate(self.members.addresses)
                if number != lost
            }
            other = self.open_entry()
            self.make_busy("x", harness=other)
            self.resume(b"2", b"1", other)
            self.assertEqual(self.pending(other), [PORT_BY_ID["x"]])

    def test_a_stream_that_no_member_knows_is_refused_at_once(self):
        self.put_endpoints(x="v1")
        client = self.resume(b"2", b"unknown")
        self.assertEqual((client.status, self.pending()), (503, []))
        self.assertNotIn(b"Retry-After", client.received)

    def test_a_stream_is_refused_with_a_retry_time_if_members_do_not_answer(self):
        self.put_endpoints(x="v1")
        self.members.silent = {self.members.addresses[0].node_address}
        client = self.resume(b"2", b"unknown")
        self.assertIsNone(client.status)
        self.harness.reactor.advance(LOOKUP_TIMEOUT_S)
        self.assertEqual((client.status, self.pending()), (503, []))
        self.assertIn(b"Retry-After: 0.30", client.received)

    def test_a_stream_of_unknown_origin_continues_if_members_know_only_one_version(self):
        self.put_endpoints(x="v1", y="v1.1")
        self.members.only_origin = StreamOrigin("lm", "v1.1")
        for number, resumed_id in enumerate((b"", b"unknown")):
            self.resume(b"2%d" % number, resumed_id)
            self.assertEqual(self.pending(), (number + 1) * [PORT_BY_ID["y"]])

    def test_a_stream_of_unknown_origin_is_refused_if_several_versions_served(self):
        self.put_endpoints(x="v1", y="v1.1")
        for number, resumed_id in enumerate((b"", b"unknown")):
            client = self.resume(b"2%d" % number, resumed_id)
            self.assertEqual((client.status, self.pending()), (503, []))

    def test_a_stream_of_unknown_origin_is_refused_without_members(self):
        self.put_endpoints(x="v1")
        self.harness.link.origin_members = []
        client = self.resume(b"2", b"")
        self.assertEqual((client.status, self.pending()), (503, []))
        self.assertIn(b"Retry-After: 0.30", client.received)

    def test_a_stream_that_began_at_an_unknown_version_is_refused(self):
        self.put_endpoints(x="")
        self.begin_stream()
        client = self.resume(b"2", b"1")
        self.assertEqual((client.status, self.pending()), (503, []))

    def test_a_stream_that_was_resumed_twice_keeps_its_version(self):
        self.put_endpoints(x="v1")
        self.begin_stream()
        self.put_endpoints(y="v1.1", z="v1")
        self.delete_endpoint("x")
        self.resume(b"2", b"1")
        server = self.harness.connect()
        server.begin_stream(b"2")
        server.chunk(EVENT_2)
        self.members.exchange_messages(self.harness)
        self.delete_endpoint("z")
        for resumed_id in (b"1", b"2"):
            client = self.resume(b"3", resumed_id, self.open_entry())
            self.assertEqual(client.status, 503)

    def test_a_stream_continues_in_its_pool_also_where_the_route_has_several(self):
        self.put_endpoints(x="v1")
        self.begin_stream()
        split = route("live", STREAM_PATH, RouteKind.STREAM, "lm", resumable=True)
        split = msgspec.structs.replace(split, pools=(*split.pools, WeightedPool("lm2", 1_000.0)))
        engine = self.harness.link.table.pool_by_name["lm"].engine
        for number in range(10):
            other = self.open_entry()
            row = endpoint("w", "lm2", 6, models=("m",), software_version="v1")
            other.put_rows(PoolRow("lm2", "/", 10, engine), row)
            other.put_rows(split)
            other.gateway.routes = RouteIndex(other.link.table.route_by_name.values())
            self.resume(b"2%d" % number, b"1", other)
            self.assertEqual(self.pending(other), [PORT_BY_ID["x"]])

    def test_a_stream_whose_pool_left_the_route_is_refused(self):
        moved = route("live", STREAM_PATH, RouteKind.STREAM, "shop", resumable=True)
        pools = (*moved.pools, WeightedPool("lm", 0.0))
        for changed in (moved, msgspec.structs.replace(moved, pools=pools)):
            with self.subTest(pools=changed.pools):
                self.harness = self.open_entry()
                self.client = self.harness.client()
                self.put_endpoints(x="v1")
                self.begin_stream()
                self.harness.put_rows(changed)
                rows = self.harness.link.table.route_by_name.values()
                self.harness.gateway.routes = RouteIndex(rows)
                client = self.resume(b"2", b"1")
                self.assertEqual((client.status, self.pending()), (503, []))

    def test_a_client_that_leaves_during_the_lookup_gets_no_endpoint(self):
        self.put_endpoints(x="v1")
        self.begin_stream()
        other = self.open_entry()
        client = other.client()
        extra = MODEL + b"X-Resumed-Request: 1\r\nLast-Event-Id: 1\r\n"
        client.send_request(STREAM_PATH, b"2", left_ms=8_000, extra=extra)
        client.disconnect_client()
        self.members.exchange_messages(other)
        self.assertEqual(self.pending(other), [])

    def test_a_stream_bound_to_a_version_does_not_hold_up_others(self):
        self.put_endpoints(x="v1")
        self.begin_stream()
        self.put_endpoints(y="v1.1", z="v1")
        self.delete_endpoint("x")
        self.harness.gateway.health.for_endpoint("z").in_flight = 4
        self.resume(b"2", b"1", left_ms=3_000)
        self.assertEqual(self.pending(), [])
        self.harness.client().send_request(STREAM_PATH, b"3", left_ms=12_000, extra=MODEL)
        self.assertEqual(self.pending(), [PORT_BY_ID["y"]])

    def test_the_header_means_nothing_on_other_routes(self):
        client = self.resume(b"2", b"1", path=IDEMPOTENT_PATH)
        self.harness.connect().answer(b"ok", request_id=b"2")
        self.assertEqual(client.status, 200)
