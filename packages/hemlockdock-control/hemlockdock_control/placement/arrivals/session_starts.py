"""Predict a model's next session from the time of day of earlier ones."""

from bisect import bisect_left

DAY_MS = 86_400_000
MAX_DAYS = 7
MIN_DAYS = 2
JITTER_MS = 300_000
HORIZON_MS = 1_800_000
STEP_MS = 60_000
MIN_REPEAT_MS = 7_200_000


class SessionStarts:
    """Hold the start times of a model's sessions over the last days.

    Attributes
    ----------
    starts_ms : list of int
    """

    def __init__(self):
        self.starts_ms = []

    def add(self, at_ms):
        """Record the start of a session.

        Parameters
        ----------
        at_ms : int
        """
        self.starts_ms.append(at_ms)
        oldest_ms = at_ms - (MAX_DAYS + 1) * DAY_MS
        while self.starts_ms[0] < oldest_ms:
            self.starts_ms.pop(0)

    def cumulative_probability(self, now_ms, learning_since_ms):
        """Return the cumulative probability that a session starts, over time from now.

        Each earlier start is expected to recur at the same time of day, plus or minus
        ``JITTER_MS``.

        Parameters
        ----------
        now_ms : int
        learning_since_ms : int

        Returns
        -------
        list of (float, float)
            Empty if the history is too short or a session has started recently.
        """
        days = min((now_ms - learning_since_ms) // DAY_MS, MAX_DAYS)
        if days < MIN_DAYS or not self.starts_ms:
            return []
        if now_ms - self.starts_ms[-1] < MIN_REPEAT_MS:
            return []
        offsets = self._offsets(now_ms, days)
        if not offsets:
            return []
        points = []
        for horizon_ms in range(STEP_MS, HORIZON_MS + 1, STEP_MS):
            expected_starts = sum(_overlap_fraction(offset_ms, horizon_ms) for offset_ms in offsets)
            points.append((float(horizon_ms), expected_starts / (days + 1)))
        return points

    def _offsets(self, now_ms, days):
        offsets = []
        for day in range(1, days + 1):
            same_time_ms = now_ms - day * DAY_MS
            index = bisect_left(self.starts_ms, same_time_ms - JITTER_MS)
            if index == len(self.starts_ms):
                continue
            offset_ms = self.starts_ms[index] - same_time_ms
            if offset_ms < HORIZON_MS:
                offsets.append(offset_ms)
        return offsets


def _overlap_fraction(offset_ms, horizon_ms):
    # Fraction of the window from JITTER_MS before to JITTER_MS after the start that lies
    # between now and the horizon.
    low_ms = max(offset_ms - JITTER_MS, 0)
    high_ms = min(offset_ms + JITTER_MS, horizon_ms)
    return max(high_ms - low_ms, 0) / (2 * JITTER_MS)
