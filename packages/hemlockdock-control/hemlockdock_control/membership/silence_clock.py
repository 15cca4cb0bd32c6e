"""Measure silence with a clock that does not jump and ignores pauses of the process."""

MAX_STEP_MS = 1_000


class SilenceClock:
    """Sum up the reactor's time in steps of bounded length.

    If the wall clock is changed or the process is paused, all nodes would look silent at once.
    Each step is therefore capped, so that silence is never overstated.

    Parameters
    ----------
    reactor : twisted reactor
    """

    def __init__(self, reactor):
        self._reactor = reactor
        self._seen_ms = reactor.seconds() * 1_000
        self._now_ms = 0.0

    def now_ms(self):
        """Return the time counted so far, in milliseconds.

        Returns
        -------
        float
        """
        seen_ms = self._reactor.seconds() * 1_000
        self._now_ms += min(max(seen_ms - self._seen_ms, 0.0), MAX_STEP_MS)
        self._seen_ms = seen_ms
        return self._now_ms
