"""Hold the configurations that the log has held since the latest snapshot."""


class ConfigurationHistory:
    """Hold configurations by the index of their entries.

    A configuration is in force as soon as its entry is in the log, committed or not.

    Parameters
    ----------
    base_index : int
    base : Configuration
        As of that index.
    """

    def __init__(self, base_index, base):
        self._indexed_configurations = [(base_index, base)]

    @property
    def latest(self):
        """Return the configuration in force."""
        return self._indexed_configurations[-1][1]

    @property
    def latest_index(self):
        """Return the index of that configuration's entry."""
        return self._indexed_configurations[-1][0]

    def add(self, index, configuration):
        """Add the configuration of the log's last entry.

        Parameters
        ----------
        index : int
        configuration : Configuration
        """
        self._indexed_configurations.append((index, configuration))

    def at(self, index):
        """Return the configuration as of an index that is held.

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
        """Go back to the configuration before an index.

        Parameters
        ----------
        index : int
        """
        while self.latest_index >= index:
            self._indexed_configurations.pop()

    def discard_before(self, index):
        """Drop the configurations that were superseded at or before an index.

        Parameters
        ----------
        index : int
        """
        while len(self._indexed_configurations) > 1 and self._indexed_configurations[1][0] <= index:
            self._indexed_configurations.pop(0)
