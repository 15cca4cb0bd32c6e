"""Let one agent alone act on an engine."""

import socket


class EngineLockedError(RuntimeError):
    """Raise where another agent on this host acts on the engine."""


class EngineLock:
    """Hold the exclusive right to order an engine about.

    The lock is a name in the kernel's socket name space: it needs no file, its holder's death
    frees it, and a second agent started by mistake cannot take it.

    Parameters
    ----------
    engine_url : str
    """

    def __init__(self, engine_url):
        self._name = "\0hemlockdock-agent " + engine_url.rstrip("/")
        self._socket = None

    def acquire(self):
        """Take the lock.

        Raises
        ------
        EngineLockedError
        """
        lock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            lock.bind(self._name)
        except OSError:
            lock.close()
            raise EngineLockedError("another agent on this host guards the engine") from None
        self._socket = lock

    def release(self):
        """Give the lock back; can be called again."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
