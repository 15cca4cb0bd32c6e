"""Test what an entry that is shutting down still starts on its own interface."""

import unittest

from support import FakeReply, add_replica, coordinator, request, table
from support_service import URLS, ServiceCallTestCase

from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.messages import Dispatch, Refused
from hemlockdock_core.rows import ServiceRow
from hemlockdock_entry.tasks.exchange import Exchange

STOP_S = 3.0
RUN_S = 0.5


class PlannedStopTest(unittest.TestCase):
    def setUp(self):
        rows = table()
        add_replica(rows, "x1", "x1", slots=1)
        self.coordinator = coordinator(rows)

    def send(self, number, **changes):
        asked = request(number, **{"deadline_at": 40.0, **changes})
        reply = FakeReply()
        self.coordinator.submit(Exchange(self.coordinator, asked, reply))
        return reply

    def dispatched(self):
        return [sent for sent in self.coordinator.link.sent if isinstance(sent, Dispatch)]

    def begin_stop(self):
        self.coordinator.draining = True
        self.coordinator.planned_stop.begin(STOP_S)
        self.coordinator.tick()

    def test_a_queued_request_that_the_stop_would_cut_off_is_refused_at_once(self):
        running, queued = self.send(1), self.send(2)
        self.begin_stop()
        self.assertIsNone(running.refusal)
        self.assertIs(queued.refusal.kind, ErrorKind.DRAINING)
        self.assertIs(queued.refusal.not_run, NotRun.TRUE)

    def test_a_queued_request_goes_on_if_its_deadline_or_the_runs_of_its_model_are_short(self):
        self.send(1)
        bounded = self.send(2, deadline_at=STOP_S)
        self.begin_stop()
        self.assertIsNone(bounded.refusal)
        self.coordinator.service_times.record("m", RUN_S)
        self.coordinator.draining = False
        unbounded = self.send(3)
        self.coordinator.tick()
        self.assertIsNone(unbounded.refusal)

    def test_a_refused_run_is_not_started_again_where_the_stop_would_cut_it_off(self):
        reply = self.send(1)
        self.begin_stop()
        dispatch = self.dispatched()[-1]
        refusal = Refusal.of(ErrorKind.ENGINE_REFUSED, "full")
        frame = Refused(dispatch.request_id, dispatch.attempt, refusal)
        self.coordinator.attempts.handle(frame, "x1")
        self.coordinator.clock.advance(0.5)
        self.assertEqual(len(self.dispatched()), 1)
        self.assertIs(reply.refusal.kind, ErrorKind.DRAINING)


class ServiceStopTest(ServiceCallTestCase):
    def test_a_queued_call_that_the_stop_would_cut_off_is_not_sent(self):
        self.table.put(ServiceRow("shop", URLS[:1], "short", ["GET"], 1))
        self.send()
        queued = self.send()
        self.coord.planned_stop.begin(STOP_S)
        self.clock.advance(STOP_S - 0.1)
        self.answer(200)
        self.assertIs(queued.refusal.kind, ErrorKind.DRAINING)
        self.assertEqual(self.client.calls, [])


if __name__ == "__main__":
    unittest.main()
