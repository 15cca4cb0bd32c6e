"""Count the copies of models that a pool's engines have, or will have within a second."""


class ModelCopies:
    """Copies of models at the engines of a pool, in one placement round.

    Parameters
    ----------
    views : iterable of EngineView

    Attributes
    ----------
    count_by_name : dict of str to int
        Models that are loaded, or are being loaded from a host.
    coming_from_store : set of str
        Models that are being loaded from the store. They don't count as copies: a host that has
        the weights would be far sooner.
    on_hosts : set of str
        Models whose weights some host has.
    """

    def __init__(self, views):
        self.count_by_name = {}
        self.coming_from_store = set()
        self.on_hosts = set()
        for view in views:
            self.on_hosts |= view.report.on_host
            for name in view.resident:
                if name == view.coming_from_store:
                    self.coming_from_store.add(name)
                    continue
                self.count_by_name[name] = self.count_by_name.get(name, 0) + 1

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
            return
        self.count_by_name[name] = self.count_by_name.get(name, 0) + 1
