"""Learn the daily pattern of activity."""

HOUR_MS = 3_600_000
HOURS = 24
SMOOTHING = 4.0
MIN_WEIGHT = 0.05
MIN_HISTORY_MS = HOURS * HOUR_MS
DAILY_DECAY = 0.7


class DailyActivity:
    """Weight each hour of the day by the number of model activations in it.

    Time scaled by these weights passes slowly at night, so that a gap overnight does not count
    like an equally long gap during the day.

    Attributes
    ----------
    count_by_hour : list of float
    """

    def __init__(self):
        self.count_by_hour = [0.0] * HOURS
        self._first_ms = None
        self._day = None

    def add(self, at_ms):
        """Record one activation.

        Parameters
        ----------
        at_ms : int
        """
        if self._first_ms is None:
            self._first_ms = at_ms
        day = at_ms // (HOURS * HOUR_MS)
        if self._day is not None and day > self._day:
            self.count_by_hour = [count * DAILY_DECAY for count in self.count_by_hour]
        self._day = day
        self.count_by_hour[at_ms // HOUR_MS % HOURS] += 1.0

    def weight(self, at_ms):
        """Return an hour's activity relative to the daily mean; 1 before a day of history.

        Parameters
        ----------
        at_ms : int

        Returns
        -------
        float
        """
        if self._first_ms is None or at_ms - self._first_ms < MIN_HISTORY_MS:
            return 1.0
        mean = sum(self.count_by_hour) / HOURS
        count = self.count_by_hour[at_ms // HOUR_MS % HOURS]
        return max((count + SMOOTHING) / (mean + SMOOTHING), MIN_WEIGHT)

    def weighted_elapsed_ms(self, start_ms, end_ms):
        """Return the weighted time between two times.

        Parameters
        ----------
        start_ms, end_ms : int

        Returns
        -------
        float
        """
        total = 0.0
        at_ms = start_ms
        while at_ms < end_ms:
            next_ms = min((at_ms // HOUR_MS + 1) * HOUR_MS, end_ms)
            total += (next_ms - at_ms) * self.weight(at_ms)
            at_ms = next_ms
        return total
