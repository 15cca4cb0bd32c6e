"""Decide which requests leave room for more urgent ones.

Made for pools whose endpoints are full for seconds at a time, while urgent requests that can't wait
are refused and less urgent ones, which can, take each slot that becomes free.
"""

# Fraction of the time until its latest start for which a request leaves room for others. The rest
# is left to be served in: requests that can wait are not starved past their targets.
MAX_YIELD_FRACTION = 0.5
REFUSED_LATELY_S = 1.0


def may_yield(received_s, latest_start_s, now_s):
    """Return whether a request can still be in time if it leaves room for others now.

    Parameters
    ----------
    received_s, latest_start_s, now_s : float

    Returns
    -------
    bool
    """
    return now_s < received_s + (latest_start_s - received_s) * MAX_YIELD_FRACTION


class UrgentNeeds:
    """Models whose requests were refused for lack of capacity just now, by pool and urgency."""

    def __init__(self):
        self._refused_s_by_need = {}

    def record_refusal(self, pool, model, urgency, now_s):
        """Record that a request was refused for lack of capacity.

        Parameters
        ----------
        pool, model : str
        urgency : tuple of int
        now_s : float
        """
        self._refused_s_by_need[pool, model, urgency] = now_s

    def models(self, pool, urgency, now_s):
        """Return the models of which more urgent requests were refused in the last second.

        Parameters
        ----------
        pool : str
        urgency : tuple of int
        now_s : float

        Returns
        -------
        set of str
        """
        models = set()
        for need, refused_s in list(self._refused_s_by_need.items()):
            if now_s - refused_s > REFUSED_LATELY_S:
                del self._refused_s_by_need[need]
                continue
            need_pool, model, need_urgency = need
            if need_pool == pool and need_urgency < urgency:
                models.add(model)
        return models
