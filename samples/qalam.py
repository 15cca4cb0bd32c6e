"""Acceptance checks of the Qalam deployment."""

import re

from checks import CHAT, END_OF_STREAM, AcceptanceChecks
from local_run import wait_until

EVENT_ID = re.compile(rb"^id: (.+)$", re.MULTILINE)
EVENT_SEPARATOR = b"\n\n"
LONG_ANSWER_TOKENS = 200
PARTIAL_READ_BYTES = 2_000
RESTART_TIMEOUT_S = 30


class QalamChecks(AcceptanceChecks):
    """Checks of the Qalam workloads and of the system's guarantees."""

    def items(self):
        """Yield (name, check) pairs in execution order."""
        yield "entries become ready", self.run.wait_ready
        yield "manifest is in force everywhere", lambda: self.submit(1)
        yield "form help streams whole", self.form_help
        yield "a stream that stalls is resumed", self.stalled_stream
        yield "a refresh at another entry gets the rest", self.resume_stream
        yield "a refresh after the entry was killed gets the rest", self.resume_stream_after_kill
        yield "seating draft is finished and fetched elsewhere", lambda: self.run_job(
            "seating-draft-00"
        )
        yield "deposit sent twice is paid once", self.deposit
        yield "booking whose answer is lost runs once", self.lost_booking
        yield "venue lookups answer in a rush", self.lookups_under_load
        yield "guest summaries are served or refused", self.summaries
        yield "agent killed in mid-load and started again", self.kill_agent_during_load
        yield "leader killed, manifest accepted, in force", self.replace_leader
        yield "endpoint leaves under a stream", lambda: self.stop_agent_during_stream(
            "form-help-02"
        )
        yield "promises hold at the engines", self.check_guarantees

    def form_help(self):
        """Stream form help from a model that isn't loaded."""
        self.expect_complete_stream(0, "form-help-00", "which date suits", tokens=120)

    def stalled_stream(self):
        """Stream an answer that the engine stalls half-way."""
        self.expect_complete_stream(1, "form-help-00", "#stall-once in the middle", tokens=60)

    def resume_stream(self):
        """Disconnect in mid-stream and resume the stream at another entry."""
        self._resume_stream(0, 1, "guest list A", kill=False)

    def resume_stream_after_kill(self):
        """Kill the entry in mid-stream and resume the stream at another one."""
        self._resume_stream(2, 1, "guest list B", kill=True)
        wait_until(
            "entry is back", lambda: self.entries[2].get("/readyz").status == 200, RESTART_TIMEOUT_S
        )

    def _resume_stream(self, first, second, text, kill):
        document = self.document("form-help-00", text, stream=True, tokens=LONG_ANSWER_TOKENS)
        part = self.entries[first].read_prefix(CHAT, document, PARTIAL_READ_BYTES)
        if kill:
            self.run.stop_node(f"entry-{first + 1}", self.run.KILL)
        received = part.body[: part.body.rindex(EVENT_SEPARATOR) + len(EVENT_SEPARATOR)]
        last_id = EVENT_ID.findall(received)[-1].decode()
        stream_id = last_id.rpartition(":")[0]
        rest = self.entries[second].get(f"/v1/streams/{stream_id}", {"Last-Event-ID": last_id})
        self.expect(rest.status == 200, (rest.status, rest.body[:200]))
        if kill:
            self.run.start_node(f"entry-{first + 1}")
        whole = self.expect_complete_stream(second, "form-help-00", text, tokens=LONG_ANSWER_TOKENS)
        joined = b"".join(data_lines(received + rest.body))
        self.expect(END_OF_STREAM in joined, joined[-100:])
        self.expect(joined == b"".join(data_lines(whole.body)), "rest differs from the whole")

    def deposit(self):
        """Send one deposit to two entries concurrently, then to a third; it must be paid once."""
        headers = {"Idempotency-Key": "deposit-9"}
        document = {"event": 9, "amount": 120}
        path = "/services/bookings/deposits"
        responses = self.run_concurrently(
            [lambda e=entry: self.entries[e].post(path, document, headers) for entry in (0, 1)]
        )
        responses.append(self.entries[2].post(path, document, headers))
        for response in responses:
            is_consistent = response.status == 200 or response.kind in (
                "already_ran",
                "outcome_unknown",
            )
            self.expect(is_consistent, (response.status, response.body[:200]))
        paid = sum(self.run.ledger()["bookings_by_key"].values())
        self.expect(paid == 1, f"paid {paid} times")

    def lost_booking(self):
        """Send a booking whose response is lost, then resend it; it must run once."""
        self.run.stand_ins().post("/drop_bookings/1", {})
        headers = {"Idempotency-Key": "booking-10"}
        path = "/services/bookings/bookings"
        before = sum(self.run.ledger()["bookings_by_key"].values())
        first = self.entries[0].post(path, {"event": 10}, headers)
        self.run.stand_ins().post("/drop_bookings/0", {})
        second = self.entries[1].post(path, {"event": 10}, headers)
        for response in (first, second):
            self.expect(response.kind in ("already_ran", "outcome_unknown"), response)
        booked = sum(self.run.ledger()["bookings_by_key"].values()) - before
        self.expect(booked == 1, f"booked {booked} times")

    def lookups_under_load(self):
        """Look up venues during a burst of requests for one model."""
        calls = []
        for index in range(60):
            entry = index % len(self.entries)
            calls.append(lambda e=entry, i=index: self.chat(e, "form-help-00", f"rush {i}"))
        for index in range(40):
            entry = self.entries[index % len(self.entries)]
            calls.append(lambda e=entry, i=index: e.get(f"/services/venues/halls/{i}"))
        responses = self.run_concurrently(calls)
        self.expect(not any(isinstance(response, Exception) for response in responses), responses)
        statuses = {response.status for response in responses[60:]}
        self.expect(statuses == {200}, statuses)

    def summaries(self):
        """Request summaries from many unloaded models at once."""
        self.expect_served_or_refused([f"guest-summary-{index:02}" for index in range(10)])

    def kill_agent_during_load(self):
        """Kill and restart an agent during a model load; its engine ignores fencing tokens."""
        responses = []
        call = [lambda: responses.append(self.chat(0, "form-help-05", "wake"))]
        call.append(self._kill_loading_agent)
        self.run_concurrently(call)
        self.expect(responses[0].status == 200 or responses[0].kind, responses)

    def _kill_loading_agent(self):
        def replica_nodes():
            rows = self.admin("GET", "/v1/status").json()["replicas"]
            return [row["node_id"] for row in rows if row["model"] == "form-help-05"]

        wait_until("load decided", replica_nodes, RESTART_TIMEOUT_S)
        node_id = replica_nodes()[0]
        self.run.stop_node(node_id, self.run.KILL)
        self.run.start_node(node_id)


def data_lines(body):
    """Return the ``data:`` lines of a server-sent event stream.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    list of bytes
    """
    return [line + b"\n" for line in body.split(b"\n") if line.startswith(b"data:")]
