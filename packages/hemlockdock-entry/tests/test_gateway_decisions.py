"""Unit tests of the gateway's retry, routing, waiting and endpoint selection logic."""

import random
import unittest

from support_gateway import endpoint, route

from hemlockdock_core.rows import RouteKind
from hemlockdock_core.settings import parse_settings
from hemlockdock_entry.gateway.endpoint_health import (
    FAILURES_BEFORE_EJECTION,
    MAX_EJECTION_S,
    EndpointHealthTracker,
)
from hemlockdock_entry.gateway.event_stream import EventSplitter
from hemlockdock_entry.gateway.outcome import NextMove, RequestState, TryOutcome, next_move
from hemlockdock_entry.gateway.patience import Patience, may_wait, retry_after_ms
from hemlockdock_entry.gateway.route_index import RouteIndex
from hemlockdock_entry.gateway.windowed_retry_budget import WindowedRetryBudget

SETTINGS = (
    "[process]\nnode_id = e\nroles = entry\nhost = h\nfailure_domain = d\n"
    "[listen]\nlinks = tcp://127.0.0.1:1\nready = 127.0.0.1:2\n"
    "[fleet]\nseeds = 127.0.0.9:1\nretry_ratio = 0.2\nretry_slack = 50\n"
)


def fleet():
    return parse_settings(SETTINGS, "test").fleet


class NextMoveTest(unittest.TestCase):
    def move(self, outcome, allowed=True, **state):
        known = {
            "may_repeat": True,
            "may_have_run": False,
            "response_started": False,
            "endpoints_tried": 1,
            "most_endpoints": 2,
            "may_connect": True,
            "left_s": 1.0,
        }
        known.update(state)
        return next_move(outcome, RequestState(**known), lambda: allowed)

    def test_at_most_once_request_is_not_resent_after_it_may_have_run(self):
        for outcome in TryOutcome:
            for began in (False, True):
                move = self.move(
                    outcome, may_repeat=False, may_have_run=True, response_started=began
                )
                self.assertIsNot(move, NextMove.TRY_AGAIN, outcome)
                self.assertIsNot(move, NextMove.REFUSE_NOT_RUN, outcome)

    def test_at_most_once_request_is_resent_if_it_did_not_run(self):
        self.assertIs(self.move(TryOutcome.NOT_RUN, may_repeat=False), NextMove.TRY_AGAIN)

    def test_no_retry_beyond_the_endpoint_limit_of_the_route(self):
        move = self.move(TryOutcome.NOT_RUN, endpoints_tried=2)
        self.assertIs(move, NextMove.REFUSE_NOT_RUN)

    def test_unsent_request_does_not_use_the_retry_budget(self):
        self.assertIs(self.move(TryOutcome.NOT_SENT, allowed=False), NextMove.TRY_AGAIN)
        self.assertIs(self.move(TryOutcome.NOT_RUN, allowed=False), NextMove.REFUSE_NOT_RUN)

    def test_connection_attempts_are_limited(self):
        move = self.move(TryOutcome.NOT_SENT, may_connect=False)
        self.assertIs(move, NextMove.REFUSE_NOT_RUN)

    def test_started_response_is_aborted(self):
        move = self.move(
            TryOutcome.BROKEN_OFF, may_repeat=False, may_have_run=True, response_started=True
        )
        self.assertIs(move, NextMove.BREAK_OFF)

    def test_no_retry_without_time_left(self):
        move = self.move(TryOutcome.UNKNOWN, may_have_run=True, left_s=0.01)
        self.assertIs(move, NextMove.REPORT_UNKNOWN)


class RetryAllowanceTest(unittest.TestCase):
    def test_retries_of_all_entries_stay_below_the_limit_in_every_window(self):
        entries = 5
        budgets = [WindowedRetryBudget(fleet()) for _ in range(entries)]
        sends = []
        requests = []
        now_s = 0.0
        for step in range(6_000):
            now_s += 0.01
            budget = budgets[step % entries]
            budget.record_request(now_s)
            requests.append(now_s)
            while budget.try_spend(now_s, entries):
                sends.append(now_s)
        for start in range(50):
            counted = sum(start <= at < start + 10 for at in sends)
            asked = sum(start <= at < start + 10 for at in requests)
            self.assertLessEqual(counted, 0.2 * asked + 50)


