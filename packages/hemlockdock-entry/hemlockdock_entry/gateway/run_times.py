"""Keep how long requests have run lately, by route."""

from collections import deque

KEPT_RUNS = 64
# A request that can be repeated elsewhere may take longer than estimated in one of this many cases.
TOLERATED_ONE_IN = 20


class RunTimes:
    """Durations of the last runs of each route, from the send to the end of the response."""

    def __init__(self):
        self._runs_by_route = {}

    def record(self, route_name, took_s):
        """Record a run that ended with a whole response.

        Parameters
        ----------
        route_name : str
        took_s : float
        """
        self._runs_by_route.setdefault(route_name, deque(maxlen=KEPT_RUNS)).append(took_s)

    def keep(self, route_names):
        """Forget the runs of routes that no longer exist.

        Parameters
        ----------
        route_names : collection of str
        """
        for name in self._runs_by_route.keys() - route_names:
            del self._runs_by_route[name]

    def estimate_s(self, route):
        """Return how long a run may take: the longest, or a high quantile if it may be repeated.

        Parameters
        ----------
        route : RouteRow

        Returns
        -------
        float or None
            None if no run is known.
        """
        runs = sorted(self._runs_by_route.get(route.name, ()))
        if not runs:
            return None
        tolerated = len(runs) // TOLERATED_ONE_IN if route.may_repeat else 0
        return runs[-1 - tolerated]
