"""Measure the speed of an engine from its consecutive reports."""

from math import exp

# Speed changes with the mix of requests; older progress counts less by this time constant.
DECAY_S = 5.0
# Run time that has to be observed first: events are few and come in steps.
MIN_RUN_S = 1.0
# Reports further apart say little: a request may have been interrupted in between.
MAX_INTERVAL_S = 1.0


class EngineSpeed:
    """Events that a running request makes per second, averaged over requests and time.

    Requests that have made no event yet don't count: their prompts are still being read.
    """

    def __init__(self):
        self._started_ms = None
        self._clear()

    @property
    def per_s(self):
        """Return the speed, or None if it is not known."""
        if self._run_s < MIN_RUN_S or not self._events:
            return None
        return round(self._events / self._run_s, 3)

    def observe(self, report, now_s):
        """Take in the running requests of a report; a restarted engine is measured anew.

        Parameters
        ----------
        report : EngineReport
        now_s : float
        """
        if report.started_ms != self._started_ms:
            self._started_ms = report.started_ms
            self._clear()
        events_by_run = {run.run_id: run.events for run in report.runs}
        before, self._events_by_run = self._events_by_run, events_by_run
        observed_s, self._observed_s = self._observed_s, now_s
        if observed_s is None or not 0.0 < now_s - observed_s <= MAX_INTERVAL_S:
            return
        interval_s = now_s - observed_s
        made = 0
        run_s = 0.0
        for run_id, events in events_by_run.items():
            earlier = before.get(run_id, 0)
            if not earlier or events < earlier:
                continue
            made += events - earlier
            run_s += interval_s
        if not run_s:
            # An idle engine keeps the speed that was measured last.
            return
        kept = exp(-interval_s / DECAY_S)
        self._events = self._events * kept + made
        self._run_s = self._run_s * kept + run_s

    def _clear(self):
        self._events = 0.0
        self._run_s = 0.0
        self._events_by_run = {}
        self._observed_s = None
