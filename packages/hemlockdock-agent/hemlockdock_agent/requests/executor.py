"""Run admitted requests on the engine."""

import logging

from twisted.internet.error import ConnectError
from twisted.web.client import RequestNotSent

from hemlockdock_agent.requests.answer_reader import AnswerReader
from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.http.body_receiver import BodyReceiver
from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)

MAX_RESUMPTIONS = 3
DEADLINE_GRACE_MS = 2_000
HTTP_OK = 200
HTTP_SERVER_ERROR = 500
REFUSING_STATUSES = frozenset((404, 409, 429, 503))
# Header with which the engine states that it did not run the request.
NOT_RUN_HEADER = "x-not-run"


class RequestExecutor:
    """Run admitted requests on the engine, and own their connections.

    Parameters
    ----------
    settings : Settings
    gate : RequestGate
    answer_sender : AnswerSender
    engine : EngineClient
    view_of : callable
        Takes a Dispatch, returns a GateView.
    on_connection_lost : callable
        Takes a Run whose connection broke; determines whether the engine crashed, and calls
        ``resume_run`` or ``fail``.
    now_ms : callable
        Returns monotonic milliseconds.
    """

    def __init__(self, settings, gate, answer_sender, engine, view_of, on_connection_lost, now_ms):
        self._settings = settings
        self._gate = gate
        self._answer_sender = answer_sender
        self._engine = engine
        self._view_of = view_of
        self._on_connection_lost = on_connection_lost
        self._now_ms = now_ms
        self._receiver_by_run = {}
        self._calls_by_run = {}
        self._on_idle = None

    def dispatch(self, dispatch, frame):
        """Admit and start one attempt at a request, or refuse it.

        Parameters
        ----------
        dispatch : Dispatch
        frame : Frame
        """
        reader = AnswerReader(frame.sender, frame.reply_to, dispatch.attempt)
        key = (dispatch.request_id, dispatch.attempt)
        if self._gate.is_known(key):
            COUNTERS.increment("agent_repeated_dispatches")
            refusal = self._gate.repeat_refusal(key)
            if refusal is not None:
                self._answer_sender.send_refusal(dispatch.request_id, reader, refusal)
            return
        admitted = self._gate.admit(dispatch, reader, self._view_of(dispatch), self._now_ms())
        if admitted.is_err():
            refusal = admitted.unwrap_err()
            COUNTERS.increment("agent_refusals", kind=refusal.kind.value)
            self._answer_sender.send_refusal(dispatch.request_id, reader, refusal)
            return
        COUNTERS.increment("agent_admitted")
        self._start(admitted.unwrap())

    def cancel(self, cancel):
        """Cancel an attempt that its reader gave up; a run-once request goes on unread.

        Parameters
        ----------
        cancel : Cancel
        """
        run = self._find_run(cancel.request_id, cancel.attempt)
        if run is None:
            return
        run.reader = None
        if run.dispatch.run_once:
            return
        self.fail(run, Refusal.of(ErrorKind.CALLER_GONE, "the request was given up"))

    def resume_answer(self, resume, frame):
        """Send a stored answer from an offset.

        Parameters
        ----------
        resume : Resume
        frame : Frame
        """
        run = None
        for candidate in self._gate.run_by_key.values():
            if candidate.request_id == resume.request_id and candidate.buffer is not None:
                run = candidate
        self._answer_sender.resume(resume, run, frame)

    def resume_run(self, run):
        """Request the rest of a run's answer from the engine.

        Parameters
        ----------
        run : Run
        """
        if run.ended:
            return
        self._close_connection(run)
        run.in_doubt = False
        run.resumptions += 1
        run.last_progress_ms = self._now_ms()
        COUNTERS.increment("agent_engine_resumptions")
        call = self._engine.resume(run.request_id, run.offset)
        self._calls_by_run[run] = call
        call.addCallbacks(self._resumed, self._resume_failed, (run,), None, (run,))

    def fail(self, run, refusal):
        """End a run whose answer is incomplete.

        Parameters
        ----------
        run : Run
        refusal : Refusal
        """
        if not self._gate.end(run, refusal):
            return
        COUNTERS.increment("agent_broken_runs", kind=refusal.kind.value)
        self._close_connection(run)
        self._engine.cancel(run.request_id)
        self._answer_sender.send_end(run, refusal, self._now_ms())
        self._check_idle()

    def check_runs(self, lost_entries):
        """Check all runs for stalled streams, passed deadlines and lost readers.

        Parameters
        ----------
        lost_entries : set of str
            Node ids of entries.
        """
        now_ms = self._now_ms()
        stall_ms = self._settings.entry.stall_ms
        for run in list(self._gate.run_by_key.values()):
            if run.reader is not None and run.reader.node_id in lost_entries:
                self._reader_lost(run)
            if run.ended or run.in_doubt or run.dispatch.run_once:
                continue
            waited_ms = now_ms - run.admitted_ms
            if not run.offset and waited_ms > run.dispatch.deadline_ms + DEADLINE_GRACE_MS:
                self.fail(run, Refusal.of(ErrorKind.DEADLINE_PASSED, "the engine was too slow"))
                continue
            if run.offset and run.streaming and now_ms - run.last_progress_ms > stall_ms:
                self._handle_stall(run)

    def when_idle(self, callback):
        """Invoke a callback once no request is in progress.

        Parameters
        ----------
        callback : callable
        """
        self._on_idle = callback
        self._check_idle()

    def _start(self, run):
        self._answer_sender.open(run)
        call = self._engine.run(run.dispatch)
        self._calls_by_run[run] = call
        call.addCallbacks(self._response_received, self._request_failed, (run,), None, (run,))

    def _response_received(self, response, run):
        self._calls_by_run.pop(run, None)
        if run.ended:
            self._discard_body(response)
            return
        if response.code in REFUSING_STATUSES:
            self._discard_body(response)
            message = f"the engine answered {response.code}"
            not_run = NotRun.TRUE if response.headers.hasHeader(NOT_RUN_HEADER) else NotRun.UNKNOWN
            self.fail(run, Refusal.of(ErrorKind.ENGINE_REFUSED, message, not_run))
            return
        if response.code >= HTTP_SERVER_ERROR:
            self._discard_body(response)
            refusal = Refusal.of(ErrorKind.ENGINE_FAILED, f"the engine answered {response.code}")
            self.fail(run, refusal)
            return
        content_type = response.headers.getRawHeaders("content-type", ["application/json"])[0]
        self._answer_sender.send_head(run, response.code, content_type)
        self._receive(response, run)

    def _request_failed(self, failure, run):
        self._calls_by_run.pop(run, None)
        if run.ended:
            return
        if failure.check(ConnectError, RequestNotSent):
            # No byte of the request was sent.
            refusal = Refusal.of(ErrorKind.ENDPOINT_LOST, "the engine is away", NotRun.TRUE)
            self.fail(run, refusal)
            return
        self._on_connection_lost(run)

    def _receive(self, response, run):
        receiver = BodyReceiver(
            self._engine.close_tracker,
            lambda data: self._data_received(run, data),
            lambda is_complete: self._body_ended(run, is_complete),
        )
        self._receiver_by_run[run] = receiver
        response.deliverBody(receiver)

    def _discard_body(self, response):
        response.deliverBody(BodyReceiver(self._engine.close_tracker, _ignore, _ignore))

    def _data_received(self, run, data):
        run.last_progress_ms = self._now_ms()
        run.resumptions = 0
        run.event_ends.feed(data)
        self._answer_sender.send_data(run, data)

    def _body_ended(self, run, is_complete):
        self._receiver_by_run.pop(run, None)
        if run.ended:
            return
        if not is_complete or run.inside_event:
            self._on_connection_lost(run)
            return
        if not self._gate.end(run, None):
            return
        COUNTERS.increment("agent_whole_answers")
        self._answer_sender.send_end(run, None, self._now_ms())
        self._check_idle()

    def _resumed(self, response, run):
        self._calls_by_run.pop(run, None)
        if run.ended:
            self._discard_body(response)
            return
        if response.code != HTTP_OK:
            self._discard_body(response)
            # The engine no longer has the rest of the answer; it may have restarted.
            run.resumptions = MAX_RESUMPTIONS
            self._on_connection_lost(run)
            return
        self._receive(response, run)

    def _resume_failed(self, failure, run):
        self._calls_by_run.pop(run, None)
        if not run.ended:
            self._on_connection_lost(run)

    def _handle_stall(self, run):
        COUNTERS.increment("agent_stalls")
        if run.resumptions >= MAX_RESUMPTIONS:
            self.fail(run, Refusal.of(ErrorKind.STREAM_STALLED, "the engine sends no more bytes"))
            return
        self.resume_run(run)

    def _reader_lost(self, run):
        run.reader = None
        if run.buffer is None and not run.dispatch.run_once:
            self.fail(run, Refusal.of(ErrorKind.CALLER_GONE, "the entry is lost"))

    def _find_run(self, request_id, attempt):
        for run in self._gate.run_by_key.values():
            reader = run.reader
            if run.request_id == request_id and reader is not None and reader.attempt == attempt:
                return run
        return None

    def _close_connection(self, run):
        call = self._calls_by_run.pop(run, None)
        if call is not None:
            call.addErrback(_ignore)
            call.cancel()
        receiver = self._receiver_by_run.pop(run, None)
        if receiver is not None:
            receiver.close()

    def _check_idle(self):
        if self._on_idle is not None and not self._gate.run_by_key:
            callback, self._on_idle = self._on_idle, None
            callback()


def _ignore(_):
    """Ignore the argument."""
