"""Queue and dispatch calls to plain services, independently of the models."""

import logging
from math import ceil

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.services.service_scheduler import ServiceScheduler

logger = logging.getLogger(__name__)

MS_PER_S = 1_000


class ServiceDispatcher:
    """Queue and dispatch calls to plain services, independently of the models.

    Parameters
    ----------
    coordinator : RequestCoordinator
    client : ServiceClient
    random_source : random.Random

    Attributes
    ----------
    client : ServiceClient
    """

    def __init__(self, coordinator, client, random_source):
        self.client = client
        self._coordinator = coordinator
        self._random = random_source
        self._scheduler_by_name = {}

    def enqueue(self, call):
        """Queue a call until the service has capacity, or refuse it.

        Parameters
        ----------
        call : ServiceCall
        """
        row = self._row(call.service)
        if row is None:
            call.refuse(Refusal.of(ErrorKind.UNKNOWN_SERVICE, f"no service {call.service!r}"))
            return
        scheduler = self.scheduler(call.service)
        refusal = self._pause_refusal(row) or scheduler.admit(
            row, call.request, self._coordinator.clock.seconds()
        )
        if refusal is not None:
            call.refuse(refusal)
            return
        if call.core.state == "received":
            call.life.wait()
        self._start_queued_calls(call.service)

    def dequeue(self, call):
        """Remove a call from its queue if it is queued.

        Parameters
        ----------
        call : ServiceCall
        """
        self.scheduler(call.service).dequeue(call.request)

    def has_capacity(self, service):
        """Return whether the service's concurrency limit allows another call.

        Parameters
        ----------
        service : str

        Returns
        -------
        bool
        """
        row = self._row(service)
        if row is None or self._pause_refusal(row) is not None:
            return False
        return self.scheduler(service).in_flight < row.most_in_flight

    def take_instance(self, call, avoided):
        """Select an instance and count a call that starts on it.

        Parameters
        ----------
        call : ServiceCall
        avoided : set of str

        Returns
        -------
        str
            The instance's base URL.
        """
        now = self._coordinator.clock.seconds()
        scheduler = self.scheduler(call.service)
        url = scheduler.picker.choose(self._row(call.service).urls, now, avoided)
        scheduler.picker.record_dispatch(url, now)
        scheduler.record_start(call.request)
        return url

    def record_pause(self, call, url, pause_s):
        """Send no calls to an instance for a while, as it has asked.

        Parameters
        ----------
        call : ServiceCall
        url : str
        pause_s : float
        """
        COUNTERS.increment("entry_instance_pauses")
        logger.info("instance asks for a pause", extra={"url": url, "seconds": round(pause_s, 3)})
        now = self._coordinator.clock.seconds()
        self.scheduler(call.service).picker.record_pause(url, pause_s, now)

    def release(self, call, url, outcome):
        """Count a call that ended on its instance and start queued calls.

        Parameters
        ----------
        call : ServiceCall
        url : str
        outcome : AttemptOutcome
        """
        scheduler = self.scheduler(call.service)
        scheduler.record_end(call.request)
        scheduler.picker.record_completion(url, outcome, self._coordinator.clock.seconds())
        self._start_queued_calls(call.service)

    def scheduler(self, service):
        """Return a service's scheduler.

        Parameters
        ----------
        service : str

        Returns
        -------
        ServiceScheduler
        """
        scheduler = self._scheduler_by_name.get(service)
        if scheduler is None:
            scheduler = ServiceScheduler(self._coordinator.settings, self._random)
            self._scheduler_by_name[service] = scheduler
        return scheduler

    def _start_queued_calls(self, service):
        row = self._row(service)
        if row is None:
            return
        now = self._coordinator.clock.seconds()
        scheduler = self.scheduler(service)
        request = scheduler.take_next(row, now)
        while request is not None:
            call = self._coordinator.exchange(request.request_id)
            run_s = scheduler.times.conservative_s(service)
            refusal = self._pause_refusal(row)
            refusal = refusal or self._coordinator.planned_stop.refusal(request, run_s)
            if refusal is None:
                call.run()
            else:
                call.refuse(refusal)
            request = scheduler.take_next(row, now)

    def _pause_refusal(self, row):
        """Return the refusal of calls while all instances of a service pause, otherwise None."""
        now = self._coordinator.clock.seconds()
        pause_end = self.scheduler(row.name).picker.pause_end(row.urls, now)
        if pause_end is None:
            return None
        message = "all instances of the service have asked for a pause"
        after_ms = ceil((pause_end - now) * MS_PER_S)
        return Refusal.of(ErrorKind.NO_CAPACITY, message, retry_after_ms=after_ms)

    def _row(self, service):
        return self._coordinator.link.table.service_by_name.get(service)
