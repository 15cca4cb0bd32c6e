"""Send one request to one endpoint once, and report its outcome to the exchange."""

from hemlockdock_entry.gateway.outcome import TryOutcome


class EndpointTry:
    """One attempt to send a request to an endpoint; passes the response to the exchange.

    Parameters
    ----------
    exchange : ProxyExchange
    row : EndpointRow
    request_id : bytes
    request_head : bytes
        The serialized head of the request.
    body : bytearray
        The client's, which is not copied.
    permit : Permit or None
    used_connections : set of EndpointConnection, optional
        Connections over which the request was sent before.

    Attributes
    ----------
    head : ResponseHead or None
    outcome : TryOutcome or None
        Set if the head already shows that the response is not usable.
    was_sent : bool
    sent_s : float
    first_byte_s : float
        Time at which the response head was received.
    is_doubtful : bool
        Whether the response may be one to another request.
    """

    def __init__(
        self, exchange, row, request_id, request_head, body, permit, used_connections=None
    ):
        self._exchange = exchange
        self._connection = None
        self.row = row
        self.request_id = request_id
        self.request_head = request_head
        self.body = body
        self.permit = permit
        self.used_connections = set() if used_connections is None else used_connections
        self.head = None
        self.outcome = None
        self.was_sent = False
        self.sent_s = 0.0
        self.first_byte_s = 0.0
        self.is_doubtful = False

    def begin(self, connections, now_s):
        """Send the request.

        Parameters
        ----------
        connections : ConnectionPool
        now_s : float
        """
        self.sent_s = now_s
        self._connection = connections.send(self)

    def cancel(self):
        """Cancel the request; no further events reach the exchange."""
        exchange, self._exchange = self._exchange, None
        if exchange is not None and self._connection is not None:
            self._connection.cancel()

    # Called by EndpointConnection.

    def may_send(self):
        """Return whether the request may still be written.

        Returns
        -------
        bool
        """
        return self._exchange is not None and self._exchange.may_send(self)

    def withheld(self):
        """Report that the request was not written."""
        if self._exchange is not None:
            problem = "the endpoint asked for fewer requests"
            self._exchange.on_try_ended(self, TryOutcome.WITHHELD, problem)

    def request_sent(self):
        """Record that the request was written."""
        self.was_sent = True

    def head_received(self, head, is_doubtful=False):
        """Pass the response head to the exchange."""
        self.head = head
        self.is_doubtful = is_doubtful
        if self._exchange is not None:
            self.first_byte_s = self._exchange.now_s()
            self._exchange.on_response_head(self, head)

    def body_received(self, data):
        """Pass part of the response body to the exchange."""
        if self._exchange is not None:
            self._exchange.on_response_data(self, data)

    def response_complete(self):
        """Pass the end of the response to the exchange."""
        if self._exchange is not None:
            self._exchange.on_response_end(self)

    def connection_lost(self, problem):
        """Report the outcome after the connection failed or closed before the response ended."""
        if self._exchange is None:
            return
        if self.was_sent and self.outcome is not TryOutcome.NOT_RUN:
            self._exchange.on_run_lost(self)
        if not self.was_sent:
            outcome = TryOutcome.NOT_SENT
        elif self.head is None:
            outcome = TryOutcome.UNKNOWN
        elif self.outcome is TryOutcome.NOT_RUN:
            outcome = TryOutcome.NOT_RUN
        else:
            outcome = TryOutcome.BROKEN_OFF
        self._exchange.on_try_ended(self, outcome, problem)
