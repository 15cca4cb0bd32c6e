"""Keep all requests of one entry, and decide which runs where and when."""

import logging

from twisted.internet.task import LoopingCall

from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.messages import ModelLoad, Wish
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.rows import ReplicaState
from hemlockdock_entry.lifecycle import Ledger
from hemlockdock_entry.routing import RetryBudget, Router, Standing, Suspects
from hemlockdock_entry.tasks.attempts import Attempts
from hemlockdock_entry.tasks.exchange import LIVE_KIND, Exchange
from hemlockdock_entry.waiting import ModelQueues, ServiceTimes, Supply, expected_answer_s

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
    """

    def __init__(self, clock, settings, link, send, random_source, wall_ms):
        self.clock = clock
        self.settings = settings
        self.link = link
        self.send = send
        self.wall_ms = wall_ms
        self.random = random_source
        self.ledger = Ledger()
        self.attempts = Attempts()
        self.budget = RetryBudget(settings.entry.retry_budget)
        self.router = Router(settings.process.failure_domain, random_source)
        self.suspects = Suspects()
        self.service_times = ServiceTimes()
        self.draining = False
        self._queues_by_model = {}
        self._exchange_by_id = {}
        self._unanswered = set()
        self._suspect_in_flight = None
        self._loading_since_by_id = {}
        self._arrivals_by_model = {}
        self._reported_by_model = {}
        self._in_flight_by_model = {}
        self._on_idle = None
        self._ticks = LoopingCall(self.tick)
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

    def submit(self, request, reply, exchange_type=Exchange):
        """Take a request.

        Parameters
        ----------
        request : Request
        reply : Reply
        exchange_type : type, optional

        Returns
        -------
        Exchange
        """
        exchange = exchange_type(self, request, reply)
        self._exchange_by_id[request.request_id] = exchange
        self._unanswered.add(request.request_id)
        arrivals = self._arrivals_by_model.get(request.model, 0)
        self._arrivals_by_model[request.model] = arrivals + 1
        refusal = self._refusal_at_admission(request)
        if refusal is not None:
            exchange.refuse(refusal)
            return exchange
        exchange.begin()
        return exchange

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
            if not self._slots(request):
                self._wish_for(request, 1)
            exchange.refuse(refusal)
            return
        exchange.life.wait()
        self.pump(request.model)
        if exchange.core.state == "waiting" and not self._slots(request):
            self._wish_for(request, len(queues))

    def leave_queue(self, exchange):
        """Take a request out of its queue; nothing happens where it is in none.

        Parameters
        ----------
        exchange : Exchange

        Returns
        -------
        bool
            Whether it waited.
        """
        queues = self._queues_by_model.get(exchange.request.model)
        return queues is not None and queues.remove(exchange.request)

    def pump(self, model):
        """Start what can be started of a model's waiting requests.

        Parameters
        ----------
        model : str
        """
        queues = self._queues_by_model.get(model)
        if queues is None:
            return
        moved = True
        while moved and len(queues):
            moved = False
            for request in queues.heads():
                if self._start(request):
                    moved = True
                    break

    def pump_all(self):
        """Start what can be started of all waiting requests."""
        for model in list(self._queues_by_model):
            self.pump(model)

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
        now = self.clock.seconds()
        supply = self._supply(request, now)
        needed_s = expected_answer_s(
            supply,
            ahead,
            self.service_times.expected_s(request.model),
            request.kind == LIVE_KIND and request.streaming,
        )
        if now + needed_s <= request.deadline_at:
            return None
        retry_ms = int(supply.load_left_s * MS_PER_S) or None
        message = f"an answer would take about {int(needed_s * MS_PER_S)} ms"
        kind = ErrorKind.DEADLINE_UNREACHABLE
        return Refusal.of(kind, message, NotRun.TRUE, retry_ms)

    def release(self, exchange, replica, outcome):
        """Count a request off its replica and start what waits for the room.

        Parameters
        ----------
        exchange : Exchange
        replica : ReplicaRow
        outcome : Outcome
        """
        self.router.released(replica, outcome, self.clock.seconds(), exchange.suspect)
        model = exchange.request.model
        self._in_flight_by_model[model] -= 1
        if self._suspect_in_flight is exchange:
            self._suspect_in_flight = None
            exchange.suspect = False
            self.pump_all()
            return
        self.pump(model)

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
        if self._on_idle is not None and not self._exchange_by_id:
            on_idle, self._on_idle = self._on_idle, None
            on_idle()

    def when_idle(self, on_idle):
        """Call back once no request is in progress.

        Parameters
        ----------
        on_idle : callable
        """
        if not self._exchange_by_id:
            on_idle()
            return
        self._on_idle = on_idle

    def refuse_all(self):
        """Give every request in progress its final refusal, at the end of a shutdown."""
        for exchange in list(self._exchange_by_id.values()):
            exchange.caller_gone()
            self.closed(exchange)

    def table_changed(self):
        """Act on a change of the routing table."""
        table = self.link.table
        for attempt in self.attempts.all():
            node = table.node_by_id.get(attempt.node.node_id)
            gone = node is None or node.lost or node.incarnation != attempt.node.incarnation
            if gone:
                attempt.fail(ErrorKind.ENDPOINT_LOST, "the endpoint was lost")
        self._note_loading()
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
        self._report_loads()
        if not self.ledger.balanced(self.in_progress):
            COUNTERS.increment("entry_ledger_errors")
            logger.error("requests in do not equal answers, refusals and requests in progress")

    def standing(self, request):
        """Tell how far a request is trusted.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Standing
        """
        now = self.clock.seconds()
        return self.suspects.standing(self.link.table, request.fingerprint, now, self.wall_ms())

    def _refusal_at_admission(self, request):
        if self.draining:
            return Refusal.of(ErrorKind.DRAINING, "this entry is shutting down")
        if not self.link.fresh:
            return Refusal.of(ErrorKind.NO_CONTROL, "no word from control for too long")
        if self.standing(request) is Standing.REFUSED:
            return _quarantined()
        return None

    def _start(self, request):
        """Start one request; tell whether it left its queue."""
        exchange = self._exchange_by_id[request.request_id]
        standing = self.standing(request)
        if standing is Standing.REFUSED:
            self.leave_queue(exchange)
            exchange.refuse(_quarantined())
            return True
        suspect = standing is Standing.SUSPECT
        if suspect and self._suspect_in_flight is not None:
            return False
        now = self.clock.seconds()
        replica = self.router.choose(
            self.link.table, request, now, exchange.avoided_nodes, suspect
        ) or self._choose_avoided(exchange, now, suspect)
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
        self.router.taken(replica, now, suspect)
        in_flight = self._in_flight_by_model.get(request.model, 0)
        self._in_flight_by_model[request.model] = in_flight + 1
        exchange.run_on(replica)
        return True

    def _choose_avoided(self, exchange, now, suspect):
        # An agent that failed the request before is taken again where it is the only kind left.
        request = exchange.request
        usable = self.router.usable(self.link.table, request.model, request.adapter)
        if any(row.node_id not in exchange.avoided_nodes for row in usable):
            return None
        return self.router.choose(self.link.table, request, now, (), suspect)

    def _refuse_unreachable(self, queues):
        ahead = 0
        for request in queues.requests():
            refusal = self.unreachable(request, ahead)
            if refusal is None:
                ahead += 1
                continue
            queues.remove(request)
            self._exchange_by_id[request.request_id].refuse(refusal)

    def _slots(self, request):
        return self.router.slots(self.link.table, request.model, request.adapter)

    def _supply(self, request, now):
        table = self.link.table
        model = table.model_by_name.get(request.model)
        slots = self._slots(request)
        load_left_s = 0.0
        if not slots and model is not None:
            load_left_s = self._load_left_s(model, now)
        used = self._in_flight_by_model.get(request.model, 0)
        per_replica = model.requests_per_replica if model is not None else 1
        return Supply(slots, max(0, slots - used), load_left_s, per_replica)

    def _load_left_s(self, model, now):
        load_s = model.load_ms / MS_PER_S
        left_s = load_s
        for replica in self.link.table.replicas_of(model.name):
            since = self._loading_since_by_id.get(replica.replica_id)
            if since is not None:
                left_s = min(left_s, max(0.0, since + load_s - now))
        return left_s

    def _note_loading(self):
        now = self.clock.seconds()
        loading = {}
        for replica in self.link.table.replica_by_id.values():
            if replica.state == ReplicaState.LOADING:
                since = self._loading_since_by_id.get(replica.replica_id, now)
                loading[replica.replica_id] = since
        self._loading_since_by_id = loading

    def _wish_for(self, request, waiting):
        left_ms = request.left_ms(self.clock.seconds())
        wish = Wish(request.model, request.adapter, waiting, left_ms, request.priority)
        self.link.send(wish)
        COUNTERS.increment("entry_wishes")

    def _report_loads(self):
        for model, arrivals in self._arrivals_by_model.items():
            queues = self._queues_by_model.get(model, ())
            in_flight = self._in_flight_by_model.get(model, 0)
            load = ModelLoad(model, arrivals, len(queues), in_flight)
            if self._reported_by_model.get(model) != load:
                self._reported_by_model[model] = load
                self.link.report_load(load)


def _quarantined():
    message = "this request crashed the endpoints that ran it"
    return Refusal.of(ErrorKind.QUARANTINED, message)
