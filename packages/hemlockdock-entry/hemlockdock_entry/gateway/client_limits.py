"""Apply the limits for all client connections of an entry together."""

import logging

from hemlockdock_core.connection_limits import client_connections_limit
from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.gateway.client_budget import (
    ClientBudget,
    derived_budget_bytes,
    response_budget_bytes,
)
from hemlockdock_entry.gateway.response_buffer import MAX_BODY_BYTES

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
LOG_INTERVAL_S = 10.0
# The headers of a head of the largest size may take this many times its bytes as objects.
HEAD_FACTOR = 64
# The longest response that is no stream.
LEAST_RESPONSE_BYTES = 2 * MAX_BODY_BYTES


class ClientLimits:
    """The limits that the client connections of an entry share.

    Parameters
    ----------
    gateway : Gateway
    settings : Settings
    """

    def __init__(self, gateway, settings):
        self._gateway = gateway
        self._settings = settings.clients
        self._requests = ClientBudget(
            gateway.clock, derived_budget_bytes(settings, self._settings.request_budget_mb)
        )
        # Unread responses leave room for one that an endpoint has not completed.
        unread_bytes = response_budget_bytes(settings) - MAX_BODY_BYTES
        self._responses = ClientBudget(gateway.clock, unread_bytes)
        self._max_connections = client_connections_limit(settings)
        self._logged_s_by_limit = {}

    @property
    def unread_bytes(self):
        """Return what is held of responses that clients have not read."""
        return self._responses.held_bytes

    @property
    def response_stall_s(self):
        """Return the time after which a client that reads nothing is dropped."""
        return self._settings.response_stall_ms / MS_PER_S

    @property
    def body_stall_s(self):
        """Return the time without a byte after which an incomplete body is refused."""
        limit_ms = max(self._settings.body_stall_ms, self._gateway.limits.idle_timeout_ms)
        return limit_ms / MS_PER_S

    def admit(self, connection):
        """Register a new connection; if there are too many, the one idle for longest is closed.

        Parameters
        ----------
        connection : ClientConnection

        Returns
        -------
        Refusal or None
            If there are too many connections and none is idle.
        """
        clients = self._gateway.clients
        if clients.count >= self._max_connections and not clients.abort_longest_idle():
            self._record("connections", "gateway_connections_refused")
            return Refusal.of(ErrorKind.NO_CAPACITY, "the entry has too many connections")
        clients.add(connection)
        return None

    def hold_requests(self, connection, held_bytes):
        """Set the memory of a connection's requests, and drop others if the budget is exceeded.

        Parameters
        ----------
        connection : ClientConnection
        held_bytes : int

        Returns
        -------
        Refusal or None
            Of the connection's request, if no other connection can be dropped.
        """
        limits = self._gateway.limits
        least_bytes = limits.body_bytes + HEAD_FACTOR * limits.header_bytes
        while not self._requests.change(connection, held_bytes, least_bytes):
            if not held_bytes:
                return None
            stalled = self._requests.largest_stalled(
                lambda other: other is not connection and other.may_drop_body
            )
            if stalled is None:
                self._record("request_budget_mb", "gateway_requests_over_budget")
                return self._refusal()
            self._record("request_budget_mb", "gateway_bodies_dropped")
            stalled.drop_body(self._refusal())
        return None

    def hold_response(self, connection, held_bytes):
        """Set the unread bytes of a client, and drop others if the budget is exceeded.

        Parameters
        ----------
        connection : ClientConnection
        held_bytes : int
        """
        while not self._responses.change(connection, held_bytes, LEAST_RESPONSE_BYTES):
            if not held_bytes:
                return
            stalled = self._responses.largest_stalled(lambda other: other is not connection)
            self._record("response_budget_mb", "gateway_responses_over_budget")
            if stalled is None:
                # Later, since the connection is in the middle of a write.
                self._gateway.clock.callLater(0, connection.drop_slow_client)
                return
            stalled.drop_slow_client()

    def drop_slow_clients(self):
        """Drop the clients that have read nothing for too long."""
        now_s = self._gateway.clock.seconds()
        for connection in self._gateway.clients.all():
            if connection.reads_too_slowly(now_s, self.response_stall_s):
                connection.drop_slow_client()

    def _refusal(self):
        return Refusal.of(
            ErrorKind.NO_CAPACITY, "the entry's budget for request memory is exhausted"
        )

    def _record(self, limit, counter):
        COUNTERS.increment(counter)
        now_s = self._gateway.clock.seconds()
        logged_s = self._logged_s_by_limit.get(limit)
        if logged_s is None or now_s - logged_s >= LOG_INTERVAL_S:
            self._logged_s_by_limit[limit] = now_s
            logger.warning(
                "client limit reached",
                extra={
                    "limit": limit,
                    "counter": counter,
                    "requests_bytes": self._requests.held_bytes,
                    "responses_bytes": self._responses.held_bytes,
                    "connections": self._gateway.clients.count,
                },
            )
