"""Events of a simulation in virtual time."""

import heapq
import itertools


class EventQueue:
    """Run scheduled calls in the order of their times.

    Parameters
    ----------
    now_s : float
        Time at the start.

    Attributes
    ----------
    now_s : float
    """

    def __init__(self, now_s):
        self.now_s = now_s
        self._events = []
        self._numbers = itertools.count()

    def __len__(self):
        return len(self._events)

    def schedule(self, at_s, callback, *arguments):
        """Schedule a call.

        Parameters
        ----------
        at_s : float
        callback : callable
        *arguments
            Arguments of the call.
        """
        heapq.heappush(self._events, (at_s, next(self._numbers), callback, arguments))

    def run(self):
        """Run calls until none is left."""
        while self._events:
            self.now_s, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
