"""Keep the capacities that entries state, and their ratios to the mean."""

from hemlockdock_core.entry_capacity import capacity_ratios

# Two heartbeats: a new leader learns of the entries one by one within this time.
SETTLE_S = 1.0


class EntryCapacities:
    """The capacities that entries state, by the address of their mailbox."""

    def __init__(self):
        self._capacity_by_address = {}
        self._ratio_by_address = {}
        self._changed_s = 0.0

    @property
    def are_uneven(self):
        """Return whether entries state different capacities."""
        return any(ratio != 1.0 for ratio in self._ratio_by_address.values())

    def set(self, address, capacity, now_s):
        """Record an entry's capacity.

        Parameters
        ----------
        address : str
        capacity : EntryCapacity
        now_s : float
        """
        if self._capacity_by_address.get(address) != capacity:
            self._capacity_by_address[address] = capacity
            self._compare(now_s)

    def remove(self, address, now_s):
        """Remove an entry.

        Parameters
        ----------
        address : str
        now_s : float
        """
        if self._capacity_by_address.pop(address, None) is not None:
            self._compare(now_s)

    def ratio(self, address, now_s):
        """Return an entry's capacity in relation to the mean of all.

        Parameters
        ----------
        address : str
        now_s : float

        Returns
        -------
        float
            0 if the entry is not known, or if entries came or went just now.
        """
        if now_s - self._changed_s < SETTLE_S:
            return 0.0
        return self._ratio_by_address.get(address, 0.0)

    def _compare(self, now_s):
        self._changed_s = now_s
        ratios = capacity_ratios(list(self._capacity_by_address.values()))
        self._ratio_by_address = dict(zip(self._capacity_by_address, ratios, strict=True))
