"""Decide which requests yield to more urgent ones.

Notes
-----
Intended for pools that are full for seconds at a time, with less urgent requests that can wait.
"""

# Fraction of the time until its latest start for which a request yields to others. The rest
# is left to be served in: requests that can wait are not starved past their targets.
MAX_YIELD_FRACTION = 0.5
REFUSED_LATELY_S = 1.0


def may_yield(received_s, latest_start_s, now_s):
    """Return whether a request can still be in time if it yields to others now.

    Parameters
    ----------
    received_s, latest_start_s, now_s : float

    Returns
    -------
    bool
    """
    return now_s < received_s + (latest_start_s - received_s) * MAX_YIELD_FRACTION


class UrgentRefusals:
    """Recent refusals for lack of capacity, by pool, model and urgency."""

    def __init__(self):
        self._refused_s_by_key = {}

    def record_refusal(self, pool, model, urgency, now_s):
        """Record that a request was refused for lack of capacity.

        Parameters
        ----------
        pool, model : str
        urgency : tuple of int
        now_s : float
        """
        self._refused_s_by_key[pool, model, urgency] = now_s

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
        for key, refused_s in list(self._refused_s_by_key.items()):
            if now_s - refused_s > REFUSED_LATELY_S:
                del self._refused_s_by_key[key]
                continue
            refused_pool, model, refused_urgency = key
            if refused_pool == pool and refused_urgency < urgency:
                models.add(model)
        return models
