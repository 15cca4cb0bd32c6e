"""Test how an entry chooses endpoints by reported loads that are old."""

import random
import unittest
from collections import Counter

from support_gateway import STREAM_PATH, SingleClientTestCase, endpoint

from hemlockdock_core.messages import EndpointLoad, LoadSummary, load_key
from hemlockdock_core.rows import EngineSpec, PoolRow
from hemlockdock_entry.balancing import LoadBalancer, LoadView
from hemlockdock_entry.gateway.endpoint_health import EndpointHealthTracker

SLOTS = 32
POOL = PoolRow("lm", "/", 0, EngineSpec(SLOTS, 1_000, 1, 80.0, 4, 0.0, 0.0, 1.0, ()))
MODEL = b"X-Use-Model: m\r\n"


def load(name, running, age_ms=0, waiting=0, cache=0, speed=0.0):
    return EndpointLoad(load_key(name), running, waiting, cache, round(speed * 1_000), age_ms)


class BalancingTestCase(unittest.TestCase):
    def setUp(self):
        self.view = LoadView()
        self.health = EndpointHealthTracker("d", random.Random(7))
        self.balancer = LoadBalancer(self.view, self.health)
        self.rows = [endpoint(name, "lm") for name in "abcd"]
        self.row = self.rows[0]

    def record(self, *loads, now_s=10.0):
        self.view.record(LoadSummary(loads), self.rows, {"lm": POOL}, now_s)

    def send(self, row, count, now_s):
        for _ in range(count):
            self.health.for_endpoint(row.endpoint_id).in_flight += 1
            self.view.record_sent(row.endpoint_id, now_s)

    def others(self, now_s, row=None):
        return self.view.others(row or self.row, SLOTS, now_s).mean

    def counts(self, now_s=10.0, choices=400, **options):
        chosen = [self.balancer.choose(self.rows, now_s, **options) for _ in range(choices)]
        return Counter(row.endpoint_id for row in chosen)


class LoadViewTest(BalancingTestCase):
    def test_own_requests_are_not_counted_twice(self):
        """They would count as requests of others too, and the endpoint seem full."""
        self.send(self.row, 3, 9.0)
        self.send(self.row, 2, 9.8)
        self.record(load("a", 10, age_ms=500))
        self.assertEqual(self.others(9.5), 7)

    def test_own_requests_that_ended_after_the_report_are_no_requests_of_others(self):
        """An endpoint would seem loaded for as long as its report is used."""
        self.send(self.row, 3, 9.0)
        for _ in range(3):
            self.view.record_ended(self.row, None, 9.8)
        self.record(load("a", 3, age_ms=500))
        self.assertEqual(self.others(9.5), 0)

    def test_an_older_report_counts_less_against_the_mean_of_the_pool(self):
        """An entry would otherwise follow reports of requests that have ended."""
        self.record(load("a", 0), load("b", 20), load("c", 20), load("d", 20))
        found = [self.others(now_s) for now_s in (10.0, 11.0, 12.9)]
        self.assertEqual(found[0], 0)
        self.assertLess(found[0], found[1])
        self.assertLess(found[1], found[2])
        self.assertLess(found[2], 15.0)
        self.assertEqual(self.others(13.1), 15.0)

    def test_an_older_report_that_arrives_late_is_not_used(self):
        """Messages may arrive out of order; an old load would replace a newer one."""
        self.record(load("a", 5, age_ms=100))
        self.record(load("a", 9, age_ms=900))
        self.assertEqual(self.others(9.9), 5)

    def test_endpoints_that_share_a_key_have_no_known_load(self):
        """One endpoint's load would otherwise be taken for that of another."""
        # These two names have the same CRC-32.
        self.rows = [endpoint("plumless", "lm"), endpoint("buckeroo", "lm")]
        self.record(load("plumless", 5))
        self.assertIsNone(self.view.load("plumless", 10.0))

    def test_loads_of_absent_endpoints_are_removed(self):
        """Loads of removed endpoints would stay in memory and in the mean of the pool."""
        self.record(load("a", 5))
        self.rows = self.rows[1:]
        self.record(load("b", 5))
        self.assertIsNone(self.view.load("a", 10.0))


