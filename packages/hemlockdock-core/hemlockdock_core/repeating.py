"""Call a function again and again, whatever it raises."""

import logging

from twisted.internet.defer import maybeDeferred
from twisted.internet.task import LoopingCall

from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)


class Repeating:
    """Call a function again and again; a failure is logged and counted, and ends nothing.

    Parameters
    ----------
    reactor : twisted reactor
        Its clock is used.
    work : callable
        Takes nothing; may return a Deferred, which is waited for.
    """

    def __init__(self, reactor, work):
        self._work = work
        self._loop = LoopingCall(self._call)
        self._loop.clock = reactor

    def start(self, interval_s, now=True):
        """Begin to call.

        Parameters
        ----------
        interval_s : float
            Seconds between calls.
        now : bool, optional
            Whether the first call is made at once.
        """
        self._loop.start(interval_s, now)

    def stop(self):
        """Call no more; can be called again."""
        if self._loop.running:
            self._loop.stop()

    def _call(self):
        done = maybeDeferred(self._work)
        done.addErrback(self._failed)
        return done

    def _failed(self, failure):
        COUNTERS.increment("repeated_work_failures")
        logger.error("repeated work failed", exc_info=failure.value)
