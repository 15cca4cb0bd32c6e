"""Learn the distribution of a model's gaps between requests."""

from bisect import bisect_right

MIN_GAP_MS = 1_000
BIN_GROWTH = 1.5
BIN_COUNT = 34
BIN_EDGES_MS = tuple(MIN_GAP_MS * BIN_GROWTH**index for index in range(BIN_COUNT + 1))
MAX_TOTAL = 400.0
PRIOR_WEIGHT = 2.0


class GapHistogram:
    """Count gaps in bins of geometrically growing width, from a second to over a week.

    Attributes
    ----------
    counts : list of float
    total : float
    """

    def __init__(self):
        self.counts = [0.0] * BIN_COUNT
        self.total = 0.0

    def add(self, gap_ms):
        """Record one gap; the weight of old gaps decays as new ones are added.

        Parameters
        ----------
        gap_ms : float
            Ignored if shorter than ``MIN_GAP_MS``.
        """
        if gap_ms < MIN_GAP_MS:
            return
        index = min(bisect_right(BIN_EDGES_MS, gap_ms) - 1, BIN_COUNT - 1)
        self.counts[index] += 1.0
        self.total += 1.0
        if self.total > MAX_TOTAL:
            self.counts = [count / 2.0 for count in self.counts]
            self.total /= 2.0

    def cumulative_probability(self, idle_ms, pooled):
        """Return the cumulative probability that the current gap ends, over time from now.

        Parameters
        ----------
        idle_ms : float
            Length of the gap so far.
        pooled : GapHistogram
            Gaps of all models together, used as the prior distribution.

        Returns
        -------
        list of (float, float)
            Time from now, and the probability that the gap ends by then.
        """
        idle_ms = max(idle_ms, MIN_GAP_MS)
        first = min(bisect_right(BIN_EDGES_MS, idle_ms) - 1, BIN_COUNT - 1)
        masses = [self._mass(index, pooled) for index in range(first, BIN_COUNT)]
        width_ms = BIN_EDGES_MS[first + 1] - BIN_EDGES_MS[first]
        masses[0] *= max(BIN_EDGES_MS[first + 1] - idle_ms, 0.0) / width_ms
        total_mass = sum(masses)
        points = []
        cumulative = 0.0
        for offset, mass in enumerate(masses):
            cumulative += mass
            points.append((BIN_EDGES_MS[first + offset + 1] - idle_ms, cumulative / total_mass))
        return points

    def _mass(self, index, pooled):
        # Spreads one gap evenly over all bins, so that every mass is above zero.
        prior = (pooled.counts[index] + 1.0 / BIN_COUNT) / (pooled.total + 1.0)
        return self.counts[index] + PRIOR_WEIGHT * prior
