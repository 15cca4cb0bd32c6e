"""Hold the acceptance list of Qalam's deployment."""

import re

from checks import CHAT, END_OF_STREAM, Checks
from local_run import wait_until

EVENT_ID = re.compile(rb"^id: (.+)$", re.MULTILINE)
WHOLE_EVENT = b"\n\n"
SUMMARY_TOKENS = 200
READ_BYTES = 2_000
REJOIN_S = 30


class QalamList(Checks):
    """Walk Qalam's workloads and the promises."""

    def items(self):
        """Yield (name, check) pairs in the order in which they are run."""
        yield "entries become ready", self.run.wait_ready
        yield "manifest is in force everywhere", lambda: self.submit(1)
        yield "form help streams whole", self.form_help
        yield "a stream that stalls is resumed", self.stall
        yield "a refresh at another entry gets the rest", self.refresh
        yield "a refresh after the entry was killed gets the rest", self.refresh_after_kill
        yield "seating draft is finished and fetched elsewhere", lambda: self.job(
            "seating-draft-00"
        )
        yield "deposit sent twice is paid once", self.deposit
        yield "booking whose answer is lost runs once", self.lost_booking
        yield "venue lookups answer in a rush", self.rush
        yield "guest summaries are served or refused", self.summaries
        yield "agent killed in mid-load and started again", self.kill_in_load
        yield "leader killed, manifest accepted, in force", self.replace_leader
        yield "endpoint leaves under a stream", lambda: self.leave("form-help-02")
        yield "promises hold at the engines", self.promises

    def form_help(self):
        """Stream form help from a cold model."""
        self.whole_stream(0, "form-help-00", "which date suits", tokens=120)

    def stall(self):
        """Stream an answer that the engine stops half-way."""
        self.whole_stream(1, "form-help-00", "#stall-once in the middle", tokens=60)

    def refresh(self):
        """Hang up in mid-stream and read the rest at another entry."""
        self._refresh(0, 1, "guest list A", kill=False)

    def refresh_after_kill(self):
        """Kill the entry in mid-stream and read the rest at another one."""
        self._refresh(2, 1, "guest list B", kill=True)
        wait_until("entry is back", lambda: self.entries[2].get("/readyz").status == 200, REJOIN_S)

    def _refresh(self, first, second, text, kill):
        document = self.document("form-help-00", text, stream=True, tokens=SUMMARY_TOKENS)
        part = self.entries[first].read_part(CHAT, document, READ_BYTES)
        if kill:
            self.run.end_node(f"entry-{first + 1}", self.run.KILL)
        kept = part.body[: part.body.rindex(WHOLE_EVENT) + len(WHOLE_EVENT)]
        last_id = EVENT_ID.findall(kept)[-1].decode()
        stream_id = last_id.rpartition(":")[0]
        rest = self.entries[second].get(f"/v1/streams/{stream_id}", {"Last-Event-ID": last_id})
        self.expect(rest.status == 200, (rest.status, rest.body[:200]))
        if kill:
            self.run.start_node(f"entry-{first + 1}")
        whole = self.whole_stream(second, "form-help-00", text, tokens=SUMMARY_TOKENS)
        joined = b"".join(data_lines(kept + rest.body))
        self.expect(END_OF_STREAM in joined, joined[-100:])
        self.expect(joined == b"".join(data_lines(whole.body)), "rest differs from the whole")

    def deposit(self):
        """Send the same deposit at two entries at once, and again at a third."""
        headers = {"Idempotency-Key": "deposit-9"}
        document = {"event": 9, "amount": 120}
        path = "/services/bookings/deposits"
        replies = self.together(
            [lambda e=entry: self.entries[e].post(path, document, headers) for entry in (0, 1)]
        )
        replies.append(self.entries[2].post(path, document, headers))
        for reply in replies:
            truthful = reply.status == 200 or reply.kind in ("already_ran", "outcome_unknown")
            self.expect(truthful, (reply.status, reply.body[:200]))
        paid = sum(self.run.ledger()["bookings_by_key"].values())
        self.expect(paid == 1, f"paid {paid} times")

    def lost_booking(self):
        """Send a booking whose answer is lost, and send it again."""
        self.run.stand_ins().post("/drop_bookings/1", {})
        headers = {"Idempotency-Key": "booking-10"}
        path = "/services/bookings/bookings"
        before = sum(self.run.ledger()["bookings_by_key"].values())
        first = self.entries[0].post(path, {"event": 10}, headers)
        self.run.stand_ins().post("/drop_bookings/0", {})
        second = self.entries[1].post(path, {"event": 10}, headers)
        for reply in (first, second):
            self.expect(reply.kind in ("already_ran", "outcome_unknown"), reply)
        booked = sum(self.run.ledger()["bookings_by_key"].values()) - before
        self.expect(booked == 1, f"booked {booked} times")

    def rush(self):
        """Look up venues while one model is rushed."""
        calls = []
        for index in range(60):
            entry = index % len(self.entries)
            calls.append(lambda e=entry, i=index: self.chat(e, "form-help-00", f"rush {i}"))
        for index in range(40):
            entry = self.entries[index % len(self.entries)]
            calls.append(lambda e=entry, i=index: e.get(f"/services/venues/halls/{i}"))
        replies = self.together(calls)
        self.expect(not any(isinstance(reply, Exception) for reply in replies), replies)
        statuses = {reply.status for reply in replies[60:]}
        self.expect(statuses == {200}, statuses)

    def summaries(self):
        """Ask many cold models for summaries at once."""
        self.served_or_refused([f"guest-summary-{index:02}" for index in range(10)])

    def kill_in_load(self):
        """Kill an agent whose engine ignores fences while a model loads, and start it again."""
        replies = []
        call = [lambda: replies.append(self.chat(0, "form-help-05", "wake"))]
        call.append(self._kill_loading_agent)
        self.together(call)
        self.expect(replies[0].status == 200 or replies[0].kind, replies)

    def _kill_loading_agent(self):
        def holder():
            rows = self.admin("GET", "/v1/status").json()["replicas"]
            return [row["node_id"] for row in rows if row["model"] == "form-help-05"]

        wait_until("load decided", holder, REJOIN_S)
        node_id = holder()[0]
        self.run.end_node(node_id, self.run.KILL)
        self.run.start_node(node_id)


def data_lines(body):
    """Return the data lines of a stream of events.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    list of bytes
    """
    return [line + b"\n" for line in body.split(b"\n") if line.startswith(b"data:")]
