"""Retry commands that must not be lost while control is unavailable."""

import logging

from twisted.internet.defer import Deferred

from hemlockdock_core.node import ControlUnavailableError

logger = logging.getLogger(__name__)

TIMEOUT_MS = 5_000
RETRY_INTERVAL_S = 1.0


class CommandRetrier:
    """Retry commands until control has answered them.

    Parameters
    ----------
    clock : twisted reactor or Clock
    link : ControlLink
    on_idle : callable
        Called whenever the last pending command has been answered.

    Attributes
    ----------
    pending : int
        Number of commands without an answer from control.
    """

    def __init__(self, clock, link, on_idle):
        self.pending = 0
        self._clock = clock
        self._link = link
        self._on_idle = on_idle
        self._timers = set()
        self._stopped = False

    def run(self, command):
        """Propose a command until control answers it.

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
        """Stop retrying the pending commands."""
        self._stopped = True
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()

    def _propose(self, command, done):
        answered = self._link.propose(command, TIMEOUT_MS)
        answered.addCallbacks(self._on_result, self._on_unavailable, (done,), None, (command, done))
        answered.addErrback(lambda failure: logger.error("command callback failed: %s", failure))

    def _on_result(self, result, done):
        self.pending -= 1
        done.callback(result)
        if not self.pending:
            self._on_idle()

    def _on_unavailable(self, failure, command, done):
        failure.trap(ControlUnavailableError)
        if self._stopped:
            return

        def retry():
            self._timers.discard(timer)
            self._propose(command, done)

        timer = self._clock.callLater(RETRY_INTERVAL_S, retry)
        self._timers.add(timer)
