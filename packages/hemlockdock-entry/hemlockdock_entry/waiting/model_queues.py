"""Hold the request queues of one model."""

from hemlockdock_entry.waiting.queue import WaitingQueue


class ModelQueues:
    """One queue per adapter and request class of a model.

    Parameters
    ----------
    settings : Settings
    """

    def __init__(self, settings):
        self._settings = settings.entry
        self._queue_by_name = {}

    def __len__(self):
        return sum(len(queue) for queue in self._queue_by_name.values())

    def add(self, request):
        """Add a request to its queue.

        Parameters
        ----------
        request : Request

        Returns
        -------
        result.Result of None, Refusal
        """
        queue = self._queue_by_name.get(request.queue_key)
        if queue is None:
            queue = WaitingQueue(self._settings.queue_limit, self._settings.caller_share)
            self._queue_by_name[request.queue_key] = queue
        return queue.add(request)

    def remove(self, request):
        """Remove a request and return whether it was queued.

        Parameters
        ----------
        request : Request

        Returns
        -------
        bool
        """
        queue = self._queue_by_name.get(request.queue_key)
        if queue is None or queue.remove(request.request_id) is None:
            return False
        if not len(queue):
            del self._queue_by_name[request.queue_key]
        return True

    def heads(self):
        """Return the first request of each queue, ordered by which runs next."""
        heads = [queue.head() for queue in self._queue_by_name.values()]
        return sorted(heads, key=_scheduling_key)

    def requests(self):
        """Return all queued requests in the order in which they run."""
        waiting = []
        for queue in self._queue_by_name.values():
            waiting.extend(queue.requests())
        return sorted(waiting, key=_scheduling_key)

    def ahead_of(self, request):
        """Return how many queued requests run before a request.

        Parameters
        ----------
        request : Request

        Returns
        -------
        int
        """
        ahead = 0
        for queue in self._queue_by_name.values():
            head = queue.head()
            if head.priority > request.priority:
                ahead += len(queue)
                continue
            if head.priority == request.priority:
                ahead += queue.ahead_of(request)
        return ahead


def _scheduling_key(request):
    return (-request.priority, request.deadline_at, request.request_id)
