"""Keep the calls of one plain service apart from everything else."""

from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_entry.services.instance_picker import InstancePicker
from hemlockdock_entry.waiting import ServiceTimes, Supply, WaitingQueue, expected_answer_s

MS_PER_S = 1_000


class Lane:
    """Keep the calls of one plain service: those in flight and those that wait.

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
        self.picker = InstancePicker(random_source)
        self.times = ServiceTimes()
        self._queue = WaitingQueue(settings.entry.queue_limit, settings.entry.caller_share)

    def admit(self, row, request, now):
        """Let a call wait, unless it cannot be answered in time.

        Parameters
        ----------
        row : ServiceRow
        request : Request
        now : float

        Returns
        -------
        Refusal or None
        """
        free = max(0, row.most_in_flight - self.in_flight)
        supply = Supply(row.most_in_flight, free, 0.0, row.most_in_flight)
        ahead = self._queue.ahead_of(request)
        needed_s = expected_answer_s(supply, ahead, self.times.expected_s(row.name), False)
        if now + needed_s > request.deadline_at:
            needed_ms = int(needed_s * MS_PER_S)
            message = f"an answer would take about {needed_ms} ms"
            kind = ErrorKind.DEADLINE_UNREACHABLE
            return Refusal.of(kind, message, NotRun.TRUE, needed_ms)
        return self._queue.add(request).err()

    def next(self, row):
        """Take out the call that starts next, if there is room for one.

        Parameters
        ----------
        row : ServiceRow

        Returns
        -------
        Request or None
        """
        if self.in_flight >= row.most_in_flight:
            return None
        request = self._queue.head()
        if request is not None:
            self._queue.remove(request.request_id)
        return request

    def leave(self, request):
        """Take a call out of the queue; nothing happens where it does not wait.

        Parameters
        ----------
        request : Request
        """
        self._queue.remove(request.request_id)
