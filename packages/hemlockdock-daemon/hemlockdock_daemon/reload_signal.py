"""SIGHUP, which asks a process to reload its settings, from its first statement to its last."""

import signal


class ReloadSignal:
    """SIGHUP, caught before anybody listens for it: by default it ends a process.

    Needs nothing but the standard library's ``signal``, as it is caught before other modules are
    imported.
    """

    def __init__(self):
        self._listener = None
        self._is_pending = False

    def catch(self):
        """Catch the signal; one that arrives before `listen` is remembered."""
        signal.signal(signal.SIGHUP, self._receive)

    def listen(self, listener):
        """Call a listener at each signal, and at once if one has arrived already.

        Parameters
        ----------
        listener : callable
            Called without arguments, between any two steps of the main thread.
        """
        self._listener = listener
        if self._is_pending:
            listener()

    def ignore(self):
        """Ignore the signal from now on, also while the interpreter shuts down."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def _receive(self, *_):
        if self._listener is None:
            self._is_pending = True
            return
        self._listener()


RELOAD_SIGNAL = ReloadSignal()
