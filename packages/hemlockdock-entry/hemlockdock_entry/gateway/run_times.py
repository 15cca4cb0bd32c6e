"""Keep how long requests have run lately, by route."""

# The longest run is known for one to two of these periods.
PERIOD_S = 30.0


class RunTimes:
    """Longest run of each route, from the send to the end of the response."""

    def __init__(self):
        self._began_s = 0.0
        self._longest_by_route = {}
        self._earlier_by_route = {}

    def record(self, route_name, took_s, now_s):
        """Record a run that ended with a whole response.

        Parameters
        ----------
        route_name : str
        took_s : float
        now_s : float
        """
        self._begin_period(now_s)
        longest_s = self._longest_by_route.get(route_name, 0.0)
        self._longest_by_route[route_name] = max(longest_s, took_s)

    def longest_s(self, route_name, now_s):
        """Return the duration of a route's longest run lately.

        Parameters
        ----------
        route_name : str
        now_s : float

        Returns
        -------
        float or None
            None if no run has ended lately.
        """
        self._begin_period(now_s)
        known = [self._longest_by_route.get(route_name), self._earlier_by_route.get(route_name)]
        return max((took_s for took_s in known if took_s is not None), default=None)

    def _begin_period(self, now_s):
        if now_s - self._began_s < PERIOD_S:
            return
        is_next = now_s - self._began_s < 2 * PERIOD_S
        self._earlier_by_route = self._longest_by_route if is_next else {}
        self._longest_by_route = {}
        self._began_s = now_s
