"""Process one client request: select an endpoint, forward the request, return the response."""

import logging

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.http import Framing
from hemlockdock_core.metrics import COUNTERS, LATENCIES
from hemlockdock_core.rows import RouteKind
from hemlockdock_core.stream_origins import StreamOrigin
from hemlockdock_entry.gateway.continuation import can_go_on, may_run_at
from hemlockdock_entry.gateway.endpoint_try import EndpointTry
from hemlockdock_entry.gateway.forwarded_request import build_forwarded_request
from hemlockdock_entry.gateway.origin_lookup import OriginQuestion
from hemlockdock_entry.gateway.outcome import NextMove, RequestState, TryOutcome, next_move
from hemlockdock_entry.gateway.response_writer import ResponseWriter

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
HOST = b"host"
CONTENT_ENCODING = b"content-encoding"
CONTENT_TYPE = b"content-type"
EVENT_STREAM = b"text/event-stream"
# If control is unavailable at first, it takes about one more leader election.
NO_ROUTES_RETRY_MS = 800
# The response at the deadline must reach the client before it stops waiting.
DEADLINE_MARGIN_S = 0.03
MISDIRECTED_REQUEST = 421
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
# An endpoint is avoided for this long after it had no capacity or accepted no connection.
FULL_PAUSE_S = 0.25
# Minimum wait for the first byte if another endpoint could answer.
MIN_FIRST_BYTE_TIMEOUT_S = 0.6
# With less time left, a retry is no more likely to answer in time than the current attempt.
MIN_TRY_S = 0.25
# A client whose time left is lower than the route's timeout by this much was refused before.
RETURNING_CLIENT_MS = 100
# The route's timeout, by which a client's wait is estimated, may have changed meanwhile.
TIMEOUT_CHANGE_MARGIN_S = 5.0
# A client that takes up its stream as late as it may still finds out where it began.
ORIGIN_KEEP_MARGIN_MS = 1_000
# Another entry or a later question may find the origin of a stream that this one did not.
ORIGIN_RETRY_MS = 300
# Failed connection attempts of one request before the client is told to retry later.
MAX_UNSENT_TRIES = 6


