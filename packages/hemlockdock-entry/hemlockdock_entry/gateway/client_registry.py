"""Keep track of an entry's client connections."""

from hemlockdock_core.metrics import COUNTERS


class ClientRegistry:
    """The open client connections of an entry."""

    def __init__(self):
        self._connections = set()

    def add(self, connection):
        """Register a client connection.

        Parameters
        ----------
        connection : ClientConnection
        """
        self._connections.add(connection)

    def remove(self, connection):
        """Remove a closed client connection.

        Parameters
        ----------
        connection : ClientConnection
        """
        self._connections.discard(connection)

    @property
    def count(self):
        """Return the number of open client connections."""
        return len(self._connections)

    @property
    def has_unsent(self):
        """Return whether responses are held for clients that have not read them yet."""
        return any(connection.has_unsent for connection in self._connections)

    def abort_longest_idle(self):
        """Abort the connection that has been idle for longest.

        Returns
        -------
        bool
            Whether there was one.
        """
        idle = [connection for connection in self._connections if connection.is_idle]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: connection.idle_since_s)
        self._connections.discard(oldest)
        COUNTERS.increment("gateway_idle_connections_dropped")
        oldest.abort_idle()
        return True

    def all(self):
        """Return the open client connections, as a list.

        Returns
        -------
        list of ClientConnection
        """
        return list(self._connections)

    def close_idle(self):
        """Close all idle client connections."""
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close_idle()

    def close_expired(self, now_s, limit_s):
        """Close the client connections that have been idle for too long.

        Parameters
        ----------
        now_s, limit_s : float
        """
        for connection in list(self._connections):
            if connection.is_idle and now_s - connection.idle_since_s > limit_s:
                connection.close_idle()
