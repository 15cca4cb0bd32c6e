"""Coordinate the requests of one entry."""

import logging

from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from hemlockdock_core.errors import ErrorKind
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.node import LoadCounts
from hemlockdock_entry.lifecycle import RequestCounts
from hemlockdock_entry.routing import RetryBudget, Router
from hemlockdock_entry.tasks.admission import Admission
from hemlockdock_entry.tasks.attempt_registry import AttemptRegistry
from hemlockdock_entry.tasks.capacity_view import CapacityView
from hemlockdock_entry.tasks.command_retrier import CommandRetrier
from hemlockdock_entry.tasks.planned_stop import PlannedStop
from hemlockdock_entry.tasks.shared_crashes import SharedCrashes
from hemlockdock_entry.tasks.waiting_requests import WaitingRequests
from hemlockdock_entry.waiting import ServiceTimes

logger = logging.getLogger(__name__)

MS_PER_S = 1_000


class RequestCoordinator:
    """Owns the requests of one entry and the components that admit, queue and route them.

    Parameters
    ----------
    clock : twisted reactor or Clock
    settings : Settings
    link : ControlLink
    send : callable
        Sends a message; takes an address and the message.
    random_source : random.Random
    wall_ms : callable
        Returns the wall clock time in milliseconds since 1970.
    incarnation : int, optional
        Incarnation of this process.
    """

    def __init__(self, clock, settings, link, send, random_source, wall_ms, incarnation=1):
        self.clock = clock
        self.settings = settings
        self.link = link
        self.send = send
        self.wall_ms = wall_ms
        self.random = random_source
        self.incarnation = incarnation
        self.node_id = settings.process.node_id
        self.draining = False
        self.planned_stop = PlannedStop(clock)
        self.ledger = RequestCounts()
        self.attempts = AttemptRegistry()
        self.budget = RetryBudget(settings.entry.retry_budget)
        self.router = Router(settings.process.failure_domain, random_source)
        self.crashes = SharedCrashes(self)
        self.service_times = ServiceTimes()
        self.command_retrier = CommandRetrier(clock, link, self._check_idle)
        self.loads = LoadCounts()
        self._capacity_view = CapacityView(clock, link, self.router, self.loads)
        self.admission = Admission(self, self._capacity_view)
        self.waiting = WaitingRequests(self, self._capacity_view)
        self._exchange_by_id = {}
        self._unanswered = set()
        self._on_idle = None
        self._tick_loop = LoopingCall(self._tick_safely)
        self._tick_loop.clock = clock

    @property
    def in_progress(self):
        """Return the number of requests whose callers have no final answer yet."""
        return len(self._unanswered)

    def start(self):
        """Start the periodic tasks."""
        self._tick_loop.start(self.settings.entry.wish_ms / MS_PER_S, now=False)

    def stop(self):
        """Stop the periodic tasks and the retries of pending commands."""
        if self._tick_loop.running:
            self._tick_loop.stop()
        self.command_retrier.stop()

    def submit(self, exchange):
        """Admit or refuse a request.

        Parameters
        ----------
        exchange : Exchange or ServiceCall
        """
        request = exchange.request
        self._exchange_by_id[request.request_id] = exchange
        self._unanswered.add(request.request_id)
        refusal = self.admission.refusal(request)
        if refusal is not None:
            exchange.refuse(refusal)
            return
        if request.model:
            self.loads.count_arrival(request.model)
        exchange.begin()

    def exchange(self, request_id):
        """Return the open exchange with a request id, or None.

        Parameters
        ----------
        request_id : str

        Returns
        -------
        Exchange, ServiceCall or None
        """
        return self._exchange_by_id.get(request_id)

    def is_usable(self, replica):
        """Return whether a replica still accepts new requests.

        Parameters
        ----------
        replica : ReplicaRow

        Returns
        -------
        bool
        """
        usable = self.router.usable_replicas(self.link.table, replica.model, "")
        return any(row.replica_id == replica.replica_id for row in usable)

    def answered(self, exchange):
        """Record that a caller has received its final answer.

        Parameters
        ----------
        exchange : Exchange
        """
        self._unanswered.discard(exchange.request.request_id)
        if exchange.attempt is None:
            self.closed(exchange)

    def closed(self, exchange):
        """Remove a request that is answered and whose run has ended.

        Parameters
        ----------
        exchange : Exchange
        """
        self._exchange_by_id.pop(exchange.request.request_id, None)
        self._check_idle()

    def when_idle(self, on_idle):
        """Call back once when no request is open and no command is pending.

        Parameters
        ----------
        on_idle : callable
        """
        self._on_idle = on_idle
        self._check_idle()

    def refuse_all(self):
        """Refuse all open requests when the shutdown time is over."""
        self.command_retrier.pending = 0
        for exchange in list(self._exchange_by_id.values()):
            exchange.shut_down()
            self.closed(exchange)
        self._check_idle()

    def table_changed(self):
        """Apply a change of the routing table: fail attempts at lost nodes, start requests."""
        table = self.link.table
        for attempt in self.attempts.all():
            node = table.node_by_id.get(attempt.node.node_id)
            gone = node is None or node.lost or node.incarnation != attempt.node.incarnation
            if gone:
                attempt.fail(ErrorKind.ENDPOINT_LOST, "the endpoint was lost")
        self._capacity_view.table_changed()
        self.router.remove_stale(table)
        self.waiting.start_all()

    def tick(self):
        """Start or refuse queued requests, resend wishes, report loads and check the ledger."""
        self.crashes.remove_expired()
        for load in self.loads.changed_loads(self.waiting.tick()):
            self.link.report_load(load)
        if not self.ledger.balanced(self.in_progress):
            COUNTERS.increment("entry_ledger_errors")
            logger.error("requests received differ from answered + refused + in progress")

    def report_internal_error(self, failure):
        """Log and count an internal error.

        Parameters
        ----------
        failure : twisted.python.failure.Failure
        """
        COUNTERS.increment("entry_faults")
        logger.error("internal error while handling a request", exc_info=failure.value)

    def _tick_safely(self):
        try:
            self.tick()
        except Exception:
            # An exception caused by one request must not stop the periodic tasks.
            self.report_internal_error(Failure())

    def _check_idle(self):
        if self._on_idle is None or self._exchange_by_id or self.command_retrier.pending:
            return
        on_idle, self._on_idle = self._on_idle, None
        on_idle()
