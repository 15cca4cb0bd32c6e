"""Test an agent over sockets with a stand-in engine, a fake control and fake entries."""

import unittest

from support_service import AgentServiceTestCase
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks

from hemlockdock_agent.lifecycle import EngineLockedError
from hemlockdock_agent.service import AgentService
from hemlockdock_core.errors import ErrorKind, NotRun
from hemlockdock_core.messages import (
    AnswerEnd,
    AnswerHead,
    Cancel,
    CrashReport,
    Heartbeat,
    Inventory,
    Leaving,
    LoadOrder,
    Refused,
    Resume,
    UnloadOrder,
)
from hemlockdock_standins.engine import answer_body, stream_body


class AgentServiceTest(AgentServiceTestCase):
    @inlineCallbacks
    def test_answers_are_complete_despite_stalls_and_broken_connections(self):
        yield self.load()
        markers = {"q1": "", "q2": "#stall-once", "q3": "#drop"}
        bodies = {name: self.send(name, marker=marker) for name, marker in markers.items()}
        for name, body in bodies.items():
            yield self.until(lambda name=name: self.entry.last((name, 1), AnswerEnd))
            self.assertEqual(self.entry.body((name, 1)), stream_body(body, 20))
        plain = self.send("q4", streaming=False)
        yield self.until(lambda: self.entry.last(("q4", 1), AnswerEnd))
        self.assertEqual(self.entry.body(("q4", 1)), answer_body(plain, 20))
        self.assertEqual(self.engine.ledger.most_runs(), 1)

    @inlineCallbacks
    def test_a_stream_that_an_engine_ends_inside_an_event_is_not_taken_for_complete(self):
        yield self.load()
        body = self.send("q1", marker="#cut")
        yield self.until(lambda: self.entry.last(("q1", 1), AnswerEnd))
        self.assertEqual(self.entry.body(("q1", 1)), stream_body(body, 20))

    @inlineCallbacks
    def test_a_stream_that_stays_stalled_ends_with_a_refusal(self):
        yield self.load()
        self.send("q1", marker="#stall")
        yield self.until(lambda: self.entry.last(("q1", 1), Refused))
        refusal = self.entry.last(("q1", 1), Refused).refusal
        self.assertEqual(refusal.kind, ErrorKind.STREAM_STALLED)
        self.assertIs(refusal.not_run, NotRun.FALSE)

    @inlineCallbacks
    def test_another_entry_resumes_an_answer_after_the_first_entry_is_lost(self):
        yield self.load()
        body = self.send("q1", count=60, resumable=True)
        yield self.until(lambda: len(self.entry.frames["q1", 1]) > 5)
        self.entry.transport.close()
        read = len(self.entry.body(("q1", 1)))
        other = self.open_entry("entry-2")
        other.transport.send(self.agent.node_address, Resume("q1", 7, read))
        yield self.until(lambda: other.last(("q1", 7), AnswerEnd))
        self.assertEqual(other.body(("q1", 7), read), stream_body(body, 60)[read:])
        self.assertIsInstance(other.frames["q1", 7][0], AnswerHead)

    @inlineCallbacks
    def test_a_repeated_dispatch_runs_once(self):
        yield self.load()
        for _ in range(3):
            self.send("q1")
        yield self.until(lambda: self.entry.last(("q1", 1), AnswerEnd))
        self.send("q1")
        yield self.until(lambda: self.entry.last(("q1", 1), Refused))
        self.assertEqual(self.entry.last(("q1", 1), Refused).refusal.not_run, NotRun.FALSE)
        self.assertEqual(self.engine.ledger.most_runs(), 1)

    @inlineCallbacks
    def test_request_counts_are_reported_to_control(self):
        """Control unloads a replica as idle if its request counts are not reported."""
        yield self.load()
        self.send("q1")
        yield self.until(lambda: self.reported_loads() and self.reported_loads()[-1].arrivals)
        self.send("q2")
        yield self.until(lambda: self.reported_loads()[-1].arrivals == 2)

    def reported_loads(self):
        """Return the loads of all heartbeats, in their order."""
        return [load for beat in self.control.received[Heartbeat] for load in beat.loads]

    @inlineCallbacks
    def test_a_cancelled_request_stops_at_the_engine_unless_it_runs_once(self):
        yield self.load()
        self.send("q1", count=2_000)
        once = self.send("q2", count=80, run_once=True, resumable=True)
        yield self.until(lambda: self.entry.frames["q1", 1] and self.entry.frames["q2", 1])
        for name in ("q1", "q2"):
            self.entry.transport.send(self.agent.node_address, Cancel(name, 1))
        yield self.until(lambda: self.engine.requests.running == 1)
        self.entry.transport.send(self.agent.node_address, Resume("q2", 2, 0))
        yield self.until(lambda: self.entry.last(("q2", 2), AnswerEnd))
        self.assertEqual(self.entry.body(("q2", 2)), stream_body(once, 80))

    @inlineCallbacks
    def test_a_crash_is_reported_once_with_what_was_in_flight(self):
        yield self.load()
        self.send("q1", count=2_000, fingerprint="bystander")
        yield self.until(lambda: self.entry.frames["q1", 1])
        self.send("q2", marker="#poison", fingerprint="culprit")
        for name in ("q1", "q2"):
            yield self.until(lambda name=name: self.entry.last((name, 1), Refused))
            refusal = self.entry.last((name, 1), Refused).refusal
            self.assertEqual(refusal.kind, ErrorKind.ENDPOINT_LOST)
            self.assertIs(refusal.not_run, NotRun.UNKNOWN)
        yield self.until(lambda: len(self.control.received[CrashReport]) > 1)
        received = self.control.received[CrashReport]
        reports = {(report.crash_id, *report.fingerprints) for report in received}
        self.assertEqual(len(reports), 1)
        self.assertEqual(reports.pop()[1:], ("bystander", "culprit"))
        yield self.until(lambda: not self.control.received[Inventory][-1].loaded)

    @inlineCallbacks
    def test_a_bare_503_of_an_engine_after_a_run_is_reported_as_not_run(self):
        # Guards against a run-once request that runs again because an engine failed with 503.
        yield self.load()
        self.send("q1", marker="#busy", run_once=True)
        yield self.until(lambda: self.entry.last(("q1", 1), Refused))
        refusal = self.entry.last(("q1", 1), Refused).refusal
        self.assertEqual(self.engine.ledger.most_runs(), 1)
        self.assertEqual(refusal.kind, ErrorKind.ENGINE_REFUSED)
        self.assertEqual((refusal.not_run, refusal.status), (NotRun.UNKNOWN, 502))

    @inlineCallbacks
    def test_an_engine_that_states_that_it_did_not_run_a_request_is_believed(self):
        yield self.load()
        self.send("q1", marker="#reject", run_once=True)
        yield self.until(lambda: self.entry.last(("q1", 1), Refused))
        refusal = self.entry.last(("q1", 1), Refused).refusal
        self.assertEqual((refusal.kind, refusal.not_run), (ErrorKind.ENGINE_REFUSED, NotRun.TRUE))
        self.assertEqual(self.engine.ledger.most_runs(), 0)

    @inlineCallbacks
    def test_the_inventory_ends_an_order_whose_reply_is_lost(self):
        self.engine.options.lose_order_answers = 1
        yield self.load()
        self.assertEqual(self.engine.ledger.most_loaded_by_model, {"m": 1})

    @inlineCallbacks
    def test_an_unload_waits_for_the_requests_in_progress(self):
        yield self.load()
        body = self.send("q1", count=40)
        yield self.until(lambda: self.entry.frames["q1", 1])
        self.order(UnloadOrder("r1", 6, self.control.incarnations[-1]))
        yield self.until(lambda: self.entry.last(("q1", 1), AnswerEnd))
        self.assertEqual(self.entry.body(("q1", 1)), stream_body(body, 40))
        yield self.until(lambda: self.result(6))
        self.assertEqual(self.engine.state.replica_by_id, {})

    @inlineCallbacks
    def test_a_graceful_stop_completes_answers_and_announces_the_departure(self):
        yield self.load()
        body = self.send("q1", count=60)
        yield self.until(lambda: self.entry.frames["q1", 1])
        stopped = self.agent.stop()
        yield self.until(lambda: self.entry.leaving and self.control.received[Leaving])
        self.send("q2")
        yield self.until(lambda: self.entry.last(("q2", 1), Refused))
        refusal = self.entry.last(("q2", 1), Refused).refusal
        self.assertEqual((refusal.kind, refusal.not_run), (ErrorKind.DRAINING, NotRun.TRUE))
        self.assertIn("r1", self.engine.state.replica_by_id)
        yield stopped
        # All replicas were unloaded, so that control can load them elsewhere at once.
        self.assertEqual(self.engine.state.replica_by_id, {})
        yield self.until(lambda: self.entry.last(("q1", 1), AnswerEnd))
        self.assertEqual(self.entry.body(("q1", 1)), stream_body(body, 60))

    @inlineCallbacks
    def test_a_second_agent_of_the_same_engine_does_not_start(self):
        second = AgentService(reactor, self.settings)
        with self.assertRaises(EngineLockedError):
            yield second.start()
        yield second.stop()

    @inlineCallbacks
    def test_an_agent_without_contact_unloads_and_rejoins_under_a_new_incarnation(self):
        yield self.load()
        self.control.silent = True
        yield self.until(lambda: not self.engine.state.replica_by_id)
        self.control.silent = False
        yield self.until(lambda: len(self.control.incarnations) > 1)
        self.order(LoadOrder("r2", 9, "m", "v", 50, 4, 0, self.control.incarnations[0]))
        self.order(LoadOrder("r3", 9, "m", "v", 50, 4, 0, self.control.incarnations[-1]))
        yield self.until(lambda: self.result(9))
        self.assertEqual(set(self.engine.state.replica_by_id), {"r3"})

    @inlineCallbacks
    def test_an_agent_that_held_nothing_also_rejoins_under_a_new_incarnation(self):
        self.control.silent = True
        yield self.until(lambda: self.agent.session.incarnation != self.control.incarnations[0])
        self.control.silent = False
        yield self.until(lambda: len(self.control.incarnations) > 1)
        yield self.load()


if __name__ == "__main__":
    unittest.main()
