"""Decide which requests are refused."""

from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_entry.routing import TrustLevel
from hemlockdock_entry.tasks.planned_stop import LIVE_KIND
from hemlockdock_entry.waiting import expected_answer_s

MS_PER_S = 1_000


class Admission:
    """Refuses requests that are quarantined or are not expected to be answered in time.

    While the entry is draining or has not heard from control for too long, it refuses all.

    Parameters
    ----------
    coordinator : RequestCoordinator
    capacity_view : CapacityView
    """

    def __init__(self, coordinator, capacity_view):
        self._coordinator = coordinator
        self._capacity_view = capacity_view

    def refusal(self, request):
        """Return the refusal of a request on arrival, or None if it is admitted.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Refusal or None
        """
        if self._coordinator.draining:
            return Refusal.of(ErrorKind.DRAINING, "this entry is shutting down")
        if not self._coordinator.link.fresh:
            return Refusal.of(ErrorKind.NO_CONTROL, "no word from control for too long")
        if self.trust_level(request) is TrustLevel.REFUSED:
            return quarantine_refusal()
        return None

    def trust_level(self, request):
        """Return how far a request is trusted not to crash its endpoint.

        Parameters
        ----------
        request : Request

        Returns
        -------
        TrustLevel
        """
        return self._coordinator.crashes.trust_level(request.fingerprint)

    def deadline_refusal(self, request, ahead):
        """Return a refusal if a request is not expected to be answered in time, or None.

        In time is before its deadline and, if it can outlive that, before a planned stop.

        Parameters
        ----------
        request : Request
        ahead : int
            Queued requests that run first.

        Returns
        -------
        Refusal or None
        """
        needed_s = expected_answer_s(
            self._capacity_view.capacity(request),
            ahead,
            self._coordinator.service_times,
            request.model,
            request.kind == LIVE_KIND and request.streaming,
        )
        if self._coordinator.clock.seconds() + needed_s <= request.deadline_at:
            run_s = self._coordinator.service_times.conservative_s(request.model)
            return self._coordinator.planned_stop.refusal(request, run_s)
        needed_ms = int(needed_s * MS_PER_S)
        message = f"an answer would take about {needed_ms} ms"
        return Refusal.of(ErrorKind.DEADLINE_UNREACHABLE, message, NotRun.TRUE, needed_ms)


def quarantine_refusal():
    """Return the refusal for a request that has crashed endpoints.

    Returns
    -------
    Refusal
    """
    message = "this request crashed the endpoints that ran it"
    return Refusal.of(ErrorKind.QUARANTINED, message)
