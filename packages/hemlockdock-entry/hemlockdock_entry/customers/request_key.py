"""The key with which a request was sent, and the customer to whom it belongs."""

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.customers.key_check import KeyResult, check_key

NO_HEADERS = frozenset()
MESSAGE_BY_RESULT = {
    KeyResult.MISSING: "the request has no key",
    KeyResult.UNKNOWN: "the request's key is not known",
}


class RequestKey:
    """Check the key of one request.

    Parameters
    ----------
    gateway : Gateway
    request : ClientRequest

    Attributes
    ----------
    customer : CustomerRow or None
        None if the request was sent without a customer's key.
    """

    def __init__(self, gateway, request):
        self._gateway = gateway
        self._request = request
        self._was_required = False
        # Index with which the key was checked last.
        self._index = None
        self.customer = None

    @property
    def dropped_headers(self):
        """Return the names of the headers of customers that the client may not set."""
        if self._was_required or self._gateway.customers.index.requires_keys:
            names = self._gateway.headers
            return frozenset((names.customer_key, names.customer))
        return NO_HEADERS

    def refusal(self, route):
        """Find the customer of a request that has just been received.

        Parameters
        ----------
        route : RouteRow

        Returns
        -------
        Refusal or None
            If the route needs a known key and the request has none.
        """
        check = self._check(route)
        self._apply(check)
        if check.result is not KeyResult.NOT_REQUIRED:
            COUNTERS.increment("gateway_key_checks", result=check.result.value)
        return _refusal_of(check)

    def removal_refusal(self, exchange):
        """Find the customer again of a request that waits, since keys are removed and moved.

        Parameters
        ----------
        exchange : ProxyExchange

        Returns
        -------
        Refusal or None
            If its key was removed. None if it may have run, as it continues then.
        """
        if not self._needs_check(exchange):
            return None
        check = self._check(self._route_in_force(exchange))
        self._apply(check)
        if check.refuses:
            COUNTERS.increment("gateway_waiting_keys_removed")
        return _refusal_of(check)

    def is_removed(self, exchange):
        """Return whether a request that was not sent to an endpoint yet may no longer be sent.

        Parameters
        ----------
        exchange : ProxyExchange

        Returns
        -------
        bool
        """
        return self._needs_check(exchange) and self._check(self._route_in_force(exchange)).refuses

    def _needs_check(self, exchange):
        if self._index is self._gateway.customers.index:
            return False
        return not exchange.may_have_run and not exchange.has_started

    def _route_in_force(self, exchange):
        route = exchange.route
        return self._gateway.table.route_by_name.get(route.name, route)

    def _check(self, route):
        key = self._request.header(self._gateway.headers.customer_key)
        return check_key(self._gateway.customers.index, route, key)

    def _apply(self, check):
        self._index = self._gateway.customers.index
        if check.result is not KeyResult.NOT_REQUIRED:
            self._was_required = True
        if not check.refuses:
            self.customer = check.customer


def _refusal_of(check):
    if not check.refuses:
        return None
    return Refusal.of(ErrorKind.UNAUTHORIZED, MESSAGE_BY_RESULT[check.result])
