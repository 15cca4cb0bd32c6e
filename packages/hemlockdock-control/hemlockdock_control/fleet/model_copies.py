"""Count the copies of models that a pool's engines have, or will have soon."""

from collections import Counter

# Clients give up after some seconds of waiting. A load from the store that ends within this time
# still serves most of those that wait, and a second load would take another model's place.
SOON_S = 6.5
# The most patient clients wait for about this long: a longer load serves none of those that wait.
LONGEST_PATIENCE_S = 12.0
# A model gets another copy when more requests than this are in flight on each of its copies.
MAX_REQUESTS_PER_COPY = 22
# Requests that wait for longer than this exceed the limits of their engines: a permit takes less.
LIMITED_WAIT_S = 0.2


class ModelCopies:
    """Copies of models at the engines of a pool, in one placement round.

    Parameters
    ----------
    views : iterable of EngineView
    now_s : float
    silent : iterable of EngineView, optional
        Engines with loads from the store whose agents have not reported lately.

    Attributes
    ----------
    count_by_name : dict of str to int
        Models that are loaded or will be soon.
    limited_by_name : dict of str to int
        Those of them whose engines take a limited number of requests per second.
    coming_from_store : set of str
        Models that are being loaded from the store. Those that take longer don't count as copies,
        as a host that has the weights would be far sooner.
    holders_by_name : Counter
        Number of hosts that have the weights of a model.
    """

    def __init__(self, views, now_s, silent=()):
        self.count_by_name = {}
        self.limited_by_name = {}
        self.coming_from_store = set()
        self.holders_by_name = Counter()
        for view in views:
            self.holders_by_name.update(view.report.on_host)
            for name in view.resident:
                if name == view.coming_from_store:
                    self.coming_from_store.add(name)
                    if not _counts_as_copy(view.pending, now_s):
                        continue
                self.count_by_name[name] = self.count_by_name.get(name, 0) + 1
                if view.is_limited:
                    self.limited_by_name[name] = self.limited_by_name.get(name, 0) + 1
        for view in silent:
            self.coming_from_store.add(view.coming_from_store)

    def lacks(self, name, use, now_s):
        """Tell whether a model has no copy, or only copies at limits that its requests exceed.

        Parameters
        ----------
        name : str
        use : AggregatedDemand
        now_s : float

        Returns
        -------
        bool
        """
        copies = self.count_by_name.get(name, 0)
        if not copies:
            return True
        if copies > self.limited_by_name.get(name, 0):
            return False
        if use.returning:
            return True
        return use.waiting > 0 and now_s - use.waiting_since_s >= LIMITED_WAIT_S

    def crowded(self, use_by_name):
        """Yield the models with more requests in flight than their copies should have.

        Parameters
        ----------
        use_by_name : dict of str to AggregatedDemand

        Yields
        ------
        tuple of (str, int)
            The model, and the number of requests beyond that.
        """
        for name, use in use_by_name.items():
            copies = self.count_by_name.get(name, 0)
            if use is None or not copies:
                continue
            excess = use.in_flight - copies * MAX_REQUESTS_PER_COPY
            if excess > 0:
                yield name, excess

    def apply(self, exchange):
        """Count an exchange that was chosen in this round.

        Parameters
        ----------
        exchange : ModelExchange
        """
        for name in exchange.unload:
            self.count_by_name[name] -= 1
        name = exchange.model.name
        if exchange.source == "store":
            self.coming_from_store.add(name)
            limit_s = LONGEST_PATIENCE_S if exchange.is_fallback else SOON_S
            if exchange.takes_s > limit_s:
                return
        self.count_by_name[name] = self.count_by_name.get(name, 0) + 1


def _counts_as_copy(pending, now_s):
    if pending is None:
        # An earlier leader decided the load; its end is not known.
        return False
    takes_s = pending.ready_s - pending.decided_s
    if pending.is_fallback and takes_s <= LONGEST_PATIENCE_S:
        return True
    return now_s <= pending.ready_s <= now_s + SOON_S
