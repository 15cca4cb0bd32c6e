"""History of the cluster configurations in the log since the latest snapshot."""


class ConfigurationHistory:
    """The cluster configurations in the log, ordered by the index of their entries.

    A configuration takes effect as soon as its entry is in the log, committed or not.

    Parameters
    ----------
    base_index : int
        Index of the latest snapshot.
    base : Configuration
        Configuration as of that index.
    """

    def __init__(self, base_index, base):
        self._indexed_configurations = [(base_index, base)]

    @property
    def latest(self):
        """Return the configuration that is in effect."""
        return self._indexed_configurations[-1][1]

    @property
    def latest_index(self):
        """Return the index of the entry that holds the latest configuration."""
        return self._indexed_configurations[-1][0]

    def add(self, index, configuration):
        """Record the configuration that the last log entry holds.

        Parameters
        ----------
        index : int
        configuration : Configuration
        """
        self._indexed_configurations.append((index, configuration))

    def at(self, index):
        """Return the configuration that was in effect at an index.

        Parameters
        ----------
        index : int

        Returns
        -------
        Configuration
        """
        found = self._indexed_configurations[0][1]
        for held_index, configuration in self._indexed_configurations:
            if held_index <= index:
                found = configuration
        return found

    def truncate_from(self, index):
        """Discard the configurations at and after an index.

        Parameters
        ----------
        index : int
        """
        while self.latest_index >= index:
            self._indexed_configurations.pop()

    def discard_before(self, index):
        """Discard the configurations that were superseded at or before an index.

        Parameters
        ----------
        index : int
        """
        while len(self._indexed_configurations) > 1 and self._indexed_configurations[1][0] <= index:
            self._indexed_configurations.pop(0)
