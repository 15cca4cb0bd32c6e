"""Keep track of an entry's client connections."""


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
