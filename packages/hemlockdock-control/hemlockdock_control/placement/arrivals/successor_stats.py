"""Learn which models start a session soon after another model does."""

BIN_EDGES_MS = (60_000, 120_000, 240_000, 480_000, 900_000)
HORIZON_MS = BIN_EDGES_MS[-1]
MIN_STARTS = 2


class SuccessorStats:
    """Count, for each pair of models, how often and how soon one starts after the other.

    Attributes
    ----------
    starts_by_predecessor : dict of str to int
    counts_by_pair : dict of (str, str) to list of int
        Histogram of delays, with the bins of ``BIN_EDGES_MS``.
    """

    def __init__(self):
        self.starts_by_predecessor = {}
        self.counts_by_pair = {}
        self._recent = []

    def add(self, model, at_ms):
        """Record the start of a session.

        Parameters
        ----------
        model : str
        at_ms : int
        """
        self._prune(at_ms)
        for predecessor, started_ms in self._recent:
            if predecessor == model:
                continue
            counts = self.counts_by_pair.setdefault((predecessor, model), [0] * len(BIN_EDGES_MS))
            counts[_bin_index(at_ms - started_ms)] += 1
        self._recent.append((model, at_ms))
        self.starts_by_predecessor[model] = self.starts_by_predecessor.get(model, 0) + 1

    def cumulative_probability(self, model, now_ms):
        """Return the cumulative probability that a session starts, over time from now.

        It is derived from the predecessor that makes a start most likely.

        Parameters
        ----------
        model : str
        now_ms : int

        Returns
        -------
        list of (float, float)
            Empty if no known predecessor of this model has started recently.
        """
        self._prune(now_ms)
        best = []
        for predecessor, started_ms in self._recent:
            counts = self.counts_by_pair.get((predecessor, model))
            if counts is None or self.starts_by_predecessor[predecessor] <= MIN_STARTS:
                continue
            points = _cumulative_probability(
                counts, self.starts_by_predecessor[predecessor], now_ms - started_ms
            )
            if points and (not best or points[-1][1] > best[-1][1]):
                best = points
        return best

    def _prune(self, now_ms):
        while self._recent and now_ms - self._recent[0][1] >= HORIZON_MS:
            self._recent.pop(0)


def _bin_index(delay_ms):
    for index, edge_ms in enumerate(BIN_EDGES_MS):
        if delay_ms < edge_ms:
            return index
    return len(BIN_EDGES_MS) - 1


def _cumulative_probability(counts, starts, waited_ms):
    # The current start of the predecessor counts among its starts, which keeps the probability
    # below 1.
    starts_left = float(starts)
    low_ms = 0
    remaining = []
    for count, edge_ms in zip(counts, BIN_EDGES_MS, strict=True):
        fraction = min(max(waited_ms - low_ms, 0) / (edge_ms - low_ms), 1.0)
        starts_left -= count * fraction
        if fraction < 1.0:
            remaining.append((float(edge_ms - waited_ms), count * (1.0 - fraction)))
        low_ms = edge_ms
    points = []
    cumulative = 0.0
    for horizon_ms, count in remaining:
        cumulative += count
        points.append((horizon_ms, cumulative / max(starts_left, cumulative, 1.0)))
    return points
