"""Look up the route of a request."""


class RouteIndex:
    """Index of routes by host and longest path prefix.

    Parameters
    ----------
    routes : iterable of RouteRow
    """

    def __init__(self, routes):
        self._routes_by_host = {}
        for route in routes:
            host = route.host.lower().encode("latin-1", "replace")
            prefix = route.prefix.encode("utf-8")
            self._routes_by_host.setdefault(host, {})[prefix] = route

    def find(self, host, path):
        """Return the route with the longest prefix of a path.

        Parameters
        ----------
        host, path : bytes

        Returns
        -------
        RouteRow or None
        """
        name = host.lower()
        routes = self._routes_by_host.get(name)
        if routes is None:
            routes = self._routes_by_host.get(name.partition(b":")[0])
        if routes is None:
            return None
        # Prefixes start and end with a slash, so only prefixes up to a slash in the path can match.
        end = len(path)
        while end > 0:
            end = path.rfind(b"/", 0, end)
            if end < 0:
                return None
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None
