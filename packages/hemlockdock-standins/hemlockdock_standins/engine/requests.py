"""Request execution of a stand-in engine, with fault injection."""

import json

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from hemlockdock_standins.engine.generation import DONE_EVENT, answer_body, event, token_texts
from hemlockdock_standins.engine.run import EngineRun

MS_PER_S = 1_000.0
POISON = b"#poison"
STALL = b"#stall"
STALL_ONCE = b"#stall-once"
SLOW = b"#slow"
FAIL = b"#fail"
BUSY = b"#busy"
REJECT = b"#reject"
DROP = b"#drop"
CUT = b"#cut"
MARKERS = (POISON, STALL, STALL_ONCE, SLOW, FAIL, BUSY, REJECT, DROP, CUT)
CUT_EVENT_BYTES = 9
SLOW_FACTOR = 20.0
MAX_STORED_RUNS = 1_000


def find_fault_markers(body):
    """Return the fault markers in a request body.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    set of bytes
    """
    faults = {marker for marker in MARKERS if marker in body}
    if STALL_ONCE in faults:
        # The STALL marker is a prefix of STALL_ONCE.
        faults.discard(STALL)
    return faults


class EngineRequests:
    """Run requests and write their answers.

    Markers in the request body inject faults: ``#poison`` crashes the engine, ``#stall`` stops
    the stream half-way, ``#stall-once`` does so for the first reader only, ``#drop`` aborts the
    connection half-way, ``#cut`` ends the response half-way and inside an event, ``#slow`` slows
    generation, ``#fail`` and ``#busy`` answer with status 500 and 503 after the run has begun,
    ``#reject`` does so with 503 before it.

    Parameters
    ----------
    reactor : twisted reactor
    options : EngineOptions
    state : EngineState
    ledger : StandInLedger
    on_poison : callable
        Called without arguments; crashes the engine.
    """

    def __init__(self, reactor, options, state, ledger, on_poison):
        self._reactor = reactor
        self._options = options
        self._state = state
        self._ledger = ledger
        self._on_poison = on_poison
        self._run_by_id = {}
        self.running = 0

    def crash(self):
        """Cancel and discard all requests."""
        for run in self._run_by_id.values():
            run.cancelled = True
        self._run_by_id.clear()
        self.running = 0

    def cancel(self, request_id):
        """Stop generating for a request.

        Parameters
        ----------
        request_id : str

        Returns
        -------
        bool
            Whether the request was known.
        """
        run = self._run_by_id.get(request_id)
        if run is None:
            return False
        run.cancelled = True
        return True

    @inlineCallbacks
    def serve(self, request):
        """Answer one completion request.

        Parameters
        ----------
        request : twisted.web.server.Request
        """
        replica_id = request.getHeader("x-replica-id") or ""
        replica = self._state.replica_by_id.get(replica_id)
        if replica is None or not replica.ready:
            self._reject(request, 404, b'{"error":"replica not loaded"}')
            return
        body = request.content.read()
        if REJECT in body:
            self._reject(request, 503, b'{"error":"queue full"}')
            return
        run = self._begin(request, body)
        if POISON in run.faults:
            self._reactor.callLater(0, self._on_poison)
            yield Deferred()
        if FAIL in run.faults:
            self._finish(request, 500, b'{"error":"failed"}')
            return
        if BUSY in run.faults:
            self._finish(request, 503, b'{"error":"busy"}')
            return
        self.running += 1
        yield self._write(request, run)
        self.running = max(self.running - 1, 0)

    @inlineCallbacks
    def resume(self, request, request_id, offset):
        """Resume an answer at a byte offset.

        Parameters
        ----------
        request : twisted.web.server.Request
        request_id : str
        offset : int
            Number of bytes that the reader has already received.
        """
        previous_run = self._run_by_id.get(request_id)
        if previous_run is None or not self._options.resumes:
            self._finish(request, 404, b'{"error":"unknown request"}')
            return
        previous_run.cancelled = True
        faults = previous_run.faults - {STALL_ONCE, DROP, CUT}
        run = EngineRun(
            request_id, previous_run.body, previous_run.texts, previous_run.streaming, faults
        )
        run.skip_bytes = offset
        self._run_by_id[request_id] = run
        self.running += 1
        yield self._write(request, run)
        self.running = max(self.running - 1, 0)

    def _begin(self, request, body):
        payload = json.loads(body)
        count = int(payload.get("max_tokens", self._options.keep_tokens))
        request_id = request.getHeader("x-request-id") or str(id(request))
        faults = find_fault_markers(body)
        texts = token_texts(body, count)
        run = EngineRun(request_id, body, texts, bool(payload.get("stream")), faults)
        self._ledger.run(request.getHeader("idempotency-key") or request_id)
        while len(self._run_by_id) >= MAX_STORED_RUNS:
            del self._run_by_id[next(iter(self._run_by_id))]
        self._run_by_id[request_id] = run
        return run

    def _write(self, request, run):
        disconnected = request.notifyFinish()
        disconnected.addErrback(lambda _: setattr(run, "cancelled", True))
        if run.streaming:
            return self._write_stream(request, run)
        return self._write_whole(request, run)

    @inlineCallbacks
    def _write_whole(self, request, run):
        yield self._sleep(run, self._options.first_token_ms)
        yield self._sleep(run, self._options.token_ms * len(run.texts))
        if run.cancelled:
            return
        if DROP in run.faults:
            request.transport.abortConnection()
            return
        self._finish(request, 200, answer_body(run.body, len(run.texts)))

    @inlineCallbacks
    def _write_stream(self, request, run):
        request.setHeader(b"content-type", b"text/event-stream")
        request.setResponseCode(200)
        yield self._sleep(run, self._options.first_token_ms)
        while run.next_token < len(run.texts):
            if run.cancelled:
                return
            if self._inject_midstream_fault(request, run):
                yield Deferred()
            self._write_new_bytes(request, run, event(run.texts[run.next_token]))
            run.next_token += 1
            yield self._sleep(run, self._options.token_ms)
        if run.cancelled:
            return
        self._write_new_bytes(request, run, DONE_EVENT)
        request.finish()

    def _inject_midstream_fault(self, request, run):
        if run.next_token != len(run.texts) // 2:
            return False
        if DROP in run.faults:
            request.transport.abortConnection()
            return True
        if CUT in run.faults:
            self._write_new_bytes(request, run, event(run.texts[run.next_token])[:CUT_EVENT_BYTES])
            request.finish()
            return True
        return STALL in run.faults or STALL_ONCE in run.faults

    def _write_new_bytes(self, request, run, data):
        skipped = min(run.skip_bytes, len(data))
        run.skip_bytes -= skipped
        if skipped < len(data):
            request.write(data[skipped:])

    def _reject(self, request, status, body):
        request.setHeader(b"x-not-run", b"1")
        self._finish(request, status, body)

    def _finish(self, request, status, body):
        if request.finished or request._disconnected:
            return
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"application/json")
        request.write(body)
        request.finish()

    def _sleep(self, run, duration_ms):
        factor = self._options.slow_factor
        if SLOW in run.faults:
            factor *= SLOW_FACTOR
        return deferLater(self._reactor, duration_ms * factor / MS_PER_S, lambda: None)
