"""Test that no refusal claims that a request has not run if it may have."""

import unittest

from support import FakeReply, add_replica, coordinator, request, table
from twisted.internet.task import Clock

from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.messages import AnswerHead, Dispatch, Refused
from hemlockdock_core.rows import QuarantineRow
from hemlockdock_entry.tasks.exchange import Exchange

FAR_FUTURE_MS = 9_000_000_000_000


class RefusalAfterARunTest(unittest.TestCase):
    """One request, whose first attempt was lost with its endpoint."""

    def setUp(self):
        self.clock = Clock()
        self.sent = []
        self.table = table()
        for name in ("agent-1", "agent-2"):
            add_replica(self.table, name, name)
        self.coord = coordinator(self.table, self.send, "", self.clock)
        self.submitted = request(1, deadline_at=30.0)
        self.reply = FakeReply()
        self.coord.submit(Exchange(self.coord, self.submitted, self.reply))

    def send(self, _, message):
        if isinstance(message, Dispatch):
            self.sent.append(message)

    def receive(self, message):
        replica = self.table.replica_by_id[self.sent[-1].replica_id]
        self.coord.attempts.handle(message, replica.node_id)

    def fail_attempt(self, kind):
        last = self.sent[-1]
        self.receive(Refused(last.request_id, last.attempt, Refusal.of(kind, "test")))
        self.clock.advance(0.5)

    def assert_promises_nothing(self):
        self.assertEqual(self.reply.refusal.status, 502)
        self.assertIsNot(self.reply.refusal.not_run, NotRun.TRUE)

    def test_quarantined_after_its_endpoint_was_lost(self):
        row = QuarantineRow(self.submitted.fingerprint, 2, True, FAR_FUTURE_MS)
        self.table.put(row)
        self.fail_attempt(ErrorKind.ENDPOINT_LOST)
        self.assert_promises_nothing()

    def test_refused_by_the_next_endpoint_after_one_was_lost(self):
        self.fail_attempt(ErrorKind.ENDPOINT_LOST)
        self.assertEqual(len(self.sent), 2)
        self.fail_attempt(ErrorKind.QUARANTINED)
        self.assert_promises_nothing()

    def test_shut_down_while_it_runs(self):
        last = self.sent[-1]
        self.receive(AnswerHead(last.request_id, last.attempt, 200, "text/plain"))
        self.coord.refuse_all()
        self.assert_promises_nothing()

    def test_quarantined_before_it_ran(self):
        self.fail_attempt(ErrorKind.QUARANTINED)
        self.assertEqual(self.reply.refusal.status, 503)
        self.assertIs(self.reply.refusal.not_run, NotRun.TRUE)
        self.assertIsNotNone(self.reply.refusal.retry_after_ms)


if __name__ == "__main__":
    unittest.main()
