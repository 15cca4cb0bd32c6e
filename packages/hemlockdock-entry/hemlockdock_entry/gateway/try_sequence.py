"""Send one client request to endpoints, one after the other, until one gives a whole response."""

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.stream_origins import StreamOrigin
from hemlockdock_entry.gateway.attempt_progress import AttemptProgress
from hemlockdock_entry.gateway.crash_watch import RunProgress
from hemlockdock_entry.gateway.endpoint_try import EndpointTry
from hemlockdock_entry.gateway.first_byte_timer import FirstByteTimer
from hemlockdock_entry.gateway.forwarded_request import build_forwarded_head
from hemlockdock_entry.gateway.outcome import NextMove, RequestState, TryOutcome, next_move
from hemlockdock_entry.gateway.response_buffer import ResponseBuffer
from hemlockdock_entry.gateway.response_check import check_head, stream_problem
from hemlockdock_entry.gateway.try_health import record_try
from hemlockdock_entry.gateway.unsent_tries import UnsentTries


class TrySequence:
    """The attempts of one client request, of which one at most is in progress.

    Parameters
    ----------
    gateway : Gateway
    exchange : ProxyExchange
    response_writer : ResponseWriter
    log : ExchangeLog

    Attributes
    ----------
    tried_ids : set of str
        Endpoints to which the request was sent.
    may_have_run : bool
        Whether any attempt so far may have run.
    """

    def __init__(self, gateway, exchange, response_writer, log):
        self._gateway = gateway
        self._exchange = exchange
        self._response_writer = response_writer
        self._log = log
        self._try = None
        self._first_byte_timer = FirstByteTimer(gateway, exchange)
        self._is_streaming = False
        self._progress = AttemptProgress()
        self._runs_apart = False
        self._buffer = ResponseBuffer(gateway.buffer_budget)
        self._unsent = UnsentTries()
        self._was_used_before = False
        self._used_connections = set()
        self.tried_ids = set()
        self.may_have_run = False

    @property
    def in_progress(self):
        """Return whether an attempt is in progress."""
        return self._try is not None

    def send_to(self, row):
        """Forward the request to an endpoint.

        Parameters
        ----------
        row : EndpointRow
        """
        exchange = self._exchange
        self._was_used_before = row.endpoint_id in self.tried_ids
        self.tried_ids.add(row.endpoint_id)
        self._log.last_row = row
        self._log.last_framing = None
        self._is_streaming = False
        self._progress = AttemptProgress(self._response_writer.event_count)
        self._buffer.clear()
        head = build_forwarded_head(
            exchange, row, self._gateway, self._response_writer.last_event_id
        )
        permit = exchange.take_permit()
        request_id = exchange.content.request_id
        body = exchange.request.body
        self._try = EndpointTry(self, row, request_id, head, body, permit, self._used_connections)
        health = self._gateway.health.for_endpoint(row.endpoint_id)
        health.in_flight += 1
        self._gateway.gate.record_sent(row.endpoint_id)
        self._runs_apart = self._gateway.quarantine.runs_apart(exchange)
        health.suspects_in_flight += self._runs_apart
        self._try.begin(self._gateway.endpoints.connections_to(row), self.now_s())
        if exchange.route.may_repeat:
            self._first_byte_timer.start(self._try, self.tried_ids, self._on_first_byte_timeout)

    def cancel(self):
        """Cancel the attempt in progress."""
        if self._try is None:
            return
        self.may_have_run = self.may_have_run or self._try.was_sent
        self._release_endpoint(self._try)
        self._try.cancel()
        self._try = None
        self._buffer.clear()

    # Called by EndpointTry.

    def may_send(self, endpoint_try):
        """Return whether an attempt may be written to its endpoint now.

        Parameters
        ----------
        endpoint_try : EndpointTry

        Returns
        -------
        bool
        """
        if not self._gateway.stop_schedule.allows(self._exchange):
            return False
        if self._exchange.key.is_removed(self._exchange):
            return False
        return self._gateway.gate.may_send(endpoint_try.row.endpoint_id, endpoint_try.permit)

    def now_s(self):
        """Return the time, in seconds."""
        return self._gateway.clock.seconds()

    def on_response_head(self, endpoint_try, head):
        """Classify a response by its head.

        Parameters
        ----------
        endpoint_try : EndpointTry
        head : ResponseHead
        """
        self._log.last_framing = head.framing
        self._gateway.gate.record_response(endpoint_try.row.endpoint_id, head, endpoint_try.sent_s)
        route = self._exchange.route
        verdict = check_head(head, self._gateway.headers, route, self._response_writer.started)
        endpoint_try.outcome = TryOutcome.UNKNOWN if endpoint_try.is_doubtful else verdict.outcome
        self._is_streaming = verdict.is_stream
        if endpoint_try.outcome is not TryOutcome.NOT_RUN:
            self.may_have_run = True
        if endpoint_try.outcome is None:
            self._gateway.priority_policy.record_accepted(self._exchange)

    def on_response_data(self, endpoint_try, data):
        """Forward part of a stream, or buffer part of any other response.

        Parameters
        ----------
        endpoint_try : EndpointTry
        data : bytes
        """
        if self._is_streaming:
            self._forward_events(endpoint_try, data)
            return
        if not self._buffer.add(data):
            self._stop_oversized(endpoint_try, "the response exceeds the buffer limit")

    def on_response_end(self, endpoint_try):
        """Complete the request, or handle the failure that the response head reported.

        Parameters
        ----------
        endpoint_try : EndpointTry
        """
        head = endpoint_try.head
        if endpoint_try.outcome is not None:
            self.on_try_ended(endpoint_try, endpoint_try.outcome, f"status {head.status}")
            return
        problem = self._stream_problem(head)
        if problem:
            self.on_run_lost(endpoint_try)
            self.on_try_ended(endpoint_try, TryOutcome.BROKEN_OFF, problem)
            return
        self._release_endpoint(endpoint_try)
        took_s = self.now_s() - endpoint_try.sent_s
        self._gateway.stop_schedule.run_times.record(self._exchange.route.name, took_s)
        self._gateway.quarantine.run_answered(self._exchange, endpoint_try.row)
        self._gateway.health.for_endpoint(endpoint_try.row.endpoint_id).record_response(
            endpoint_try.first_byte_s - endpoint_try.sent_s
        )
        self._try = None
        if self._is_streaming:
            self._exchange.end_stream(head)
            return
        self._exchange.deliver(head, self._buffer.body)
        self._buffer.clear()

    def on_run_lost(self, endpoint_try):
        """Note that an endpoint closed the connection of a request that it may have been running.

        Parameters
        ----------
        endpoint_try : EndpointTry
        """
        progress = self._progress
        went_on = self._is_continuation and progress.has_events
        progress = RunProgress(progress.has_carried_on, went_on)
        self._gateway.quarantine.run_lost(self._exchange, endpoint_try.row, progress)

    def on_try_ended(self, endpoint_try, outcome, problem):
        """Continue after an attempt that produced no usable response.

        Parameters
        ----------
        endpoint_try : EndpointTry
        outcome : TryOutcome
        problem : str
        """
        exchange = self._exchange
        if exchange.ended or endpoint_try is not self._try:
            return
        self._try = None
        self._release_endpoint(endpoint_try)
        record_try(self._gateway, endpoint_try.row.endpoint_id, outcome)
        if outcome in (TryOutcome.NOT_SENT, TryOutcome.WITHHELD):
            self._unsent.record(endpoint_try.row.endpoint_id, outcome)
            if not self._was_used_before:
                self.tried_ids.discard(endpoint_try.row.endpoint_id)
        elif outcome is not TryOutcome.NOT_RUN:
            self.may_have_run = True
        state = RequestState(
            exchange.route.may_repeat and self._can_name_last_event(),
            self.may_have_run,
            self._response_writer.started,
            len(self.tried_ids),
            exchange.route.most_endpoints,
            self._unsent.may_connect(self._response_writer.started, exchange.model),
            exchange.left_s,
        )
        move = next_move(outcome, state, self._spend_retry)
        self._log.try_ended(outcome, problem, move, state.left_s)
        self._apply_move(move, endpoint_try)
        if self._try is None:
            self._buffer.clear()
            self._response_writer.discard_partial_event()

    def _can_name_last_event(self):
        return not self._response_writer.started or bool(self._response_writer.last_event_id)

    def _forward_events(self, endpoint_try, data):
        exchange = self._exchange
        self._response_writer.write_stream_data(endpoint_try.head, data, exchange.route)
        if self._response_writer.started and not exchange.binding.has_started:
            row = endpoint_try.row
            exchange.binding.start(StreamOrigin(row.pool, row.software_version))
        if self._progress.note_events(self._response_writer.event_count, self.now_s()):
            self._gateway.quarantine.run_carried_on(exchange)
        if not self._buffer.hold_event(self._response_writer.partial_event_bytes):
            self._stop_oversized(endpoint_try, "an event exceeds the buffer limit")

    def _stream_problem(self, head):
        if not self._is_streaming:
            return ""
        has_partial = self._response_writer.has_partial_event
        has_events = self._progress.has_events
        return stream_problem(head.framing, has_partial, has_events, self._is_continuation)

    @property
    def _is_continuation(self):
        return self._progress.is_continuation or self._exchange.binding.is_resumption

    def _stop_oversized(self, endpoint_try, problem):
        endpoint_try.cancel()
        is_not_run = endpoint_try.outcome is TryOutcome.NOT_RUN
        outcome = TryOutcome.NOT_RUN if is_not_run else TryOutcome.UNKNOWN
        self.on_try_ended(endpoint_try, outcome, problem)

    def _apply_move(self, move, endpoint_try):
        exchange = self._exchange
        if move is NextMove.TRY_AGAIN:
            self._response_writer.discard_partial_event()
            self._gateway.quarantine.repeat(exchange, endpoint_try.row)
        elif move is NextMove.DELIVER_FAILURE:
            exchange.deliver_failure(endpoint_try.head, self._buffer.body)
        elif move is NextMove.BREAK_OFF:
            exchange.abort_response("the endpoint aborted its response")
        elif move is NextMove.REFUSE_NOT_RUN:
            if endpoint_try.outcome is TryOutcome.NOT_RUN:
                self._gateway.priority_policy.record_refusal(exchange)
            exchange.refuse(self._gateway.selection.refusal(exchange))
        else:
            message = "the endpoint gave no whole answer"
            exchange.refuse(Refusal.of(ErrorKind.ENDPOINT_LOST, message))

    def _on_first_byte_timeout(self, endpoint_try):
        if self._exchange.ended or endpoint_try is not self._try:
            return
        endpoint_try.cancel()
        outcome = TryOutcome.UNKNOWN if endpoint_try.was_sent else TryOutcome.NOT_SENT
        self.on_try_ended(endpoint_try, outcome, "no response before the first-byte timeout")

    def _release_endpoint(self, endpoint_try):
        self._buffer.release()
        self._first_byte_timer.cancel()
        health = self._gateway.health.for_endpoint(endpoint_try.row.endpoint_id)
        health.in_flight -= 1
        health.suspects_in_flight -= self._runs_apart
        self._gateway.gate.record_ended(endpoint_try)
        if self._exchange.model:
            self._gateway.model_queue.request_finished(self._exchange)

    def _spend_retry(self):
        budget = self._gateway.endpoints.retry_budget(self._exchange.pool.name)
        return budget.try_spend(self.now_s(), self._gateway.share_divisor)
