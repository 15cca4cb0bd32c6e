"""Queue model requests and start them in order."""

from hemlockdock_core.messages import Wish
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.routing import TrustLevel
from hemlockdock_entry.tasks.admission import quarantine_refusal
from hemlockdock_entry.waiting import ModelQueues


class WaitingRequests:
    """Queues of all models; starts requests as replicas have free capacity.

    Parameters
    ----------
    coordinator : RequestCoordinator
    capacity_view : CapacityView
    """

    def __init__(self, coordinator, capacity_view):
        self._coordinator = coordinator
        self._capacity_view = capacity_view
        self._queues_by_model = {}
        self._suspect_in_flight = None

    def enqueue(self, exchange):
        """Queue a request, or refuse it if it cannot be answered in time.

        Parameters
        ----------
        exchange : Exchange
        """
        request = exchange.request
        queues = self._queues_by_model.get(request.model)
        if queues is None:
            queues = ModelQueues(self._coordinator.settings)
            self._queues_by_model[request.model] = queues
        refusal = self._coordinator.admission.deadline_refusal(request, queues.ahead_of(request))
        if refusal is None:
            refusal = queues.add(request).err()
        if refusal is not None:
            if not self._capacity_view.slots(request):
                # The caller may retry once the model is loaded.
                self._send_wish(request, 1)
            exchange.refuse(refusal)
            return
        exchange.life.wait()
        self.start_waiting(request.model)
        if exchange.core.state == "waiting" and not self._capacity_view.slots(request):
            self._send_wish(request, len(queues))

    def dequeue(self, exchange):
        """Remove a request from its queue and return whether it was queued.

        Parameters
        ----------
        exchange : Exchange

        Returns
        -------
        bool
        """
        queues = self._queues_by_model.get(exchange.request.model)
        return queues is not None and queues.remove(exchange.request)

    def has_capacity(self, request):
        """Return whether a request could start immediately.

        Parameters
        ----------
        request : Request

        Returns
        -------
        bool
        """
        return self.idle_capacity(request) > 0

    def idle_capacity(self, request):
        """Return how many requests could start immediately, 0 if others of the model are queued.

        Parameters
        ----------
        request : Request

        Returns
        -------
        int
        """
        if len(self._queues_by_model.get(request.model, ())):
            return 0
        return self._capacity_view.capacity(request).free_slots

    def request_replica_if_none(self, request):
        """Ask control for a replica if none can run a request.

        Parameters
        ----------
        request : Request
        """
        if not self._capacity_view.slots(request):
            self._send_wish(request, 1)

    def start_waiting(self, model):
        """Start the queued requests of a model that can run now.

        Parameters
        ----------
        model : str
        """
        queues = self._queues_by_model.get(model)
        if queues is None:
            return
        while any(self._start(request) for request in self._candidates(queues)):
            pass

    def start_all(self):
        """Start the queued requests of all models that can run now."""
        for model in list(self._queues_by_model):
            self.start_waiting(model)

    def release(self, exchange, replica, outcome):
        """Count a request that ended on its replica and start queued requests.

        Parameters
        ----------
        exchange : Exchange
        replica : ReplicaRow
        outcome : AttemptOutcome
        """
        self._coordinator.router.record_completion(
            replica, outcome, self._coordinator.clock.seconds(), exchange.suspect
        )
        self._coordinator.loads.count_end(exchange.request.model)
        if self._suspect_in_flight is exchange:
            self._suspect_in_flight = None
            exchange.suspect = False
            self.start_all()
            return
        self.start_waiting(exchange.request.model)

    def tick(self):
        """Start requests that can run, refuse those that can't be in time, and resend wishes.

        Returns
        -------
        dict of str to int
            Number of queued requests by model.
        """
        for model, queues in list(self._queues_by_model.items()):
            self.start_waiting(model)
            self._refuse_unreachable(queues)
            if not len(queues):
                del self._queues_by_model[model]
                continue
            self._send_wish(queues.requests()[0], len(queues))
        return {model: len(queues) for model, queues in self._queues_by_model.items()}

    def _start(self, request):
        """Start or refuse one request; return whether it left its queue."""
        exchange = self._coordinator.exchange(request.request_id)
        trust_level = self._coordinator.admission.trust_level(request)
        if trust_level is TrustLevel.REFUSED:
            self.dequeue(exchange)
            exchange.refuse(quarantine_refusal())
            return True
        suspect = trust_level is TrustLevel.SUSPECT
        if suspect and self._suspect_in_flight is not None:
            return False
        replica = self._choose(exchange, suspect)
        if replica is None:
            return False
        self.dequeue(exchange)
        refusal = self._coordinator.admission.deadline_refusal(request, 0)
        if refusal is not None:
            exchange.refuse(refusal)
            return True
        exchange.suspect = suspect
        if suspect:
            self._suspect_in_flight = exchange
        self._coordinator.router.record_dispatch(
            replica, self._coordinator.clock.seconds(), suspect
        )
        self._coordinator.loads.count_start(request.model)
        exchange.run_on(replica)
        return True

    def _candidates(self, queues):
        if self._suspect_in_flight is None:
            return queues.heads()
        # Suspects run one at a time, but a suspect at the head must not block the others.
        return queues.requests()

    def _choose(self, exchange, suspect):
        request = exchange.request
        now = self._coordinator.clock.seconds()
        table = self._coordinator.link.table
        avoided = exchange.avoided_nodes
        usable = self._coordinator.router.usable_replicas(table, request.model, request.adapter)
        if all(row.node_id in avoided for row in usable):
            # Use an agent that already failed the request if there is no other.
            avoided = ()
        return self._coordinator.router.choose(table, request, now, avoided, suspect)

    def _refuse_unreachable(self, queues):
        ahead = 0
        for request in queues.requests():
            refusal = self._coordinator.admission.deadline_refusal(request, ahead)
            if refusal is None:
                ahead += 1
                continue
            queues.remove(request)
            self._coordinator.exchange(request.request_id).refuse(refusal)

    def _send_wish(self, request, waiting):
        left_ms = request.left_ms(self._coordinator.clock.seconds())
        self._coordinator.link.send(
            Wish(request.model, request.adapter, waiting, left_ms, request.priority)
        )
        COUNTERS.increment("entry_wishes")
