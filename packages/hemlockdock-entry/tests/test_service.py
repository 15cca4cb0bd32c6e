"""Test an entry over real sockets: requests, streams, misbehaving callers, shutdown."""

import json

import treq
from support import FakeAgent, FakeLink, add_replica, after, settings, table
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol
from twisted.trial import unittest as trial_unittest

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.messages import Wish
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.rows import JobRow, ServiceRow
from hemlockdock_entry.service import EntryService
from hemlockdock_standins.service import StandInService

TIMEOUT_S = 20
SHORT_LIMITS = "[entry]\nheader_timeout_ms = 200\nbody_limit_kb = 1\n"
SHORT_STALL = "[entry]\nstall_ms = 200\n"
# Long enough that a run is not resumed while a test holds its answer.
LONG_STALL = "[entry]\nstall_ms = 60000\n"
JSON_TYPE = "application/json"


class RawCaller(Protocol):
    """Raw TCP client that collects the received bytes until the connection closes."""

    def __init__(self):
        self.received = b""
        self.ended = Deferred()

    def dataReceived(self, data):
        self.received += data

    def connectionLost(self, reason):
        self.ended.callback(self.received)


class EntryTestCase(trial_unittest.TestCase):
    timeout = TIMEOUT_S

    @inlineCallbacks
    def start(self, extra="", parts=None):
        self.routing = table()
        self.agent = FakeAgent(reactor, "agent-1")
        self.addCleanup(self.agent.transport.close)
        if parts is not None:
            self.agent.parts = parts
        add_replica(self.routing, "agent-1", self.agent.transport.address)
        self.link = FakeLink(self.routing)
        self.entry = yield self.start_entry(extra)
        self.url = f"http://{self.entry.http_address}"

    @inlineCallbacks
    def start_entry(self, extra=""):
        entry = EntryService(reactor, settings(extra), lambda *a, **k: self.link)
        yield entry.start()
        self.addCleanup(entry.stop)
        return entry

    def post(self, content, path="/v1/completions", **headers):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        body = json.dumps(content).encode()
        return treq.post(self.url + path, body, headers=names, persistent=False)

    def get(self, path, **headers):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        return treq.get(self.url + path, headers=names, persistent=False)

    @inlineCallbacks
    def connect(self):
        host, _, port = self.entry.http_address.partition(":")
        endpoint = TCP4ClientEndpoint(reactor, host, int(port))
        caller = yield connectProtocol(endpoint, RawCaller())
        return caller


