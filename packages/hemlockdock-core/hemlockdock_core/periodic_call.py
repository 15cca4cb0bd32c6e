"""Periodic calls that continue after a failure."""

import logging

from twisted.internet.defer import maybeDeferred
from twisted.internet.task import LoopingCall

from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)


class PeriodicCall:
    """A periodic call of a function; a failure is logged and counted, and the calls continue.

    Parameters
    ----------
    reactor : twisted reactor
        Provides the clock.
    work : callable
        Called without arguments. If it returns a Deferred, the next call waits for it.
    """

    def __init__(self, reactor, work):
        self._work = work
        self._looping_call = LoopingCall(self._call)
        self._looping_call.clock = reactor

    def start(self, interval_s, now=True):
        """Start the periodic calls.

        Parameters
        ----------
        interval_s : float
            Seconds between calls.
        now : bool, optional
            Whether to make the first call immediately.
        """
        self._looping_call.start(interval_s, now)

    def stop(self):
        """Stop the periodic calls. Repeated calls have no effect."""
        if self._looping_call.running:
            self._looping_call.stop()

    def _call(self):
        done = maybeDeferred(self._work)
        done.addErrback(self._log_failure)
        return done

    def _log_failure(self, failure):
        COUNTERS.increment("repeated_work_failures")
        logger.error("periodic call failed", exc_info=failure.value)
