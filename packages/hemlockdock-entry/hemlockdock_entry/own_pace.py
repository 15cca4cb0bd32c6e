"""Space an entry's requests evenly while it can't ask the leader for permits or tokens."""

# Times of requests that have been unused for longer are lost. Otherwise, a burst of many entries
# together would exceed the limit of an endpoint or the quota of a customer.
MAX_BURST_AGE_S = 1.0


class OwnPace:
    """Spaces requests to one endpoint, or of one customer, without knowing those of other entries.

    Entries that begin together are spread over the interval by chance.

    Parameters
    ----------
    random_source : random.Random
    """

    def __init__(self, random_source):
        self._random = random_source
        self._booked_s = None
        self._next_s = None

    def restart(self):
        """Choose a new time for the next request, because the interval has changed."""
        self._next_s = None

    def book(self, longest_wait_s, interval_s, now_s):
        """Book the time of the next request.

        Parameters
        ----------
        longest_wait_s, interval_s, now_s : float

        Returns
        -------
        float or None
            None if that is too late; see ``next_s``.
        """
        if self._next_s is None or self._next_s < now_s - MAX_BURST_AGE_S:
            earliest_s = now_s
            if self._booked_s is not None:
                earliest_s = max(now_s, self._booked_s + interval_s)
            self._next_s = earliest_s + self._random.uniform(0.0, interval_s)
        booked_s = max(self._next_s, now_s)
        if booked_s - now_s > longest_wait_s:
            return None
        self._booked_s = booked_s
        self._next_s = booked_s + interval_s
        return booked_s

    @property
    def next_s(self):
        """Return when there may be the next request, as of the last call of ``book()``."""
        return self._next_s
