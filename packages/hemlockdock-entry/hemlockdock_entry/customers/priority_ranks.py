"""Priority at engines of requests whose order depends on their customers and routes."""

# Engines know the priorities 0 to 9.
LOWEST_PRIORITY = 9
# Customers' part of the urgency of a request that was sent without a key.
NO_CUSTOMER_URGENCY = 0


class PriorityRanks:
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

    def priority(self, urgency):
        """Return the priority of requests of an urgency; 0 is the highest.

        Parameters
        ----------
        urgency : tuple of (int, int)
            Of the customer and of the route.

        Returns
        -------
        int
            The lowest priority for all urgencies that don't fit, and for those that the manifest
            no longer allows.
        """
        return min(LOWEST_PRIORITY, self._rank_by_urgency.get(urgency, LOWEST_PRIORITY))
