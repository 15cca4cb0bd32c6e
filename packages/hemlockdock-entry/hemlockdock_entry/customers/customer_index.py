"""Look up the customer to whom a key belongs."""

from hemlockdock_core.customer_keys import key_digest
from hemlockdock_entry.customers.urgency_ranks import UrgencyRanks


class CustomerIndex:
    """Index of the customers of one manifest by the digests of their keys.

    Parameters
    ----------
    limits : LimitsRow
    customers : iterable of CustomerRow
    routes : iterable of RouteRow

    Attributes
    ----------
    requires_keys : bool
        Whether requests need a key, unless their route is public.
    customers : tuple of CustomerRow
    """

    def __init__(self, limits, customers, routes):
        self.requires_keys = limits.requires_keys
        self.customers = tuple(customers)
        self._ranks = UrgencyRanks(self.customers, routes)
        self._customer_by_digest = {}
        for customer in self.customers:
            for digest in customer.key_digests:
                self._customer_by_digest[digest] = customer

    def find(self, key):
        """Return the customer to whom a key belongs, or None.

        Parameters
        ----------
        key : bytes
            Empty if the request has none.

        Returns
        -------
        CustomerRow or None
        """
        if not key:
            return None
        return self._customer_by_digest.get(key_digest(key))

    def rank(self, exchange):
        """Return the rank of a request's urgency; 0 is the most urgent.

        Parameters
        ----------
        exchange : ProxyExchange

        Returns
        -------
        int
            The urgency of its route if requests need no keys.
        """
        if self.requires_keys:
            return self._ranks.rank(exchange.urgency)
        return exchange.route.urgency