class ProxyExchange:
    """Process one client request from its arrival to the final response.

    Parameters
    ----------
    gateway : Gateway
    connection : ClientConnection
    request : ClientRequest

    Attributes
    ----------
    route : RouteRow or None
    pool : PoolRow or None
    model, adapter : str
        Empty if the request names none.
    origin : StreamOrigin or None
        Where the stream began that this request goes on with; None until its first event.
    deadline_s : float
    target_s : float
        Time until which the response, or a stream's first event, meets the route's target.
    is_first_request : bool
        Whether this is the client's first request, judging by its time left.
    """

    def __init__(self, gateway, connection, request):
        self._gateway = gateway
        self._connection = connection
        self._response_writer = ResponseWriter(gateway, connection, request)
        self._deadline_call = None
        self._first_byte_call = None
        self._try = None
        self._may_have_run = False
        self._is_streaming = False
        self._framing = None
        self._software_version = ""
        self._events_before_try = 0
        self._origin_recorded = False
        self._body = []
        self._body_bytes = 0
        self._ended = False
        self._unsent_tries = 0
        self.request = request
        self.route = None
        self.pool = None
        self.model = ""
        self.adapter = ""
        self.origin = None
        self.deadline_s = 0.0
        self.target_s = 0.0
        self.tried_ids = set()
        self.was_queued = False
        self.reserved_endpoint_id = ""
        self.is_first_request = True

    @property
    def request_id(self):
        """Return the request id that the client sent."""
        return self.request.value_by_name.get(self._gateway.headers.request_id, b"")

    @property
    def continued_request_id(self):
        """Return the id of the request whose stream the client continues; empty if none."""
        return self.request.value_by_name.get(self._gateway.headers.continued_request, b"")

    @property
    def ended(self):
        """Return whether the final response was sent or the client disconnected."""
        return self._ended

    @property
    def may_have_run(self):
        """Return whether any attempt so far may have run."""
        return self._may_have_run

    @property
    def left_s(self):
        """Return the time left, in seconds."""
        return self.deadline_s - self._gateway.clock.seconds()

    @property
    def elapsed_s(self):
        """Return the time since the request was received, in seconds."""
        return self._gateway.clock.seconds() - self.request.received_s

    def now_s(self):
        """Return the time, in seconds."""
        return self._gateway.clock.seconds()

    def start(self):
        """Look up the route, and forward or refuse the request."""
        gateway = self._gateway
        if gateway.refuses_new_requests:
            self.refuse(Refusal.of(ErrorKind.DRAINING, "the entry stops"))
            return
        if gateway.routes is None:
            # Right after startup, the first routing table usually arrives shortly.
            gateway.wait_for_routes(self)
            return
        request = self.request
        host = request.value_by_name.get(HOST, b"")
        self.route = gateway.routes.find(host, request.path)
        if self.route is None:
            self.refuse(Refusal.of(ErrorKind.UNKNOWN_ROUTE, "no route for this host and path"))
            return
        self._set_deadline()
        if self._takes_up_stream:
            self._find_origin()
            return
        self._begin(gateway.choose_pool(self.route))

    def _find_origin(self):
        request_id = self.continued_request_id.decode("latin-1")
        pools = self.route.pools
        pool = pools[0].pool if len(pools) == 1 else ""
        question = OriginQuestion(request_id, pool, int(self._longest_wait_s * MS_PER_S))
        members = self._gateway.control_members
        self._gateway.origin_lookup.find(question, members, self._on_origin_found)

    def _on_origin_found(self, result):
        if self._ended:
            return
        if result.origin is None:
            retry_ms = None if result.is_final else ORIGIN_RETRY_MS
            why = "it is not known at which software version the stream began"
            kind = ErrorKind.STREAM_ORIGIN_UNKNOWN
            self.refuse(Refusal.of(kind, why, retry_after_ms=retry_ms))
            return
        self.origin = result.origin
        if all(target.pool != self.origin.pool for target in self.route.pools):
            self.refuse_to_go_on()
            return
        self._begin(self._gateway.pool(self.origin.pool))

    def _begin(self, pool):
        if pool is None:
            self.refuse(Refusal.of(ErrorKind.NO_CAPACITY, "the route's pool is not known"))
            return
        self.pool = pool
        self._retry_budget.record_request(self.now_s())
        self._read_model()
        self._dispatch()

    def refuse_to_go_on(self):
        """Refuse the request because no endpoint has the software version of its stream."""
        kind = ErrorKind.ENDPOINT_LOST if self._may_have_run else ErrorKind.STREAM_VERSION_GONE
        self.refuse(Refusal.of(kind, "no endpoint has the software version of the stream"))

    def refuse_without_routes(self):
        """Refuse the request with a retry time, because no routing table was received."""
        why = "no routes are known yet"
        retry_ms = NO_ROUTES_RETRY_MS
        self.refuse(Refusal.of(ErrorKind.NO_CONTROL, why, retry_after_ms=retry_ms))

    def send_to(self, row):
        """Forward the request to an endpoint.

        Parameters
        ----------
        row : EndpointRow
        """
        if self._ended:
            return
        self.tried_ids.add(row.endpoint_id)
        self._is_streaming = False
        self._software_version = row.software_version
        self._events_before_try = self._response_writer.event_count
        self._body = []
        self._body_bytes = 0
        data = build_forwarded_request(
            self, row, self._gateway, self._response_writer.last_event_id
        )
        self._try = EndpointTry(self, row, self.request_id, data)
        health = self._gateway.health.for_endpoint(row.endpoint_id)
        health.in_flight += 1
        self._try.begin(self._gateway.connections_to(row), self._gateway.clock.seconds())
        if self.route.may_repeat:
            timeout_s = health.first_byte_timeout_s(MIN_FIRST_BYTE_TIMEOUT_S)
            self._first_byte_call = self._gateway.clock.callLater(
                timeout_s, self._on_first_byte_timeout, self._try
            )

    def refuse(self, refusal):
        """Refuse the request, or abort the response if it has already started.

        Parameters
        ----------
        refusal : Refusal
        """
        if self._ended:
            return
        if self._response_writer.started:
            self._abort_response(refusal.message)
            return
        self._log(refusal.kind.value, refusal.message)
        COUNTERS.increment("gateway_refusals", kind=refusal.kind.value)
        self._response_writer.write_refusal(refusal, self.request_id)
        self._finish()

    def shut_down(self):
        """End the request because the process is stopping."""
        if self._ended:
            return
        self._cancel_try()
        if self._may_have_run:
            self.refuse(Refusal.of(ErrorKind.ENDPOINT_LOST, "the entry stops"))
            return
        self.refuse(Refusal.of(ErrorKind.DRAINING, "the entry stops"))

    def on_client_disconnected(self):
        """Cancel the request after its client disconnected."""
        if self._ended:
            return
        self._log("client_gone", "")
        COUNTERS.increment("gateway_clients_gone")
        self._ended = True
        self._cancel_deadline()
        self._gateway.model_queue.dequeue(self)
        self._cancel_try()
        self._gateway.remove_exchange(self)

    # Called by EndpointTry.

    def on_response_head(self, endpoint_try, head):
        """Classify a response by its head.

        Parameters
        ----------
        endpoint_try : EndpointTry
        head : ResponseHead
        """
        names = self._gateway.headers
        self._framing = head.framing
        if head.value(names.not_run) or head.status == MISDIRECTED_REQUEST:
            endpoint_try.outcome = TryOutcome.NOT_RUN
            return
        self._may_have_run = True
        if head.status >= 300:
            endpoint_try.outcome = TryOutcome.FAILED
            return
        if not head.value(names.signature) or head.value(CONTENT_ENCODING):
            endpoint_try.outcome = TryOutcome.UNKNOWN
            return
        self._is_streaming = self.route.kind is RouteKind.STREAM and _is_event_stream(head)
        if self._response_writer.started and not self._is_streaming:
            endpoint_try.outcome = TryOutcome.UNKNOWN

    def on_response_data(self, endpoint_try, data):
        """Forward part of a stream, or buffer part of any other response.

        Parameters
        ----------
        endpoint_try : EndpointTry
        data : bytes
        """
        if self._is_streaming:
            self._response_writer.write_stream_data(endpoint_try.head, data, self.route)
            if self._response_writer.started and not self._origin_recorded:
                self._record_origin(endpoint_try.row)
            if self._response_writer.partial_event_bytes > MAX_BUFFERED_BYTES:
                self._stop_oversized(endpoint_try, "an event exceeds the buffer limit")
            return
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BUFFERED_BYTES:
            self._stop_oversized(endpoint_try, "the response exceeds the buffer limit")
            return
        self._body.append(data)

    def on_response_end(self, endpoint_try):
        """Complete the request, or handle the failure that the response head reported.

        Parameters
        ----------
        endpoint_try : EndpointTry
        """
        if endpoint_try.outcome is not None:
            self.on_try_ended(
                endpoint_try, endpoint_try.outcome, f"status {endpoint_try.head.status}"
            )
            return
        problem = self._stream_problem(endpoint_try.head)
        if problem:
            self.on_try_ended(endpoint_try, TryOutcome.BROKEN_OFF, problem)
            return
        now_s = self._gateway.clock.seconds()
        self._release_endpoint(endpoint_try)
        self._gateway.health.for_endpoint(endpoint_try.row.endpoint_id).record_response(
            endpoint_try.first_byte_s - endpoint_try.sent_s
        )
        self._try = None
        self._log("answered", "")
        LATENCIES.record("gateway_answer", self.route.kind.value, now_s - self.request.received_s)
        COUNTERS.increment("gateway_answers", kind=self.route.kind.value)
        if not self._is_streaming:
            self._deliver(endpoint_try.head)
            return
        self._response_writer.end_stream(endpoint_try.head)
        self._finish()

    def on_try_ended(self, endpoint_try, outcome, problem):
        """Continue after an attempt that produced no usable response.

        Parameters
        ----------
        endpoint_try : EndpointTry
        outcome : TryOutcome
        problem : str
        """
        if self._ended or endpoint_try is not self._try:
            return
        self._try = None
        self._release_endpoint(endpoint_try)
        self._record_health(endpoint_try, outcome)
        if outcome is TryOutcome.NOT_SENT:
            self._unsent_tries += 1
            self.tried_ids.discard(endpoint_try.row.endpoint_id)
        elif outcome is not TryOutcome.NOT_RUN:
            self._may_have_run = True
        state = RequestState(
            self.route.may_repeat,
            self._may_have_run,
            self._response_writer.started,
            len(self.tried_ids),
            self.route.most_endpoints,
            self._unsent_tries < MAX_UNSENT_TRIES,
            self.left_s,
        )
        move = next_move(outcome, state, self._spend_retry)
        logger.info(
            "try ended",
            extra={
                "request": self.request_id.decode("latin-1"),
                "endpoint": endpoint_try.row.endpoint_id,
                "software_version": endpoint_try.row.software_version,
                "outcome": outcome.value,
                "why": problem,
                "framing": "" if self._framing is None else self._framing.value,
                "inside_event": self._response_writer.has_partial_event,
                "next": move.value,
                "left_s": round(state.left_s, 3),
            },
        )
        self._apply_move(move, endpoint_try)

    def _stream_problem(self, head):
        """Return why the end of a stream is not the end of its response; empty if it is."""
        if not self._is_streaming:
            return ""
        if self._response_writer.has_partial_event:
            return "the stream ended inside an event"
        has_events = self._response_writer.event_count > self._events_before_try
        if head.framing is Framing.CONNECTION_END and not has_events:
            return "the connection closed before the first event"
        return ""

    def _stop_oversized(self, endpoint_try, problem):
        endpoint_try.cancel()
        self.on_try_ended(endpoint_try, TryOutcome.UNKNOWN, problem)

    def _apply_move(self, move, endpoint_try):
        if move is NextMove.TRY_AGAIN:
            self._response_writer.discard_partial_event()
            self._dispatch()
        elif move is NextMove.DELIVER_FAILURE:
            self._log("failed", f"status {endpoint_try.head.status}")
            self._deliver(endpoint_try.head)
        elif move is NextMove.BREAK_OFF:
            self._abort_response("the endpoint aborted its response")
        elif move is NextMove.REFUSE_NOT_RUN:
            self.refuse(Refusal.of(ErrorKind.NO_CAPACITY, "no endpoint took the request"))
        else:
            self.refuse(Refusal.of(ErrorKind.ENDPOINT_LOST, "the endpoint gave no whole answer"))

    def _dispatch(self):
        if not can_go_on(self.origin, self.model, self._gateway.pool_rows(self.pool.name)):
            self.refuse_to_go_on()
            return
        if self.model:
            self._gateway.model_queue.enqueue(self)
            return
        rows = self._gateway.rows_below_connection_limit(self.pool)
        rows = [row for row in rows if may_run_at(self.origin, row)]
        row = self._gateway.health.choose(rows, self._gateway.clock.seconds(), self.tried_ids)
        if row is None:
            row = self._gateway.health.choose(rows, self._gateway.clock.seconds())
        if row is None:
            self.refuse(Refusal.of(ErrorKind.NO_CAPACITY, "no endpoint of the pool can take it"))
            return
        self.send_to(row)

    @property
    def _takes_up_stream(self):
        if self.route.kind is not RouteKind.STREAM:
            return False
        has_last_event = bool(self.request.value_by_name.get(self._gateway.headers.last_event_id))
        return has_last_event or bool(self.continued_request_id)

    @property
    def _longest_wait_s(self):
        waited_s = max(0.0, self.route.timeout_ms / MS_PER_S - self.left_s)
        return waited_s + TIMEOUT_CHANGE_MARGIN_S

    def _record_origin(self, row):
        self._origin_recorded = True
        self.origin = StreamOrigin(row.pool, row.software_version)
        if not self.route.resumable or not row.software_version:
            return
        keep_ms = int(self.left_s * MS_PER_S) + ORIGIN_KEEP_MARGIN_MS
        self._gateway.origin_lookup.record(
            self.request_id.decode("latin-1"), self.origin, keep_ms, self._gateway.control_members
        )

    def _read_model(self):
        if self.pool.engine is None:
            return
        names = self._gateway.headers
        value = self.request.value_by_name.get(names.model, b"").decode("latin-1")
        self.model, _, self.adapter = value.partition("/")

    def _set_deadline(self):
        limit_ms = self.route.timeout_ms
        time_left_header = self.request.value_by_name.get(
            self._gateway.headers.time_left_ms, b""
        ).strip()
        if time_left_header.isdigit():
            limit_ms = min(limit_ms, int(time_left_header))
        received_s = self.request.received_s
        self.deadline_s = received_s + limit_ms / MS_PER_S
        # A client that retries after a refusal has less time left than the route's timeout.
        waited_ms = max(0, self.route.timeout_ms - limit_ms)
        self.is_first_request = waited_ms < RETURNING_CLIENT_MS
        self.target_s = received_s + (self.route.target_ms - waited_ms) / MS_PER_S
        delay_s = max(0.0, self.left_s - DEADLINE_MARGIN_S)
        self._deadline_call = self._gateway.clock.callLater(delay_s, self._on_deadline)

    def _on_first_byte_timeout(self, endpoint_try):
        """Cancel an attempt without a first byte if another endpoint may answer in time."""
        self._first_byte_call = None
        if self._ended or endpoint_try is not self._try or endpoint_try.head is not None:
            return
        if len(self.tried_ids) >= self.route.most_endpoints or self.left_s < MIN_TRY_S:
            return
        if not self._gateway.has_alternative(self, endpoint_try.row):
            return
        if endpoint_try.was_sent and not self._has_retry_left():
            return
        endpoint_try.cancel()
        outcome = TryOutcome.UNKNOWN if endpoint_try.was_sent else TryOutcome.NOT_SENT
        self.on_try_ended(endpoint_try, outcome, "no response before the first-byte timeout")

    def _on_deadline(self):
        self._deadline_call = None
        if self._ended:
            return
        self._cancel_try()
        if self._response_writer.started:
            self._abort_response("the deadline passed")
            return
        if self._may_have_run:
            self.refuse(Refusal.of(ErrorKind.DEADLINE_PASSED, "no answer before the deadline"))
            return
        self.refuse(Refusal.of(ErrorKind.DEADLINE_UNREACHABLE, "the deadline passed"))

    def _abort_response(self, reason):
        self._log("broken_off", reason)
        COUNTERS.increment("gateway_streams_broken_off")
        self._ended = True
        self._cancel_deadline()
        self._gateway.model_queue.dequeue(self)
        self._connection.abort_response()
        self._gateway.remove_exchange(self)

    def _deliver(self, head):
        self._response_writer.write_response(head, b"".join(self._body))
        self._finish()

    def _finish(self):
        self._ended = True
        self._cancel_deadline()
        self._gateway.model_queue.dequeue(self)
        self._gateway.remove_exchange(self)
        self._connection.response_finished(self._response_writer.keep_alive)

    def _cancel_deadline(self):
        if self._deadline_call is not None:
            self._deadline_call.cancel()
            self._deadline_call = None

    def _cancel_try(self):
        if self._try is None:
            return
        self._may_have_run = self._may_have_run or self._try.was_sent
        self._release_endpoint(self._try)
        self._try.cancel()
        self._try = None

    def _release_endpoint(self, endpoint_try):
        if self._first_byte_call is not None:
            self._first_byte_call.cancel()
            self._first_byte_call = None
        row = endpoint_try.row
        self._gateway.health.for_endpoint(row.endpoint_id).in_flight -= 1
        if self.model:
            self._gateway.model_queue.request_finished(self)

    def _record_health(self, endpoint_try, outcome):
        now_s = self._gateway.clock.seconds()
        health = self._gateway.health.for_endpoint(endpoint_try.row.endpoint_id)
        if outcome in (TryOutcome.NOT_RUN, TryOutcome.NOT_SENT):
            health.record_full(now_s, FULL_PAUSE_S)
        if outcome is not TryOutcome.NOT_RUN:
            health.record_failure(now_s)

    @property
    def _retry_budget(self):
        return self._gateway.retry_budget(self.pool.name)

    def _spend_retry(self):
        return self._retry_budget.try_spend(self.now_s(), self._gateway.entries)

    def _has_retry_left(self):
        return self._retry_budget.has_available(self.now_s(), self._gateway.entries)

    def _log(self, outcome, reason):
        logger.info(
            "request ended",
            extra={
                "request": self.request_id.decode("latin-1"),
                "route": "" if self.route is None else self.route.name,
                "continues": self.continued_request_id.decode("latin-1"),
                "software_version": self._software_version,
                "model": self.model,
                "adapter": self.adapter,
                "outcome": outcome,
                "why": reason,
                "tried": sorted(self.tried_ids),
                "held_s": round(self.elapsed_s, 3),
                "first_event_s": self._since_received(self._response_writer.first_event_s),
                "longest_gap_s": round(self._response_writer.longest_gap_s, 3),
                "framing": "" if self._framing is None else self._framing.value,
                "inside_event": self._response_writer.has_partial_event,
                "left_s": round(self.left_s, 3) if self.deadline_s else None,
                "revision": self._gateway.revision,
            },
        )

    def _since_received(self, at_s):
        return None if at_s is None else round(at_s - self.request.received_s, 3)


def _is_event_stream(head):
    content_type = head.value(CONTENT_TYPE)
    return not content_type or content_type.lower().startswith(EVENT_STREAM)
