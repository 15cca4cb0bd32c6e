"""Hold which checkpoints a host keeps."""


class CheckpointCache:
    """Hold checkpoints up to a size; the least recently used go first.

    Attributes
    ----------
    size_by_name : dict of str to int
        In MB, least recently used first.
    """

    def __init__(self, capacity_mb):
        """Start empty.

        Parameters
        ----------
        limit_mb : int
        """
        self._capacity_mb = capacity_mb
        self.size_by_name = {}

    def put(self, name, size_mb):
        """Keep or touch a checkpoint.

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
        """Forget everything."""
        self.size_by_name = {}
