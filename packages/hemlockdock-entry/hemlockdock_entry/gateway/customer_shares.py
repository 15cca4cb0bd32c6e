"""Order the waiting requests of each pool by its customers' shares."""

from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.balancing.fair_queue import FairQueue
from hemlockdock_entry.balancing.queue_ticket import QueueTicket, share_tokens


class CustomerShares:
    """The order in which waiting requests are dispatched, by pool.

    Models of a pool share its endpoints, so that a customer's use of all of them counts together.

    Parameters
    ----------
    names : HeaderNames
    """

    def __init__(self, names):
        self._names = names
        self._queue_by_pool = {}

    def add(self, exchange):
        """Give a request its ticket, when it is queued for the first time.

        Parameters
        ----------
        exchange : ProxyExchange
        """
        customer = exchange.customer
        flow, quota = None, None
        if customer is not None:
            flow, quota = customer.name, customer.quota
            self._queue_by_pool.setdefault(exchange.pool.name, FairQueue())
        tokens = share_tokens(exchange.request.header(self._names.token_counts), quota)
        exchange.ticket = QueueTicket(exchange.urgency, flow, tokens, exchange.deadline_s)

    @property
    def pools(self):
        """Return the names of the pools for which requests of customers have been queued."""
        return self._queue_by_pool.keys()

    def has_queue(self, pool):
        """Return whether the pool has a fair queue: a customer's request has been queued for it.

        Parameters
        ----------
        pool : str

        Returns
        -------
        bool
        """
        return pool in self._queue_by_pool

    def sort(self, pool, exchanges):
        """Sort waiting requests of a pool by the order in which they should be dispatched.

        Parameters
        ----------
        pool : str
        exchanges : list of ProxyExchange
        """
        queue = self._queue_by_pool.get(pool)
        if queue is None:
            exchanges.sort(key=_deadline_order)
            return
        queue.sort(exchanges, _ticket)

    def record_dispatch(self, exchange):
        """Count a request that is dispatched.

        Parameters
        ----------
        exchange : ProxyExchange
        """
        queue = self._queue_by_pool.get(exchange.pool.name)
        if queue is not None:
            COUNTERS.increment("gateway_fair_dispatches")
            queue.record_start(exchange.ticket)


def _ticket(exchange):
    return exchange.ticket


def _deadline_order(exchange):
    return (exchange.urgency, exchange.deadline_s)
