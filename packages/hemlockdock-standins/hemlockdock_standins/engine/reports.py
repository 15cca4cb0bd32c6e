"""Report load and cache events late, as engines do."""

import itertools
from collections import deque

MS_PER_S = 1_000.0
MOST_EVENTS = 1_000


class EngineReports:
    """Keep late load reports and cache events with gaps.

    Parameters
    ----------
    reactor : twisted reactor
    options : EngineOptions
    """

    def __init__(self, reactor, options):
        self._reactor = reactor
        self._options = options
        self._loads = deque([(0.0, 0)], maxlen=MOST_EVENTS)
        self._events = deque(maxlen=MOST_EVENTS)
        self._sequence = itertools.count(1)

    def note_running(self, running):
        """Record how many requests run now.

        Parameters
        ----------
        running : int
        """
        self._loads.append((self._reactor.seconds(), running))

    def note_prefix(self, replica_id, prefix):
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
        """Return the load as it was a while ago.

        Returns
        -------
        dict
        """
        horizon_s = self._reactor.seconds() - self._options.load_lag_ms / MS_PER_S
        running = 0
        for at_s, value in self._loads:
            if at_s <= horizon_s:
                running = value
        return {"requests_running": running, "age_ms": self._options.load_lag_ms}

    def events_after(self, sequence):
        """Return the cache events after one, those left out missing.

        Parameters
        ----------
        sequence : int

        Returns
        -------
        list of dict
        """
        horizon_s = self._reactor.seconds() - self._options.event_lag_ms / MS_PER_S
        gap = self._options.event_gap
        chosen = []
        for at_s, event in self._events:
            if at_s > horizon_s or event["sequence"] <= sequence:
                continue
            if gap and event["sequence"] % gap == 0:
                continue
            chosen.append(event)
        return chosen
