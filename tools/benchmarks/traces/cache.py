"""Simulate the checkpoint cache of a host."""


class CheckpointCache:
    """Size-limited cache of checkpoints that evicts the least recently used first.

    Attributes
    ----------
    size_by_name : dict of str to int
        Checkpoint sizes in MB, least recently used first.
    """

    def __init__(self, capacity_mb):
        """Create an empty cache.

        Parameters
        ----------
        capacity_mb : int
        """
        self._capacity_mb = capacity_mb
        self.size_by_name = {}

    def put(self, name, size_mb):
        """Add a checkpoint, or mark it as most recently used.

        A checkpoint larger than the whole cache is not added.

        Parameters
        ----------
        name : str
        size_mb : int
        """
        self.size_by_name.pop(name, None)
        if size_mb > self._capacity_mb:
            return
        self.size_by_name[name] = size_mb
        while sum(self.size_by_name.values()) > self._capacity_mb:
            del self.size_by_name[next(iter(self.size_by_name))]

    def clear(self):
        """Remove all checkpoints."""
        self.size_by_name = {}