class LoadBalancerTest(BalancingTestCase):
    def test_a_loaded_endpoint_gets_fewer_requests(self):
        """Reported differences between endpoints would otherwise persist."""
        self.record(load("a", 30), load("b", 4), load("c", 4), load("d", 4))
        counts = self.counts()
        self.assertLess(counts["a"], 20)
        self.assertGreater(min(counts[name] for name in "bcd"), 80)

    def test_the_least_loaded_endpoint_does_not_get_all_requests_of_stale_entries(self):
        """All entries would overload it together before the next report."""
        self.record(*(load(name, 10 + number, age_ms=1_500) for number, name in enumerate("abcd")))
        self.assertLess(self.counts()["a"], 240)

    def test_faster_endpoints_are_candidates_more_often(self):
        """Slow endpoints would otherwise get as many requests as fast ones."""
        self.record(
            *(
                load(name, 0, speed=speed)
                for name, speed in zip("abcd", (6, 10, 10, 16), strict=True)
            )
        )
        counts = self.counts()
        self.assertGreater(counts["d"], 1.8 * counts["a"])

    def test_the_speed_of_a_slow_endpoint_is_known_longer_than_its_load(self):
        """Slow endpoints would otherwise get as much as others between summaries."""
        speeds = zip("abcd", (6, 10, 10, 16), strict=True)
        self.record(*(load(name, 10, speed=speed) for name, speed in speeds))
        self.record(load("b", 10), load("c", 10), now_s=14.0)
        counts = self.counts(now_s=14.0, choices=4_000)
        self.assertGreater(counts["d"], 1.8 * counts["a"])

    def test_a_claimed_speed_is_bounded(self):
        """An endpoint could otherwise attract all requests by what it reports."""
        speeds = (10, 10, 10, 60_000)
        self.record(
            *(load(name, 0, speed=speed) for name, speed in zip("abcd", speeds, strict=True))
        )
        self.assertLess(self.counts()["d"], 380)

    def test_claimed_idleness_does_not_outweigh_slow_first_bytes(self):
        """An endpoint that reports falsely would otherwise attract requests."""
        self.record(load("a", 0), load("b", 10), load("c", 10), load("d", 10))
        for name, latency_s in zip("abcd", (9.0, 0.2, 0.2, 0.2), strict=True):
            self.health.for_endpoint(name).record_response(latency_s)
        self.assertLess(self.counts()["a"], 40)

    def test_an_endpoint_that_reports_nothing_is_taken_for_an_average_one(self):
        """It would otherwise seem idle and attract requests."""
        self.record(load("b", 10), load("c", 10), load("d", 10))
        self.assertLess(self.counts()["a"], 160)

    def test_without_fresh_reports_the_own_view_is_used(self):
        """An entry without contact to the leader would choose by old loads."""
        self.record(load("a", 30), load("b", 0))
        self.send(self.rows[1], 1, 10.0)
        self.assertEqual(self.counts(now_s=13.1)["b"], 0)

    def test_ejected_and_full_and_excluded_endpoints_are_not_chosen(self):
        """Requests would go to endpoints that fail or refuse them."""
        self.record(*(load(name, 5, age_ms=50) for name in "abcd"))
        self.health.for_endpoint("a").ejected_until_s = 11.0
        self.health.for_endpoint("b").record_full(10.0, 1.0)
        self.assertEqual(set(self.counts(excluded_ids={"c"})), {"d"})

    def test_a_rejecting_endpoint_stays_full_until_a_newer_report(self):
        """Requests would otherwise be sent and refused again and again."""
        self.record(load("a", 5, age_ms=50))
        self.view.record_rejected("a", 10.0)
        self.assertFalse(self.balancer.has_room(self.row, 9, 10.5))
        self.record(load("a", 5, age_ms=700), now_s=10.6)
        self.assertFalse(self.balancer.has_room(self.row, 9, 10.6))
        self.record(load("a", 5, age_ms=100), now_s=10.8)
        self.assertTrue(self.balancer.has_room(self.row, 9, 10.8))

    def test_free_slots_are_what_the_report_and_own_requests_leave(self):
        """An engine would otherwise get more requests than it has slots."""
        self.record(load("a", 30))
        self.assertTrue(self.balancer.has_room(self.row, 1, 10.0))
        self.send(self.row, 2, 10.0)
        self.assertFalse(self.balancer.has_room(self.row, 99, 10.0))

    def test_the_most_urgent_requests_do_not_wait_for_a_free_slot(self):
        """They would wait for a report or two, while engines admit them ahead of all others."""
        self.record(load("a", 60))
        self.assertFalse(self.balancer.has_room(self.row, 2, 10.0))
        self.assertTrue(self.balancer.has_room(self.row, 2, 10.0, may_preempt=True))
        self.send(self.row, 2, 10.0)
        self.assertFalse(self.balancer.has_room(self.row, 2, 10.0, may_preempt=True))

    def test_no_request_is_sent_to_an_endpoint_that_has_just_refused_one(self):
        """The most urgent ones would otherwise be refused again and again."""
        self.record(load("a", 60, age_ms=50))
        self.view.record_rejected("a", 10.0)
        self.assertFalse(self.balancer.has_room(self.row, 9, 10.1, may_preempt=True))

    def test_endpoints_that_hold_the_adapter_are_preferred(self):
        """Adapters would otherwise be loaded at every endpoint."""
        self.record(*(load(name, 10) for name in "abcd"))
        self.assertGreater(self.counts(preferred_ids={"c"})["c"], 360)

    def test_requests_that_may_crash_their_endpoint_all_go_to_one(self):
        """They would otherwise crash several endpoints."""
        self.record(*(load(name, 10) for name in "abcd"))
        self.assertEqual(len(self.counts(apart=True)), 1)


