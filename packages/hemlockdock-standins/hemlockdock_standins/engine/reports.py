"""Delayed reports of load and cache events, as real engines give them."""

import itertools
from collections import deque

MS_PER_S = 1_000.0
MAX_EVENTS = 1_000


class EngineReports:
    """Store load reports and cache events, and return them late and with gaps.

    Parameters
    ----------
    reactor : twisted reactor
    options : EngineOptions
    """

    def __init__(self, reactor, options):
        self._reactor = reactor
        self._options = options
        self._loads = deque([(0.0, 0)], maxlen=MAX_EVENTS)
        self._events = deque(maxlen=MAX_EVENTS)
        self._sequence = itertools.count(1)

    def record_running(self, running):
        """Record the current number of running requests.

        Parameters
        ----------
        running : int
        """
        self._loads.append((self._reactor.seconds(), running))

    def record_prefix(self, replica_id, prefix):
        """Record that a prefix is cached.

        Parameters
        ----------
        replica_id : str
        prefix : str
        """
        sequence = next(self._sequence)
        event = {"sequence": sequence, "replica_id": replica_id, "prefix": prefix}
        self._events.append((self._reactor.seconds(), event))

    def load(self):
        """Return the load as it was ``load_lag_ms`` ago.

        Returns
        -------
        dict
        """
        cutoff_s = self._reactor.seconds() - self._options.load_lag_ms / MS_PER_S
        running = 0
        for at_s, value in self._loads:
            if at_s <= cutoff_s:
                running = value
        return {"requests_running": running, "age_ms": self._options.load_lag_ms}

    def events_after(self, sequence):
        """Return the cache events after a sequence number, without those omitted by ``event_gap``.

        Parameters
        ----------
        sequence : int

        Returns
        -------
        list of dict
        """
        cutoff_s = self._reactor.seconds() - self._options.event_lag_ms / MS_PER_S
        gap = self._options.event_gap
        returned_events = []
        for at_s, event in self._events:
            if at_s > cutoff_s or event["sequence"] <= sequence:
                continue
            if gap and event["sequence"] % gap == 0:
                continue
            returned_events.append(event)
        return returned_events
