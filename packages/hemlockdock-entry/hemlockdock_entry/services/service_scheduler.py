"""Schedule the calls of one plain service."""

from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_entry.services.instance_picker import InstancePicker
from hemlockdock_entry.waiting import Capacity, ModelQueues, ServiceTimes, expected_answer_s

MS_PER_S = 1_000
LOOKUP_KIND = "lookup"
RESERVED_FRACTION = 0.25
RESERVATION_WINDOW_S = 60.0


class ServiceScheduler:
    """Queue and concurrency limit of one plain service, isolated from those of other services.

    While lookups arrive, a fraction of the concurrency limit is reserved for them, so that they
    don't queue behind long calls.

    Parameters
    ----------
    settings : Settings
    random_source : random.Random

    Attributes
    ----------
    in_flight : int
    picker : InstancePicker
    times : ServiceTimes
    """

    def __init__(self, settings, random_source):
        self.in_flight = 0
        self._non_lookups_in_flight = 0
        self._last_lookup_at = None
        self.picker = InstancePicker(random_source)
        self.times = ServiceTimes()
        self._queues = ModelQueues(settings)

    def admit(self, row, request, now):
        """Queue a call, unless it cannot be answered in time or the queue is full.

        Parameters
        ----------
        row : ServiceRow
        request : Request
        now : float

        Returns
        -------
        Refusal or None
        """
        if request.kind == LOOKUP_KIND:
            self._last_lookup_at = now
        slots = self._slots(row, request, now)
        used = self.in_flight if request.kind == LOOKUP_KIND else self._non_lookups_in_flight
        capacity = Capacity(slots, max(0, slots - used), 0.0, slots)
        ahead = self._queues.ahead_of(request)
        needed_s = expected_answer_s(capacity, ahead, self.times, row.name, False)
        if now + needed_s > request.deadline_at:
            needed_ms = int(needed_s * MS_PER_S)
            message = f"an answer would take about {needed_ms} ms"
            kind = ErrorKind.DEADLINE_UNREACHABLE
            return Refusal.of(kind, message, NotRun.TRUE, needed_ms)
        return self._queues.add(request).err()

    def take_next(self, row, now):
        """Remove and return the call that starts next, if the limit allows one.

        Parameters
        ----------
        row : ServiceRow
        now : float

        Returns
        -------
        Request or None
        """
        if self.in_flight >= row.most_in_flight:
            return None
        for request in self._queues.heads():
            is_lookup = request.kind == LOOKUP_KIND
            if is_lookup or self._non_lookups_in_flight < self._slots(row, request, now):
                self._queues.remove(request)
                return request
        return None

    def record_start(self, request):
        """Count a call that starts.

        Parameters
        ----------
        request : Request
        """
        self.in_flight += 1
        self._non_lookups_in_flight += request.kind != LOOKUP_KIND

    def record_end(self, request):
        """Count a call that ended.

        Parameters
        ----------
        request : Request
        """
        self.in_flight -= 1
        self._non_lookups_in_flight -= request.kind != LOOKUP_KIND

    def dequeue(self, request):
        """Remove a call from the queue if it is queued.

        Parameters
        ----------
        request : Request
        """
        self._queues.remove(request)

    def _slots(self, row, request, now):
        if request.kind == LOOKUP_KIND or self._last_lookup_at is None:
            return row.most_in_flight
        if now - self._last_lookup_at > RESERVATION_WINDOW_S:
            return row.most_in_flight
        return max(1, row.most_in_flight - int(row.most_in_flight * RESERVED_FRACTION))
