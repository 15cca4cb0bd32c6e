"""Values that rise and fall."""


class Gauges:
    """Current values by name and labels.

    Attributes
    ----------
    value_by_key : dict of (str, tuple) to float
    """

    def __init__(self):
        self.value_by_key = {}

    def set(self, name, value, **labels):
        """Set a value.

        Parameters
        ----------
        name : str
        value : float
        **labels : str
        """
        self.value_by_key[(name, tuple(labels.items()))] = value

    def remove(self, name, **labels):
        """Remove a value, if it is set.

        Parameters
        ----------
        name : str
        **labels : str
        """
        self.value_by_key.pop((name, tuple(labels.items())), None)


GAUGES = Gauges()
