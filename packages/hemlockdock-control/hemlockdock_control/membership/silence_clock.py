"""Measure silence by a clock that neither jumps nor runs while the process is stopped."""

LONGEST_STEP_MS = 1_000


class SilenceClock:
    """Add up the reactor's time in bounded steps.

    A wall clock that is set anew, or a process that was stopped, would make all nodes look
    silent at once. Steps beyond the bound are not counted, so silence is never overstated.

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
        self._now_ms += min(max(seen_ms - self._seen_ms, 0.0), LONGEST_STEP_MS)
        self._seen_ms = seen_ms
        return self._now_ms