class GatewayLoadTest(SingleClientTestCase):
    def record(self, **running_by_name):
        loads = tuple(load(name, running) for name, running in running_by_name.items())
        self.harness.gateway.selection.record_loads(LoadSummary(loads))

    def send_request(self, request_id):
        client = self.harness.client()
        client.send_request(STREAM_PATH, request_id=request_id, left_ms=12_000, extra=MODEL)

    def test_a_request_goes_to_the_endpoint_with_room(self):
        """The gateway could choose without the summaries that it records."""
        self.harness.put_rows(
            *(endpoint(name, "lm", port, ("m",)) for name, port in (("x", 3), ("y", 4)))
        )
        self.record(x=8, y=2)
        for number in range(5):
            self.send_request(b"%d" % number)
        self.assertEqual({self.connect().port for _ in range(self.pending_connections)}, {4})

    def test_a_request_waits_while_every_engine_is_full_and_is_sent_by_newer_reports(self):
        """It would be refused, or wait until a request of its own entry ends."""
        self.harness.put_rows(endpoint("x", "lm", 3, ("m",)))
        self.record(x=8)
        self.send_request(b"1")
        self.assertEqual(self.pending_connections, 0)
        self.record(x=3)
        self.harness.gateway.model_queue.check_waiting()
        self.assertEqual(self.pending_connections, 1)

    def test_an_entry_may_use_all_slots_that_others_leave(self):
        """The limit for unknown loads would otherwise leave slots idle."""
        self.harness.put_rows(endpoint("x", "lm", 3, ("m",)))
        self.record(x=0)
        for number in range(9):
            self.send_request(b"%d" % number)
        self.assertEqual(self.pending_connections, 8)


if __name__ == "__main__":
    unittest.main()
