"""Run requests at a stand-in engine."""

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
DROP = b"#drop"
MARKERS = (POISON, STALL, STALL_ONCE, SLOW, FAIL, DROP)
SLOW_FACTOR = 20.0
MOST_KEPT_RUNS = 1_000


def faults_in(body):
    """Return the markers that a request's body holds.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    set of bytes
    """
    faults = {marker for marker in MARKERS if marker in body}
    if STALL_ONCE in faults:
        # One marker begins with the other.
        faults.discard(STALL)
    return faults


class EngineRequests:
    """Run requests and write their answers.

    Markers in a request's body cause faults: ``#poison`` crashes the engine, ``#stall`` stops
    the stream half-way, ``#stall-once`` does so for the first reader only, ``#drop`` closes the
    connection half-way, ``#slow`` slows it, ``#fail`` answers 500.

    Parameters
    ----------
    reactor : twisted reactor
    options : EngineOptions
    state : EngineState
    ledger : StandInLedger
    on_poison : callable
        Takes nothing; crashes the engine.
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
        """Forget all requests."""
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
            self._finish(request, 404, b'{"error":"replica not loaded"}')
            return
        run = self._begin(request)
        if POISON in run.faults:
            self._reactor.callLater(0, self._on_poison)
            yield Deferred()
        if FAIL in run.faults:
            self._finish(request, 500, b'{"error":"failed"}')
            return
        self.running += 1
        yield self._write(request, run)
        self.running = max(self.running - 1, 0)

    @inlineCallbacks
    def resume(self, request, request_id, offset):
        """Write the rest of an answer again.

        Parameters
        ----------
        request : twisted.web.server.Request
        request_id : str
        offset : int
            Bytes that the reader has.
        """
        known = self._run_by_id.get(request_id)
        if known is None or not self._options.resumes:
            self._finish(request, 404, b'{"error":"unknown request"}')
            return
        known.cancelled = True
        faults = known.faults - {STALL_ONCE, DROP}
        run = EngineRun(request_id, known.body, known.texts, known.streaming, faults)
        run.skip_bytes = offset
        self._run_by_id[request_id] = run
        self.running += 1
        yield self._write(request, run)
        self.running = max(self.running - 1, 0)

    def _begin(self, request):
        body = request.content.read()
        asked = json.loads(body)
        count = int(asked.get("max_tokens", self._options.keep_tokens))
        request_id = request.getHeader("x-request-id") or str(id(request))
        faults = faults_in(body)
        texts = token_texts(body, count)
        run = EngineRun(request_id, body, texts, bool(asked.get("stream")), faults)
        self._ledger.run(request.getHeader("idempotency-key") or request_id)
        while len(self._run_by_id) >= MOST_KEPT_RUNS:
            del self._run_by_id[next(iter(self._run_by_id))]
        self._run_by_id[request_id] = run
        return run

    def _write(self, request, run):
        gone = request.notifyFinish()
        gone.addErrback(lambda _: setattr(run, "cancelled", True))
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
            if self._breaks(request, run):
                yield Deferred()
            self._write_part(request, run, event(run.texts[run.next_token]))
            run.next_token += 1
            yield self._sleep(run, self._options.token_ms)
        if run.cancelled:
            return
        self._write_part(request, run, DONE_EVENT)
        request.finish()

    def _breaks(self, request, run):
        if run.next_token != len(run.texts) // 2:
            return False
        if DROP in run.faults:
            request.transport.abortConnection()
            return True
        return STALL in run.faults or STALL_ONCE in run.faults

    def _write_part(self, request, run, part):
        skipped = min(run.skip_bytes, len(part))
        run.skip_bytes -= skipped
        if skipped < len(part):
            request.write(part[skipped:])

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
