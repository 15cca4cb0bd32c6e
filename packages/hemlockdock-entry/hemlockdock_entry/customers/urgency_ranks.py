"""Rank of requests whose order depends on their customers and routes."""

# Customers' part of the urgency of a request that was sent without a key.
NO_CUSTOMER_URGENCY = 0


class UrgencyRanks:
    """Rank each urgency that requests can have among all that the manifest allows.

    Parameters
    ----------
    customers : iterable of CustomerRow
    routes : iterable of RouteRow
    """

    def __init__(self, customers, routes):
        customer_urgencies = {customer.urgency for customer in customers}
        pairs = set()
        for route in routes:
            pairs.update((urgency, route.urgency) for urgency in customer_urgencies)
            if route.is_public:
                pairs.add((NO_CUSTOMER_URGENCY, route.urgency))
        self._rank_by_urgency = {pair: rank for rank, pair in enumerate(sorted(pairs))}

    def rank(self, urgency):
        """Return the rank of an urgency; 0 is the most urgent.

        Parameters
        ----------
        urgency : tuple of (int, int)
            Of the customer and of the route.

        Returns
        -------
        int
            The last one for an urgency that the manifest no longer allows.
        """
        return self._rank_by_urgency.get(urgency, len(self._rank_by_urgency))
