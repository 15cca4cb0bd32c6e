"""Ensure that only one agent controls an engine."""

import socket


class EngineLockedError(RuntimeError):
    """Raised if another agent on this host holds the engine's lock."""


class EngineLock:
    """Lock an engine for exclusive control by one agent on this host.

    The lock is a Unix socket bound to a name in the kernel's abstract socket namespace. It needs
    no file, the kernel releases it when its holder dies, and a second agent that was started by
    mistake cannot acquire it.

    Parameters
    ----------
    engine_url : str
    """

    def __init__(self, engine_url):
        self._name = "\0hemlockdock-agent " + engine_url.rstrip("/")
        self._socket = None

    def acquire(self):
        """Acquire the lock.

        Raises
        ------
        EngineLockedError
        """
        lock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            lock.bind(self._name)
        except OSError:
            lock.close()
            raise EngineLockedError(
                "another agent on this host holds the lock of this engine"
            ) from None
        self._socket = lock

    def release(self):
        """Release the lock; does nothing if it is not held."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
