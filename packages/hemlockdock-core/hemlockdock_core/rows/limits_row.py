"""Routing table row of the limits for client connections."""

from hemlockdock_core.rows.base import BaseRow


class LimitsRow(BaseRow, frozen=True):
    """Limits for client connections, and the number of the active route manifest.

    Attributes
    ----------
    number : int
        Number of the active route manifest.
    header_bytes : int
        Maximum size of a request's header.
    body_bytes : int
        Maximum size of a request's body.
    header_timeout_ms : int
        Maximum time in which a client must send a complete header.
    idle_timeout_ms : int
        Maximum time for which a client's connection may be idle.
    requires_keys : bool
        Whether requests need a customer's key, unless their route is public.
    """

    number: int
    header_bytes: int
    body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int
    requires_keys: bool = False

    @property
    def key(self):
        """Return the row's key in the routing table; there is only one such row."""
        return "limits/all"
