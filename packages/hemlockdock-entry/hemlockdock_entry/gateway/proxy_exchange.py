"""Process one client request: select an endpoint, forward the request, return the response."""

from hemlockdock_core.errors import NOT_RUN_STATUSES, ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS, LATENCIES
from hemlockdock_entry.customers import NO_CUSTOMER_URGENCY, RequestKey
from hemlockdock_entry.customers.token_charge import TokenCharge
from hemlockdock_entry.gateway.continuation import can_continue
from hemlockdock_entry.gateway.exchange_log import ExchangeLog
from hemlockdock_entry.gateway.patience import Patience
from hemlockdock_entry.gateway.permit import PermitWish
from hemlockdock_entry.gateway.refusals import unsendable_refusal
from hemlockdock_entry.gateway.request_content import HOST, RequestContent
from hemlockdock_entry.gateway.request_times import RequestTimes
from hemlockdock_entry.gateway.response_writer import ResponseWriter
from hemlockdock_entry.gateway.stream_binding import StreamBinding
from hemlockdock_entry.gateway.try_sequence import TrySequence

# The response at the deadline must reach the client before it stops waiting.
DEADLINE_MARGIN_S = 0.03
# A request that names no model waits as long also after its target: a refused client takes longer.
SHORT_WAIT_S = 0.1


