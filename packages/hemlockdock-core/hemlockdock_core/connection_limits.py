"""Limit the connections of listeners below the process's limit of open descriptors."""

import resource

from twisted.protocols.policies import WrappingFactory

from hemlockdock_core.metrics.counters import COUNTERS

# The other half is for connections to endpoints, links and files.
CLIENTS_SHARE = 0.5
# Probes and scrapes come from few callers.
SMALL_LISTENER_CONNECTIONS = 32


def client_connections_limit(settings):
    """Return the number of clients' connections that the process accepts.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    int
        As set, else half the soft limit of open descriptors.
    """
    if settings.clients.connections:
        return settings.clients.connections
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(1, int(soft * CLIENTS_SHARE))


class LimitedConnectionsFactory(WrappingFactory):
    """Accept a limited number of connections; the oldest one makes room for a further one.

    Callers of probes and metrics keep no connections that they do not use, so the oldest is one
    that was abandoned.

    Parameters
    ----------
    factory : twisted.internet.protocol.Factory
        Creates the protocols.
    counter : str
        Counts the connections that made room.
    max_connections : int, optional
    """

    noisy = False

    def __init__(self, factory, counter, max_connections=SMALL_LISTENER_CONNECTIONS):
        super().__init__(factory)
        self._counter = counter
        self._max_connections = max_connections

    def registerProtocol(self, protocol):
        """Register a connection, and abort the oldest if there are too many."""
        super().registerProtocol(protocol)
        if len(self.protocols) <= self._max_connections:
            return
        oldest = next(iter(self.protocols))
        del self.protocols[oldest]
        COUNTERS.increment(self._counter)
        oldest.transport.abortConnection()

    def unregisterProtocol(self, protocol):
        """Forget a closed connection."""
        self.protocols.pop(protocol, None)
