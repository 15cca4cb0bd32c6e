"""In-memory log of the entries after the latest snapshot."""


class EntryLog:
    """A contiguous sequence of log entries.

    Parameters
    ----------
    base_index : int
        Index of the last entry before the log, which is compacted.
    base_term : int
        Term of the entry at that index.

    Attributes
    ----------
    entries : list of LogEntry
    """

    def __init__(self, base_index=0, base_term=0):
        self.base_index = base_index
        self.base_term = base_term
        self.entries = []

    @property
    def last_index(self):
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self):
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index):
        """Return the term of the entry at an index, or None if the log doesn't hold it.

        Parameters
        ----------
        index : int

        Returns
        -------
        int or None
        """
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def slice(self, first, last):
        """Return the entries from ``first`` to ``last``, both included, as a tuple.

        Parameters
        ----------
        first : int
        last : int

        Returns
        -------
        tuple of LogEntry
        """
        start = first - self.base_index - 1
        return tuple(self.entries[start : last - self.base_index])

    def append(self, entry):
        """Append an entry.

        Parameters
        ----------
        entry : LogEntry
        """
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} cannot follow {self.last_index}")
        self.entries.append(entry)

    def truncate_from(self, index):
        """Remove the entries at and after an index.

        Parameters
        ----------
        index : int
        """
        del self.entries[index - self.base_index - 1 :]

    def compact_to(self, index, kept_entries=0, kept_bytes=0):
        """Remove the entries up to and including an index, but for some of the last of them.

        Parameters
        ----------
        index : int
        kept_entries : int, optional
            Number of entries up to the index that are kept.
        kept_bytes : int, optional
            Size up to which they are.
        """
        oldest = max(index - kept_entries, self.base_index)
        size = 0
        while index > oldest:
            size += len(self.entries[index - self.base_index - 1].data)
            if size > kept_bytes:
                break
            index -= 1
        if index <= self.base_index:
            return
        self.base_term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index = index

    def first_index_of_term_at(self, index):
        """Return the first index in the log with the same term as the entry at ``index``.

        Parameters
        ----------
        index : int

        Returns
        -------
        int
        """
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_index_of_term(self, term, at_most):
        """Return the last index with a given term, or None if there is none.

        Parameters
        ----------
        term : int
        at_most : int
            Largest index to consider.

        Returns
        -------
        int or None
        """
        index = min(at_most, self.last_index)
        while index >= self.base_index:
            found = self.term_at(index)
            if found == term:
                return index
            if found < term:
                return None
            index -= 1
        return None
