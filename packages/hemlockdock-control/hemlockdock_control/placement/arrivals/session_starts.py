"""Predict a model's next session from the time of day of earlier ones."""

from bisect import bisect_left

DAY_MS = 86_400_000
MOST_DAYS = 7
LEAST_DAYS = 2
JITTER_MS = 300_000
HORIZON_MS = 1_800_000
STEP_MS = 60_000
REPEAT_MS = 7_200_000


class SessionStarts:
    """Hold when a model's sessions started on the last days.

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
        oldest_ms = at_ms - (MOST_DAYS + 1) * DAY_MS
        while self.starts_ms[0] < oldest_ms:
            self.starts_ms.pop(0)

    def points(self, now_ms, learning_since_ms):
        """Return the chance that a session starts, over time from now.

        Each earlier start is taken to come again at its time of day, give or take
        ``JITTER_MS``.

        Parameters
        ----------
        now_ms : int
        learning_since_ms : int

        Returns
        -------
        list of (float, float)
            Empty where too few days were seen or today's session has begun.
        """
        days = min((now_ms - learning_since_ms) // DAY_MS, MOST_DAYS)
        if days < LEAST_DAYS or not self.starts_ms:
            return []
        if now_ms - self.starts_ms[-1] < REPEAT_MS:
            return []
        offsets = self._offsets(now_ms, days)
        if not offsets:
            return []
        points = []
        for within_ms in range(STEP_MS, HORIZON_MS + 1, STEP_MS):
            reached = sum(_reached(offset_ms, within_ms) for offset_ms in offsets)
            points.append((float(within_ms), reached / (days + 1)))
        return points

    def _offsets(self, now_ms, days):
        offsets = []
        for day in range(1, days + 1):
            then_ms = now_ms - day * DAY_MS
            index = bisect_left(self.starts_ms, then_ms - JITTER_MS)
            if index == len(self.starts_ms):
                continue
            offset_ms = self.starts_ms[index] - then_ms
            if offset_ms < HORIZON_MS:
                offsets.append(offset_ms)
        return offsets


def _reached(offset_ms, within_ms):
    # Part of the start's window, from JITTER_MS before to JITTER_MS after, that lies between
    # now and the given time.
    low_ms = max(offset_ms - JITTER_MS, 0)
    high_ms = min(offset_ms + JITTER_MS, within_ms)
    return max(high_ms - low_ms, 0) / (2 * JITTER_MS)
