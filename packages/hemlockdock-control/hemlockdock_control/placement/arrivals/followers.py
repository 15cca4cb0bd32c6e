"""Learn which models' sessions start soon after another model's."""

EDGES_MS = (60_000, 120_000, 240_000, 480_000, 900_000)
HORIZON_MS = EDGES_MS[-1]
LEAST_STARTS = 2


class Followers:
    """Count, for each pair of models, how often and how soon one follows the other.

    Attributes
    ----------
    starts_by_leader : dict of str to int
    counts_by_pair : dict of (str, str) to list of int
        Counts of delays, by ``EDGES_MS``.
    """

    def __init__(self):
        self.starts_by_leader = {}
        self.counts_by_pair = {}
        self._recent = []

    def add(self, model, at_ms):
        """Record the start of a session.

        Parameters
        ----------
        model : str
        at_ms : int
        """
        self._forget(at_ms)
        for leader, started_ms in self._recent:
            if leader == model:
                continue
            counts = self.counts_by_pair.setdefault((leader, model), [0] * len(EDGES_MS))
            counts[_bin(at_ms - started_ms)] += 1
        self._recent.append((model, at_ms))
        self.starts_by_leader[model] = self.starts_by_leader.get(model, 0) + 1

    def points(self, model, now_ms):
        """Return the chance that a session starts, over time from now, by the best leader.

        Parameters
        ----------
        model : str
        now_ms : int

        Returns
        -------
        list of (float, float)
            Empty where no model that started lately is known to lead this one.
        """
        self._forget(now_ms)
        best = []
        for leader, started_ms in self._recent:
            counts = self.counts_by_pair.get((leader, model))
            if counts is None or self.starts_by_leader[leader] <= LEAST_STARTS:
                continue
            points = _points(counts, self.starts_by_leader[leader], now_ms - started_ms)
            if points and (not best or points[-1][1] > best[-1][1]):
                best = points
        return best

    def _forget(self, now_ms):
        while self._recent and now_ms - self._recent[0][1] >= HORIZON_MS:
            self._recent.pop(0)


def _bin(delay_ms):
    for index, edge_ms in enumerate(EDGES_MS):
        if delay_ms < edge_ms:
            return index
    return len(EDGES_MS) - 1


def _points(counts, starts, passed_ms):
    # The start under way is among the starts, which keeps the chance below one.
    left = float(starts)
    low_ms = 0
    ahead = []
    for count, edge_ms in zip(counts, EDGES_MS, strict=True):
        part = min(max(passed_ms - low_ms, 0) / (edge_ms - low_ms), 1.0)
        left -= count * part
        if part < 1.0:
            ahead.append((float(edge_ms - passed_ms), count * (1.0 - part)))
        low_ms = edge_ms
    points = []
    reached = 0.0
    for within_ms, count in ahead:
        reached += count
        points.append((within_ms, reached / max(left, reached, 1.0)))
    return points
