"""Keep all requests of one entry, and decide which runs where and when."""

import logging

from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.messages import Wish
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.lifecycle import Ledger
from hemlockdock_entry.routing import RetryBudget, Router, Standing, Suspects
from hemlockdock_entry.tasks.attempts import Attempts
from hemlockdock_entry.tasks.background import Background
from hemlockdock_entry.tasks.exchange import LIVE_KIND
from hemlockdock_entry.tasks.load_reports import LoadReports
from hemlockdock_entry.tasks.supply_view import SupplyView
from hemlockdock_entry.waiting import ModelQueues, ServiceTimes, expected_answer_s

logger = logging.getLogger(__name__)

MS_PER_S = 1_000


class Desk:
    """Keep all requests of one entry, and decide which runs where and when.

    Parameters
    ----------
    clock : twisted reactor or Clock
    settings : Settings
    link : ControlLink
    send : callable
        Takes an address and a message.
    random_source : random.Random
    wall_ms : callable
        Returns milliseconds since 1970.
    incarnation : int, optional
        Of this process.
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
        self.ledger = Ledger()
        self.attempts = Attempts()
        self.budget = RetryBudget(settings.entry.retry_budget)
        self.router = Router(settings.process.failure_domain, random_source)
        self.suspects = Suspects()
        self.service_times = ServiceTimes()
        self.background = Background(clock, link, self._check_idle)
        self.loads = LoadReports(link)
        self._supply = SupplyView(clock, link, self.router, self.loads)
        self._queues_by_model = {}
        self._exchange_by_id = {}
        self._unanswered = set()
        self._suspect_in_flight = None
        self._on_idle = None
        self._ticks = LoopingCall(self._tick_safely)
        self._ticks.clock = clock

    @property
    def in_progress(self):
        """Return how many callers wait for their answers."""
        return len(self._unanswered)

    def start(self):
        """Begin the periodic work."""
        self._ticks.start(self.settings.entry.wish_ms / MS_PER_S, now=False)

    def stop(self):
        """End the periodic work."""
        if self._ticks.running:
            self._ticks.stop()
        self.background.stop()

    def submit(self, exchange):
        """Take a request.

        Parameters
        ----------
        exchange : Exchange
        """
        request = exchange.request
        self._exchange_by_id[request.request_id] = exchange
        self._unanswered.add(request.request_id)
        refusal = self._refusal_at_admission(request)
        if refusal is not None:
            exchange.refuse(refusal)
            return
        if request.model:
            self.loads.arrived(request.model)
        exchange.begin()

    def exchange(self, request_id):
        """Return the open exchange with an id, or None.

        Parameters
        ----------
        request_id : str

        Returns
        -------
        Exchange or None
        """
        return self._exchange_by_id.get(request_id)

    def enqueue(self, exchange):
        """Put a request in its queue, or refuse it where it cannot be answered in time.

        Parameters
        ----------
        exchange : Exchange
        """
        request = exchange.request
        queues = self._queues_by_model.get(request.model)
        if queues is None:
            queues = ModelQueues(self.settings)
            self._queues_by_model[request.model] = queues
        refusal = self.unreachable(request, queues.ahead_of(request))
        if refusal is None:
            refusal = queues.add(request).err()
        if refusal is not None:
            if not self._supply.slots(request):
                # The caller may ask again once the model is there.
                self._wish_for(request, 1)
            exchange.refuse(refusal)
            return
        exchange.life.wait()
        self.pump(request.model)
        if exchange.core.state == "waiting" and not self._supply.slots(request):
            self._wish_for(request, len(queues))

    def leave_queue(self, exchange):
        """Take a request out of its queue; tell whether it waited.

        Parameters
        ----------
        exchange : Exchange

        Returns
        -------
        bool
        """
        queues = self._queues_by_model.get(exchange.request.model)
        return queues is not None and queues.remove(exchange.request)

    def has_room(self, request):
        """Tell whether a request could start at once.

        Parameters
        ----------
        request : Request

        Returns
        -------
        bool
        """
        return self.idle_room(request) > 0

    def idle_room(self, request):
        """Return how many requests could start at once, 0 where others wait for the room.

        Parameters
        ----------
        request : Request

        Returns
        -------
        int
        """
        if len(self._queues_by_model.get(request.model, ())):
            return 0
        return self._supply.supply(request).free

    def wish_if_cold(self, request):
        """Ask control for a replica where none runs such requests.

        Parameters
        ----------
        request : Request
        """
        if not self._supply.slots(request):
            self._wish_for(request, 1)

    def is_usable(self, replica):
        """Tell whether a replica still takes new work.

        Parameters
        ----------
        replica : ReplicaRow

        Returns
        -------
        bool
        """
        usable = self.router.usable(self.link.table, replica.model, "")
        return any(row.replica_id == replica.replica_id for row in usable)

    def pump(self, model):
        """Start what can be started of a model's waiting requests.

        Parameters
        ----------
        model : str
        """
        queues = self._queues_by_model.get(model)
        if queues is None:
            return
        while any(self._start(request) for request in queues.heads()):
            pass

    def pump_all(self):
        """Start what can be started of all waiting requests."""
        for model in list(self._queues_by_model):
            self.pump(model)

    def release(self, exchange, replica, outcome):
        """Count a request off its replica and start what waits for the room.

        Parameters
        ----------
        exchange : Exchange
        replica : ReplicaRow
        outcome : Outcome
        """
        self.router.released(replica, outcome, self.clock.seconds(), exchange.suspect)
        self.loads.ended(exchange.request.model)
        if self._suspect_in_flight is exchange:
            self._suspect_in_flight = None
            exchange.suspect = False
            self.pump_all()
            return
        self.pump(exchange.request.model)

    def answered(self, exchange):
        """Take that a caller has its final answer.

        Parameters
        ----------
        exchange : Exchange
        """
        self._unanswered.discard(exchange.request.request_id)
        if exchange.attempt is None:
            self.closed(exchange)

    def closed(self, exchange):
        """Take that a request's run is over as well.

        Parameters
        ----------
        exchange : Exchange
        """
        self._exchange_by_id.pop(exchange.request.request_id, None)
        self._check_idle()

    def when_idle(self, on_idle):
        """Call back once no request is in progress.

        Parameters
        ----------
        on_idle : callable
        """
        self._on_idle = on_idle
        self._check_idle()

    def refuse_all(self):
        """Give every request in progress its final refusal, at the end of a shutdown."""
        self.background.pending = 0
        for exchange in list(self._exchange_by_id.values()):
            exchange.shut_down()
            self.closed(exchange)
        self._check_idle()

    def table_changed(self):
        """Act on a change of the routing table."""
        table = self.link.table
        for attempt in self.attempts.all():
            node = table.node_by_id.get(attempt.node.node_id)
            gone = node is None or node.lost or node.incarnation != attempt.node.incarnation
            if gone:
                attempt.fail(ErrorKind.ENDPOINT_LOST, "the endpoint was lost")
        self._supply.table_changed()
        self.router.forget_gone(table)
        self.pump_all()

    def tick(self):
        """Refuse what has become hopeless, repeat wishes, report loads, check the ledger."""
        self.suspects.forget_old(self.clock.seconds())
        for model, queues in list(self._queues_by_model.items()):
            self.pump(model)
            self._refuse_unreachable(queues)
            if not len(queues):
                del self._queues_by_model[model]
                continue
            self._wish_for(queues.requests()[0], len(queues))
        self.loads.report({model: len(held) for model, held in self._queues_by_model.items()})
        if not self.ledger.balanced(self.in_progress):
            COUNTERS.increment("entry_ledger_errors")
            logger.error("requests in do not equal answers, refusals and requests in progress")

    def report_fault(self, failure):
        """Log a failure of this code itself.

        Parameters
        ----------
        failure : twisted.python.failure.Failure
        """
        COUNTERS.increment("entry_faults")
        logger.error("request failed inside the entry", exc_info=failure.value)

    def _tick_safely(self):
        try:
            self.tick()
        except Exception:
            # One request's fault must not end the periodic work for all others.
            self.report_fault(Failure())

    def _check_idle(self):
        if self._on_idle is None or self._exchange_by_id or self.background.pending:
            return
        on_idle, self._on_idle = self._on_idle, None
        on_idle()

    def _refusal_at_admission(self, request):
        if self.draining:
            return Refusal.of(ErrorKind.DRAINING, "this entry is shutting down")
        if not self.link.fresh:
            return Refusal.of(ErrorKind.NO_CONTROL, "no word from control for too long")
        if self._standing(request) is Standing.REFUSED:
            return _quarantined()
        return None

    def _standing(self, request):
        now = self.clock.seconds()
        return self.suspects.standing(self.link.table, request.fingerprint, now, self.wall_ms())

    def _start(self, request):
        """Start one request; tell whether it left its queue."""
        exchange = self._exchange_by_id[request.request_id]
        standing = self._standing(request)
        if standing is Standing.REFUSED:
            self.leave_queue(exchange)
            exchange.refuse(_quarantined())
            return True
        suspect = standing is Standing.SUSPECT
        if suspect and self._suspect_in_flight is not None:
            return False
        replica = self._choose(exchange, suspect)
        if replica is None:
            return False
        self.leave_queue(exchange)
        refusal = self.unreachable(request, 0)
        if refusal is not None:
            exchange.refuse(refusal)
            return True
        exchange.suspect = suspect
        if suspect:
            self._suspect_in_flight = exchange
        self.router.taken(replica, self.clock.seconds(), suspect)
        self.loads.started(request.model)
        exchange.run_on(replica)
        return True

    def _choose(self, exchange, suspect):
        request = exchange.request
        now = self.clock.seconds()
        table = self.link.table
        avoided = exchange.avoided_nodes
        usable = self.router.usable(table, request.model, request.adapter)
        if all(row.node_id in avoided for row in usable):
            # An agent that failed the request before is taken again where no other is left.
            avoided = ()
        return self.router.choose(table, request, now, avoided, suspect)

    def unreachable(self, request, ahead):
        """Return the refusal of a request that cannot be answered in time, or None.

        Parameters
        ----------
        request : Request
        ahead : int
            Waiting requests that go first.

        Returns
        -------
        Refusal or None
        """
        needed_s = expected_answer_s(
            self._supply.supply(request),
            ahead,
            self.service_times,
            request.model,
            request.kind == LIVE_KIND and request.streaming,
        )
        if self.clock.seconds() + needed_s <= request.deadline_at:
            return None
        needed_ms = int(needed_s * MS_PER_S)
        message = f"an answer would take about {needed_ms} ms"
        return Refusal.of(ErrorKind.DEADLINE_UNREACHABLE, message, NotRun.TRUE, needed_ms)

    def _refuse_unreachable(self, queues):
        ahead = 0
        for request in queues.requests():
            refusal = self.unreachable(request, ahead)
            if refusal is None:
                ahead += 1
                continue
            queues.remove(request)
            self._exchange_by_id[request.request_id].refuse(refusal)

    def _wish_for(self, request, waiting):
        left_ms = request.left_ms(self.clock.seconds())
        self.link.send(Wish(request.model, request.adapter, waiting, left_ms, request.priority))
        COUNTERS.increment("entry_wishes")


def _quarantined():
    message = "this request crashed the endpoints that ran it"
    return Refusal.of(ErrorKind.QUARANTINED, message)
