"""Learn how long a model's gaps between requests are."""

from bisect import bisect_right

SHORTEST_GAP_MS = 1_000
GROWTH = 1.5
BIN_COUNT = 34
EDGES_MS = tuple(SHORTEST_GAP_MS * GROWTH**index for index in range(BIN_COUNT + 1))
MOST_COUNTED = 400.0
PRIOR_WEIGHT = 2.0


class GapHistogram:
    """Count gaps in bins that grow geometrically, from a second to over a week.

    Attributes
    ----------
    counts : list of float
    total : float
    """

    def __init__(self):
        self.counts = [0.0] * BIN_COUNT
        self.total = 0.0

    def add(self, gap_ms):
        """Count one gap; old ones fade as new ones come.

        Parameters
        ----------
        gap_ms : float
            Shorter ones than ``SHORTEST_GAP_MS`` are left out.
        """
        if gap_ms < SHORTEST_GAP_MS:
            return
        index = min(bisect_right(EDGES_MS, gap_ms) - 1, BIN_COUNT - 1)
        self.counts[index] += 1.0
        self.total += 1.0
        if self.total > MOST_COUNTED:
            self.counts = [count / 2.0 for count in self.counts]
            self.total /= 2.0

    def points(self, idle_ms, pooled):
        """Return the chance that the gap ends, over time from now.

        Parameters
        ----------
        idle_ms : float
            How long the gap has lasted.
        pooled : GapHistogram
            Of all models together; stands in where this model has few gaps.

        Returns
        -------
        list of (float, float)
            Time from now, and the chance that the gap ends by then.
        """
        idle_ms = max(idle_ms, SHORTEST_GAP_MS)
        first = min(bisect_right(EDGES_MS, idle_ms) - 1, BIN_COUNT - 1)
        masses = [self._mass(index, pooled) for index in range(first, BIN_COUNT)]
        width_ms = EDGES_MS[first + 1] - EDGES_MS[first]
        masses[0] *= max(EDGES_MS[first + 1] - idle_ms, 0.0) / width_ms
        whole = sum(masses)
        points = []
        reached = 0.0
        for offset, mass in enumerate(masses):
            reached += mass
            points.append((EDGES_MS[first + offset + 1] - idle_ms, reached / whole))
        return points

    def _mass(self, index, pooled):
        # One gap spread over all bins keeps every mass above zero.
        prior = (pooled.counts[index] + 1.0 / BIN_COUNT) / (pooled.total + 1.0)
        return self.counts[index] + PRIOR_WEIGHT * prior
