"""Count events by name and labels."""


class Counters:
    """Count events by name and labels.

    A plain dict costs far less per event than a metrics library's objects; the exposition
    turns it into the library's form when it is asked for.

    Attributes
    ----------
    value_by_key : dict of (str, tuple) to int
    """

    def __init__(self):
        self.value_by_key = {}

    def increment(self, name, amount=1, **labels):
        """Add to a counter.

        Parameters
        ----------
        name : str
        amount : int, optional
        **labels : str
        """
        key = (name, tuple(labels.items()))
        self.value_by_key[key] = self.value_by_key.get(key, 0) + amount

    def value(self, name, **labels):
        """Return a counter's value, 0 where nothing was counted.

        Parameters
        ----------
        name : str
        **labels : str

        Returns
        -------
        int
        """
        return self.value_by_key.get((name, tuple(labels.items())), 0)


COUNTERS = Counters()