class CallerRequestTest(EntryTestCase):
    @inlineCallbacks
    def test_a_stream_is_complete_and_each_event_has_an_id(self):
        yield self.start()
        response = yield self.post({"model": "m", "stream": True})
        body = yield response.content()
        self.assertEqual(response.code, 200)
        request_id = response.headers.getRawHeaders("x-request-id")[0]
        stream_id = f"{request_id}@agent-1"
        expected = f"id: {stream_id}:9\ndata: 1\n\nid: {stream_id}:23\ndata: [DONE]\n\n"
        self.assertEqual(body.decode(), expected)

    @inlineCallbacks
    def test_refusals_state_their_kind(self):
        yield self.start()
        cases = [
            ({"model": "unknown"}, {}, 404, "unknown_model"),
            ([], {}, 400, "bad_request"),
            ({"model": "m"}, {"X_Deadline_Ms": "-1"}, 400, "bad_request"),
            ({"model": "m"}, {"X_Repeatable": "perhaps"}, 400, "bad_request"),
            ({"model": "m"}, {"X_Request_Class": "none"}, 400, "bad_request"),
            ({"model": "m"}, {"X_Request_Class": "once"}, 400, "bad_request"),
        ]
        for content, headers, status, kind in cases:
            response = yield self.post(content, **headers)
            answer = yield response.json()
            self.assertEqual((response.code, answer["error"]["kind"]), (status, kind))
            self.assertEqual(answer["error"]["not_run"], "true")
        missing = yield self.get("/nowhere")
        self.assertEqual(missing.code, 400)
        health = yield self.get("/healthz")
        self.assertEqual(health.code, 200)
        self.assertEqual(self.agent.dispatches, [])

    @inlineCallbacks
    def test_a_model_without_replica_is_requested_and_a_short_deadline_refused(self):
        yield self.start()
        self.routing.delete("replica/r-agent-1")
        response = yield self.post({"model": "m"}, X_Deadline_Ms="100")
        answer = yield response.json()
        self.assertEqual(answer["error"]["kind"], "deadline_unreachable")
        self.assertGreaterEqual(answer["error"]["retry_after_ms"], 1_000)
        self.assertTrue(any(isinstance(item, Wish) for item in self.link.sent))

    @inlineCallbacks
    def test_a_lost_frame_is_read_again_and_a_stalled_stream_ends_with_an_error_event(self):
        yield self.start(SHORT_STALL, [b"data: %d\n\n" % index for index in range(9)])
        self.agent.drop_chunk = 4
        response = yield self.post({"model": "m", "stream": True})
        body = yield response.text()
        self.assertEqual([f"data: {index}" in body for index in range(9)], [True] * 9)
        self.assertNotIn("event: error", body)
        self.agent.refusal = None
        self.agent.held_from = 3
        self.agent._answer = self.only_once(self.agent._answer)
        response = yield self.post({"model": "m", "stream": True})
        body = yield response.text()
        self.assertIn("data: 2\n\nevent: error\n", body)
        self.assertIn("stream_stalled", body)

    def only_once(self, answer):
        calls = []

        def answer_once(*arguments):
            calls.append(arguments)
            if len(calls) == 1:
                answer(*arguments)

        return answer_once

    @inlineCallbacks
    def test_a_caller_resumes_at_another_entry_with_its_last_event_id(self):
        yield self.start(parts=[b"data: %d\n\n" % index for index in range(5)])
        response = yield self.post({"model": "m", "stream": True})
        body = yield response.text()
        first_events = "".join(body.partition("data: 1\n\n")[:2])
        last_id = first_events.rpartition("id: ")[2].partition("\n")[0]
        yield self.entry.stop()
        other = yield self.start_entry()
        self.url = f"http://{other.http_address}"
        stream_id = last_id.partition(":")[0]
        response = yield self.get(f"/v1/streams/{stream_id}", Last_Event_ID=last_id)
        rest = yield response.text()
        self.assertEqual(first_events + rest, body)
        gone = yield self.get("/v1/streams/q@nobody")
        self.assertEqual(gone.code, 404)
        bad = yield self.get("/v1/streams/q@agent-1", Last_Event_ID="other@agent-1:3")
        self.assertEqual(bad.code, 400)

    @inlineCallbacks
    def test_a_key_runs_once_and_a_repeated_request_gets_the_stored_answer(self):
        yield self.start(parts=[b'{"order": 1}'])
        self.agent.content_type = JSON_TYPE
        headers = {"X_Request_Class": "once", "Idempotency_Key": "k", "X_Caller": "c"}
        first = yield self.post({"model": "m"}, **headers)
        first_body = yield first.content()
        second = yield self.post({"model": "m"}, **headers)
        second_body = yield second.content()
        self.assertEqual((first.code, first_body), (second.code, second_body))
        self.assertEqual(len(self.agent.dispatches), 1)
        reused = yield self.post({"model": "m", "n": 2}, **headers)
        self.assertEqual(reused.code, 422)
        self.assertEqual(len(self.agent.dispatches), 1)

    @inlineCallbacks
    def test_a_job_is_committed_then_run_and_read_back(self):
        yield self.start(parts=[b'{"report": 1}'])
        self.agent.content_type = JSON_TYPE
        response = yield self.post({"model": "m"}, "/v1/jobs", X_Caller="c")
        accepted = yield response.json()
        self.assertEqual((response.code, accepted["state"]), (202, "waiting"))
        self.assertEqual(self.agent.dispatches, [])
        job_id = accepted["id"]
        self.routing.put(JobRow(job_id, "m", "waiting", "", 2**50))
        view = accepted
        while view["state"] != "done":
            yield after(reactor, 0.05)
            response = yield self.get(f"/v1/jobs/{job_id}", X_Caller="c")
            view = yield response.json()
        self.assertEqual(view["result"], {"report": 1})
        self.assertEqual(len(self.agent.dispatches), 1)

    @inlineCallbacks
    def test_a_booking_at_a_plain_service_runs_once(self):
        yield self.start()
        service = StandInService(reactor)
        yield service.start()
        self.addCleanup(service.stop)
        self.routing.put(ServiceRow("desk", [service.url], "lookup", ["GET"], 4))
        found = yield self.get("/services/desk/venues/1?full=1")
        self.assertEqual((yield found.json())["path"], "venues/1")
        for _ in range(2):
            response = yield self.post({"n": 1}, "/services/desk/book", Idempotency_Key="b")
            answer = yield response.json()
            self.assertEqual((response.code, answer["booked"]), (200, 1))
        service.drop_bookings = 1
        for kind in ("outcome_unknown", "outcome_unknown"):
            response = yield self.post({"n": 2}, "/services/desk/book", Idempotency_Key="d")
            answer = yield response.json()
            self.assertEqual(answer["error"]["kind"], kind)
            self.assertEqual(answer["error"]["not_run"], "unknown")
        self.assertEqual(service.bookings_by_key, {"b": 1, "d": 1})


