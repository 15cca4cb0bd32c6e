"""Queue requests in deadline order, with a limit per caller."""

import bisect

from result import Err, Ok

from hemlockdock_core.errors import ErrorKind, Refusal


class WaitingQueue:
    """Queue of one model, adapter and request class, ordered by deadline.

    Parameters
    ----------
    limit : int
        Maximum number of queued requests.
    caller_share : float
        Fraction of the limit that one caller may use.
    """

    def __init__(self, limit, caller_share):
        self._limit = limit
        self._caller_limit = max(1, int(limit * caller_share))
        self._order = []
        self._request_by_id = {}
        self._count_by_caller = {}

    def __len__(self):
        return len(self._order)

    def add(self, request):
        """Add a request at the position given by its deadline.

        Parameters
        ----------
        request : Request

        Returns
        -------
        result.Result of None, Refusal
        """
        if len(self._order) >= self._limit:
            return Err(Refusal.of(ErrorKind.QUEUE_FULL, "the queue is full"))
        caller_count = self._count_by_caller.get(request.caller, 0)
        if caller_count >= self._caller_limit:
            return Err(Refusal.of(ErrorKind.RATE_LIMITED, "this caller's share is used up"))
        bisect.insort(self._order, self._sort_key(request))
        self._request_by_id[request.request_id] = request
        self._count_by_caller[request.caller] = caller_count + 1
        return Ok(None)

    def head(self):
        """Return the request with the earliest deadline, or None."""
        if not self._order:
            return None
        return self._request_by_id[self._order[0][1]]

    def requests(self):
        """Return all queued requests, earliest deadline first."""
        return [self._request_by_id[request_id] for _, request_id in self._order]

    def ahead_of(self, request):
        """Return how many queued requests run before a request.

        Parameters
        ----------
        request : Request

        Returns
        -------
        int
        """
        return bisect.bisect_left(self._order, self._sort_key(request))

    def remove(self, request_id):
        """Remove a request.

        Parameters
        ----------
        request_id : str

        Returns
        -------
        Request or None
            None if it is not queued.
        """
        request = self._request_by_id.pop(request_id, None)
        if request is None:
            return None
        key = self._sort_key(request)
        del self._order[bisect.bisect_left(self._order, key)]
        left = self._count_by_caller[request.caller] - 1
        if left:
            self._count_by_caller[request.caller] = left
        else:
            del self._count_by_caller[request.caller]
        return request

    @staticmethod
    def _sort_key(request):
        return (request.deadline_at, request.request_id)