class ProxyExchange:
    """Process one client request from its arrival to the final response.

    Parameters
    ----------
    gateway : Gateway
    connection : ClientConnection
    request : ClientRequest

    Attributes
    ----------
    content : RequestContent
    key : RequestKey
    route : RouteRow or None
    pool : PoolRow or None
    model, adapter : str
        Empty if the request names none.
    binding : StreamBinding
    deadline_s : float
    target_s : float
        Time until which the response, or a stream's first event, meets the route's target.
    is_first_request : bool
        Whether this is the client's first request, judging by its time left.
    was_queued : bool
    ticket : QueueTicket or None
        Place among those that wait; None until the request is queued for its model.
    reserved_endpoint_id : str
        Endpoint at which a slot is reserved while the request waits for an adapter.
    wish : PermitWish
    token_charge : TokenCharge
    """

    def __init__(self, gateway, connection, request):
        self._gateway = gateway
        self._connection = connection
        self._response_writer = ResponseWriter(gateway, connection, request)
        self._log = ExchangeLog(gateway, self, self._response_writer)
        self._tries = TrySequence(gateway, self, self._response_writer, self._log)
        self.content = RequestContent(request, gateway.headers)
        self._times = None
        self._deadline_call = None
        self._ended = False
        self.request = request
        self.key = RequestKey(gateway, request)
        self.route = None
        self.pool = None
        self.model = ""
        self.adapter = ""
        self.binding = StreamBinding(gateway, self)
        self.deadline_s = 0.0
        self.target_s = 0.0
        self.is_first_request = True
        self.was_queued = False
        self.ticket = None
        self.reserved_endpoint_id = ""
        self.wish = PermitWish()
        self.token_charge = TokenCharge()

    @property
    def ended(self):
        """Return whether the final response was sent or the client disconnected."""
        return self._ended

    @property
    def tried_ids(self):
        """Return the set of the ids of the endpoints to which the request was sent."""
        return self._tries.tried_ids

    @property
    def may_have_run(self):
        """Return whether any attempt so far may have run."""
        return self._tries.may_have_run

    @property
    def left_s(self):
        """Return the time left, in seconds."""
        return self.deadline_s - self.now_s()

    @property
    def has_started(self):
        """Return whether the client has got the head of the response."""
        return self._response_writer.started

    @property
    def client_left_ms(self):
        """Return the time for which the client waits from its request on; None if unknown."""
        return self._times.client_left_ms

    @property
    def may_wait_s(self):
        """Return how long the request may wait for an endpoint, in seconds."""
        if self.model:
            return max(0.0, self.patience.left_s(self.now_s()))
        latest_s = max(self.target_s, self.now_s() + SHORT_WAIT_S)
        return max(0.0, min(latest_s, self.deadline_s) - self.now_s())

    @property
    def customer(self):
        """Return the CustomerRow of the request's key; None if it was sent without one."""
        return self.key.customer

    @property
    def urgency(self):
        """Return the key by which requests are ordered; the lowest is the most urgent."""
        customer_urgency = NO_CUSTOMER_URGENCY if self.customer is None else self.customer.urgency
        return (customer_urgency, self.route.urgency)

    @property
    def urgency_rank(self):
        """Return the rank of the request's urgency among all that the manifest allows."""
        return self._gateway.customers.index.rank(self)

    @property
    def patience(self):
        """Return the Patience of the client of a request that names a model."""
        since_s = self._response_writer.last_event_s
        if since_s is None:
            since_s = self.request.received_s
        return Patience.of(self.route, self._gateway.fleet, since_s, self.deadline_s)

    @property
    def waits_for_permit(self):
        """Return whether the request waits for a permit, or for the time of its permit."""
        return self.wish.is_pending(self.now_s())

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
            gateway.startup_queue.add(self)
            return
        self.route = gateway.routes.find(self.request.header(HOST), self.request.path)
        if self.route is None:
            self.refuse(Refusal.of(ErrorKind.UNKNOWN_ROUTE, "no route for this host and path"))
            return
        refusal = self.key.refusal(self.route)
        if refusal is not None:
            self.refuse(refusal)
            return
        self._set_times()
        if self.binding.is_resumption:
            self.binding.find(self._begin)
            return
        self._begin()

    def dispatch(self):
        """Send the request to an endpoint, or queue it until one can run it."""
        if self._ended or self._tries.in_progress or self.refuse_unsendable():
            return
        rows = self._gateway.endpoints.of_pool(self.pool.name)
        if not can_continue(self.binding.origin, self.model, rows):
            self.refuse_continuation()
            return
        if self.model:
            self._gateway.model_queue.enqueue(self)
            return
        selection = self._gateway.selection
        row = selection.admit(self, selection.choose)
        if row is not None:
            self.send_to(row)
            return
        if self.waits_for_permit:
            return
        in_doubt = selection.in_doubt(self.pool)
        if in_doubt is not None:
            self._gateway.quarantine.watch.call_when_known(in_doubt, self.dispatch)
            return
        self.refuse(selection.refusal(self))

    def resume(self):
        """Go on with a request that has waited for a permit."""
        if self._ended:
            return
        if self.model:
            self._gateway.model_queue.resume(self)
        else:
            self.dispatch()

    def send_to(self, row):
        """Forward the request to an endpoint.

        Parameters
        ----------
        row : EndpointRow
        """
        if not self._ended:
            self._tries.send_to(row)

    def take_permit(self):
        """Return the permit for the endpoint that was chosen, which can be used once.

        Returns
        -------
        Permit or None
        """
        permit, self.wish.permit = self.wish.permit, None
        return permit

    def refuse(self, refusal):
        """Refuse the request, or abort the response if it has already started.

        Parameters
        ----------
        refusal : Refusal
            Loses its promise that the request has not run if an attempt may have run.
        """
        if self._ended:
            return
        if self._response_writer.started:
            self.abort_response(refusal.message)
            return
        if self.may_have_run:
            refusal = refusal.without_promise()
        self._log.request_ended(refusal.kind.value, refusal.message)
        COUNTERS.increment("gateway_refusals", kind=refusal.kind.value)
        self._response_writer.write_refusal(refusal, self.content.request_id)
        self._finish()

    def customers_changed(self):
        """Refuse the request if it waits and its key was removed."""
        if self._ended or self.route is None or self._tries.in_progress:
            return
        refusal = self.key.removal_refusal(self)
        if refusal is not None:
            self.refuse(refusal)

    def refuse_unsendable(self):
        """Refuse the request if no endpoint may get it.

        Returns
        -------
        bool
            Whether it was refused.
        """
        refusal = unsendable_refusal(self._gateway, self)
        if refusal is None:
            return False
        self.refuse(refusal)
        return True

    def refuse_continuation(self):
        """Refuse the request because no endpoint has the software version of its stream."""
        message = "no endpoint has the software version of the stream"
        self.refuse(Refusal.of(ErrorKind.STREAM_VERSION_GONE, message))

    def shut_down(self):
        """End the request because the process is stopping."""
        if self._ended:
            return
        self._tries.cancel()
        self.refuse(Refusal.of(ErrorKind.DRAINING, "the entry stops"))

    def on_client_disconnected(self):
        """Cancel the request after its client disconnected."""
        if self._ended:
            return
        self._log.request_ended("client_gone", "")
        COUNTERS.increment("gateway_clients_gone")
        self._leave()
        self._tries.cancel()

    # Called by TrySequence.

    def end_stream(self, head):
        """Complete a stream.

        Parameters
        ----------
        head : ResponseHead
        """
        self._record_answer()
        self._response_writer.end_stream(head)
        self._finish()

    def deliver(self, head, body):
        """Deliver a complete response that is no stream.

        Parameters
        ----------
        head : ResponseHead
        body : bytes
        """
        self._record_answer()
        self._response_writer.write_response(head, body)
        self._finish()

    def deliver_failure(self, head, body):
        """Deliver an endpoint's error response.

        An error whose status clients take as a promise is replaced: the endpoint made no promise.

        Parameters
        ----------
        head : ResponseHead
        body : bytes
        """
        if head.status in NOT_RUN_STATUSES:
            message = f"the endpoint failed with status {head.status} and may have run the request"
            self.refuse(Refusal.of(ErrorKind.ENGINE_FAILED, message))
            return
        self._log.request_ended("failed", f"status {head.status}")
        self._response_writer.write_response(head, body)
        self._finish()

    def abort_response(self, reason):
        """Abort a response that has started, so that its client sees that it is incomplete.

        Parameters
        ----------
        reason : str
        """
        self._log.request_ended("broken_off", reason)
        COUNTERS.increment("gateway_streams_broken_off")
        self._leave()
        self._connection.abort_response()

    def _set_times(self):
        time_left = self.request.header(self._gateway.headers.time_left_ms)
        self._times = RequestTimes.of(self.route, self.request.received_s, time_left)
        self.deadline_s = self._times.deadline_s
        self.target_s = self._times.target_s
        self.is_first_request = self._times.is_first_request
        delay_s = max(0.0, self.left_s - DEADLINE_MARGIN_S)
        self._deadline_call = self._gateway.clock.callLater(delay_s, self._on_deadline)

    def _begin(self):
        gateway = self._gateway
        origin = self.binding.origin
        pool = gateway.choose_pool(self.route) if origin is None else gateway.pool(origin.pool)
        if pool is None:
            self.refuse(Refusal.of(ErrorKind.NO_CAPACITY, "the route's pool is not known"))
            return
        self.pool = pool
        self._gateway.endpoints.retry_budget(pool.name).record_request(self.now_s())
        if pool.engine is not None:
            value = self.request.header(self._gateway.headers.model).decode("latin-1")
            self.model, _, self.adapter = value.partition("/")
        if gateway.quotas.charge(self):
            self.dispatch()

    def _on_deadline(self):
        self._deadline_call = None
        if self._ended:
            return
        self._tries.cancel()
        if self._response_writer.started:
            self.abort_response("the deadline passed")
            return
        kind = ErrorKind.DEADLINE_PASSED if self.may_have_run else ErrorKind.DEADLINE_UNREACHABLE
        self.refuse(Refusal.of(kind, "no answer before the deadline"))

    def _record_answer(self):
        self._log.request_ended("answered", "")
        kind = self.route.kind.value
        LATENCIES.record("gateway_answer", kind, self.now_s() - self.request.received_s)
        COUNTERS.increment("gateway_answers", kind=kind)

    def _finish(self):
        self._leave()
        self._connection.response_finished(self._response_writer.keep_alive)

    def _leave(self):
        self._ended = True
        if self._deadline_call is not None:
            self._deadline_call.cancel()
            self._deadline_call = None
        self._gateway.model_queue.dequeue(self)
        self._gateway.permits.give_back(self.take_permit())
        self._gateway.quotas.release(self)
        self._gateway.remove_exchange(self)
