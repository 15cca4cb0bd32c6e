"""Commit what must be committed, however long control is out of reach."""

import logging

from twisted.internet.defer import Deferred

from hemlockdock_core.node import ControlUnavailableError

logger = logging.getLogger(__name__)

TIMEOUT_MS = 5_000
RETRY_INTERVAL_S = 1.0


class CommandRetrier:
    """Repeat commands until the quorum has answered them.

    Parameters
    ----------
    clock : twisted reactor or Clock
    link : ControlLink
    on_idle : callable
        Called whenever no command is left.

    Attributes
    ----------
    pending : int
    """

    def __init__(self, clock, link, on_idle):
        self.pending = 0
        self._clock = clock
        self._link = link
        self._on_idle = on_idle
        self._timers = set()
        self._stopped = False

    def run(self, command):
        """Commit a command.

        Parameters
        ----------
        command : Command

        Returns
        -------
        twisted.internet.defer.Deferred of CommandResult
        """
        done = Deferred()
        self.pending += 1
        self._propose(command, done)
        return done

    def stop(self):
        """Give up what is left."""
        self._stopped = True
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()

    def _propose(self, command, done):
        answered = self._link.propose(command, TIMEOUT_MS)
        answered.addCallbacks(self._answered, self._failed, (done,), None, (command, done))
        answered.addErrback(lambda failure: logger.error("callback failed: %s", failure))

    def _answered(self, result, done):
        self.pending -= 1
        done.callback(result)
        if not self.pending:
            self._on_idle()

    def _failed(self, failure, command, done):
        failure.trap(ControlUnavailableError)
        if self._stopped:
            return

        def retry():
            self._timers.discard(timer)
            self._propose(command, done)

        timer = self._clock.callLater(RETRY_INTERVAL_S, retry)
        self._timers.add(timer)
