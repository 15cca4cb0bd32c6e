"""The customers of the manifest in force at this entry."""

import logging

from hemlockdock_entry.customers.customer_index import CustomerIndex

logger = logging.getLogger(__name__)


class CustomerDirectory:
    """Keep the index of customers up to date with the routing table.

    Parameters
    ----------
    limits : LimitsRow
        Limits that apply until the first routing table is received.

    Attributes
    ----------
    index : CustomerIndex
    """

    def __init__(self, limits):
        self._limits = limits
        self.index = CustomerIndex(limits, (), ())

    def update(self, table):
        """Rebuild the index if the manifest or the customers have changed.

        Parameters
        ----------
        table : RoutingTable

        Returns
        -------
        bool
            Whether it was rebuilt, so that requests in progress have to be checked again.
        """
        customers = tuple(table.customer_by_name.values())
        if table.limits is self._limits and customers == self.index.customers:
            return False
        before = self.index
        self._limits = table.limits
        self.index = CustomerIndex(table.limits, customers, table.route_by_name.values())
        if customers != before.customers or self.index.requires_keys != before.requires_keys:
            logger.info(
                "customers applied",
                extra={
                    "number": table.limits.number,
                    "requires_keys": table.limits.requires_keys,
                    "customers": len(customers),
                },
            )
        return True
