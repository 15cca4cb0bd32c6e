"""Give up an attempt that brings no first byte, if another endpoint may answer in time."""

# Minimum wait for the first byte if another endpoint could answer.
MIN_TIMEOUT_S = 0.6
# With less time left, a retry is no more likely to answer in time than the current attempt.
MIN_TRY_S = 0.25


class FirstByteTimer:
    """Timer of the attempt in progress of one request.

    Parameters
    ----------
    gateway : Gateway
    exchange : ProxyExchange
    """

    def __init__(self, gateway, exchange):
        self._gateway = gateway
        self._exchange = exchange
        self._call = None

    def start(self, endpoint_try, tried_ids, on_timeout):
        """Start the timer of an attempt.

        Parameters
        ----------
        endpoint_try : EndpointTry
        tried_ids : collection of str
            Endpoints to which the request was sent.
        on_timeout : callable
            Takes the attempt that should be given up.
        """
        health = self._gateway.health.for_endpoint(endpoint_try.row.endpoint_id)
        timeout_s = health.first_byte_timeout_s(MIN_TIMEOUT_S)
        self._call = self._gateway.clock.callLater(
            timeout_s, self._timed_out, endpoint_try, tried_ids, on_timeout
        )

    def cancel(self):
        """Stop the timer if it runs."""
        if self._call is not None:
            self._call.cancel()
            self._call = None

    def _timed_out(self, endpoint_try, tried_ids, on_timeout):
        exchange = self._exchange
        self._call = None
        if exchange.ended or endpoint_try.head is not None:
            return
        if len(tried_ids) >= exchange.route.most_endpoints or exchange.left_s < MIN_TRY_S:
            return
        if not self._gateway.selection.has_alternative(exchange):
            return
        if endpoint_try.was_sent and not self._has_retry_left():
            return
        on_timeout(endpoint_try)

    def _has_retry_left(self):
        budget = self._gateway.endpoints.retry_budget(self._exchange.pool.name)
        return budget.has_available(self._gateway.clock.seconds(), self._gateway.share_divisor)
