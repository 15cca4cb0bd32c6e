"""Carry one request to one endpoint, once."""

from hemlockdock_entry.gateway.outcome import TryOutcome


class EndpointTry:
    """Carry one request to one endpoint, and hand the answer on.

    Parameters
    ----------
    exchange : Exchange
    row : EndpointRow
    request_id : bytes
    data : bytes
        The whole request.

    Attributes
    ----------
    head : ResponseHead or None
    outcome : TryOutcome or None
        Set where the head already tells that there is no usable answer.
    was_sent : bool
    sent_s : float
    first_byte_s : float
        When the answer began.
    """

    def __init__(self, exchange, row, request_id, data):
        self._exchange = exchange
        self._connection = None
        self.row = row
        self.request_id = request_id
        self.data = data
        self.head = None
        self.outcome = None
        self.was_sent = False
        self.sent_s = 0.0
        self.first_byte_s = 0.0

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
        """Give the request up; nothing more is handed on."""
        exchange, self._exchange = self._exchange, None
        if exchange is not None and self._connection is not None:
            self._connection.cancel()

    # What follows is called by the channel.

    def request_sent(self):
        """Note that the request was written."""
        self.was_sent = True

    def head_received(self, head):
        """Take the answer's head."""
        self.head = head
        if self._exchange is not None:
            self.first_byte_s = self._exchange.now_s()
            self._exchange.on_response_head(self, head)

    def body_received(self, data):
        """Take a part of the answer's body."""
        if self._exchange is not None:
            self._exchange.on_response_data(self, data)

    def response_complete(self):
        """Take the answer's end."""
        if self._exchange is not None:
            self._exchange.on_response_end(self)

    def connection_lost(self, problem):
        """Take that the connection ended before the answer did."""
        if self._exchange is None:
            return
        if not self.was_sent:
            outcome = TryOutcome.NOT_SENT
        elif self.head is None:
            outcome = TryOutcome.UNKNOWN
        elif self.outcome is TryOutcome.NOT_RUN:
            outcome = TryOutcome.NOT_RUN
        else:
            outcome = TryOutcome.BROKEN_OFF
        self._exchange.on_try_ended(self, outcome, problem)
