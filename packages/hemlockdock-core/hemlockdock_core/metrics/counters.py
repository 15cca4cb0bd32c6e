"""Event counters."""


class Counters:
    """Event counters by name and labels.

    A plain dict costs far less per event than the objects of a metrics library; the exposition
    converts it to the library's types on demand.

    Attributes
    ----------
    value_by_key : dict of (str, tuple) to int
    """

    def __init__(self):
        self.value_by_key = {}

    def increment(self, name, amount=1, **labels):
        """Increment a counter.

        Parameters
        ----------
        name : str
        amount : int, optional
        **labels : str
        """
        key = (name, tuple(labels.items()))
        self.value_by_key[key] = self.value_by_key.get(key, 0) + amount

    def value(self, name, **labels):
        """Return the value of a counter, or 0 if it was never incremented.

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