class PatienceTest(unittest.TestCase):
    def patience(self, left_s=12.0):
        live = route("live", "/l/", RouteKind.STREAM)
        return Patience.of(live, fleet(), 100.0, 100.0 + left_s)

    def test_patience_is_two_seconds_for_a_short_target(self):
        self.assertEqual(self.patience().until_s, 102.0)
        self.assertEqual(self.patience(1.0).until_s, 101.0)

    def test_request_waits_only_for_a_model_ready_in_time(self):
        self.assertTrue(may_wait(self.patience(), None, 100.0))
        self.assertTrue(may_wait(self.patience(), 101.5, 100.0))
        self.assertFalse(may_wait(self.patience(), 101.9, 100.0))
        self.assertFalse(may_wait(self.patience(), 100.0, 101.9))

    def test_request_does_not_wait_if_the_minimum_load_time_is_too_long(self):
        self.assertTrue(may_wait(self.patience(), None, 100.0, least_s=1.7))
        self.assertFalse(may_wait(self.patience(), None, 100.0, least_s=1.8))
        self.assertTrue(may_wait(self.patience(), 101.5, 100.0, least_s=6.0))

    def test_retry_time_follows_the_minimum_load_time(self):
        self.assertEqual(retry_after_ms(120.0, None, 100.0, least_s=6.0), 6_200)
        self.assertEqual(retry_after_ms(112.0, None, 100.0, least_s=6.0), 3_900)

    def test_retry_time_is_limited_to_what_clients_accept(self):
        self.assertEqual(retry_after_ms(112.0, 103.0, 100.0), 3_200)
        self.assertEqual(retry_after_ms(112.0, 106.0, 100.0), 3_900)
        self.assertEqual(retry_after_ms(112.0, None, 100.0), 1_500)
        self.assertEqual(retry_after_ms(103.0, None, 100.0), 900)


class EventSplitterTest(unittest.TestCase):
    def test_only_complete_events_pass_for_any_chunking(self):
        events = b"".join(b"id: %d\ndata: %b\n\n" % (n, b"x" * n) for n in range(1, 30))
        source = random.Random(7)
        splitter = EventSplitter()
        passed = b""
        remaining = events + b"id: 99\nda"
        while remaining:
            size = source.randint(1, 40)
            passed += splitter.feed(remaining[:size])
            remaining = remaining[size:]
            self.assertTrue(passed == b"" or passed.endswith(b"\n\n"))
        self.assertEqual(passed, events)
        self.assertEqual((splitter.last_id, splitter.event_count), (b"29", 29))
        self.assertTrue(splitter.has_partial)


class RouteIndexTest(unittest.TestCase):
    def test_longest_prefix_matches(self):
        index = RouteIndex(
            [
                route("short", "/a/", RouteKind.IDEMPOTENT),
                route("long", "/a/b/", RouteKind.IDEMPOTENT),
            ]
        )
        found = {
            path: getattr(index.find(b"Shop:80", path), "name", None)
            for path in (b"/a/x", b"/a/b/x", b"/a/b", b"/ab/", b"/")
        }
        self.assertEqual(
            found,
            {b"/a/x": "short", b"/a/b/x": "long", b"/a/b": "short", b"/ab/": None, b"/": None},
        )
        self.assertIsNone(index.find(b"other", b"/a/x"))


class EndpointHealthTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = EndpointHealthTracker("d", random.Random(1))
        self.rows = [endpoint("a"), endpoint("b")]

    def test_less_loaded_endpoint_is_chosen(self):
        self.tracker.for_endpoint("a").in_flight = 3
        self.assertEqual(self.tracker.choose(self.rows, 0.0).endpoint_id, "b")

    def test_failing_endpoint_is_ejected_and_returns(self):
        for _ in range(FAILURES_BEFORE_EJECTION):
            self.tracker.for_endpoint("a").record_failure(0.0)
        self.tracker.for_endpoint("b").in_flight = 7
        self.assertEqual(self.tracker.choose(self.rows, 0.5).endpoint_id, "b")
        self.tracker.for_endpoint("a").record_response(0.1)
        self.tracker.for_endpoint("b").record_response(0.1)
        self.assertEqual(self.tracker.choose(self.rows, MAX_EJECTION_S).endpoint_id, "a")

    def test_an_endpoint_is_chosen_even_if_all_are_ejected(self):
        for name in "ab":
            for _ in range(9):
                self.tracker.for_endpoint(name).record_failure(0.0)
        self.assertIsNotNone(self.tracker.choose(self.rows, 0.1))

    def test_partially_failing_endpoint_is_avoided(self):
        for _ in range(20):
            self.tracker.for_endpoint("a").record_failure(0.0)
            self.tracker.for_endpoint("a").record_response(0.1)
            self.tracker.for_endpoint("b").record_response(0.1)
        self.tracker.for_endpoint("b").in_flight = 1
        self.assertEqual(self.tracker.choose(self.rows, 99.0).endpoint_id, "b")


if __name__ == "__main__":
    unittest.main()