class MisbehavingCallerTest(EntryTestCase):
    @inlineCallbacks
    def check_entry_responds(self):
        response = yield self.post({"model": "m", "stream": True})
        yield response.content()
        self.assertEqual(response.code, 200)

    @inlineCallbacks
    def test_a_slow_body_closes_only_its_own_connection(self):
        yield self.start(SHORT_LIMITS)
        caller = yield self.connect()
        caller.transport.write(b"POST /v1/completions HTTP/1.1\r\nContent-Length: 90\r\n\r\n{")
        yield self.check_entry_responds()
        received = yield caller.ended
        self.assertEqual(received, b"")
        silent = yield self.connect()
        yield silent.ended
        yield self.check_entry_responds()

    @inlineCallbacks
    def test_a_body_over_the_limit_is_refused_with_or_without_a_content_length(self):
        yield self.start(SHORT_LIMITS)
        response = yield self.post({"model": "m", "pad": "x" * 2_000})
        self.assertEqual(response.code, 413)
        caller = yield self.connect()
        chunk = b"400\r\n" + b"x" * 1_024 + b"\r\n"
        head = b"POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        caller.transport.write(head + chunk * 64)
        received = yield caller.ended
        self.assertNotIn(b"200 OK", received)
        yield self.check_entry_responds()

    @inlineCallbacks
    def test_malformed_requests_close_only_their_own_connection(self):
        yield self.start(SHORT_LIMITS)
        for text in (b"\x00\xff\r\n\r\n", b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"):
            caller = yield self.connect()
            caller.transport.write(text)
            yield caller.ended
        caller = yield self.connect()
        caller.transport.write(b"GET /healthz HTTP/1.1\r\n" + b"A: b\r\n" * 5_000)
        yield caller.ended
        yield self.check_entry_responds()

    @inlineCallbacks
    def test_a_disconnect_before_the_first_byte_cancels_the_run(self):
        yield self.start()
        self.agent.silent = True
        caller = yield self.connect()
        body = b'{"model": "m", "stream": true}'
        head = b"POST /v1/completions HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
        caller.transport.write(head + body)
        while not self.agent.dispatches:
            yield after(reactor, 0.01)
        caller.transport.abortConnection()
        while not self.agent.cancels:
            yield after(reactor, 0.01)
        self.assertEqual(self.agent.cancels[0].request_id, self.agent.dispatches[0].request_id)
        self.assertEqual(self.entry.coordinator.in_progress, 0)

    @inlineCallbacks
    def test_a_shutdown_finishes_running_requests_and_refuses_new_ones(self):
        yield self.start(LONG_STALL, [b"data: 1\n\n", b"data: 2\n\n"])
        self.agent.held_from = 1
        response = yield self.post({"model": "m", "stream": True})
        text = response.text()
        stopped = self.entry.stop()
        ready = yield self.get("/readyz")
        self.assertEqual(ready.code, 503)
        refused = yield self.post({"model": "m"})
        self.assertEqual((yield refused.json())["error"]["kind"], "draining")
        self.assertFalse(stopped.called)
        self.agent.release()
        body = yield text
        self.assertIn("data: 2", body)
        yield stopped

    @inlineCallbacks
    def test_a_request_refused_by_an_agent_runs_at_another(self):
        yield self.start()
        self.agent.refusal = Refusal.of(ErrorKind.DRAINING, "leaving")
        other = FakeAgent(reactor, "agent-2")
        self.addCleanup(other.transport.close)
        add_replica(self.routing, "agent-2", other.transport.address)
        for _ in range(3):
            yield self.check_entry_responds()
        self.assertEqual(len(other.dispatches), 3)

    @inlineCallbacks
    def test_a_caller_that_does_not_read_is_disconnected(self):
        yield self.start(SHORT_STALL, [b"data: " + b"x" * 60_000 + b"\n\n"] * 400)
        self.agent.held_from = 399
        before = COUNTERS.value("entry_slow_callers_dropped")
        caller = yield self.connect()
        caller.transport.pauseProducing()
        body = b'{"model": "m", "stream": true}'
        head = b"POST /v1/completions HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
        caller.transport.write(head + body)
        while COUNTERS.value("entry_slow_callers_dropped") == before:
            yield after(reactor, 0.02)
        caller.transport.resumeProducing()
        yield caller.ended
        self.assertEqual(self.entry.coordinator.in_progress, 0)
