"""Test that an answer which is passed on never promises that its request has not run."""

import unittest

import msgspec
from support import coordinator, table
from twisted.internet.defer import succeed
from twisted.internet.task import Clock
from twisted.web.test.requesthelper import DummyRequest

from hemlockdock_core.commands import CommandResult
from hemlockdock_entry.callers.http_reply import HttpReply
from hemlockdock_entry.callers.service_reply import ServiceReply
from hemlockdock_entry.jobs import JobClient
from hemlockdock_entry.run_once import StoredAnswer
from hemlockdock_entry.services import ServiceAnswer
from hemlockdock_entry.streams import StreamPosition

PROMISES = (408, 421, 429, 503)
PLAIN_STATUSES = (200, 404, 409, 500, 502, 504)
DETAIL = b"detail"


class RelayedStatusTest(unittest.TestCase):
    """Answers of services and engines, told at once or kept and told again."""

    def pass_on_service_answer(self, status):
        request = DummyRequest([])
        ServiceReply(request, "q1").answer(ServiceAnswer(status, {}, DETAIL))
        return request.responseCode, b"".join(request.written)

    def pass_on_engine_answer(self, status):
        request = DummyRequest([])
        reply = HttpReply(request, Clock(), "q1", 1.0)
        reply.head(status, "application/json", StreamPosition("q1", "agent-1"))
        reply.data(DETAIL)
        reply.end()
        return request.responseCode, b"".join(request.written)

    def read_job(self, status):
        answer = StoredAnswer(status, "text/plain", DETAIL)
        result = CommandResult(1, state="done", payload=msgspec.msgpack.encode(answer))
        coord = coordinator(table())
        coord.link.propose = lambda command, timeout_ms: succeed(result)
        client = JobClient(coord)
        seen = []
        client.read("j1", "caller").addCallback(seen.append)
        view = seen[0].ok()
        return view["status"], view["result"].encode()

    def test_a_failure_after_a_run_is_told_as_a_promise(self):
        # Guards against a bare 408, 421, 429 or 503 of a service or engine that reaches a caller.
        for tell in (self.pass_on_service_answer, self.pass_on_engine_answer, self.read_job):
            for status in PROMISES:
                with self.subTest(tell=tell.__name__, status=status):
                    self.assertEqual(tell(status), (502, DETAIL))

    def test_other_statuses_are_passed_on_unchanged(self):
        for tell in (self.pass_on_service_answer, self.pass_on_engine_answer, self.read_job):
            for status in PLAIN_STATUSES:
                with self.subTest(tell=tell.__name__, status=status):
                    self.assertEqual(tell(status), (status, DETAIL))


if __name__ == "__main__":
    unittest.main()
