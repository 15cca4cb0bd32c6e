"""Play the weight store: a load that finds others under way takes longer in proportion."""


class LabStore:
    """Play the weight store.

    Parameters
    ----------
    at_once : int
        Loads that it carries at full speed.

    Attributes
    ----------
    begun : int
        Loads so far.
    """

    def __init__(self, at_once):
        self.begun = 0
        self._at_once = at_once
        self._under_way = 0

    def begin(self, takes_s):
        """Begin a load.

        Parameters
        ----------
        takes_s : float
            At full speed.

        Returns
        -------
        float
            How long it takes, in seconds.
        """
        self.begun += 1
        self._under_way += 1
        return takes_s * max(1.0, self._under_way / self._at_once)

    def end(self):
        """Count a load off."""
        self._under_way -= 1
