"""Test that a resumed stream comes from one software version, whatever was lost in which order."""

import logging
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from benchmarks.stream_orders import (  # noqa: E402
    LONG_GAP_S,
    ControlChange,
    Deadline,
    Event,
    Order,
    Play,
    Record,
    RouteChange,
    search,
)

# One order of so many, and not the same ones of each kind: the number is prime.
EVERY = 251
BEGIN = Event.BEGIN
KILL = Event.KILL_ENTRIES
RESUME = Event.RESUME
ADD = Event.ADD_VERSION
REMOVE = Event.REMOVE_VERSION
CONTROL = Event.CHANGE_CONTROL
ROUTE = Event.CHANGE_ROUTE


class StreamOrdersTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def play(self, *events, long_gap=0, **changes):
        circumstances = {
            "record": Record.NONE,
            "control": ControlChange.NONE,
            "route": RouteChange.NONE,
            "deadline": Deadline.OF_ROUTE,
            "is_named": True,
            **changes,
        }
        outcome = Play(Order(3, events, long_gap, **circumstances)).run()
        self.assertFalse(outcome.joined)
        return outcome

    def test_no_order_of_events_joins_two_versions(self):
        counts = search(EVERY)
        self.assertGreater(counts.orders, 1_000)
        self.assertGreater(counts.resumed, 200)
        self.assertEqual(counts.joined, [])

    def test_a_client_without_a_deadline_is_not_taken_to_have_begun_just_now(self):
        self.play(BEGIN, ADD, REMOVE, KILL, RESUME, long_gap=4, deadline=Deadline.NONE)

    def test_a_client_may_wait_longer_than_its_route(self):
        self.play(BEGIN, ADD, REMOVE, KILL, RESUME, long_gap=4, deadline=Deadline.BEYOND_ROUTE)

    def test_a_route_whose_timeout_became_shorter_tells_too_short_a_wait(self):
        changed = RouteChange.SHORTER_TIMEOUT
        self.play(BEGIN, ADD, REMOVE, ROUTE, KILL, RESUME, long_gap=5, route=changed)

    def test_a_stream_does_not_continue_at_the_pool_that_its_route_leads_to_now(self):
        self.play(BEGIN, KILL, ROUTE, RESUME, route=RouteChange.OTHER_POOL)

    def test_a_stream_of_the_only_version_continues_after_a_new_leader(self):
        changed = ControlChange.NEXT_LEADER
        outcome = self.play(BEGIN, CONTROL, KILL, RESUME, long_gap=3, control=changed)
        self.assertEqual((outcome.resumed, outcome.refused), (2, 0))

    def test_a_stream_of_the_only_version_continues_after_all_members_restarted(self):
        self.assertLess(LONG_GAP_S, 10.0)
        changed = ControlChange.ALL_RESTART
        outcome = self.play(BEGIN, CONTROL, KILL, RESUME, control=changed)
        self.assertEqual((outcome.resumed, outcome.refused), (2, 0))

    def test_a_named_stream_continues_beside_another_version_if_one_member_has_its_record(self):
        for changed in (ControlChange.NONE, ControlChange.LEADER_RESTARTS):
            outcome = self.play(
                BEGIN, Event.RECORD, ADD, CONTROL, KILL, RESUME, record=Record.ONE, control=changed
            )
            self.assertEqual((outcome.resumed, outcome.refused), (2, 0))


if __name__ == "__main__":
    unittest.main()
